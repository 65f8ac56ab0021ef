"""The front and its clients: deals requests among the limiters that take part, open-loop, and keeps account.

A limiter takes part once it answers `PING` with `+PONG`, and no more once it answers anything else or
nothing. A request that crossed the end of its connection is sent once more on a new one, as the protocol
says. What is counted as lost is what got no answer in its time, or met a closed connection twice.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter as Tally
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, cast

import hiredis

from elderlock.standins.servers import MISSING
from elderlock.standins.settings import terms
from elderlock.standins.waiting import unix_ms

PING_EVERY = 0.3  # s
NOTICE = 2.0  # s of silence after which a limiter takes part no more
GRACE = 0.5  # s after a request's time in which an answer still counts as one


@dataclass
class Ledger:
    """Every request that was sent, by its one final answer."""

    sent: int = 0
    ends: Tally[str] = field(default_factory=Tally)  # served, refused, failed, lost, nowhere
    resent: int = 0
    answered_twice: int = 0
    late: int = 0
    times: list[float] = field(default_factory=list)  # ms, of those served

    def open(self) -> int:
        return self.sent - sum(self.ends.values())


class _Asked:
    def __init__(self, front: Front, name: str, customer: str, words: str, within: float) -> None:
        self.name, self.customer, self.words = name, customer, words
        self.began = front.loop.time()
        self.tries = 0
        self.over = False
        self.timer = front.loop.call_later(within + GRACE, front.ended, self, "lost")


class _Connection(asyncio.Protocol):
    def __init__(self, front: Front, limiter: int) -> None:
        self.front, self.limiter = front, limiter
        self.asked: _Asked | None = None
        self.transport: asyncio.Transport | None = None
        self._parser = hiredis.Reader(notEnoughData=MISSING)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def carry(self, asked: _Asked) -> None:
        assert self.transport is not None
        self.asked = asked
        asked.tries += 1
        packed = hiredis.pack_command(("API.READ", asked.customer, asked.name, asked.words))  # type: ignore[arg-type]
        self.transport.write(cast(bytes, packed))

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        while (answer := self._parser.gets()) is not MISSING:
            asked, self.asked = self.asked, None
            if asked is None or asked.over:
                # an answer for nothing, or for what was given up: the second is late, the first is one too many
                if asked is None:
                    self.front.ledger.answered_twice += 1
                else:
                    self.front.ledger.late += 1
                continue
            self.front.answered(asked, answer)
        if self.asked is None and self.transport is not None and not self.transport.is_closing():
            self.front.idle[self.limiter].append(self)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.front.idle[self.limiter]:
            self.front.idle[self.limiter].remove(self)
        self.front.open_connections.discard(self)
        asked, self.asked = self.asked, None
        if asked is not None and not asked.over:
            self.front.crossed(asked, self.limiter)


class Front:
    """Sends `rate` requests a second, Poisson arrivals from a seed, whatever the answers do."""

    def __init__(
        self,
        limiters: Sequence[str],
        rate: float,
        seed: int,
        customers: int = 40,
        within: float = 3.0,
        plans: Sequence[str] = ("shop", "enterprise"),
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.rate = rate
        self.ledger = Ledger()
        self._at = [(host, int(port)) for host, _, port in (address.rpartition(":") for address in limiters)]
        self._within, self._plans = within, plans
        self._rng = random.Random(seed)
        self._customers = [f"{self._rng.randrange(1 << 33):016x}" for _ in range(customers)]
        self.part = [False] * len(limiters)  # whose PING was answered with PONG
        self.idle: list[list[_Connection]] = [[] for _ in limiters]
        self.open_connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0
        self._stopped = False

    def start(self) -> None:
        for limiter in range(len(self._at)):
            self._task(self._ping(limiter))
        self._task(self._arrive())

    def _task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ping(self, limiter: int) -> None:
        """One connection for PING alone, made anew when it ends."""
        while True:
            try:
                async with asyncio.timeout(NOTICE):
                    reader, writer = await asyncio.open_connection(*self._at[limiter])
                try:
                    while True:
                        writer.write(b"*1\r\n$4\r\nPING\r\n")
                        async with asyncio.timeout(NOTICE):
                            line = await reader.readline()
                        self.part[limiter] = line == b"+PONG\r\n"
                        if not line:
                            break
                        await asyncio.sleep(PING_EVERY)
                finally:
                    writer.transport.abort()
            except (OSError, TimeoutError):
                self.part[limiter] = False
            await asyncio.sleep(PING_EVERY / 3)

    async def _arrive(self) -> None:
        """Open loop: each start is drawn ahead, and one that is overdue is sent at once."""
        next_at = self.loop.time()
        while not self._stopped:
            next_at += self._rng.expovariate(self.rate)
            wait = next_at - self.loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            self.ask()

    def ask(self) -> None:
        self._number += 1
        self.ledger.sent += 1
        spread = min(3, len(self._at))
        index = self._rng.randrange(len(self._customers))
        first = index % len(self._at)
        words = terms(t=self._plans[index % len(self._plans)], d=int(self._within * 1000), spread=spread, first=first)
        asked = _Asked(self, f"q{self._number}-{int(unix_ms())}", self._customers[index], words, self._within)
        members = [(first + n) % len(self._at) for n in range(spread)]
        self._send(asked, members)

    def _send(self, asked: _Asked, members: Sequence[int]) -> None:
        able = [limiter for limiter in members if self.part[limiter]]
        if not able:
            able = [limiter for limiter, takes_part in enumerate(self.part) if takes_part]
        if not able:
            return self.ended(asked, "nowhere")
        limiter = self._rng.choice(able)
        while self.idle[limiter]:
            connection = self.idle[limiter].pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection.carry(asked)
        self._task(self._open(asked, limiter))

    async def _open(self, asked: _Asked, limiter: int) -> None:
        try:
            async with asyncio.timeout(self._within):
                made = await self.loop.create_connection(lambda: _Connection(self, limiter), *self._at[limiter])
                connection = made[1]
        except (OSError, TimeoutError):
            return self.crossed(asked, limiter)
        self.open_connections.add(connection)
        if not asked.over:
            connection.carry(asked)

    def crossed(self, asked: _Asked, limiter: int) -> None:
        """Its connection ended, or never came up, with no answer: once more on a new one."""
        if asked.over:
            return
        if asked.tries >= 2:
            return self.ended(asked, "lost")
        self.ledger.resent += 1
        asked.tries = max(asked.tries, 1)
        others = [n for n, takes_part in enumerate(self.part) if takes_part and n != limiter] or [limiter]
        self._task(self._open(asked, self._rng.choice(others)))

    def answered(self, asked: _Asked, answer: Any) -> None:
        if isinstance(answer, bytes):
            self.ledger.times.append((self.loop.time() - asked.began) * 1000.0)
            self.ended(asked, "served" if b"request=" + asked.name.encode() in answer else "wrong")
        elif isinstance(answer, hiredis.ReplyError) and str(answer).startswith("BUSY"):
            self.ended(asked, "refused")
        else:
            self.ended(asked, "failed")

    def ended(self, asked: _Asked, how: str) -> None:
        if not asked.over:
            asked.over = True
            asked.timer.cancel()
            self.ledger.ends[how] += 1

    def pause(self) -> None:
        """Sends no more; pings go on."""
        self._stopped = True

    def go_on(self) -> None:
        self._stopped = False
        self._task(self._arrive())

    async def stop(self) -> Ledger:
        """Sends no more, and waits until each request has its end."""
        self._stopped = True
        while self.ledger.open():
            await asyncio.sleep(0.01)
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self.open_connections):
            if connection.transport is not None:
                connection.transport.abort()
        return self.ledger
