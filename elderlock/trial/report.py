"""Reports of a trial for people: a timeline over all processes, and a self-contained HTML page. No I/O.

The page has a picture with a row for each process, in which faults and violations are drawn over all rows.
"""

from __future__ import annotations

import html
import json
import re
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from typing import NamedTuple

from elderlock.trial.history import Event
from elderlock.trial.run import Outcome
from elderlock.trial.stalls import Stall

REQUEST_EVENTS = frozenset({"asked", "answered", "sent", "ran", "spent", "counted", "excused", "ceiling"})
WIDTH, ROW_HEIGHT, LABEL_WIDTH = 1200, 26, 110  # of the picture
BINS = 120  # of the bar chart of answers
PLAIN_LOG_LINE = re.compile(r"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d),(\d{3}) (.*)")
STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:1400px}pre{overflow:auto;background:#f6f6f6;padding:1em}"
    ".bad{color:#b00020}.late{color:#a06000}svg text{font:11px sans-serif}"
)


class Line(NamedTuple):
    """One line of the timeline.

    Attributes:
        at: Its time in ms of the run.
        source: The process that logged it, or the kind of the event.
        text: Its text.
    """

    at: float
    source: str
    text: str

    def shown(self) -> str:
        """Return the line as it is printed."""
        return f"{self.at / 1000.0:9.3f} s  {self.source:<12} {self.text}"


def parse_log(process: str, text: str, epoch_ms: float) -> list[Line]:
    """Parse the log of a process, whose lines are plain text or JSON.

    A line without a time gets that of the line before it. The times are those of the process' own clock, even if the
    harness has moved it.

    Args:
        process: The name of the process.
        text: Its log.
        epoch_ms: When the run began, in Unix ms.
    """
    lines: list[Line] = []
    for raw in text.splitlines():
        at = lines[-1].at if lines else 0.0
        message = raw
        if raw.startswith("{"):
            try:
                fields = json.loads(raw)
                timestamp = datetime.fromisoformat(str(fields.pop("timestamp")).replace("Z", "+00:00"))
                at = timestamp.timestamp() * 1000.0 - epoch_ms
                event = fields.pop("event", "")
                message = f"{event} " + " ".join(f"{key}={value}" for key, value in fields.items())
            except (ValueError, KeyError):
                pass
        elif (match := PLAIN_LOG_LINE.match(raw)) is not None:
            at = datetime.fromisoformat(match[1]).timestamp() * 1000.0 + int(match[2]) - epoch_ms
            message = match[3]
        lines.append(Line(at, process, message[:400]))
    return lines


def timeline(
    events: Iterable[Event],
    stalls: Iterable[Stall],
    broken: Iterable[tuple[str, float, str]],
    logs: Mapping[str, str],
    epoch_ms: float,
) -> list[Line]:
    """Merge events, stalls, violations and logs into one timeline.

    Events of single requests are left out, except those of requests that a violation names.

    Args:
        events: The history.
        stalls: The stalls of the runner and of the processes.
        broken: The rule, time in ms of the run and text of each violation.
        logs: The log of each process, by its name.
        epoch_ms: When the run began, in Unix ms.
    """
    lines = [Line(at, "JUDGE", f"{rule}: {text}") for rule, at, text in broken]
    violating_requests = set(re.findall(r"\bq\d+-\d+\b", " ".join(text for _, _, text in broken)))
    for event in events:
        args = [str(arg) for arg in event.args]
        if event.name not in REQUEST_EVENTS or violating_requests & set(args):
            lines.append(Line(event.at, event.name, " ".join(args)))
    lines += [
        Line(
            stall.at,
            "stall",
            f"{stall.process or 'the runner'} did not run for {stall.duration_ms:.0f} ms {stall.reason}".rstrip(),
        )
        for stall in stalls
    ]
    for process, text in logs.items():
        lines += parse_log(process, text, epoch_ms)
    return sorted(lines, key=lambda line: line.at)


def _lifetimes(events: Sequence[Event], ends_at: float) -> dict[str, list[tuple[float, float]]]:
    """Return the start and the end of each incarnation, by process name."""
    lifetimes: dict[str, list[tuple[float, float]]] = {}
    started_at: dict[str, float] = {}
    for event in events:
        if event.name != "process":
            continue
        name, change = str(event.args[0]), event.args[1]
        if change == "begins":
            started_at[name] = event.at
            lifetimes.setdefault(name, [])
        elif name in started_at:
            lifetimes[name].append((started_at.pop(name), event.at))
    for name, at in started_at.items():
        lifetimes[name].append((at, ends_at))
    return lifetimes


def _rectangle(x: Sequence[float], y: float, title: str, fill: str, height: float = ROW_HEIGHT - 8) -> str:
    width = max(1.5, x[1] - x[0])
    escaped_title = html.escape(title)
    return (
        f'<rect x="{x[0]:.1f}" y="{y:.1f}" width="{width:.1f}" height="{height:.1f}" fill="{fill}">'
        f"<title>{escaped_title}</title></rect>"
    )


def picture(
    events: Sequence[Event], stalls: Sequence[Stall], broken: Sequence[tuple[str, float, str]], ends_at: float
) -> str:
    """Draw the run as SVG.

    The first two rows show the faults and a bar chart of the answers. Each process has a row with its incarnations and
    stalls. Faults extend over all rows, and violations are vertical lines.

    Args:
        events: The history.
        stalls: The stalls of the runner and of the processes.
        broken: The rule, time in ms of the run and text of each violation.
        ends_at: When the run was over, in ms of the run.
    """
    scale = (WIDTH - LABEL_WIDTH) / max(ends_at, 1.0)

    def x_of(at: float) -> float:
        return LABEL_WIDTH + min(max(at, 0.0), ends_at) * scale

    lifetimes = _lifetimes(events, ends_at)
    names = sorted(lifetimes)
    rows = {name: number + 2 for number, name in enumerate(names)}
    height = (len(names) + 3) * ROW_HEIGHT + 20
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {height}" width="100%">']
    for event in events:
        if event.name == "fault":
            number, target, kind, duration_s, by = event.args
            span = (x_of(event.at), x_of(event.at + float(duration_s) * 1000.0))
            title = f"{event.at / 1000.0:.3f} s: {target} {kind}, for {duration_s} s, by {by}"
            parts.append(_rectangle(span, 0.0, title, "#e8b0b088", float(height - 20)))
            parts.append(_rectangle((span[0], span[0] + 3), 2.0, title, "#b00020"))
    answers: Counter[tuple[int, bool]] = Counter()
    for event in events:
        if event.name == "answered":
            answers[int(event.at / max(ends_at, 1.0) * BINS), event.args[1] == "served"] += 1
    max_answers = max((answers[n, True] + answers[n, False] for n in range(BINS + 1)), default=1) or 1
    for number in range(BINS + 1):
        y = 2 * ROW_HEIGHT - 4.0
        for is_served, fill in ((True, "#5a9e6f"), (False, "#c98b1b")):
            count = answers[number, is_served]
            if count:
                bar_height = (ROW_HEIGHT - 4.0) * count / max_answers
                y -= bar_height
                span = (x_of(number * ends_at / BINS), x_of((number + 0.9) * ends_at / BINS))
                label = "served" if is_served else "refused or failed"
                parts.append(_rectangle(span, y, f"{count} {label}", fill, bar_height))
    parts.append(f'<text x="2" y="{2 * ROW_HEIGHT - 10}">answers</text><text x="2" y="{ROW_HEIGHT - 10}">faults</text>')
    for name in names:
        y = rows[name] * ROW_HEIGHT
        parts.append(f'<text x="2" y="{y + 13}">{html.escape(name)}</text>')
        for began_at, ended_at in lifetimes[name]:
            title = f"{name}: {began_at / 1000:.3f} to {ended_at / 1000:.3f} s"
            parts.append(_rectangle((x_of(began_at), x_of(ended_at)), y, title, "#8aa8c8"))
        parts += [
            _rectangle(
                (x_of(stall.at), x_of(stall.at + stall.duration_ms)),
                y,
                f"{name}: did not run for {stall.duration_ms:.0f} ms {stall.reason}",
                "#444444",
            )
            for stall in stalls
            if stall.process == name
        ]
    for rule, at, text in broken:
        parts.append(
            f'<line x1="{x_of(at):.1f}" x2="{x_of(at):.1f}" y1="0" y2="{height - 20}" stroke="#b00020" '
            f'stroke-width="2"><title>{html.escape(f"{rule}: {text}")}</title></line>'
        )
    parts += [
        f'<text x="{x_of(ends_at * n / 10):.0f}" y="{height - 4}">{ends_at * n / 10000.0:.1f} s</text>'
        for n in range(10)
    ]
    return "".join([*parts, "</svg>"])


def html_report(outcome: Outcome, lines: Sequence[Line]) -> str:
    """Return a self-contained HTML page: the result, the picture and the timeline."""
    result = outcome.result
    verdict = outcome.verdict()
    css_class = {"good": "", "late": "late", "broken": "bad"}[verdict]
    svg = picture(outcome.events, outcome.stalls, result.broken, result.sim_s * 1000.0)
    summary = html.escape(outcome.text())
    timeline_text = html.escape("\n".join(line.shown() for line in lines))
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{html.escape(result.name)}</title>'
        f"<style>{STYLE}</style></head><body><h1>{html.escape(result.name)}, seed {result.seed}: "
        f'<span class="{css_class}">{verdict}</span></h1><pre>{summary}</pre>{svg}'
        f"<h2>Timeline</h2><pre>{timeline_text}</pre></body></html>\n"
    )
