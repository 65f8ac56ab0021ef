"""The report of a run, which is stored, printed, compared and checked against thresholds. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum

import msgspec

from elderlock.load.client_policy import OUTCOMES
from elderlock.load.lateness import LateSpan, merge_spans
from elderlock.load.metrics import POINTS, Block, Histogram, Second, Totals, decode_histogram
from elderlock.load.scenario import Scenario
from elderlock.load.thresholds import parse_percentile, parse_threshold

VERSION = 1


class Exit(IntEnum):
    """Exit codes of `elderlock load`, beside those that all commands share."""

    DONE = 0
    USAGE = 2
    FAILED = 7  # a threshold was exceeded
    BEHIND = 8  # the generator fell behind its schedule, so it did not measure the targets alone
    INCOMPLETE = 9  # part of the load was not sent: a worker died, the trace broke off, or the run was stopped


class LatencySummary(msgspec.Struct):
    """Latency and service time of a group of requests.

    Attributes:
        count: Number of requests.
        latency: Percentiles in ms of the time from the intended start.
        service: Percentiles in ms of the time from the actual start of the last attempt.
        latency_hdr: The latency as an encoded HdrHistogram.
        service_hdr: The service time as an encoded HdrHistogram.
    """

    count: int
    latency: dict[str, float]
    service: dict[str, float]
    latency_hdr: str
    service_hdr: str


class Report(msgspec.Struct):
    """The results of a run.

    Attributes:
        version: Version of the report's format.
        scenario: Name of the scenario.
        seed: Seed of the schedule.
        began_at: Start of the run in Unix s.
        lasted_s: Duration of the run.
        workers: Number of workers.
        targets: Addresses of the targets.
        ledger: Requests by state; see `Totals.ledger`.
        outcomes: Requests that ended, by outcome.
        counts: Events by name.
        rate_error: Share of the scheduled requests that the generator failed to send on time or at all.
        by: Latencies by dimension (all, outcome, plan, group, target) and value.
        late: Percentiles of the lateness of sends in ms.
        late_hdr: That lateness as an encoded HdrHistogram.
        behind: Times in which a worker was behind its schedule.
        bounds: The scenario's limits for that.
        seconds: Measurements of each second.
        blocks: Measurements of each block of time, for comparisons.
        targets_changed: Targets that became available or unavailable, as (s of the run, target, available).
        trouble: Faults that were injected, as (s of the run, text).
        faults: Faulty trace lines by reason.
        notes: Remarks for the operator.
        rss_kb: First, last and maximum resident memory of all workers in KiB.
        cpu_s: CPU time of all workers.
        failed: Messages about thresholds that were exceeded.
        exit: Exit code.
    """

    version: int
    scenario: str
    seed: int
    began_at: float
    lasted_s: float
    workers: int
    targets: tuple[str, ...]
    ledger: dict[str, int]
    outcomes: dict[str, int]
    counts: dict[str, int]
    rate_error: float
    by: dict[str, dict[str, LatencySummary]]
    late: dict[str, float]
    late_hdr: str
    behind: list[LateSpan]
    bounds: dict[str, float | bool]
    seconds: list[Second]
    blocks: list[Block]
    targets_changed: list[tuple[float, int, bool]]
    trouble: list[tuple[float, str]]
    faults: dict[str, int]
    notes: list[str]
    rss_kb: dict[str, int]
    cpu_s: float
    failed: list[str]
    exit: int


def _latency_summary(latency: Histogram, service: Histogram) -> LatencySummary:
    return LatencySummary(latency.total(), latency.times(), service.times(), latency.encoded(), service.encoded())


def build_report(
    totals: Totals,
    scenario: Scenario,
    *,
    scheduled: int,
    began_at: float,
    lasted: float,
    notes: Sequence[str],
    incomplete: bool,
    faults: Sequence[tuple[float, str]] = (),
    fail_if: Sequence[str] = (),
) -> Report:
    """Build the report of a run.

    Args:
        totals: The merged measurements.
        scenario: The scenario of the run.
        scheduled: Number of requests in the schedule.
        began_at: Start of the run in Unix s.
        lasted: Duration of the run in s.
        notes: Remarks for the operator.
        incomplete: A worker was lost or the run was stopped.
        faults: Faults that were injected, as (s of the run, text).
        fail_if: Thresholds beside those of the scenario.

    Raises:
        ThresholdError: A threshold is malformed.
    """
    ledger = totals.ledger(scheduled)
    ledger_errors = [f"the figures do not add up: {text}" for text in totals.check(ledger)]
    by: dict[str, dict[str, LatencySummary]] = {}
    for name, position in (("all", None), ("outcome", 0), ("plan", 1), ("group", 2), ("target", 3)):
        by[name] = {
            key: _latency_summary(pair.latency, pair.service)
            for key, pair in sorted(totals.merged_by(position).items())
        }
    generator_faults = totals.counts["overdue"] + totals.outcomes().get("descriptors", 0) + max(0, ledger["missing"])
    report = Report(
        VERSION,
        scenario.name,
        scenario.seed,
        began_at,
        lasted,
        totals.workers,
        scenario.targets.addresses,
        ledger,
        totals.outcomes(),
        dict(totals.counts),
        generator_faults / scheduled if scheduled else 0.0,
        by,
        totals.late.times(),
        totals.late.encoded(),
        merge_spans(totals.spans),
        msgspec.structs.asdict(scenario.truth),
        totals.seconds,
        totals.blocks(),
        totals.changes,
        list(faults),
        dict(totals.faults),
        [*notes, *(f"{key}: {text}" for key, text in totals.error_messages.items()), *ledger_errors],
        dict(zip(("first", "last", "most"), map(sum, zip(*totals.rss, strict=True)), strict=True)),
        sum(totals.cpu_ms) / 1000.0,
        [],
        0,
    )
    report.failed = failed_thresholds(report, (*scenario.fail_if, *fail_if))
    if incomplete or ledger_errors or ledger["missing"]:
        report.exit = Exit.INCOMPLETE
    elif report.behind:
        report.exit = Exit.BEHIND
    elif report.failed:
        report.exit = Exit.FAILED
    return report


class ReportMetrics:
    """The metrics of a report that thresholds refer to; see `thresholds.MetricSource`."""

    def __init__(self, report: Report) -> None:
        self._report = report

    def time(self, kind: str, point: str, by: str, value: str) -> float | None:
        """Return a percentile in ms, or None if nothing was measured.

        Args:
            kind: latency, service or late.
            point: A percentile such as p99, or max.
            by: The dimension, such as plan; empty for all requests.
            value: The value in that dimension.
        """
        report = self._report
        if kind == "late":
            encoded, stored = report.late_hdr, report.late
        else:
            summary = report.by.get(by or "all", {}).get(value if by else "all")
            if summary is None:
                return None
            encoded = summary.latency_hdr if kind == "latency" else summary.service_hdr
            stored = summary.latency if kind == "latency" else summary.service
        if point in stored or not stored:
            return stored.get(point)
        histogram = decode_histogram(encoded).hdr()
        return float(histogram.get_value_at_percentile(parse_percentile(point))) / 1000.0

    def count(self, name: str) -> float:
        """Return a count of the ledger or of events, or the seconds that workers were behind for `behind_s`."""
        if name == "behind_s":
            return sum(span.end - span.start for span in self._report.behind)
        return float(self._report.ledger.get(name, self._report.counts.get(name, 0)))

    def share(self, outcome: str) -> float:
        """Return an outcome's share of all scheduled requests, including those that were never sent."""
        return self._report.outcomes.get(outcome, 0) / max(1, self._report.ledger["scheduled"])

    def rate_error(self) -> float:
        """Return the share of the scheduled requests that the generator failed to send on time or at all."""
        return self._report.rate_error


def failed_thresholds(report: Report, texts: Sequence[str]) -> list[str]:
    """Return a message for each threshold that the report exceeds.

    Raises:
        ThresholdError: A threshold is malformed.
    """
    metrics = ReportMetrics(report)
    return [message for text in texts if (message := parse_threshold(text).failed(metrics)) is not None]


def encode(report: Report) -> bytes:
    """Encode a report as JSON."""
    return msgspec.json.encode(report)


def decode(data: bytes) -> Report:
    """Decode a report.

    Raises:
        ValueError: The data is not a report, or its version is not supported.
    """
    try:
        report = msgspec.json.decode(data, type=Report)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a report of a load run: {error}") from None
    if report.version != VERSION:
        raise ValueError(f"the report has version {report.version}, only {VERSION} is supported")
    return report


# Text output


def _format_ms(value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.2f}" if value < 10 else f"{value:.1f}" if value < 1000 else f"{value:.0f}"


def _table(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join([row[0].ljust(widths[0]), *(c.rjust(w) for c, w in zip(row[1:], widths[1:], strict=True))])
        for row in rows
    ]


def summary(report: Report) -> list[str]:
    """Return the lines of the text summary."""
    ledger, counts = report.ledger, report.counts
    lines = [
        f"{report.scenario}, seed {report.seed}: {report.lasted_s:.1f} s, {report.workers} workers, "
        f"{len(report.targets)} targets",
        f"scheduled {ledger['scheduled']} = offered {ledger['offered']} + missing "
        f"{ledger['scheduled'] - ledger['offered']}",
        f"offered   {ledger['offered']} = sent {ledger['sent']} + unsent {ledger['unsent']}"
        + (f" + open {ledger['open']}" if ledger["open"] else ""),
        f"sent      {ledger['sent']} = answered {ledger['answered']} + unanswered {ledger['unanswered']}",
        "outcomes: " + (", ".join(f"{n} {name}" for name in OUTCOMES if (n := report.outcomes.get(name))) or "none"),
    ]
    event_labels = {
        "retries": "retries",
        "resent": "resent on a new connection",
        "late_answers": "late answers",
        "stray_answers": "unexpected answers",
        "mismatched": "answers to another request",
        "waited": "waits for a connection",
        "connections": "connections opened",
    }
    events = [f"{counts[key]} {label}" for key, label in event_labels.items() if counts.get(key)]
    lines += [f"events: {', '.join(events)}"] if events else []
    rows = [["ms", "count", *POINTS, "service " + POINTS[0], *POINTS[1:]]]
    for dimension in ("all", "outcome", "plan", "group", "target"):
        for key, each in report.by[dimension].items():
            if dimension != "all" and len(report.by[dimension]) == 1 and dimension != "outcome":
                continue
            name = key if dimension == "all" else f"{dimension} {key}"
            rows.append(
                [
                    name,
                    str(each.count),
                    *(_format_ms(each.latency.get(p)) for p in POINTS),
                    *(_format_ms(each.service.get(p)) for p in POINTS),
                ]
            )
    lines += ["", *_table(rows), ""]
    lines.append(
        f"lateness of sends: p50 {_format_ms(report.late.get('p50'))}, p99 {_format_ms(report.late.get('p99'))}, "
        f"max {_format_ms(report.late.get('max'))} ms; rate error {report.rate_error:.4f}; "
        f"CPU {report.cpu_s:.1f} s; memory {report.rss_kb['last'] / 1024:.0f} MB"
    )
    lines += [
        f"target {target} {'available' if is_available else 'unavailable'} from {at:.1f} s"
        for at, target, is_available in report.targets_changed
        if at > 0.0
    ][:20]
    lines += [f"fault at {at:.1f} s: {text}" for at, text in report.trouble]
    lines += [f"faulty trace lines: {n} for {reason}" for reason, n in report.faults.items()]
    lines += [f"note: {text}" for text in report.notes]
    lines += behind_lines(report.behind)
    lines += [f"threshold exceeded: {text}" for text in report.failed]
    return lines


def behind_lines(spans: Sequence[LateSpan]) -> list[str]:
    """Return the warning about the times in which the generator was behind; empty if there are none."""
    if not spans:
        return []
    return ["THE GENERATOR FELL BEHIND ITS SCHEDULE: these results do not measure the targets alone"] + [
        f"  {span.start:.1f} to {span.end:.1f} s, worker {span.worker}: {span.late} sends late, up to "
        f"{_format_ms(span.most_ms)} ms ({span.why}: {span.text})"
        for span in spans
    ]


def live_line(second: Second) -> str:
    """Return the line of the live view for one second."""
    outcomes = " ".join(f"{name} {count}" for name, count in second.outcomes.items()) or "no outcomes"
    if second.times:
        times = f"p50 {_format_ms(second.times.get('p50'))} p99 {_format_ms(second.times.get('p99'))}"
    else:
        times = "no latency"
    cpu = max(second.cpu.values(), default=0.0)
    return (
        f"{second.at + 1:5d} s  offered {second.counts.get('offered', 0):6d}  open {second.open:5d}  {times} ms  "
        f"late p99 {_format_ms(second.late.get('p99'))} ms  busiest worker {cpu:.0%}  {outcomes}"
    )
