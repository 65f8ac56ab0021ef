"""Compares two runs and tells real differences from noise. No I/O.

Each run is cut into blocks of time. The percentile of each block is one sample, and blocks, unlike single requests, are
nearly independent of each other (batch means, Law and Kelton, *Simulation Modeling and Analysis*). The noise is two
standard errors of the difference.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence

import msgspec

from elderlock.load.metrics import Histogram, decode_histogram
from elderlock.load.report import Report

TARGET_BLOCKS = 10  # of each run; fewer in a short run
MINIMUM_BLOCKS = 4
SIGNIFICANT_ERRORS = 2.0  # standard errors beyond which a difference is significant
POINTS = ("p50", "p90", "p99", "p99.9", "mean")


class Difference(msgspec.Struct, frozen=True):
    """A metric of two runs.

    Attributes:
        what: Name of the metric.
        before: Its value in the first run.
        after: Its value in the second run.
        noise: Difference that must be exceeded, in the unit of the metric; None if the runs are too short to tell.
    """

    what: str
    before: float
    after: float
    noise: float | None

    @property
    def verdict(self) -> str:
        """Whether the second run's value is higher, lower or within the noise."""
        if self.noise is None:
            return "cannot be told: too short"
        if abs(self.after - self.before) <= self.noise:
            return "within the noise"
        return "higher" if self.after > self.before else "lower"


def _block_groups(report: Report) -> list[tuple[Histogram, dict[str, int]]]:
    """Merge the run's blocks into about `TARGET_BLOCKS` of equal length, and leave out empty ones."""
    blocks = report.blocks
    if report.lasted_s > 0:
        blocks = [block for block in blocks if block.start < report.lasted_s]
    count = min(TARGET_BLOCKS, len(blocks))
    if not count:
        return []
    groups = []
    for number in range(count):
        part = blocks[number * len(blocks) // count : (number + 1) * len(blocks) // count]
        histogram, outcomes = Histogram(), dict[str, int]()
        for block in part:
            histogram.merge(decode_histogram(block.latency))
            for name, n in block.outcomes.items():
                outcomes[name] = outcomes.get(name, 0) + n
        if histogram.counts:
            groups.append((histogram, outcomes))
    return groups


def _noise(before: Sequence[float], after: Sequence[float]) -> float | None:
    if min(len(before), len(after)) < MINIMUM_BLOCKS:
        return None
    variance = statistics.variance(before) / len(before) + statistics.variance(after) / len(after)
    return SIGNIFICANT_ERRORS * math.sqrt(variance)


def compare_reports(before: Report, after: Report) -> tuple[list[Difference], list[str]]:
    """Return the differences between two runs, and warnings about runs that are hardly comparable."""
    warnings = []
    if before.scenario != after.scenario or before.seed != after.seed:
        warnings.append(
            f"the runs had different loads: {before.scenario} with seed {before.seed}, "
            f"{after.scenario} with seed {after.seed}"
        )
    if before.bounds != after.bounds:
        warnings.append("the runs had different limits for the lateness of the generator")
    for name, run in (("first", before), ("second", after)):
        if run.behind:
            warnings.append(f"in the {name} run the generator fell behind: its times do not measure the targets alone")
        if run.ledger["missing"]:
            warnings.append(f"in the {name} run {run.ledger['missing']} requests are not accounted for")
    groups = [_block_groups(before), _block_groups(after)]
    differences = []
    for point in POINTS:
        first, second = before.by["all"].get("all"), after.by["all"].get("all")
        if first is None or second is None or point not in first.latency or point not in second.latency:
            continue
        samples = [
            [histogram.times((point,) if point != "mean" else ())[point] for histogram, _ in run_groups]
            for run_groups in groups
        ]
        differences.append(Difference(f"{point} ms", first.latency[point], second.latency[point], _noise(*samples)))
    for name in sorted(before.outcomes.keys() | after.outcomes.keys()):
        shares = [run.outcomes.get(name, 0) / max(1, run.ledger["scheduled"]) for run in (before, after)]
        samples = [
            [outcomes.get(name, 0) / sum(outcomes.values()) for _, outcomes in run_groups if outcomes]
            for run_groups in groups
        ]
        differences.append(Difference(f"share {name}", shares[0], shares[1], _noise(*samples)))
    return differences, warnings


def table_lines(differences: Sequence[Difference], warnings: Sequence[str]) -> list[str]:
    """Return the comparison as the lines of a text table, after the warnings."""
    rows = [("", "first", "second", "noise", "")]
    for each in differences:
        noise = "-" if each.noise is None else f"{each.noise:.4g}"
        rows.append((each.what, f"{each.before:.4g}", f"{each.after:.4g}", noise, each.verdict))
    widths = [max(len(row[n]) for row in rows) for n in range(4)]
    return [
        *(f"warning: {text}" for text in warnings),
        *(
            f"{a.ljust(widths[0])}  {b.rjust(widths[1])}  {c.rjust(widths[2])}  {d.rjust(widths[3])}  {e}".rstrip()
            for a, b, c, d, e in rows
        ),
    ]
