"""The listener for clients: it accepts connections, bounds their number and drains them before an exit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from elderlock.net.client_commands import CommandParser
from elderlock.net.client_connection import ClientConnection
from elderlock.net.gateway import Gateway

# Of the process's descriptors, for all client connections; the connections to servers have a fraction of their own.
CLIENT_DESCRIPTOR_FRACTION = 0.45
# Of the process's descriptors, for connections that have sent a command; above it the longest idle one is closed.
# Clients hold a third at most for requests: if connections idle without limit, other clients could not connect.
IDLE_DESCRIPTOR_FRACTION = 1 / 6
RECEIVE_BUFFER_BYTES = 1 << 14
BACKLOG = 1024
# How long a connection may be without a complete command, or a client not read its answers.
SILENCE_LIMIT_S = 2.0
TIMEOUT_CHECK_INTERVAL_S = 0.5
# A connection whose last command is more recent than this is not closed for being idle.
RECENT_USE_S = 0.1
# How long the last answers have to leave before the exit.
FLUSH_TIMEOUT_S = 0.1
# In this time the loop reads what has come in already, before connections are closed.
PENDING_INPUT_DELAY_S = 0.01


class ClientListener:
    """The listener for clients and all their connections.

    Attributes:
        loop: The event loop.
        gateway: Takes the clients' requests.
        parser: Parses the requests; shared by all connections.
        receive_buffer: Shared by all connections.
        is_draining: Whether each connection closes once it has no answer pending.
        is_cordoned: Whether an operator drained this limiter, which `uncordon` ends.
        on_cordon: Called with `is_cordoned` when that changes; for a further frontend that is drained with this one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, gateway: Gateway, max_descriptors: int) -> None:
        """Initialise the listener; `listen` opens it.

        Args:
            loop: The event loop.
            gateway: Takes the clients' requests.
            max_descriptors: Descriptors that the whole process may hold.
        """
        self.loop = loop
        self.gateway = gateway
        self.parser = CommandParser(gateway.settings, gateway.max_request_units)
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.is_draining = False
        self.is_cordoned = False
        self.on_cordon: Callable[[bool], None] | None = None
        self._max_connections = int(max_descriptors * CLIENT_DESCRIPTOR_FRACTION)
        self._max_idle = int(max_descriptors * IDLE_DESCRIPTOR_FRACTION)
        # Each connection is in one of these: `_used` in the order of their last complete command, the oldest first;
        # `_unused` have not sent one yet; `_half_closed` only wait for their client to close.
        self._used: dict[ClientConnection, None] = {}
        self._unused: dict[ClientConnection, None] = {}
        self._half_closed: dict[ClientConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._is_empty = asyncio.Event()
        self._is_shutting_down = False

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._used) + len(self._unused) + len(self._half_closed)

    async def listen(self, host: str, port: int) -> int:
        """Open the listener and return its port, which the kernel chooses if `port` is 0."""
        self._server = await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=BACKLOG)
        self._check_timeouts()
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def _check_timeouts(self) -> None:
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        limit_s = self.loop.time() - SILENCE_LIMIT_S
        for connection in [*self._used, *self._unused]:
            connection.check_timeout(limit_s)

    # What the connections report

    def connection_opened(self, connection: ClientConnection) -> None:
        """Count a new connection; above the limit, evict one."""
        self._unused[connection] = None
        self._is_empty.clear()
        if len(self) > self._max_connections:
            evicted = self._eviction_candidate(connection) or connection
            self.connection_closed(evicted)  # it no longer counts, so that the next one is spared
            evicted.abort()

    def command_received(self, connection: ClientConnection) -> None:
        """Record that the connection has sent a complete command: it is the most recently used."""
        self._unused.pop(connection, None)
        self._used.pop(connection, None)
        self._used[connection] = None
        if len(self._used) > self._max_idle:
            self._retire_oldest_idle()

    def connection_half_closed(self, connection: ClientConnection) -> None:
        """Record that the connection only waits for its client to close."""
        self._unused.pop(connection, None)
        self._used.pop(connection, None)
        self._half_closed[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        """Stop counting the connection."""
        for connections in (self._half_closed, self._unused, self._used):
            connections.pop(connection, None)
        if not len(self):
            self._is_empty.set()

    # The limits on connections

    def _eviction_candidate(self, newest: ClientConnection) -> ClientConnection | None:
        """Return the connection whose descriptor a new one gets, or None.

        The first of each kind is nearly always the one, so that a burst of connections does not cost a pass over all
        of them each time.
        """
        for connection in self._half_closed:
            if connection.is_flushed():
                return connection
        for connection in self._unused:
            if connection is not newest and connection.is_idle():
                return connection
        # However recently it was used: its client retries on a new connection if a request crosses the close, while a
        # connection that is rejected nearly always brings a request, which then fails.
        for connection in self._used:
            if connection.is_idle():
                return connection
        return None

    def _retire_oldest_idle(self) -> None:
        """Close the longest idle connection, unless that was used just now.

        The first is nearly always the one. One that was used just now is in constant use: to close it would cost a
        connection for each request.
        """
        limit_s = self.loop.time() - RECENT_USE_S
        for connection in self._used:
            if connection.waiting_since_s > limit_s:
                return
            if connection.is_idle():
                connection.retire()
                return

    # An operator's drain

    def cordon(self) -> None:
        """Ask the load balancer to stay away, and close each connection once it has no answer pending.

        What still comes is served, so that a drain loses no request. `uncordon` ends it.
        """
        if self.is_cordoned:
            return
        self.is_cordoned = True
        self._notify_cordon()
        # as in `drain`: a request that is already here must not meet a closed connection
        self.loop.call_later(PENDING_INPUT_DELAY_S, self._drain_if_cordoned)

    def _drain_if_cordoned(self) -> None:
        if self.is_cordoned:
            self.is_draining = True
            self._close_done()

    def _close_done(self) -> None:
        for connection in list(self._used):
            connection.close_if_done()

    def uncordon(self) -> None:
        """End an operator's drain; without effect once the process shuts down."""
        if self.is_cordoned and not self._is_shutting_down:
            self.is_cordoned = False
            self.is_draining = False
            self._notify_cordon()

    def _notify_cordon(self) -> None:
        if self.on_cordon is not None:
            self.on_cordon(self.is_cordoned)

    # The shutdown

    async def drain(self, accept_for_s: float, time_limit_s: float) -> None:
        """Drain all connections for the end of the process; returns when none is left.

        Args:
            accept_for_s: How long connections are still accepted, as the load balancer goes on sending them for a
                while.
            time_limit_s: After this, open requests are failed, and their answers are given the time to leave.
        """
        # A request that is already here must not meet a closed connection, and one that was never used was opened to
        # carry a request just now: both would look lost to the client.
        self._is_shutting_down = True
        ends_at_s = self.loop.time() + time_limit_s
        await asyncio.sleep(PENDING_INPUT_DELAY_S)
        self.is_draining = True
        self._close_done()
        await asyncio.sleep(min(accept_for_s, time_limit_s))
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(PENDING_INPUT_DELAY_S)
        for connection in [*self._used, *self._unused]:
            connection.close_if_done()  # now also those that were opened meanwhile and never used
        if not await self._wait_until_empty(ends_at_s - self.loop.time()):
            self.gateway.fail_open_requests()
            await self._wait_until_empty(FLUSH_TIMEOUT_S)

    async def _wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until no connection is left; return whether none is."""
        if len(self):
            self._is_empty.clear()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._is_empty.wait()
            except TimeoutError:
                return False
        return True
