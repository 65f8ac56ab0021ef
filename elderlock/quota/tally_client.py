"""A client of the platform's counter: TALLY commands over RESP2, pipelined on one connection."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import cast

import hiredis

from elderlock.quota.counter_call import CounterCall
from elderlock.quota.store_client import StoreEvents

MS_PER_SECOND = 1000.0
HANG_ANSWER_TIMEOUTS = 4.0  # the age of the oldest unanswered call, in answer timeouts, that ends a connection
DIAL_ANSWER_TIMEOUTS = 4.0  # the timeout of a connection attempt, in answer timeouts
MAX_PIPELINED_CALLS = 64
REDIAL_INTERVAL_S = 0.1
MAX_TOTAL_UNITS = 1e12
NEVER_S = -1e9
NO_REPLY = object()
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _SentCall:
    """A call without an answer yet."""

    token: int
    sent_at_s: float


def encode_call(call: CounterCall) -> bytes:
    """Encode a call as a RESP2 array of bulk strings: TALLY, name, amount, lifetime in ms."""
    arguments = (b"TALLY", call.name.encode(), b"%.9g" % call.amount_units, b"%d" % call.lifetime_ms)
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments)


class _TallyConnection(asyncio.Protocol):
    """A connection. Answers arrive in the order of the calls.

    A malformed answer ends the connection, because later answers can no longer be matched to their calls.
    """

    def __init__(self, owner: TallyClient) -> None:
        self._owner = owner
        self._calls: deque[_SentCall] = deque()
        self._transport: asyncio.Transport | None = None
        self._reader = hiredis.Reader(notEnoughData=NO_REPLY)

    @property
    def pending_calls(self) -> int:
        """The number of calls without an answer."""
        return len(self._calls)

    def oldest_call_age_s(self, now_s: float) -> float:
        """Return the age of the oldest call without an answer; 0 if there is none."""
        return now_s - self._calls[0].sent_at_s if self._calls else 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, calls: Sequence[CounterCall], now_s: float) -> None:
        """Send calls in addition to those under way."""
        assert self._transport is not None
        self._calls.extend(_SentCall(call.token, now_s) for call in calls)
        self._transport.write(b"".join(encode_call(call) for call in calls))

    def data_received(self, data: bytes) -> None:
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not NO_REPLY:
                if not self._calls:  # a surplus reply; the next one would be matched to the wrong call
                    self.abort()
                    return
                if not self._accept_reply(self._calls.popleft().token, reply):
                    self.abort()
                    return
        except hiredis.ProtocolError:
            self.abort()

    def _accept_reply(self, token: int, reply: object) -> bool:
        """Report the outcome of a call; return False if the reply is not a valid answer to TALLY."""
        events = self._owner.events
        if isinstance(reply, hiredis.ReplyError):
            events.failed(token, False, str(reply).startswith("BUSY"))
            return True
        try:
            total = float(cast(bytes, reply))
        except (TypeError, ValueError):
            total = float("nan")
        if not abs(total) <= MAX_TOTAL_UNITS:
            events.failed(token, True, False)
            return False
        events.answered(token, total)
        return True

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        calls, self._calls = self._calls, deque()
        self._owner.connection_ended(self)
        for call in calls:
            self._owner.events.failed(call.token, True, False)


class TallyClient:
    """A client of the platform's counter, with at most one connection.

    Attributes:
        address: The counter's host and port.
        events: The callbacks for outcomes.
        broken_connections: The number of connections that ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        answer_timeout_ms: float,
        events: StoreEvents,
    ) -> None:
        """Create a client without a connection; the first call opens one."""
        self.address = address
        self.events = events
        self.broken_connections = 0
        self._loop = loop
        self._hang_s = HANG_ANSWER_TIMEOUTS * answer_timeout_ms / MS_PER_SECOND
        self._dial_timeout_s = DIAL_ANSWER_TIMEOUTS * answer_timeout_ms / MS_PER_SECOND
        self._connection: _TallyConnection | None = None
        self._dialling: asyncio.Task[None] | None = None
        self._dialled_at_s = NEVER_S
        self._is_closed = False

    def follow(self, address: tuple[str, int]) -> None:
        """Switch to another address immediately. Calls under way at the old address fail."""
        if address == self.address:
            return
        self.address = address
        if self._dialling is not None:
            self._dialling.cancel()
            self._dialling = None
        if self._connection is not None:
            self._connection.abort()
        self._dialled_at_s = NEVER_S
        self.events.connection_lost()

    def send(self, calls: Sequence[CounterCall]) -> None:
        """Send calls without waiting. Calls without a connection fail, and the counter adds nothing for them."""
        now_s = self._loop.time()
        connection = self._connection
        if connection is not None and connection.oldest_call_age_s(now_s) > self._hang_s:
            connection.abort()
            connection = None
        if connection is not None and connection.pending_calls + len(calls) <= MAX_PIPELINED_CALLS:
            connection.send(calls, now_s)
            return
        if connection is None:
            self._dial(now_s)
        for call in calls:
            self.events.failed(call.token, False, connection is not None)

    def _dial(self, now_s: float) -> None:
        if self._dialling is None and not self._is_closed and now_s - self._dialled_at_s >= REDIAL_INTERVAL_S:
            self._dialled_at_s = now_s
            self._dialling = self._loop.create_task(self._open_connection())

    async def _open_connection(self) -> None:
        connection = _TallyConnection(self)
        try:
            async with asyncio.timeout(self._dial_timeout_s):
                await self._loop.create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError) as error:
            connection.abort()
            log.debug("connecting to the counter at %s:%d failed: %s", *self.address, error)
        else:
            if self._is_closed:
                connection.abort()
            else:
                self._connection = connection
        finally:
            self._dialling = None

    def connection_ended(self, connection: _TallyConnection) -> None:
        """Handle the end of a connection."""
        if connection is self._connection:
            self._connection = None
            self.broken_connections += 1
            self.events.connection_lost()

    def close(self) -> None:
        """Close the connection and open no other."""
        self._is_closed = True
        if self._dialling is not None:
            self._dialling.cancel()
        if self._connection is not None:
            self._connection.abort()
