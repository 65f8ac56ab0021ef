"""A connection to a server, and the attempt that it carries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

from elderlock.interface import Outcome
from elderlock.net.resp import AnswerReader, ProtocolError
from elderlock.net.unread_input import UnreadInput

AttemptEndedCallback = Callable[["Attempt", Outcome, bytes | None], None]


class Attempt:
    """A request sent to one server. It has exactly one outcome, which `end` reports.

    Attributes:
        request_id: The gateway's id of the request.
        attempt_index: Index among the request's attempts, from 0.
        server_id: The server that it is sent to.
        encode: Encodes the command, given how long (ms) this limiter waits for the answer.
        started_at_ms: When it started, before connecting.
        expires_at_ms: When it times out.
        is_sent: Whether the command was written; from then on the server may execute it.
        is_ended: Whether it has an outcome.
        connection: The connection that carries it; None while there is none.
        timer: The timer of its timeout.
    """

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
        self,
        request_id: str,
        attempt_index: int,
        server_id: str,
        encode: Callable[[float], bytes],
        on_end: AttemptEndedCallback,
    ) -> None:
        self.request_id = request_id
        self.attempt_index = attempt_index
        self.server_id = server_id
        self.encode = encode
        self._on_end = on_end
        self.started_at_ms = 0.0
        self.expires_at_ms = 0.0
        self.is_sent = False
        self.is_ended = False
        self.connection: ServerConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def end(self, outcome: Outcome, value: bytes | None = None) -> None:
        """Set the attempt's outcome; without effect if it already has one."""
        if self.is_ended:
            return
        self.is_ended = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._on_end(self, outcome, value)

    def abandon(self, outcome: Outcome) -> None:
        """Stop waiting for the answer, and end with `outcome`.

        The connection is closed, which tells the server. A connection that is still being established is kept for the
        next request.
        """
        connection = self.connection
        if connection is not None:
            connection.drop()
        self.end(outcome)

    def time_out(self) -> None:
        """End the attempt at its timeout. If it was never written, the server has not executed it."""
        self.abandon(Outcome.TIMEOUT if self.is_sent else Outcome.CONNECT_FAILED)


class ConnectionState(Enum):
    """The state of a connection to a server."""

    CONNECTING = "connecting"  # not in its pool yet
    IDLE = "idle"
    BUSY = "busy"  # carries an attempt


class ConnectionContext(Protocol):
    """Resources and settings that all connections to servers share.

    Attributes:
        receive_buffer: Shared by all connections; the bytes are copied out before the next read.
        stall_timeout_s: How long an answer may take from its first byte to its last.
        call_later: Starts a timer on the event loop.
        on_load_report: Called with the server and its load report, if set.
    """

    receive_buffer: memoryview
    stall_timeout_s: float
    on_load_report: Callable[[str, bytes], None] | None

    def call_later(self, delay_s: float, callback: Callable[[], object]) -> asyncio.TimerHandle:
        """Start a timer on the event loop."""


class OwningPool(Protocol):
    """The interface that a connection uses of its pool."""

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool once it has its answer."""

    def connection_lost(self, connection: ServerConnection) -> None:
        """Stop counting a connection that has ended."""

    def remove_idle(self, connection: ServerConnection) -> None:
        """Remove a connection from the idle connections."""


class ServerConnection(asyncio.BufferedProtocol):
    """A connection that carries one attempt at a time.

    Servers answer in the order of the requests, so a second request on a connection would wait for a slow first one.

    Attributes:
        pool: The pool that it belongs to.
        state: Its state.
        attempt: The attempt that it carries; None unless it is busy.
        idle_since_ms: When its last attempt ended.
    """

    __slots__ = (
        "_context",
        "_reader",
        "_stall_timer",
        "_transport",
        "_unread_input",
        "attempt",
        "idle_since_ms",
        "pool",
        "state",
    )

    def __init__(self, context: ConnectionContext, pool: OwningPool) -> None:
        self._context = context
        self.pool = pool
        self.state = ConnectionState.CONNECTING
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self._reader = AnswerReader()
        self._stall_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._unread_input: UnreadInput | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; the pool takes the connection over when the task that connects continues."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not derive from asyncio's
        self._unread_input = UnreadInput(transport)

    def is_usable(self) -> bool:
        """Whether a command can be written."""
        return self._transport is not None and not self._transport.is_closing()

    def has_unread_input(self) -> bool:
        """Whether a usable connection's socket holds input, such as a copy of its last answer or the server's close."""
        return self._unread_input is not None and self._unread_input.is_waiting()

    def send(self, attempt: Attempt, now_ms: float) -> None:
        """Write the attempt's command."""
        assert self._transport is not None
        self.state = ConnectionState.BUSY
        self.attempt = attempt
        attempt.connection = self
        # From here on the server may execute it: whether the last byte was sent before a reset is not known.
        attempt.is_sent = True
        self._transport.write(attempt.encode(attempt.expires_at_ms - now_ms))

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self._context.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Read the answer, and end the attempt once it is complete."""
        if self.attempt is None:
            # No request is open: a duplicate answer or garbage, which must not be taken for the next request's answer.
            self.abort()
            return
        self._reader.feed(self._context.receive_buffer[:nbytes])
        try:
            answer = self._reader.next_message()
        except ProtocolError:
            self._fail_on_bad_answer()
            return
        if answer is None:
            if self._stall_timer is None:  # an answer that announces too great a length is never completed
                self._stall_timer = self._context.call_later(self._context.stall_timeout_s, self._fail_on_bad_answer)
            return
        attempt = self._detach_attempt()
        if self._reader.pending_bytes():  # bytes follow the answer: it is valid, but the connection cannot be reused
            self.abort()
        else:
            self.pool.release(self)
        if attempt is None:
            return
        value, text = answer  # the value and a load report, or None and an error's text
        if self._context.on_load_report is not None:
            self._context.on_load_report(attempt.server_id, text)
        if value is not None:
            attempt.end(Outcome.OK, value)
        else:
            attempt.end(Outcome.FULL if text.split(b" ", 1)[0] == b"BUSY" else Outcome.ERROR)

    def drop(self) -> None:
        """Stop waiting for the answer and close the connection, which tells the server."""
        self._detach_attempt()
        self.abort()

    def _detach_attempt(self) -> Attempt | None:
        attempt = self.attempt
        if attempt is not None:
            self.attempt = None
            self.state = ConnectionState.IDLE
            attempt.connection = None
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        return attempt

    def _fail_on_bad_answer(self) -> None:
        """End the attempt as failed: the server may have executed it, and the connection can no longer be parsed."""
        attempt = self.attempt
        self.drop()
        if attempt is not None:
            attempt.end(Outcome.ERROR)

    def connection_lost(self, _exc: Exception | None) -> None:
        """End the attempt as reset: the server may have executed it."""
        attempt = self._detach_attempt()
        if self.state is not ConnectionState.CONNECTING:  # while connecting, `ServerPools._connect` does the counting
            self.pool.connection_lost(self)
        if attempt is not None:
            attempt.end(Outcome.RESET)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
