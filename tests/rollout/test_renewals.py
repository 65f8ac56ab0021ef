"""Whole releases of agents in simulated time; each invariant checker is shown to find its mutant."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest

from elderlock.fleet.plans.coordinator import PlanCoordinator
from elderlock.rollout import plan_transitions
from elderlock.rollout.agent_launcher import AgentLauncher
from elderlock.sim import agent_releases
from elderlock.sim.agent_releases import BUILDS, AgentReleaseCase, play
from elderlock.sim.limiter_releases import ReleaseOutcome

SMALL = AgentReleaseCase(agents=3, limiters=3)


@pytest.mark.parametrize("build", [build for build in BUILDS if build != "good"])
def test_a_bad_version_of_agents_runs_at_the_first_agent_alone_and_is_rolled_back(build: str) -> None:
    played = play(replace(SMALL, build=build), 1)
    assert played.good() and played.upgraded == {"agent-0"} and played.rollbacks_completed == 1, (
        played.violations,
        played.upgraded,
    )


def test_a_good_version_goes_out_to_all_agents() -> None:
    played = play(AgentReleaseCase(), 1)
    assert (
        played.good() and len(played.upgraded) == 5 and played.plan is not None and played.plan.outcome() == "done"
    ), played.violations


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("build", ["good", "crashes in its trial"])
def test_faults_of_agents_launchers_disks_and_links_break_no_invariant(build: str, seed: int) -> None:
    played = play(replace(SMALL, faults=8, build=build), seed)
    assert played.good(), played.violations


@pytest.mark.parametrize(
    "agents, seed, faults, description",
    [
        (3, 2, 10, "an agent whose step was finished while it was suspended is killed before its trial ends"),
        (5, 14, 10, "during a rollback one agent is out while an earlier one is heard again"),
        (5, 122, 16, "an operator retries an agent that failed during a rollback"),
    ],
)
def test_regressions_found_by_searching_fault_histories(agents: int, seed: int, faults: int, description: str) -> None:
    played = play(AgentReleaseCase(agents=agents, limiters=agents, faults=faults), seed)
    assert played.good(), (description, played.violations)


def _never_falls_back(patch: pytest.MonkeyPatch) -> None:
    """Makes launchers start a failed version again."""
    original = AgentLauncher.on_exit

    def on_exit(self: AgentLauncher, description: str, now: float):  # type: ignore[no-untyped-def]
        state = self.state
        self.state = msgspec.structs.replace(state, is_on_trial=False)
        decision = original(self, description, now)
        self.state = state
        return decision

    patch.setattr(AgentLauncher, "on_exit", on_exit)
    patch.setattr(agent_releases, "SETTLED_WITHIN", 60.0)


async def _always_confirms(self: PlanCoordinator, plan: object, unit: object) -> bool:
    return True


MUTANTS: dict[str, tuple[Callable[[pytest.MonkeyPatch], object], AgentReleaseCase, Callable[[ReleaseOutcome], int]]] = {
    "all voters are taken out at once": (
        lambda patch: patch.setattr(plan_transitions, "agent_removal_refusal", lambda *arguments: ""),
        replace(SMALL, agents=5, limiters=5),
        lambda played: played.over_budget,
    ),
    "a launcher never falls back": (
        _never_falls_back,
        replace(SMALL, build="crashes in its trial"),
        lambda played: played.stale_actions,
    ),
    "a launcher ignores requests": (
        lambda patch: patch.setattr(AgentLauncher, "state_after_switch", lambda self, request: None),
        SMALL,
        lambda played: played.stuck_plans,
    ),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_an_invariant_checker_finds_its_mutant(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, scenario, finding_count = MUTANTS[mutant]
    patch(monkeypatch)
    assert any(finding_count(play(scenario, seed)) for seed in range(1, 4))
