"""A RESP2 client of the limiters: pooled or one-shot connections with one request at a time on each.

A request whose connection ends without an answer is sent once more on a new connection, as the protocol requires of its
clients. An answer to a request that was given up counts as late, and an answer that no request explains as stray.
"""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from typing import Protocol, cast

import hiredis

from elderlock.load.clock import now_us
from elderlock.load.schedule import Arrival

LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM)  # of this machine
LATE_ANSWER_TIMEOUT_S = 2.0  # how long the answer to a timed-out request is awaited, to count it as late
CONNECT_TIMEOUT_S = 10.0  # longer than the timeout of the request that needs the connection
MISSING = object()


class Request:
    """One request of the schedule with all its attempts.

    Attributes:
        number: Number of the request in the schedule.
        arrival: The scheduled arrival.
        intended_start_us: Intended start by `now_us`.
        policy_index: Number of the client policy and of the connection pools.
        id: Id of the current attempt on the wire.
        attempts: Number of attempts started.
        target: Number of the current attempt's target; -1 before the first.
        written_at_us: Time at which the current attempt was written; 0 before.
        was_sent: Any attempt was written.
        is_finished: The request has its final outcome.
        was_resent: The current attempt was already sent again after its connection had ended.
        is_active: An attempt is in progress.
        outcome: Outcome of the last attempt that was sent; if none was, the reason why.
        connection: Connection that waits for the answer.
        timeout_timer: Timer of the current attempt's timeout.
        departure_timer: Timer of the client's disconnection.
        retry_timer: Timer of the next attempt.
    """

    __slots__ = (
        "arrival",
        "attempts",
        "connection",
        "departure_timer",
        "id",
        "intended_start_us",
        "is_active",
        "is_finished",
        "number",
        "outcome",
        "policy_index",
        "retry_timer",
        "target",
        "timeout_timer",
        "was_resent",
        "was_sent",
        "written_at_us",
    )

    def __init__(self, number: int, arrival: Arrival, intended_start_us: int, policy_index: int) -> None:
        self.number, self.arrival = number, arrival
        self.intended_start_us, self.policy_index = intended_start_us, policy_index
        self.id = b""
        self.attempts = 0
        self.target = -1
        self.written_at_us = 0
        self.was_sent = self.is_finished = self.was_resent = False
        self.is_active = False
        self.outcome = ""
        self.connection: Connection | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.departure_timer: asyncio.TimerHandle | None = None
        self.retry_timer: asyncio.TimerHandle | None = None


class Engine(Protocol):
    """Receives the events of connections and attempts."""

    def on_request_written(self, request: Request) -> None:
        """Record that the current attempt was written."""

    def on_attempt_ended(self, request: Request, outcome: str, advice: float | None = None) -> None:
        """Record the outcome of the current attempt and the advised wait in ms, if any."""

    def request_terms(self, request: Request) -> bytes:
        """Return the request's names and values for the wire, as of the time of writing."""

    def count(self, name: str) -> None:
        """Count an event."""

    def on_connected(self, took_us: int) -> None:
        """Record the time that a new connection took to open."""

    def on_out_of_descriptors(self) -> None:
        """Record that a connection failed for lack of descriptors or ports."""


class Connection(asyncio.Protocol):
    """A connection to a limiter.

    Attributes:
        pool: The pool that opened it.
        request: The request that waits for its answer on it.
        owes_late_answer: The answer to a timed-out request is still awaited.
        transport: The transport, once it is connected.
    """

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.request: Request | None = None
        self.owes_late_answer = False
        self.transport: asyncio.Transport | None = None
        self._parser = hiredis.Reader(notEnoughData=MISSING)
        self._answered = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def is_usable(self) -> bool:
        """Return whether a request can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, request: Request) -> None:
        """Write the current attempt of a request and wait for its answer."""
        assert self.transport is not None
        self.request, request.connection = request, self
        request.written_at_us = now_us()
        terms = self.pool.engine.request_terms(request)
        data = command(request.arrival.account, request.id, terms)
        if request.arrival.pause_ms:
            half = len(data) // 2
            self.transport.write(data[:half])
            self.pool.loop.call_later(
                request.arrival.pause_ms / 1000.0, self._write_rest, request, request.attempts, data[half:]
            )
        else:
            self.transport.write(data)
        self.pool.engine.on_request_written(request)

    def _write_rest(self, request: Request, attempts: int, data: bytes) -> None:
        if self.is_usable() and self.transport is not None and (self.request is request or self.owes_late_answer):
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes and handle complete answers."""
        self._parser.feed(data)
        try:
            while (answer := self._parser.gets()) is not MISSING:
                self._on_answer(answer)
        except hiredis.ProtocolError:
            self.pool.engine.count("stray_answers")
            self._abort()

    def _on_answer(self, answer: object) -> None:
        request, engine = self.request, self.pool.engine
        if request is None:
            engine.count("late_answers" if self.owes_late_answer else "stray_answers")
            if self.owes_late_answer:
                self.owes_late_answer = False
                self.pool.release(self)
            else:
                self._abort()  # later answers could not be matched to their requests
            return
        self.request = request.connection = None
        outcome, advice = outcome_of(answer)
        if outcome == "served" and self.pool.verify and request.id not in _value(answer):
            engine.count("mismatched")
            outcome = "failed"
            self._abort()
        elif self.pool.keep:
            self.pool.release(self)
        else:
            self._abort()
        engine.on_attempt_ended(request, outcome, advice)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def give_up(self, client_left: bool) -> None:
        """Stop waiting for the answer: the attempt has timed out, or the client has left, which closes the connection.

        Args:
            client_left: The client has left.
        """
        self.request = None
        if client_left:
            return self._abort()
        self.owes_late_answer = True
        self.pool.loop.call_later(LATE_ANSWER_TIMEOUT_S, self._give_up_late_answer)

    def _give_up_late_answer(self) -> None:
        if self.owes_late_answer:
            self._abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from its pool and send its request again."""
        self.pool.remove(self)
        request, self.request = self.request, None
        if request is not None and request.is_active:
            request.connection = None
            self.pool.resend_or_fail(request)


class Pool:
    """The connections of one kind of client to one target. Above the maximum, requests wait for a free connection.

    Attributes:
        engine: Receives the events.
        loop: The event loop.
        address: Host and port of the target.
        keep: Connections are reused.
        verify: Each answer must contain the id of its request.
        count: Number of connections, including those being opened.
    """

    def __init__(
        self,
        engine: Engine,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        keep: bool,
        maximum: int,
        verify: bool,
    ) -> None:
        self.engine, self.loop, self.address = engine, loop, address
        self.keep, self.verify, self._maximum = keep, verify, maximum
        self.count = 0
        self._idle: list[Connection] = []
        self._waiting: deque[tuple[Request, int]] = deque()
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def send(self, request: Request) -> None:
        """Send the current attempt of a request on an idle or a new connection, or queue it."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection.send(request)
        if self.count >= self._maximum:
            self.engine.count("waited")
            self._waiting.append((request, request.attempts))
        else:
            self._connect(request)

    def _connect(self, request: Request) -> None:
        self.count += 1
        task = self.loop.create_task(self._open(request, request.attempts))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _open(self, request: Request, attempts: int) -> None:
        started_at_us = now_us()
        connections: list[Connection] = []

        def make() -> Connection:
            connections.append(Connection(self))
            return connections[0]

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(make, *self.address)
        except OSError as error:
            self.count -= 1
            is_local_error = error.errno in LOCAL_ERRORS
            if is_local_error:
                self.engine.on_out_of_descriptors()
            if request.is_active and request.attempts == attempts and request.connection is None:
                self.engine.on_attempt_ended(request, "descriptors" if is_local_error else "refused_connection")
            self._connect_next()
            return
        self.engine.on_connected(now_us() - started_at_us)
        self.engine.count("connections")
        connection = connections[0]
        if not request.is_active or request.attempts != attempts or request.connection is not None:
            self.release(connection)  # meanwhile the attempt has ended, or it has another connection
        elif connection.is_usable():
            connection.send(request)
        else:
            self.resend_or_fail(request)

    def release(self, connection: Connection) -> None:
        """Use a connection without a request for the next waiting one; else keep or close it."""
        if not connection.is_usable():
            return
        request = self._next_waiting()
        if request is not None:
            connection.send(request)
        elif self.keep:
            self._idle.append(connection)
        else:
            connection._abort()

    def _next_waiting(self) -> Request | None:
        while self._waiting:
            request, attempts = self._waiting.popleft()
            if request.is_active and request.attempts == attempts and request.written_at_us == 0:
                return request
        return None

    def _connect_next(self) -> None:
        if self.count < self._maximum and (request := self._next_waiting()) is not None:
            self._connect(request)

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self.count -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        self._connect_next()

    def resend_or_fail(self, request: Request) -> None:
        """Handle the end of a request's connection without an answer.

        The first time, the request is sent again on a new connection. The second time, the attempt counts as lost.
        """
        if request.was_resent:
            return self.engine.on_attempt_ended(request, "lost")
        request.was_resent = True
        self.engine.count("resent")
        self._connect(request)

    def close(self) -> None:
        """Close the idle connections and cancel those being opened."""
        for task in self._connect_tasks:
            task.cancel()
        for connection in self._idle:
            connection._abort()
        self._idle.clear()


def outcome_of(answer: object) -> tuple[str, float | None]:
    """Return the outcome that an answer means, and the advised wait in ms if it contains one."""
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
    """Return the RESP command of a request: the account, the id of the attempt, and its names and values."""
    return b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
        account.encode(),
        len(id),
        id,
        len(terms),
        terms,
    )
