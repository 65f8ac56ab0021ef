"""The bucket that limiters share through a counter, and the parameters for the use of the counter."""

from __future__ import annotations

from dataclasses import dataclass

MS_PER_SECOND = 1000.0


class CounterParametersError(ValueError):
    """Parameters contradict each other; the text gives the values and the bounds."""


@dataclass(frozen=True, slots=True)
class SharedBucket:
    """A token bucket that several limiters share. It starts full.

    Attributes:
        rate_per_s: The units that the bucket gains per second.
        burst_units: The capacity of the bucket.
        limiter_count: The number of limiters that share the bucket.
        is_hard_ceiling: Whether the bucket may be exceeded by no more than the stated error
            (`elderlock/quota/error_bound.py`), which should be within `slack_units`.
        slack_units: The units by which a hard ceiling may be exceeded.
    """

    rate_per_s: float
    burst_units: float
    limiter_count: int
    is_hard_ceiling: bool = False
    slack_units: float = 0.0

    def refill_units(self, span_ms: float) -> float:
        """Return the units that the bucket gains in `span_ms`."""
        return self.rate_per_s * span_ms / MS_PER_SECOND


@dataclass(frozen=True, slots=True)
class CounterParameters:
    """The parameters for the use of the counter. All limiters of a group must have the same.

    Attributes:
        answer_timeout_ms: How long to wait for an answer of the counter.
        clock_skew_ms: The maximum difference between the limiters' clocks.
        window_ms: How long units are drawn from one name.
        name_lifetime_ms: The time after which the counter deletes a name; more than two windows.
        hold_ms: How long leased units may stay unspent; less for a hard ceiling, see `hold_time_ms`.
        hold_slack_fraction: The fraction of a hard ceiling's slack that the held units of all limiters may use.
        prefetch_fraction: The maximum fraction of a limiter's part of the burst that is drawn ahead of demand.
        unreported_fraction: The fraction of the burst that all limiters together may admit before they report it to the
            counter. Does not apply to hard ceilings.
        low_use_fraction: The fraction of the rate below which use may stay unreported and nothing is drawn ahead.
        heartbeat_ms: The interval between calls to sentinels.
        sentinel_count: The number of names that serve as sentinels (`counter_health.py`).
        missed_answers_limit: The number of consecutive missing answers after which the counter counts as unreachable.
        probe_interval_ms: The interval between calls to an unreachable counter.
        max_cut_off_ms: How long a limiter that cannot reach the counter continues to refill its part of a hard ceiling.
        max_calls_per_s: The maximum number of calls per second of one limiter.
    """

    answer_timeout_ms: float = 50.0
    clock_skew_ms: float = 10.0
    window_ms: float = 25_000.0
    name_lifetime_ms: float = 60_000.0
    hold_ms: float = 1000.0
    hold_slack_fraction: float = 0.4
    prefetch_fraction: float = 0.5
    unreported_fraction: float = 0.5
    low_use_fraction: float = 0.5
    heartbeat_ms: float = 500.0
    sentinel_count: int = 4
    missed_answers_limit: int = 2
    probe_interval_ms: float = 500.0
    max_cut_off_ms: float = 30_000.0
    max_calls_per_s: float = 100.0

    def __post_init__(self) -> None:
        """Validate the parameters.

        Raises:
            CounterParametersError: The parameters contradict each other.
        """
        if not 0.0 < self.answer_timeout_ms < self.window_ms / 10.0:
            raise CounterParametersError(
                f"answer timeout of {self.answer_timeout_ms:g} ms: expected above 0 and under a tenth of the window "
                f"of {self.window_ms:g} ms"
            )
        min_lifetime_ms = 2.0 * self.window_ms + 4.0 * (self.answer_timeout_ms + self.clock_skew_ms)
        if self.name_lifetime_ms < min_lifetime_ms:
            raise CounterParametersError(
                f"name lifetime of {self.name_lifetime_ms:g} ms: expected at least {min_lifetime_ms:g} ms, "
                "for two windows and the calls under way"
            )
        if self.clock_skew_ms < 0.0 or self.hold_ms < 0.0:
            raise CounterParametersError(
                f"clock skew of {self.clock_skew_ms:g} ms and hold time of {self.hold_ms:g} ms: expected at least 0"
            )
        if self.max_calls_per_s <= 0.0 or self.missed_answers_limit < 1:
            raise CounterParametersError(
                f"limits of {self.max_calls_per_s:g} calls per second and {self.missed_answers_limit} missing answers: "
                "expected above 0, and at least 1"
            )

    def hold_time_ms(self, bucket: SharedBucket) -> float:
        """Return how long units of `bucket` may stay leased and unspent."""
        if not bucket.is_hard_ceiling or bucket.rate_per_s <= 0.0:
            return self.hold_ms
        return min(self.hold_ms, self.hold_slack_fraction * bucket.slack_units / bucket.rate_per_s * MS_PER_SECOND)

    def unreported_limit_units(self, bucket: SharedBucket) -> float:
        """Return the units of `bucket` that one limiter may admit before it reports them to the counter."""
        if bucket.is_hard_ceiling:
            return 0.0
        return self.unreported_fraction * bucket.burst_units / bucket.limiter_count

    def prefetch_limit_units(self, bucket: SharedBucket) -> float:
        """Return the maximum number of units of `bucket` that one limiter draws ahead of demand."""
        if bucket.is_hard_ceiling:
            return self.hold_slack_fraction * bucket.slack_units / bucket.limiter_count
        return self.prefetch_fraction * bucket.burst_units / bucket.limiter_count
