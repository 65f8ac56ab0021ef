"""All ledgers of one limiter, and what it asks of the counter: many requests behind one call, calls within a budget."""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from dataclasses import dataclass

from elderlock.quota.health import Budget, Health, Mode
from elderlock.quota.ledger import LEAST, Draw, Ledger
from elderlock.quota.terms import Store, Terms
from elderlock.structures.expiry_queue import ExpiryQueue

FULL_MOST = 300.0  # ms for which no call is made after one found too little
PROMPT = 0.02  # of a burst: with more to give back, it is given back at once
TELL_EVERY = 10_000.0  # ms after which use let in without a call is told; how much is untold is what is bounded


@dataclass(frozen=True, slots=True)
class Call:
    """TALLY `name` `amount` `life`; the answer, or that there is none, is told under `token`."""

    token: int
    name: str
    amount: float
    life: float


@dataclass(frozen=True, slots=True)
class Decided:
    """`wait`: ms till there may be room, for one that was refused."""

    request: str
    granted: bool
    wait: float = 0.0


class Book:
    """`ask` says yes, no, or not yet; `calls` is what to send now; `decided` what became of those that waited.

    Invariant: a request is decided once, within twice `answer_within` of its asking. Ledgers that rest are
    forgotten."""

    def __init__(self, terms: Terms, rng: random.Random, now: float) -> None:
        self.terms = terms
        self.health, self.budget = Health(terms, rng, now), Budget(terms.calls, now)
        self.ledgers: dict[int, Ledger] = {}
        self._numbers: dict[str, int] = {}
        self._aging = ExpiryQueue(2.0 * terms.window)
        self._waiting: dict[int, list[tuple[str, float]]] = {}  # by ledger: requests and their units
        self._begun: dict[int, float] = {}  # by ledger: since when the first of them waits
        self._out: dict[int, tuple[int, Draw] | str] = {}  # by token: a ledger's draw, or a sentinel's name
        self._sent: list[tuple[float, int]] = []  # a heap: until when each call is waited for
        self._telling: OrderedDict[int, float] = OrderedDict()  # ledgers with something to tell, and when
        self._token = self._next = 0
        self.decided: list[Decided] = []
        self.made = 0  # calls

    @property
    def mode(self) -> Mode:
        return self.health.mode

    @property
    def waiting(self) -> bool:
        """Whether any request is not decided yet."""
        return bool(self._waiting)

    def ledger(self, key: str, store: Store, now: float) -> tuple[int, Ledger]:
        number = self._numbers.get(key)
        if number is None:
            self._next += 1
            number = self._numbers[key] = self._next
            self.ledgers[number] = Ledger(key, store, self.terms, self.health.generation, self.health.changed_at, now)
        ledger = self.ledgers[number]
        if ledger.store != store:  # a change of plan: what is drawn of the old one is nobody's
            fresh = Ledger(key, store, self.terms, self.health.generation, now, now)
            fresh.owed, fresh.out, fresh.rate, fresh.rate_at = ledger.owed, ledger.out, ledger.rate, ledger.rate_at
            ledger = self.ledgers[number] = fresh
        if ledger.generation != self.health.generation:
            ledger.rejoin(self.health.generation, self.health.lost, self.health.changed_at, now)
        self._aging.touch(number, now)
        return number, ledger

    def ask(self, request: str, key: str, store: Store, units: float, now: float) -> bool | None:
        number, ledger = self.ledger(key, store, now)
        if not self._waiting.get(number) and ledger.spend(units, now):
            return True
        if self.mode is not Mode.SHARED:
            return ledger.spend_local(units, now)
        if ledger.spend_free(units, now):
            self._telling.setdefault(number, now + TELL_EVERY)
            return True
        if units > store.burst + LEAST or now < ledger.full_until:
            return False
        self._waiting.setdefault(number, []).append((request, units))
        self._begun.setdefault(number, now)
        return None

    def calls(self, now: float) -> list[Call]:
        """What to send now. To be asked for after every event and every few ms while anything waits."""
        made: list[Call] = []
        if (name := self.health.sentinel(now)) is not None:
            made.append(self._call(name, 1.0, name, now))
        while self._telling and (first := next(iter(self._telling.items())))[1] <= now:
            number = first[0]
            del self._telling[number]
            ledger = self.ledgers.get(number)
            if ledger is None or number in self._waiting:
                continue  # who waits tells it with the call
            if ledger.owed > LEAST or ledger.given > LEAST:
                if self.mode is Mode.SHARED and ledger.ready(now) and self.budget.take(now):
                    self._draw(number, ledger, 0.0, made, now)
                self._telling[number] = now + TELL_EVERY
        if self.mode is Mode.SHARED:
            for number in list(self._waiting):
                ledger = self.ledgers[number]
                if ledger.ready(now) and self.budget.take(now):
                    self._draw(number, ledger, sum(units for _, units in self._waiting[number]), made, now)
        return made

    def _draw(self, number: int, ledger: Ledger, need: float, made: list[Call], now: float) -> None:
        if (draw := ledger.call(need, now)) is not None:
            made.append(self._call(draw.name, draw.amount, (number, draw), now))

    def _call(self, name: str, amount: float, what: tuple[int, Draw] | str, now: float) -> Call:
        self._token += 1
        self.made += 1
        self._out[self._token] = what
        heapq.heappush(self._sent, (now + self.terms.answer_within, self._token))
        return Call(self._token, name, amount, self.terms.life)

    # What comes back

    def answered(self, token: int, total: float, now: float) -> None:
        what = self._out.pop(token, None)
        if what is None:
            return
        if isinstance(what, str):
            self.health.sentinel_answered(what, total, now)
            return
        self.health.answered(now)
        number, draw = what
        ledger = self.ledgers.get(number)
        if ledger is None or draw.generation != self.health.generation:
            return self._settle(number, now, True)
        if not ledger.answered(draw, total, now):
            self.health.counts_lost(now)
            ledger.rejoin(self.health.generation, True, self.health.changed_at, now)
        if ledger.given > PROMPT * ledger.store.burst:
            # raised in vain: till it is given back, the others find the store that much emptier
            self._telling[number] = now
            self._telling.move_to_end(number, last=False)
        elif ledger.owed > LEAST or ledger.given > LEAST:
            self._telling.setdefault(number, now + TELL_EVERY)
        self._settle(number, now, draw.read)

    def unanswered(self, token: int, may_have_added: bool, busy: bool, now: float) -> None:
        """No total for a call: late, broken off, refused or spoilt."""
        what = self._out.pop(token, None)
        if what is None:
            return
        self.budget.cut(now)
        self.health.unanswered(busy, now)
        if isinstance(what, str):
            return
        number, draw = what
        if (ledger := self.ledgers.get(number)) is not None:
            if draw.generation == self.health.generation:
                ledger.unanswered(draw, may_have_added)
            else:
                ledger.out = None if ledger.out is draw else ledger.out
        self._settle(number, now, False)

    def off(self, now: float) -> None:
        """The counter's connections broke, or its address was changed: nothing of it is known any more."""
        self.health.off(now)

    def tick(self, now: float) -> None:
        """Every few ms: what came too late, who waited too long, who rests."""
        while self._sent and self._sent[0][0] <= now:
            self.unanswered(heapq.heappop(self._sent)[1], True, False, now)
        for number in [n for n, at in self._begun.items() if now - at >= 2.0 * self.terms.answer_within]:
            self._settle(number, now, False)
        for number in self._aging.pop_expired(now):
            ledger = self.ledgers[number]
            # small use that found no call till its customer had rested through two windows is told no more
            if ledger.owed > self.terms.free_part(ledger.store) + LEAST or number in self._waiting:
                self._aging.postpone(number, now + self.terms.window)
            else:
                del self.ledgers[number], self._numbers[ledger.key]
                self._telling.pop(number, None)

    def _settle(self, number: int, now: float, again: bool) -> None:
        """Those that wait are served in turn; `again` where another call may still serve the rest."""
        waiting, ledger = self._waiting.pop(number, []), self.ledgers.get(number)
        begun = self._begun.pop(number, now)
        left: list[tuple[str, float]] = []
        for request, units in waiting:
            if ledger is None:
                self.decided.append(Decided(request, False))
            elif not left and ledger.spend(units, now):
                self.decided.append(Decided(request, True))
            elif again and self.mode is Mode.SHARED and now - begun < 2.0 * self.terms.answer_within:
                left.append((request, units))
            elif self.mode is Mode.SHARED:
                self.decided.append(self._alone(ledger, request, units, now))
            else:
                granted = ledger.spend_local(units, now)
                self.decided.append(Decided(request, granted, 0.0 if granted else ledger.wait(units, now)))
        if left:
            self._waiting[number], self._begun[number] = left, begun

    @staticmethod
    def _alone(ledger: Ledger, request: str, units: float, now: float) -> Decided:
        """One call was lost, or there is no room: a hard store says no; another goes by what was last told."""
        store = ledger.store
        part = ledger.terms.free_part(store)
        if not store.hard and ledger.level(now) - ledger.owed * store.limiters >= units and ledger.owed + units <= part:
            ledger.owed += units
            ledger.used(units, now)
            return Decided(request, True)
        wait = ledger.wait(units, now)
        ledger.full_until = now + min(wait, FULL_MOST)
        return Decided(request, False, wait)
