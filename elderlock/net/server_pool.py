"""Pools of connections to the servers, one per address, with a common limit and an idle timeout."""

from __future__ import annotations

import asyncio
import errno
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace

from elderlock.interface import Outcome, ServerEntry, ServerState
from elderlock.net.config import Address
from elderlock.net.endpoint_list import EndpointList, ListedServer
from elderlock.net.server_connection import Attempt, AttemptEndedCallback, ConnectionState, ServerConnection
from elderlock.settings_reader import SocketSettings

# Fraction of the process's descriptors; the others are for clients, discovery and peers.
SERVER_DESCRIPTOR_FRACTION = 0.3
# Fraction of those for one server, so that a server that hangs cannot use up the connections of all others.
MAX_PER_SERVER_FRACTION = 0.5
# Fraction of the servers' keepalive timeout: a request written after the timeout ends as a reset.
IDLE_KEEPALIVE_FRACTION = 0.8
# Delay before a connection is reused; a duplicate that directly follows an answer arrives meanwhile.
REUSE_DELAY_MS = 20.0
# Fraction of the latency objective: how long a request waits for a new connection before it is sent elsewhere.
CONNECT_OBJECTIVE_FRACTION = 0.15
# Fraction of the latency objective: the maximum time between the first byte of an answer and its last.
STALL_OBJECTIVE_FRACTION = 0.1
RECEIVE_BUFFER_BYTES = 1 << 14
# Errors caused by this machine's limits, which do not count against the server.
LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM)


class ServerPool:
    """The connections to one server process at one address; a restarted process gets a new pool.

    Attributes:
        address: The address that the connections are opened to.
        entry: The server's entry in the list when the pool was created.
        idle: Idle connections, the most recently used last.
        connection_count: Number of open connections and of those being established.
        is_draining: Whether no new attempt is sent.
        is_closed: Whether the pool is no longer in use.
    """

    __slots__ = ("_pools", "address", "connection_count", "entry", "idle", "is_closed", "is_draining")

    def __init__(self, pools: ServerPools, listed: ListedServer) -> None:
        self._pools = pools
        self.address = listed.address
        self.entry = listed.entry
        self.idle: list[ServerConnection] = []
        self.connection_count = 0
        self.is_draining = False
        self.is_closed = False

    def is_same_process(self, listed: ListedServer) -> bool:
        """Whether the listed server is the same process at the same address."""
        return self.address == listed.address and self.entry.started_at_ms == listed.entry.started_at_ms

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool once it has its answer, or if its attempt ended before it was established."""
        if self.is_draining or self.is_closed:
            connection.abort()
        elif connection.is_usable():
            connection.idle_since_ms = self._pools.now_ms()
            self.idle.append(connection)
            self._pools.idle_connections[connection] = None

    def connection_lost(self, connection: ServerConnection) -> None:
        """Stop counting a connection that has ended."""
        self.connection_count -= 1
        self._pools.connection_count -= 1
        if connection in self._pools.idle_connections:
            self.remove_idle(connection)

    def remove_idle(self, connection: ServerConnection) -> None:
        """Remove a connection from the idle connections."""
        self.idle.remove(connection)
        del self._pools.idle_connections[connection]

    def take_idle(self) -> ServerConnection | None:
        """Take the most recently used connection that can be reused; return None if there is none.

        It must have been idle long enough for bytes that follow its last answer to arrive, and none may have arrived: a
        duplicate would be taken for the answer to the next request. Bytes that arrived may not have been read, if the
        process was held up or busy.
        """
        now_ms = self._pools.now_ms()
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms < self._pools.reuse_delay_ms:
                continue
            del self.idle[index]
            del self._pools.idle_connections[connection]
            has_expired = idle_ms >= self._pools.idle_limit_ms
            if not has_expired and connection.is_usable() and not connection.has_unread_input():
                return connection
            connection.abort()
        return None

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle = self.idle
        self.idle = []
        for connection in idle:
            del self._pools.idle_connections[connection]
            connection.abort()


class ServerPools:
    """The pools of all listed servers, with a common limit.

    Attributes:
        now_ms: Returns the current time.
        call_later: Starts a timer on the event loop.
        stall_timeout_s: How long an answer may take from its first byte to its last.
        idle_limit_ms: How long a connection may be idle.
        reuse_delay_ms: How long a connection must be idle before it is used again.
        connection_count: Number of open connections of all pools and of those being established.
        receive_buffer: Shared by all connections.
        on_load_report: Called with the server and its load report, if set.
        idle_connections: Idle connections of all pools, the longest idle first.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: SocketSettings,
        latency_objective_ms: float,
        max_descriptors: int,
        now_ms: Callable[[], float],
        on_attempt_end: AttemptEndedCallback,
    ) -> None:
        """Initialise without pools; `apply_list` creates them.

        Args:
            loop: The event loop.
            settings: Timeouts of connections.
            latency_objective_ms: The shortest latency objective of the request classes.
            max_descriptors: Maximum number of file descriptors of the whole process.
            now_ms: Returns the current time.
            on_attempt_end: Called once for each attempt, with its outcome.
        """
        self._loop = loop
        self._on_attempt_end = on_attempt_end
        self.now_ms = now_ms
        self.call_later = loop.call_later
        self._connect_timeout_s = settings.connect_timeout_ms / 1000.0
        self._connect_wait_ms = min(settings.connect_timeout_ms, CONNECT_OBJECTIVE_FRACTION * latency_objective_ms)
        self.stall_timeout_s = STALL_OBJECTIVE_FRACTION * latency_objective_ms / 1000.0
        self.idle_limit_ms = settings.keepalive_ms * IDLE_KEEPALIVE_FRACTION
        self.reuse_delay_ms = REUSE_DELAY_MS
        self._max_connections = int(max_descriptors * SERVER_DESCRIPTOR_FRACTION)
        self._max_per_server = max(1, int(self._max_connections * MAX_PER_SERVER_FRACTION))
        self.connection_count = 0
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.on_load_report: Callable[[str, bytes], None] | None = None
        self._pools: dict[str, ServerPool] = {}
        self._by_address: dict[Address, ServerPool] = {}
        # Finding the first key of a plain dict skips all entries that were deleted at its front.
        self.idle_connections: OrderedDict[ServerConnection, None] = OrderedDict()
        self._connect_tasks: set[asyncio.Task[None]] = set()  # an unreferenced task may be garbage-collected

    # Server lists

    def apply_list(self, listed: EndpointList) -> list[ServerEntry]:
        """Create, drain and close pools according to a list.

        Returns:
            Entries that mark servers as removed because a newer server has their address. Requests sent to such a
            server would reach the newer process, which may still be warming up.
        """
        if listed.is_complete:
            listed_ids = {server.entry.server_id for server in listed.servers}
            for server_id in [pool_id for pool_id in self._pools if pool_id not in listed_ids]:
                self._remove(server_id)
        replaced = []
        # Servers that drain or are gone come first: one of them may have the address of a server that runs.
        for server in sorted(listed.servers, key=lambda server: server.entry.state is ServerState.RUNNING):
            server_id = server.entry.server_id
            if server.entry.state is ServerState.REMOVED:
                if server_id in self._pools:
                    self._remove(server_id)
                continue
            older = self._older_at_address(server)
            if older is not None:
                replaced.append(replace(older, state=ServerState.REMOVED))
                if older.server_id in self._pools:
                    self._remove(older.server_id)
                if older.server_id == server_id:
                    continue
            self._apply_server(server)
        return replaced

    def _older_at_address(self, listed: ListedServer) -> ServerEntry | None:
        """Return the older of two servers with the same address, or None if only this one has the address.

        A server that drains or is gone is older than one that runs, whatever their start times: those are 0 for servers
        that started long ago, also for one that has only now taken the address.
        """
        other = self._by_address.get(listed.address)
        if other is None or other is self._pools.get(listed.entry.server_id):
            return None
        is_running = listed.entry.state is ServerState.RUNNING
        other_age = (not other.is_draining, other.entry.started_at_ms)
        return listed.entry if (is_running, listed.entry.started_at_ms) < other_age else other.entry

    def _apply_server(self, listed: ListedServer) -> None:
        server_id = listed.entry.server_id
        pool = self._pools.get(server_id)
        if pool is not None and not pool.is_same_process(listed):  # connections to the old process break
            self._remove(server_id)
            pool = None
        if pool is None:
            pool = self._pools[server_id] = self._by_address[listed.address] = ServerPool(self, listed)
        pool.is_draining = listed.entry.state is not ServerState.RUNNING
        if pool.is_draining:
            pool.close_idle()

    def endpoints(self) -> dict[str, tuple[str, int]]:
        """Return each server's address as text and its number of connections, including those being established."""
        return {server_id: ("%s:%d" % pool.address, pool.connection_count) for server_id, pool in self._pools.items()}

    def _remove(self, server_id: str) -> None:
        pool = self._pools.pop(server_id)
        if self._by_address.get(pool.address) is pool:
            del self._by_address[pool.address]
        self._close(pool)

    def _close(self, pool: ServerPool) -> None:
        pool.is_closed = True
        pool.close_idle()

    # Attempts

    def start_attempt(
        self, request_id: str, attempt_index: int, server_id: str, timeout_ms: float, encode: Callable[[float], bytes]
    ) -> Attempt:
        """Start an attempt; its timeout starts now and includes the time to connect."""
        attempt = Attempt(request_id, attempt_index, server_id, encode, self._on_attempt_end)
        attempt.started_at_ms = self.now_ms()
        attempt.expires_at_ms = attempt.started_at_ms + timeout_ms
        pool = self._pools.get(server_id)
        if pool is None or pool.is_draining:
            attempt.end(Outcome.NOT_FORWARDED)
            return attempt
        connection = pool.take_idle()
        if connection is not None:
            self._send_on(attempt, connection)
        elif pool.connection_count >= self._max_per_server or not self._reserve_connection():
            attempt.end(Outcome.NOT_FORWARDED)  # the limit is this limiter's and does not count against the server
        else:
            self._start_connecting(pool, attempt, timeout_ms)
        return attempt

    def _start_connecting(self, pool: ServerPool, attempt: Attempt, timeout_ms: float) -> None:
        """Open a connection for an attempt.

        If connecting hangs, the attempt ends early enough for the request to try another server. The connection is
        still established, for the next request.
        """
        wait_ms = min(timeout_ms, self._connect_wait_ms)
        attempt.timer = self.call_later(max(wait_ms, 0.0) / 1000.0, attempt.time_out)
        pool.connection_count += 1
        self.connection_count += 1
        task = self._loop.create_task(self._connect(pool, attempt))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    def _send_on(self, attempt: Attempt, connection: ServerConnection) -> None:
        now_ms = self.now_ms()
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.timer = self.call_later(max(attempt.expires_at_ms - now_ms, 0.0) / 1000.0, attempt.time_out)
        connection.send(attempt, now_ms)

    def _reserve_connection(self) -> bool:
        """Return whether a connection may be opened; at the limit, the longest idle one is closed to make room."""
        if self.connection_count < self._max_connections:
            return True
        if not self.idle_connections:
            return False
        self._close_longest_idle()
        return True

    def _close_longest_idle(self) -> None:
        oldest = next(iter(self.idle_connections))
        oldest.pool.remove_idle(oldest)
        oldest.abort()

    async def _connect(self, pool: ServerPool, attempt: Attempt) -> None:
        host, port = pool.address
        connection = ServerConnection(self, pool)
        failure = Outcome.CONNECT_FAILED
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._loop.create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError) as error:
            connection.abort()  # it may have been established at the same moment
            if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRNOS:
                failure = Outcome.NOT_FORWARDED
        if not connection.is_usable():  # stop counting it, even if it was established briefly
            pool.connection_count -= 1
            self.connection_count -= 1
            attempt.end(failure)
            return
        connection.state = ConnectionState.IDLE
        if attempt.is_ended:  # cancelled or timed out while connecting: nothing may be written for it
            pool.release(connection)
        elif pool.is_draining or pool.is_closed:  # a list changed this while connecting
            pool.release(connection)
            attempt.end(Outcome.NOT_FORWARDED)
        else:
            self._send_on(attempt, connection)

    # Maintenance

    def close_expired(self) -> None:
        """Close connections that were idle too long, before a server closes one just as a request is written."""
        limit_ms = self.now_ms() - self.idle_limit_ms
        while self.idle_connections and next(iter(self.idle_connections)).idle_since_ms < limit_ms:
            self._close_longest_idle()

    def close(self) -> None:
        """Close all pools; open attempts continue."""
        for pool in self._pools.values():
            self._close(pool)
