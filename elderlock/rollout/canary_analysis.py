"""Decide by a significance test whether released limiters perform worse than a control group. No I/O.

Two metrics are compared, each on a scale on which the variance of its own noise is known:

- the fraction of requests that were refused or failed, as the arcsine of its square root: the variance-stabilising
  transformation of a binomial proportion (Anscombe 1948), with a variance of 1/(4n) for any fraction;
- the latency of served requests, as the mean of its logarithm (the geometric mean), with its variance from running
  sums.

The test statistic is that of Welch's unequal-variances t-test (Welch 1947): the difference of the groups' means divided
by its standard error. The variance between limiters of one version is estimated from the control group over the same
period, so that a load spike that affects all limiters does not count against the release. While the control group is
small, that estimate is shrunk towards a prior, as in empirical Bayes methods. Where each limiter was observed before
the release, the changes since then are compared instead of the levels (difference in differences).

The test is repeated many times during a trial, so the earlier repetitions need more standard errors than the last one
for a bad verdict.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Literal, NamedTuple

VerdictKind = Literal["good", "bad", "unclear"]

LATENCY_TOLERANCE_FRACTION = 0.10  # a latency increase up to this is accepted
FAILURE_TOLERANCE_FRACTION = 0.02  # the accepted increase of the refused or failed fraction over the control group
DETECTED_SLOWDOWN_FRACTION = 0.20  # the latency increase that the analysis has to detect
FAILURE_PRIOR_DEVIATION = 0.04  # between limiters of one version, on the arcsine scale
LATENCY_PRIOR_DEVIATION = 0.035  # between limiters of one version, on the logarithmic scale
PRIOR_WEIGHT = 4.0  # of the prior deviation, as an equivalent number of limiters
MINIMUM_ANSWERS = 10  # in a window whose failures are compared
MINIMUM_SERVED = 60  # in a window whose latency is compared
MINIMUM_LATENCY_VARIANCE = 0.01
EXPECTED_ANSWERS = 40.0  # the control group's median count above which a window without answers is a failure
EARLY_STANDARD_ERRORS = 4.0  # for a bad verdict before the bake time is over
DUE_STANDARD_ERRORS = 3.0  # for a bad verdict once the bake time is over
FINAL_STANDARD_ERRORS = 2.0  # for a bad verdict once the maximum bake time is over


class AnswerMetrics(NamedTuple):
    """Running counters of a limiter's process, or the difference of two.

    Attributes:
        served: Requests that were answered with a server's response.
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
        """Return the increase since `earlier`; None where a counter decreased, as `earlier` is from another process."""
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
        """Return the number of requests that were served, refused or failed."""
        return self.served + self.refused + self.failed


class ComparisonWindow(NamedTuple):
    """One limiter's metrics around a trial, over the same period for all limiters.

    Attributes:
        name: The limiter.
        trial: The metrics since the trial began.
        settled: The metrics since the end of the settling time; used for latency.
        baseline: The metrics of the time before the trial; None where the history is too short.
    """

    name: str
    trial: AnswerMetrics
    settled: AnswerMetrics
    baseline: AnswerMetrics | None = None


class Verdict(NamedTuple):
    """The result of one test during a trial.

    Attributes:
        kind: Whether the release is good, bad, or not decided yet.
        text: The figures that led to it, for operators.
    """

    kind: VerdictKind
    text: str


class _Estimate(NamedTuple):
    """A metric on its scale, with the variance of its sampling noise."""

    value: float
    variance: float


class _Scale(NamedTuple):
    """A scale on which a metric is compared.

    Attributes:
        estimate: Converts metrics to the scale; None where there are too few answers.
        select: Selects the metrics of a window that are compared.
        prior_deviation: The prior standard deviation between limiters of one version.
    """

    estimate: Callable[[AnswerMetrics], _Estimate | None]
    select: Callable[[ComparisonWindow], AnswerMetrics]
    prior_deviation: float


class _Comparison(NamedTuple):
    """The difference between the released limiters and the control group, on a scale.

    Attributes:
        difference: The difference of the means; positive where the released limiters are worse.
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
    released: Sequence[ComparisonWindow], control: Sequence[ComparisonWindow], is_due: bool, is_final: bool = False
) -> Verdict:
    """Return whether the released limiters perform worse than the control group.

    Args:
        released: The windows of the released limiters.
        control: The windows of the control group, over the same period.
        is_due: Whether the bake time is over. Before that, only a very significant difference is bad.
        is_final: Whether the maximum bake time is over. Then an undecided latency difference is bad if a slowdown is
            likelier than not.
    """
    control = [window for window in control if window.trial.answer_count() > 0] or list(control)
    if is_due and (verdict := _no_answers_verdict(released, control)) is not None:
        return verdict
    failures = _compare(released, control, FAILURE_SCALE)
    latency = _compare(released, control, LATENCY_SCALE)
    bound = DUE_STANDARD_ERRORS if is_due else EARLY_STANDARD_ERRORS
    if failures is not None and failures.z > bound:
        released_fraction = _failed_fraction(released)
        control_fraction = _failed_fraction(control)
        if released_fraction - control_fraction > FAILURE_TOLERANCE_FRACTION:
            control_text = f"{control_fraction:.0%} in the control group ({failures.z:.1f} sigma)"
            return Verdict("bad", f"{released_fraction:.0%} refused or failed, {control_text}")
    if latency is not None and latency.z > bound and latency.difference > math.log1p(LATENCY_TOLERANCE_FRACTION):
        slowdown = f"slower by {math.expm1(latency.difference):.0%} than the control group"
        return Verdict("bad", f"{slowdown} ({latency.z:.1f} sigma)")
    if failures is None:
        return Verdict("unclear", "too few answers to compare")
    return _latency_verdict(latency, is_final)


def _no_answers_verdict(released: Sequence[ComparisonWindow], control: Sequence[ComparisonWindow]) -> Verdict | None:
    """Return a bad verdict where a released limiter answered no request while the control group was busy."""
    silent_names = [window.name for window in released if window.trial.answer_count() == 0]
    if not control or not silent_names:
        return None
    median = _median([window.trial.answer_count() for window in control])
    if median < EXPECTED_ANSWERS:
        return None
    return Verdict(
        "bad", f"{', '.join(silent_names)} answered no request, the control group {median:.0f} each in the median"
    )


def _latency_verdict(latency: _Comparison | None, is_final: bool) -> Verdict:
    """Return the verdict where no difference is significant: good unless a large slowdown is still possible."""
    if latency is None:
        return Verdict("good", "no worse than the control group")
    detected = math.log1p(DETECTED_SLOWDOWN_FRACTION)
    if latency.difference + FINAL_STANDARD_ERRORS * latency.standard_error > detected:
        is_likely = latency.difference > detected / 2 and latency.z > FINAL_STANDARD_ERRORS
        text = f"slower by {math.expm1(latency.difference):.0%}, not significant ({latency.z:.1f} sigma)"
        return Verdict("bad" if is_final and is_likely else "unclear", text)
    change = f"latency {math.expm1(latency.difference):+.0%}, {latency.z:+.1f} sigma"
    return Verdict("good", f"no worse than the control group ({change})")


def _compare(
    released: Sequence[ComparisonWindow], control: Sequence[ComparisonWindow], scale: _Scale
) -> _Comparison | None:
    """Compare two groups on a scale; None where one of them has too few answers."""
    is_paired = _all_have_baseline(released, scale) and _all_have_baseline(control, scale)
    released_estimates = _estimates(released, scale, is_paired)
    control_estimates = _estimates(control, scale, is_paired)
    if not released_estimates or not control_estimates or len(released_estimates) < len(released):
        return None
    control_mean = sum(estimate.value for estimate in control_estimates) / len(control_estimates)
    between_variance = _between_variance(control_estimates, control_mean, scale.prior_deviation)
    released_mean = sum(estimate.value for estimate in released_estimates) / len(released_estimates)
    released_noise = sum(estimate.variance for estimate in released_estimates) / len(released_estimates) ** 2
    control_noise = sum(estimate.variance for estimate in control_estimates) / len(control_estimates) ** 2
    noise = released_noise + control_noise
    variance = noise + between_variance / len(released_estimates) + between_variance / len(control_estimates)
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
    """Return each window's level, or where `is_paired`, its change since the baseline."""
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
