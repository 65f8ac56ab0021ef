"""Servers of a soak: they answer after their work, may hang, and may send a second copy of an answer."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import cast

import hiredis

from elderlock.net.unread_input import UnreadInput
from elderlock.soak.clock import JudgingClock
from elderlock.soak.verdicts import Verdicts, value_of
from elderlock.standins.servers import MISSING, served

MEAN_WORK_S = 0.06
COPY_DELAY_S = (0.004, 0.015)
# A copy that this process would send later, as it was held up, is not sent: servers send none so late.
MAX_COPY_DELAY_S = 0.018
COPY_FRACTION = 0.5


@dataclass(slots=True)
class ServerFaults:
    """The faults of all servers.

    Attributes:
        hanging: The indexes of the servers that take commands and do not answer.
        sends_copies: Whether answers are sent a second time if no other command has come meanwhile.
    """

    hanging: frozenset[int] = frozenset()
    sends_copies: bool = False


class SoakServer:
    """A server.

    Attributes:
        index: Its index.
        endpoint: Its address, once it listens.
    """

    def __init__(
        self, index: int, verdicts: Verdicts, faults: ServerFaults, clock: JudgingClock, rng: random.Random
    ) -> None:
        self.index = index
        self.endpoint = ""
        self._clock = clock
        self._verdicts = verdicts
        self._faults = faults
        self._rng = rng
        self._connections: set[_ServerConnection] = set()

    def connection_opened(self, connection: _ServerConnection) -> None:
        """Count a limiter's connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: _ServerConnection) -> None:
        """Stop counting a limiter's connection."""
        self._connections.discard(connection)

    def abort_connections(self) -> None:
        """Close all connections without answering what they have brought, as a process that is killed does."""
        for connection in list(self._connections):
            connection.abort()

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _ServerConnection(self), "127.0.0.1", 0)
        self.endpoint = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def begin(self, request_id: bytes, connection: _ServerConnection) -> None:
        """Begin a request, and answer it after its work unless this server hangs then."""
        self._verdicts.attempt_begun(request_id, self._clock.now_s())
        asyncio.get_running_loop().call_later(
            self._rng.expovariate(1.0 / MEAN_WORK_S), self._answer, request_id, connection
        )

    def _answer(self, request_id: bytes, connection: _ServerConnection) -> None:
        if self.index in self._faults.hanging:
            return
        answer = served(value_of(request_id))
        connection.write(answer)
        if self._faults.sends_copies and self._rng.random() < COPY_FRACTION:
            copy = _Copy(answer, connection.command_count, time.monotonic() + MAX_COPY_DELAY_S)
            asyncio.get_running_loop().call_later(self._rng.uniform(*COPY_DELAY_S), connection.write_copy, copy)


@dataclass(frozen=True, slots=True)
class _Copy:
    """A second copy of an answer that is about to be sent.

    Attributes:
        answer: The answer.
        command_count: The number of commands that its connection had brought.
        latest_at_s: The monotonic time after which it is not sent.
    """

    answer: bytes
    command_count: int
    latest_at_s: float


class _ServerConnection(asyncio.Protocol):
    """A limiter's connection to a server.

    Attributes:
        command_count: The number of commands that it has brought.
    """

    def __init__(self, server: SoakServer) -> None:
        self._server = server
        self._parser = hiredis.Reader(notEnoughData=MISSING)
        self._transport: asyncio.Transport | None = None
        self.command_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.connection_opened(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        self._server.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        while (command := self._parser.gets()) is not MISSING:
            self.command_count += 1
            self._server.begin(command[2], self)

    def abort(self) -> None:
        """Close the connection without answering what it has brought."""
        if self._transport is not None:
            self._transport.abort()

    def write(self, answer: bytes) -> None:
        """Write an answer, unless the limiter has closed the connection."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(answer)

    def write_copy(self, copy: _Copy) -> None:
        """Write a second copy of an answer, if it is in time and no other command has come since, read or not."""
        transport = self._transport
        if transport is None or transport.is_closing() or self.command_count != copy.command_count:
            return
        if not UnreadInput(transport).is_waiting() and time.monotonic() < copy.latest_at_s:
            self.write(copy.answer)
