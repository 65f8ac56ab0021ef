"""The stated error: how many units above its bucket may be admitted, as one formula for each failure.

Symbols are those of `docs/design/quota.md`, which has the proof: R is the bucket's rate, B its burst, N the limiters
that share it, h the time for which leased units are held, a the answer timeout, d the clock skew. `ExcessMeter` is the
bucket itself, against which a history is checked.
"""

from __future__ import annotations

from dataclasses import dataclass

from elderlock.quota.counter_terms import MS_PER_SECOND, CounterTerms, SharedBucket

PROBE_JITTER_FACTOR = 1.25  # an interval between probes or heartbeats is at most a quarter longer than stated


@dataclass(frozen=True, slots=True)
class FailureHistory:
    """The failures that a history held.

    Attributes:
        cut_off_ms: Sum over limiters of the time for which they were cut off while others were not.
        return_count: Times that the counter or a limiter came back.
        unseen_loss_count: Times that a counter lost its counts without breaking a connection.
        largest_request_units: Units of the largest request.
    """

    cut_off_ms: float = 0.0
    return_count: int = 0
    unseen_loss_count: int = 0
    largest_request_units: float = 1.0


def shared_error_units(bucket: SharedBucket, terms: CounterTerms) -> float:
    """Return the error while the counter answers: R (h + 2a + 2d), plus what all limiters may leave unreported.

    Units are drawn at one moment and spent at a later one; the formula holds for all limiters together.
    """
    delay_ms = terms.hold_time_ms(bucket) + 2.0 * terms.answer_timeout_ms + 2.0 * terms.clock_skew_ms
    unreported_units = 0.0 if bucket.is_hard_ceiling else terms.unreported_fraction * bucket.burst_units
    return bucket.refill_units(delay_ms) + unreported_units


def cut_off_error_units(bucket: SharedBucket, cut_off_ms: float) -> float:
    """Return the error of limiters that are cut off for `cut_off_ms` in sum: m R T / N.

    They admit their even part while the others share the entire rate.
    """
    return bucket.refill_units(cut_off_ms) / bucket.limiter_count


def detection_error_units(bucket: SharedBucket, terms: CounterTerms) -> float:
    """Return the error of one return of the counter: R (N-1)/N (1.25 x probe interval + 4a).

    One limiter detects the return sooner than another; until then the others count as cut off.
    """
    detection_ms = (
        PROBE_JITTER_FACTOR * terms.probe_interval_ms + (terms.missed_answers_limit + 2) * terms.answer_timeout_ms
    )
    return cut_off_error_units(bucket, (bucket.limiter_count - 1) * detection_ms)


def unseen_loss_error_units(bucket: SharedBucket, terms: CounterTerms) -> float:
    """Return the error of one loss of counts that breaks no connection: B + R (1.25 x heartbeat x sentinels + 2a).

    The next heartbeat of the part of the counter that lost its counts detects it.
    """
    detection_ms = PROBE_JITTER_FACTOR * terms.heartbeat_ms * terms.sentinel_count + 2.0 * terms.answer_timeout_ms
    return bucket.burst_units + bucket.refill_units(detection_ms)


def stated_error_units(bucket: SharedBucket, terms: CounterTerms, failures: FailureHistory | None = None) -> float:
    """Return the units above burst + rate x time that may be admitted in any span of time.

    Args:
        bucket: The bucket that the limiters share.
        terms: The terms of all limiters.
        failures: What the history held; none by default.
    """
    failures = failures or FailureHistory()
    total_units = shared_error_units(bucket, terms) + cut_off_error_units(bucket, failures.cut_off_ms)
    if not bucket.is_hard_ceiling:  # only a hard ceiling is taken as empty after a return
        total_units += bucket.burst_units * (1 + failures.return_count)
    total_units += failures.return_count * detection_error_units(bucket, terms)
    total_units += failures.unseen_loss_count * unseen_loss_error_units(bucket, terms)
    return total_units + failures.largest_request_units


def slack_warnings(plan_name: str, bucket: SharedBucket, terms: CounterTerms) -> list[str]:
    """Return a text for each way in which a hard ceiling's stated error exceeds its slack."""
    if not bucket.is_hard_ceiling:
        return []
    shared_units = shared_error_units(bucket, terms)
    cut_off_units = cut_off_error_units(bucket, terms.max_cut_off_ms)
    texts = []
    if shared_units > bucket.slack_units:
        texts.append(
            f"plan {plan_name}: with the counter answering {shared_units:.2f} units may pass the ceiling, "
            f"its slack is {bucket.slack_units:g}"
        )
    if shared_units + cut_off_units > bucket.slack_units:
        texts.append(
            f"plan {plan_name}: a limiter cut off for {terms.max_cut_off_ms / MS_PER_SECOND:g} s adds "
            f"{cut_off_units:.2f} units over the ceiling, its slack is {bucket.slack_units:g}; "
            "a shorter cut_most lowers that"
        )
    return texts


class ExcessMeter:
    """Measures by how much admitted units exceeded a bucket.

    Invariant: `level_units` is what the worst span that ends now holds over its refill.

    Attributes:
        bucket: The bucket that is measured against.
        level_units: Units in the bucket's meter now; at most the burst where nothing exceeds it.
        worst_units: The most that any span held over burst + rate x time.
        updated_at_ms: Time of the latest admission.
    """

    def __init__(self, bucket: SharedBucket) -> None:
        """Start with nothing admitted."""
        self.bucket = bucket
        self.level_units = 0.0
        self.worst_units = 0.0
        self.updated_at_ms = 0.0

    def record(self, units: float, now_ms: float) -> None:
        """Add `units` that were admitted at `now_ms`."""
        elapsed_ms = max(0.0, now_ms - self.updated_at_ms)
        self.level_units = max(0.0, self.level_units - self.bucket.refill_units(elapsed_ms)) + units
        self.updated_at_ms = max(now_ms, self.updated_at_ms)
        self.worst_units = max(self.worst_units, self.level_units - self.bucket.burst_units)
