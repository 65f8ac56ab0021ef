"""Faults of what surrounds the limiters: servers, the counter, discovery and clients.

They only act on the stand-ins and are the same for simulated and for real processes.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from elderlock.sim.clients import Clients
from elderlock.sim.scenario import Fault, effective_amount
from elderlock.standins.counter import Counter
from elderlock.standins.discovery import Registry
from elderlock.standins.listener import Fault as StandinFault
from elderlock.standins.servers import SimulatedServer


class StartObserver(Protocol):
    """Receives the starts of servers."""

    started: Any


class StandinWorld(Protocol):
    """A world with stand-ins, of simulated or of real processes."""

    loop: asyncio.AbstractEventLoop
    rng: random.Random
    counter: Counter
    clients: Clients | None

    @property
    def listing(self) -> Registry:
        """The servers that discovery lists."""

    @property
    def bench(self) -> StartObserver:
        """The invariant checkers."""

    def since(self, unix: float) -> float:
        """Converts a Unix time in ms to ms since the start of the run."""

    def record_fault(self, number: int, fault: Fault) -> None:
        """Records the start of a fault."""


class StandinFaults:
    """Injects a scenario's faults, each at its time and independently of the others."""

    def __init__(self, world: StandinWorld) -> None:
        self.world: Any = world
        self._tasks: dict[asyncio.Task[None], None] = {}  # the event loop holds only weak references to tasks

    def begin(self, number: int, fault: Fault) -> None:
        """Starts a fault.

        Args:
            number: Index of the fault in the scenario.
            fault: The fault.
        """
        self.world.record_fault(number, fault)
        self._start_task(self._apply(fault))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.world.loop.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    async def _apply(self, fault: Fault) -> None:
        raise NotImplementedError

    def silence(self, uid: str) -> Callable[[], object]:
        """Cuts the server off in both directions and returns a function that ends this."""
        raise NotImplementedError

    async def command(self, fault: Fault, kind: Any, target: str) -> None:
        """Runs an operator's drain or undrain command for a target of that kind."""
        raise NotImplementedError

    def _end_after(self, fault: Fault, end: Callable[[], Any]) -> None:
        if fault.for_s > 0:
            self.world.loop.call_later(fault.for_s, end)

    async def server_fault(self, fault: Fault, server: SimulatedServer | None) -> None:
        """Carries out a fault of one server; does nothing if it does not exist."""
        if server is None:
            return
        model, amount = server.model, effective_amount(fault)
        match fault.what:
            case "slow":
                model.slow = amount
                self._end_after(fault, lambda: setattr(model, "slow", 1.0))
            case "errs":
                model.errs = amount
                self._end_after(fault, lambda: setattr(model, "errs", 0.0))
            case "lies":
                model.lies = True
            case "pause":
                model.pause(amount)
            case "silent":
                self._end_after(fault, self.silence(server.uid))
            case "refusing":
                await server.fail(StandinFault.REFUSING)
                if fault.for_s > 0:
                    await asyncio.sleep(fault.for_s)
                    await server.fail(StandinFault.NONE)
            case "restart":
                await server.restart()
                self.world.bench.started(self.world.since(server.boot_ms), server.uid, server.kind.shape.bears())
                self.world.listing.announce(server)
            case "drain":
                server.state = "draining"
                self.world.listing.announce(server)
                self._end_after(fault, lambda: self._undrain(server))
            case "remove":
                self.world.listing.boxes.pop(server.uid, None)
                server.state = "removed"
                self.world.listing.announce(server)
                await asyncio.sleep(0.5)
                await server.close()
            case "op-drain" | "op-undrain":
                await self.command(fault, "box", server.uid)

    def _undrain(self, server: SimulatedServer) -> None:
        if server.uid in self.world.listing.boxes:
            server.state = "up"
            self.world.listing.announce(server)

    async def counter_fault(self, fault: Fault) -> None:
        """Carries out a fault of the counter."""
        counter = self.world.counter
        match fault.what:
            case "silent":
                await counter.fail(StandinFault.SILENT)
                self._end_after(fault, lambda: self._start_task(counter.fail(StandinFault.NONE)))
            case "refusing":
                await counter.fail(StandinFault.REFUSING)
                self._end_after(fault, lambda: self._start_task(counter.fail(StandinFault.NONE)))
            case "late":
                await counter.fail(StandinFault.SLOW, delay=effective_amount(fault) / 1000.0)
                self._end_after(fault, lambda: self._start_task(counter.fail(StandinFault.NONE)))
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
        """Carries out a fault of discovery."""
        listing, discovery = self.world.listing, self.world.listing.discovery
        match fault.what:
            case "silent" | "refusing":
                await discovery.fail(StandinFault.SILENT if fault.what == "silent" else StandinFault.REFUSING)
                self._end_after(fault, lambda: self._start_task(self._recover_discovery()))
            case "stale":
                listing.frozen_list = listing.rows(0)
                self._end_after(fault, self._end_staleness)
            case "late":
                listing.delay_s = effective_amount(fault) / 1000.0
                self._end_after(fault, lambda: setattr(listing, "delay_s", 0.0))
            case "flap":
                end_s = self.world.loop.time() + (fault.for_s or 2.0)
                servers = list(listing.boxes.values())
                while self.world.loop.time() < end_s and servers:
                    server = self.world.rng.choice(servers)
                    server.state = "draining" if server.state == "up" else "up"
                    listing.announce(server)
                    await asyncio.sleep(0.1)
                for server in servers:
                    self._undrain(server)
            case "dead":
                for uid in list(listing.boxes)[:1]:
                    server = listing.boxes.pop(uid)
                    listing.dead[uid] = server
                    await server.close()
                self._end_after(fault, self._forget_dead_servers)

    async def _recover_discovery(self) -> None:
        await self.world.listing.discovery.fail(StandinFault.NONE)
        self.world.listing.discovery.reset()  # clients start their silent watches anew

    def _end_staleness(self) -> None:
        self.world.listing.frozen_list = None
        self.world.listing.announce_complete_list()

    def _forget_dead_servers(self) -> None:
        self.world.listing.dead.clear()
        self.world.listing.announce_complete_list()

    async def clients_fault(self, fault: Fault) -> None:
        """Carries out a fault of the clients."""
        assert self.world.clients is not None
        duration_s = fault.for_s or 2.0
        if fault.what == "hoard":
            clients = self.world.clients
            clients.hoard = effective_amount(fault)
            self._end_after(fault, lambda: setattr(clients, "hoard", 0.0))
        elif fault.what == "rush":
            await self.world.clients.rush(effective_amount(fault), duration_s)
        else:
            await self.world.clients.silent_crowd(effective_amount(fault), duration_s)
