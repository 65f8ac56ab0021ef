"""An experiment: scenarios x settings x seeds. Read from TOML, checked whole before anything runs. No I/O but reading.

The same seed gives every setting the same arrivals, accounts, boxes' draws and faults (common random numbers), so that
settings are compared seed by seed.
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
MOST_RUNS = 200_000
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
    """`file`: relative to the experiment's, or the name of one that ships. `set`: as for a setting."""

    name: str
    file: str
    set: tuple[str, ...] = ()


class SettingPart(StrictStruct, frozen=True):
    """`set`: `settings.subset=40`, `net.loss=0.01`, whatever the scenario's file can hold."""

    name: str
    set: tuple[str, ...] = ()


class ExperimentFile(StrictStruct, frozen=True):
    """`seeds`: so many, counted from `first_seed`. `baseline`: the setting that the others are compared with; the first
    if it is empty. `fail_if`: `served_in_time@SETTING[SCENARIO]<0.95`, `diff.p99_ms@SETTING>20`; without a setting or
    scenario it holds for each."""

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
    """One run to be made."""

    scenario: str
    setting: str
    seed: int


class Bound(NamedTuple):
    """What must not be: `difference` is of the mean from the baseline's."""

    text: str
    difference: bool
    figure: str
    setting: str
    scenario: str
    below: bool
    value: float

    def holds(self, value: float) -> bool:
        """Whether the value is what must not be."""
        return value < self.value if self.below else value > self.value


class Experiment:
    """Invariant: each cell's scenario is checked, so that no run fails for its file."""

    def __init__(self, file: ExperimentFile, made: dict[tuple[str, str], Scenario]) -> None:
        self.file, self.made = file, made
        self.baseline = file.baseline or file.setting[0].name
        self.bounds = [parse_bound(text, file) for text in file.fail_if]

    def cells(self) -> Iterator[Cell]:
        """Seed by seed, so that a sweep that is stopped has whole pairs."""
        for seed in range(self.file.first_seed, self.file.first_seed + self.file.seeds):
            for scenario in self.file.scenario:
                for setting in self.file.setting:
                    yield Cell(scenario.name, setting.name, seed)

    def digest(self, cell: Cell) -> str:
        """Of all that a cell's run depends on but the code."""
        raw = msgspec.msgpack.encode((self.made[cell.scenario, cell.setting], self.file.floor, cell.seed))
        return hashlib.sha256(raw).hexdigest()[:16]


def figure_known(name: str) -> bool:
    return name in FIGURE_NAMES or name.startswith(("share.", "more."))


def parse_bound(text: str, file: ExperimentFile) -> Bound:
    """Raises `ScenarioError`."""
    found = BOUND.fullmatch(text.replace(" ", ""))
    if found is None:
        raise ScenarioError(f"fail_if: {text!r} is not like served_in_time@SETTING[SCENARIO]<0.95 or diff.p99_ms>20")
    diff, figure, setting, scenario, sign, value = found.groups()
    if not figure_known(figure):
        raise ScenarioError(
            f"fail_if: there is no figure {figure!r}; there are {', '.join(FIGURE_NAMES)} and share.OUTCOME"
        )
    if setting and setting not in {s.name for s in file.setting}:
        raise ScenarioError(f"fail_if: there is no setting {setting!r}")
    if scenario and scenario not in {s.name for s in file.scenario}:
        raise ScenarioError(f"fail_if: there is no scenario {scenario!r}")
    try:
        number = float(value)
    except ValueError:
        raise ScenarioError(f"fail_if: {value!r} is no number") from None
    return Bound(text, bool(diff), figure, setting or "", scenario or "", sign == "<", number)


def shipped_scenarios() -> list[str]:
    return sorted(entry.name.removesuffix(".toml") for entry in SHIPPED.iterdir() if entry.name.endswith(".toml"))


def load_scenario(name: str, folder: Path, changes: tuple[str, ...] = ()) -> Scenario:
    """A file's, or one that ships, by its name. Raises `ScenarioError`."""
    if not name.endswith(".toml"):
        shipped = SHIPPED / f"{name}.toml"
        if not shipped.is_file():
            raise ScenarioError(
                f"no scenario {name!r} ships; there are {', '.join(shipped_scenarios())}, or name a .toml file"
            )
        return parse(shipped.read_text(encoding="utf-8"), name, changes)
    return read(folder / name, changes)


def experiment_of(raw: Any, where: str, folder: Path) -> Experiment:
    """Raises `ScenarioError`."""
    try:
        file = msgspec.convert(raw, ExperimentFile)
        return Experiment(file, _made(file, folder))
    except (msgspec.ValidationError, ScenarioError) as error:
        raise ScenarioError(f"{where}: {error}") from None


def _made(file: ExperimentFile, folder: Path) -> dict[tuple[str, str], Scenario]:
    if not file.scenario or not file.setting:
        raise ScenarioError("it needs one [[scenario]] and one [[setting]] at least")
    for what, names in (("scenario", [s.name for s in file.scenario]), ("setting", [s.name for s in file.setting])):
        for name in names:
            if not NAME.fullmatch(name):
                raise ScenarioError(f"{name!r} is no name for a {what}: letters, digits, '.', '_', '-'")
        if len(set(names)) != len(names):
            raise ScenarioError(f"two {what}s have the same name")
    if file.baseline and file.baseline not in {s.name for s in file.setting}:
        raise ScenarioError(f"baseline: there is no setting {file.baseline!r}")
    if not 1 <= file.seeds * len(file.scenario) * len(file.setting) <= MOST_RUNS:
        raise ScenarioError(f"it must have between 1 and {MOST_RUNS} runs")
    for figure in file.figures:
        if not figure_known(figure):
            raise ScenarioError(
                f"figures: there is no {figure!r}; there are {', '.join(FIGURE_NAMES)} and share.OUTCOME"
            )
    return {
        (scenario.name, setting.name): load_scenario(scenario.file, folder, (*scenario.set, *setting.set))
        for scenario in file.scenario
        for setting in file.setting
    }


def read_experiment(path: Path) -> Experiment:
    """Raises `ScenarioError`."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    return experiment_of(raw, str(path), path.resolve().parent)
