"""The recent rate at which one limiter uses a bucket."""

from __future__ import annotations

from elderlock.quota.counter_parameters import MS_PER_SECOND

USE_AVERAGING_MS = 2000.0


class UseMeter:
    """Averages use over `USE_AVERAGING_MS`; the average decays linearly while nothing is used.

    Attributes:
        latest_rate_per_s: The average at the latest use, in units per second.
        used_at_ms: The time of the latest use.
    """

    __slots__ = ("latest_rate_per_s", "used_at_ms")

    def __init__(self, now_ms: float) -> None:
        """Create a meter without use."""
        self.latest_rate_per_s = 0.0
        self.used_at_ms = now_ms

    def record(self, units: float, now_ms: float) -> None:
        """Record `units` that were used at `now_ms`."""
        self.latest_rate_per_s = self.rate_per_s_with(units, now_ms)
        self.used_at_ms = now_ms

    def rate_per_s(self, now_ms: float) -> float:
        """Return the current average use, in units per second."""
        return self.latest_rate_per_s * max(0.0, 1.0 - (now_ms - self.used_at_ms) / USE_AVERAGING_MS)

    def rate_per_s_with(self, units: float, now_ms: float) -> float:
        """Return the average use that would result if `units` were used now."""
        return self.rate_per_s(now_ms) + units * MS_PER_SECOND / USE_AVERAGING_MS
