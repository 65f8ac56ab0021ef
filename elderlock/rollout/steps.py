"""The steps of a plan, each a function from one ledger to the next, or to why not. No I/O.

Whoever leads makes its steps under the term that the ledger gave it: a step of an older term is refused, whoever
believes to lead. An operator's words need no term. Each step knows its own work again when it meets it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from elderlock.control.records import Key, Kind
from elderlock.rollout.basing import may_go
from elderlock.rollout.budget import Budget, Inventory
from elderlock.rollout.ledger import Ledger, above, grant
from elderlock.rollout.plans import MOST_OVER, MOST_UNITS, Plan, Unit, with_unit

Step = Ledger | list[str]
DONE_ALREADY = "it is so already"


def kind_of(plan: Plan) -> Kind:
    return "box" if plan.kind == "drain" else "limiter"


def _with(ledger: Ledger, plan: Plan) -> Ledger:
    plans = tuple(plan if each.id == plan.id else each for each in ledger.plans)
    return msgspec.structs.replace(ledger, version=ledger.version + 1, plans=plans)


def begin(ledger: Ledger, plan: Plan) -> Step:
    """A plan over another that is not over, of the same kind, is refused: two releases would take each other's limiters
    to and fro, and two drains of one box would each count on the other's permit."""
    if ledger.plan(plan.id) is not None:
        return ledger
    if not plan.units:
        return ["it takes nothing"]
    if len(plan.units) > MOST_UNITS:
        return [f"it takes {len(plan.units)}, {MOST_UNITS} are the most"]
    mine = {unit.target for unit in plan.units}
    for other in ledger.plans:
        # limiters and agents are not released together: one whose agent is away is silent to the release of limiters
        if other.state == "over" or "drain" in (other.kind, plan.kind) and other.kind != plan.kind:
            continue
        both = sorted(mine & {unit.target for unit in other.units})
        if plan.kind != "drain" or both:
            what = f"{other.title()} {other.id[:8]} of {other.by}"
            return [f"{what} is {other.state}: go on with it, or take it back first"]
    over = [each for each in ledger.plans if each.state == "over"]
    forgotten = {each.id for each in over[: max(0, len(over) + 1 - MOST_OVER)]}
    kept = tuple(each for each in ledger.plans if each.id not in forgotten)
    return msgspec.structs.replace(ledger, version=ledger.version + 1, plans=(*kept, plan))


def lead(ledger: Ledger, id: str, who: str, after: int) -> Step:
    """`who` leads from now on, if the term is still `after`."""
    plan = ledger.plan(id)
    if plan is None or plan.state == "over":
        return ["there is nothing to lead"]
    if (plan.leader, plan.term) == (who, after + 1):
        return ledger
    if plan.term != after:
        return [f"{plan.leader} leads in term {plan.term}"]
    return _with(ledger, msgspec.structs.replace(plan, leader=who, term=after + 1))


def _led(ledger: Ledger, id: str, who: str, term: int) -> Plan | list[str]:
    plan = ledger.plan(id)
    if plan is None or plan.state == "over":
        return ["the plan is over"]
    if (plan.leader, plan.term) != (who, term):
        return [f"{plan.leader} leads in term {plan.term}"]
    return plan


def beat(ledger: Ledger, id: str, who: str, term: int) -> Step:
    plan = _led(ledger, id, who, term)
    if isinstance(plan, list):
        return plan
    return _with(ledger, msgspec.structs.replace(plan, beat=plan.beat + 1))


def send(
    ledger: Ledger,
    id: str,
    who: str,
    term: int,
    targets: Sequence[str],
    budget: Budget,
    inventory: Inventory,
    generation: int,
    at: float,
) -> Step:
    """Takes out what waits, under permits: all of these or none."""
    plan = _led(ledger, id, who, term)
    if isinstance(plan, list):
        return plan
    if plan.state != "running":
        return [f"the plan is {plan.state}"]
    new = ledger
    for target in targets:
        unit = plan.unit(target)
        if unit is None or unit.stage != "waiting":
            continue
        key: Key = (kind_of(plan), target)
        held = new.get(key)
        if held is not None and held.origin.startswith(f"{plan.id}/"):
            # on its way when the plan turned: what it had is given up for its own new permit
            new = msgspec.structs.replace(new, permits=tuple(p for p in new.permits if p is not held))
        # one that is out against our will is mended whatever else is out so; but it may be back a moment later, so by
        # our own doing no more go at once than the budget allows
        mends = any(item.name == target and item.out for item in inventory.of(kind_of(plan)))
        known = _nothing_out(inventory) if mends else inventory
        made = grant(
            new, [(kind_of(plan), target)], budget, known, plan.origin(unit), plan.by, _reason(plan), generation, at
        )
        if isinstance(made, list):
            return made
        permit = made.get(key)
        assert permit is not None
        plan = with_unit(plan, msgspec.structs.replace(unit, stage="out", generation=permit.generation))
        new = made
    if new is ledger:
        return [DONE_ALREADY]
    if plan.kind == "release":
        versions = dict(new.versions)
        versions.update({unit.target: plan.toward(unit) for unit in plan.units if unit.target in targets})
        new = msgspec.structs.replace(new, versions=tuple(sorted(versions.items())))
    return _with(new, plan)


def send_agents(
    ledger: Ledger,
    id: str,
    who: str,
    term: int,
    targets: Sequence[str],
    voters: Sequence[str],
    silent: Sequence[str],
    generation: int,
) -> Step:
    """Takes out those of the agents that may go now. No permit is needed beside the plan: one plan of this kind is
    under way at a time, so its units are all that is out of agents by our doing. `silent`: of whom the asker hears
    nothing."""
    plan = _led(ledger, id, who, term)
    if isinstance(plan, list):
        return plan
    if plan.state != "running":
        return [f"the plan is {plan.state}"]
    new, why = ledger, ""
    for target in targets:
        unit = plan.unit(target)
        if unit is None or unit.stage != "waiting":
            continue
        out = [each.target for each in plan.units if each.stage in ("out", "trial")]
        if refused := may_go(voters, out, silent, target):
            why = refused
            continue
        new = above(new, generation)
        plan = with_unit(plan, msgspec.structs.replace(unit, stage="out", generation=new.generation))
    if new is ledger:
        return [why or DONE_ALREADY]
    return _with(new, plan)


def _nothing_out(inventory: Inventory) -> Inventory:
    """As if all that no permit is out for served."""
    return Inventory(
        tuple(item._replace(out="") for item in inventory.boxes),
        tuple(item._replace(out="") for item in inventory.limiters),
    )


def _reason(plan: Plan) -> str:
    return f"{plan.title()} {plan.id[:8]}" + (f": {plan.reason}" if plan.reason else "")


def serve_again(ledger: Ledger, id: str, who: str, term: int, target: str, generation: int) -> Step:
    """From out to trial: a newer generation for the record that undrains it. A box on the way back is never out
    again."""
    plan = _led(ledger, id, who, term)
    if isinstance(plan, list):
        return plan
    unit = plan.unit(target)
    if unit is None or unit.stage != ("waiting" if plan.kind == "drain" else "out"):
        return [DONE_ALREADY]
    new = above(ledger, generation)
    return _with(new, with_unit(plan, msgspec.structs.replace(unit, stage="trial", generation=new.generation)))


def pass_on(ledger: Ledger, id: str, who: str, term: int, targets: Iterable[str]) -> Step:
    """What was on trial, or a box that is out with nothing left at it, is done."""
    plan = _led(ledger, id, who, term)
    if isinstance(plan, list):
        return plan
    before = plan
    for target in targets:
        unit = plan.unit(target)
        if unit is not None and unit.stage in ("trial", "out"):
            plan = with_unit(plan, msgspec.structs.replace(unit, stage="done"))
    return _with(ledger, plan) if plan is not before else [DONE_ALREADY]


def close(ledger: Ledger, id: str, who: str, term: int) -> Step:
    plan = _led(ledger, id, who, term)
    if isinstance(plan, list):
        return plan
    if any(unit.stage != "done" for unit in plan.units):
        return ["not all of it is done"]
    return _with(ledger, msgspec.structs.replace(plan, state="over"))


def halt(ledger: Ledger, id: str, why: str, turn: int | None = None, back: bool = False) -> Step:
    """An operator's, or the leader's own with the `turn` that it saw. One that is halted already stays as it is, and
    the reason of the first stands."""
    plan = ledger.plan(id)
    if plan is None or plan.state == "over":
        return ["the plan is over"]
    if plan.state == "halted" or (turn is not None and plan.turn != turn):
        return [DONE_ALREADY]
    halted = msgspec.structs.replace(plan, state="halted", why=why, turn=plan.turn + 1)
    if back and plan.aim == "to":
        halted = _turned(halted, f"taken back by itself: {why}")
    return _with(ledger, halted)


def go_on(ledger: Ledger, id: str, turn: int, by: str) -> Step:
    """Only from the halt that the operator saw: one that crosses another halt is older than that."""
    plan = ledger.plan(id)
    if plan is None or plan.state == "over":
        return ["the plan is over"]
    if plan.state == "running":
        return [DONE_ALREADY] if plan.turn == turn + 1 else [f"it runs, by {plan.why or plan.by}"]
    if plan.turn != turn:
        return [f"it was halted again since you looked: {plan.why}"]
    why = f"go-on of {by}"
    ledger, plan = _tried_again(ledger, plan)
    return _with(ledger, msgspec.structs.replace(plan, state="running", why=why, turn=plan.turn + 1))


def _tried_again(ledger: Ledger, plan: Plan) -> tuple[Ledger, Plan]:
    """Agents that are out stay so under generations of their own: one that had failed would be told as failed under the
    old one for ever, and each go-on would halt at once."""
    for unit in plan.units if plan.kind == "agents" else ():
        if unit.stage == "out":
            ledger = above(ledger, 0)
            plan = with_unit(plan, msgspec.structs.replace(unit, generation=ledger.generation))
    return ledger, plan


def turn_back(ledger: Ledger, id: str, why: str) -> Step:
    """All that was touched goes back to what it was, the last wave first; one that never went stays. Back during back
    changes nothing, but that a halted way back goes on."""
    plan = ledger.plan(id)
    if plan is None or (plan.state == "over" and plan.aim == "back"):
        return ["the plan is over"]
    if plan.aim == "back":
        if plan.state == "running":
            return [DONE_ALREADY]
        ledger, plan = _tried_again(ledger, plan)
        return _with(ledger, msgspec.structs.replace(plan, state="running", why=why, turn=plan.turn + 1))
    if plan.state == "over" and any(other.state != "over" and other.kind == plan.kind for other in ledger.plans):
        return ["another plan of its kind is under way since"]
    return _with(ledger, _turned(msgspec.structs.replace(plan, turn=plan.turn + 1), why))


def _turned(plan: Plan, why: str) -> Plan:
    """The waves are counted anew, the last first; what waited is done. What does not serve goes back as well."""
    last = max((unit.wave for unit in plan.units if unit.stage != "waiting"), default=0)
    units = tuple(_turned_unit(unit, last) for unit in plan.units)
    return msgspec.structs.replace(plan, units=units, aim="back", state="running", why=why)


def _turned_unit(unit: Unit, last: int) -> Unit:
    if unit.stage == "waiting":
        return msgspec.structs.replace(unit, aim="back", stage="done", wave=0)
    return msgspec.structs.replace(unit, aim="back", stage="waiting", wave=last - unit.wave)


def give_up(ledger: Ledger, agent: str, targets: Iterable[Key], by: str) -> Step:
    """An operator's word that an agent is gone for good, with all its limiters: their permits end, and what a plan
    wanted of them is over. The agent's name stands in the ledger from then on: one that comes back all the same
    learns that it was given up and acts on nothing till an operator takes it in again."""
    gone = set(targets)
    permits = tuple(permit for permit in ledger.permits if permit.key not in gone)
    plans = tuple(
        plan
        if plan.state == "over" or plan.kind == "drain"
        else msgspec.structs.replace(
            plan,
            units=tuple(
                msgspec.structs.replace(unit, stage="done")
                if (unit.target == agent if plan.kind == "agents" else ("limiter", unit.target) in gone)
                else unit
                for unit in plan.units
            ),
        )
        for plan in ledger.plans
    )
    given_up = dict(ledger.given_up) | {agent: by}
    return msgspec.structs.replace(
        ledger, version=ledger.version + 1, permits=permits, plans=plans, given_up=tuple(sorted(given_up.items()))
    )


def take_in(ledger: Ledger, agent: str) -> Step:
    if agent not in dict(ledger.given_up):
        return [f"{agent} was not given up"]
    left = tuple(each for each in ledger.given_up if each[0] != agent)
    return msgspec.structs.replace(ledger, version=ledger.version + 1, given_up=left)
