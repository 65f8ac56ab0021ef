"""Limiters and a shared counter in simulated time, with delays, cuts, silences, losses and clocks that lie apart:
what is let in is held against the bucket itself. Times are ms; one seed plays one run."""

from __future__ import annotations

import random
from collections import Counter as Counts
from collections.abc import Sequence
from dataclasses import dataclass, field

from elderlock.quota.counter_parameters import CounterParameters, SharedBucket
from elderlock.quota.error_bound import ExcessMeter, FailureHistory
from elderlock.quota.lease_book import LeaseBook
from elderlock.standins.simulation import Simulation

BUSY_QUEUE = 20.0  # ms of calls that a part lets wait


@dataclass(slots=True)
class Part:
    """Holds the names that fall on it; serves calls in turn."""

    totals: dict[str, tuple[float, float]] = field(default_factory=dict)
    free_at: float = 0.0


class Line:
    """The way of one limiter to the counter."""

    def __init__(self) -> None:
        self.cut = self.silent = False
        self.loss = 0.0


class Group(Simulation):
    """`ask` rates are a second and limiter. A counter holds `per_s` calls a second over its parts."""

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
        super().__init__(start)
        self.store, self.terms, self.rng = store, terms, random.Random(f"counters/{seed}")
        self.parts = [Part() for _ in range(parts)]
        self._each = 1000.0 * parts / per_s
        self._delay = delay
        self.down = False  # silent for all
        self.refusing = False
        self.rates = list(rates)
        self.skews = [*skews, *[0.0] * (len(rates) - len(skews))]
        self.lines = [Line() for _ in rates]
        self.books = [LeaseBook(terms, random.Random(f"book/{seed}/{n}"), self.clock(n)) for n in range(len(rates))]
        self.excess = ExcessMeter(store)
        self.granted: Counts[int] = Counts()
        self.asked: Counts[int] = Counts()
        self.served_calls = self.busy = 0
        self.waits: dict[str, float] = {}
        self.slowest = 0.0  # ms that a decision took
        self.returns = self.unseen_losses = 0
        self._cut_at: dict[int, float] = {}
        self.cut_ms = 0.0
        self.accounts: tuple[str, ...] = ("a",)
        self.sets = 0  # limiters in a row that have a customer of their own; 0: all share all
        for number in range(len(rates)):
            self.after(self.rng.uniform(0.0, 5.0), self._tick, number)
            self.after(self._gap(number), self._arrive, number)

    def clock(self, number: int) -> float:
        return self.now + self.skews[number]

    def _gap(self, number: int) -> float:
        rate = self.rates[number]
        return self.rng.expovariate(rate) * 1000.0 if rate > 0 else 1000.0

    # Troubles

    def cut(self, numbers: Sequence[int]) -> None:
        """From the counter; the others go on."""
        for number in numbers:
            self.lines[number].cut = True
            self._cut_at[number] = self.now

    def heal(self) -> None:
        for number, at in self._cut_at.items():
            self.lines[number].cut = False
            self.cut_ms += self.now - at
            self.returns += 1
        self._cut_at.clear()

    def set_down(self, down: bool) -> None:
        """Silent for all, or no more."""
        self.returns += self.down and not down
        self.down = down

    def lose(self, told: bool = True) -> None:
        """Its counts are gone; `told`: with the connections, as where its process ended."""
        self.returns += told
        self.unseen_losses += not told
        for part in self.parts:
            part.totals.clear()
        if told:
            for number, book in enumerate(self.books):
                book.connection_lost(self.clock(number))

    def snapshot(self) -> list[dict[str, tuple[float, float]]]:
        return [dict(part.totals) for part in self.parts]

    def restore(self, kept: list[dict[str, tuple[float, float]]]) -> None:
        """An old snapshot, by a process that was started anew."""
        self.returns += 1
        for part, totals in zip(self.parts, kept, strict=True):
            part.totals = dict(totals)
        for number, book in enumerate(self.books):
            book.connection_lost(self.clock(number))

    def restart(self, number: int) -> None:
        """Killed, with what it held, and back under its name."""
        self.returns += 1
        seed = self.rng.randrange(1 << 30)
        self.books[number] = LeaseBook(self.terms, random.Random(seed), self.clock(number))

    # Requests

    def _arrive(self, number: int) -> None:
        self.after(self._gap(number), self._arrive, number)
        if self.rates[number] <= 0:
            return
        self._number += 1
        name = f"r{self._number}"
        self.asked[number] += 1
        self.waits[name] = self.now
        key = self.rng.choice(self.accounts) if self.sets == 0 else f"set-{number // self.sets}"
        said = self.books[number].admit(name, key, self.store, 1.0, self.clock(number))
        if said is not None:
            self._decided(number, name, said, key)
        self._work(number)

    def _decided(self, number: int, name: str, granted: bool, key: str) -> None:
        self.slowest = max(self.slowest, self.now - self.waits.pop(name))
        if granted:
            self.granted[number] += 1
            if len(self.accounts) == 1:
                self.excess.record(1.0, self.now)

    def _tick(self, number: int) -> None:
        self.after(5.0, self._tick, number)
        self.books[number].expire(self.clock(number))
        self._work(number)

    def _work(self, number: int) -> None:
        book = self.books[number]
        for call in book.due_calls(self.clock(number)):
            self.after(
                self._way(), self._come, number, book, call.token, call.name, call.amount_units, call.lifetime_ms
            )
        for one in book.decisions:
            self._decided(number, one.request_id, one.is_granted, "")
        book.decisions.clear()

    def _way(self) -> float:
        return self.rng.uniform(*self._delay)

    # The counter

    def _come(self, number: int, book: LeaseBook, token: int, name: str, amount: float, life: float) -> None:
        line = self.lines[number]
        if line.cut or self.down or self.rng.random() < line.loss:
            return
        if self.refusing:
            return self.after(self._way(), self._answer, number, book, token, None)
        part = self.parts[sum(name.encode()) % len(self.parts)]
        if part.free_at - self.now > BUSY_QUEUE:
            self.busy += 1
            return self.after(self._way(), self._answer, number, book, token, None)
        part.free_at = max(part.free_at, self.now) + self._each
        self.after(part.free_at - self.now, self._add, number, book, token, part, name, amount, life)

    def _add(self, number: int, book: LeaseBook, token: int, part: Part, name: str, amount: float, life: float) -> None:
        if self.down:
            return
        self.served_calls += 1
        total, ends = part.totals.get(name, (0.0, 0.0))
        if self.now >= ends:
            total, ends = 0.0, self.now + life
        part.totals[name] = (total + amount, ends)
        if self.lines[number].silent:  # heals one way first: calls arrive, answers do not
            return
        self.after(self._way(), self._answer, number, book, token, float(f"{total + amount:.7g}"))

    def _answer(self, number: int, book: LeaseBook, token: int, total: float | None) -> None:
        if self.lines[number].cut:
            return
        if total is None:
            book.call_failed(token, False, True, self.clock(number))
        else:
            book.call_answered(token, total, self.clock(number))
        if book is self.books[number]:
            self._work(number)

    def known_failures(self) -> FailureHistory:
        return FailureHistory(self.cut_ms, self.returns, self.unseen_losses)
