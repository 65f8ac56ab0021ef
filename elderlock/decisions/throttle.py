"""The control adaptor and the class-threshold leaky bucket, as ETSI ES 283 039-4 has them."""

from __future__ import annotations

import random

from elderlock.decisions.context import MS_PER_SECOND
from elderlock.state import ThrottlePhase

# Load is latency over the class's aim, so the levels are shares of the aim.
GOAL_LOAD_LEVEL = 0.4  # with the median answer at this share a queue stands, and a slow tenth misses the aim
CONTROL_PERIOD = 1000.0  # ms between updates of the leak rate, as in the design
MOST_CUT, MOST_RISE = 0.75, 1.15  # bounds of one update, so that one noisy reading cannot swing the rate
TERMINATION_PENDING_PERIOD = 3000.0  # ms of load below the goal before the return begins
LEAK_RATE_GROWTH_FACTOR = 25.0  # percent a period while returning
RATE_INCREMENT_PERIOD = 1000.0  # ms between its rises
BUCKET_SPAN = 500.0  # ms of leak that the largest threshold holds
LEAST_DEPTH = 4.0  # attempts: below it the randomised fill would drown the thresholds
BEYOND_THRESHOLD, INSIDE_THRESHOLD = 0.3, 0.75  # of the depth: beyond quota; cheapest inside; dearest 1


class Throttle:
    """Invariant: the fill never falls below nothing, and while throttled no leak rate lies below `least_rate`."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.rng, self.phase = rng, ThrottlePhase.NOT_OVERLOADED
        self.fill_at = self.updated_at = self.phase_at = now
        self.leak_rate = self.fill = self.entry_rate = self.max_leak_rate = self.least_rate = 0.0
        self.previous_rate: float | None = None
        self.last_attempts = 0.0

    def threshold_vector(self, inside: bool, value: float) -> float:
        """The threshold of a class; `value` is its worth over the dearest one's."""
        share = INSIDE_THRESHOLD + (1.0 - INSIDE_THRESHOLD) * value if inside else BEYOND_THRESHOLD
        return 1.0 + share * max(LEAST_DEPTH, self.leak_rate * BUCKET_SPAN / MS_PER_SECOND)

    def leak(self, now: float) -> None:
        self.fill = max(0.0, self.fill - self.leak_rate * (now - self.fill_at) / MS_PER_SECOND)
        self.fill_at = now

    def passes(self, inside: bool, value: float, now: float) -> bool:
        self.leak(now)
        passes = 1.0 + self.fill < self.threshold_vector(inside, value)
        self.fill += passes
        return passes or self.phase is ThrottlePhase.NOT_OVERLOADED

    def set_rate(self, rate: float, now: float) -> None:
        """Randomises the fill at each new rate, so that limiters do not run in step; it stays bounded."""
        self.leak(now)
        self.leak_rate = max(rate, self.least_rate)
        fill = self.fill + self.rng.uniform(-1.0, 1.0)
        self.fill = min(max(0.0, fill), 2.0 * self.threshold_vector(True, 1.0))

    def enter(self, rate: float, now: float) -> None:
        if self.phase is ThrottlePhase.NOT_OVERLOADED:
            self.leak_rate, self.fill_at = rate, now
            self.fill = self.threshold_vector(True, 0.0)
        self.entry_rate = rate
        self.set_rate(rate, now)
        self.turn(ThrottlePhase.OVERLOADED, now)
        self.updated_at = now

    def turn(self, phase: ThrottlePhase, now: float) -> None:
        self.phase, self.phase_at, self.previous_rate = phase, now, None

    def update(self, level: float, attempts: float, entry: float, now: float) -> None:
        """One look at the load level, `attempts` a second being let through."""
        over = level > GOAL_LOAD_LEVEL
        if over and self.phase in (ThrottlePhase.NOT_OVERLOADED, ThrottlePhase.RETURNING_TO_NOT_OVERLOADED):
            self.enter(entry if self.phase is ThrottlePhase.NOT_OVERLOADED else self.entry_rate, now)
        elif over and self.phase is ThrottlePhase.TERMINATION_PENDING:
            self.turn(ThrottlePhase.OVERLOADED, now)
        if self.phase is ThrottlePhase.NOT_OVERLOADED or now - self.updated_at < CONTROL_PERIOD:
            return
        self.updated_at = now
        factor = min(max(GOAL_LOAD_LEVEL / max(level, 1e-3), MOST_CUT), MOST_RISE)
        if self.phase is ThrottlePhase.RETURNING_TO_NOT_OVERLOADED:
            self._return(now)
        elif self.phase is ThrottlePhase.TERMINATION_PENDING:
            self._pend(factor, attempts, now)
        elif over:
            self.set_rate(self.leak_rate * factor, now)
        else:
            self.turn(ThrottlePhase.TERMINATION_PENDING, now)
        self.last_attempts = attempts

    def _pend(self, factor: float, attempts: float, now: float) -> None:
        if self.previous_rate is not None and attempts < self.last_attempts:
            self.set_rate(self.previous_rate, now)
            self.previous_rate = None
        else:
            self.previous_rate = self.leak_rate
            self.set_rate(max(self.leak_rate, min(self.leak_rate * factor, self.max_leak_rate)), now)
        if now - self.phase_at >= TERMINATION_PENDING_PERIOD:
            self.turn(ThrottlePhase.RETURNING_TO_NOT_OVERLOADED, now)
            self.entry_rate = self.leak_rate

    def _return(self, now: float) -> None:
        rate = self.leak_rate * (1.0 + LEAK_RATE_GROWTH_FACTOR / 100.0)
        if now - self.phase_at < RATE_INCREMENT_PERIOD:
            return
        if rate >= self.max_leak_rate:
            self.turn(ThrottlePhase.NOT_OVERLOADED, now)
        else:
            self.set_rate(rate, now)
