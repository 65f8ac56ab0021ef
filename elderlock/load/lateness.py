"""Detects when the generator itself fell behind its schedule, and finds the cause. No I/O.

A worker is behind in a second if the p99 lateness of its sends or the latest send exceeds its limit, if it ran out of
descriptors or ports, or if its connections opened too slowly. The resource usage of that second shows the cause.
"""

from __future__ import annotations

from array import array
from collections.abc import Sequence

import msgspec

from elderlock.load.scenario import LatenessLimits

BUSY_CPU_SHARE = 0.8  # of a core; from here on the worker's own work counts as the cause
CORE_WAIT_SHARE = 0.3  # of a second in which the worker was runnable without a core
EXPLAINING_GAP_SHARE = 0.5  # of the worst lateness; a gap of the event loop of at least this share explains it
MINIMUM_STOP_MS = 200.0  # one idle gap of this length is longer than any time slice of a shared core
MINIMUM_PREEMPTIONS = 4  # involuntary context switches in a second that show other load on the machine


class ResourceUsage(msgspec.Struct, array_like=True, frozen=True):
    """What a worker measured about itself in one interval.

    Attributes:
        wall_ms: Duration of the interval.
        cpu_ms: CPU time used.
        wait_ms: Time in which it was runnable without a core; 0 if the kernel does not report it.
        gap_ms: Longest gap between two turns of its event loop.
        gap_cpu_ms: CPU time used during that gap.
        preempted: Involuntary context switches, which every kernel reports.
        descriptors: Connections that failed for lack of descriptors or ports.
        dials: Connections opened.
        slow_dials: Connections that took too long to open.
        slowest_dial_ms: Longest time to open a connection.
    """

    wall_ms: float
    cpu_ms: float
    wait_ms: float
    gap_ms: float
    gap_cpu_ms: float
    preempted: int = 0
    descriptors: int = 0
    dials: int = 0
    slow_dials: int = 0
    slowest_dial_ms: float = 0.0


class LateSpan(msgspec.Struct, array_like=True):
    """A time in which a worker was behind its schedule.

    Attributes:
        worker: Number of the worker.
        start: Start in s of the run.
        end: End in s of the run.
        late: Number of late sends.
        most_ms: Maximum lateness.
        why: Cause: descriptors, stopped, core, cpu, backlog or unknown.
        text: The cause as a sentence for the operator.
    """

    worker: int
    start: float
    end: float
    late: int
    most_ms: float
    why: str
    text: str


def quantile(values: Sequence[int], share: float) -> int:
    """Return the smallest value such that at least this share of the values is not greater; 0 without values."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[max(0, min(len(ordered) - 1, -int(-share * len(ordered) // 1) - 1))]


def find_late_span(
    worker: int, start: float, end: float, late: array[int], usage: ResourceUsage, limits: LatenessLimits
) -> LateSpan | None:
    """Return the span if the worker was behind in this interval, else None.

    Args:
        worker: Number of the worker.
        start: Start of the interval in s of the run.
        end: End of the interval in s of the run.
        late: Lateness of each send in µs.
        usage: The worker's resource usage in the interval.
        limits: The limits for its lateness.
    """
    maximum_ms = max(late, default=0) / 1000.0
    p99_ms = quantile(late, 0.99) / 1000.0
    has_connection_faults = usage.descriptors > 0 or usage.slow_dials > 0
    if p99_ms <= limits.late_p99_ms and maximum_ms <= limits.late_most_ms and not has_connection_faults:
        return None
    limit_us = limits.late_p99_ms * 1000.0
    why, text = _find_cause(maximum_ms, usage, limits)
    return LateSpan(worker, start, end, sum(each > limit_us for each in late), maximum_ms, why, text)


def _find_cause(maximum_ms: float, usage: ResourceUsage, limits: LatenessLimits) -> tuple[str, str]:
    if usage.descriptors:
        return "descriptors", f"{usage.descriptors} connections could not be opened: out of descriptors or ports"
    # A late event loop also makes connections look slow, so it is checked first.
    if maximum_ms > limits.late_p99_ms:
        idle_ms = usage.gap_ms - usage.gap_cpu_ms
        is_busy = (
            usage.cpu_ms >= BUSY_CPU_SHARE * usage.wall_ms or usage.gap_cpu_ms >= EXPLAINING_GAP_SHARE * maximum_ms
        )
        # Cores are shared in short time slices, so one long idle gap is a stop, whatever the number of preemptions.
        if usage.wait_ms < CORE_WAIT_SHARE * usage.wall_ms and idle_ms >= max(
            EXPLAINING_GAP_SHARE * maximum_ms, MINIMUM_STOP_MS
        ):
            return "stopped", f"it was idle for {usage.gap_ms:.0f} ms: the process was stopped from outside"
        if usage.wait_ms >= CORE_WAIT_SHARE * usage.wall_ms or usage.preempted >= MINIMUM_PREEMPTIONS and not is_busy:
            return "core", (
                f"no core was free: it was preempted {usage.preempted} times "
                f"and got {usage.cpu_ms:.0f} ms of CPU in {usage.wall_ms:.0f} ms"
            )
        if is_busy:
            return "cpu", f"its own work took {usage.cpu_ms:.0f} ms of CPU in {usage.wall_ms:.0f} ms"
    if usage.slow_dials:
        return "backlog", (
            f"{usage.slow_dials} of {usage.dials} connections took more than {limits.connect_ms:g} ms to open, "
            f"up to {usage.slowest_dial_ms:.0f} ms"
        )
    return "unknown", (
        f"it used {usage.cpu_ms:.0f} ms of CPU in {usage.wall_ms:.0f} ms, "
        f"the longest gap of its event loop was {usage.gap_ms:.0f} ms"
    )


def merge_spans(spans: Sequence[LateSpan]) -> list[LateSpan]:
    """Merge adjacent spans of the same worker and cause."""
    merged: list[LateSpan] = []
    for span in sorted(spans, key=lambda s: (s.worker, s.start)):
        last = merged[-1] if merged else None
        if last is not None and (last.worker, last.why) == (span.worker, span.why) and span.start - last.end < 0.5:
            text = span.text if span.most_ms > last.most_ms else last.text
            merged[-1] = LateSpan(
                span.worker,
                last.start,
                span.end,
                last.late + span.late,
                max(last.most_ms, span.most_ms),
                span.why,
                text,
            )
        else:
            merged.append(span)
    return sorted(merged, key=lambda s: (s.start, s.worker))
