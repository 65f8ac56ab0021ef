"""The transitions of a plan, each a function from one ledger to the next, or to the reasons for a refusal. No I/O.

The agent that leads a plan makes its transitions under its term: one of an older term is refused, whoever believes to
lead. What operators do to a plan needs no term and is in `elderlock.rollout.plan_steering`. The register may apply a
transition more than once, so each recognises its own earlier result.

The stages of a unit:

    waiting --> out --> trial --> done      a limiter or an agent of a release, in either direction
    waiting --> out --> done                a server of a drain
    waiting --> trial --> done              a server of a drain that is rolled back

Whatever was touched starts from `waiting` again when the plan is rolled back.
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
ALREADY_DONE = "it is so already"
PLAN_OVER = "the plan is over"


def permit_kind(plan: Plan) -> Kind:
    """Return the kind of target that the plan's permits are for."""
    return "box" if plan.kind == "drain" else "limiter"


def begin_plan(ledger: Ledger, plan: Plan) -> TransitionResult:
    """Add a plan to the ledger.

    A release is refused while another one is not over, of limiters or of agents: two would move the same limiters back
    and forth, and a limiter whose agent is away is silent to its own release. A drain is refused while another one has
    a server in common with it, as each would count on the other's permit.
    """
    if ledger.find_plan(plan.id) is not None:
        return ledger
    if not plan.units:
        return ["it takes nothing"]
    if len(plan.units) > MAXIMUM_UNITS:
        return [f"it takes {len(plan.units)}, {MAXIMUM_UNITS} are the most"]
    for other in ledger.active_plans():
        if _conflicts(plan, other):
            what = f"{other.title()} {other.id[:8]} of {other.requested_by}"
            return [f"{what} is {other.state}: go on with it, or take it back first"]
    finished = [earlier for earlier in ledger.plans if earlier.state == "over"]
    excess_count = max(0, len(finished) + 1 - MAXIMUM_FINISHED_PLANS)
    forgotten_ids = {earlier.id for earlier in finished[:excess_count]}
    remaining = tuple(earlier for earlier in ledger.plans if earlier.id not in forgotten_ids)
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
        return ["there is nothing to lead"]
    if (plan.leader, plan.term) == (agent, after_term + 1):
        return ledger
    if plan.term != after_term:
        return [f"{plan.leader} leads in term {plan.term}"]
    return with_plan(ledger, msgspec.structs.replace(plan, leader=agent, term=after_term + 1))


def record_heartbeat(ledger: Ledger, plan_id: str, agent: str, term: int) -> TransitionResult:
    """Record that the leader reaches a majority."""
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
    """Take the waiting ones of `targets` out of service under permits: all of them, or none.

    Args:
        ledger: The ledger to change.
        plan_id: The plan.
        agent: The agent that believes to lead the plan.
        term: The term that it believes to lead in.
        targets: The targets to take out.
        budget: The bounds on what may be out.
        inventory: What the leader knows of the group.
        known_generation: The greatest generation of any record that the leader knows.
        now_unix_ms: The time, for people.
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
        changed = _without_own_permit(changed, plan, (kind, target))
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


def _without_own_permit(ledger: Ledger, plan: Plan, key: Key) -> Ledger:
    """Remove the permit that the plan holds for a target whose direction has changed, so that it can get a new one."""
    own = ledger.find_permit(key)
    if own is None or not own.origin.startswith(f"{plan.id}/"):
        return ledger
    return msgspec.structs.replace(ledger, permits=tuple(permit for permit in ledger.permits if permit is not own))


def _inventory_for(plan: Plan, target: str, inventory: Inventory) -> Inventory:
    """Return the inventory that a target's permit is weighed against.

    A target that is out involuntarily is repaired whatever else is out. It may be back a moment later, so permits by
    themselves still have to respect the budget: all that no permit is held for counts as in service.
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
    """Take those of the waiting agents out of service that may go now.

    No permits are needed: only one release of agents is under way at a time, so its units are all the agents that are
    out deliberately.

    Args:
        ledger: The ledger to change.
        plan_id: The plan.
        agent: The agent that believes to lead the plan.
        term: The term that it believes to lead in.
        targets: The agents to take out.
        voters: The agents that vote on the ledger.
        silent_agents: The agents that the leader hears nothing of.
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
        out = [other.target for other in plan.units if other.stage in ("out", "trial")]
        if refusal := agent_removal_refusal(voters, out, silent_agents, target):
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

    A limiter or an agent comes from `out`. A server comes from `waiting`: it gets here only when its drain is rolled
    back, and is not taken out again for that.
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
    """Finish what was on trial, and the servers that are out with no open requests left."""
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
        return ["not all of it is done"]
    return with_plan(ledger, msgspec.structs.replace(plan, state="over"))


def _plan_led_by(ledger: Ledger, plan_id: str, agent: str, term: int) -> Plan | list[str]:
    """Return the plan if `agent` leads it in `term`, else why not."""
    plan = ledger.find_plan(plan_id)
    if plan is None or plan.state == "over":
        return [PLAN_OVER]
    if (plan.leader, plan.term) != (agent, term):
        return [f"{plan.leader} leads in term {plan.term}"]
    return plan


def _running_plan_led_by(ledger: Ledger, plan_id: str, agent: str, term: int) -> Plan | list[str]:
    """Return the plan if it is running and `agent` leads it in `term`, else why not."""
    plan = _plan_led_by(ledger, plan_id, agent, term)
    if isinstance(plan, Plan) and plan.state != "running":
        return [f"the plan is {plan.state}"]
    return plan
