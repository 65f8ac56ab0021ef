"""Renders an experiment as one self-contained HTML page with embedded charts and no network access."""

from __future__ import annotations

import html
import sys
from collections.abc import Mapping
from typing import Any
from xml.etree import ElementTree

import pygal
from pygal.style import CleanStyle

from elderlock.load.html_report import STYLE
from elderlock.sim.compare import Line, failures
from elderlock.sim.experiment import Cell, Experiment
from elderlock.sim.figures import Result

# pygal installs an obsolete import finder without `find_spec`, on which later users of `sys.meta_path` fail.
sys.meta_path[:] = [finder for finder in sys.meta_path if hasattr(finder, "find_spec")]

TITLES = {
    "served_in_time": "Share served in time",
    "p50_ms": "Time to answer, p50 (ms)",
    "p99_ms": "Time to answer, p99 (ms)",
    "fairness": "Fairness among accounts (Jain's index)",
    "over_quota_share": "Units sent over quota (share)",
    "sends_per_request": "Sends a request",
    "questions_per_request": "Questions between limiters a request",
    "refused_with_room": "Refused though the quota had room (share)",
    "worst_second": "Worst second (share served in time)",
}


def _render(chart: Any) -> str:
    tree: Any = chart.render_tree()
    for parent in list(tree.iter()):
        for child in [each for each in parent if str(each.tag).endswith("script") or each.tag is ElementTree.Comment]:
            parent.remove(child)
    return f"<figure>{ElementTree.tostring(tree, encoding='unicode')}</figure>"


def _box_plot(figure: str, experiment: Experiment, results: Mapping[Cell, Result]) -> str:
    """Draws one box for each scenario and setting, over its seeds."""
    chart = pygal.Box(
        title=TITLES.get(figure, figure),
        style=CleanStyle,
        width=1000,
        height=360,
        js=[],
        box_mode="tukey",
        disable_xml_declaration=True,
        legend_at_bottom=True,
        no_data_text="nothing was measured",
    )
    for scenario in experiment.file.scenario:
        for setting in experiment.file.setting:
            values = []
            for cell, result in results.items():
                if cell.scenario == scenario.name and cell.setting == setting.name and result.ended == "finished":
                    try:
                        values.append(result.figures.value(figure))
                    except KeyError:
                        continue
            chart.add(f"{scenario.name}, {setting.name}", values)
    return _render(chart)


def _scale_chart(figure: str, experiment: Experiment, lines: list[Line]) -> str:
    """Draws the figure over the number of limiters, for scenarios that differ in it."""
    chart = pygal.XY(
        title=f"{TITLES.get(figure, figure)}, by limiters",
        x_title="limiters",
        style=CleanStyle,
        width=1000,
        height=360,
        js=[],
        disable_xml_declaration=True,
        legend_at_bottom=True,
        no_data_text="nothing was measured",
    )
    for setting in experiment.file.setting:
        points = [
            (float(experiment.scenarios[line.scenario, setting.name].limiters), line.mean)
            for line in lines
            if line.setting == setting.name and line.figure == figure
        ]
        chart.add(setting.name, sorted(points))
    return _render(chart)


def page(experiment: Experiment, results: Mapping[Cell, Result], lines: list[Line], broken: list[str]) -> str:
    """Returns the HTML page.

    Args:
        experiment: The experiment.
        results: Results of its runs.
        lines: Comparison of its settings.
        broken: Bounds that were not met.
    """
    scales = {scenario.limiters for scenario in experiment.scenarios.values()}
    charts = [_box_plot(figure, experiment, results) for figure in experiment.file.figures]
    if len(scales) > 1:
        charts += [_scale_chart(figure, experiment, lines) for figure in experiment.file.figures]
    rows = "".join(
        f"<tr><td>{html.escape(line.scenario)}</td><td>{html.escape(line.setting)}</td>"
        f"<td>{html.escape(line.figure)}</td><td>{line.mean:.4g}</td>"
        f"<td>{html.escape(line.verdict(experiment.baseline))}</td></tr>"
        for line in lines
    )
    failed = [*broken, *failures(results)]
    items = "".join(f"<li>{html.escape(text)}</li>" for text in failed[:200])
    verdict = f'<div class="bad"><ul>{items}</ul></div>' if failed else '<div class="good">nothing was broken</div>'
    name = html.escape(experiment.file.name)
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{name}</title><style>{STYLE}\n'
        "td,th{padding:.2rem .8rem;text-align:left}</style></head><body>"
        f"<h1>{name}</h1><p>{html.escape(experiment.file.about)}</p>"
        f"<p>{len(results)} runs at the {experiment.file.floor} level; each setting is compared with "
        f"{html.escape(experiment.baseline)} seed by seed.</p>{verdict}{''.join(charts)}"
        "<h2>Means, and differences with their 95 % intervals</h2><table><tr><th>scenario</th><th>setting</th>"
        f"<th>figure</th><th>mean</th><th>against the baseline</th></tr>{rows}</table></body></html>"
    )
