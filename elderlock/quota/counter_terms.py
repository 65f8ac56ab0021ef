"""The bucket that limiters share through a counter, and the terms on which a limiter uses that counter."""

from __future__ import annotations

from dataclasses import dataclass

MS_PER_SECOND = 1000.0


class CounterTermsError(ValueError):
    """Terms that contradict one another; the text says which, and what was wanted."""


@dataclass(frozen=True, slots=True)
class SharedBucket:
    """A token bucket that several limiters share. It starts full.

    Attributes:
        rate_per_s: Units that the bucket gains a second.
        burst_units: Units that the bucket holds at most.
        limiter_count: Limiters that share the bucket.
        is_hard_ceiling: Whether the bucket may be exceeded by no more than the stated error
            (`elderlock/quota/error_bound.py`), which should lie within `slack_units`.
        slack_units: Units by which a hard ceiling may be exceeded.
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
class CounterTerms:
    """How a limiter uses the counter. All limiters of a group must have the same terms.

    Attributes:
        answer_timeout_ms: How long an answer of the counter is waited for.
        clock_skew_ms: How far the limiters' clocks may lie apart.
        window_ms: How long units are drawn from one name.
        name_lifetime_ms: When the counter forgets a name; more than two windows.
        hold_ms: How long leased units may stay unspent. A hard ceiling's are held for less, see `hold_time_ms`.
        hold_slack_fraction: Fraction of a hard ceiling's slack that units held by all limiters may use up.
        prefetch_fraction: Fraction of a limiter's part of the burst that is drawn ahead of demand at most.
        unreported_fraction: Fraction of the burst that all limiters together may admit before they report it to the
            counter. Not for hard ceilings.
        low_use_fraction: Fraction of the rate below which use may go unreported and nothing is drawn ahead.
        heartbeat_ms: Interval between calls to sentinels.
        sentinel_count: Names that serve as sentinels (`counter_health.py`).
        missed_answers_limit: Missing answers in a row after which the counter is taken as unreachable.
        probe_interval_ms: Interval between calls to a counter that was unreachable.
        max_cut_off_ms: How long a limiter that cannot reach the counter goes on filling its part of a hard ceiling.
        max_calls_per_s: Calls that a limiter makes a second at most.
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
        """Check the terms.

        Raises:
            CounterTermsError: The terms contradict one another.
        """
        if not 0.0 < self.answer_timeout_ms < self.window_ms / 10.0:
            raise CounterTermsError(
                f"answer timeout of {self.answer_timeout_ms:g} ms: wanted above 0 and under a tenth of the window "
                f"of {self.window_ms:g} ms"
            )
        least_lifetime_ms = 2.0 * self.window_ms + 4.0 * (self.answer_timeout_ms + self.clock_skew_ms)
        if self.name_lifetime_ms < least_lifetime_ms:
            raise CounterTermsError(
                f"name lifetime of {self.name_lifetime_ms:g} ms: wanted {least_lifetime_ms:g} ms at least, two windows "
                "and the calls that are under way"
            )
        if self.clock_skew_ms < 0.0 or self.hold_ms < 0.0:
            raise CounterTermsError(
                f"clock skew of {self.clock_skew_ms:g} ms and hold time of {self.hold_ms:g} ms: wanted 0 at least"
            )
        if self.max_calls_per_s <= 0.0 or self.missed_answers_limit < 1:
            raise CounterTermsError(
                f"{self.max_calls_per_s:g} calls a second, {self.missed_answers_limit} missing answers: "
                "wanted above 0, and 1 at least"
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
        """Return the units of `bucket` that one limiter draws ahead of demand at most."""
        if bucket.is_hard_ceiling:
            return self.hold_slack_fraction * bucket.slack_units / bucket.limiter_count
        return self.prefetch_fraction * bucket.burst_units / bucket.limiter_count
