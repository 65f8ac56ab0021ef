"""Fault injection on a schedule.

Each fault starts at its scheduled time, whatever became of the one before. Active faults with a duration are ended when
the run is cancelled.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Literal

from elderlock.standins.listener import Fault, Listener
from elderlock.standins.servers import SimulatedServer
from elderlock.standins.world import World

What = Literal["slow", "silent", "refusing", "reset", "restart", "empty", "drain", "remove", "kill"]
FAULTS = {"silent": Fault.SILENT, "refusing": Fault.REFUSING, "reset": Fault.RESET, "slow": Fault.SLOW}
FOR_SERVERS = frozenset({"slow", "silent", "refusing", "reset", "restart", "drain", "remove"})
FOR_COUNTER = frozenset({"slow", "silent", "refusing", "reset", "empty"})
FOR_DISCOVERY = frozenset({"silent", "refusing", "reset"})
FOR_PEERS = frozenset({"silent"})

Kill = Callable[[str], Awaitable[bool]]


class FaultError(Exception):
    """The fault does not exist or cannot be injected into its target."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault on the schedule.

    Attributes:
        at: The start in seconds of the run.
        lasts: The duration in seconds; 0 for a fault that is never ended.
        what: The kind of fault.
        target: The id of a server, `*` for all servers, `counter`, `discovery`, `peers` or the name of a limiter.
        by: The delay in ms, for `slow`.
    """

    at: float
    lasts: float
    what: What
    target: str
    by: float = 200.0


def check(planned: Sequence[PlannedFault], world: World) -> None:
    """Checks a whole schedule before any fault is injected.

    Raises:
        FaultError: A target does not exist or does not support its fault.
    """
    for fault in planned:
        target, what = fault.target, fault.what
        if target in world.limiter_names:
            supported = frozenset({"kill"})
        elif target == "*" or target in world.boxes:
            supported = FOR_SERVERS
        else:
            by_service = {"counter": FOR_COUNTER, "discovery": FOR_DISCOVERY, "peers": FOR_PEERS}
            supported = by_service.get(target, frozenset())
        if not supported:
            known = f"{', '.join(world.boxes)}, counter, discovery, peers, {', '.join(world.limiter_names)}"
            raise FaultError(f"there is no {target!r} to break; there are *, {known}")
        if what not in supported:
            raise FaultError(f"{target!r} cannot be made {what!r}; it can be {', '.join(sorted(supported))}")


class FaultSchedule:
    """Injects the faults of a schedule.

    Attributes:
        log: When each fault was injected or ended, in seconds of the run, with a description.
    """

    def __init__(self, planned: Sequence[PlannedFault], world: World, kill: Kill) -> None:
        """Checks the schedule.

        Args:
            planned: The faults.
            world: The services that the faults are injected into.
            kill: Kills the limiter of the given name as a crash would; returns whether it was running.

        Raises:
            FaultError: A target does not exist or does not support its fault.
        """
        check(planned, world)
        self._planned, self._world, self._kill = sorted(planned, key=lambda fault: fault.at), world, kill
        self.log: list[tuple[float, str]] = []
        self._removed: dict[str, list[SimulatedServer]] = {}

    async def run(self, began: float) -> list[tuple[float, str]]:
        """Runs the schedule; if it is cancelled, it ends all active faults first.

        Args:
            began: The start of the run by the monotonic clock, in seconds.

        Returns:
            When each fault was injected or ended, in seconds of the run, with a description.
        """
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*(self._run_fault(fault, began) for fault in self._planned))
        return sorted(self.log)

    async def _run_fault(self, fault: PlannedFault, began: float) -> None:
        await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
        self._record(began, await self._begin(fault))
        if not fault.lasts:
            return
        try:
            await asyncio.sleep(max(0.0, began + fault.at + fault.lasts - time.monotonic()))
        finally:
            if description := await self._end(fault):
                self._record(began, description)

    def _record(self, began: float, text: str) -> None:
        self.log.append((time.monotonic() - began, text))

    def _servers(self, target: str) -> list[SimulatedServer]:
        return list(self._world.boxes.values()) if target == "*" else [self._world.boxes[target]]

    def _listeners(self, target: str) -> Sequence[Listener]:
        world = self._world
        return [world.counter if target == "counter" else world.registry.discovery]

    async def _begin(self, fault: PlannedFault) -> str:
        what, target, world = fault.what, fault.target, self._world
        if what == "kill":
            return f"{target} killed" if await self._kill(target) else f"{target} could not be killed"
        if what == "empty":
            world.counter.lose()
            return "the counter has lost its counts"
        if target == "peers":
            for number in range(world.limiters):
                world.network.isolate(number)
            return "nothing passes between limiters"
        if target not in ("counter", "discovery"):
            for server in self._servers(target):
                await self._break_server(server, fault)
        else:
            for listener in self._listeners(target):
                await listener.fail(FAULTS[what], delay=fault.by / 1000.0)
        return f"{target} {what}" + (f" by {fault.by:g} ms" if what == "slow" else "")

    async def _break_server(self, server: SimulatedServer, fault: PlannedFault) -> None:
        registry = self._world.registry
        match fault.what:
            case "slow":
                server.added_delay_ms = fault.by
            case "restart":
                await server.restart()
                registry.announce(server)
            case "drain":
                server.state = "draining"
                registry.announce(server)
            case "remove":
                registry.remove(server.uid)
                self._removed.setdefault(fault.target, []).append(server)
            case _:
                await server.fail(FAULTS[fault.what])

    async def _end(self, fault: PlannedFault) -> str:
        what, target, world = fault.what, fault.target, self._world
        if what in ("kill", "empty", "restart"):
            return ""
        if target == "peers":
            world.network.cut.clear()
        elif target in ("counter", "discovery"):
            for listener in self._listeners(target):
                await listener.fail(Fault.NONE)
        elif what == "remove":
            for server in self._removed.pop(target, []):
                server.state = "up"
                world.registry.add(server)
        else:
            for server in self._servers(target):
                if what == "slow":
                    server.added_delay_ms = 0.0
                elif what == "drain":
                    server.state = "up"
                    world.registry.announce(server)
                else:
                    await server.fail(Fault.NONE)
        return f"{target} mended"
