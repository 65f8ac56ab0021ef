"""Whole releases in simulated time, with real agents and simulated limiters.

A bad version is stopped in the first wave and a good one is released, whatever faults the agents have meanwhile. Each
invariant checker is shown to find a mutant that breaks its invariant.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from elderlock.fleet.consensus.member import ConsensusMember
from elderlock.fleet.plans import coordinator
from elderlock.fleet.plans.coordinator import PlanCoordinator
from elderlock.rollout import permit_ledger
from elderlock.rollout.plan_executor import LimiterPlanExecutor
from elderlock.sim import limiter_releases
from elderlock.sim.limiter_releases import BUILDS, ReleaseCase, ReleaseOutcome, play

SMALL = ReleaseCase(agents=3, limiters=6)


@pytest.mark.parametrize("build", [name for name, build in BUILDS.items() if not build.good])
def test_a_bad_version_is_halted_in_the_first_wave_and_rolled_back(build: str) -> None:
    played = play(replace(SMALL, build=build), 1)
    assert played.good(), played.violations
    assert played.upgraded <= played.first_wave and played.rollbacks_completed == played.rollbacks_tried == 1
    assert played.halt_reason  # read from the plan's state, whose reason begins with a constant of the rollout package


def test_a_good_version_goes_out_during_a_load_spike() -> None:
    played = play(replace(SMALL, load_spike_at_s=40.0), 2)
    assert played.good() and played.plan is not None and played.plan.outcome() == "done", (
        played.violations,
        played.halt_reason,
    )


@pytest.mark.parametrize("seed", [3, 5])
def test_faults_of_agents_disks_and_links_and_two_operators_break_no_invariant(seed: int) -> None:
    played = play(
        replace(SMALL, faults=12, operator_commands=seed - 3, two_operators=True, automatic_rollback=False), seed
    )
    assert played.good(), played.violations


def test_a_lost_leader_is_replaced_and_a_lost_zone_breaks_no_invariant() -> None:
    leader_lost = play(replace(SMALL, agents=5, limiters=5, leader_loss_at_s=20.0), 1)
    assert leader_lost.good() and leader_lost.leader_changes >= 1, leader_lost.violations
    zone_lost = play(replace(SMALL, zone_loss_at_s=12.0, automatic_rollback=False), 2)
    assert zone_lost.good(), zone_lost.violations


def test_an_agent_suspended_during_a_roll_back_releases_nothing_when_it_resumes() -> None:
    played = play(replace(SMALL, suspends_agent=True), 1)
    assert played.good() and not played.upgraded, played.violations


def test_a_halt_is_in_force_at_all_agents_within_a_second() -> None:
    halt_delays_ms = [ms for seed in range(3) for ms in play(replace(SMALL, operator_commands=3), seed).halt_ms]
    assert halt_delays_ms and max(halt_delays_ms) <= 1000.0


async def _always_confirms(self: PlanCoordinator, plan: object, unit: object) -> bool:
    return True


def _one_vote_is_a_quorum(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ConsensusMember, "quorum", property(lambda self: 1))
    patch.setattr(
        limiter_releases, "SETTLED_WITHIN", -400.0
    )  # two ledgers of one version suffice; their effects are not awaited


def _stops_without_drain(patch: pytest.MonkeyPatch) -> None:
    """Makes agents treat each limiter as drained."""
    original = LimiterPlanExecutor.next_action

    def next_action(self: LimiterPlanExecutor, plan, unit, observation, now_ms, halted):  # type: ignore[no-untyped-def]
        if unit.stage == "out":
            generation = max(observation.generation, unit.generation)
            observation = observation._replace(is_drained=True, generation=generation, open_requests=0)
        return original(self, plan, unit, observation, now_ms, halted)

    patch.setattr(LimiterPlanExecutor, "next_action", next_action)


MUTANTS: dict[str, tuple[Callable[[pytest.MonkeyPatch], object], ReleaseCase, Callable[[ReleaseOutcome], int]]] = {
    "permits exceed the budget": (
        lambda patch: patch.setattr(permit_ledger, "refusal_reasons", lambda *arguments: []),
        replace(SMALL, single_wave=True),
        lambda played: played.over_budget,
    ),
    "one vote is a majority": (
        _one_vote_is_a_quorum,
        replace(SMALL, agents=5, limiters=10, two_operators=True),
        lambda played: played.conflicting_ledgers,
    ),
    "nothing is confirmed by a majority": (
        lambda patch: patch.setattr(PlanCoordinator, "_is_still_out", _always_confirms),
        replace(SMALL, suspends_agent=True),
        lambda played: played.stale_actions,
    ),
    "a limiter is stopped without a drain": (_stops_without_drain, SMALL, lambda played: played.stale_actions),
    "no agent takes over the lead": (
        lambda patch: patch.setattr(coordinator, "TAKE_OVER_TIMEOUT_S", 1e9),
        replace(SMALL, agents=5, limiters=5, leader_loss_at_s=20.0),
        lambda played: played.stuck_plans,
    ),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_an_invariant_checker_finds_its_mutant(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, case, finding_count = MUTANTS[mutant]
    patch(monkeypatch)
    assert any(finding_count(play(case, seed)) for seed in range(3))
