"""What stands round the limiters on the shells' floor: the stand-ins' boxes, seen by the world."""

from __future__ import annotations

from typing import Protocol

from elderlock.standins.servers import ReceivedCommand, SimulatedServer


class Reached(Protocol):
    """Who hears that work has come to a box."""

    def reached(self, box: str, request: str) -> None: ...


class ShellBox(SimulatedServer):
    """Tells the world what came."""

    world: Reached

    def command_received(self, sent: ReceivedCommand, command: list[bytes]) -> None:
        self.world.reached(self.uid, command[2].decode())
