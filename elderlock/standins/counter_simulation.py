"""Simulates limiters that share a counter, to compare the admitted requests with the shared bucket.

The simulation injects delays, partitions, a silent counter, lost counts and clock skew. Times are in ms. The same
seed gives the same run.
"""

from __future__ import annotations

import random
from collections import Counter as Counts
from collections.abc import Sequence
from dataclasses import dataclass, field

from elderlock.quota.counter_parameters import CounterParameters, SharedBucket
from elderlock.quota.error_bound import ExcessMeter, FailureHistory
from elderlock.quota.lease_book import LeaseBook
from elderlock.standins.simulation import Simulation

MAX_QUEUE_MS = 20.0  # a shard with more queued work than this refuses calls as busy


@dataclass(slots=True)
class Shard:
    """One shard of the counter, which serves its calls one after the other.

    Attributes:
        totals: The total of each name and when it expires.
        free_at: When all calls that have arrived are served.
    """

    totals: dict[str, tuple[float, float]] = field(default_factory=dict)
    free_at: float = 0.0


class Line:
    """The link conditions between one limiter and the counter.

    Attributes:
        cut: Whether nothing passes in either direction.
        silent: Whether calls arrive but their answers are lost.
        loss: The share of calls that are lost.
    """

    def __init__(self) -> None:
        self.cut = self.silent = False
        self.loss = 0.0


class CounterSimulation(Simulation):
    """Limiters, their links and the counter, with the figures of the run.

    Attributes:
        store: The shared bucket.
        terms: The parameters of the shared counter.
        rng: The random numbers of the run.
        parts: The shards of the counter.
        down: Whether the counter answers nobody.
        refusing: Whether the counter refuses every call.
        rates: The requests per second that arrive at each limiter.
        skews: The clock skew of each limiter in ms.
        lines: The link conditions of each limiter.
        books: The lease book of each limiter.
        excess: The units admitted in excess of the bucket.
        granted: The number of requests that each limiter has admitted.
        arrived: The number of requests that have arrived at each limiter.
        served_calls: The number of calls that the counter has served.
        busy: The number of calls that the counter has refused because its queue was full.
        waits: When each undecided request arrived.
        slowest: The longest time in ms from the arrival of a request to its decision.
        returns: How often the counter, a link or a limiter has come back after a failure.
        unseen_losses: How often the counter has lost its counts while its connections stayed open.
        cut_ms: The total time that limiters were cut off from the counter.
        accounts: The accounts of which each request takes one at random.
        sets: How many limiters with successive numbers share an account of their own; 0 to use `accounts` for all.
    """

    def __init__(
        self,
        store: SharedBucket,
        terms: CounterParameters,
        seed: int,
        rates: Sequence[float],
        parts: int = 2,
        per_s: float = 5000.0,
        delay: tuple[float, float] = (0.2, 6.0),
        skews: Sequence[float] = (),
        start: float = 10_000_000.0,
    ) -> None:
        """Creates the group and schedules its first arrivals.

        Args:
            store: The shared bucket.
            terms: The parameters of the shared counter.
            seed: The seed of all random numbers.
            rates: The requests per second that arrive at each limiter.
            parts: The number of shards of the counter.
            per_s: The calls per second that all shards together can serve.
            delay: The least and the greatest one-way delay in ms.
            skews: The clock skew of each limiter in ms; 0 for limiters without an entry.
            start: The time at the start.
        """
        super().__init__(start)
        self.store, self.terms, self.rng = store, terms, random.Random(f"counters/{seed}")
        self.parts = [Shard() for _ in range(parts)]
        self._service_ms = 1000.0 * parts / per_s
        self._delay = delay
        self.down = False
        self.refusing = False
        self.rates = list(rates)
        self.skews = [*skews, *[0.0] * (len(rates) - len(skews))]
        self.lines = [Line() for _ in rates]
        self.books = [
            LeaseBook(terms, random.Random(f"book/{seed}/{number}"), self.clock(number)) for number in range(len(rates))
        ]
        self.excess = ExcessMeter(store)
        self.granted: Counts[int] = Counts()
        self.arrived: Counts[int] = Counts()
        self.served_calls = self.busy = 0
        self.waits: dict[str, float] = {}
        self.slowest = 0.0
        self.returns = self.unseen_losses = 0
        self._cut_since: dict[int, float] = {}
        self.cut_ms = 0.0
        self.accounts: tuple[str, ...] = ("a",)
        self.sets = 0
        for number in range(len(rates)):
            self.after(self.rng.uniform(0.0, 5.0), self._tick, number)
            self.after(self._arrival_gap(number), self._arrive, number)

    def clock(self, number: int) -> float:
        """Returns the time by the clock of a limiter."""
        return self.now + self.skews[number]

    def _arrival_gap(self, number: int) -> float:
        rate = self.rates[number]
        return self.rng.expovariate(rate) * 1000.0 if rate > 0 else 1000.0

    # Fault injection

    def cut(self, numbers: Sequence[int]) -> None:
        """Cuts the given limiters off from the counter."""
        for number in numbers:
            self.lines[number].cut = True
            self._cut_since[number] = self.now

    def heal(self) -> None:
        """Reconnects all limiters that are cut off."""
        for number, since in self._cut_since.items():
            self.lines[number].cut = False
            self.cut_ms += self.now - since
            self.returns += 1
        self._cut_since.clear()

    def set_down(self, down: bool) -> None:
        """Makes the counter silent for all limiters, or ends the silence."""
        self.returns += self.down and not down
        self.down = down

    def lose(self, breaks_connections: bool = True) -> None:
        """Deletes all counts.

        Args:
            breaks_connections: Whether the connections break too, as they do if the process ends, so that limiters
                notice the loss.
        """
        self.returns += breaks_connections
        self.unseen_losses += not breaks_connections
        for shard in self.parts:
            shard.totals.clear()
        if breaks_connections:
            for number, book in enumerate(self.books):
                book.connection_lost(self.clock(number))

    def snapshot(self) -> list[dict[str, tuple[float, float]]]:
        """Returns a copy of the counts of each shard."""
        return [dict(shard.totals) for shard in self.parts]

    def restore(self, snapshot: list[dict[str, tuple[float, float]]]) -> None:
        """Simulates a restart of the counter that loads an older snapshot."""
        self.returns += 1
        for shard, totals in zip(self.parts, snapshot, strict=True):
            shard.totals = dict(totals)
        for number, book in enumerate(self.books):
            book.connection_lost(self.clock(number))

    def restart(self, number: int) -> None:
        """Simulates a crash of a limiter, which restarts under the same name without its leases."""
        self.returns += 1
        seed = self.rng.randrange(1 << 30)
        self.books[number] = LeaseBook(self.terms, random.Random(seed), self.clock(number))

    # Requests

    def _arrive(self, number: int) -> None:
        self.after(self._arrival_gap(number), self._arrive, number)
        if self.rates[number] <= 0:
            return
        self._number += 1
        name = f"r{self._number}"
        self.arrived[number] += 1
        self.waits[name] = self.now
        key = self.rng.choice(self.accounts) if self.sets == 0 else f"set-{number // self.sets}"
        is_granted = self.books[number].admit(name, key, self.store, 1.0, self.clock(number))
        if is_granted is not None:
            self._decided(number, name, is_granted, key)
        self._send_due_calls(number)

    def _decided(self, number: int, name: str, is_granted: bool, key: str) -> None:
        self.slowest = max(self.slowest, self.now - self.waits.pop(name))
        if is_granted:
            self.granted[number] += 1
            if len(self.accounts) == 1:
                self.excess.record(1.0, self.now)

    def _tick(self, number: int) -> None:
        self.after(5.0, self._tick, number)
        self.books[number].expire(self.clock(number))
        self._send_due_calls(number)

    def _send_due_calls(self, number: int) -> None:
        book = self.books[number]
        for call in book.due_calls(self.clock(number)):
            self.after(
                self._one_way_delay(),
                self._call_arrived,
                number,
                book,
                call.token,
                call.name,
                call.amount_units,
                call.lifetime_ms,
            )
        for decision in book.decisions:
            self._decided(number, decision.request_id, decision.is_granted, "")
        book.decisions.clear()

    def _one_way_delay(self) -> float:
        return self.rng.uniform(*self._delay)

    # The counter

    def _call_arrived(self, number: int, book: LeaseBook, token: int, name: str, amount: float, life: float) -> None:
        line = self.lines[number]
        if line.cut or self.down or self.rng.random() < line.loss:
            return
        if self.refusing:
            return self.after(self._one_way_delay(), self._answer, number, book, token, None)
        shard = self.parts[sum(name.encode()) % len(self.parts)]
        if shard.free_at - self.now > MAX_QUEUE_MS:
            self.busy += 1
            return self.after(self._one_way_delay(), self._answer, number, book, token, None)
        shard.free_at = max(shard.free_at, self.now) + self._service_ms
        self.after(shard.free_at - self.now, self._add, number, book, token, shard, name, amount, life)

    def _add(
        self, number: int, book: LeaseBook, token: int, shard: Shard, name: str, amount: float, life: float
    ) -> None:
        if self.down:
            return
        self.served_calls += 1
        total, expires_at = shard.totals.get(name, (0.0, 0.0))
        if self.now >= expires_at:
            total, expires_at = 0.0, self.now + life
        shard.totals[name] = (total + amount, expires_at)
        if self.lines[number].silent:  # a link that heals in one direction first: calls arrive, answers do not
            return
        self.after(self._one_way_delay(), self._answer, number, book, token, float(f"{total + amount:.7g}"))

    def _answer(self, number: int, book: LeaseBook, token: int, total: float | None) -> None:
        if self.lines[number].cut:
            return
        if total is None:
            book.call_failed(token, False, True, self.clock(number))
        else:
            book.call_answered(token, total, self.clock(number))
        if book is self.books[number]:
            self._send_due_calls(number)

    def known_failures(self) -> FailureHistory:
        """Returns the failures that were injected so far, from which the error bound is computed."""
        return FailureHistory(self.cut_ms, self.returns, self.unseen_losses)
