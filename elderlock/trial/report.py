"""What happened in a trial, for people: one time line over all processes, and a page that stands alone, with a lane for
each process, the faults drawn over them and what the judges object to. No I/O."""

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

QUIET = frozenset({"asked", "answered", "sent", "ran", "spent", "counted", "excused", "ceiling"})
WIDTH, LANE, LEFT = 1200, 26, 110
BINS = 120
PLAIN = re.compile(r"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d),(\d{3}) (.*)")
STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:1400px}pre{overflow:auto;background:#f6f6f6;padding:1em}"
    ".bad{color:#b00020}.late{color:#a06000}svg text{font:11px sans-serif}"
)


class Line(NamedTuple):
    """`at` ms of the run."""

    at: float
    who: str
    text: str

    def shown(self) -> str:
        return f"{self.at / 1000.0:9.3f} s  {self.who:<12} {self.text}"


def of_log(who: str, text: str, epoch: float) -> list[Line]:
    """The lines of a process' log with the time that stands in them, plain or JSON; those without go with the one
    before. `epoch`: Unix ms of the run's start. A process whose clock was moved tells its own time."""
    found: list[Line] = []
    for raw in text.splitlines():
        at = found[-1].at if found else 0.0
        said = raw
        if raw.startswith("{"):
            try:
                made = json.loads(raw)
                stamp = datetime.fromisoformat(str(made.pop("timestamp")).replace("Z", "+00:00"))
                at = stamp.timestamp() * 1000.0 - epoch
                event = made.pop("event", "")
                said = f"{event} " + " ".join(f"{key}={value}" for key, value in made.items())
            except (ValueError, KeyError):
                pass
        elif (match := PLAIN.match(raw)) is not None:
            at = datetime.fromisoformat(match[1]).timestamp() * 1000.0 + int(match[2]) - epoch
            said = match[3]
        found.append(Line(at, who, said[:400]))
    return found


def timeline(
    events: Iterable[Event],
    stalls: Iterable[Stall],
    broken: Iterable[tuple[str, float, str]],
    logs: Mapping[str, str],
    epoch: float,
) -> list[Line]:
    """Faults, processes, lists, commands, stand-stills, objections and log lines in one order; of single requests only
    those that something was wrong with."""
    lines = [Line(at, "JUDGE", f"{rule}: {text}") for rule, at, text in broken]
    named = set(re.findall(r"\bq\d+-\d+\b", " ".join(text for _, _, text in broken)))
    for event in events:
        about = [str(arg) for arg in event.args]
        if event.what not in QUIET or named & set(about):
            lines.append(Line(event.at, event.what, " ".join(about)))
    lines += [
        Line(each.at, "stall", f"{each.who or 'the runner'} had no time for {each.lasts:.0f} ms {each.why}".rstrip())
        for each in stalls
    ]
    for who, text in logs.items():
        lines += of_log(who, text, epoch)
    return sorted(lines, key=lambda line: line.at)


def _lives(events: Sequence[Event], ends: float) -> dict[str, list[tuple[float, float]]]:
    """When each process lived."""
    made: dict[str, list[tuple[float, float]]] = {}
    begun: dict[str, float] = {}
    for event in events:
        if event.what != "process":
            continue
        name, what = str(event.args[0]), event.args[1]
        if what == "begins":
            begun[name] = event.at
            made.setdefault(name, [])
        elif name in begun:
            made[name].append((begun.pop(name), event.at))
    for name, at in begun.items():
        made[name].append((at, ends))
    return made


def _bars(x: Sequence[float], y: float, title: str, fill: str, height: float = LANE - 8) -> str:
    width = max(1.5, x[1] - x[0])
    said = html.escape(title)
    return (
        f'<rect x="{x[0]:.1f}" y="{y:.1f}" width="{width:.1f}" height="{height:.1f}" fill="{fill}">'
        f"<title>{said}</title></rect>"
    )


def lanes(
    events: Sequence[Event], stalls: Sequence[Stall], broken: Sequence[tuple[str, float, str]], ends: float
) -> str:
    """A picture: a lane for each process, its life, its stand-stills; faults across all lanes; answers a lane of their
    own; objections as lines."""
    scale = (WIDTH - LEFT) / max(ends, 1.0)

    def at(ms: float) -> float:
        return LEFT + min(max(ms, 0.0), ends) * scale

    lives = _lives(events, ends)
    names = sorted(lives)
    rows = {name: number + 2 for number, name in enumerate(names)}
    height = (len(names) + 3) * LANE + 20
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {height}" width="100%">']
    for event in events:
        if event.what == "fault":
            number, target, what, lasts, by = event.args
            span = (at(event.at), at(event.at + float(lasts) * 1000.0))
            title = f"{event.at / 1000.0:.3f} s: {target} {what}, for {lasts} s, by {by}"
            parts.append(_bars(span, 0.0, title, "#e8b0b088", float(height - 20)))
            parts.append(_bars((span[0], span[0] + 3), 2.0, title, "#b00020"))
    answers: Counter[tuple[int, bool]] = Counter()
    for event in events:
        if event.what == "answered":
            answers[int(event.at / max(ends, 1.0) * BINS), event.args[1] == "served"] += 1
    most = max((answers[n, True] + answers[n, False] for n in range(BINS + 1)), default=1) or 1
    for number in range(BINS + 1):
        low = 2 * LANE - 4.0
        for good, fill in ((True, "#5a9e6f"), (False, "#c98b1b")):
            count = answers[number, good]
            if count:
                tall = (LANE - 4.0) * count / most
                low -= tall
                span = (at(number * ends / BINS), at((number + 0.9) * ends / BINS))
                words = "served" if good else "refused or failed"
                parts.append(_bars(span, low, f"{count} {words}", fill, tall))
    parts.append(f'<text x="2" y="{2 * LANE - 10}">answers</text><text x="2" y="{LANE - 10}">faults</text>')
    for name in names:
        y = rows[name] * LANE
        parts.append(f'<text x="2" y="{y + 13}">{html.escape(name)}</text>')
        for began, ended in lives[name]:
            words = f"{name}: {began / 1000:.3f} to {ended / 1000:.3f} s"
            parts.append(_bars((at(began), at(ended)), y, words, "#8aa8c8"))
        parts += [
            _bars((at(s.at), at(s.at + s.lasts)), y, f"{name}: no time for {s.lasts:.0f} ms {s.why}", "#444444")
            for s in stalls
            if s.who == name
        ]
    for rule, ms, text in broken:
        parts.append(
            f'<line x1="{at(ms):.1f}" x2="{at(ms):.1f}" y1="0" y2="{height - 20}" stroke="#b00020" stroke-width="2">'
            f"<title>{html.escape(f'{rule}: {text}')}</title></line>"
        )
    parts += [
        f'<text x="{at(ends * n / 10):.0f}" y="{height - 4}">{ends * n / 10000.0:.1f} s</text>' for n in range(10)
    ]
    return "".join([*parts, "</svg>"])


def html_report(outcome: Outcome, lines: Sequence[Line]) -> str:
    """HTML that needs nothing else."""
    result = outcome.result
    verdict = outcome.verdict()
    colour = {"good": "", "late": "late", "broken": "bad"}[verdict]
    picture = lanes(outcome.events, outcome.stalls, result.broken, result.sim_s * 1000.0)
    said = html.escape(outcome.text())
    shown = html.escape("\n".join(line.shown() for line in lines))
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{html.escape(result.name)}</title>'
        f"<style>{STYLE}</style></head><body><h1>{html.escape(result.name)}, seed {result.seed}: "
        f'<span class="{colour}">{verdict}</span></h1><pre>{said}</pre>{picture}'
        f"<h2>What happened</h2><pre>{shown}</pre></body></html>\n"
    )
