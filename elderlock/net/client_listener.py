"""The listener for clients: accepts connections, limits their number and drains them before the process exits."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from elderlock.net.client_commands import CommandParser
from elderlock.net.client_connection import ClientConnection
from elderlock.net.command_scheduler import CommandScheduler
from elderlock.net.connection_owner import CloseReason
from elderlock.net.gateway import Gateway
from elderlock.net.input_budget import InputBudget

# Fraction of the process's descriptors for client connections; connections to servers have a separate fraction.
CLIENT_DESCRIPTOR_FRACTION = 0.45
# Fraction of the process's descriptors for connections that have sent a command; above it, the longest idle one is
# closed. Clients may hold up to a third for requests: without a limit on idle connections, others could not connect.
IDLE_DESCRIPTOR_FRACTION = 1 / 6
RECEIVE_BUFFER_BYTES = 1 << 14
SMALL_RECEIVE_BUFFER_BYTES = 1 << 11
BACKLOG = 1024
# How long a connection may wait for a complete command, or for its client to read an answer.
SILENCE_LIMIT_S = 2.0
TIMEOUT_CHECK_INTERVAL_S = 0.5
# A connection is not closed as idle within this time of its last command.
RECENT_USE_S = 0.1
# Time for sending the last answers before the process exits.
FLUSH_TIMEOUT_S = 0.1
# Time for the loop to read input that has already arrived, before connections are closed.
PENDING_INPUT_DELAY_S = 0.01

log = logging.getLogger(__name__)


class ClientListener:
    """The listener for clients and all their connections.

    Attributes:
        loop: The event loop.
        gateway: Handles the clients' requests.
        parser: Parses the requests; shared by all connections.
        receive_buffer: Shared by all connections.
        small_receive_buffer: A part of it.
        scheduler: Gives connections their turns to handle commands.
        input_budget: Limits the memory for commands that wait on connections.
        is_draining: Whether each connection closes once it has no answer pending.
        is_cordoned: Whether an operator drained this limiter; `uncordon` undoes it.
        on_cordon: Called with `is_cordoned` when it changes, to drain another frontend together with this one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, gateway: Gateway, max_descriptors: int) -> None:
        """Initialise the listener; `listen` opens it.

        Args:
            loop: The event loop.
            gateway: Handles the clients' requests.
            max_descriptors: Maximum number of file descriptors of the whole process.
        """
        self.loop = loop
        self.gateway = gateway
        self.parser = CommandParser(gateway.settings, gateway.max_request_units)
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.small_receive_buffer = self.receive_buffer[:SMALL_RECEIVE_BUFFER_BYTES]
        self.scheduler = CommandScheduler(loop)
        self.is_draining = False
        self.is_cordoned = False
        self.on_cordon: Callable[[bool], None] | None = None
        self._max_connections = int(max_descriptors * CLIENT_DESCRIPTOR_FRACTION)
        self.input_budget = InputBudget(gateway.memory.input, self._max_connections)
        self._max_idle = int(max_descriptors * IDLE_DESCRIPTOR_FRACTION)
        # Each connection is in one of these: `_used` in the order of the last complete command, the oldest first;
        # `_unused` before its first command; `_half_closed` while it only waits for its client to close.
        self._used: dict[ClientConnection, None] = {}
        self._unused: dict[ClientConnection, None] = {}
        self._half_closed: dict[ClientConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._is_empty = asyncio.Event()
        self._is_shutting_down = False
        self._logged_input = (0, 0)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._used) + len(self._unused) + len(self._half_closed)

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address and return the port, which the kernel chooses if `port` is 0."""
        self._server = await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=BACKLOG)
        self._check_timeouts()
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def _check_timeouts(self) -> None:
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        limit_s = self.loop.time() - SILENCE_LIMIT_S
        for connection in [*self._used, *self._unused]:
            connection.check_timeout(limit_s)
        self._log_rejected_input()

    def _log_rejected_input(self) -> None:
        """Log what found no memory since the last check."""
        budget = self.input_budget
        counts = (budget.rejected_count, budget.discarded_count)
        rejected_count, discarded_count = (now - before for now, before in zip(counts, self._logged_input, strict=True))
        if rejected_count or discarded_count:
            self._logged_input = counts
            log.warning(
                "client input: %d commands rejected, %d incomplete ones discarded, %d bytes held",
                rejected_count,
                discarded_count,
                budget.used_bytes,
            )

    # Callbacks of the connections

    def connection_opened(self, connection: ClientConnection) -> None:
        """Count a new connection; above the limit, evict one."""
        self._unused[connection] = None
        self._is_empty.clear()
        if len(self) > self._max_connections:
            evicted = self._eviction_candidate(connection) or connection
            self.connection_closed(evicted)  # stop counting it now, so that the next connection evicts no other
            evicted.log_unanswered(CloseReason.DESCRIPTOR_LIMIT)
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
        """Return the connection to close in favour of a new one, or None.

        The first connection of each kind nearly always qualifies, so a burst of new connections does not scan all
        connections each time.
        """
        for connection in self._half_closed:
            if connection.is_flushed():
                return connection
        for connection in self._unused:
            if connection is not newest and connection.is_answered():
                return connection
        # Even a recently used connection qualifies: if a request crosses the close, its client retries on a new
        # connection, while a rejected connection nearly always carries a request, which would fail. A connection that
        # has sent no command yet may hold part of one: its request is not taken before the last byte.
        for connection in self._used:
            if connection.is_idle():
                return connection
        return None

    def _retire_oldest_idle(self) -> None:
        """Close the longest idle connection, unless it was used within `RECENT_USE_S`.

        The first connection nearly always qualifies. A recently used connection is in constant use: closing it would
        cost a new connection for each request.
        """
        limit_s = self.loop.time() - RECENT_USE_S
        for connection in self._used:
            if connection.waiting_since_s > limit_s:
                return
            if connection.is_idle():
                connection.retire(CloseReason.IDLE_LIMIT)
                return

    # An operator's drain

    def cordon(self) -> None:
        """Report to the load balancer that this limiter is drained, and close connections without pending answers.

        Requests that still arrive are served, so that a drain loses no request. `uncordon` undoes it.
        """
        if self.is_cordoned:
            return
        self.is_cordoned = True
        self._notify_cordon()
        # As in `drain`: the connection of a request that has already arrived must not be closed.
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

    # Shutdown

    async def drain(self, accept_for_s: float, time_limit_s: float) -> None:
        """Drain all connections before the process exits; returns when none is left.

        Args:
            accept_for_s: How long connections are still accepted, as the load balancer keeps sending them for a while.
            time_limit_s: After this time, open requests are failed and further ones are rejected, with an answer each.
        """
        # Closing the connection of a request that has already arrived would look to the client like a lost request.
        # So would closing an unused connection, as it was probably just opened for a request.
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
            connection.close_if_done()  # including connections opened during the wait that were never used
        if not await self._wait_until_empty(ends_at_s - self.loop.time()):
            self.gateway.end_requests()
            for connection in [*self._used, *self._unused]:
                connection.reject_commands()
            await self._wait_until_empty(FLUSH_TIMEOUT_S)
            for connection in [*self._used, *self._unused]:
                connection.log_unanswered(CloseReason.PROCESS_END)

    async def _wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until no connection is left; return False on a timeout."""
        if len(self):
            self._is_empty.clear()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._is_empty.wait()
            except TimeoutError:
                return False
        return True
