"""Faults of what stands round the limiters (boxes, the counter, discovery, clients), on the stand-ins alone: the same
in simulated processes and in real ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from elderlock.sim.clients import Clients
from elderlock.sim.scenario import Fault, effective_amount
from elderlock.standins.boxes import Box
from elderlock.standins.counter import Counter
from elderlock.standins.discovery import Registry
from elderlock.standins.listener import Fault as Breaks


class Hears(Protocol):
    started: Any


class StandinWorld(Protocol):
    """A world with stand-ins, simulated or of real processes."""

    loop: asyncio.AbstractEventLoop
    rng: random.Random
    counter: Counter
    clients: Clients | None

    @property
    def listing(self) -> Registry: ...
    @property
    def bench(self) -> Hears: ...
    def since(self, unix: float) -> float:
        """ms of the run, of a time in Unix ms."""

    def record_fault(self, number: int, fault: Fault) -> None: ...


class StandinFaults:
    """Each begins at its time, whatever became of the one before."""

    def __init__(self, world: StandinWorld) -> None:
        self.world: Any = world
        self._tasks: dict[asyncio.Task[None], None] = {}  # a task that nothing holds may be collected

    def begin(self, number: int, fault: Fault) -> None:
        self.world.record_fault(number, fault)
        self._keep(self._apply(fault))

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.world.loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    async def _apply(self, fault: Fault) -> None:
        raise NotImplementedError

    def silence(self, uid: str) -> Callable[[], object]:
        """Nothing comes to that box or from it, until what is returned is called."""
        raise NotImplementedError

    async def command(self, fault: Fault, kind: Any, target: str) -> None:
        """An operator's."""
        raise NotImplementedError

    def _end_after(self, fault: Fault, end: Callable[[], Any]) -> None:
        if fault.for_s > 0:
            self.world.loop.call_later(fault.for_s, end)

    async def server_fault(self, fault: Fault, box: Box | None) -> None:
        if box is None:
            return
        model, by = box.model, effective_amount(fault)
        match fault.what:
            case "slow":
                model.slow = by
                self._end_after(fault, lambda: setattr(model, "slow", 1.0))
            case "errs":
                model.errs = by
                self._end_after(fault, lambda: setattr(model, "errs", 0.0))
            case "lies":
                model.lies = True
            case "pause":
                model.pause(by)
            case "silent":
                self._end_after(fault, self.silence(box.uid))
            case "refusing":
                await box.fail(Breaks.REFUSING)
                if fault.for_s > 0:
                    await asyncio.sleep(fault.for_s)
                    await box.fail(Breaks.NONE)
            case "restart":
                await box.restart()
                self.world.bench.started(self.world.since(box.boot_ms), box.uid, box.kind.shape.bears())
                self.world.listing.changed(box)
            case "drain":
                box.state = "draining"
                self.world.listing.changed(box)
                self._end_after(fault, lambda: self._undrain(box))
            case "remove":
                self.world.listing.boxes.pop(box.uid, None)
                box.state = "removed"
                self.world.listing.changed(box)
                await asyncio.sleep(0.5)
                await box.close()
            case "op-drain" | "op-undrain":
                await self.command(fault, "box", box.uid)

    def _undrain(self, box: Box) -> None:
        if box.uid in self.world.listing.boxes:
            box.state = "up"
            self.world.listing.changed(box)

    async def counter_fault(self, fault: Fault) -> None:
        counter = self.world.counter
        match fault.what:
            case "silent":
                await counter.fail(Breaks.SILENT)
                self._end_after(fault, lambda: self._keep(counter.fail(Breaks.NONE)))
            case "refusing":
                await counter.fail(Breaks.REFUSING)
                self._end_after(fault, lambda: self._keep(counter.fail(Breaks.NONE)))
            case "late":
                await counter.fail(Breaks.SLOW, delay=effective_amount(fault) / 1000.0)
                self._end_after(fault, lambda: self._keep(counter.fail(Breaks.NONE)))
            case "empty":
                counter.lose()
                counter.reset()
            case "restored":
                snapshot = counter.snapshot()
                self.world.loop.call_later(fault.for_s or 5.0, counter.restore, snapshot)
            case "busy":
                counter.busy = True
                self._end_after(fault, lambda: setattr(counter, "busy", False))

    async def discovery_fault(self, fault: Fault) -> None:
        listing, discovery = self.world.listing, self.world.listing.discovery
        match fault.what:
            case "silent" | "refusing":
                await discovery.fail(Breaks.SILENT if fault.what == "silent" else Breaks.REFUSING)
                self._end_after(fault, lambda: self._keep(self._discovery_back()))
            case "stale":
                listing.stale = listing.rows(0)
                self._end_after(fault, self._fresh)
            case "late":
                listing.late = effective_amount(fault) / 1000.0
                self._end_after(fault, lambda: setattr(listing, "late", 0.0))
            case "flap":
                ends = self.world.loop.time() + (fault.for_s or 2.0)
                boxes = list(listing.boxes.values())
                while self.world.loop.time() < ends and boxes:
                    box = self.world.rng.choice(boxes)
                    box.state = "draining" if box.state == "up" else "up"
                    listing.changed(box)
                    await asyncio.sleep(0.1)
                for box in boxes:
                    self._undrain(box)
            case "dead":
                for uid in list(listing.boxes)[:1]:
                    box = listing.boxes.pop(uid)
                    listing.dead[uid] = box
                    await box.close()
                self._end_after(fault, self._bury)

    async def _discovery_back(self) -> None:
        await self.world.listing.discovery.fail(Breaks.NONE)
        self.world.listing.discovery.reset()  # watches that were silent are begun anew

    def _fresh(self) -> None:
        self.world.listing.stale = None
        self.world.listing.whole()

    def _bury(self) -> None:
        self.world.listing.dead.clear()
        self.world.listing.whole()

    async def clients_fault(self, fault: Fault) -> None:
        assert self.world.clients is not None
        lasts = fault.for_s or 2.0
        if fault.what == "hoard":
            clients = self.world.clients
            clients.hoard = effective_amount(fault)
            self._end_after(fault, lambda: setattr(clients, "hoard", 0.0))
        elif fault.what == "rush":
            await self.world.clients.rush(effective_amount(fault), lasts)
        else:
            await self.world.clients.silent_crowd(effective_amount(fault), lasts)
