"""The throttle: a control adaptor and a leaky bucket with a threshold for each class, as in ETSI ES 283 039-4.

The adaptor sets the leak rate by the load level. Requests of a class are admitted while the bucket's fill is below the
threshold of the class, so that under overload the least valuable requests are rejected first. The load level is a
ratio: the latency divided by the latency objective of the request's class.
"""

from __future__ import annotations

import random

from elderlock.decisions.context import MS_PER_SECOND
from elderlock.state import ThrottlePhase

GOAL_LOAD_LEVEL = 0.4  # at this median latency ratio requests queue, and the slowest tenth miss their objective
CONTROL_PERIOD_MS = 1000.0  # the time between updates of the leak rate
MIN_RATE_FACTOR = 0.75  # the minimum factor of one update, so that one noisy reading changes the rate only a little
MAX_RATE_FACTOR = 1.15  # the maximum factor, for the same reason
MIN_LOAD_LEVEL = 1e-3  # avoids a division by 0
TERMINATION_PENDING_PERIOD_MS = 3000.0  # the time with a load below the goal before the return starts
LEAK_RATE_GROWTH_PERCENT = 25.0  # the increase of the leak rate per increment while returning
RATE_INCREMENT_PERIOD_MS = 1000.0  # the time between the increments
BUCKET_DEPTH_MS = 500.0  # the depth of the bucket, as the time in which it drains
MIN_BUCKET_DEPTH = 4.0  # in attempts; with less, the random part of the fill would exceed the thresholds' differences
OVER_QUOTA_THRESHOLD_FRACTION = 0.3  # of the depth
LOWEST_VALUE_THRESHOLD_FRACTION = 0.75  # of the depth, within quota; requests of the highest value use all of it


class Throttle:
    """Limits the rate of admission under overload.

    Invariant: the fill never falls below 0, and while throttled the leak rate is never below the minimum.

    Attributes:
        phase: The state of the adaptor.
        phase_since_ms: The time at which the phase was entered.
        fill: The number of attempts in the bucket.
        fill_at_ms: The time at which the fill was last updated.
        leak_rate_per_s: The attempts per second that leak out of the bucket.
        entry_rate_per_s: The leak rate with which throttling starts again if overload recurs during the return.
        max_leak_rate_per_s: MaxLeakRate; with a higher rate the bucket limits nothing.
        min_leak_rate_per_s: The lower bound of the leak rate.
        updated_at_ms: The time at which the leak rate was last updated.
        previous_rate_per_s: The leak rate before the last increase while termination is pending; None without one.
        previous_admit_rate_per_s: The rate of admitted attempts at the last update.
    """

    def __init__(self, rng: random.Random, now_ms: float) -> None:
        """Start without throttling."""
        self._rng = rng
        self.phase = ThrottlePhase.NOT_OVERLOADED
        self.phase_since_ms = now_ms
        self.fill = 0.0
        self.fill_at_ms = now_ms
        self.leak_rate_per_s = 0.0
        self.entry_rate_per_s = 0.0
        self.max_leak_rate_per_s = 0.0
        self.min_leak_rate_per_s = 0.0
        self.updated_at_ms = now_ms
        self.previous_rate_per_s: float | None = None
        self.previous_admit_rate_per_s = 0.0

    def threshold_vector(self, is_within_quota: bool, value: float) -> float:
        """Return the threshold of a class in attempts.

        Args:
            is_within_quota: Whether the request is within its customer's quota.
            value: The class's value divided by the highest value, from 0 to 1.
        """
        if is_within_quota:
            depth_fraction = LOWEST_VALUE_THRESHOLD_FRACTION + (1.0 - LOWEST_VALUE_THRESHOLD_FRACTION) * value
        else:
            depth_fraction = OVER_QUOTA_THRESHOLD_FRACTION
        depth = max(MIN_BUCKET_DEPTH, self.leak_rate_per_s * BUCKET_DEPTH_MS / MS_PER_SECOND)
        return 1.0 + depth_fraction * depth

    def leak(self, now_ms: float) -> None:
        """Drain the bucket for the time since it was last drained."""
        leaked = self.leak_rate_per_s * (now_ms - self.fill_at_ms) / MS_PER_SECOND
        self.fill = max(0.0, self.fill - leaked)
        self.fill_at_ms = now_ms

    def admits(self, is_within_quota: bool, value: float, now_ms: float) -> bool:
        """Decide whether an attempt of a class is admitted, and add it to the bucket if it fits.

        The bucket is also filled without overload, so that throttling starts with the actual fill.

        Args:
            is_within_quota: Whether the request is within its customer's quota.
            value: The class's value divided by the highest value, from 0 to 1.
            now_ms: The current time.
        """
        self.leak(now_ms)
        fits = 1.0 + self.fill < self.threshold_vector(is_within_quota, value)
        self.fill += fits
        return fits or self.phase is ThrottlePhase.NOT_OVERLOADED

    def remove_attempt(self) -> None:
        """Remove an attempt from the bucket that was admitted but will not be sent."""
        self.fill = max(0.0, self.fill - 1.0)

    def set_leak_rate(self, rate_per_s: float, now_ms: float) -> None:
        """Set the leak rate, and randomise the fill so that the limiters are not synchronised."""
        self.leak(now_ms)
        self.leak_rate_per_s = max(rate_per_s, self.min_leak_rate_per_s)
        fill = self.fill + self._rng.uniform(-1.0, 1.0)
        self.fill = min(max(0.0, fill), 2.0 * self.threshold_vector(True, 1.0))

    def start_throttling(self, rate_per_s: float, now_ms: float) -> None:
        """Enter `OVERLOADED` with the given leak rate."""
        if self.phase is ThrottlePhase.NOT_OVERLOADED:
            self.leak_rate_per_s = rate_per_s
            self.fill_at_ms = now_ms
            self.fill = self.threshold_vector(True, 0.0)
        self.entry_rate_per_s = rate_per_s
        self.set_leak_rate(rate_per_s, now_ms)
        self.enter_phase(ThrottlePhase.OVERLOADED, now_ms)
        self.updated_at_ms = now_ms

    def enter_phase(self, phase: ThrottlePhase, now_ms: float) -> None:
        """Change the adaptor's state."""
        self.phase = phase
        self.phase_since_ms = now_ms
        self.previous_rate_per_s = None

    def update(self, load_level: float, admit_rate_per_s: float, entry_rate_per_s: float, now_ms: float) -> None:
        """Run the control adaptor once.

        A load level above the goal takes effect at once; the leak rate is updated once per `CONTROL_PERIOD_MS`.

        Args:
            load_level: The load level.
            admit_rate_per_s: The current rate of admitted attempts.
            entry_rate_per_s: The leak rate with which throttling starts.
            now_ms: The current time.
        """
        is_overloaded = load_level > GOAL_LOAD_LEVEL
        if is_overloaded:
            self._react_to_overload(entry_rate_per_s, now_ms)
        if self.phase is ThrottlePhase.NOT_OVERLOADED or now_ms - self.updated_at_ms < CONTROL_PERIOD_MS:
            return
        self.updated_at_ms = now_ms
        factor = min(max(GOAL_LOAD_LEVEL / max(load_level, MIN_LOAD_LEVEL), MIN_RATE_FACTOR), MAX_RATE_FACTOR)
        if self.phase is ThrottlePhase.RETURNING_TO_NOT_OVERLOADED:
            self._update_returning(now_ms)
        elif self.phase is ThrottlePhase.TERMINATION_PENDING:
            self._update_termination_pending(factor, admit_rate_per_s, now_ms)
        elif is_overloaded:
            self.set_leak_rate(self.leak_rate_per_s * factor, now_ms)
        else:
            self.enter_phase(ThrottlePhase.TERMINATION_PENDING, now_ms)
        self.previous_admit_rate_per_s = admit_rate_per_s

    def _react_to_overload(self, entry_rate_per_s: float, now_ms: float) -> None:
        if self.phase is ThrottlePhase.NOT_OVERLOADED:
            self.start_throttling(entry_rate_per_s, now_ms)
        elif self.phase is ThrottlePhase.RETURNING_TO_NOT_OVERLOADED:
            self.start_throttling(self.entry_rate_per_s, now_ms)
        elif self.phase is ThrottlePhase.TERMINATION_PENDING:
            self.enter_phase(ThrottlePhase.OVERLOADED, now_ms)

    def _update_termination_pending(self, factor: float, admit_rate_per_s: float, now_ms: float) -> None:
        """Raise the leak rate, or undo the last increase if the rate of admitted attempts fell after it."""
        if self.previous_rate_per_s is not None and admit_rate_per_s < self.previous_admit_rate_per_s:
            self.set_leak_rate(self.previous_rate_per_s, now_ms)
            self.previous_rate_per_s = None
        else:
            self.previous_rate_per_s = self.leak_rate_per_s
            raised_per_s = min(self.leak_rate_per_s * factor, self.max_leak_rate_per_s)
            self.set_leak_rate(max(self.leak_rate_per_s, raised_per_s), now_ms)
        if now_ms - self.phase_since_ms >= TERMINATION_PENDING_PERIOD_MS:
            self.enter_phase(ThrottlePhase.RETURNING_TO_NOT_OVERLOADED, now_ms)
            self.entry_rate_per_s = self.leak_rate_per_s

    def _update_returning(self, now_ms: float) -> None:
        """Raise the leak rate in steps, and end throttling at the maximum."""
        if now_ms - self.phase_since_ms < RATE_INCREMENT_PERIOD_MS:
            return
        raised_per_s = self.leak_rate_per_s * (1.0 + LEAK_RATE_GROWTH_PERCENT / 100.0)
        if raised_per_s >= self.max_leak_rate_per_s:
            self.enter_phase(ThrottlePhase.NOT_OVERLOADED, now_ms)
        else:
            self.set_leak_rate(raised_per_s, now_ms)
