"""The actions of the leader of a plan."""

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
    """Eight limiters with their own ledger, which carry out every action of the leader."""

    def __init__(self) -> None:
        self.ledger = accepted(
            plan_transitions.take_lead(
                accepted(plan_transitions.begin_plan(Ledger(), release_plan())), "p" * 32, "a0", 0
            )
        )
        self.reports = {name: TargetReport(name) for name in NAMES}
        self.history, self.now_ms, self.rng = MetricsHistory(), 0.0, random.Random(1)
        self.leader = PlanLeader(0.0, self.history)
        self.counts = {name: AnswerMetrics() for name in NAMES}
        self.actions: list[LeaderAction] = []

    @property
    def plan(self) -> Plan:
        return latest_plan(self.ledger)

    def pass_time(self, seconds: int, slowdowns: dict[str, float] | None = None, is_leading: bool = True) -> None:
        for _ in range(seconds):
            self.now_ms += 1000.0
            for name in NAMES:
                if self.reports[name].is_serving:
                    self.counts[name] = self.counts[name].plus(
                        random_metrics(self.rng, 150, (slowdowns or {}).get(name, 0.0))
                    )
                self.history.record(name, self.counts[name], self.now_ms)
            while is_leading and (action := self.leader.next_action(self.plan, self.reports, self.now_ms)) is not None:
                self.actions.append(action)
                self.carry_out(action)

    def carry_out(self, action: LeaderAction) -> None:
        plan = self.plan
        match action.kind:
            case "send":
                result = plan_transitions.transition_waiting_to_out(
                    self.ledger, plan.id, "a0", 1, action.targets, BUDGET, INVENTORY, 0, 0.0
                )
                if isinstance(result, list):
                    return self.leader.on_refused(result, len(action.targets), self.now_ms)
                self.ledger = result
                self.leader.on_sent()
                for name in action.targets:
                    unit = self.plan.find_unit(name)
                    assert unit is not None
                    self.reports[name] = TargetReport(name, unit.generation, "up", is_serving=False)
            case "serve":
                self.ledger = accepted(
                    plan_transitions.transition_to_trial(self.ledger, plan.id, "a0", 1, action.targets[0], 0)
                )
                unit = self.plan.find_unit(action.targets[0])
                assert unit is not None
                self.reports[unit.target] = TargetReport(unit.target, unit.generation, "serving")
                key = ("limiter", unit.target)
                remaining = tuple(permit for permit in self.ledger.permits if permit.key != key)
                self.ledger = msgspec.structs.replace(self.ledger, permits=remaining)
            case "pass":
                self.ledger = accepted(
                    plan_transitions.transition_to_done(self.ledger, plan.id, "a0", 1, action.targets)
                )
            case "close":
                self.ledger = accepted(plan_transitions.finish_plan(self.ledger, plan.id, "a0", 1))
            case "halt":
                self.ledger = accepted(
                    plan_steering.halt_plan(
                        self.ledger, plan.id, action.reason, plan.revision, plan.policy.automatic_rollback
                    )
                )


def test_a_leader_releases_wave_by_wave_and_closes_the_plan() -> None:
    group = SimulatedGroup()
    group.pass_time(20, is_leading=False)
    group.pass_time(200)
    assert group.plan.outcome() == "done", (group.plan, group.leader.waiting_for)
    sent = [name for action in group.actions if action.kind == "send" for name in action.targets]
    assert sent[0] == "n0" and set(sent[1:3]) == {"n1", "n2"}


@pytest.mark.parametrize("fault", ["failed", "crashed", "silent", "slow"])
def test_a_leader_halts_a_faulty_release_in_the_first_wave(fault: str) -> None:
    group = SimulatedGroup()
    group.pass_time(20, is_leading=False)
    group.pass_time(1)
    assert group.plan.units[0].stage == "trial"
    report = group.reports["n0"]
    if fault == "failed":
        group.reports["n0"] = report._replace(stage="failed", reason="it crashed as it started")
    elif fault == "crashed":
        group.pass_time(1)
        group.reports["n0"] = report._replace(restarts=1)
    elif fault == "silent":
        group.reports["n0"] = report._replace(age_ms=11_000.0)
    group.pass_time(25, {"n0": 0.3} if fault == "slow" else None)
    assert group.plan.state == "halted" and {action.targets for action in group.actions if action.kind == "send"} == {
        ("n0",)
    }
    expected_reasons = {
        "failed": "crashed as it",
        "crashed": "crashed on v2",
        "silent": "too little is known",
        "slow": "slower by",
    }
    assert expected_reasons[fault] in group.plan.state_reason


def test_a_leader_halts_once_the_budget_is_exhausted_for_too_long() -> None:
    group = SimulatedGroup()
    group.reports["n0"] = TargetReport("n0", drained_by="binh")
    group.pass_time(5)
    assert group.leader.waiting_for == ("n0, drained by binh",) and not group.actions
    group.pass_time(10)
    assert group.plan.state == "halted" and group.plan.state_reason == "the budget is exhausted: n0, drained by binh"
