"""Random sequences of plan transitions by leaders of any term, operators and failures; single transitions; waves."""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from plan_fixtures import BUDGET, INVENTORY, NAMES, POLICY, accepted, latest_plan, release_plan

from elderlock.rollout import plan_steering, plan_transitions, plans
from elderlock.rollout.disruption_budget import Inventory
from elderlock.rollout.permit_ledger import Ledger, decode_ledger, encode_ledger
from elderlock.rollout.plans import waves_over_zones


class PlanMachine(RuleBasedStateMachine):
    """Transitions by leaders of current and outdated terms, by operators and by failing limiters, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = accepted(plan_transitions.begin_plan(Ledger(), release_plan()))
        self.believed_terms: dict[str, int] = {}  # the term in which each agent believes that it leads
        self.crashed: set[str] = set()
        self.previous_ledger = self.ledger

    def apply(self, result: plan_transitions.TransitionResult) -> None:
        if isinstance(result, Ledger):
            assert decode_ledger(encode_ledger(result)) == result
            self.previous_ledger, self.ledger = self.ledger, result

    @property
    def plan_id(self) -> str:
        return latest_plan(self.ledger).id

    def inventory(self) -> Inventory:
        return Inventory(
            (),
            tuple(
                item._replace(out_reason="crashed" if item.name in self.crashed else "") for item in INVENTORY.limiters
            ),
        )

    @rule(agent=st.sampled_from(["a0", "a1", "a2"]), is_outdated=st.booleans())
    def take_lead(self, agent: str, is_outdated: bool) -> None:
        term = latest_plan(self.ledger).term
        result = plan_transitions.take_lead(self.ledger, self.plan_id, agent, term - is_outdated)
        if is_outdated and term and isinstance(result, Ledger):
            assert result is self.ledger and latest_plan(result).leader == agent
        self.apply(result)
        if isinstance(result, Ledger) and not is_outdated:
            self.believed_terms[agent] = term + 1

    @precondition(lambda self: self.believed_terms)
    @rule(data=st.data())
    def take_out(self, data: st.DataObject) -> None:
        agent = data.draw(st.sampled_from(sorted(self.believed_terms)))
        wave = latest_plan(self.ledger).current_wave()
        names = data.draw(st.lists(st.sampled_from(NAMES), min_size=1, unique=True))
        names = [name for name in names if (unit := latest_plan(self.ledger).find_unit(name)) and unit.wave == wave]
        result = plan_transitions.transition_waiting_to_out(
            self.ledger, self.plan_id, agent, self.believed_terms[agent], names, BUDGET, self.inventory(), 0, 0.0
        )
        if isinstance(result, Ledger):
            assert latest_plan(self.ledger).leader == agent and latest_plan(self.ledger).state == "running"
        self.apply(result)

    @precondition(lambda self: self.believed_terms)
    @rule(data=st.data(), name=st.sampled_from(NAMES))
    def advance_unit(self, data: st.DataObject, name: str) -> None:
        agent = data.draw(st.sampled_from(sorted(self.believed_terms)))
        term = self.believed_terms[agent]
        unit = latest_plan(self.ledger).find_unit(name)
        assert unit is not None
        result: plan_transitions.TransitionResult = ["nothing"]
        if unit.stage == "out":
            result = plan_transitions.transition_to_trial(self.ledger, self.plan_id, agent, term, name, 0)
        elif unit.stage == "trial":
            result = plan_transitions.transition_to_done(self.ledger, self.plan_id, agent, term, [name])
            # every limiter holds the record that undrains the target
            key = ("limiter", name)
            if isinstance(result, Ledger) and result.find_permit(key) is not None:
                result = msgspec.structs.replace(
                    result,
                    version=result.version + 1,
                    permits=tuple(permit for permit in result.permits if permit.key != key),
                )
        self.apply(result)
        self.apply(plan_transitions.finish_plan(self.ledger, self.plan_id, agent, term))

    @rule(name=st.sampled_from(NAMES), is_up=st.booleans())
    def crash_or_restart(self, name: str, is_up: bool) -> None:
        (self.crashed.discard if is_up else self.crashed.add)(name)

    @rule(command=st.sampled_from(["halt", "back", "go-on", "outdated go-on"]))
    def run_operator_command(self, command: str) -> None:
        plan = latest_plan(self.ledger)
        match command:
            case "halt":
                self.apply(plan_steering.halt_plan(self.ledger, self.plan_id, "halt of an"))
            case "back":
                self.apply(plan_steering.roll_back_plan(self.ledger, self.plan_id, "back, said an"))
            case "go-on":
                self.apply(plan_steering.resume_plan(self.ledger, self.plan_id, plan.revision, "an"))
            case _ if plan.state == "halted":
                assert isinstance(plan_steering.resume_plan(self.ledger, self.plan_id, plan.revision - 1, "an"), list)

    @invariant()
    def only_permitted_targets_are_out(self) -> None:
        plan = latest_plan(self.ledger)
        assert len(self.ledger.permits) <= 3, "more permits than the budget allows"
        out = {unit.target for unit in plan.units if unit.stage == "out"}
        assert out <= {permit.target for permit in self.ledger.permits}
        versions = dict(self.ledger.limiter_versions)
        for unit in plan.units:
            if unit.stage in ("out", "trial") or (unit.stage == "done" and unit.generation):
                assert versions[unit.target] == plan.target_version(unit)
        if plan.direction == "to":
            assert all(unit.stage == "waiting" for unit in plan.units if unit.wave > plan.current_wave())
        if plan.state == "over" and plan.direction == "back":
            assert not any(versions.values())

    @invariant()
    def counters_never_decrease(self) -> None:
        previous, current = latest_plan(self.previous_ledger), latest_plan(self.ledger)
        assert current.term >= previous.term and current.revision >= previous.revision
        assert self.ledger.version >= self.previous_ledger.version
        assert self.ledger.generation >= self.previous_ledger.generation


TestPlanMachine = PlanMachine.TestCase


TestPlanMachine.settings = settings(max_examples=60, stateful_step_count=40)


def test_a_second_release_is_refused_and_a_repeated_begin_changes_nothing() -> None:
    ledger = accepted(plan_transitions.begin_plan(Ledger(), release_plan()))
    assert plan_transitions.begin_plan(ledger, release_plan()) is ledger
    refused = plan_transitions.begin_plan(ledger, release_plan("q" * 32))
    assert isinstance(refused, list) and "is running: go on with it, or take it back first" in refused[0]
    drain = plans.new_drain_plan("d" * 32, [["s-0"], ["s-1"]], "an", "", 0.0, POLICY)
    with_drain = accepted(plan_transitions.begin_plan(ledger, drain))
    assert isinstance(
        plan_transitions.begin_plan(with_drain, plans.new_drain_plan("e" * 32, [["s-1"]], "binh", "", 0.0, POLICY)),
        list,
    )


def test_a_resume_that_crosses_a_halt_is_refused_and_a_second_roll_back_changes_nothing() -> None:
    ledger = accepted(
        plan_transitions.take_lead(accepted(plan_transitions.begin_plan(Ledger(), release_plan())), "p" * 32, "a0", 0)
    )
    halted = accepted(plan_steering.halt_plan(ledger, "p" * 32, "halt of an"))
    halted_again = accepted(
        plan_steering.halt_plan(
            accepted(plan_steering.resume_plan(halted, "p" * 32, 1, "an")), "p" * 32, "halt of binh"
        )
    )
    assert plan_steering.resume_plan(halted_again, "p" * 32, 1, "an") == [
        "it was halted again since you looked: halt of binh"
    ]
    rolled_back = accepted(plan_steering.roll_back_plan(halted_again, "p" * 32, "back, said an"))
    assert plan_steering.roll_back_plan(rolled_back, "p" * 32, "back, said binh") == [plan_transitions.ALREADY_DONE]


def test_giving_up_an_agent_ends_its_permits_and_its_units() -> None:
    ledger = accepted(
        plan_transitions.take_lead(accepted(plan_transitions.begin_plan(Ledger(), release_plan())), "p" * 32, "a0", 0)
    )
    ledger = accepted(
        plan_transitions.transition_waiting_to_out(ledger, "p" * 32, "a0", 1, ["n0"], BUDGET, INVENTORY, 0, 0.0)
    )
    given_up = accepted(plan_steering.give_up_agent(ledger, "a1", [("limiter", "n0")], "an"))
    unit = latest_plan(given_up).find_unit("n0")
    assert (
        not given_up.permits and unit is not None and unit.stage == "done" and dict(given_up.given_up) == {"a1": "an"}
    )
    assert accepted(plan_steering.readmit_agent(given_up, "a1")).given_up == ()


def test_waves_begin_with_one_target_and_are_spread_over_the_zones() -> None:
    zones = [(f"n{n}", f"floor-{n // 10}") for n in range(30)]
    waves = waves_over_zones(zones)
    assert [len(wave) for wave in waves] == [1, 3, 7, 7, 7, 5]
    assert sorted(name for wave in waves for name in wave) == sorted(name for name, _ in zones)
    zone_by_name = dict(zones)
    for wave in waves[1:]:
        counts = [sum(zone_by_name[name] == zone for name in wave) for zone in set(zone_by_name.values())]
        assert max(counts) - min(counts) <= 1
    assert waves_over_zones([("n0", "")]) == [["n0"]] and waves_over_zones([]) == []
