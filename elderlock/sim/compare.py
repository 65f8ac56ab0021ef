"""What an experiment says: each setting against the baseline, seed by seed, with bootstrap intervals. No I/O.

The interval is of the mean of the paired differences, by the bias-corrected and accelerated bootstrap (Efron, 1987),
as `scipy.stats.bootstrap` has it. Where it holds nought, or there are too few pairs, no difference was seen.
"""

from __future__ import annotations

import warnings
from collections.abc import Mapping
from typing import NamedTuple

import numpy as np
from scipy import stats

from elderlock.sim.experiment import Bound, Cell, Experiment
from elderlock.sim.figures import Result

LEAST_PAIRS = 5
CONFIDENCE, RESAMPLES = 0.95, 2000


class Line(NamedTuple):
    """One setting's figure in one scenario. `low` and `high` bound the mean difference from the baseline; None for the
    baseline itself and where there are too few pairs."""

    scenario: str
    setting: str
    figure: str
    mean: float
    difference: float
    low: float | None
    high: float | None
    pairs: int

    def is_significant(self) -> bool:
        """Whether a difference was."""
        return self.low is not None and self.high is not None and (self.low > 0.0 or self.high < 0.0)

    def verdict(self, baseline: str) -> str:
        if self.setting == baseline:
            return "baseline"
        if self.low is None or self.high is None:
            return f"too few pairs ({self.pairs}) to say"
        if not self.is_significant():
            return "no difference seen"
        return f"{self.difference:+.4g} ({self.low:+.4g} to {self.high:+.4g})"


def interval(differences: list[float], seed: int = 1) -> tuple[float, float] | None:
    """Of their mean; None for too few."""
    if len(differences) < LEAST_PAIRS:
        return None
    data = np.asarray(differences, dtype=float)
    if np.ptp(data) == 0.0:
        return float(data[0]), float(data[0])
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")  # of a jackknife without spread: the percentile method takes its place
        for method in ("BCa", "percentile"):
            found = stats.bootstrap(
                (data,),
                np.mean,
                confidence_level=CONFIDENCE,
                n_resamples=RESAMPLES,
                method=method,
                rng=np.random.default_rng(seed),
            ).confidence_interval
            if np.isfinite(found.low) and np.isfinite(found.high):
                return float(found.low), float(found.high)
    return None


def compare_settings(experiment: Experiment, results: Mapping[Cell, Result]) -> list[Line]:
    """Scenario by scenario, figure by figure. Runs that failed take part in no mean; they are told by `failures`."""
    good = {cell: result for cell, result in results.items() if result.ended == "finished"}
    lines = []
    for scenario in experiment.file.scenario:
        for figure in experiment.file.figures:
            base = _values(good, scenario.name, experiment.baseline, figure)
            for setting in experiment.file.setting:
                values = _values(good, scenario.name, setting.name, figure)
                paired = sorted(values.keys() & base.keys())
                differences = [values[seed] - base[seed] for seed in paired]
                bounds = None if setting.name == experiment.baseline else interval(differences)
                low, high = bounds if bounds is not None else (None, None)
                mean = _mean(list(values.values()))
                lines.append(
                    Line(scenario.name, setting.name, figure, mean, _mean(differences), low, high, len(paired))
                )
    return lines


def _values(good: Mapping[Cell, Result], scenario: str, setting: str, figure: str) -> dict[int, float]:
    found = {}
    for cell, result in good.items():
        if cell.scenario == scenario and cell.setting == setting:
            try:
                found[cell.seed] = result.figures.value(figure)
            except KeyError:
                continue
    return found


def _mean(values: list[float]) -> float:
    return float(np.mean(values)) if values else 0.0


def failures(results: Mapping[Cell, Result]) -> list[str]:
    """Runs in which a rule was broken, or that did not finish; a line each."""
    lines = []
    for cell, result in sorted(results.items()):
        if not result.good():
            what = f"{result.ended}: {result.why}" if result.ended != "finished" else ", ".join(result.rules())
            lines.append(f"{cell.scenario}, {cell.setting}, seed {cell.seed}: {what}")
    return lines


def find_broken_bounds(bounds: list[Bound], lines: list[Line], baseline: str) -> list[str]:
    """The bounds that were not kept, each with its figure."""
    broken = []
    for bound in bounds:
        for line in lines:
            if line.figure != bound.figure or bound.setting not in ("", line.setting):
                continue
            if bound.scenario not in ("", line.scenario) or (bound.difference and line.setting == baseline):
                continue
            value = line.difference if bound.difference else line.mean
            if bound.holds(value):
                broken.append(f"{bound.text}: {value:.4g} with {line.setting} in {line.scenario}")
    return broken


def summary(experiment: Experiment, lines: list[Line]) -> str:
    """For a terminal."""
    width = max(len(line.setting) for line in lines)
    text = [f"{experiment.file.name}: {experiment.file.seeds} seeds, against {experiment.baseline}"]
    for scenario in experiment.file.scenario:
        text.append(f"\n{scenario.name}")
        for figure in experiment.file.figures:
            text.append(f"  {figure}")
            for line in lines:
                if line.scenario == scenario.name and line.figure == figure:
                    verdict = line.verdict(experiment.baseline)
                    text.append(f"    {line.setting:<{width}}  {line.mean:10.4g}  {verdict}")
    return "\n".join(text)
