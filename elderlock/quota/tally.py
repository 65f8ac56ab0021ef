"""The platform's counter: TALLY over RESP2, calls one behind another on few connections, never waited for."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Sequence
from typing import cast

import hiredis

from elderlock.quota.book import Call

MISSING = object()
STUCK = 4.0  # answer times after which a connection whose oldest call is open is given up
MOST_BEHIND = 64  # calls under way on one connection
REDIAL = 0.1  # s between dials that fail, at least
log = logging.getLogger(__name__)

Answered = Callable[[int, float], None]
Unanswered = Callable[[int, bool, bool], None]  # token, may it have been added, was it turned away


def encoded(call: Call) -> bytes:
    name, amount, life = call.name.encode(), b"%.9g" % call.amount, b"%d" % call.life
    parts = (b"TALLY", name, amount, life)
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class _Connection(asyncio.Protocol):
    """Answers come in the order of the calls; what is no answer ends the connection, as those after it cannot be told
    apart any more."""

    def __init__(self, owner: Tally) -> None:
        self._owner = owner
        self.calls: deque[tuple[int, float]] = deque()
        self.transport: asyncio.Transport | None = None
        self._reader = hiredis.Reader(notEnoughData=MISSING)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, calls: Sequence[Call], now: float) -> None:
        assert self.transport is not None
        self.calls.extend((call.token, now) for call in calls)
        self.transport.write(b"".join(encoded(call) for call in calls))

    def data_received(self, data: bytes) -> None:
        try:
            self._reader.feed(data)
            while (answer := self._reader.gets()) is not MISSING:
                if not self.calls:
                    return self.abort()  # nothing was asked: the next answer would be taken for another call's
                token, _ = self.calls.popleft()
                if not self._take(token, answer):
                    return self.abort()
        except hiredis.ProtocolError:
            self.abort()

    def _take(self, token: int, answer: object) -> bool:
        if isinstance(answer, hiredis.ReplyError):
            busy = str(answer).startswith("BUSY")
            self._owner.unanswered(token, False, busy)
            return True
        try:
            total = float(cast(bytes, answer))
        except (TypeError, ValueError):
            total = float("nan")
        if not abs(total) <= 1e12:
            self._owner.unanswered(token, True, False)
            return False
        self._owner.answered(token, total)
        return True

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        calls, self.calls = self.calls, deque()
        self._owner.lost(self)
        for token, _ in calls:
            self._owner.unanswered(token, True, False)


class Tally:
    """At most one connection is open, and one is dialled. `off` hears that it broke: what the counter held may be gone.
    Calls that find none open were not made. `follow` turns to another address, at once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        answer_within: float,
        answered: Answered,
        unanswered: Unanswered,
        off: Callable[[], None],
    ) -> None:
        self._loop, self.address = loop, address
        self._stuck = STUCK * answer_within / 1000.0
        self._within = answer_within / 1000.0
        self.answered, self.unanswered, self._off = answered, unanswered, off
        self._open: _Connection | None = None
        self._dial: asyncio.Task[None] | None = None
        self._dialled_at = -1e9
        self.closed = False
        self.broken = 0  # connections that ended

    def follow(self, address: tuple[str, int]) -> None:
        """What was said to the old one is its own; nothing of it holds at the new one."""
        if address == self.address:
            return
        self.address = address
        if self._dial is not None:
            self._dial.cancel()
            self._dial = None
        if self._open is not None:
            self._open.abort()
        self._dialled_at = -1e9
        self._off()

    def send(self, calls: Sequence[Call]) -> None:
        """Each call is told an outcome once, perhaps before this returns."""
        now, connection = self._loop.time(), self._open
        if connection is not None and connection.calls and now - connection.calls[0][1] > self._stuck:
            connection.abort()  # it hangs: answers behind the oldest will not come either
            connection = None
        if connection is not None and len(connection.calls) + len(calls) <= MOST_BEHIND:
            return connection.send(calls, now)
        if connection is None:
            self._connect(now)
        for call in calls:
            self.unanswered(call.token, False, connection is not None)

    def _connect(self, now: float) -> None:
        if self._dial is None and not self.closed and now - self._dialled_at >= REDIAL:
            self._dialled_at = now
            self._dial = self._loop.create_task(self._dialling())

    async def _dialling(self) -> None:
        connection = _Connection(self)
        try:
            async with asyncio.timeout(4.0 * self._within):
                await self._loop.create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError) as error:
            connection.abort()
            log.debug("the counter at %s:%d cannot be reached: %s", *self.address, error)
        else:
            if self.closed:
                connection.abort()
            else:
                self._open = connection
        finally:
            self._dial = None

    def lost(self, connection: _Connection) -> None:
        if connection is self._open:
            self._open = None
            self.broken += 1
            self._off()

    def close(self) -> None:
        self.closed = True
        if self._dial is not None:
            self._dial.cancel()
        if self._open is not None:
            self._open.abort()
