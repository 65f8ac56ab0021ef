"""A limiter's even part of a shared bucket, for decisions while the counter is unreachable."""

from __future__ import annotations

from elderlock.quota.counter_parameters import CounterParameters, SharedBucket

NEGLIGIBLE_UNITS = 1e-6  # the counter's totals have seven digits
MIN_CAPACITY_UNITS = 1.0  # so that a small part can admit a request of one unit


class LocalBucket:
    """One limiter's part: 1/N of the rate and of the burst.

    The part of a hard ceiling starts empty, because the remaining units of the ceiling are not known. It is no longer
    refilled after `CounterParameters.max_cut_off_ms`, because the other limiters may use the entire ceiling.

    Attributes:
        used_units: The units that were spent since the start.
    """

    __slots__ = ("_bucket", "_refilled_until_ms", "_level_units", "_max_cut_off_ms", "_started_at_ms", "used_units")

    def __init__(self, bucket: SharedBucket, parameters: CounterParameters, now_ms: float) -> None:
        """Create the part at the time `now_ms`."""
        self.used_units = 0.0
        self._bucket = bucket
        self._max_cut_off_ms = parameters.max_cut_off_ms
        self._started_at_ms = now_ms
        self._refilled_until_ms = now_ms
        self._level_units = 0.0 if bucket.is_hard_ceiling else bucket.burst_units / bucket.limiter_count

    def spend(self, units: float, now_ms: float) -> bool:
        """Spend `units`; return False and spend nothing if the part holds fewer."""
        self._refill(now_ms)
        if self._level_units < units - NEGLIGIBLE_UNITS:
            return False
        self._level_units -= units
        self.used_units += units
        return True

    def reported_units(self) -> float:
        """Return the units to report to the counter once it is back: at most the burst of the part."""
        return min(self.used_units, self._bucket.burst_units / self._bucket.limiter_count)

    def _refill(self, now_ms: float) -> None:
        bucket = self._bucket
        refill_until_ms = now_ms
        if bucket.is_hard_ceiling:
            refill_until_ms = min(now_ms, self._started_at_ms + self._max_cut_off_ms)
        gained_units = bucket.refill_units(max(0.0, refill_until_ms - self._refilled_until_ms)) / bucket.limiter_count
        capacity_units = max(bucket.burst_units / bucket.limiter_count, MIN_CAPACITY_UNITS)
        self._level_units = min(self._level_units + gained_units, capacity_units)
        self._refilled_until_ms = max(self._refilled_until_ms, refill_until_ms)
