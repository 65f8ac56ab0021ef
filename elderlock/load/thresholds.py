"""What a run must keep: `p99>250ms`, `service.p50{outcome=served}>40ms`, `share.served<0.99`, `late.max>50ms`.

Left of the comparison stands a figure, right of it the bound at which the run has failed. No I/O.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Protocol

FORM = re.compile(
    r"(?P<name>[a-z_]+(?:\.[a-z0-9_.]+)?|p[0-9.]+)(?:\{(?P<by>[a-z]+)=(?P<value>[^}]*)\})?"
    r"\s*(?P<sign>[<>]=?)\s*(?P<bound>[0-9.]+)\s*(?P<unit>us|ms|s|%)?"
)
UNITS = {"us": 0.001, "ms": 1.0, "s": 1000.0}
TIMES = ("latency", "service", "late")
DIMENSIONS = ("outcome", "plan", "group", "target")
COUNTS = (
    "offered",
    "sent",
    "answered",
    "unanswered",
    "unsent",
    "missing",
    "late_answers",
    "stray_answers",
    "mismatched",
    "resent",
    "retries",
    "behind_s",
)


class ThresholdError(Exception):
    """The text is no threshold."""


class MetricSource(Protocol):
    def time(self, kind: str, point: str, by: str, value: str) -> float | None:
        """ms; None where there is none."""

    def count(self, name: str) -> float: ...

    def share(self, outcome: str) -> float: ...

    def rate(self) -> float: ...


@dataclass(frozen=True, slots=True)
class Threshold:
    text: str
    name: str
    by: str
    value: str
    above: bool
    equal: bool
    bound: float  # ms for times

    def figure(self, figures: MetricSource) -> float | None:
        kind, _, point = self.name.partition(".")
        if self.name[0] == "p" and self.name[1:2].isdigit():
            return figures.time("latency", self.name, self.by, self.value)
        if kind in TIMES:
            return figures.time(kind, point, self.by, self.value)
        if kind == "share":
            return figures.share(point)
        return figures.rate() if kind == "rate_error" else figures.count(kind)

    def failed(self, figures: MetricSource) -> str | None:
        """What to say of it, None where it is kept. A figure that is not there has failed: a run in which
        nothing was served must not pass a bound on how fast it was."""
        figure = self.figure(figures)
        if figure is None:
            return f"{self.text}: there is nothing to measure"
        over = figure > self.bound if self.above else figure < self.bound
        if over or self.equal and figure == self.bound:
            return f"{self.text}: it is {figure:.6g}"
        return None


def parse_threshold(text: str) -> Threshold:
    """Raises `ThresholdError`."""
    found = FORM.fullmatch(text.strip())
    if found is None:
        raise ThresholdError(f"{text!r} is no threshold; one is p99>250ms, share.served<0.99, unanswered>0")
    name, by, value, unit = found["name"], found["by"] or "", found["value"] or "", found["unit"]
    kind, _, point = name.partition(".")
    quantile = name[0] == "p" and name[1:2].isdigit()
    timed = quantile or kind in TIMES
    if timed:
        parse_percentile(name if quantile else point)
        if unit not in UNITS:
            raise ThresholdError(f"{text!r}: a time needs its unit: us, ms or s")
    elif unit in UNITS:
        raise ThresholdError(f"{text!r}: {name} is not a time")
    elif kind == "share":
        if not point:
            raise ThresholdError(f"{text!r}: share of what? share.served, for one")
    elif kind not in (*COUNTS, "rate_error") or point:
        raise ThresholdError(f"{text!r}: there is no figure {name!r}; there are {', '.join(COUNTS)}")
    if by and (not timed or by not in DIMENSIONS):
        raise ThresholdError(f"{text!r}: times may be taken by {', '.join(DIMENSIONS)}")
    try:
        bound = float(found["bound"])
    except ValueError:
        raise ThresholdError(f"{text!r}: {found['bound']!r} is not a number") from None
    bound *= UNITS.get(unit or "", 0.01 if unit == "%" else 1.0)
    return Threshold(text.strip(), name, by, value, found["sign"][0] == ">", found["sign"].endswith("="), bound)


def parse_percentile(point: str) -> float:
    """Of `p99.9` or `max`: 99.9 or 100. Raises `ThresholdError`."""
    if point == "max":
        return 100.0
    try:
        value = float(point[1:]) if point[:1] == "p" else -1.0
    except ValueError:
        value = -1.0
    if not 0.0 <= value <= 100.0:
        raise ThresholdError(f"{point!r} is no percentile; one is p99, p99.9 or max")
    return value
