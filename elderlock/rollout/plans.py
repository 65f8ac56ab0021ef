"""Plans that live in the group: a release, or a drain of many, as a value that agents agree on. No I/O.

A plan stands in the ledger (`elderlock.rollout.ledger`), so a majority holds it, whoever made it may die, and each
step is one change of the ledger under the term of the agent that leads it. Its steps are in `elderlock.rollout.steps`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated, Literal

import msgspec

Aim = Literal["to", "back"]
Stage = Literal["waiting", "out", "trial", "done"]
State = Literal["running", "halted", "over"]
PlanKind = Literal["release", "drain", "agents"]  # of limiters, of boxes, a release of agents
MOST_UNITS = 5000
MOST_OVER = 5  # plans that are over and are still kept, for people

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]


class Terms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How careful a release is. Seconds: `drain_within` for open requests before a limiter is ended all the same,
    `start_within` for it to answer, `settle` after it serves again, of which nothing is held against it (it opens its
    connections and learns its boxes), `bake` of traffic after that before it is judged, `bake_most` for a judgement
    that is not clear yet, `pause` between waves, `patience` with a budget that is short or an agent that is silent.
    `auto_back`: a halt of its own is followed by the way back."""

    drain_within: Seconds = 10.0
    start_within: Seconds = 20.0
    settle: Seconds = 20.0
    bake: Seconds = 30.0
    bake_most: Seconds = 120.0
    pause: Seconds = 5.0
    patience: Seconds = 30.0
    auto_back: bool = False


class Unit(msgspec.Struct, frozen=True, array_like=True):
    """A limiter, a box or an agent that the plan takes. `aim`: to the plan's end or back to `before`, the version that
    ran as the plan began. `stage` within that aim: waiting, out (limiters and boxes under a permit), on trial (serving,
    being judged), done.
    `generation`: of the record that the stage allows: draining while it is out, undraining from the trial on."""

    target: str
    wave: int
    before: str = ""
    aim: Aim = "to"
    stage: Stage = "waiting"
    generation: int = 0

    def touched(self) -> bool:
        return self.aim == "back" or self.stage != "waiting"


class Plan(msgspec.Struct, frozen=True):
    """Invariants: at most one agent leads in a `term`, which only grows; `turn` grows with each word of an operator or
    halt of its own, so a go-on that crosses a halt is seen to be older. `beat` grows while a leader reaches a
    majority."""

    id: str
    kind: PlanKind
    version: str  # of a release; empty for the one in the agents' files
    by: str
    reason: str
    at: float  # Unix ms, for people
    units: tuple[Unit, ...]
    terms: Terms = Terms()
    state: State = "running"
    aim: Aim = "to"
    why: str = ""  # of the last halt or turn
    turn: int = 0
    leader: str = ""
    term: int = 0
    beat: int = 0

    def unit(self, target: str) -> Unit | None:
        return next((unit for unit in self.units if unit.target == target), None)

    def toward(self, unit: Unit) -> str:
        """The version that the unit is being taken to, or has been."""
        return self.version if unit.aim == "to" else unit.before

    def wave(self) -> int:
        """The one that is under way; the count of waves once none is."""
        return min((unit.wave for unit in self.units if unit.stage != "done"), default=self.waves())

    def waves(self) -> int:
        return max((unit.wave for unit in self.units), default=-1) + 1

    def origin(self, unit: Unit) -> str:
        """Under which the unit's permit is asked for: each aim has its own, so that one asked again finds its own."""
        return f"{self.id}/{unit.aim}/{unit.target}"

    def title(self) -> str:
        if self.kind == "drain":
            return "drain"
        return f"release{' of agents' if self.kind == 'agents' else ''} {self.version or 'of the files'}"

    def outcome(self) -> str:
        if self.state != "over":
            return self.state
        return "done" if self.aim == "to" else "taken back"


def with_unit(plan: Plan, unit: Unit) -> Plan:
    units = tuple(unit if each.target == unit.target else each for each in plan.units)
    return msgspec.structs.replace(plan, units=units)


def waves_over_floors(floors: Sequence[tuple[str, str]], few: int = 0, share: float = 0.25) -> list[list[str]]:
    """First one, then a few, then the rest in parts of `share` of all, each wave spread over the floors. `floors`:
    name and floor of each, in the order of their numbers. `few`: how many the second wave takes; 0 for a tenth, two
    at least."""
    by: dict[str, list[str]] = {}
    for name, floor in floors:
        by.setdefault(floor, []).append(name)
    turns: list[str] = []
    rest = [list(names) for _, names in sorted(by.items())]
    while any(rest):
        turns += [names.pop(0) for names in rest if names]
    count = len(turns)
    few = few or max(2, count // 10)
    size = max(1, int(share * count))
    waves, at = [turns[:1], turns[1 : 1 + few]], 1 + few
    while at < count:
        waves.append(turns[at : at + size])
        at += size
    return [wave for wave in waves if wave]


def release(
    id: str,
    version: str,
    waves: Iterable[Iterable[str]],
    before: dict[str, str],
    by: str,
    reason: str,
    at: float,
    terms: Terms,
    kind: Literal["release", "agents"] = "release",
) -> Plan:
    units = tuple(Unit(name, number, before.get(name, "")) for number, wave in enumerate(waves) for name in wave)
    return Plan(id, kind, version, by, reason, at, units, terms)


def drain(id: str, steps: Iterable[Iterable[str]], by: str, reason: str, at: float, terms: Terms) -> Plan:
    units = tuple(Unit(name, number) for number, step in enumerate(steps) for name in step)
    return Plan(id, "drain", "", by, reason, at, units, terms)
