"""Looks on at the wire between clients, limiters and boxes, and tells the judges; knows RESP2 and no code of ours."""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

import hiredis

from elderlock.standins.servers import MISSING


class Hears(Protocol):
    """The judges, or a recorder that keeps what they shall hear."""

    asked: Any
    answered: Any
    excused: Any
    failure: Any


class Scene(Protocol):
    """The world round the wire, simulated or of real processes."""

    @property
    def bench(self) -> Hears: ...
    @property
    def broke_streams(self) -> bool:
        """Connections break from outside, without their limiter's doing."""

    def at(self) -> float:
        """ms of the run."""

    def incarnation(self, limiter: int) -> Any:
        """Its process of this moment; None while it has none."""

    def lives(self, incarnation: Any) -> bool: ...
    def let_go(self, limiter: str, box: str, request: str, account: str, terms: bytes) -> None: ...


class ClientTap:
    """A client's end of a connection to a limiter: requests out, answers in, in their order."""

    def __init__(self, world: Scene, limiter: int) -> None:
        self._world, self._limiter = world, limiter
        self.process = world.incarnation(limiter)
        self._out = hiredis.Reader(notEnoughData=MISSING)
        self._in = hiredis.Reader(notEnoughData=MISSING)
        self._owed: deque[str] = deque()

    def wrote(self, data: bytes) -> None:
        self._out.feed(data)
        while (command := self._out.gets()) is not MISSING:
            if command[0] != b"API.READ":
                self._owed.append("")
                continue
            name = command[2].decode()
            terms = dict(pair.split("=", 1) for pair in command[3].decode().split(","))
            self._owed.append(name)
            world = self._world
            world.bench.asked(
                world.at(), name, f"n{self._limiter}", world.at() + float(terms["d"]), command[1].decode(), "free"
            )

    def read(self, data: bytes) -> None:
        self._in.feed(data)
        try:
            while (answer := self._in.gets()) is not MISSING:
                name = self._owed.popleft() if self._owed else ""
                if name:
                    self._world.bench.answered(self._world.at(), name, _word(name, answer))
        except hiredis.ProtocolError:
            self._world.bench.failure(self._world.at(), f"n{self._limiter}", "an answer that cannot be read")

    def closed(self, by_us: bool) -> None:
        if by_us:
            why = "its client went away"
        elif not self._world.lives(self.process) or self._world.broke_streams:
            why = "its limiter was killed, or its connection broken from outside"
        else:
            return  # a request that crossed the end of its connection is sent once more, by the client
        for name in self._owed:
            if name:
                self._world.bench.excused(self._world.at(), name, why)


def _word(name: str, answer: Any) -> str:
    if isinstance(answer, bytes):
        return "served" if b"request=" + name.encode() in answer else "wrong"
    if isinstance(answer, hiredis.ReplyError):
        return "refused" if str(answer).startswith("BUSY") else "failed"
    return "failed"


class SendTap:
    """A limiter's end of a connection to a box: what it lets go, as it writes it."""

    def __init__(self, world: Scene, limiter: str, box: str) -> None:
        self._world, self._limiter, self._box = world, limiter, box
        self._out = hiredis.Reader(notEnoughData=MISSING)

    def wrote(self, data: bytes) -> None:
        self._out.feed(data)
        while (command := self._out.gets()) is not MISSING:
            if command[0] == b"API.READ":
                self._world.let_go(self._limiter, self._box, command[2].decode(), command[1].decode(), command[3])

    def read(self, data: bytes) -> None:
        pass

    def closed(self, by_us: bool) -> None:
        pass
