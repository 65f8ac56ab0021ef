"""Plans: a release or a drain of many servers, as a value that a group of agents agrees on. No I/O.

A plan is a part of the permit ledger (`elderlock.rollout.permit_ledger`). A majority of the voters stores it, so it
outlives the command and the agent that began it. Each step of a plan is one change of the ledger, under the term of the
agent that leads the plan; the steps are in `elderlock.rollout.plan_transitions`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated, Literal

import msgspec

Direction = Literal["to", "back"]  # to the plan's version, or back to the previous one
UnitStage = Literal["waiting", "out", "trial", "done"]
PlanState = Literal["running", "halted", "over"]
PlanKind = Literal["release", "drain", "agents"]  # a release of limiters, a drain of servers, a release of agents
MAXIMUM_UNITS = 5000
MAXIMUM_FINISHED_PLANS = 5  # the number that stay in the ledger for display
SECOND_WAVE_MINIMUM = 2
SECOND_WAVE_FRACTION_DIVISOR = 10  # the second wave has a tenth of all targets

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]


class RolloutPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The waiting times and timeouts of a plan. All times are in seconds.

    Attributes:
        drain_timeout_s: How long to wait for requests in flight before a limiter is stopped anyway.
        start_timeout_s: How long a limiter may take to answer after its start.
        settle_time_s: How long after a limiter serves again its latency is not compared, while it opens connections and
            learns the load of its servers.
        bake_time_s: How long a limiter serves traffic after the settling time before the final analysis.
        maximum_bake_time_s: How long the bake time is extended at most while the analysis is inconclusive.
        wave_pause_s: The pause between two waves.
        patience_s: How long the budget may be exhausted before the plan halts.
        automatic_rollback: Whether a plan that halts because of a fault is rolled back.
    """

    drain_timeout_s: Seconds = msgspec.field(name="drain_within", default=10.0)
    start_timeout_s: Seconds = msgspec.field(name="start_within", default=20.0)
    settle_time_s: Seconds = msgspec.field(name="settle", default=20.0)
    bake_time_s: Seconds = msgspec.field(name="bake", default=30.0)
    maximum_bake_time_s: Seconds = msgspec.field(name="bake_most", default=120.0)
    wave_pause_s: Seconds = msgspec.field(name="pause", default=5.0)
    patience_s: Seconds = msgspec.field(name="patience", default=30.0)
    automatic_rollback: bool = msgspec.field(name="auto_back", default=False)


class Unit(msgspec.Struct, frozen=True, array_like=True):
    """One limiter, server or agent that a plan acts on.

    Attributes:
        target: The name of the limiter or agent, or the uid of the server.
        wave: The number of its wave, from 0.
        previous_version: The version that ran when the plan began; empty for the one in the agent's configuration file.
        direction: Whether the unit goes to the plan's version or back to the previous one.
        stage: The progress in that direction: waiting; out of service (for limiters and servers under a permit); on
            trial, serving while it is analysed; done.
        generation: The generation of the record that the stage allows: the drain record while the unit is out, the
            undrain record from the trial on.
    """

    target: str
    wave: int
    previous_version: str = msgspec.field(name="before", default="")
    direction: Direction = msgspec.field(name="aim", default="to")
    stage: UnitStage = "waiting"
    generation: int = 0

    def is_touched(self) -> bool:
        """Whether the plan has acted on the unit."""
        return self.direction == "back" or self.stage != "waiting"


class Plan(msgspec.Struct, frozen=True):
    """A plan and its progress.

    Invariants: at most one agent leads in a term, and `term` never decreases. `revision` increases with each operator's
    command and with each halt, so that a command that crosses a halt is recognised as outdated.

    Attributes:
        id: The unique id of the command that began the plan.
        kind: Whether the plan releases limiters, drains servers or releases agents.
        version: The version that a release installs; empty for the one in the agents' configuration files, and for
            drains.
        requested_by: The operator that began the plan.
        reason: The operator's reason, for display.
        requested_at_unix_ms: When it began, for display.
        units: The targets that the plan acts on, wave by wave.
        policy: The waiting times and timeouts.
        state: Whether it is running, halted or over.
        direction: Whether it goes to the version or rolls back.
        state_reason: Why it was last halted, resumed or rolled back.
        revision: The number of commands and halts so far.
        leader: The agent that leads the plan.
        term: The term of the leader.
        heartbeat: A counter that the leader increases while it reaches a majority.
    """

    id: str
    kind: PlanKind
    version: str
    requested_by: str = msgspec.field(name="by")
    reason: str
    requested_at_unix_ms: float = msgspec.field(name="at")
    units: tuple[Unit, ...]
    policy: RolloutPolicy = msgspec.field(name="terms", default=RolloutPolicy())
    state: PlanState = "running"
    direction: Direction = msgspec.field(name="aim", default="to")
    state_reason: str = msgspec.field(name="why", default="")
    revision: int = msgspec.field(name="turn", default=0)
    leader: str = ""
    term: int = 0
    heartbeat: int = msgspec.field(name="beat", default=0)

    def find_unit(self, target: str) -> Unit | None:
        """Return the unit for a target, if the plan has one."""
        return next((unit for unit in self.units if unit.target == target), None)

    def target_version(self, unit: Unit) -> str:
        """Return the version that a unit has to run in its current direction."""
        return self.version if unit.direction == "to" else unit.previous_version

    def current_wave(self) -> int:
        """Return the number of the first unfinished wave; the count of waves once all are done."""
        return min((unit.wave for unit in self.units if unit.stage != "done"), default=self.wave_count())

    def wave_count(self) -> int:
        """Return how many waves the plan has."""
        return max((unit.wave for unit in self.units), default=-1) + 1

    def permit_origin(self, unit: Unit) -> str:
        """Return the origin that a unit's permit is requested under.

        The origin differs by direction, so that a repeated request finds the permit of its own direction.
        """
        return f"{self.id}/{unit.direction}/{unit.target}"

    def title(self) -> str:
        """Return a short description of the plan, for operators."""
        if self.kind == "drain":
            return "drain"
        subject = "release of agents" if self.kind == "agents" else "release"
        return f"{subject} {self.version or 'of the configured version'}"

    def outcome(self) -> str:
        """Return the state of the plan, or its result once it is over, for operators."""
        if self.state != "over":
            return self.state
        return "done" if self.direction == "to" else "taken back"


def replace_unit(plan: Plan, changed: Unit) -> Plan:
    """Return the plan with the unit of the same target replaced."""
    units = tuple(changed if unit.target == changed.target else unit for unit in plan.units)
    return msgspec.structs.replace(plan, units=units)


def waves_over_zones(
    zones: Sequence[tuple[str, str]], second_wave_count: int = 0, later_wave_fraction: float = 0.25
) -> list[list[str]]:
    """Divide the targets of a release into waves, each spread over the zones.

    The first wave has one target, the second a few, and each later wave a fraction of all targets.

    Args:
        zones: The name and the zone of each target, in the order of their numbers.
        second_wave_count: The number of targets in the second wave; 0 for a tenth of all, at least two.
        later_wave_fraction: The fraction of all targets in each later wave.
    """
    names_by_zone: dict[str, list[str]] = {}
    for name, zone in zones:
        names_by_zone.setdefault(zone, []).append(name)
    ordered: list[str] = []
    remaining = [names for _, names in sorted(names_by_zone.items())]
    while any(remaining):
        ordered += [names.pop(0) for names in remaining if names]
    count = len(ordered)
    second_count = second_wave_count or max(SECOND_WAVE_MINIMUM, count // SECOND_WAVE_FRACTION_DIVISOR)
    later_count = max(1, int(later_wave_fraction * count))
    waves = [ordered[:1], ordered[1 : 1 + second_count]]
    for start in range(1 + second_count, count, later_count):
        waves.append(ordered[start : start + later_count])
    return [wave for wave in waves if wave]


def new_release_plan(  # noqa: PLR0913
    plan_id: str,
    version: str,
    waves: Iterable[Iterable[str]],
    previous_versions: dict[str, str],
    requested_by: str,
    reason: str,
    requested_at_unix_ms: float,
    policy: RolloutPolicy,
    kind: Literal["release", "agents"] = "release",
) -> Plan:
    """Make a plan that switches limiters or agents to a version, wave by wave."""
    units = tuple(
        Unit(name, wave, previous_versions.get(name, "")) for wave, names in enumerate(waves) for name in names
    )
    return Plan(plan_id, kind, version, requested_by, reason, requested_at_unix_ms, units, policy)


def new_drain_plan(
    plan_id: str,
    waves: Iterable[Iterable[str]],
    requested_by: str,
    reason: str,
    requested_at_unix_ms: float,
    policy: RolloutPolicy,
) -> Plan:
    """Make a plan that drains servers, wave by wave."""
    units = tuple(Unit(name, wave) for wave, names in enumerate(waves) for name in names)
    return Plan(plan_id, "drain", "", requested_by, reason, requested_at_unix_ms, units, policy)
