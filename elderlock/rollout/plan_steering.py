"""The transitions that operators cause: halt, resume and roll back plans, give up and readmit agents. No I/O.

These transitions need no term. Where two commands cross, the revision of the plan that the operator saw decides which
one takes effect.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from elderlock.control.records import Key
from elderlock.rollout.permit_ledger import Ledger, with_new_generation, with_plan
from elderlock.rollout.plan_transitions import ALREADY_DONE, PLAN_OVER, TransitionResult
from elderlock.rollout.plans import Plan, Unit, replace_unit

AUTOMATIC_ROLLBACK_PREFIX = "rolled back automatically: "  # of the state's reason


def halt_plan(
    ledger: Ledger, plan_id: str, reason: str, revision: int | None = None, roll_back: bool = False
) -> TransitionResult:
    """Halt a plan; a plan that is halted already keeps its reason.

    Args:
        ledger: The ledger to change.
        plan_id: The id of the plan.
        reason: Why it halts.
        revision: The revision that the leader saw; None for an operator, whose halt applies to any.
        roll_back: Whether to roll the plan back at once, unless a roll back is already under way.
    """
    plan = ledger.find_plan(plan_id)
    if plan is None or plan.state == "over":
        return [PLAN_OVER]
    if plan.state == "halted" or (revision is not None and plan.revision != revision):
        return [ALREADY_DONE]
    halted = msgspec.structs.replace(plan, state="halted", state_reason=reason, revision=plan.revision + 1)
    if roll_back and plan.direction == "to":
        halted = _rolled_back(halted, f"{AUTOMATIC_ROLLBACK_PREFIX}{reason}")
    return with_plan(ledger, halted)


def resume_plan(ledger: Ledger, plan_id: str, revision: int, operator: str) -> TransitionResult:
    """Resume a plan from the halt that the operator saw; refuse a command that crosses another halt."""
    plan = ledger.find_plan(plan_id)
    if plan is None or plan.state == "over":
        return [PLAN_OVER]
    if plan.state == "running":
        if plan.revision == revision + 1:
            return [ALREADY_DONE]
        return [f"it runs already: {plan.state_reason or plan.requested_by}"]
    if plan.revision != revision:
        return [f"it was halted again since you looked: {plan.state_reason}"]
    return _resumed(ledger, plan, f"go-on of {operator}")


def roll_back_plan(ledger: Ledger, plan_id: str, reason: str) -> TransitionResult:
    """Take all units that the plan has acted on back to their previous versions, the last wave first.

    Units that were never taken out of service are not touched. A roll back that is under way is not changed, and one
    that was halted is resumed.
    """
    plan = ledger.find_plan(plan_id)
    if plan is None or (plan.state == "over" and plan.direction == "back"):
        return [PLAN_OVER]
    if plan.direction == "back":
        if plan.state == "running":
            return [ALREADY_DONE]
        return _resumed(ledger, plan, reason)
    if plan.state == "over" and any(other.kind == plan.kind for other in ledger.active_plans()):
        return ["another plan of its kind has begun since"]
    return with_plan(ledger, _rolled_back(msgspec.structs.replace(plan, revision=plan.revision + 1), reason))


def _resumed(ledger: Ledger, plan: Plan, reason: str) -> Ledger:
    """Return the ledger with a halted plan running again.

    Agents that are out get new generations. An agent that failed reports the failure of its old generation for ever, so
    without a new one the plan would halt again at once.
    """
    for unit in plan.units:
        if plan.kind == "agents" and unit.stage == "out":
            ledger = with_new_generation(ledger, 0)
            plan = replace_unit(plan, msgspec.structs.replace(unit, generation=ledger.generation))
    resumed = msgspec.structs.replace(plan, state="running", state_reason=reason, revision=plan.revision + 1)
    return with_plan(ledger, resumed)


def _rolled_back(plan: Plan, reason: str) -> Plan:
    """Reverse the direction of a plan and the order of its waves."""
    last_wave = max((unit.wave for unit in plan.units if unit.stage != "waiting"), default=0)
    units = tuple(_rolled_back_unit(unit, last_wave) for unit in plan.units)
    return msgspec.structs.replace(plan, units=units, direction="back", state="running", state_reason=reason)


def _rolled_back_unit(unit: Unit, last_wave: int) -> Unit:
    """Reverse the direction of a unit; one that never went out is done."""
    if unit.stage == "waiting":
        return msgspec.structs.replace(unit, direction="back", stage="done", wave=0)
    return msgspec.structs.replace(unit, direction="back", stage="waiting", wave=last_wave - unit.wave)


def give_up_agent(ledger: Ledger, agent: str, targets: Iterable[Key], operator: str) -> TransitionResult:
    """Declare an agent and all its limiters permanently lost.

    Its permits are removed and its units are done. The ledger lists the agent until it is readmitted: if the agent
    comes back nevertheless, it finds itself in the list and does nothing.

    Args:
        ledger: The ledger to change.
        agent: The lost agent.
        targets: The limiters of that agent.
        operator: The operator that gives it up.
    """
    lost = set(targets)
    permits = tuple(permit for permit in ledger.permits if permit.key not in lost)
    plans = tuple(_without_lost_units(plan, agent, lost) for plan in ledger.plans)
    given_up = dict(ledger.given_up) | {agent: operator}
    return msgspec.structs.replace(
        ledger, version=ledger.version + 1, permits=permits, plans=plans, given_up=tuple(sorted(given_up.items()))
    )


def _without_lost_units(plan: Plan, agent: str, lost: set[Key]) -> Plan:
    """Finish the units of a lost agent in a release that is not over."""
    if plan.state == "over" or plan.kind == "drain":
        return plan
    units = []
    for unit in plan.units:
        is_lost = unit.target == agent if plan.kind == "agents" else ("limiter", unit.target) in lost
        units.append(msgspec.structs.replace(unit, stage="done") if is_lost else unit)
    return msgspec.structs.replace(plan, units=tuple(units))


def readmit_agent(ledger: Ledger, agent: str) -> TransitionResult:
    """Allow an agent that was given up to act again."""
    if agent not in dict(ledger.given_up):
        return [f"{agent} was not given up"]
    remaining = tuple(entry for entry in ledger.given_up if entry[0] != agent)
    return msgspec.structs.replace(ledger, version=ledger.version + 1, given_up=remaining)
