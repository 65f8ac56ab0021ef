"""What a run came to, as one record that is kept, shown, compared and failed_thresholds. No I/O."""

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
    FAILED = 7  # a threshold was not kept
    BEHIND = 8  # the generator fell behind: what it measured is not the target alone
    INCOMPLETE = 9  # a part of the load was not sent: a worker died, the trace broke off, it was stopped


class LatencySummary(msgspec.Struct):
    """Latency from the intended start and service time from the real one: ms by percentile, and the
    histograms as HdrHistogram encodes them."""

    count: int
    latency: dict[str, float]
    service: dict[str, float]
    latency_hdr: str
    service_hdr: str


class Report(msgspec.Struct):
    version: int
    scenario: str
    seed: int
    began_at: float  # Unix s
    lasted_s: float
    workers: int
    targets: tuple[str, ...]
    ledger: dict[str, int]
    outcomes: dict[str, int]
    counts: dict[str, int]
    rate_error: float
    by: dict[str, dict[str, LatencySummary]]  # all, outcome, plan, group, target
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


def _lines(latency: Histogram, service: Histogram) -> LatencySummary:
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
    trouble: Sequence[tuple[float, str]] = (),
    fail_if: Sequence[str] = (),
) -> Report:
    ledger = totals.ledger(scheduled)
    wrong = [f"the figures do not add up: {text}" for text in totals.check(ledger)]
    by: dict[str, dict[str, LatencySummary]] = {}
    for name, place in (("all", None), ("outcome", 0), ("plan", 1), ("group", 2), ("target", 3)):
        by[name] = {key: _lines(pair.latency, pair.service) for key, pair in sorted(totals.by(place).items())}
    own = totals.counts["overdue"] + totals.outcomes().get("descriptors", 0) + max(0, ledger["missing"])
    made = Report(
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
        own / scheduled if scheduled else 0.0,
        by,
        totals.late.times(),
        totals.late.encoded(),
        merge_spans(totals.spans),
        msgspec.structs.asdict(scenario.truth),
        totals.seconds,
        totals.blocks(),
        totals.changes,
        list(trouble),
        dict(totals.faults),
        [*notes, *(f"{key}: {text}" for key, text in totals.shown.items()), *wrong],
        dict(zip(("first", "last", "most"), map(sum, zip(*totals.rss, strict=True)), strict=True)),
        sum(totals.cpu_ms) / 1000.0,
        [],
        0,
    )
    made.failed = failed_thresholds(made, (*scenario.fail_if, *fail_if))
    if incomplete or wrong or ledger["missing"]:
        made.exit = Exit.INCOMPLETE
    elif made.behind:
        made.exit = Exit.BEHIND
    elif made.failed:
        made.exit = Exit.FAILED
    return made


class ReportMetrics:
    """A report as thresholds look into it."""

    def __init__(self, report: Report) -> None:
        self._report = report

    def time(self, kind: str, point: str, by: str, value: str) -> float | None:
        of = self._report
        if kind == "late":
            encoded, known = of.late_hdr, of.late
        else:
            lines = of.by.get(by or "all", {}).get(value if by else "all")
            if lines is None:
                return None
            encoded = lines.latency_hdr if kind == "latency" else lines.service_hdr
            known = lines.latency if kind == "latency" else lines.service
        if point in known or not known:
            return known.get(point)
        return float(decode_histogram(encoded).hdr().get_value_at_percentile(parse_percentile(point))) / 1000.0

    def count(self, name: str) -> float:
        if name == "behind_s":
            return sum(span.end - span.start for span in self._report.behind)
        return float(self._report.ledger.get(name, self._report.counts.get(name, 0)))

    def share(self, outcome: str) -> float:
        """Of all that was scheduled: what was never sent was not served."""
        return self._report.outcomes.get(outcome, 0) / max(1, self._report.ledger["scheduled"])

    def rate(self) -> float:
        return self._report.rate_error


def failed_thresholds(report: Report, texts: Sequence[str]) -> list[str]:
    """What is to be said of the thresholds that were not kept. Raises `ThresholdError`."""
    measured = ReportMetrics(report)
    return [said for text in texts if (said := parse_threshold(text).failed(measured)) is not None]


def encode(report: Report) -> bytes:
    return msgspec.json.encode(report)


def decode(data: bytes) -> Report:
    """Raises `ValueError` with what is wrong."""
    try:
        made = msgspec.json.decode(data, type=Report)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a report of a run: {error}") from None
    if made.version != VERSION:
        raise ValueError(f"a report of version {made.version}; {VERSION} is read here")
    return made


# What people read


def _ms(value: float | None) -> str:
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
    ledger, counts = report.ledger, report.counts
    lines = [
        f"{report.scenario}, seed {report.seed}: {report.lasted_s:.1f} s, {report.workers} workers, "
        f"{len(report.targets)} targets",
        f"scheduled {ledger['scheduled']} = offered {ledger['offered']} + missing "
        f"{ledger['scheduled'] - ledger['offered']}",
        f"offered   {ledger['offered']} = sent {ledger['sent']} + unsent {ledger['unsent']}"
        + (f" + open {ledger['open']}" if ledger["open"] else ""),
        f"sent      {ledger['sent']} = answered {ledger['answered']} + unanswered {ledger['unanswered']}",
        "ends: " + (", ".join(f"{n} {name}" for name in OUTCOMES if (n := report.outcomes.get(name))) or "none"),
    ]
    beside = {
        "retries": "retries",
        "resent": "resent once",
        "late_answers": "answers too late",
        "stray_answers": "answers to nothing",
        "mismatched": "answers for another request",
        "waited": "waited for a connection",
        "connections": "connections opened",
    }
    told = [f"{counts[key]} {words}" for key, words in beside.items() if counts.get(key)]
    lines += [f"beside: {', '.join(told)}"] if told else []
    rows = [["ms", "count", *POINTS, "service " + POINTS[0], *POINTS[1:]]]
    for place in ("all", "outcome", "plan", "group", "target"):
        for key, each in report.by[place].items():
            if place != "all" and len(report.by[place]) == 1 and place != "outcome":
                continue
            name = key if place == "all" else f"{place} {key}"
            rows.append(
                [
                    name,
                    str(each.count),
                    *(_ms(each.latency.get(p)) for p in POINTS),
                    *(_ms(each.service.get(p)) for p in POINTS),
                ]
            )
    lines += ["", *_table(rows), ""]
    lines.append(
        f"sends left late by p50 {_ms(report.late.get('p50'))}, p99 {_ms(report.late.get('p99'))}, "
        f"at most {_ms(report.late.get('max'))} ms; rate error {report.rate_error:.4f}; "
        f"CPU {report.cpu_s:.1f} s; memory {report.rss_kb['last'] / 1024:.0f} MB"
    )
    lines += [
        f"target {t} {'takes part' if part else 'takes part no more'} from {at:.1f} s"
        for at, t, part in report.targets_changed
        if at > 0.0
    ][:20]
    lines += [f"trouble at {at:.1f} s: {text}" for at, text in report.trouble]
    lines += [f"passed over in the trace: {n} for {reason}" for reason, n in report.faults.items()]
    lines += [f"note: {text}" for text in report.notes]
    lines += behind_lines(report.behind)
    lines += [f"not kept: {text}" for text in report.failed]
    return lines


def behind_lines(spans: Sequence[LateSpan]) -> list[str]:
    if not spans:
        return []
    return ["GENERATOR FELL BEHIND: these figures are not of the target alone"] + [
        f"  {span.start:.1f} to {span.end:.1f} s, worker {span.worker}: {span.late} sends late, up to "
        f"{_ms(span.most_ms)} ms ({span.why}: {span.text})"
        for span in spans
    ]


def live_line(second: Second) -> str:
    """One line of the live view."""
    ends = " ".join(f"{name} {count}" for name, count in second.outcomes.items()) or "no ends"
    times = f"p50 {_ms(second.times.get('p50'))} p99 {_ms(second.times.get('p99'))}" if second.times else "no times"
    cpu = max(second.cpu.values(), default=0.0)
    return (
        f"{second.at + 1:5d} s  offered {second.counts.get('offered', 0):6d}  open {second.open:5d}  {times} ms  "
        f"late p99 {_ms(second.late.get('p99'))} ms  busiest worker {cpu:.0%}  {ends}"
    )
