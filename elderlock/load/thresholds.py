"""Thresholds that fail a run: `p99>250ms`, `service.p50{outcome=served}>40ms`, `share.served<0.99`, `late.max>50ms`.

The left side names a metric, the right side the bound; the run fails if the comparison is true. No I/O.
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
    """The text is not a valid threshold."""


class MetricSource(Protocol):
    """The metrics that thresholds refer to."""

    def time(self, kind: str, point: str, by: str, value: str) -> float | None:
        """Return a percentile in ms, or None if nothing was measured."""

    def count(self, name: str) -> float:
        """Return a count."""

    def share(self, outcome: str) -> float:
        """Return an outcome's share of all scheduled requests."""

    def rate_error(self) -> float:
        """Return the share of the scheduled requests that the generator failed to send on time or at all."""


@dataclass(frozen=True, slots=True)
class Threshold:
    """A parsed threshold.

    Attributes:
        text: The text it was parsed from.
        name: Name of the metric.
        by: Dimension that selects requests, such as plan; empty for all requests.
        value: Selected value in that dimension.
        fails_above: The run fails above the bound, not below it.
        fails_at_bound: A metric that equals the bound fails too.
        bound: The bound; ms for times.
    """

    text: str
    name: str
    by: str
    value: str
    fails_above: bool
    fails_at_bound: bool
    bound: float

    def metric(self, source: MetricSource) -> float | None:
        """Return the current value of the metric, or None if nothing was measured."""
        kind, _, point = self.name.partition(".")
        if self.name[0] == "p" and self.name[1:2].isdigit():
            return source.time("latency", self.name, self.by, self.value)
        if kind in TIMES:
            return source.time(kind, point, self.by, self.value)
        if kind == "share":
            return source.share(point)
        return source.rate_error() if kind == "rate_error" else source.count(kind)

    def failed(self, source: MetricSource) -> str | None:
        """Return a message if the threshold is exceeded, else None.

        A metric without measurements fails: a run that served no request must not pass a bound on its latency.
        """
        metric = self.metric(source)
        if metric is None:
            return f"{self.text}: nothing was measured"
        is_exceeded = metric > self.bound if self.fails_above else metric < self.bound
        if is_exceeded or self.fails_at_bound and metric == self.bound:
            return f"{self.text}: it is {metric:.6g}"
        return None


def parse_threshold(text: str) -> Threshold:
    """Parse a threshold.

    Raises:
        ThresholdError: The text is not a valid threshold.
    """
    match = FORM.fullmatch(text.strip())
    if match is None:
        raise ThresholdError(f"{text!r} is not a threshold like p99>250ms, share.served<0.99 or unanswered>0")
    name, by, value, unit = match["name"], match["by"] or "", match["value"] or "", match["unit"]
    kind, _, point = name.partition(".")
    is_percentile = name[0] == "p" and name[1:2].isdigit()
    is_time = is_percentile or kind in TIMES
    if is_time:
        parse_percentile(name if is_percentile else point)
        if unit not in UNITS:
            raise ThresholdError(f"{text!r}: a time needs its unit: us, ms or s")
    elif unit in UNITS:
        raise ThresholdError(f"{text!r}: {name} is not a time and takes no unit {unit}")
    elif kind == "share":
        if not point:
            raise ThresholdError(f"{text!r}: share needs an outcome, as in share.served")
    elif kind not in (*COUNTS, "rate_error") or point:
        raise ThresholdError(
            f"{text!r}: there is no metric {name!r}; the counts are {', '.join(COUNTS)}, and there is rate_error"
        )
    if by and (not is_time or by not in DIMENSIONS):
        raise ThresholdError(f"{text!r}: only times can be selected, by {', '.join(DIMENSIONS)}")
    try:
        bound = float(match["bound"])
    except ValueError:
        raise ThresholdError(f"{text!r}: {match['bound']!r} is not a number") from None
    bound *= UNITS.get(unit or "", 0.01 if unit == "%" else 1.0)
    return Threshold(text.strip(), name, by, value, match["sign"][0] == ">", match["sign"].endswith("="), bound)


def parse_percentile(point: str) -> float:
    """Return 99.9 for `p99.9`, and 100 for `max`.

    Raises:
        ThresholdError: The text is not a percentile.
    """
    if point == "max":
        return 100.0
    try:
        value = float(point[1:]) if point[:1] == "p" else -1.0
    except ValueError:
        value = -1.0
    if not 0.0 <= value <= 100.0:
        raise ThresholdError(f"{point!r} is not a percentile like p99, p99.9 or max")
    return value
