"""Seeds that are kept: a scenario with its faults, its seed, its floor, and what it broke when it was found.

A kept seed plays the same run for as long as the models stay as they are. Their format is in the file: a seed of
another one says that it no longer applies, and never passes in silence.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from elderlock.load.scenario import ScenarioError, StrictStruct
from elderlock.sim.scenario import FORMAT, Scenario, check, timeline

LONGEST = 32 << 20  # bytes
Floor = Literal["shells", "decisions"]


class SeedError(Exception):
    """The file is no seed that can be played."""


class NoLongerAppliesError(SeedError):
    """It is of another format of the models: what it showed, it may not show any more."""


class Seed(StrictStruct, frozen=True):
    """`broke`: the rules that it broke when it was kept; empty for one that is kept as a good example. `digest`: of its
    run, where that is to stay the same too."""

    scenario: Scenario
    seed: int
    floor: Floor = "shells"
    broke: tuple[str, ...] = ()
    about: str = ""
    digest: str = ""
    format: int = FORMAT

    def text(self) -> str:
        """For people: what befalls the group, in order."""
        broke = f"broke: {', '.join(self.broke)}\n" if self.broke else ""
        about = f"{self.about}\n" if self.about else ""
        return f"{about}{timeline(self.scenario, self.seed)}on the {self.floor}' floor\n{broke}"


def write(seed: Seed, path: Path) -> None:
    """Raises `OSError`."""
    comment = "".join(f"# {line}\n" for line in seed.text().splitlines())
    # only what differs from the defaults, so that a person can read it
    raw = msgspec.toml.encode(_plain(seed)).decode()
    path.write_text(comment + "\n" + raw, encoding="utf-8")


def _plain(value: object) -> object:
    """As builtins, without what is as its form has it."""
    if isinstance(value, msgspec.Struct):
        info = msgspec.structs.fields(value)
        config = value.__struct_config__
        found: dict[str, object] = {config.tag_field: config.tag} if config.tag_field else {}
        for each in info:
            mine = getattr(value, each.name)
            if each.name == "format" or each.default is msgspec.NODEFAULT or mine != each.default:
                found[each.encode_name] = _plain(mine)
        return found
    if isinstance(value, tuple | list):
        return [_plain(each) for each in value]
    return value


def read(path: Path) -> Seed:
    """Raises `SeedError`, or `NoLongerAppliesError` for one of another format."""
    try:
        if path.stat().st_size > LONGEST:
            raise SeedError(f"{path}: longer than {LONGEST} bytes")
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SeedError(f"{path}: {error}") from None
    given = raw.get("format")
    inner = raw.get("scenario", {}).get("format", given) if isinstance(raw.get("scenario"), dict) else given
    if given != FORMAT or inner != FORMAT:
        raise NoLongerAppliesError(
            f"{path}: it is of format {given}, the models are of format {FORMAT}: it no longer applies. Find the "
            "failure again under these models, or remove the file with the reason"
        )
    try:
        seed = msgspec.convert(raw, Seed)
        check(seed.scenario)
    except (msgspec.ValidationError, ScenarioError) as error:
        raise SeedError(f"{path}: {error}") from None
    return seed
