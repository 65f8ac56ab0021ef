"""The steps of a plan that an agent carries out for one of its limiters."""

from __future__ import annotations

import msgspec
from plan_fixtures import BUDGET, INVENTORY, accepted, latest_plan, release_plan

from elderlock.rollout import plan_transitions
from elderlock.rollout.permit_ledger import Ledger
from elderlock.rollout.plan_executor import LimiterObservation, LimiterPlanExecutor


def observation(**changes: object) -> LimiterObservation:
    """Return the state of a limiter that serves on its configured version, with `changes`."""
    return LimiterObservation("", "running", False, 0, -1, True, 0)._replace(**changes)  # type: ignore[arg-type]


def test_a_limiter_is_drained_switched_started_and_undrained() -> None:
    ledger = accepted(
        plan_transitions.take_lead(accepted(plan_transitions.begin_plan(Ledger(), release_plan())), "p" * 32, "a0", 0)
    )
    ledger = accepted(
        plan_transitions.transition_waiting_to_out(ledger, "p" * 32, "a0", 1, ["n0"], BUDGET, INVENTORY, 0, 0.0)
    )
    plan, unit = latest_plan(ledger), latest_plan(ledger).units[0]
    executor = LimiterPlanExecutor()
    assert (
        executor.next_action(plan, unit, observation(), 0.0, halted=True) is None
    )  # only this agent has received the halt
    assert executor.next_action(plan, unit, observation(), 0.0, halted=False) == "drain"
    drained = observation(is_drained=True, generation=unit.generation)
    assert (
        executor.next_action(plan, unit, drained, 10.0, False) is None
        and executor.progress.reason == "it has not confirmed the drain record yet"
    )
    assert executor.next_action(plan, unit, drained._replace(open_requests=2), 20.0, False) is None
    assert executor.next_action(plan, unit, drained._replace(open_requests=0), 30.0, False) == "switch"
    assert (
        executor.next_action(plan, unit, drained._replace(open_requests=2), 10_100.0, False) == "switch"
    )  # the drain timeout is over
    executor.on_switched(10_100.0, 0)
    switched = drained._replace(version="v2", is_up=False, phase="starting")
    assert executor.next_action(plan, unit, switched, 10_200.0, True) is None and executor.progress.stage == "starting"
    assert (
        executor.next_action(plan, unit, switched._replace(is_up=True), 10_300.0, False) is None
        and executor.progress.stage == "up"
    )
    crashed = switched._replace(phase="backing-off", restarts=1)
    assert executor.next_action(plan, unit, crashed, 10_400.0, False) is None and executor.progress.stage == "failed"
    trial = msgspec.structs.replace(unit, stage="trial", generation=unit.generation + 1)
    assert executor.next_action(plan, trial, drained._replace(version="v2"), 10_500.0, True) == "undrain"


def test_a_delayed_start_is_not_a_crash() -> None:
    plan = release_plan()
    unit = msgspec.structs.replace(plan.units[0], stage="out", direction="back", generation=3)
    drained = observation(
        is_drained=True, generation=3, open_requests=0, version="v2", phase="backing-off", is_up=False, restarts=1
    )
    executor = LimiterPlanExecutor()
    assert executor.next_action(plan, unit, drained, 0.0, False) == "switch"  # v2 has crashed once
    executor.on_switched(0.0, 1)
    delayed = drained._replace(version="", error="its socket is in use")
    assert executor.next_action(plan, unit, delayed, 100.0, False) is None and executor.progress.stage == "starting"
    up = delayed._replace(phase="running", is_up=True)
    assert executor.next_action(plan, unit, up, 1200.0, False) is None and executor.progress.stage == "up"


def test_a_switch_is_requested_once_while_the_previous_process_is_exiting() -> None:
    plan = release_plan()
    unit = msgspec.structs.replace(plan.units[0], stage="out", generation=3)
    ready = observation(is_drained=True, generation=3, open_requests=0)
    executor = LimiterPlanExecutor()
    assert executor.next_action(plan, unit, ready, 0.0, False) == "switch"
    executor.on_switched(0.0, 0)
    for exiting in (ready, ready._replace(phase="stopping", is_up=False)):
        assert executor.next_action(plan, unit, exiting, 100.0, False) is None and executor.progress.stage == "starting"
    assert (
        executor.next_action(plan, unit, ready._replace(version="v2"), 200.0, False) is None
        and executor.progress.stage == "up"
    )
    rolled_back = msgspec.structs.replace(unit, direction="back")
    assert (
        executor.next_action(plan, rolled_back, ready._replace(version="v2"), 300.0, False) == "switch"
    )  # the roll back needs another version


def test_a_revoked_permit_is_not_used() -> None:
    plan = release_plan()
    unit = msgspec.structs.replace(plan.units[0], stage="out", generation=3)
    executor = LimiterPlanExecutor()
    assert executor.next_action(plan, unit, observation(generation=4), 0.0, False) is None
    assert executor.progress.stage == "failed" and executor.progress.reason == "its permit was taken back"
