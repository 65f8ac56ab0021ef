"""Observes the connections between clients, limiters and servers and informs the invariant checkers.

It parses RESP2 independently of the project's own protocol code.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

import hiredis

from elderlock.standins.servers import MISSING

# What the limiter's machine had for this long before it closed the connection counts as read. It may be held up for
# 150 ms, and the observer learns of bytes and closes with a delay.
READ_AFTER_MS = 500.0


class CheckerEvents(Protocol):
    """The invariant checkers, or a recorder of their events."""

    asked: Any
    answered: Any
    excused: Any
    failure: Any


class ObservedWorld(Protocol):
    """The world around the connections, of simulated or of real processes."""

    @property
    def bench(self) -> CheckerEvents:
        """The receiver of the events."""

    @property
    def has_broken_connections(self) -> bool:
        """Whether faults, not limiters, break connections."""

    def at(self) -> float:
        """Returns the time since the start of the run in ms."""

    def incarnation(self, limiter: int) -> Any:
        """Returns the limiter's current process, None while it has none."""

    def is_alive(self, incarnation: Any) -> bool:
        """Returns whether this process of a limiter runs."""

    def record_attempt(self, limiter: str, server: str, request: str, account: str, options: bytes) -> None:
        """Records that a limiter sent an attempt to a server."""


class ClientTap:
    """Observes a client's end of a connection to a limiter; answers come in the order of the requests."""

    def __init__(self, world: ObservedWorld, limiter: int) -> None:
        self._world, self._limiter = world, limiter
        self.process = world.incarnation(limiter)
        self._sent = hiredis.Reader(notEnoughData=MISSING)
        self._received = hiredis.Reader(notEnoughData=MISSING)
        self._unanswered: deque[tuple[str, float]] = deque()  # each command's request, or "", and when it was sent

    def wrote(self, data: bytes) -> None:
        """Observes bytes that the client wrote."""
        self._sent.feed(data)
        while (command := self._sent.gets()) is not MISSING:
            world = self._world
            if command[0] != b"API.READ":
                self._unanswered.append(("", world.at()))
                continue
            name = command[2].decode()
            options = dict(pair.split("=", 1) for pair in command[3].decode().split(","))
            self._unanswered.append((name, world.at()))
            world.bench.asked(
                world.at(), name, f"n{self._limiter}", world.at() + float(options["d"]), command[1].decode(), "free"
            )

    def read(self, data: bytes) -> None:
        """Observes bytes that the client read."""
        self._received.feed(data)
        try:
            while (answer := self._received.gets()) is not MISSING:
                name = self._unanswered.popleft()[0] if self._unanswered else ""
                if name:
                    self._world.bench.answered(self._world.at(), name, _outcome(name, answer))
        except hiredis.ProtocolError:
            self._world.bench.failure(self._world.at(), f"n{self._limiter}", "malformed answer to a client")

    def closed(self, by_us: bool) -> None:
        """Observes the end of the connection.

        Args:
            by_us: Whether the client closed it.
        """
        if by_us:
            reason = "its client went away"
        elif not self._world.is_alive(self.process) or self._world.has_broken_connections:
            reason = "its limiter was killed, or its connection broken from outside"
        else:
            self._report_dropped()
            return
        for name, _ in self._unanswered:
            if name:
                self._world.bench.excused(self._world.at(), name, reason)

    def _report_dropped(self) -> None:
        """Report the requests that the limiter had read when it closed the connection.

        The client repeats a request that the close crossed, and one that was read too, which would hide its loss.
        """
        now_ms = self._world.at()
        for name, sent_at_ms in self._unanswered:
            if name and now_ms - sent_at_ms >= READ_AFTER_MS:
                self._world.bench.answered(now_ms, name, "dropped")


def _outcome(name: str, answer: Any) -> str:
    if isinstance(answer, bytes):
        return "served" if b"request=" + name.encode() in answer else "wrong"
    if isinstance(answer, hiredis.ReplyError):
        return "refused" if str(answer).startswith("BUSY") else "failed"
    return "failed"


class SendTap:
    """Observes a limiter's end of a connection to a server; an attempt counts as sent when it is written."""

    def __init__(self, world: ObservedWorld, limiter: str, server: str) -> None:
        self._world, self._limiter, self._server = world, limiter, server
        self._sent = hiredis.Reader(notEnoughData=MISSING)

    def wrote(self, data: bytes) -> None:
        """Observes bytes that the limiter wrote."""
        self._sent.feed(data)
        while (command := self._sent.gets()) is not MISSING:
            if command[0] == b"API.READ":
                self._world.record_attempt(
                    self._limiter, self._server, command[2].decode(), command[1].decode(), command[3]
                )

    def read(self, data: bytes) -> None:
        """Ignores the server's answers."""
        pass

    def closed(self, by_us: bool) -> None:
        """Ignores the end of the connection."""
        pass
