"""What stands round the limiters on the shells' floor: the stand-ins' boxes and discovery, seen by the world."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Protocol

from elderlock.standins.boxes import Box, Sent
from elderlock.standins.discovery import Discovery


class Reached(Protocol):
    """Who hears that work has come to a box."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...
    def reached(self, box: str, request: str) -> None: ...


class ShellBox(Box):
    """Tells the world what came."""

    world: Reached

    def took(self, sent: Sent, command: list[bytes]) -> None:
        self.world.reached(self.uid, command[2].decode())


class Listing:
    """Discovery as each limiter's agent tells it: late, stale, flapping, listing the dead."""

    def __init__(self, world: Reached) -> None:
        self.world = world
        self.discovery = Discovery(rows=self.rows)
        self.boxes: dict[str, ShellBox] = {}
        self.dead: dict[str, ShellBox] = {}
        self.stale: list[dict[str, Any]] | None = None
        self.late = 0.0  # s

    def rows(self, door: int) -> list[dict[str, Any]]:
        if self.stale is not None:
            return self.stale
        return [box.target(door) for box in (*self.boxes.values(), *self.dead.values())]

    def changed(self, *boxes: ShellBox) -> None:
        if self.stale is None:
            self.world.loop.call_later(self.late, self._tell, boxes)

    def _tell(self, boxes: tuple[ShellBox, ...]) -> None:
        discovery = self.discovery
        discovery.rev += 1
        for writer, door in list(discovery.watching.items()):
            line = {"rev": discovery.rev, "all": False, "targets": [box.target(door.number) for box in boxes]}
            discovery.line(door, writer, json.dumps(line).encode() + b"\n")

    def whole(self) -> None:
        """Every watch hears the whole list."""
        discovery = self.discovery
        discovery.rev += 1
        for writer, door in list(discovery.watching.items()):
            line = {"rev": discovery.rev, "all": True, "targets": self.rows(door.number)}
            discovery.line(door, writer, json.dumps(line).encode() + b"\n")
