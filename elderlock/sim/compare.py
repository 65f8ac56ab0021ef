"""Compares each setting of an experiment with the baseline, seed by seed. No I/O.

The confidence interval is that of the mean of the paired differences, by the bias-corrected and accelerated bootstrap
(Efron, 1987) of `scipy.stats.bootstrap`. If it contains zero, or if there are too few pairs, no difference is reported.
"""

from __future__ import annotations

import warnings
from collections.abc import Mapping
from typing import NamedTuple

import numpy as np
from scipy import stats

from elderlock.sim.experiment import Bound, Cell, Experiment
from elderlock.sim.figures import Result

MIN_PAIRS = 5
CONFIDENCE, RESAMPLES = 0.95, 2000


class Line(NamedTuple):
    """One figure of one setting in one scenario.

    Attributes:
        scenario: Name of the scenario.
        setting: Name of the setting.
        figure: Name of the figure.
        mean: Mean of the figure over the seeds.
        difference: Mean difference from the baseline.
        low: Lower bound of the difference; None for the baseline itself and for too few pairs.
        high: Upper bound of the difference; None like `low`.
        pairs: Number of seeds for which both values exist.
    """

    scenario: str
    setting: str
    figure: str
    mean: float
    difference: float
    low: float | None
    high: float | None
    pairs: int

    def is_significant(self) -> bool:
        """Returns whether the confidence interval excludes zero."""
        return self.low is not None and self.high is not None and (self.low > 0.0 or self.high < 0.0)

    def verdict(self, baseline: str) -> str:
        """Returns the comparison with the baseline in words."""
        if self.setting == baseline:
            return "baseline"
        if self.low is None or self.high is None:
            return f"too few pairs ({self.pairs}) to say"
        if not self.is_significant():
            return "no difference seen"
        return f"{self.difference:+.4g} ({self.low:+.4g} to {self.high:+.4g})"


def confidence_interval(differences: list[float], seed: int = 1) -> tuple[float, float] | None:
    """Returns the confidence interval of the mean, None for too few values.

    Args:
        differences: The paired differences.
        seed: Seed of the resampling.
    """
    if len(differences) < MIN_PAIRS:
        return None
    data = np.asarray(differences, dtype=float)
    if np.ptp(data) == 0.0:
        return float(data[0]), float(data[0])
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")  # a jackknife without variance warns; the percentile method replaces it
        for method in ("BCa", "percentile"):
            interval = stats.bootstrap(
                (data,),
                np.mean,
                confidence_level=CONFIDENCE,
                n_resamples=RESAMPLES,
                method=method,
                rng=np.random.default_rng(seed),
            ).confidence_interval
            if np.isfinite(interval.low) and np.isfinite(interval.high):
                return float(interval.low), float(interval.high)
    return None


def compare_settings(experiment: Experiment, results: Mapping[Cell, Result]) -> list[Line]:
    """Returns the lines of all scenarios and figures, in the order of the experiment.

    Failed runs are not part of any mean; `failures` lists them.
    """
    finished = {cell: result for cell, result in results.items() if result.ended == "finished"}
    lines = []
    for scenario in experiment.file.scenario:
        for figure in experiment.file.figures:
            baseline_values = _values(finished, scenario.name, experiment.baseline, figure)
            for setting in experiment.file.setting:
                values = _values(finished, scenario.name, setting.name, figure)
                paired = sorted(values.keys() & baseline_values.keys())
                differences = [values[seed] - baseline_values[seed] for seed in paired]
                bounds = None if setting.name == experiment.baseline else confidence_interval(differences)
                low, high = bounds if bounds is not None else (None, None)
                mean = _mean(list(values.values()))
                lines.append(
                    Line(scenario.name, setting.name, figure, mean, _mean(differences), low, high, len(paired))
                )
    return lines


def _values(finished: Mapping[Cell, Result], scenario: str, setting: str, figure: str) -> dict[int, float]:
    values = {}
    for cell, result in finished.items():
        if cell.scenario == scenario and cell.setting == setting:
            try:
                values[cell.seed] = result.figures.value(figure)
            except KeyError:
                continue
    return values


def _mean(values: list[float]) -> float:
    return float(np.mean(values)) if values else 0.0


def failures(results: Mapping[Cell, Result]) -> list[str]:
    """Returns one line for each run that broke an invariant or did not finish."""
    lines = []
    for cell, result in sorted(results.items()):
        if not result.good():
            failure = f"{result.ended}: {result.why}" if result.ended != "finished" else ", ".join(result.rules())
            lines.append(f"{cell.scenario}, {cell.setting}, seed {cell.seed}: {failure}")
    return lines


def find_broken_bounds(bounds: list[Bound], lines: list[Line], baseline: str) -> list[str]:
    """Returns the bounds that were not met, each with the value of its figure."""
    broken = []
    for bound in bounds:
        for line in lines:
            if line.figure != bound.figure or bound.setting not in ("", line.setting):
                continue
            if bound.scenario not in ("", line.scenario) or (bound.difference and line.setting == baseline):
                continue
            value = line.difference if bound.difference else line.mean
            if bound.is_violated(value):
                broken.append(f"{bound.text}: {value:.4g} with {line.setting} in {line.scenario}")
    return broken


def summary(experiment: Experiment, lines: list[Line]) -> str:
    """Returns the comparison as text for a terminal."""
    width = max(len(line.setting) for line in lines)
    summary_lines = [f"{experiment.file.name}: {experiment.file.seeds} seeds, against {experiment.baseline}"]
    for scenario in experiment.file.scenario:
        summary_lines.append(f"\n{scenario.name}")
        for figure in experiment.file.figures:
            summary_lines.append(f"  {figure}")
            for line in lines:
                if line.scenario == scenario.name and line.figure == figure:
                    verdict = line.verdict(experiment.baseline)
                    summary_lines.append(f"    {line.setting:<{width}}  {line.mean:10.4g}  {verdict}")
    return "\n".join(summary_lines)
