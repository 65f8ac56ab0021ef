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
from elderlock.net.targets import EndpointList, ListedServer
from elderlock.settings_reader import SocketSettings

SERVER_DESCRIPTOR_FRACTION = 0.3  # of the descriptors: the rest is for clients, discovery and peers
MAX_PER_SERVER_FRACTION = 0.5  # of those: one server that hangs must not take the connections of all others
IDLE_KEEPALIVE_FRACTION = 0.8  # of the keepalive: a request written when that has run out ends as a reset
REUSE_DELAY_MS = 20.0  # ms before a connection is used again: what comes right behind an answer is seen first
CONNECT_OBJECTIVE_FRACTION = 0.15  # aims that a dial may take before its request goes elsewhere
STALL_OBJECTIVE_FRACTION = 0.1  # aims between the first byte of an answer and its last
RECEIVE_BUFFER_BYTES = 1 << 14  # bytes read at once, whatever a server sends
LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM)

AttemptEndedCallback = Callable[["Attempt", Outcome, bytes | None], None]

log = logging.getLogger(__name__)


class Attempt:
    """One copy of a request at one server. It has exactly one outcome, given by `end`."""

    __slots__ = (
        "_on_end",
        "attempt_index",
        "connection",
        "encode",
        "expires_at_ms",
        "is_ended",
        "is_sent",
        "request_id",
        "server_id",
        "started_at_ms",
        "timer",
    )

    def __init__(
        self, request: str, number: int, server: str, encode: Callable[[float], bytes], ended: AttemptEndedCallback
    ) -> None:
        self.request_id, self.attempt_index, self.server_id = request, number, server
        self.encode, self._on_end = encode, ended
        self.started_at_ms = self.expires_at_ms = 0.0
        self.is_sent = self.is_ended = False
        self.connection: ServerConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def end(self, outcome: Outcome, value: bytes | None = None) -> None:
        if self.is_ended:
            return
        self.is_ended = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._on_end(self, outcome, value)

    def abandon(self, outcome: Outcome) -> None:
        """Stops waiting. Closing the connection tells the server; a dial goes on, as it is paid for."""
        connection = self.connection
        if connection is not None:
            connection.drop()
        self.end(outcome)

    def time_out(self) -> None:
        # what was not written to a connection that never came up has not run
        self.abandon(Outcome.TIMEOUT if self.is_sent else Outcome.CONNECT_FAILED)


class ServerConnection(asyncio.BufferedProtocol):
    """A connection that carries one attempt at a time: answers come in order, so a second one would
    wait behind a slow first."""

    __slots__ = ("_pools", "_reader", "_stall_timer", "_transport", "adopted", "attempt", "idle_since_ms", "pool")

    def __init__(self, servers: ServerPools, pool: ServerPool) -> None:
        self._pools, self.pool = servers, pool
        self.attempt: Attempt | None = None
        self.adopted = False  # its dial has ended well; until then the dial counts it
        self.idle_since_ms = 0.0
        self._reader = AnswerReader()
        self._stall_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop has no common base class

    def is_usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def send(self, attempt: Attempt, now: float) -> None:
        assert self._transport is not None
        self.attempt, attempt.connection = attempt, self
        # from here on it may run: a break before the last byte left is not told apart from one after
        attempt.is_sent = True
        self._transport.write(attempt.encode(attempt.expires_at_ms - now))

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._pools.receive_buffer  # one for all: what is read is taken out before the next read

    def buffer_updated(self, nbytes: int) -> None:
        if self.attempt is None:
            # nothing was asked: a second copy or noise, which must not answer the next request
            return self.abort()
        self._reader.feed(self._pools.receive_buffer[:nbytes])
        try:
            answer = self._reader.next_message()
        except ProtocolError:
            return self._fail_on_bad_answer()
        if answer is None:
            if self._stall_timer is None:  # a length that was too long is waited for in vain
                self._stall_timer = self._pools.call_later(self._pools.stall_timeout_s, self._fail_on_bad_answer)
            return
        attempt = self._detach_attempt()
        if self._reader.pending_bytes():  # more than belongs to it: the answer is good, the connection is not
            self.abort()
        else:
            self.pool.release(self)
        if attempt is not None:
            value, text = answer
            if self._pools.on_load_report is not None:
                self._pools.on_load_report(attempt.server_id, text)
            if value is not None:
                attempt.end(Outcome.OK, value)
            else:
                attempt.end(Outcome.FULL if text.split(b" ", 1)[0] == b"BUSY" else Outcome.ERROR)

    def drop(self) -> None:
        """Stops waiting for the answer, which the server hears of by the end of its connection."""
        self._detach_attempt()
        self.abort()

    def _detach_attempt(self) -> Attempt | None:
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.connection = None
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        return attempt

    def _fail_on_bad_answer(self) -> None:
        """What came is no answer: the request may have run, and nothing more can be read here."""
        attempt = self.attempt
        self.drop()
        if attempt is not None:
            attempt.end(Outcome.ERROR)

    def connection_lost(self, exc: Exception | None) -> None:
        attempt = self._detach_attempt()
        if self.adopted:
            self.pool.connection_lost(self)
        if attempt is not None:
            attempt.end(Outcome.RESET)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class ServerPool:
    """The connections to one process at one address; a process that restarted gets a new pool."""

    __slots__ = ("_pools", "address", "connection_count", "entry", "idle", "is_closed", "is_draining")

    def __init__(self, servers: ServerPools, target: ListedServer) -> None:
        self._pools = servers
        self.address, self.entry = target.address, target.entry
        self.idle: list[ServerConnection] = []  # the most recently used last
        self.connection_count = 0  # open ones and dials
        self.is_draining = self.is_closed = False

    def release(self, connection: ServerConnection) -> None:
        if self.is_draining or self.is_closed:
            connection.abort()
        elif connection.is_usable():
            connection.idle_since_ms = self._pools.now_ms()
            self.idle.append(connection)
            self._pools.idle_connections[connection] = None

    def connection_lost(self, connection: ServerConnection) -> None:
        self.connection_count -= 1
        self._pools.connection_count -= 1
        if connection in self._pools.idle_connections:
            self.remove_idle(connection)

    def remove_idle(self, connection: ServerConnection) -> None:
        """One that stands idle does so no more."""
        self.idle.remove(connection)
        del self._pools.idle_connections[connection]

    def take_idle(self) -> ServerConnection | None:
        """The one used last that has stood long enough for whatever came behind its answer to show: a
        copy that arrives once it carries the next request would be that one's answer."""
        now = self._pools.now_ms()
        for at in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[at]
            if now - connection.idle_since_ms < self._pools.reuse_delay_ms:
                continue
            del self.idle[at]
            del self._pools.idle_connections[connection]
            if connection.is_usable() and now - connection.idle_since_ms < self._pools.idle_limit_ms:
                return connection
            connection.abort()
        return None

    def close_idle(self) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            del self._pools.idle_connections[connection]
            connection.abort()


class ServerPools:
    """All pools, bounded together. `ended` hears the one outcome of every attempt."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: SocketSettings,
        aim: float,
        sockets: int,
        now: Callable[[], float],
        ended: AttemptEndedCallback,
    ) -> None:
        self._loop, self._on_attempt_end, self.now_ms = loop, ended, now
        self._connect_timeout_s = settings.connect_timeout_ms / 1000.0
        self._connect_wait_ms = min(settings.connect_timeout_ms, CONNECT_OBJECTIVE_FRACTION * aim)
        self.stall_timeout_s = STALL_OBJECTIVE_FRACTION * aim / 1000.0
        self.idle_limit_ms = settings.keepalive_ms * IDLE_KEEPALIVE_FRACTION
        self.reuse_delay_ms = REUSE_DELAY_MS
        self._max_connections = int(sockets * SERVER_DESCRIPTOR_FRACTION)
        self._max_per_server = max(1, int(self._max_connections * MAX_PER_SERVER_FRACTION))
        self.connection_count = 0
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.call_later = loop.call_later
        self.on_load_report: Callable[[str, bytes], None] | None = None  # hears the load reports, if anyone does
        self._pools: dict[str, ServerPool] = {}
        self._by_address: dict[tuple[str, int], ServerPool] = {}
        # of all pools, the longest idle first; a plain dict would step over those deleted at its front each time
        self.idle_connections: OrderedDict[ServerConnection, None] = OrderedDict()
        self._connect_tasks: set[asyncio.Task[None]] = set()  # a task that nothing holds may be collected

    def apply_list(self, listed: EndpointList) -> list[ServerEntry]:
        """Takes in a list. Returns those that it names but whose address another has by now, as gone:
        what went there under the old name would come to a process that nobody meant, a cold one."""
        if listed.is_complete:
            named = {target.entry.server_id for target in listed.servers}
            for server in [name for name in self._pools if name not in named]:
                self._remove(server)
        replaced = []
        for target in listed.servers:
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
                pool = self._pools[server] = self._by_address[target.address] = ServerPool(self, target)
            pool.is_draining = target.entry.state is not ServerState.RUNNING
            if pool.is_draining:
                pool.close_idle()
        return replaced

    def endpoints(self) -> dict[str, tuple[str, int]]:
        """Where the connections to each server go, and how many there are, dials included."""
        return {name: ("%s:%d" % pool.address, pool.connection_count) for name, pool in self._pools.items()}

    def _remove(self, server: str) -> None:
        pool = self._pools.pop(server)
        if self._by_address.get(pool.address) is pool:
            del self._by_address[pool.address]
        self._close(pool)

    def _close(self, pool: ServerPool) -> None:
        pool.is_closed = True
        pool.close_idle()

    def start_attempt(
        self, request: str, number: int, server: str, timeout: float, encode: Callable[[float], bytes]
    ) -> Attempt:
        """Starts an attempt; its time-out runs from now, a dial included."""
        attempt = Attempt(request, number, server, encode, self._on_attempt_end)
        attempt.started_at_ms = self.now_ms()
        attempt.expires_at_ms = attempt.started_at_ms + timeout
        pool = self._pools.get(server)
        if pool is None or pool.is_draining:
            attempt.end(Outcome.NOT_FORWARDED)
            return attempt
        connection = pool.take_idle()
        if connection is not None:
            self._send_on(attempt, connection)
        elif pool.connection_count >= self._max_per_server or not self._reserve_connection():
            attempt.end(Outcome.NOT_FORWARDED)  # it is us who have no room: nothing is learnt of the server
        else:
            # a dial that hangs must leave time for another server; it goes on, for whoever comes next
            within = min(timeout, self._connect_wait_ms)
            attempt.timer = self.call_later(max(within, 0.0) / 1000.0, attempt.time_out)
            pool.connection_count += 1
            self.connection_count += 1
            task = self._loop.create_task(self._connect(pool, attempt))
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)
        return attempt

    def _send_on(self, attempt: Attempt, connection: ServerConnection) -> None:
        now = self.now_ms()
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.timer = self.call_later(max(attempt.expires_at_ms - now, 0.0) / 1000.0, attempt.time_out)
        connection.send(attempt, now)

    def _reserve_connection(self) -> bool:
        """Whether one more may be opened; at the bound, one that has stood idle longest gives way."""
        if self.connection_count < self._max_connections:
            return True
        if not self.idle_connections:
            return False
        oldest = next(iter(self.idle_connections))
        oldest.pool.remove_idle(oldest)
        oldest.abort()
        return True

    async def _connect(self, pool: ServerPool, attempt: Attempt) -> None:
        host, port = pool.address
        connection, failed = ServerConnection(self, pool), Outcome.CONNECT_FAILED
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._loop.create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError) as error:
            connection.abort()  # it may have come up in the same moment
            if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRNOS:
                failed = Outcome.NOT_FORWARDED
        connection.adopted = connection.is_usable()
        if not connection.adopted:  # counted down here alone, whether or not it was up for a moment
            pool.connection_count -= 1
            self.connection_count -= 1
            attempt.end(failed)
        elif attempt.is_ended:  # cancelled or timed out meanwhile: nothing may be written for it any more
            pool.release(connection)
        elif pool.is_draining or pool.is_closed:  # heard of the drain while dialling
            pool.release(connection)
            attempt.end(Outcome.NOT_FORWARDED)
        else:
            self._send_on(attempt, connection)

    def close_expired(self) -> None:
        """Closes what has stood idle, before the servers do so under a request just written."""
        before = self.now_ms() - self.idle_limit_ms
        while self.idle_connections and (oldest := next(iter(self.idle_connections))).idle_since_ms < before:
            oldest.pool.remove_idle(oldest)
            oldest.abort()

    def close(self) -> None:
        for pool in self._pools.values():
            self._close(pool)
