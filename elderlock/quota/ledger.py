"""One store at one limiter: positions on a shared line, drawn from a counter that can only add.

The line is that of the generic cell rate algorithm (ITU-T I.371): a unit at position p may be spent once
rate x time + burst has reached p. The counter's total is the end of the line. A draw adds what it wants; it also raises
the line to rate x time where that has fallen behind, so that a store that rested holds a burst and no more.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from elderlock.quota.terms import SECOND, Store, Terms

LEAST = 1e-6  # units that are nothing: totals come with seven digits
RATE_SPAN = 2000.0  # ms over which our own use is averaged


@dataclass(frozen=True, slots=True)
class Draw:
    """A call. `amount` = `want` + `raised` + `owed` - `given`; a `read` adds nothing."""

    name: str
    amount: float
    sent_at: float
    window: int
    generation: int
    want: float = 0.0
    raised: float = 0.0
    owed: float = 0.0
    given: float = 0.0
    read: bool = False


@dataclass(slots=True)
class Lease:
    """Units at the positions from `start` on, drawn at `at`."""

    units: float
    start: float
    at: float


class Ledger:
    """Invariant: a unit is spent only after a call that added it was answered, at a position that has come due, and
    never given back; what was let in without a call is owed until a call that tells of it was answered, or its
    customer has rested (`Book.tick`). One call is out at a time."""

    def __init__(self, key: str, store: Store, terms: Terms, generation: int, returned_at: float, now: float) -> None:
        self.key, self.store, self.terms = key, store, terms
        self.generation = generation
        self.window = -1
        self.carry: float | None = None  # where the line begins, once the window before has been read
        self.seen = self.own = 0.0  # of the line; of it added by us, as answers told
        self.floor = 0.0  # below which the line is taken not to lie
        self.owed = self.given = 0.0
        self.leases: deque[Lease] = deque()
        self.out: Draw | None = None
        self.rate, self.rate_at = 0.0, now  # our own use
        self.others = 0.0  # use of the others, as totals told
        self.told: tuple[float, float] | None = None  # what others had added, and when
        self.local_at, self.local_level, self.local_since = now, 0.0, now
        self.local_used = 0.0
        self.is_local = False
        self.free_used = 0.0
        self.full_until = now  # nothing is there for us before
        self.aside = 0  # times that this window's name was left for another
        self._turn(now)
        self._taken_as_used(returned_at)

    # Time

    def _turn(self, now: float) -> None:
        """Draws of a window end before the next one is read, so that what is read is its end."""
        window = int(now // self.terms.window)
        if window != self.window:
            shift = (window - self.window) * self.store.refill(self.terms.window)
            for lease in self.leases:  # positions are told by the window's line
                lease.start -= shift
            self.floor = max(0.0, self.floor - shift)
            self.window, self.carry, self.seen, self.own, self.told = window, None, 0.0, 0.0, None
            self.given = 0.0  # it was of a line that has ended
            self.aside = 0

    def since(self, now: float) -> float:
        """ms into the window."""
        return now - self.window * self.terms.window

    def closing(self, now: float) -> bool:
        """No call begins so near to either end of a window that it may be taken for the other's."""
        near = self.terms.answer_within + self.terms.skew
        return self.since(now) < self.terms.skew or self.since(now) > self.terms.window - near

    def due(self, now: float) -> float:
        """Up to which position units may be spent."""
        return self.store.refill(self.since(now)) + self.store.burst

    # Spending

    def used(self, units: float, now: float) -> None:
        self.rate = self.rate_now(now) + units * SECOND / RATE_SPAN
        self.rate_at = now

    def rate_now(self, now: float) -> float:
        return self.rate * max(0.0, 1.0 - (now - self.rate_at) / RATE_SPAN)

    def spend(self, units: float, now: float) -> bool:
        """From what was drawn."""
        self._turn(now)
        self._drop_old(now)
        due = self.due(now)
        ready = sum(max(0.0, min(lease.units, due - lease.start)) for lease in self.leases)
        if ready < units - LEAST:
            return False
        left = units
        for lease in list(self.leases):
            taken = min(left, max(0.0, min(lease.units, due - lease.start)))
            lease.units -= taken
            lease.start += taken
            left -= taken
            if lease.units <= LEAST:
                self.leases.remove(lease)
        self.used(units, now)
        return True

    def _drop_old(self, now: float) -> None:
        while self.leases and now - self.leases[0].at > self.terms.held(self.store):
            self.given += self.leases.popleft().units

    def spend_free(self, units: float, now: float) -> bool:
        """Without a call, far from the quota; told later."""
        store, terms = self.store, self.terms
        part = terms.free_part(store)
        far = (self.rate_now(now) + units * SECOND / RATE_SPAN) * store.limiters <= terms.far * store.rate
        if store.hard or not far or self.free_used + units > part:
            return False
        self.free_used += units
        self.owed += units
        self.used(units, now)
        return True

    def spend_local(self, units: float, now: float) -> bool:
        """The even part, while the counter is off: from nothing for a hard store, as what is left is not known."""
        store = self.store
        if not self.is_local:
            self.is_local, self.local_since, self.local_at, self.local_used = True, now, now, 0.0
            self.local_level = 0.0 if store.hard else store.burst / store.limiters
        until = min(now, self.local_since + self.terms.cut_most) if store.hard else now
        fill = store.refill(max(0.0, until - self.local_at)) / store.limiters
        self.local_level = min(self.local_level + fill, max(store.burst / store.limiters, 1.0))
        self.local_at = max(self.local_at, until)
        if self.local_level < units - LEAST:
            return False
        self.local_level -= units
        self.local_used += units
        self.used(units, now)
        return True

    def _taken_as_used(self, at: float) -> None:
        """Nothing is there of a hard store that was not filled in since then, whoever used it."""
        if self.store.hard:
            self.floor = max(self.floor, self.store.refill(self.since(at)) + self.store.burst, 0.0)

    def rejoin(self, generation: int, lost: bool, returned_at: float, now: float) -> None:
        """The counter is back since `returned_at`, with its counts or without."""
        store = self.store
        self._turn(now)
        if generation == self.generation:
            return
        self.generation, self.out, self.told = generation, None, None
        if store.hard:
            self._taken_as_used(returned_at)
            self.leases.clear()
            self.owed = 0.0
        else:
            self.owed += min(self.local_used, store.burst / store.limiters) if self.is_local else 0.0
        if lost:
            self.seen = self.own = 0.0
            self.leases.clear()
        self.given = 0.0
        self.is_local, self.local_used = False, 0.0

    # Calls

    def ready(self, now: float) -> bool:
        """Whether a call could begin."""
        self._turn(now)
        return self.out is None and not self.closing(now)

    def call(self, need: float, now: float) -> Draw | None:
        """What to ask the counter for, with `need` units waited for; None where nothing is to be asked now."""
        if not self.ready(now):
            return None
        if self.carry is None and need:  # what is told alone needs no place on the line
            self.out = Draw(self.name(self.window - 1), 0.0, now, self.window, self.generation, read=True)
            return self.out
        self._drop_old(now)
        ahead = min(self.terms.lease(self.store), self.rate_now(now) * self.terms.held(self.store) / SECOND)
        near = (self.rate_now(now) + self.others) >= self.terms.far * self.store.rate
        want = need + (ahead if need and near else 0.0)
        if not want and self.owed <= LEAST and self.given <= LEAST:
            return None
        raised = max(0.0, self._low(now) - (self.seen + self.owed - self.given)) if want else 0.0
        amount = want + raised + self.owed - self.given
        self.out = Draw(
            self.name(self.window), amount, now, self.window, self.generation, want, raised, self.owed, self.given
        )
        self.owed = self.given = 0.0
        return self.out

    def name(self, window: int) -> str:
        return f"{self.key}:{window}" + "'" * (self.aside if window == self.window else 0)

    def _foreign(self, base: float, now: float) -> bool:
        """Whether a line lies where all limiters together cannot have brought it: each raises it by a window's refill
        at most, and draws no further than to what is due. The number is someone else's, or of a counter that was
        swapped; all see that, and leave the name for the same next one."""
        most = self.due(now) + self.store.limiters * (self.store.refill(self.terms.window) + 2.0 * self.store.burst)
        if base <= most:
            return False
        self.aside += 1
        self.carry, self.seen, self.own, self.given, self.told = 0.0, 0.0, 0.0, 0.0, None
        self.leases.clear()
        self._taken_as_used(now)
        return True

    def _low(self, now: float) -> float:
        return max(self.store.refill(self.since(now)), self.carry or 0.0, self.floor)

    def answered(self, draw: Draw, total: float, now: float) -> bool:
        """Takes in a total; False where it shows that counts were lost."""
        if draw is not self.out:
            return True  # of a counter before, or a window that ended: what it added is nobody's
        self.out = None
        self._turn(now)
        if draw.window != self.window:
            return True
        if draw.read:
            line = total - self.store.refill(self.terms.window)
            if line > 2.0 * self.store.limiters * self.store.burst:  # not to be believed: taken as the worst
                line = self.store.burst if self.store.hard else 0.0
            self.carry = max(0.0, line)
            return True
        before = total - draw.amount
        if before < self.own - self._digits(total):
            return False
        if self._foreign(before + draw.owed - draw.given, now):
            self.owed += draw.owed
            return True
        self.own += draw.amount
        self._learn(total - self.own, now)
        low = max(self.store.refill(draw.sent_at - self.window * self.terms.window), self.carry or 0.0, self.floor)
        base = before + draw.owed - draw.given
        start = max(base, low)
        surplus = draw.raised - (start - base)  # more than was needed where others had moved the line
        self.given += max(0.0, surplus)
        self.owed += max(0.0, -surplus) if draw.want else 0.0
        keep = min(max(0.0, self.due(now) + self.store.refill(self.terms.held(self.store)) - start), draw.want)
        if keep > LEAST:
            self.leases.append(Lease(keep, start, now))
        self.given += draw.want - keep
        self.free_used = 0.0
        self.seen = total
        return True

    @staticmethod
    def _digits(total: float) -> float:
        return max(LEAST, abs(total) * 2e-6)

    def _learn(self, others: float, now: float) -> None:
        if self.told is not None and now - self.told[1] >= 200.0:
            rate = max(0.0, others - self.told[0]) / (now - self.told[1]) * SECOND
            self.others += 0.5 * (rate - self.others)
            self.told = others, now
        elif self.told is None:
            self.told = others, now

    def unanswered(self, draw: Draw, may_have_added: bool) -> None:
        """What we owe is told again: twice is on the safe side. What we gave back is not: it would be there twice."""
        if draw is not self.out:
            return
        self.out = None
        if draw.read:
            # what the window before held is not known: taken as the worst
            self.carry = self.store.burst if self.store.hard else 0.0
            return
        self.owed += draw.owed
        if may_have_added:
            self.own += min(0.0, draw.amount)
        else:
            self.given += draw.given

    def level(self, now: float) -> float:
        """What the store holds by the latest total, in units."""
        return min(self.store.burst, self.due(now) - max(self.seen, self._low(now)))

    def wait(self, units: float, now: float) -> float:
        """ms till so many may be there for us, by our share of what is used: were all to ask as soon as one request's
        worth has come in, most would ask in vain."""
        both = self.rate_now(now) + self.others
        share = max(self.rate_now(now) / both if both > 0.0 else 1.0, 1.0 / self.store.limiters)
        return max(0.0, (units - self.level(now)) / ((self.store.rate or 1.0) * share) * SECOND)
