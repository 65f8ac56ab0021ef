"""Keep the answer metrics of all limiters over the last minutes, for canary analysis. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from elderlock.rollout.canary_analysis import AnswerMetrics, ComparisonWindow

BASELINE_MS = 60_000.0  # the period before a trial whose metrics form its baseline
MINIMUM_BASELINE_MS = BASELINE_MS / 4
HISTORY_MS = 4 * BASELINE_MS
SAMPLE_INTERVAL_MS = 5000.0  # between two samples while the totals do not change


class _Sample(NamedTuple):
    """The running total of a limiter's metrics at a time on the monotonic clock."""

    at_ms: float
    total: AnswerMetrics


class _ProcessMetrics(NamedTuple):
    """A limiter's counters, continued across restarts of its process.

    Attributes:
        earlier: The sum over all processes before the current one.
        latest: The latest counters of the current process.
    """

    earlier: AnswerMetrics
    latest: AnswerMetrics


class MetricsHistory:
    """The metrics of all limiters over the last minutes.

    Every agent records them, whether it leads a plan or not, so that an agent that takes over a plan has the baselines.
    The totals continue across restarts of a limiter, so that it can be compared with its own past.
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[_Sample]] = {}
        self._processes: dict[str, _ProcessMetrics] = {}
        self._sampled_at_ms: dict[str, float] = {}

    def record(self, name: str, metrics: AnswerMetrics, now_ms: float) -> None:
        """Record the counters that a limiter's current process reports."""
        earlier, latest = self._processes.get(name, _ProcessMetrics(AnswerMetrics(), AnswerMetrics()))
        is_same_report = metrics is latest
        if is_same_report and now_ms - self._sampled_at_ms.get(name, now_ms) <= SAMPLE_INTERVAL_MS:
            return
        if metrics.since(latest) is None:
            earlier = earlier.plus(latest)  # a new process starts counting at zero
        self._processes[name] = _ProcessMetrics(earlier, metrics)
        total = earlier.plus(metrics)
        samples = self._samples.setdefault(name, deque())
        if not samples or samples[-1].total != total or now_ms - samples[-1].at_ms > SAMPLE_INTERVAL_MS:
            samples.append(_Sample(now_ms, total))
            self._sampled_at_ms[name] = now_ms
        while len(samples) > 2 and samples[1].at_ms < now_ms - HISTORY_MS:
            samples.popleft()

    def comparison_window(self, name: str, start_ms: float, settled_ms: float) -> ComparisonWindow | None:
        """Return a limiter's metrics around a trial.

        Args:
            name: The limiter.
            start_ms: When the trial began.
            settled_ms: When the settling time of the trial ended.

        Returns:
            The window, with a baseline where the history reaches back far enough; None where there is no sample.
        """
        samples = self._samples.get(name)
        if not samples:
            return None
        latest = samples[-1].total
        at_start = _total_at(samples, start_ms)
        trial = latest.since(at_start)
        settled = latest.since(_total_at(samples, settled_ms))
        assert trial is not None  # totals never decrease
        assert settled is not None
        baseline = None
        if samples[0].at_ms < start_ms - MINIMUM_BASELINE_MS:
            baseline = at_start.since(_total_at(samples, start_ms - BASELINE_MS))
        return ComparisonWindow(name, trial, settled, baseline)


def _total_at(samples: Iterable[_Sample], at_ms: float) -> AnswerMetrics:
    """Return the last total recorded up to a time; the first total where none is that old."""
    latest_total: AnswerMetrics | None = None
    for sample in samples:
        if latest_total is not None and sample.at_ms > at_ms:
            break
        latest_total = sample.total
    assert latest_total is not None
    return latest_total
