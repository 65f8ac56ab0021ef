"""Troubles of the stand-ins on a timeline: what breaks, when, for how long. Each begins at its time whatever became
of the one before, and all are mended at the end."""

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
FOR_BOXES = frozenset({"slow", "silent", "refusing", "reset", "restart", "drain", "remove"})
FOR_COUNTER = frozenset({"slow", "silent", "refusing", "reset", "empty"})
FOR_DISCOVERY = frozenset({"silent", "refusing", "reset"})
FOR_PEERS = frozenset({"silent"})

Kill = Callable[[str], Awaitable[bool]]


class TroubleError(Exception):
    """No such trouble can be made here."""


@dataclass(frozen=True, slots=True)
class Planned:
    """`at` and `lasts` in s; `by` in ms. `target`: a box's uid or `*`, counter, discovery, peers, a limiter."""

    at: float
    lasts: float
    what: What
    target: str
    by: float = 200.0


def check(planned: Sequence[Planned], world: World) -> None:
    """Raises `TroubleError` for what could not be done, before anything is."""
    for trouble in planned:
        target, what = trouble.target, trouble.what
        if target in world.limiter_names:
            able = frozenset({"kill"})
        elif target == "*" or target in world.boxes:
            able = FOR_BOXES
        else:
            able = {"counter": FOR_COUNTER, "discovery": FOR_DISCOVERY, "peers": FOR_PEERS}.get(target, frozenset())
        if not able:
            known = f"{', '.join(world.boxes)}, counter, discovery, peers, {', '.join(world.limiter_names)}"
            raise TroubleError(f"there is no {target!r} to break; there are *, {known}")
        if what not in able:
            raise TroubleError(f"{target!r} cannot be made {what!r}; it can be {', '.join(sorted(able))}")


class Troubles:
    """`kill` ends a limiter by its name, as a crash would."""

    def __init__(self, planned: Sequence[Planned], world: World, kill: Kill) -> None:
        """Raises `TroubleError`."""
        check(planned, world)
        self._planned, self._world, self._kill = sorted(planned, key=lambda p: p.at), world, kill
        self.told: list[tuple[float, str]] = []
        self._removed: dict[str, list[SimulatedServer]] = {}

    async def run(self, began: float) -> list[tuple[float, str]]:
        """`began` by the monotonic clock (s). Returns what was done and when; cancelled, it mends all first."""
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*(self._one(trouble, began) for trouble in self._planned))
        return sorted(self.told)

    async def _one(self, trouble: Planned, began: float) -> None:
        await asyncio.sleep(max(0.0, began + trouble.at - time.monotonic()))
        self._tell(began, await self._begin(trouble))
        if not trouble.lasts:
            return
        try:
            await asyncio.sleep(max(0.0, began + trouble.at + trouble.lasts - time.monotonic()))
        finally:
            if mended := await self._mend(trouble):
                self._tell(began, mended)

    def _tell(self, began: float, text: str) -> None:
        self.told.append((time.monotonic() - began, text))

    def _boxes(self, target: str) -> list[SimulatedServer]:
        return list(self._world.boxes.values()) if target == "*" else [self._world.boxes[target]]

    def _listeners(self, target: str) -> Sequence[Listener]:
        world = self._world
        return [world.counter if target == "counter" else world.registry.discovery]

    async def _begin(self, trouble: Planned) -> str:
        what, target, world = trouble.what, trouble.target, self._world
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
            for box in self._boxes(target):
                await self._break_box(box, trouble)
        else:
            for listener in self._listeners(target):
                await listener.fail(FAULTS[what], delay=trouble.by / 1000.0)
        return f"{target} {what}" + (f" by {trouble.by:g} ms" if what == "slow" else "")

    async def _break_box(self, box: SimulatedServer, trouble: Planned) -> None:
        registry = self._world.registry
        match trouble.what:
            case "slow":
                box.crowd = trouble.by
            case "restart":
                await box.restart()
                registry.announce(box)
            case "drain":
                box.state = "draining"
                registry.announce(box)
            case "remove":
                registry.remove(box.uid)
                self._removed.setdefault(trouble.target, []).append(box)
            case _:
                await box.fail(FAULTS[trouble.what])

    async def _mend(self, trouble: Planned) -> str:
        what, target, world = trouble.what, trouble.target, self._world
        if what in ("kill", "empty", "restart"):
            return ""
        if target == "peers":
            world.network.cut.clear()
        elif target in ("counter", "discovery"):
            for listener in self._listeners(target):
                await listener.fail(Fault.NONE)
        elif what == "remove":
            for box in self._removed.pop(target, []):
                box.state = "up"
                world.registry.add(box)
        else:
            for box in self._boxes(target):
                if what == "slow":
                    box.crowd = 0.0
                elif what == "drain":
                    box.state = "up"
                    world.registry.announce(box)
                else:
                    await box.fail(Fault.NONE)
        return f"{target} mended"
