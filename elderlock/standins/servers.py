"""Lookup boxes: one that answers as it is told, and one with cores, a queue, a cold start and reports."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import hiredis

from elderlock.standins.listener import Door, Listener
from elderlock.standins.model import BoxModel, Shape, Word, Work
from elderlock.standins.waiting import unix_ms

Answer = bytes | None
MISSING = object()


def served(value: bytes, report: bytes = b"queue=2") -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)


def answers(*given: Answer) -> Callable[[list[bytes]], Awaitable[Answer]]:
    """Gives one after the other, the last one again and again."""
    left = list(given)

    async def behave(command: list[bytes]) -> Answer:
        return left.pop(0) if len(left) > 1 else left[0]

    return behave


class Server(Listener):
    """A server that answers each command as `behave` says: bytes, or nothing."""

    def __init__(self, behave: Callable[[list[bytes]], Awaitable[Answer]] | None = None) -> None:
        super().__init__()
        self._behave = behave
        self.commands: list[list[bytes]] = []

    @property
    def endpoint(self) -> str:
        return self.doors[0].endpoint

    @property
    def writers(self) -> list[asyncio.StreamWriter]:
        return list(self.doors[0].writers)

    async def start(self) -> Server:
        await self.open()
        return self

    async def serve(self, door: Door, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader(notEnoughData=MISSING)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                self.commands.append(command)
                answer = await self._behave(command) if self._behave else served(b"value")
                if answer is not None:
                    door.write(writer, answer)


PLAIN = Shape()


@dataclass(frozen=True, slots=True)
class Kind:
    """How a kind of box is built, and what it is called in lists."""

    name: str
    shape: Shape = PLAIN

    @property
    def cores(self) -> int:
        return self.shape.cores

    @property
    def speed(self) -> float:
        return self.shape.speed


STD = Kind("std-2c")
OLD = Kind("old-2c", Shape(speed=0.6))


@dataclass(frozen=True, slots=True)
class ReceivedCommand:
    """One command as the box saw it: when its last byte came (Unix ms), by which door, the request's id."""

    at: float
    door: int
    request: bytes


class _LoopTime:
    """The model's time is the loop's."""

    def now(self) -> float:
        return unix_ms()

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(wait / 1000.0, do, *args)


class SimulatedServer(Listener):
    """A lookup box: `elderlock.standins.model` behind sockets.

    `sent` is the record of what reached it, which tests and benchmarks hold against what tools claim.
    """

    def __init__(self, uid: str, kind: Kind, floor: str, seed: int, boot_ms: float = 0.0) -> None:
        super().__init__()
        self.uid, self.kind, self.floor = uid, kind, floor
        self.state = "up"
        self.sent: list[ReceivedCommand] = []
        self.model = BoxModel(kind.shape, _LoopTime(), random.Random(seed), boot_ms)

    @property
    def boot_ms(self) -> float:
        return self.model.started_at

    @property
    def crowd(self) -> float:
        """ms added to each answer, for a box that falls behind."""
        return self.model.added

    @crowd.setter
    def crowd(self, added: float) -> None:
        self.model.added = added

    @property
    def running(self) -> int:
        return len(self.model.running)

    def target(self, door: int) -> dict[str, Any]:
        """As discovery lists it to the limiter of that door."""
        return {
            "uid": self.uid,
            "endpoint": self.doors[door].endpoint,
            "az": self.floor,
            "model": self.kind.name,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": self.kind.cores * self.kind.speed,
            "boot_ms": self.boot_ms,
        }

    def report(self) -> bytes:
        return b"queue=%d" % self.model.queue()

    async def restart(self) -> None:
        """The process dies and comes back cold, at the same address under the same id."""
        self.reset()
        self.model.restart()

    async def serve(self, door: Door, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader(notEnoughData=MISSING)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                self._command(door, writer, command)

    def _command(self, door: Door, writer: asyncio.StreamWriter, command: list[bytes]) -> None:
        verb = command[0].upper()
        if verb in (b"CLIENT", b"SELECT"):
            return door.write(writer, b"+OK\r\n")
        if verb != b"API.READ" or len(command) != 4:
            return door.write(writer, b"-ERR unknown command\r\n")
        self.command_received(ReceivedCommand(unix_ms(), door.number, command[2]), command)
        value = b"box=%b request=%b" % (self.uid.encode(), command[2])

        def done(word: Word, work: Work) -> None:
            if word is Word.OK:
                door.write(writer, served(value, self.report()))
            else:
                door.write(writer, (b"-BUSY " if word is Word.BUSY else b"-ERR failed ") + self.report() + b"\r\n")

        self.model.offer(done)

    def command_received(self, sent: ReceivedCommand, command: list[bytes]) -> None:
        """A command's last byte has come."""
        self.sent.append(sent)
