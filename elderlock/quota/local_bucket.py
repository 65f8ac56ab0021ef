"""A limiter's even part of a shared bucket, by which it decides while the counter is unreachable."""

from __future__ import annotations

from elderlock.quota.counter_terms import CounterTerms, SharedBucket

NEGLIGIBLE_UNITS = 1e-6  # totals come with seven digits
LEAST_CAPACITY_UNITS = 1.0  # so that a request of one unit fits into a small part


class LocalBucket:
    """One limiter's part: 1/N of the rate and of the burst.

    A hard ceiling's part starts empty, as what is left of the ceiling is not known, and stops filling after
    `CounterTerms.max_cut_off_ms`, as the other limiters may use the entire ceiling.

    Attributes:
        used_units: Units that were spent since the start.
    """

    __slots__ = ("_bucket", "_filled_until_ms", "_level_units", "_max_cut_off_ms", "_started_at_ms", "used_units")

    def __init__(self, bucket: SharedBucket, terms: CounterTerms, now_ms: float) -> None:
        """Start the part now."""
        self.used_units = 0.0
        self._bucket = bucket
        self._max_cut_off_ms = terms.max_cut_off_ms
        self._started_at_ms = now_ms
        self._filled_until_ms = now_ms
        self._level_units = 0.0 if bucket.is_hard_ceiling else bucket.burst_units / bucket.limiter_count

    def spend(self, units: float, now_ms: float) -> bool:
        """Spend `units`; return False, and spend nothing, where the part holds less."""
        self._fill(now_ms)
        if self._level_units < units - NEGLIGIBLE_UNITS:
            return False
        self._level_units -= units
        self.used_units += units
        return True

    def reported_units(self) -> float:
        """Return the use that is reported to the counter once it is back: the part's burst at most."""
        return min(self.used_units, self._bucket.burst_units / self._bucket.limiter_count)

    def _fill(self, now_ms: float) -> None:
        bucket = self._bucket
        filled_until_ms = now_ms
        if bucket.is_hard_ceiling:
            filled_until_ms = min(now_ms, self._started_at_ms + self._max_cut_off_ms)
        gained_units = bucket.refill_units(max(0.0, filled_until_ms - self._filled_until_ms)) / bucket.limiter_count
        capacity_units = max(bucket.burst_units / bucket.limiter_count, LEAST_CAPACITY_UNITS)
        self._level_units = min(self._level_units + gained_units, capacity_units)
        self._filled_until_ms = max(self._filled_until_ms, filled_until_ms)
