"""Experiments: scenarios x settings x seeds, read from TOML and checked completely before anything runs.

Every setting gets the same arrivals, accounts, random numbers of servers and faults for a seed (common random numbers),
so that settings are compared seed by seed. The module does no I/O except reading files.
"""

from __future__ import annotations

import hashlib
import re
import tomllib
from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Any, Literal, NamedTuple

import msgspec

from elderlock.load.scenario import ScenarioError, StrictStruct
from elderlock.sim.figures import FIGURE_NAMES
from elderlock.sim.scenario import Scenario, parse, read

SHIPPED = resources.files("elderlock.sim") / "scenarios"
MAX_RUNS = 200_000
FIGURES = (
    "served_in_time",
    "p50_ms",
    "p99_ms",
    "fairness",
    "over_quota_share",
    "sends_per_request",
    "questions_per_request",
)
BOUND = re.compile(
    r"(diff\.)?(share\.[a-z_]+|[a-z0-9_]+)(?:@([A-Za-z0-9_.-]+))?(?:\[([A-Za-z0-9_.-]+)\])?(<|>)(-?[0-9.]+)"
)
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")


class ScenarioPart(StrictStruct, frozen=True):
    """A scenario of an experiment.

    Attributes:
        name: Name in reports.
        file: Path relative to the experiment's file, or the name of a shipped scenario.
        set: Changes of the scenario, as for a setting.
    """

    name: str
    file: str
    set: tuple[str, ...] = ()


class SettingPart(StrictStruct, frozen=True):
    """A setting of an experiment.

    Attributes:
        name: Name in reports.
        set: Changes of the scenario's file, such as `settings.subset=40` or `net.loss=0.01`.
    """

    name: str
    set: tuple[str, ...] = ()


class ExperimentFile(StrictStruct, frozen=True):
    """Content of an experiment's file.

    Attributes:
        name: Name of the experiment.
        scenario: The scenarios.
        setting: The settings.
        floor: Simulator that runs it.
        seeds: Number of seeds.
        first_seed: The first seed; the others follow it.
        baseline: Setting that the others are compared with; the first one if empty.
        figures: Figures to compare.
        fail_if: Bounds such as `served_in_time@SETTING[SCENARIO]<0.95` and `diff.p99_ms@SETTING>20` whose truth is a
            failure. Without a setting or scenario a bound applies to each.
        about: Description.
    """

    name: str
    scenario: tuple[ScenarioPart, ...]
    setting: tuple[SettingPart, ...] = (SettingPart("as-it-is"),)
    floor: Literal["decisions", "shells"] = "decisions"
    seeds: int = 10
    first_seed: int = 1
    baseline: str = ""
    figures: tuple[str, ...] = FIGURES
    fail_if: tuple[str, ...] = ()
    about: str = ""


class Cell(NamedTuple):
    """One run of an experiment."""

    scenario: str
    setting: str
    seed: int


class Bound(NamedTuple):
    """A condition that fails the experiment if it is true.

    Attributes:
        text: The bound as written.
        difference: Whether it is about the difference of the mean from the baseline.
        figure: Name of the figure.
        setting: Name of the setting; all settings if empty.
        scenario: Name of the scenario; all scenarios if empty.
        below: Whether values below `value` violate it, otherwise values above.
        value: The limit.
    """

    text: str
    difference: bool
    figure: str
    setting: str
    scenario: str
    below: bool
    value: float

    def is_violated(self, value: float) -> bool:
        """Returns whether the value violates the bound."""
        return value < self.value if self.below else value > self.value


class Experiment:
    """An experiment with its scenarios.

    Invariant: the scenario of each cell is valid, so that no run fails because of its file.

    Attributes:
        file: Content of the experiment's file.
        scenarios: Scenarios by the names of scenario and setting.
        baseline: Name of the baseline setting.
        bounds: Parsed bounds.
    """

    def __init__(self, file: ExperimentFile, scenarios: dict[tuple[str, str], Scenario]) -> None:
        self.file, self.scenarios = file, scenarios
        self.baseline = file.baseline or file.setting[0].name
        self.bounds = [parse_bound(text, file) for text in file.fail_if]

    def cells(self) -> Iterator[Cell]:
        """Yields the cells seed by seed, so that an interrupted sweep has complete pairs."""
        for seed in range(self.file.first_seed, self.file.first_seed + self.file.seeds):
            for scenario in self.file.scenario:
                for setting in self.file.setting:
                    yield Cell(scenario.name, setting.name, seed)

    def digest(self, cell: Cell) -> str:
        """Returns a digest of everything that a cell's run depends on except the code."""
        raw = msgspec.msgpack.encode((self.scenarios[cell.scenario, cell.setting], self.file.floor, cell.seed))
        return hashlib.sha256(raw).hexdigest()[:16]


def is_known_figure(name: str) -> bool:
    """Returns whether a figure of that name may exist."""
    return name in FIGURE_NAMES or name.startswith(("share.", "more."))


def parse_bound(text: str, file: ExperimentFile) -> Bound:
    """Parses a bound of an experiment.

    Raises:
        ScenarioError: The text is not a bound, or it names something that the experiment does not have.
    """
    match = BOUND.fullmatch(text.replace(" ", ""))
    if match is None:
        raise ScenarioError(f"fail_if: {text!r} is not like served_in_time@SETTING[SCENARIO]<0.95 or diff.p99_ms>20")
    prefix, figure, setting, scenario, sign, value = match.groups()
    if not is_known_figure(figure):
        raise ScenarioError(
            f"fail_if: there is no figure {figure!r}; there are {', '.join(FIGURE_NAMES)} and share.OUTCOME"
        )
    if setting and setting not in {part.name for part in file.setting}:
        raise ScenarioError(f"fail_if: there is no setting {setting!r}")
    if scenario and scenario not in {part.name for part in file.scenario}:
        raise ScenarioError(f"fail_if: there is no scenario {scenario!r}")
    try:
        number = float(value)
    except ValueError:
        raise ScenarioError(f"fail_if: {value!r} is not a number") from None
    return Bound(text, bool(prefix), figure, setting or "", scenario or "", sign == "<", number)


def shipped_scenarios() -> list[str]:
    """Returns the names of the scenarios that ship."""
    return sorted(entry.name.removesuffix(".toml") for entry in SHIPPED.iterdir() if entry.name.endswith(".toml"))


def load_scenario(name: str, folder: Path, changes: tuple[str, ...] = ()) -> Scenario:
    """Loads a scenario from a file, or a shipped one by its name.

    Args:
        name: Path of a .toml file, or name of a shipped scenario.
        folder: Folder that a path is relative to.
        changes: Changes of the file's values.

    Raises:
        ScenarioError: The scenario does not exist or is invalid.
    """
    if not name.endswith(".toml"):
        shipped = SHIPPED / f"{name}.toml"
        if not shipped.is_file():
            raise ScenarioError(
                f"no scenario {name!r} ships; there are {', '.join(shipped_scenarios())}, or name a .toml file"
            )
        return parse(shipped.read_text(encoding="utf-8"), name, changes)
    return read(folder / name, changes)


def parse_experiment(raw: Any, source: str, folder: Path) -> Experiment:
    """Parses an experiment and loads its scenarios.

    Args:
        raw: Decoded content of the file.
        source: Name of the file in error messages.
        folder: Folder that paths of scenarios are relative to.

    Raises:
        ScenarioError: The experiment is invalid.
    """
    try:
        file = msgspec.convert(raw, ExperimentFile)
        return Experiment(file, _load_scenarios(file, folder))
    except (msgspec.ValidationError, ScenarioError) as error:
        raise ScenarioError(f"{source}: {error}") from None


def _load_scenarios(file: ExperimentFile, folder: Path) -> dict[tuple[str, str], Scenario]:
    if not file.scenario or not file.setting:
        raise ScenarioError("it needs at least one [[scenario]] and one [[setting]]")
    for kind, names in (
        ("scenario", [part.name for part in file.scenario]),
        ("setting", [part.name for part in file.setting]),
    ):
        for name in names:
            if not NAME.fullmatch(name):
                raise ScenarioError(f"{name!r} is no name for a {kind}; use letters, digits, '.', '_' and '-'")
        if len(set(names)) != len(names):
            raise ScenarioError(f"two {kind}s have the same name")
    if file.baseline and file.baseline not in {part.name for part in file.setting}:
        raise ScenarioError(f"baseline: there is no setting {file.baseline!r}")
    if not 1 <= file.seeds * len(file.scenario) * len(file.setting) <= MAX_RUNS:
        raise ScenarioError(f"it must have between 1 and {MAX_RUNS} runs")
    for figure in file.figures:
        if not is_known_figure(figure):
            raise ScenarioError(
                f"figures: there is no {figure!r}; there are {', '.join(FIGURE_NAMES)} and share.OUTCOME"
            )
    return {
        (scenario.name, setting.name): load_scenario(scenario.file, folder, (*scenario.set, *setting.set))
        for scenario in file.scenario
        for setting in file.setting
    }


def read_experiment(path: Path) -> Experiment:
    """Reads an experiment's file.

    Raises:
        ScenarioError: The file cannot be read or is invalid.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    return parse_experiment(raw, str(path), path.resolve().parent)
