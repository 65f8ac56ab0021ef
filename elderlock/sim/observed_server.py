"""Servers of the stand-ins whose work a world observes."""

from __future__ import annotations

from typing import Protocol

from elderlock.standins.servers import ReceivedCommand, SimulatedServer


class ExecutionObserver(Protocol):
    """Receives the requests that reach servers."""

    def record_execution(self, server: str, request: str) -> None:
        """Records that a server received a request."""


class ObservedServer(SimulatedServer):
    """A stand-in server that reports each received request to its world."""

    world: ExecutionObserver

    def command_received(self, sent: ReceivedCommand, command: list[bytes]) -> None:
        """Reports a received request."""
        self.world.record_execution(self.uid, command[2].decode())
