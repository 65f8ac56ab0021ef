"""The control adaptor and the class-threshold leaky bucket, as ETSI ES 283 039-4 has them."""

from __future__ import annotations

import random

from elderlock.decisions.context import MS_PER_SECOND
from elderlock.state import ThrottlePhase

# Load is latency over the class's aim, so the levels are shares of the aim.
GOAL_LOAD_LEVEL = 0.4  # with the median answer at this share a queue stands, and a slow tenth misses the aim
CONTROL_PERIOD_MS = 1000.0  # ms between updates of the leak rate, as in the design
MIN_RATE_FACTOR, MAX_RATE_FACTOR = 0.75, 1.15  # bounds of one update, so that one noisy reading cannot swing the rate
TERMINATION_PENDING_PERIOD_MS = 3000.0  # ms of load below the goal before the return begins
LEAK_RATE_GROWTH_PERCENT = 25.0  # percent a period while returning
RATE_INCREMENT_PERIOD_MS = 1000.0  # ms between its rises
BUCKET_DEPTH_MS = 500.0  # ms of leak that the largest threshold holds
MIN_BUCKET_DEPTH = 4.0  # attempts: below it the randomised fill would drown the thresholds
OVER_QUOTA_THRESHOLD_FRACTION, LOWEST_VALUE_THRESHOLD_FRACTION = (
    0.3,
    0.75,
)  # of the depth: beyond quota; cheapest inside; dearest 1


class Throttle:
    """Invariant: the fill never falls below nothing, and while throttled no leak rate lies below `least_rate`."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.rng, self.phase = rng, ThrottlePhase.NOT_OVERLOADED
        self.fill_at_ms = self.updated_at_ms = self.phase_since_ms = now
        self.leak_rate_per_s = self.fill = self.entry_rate_per_s = self.max_leak_rate_per_s = (
            self.min_leak_rate_per_s
        ) = 0.0
        self.previous_rate_per_s: float | None = None
        self.previous_admit_rate_per_s = 0.0

    def threshold_vector(self, inside: bool, value: float) -> float:
        """The threshold of a class; `value` is its worth over the dearest one's."""
        share = (
            LOWEST_VALUE_THRESHOLD_FRACTION + (1.0 - LOWEST_VALUE_THRESHOLD_FRACTION) * value
            if inside
            else OVER_QUOTA_THRESHOLD_FRACTION
        )
        return 1.0 + share * max(MIN_BUCKET_DEPTH, self.leak_rate_per_s * BUCKET_DEPTH_MS / MS_PER_SECOND)

    def leak(self, now: float) -> None:
        self.fill = max(0.0, self.fill - self.leak_rate_per_s * (now - self.fill_at_ms) / MS_PER_SECOND)
        self.fill_at_ms = now

    def admits(self, inside: bool, value: float, now: float) -> bool:
        self.leak(now)
        passes = 1.0 + self.fill < self.threshold_vector(inside, value)
        self.fill += passes
        return passes or self.phase is ThrottlePhase.NOT_OVERLOADED

    def set_leak_rate(self, rate: float, now: float) -> None:
        """Randomises the fill at each new rate, so that limiters do not run in step; it stays bounded."""
        self.leak(now)
        self.leak_rate_per_s = max(rate, self.min_leak_rate_per_s)
        fill = self.fill + self.rng.uniform(-1.0, 1.0)
        self.fill = min(max(0.0, fill), 2.0 * self.threshold_vector(True, 1.0))

    def start_throttling(self, rate: float, now: float) -> None:
        if self.phase is ThrottlePhase.NOT_OVERLOADED:
            self.leak_rate_per_s, self.fill_at_ms = rate, now
            self.fill = self.threshold_vector(True, 0.0)
        self.entry_rate_per_s = rate
        self.set_leak_rate(rate, now)
        self.enter_phase(ThrottlePhase.OVERLOADED, now)
        self.updated_at_ms = now

    def enter_phase(self, phase: ThrottlePhase, now: float) -> None:
        self.phase, self.phase_since_ms, self.previous_rate_per_s = phase, now, None

    def update(self, level: float, attempts: float, entry: float, now: float) -> None:
        """One look at the load level, `attempts` a second being let through."""
        over = level > GOAL_LOAD_LEVEL
        if over and self.phase in (ThrottlePhase.NOT_OVERLOADED, ThrottlePhase.RETURNING_TO_NOT_OVERLOADED):
            self.start_throttling(entry if self.phase is ThrottlePhase.NOT_OVERLOADED else self.entry_rate_per_s, now)
        elif over and self.phase is ThrottlePhase.TERMINATION_PENDING:
            self.enter_phase(ThrottlePhase.OVERLOADED, now)
        if self.phase is ThrottlePhase.NOT_OVERLOADED or now - self.updated_at_ms < CONTROL_PERIOD_MS:
            return
        self.updated_at_ms = now
        factor = min(max(GOAL_LOAD_LEVEL / max(level, 1e-3), MIN_RATE_FACTOR), MAX_RATE_FACTOR)
        if self.phase is ThrottlePhase.RETURNING_TO_NOT_OVERLOADED:
            self._update_returning(now)
        elif self.phase is ThrottlePhase.TERMINATION_PENDING:
            self._update_termination_pending(factor, attempts, now)
        elif over:
            self.set_leak_rate(self.leak_rate_per_s * factor, now)
        else:
            self.enter_phase(ThrottlePhase.TERMINATION_PENDING, now)
        self.previous_admit_rate_per_s = attempts

    def _update_termination_pending(self, factor: float, attempts: float, now: float) -> None:
        if self.previous_rate_per_s is not None and attempts < self.previous_admit_rate_per_s:
            self.set_leak_rate(self.previous_rate_per_s, now)
            self.previous_rate_per_s = None
        else:
            self.previous_rate_per_s = self.leak_rate_per_s
            self.set_leak_rate(
                max(self.leak_rate_per_s, min(self.leak_rate_per_s * factor, self.max_leak_rate_per_s)), now
            )
        if now - self.phase_since_ms >= TERMINATION_PENDING_PERIOD_MS:
            self.enter_phase(ThrottlePhase.RETURNING_TO_NOT_OVERLOADED, now)
            self.entry_rate_per_s = self.leak_rate_per_s

    def _update_returning(self, now: float) -> None:
        rate = self.leak_rate_per_s * (1.0 + LEAK_RATE_GROWTH_PERCENT / 100.0)
        if now - self.phase_since_ms < RATE_INCREMENT_PERIOD_MS:
            return
        if rate >= self.max_leak_rate_per_s:
            self.enter_phase(ThrottlePhase.NOT_OVERLOADED, now)
        else:
            self.set_leak_rate(rate, now)
