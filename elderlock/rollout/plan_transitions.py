"""The transitions of a plan: functions from one ledger to the next, or to the reasons for a refusal. No I/O.

The agent that leads a plan makes transitions under its term. A transition under an older term is refused, even if the
agent still believes that it leads. The transitions that operators cause need no term and are in
`elderlock.rollout.plan_steering`. The register may apply a transition more than once, so each transition recognises its
own earlier result.

The stages of a unit:

    waiting --> out --> trial --> done      a limiter or an agent of a release, in either direction
    waiting --> out --> done                a server of a drain
    waiting --> trial --> done              a server of a drain that is rolled back

When a plan is rolled back, every unit that it has acted on starts again from `waiting`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from elderlock.control.records import Key, Kind
from elderlock.rollout.agent_launcher import agent_removal_refusal
from elderlock.rollout.disruption_budget import DisruptionBudget, Inventory
from elderlock.rollout.permit_ledger import Ledger, PermitRequest, grant_permits, with_new_generation, with_plan
from elderlock.rollout.plans import MAXIMUM_FINISHED_PLANS, MAXIMUM_UNITS, Plan, replace_unit

TransitionResult = Ledger | list[str]
ALREADY_DONE = "this is done already"
PLAN_OVER = "the plan is over"


def permit_kind(plan: Plan) -> Kind:
    """Return the kind of the targets for which the plan holds permits."""
    return "box" if plan.kind == "drain" else "limiter"


def begin_plan(ledger: Ledger, plan: Plan) -> TransitionResult:
    """Add a plan to the ledger.

    A release is refused while another release, of limiters or of agents, is not over: two releases of limiters would
    switch the same limiters back and forth, and a limiter whose agent is out of service sends no reports to its own
    release. A drain is refused while another drain has a server in common with it, as each would rely on the other's
    permit.
    """
    if ledger.find_plan(plan.id) is not None:
        return ledger
    if not plan.units:
        return ["the plan has no targets"]
    if len(plan.units) > MAXIMUM_UNITS:
        return [f"the plan has {len(plan.units)} targets, at most {MAXIMUM_UNITS} are allowed"]
    for other in ledger.active_plans():
        if _conflicts(plan, other):
            other_plan = f"{other.title()} {other.id[:8]} of {other.requested_by}"
            return [f"{other_plan} is {other.state}: go on with it, or take it back first"]
    finished = [earlier for earlier in ledger.plans if earlier.state == "over"]
    excess_count = max(0, len(finished) + 1 - MAXIMUM_FINISHED_PLANS)
    discarded_ids = {earlier.id for earlier in finished[:excess_count]}
    remaining = tuple(earlier for earlier in ledger.plans if earlier.id not in discarded_ids)
    return msgspec.structs.replace(ledger, version=ledger.version + 1, plans=(*remaining, plan))


def _conflicts(plan: Plan, other: Plan) -> bool:
    """Whether a plan may not begin while the other one is not over."""
    if plan.kind != "drain" and other.kind != "drain":
        return True
    if plan.kind != other.kind:
        return False
    targets = {unit.target for unit in plan.units}
    return any(unit.target in targets for unit in other.units)


def take_lead(ledger: Ledger, plan_id: str, agent: str, after_term: int) -> TransitionResult:
    """Make `agent` the leader of the next term, if the term is still `after_term`."""
    plan = ledger.find_plan(plan_id)
    if plan is None or plan.state == "over":
        return ["there is no such plan under way"]
    if (plan.leader, plan.term) == (agent, after_term + 1):
        return ledger
    if plan.term != after_term:
        return [f"{plan.leader} leads the plan in term {plan.term}"]
    return with_plan(ledger, msgspec.structs.replace(plan, leader=agent, term=after_term + 1))


def record_heartbeat(ledger: Ledger, plan_id: str, agent: str, term: int) -> TransitionResult:
    """Increase the heartbeat of a leader that reaches a majority."""
    plan = _plan_led_by(ledger, plan_id, agent, term)
    if isinstance(plan, list):
        return plan
    return with_plan(ledger, msgspec.structs.replace(plan, heartbeat=plan.heartbeat + 1))


def transition_waiting_to_out(  # noqa: PLR0913
    ledger: Ledger,
    plan_id: str,
    agent: str,
    term: int,
    targets: Sequence[str],
    budget: DisruptionBudget,
    inventory: Inventory,
    known_generation: int,
    now_unix_ms: float,
) -> TransitionResult:
    """Take those of `targets` that are waiting out of service under permits, either all of them or none.

    Args:
        ledger: The ledger to change.
        plan_id: The id of the plan.
        agent: The agent that acts as the leader of the plan.
        term: The term in which it acts.
        targets: The targets to take out of service.
        budget: The bounds on what may be out.
        inventory: The group, as the leader knows it.
        known_generation: The greatest generation of any record that the leader knows.
        now_unix_ms: The time, for display.
    """
    plan = _running_plan_led_by(ledger, plan_id, agent, term)
    if isinstance(plan, list):
        return plan
    changed = ledger
    for target in targets:
        unit = plan.find_unit(target)
        if unit is None or unit.stage != "waiting":
            continue
        kind = permit_kind(plan)
        changed = _without_plan_permit(changed, plan, (kind, target))
        request = PermitRequest(
            targets=((kind, target),),
            origin=plan.permit_origin(unit),
            requested_by=plan.requested_by,
            reason=_permit_reason(plan),
            known_generation=known_generation,
            requested_at_unix_ms=now_unix_ms,
        )
        granted = grant_permits(changed, request, budget, _inventory_for(plan, target, inventory))
        if isinstance(granted, list):
            return granted
        permit = granted.find_permit((kind, target))
        assert permit is not None
        plan = replace_unit(plan, msgspec.structs.replace(unit, stage="out", generation=permit.generation))
        changed = granted
    if changed is ledger:
        return [ALREADY_DONE]
    if plan.kind == "release":
        changed = _with_limiter_versions(changed, plan, targets)
    return with_plan(changed, plan)


def _without_plan_permit(ledger: Ledger, plan: Plan, key: Key) -> Ledger:
    """Remove the permit that the plan holds for a target, so that the target can get a permit for its new direction."""
    plan_permit = ledger.find_permit(key)
    if plan_permit is None or not plan_permit.origin.startswith(f"{plan.id}/"):
        return ledger
    remaining = tuple(permit for permit in ledger.permits if permit is not plan_permit)
    return msgspec.structs.replace(ledger, permits=remaining)


def _inventory_for(plan: Plan, target: str, inventory: Inventory) -> Inventory:
    """Return the inventory to check a target's permit against.

    A target that is out involuntarily may be repaired whatever else is out. As it may be back at any moment, the
    permits alone still have to respect the budget: for this check everything without a permit counts as in service.
    """
    items = inventory.items_of_kind(permit_kind(plan))
    is_repair = any(item.name == target and item.out_reason for item in items)
    if not is_repair:
        return inventory
    return Inventory(
        tuple(item._replace(out_reason="") for item in inventory.servers),
        tuple(item._replace(out_reason="") for item in inventory.limiters),
    )


def _permit_reason(plan: Plan) -> str:
    text = f"{plan.title()} {plan.id[:8]}"
    return f"{text}: {plan.reason}" if plan.reason else text


def _with_limiter_versions(ledger: Ledger, plan: Plan, targets: Sequence[str]) -> Ledger:
    """Set the versions that the targets have to run."""
    versions = dict(ledger.limiter_versions)
    for unit in plan.units:
        if unit.target in targets:
            versions[unit.target] = plan.target_version(unit)
    return msgspec.structs.replace(ledger, limiter_versions=tuple(sorted(versions.items())))


def transition_agents_waiting_to_out(  # noqa: PLR0913
    ledger: Ledger,
    plan_id: str,
    agent: str,
    term: int,
    targets: Sequence[str],
    voters: Sequence[str],
    silent_agents: Sequence[str],
    known_generation: int,
) -> TransitionResult:
    """Take those of the waiting agents out of service that may be taken out now.

    No permits are needed: only one release of agents is under way at a time, so its units are the only agents that are
    deliberately out of service.

    Args:
        ledger: The ledger to change.
        plan_id: The id of the plan.
        agent: The agent that acts as the leader of the plan.
        term: The term in which it acts.
        targets: The agents to take out of service.
        voters: The agents that vote on the ledger.
        silent_agents: The agents without a recent report to the leader.
        known_generation: The greatest generation of any record that the leader knows.
    """
    plan = _running_plan_led_by(ledger, plan_id, agent, term)
    if isinstance(plan, list):
        return plan
    changed = ledger
    last_refusal = ""
    for target in targets:
        unit = plan.find_unit(target)
        if unit is None or unit.stage != "waiting":
            continue
        out_agents = [other.target for other in plan.units if other.stage in ("out", "trial")]
        if refusal := agent_removal_refusal(voters, out_agents, silent_agents, target):
            last_refusal = refusal
            continue
        changed = with_new_generation(changed, known_generation)
        plan = replace_unit(plan, msgspec.structs.replace(unit, stage="out", generation=changed.generation))
    if changed is ledger:
        return [last_refusal or ALREADY_DONE]
    return with_plan(changed, plan)


def transition_to_trial(
    ledger: Ledger, plan_id: str, agent: str, term: int, target: str, known_generation: int
) -> TransitionResult:
    """Put a target back into service, on trial, under a new generation for the record that undrains it.

    A limiter or an agent comes from the stage `out`. A server comes from `waiting`: it is put on trial only when its
    drain is rolled back, and does not have to be taken out again first.
    """
    plan = _plan_led_by(ledger, plan_id, agent, term)
    if isinstance(plan, list):
        return plan
    unit = plan.find_unit(target)
    expected_stage = "waiting" if plan.kind == "drain" else "out"
    if unit is None or unit.stage != expected_stage:
        return [ALREADY_DONE]
    changed = with_new_generation(ledger, known_generation)
    on_trial = msgspec.structs.replace(unit, stage="trial", generation=changed.generation)
    return with_plan(changed, replace_unit(plan, on_trial))


def transition_to_done(ledger: Ledger, plan_id: str, agent: str, term: int, targets: Iterable[str]) -> TransitionResult:
    """Finish targets that are on trial, and servers that are out and have no request in flight."""
    plan = _plan_led_by(ledger, plan_id, agent, term)
    if isinstance(plan, list):
        return plan
    changed = plan
    for target in targets:
        unit = changed.find_unit(target)
        if unit is not None and unit.stage in ("trial", "out"):
            changed = replace_unit(changed, msgspec.structs.replace(unit, stage="done"))
    return with_plan(ledger, changed) if changed is not plan else [ALREADY_DONE]


def finish_plan(ledger: Ledger, plan_id: str, agent: str, term: int) -> TransitionResult:
    """End a plan whose units are all done."""
    plan = _plan_led_by(ledger, plan_id, agent, term)
    if isinstance(plan, list):
        return plan
    if any(unit.stage != "done" for unit in plan.units):
        return ["some units are not done yet"]
    return with_plan(ledger, msgspec.structs.replace(plan, state="over"))


def _plan_led_by(ledger: Ledger, plan_id: str, agent: str, term: int) -> Plan | list[str]:
    """Return the plan if `agent` leads it in `term`, else why not."""
    plan = ledger.find_plan(plan_id)
    if plan is None or plan.state == "over":
        return [PLAN_OVER]
    if (plan.leader, plan.term) != (agent, term):
        return [f"{plan.leader} leads the plan in term {plan.term}"]
    return plan


def _running_plan_led_by(ledger: Ledger, plan_id: str, agent: str, term: int) -> Plan | list[str]:
    """Return the plan if it is running and `agent` leads it in `term`, else why not."""
    plan = _plan_led_by(ledger, plan_id, agent, term)
    if isinstance(plan, Plan) and plan.state != "running":
        return [f"the plan is {plan.state}"]
    return plan
