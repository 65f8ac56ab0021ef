"""Kept seeds: a scenario with its faults, its seed and level, and the invariants that it violated when it was found.

A kept seed plays the same run as long as the models do not change. The file holds the version of the models. A seed
of another version is reported as no longer applicable and never passes silently.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from elderlock.load.scenario import ScenarioError, StrictStruct
from elderlock.sim.scenario import FORMAT, Scenario, check, timeline

MAX_FILE_BYTES = 32 << 20
Level = Literal["shells", "decisions"]


class SeedError(Exception):
    """The file is not a seed that can be played."""


class NoLongerAppliesError(SeedError):
    """The seed was made for another version of the models and may not show the same failure any more."""


class Seed(StrictStruct, frozen=True):
    """A kept seed.

    Attributes:
        scenario: The scenario.
        seed: The seed.
        floor: The level that it runs at.
        broke: The invariants that it violated when it was kept; empty for an example of a good run.
        about: A description.
        digest: The digest of its run, if that has to stay the same too.
        format: The version of the models.
    """

    scenario: Scenario
    seed: int
    floor: Level = "shells"
    broke: tuple[str, ...] = ()
    about: str = ""
    digest: str = ""
    format: int = FORMAT

    def text(self) -> str:
        """Describes the scenario and its faults in order of time, for the comment in the file."""
        broke = f"broke: {', '.join(self.broke)}\n" if self.broke else ""
        about = f"{self.about}\n" if self.about else ""
        return f"{about}{timeline(self.scenario, self.seed)}on the {self.floor}' floor\n{broke}"


def write(seed: Seed, path: Path) -> None:
    """Writes a seed to a file.

    Raises:
        OSError: The file cannot be written.
    """
    comment = "".join(f"# {line}\n" for line in seed.text().splitlines())
    # only values that differ from the defaults, to keep the file readable
    raw = msgspec.toml.encode(_without_defaults(seed)).decode()
    path.write_text(comment + "\n" + raw, encoding="utf-8")


def _without_defaults(value: object) -> object:
    """Converts a value to builtin types and leaves out the fields that have their defaults, except `format`."""
    if isinstance(value, msgspec.Struct):
        fields = msgspec.structs.fields(value)
        config = value.__struct_config__
        converted: dict[str, object] = {config.tag_field: config.tag} if config.tag_field else {}
        for field in fields:
            field_value = getattr(value, field.name)
            if field.name == "format" or field.default is msgspec.NODEFAULT or field_value != field.default:
                converted[field.encode_name] = _without_defaults(field_value)
        return converted
    if isinstance(value, tuple | list):
        return [_without_defaults(each) for each in value]
    return value


def read(path: Path) -> Seed:
    """Reads a seed.

    Raises:
        NoLongerAppliesError: The seed is of another version of the models.
        SeedError: The file cannot be read or is not a valid seed.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise SeedError(f"{path}: longer than {MAX_FILE_BYTES} bytes")
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SeedError(f"{path}: {error}") from None
    version = raw.get("format")
    scenario = raw.get("scenario", {})
    scenario_version = scenario.get("format", version) if isinstance(scenario, dict) else version
    if version != FORMAT or scenario_version != FORMAT:
        raise NoLongerAppliesError(
            f"{path}: the seed has format {version}, the models have format {FORMAT}: it no longer applies. Find the "
            "failure again with these models, or remove the file and state why"
        )
    try:
        seed = msgspec.convert(raw, Seed)
        check(seed.scenario)
    except (msgspec.ValidationError, ScenarioError) as error:
        raise SeedError(f"{path}: {error}") from None
    return seed
