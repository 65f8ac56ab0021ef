"""Clients of a soak: some keep a connection and send one request at a time, some send many at once, some leave."""

from __future__ import annotations

import asyncio
import fcntl
import itertools
import random
import struct
import termios
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import hiredis

from elderlock.interface.settings import Idempotency
from elderlock.soak.clock import JudgingClock
from elderlock.soak.verdicts import ANSWER_AFTER_DEADLINE_S, Request, Verdicts
from elderlock.standins.servers import MISSING
from elderlock.standins.settings import CUSTOMER, terms

# Longer than a shutdown waits for open requests.
DEADLINE_S = 4.0
# Only a request that is never answered takes so long, also on a busy machine.
ANSWER_TIMEOUT_S = DEADLINE_S + 4.0 * ANSWER_AFTER_DEADLINE_S
# More than a limiter handles ahead on one connection (64).
COMMANDS_AT_ONCE = (70, 130)
THINK_S = (0.02, 0.08)
PAUSE_S = (0.0, 0.3)
LEAVING_FRACTION = 0.2
LEAVES_AFTER_S = (0.0, 0.3)
LONG_BODY_FRACTION = 0.1
LONG_BODY_BYTES = 3000
ACKNOWLEDGEMENT_POLL_S = 0.002
READ_CLASS = "lookup"
IDEMPOTENCY_BY_CLASS = {
    READ_CLASS: Idempotency.IDEMPOTENT,
    "book": Idempotency.WITH_KEY,
    "pay": Idempotency.NOT_IDEMPOTENT,
}
CLASSES = tuple(IDEMPOTENCY_BY_CLASS)
CONNECT_RETRY_S = 0.05


@dataclass(frozen=True, slots=True)
class Destination:
    """A limiter that clients connect to."""

    name: str
    host: str
    port: int


class Connection:
    """A client's connection to a limiter; answers come in the order of the commands.

    Attributes:
        limiter: The limiter's name.
    """

    def __init__(self, limiter: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.limiter = limiter
        self._reader = reader
        self._writer = writer
        self._parser = hiredis.Reader(notEnoughData=MISSING)

    async def send(self, commands: bytes) -> None:
        """Send commands; returns once the limiter's machine has acknowledged them."""
        self._writer.write(commands)
        sock = self._writer.get_extra_info("socket")
        while not self._writer.transport.is_closing():
            unsent = self._writer.transport.get_write_buffer_size()
            if not unsent and not struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0"))[0]:
                break
            await asyncio.sleep(ACKNOWLEDGEMENT_POLL_S)

    async def answer(self) -> Any:
        """Return the next answer, or None at the end of the connection."""
        while (answer := self._parser.gets()) is MISSING:
            try:
                data = await self._reader.read(1 << 16)
            except OSError:
                return None
            if not data:
                return None
            self._parser.feed(data)
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class SoakClients:
    """All clients of a soak, each a loop that runs until its task is cancelled.

    Attributes:
        answer_count: The number of final answers.
    """

    def __init__(
        self,
        choose_destination: Callable[[], Destination],
        verdicts: Verdicts,
        clock: JudgingClock,
        rng: random.Random,
    ) -> None:
        self._choose_destination = choose_destination
        self._clock = clock
        self._verdicts = verdicts
        self._rng = rng
        self._numbers = itertools.count()
        self.answer_count = 0

    async def send_one_by_one(self) -> None:
        """Keep a connection and send one request at a time, and again on a new one if its close crosses the request."""
        while True:
            connection = await self._connect()
            is_open = True
            while is_open:
                is_open = await self._exchange(connection, 1)
                await asyncio.sleep(self._rng.uniform(*THINK_S))
            connection.close()

    async def send_at_once(self) -> None:
        """Send many commands at once on a connection, wait for all answers or leave before, and begin anew."""
        while True:
            connection = await self._connect()
            if self._rng.random() < LEAVING_FRACTION:
                await self._send_and_leave(connection)
            else:
                await self._exchange(connection, self._rng.randint(*COMMANDS_AT_ONCE))
            connection.close()
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def _connect(self) -> Connection:
        while True:
            try:
                to = self._choose_destination()
                return Connection(to.name, *await asyncio.open_connection(to.host, to.port))
            except OSError:
                await asyncio.sleep(CONNECT_RETRY_S)

    def _new_requests(self, limiter: str, count: int) -> tuple[bytes, list[Request]]:
        commands = []
        requests = []
        deadline_s = self._clock.now_s() + DEADLINE_S
        for _ in range(count):
            request_class = self._rng.choice(CLASSES)
            request_id = b"q%d" % next(self._numbers)
            request = Request(request_id, limiter, IDEMPOTENCY_BY_CLASS[request_class], deadline_s)
            requests.append(self._verdicts.add(request))
            commands.append(self._encode(request_id, request_class))
        return b"".join(commands), requests

    def _encode(self, request_id: bytes, request_class: str) -> bytes:
        options = terms(c=request_class, d=int(DEADLINE_S * 1000))
        if request_class == READ_CLASS:
            return _pack("API.READ", CUSTOMER, request_id, options)
        body = b"x" * (LONG_BODY_BYTES if self._rng.random() < LONG_BODY_FRACTION else 20)
        return _pack("API.WRITE", CUSTOMER, request_id, options, body)

    async def _exchange(self, connection: Connection, count: int) -> bool:
        """Send requests and read their answers; return whether the connection is still open."""
        commands, requests = self._new_requests(connection.limiter, count)
        sending = asyncio.create_task(self._send(connection, commands, requests))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await self._read_answers(connection, requests)
        except TimeoutError:
            for request in requests:
                if not request.is_answered:
                    self._verdicts.expired(request, self._clock.now_s())
            return False
        finally:
            sending.cancel()

    async def _send(self, connection: Connection, commands: bytes, requests: Sequence[Request]) -> None:
        await connection.send(commands)
        for request in requests:
            request.acknowledged_at_s = self._clock.now_s()

    async def _read_answers(self, connection: Connection, requests: Sequence[Request]) -> bool:
        for request in requests:
            answer = await connection.answer()
            if answer is None:
                for unanswered in requests:
                    if not unanswered.is_answered:
                        self._verdicts.closed_by_limiter(unanswered, self._clock.now_s())
                return False
            self.answer_count += 1
            self._verdicts.answered(request, answer if isinstance(answer, bytes) else None, self._clock.now_s())
        return True

    async def _send_and_leave(self, connection: Connection) -> None:
        """Send many commands and close before all answers have come; what is sent afterwards is no request."""
        commands, requests = self._new_requests(connection.limiter, self._rng.randint(*COMMANDS_AT_ONCE))
        sending = asyncio.create_task(connection.send(commands))
        await asyncio.sleep(self._rng.uniform(*LEAVES_AFTER_S))
        sending.cancel()
        connection.close()
        now_s = self._clock.now_s()
        for request in requests:
            request.closed_at_s = now_s
            request.is_answered = True


def _pack(*parts: str | bytes) -> bytes:
    packed: bytes = hiredis.pack_command(parts)  # type: ignore[arg-type]
    return packed
