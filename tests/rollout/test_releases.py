"""Whole releases in simulated time: the agents as they ship, over modelled limiters. What is bad is stopped in the first wave,
what is good goes out, whatever befalls the agents meanwhile; and each judge is shown to bite."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from elderlock.fleet.consensus.member import Keeper
from elderlock.fleet.plans import coordinator as conductor
from elderlock.fleet.plans.coordinator import Conductor
from elderlock.rollout import ledger
from elderlock.rollout.carrying import Carrier
from elderlock.sim import rollouts
from elderlock.sim.rollouts import BUILDS, Case, Played, play

SMALL = Case(agents=3, limiters=6)


@pytest.mark.parametrize("build", [name for name, build in BUILDS.items() if not build.good])
def test_a_bad_version_is_stopped_in_its_first_wave_and_taken_back(build: str) -> None:
    played = play(replace(SMALL, build=build), 1)
    assert played.good(), played.broken
    assert played.ran <= played.first_wave and played.back_complete == played.back_tried == 1


def test_a_good_version_goes_out_also_into_a_rush() -> None:
    played = play(replace(SMALL, rush=40.0), 2)
    assert played.good() and played.plan is not None and played.plan.outcome() == "done", (
        played.broken,
        played.halted_why,
    )


@pytest.mark.parametrize("seed", [3, 5])
def test_faults_of_agents_disks_and_ways_and_two_operators_break_no_rule(seed: int) -> None:
    played = play(replace(SMALL, faults=12, words=seed - 3, two_operators=True, auto_back=False), seed)
    assert played.good(), played.broken


def test_a_leader_that_is_gone_and_a_floor_that_is_lost() -> None:
    gone = play(replace(SMALL, agents=5, limiters=5, leader_gone=20.0), 1)
    assert gone.good() and gone.took_over >= 1, gone.broken
    lost = play(replace(SMALL, lone_floor_at=12.0, auto_back=False), 2)
    assert lost.good(), lost.broken


def test_one_that_sleeps_and_wakes_alone_takes_nothing_to_a_version_that_was_taken_back() -> None:
    played = play(replace(SMALL, sleeper=True), 1)
    assert played.good() and not played.ran, played.broken


def test_a_halt_is_in_force_everywhere_within_a_second() -> None:
    heard = [ms for seed in range(3) for ms in play(replace(SMALL, words=3), seed).halt_ms]
    assert heard and max(heard) <= 1000.0


async def _always(self: Conductor, plan: object, unit: object) -> bool:
    return True


def _grants_alone(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Keeper, "quorum", property(lambda self: 1))
    patch.setattr(rollouts, "SETTLED_WITHIN", -400.0)  # what two ledgers come to is not waited for


def _ends_at_once(patch: pytest.MonkeyPatch) -> None:
    """An agent in charge that waits for no drain."""
    kept = Carrier.step

    def step(self: Carrier, plan, unit, look, now, halted):  # type: ignore[no-untyped-def]
        if unit.stage == "out":
            look = look._replace(drained=True, generation=max(look.generation, unit.generation), open=0)
        return kept(self, plan, unit, look, now, halted)

    patch.setattr(Carrier, "step", step)


FLAWS: dict[str, tuple[Callable[[pytest.MonkeyPatch], object], Case, Callable[[Played], int]]] = {
    "more goes than the budget allows": (
        lambda patch: patch.setattr(ledger, "reasons", lambda *given: []),
        replace(SMALL, one_wave=True),
        lambda played: played.over_budget,
    ),
    "its own vote is a majority": (
        _grants_alone,
        replace(SMALL, agents=5, limiters=10, two_operators=True),
        lambda played: played.doubled,
    ),
    "nobody asks whether it still stands": (
        lambda patch: patch.setattr(Conductor, "_confirmed", _always),
        replace(SMALL, sleeper=True),
        lambda played: played.after_fence,
    ),
    "a limiter is ended without a drain": (_ends_at_once, SMALL, lambda played: played.after_fence),
    "nobody takes over": (
        lambda patch: patch.setattr(conductor, "TAKE_OVER_AFTER", 1e9),
        replace(SMALL, agents=5, limiters=5, leader_gone=20.0),
        lambda played: played.stuck,
    ),
}


@pytest.mark.parametrize("flaw", FLAWS)
def test_a_judge_bites(flaw: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, case, seen = FLAWS[flaw]
    patch(monkeypatch)
    assert any(seen(play(case, seed)) for seed in range(3))
