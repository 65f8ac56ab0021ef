"""Renders a report as one self-contained HTML page, with charts as inline SVG and no external resources."""

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

# pygal installs an import finder of the old interface, without find_spec, for plug-ins that are not used here. Code
# that calls all finders itself, such as pytest, fails on it.
sys.meta_path[:] = [finder for finder in sys.meta_path if hasattr(finder, "find_spec")]

MAXIMUM_POINTS = 400  # of a curve
PERCENTILES = (0.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99, 100.0)

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
        no_data_text="no data",
        disable_xml_declaration=True,
    )
    for name, points in series:
        # A logarithmic axis cannot show zero.
        chart.add(name, [(px, max(py, 0.001) if log else py) for px, py in thinned(points)])
    svg: Any = chart.render_tree()
    for parent in list(svg.iter()):
        for child in [child for child in parent if str(child.tag).endswith("script")]:
            parent.remove(child)  # the script loads nothing, but a page that is passed on should contain none
    return f"<figure>{ElementTree.tostring(svg, encoding='unicode')}</figure>"


def thinned(points: Sequence[tuple[float, float]]) -> list[tuple[float, float]]:
    """Return at most `MAXIMUM_POINTS` points: the highest of each stretch, so that no spike disappears."""
    if len(points) <= MAXIMUM_POINTS:
        return list(points)
    step = -(-len(points) // MAXIMUM_POINTS)
    return [max(points[n : n + step], key=lambda point: point[1]) for n in range(0, len(points), step)]


def render_page(report: Report) -> str:
    """Return the page as HTML."""
    seconds = report.seconds
    charts = [
        _chart(
            "Arrivals",
            "s",
            "requests per second",
            [
                ("offered", [(s.at, float(s.counts.get("offered", 0))) for s in seconds]),
                ("sent", [(s.at, float(s.counts.get("sent", 0))) for s in seconds]),
                ("in flight at the end of the second", [(s.at, float(s.open)) for s in seconds]),
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
            "Outcomes, by second",
            "s",
            "requests per second",
            [
                (name, [(s.at, float(s.outcomes.get(name, 0))) for s in seconds])
                for name in OUTCOMES
                if report.outcomes.get(name)
            ],
            False,
        ),
        _chart(
            "Lateness of sends against the schedule",
            "s",
            "ms",
            [(point, [(s.at, s.late[point]) for s in seconds if point in s.late]) for point in ("p99", "max")],
            True,
        ),
        _chart(
            "CPU by worker",
            "s",
            "share of a core",
            [(f"worker {n}", [(s.at, s.cpu[n]) for s in seconds if n in s.cpu]) for n in range(report.workers)],
            False,
        ),
    ]
    all_requests = report.by["all"].get("all")
    if all_requests is not None:
        curves = []
        for name, encoded in (
            ("from the intended start", all_requests.latency_hdr),
            ("service time", all_requests.service_hdr),
        ):
            histogram = decode_histogram(encoded).hdr()
            # The axis counts the nines of a percentile: 90 is 1, 99 is 2.
            points = [
                (nines(percentile), histogram.get_value_at_percentile(percentile) / 1000.0)
                for percentile in PERCENTILES
                if histogram.get_total_count()
            ]
            curves.append((name, points))
        charts.insert(2, _chart("Percentiles (1 is p90, 2 is p99, 3 is p99.9)", "nines", "ms", curves, True))
    title = html.escape(f"{report.scenario}, seed {report.seed}")
    behind = behind_lines(report.behind)
    verdict_class = "good" if report.exit == Exit.DONE else "bad"
    verdict = {
        Exit.DONE: "no threshold was exceeded, and the generator kept to its schedule",
        Exit.FAILED: "thresholds were exceeded",
        Exit.BEHIND: "the generator fell behind its schedule",
        Exit.INCOMPLETE: "part of the load was not sent",
    }.get(Exit(report.exit), "")
    text = html.escape("\n".join(summary(report)))
    messages = "".join(f"<p class=bad>{html.escape(line)}</p>" for line in (*behind, *report.failed))
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>"
        f"<h1>{title}</h1><p class={verdict_class}>{verdict}</p>{messages}{''.join(charts)}<h2>Summary</h2>"
        f"<pre>{text}</pre></html>"
    )


def nines(percentile: float) -> float:
    """Return the number of nines of a percentile: 0 for 0, 1 for 90, 2 for 99; 5 at most, for 100."""
    import math

    return min(5.0, -math.log10(max(1e-5, 1.0 - percentile / 100.0)))
