"""A report as one HTML page that stands alone: its charts are drawings within it, and it asks no network."""

from __future__ import annotations

import html
import sys
from collections.abc import Iterable, Sequence
from typing import Any
from xml.etree import ElementTree

import pygal
from pygal.style import CleanStyle

from elderlock.load.client_policy import OUTCOMES
from elderlock.load.metrics import decode_histogram
from elderlock.load.report import Exit, Report, behind_lines, summary

# pygal puts a finder of the old form into the import system, for plug-ins that are not used here; whoever asks
# the finders in turn, as pytest does, fails on it
sys.meta_path[:] = [finder for finder in sys.meta_path if hasattr(finder, "find_spec")]

MOST_POINTS = 400  # of a curve
CURVE = (0.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99, 100.0)

STYLE = """body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:70rem;padding:0 1rem;color:#222}
h1{font-size:1.4rem}h2{font-size:1.1rem;margin-top:2rem}pre{background:#f5f5f5;padding:1rem;overflow-x:auto}
.bad{background:#fde8e8;border-left:4px solid #c00;padding:.5rem 1rem}.good{background:#e8f6e8;padding:.5rem 1rem}
figure{margin:1rem 0}svg{max-width:100%;height:auto}"""


def _chart(title: str, x: str, y: str, series: Iterable[tuple[str, Sequence[tuple[float, float]]]], log: bool) -> str:
    chart = pygal.XY(
        title=title,
        x_title=x,
        y_title=y,
        stroke_style={"width": 1.5},
        show_dots=False,
        style=CleanStyle,
        width=1000,
        height=360,
        js=[],
        legend_at_bottom=True,
        logarithmic=log,
        include_x_axis=not log,
        no_data_text="nothing was measured",
        disable_xml_declaration=True,
    )
    for name, points in series:
        # a logarithm knows no zero
        chart.add(name, [(px, max(py, 0.001) if log else py) for px, py in thinned(points)])
    drawn: Any = chart.render_tree()
    for parent in list(drawn.iter()):
        for child in [child for child in parent if str(child.tag).endswith("script")]:
            parent.remove(child)  # it asks for nothing, but a page that is handed on needs no program
    return f"<figure>{ElementTree.tostring(drawn, encoding='unicode')}</figure>"


def thinned(points: Sequence[tuple[float, float]]) -> list[tuple[float, float]]:
    """At most `MOST_POINTS`, the highest of each stretch kept: a spike must not be thinned away."""
    if len(points) <= MOST_POINTS:
        return list(points)
    step = -(-len(points) // MOST_POINTS)
    return [max(points[n : n + step], key=lambda point: point[1]) for n in range(0, len(points), step)]


def render_page(report: Report) -> str:
    seconds = report.seconds
    charts = [
        _chart(
            "Arrivals",
            "s",
            "requests a second",
            [
                ("offered", [(s.at, float(s.counts.get("offered", 0))) for s in seconds]),
                ("first sends", [(s.at, float(s.counts.get("sent", 0))) for s in seconds]),
                ("open at the end of the second", [(s.at, float(s.open)) for s in seconds]),
            ],
            False,
        ),
        _chart(
            "Latency from the intended start, by second",
            "s",
            "ms",
            [(point, [(s.at, s.times[point]) for s in seconds if point in s.times]) for point in ("p50", "p99", "max")],
            True,
        ),
        _chart(
            "How requests ended, by second",
            "s",
            "requests a second",
            [
                (name, [(s.at, float(s.outcomes.get(name, 0))) for s in seconds])
                for name in OUTCOMES
                if report.outcomes.get(name)
            ],
            False,
        ),
        _chart(
            "How late sends left against the schedule",
            "s",
            "ms",
            [(point, [(s.at, s.late[point]) for s in seconds if point in s.late]) for point in ("p99", "max")],
            True,
        ),
        _chart(
            "CPU of each worker",
            "s",
            "share of a core",
            [(f"worker {n}", [(s.at, s.cpu[n]) for s in seconds if n in s.cpu]) for n in range(report.workers)],
            False,
        ),
    ]
    lines = report.by["all"].get("all")
    if lines is not None:
        curves = []
        for name, encoded in (("from the intended start", lines.latency_hdr), ("service time", lines.service_hdr)):
            histogram = decode_histogram(encoded).hdr()
            # so many nines as the axis: 90 is 1, 99 is 2
            points = [
                (nines(share), histogram.get_value_at_percentile(share) / 1000.0)
                for share in CURVE
                if histogram.get_total_count()
            ]
            curves.append((name, points))
        charts.insert(2, _chart("Percentiles (1 is p90, 2 is p99, 3 is p99.9)", "nines", "ms", curves, True))
    title = html.escape(f"{report.scenario}, seed {report.seed}")
    behind = behind_lines(report.behind)
    verdict = "good" if report.exit == Exit.DONE else "bad"
    words = {
        Exit.DONE: "kept all its thresholds; the generator kept to its schedule",
        Exit.FAILED: "thresholds were not kept",
        Exit.BEHIND: "the generator fell behind",
        Exit.INCOMPLETE: "a part of the load was not sent",
    }.get(Exit(report.exit), "")
    text = html.escape("\n".join(summary(report)))
    told = "".join(f"<p class=bad>{html.escape(line)}</p>" for line in (*behind, *report.failed))
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>"
        f"<h1>{title}</h1><p class={verdict}>{words}</p>{told}{''.join(charts)}<h2>In figures</h2>"
        f"<pre>{text}</pre></html>"
    )


def nines(percentile: float) -> float:
    """How many nines a percentile has: 0 of 0, 1 of 90, 2 of 99; 5 at most, for 100."""
    import math

    return min(5.0, -math.log10(max(1e-5, 1.0 - percentile / 100.0)))
