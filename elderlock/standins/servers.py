"""Lookup servers for tests and simulations.

`Server` sends scripted answers. `SimulatedServer` models cores, a queue, a cold start and load reports.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import hiredis

from elderlock.standins.listener import Listener, ListeningPort
from elderlock.standins.model import ServerModel, Shape, Word, Work
from elderlock.standins.waiting import unix_ms

Answer = bytes | None
MISSING = object()


def served(value: bytes, report: bytes = b"queue=2") -> bytes:
    """Returns the RESP reply of a successful read: the value, a null and the load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)


def answers(*replies: Answer) -> Callable[[list[bytes]], Awaitable[Answer]]:
    """Returns a behaviour that gives the replies in order and repeats the last one forever."""
    remaining = list(replies)

    async def behave(command: list[bytes]) -> Answer:
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    return behave


class Server(Listener):
    """A server with scripted answers.

    Attributes:
        commands: All commands received, in order.
    """

    def __init__(self, behave: Callable[[list[bytes]], Awaitable[Answer]] | None = None) -> None:
        """Creates a server that is not listening yet.

        Args:
            behave: Returns the reply to a command, or None to send no reply. By default each command gets `value`.
        """
        super().__init__()
        self._behave = behave
        self.commands: list[list[bytes]] = []

    @property
    def endpoint(self) -> str:
        """The `host:port` of the first listening port."""
        return self.ports[0].endpoint

    @property
    def writers(self) -> list[asyncio.StreamWriter]:
        """The open connections at the first listening port, the oldest first."""
        return list(self.ports[0].writers)

    async def start(self) -> Server:
        """Opens one listening port and returns the server itself."""
        await self.open()
        return self

    async def serve(self, port: ListeningPort, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads commands and writes the scripted answers until the client closes the connection."""
        parser = hiredis.Reader(notEnoughData=MISSING)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                self.commands.append(command)
                answer = await self._behave(command) if self._behave else served(b"value")
                if answer is not None:
                    port.write(writer, answer)


DEFAULT_SHAPE = Shape()


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of server hardware.

    Attributes:
        name: The name of the kind in endpoint lists.
        shape: The parameters of the performance model.
    """

    name: str
    shape: Shape = DEFAULT_SHAPE

    @property
    def cores(self) -> int:
        """The number of cores."""
        return self.shape.cores

    @property
    def speed(self) -> float:
        """The speed of a core relative to the standard kind."""
        return self.shape.speed


STD = Kind("std-2c")
OLD = Kind("old-2c", Shape(speed=0.6))


@dataclass(frozen=True, slots=True)
class ReceivedCommand:
    """A command that a server has received.

    Attributes:
        at: When the last byte of the command arrived, in Unix ms.
        port_index: The number of the listening port, which is the number of the limiter that sent the command.
        request: The id of the request.
    """

    at: float
    port_index: int
    request: bytes


class _LoopTime:
    """Real time for the model: the system clock and the timers of the event loop."""

    def now(self) -> float:
        """Returns the Unix time in ms."""
        return unix_ms()

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
        """Calls `do` after `wait` ms."""
        return asyncio.get_running_loop().call_later(wait / 1000.0, do, *args)


class SimulatedServer(Listener):
    """A lookup server on TCP that behaves as `elderlock.standins.model` describes.

    Attributes:
        uid: The server's id.
        kind: The hardware kind.
        floor: The zone.
        state: The state in endpoint lists.
        sent: All commands received. Tests and benchmarks compare it with the figures that tools report.
        model: The performance model.
    """

    def __init__(self, uid: str, kind: Kind, floor: str, seed: int, boot_ms: float = 0.0) -> None:
        super().__init__()
        self.uid, self.kind, self.floor = uid, kind, floor
        self.state = "up"
        self.sent: list[ReceivedCommand] = []
        self.model = ServerModel(kind.shape, _LoopTime(), random.Random(seed), boot_ms)

    @property
    def boot_ms(self) -> float:
        """The start time in Unix ms; 0 for a server that is warm from the beginning."""
        return self.model.started_at

    @property
    def added_delay_ms(self) -> float:
        """A delay in ms that is added to each answer, which simulates an overloaded server."""
        return self.model.added

    @added_delay_ms.setter
    def added_delay_ms(self, delay_ms: float) -> None:
        self.model.added = delay_ms

    @property
    def running(self) -> int:
        """The number of requests that a core is working on."""
        return len(self.model.running)

    def target(self, port_index: int) -> dict[str, Any]:
        """Returns the entry of the endpoint list for the limiter that uses listening port `port_index`."""
        return {
            "uid": self.uid,
            "endpoint": self.ports[port_index].endpoint,
            "az": self.floor,
            "model": self.kind.name,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": self.kind.cores * self.kind.speed,
            "boot_ms": self.boot_ms,
        }

    def report(self) -> bytes:
        """Returns the load report that is part of each answer."""
        return b"queue=%d" % self.model.queue()

    async def restart(self) -> None:
        """Simulates a crash: resets all connections and starts cold at the same address with the same id."""
        self.reset()
        self.model.restart()

    async def serve(self, port: ListeningPort, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Passes each command to the model until the client closes the connection."""
        parser = hiredis.Reader(notEnoughData=MISSING)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                self._handle_command(port, writer, command)

    def _handle_command(self, port: ListeningPort, writer: asyncio.StreamWriter, command: list[bytes]) -> None:
        verb = command[0].upper()
        if verb in (b"CLIENT", b"SELECT"):
            return port.write(writer, b"+OK\r\n")
        if verb != b"API.READ" or len(command) != 4:
            return port.write(writer, b"-ERR unknown command\r\n")
        self.command_received(ReceivedCommand(unix_ms(), port.number, command[2]), command)
        value = b"box=%b request=%b" % (self.uid.encode(), command[2])

        def write_answer(result: Word, work: Work) -> None:
            if result is Word.OK:
                port.write(writer, served(value, self.report()))
            else:
                port.write(writer, (b"-BUSY " if result is Word.BUSY else b"-ERR failed ") + self.report() + b"\r\n")

        self.model.offer(write_answer)

    def command_received(self, sent: ReceivedCommand, command: list[bytes]) -> None:
        """Records a command whose last byte has arrived; subclasses extend it."""
        self.sent.append(sent)
