"""Pooled connections to the servers, the attempts on them, and how each attempt ended."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from typing import cast

from elderlock.interface import Outcome, ServerEntry, ServerState
from elderlock.net.resp import AnswerReader, ProtocolError
from elderlock.net.targets import Target, TargetList
from elderlock.settings_reader import SocketSettings

SERVER_SHARE = 0.3  # of the descriptors: the rest is for clients, discovery and peers
MOST_PER_SERVER = 0.5  # of those: one server that hangs must not take the connections of all others
IDLE_PART = 0.8  # of the keepalive: a request written when that has run out ends as a reset
SETTLE = 20.0  # ms before a connection is used again: what comes right behind an answer is seen first
DIAL_AIMS = 0.15  # aims that a dial may take before its request goes elsewhere
STALL_AIMS = 0.1  # aims between the first byte of an answer and its last
RECEIVE = 1 << 14  # bytes read at once, whatever a server sends
OUR_OWN = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM)

Ended = Callable[["Attempt", Outcome, bytes | None], None]

log = logging.getLogger(__name__)


class Attempt:
    """One copy of a request at one server. It has exactly one outcome, given by `end`."""

    __slots__ = (
        "_ended",
        "connection",
        "encode",
        "expires",
        "number",
        "over",
        "pool",
        "request",
        "sent",
        "server",
        "started",
        "timer",
    )

    def __init__(self, request: str, number: int, server: str, encode: Callable[[float], bytes], ended: Ended) -> None:
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
            connection.drop()
        self.end(outcome)

    def timed_out(self) -> None:
        # what was not written to a connection that never came up has not run
        self.give_up(Outcome.TIMEOUT if self.sent else Outcome.CONNECT_FAILED)


class ServerConnection(asyncio.BufferedProtocol):
    """A connection that carries one attempt at a time: answers come in order, so a second one would
    wait behind a slow first."""

    __slots__ = ("_reader", "_servers", "_stall", "_transport", "adopted", "attempt", "idle_at", "pool")

    def __init__(self, servers: Servers, pool: Pool) -> None:
        self._servers, self.pool = servers, pool
        self.attempt: Attempt | None = None
        self.adopted = False  # its dial has ended well; until then the dial counts it
        self.idle_at = 0.0
        self._reader = AnswerReader()
        self._stall: asyncio.TimerHandle | None = None
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
        self._transport.write(attempt.encode(attempt.expires - now))

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._servers.received  # one for all: what is read is taken out before the next read

    def buffer_updated(self, nbytes: int) -> None:
        if self.attempt is None:
            # nothing was asked: a second copy or noise, which must not answer the next request
            return self.abort()
        self._reader.feed(self._servers.received[:nbytes])
        try:
            answer = self._reader.next()
        except ProtocolError:
            return self._spoiled()
        if answer is None:
            if self._stall is None:  # a length that was too long is waited for in vain
                self._stall = self._servers.later(self._servers.stall, self._spoiled)
            return
        attempt = self._let_go()
        if self._reader.pending():  # more than belongs to it: the answer is good, the connection is not
            self.abort()
        else:
            self.pool.release(self)
        if attempt is not None:
            value, text = answer
            if self._servers.reported is not None:
                self._servers.reported(attempt.server, text)
            if value is not None:
                attempt.end(Outcome.OK, value)
            else:
                attempt.end(Outcome.FULL if text.split(b" ", 1)[0] == b"BUSY" else Outcome.ERROR)

    def drop(self) -> None:
        """Stops waiting for the answer, which the server hears of by the end of its connection."""
        self._let_go()
        self.abort()

    def _let_go(self) -> Attempt | None:
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.connection = None
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None
        return attempt

    def _spoiled(self) -> None:
        """What came is no answer: the request may have run, and nothing more can be read here."""
        attempt = self.attempt
        self.drop()
        if attempt is not None:
            attempt.end(Outcome.ERROR)

    def connection_lost(self, exc: Exception | None) -> None:
        attempt = self._let_go()
        if self.adopted:
            self.pool.lost(self)
        if attempt is not None:
            attempt.end(Outcome.RESET)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class Pool:
    """The connections to one process at one address; a process that restarted gets a new pool."""

    __slots__ = ("_servers", "address", "closed", "count", "entry", "idle", "leaving")

    def __init__(self, servers: Servers, target: Target) -> None:
        self._servers = servers
        self.address, self.entry = target.address, target.entry
        self.idle: list[ServerConnection] = []  # the most recently used last
        self.count = 0  # open ones and dials
        self.leaving = self.closed = False

    def release(self, connection: ServerConnection) -> None:
        if self.leaving or self.closed:
            connection.abort()
        elif connection.usable():
            connection.idle_at = self._servers.now()
            self.idle.append(connection)
            self._servers.idle[connection] = None

    def lost(self, connection: ServerConnection) -> None:
        self.count -= 1
        self._servers.count -= 1
        if connection in self._servers.idle:
            self.forget(connection)

    def forget(self, connection: ServerConnection) -> None:
        """One that stands idle does so no more."""
        self.idle.remove(connection)
        del self._servers.idle[connection]

    def take(self) -> ServerConnection | None:
        """The one used last that has stood long enough for whatever came behind its answer to show: a
        copy that arrives once it carries the next request would be that one's answer."""
        now = self._servers.now()
        for at in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[at]
            if now - connection.idle_at < self._servers.settle:
                continue
            del self.idle[at]
            del self._servers.idle[connection]
            if connection.usable() and now - connection.idle_at < self._servers.idle_for:
                return connection
            connection.abort()
        return None

    def drop_idle(self) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            del self._servers.idle[connection]
            connection.abort()


class Servers:
    """All pools, bounded together. `ended` hears the one outcome of every attempt."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: SocketSettings,
        aim: float,
        sockets: int,
        now: Callable[[], float],
        ended: Ended,
    ) -> None:
        self._loop, self._ended, self.now = loop, ended, now
        self._dial_timeout = settings.connect_timeout_ms / 1000.0
        self._dial_within = min(settings.connect_timeout_ms, DIAL_AIMS * aim)
        self.stall = STALL_AIMS * aim / 1000.0
        self.idle_for = settings.keepalive_ms * IDLE_PART
        self.settle = SETTLE
        self._most = int(sockets * SERVER_SHARE)
        self._most_each = max(1, int(self._most * MOST_PER_SERVER))
        self.count = 0
        self.received = memoryview(bytearray(RECEIVE))
        self.later = loop.call_later
        self.reported: Callable[[str, bytes], None] | None = None  # hears the load reports, if anyone does
        self._pools: dict[str, Pool] = {}
        self._by_address: dict[tuple[str, int], Pool] = {}
        # of all pools, the longest idle first; a plain dict would step over those deleted at its front each time
        self.idle: OrderedDict[ServerConnection, None] = OrderedDict()
        self._dials: set[asyncio.Task[None]] = set()  # a task that nothing holds may be collected

    def update(self, listed: TargetList) -> list[ServerEntry]:
        """Takes in a list. Returns those that it names but whose address another has by now, as gone:
        what went there under the old name would come to a process that nobody meant, a cold one."""
        if listed.complete:
            named = {target.entry.server_id for target in listed.targets}
            for server in [name for name in self._pools if name not in named]:
                self._remove(server)
        replaced = []
        for target in listed.targets:
            server, pool = target.entry.server_id, self._pools.get(target.entry.server_id)
            if target.entry.state is ServerState.REMOVED:
                if pool is not None:
                    self._remove(server)
                continue
            other = self._by_address.get(target.address)
            if other is not None and other is not pool:
                older = min(other.entry, target.entry, key=lambda entry: entry.started_at_ms)
                replaced.append(replace(older, state=ServerState.REMOVED))
                if older.server_id in self._pools:
                    self._remove(older.server_id)
                if older.server_id == server:
                    continue
            moved = pool is not None and (
                pool.address != target.address or pool.entry.started_at_ms != target.entry.started_at_ms
            )
            if pool is not None and moved:  # connections of the process before are dead or soon will be
                self._remove(server)
            if pool is None or moved:
                pool = self._pools[server] = self._by_address[target.address] = Pool(self, target)
            pool.leaving = target.entry.state is not ServerState.RUNNING
            if pool.leaving:
                pool.drop_idle()
        return replaced

    def endpoints(self) -> dict[str, tuple[str, int]]:
        """Where the connections to each server go, and how many there are, dials included."""
        return {name: ("%s:%d" % pool.address, pool.count) for name, pool in self._pools.items()}

    def _remove(self, server: str) -> None:
        pool = self._pools.pop(server)
        if self._by_address.get(pool.address) is pool:
            del self._by_address[pool.address]
        self._close(pool)

    def _close(self, pool: Pool) -> None:
        pool.closed = True
        pool.drop_idle()

    def send(self, request: str, number: int, server: str, timeout: float, encode: Callable[[float], bytes]) -> Attempt:
        """Starts an attempt; its time-out runs from now, a dial included."""
        attempt = Attempt(request, number, server, encode, self._ended)
        attempt.started = self.now()
        attempt.expires = attempt.started + timeout
        pool = attempt.pool = self._pools.get(server)
        if pool is None or pool.leaving:
            attempt.end(Outcome.NOT_FORWARDED)
            return attempt
        connection = pool.take()
        if connection is not None:
            self._carry(attempt, connection)
        elif pool.count >= self._most_each or not self._make_room():
            attempt.end(Outcome.NOT_FORWARDED)  # it is us who have no room: nothing is learnt of the server
        else:
            # a dial that hangs must leave time for another server; it goes on, for whoever comes next
            within = min(timeout, self._dial_within)
            attempt.timer = self.later(max(within, 0.0) / 1000.0, attempt.timed_out)
            pool.count += 1
            self.count += 1
            task = self._loop.create_task(self._dial(pool, attempt))
            self._dials.add(task)
            task.add_done_callback(self._dials.discard)
        return attempt

    def _carry(self, attempt: Attempt, connection: ServerConnection) -> None:
        now = self.now()
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.timer = self.later(max(attempt.expires - now, 0.0) / 1000.0, attempt.timed_out)
        connection.carry(attempt, now)

    def _make_room(self) -> bool:
        """Whether one more may be opened; at the bound, one that has stood idle longest gives way."""
        if self.count < self._most:
            return True
        if not self.idle:
            return False
        oldest = next(iter(self.idle))
        oldest.pool.forget(oldest)
        oldest.abort()
        return True

    async def _dial(self, pool: Pool, attempt: Attempt) -> None:
        host, port = pool.address
        connection, failed = ServerConnection(self, pool), Outcome.CONNECT_FAILED
        try:
            async with asyncio.timeout(self._dial_timeout):
                await self._loop.create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError) as error:
            connection.abort()  # it may have come up in the same moment
            if isinstance(error, OSError) and error.errno in OUR_OWN:
                failed = Outcome.NOT_FORWARDED
        connection.adopted = connection.usable()
        if not connection.adopted:  # counted down here alone, whether or not it was up for a moment
            pool.count -= 1
            self.count -= 1
            attempt.end(failed)
        elif attempt.over:  # cancelled or timed out meanwhile: nothing may be written for it any more
            pool.release(connection)
        elif pool.leaving or pool.closed:  # heard of the drain while dialling
            pool.release(connection)
            attempt.end(Outcome.NOT_FORWARDED)
        else:
            self._carry(attempt, connection)

    def sweep(self) -> None:
        """Closes what has stood idle, before the servers do so under a request just written."""
        before = self.now() - self.idle_for
        while self.idle and (oldest := next(iter(self.idle))).idle_at < before:
            oldest.pool.forget(oldest)
            oldest.abort()

    def close(self) -> None:
        for pool in self._pools.values():
            self._close(pool)
