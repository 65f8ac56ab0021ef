"""Two runs side by side, with the noise stated: a difference counts where it is beyond what the blocks of either
run differ among themselves. No I/O.

Each run is cut into blocks of time; the percentile of each block is a sample of its own, and blocks, unlike
single requests, hardly depend on one another (batch means, Law and Kelton, *Simulation Modeling and
Analysis*). The bound is two standard errors of the difference.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence

import msgspec

from elderlock.load.metrics import Histogram, decode_histogram
from elderlock.load.report import Report

BLOCKS = 10  # of each run; fewer where it is shorter
LEAST_BLOCKS = 4
ERRORS = 2.0  # standard errors beyond which it is called a difference
POINTS = ("p50", "p90", "p99", "p99.9", "mean")


class Difference(msgspec.Struct, frozen=True):
    """`noise` is what a difference has to exceed, in the figure's own unit; None where the runs are too short
    to tell."""

    what: str
    before: float
    after: float
    noise: float | None

    @property
    def verdict(self) -> str:
        if self.noise is None:
            return "cannot be told: too short"
        if abs(self.after - self.before) <= self.noise:
            return "within the noise"
        return "higher" if self.after > self.before else "lower"


def _groups(report: Report) -> list[tuple[Histogram, dict[str, int]]]:
    """The run's blocks as about `BLOCKS` of equal length; those that hold nothing are left out."""
    blocks = report.blocks
    if report.lasted_s > 0:
        blocks = [block for block in blocks if block.start < report.lasted_s]
    count = min(BLOCKS, len(blocks))
    if not count:
        return []
    groups = []
    for number in range(count):
        part = blocks[number * len(blocks) // count : (number + 1) * len(blocks) // count]
        spread, outcomes = Histogram(), dict[str, int]()
        for block in part:
            spread.merge(decode_histogram(block.latency))
            for name, n in block.outcomes.items():
                outcomes[name] = outcomes.get(name, 0) + n
        if spread.counts:
            groups.append((spread, outcomes))
    return groups


def _noise(before: Sequence[float], after: Sequence[float]) -> float | None:
    if min(len(before), len(after)) < LEAST_BLOCKS:
        return None
    return ERRORS * math.sqrt(statistics.variance(before) / len(before) + statistics.variance(after) / len(after))


def compare_reports(before: Report, after: Report) -> tuple[list[Difference], list[str]]:
    """The differences, and what speaks against comparing the two at all."""
    warnings = []
    if before.scenario != after.scenario or before.seed != after.seed:
        warnings.append(
            f"not the same load: {before.scenario} with seed {before.seed}, {after.scenario} with seed {after.seed}"
        )
    if before.bounds != after.bounds:
        warnings.append("the runs had other bounds for their own lateness")
    for name, run in (("first", before), ("second", after)):
        if run.behind:
            warnings.append(f"in the {name} run the generator fell behind: its times are not of the target alone")
        if run.ledger["missing"]:
            warnings.append(f"in the {name} run {run.ledger['missing']} requests are not accounted for")
    groups = [_groups(before), _groups(after)]
    found = []
    for point in POINTS:
        one, two = before.by["all"].get("all"), after.by["all"].get("all")
        if one is None or two is None or point not in one.latency or point not in two.latency:
            continue
        samples = [[spread.times((point,) if point != "mean" else ())[point] for spread, _ in g] for g in groups]
        found.append(Difference(f"{point} ms", one.latency[point], two.latency[point], _noise(*samples)))
    for name in sorted(before.outcomes.keys() | after.outcomes.keys()):
        shares = [run.outcomes.get(name, 0) / max(1, run.ledger["scheduled"]) for run in (before, after)]
        samples = [[outcomes.get(name, 0) / sum(outcomes.values()) for _, outcomes in g if outcomes] for g in groups]
        found.append(Difference(f"share {name}", shares[0], shares[1], _noise(*samples)))
    return found, warnings


def table_lines(found: Sequence[Difference], warnings: Sequence[str]) -> list[str]:
    rows = [("", "first", "second", "noise", "")]
    for each in found:
        noise = "-" if each.noise is None else f"{each.noise:.4g}"
        rows.append((each.what, f"{each.before:.4g}", f"{each.after:.4g}", noise, each.verdict))
    widths = [max(len(row[n]) for row in rows) for n in range(4)]
    return [
        *(f"careful: {text}" for text in warnings),
        *(
            f"{a.ljust(widths[0])}  {b.rjust(widths[1])}  {c.rjust(widths[2])}  {d.rjust(widths[3])}  {e}".rstrip()
            for a, b, c, d, e in rows
        ),
    ]
