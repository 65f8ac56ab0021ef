"""The stated error: the units that may be admitted in excess of a bucket, with one formula for each kind of failure.

The symbols are those of `docs/design/quota.md`, which has the proof: R is the bucket's rate, B its burst, N the number
of limiters that share it, h the hold time of leased units, a the answer timeout, d the clock skew. `ExcessMeter`
implements the bucket itself, to check histories of admissions.
"""

from __future__ import annotations

from dataclasses import dataclass

from elderlock.quota.counter_parameters import MS_PER_SECOND, CounterParameters, SharedBucket

PROBE_JITTER_FACTOR = 1.25  # jitter makes an interval between probes or heartbeats at most this much longer


@dataclass(frozen=True, slots=True)
class FailureHistory:
    """The failures during a history of admissions.

    Attributes:
        cut_off_ms: The time for which limiters were cut off while others were not, summed over the limiters.
        return_count: The number of times that the counter or a limiter came back.
        unseen_loss_count: The number of times that a counter lost its counts without breaking a connection.
        largest_request_units: The units of the largest request.
    """

    cut_off_ms: float = 0.0
    return_count: int = 0
    unseen_loss_count: int = 0
    largest_request_units: float = 1.0


def shared_error_units(bucket: SharedBucket, parameters: CounterParameters) -> float:
    """Return the error while the counter answers: R (h + 2a + 2d), plus the units that may stay unreported.

    The error arises because units are drawn at one time and spent later. The formula covers all limiters together.
    """
    delay_ms = parameters.hold_time_ms(bucket) + 2.0 * parameters.answer_timeout_ms + 2.0 * parameters.clock_skew_ms
    unreported_units = 0.0 if bucket.is_hard_ceiling else parameters.unreported_fraction * bucket.burst_units
    return bucket.refill_units(delay_ms) + unreported_units


def cut_off_error_units(bucket: SharedBucket, cut_off_ms: float) -> float:
    """Return the error of m limiters that are cut off for T each: m R T / N, where `cut_off_ms` is m T.

    They admit their even part while the others share the entire rate.
    """
    return bucket.refill_units(cut_off_ms) / bucket.limiter_count


def detection_error_units(bucket: SharedBucket, parameters: CounterParameters) -> float:
    """Return the error of one return of the counter: R (N-1)/N (1.25 x probe interval + 4a).

    The limiters detect the return at different times. Those that have not detected it yet count as cut off.
    """
    detection_ms = (
        PROBE_JITTER_FACTOR * parameters.probe_interval_ms
        + (parameters.missed_answers_limit + 2) * parameters.answer_timeout_ms
    )
    return cut_off_error_units(bucket, (bucket.limiter_count - 1) * detection_ms)


def unseen_loss_error_units(bucket: SharedBucket, parameters: CounterParameters) -> float:
    """Return the error of one loss of counts that breaks no connection: B + R (1.25 x heartbeat x sentinels + 2a).

    It is detected by the next heartbeat to the partition of the counter that lost its counts.
    """
    detection_ms = (
        PROBE_JITTER_FACTOR * parameters.heartbeat_ms * parameters.sentinel_count + 2.0 * parameters.answer_timeout_ms
    )
    return bucket.burst_units + bucket.refill_units(detection_ms)


def stated_error_units(
    bucket: SharedBucket, parameters: CounterParameters, failures: FailureHistory | None = None
) -> float:
    """Return the units above burst + rate x time that may be admitted in any interval.

    Args:
        bucket: The bucket that the limiters share.
        parameters: The parameters for the use of the counter.
        failures: The failures during the history; none by default.
    """
    failures = failures or FailureHistory()
    total_units = shared_error_units(bucket, parameters) + cut_off_error_units(bucket, failures.cut_off_ms)
    if not bucket.is_hard_ceiling:  # after a return only a hard ceiling is assumed to be empty
        total_units += bucket.burst_units * (1 + failures.return_count)
    total_units += failures.return_count * detection_error_units(bucket, parameters)
    total_units += failures.unseen_loss_count * unseen_loss_error_units(bucket, parameters)
    return total_units + failures.largest_request_units


def slack_warnings(plan_name: str, bucket: SharedBucket, parameters: CounterParameters) -> list[str]:
    """Return a warning for each case in which a hard ceiling's stated error exceeds its slack."""
    if not bucket.is_hard_ceiling:
        return []
    shared_units = shared_error_units(bucket, parameters)
    cut_off_units = cut_off_error_units(bucket, parameters.max_cut_off_ms)
    texts = []
    if shared_units > bucket.slack_units:
        texts.append(
            f"plan {plan_name}: while the counter answers, the ceiling may be exceeded by {shared_units:.2f} units, "
            f"but its slack is {bucket.slack_units:g}"
        )
    if shared_units + cut_off_units > bucket.slack_units:
        texts.append(
            f"plan {plan_name}: a limiter cut off for {parameters.max_cut_off_ms / MS_PER_SECOND:g} s adds "
            f"{cut_off_units:.2f} units above the ceiling, but its slack is {bucket.slack_units:g}; "
            "a lower cut_most_s reduces this"
        )
    return texts


class ExcessMeter:
    """Measures by how much admitted units exceeded a bucket.

    Invariant: `level_units` is the maximum, over all intervals that end at the latest admission, of the admitted units
    less the refill during the interval.

    Attributes:
        bucket: The bucket to compare with.
        level_units: The level of the meter; at most the burst while the bucket is not exceeded.
        worst_units: The maximum excess over burst + rate x time in any interval so far.
        updated_at_ms: The time of the latest admission.
    """

    def __init__(self, bucket: SharedBucket) -> None:
        """Create a meter without admitted units."""
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
