"""What the leader of a plan does next."""

from __future__ import annotations

import random

import msgspec
import pytest
from canary_fixtures import random_metrics
from plan_fixtures import BUDGET, INVENTORY, NAMES, accepted, latest_plan, release_plan

from elderlock.rollout import plan_steering, plan_transitions
from elderlock.rollout.canary_analysis import AnswerMetrics
from elderlock.rollout.metrics_history import MetricsHistory
from elderlock.rollout.permit_ledger import Ledger
from elderlock.rollout.plan_leader import LeaderAction, PlanLeader
from elderlock.rollout.plans import Plan
from elderlock.rollout.target_report import TargetReport


class SimulatedGroup:
    """Eight limiters that follow every action of a leader, on a ledger of their own."""

    def __init__(self) -> None:
        self.ledger = accepted(
            plan_transitions.take_lead(
                accepted(plan_transitions.begin_plan(Ledger(), release_plan())), "p" * 32, "a0", 0
            )
        )
        self.told = {name: TargetReport(name) for name in NAMES}
        self.history, self.now, self.rng = MetricsHistory(), 0.0, random.Random(1)
        self.leader = PlanLeader(0.0, self.history)
        self.counts = {name: AnswerMetrics() for name in NAMES}
        self.moves: list[LeaderAction] = []

    @property
    def plan(self) -> Plan:
        return latest_plan(self.ledger)

    def pass_time(self, seconds: int, slower: dict[str, float] | None = None, leads: bool = True) -> None:
        for _ in range(seconds):
            self.now += 1000.0
            for name in NAMES:
                if self.told[name].is_serving:
                    self.counts[name] = self.counts[name].plus(
                        random_metrics(self.rng, 150, (slower or {}).get(name, 0.0))
                    )
                self.history.record(name, self.counts[name], self.now)
            while leads and (move := self.leader.next_action(self.plan, self.told, self.now)) is not None:
                self.moves.append(move)
                self.take(move)

    def take(self, move: LeaderAction) -> None:
        plan = self.plan
        match move.kind:
            case "send":
                made = plan_transitions.transition_waiting_to_out(
                    self.ledger, plan.id, "a0", 1, move.targets, BUDGET, INVENTORY, 0, 0.0
                )
                if isinstance(made, list):
                    return self.leader.on_refused(made, len(move.targets), self.now)
                self.ledger = made
                self.leader.on_sent()
                for name in move.targets:
                    unit = self.plan.find_unit(name)
                    assert unit is not None
                    self.told[name] = TargetReport(name, unit.generation, "up", is_serving=False)
            case "serve":
                self.ledger = accepted(
                    plan_transitions.transition_to_trial(self.ledger, plan.id, "a0", 1, move.targets[0], 0)
                )
                unit = self.plan.find_unit(move.targets[0])
                assert unit is not None
                self.told[unit.target] = TargetReport(unit.target, unit.generation, "serving")
                key = ("limiter", unit.target)
                left = tuple(permit for permit in self.ledger.permits if permit.key != key)
                self.ledger = msgspec.structs.replace(self.ledger, permits=left)
            case "pass":
                self.ledger = accepted(plan_transitions.transition_to_done(self.ledger, plan.id, "a0", 1, move.targets))
            case "close":
                self.ledger = accepted(plan_transitions.finish_plan(self.ledger, plan.id, "a0", 1))
            case "halt":
                self.ledger = accepted(
                    plan_steering.halt_plan(
                        self.ledger, plan.id, move.reason, plan.revision, plan.policy.automatic_rollback
                    )
                )


def test_a_leader_releases_wave_by_wave_and_closes_the_plan() -> None:
    group = SimulatedGroup()
    group.pass_time(20, leads=False)
    group.pass_time(200)
    assert group.plan.outcome() == "done", (group.plan, group.leader.waiting_for)
    order = [name for move in group.moves if move.kind == "send" for name in move.targets]
    assert order[0] == "n0" and set(order[1:3]) == {"n1", "n2"}


@pytest.mark.parametrize("what", ["failed", "crashed", "silent", "slow"])
def test_a_leader_halts_a_faulty_release_in_the_first_wave(what: str) -> None:
    group = SimulatedGroup()
    group.pass_time(20, leads=False)
    group.pass_time(1)
    assert group.plan.units[0].stage == "trial"
    one = group.told["n0"]
    if what == "failed":
        group.told["n0"] = one._replace(stage="failed", reason="it crashed as it started")
    elif what == "crashed":
        group.pass_time(1)
        group.told["n0"] = one._replace(restarts=1)
    elif what == "silent":
        group.told["n0"] = one._replace(age_ms=11_000.0)
    group.pass_time(25, {"n0": 0.3} if what == "slow" else None)
    assert group.plan.state == "halted" and {m.targets for m in group.moves if m.kind == "send"} == {("n0",)}
    words = {
        "failed": "crashed as it",
        "crashed": "crashed on v2",
        "silent": "too little is known",
        "slow": "slower by",
    }
    assert words[what] in group.plan.state_reason


def test_a_leader_halts_once_the_budget_is_exhausted_for_too_long() -> None:
    group = SimulatedGroup()
    group.told["n0"] = TargetReport("n0", drained_by="binh")
    group.pass_time(5)
    assert group.leader.waiting_for == ("n0, drained by binh",) and not group.moves
    group.pass_time(10)
    assert group.plan.state == "halted" and group.plan.state_reason == "the budget is short: n0, drained by binh"
