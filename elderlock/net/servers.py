"""Pooled connections to the servers, the attempts on them, and how each attempt ended."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, cast

import hiredis

from elderlock.interface import Outcome, ServerState
from elderlock.net.discovery import Target, TargetList
from elderlock.settings import SocketSettings

SERVER_SHARE = 0.4  # of the descriptors: the rest is for clients, discovery and peers
MOST_PER_SERVER = 0.5  # of those: one server that hangs must not take the connections of all others
IDLE_PART = 0.8  # of the keepalive: a request written when that has run out ends as a reset
LONGEST_ANSWER = 1 << 18  # bytes buffered for one answer; values hold at most 64 KiB
MISSING = object()

Ended = Callable[["Attempt", Outcome, bytes | None], None]

log = logging.getLogger(__name__)


class Attempt:
    """One copy of a request at one server. It has exactly one outcome, given by `end`."""

    __slots__ = ("_ended", "connection", "encode", "expires", "number", "over", "pool", "request", "sent",
                 "server", "started", "timer")  # fmt: skip

    def __init__(
        self, request: str, number: int, server: str, encode: Callable[[float], bytes], ended: Ended
    ) -> None:
        self.request, self.number, self.server = request, number, server
        self.encode, self._ended = encode, ended
        self.started = self.expires = 0.0
        self.sent = self.over = False
        self.connection: ServerConnection | None = None
        self.pool: Pool | None = None
        self.timer: asyncio.TimerHandle | None = None

    def end(self, outcome: Outcome, value: bytes | None = None) -> None:
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._ended(self, outcome, value)

    def give_up(self, outcome: Outcome) -> None:
        """Stops waiting. Closing the connection tells the server; a dial goes on, as it is paid for."""
        connection = self.connection
        if connection is not None:
            self.connection = connection.attempt = None
            connection.abort()
        self.end(outcome)

    def timed_out(self) -> None:
        # what was not written to a connection that never came up has not run
        self.give_up(Outcome.TIMEOUT if self.sent else Outcome.CONNECT_FAILED)


class ServerConnection(asyncio.Protocol):
    """A connection that carries one attempt at a time: answers come in order, so a second one would
    wait behind a slow first."""

    __slots__ = ("_buffered", "_reader", "_transport", "adopted", "attempt", "idle_at", "pool")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.attempt: Attempt | None = None
        self.adopted = False  # its dial has ended well; until then the dial counts it
        self.idle_at = 0.0
        self._reader = hiredis.Reader(notEnoughData=MISSING)
        self._buffered = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop has no common base class

    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def carry(self, attempt: Attempt, now: float) -> None:
        assert self._transport is not None
        self.attempt, attempt.connection = attempt, self
        # from here on it may run: a break before the last byte left is not told apart from one after
        attempt.sent = True
        self._buffered = 0
        self._transport.write(attempt.encode(attempt.expires - now))

    def data_received(self, data: bytes) -> None:
        self._buffered += len(data)
        try:
            self._reader.feed(data)
            answer = self._reader.gets()
            extra = answer is not MISSING and self._reader.gets() is not MISSING
        except (hiredis.HiredisError, ValueError, MemoryError):
            return self._spoiled()
        if answer is MISSING:
            if self._buffered > LONGEST_ANSWER:
                self._spoiled()
            return
        attempt, self.attempt = self.attempt, None
        outcome, value = outcome_of(answer)
        if attempt is None or extra:  # an answer that nothing asked for: order is lost on this connection
            self.abort()
        if attempt is not None:
            attempt.connection = None
            if not extra:
                self.pool.release(self)
            attempt.end(outcome, value)

    def _spoiled(self) -> None:
        """What came is no answer: the request may have run, and nothing more can be read here."""
        attempt, self.attempt = self.attempt, None
        self.abort()
        if attempt is not None:
            attempt.connection = None
            attempt.end(Outcome.ERROR)

    def connection_lost(self, exc: Exception | None) -> None:
        attempt, self.attempt = self.attempt, None
        if self.adopted:
            self.pool.lost(self)
        if attempt is not None:
            attempt.connection = None
            attempt.end(Outcome.RESET)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def outcome_of(answer: Any) -> tuple[Outcome, bytes | None]:
    """The outcome that a whole answer stands for, and the value of one that was served."""
    if isinstance(answer, list) and answer and isinstance(answer[0], bytes):
        return Outcome.OK, answer[0]
    if isinstance(answer, hiredis.ReplyError) and str(answer).split(" ", 1)[0] == "BUSY":
        return Outcome.FULL, None
    return Outcome.ERROR, None


class Pool:
    """The connections to one process at one address; a process that restarted gets a new pool."""

    __slots__ = ("_servers", "address", "closed", "count", "idle", "leaving", "started_at")

    def __init__(self, servers: Servers, target: Target) -> None:
        self._servers = servers
        self.address, self.started_at = target.address, target.entry.started_at
        self.idle: list[ServerConnection] = []  # the most recently used last
        self.count = 0  # open ones and dials
        self.leaving = self.closed = False

    def release(self, connection: ServerConnection) -> None:
        if self.leaving or self.closed:
            connection.abort()
        elif connection.usable():
            connection.idle_at = self._servers.now()
            self.idle.append(connection)

    def lost(self, connection: ServerConnection) -> None:
        self.count -= 1
        self._servers.count -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def take(self) -> ServerConnection | None:
        fresh = self._servers.now() - self._servers.idle_for
        while self.idle:
            connection = self.idle.pop()
            if connection.usable() and connection.idle_at > fresh:
                return connection
            connection.abort()
        return None

    def drop_idle(self, before: float = float("inf")) -> None:
        stale = [connection for connection in self.idle if connection.idle_at < before]
        self.idle = [connection for connection in self.idle if connection.idle_at >= before]
        for connection in stale:
            connection.abort()


class Servers:
    """All pools, bounded together. `ended` hears the one outcome of every attempt."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: SocketSettings,
        sockets: int,
        now: Callable[[], float],
        ended: Ended,
    ) -> None:
        self._loop, self._ended, self.now = loop, ended, now
        self._dial_timeout = settings.dial_timeout / 1000.0
        self.idle_for = settings.keepalive * IDLE_PART
        self._most = int(sockets * SERVER_SHARE)
        self._most_each = max(1, int(self._most * MOST_PER_SERVER))
        self.count = 0
        self._pools: dict[str, Pool] = {}
        self._dials: set[asyncio.Task[None]] = set()  # a task that nothing holds may be collected

    def update(self, listed: TargetList) -> None:
        if listed.complete:
            named = {target.entry.server for target in listed.targets}
            for server in [name for name in self._pools if name not in named]:
                self._close(self._pools.pop(server))
        for target in listed.targets:
            server, pool = target.entry.server, self._pools.get(target.entry.server)
            if target.entry.state is ServerState.GONE:
                if pool is not None:
                    self._close(self._pools.pop(server))
                continue
            moved = pool is not None and (
                pool.address != target.address or pool.started_at != target.entry.started_at
            )
            if pool is not None and moved:  # connections of the process before are dead or soon will be
                self._close(pool)
            if pool is None or moved:
                pool = self._pools[server] = Pool(self, target)
            pool.leaving = target.entry.state is not ServerState.RUNNING
            if pool.leaving:
                pool.drop_idle()

    def _close(self, pool: Pool) -> None:
        pool.closed = True
        pool.drop_idle()

    def send(
        self, request: str, number: int, server: str, timeout: float, encode: Callable[[float], bytes]
    ) -> Attempt:
        """Starts an attempt; its time-out runs from now, a dial included."""
        attempt = Attempt(request, number, server, encode, self._ended)
        attempt.started = self.now()
        attempt.expires = attempt.started + timeout
        pool = attempt.pool = self._pools.get(server)
        if pool is None or pool.leaving:
            attempt.end(Outcome.MOOT)
            return attempt
        attempt.timer = self._loop.call_later(max(timeout, 0.0) / 1000.0, attempt.timed_out)
        connection = pool.take()
        if connection is not None:
            connection.carry(attempt, attempt.started)
        elif pool.count >= self._most_each or not self._make_room():
            attempt.end(Outcome.CONNECT_FAILED)
        else:
            pool.count += 1
            self.count += 1
            task = self._loop.create_task(self._dial(pool, attempt))
            self._dials.add(task)
            task.add_done_callback(self._dials.discard)
        return attempt

    def _make_room(self) -> bool:
        """Whether one more may be opened; at the bound, one that has stood idle longest gives way."""
        if self.count < self._most:
            return True
        idle = [pool.idle[0] for pool in self._pools.values() if pool.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_at)
        oldest.pool.idle.remove(oldest)
        oldest.abort()
        return True

    async def _dial(self, pool: Pool, attempt: Attempt) -> None:
        host, port = pool.address
        connection = ServerConnection(pool)
        try:
            async with asyncio.timeout(self._dial_timeout):
                await self._loop.create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError):
            connection.abort()  # it may have come up in the same moment
        now = self.now()
        connection.adopted = connection.usable()
        if not connection.adopted:  # counted down here alone, whether or not it was up for a moment
            pool.count -= 1
            self.count -= 1
            attempt.end(Outcome.CONNECT_FAILED)
        elif attempt.over:  # cancelled or timed out meanwhile: nothing may be written for it any more
            pool.release(connection)
        elif pool.leaving or pool.closed:  # heard of the drain while dialling
            pool.release(connection)
            attempt.end(Outcome.MOOT)
        else:
            connection.carry(attempt, now)

    def sweep(self) -> None:
        """Closes what has stood idle, before the servers do so under a request just written."""
        before = self.now() - self.idle_for
        for pool in self._pools.values():
            if pool.idle:
                pool.drop_idle(before)

    def close(self) -> None:
        for pool in self._pools.values():
            self._close(pool)
