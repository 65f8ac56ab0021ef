"""RESP2 to the limiters: kept or new connections, one request at a time on each, and what comes back.

A request that crosses the end of its connection is sent once more on a new one, as the protocol has its
clients do. An answer for a request that was given up is late; one that nobody waits for is a stray.
"""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from typing import Protocol, cast

import hiredis

from elderlock.load.clock import now_us
from elderlock.load.schedule import Arrival

OURS = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM)
LATE_FOR = 2.0  # s after its time that an answer is still waited for, to be counted as late
DIAL_WITHIN = 10.0  # s; who wanted the connection has its own time, which is shorter
MISSING = object()


class Request:
    """One request of the schedule through all its tries. `began` is its intended start in µs."""

    __slots__ = (
        "is_active",
        "retry_timer",
        "arrival",
        "intended_start_us",
        "connection",
        "id",
        "departure_timer",
        "number",
        "is_finished",
        "outcome",
        "was_resent",
        "was_sent",
        "target",
        "timeout_timer",
        "attempts",
        "policy_index",
        "written_at_us",
    )

    def __init__(self, number: int, arrival: Arrival, began: int, way: int) -> None:
        self.number, self.arrival, self.intended_start_us, self.policy_index = number, arrival, began, way
        self.id = b""
        self.attempts = 0
        self.target = -1
        self.written_at_us = 0  # µs at which the present try began in truth; 0 while it has not
        self.was_sent = self.is_finished = self.was_resent = False
        self.is_active = False  # a try is under way
        self.outcome = ""  # how the last try that was sent ended, else why none was
        self.connection: Connection | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.departure_timer: asyncio.TimerHandle | None = None
        self.retry_timer: asyncio.TimerHandle | None = None


class Engine(Protocol):
    """Who hears how tries end, and counts."""

    def on_request_written(self, request: Request) -> None: ...

    def on_attempt_ended(self, request: Request, outcome: str, advice: float | None = None) -> None: ...

    def request_terms(self, request: Request) -> bytes:
        """The list of names and values, as it stands when the request is written."""

    def count(self, name: str) -> None: ...

    def on_connected(self, took_us: int) -> None: ...

    def on_out_of_descriptors(self) -> None: ...


class Connection(asyncio.Protocol):
    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.request: Request | None = None
        self.owed = False  # an answer to a request that was given up
        self.transport: asyncio.Transport | None = None
        self._parser = hiredis.Reader(notEnoughData=MISSING)
        self._answered = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def carry(self, request: Request) -> None:
        assert self.transport is not None
        self.request, request.connection = request, self
        request.written_at_us = now_us()
        terms = self.pool.engine.request_terms(request)
        sent = command(request.arrival.account, request.id, terms)
        if request.arrival.pause_ms:
            half = len(sent) // 2
            self.transport.write(sent[:half])
            self.pool.loop.call_later(
                request.arrival.pause_ms / 1000.0, self._rest, request, request.attempts, sent[half:]
            )
        else:
            self.transport.write(sent)
        self.pool.engine.on_request_written(request)

    def _rest(self, request: Request, tries: int, data: bytes) -> None:
        if self.usable() and self.transport is not None and (self.request is request or self.owed):
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while (answer := self._parser.gets()) is not MISSING:
                self._answer(answer)
        except hiredis.ProtocolError:
            self.pool.engine.count("stray_answers")
            self._spoiled()

    def _answer(self, answer: object) -> None:
        request, engine = self.request, self.pool.engine
        if request is None:
            engine.count("late_answers" if self.owed else "stray_answers")
            if self.owed:
                self.owed = False
                self.pool.free(self)
            else:
                self._spoiled()  # whose answer comes next on it could not be told
            return
        self.request = request.connection = None
        outcome, advice = read(answer)
        if outcome == "served" and self.pool.verify and request.id not in _value(answer):
            engine.count("mismatched")
            outcome = "failed"
            self._spoiled()
        elif self.pool.keep:
            self.pool.free(self)
        else:
            self._spoiled()
        engine.on_attempt_ended(request, outcome, advice)

    def _spoiled(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def give_up(self, client_left: bool) -> None:
        """The request's time is up, or its client has gone, which closes the connection."""
        self.request = None
        if client_left:
            return self._spoiled()
        self.owed = True
        self.pool.loop.call_later(LATE_FOR, self._late_no_more)

    def _late_no_more(self) -> None:
        if self.owed:
            self._spoiled()

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.lost(self)
        request, self.request = self.request, None
        if request is not None and request.is_active:
            request.connection = None
            self.pool.crossed(request)


class Pool:
    """The connections of one kind of clients to one target. Beyond `most`, requests wait for a free one."""

    def __init__(
        self,
        engine: Engine,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        keep: bool,
        most: int,
        verify: bool,
    ) -> None:
        self.engine, self.loop, self.address = engine, loop, address
        self.keep, self.verify, self._most = keep, verify, most
        self.count = 0
        self._idle: list[Connection] = []
        self._waiting: deque[tuple[Request, int]] = deque()
        self._dials: set[asyncio.Task[None]] = set()

    def send(self, request: Request) -> None:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable():
                return connection.carry(request)
        if self.count >= self._most:
            self.engine.count("waited")
            self._waiting.append((request, request.attempts))
        else:
            self._dial(request)

    def _dial(self, request: Request) -> None:
        self.count += 1
        task = self.loop.create_task(self._open(request, request.attempts))
        self._dials.add(task)
        task.add_done_callback(self._dials.discard)

    async def _open(self, request: Request, tries: int) -> None:
        began = now_us()
        made: list[Connection] = []

        def make() -> Connection:
            made.append(Connection(self))
            return made[0]

        try:
            async with asyncio.timeout(DIAL_WITHIN):
                await self.loop.create_connection(make, *self.address)
        except OSError as error:
            self.count -= 1
            if error.errno in OURS:
                self.engine.on_out_of_descriptors()
            if request.is_active and request.attempts == tries and request.connection is None:
                self.engine.on_attempt_ended(request, "descriptors" if error.errno in OURS else "refused_connection")
            self._next()
            return
        self.engine.on_connected(now_us() - began)
        self.engine.count("connections")
        connection = made[0]
        if not request.is_active or request.attempts != tries or request.connection is not None:
            self.free(connection)  # its time was up meanwhile, or it had another connection
        elif connection.usable():
            connection.carry(request)
        else:
            self.crossed(request)

    def free(self, connection: Connection) -> None:
        if not connection.usable():
            return
        request = self._first_waiting()
        if request is not None:
            connection.carry(request)
        elif self.keep:
            self._idle.append(connection)
        else:
            connection._spoiled()

    def _first_waiting(self) -> Request | None:
        while self._waiting:
            request, tries = self._waiting.popleft()
            if request.is_active and request.attempts == tries and request.written_at_us == 0:
                return request
        return None

    def _next(self) -> None:
        if self.count < self._most and (request := self._first_waiting()) is not None:
            self._dial(request)

    def lost(self, connection: Connection) -> None:
        self.count -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        self._next()

    def crossed(self, request: Request) -> None:
        """Its connection ended with no answer: once more on a new one, then it is lost."""
        if request.was_resent:
            return self.engine.on_attempt_ended(request, "lost")
        request.was_resent = True
        self.engine.count("resent")
        self._dial(request)

    def close(self) -> None:
        for task in self._dials:
            task.cancel()
        for connection in self._idle:
            connection._spoiled()
        self._idle.clear()


def read(answer: object) -> tuple[str, float | None]:
    """What an answer means, and when to come back (ms) where it says so."""
    if isinstance(answer, bytes):
        return "served", None
    if isinstance(answer, list):
        return ("served" if answer and isinstance(answer[0], bytes) else "failed"), None
    if isinstance(answer, hiredis.ReplyError):
        words = str(answer).split()
        if words and words[0] == "BUSY":
            return "refused", float(words[1]) if len(words) > 1 and words[1].isdigit() else None
    return "failed", None


def _value(answer: object) -> bytes:
    if isinstance(answer, bytes):
        return answer
    return answer[0] if isinstance(answer, list) and answer and isinstance(answer[0], bytes) else b""


def command(account: str, id: bytes, terms: bytes) -> bytes:
    return b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
        account.encode(),
        len(id),
        id,
        len(terms),
        terms,
    )
