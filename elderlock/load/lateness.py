"""The generator's truth about itself: how late each send left, when it fell behind, and why. No I/O.

A run is behind in a second whose p99 of lateness, or whose latest send, is past the stated bound, or in which
requests could not be sent for want of the generator's own resources. The facts of that second say why.
"""

from __future__ import annotations

from array import array
from collections.abc import Sequence

import msgspec

from elderlock.load.scenario import LatenessLimits

CPU_FULL = 0.8  # of a core, from which on the generator's own work is the cause
WAITED_SHARE = 0.3  # of a second that it was ready and no core was free
STOPPED_SHARE = 0.5  # of the worst lateness, for a stand-still that explains it
LEAST_STOP = 200.0  # ms of one stand-still without work, which no sharing of cores makes
PREEMPTED = 4  # times in a second that a core was taken from it: somebody else is busy there


class ResourceUsage(msgspec.Struct, array_like=True, frozen=True):
    """What the worker knows of one second of its own. `gap_ms`: its loop's longest stand-still, and of it
    `gap_cpu_ms` in which it worked. `wait_ms`: in which it was ready and had no core, where the kernel tells;
    `preempted` is how often a core was taken from it, which every kernel tells."""

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
    """The generator was behind from `start` to `end` (s of the run): `late` sends of it by up to
    `most_ms`."""

    worker: int
    start: float
    end: float
    late: int
    most_ms: float
    why: str
    text: str


def quantile(values: Sequence[int], share: float) -> int:
    """The least value that at least this share lies at or below; 0 of none."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[max(0, min(len(ordered) - 1, -int(-share * len(ordered) // 1) - 1))]


def find_late_span(
    worker: int, start: float, end: float, late: array[int], facts: ResourceUsage, truth: LatenessLimits
) -> LateSpan | None:
    """`late` are µs, one a send of this second."""
    most = max(late, default=0) / 1000.0
    p99 = quantile(late, 0.99) / 1000.0
    own = facts.descriptors > 0 or facts.slow_dials > 0
    if p99 <= truth.late_p99_ms and most <= truth.late_most_ms and not own:
        return None
    bound = truth.late_p99_ms * 1000.0
    why, text = _cause(most, facts, truth)
    return LateSpan(worker, start, end, sum(each > bound for each in late), most, why, text)


def _cause(most: float, facts: ResourceUsage, truth: LatenessLimits) -> tuple[str, str]:
    if facts.descriptors:
        return "descriptors", f"{facts.descriptors} connections could not be opened: out of descriptors or ports"
    # lateness of the loop explains slow dials as well, so it is looked at first
    if most > truth.late_p99_ms:
        idle = facts.gap_ms - facts.gap_cpu_ms
        full = facts.cpu_ms >= CPU_FULL * facts.wall_ms or facts.gap_cpu_ms >= STOPPED_SHARE * most
        # cores are shared in slices: one long stand-still is none of them, however often it was preempted besides
        if facts.wait_ms < WAITED_SHARE * facts.wall_ms and idle >= max(STOPPED_SHARE * most, LEAST_STOP):
            return "stopped", f"it stood still for {facts.gap_ms:.0f} ms without work: stopped from outside"
        if facts.wait_ms >= WAITED_SHARE * facts.wall_ms or facts.preempted >= PREEMPTED and not full:
            return "core", (
                f"a core was taken from it {facts.preempted} times and none was free for it at once; "
                f"it got {facts.cpu_ms:.0f} ms of CPU in {facts.wall_ms:.0f}"
            )
        if full:
            return "cpu", f"its own work took {facts.cpu_ms:.0f} ms of CPU in {facts.wall_ms:.0f}"
    if facts.slow_dials:
        return "backlog", (
            f"{facts.slow_dials} of {facts.dials} connections took over {truth.connect_ms:g} ms, "
            f"up to {facts.slowest_dial_ms:.0f}"
        )
    return "unknown", f"CPU {facts.cpu_ms:.0f} of {facts.wall_ms:.0f} ms, longest stand-still {facts.gap_ms:.0f} ms"


def merge_spans(spans: Sequence[LateSpan]) -> list[LateSpan]:
    """Neighbours of one worker and one cause as one."""
    found: list[LateSpan] = []
    for span in sorted(spans, key=lambda s: (s.worker, s.start)):
        last = found[-1] if found else None
        if last is not None and (last.worker, last.why) == (span.worker, span.why) and span.start - last.end < 0.5:
            text = span.text if span.most_ms > last.most_ms else last.text
            found[-1] = LateSpan(
                span.worker,
                last.start,
                span.end,
                last.late + span.late,
                max(last.most_ms, span.most_ms),
                span.why,
                text,
            )
        else:
            found.append(span)
    return sorted(found, key=lambda s: (s.start, s.worker))
