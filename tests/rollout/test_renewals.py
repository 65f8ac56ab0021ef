"""Whole releases of agents in simulated time, and each judge shown to bite."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest

from elderlock.fleet.plans.coordinator import Conductor
from elderlock.rollout import steps
from elderlock.rollout.basing import Base
from elderlock.sim import renewals
from elderlock.sim.renewals import BUILDS, Renewals, play
from elderlock.sim.rollouts import Played

SMALL = Renewals(agents=3, limiters=3)


@pytest.mark.parametrize("build", [build for build in BUILDS if build != "good"])
def test_a_bad_version_of_agents_is_run_by_the_first_alone_and_taken_back(build: str) -> None:
    played = play(replace(SMALL, build=build), 1)
    assert played.good() and played.ran == {"agent-0"} and played.back_complete == 1, (played.broken, played.ran)


def test_a_good_version_goes_out_to_all() -> None:
    played = play(Renewals(), 1)
    assert (
        played.good() and len(played.ran) == 5 and played.plan is not None and played.plan.outcome() == "done"
    ), played.broken


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("build", ["good", "crashes in its trial"])
def test_faults_of_agents_bases_disks_and_ways_break_no_rule(build: str, seed: int) -> None:
    played = play(replace(SMALL, faults=8, build=build), seed)
    assert played.good(), played.broken


@pytest.mark.parametrize(
    "agents, seed, faults, what",
    [
        (3, 2, 10, "one that was passed while it slept is killed before it settles"),
        (5, 14, 10, "on the way back one is out, and an earlier one is heard again"),
        (5, 122, 16, "one that failed on the way back is tried again at an operator's word"),
    ],
)
def test_histories_that_a_search_found(agents: int, seed: int, faults: int, what: str) -> None:
    played = play(Renewals(agents=agents, limiters=agents, faults=faults), seed)
    assert played.good(), (what, played.broken)


def _starts_it_again(patch: pytest.MonkeyPatch) -> None:
    """A base that knows no fall back."""
    kept = Base.exited

    def exited(self: Base, how: str, now: float):  # type: ignore[no-untyped-def]
        held = self.held
        self.held = msgspec.structs.replace(held, trial=False)
        said = kept(self, how, now)
        self.held = held
        return said

    patch.setattr(Base, "exited", exited)
    patch.setattr(renewals, "SETTLED_WITHIN", 60.0)


async def _always(self: Conductor, plan: object, unit: object) -> bool:
    return True


FLAWS: dict[str, tuple[Callable[[pytest.MonkeyPatch], object], Renewals, Callable[[Played], int]]] = {
    "all that vote go at once": (
        lambda patch: patch.setattr(steps, "may_go", lambda *given: ""),
        replace(SMALL, agents=5, limiters=5),
        lambda played: played.over_budget,
    ),
    "a base knows no fall back": (
        _starts_it_again,
        replace(SMALL, build="crashes in its trial"),
        lambda played: played.after_fence,
    ),
    "a base obeys no word": (
        lambda patch: patch.setattr(Base, "weigh", lambda self, to: None),
        SMALL,
        lambda played: played.stuck,
    ),
}


@pytest.mark.parametrize("flaw", FLAWS)
def test_a_judge_bites(flaw: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, given, seen = FLAWS[flaw]
    patch(monkeypatch)
    assert any(seen(play(given, seed)) for seed in range(1, 4))
