"""Decide whether released limiters do worse than the others, by a significance test. No I/O.

Two metrics are compared, each on a scale on which the variance of its own noise is known:

- the fraction of answers that were refused or failed, as the arcsine of its square root: the variance-stabilising
  transformation of a binomial proportion (Anscombe 1948), with variance 1/(4n) whatever the fraction;
- the latency of served requests, as the mean of its logarithm (the geometric mean), with its variance from running
  sums.

The test statistic is that of Welch's unequal-variances t-test (Welch 1947): the difference of the groups' means over
its standard error. The variance between limiters of one version is estimated from the control group in the same
moments, so that a load spike that all meet is not held against the release. While the control group is small, that
estimate is shrunk towards a prior, as in empirical Bayes methods. Where each limiter was observed before the release,
the changes since then are compared instead of the levels (difference in differences).

The verdict is looked at many times, so the first looks need more standard errors than the last.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Literal, NamedTuple

VerdictKind = Literal["good", "bad", "unclear"]

LATENCY_TOLERANCE_FRACTION = 0.10  # by which latency may be longer without counting against a release
FAILURE_TOLERANCE_FRACTION = 0.02  # of all answers, that may fail or be refused more than in the control group
DETECTED_SLOWDOWN_FRACTION = 0.20  # by which latency is longer that the analysis has to detect
FAILURE_PRIOR_DEVIATION = 0.04  # between limiters of one version, on the arcsine scale
LATENCY_PRIOR_DEVIATION = 0.035  # between limiters of one version, on the logarithmic scale
PRIOR_WEIGHT = 4.0  # of the prior, as a count of limiters
MINIMUM_ANSWERS = 10  # in a window, for its failures to be compared
MINIMUM_SERVED = 60  # in a window, for its latency to be compared
MINIMUM_LATENCY_VARIANCE = 0.01
EXPECTED_ANSWERS = 40.0  # in the control group's median window, for an empty window to count as a failure
EARLY_STANDARD_ERRORS = 4.0  # for a bad verdict at any look
DUE_STANDARD_ERRORS = 3.0  # for a bad verdict once the bake time is over
FINAL_STANDARD_ERRORS = 2.0  # for a bad verdict once the maximum bake time is over


class AnswerMetrics(NamedTuple):
    """Running counters of a limiter's process, or the difference of two.

    Attributes:
        served: Answers of servers that were passed on.
        refused: Requests that the limiter refused.
        failed: Requests that failed.
        log_time_sum: The sum of the natural logarithms of the served requests' latencies in ms.
        log_time_square_sum: The sum of the squares of those logarithms.
    """

    served: int = 0
    refused: int = 0
    failed: int = 0
    log_time_sum: float = 0.0
    log_time_square_sum: float = 0.0

    def since(self, earlier: AnswerMetrics) -> AnswerMetrics | None:
        """Return what was counted since `earlier`; None where that is from another process, as a counter went down."""
        served = self.served - earlier.served
        refused = self.refused - earlier.refused
        failed = self.failed - earlier.failed
        if min(served, refused, failed) < 0:
            return None
        return AnswerMetrics(
            served,
            refused,
            failed,
            self.log_time_sum - earlier.log_time_sum,
            self.log_time_square_sum - earlier.log_time_square_sum,
        )

    def plus(self, other: AnswerMetrics) -> AnswerMetrics:
        """Return the sum of both."""
        return AnswerMetrics(
            self.served + other.served,
            self.refused + other.refused,
            self.failed + other.failed,
            self.log_time_sum + other.log_time_sum,
            self.log_time_square_sum + other.log_time_square_sum,
        )

    def answer_count(self) -> int:
        """Return how many answers there were."""
        return self.served + self.refused + self.failed


class ComparisonWindow(NamedTuple):
    """One limiter's metrics around a trial, in the same moments for all limiters.

    Attributes:
        name: The limiter.
        trial: The metrics since the trial began.
        settled: The metrics since the settling time was over; used for latency.
        baseline: The metrics of the time before the trial; None where too little is known of it.
    """

    name: str
    trial: AnswerMetrics
    settled: AnswerMetrics
    baseline: AnswerMetrics | None = None


class Verdict(NamedTuple):
    """The outcome of one look at a trial.

    Attributes:
        kind: Whether the release is good, bad, or not clear yet.
        text: The figures behind it, for people.
    """

    kind: VerdictKind
    text: str


class _Estimate(NamedTuple):
    """A metric on its scale, with the variance of its own noise."""

    value: float
    variance: float


class _Scale(NamedTuple):
    """A scale that a metric is compared on.

    Attributes:
        estimate: Places metrics on the scale; None where there are too few answers.
        select: Picks the metrics of a window.
        prior_deviation: The prior standard deviation between limiters of one version.
    """

    estimate: Callable[[AnswerMetrics], _Estimate | None]
    select: Callable[[ComparisonWindow], AnswerMetrics]
    prior_deviation: float


class _Comparison(NamedTuple):
    """How much worse the released limiters are than the control group, on a scale.

    Attributes:
        difference: The difference of the means; positive where the released ones are worse.
        standard_error: The standard error of the difference.
    """

    difference: float
    standard_error: float

    @property
    def z(self) -> float:
        """The difference in standard errors."""
        return self.difference / self.standard_error


def _failure_estimate(metrics: AnswerMetrics) -> _Estimate | None:
    """Return the arcsine of the square root of the failed fraction."""
    count = metrics.answer_count()
    if count < MINIMUM_ANSWERS:
        return None
    fraction = (metrics.refused + metrics.failed) / count
    return _Estimate(math.asin(math.sqrt(fraction)), 1.0 / (4.0 * count))


def _latency_estimate(metrics: AnswerMetrics) -> _Estimate | None:
    """Return the mean logarithm of the latency."""
    if metrics.served < MINIMUM_SERVED:
        return None
    mean = metrics.log_time_sum / metrics.served
    variance = metrics.log_time_square_sum / metrics.served - mean * mean
    return _Estimate(mean, max(variance, MINIMUM_LATENCY_VARIANCE) / metrics.served)


FAILURE_SCALE = _Scale(_failure_estimate, lambda window: window.trial, FAILURE_PRIOR_DEVIATION)
LATENCY_SCALE = _Scale(_latency_estimate, lambda window: window.settled, LATENCY_PRIOR_DEVIATION)


def analyze_canary(
    released: Sequence[ComparisonWindow], control: Sequence[ComparisonWindow], last: bool, final: bool = False
) -> Verdict:
    """Return whether the released limiters do worse than the control group.

    Args:
        released: The windows of the released limiters.
        control: The windows of the others, over the same moments.
        last: Whether the bake time is over. Before that, only a very significant difference is bad.
        final: Whether the maximum bake time is over. Then what is likelier holds.
    """
    control = [window for window in control if window.trial.answer_count() > 0] or list(control)
    if last and (verdict := _no_answers_verdict(released, control)) is not None:
        return verdict
    failures = _compare(released, control, FAILURE_SCALE)
    latency = _compare(released, control, LATENCY_SCALE)
    bound = DUE_STANDARD_ERRORS if last else EARLY_STANDARD_ERRORS
    if failures is not None and failures.z > bound:
        released_fraction = _failed_fraction(released)
        control_fraction = _failed_fraction(control)
        if released_fraction - control_fraction > FAILURE_TOLERANCE_FRACTION:
            others = f"of the others {control_fraction:.0%} ({failures.z:.1f} sigma)"
            return Verdict("bad", f"{released_fraction:.0%} refused or failed, {others}")
    if latency is not None and latency.z > bound and latency.difference > math.log1p(LATENCY_TOLERANCE_FRACTION):
        slowdown = f"slower by {math.expm1(latency.difference):.0%} than the others"
        return Verdict("bad", f"{slowdown} ({latency.z:.1f} sigma)")
    if failures is None:
        return Verdict("unclear", "too few answers to compare")
    return _latency_verdict(latency, final)


def _no_answers_verdict(released: Sequence[ComparisonWindow], control: Sequence[ComparisonWindow]) -> Verdict | None:
    """Return a bad verdict where a released limiter answered nothing while the others were busy."""
    silent = [window.name for window in released if window.trial.answer_count() == 0]
    if not control or not silent:
        return None
    median = _median([window.trial.answer_count() for window in control])
    if median < EXPECTED_ANSWERS:
        return None
    return Verdict("bad", f"{', '.join(silent)} answered nothing, the others {median:.0f} each")


def _latency_verdict(latency: _Comparison | None, final: bool) -> Verdict:
    """Return the verdict where no difference is significant: good unless the release may still be much slower."""
    if latency is None:
        return Verdict("good", "no worse than the others")
    detected = math.log1p(DETECTED_SLOWDOWN_FRACTION)
    if latency.difference + FINAL_STANDARD_ERRORS * latency.standard_error > detected:
        is_likely = latency.difference > detected / 2 and latency.z > FINAL_STANDARD_ERRORS
        text = f"slower by {math.expm1(latency.difference):.0%}, not surely ({latency.z:.1f} sigma)"
        return Verdict("bad" if final and is_likely else "unclear", text)
    change = f"time to answer {math.expm1(latency.difference):+.0%}, {latency.z:+.1f} sigma"
    return Verdict("good", f"no worse than the others ({change})")


def _compare(
    released: Sequence[ComparisonWindow], control: Sequence[ComparisonWindow], scale: _Scale
) -> _Comparison | None:
    """Compare two groups on a scale; None where one of them has too few answers."""
    is_paired = _all_have_baseline(released, scale) and _all_have_baseline(control, scale)
    ours = _estimates(released, scale, is_paired)
    theirs = _estimates(control, scale, is_paired)
    if not ours or not theirs or len(ours) < len(released):
        return None
    control_mean = sum(estimate.value for estimate in theirs) / len(theirs)
    between_variance = _between_variance(theirs, control_mean, scale.prior_deviation)
    released_mean = sum(estimate.value for estimate in ours) / len(ours)
    released_noise = sum(estimate.variance for estimate in ours) / len(ours) ** 2
    control_noise = sum(estimate.variance for estimate in theirs) / len(theirs) ** 2
    noise = released_noise + control_noise
    variance = noise + between_variance / len(ours) + between_variance / len(theirs)
    return _Comparison(released_mean - control_mean, math.sqrt(variance))


def _between_variance(control: Sequence[_Estimate], mean: float, prior_deviation: float) -> float:
    """Estimate the variance between limiters of one version, shrunk towards the prior."""
    noise = sum(estimate.variance for estimate in control) / len(control)
    sample_variance = 0.0
    if len(control) > 1:
        sample_variance = sum((estimate.value - mean) ** 2 for estimate in control) / (len(control) - 1)
    excess = max(sample_variance - noise, 0.0)
    degrees_of_freedom = len(control) - 1
    weighted_sum = PRIOR_WEIGHT * prior_deviation**2 + degrees_of_freedom * excess
    return weighted_sum / (PRIOR_WEIGHT + len(control) - 1)


def _estimates(windows: Sequence[ComparisonWindow], scale: _Scale, is_paired: bool) -> list[_Estimate]:
    """Return each window's level, or its change since the baseline where `is_paired`."""
    estimates: list[_Estimate] = []
    for window in windows:
        level = scale.estimate(scale.select(window))
        if level is None:
            continue
        if not is_paired:
            estimates.append(level)
            continue
        baseline = scale.estimate(window.baseline) if window.baseline is not None else None
        if baseline is not None:
            estimates.append(_Estimate(level.value - baseline.value, level.variance + baseline.variance))
    return estimates


def _all_have_baseline(windows: Sequence[ComparisonWindow], scale: _Scale) -> bool:
    return all(window.baseline is not None and scale.estimate(window.baseline) is not None for window in windows)


def _failed_fraction(windows: Sequence[ComparisonWindow]) -> float:
    count = sum(window.trial.answer_count() for window in windows)
    if count == 0:
        return 0.0
    return sum(window.trial.refused + window.trial.failed for window in windows) / count


def _median(values: Sequence[float]) -> float:
    ordered = sorted(values)
    half = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[half]
    return (ordered[half - 1] + ordered[half]) / 2.0
