"""What stands round the limiters on the shells' floor: the stand-ins' boxes, seen by the world."""

from __future__ import annotations

from typing import Protocol

from elderlock.standins.boxes import Box, Sent


class ExecutionObserver(Protocol):
    """Who hears that work has come to a box."""

    def record_execution(self, box: str, request: str) -> None: ...


class ObservedServer(Box):
    """Tells the world what came."""

    world: ExecutionObserver

    def took(self, sent: Sent, command: list[bytes]) -> None:
        self.world.record_execution(self.uid, command[2].decode())
