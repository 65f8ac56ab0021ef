"""Faults of what stands round the limiters (boxes, the counter, discovery, clients), on the stand-ins alone: the same
in simulated processes and in real ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from elderlock.sim.clients import Clients
from elderlock.sim.scenario import Fault, by_of
from elderlock.standins.counter import Counter
from elderlock.standins.discovery import Registry
from elderlock.standins.listener import Fault as Breaks
from elderlock.standins.servers import SimulatedServer


class Hears(Protocol):
    started: Any


class Stage(Protocol):
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

    def began_fault(self, number: int, fault: Fault) -> None: ...


class StageFaults:
    """Each begins at its time, whatever became of the one before."""

    def __init__(self, world: Stage) -> None:
        self.world: Any = world
        self._kept: dict[asyncio.Task[None], None] = {}  # a task that nothing holds may be collected

    def begin(self, number: int, fault: Fault) -> None:
        self.world.began_fault(number, fault)
        self._keep(self._fault(fault))

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.world.loop.create_task(work)
        self._kept[task] = None
        task.add_done_callback(self._kept.pop)

    async def _fault(self, fault: Fault) -> None:
        raise NotImplementedError

    def silence(self, uid: str) -> Callable[[], object]:
        """Nothing comes to that box or from it, until what is returned is called."""
        raise NotImplementedError

    async def command(self, fault: Fault, kind: Any, target: str) -> None:
        """An operator's."""
        raise NotImplementedError

    def _for(self, fault: Fault, end: Callable[[], Any]) -> None:
        if fault.for_s > 0:
            self.world.loop.call_later(fault.for_s, end)

    async def box_fault(self, fault: Fault, box: SimulatedServer | None) -> None:
        if box is None:
            return
        model, by = box.model, by_of(fault)
        match fault.what:
            case "slow":
                model.slow = by
                self._for(fault, lambda: setattr(model, "slow", 1.0))
            case "errs":
                model.errs = by
                self._for(fault, lambda: setattr(model, "errs", 0.0))
            case "lies":
                model.lies = True
            case "pause":
                model.pause(by)
            case "silent":
                self._for(fault, self.silence(box.uid))
            case "refusing":
                await box.fail(Breaks.REFUSING)
                if fault.for_s > 0:
                    await asyncio.sleep(fault.for_s)
                    await box.fail(Breaks.NONE)
            case "restart":
                await box.restart()
                self.world.bench.started(self.world.since(box.boot_ms), box.uid, box.kind.shape.bears())
                self.world.listing.announce(box)
            case "drain":
                box.state = "draining"
                self.world.listing.announce(box)
                self._for(fault, lambda: self._undrain(box))
            case "remove":
                self.world.listing.boxes.pop(box.uid, None)
                box.state = "removed"
                self.world.listing.announce(box)
                await asyncio.sleep(0.5)
                await box.close()
            case "op-drain" | "op-undrain":
                await self.command(fault, "box", box.uid)

    def _undrain(self, box: SimulatedServer) -> None:
        if box.uid in self.world.listing.boxes:
            box.state = "up"
            self.world.listing.announce(box)

    async def counter_fault(self, fault: Fault) -> None:
        counter = self.world.counter
        match fault.what:
            case "silent":
                await counter.fail(Breaks.SILENT)
                self._for(fault, lambda: self._keep(counter.fail(Breaks.NONE)))
            case "refusing":
                await counter.fail(Breaks.REFUSING)
                self._for(fault, lambda: self._keep(counter.fail(Breaks.NONE)))
            case "late":
                await counter.fail(Breaks.SLOW, delay=by_of(fault) / 1000.0)
                self._for(fault, lambda: self._keep(counter.fail(Breaks.NONE)))
            case "empty":
                counter.lose()
                counter.reset()
            case "restored":
                snapshot = counter.snapshot()
                self.world.loop.call_later(fault.for_s or 5.0, counter.restore, snapshot)
            case "busy":
                counter.busy = True
                self._for(fault, lambda: setattr(counter, "busy", False))

    async def discovery_fault(self, fault: Fault) -> None:
        listing, discovery = self.world.listing, self.world.listing.discovery
        match fault.what:
            case "silent" | "refusing":
                await discovery.fail(Breaks.SILENT if fault.what == "silent" else Breaks.REFUSING)
                self._for(fault, lambda: self._keep(self._discovery_back()))
            case "stale":
                listing.frozen_list = listing.rows(0)
                self._for(fault, self._fresh)
            case "late":
                listing.delay_s = by_of(fault) / 1000.0
                self._for(fault, lambda: setattr(listing, "delay_s", 0.0))
            case "flap":
                ends = self.world.loop.time() + (fault.for_s or 2.0)
                boxes = list(listing.boxes.values())
                while self.world.loop.time() < ends and boxes:
                    box = self.world.rng.choice(boxes)
                    box.state = "draining" if box.state == "up" else "up"
                    listing.announce(box)
                    await asyncio.sleep(0.1)
                for box in boxes:
                    self._undrain(box)
            case "dead":
                for uid in list(listing.boxes)[:1]:
                    box = listing.boxes.pop(uid)
                    listing.dead[uid] = box
                    await box.close()
                self._for(fault, self._bury)

    async def _discovery_back(self) -> None:
        await self.world.listing.discovery.fail(Breaks.NONE)
        self.world.listing.discovery.reset()  # watches that were silent are begun anew

    def _fresh(self) -> None:
        self.world.listing.frozen_list = None
        self.world.listing.announce_complete_list()

    def _bury(self) -> None:
        self.world.listing.dead.clear()
        self.world.listing.announce_complete_list()

    async def clients_fault(self, fault: Fault) -> None:
        assert self.world.clients is not None
        lasts = fault.for_s or 2.0
        if fault.what == "hoard":
            clients = self.world.clients
            clients.hoard = by_of(fault)
            self._for(fault, lambda: setattr(clients, "hoard", 0.0))
        elif fault.what == "rush":
            await self.world.clients.rush(by_of(fault), lasts)
        else:
            await self.world.clients.silent_crowd(by_of(fault), lasts)
