"""Plans under leaders of any term, operators and failures, in any order."""

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
    """Leaders of current and outdated terms, operators and failing limiters, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = accepted(plan_transitions.begin_plan(Ledger(), release_plan()))
        self.believes: dict[str, int] = {}  # which term each agent thinks that it leads in
        self.down: set[str] = set()
        self.before = self.ledger

    def step(self, made: plan_transitions.TransitionResult) -> None:
        if isinstance(made, Ledger):
            assert decode_ledger(encode_ledger(made)) == made
            self.before, self.ledger = self.ledger, made

    @property
    def id(self) -> str:
        return latest_plan(self.ledger).id

    def inventory(self) -> Inventory:
        return Inventory(
            (),
            tuple(item._replace(out_reason="crashed" if item.name in self.down else "") for item in INVENTORY.limiters),
        )

    @rule(who=st.sampled_from(["a0", "a1", "a2"]), late=st.booleans())
    def leads(self, who: str, late: bool) -> None:
        term = latest_plan(self.ledger).term
        made = plan_transitions.take_lead(self.ledger, self.id, who, term - late)
        if late and term and isinstance(made, Ledger):
            assert made is self.ledger and latest_plan(made).leader == who
        self.step(made)
        if isinstance(made, Ledger) and not late:
            self.believes[who] = term + 1

    @precondition(lambda self: self.believes)
    @rule(data=st.data())
    def sends(self, data: st.DataObject) -> None:
        who = data.draw(st.sampled_from(sorted(self.believes)))
        wave = latest_plan(self.ledger).current_wave()
        names = data.draw(st.lists(st.sampled_from(NAMES), min_size=1, unique=True))
        names = [n for n in names if (unit := latest_plan(self.ledger).find_unit(n)) and unit.wave == wave]
        made = plan_transitions.transition_waiting_to_out(
            self.ledger, self.id, who, self.believes[who], names, BUDGET, self.inventory(), 0, 0.0
        )
        if isinstance(made, Ledger):
            assert latest_plan(self.ledger).leader == who and latest_plan(self.ledger).state == "running"
        self.step(made)

    @precondition(lambda self: self.believes)
    @rule(data=st.data(), name=st.sampled_from(NAMES))
    def goes_on(self, data: st.DataObject, name: str) -> None:
        who = data.draw(st.sampled_from(sorted(self.believes)))
        term = self.believes[who]
        unit = latest_plan(self.ledger).find_unit(name)
        assert unit is not None
        made: plan_transitions.TransitionResult = ["nothing"]
        if unit.stage == "out":
            made = plan_transitions.transition_to_trial(self.ledger, self.id, who, term, name, 0)
        elif unit.stage == "trial":
            made = plan_transitions.transition_to_done(self.ledger, self.id, who, term, [name])
            # it is known to be back everywhere
            key = ("limiter", name)
            if isinstance(made, Ledger) and made.find_permit(key) is not None:
                made = msgspec.structs.replace(
                    made, version=made.version + 1, permits=tuple(p for p in made.permits if p.key != key)
                )
        self.step(made)
        self.step(plan_transitions.finish_plan(self.ledger, self.id, who, term))

    @rule(name=st.sampled_from(NAMES), up=st.booleans())
    def fails(self, name: str, up: bool) -> None:
        (self.down.discard if up else self.down.add)(name)

    @rule(word=st.sampled_from(["halt", "back", "go-on", "late go-on"]))
    def operator(self, word: str) -> None:
        plan = latest_plan(self.ledger)
        match word:
            case "halt":
                self.step(plan_steering.halt_plan(self.ledger, self.id, "halt of an"))
            case "back":
                self.step(plan_steering.roll_back_plan(self.ledger, self.id, "back, said an"))
            case "go-on":
                self.step(plan_steering.resume_plan(self.ledger, self.id, plan.revision, "an"))
            case _ if plan.state == "halted":
                assert isinstance(plan_steering.resume_plan(self.ledger, self.id, plan.revision - 1, "an"), list)

    @invariant()
    def only_what_is_agreed_is_out(self) -> None:
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
    def nothing_goes_back(self) -> None:
        then, now = latest_plan(self.before), latest_plan(self.ledger)
        assert now.term >= then.term and now.revision >= then.revision
        assert self.ledger.version >= self.before.version and self.ledger.generation >= self.before.generation


TestPlanMachine = PlanMachine.TestCase


TestPlanMachine.settings = settings(max_examples=60, stateful_step_count=40)


def test_a_second_release_is_refused_and_a_repeated_begin_changes_nothing() -> None:
    ledger = accepted(plan_transitions.begin_plan(Ledger(), release_plan()))
    assert plan_transitions.begin_plan(ledger, release_plan()) is ledger
    refused = plan_transitions.begin_plan(ledger, release_plan("q" * 32))
    assert isinstance(refused, list) and "is running: go on with it, or take it back first" in refused[0]
    boxes = plans.new_drain_plan("d" * 32, [["s-0"], ["s-1"]], "an", "", 0.0, POLICY)
    both = accepted(plan_transitions.begin_plan(ledger, boxes))
    assert isinstance(
        plan_transitions.begin_plan(both, plans.new_drain_plan("e" * 32, [["s-1"]], "binh", "", 0.0, POLICY)), list
    )


def test_a_resume_that_crosses_a_halt_is_refused_and_a_second_roll_back_changes_nothing() -> None:
    ledger = accepted(
        plan_transitions.take_lead(accepted(plan_transitions.begin_plan(Ledger(), release_plan())), "p" * 32, "a0", 0)
    )
    halted = accepted(plan_steering.halt_plan(ledger, "p" * 32, "halt of an"))
    again = accepted(
        plan_steering.halt_plan(
            accepted(plan_steering.resume_plan(halted, "p" * 32, 1, "an")), "p" * 32, "halt of binh"
        )
    )
    assert plan_steering.resume_plan(again, "p" * 32, 1, "an") == ["it was halted again since you looked: halt of binh"]
    back = accepted(plan_steering.roll_back_plan(again, "p" * 32, "back, said an"))
    assert plan_steering.roll_back_plan(back, "p" * 32, "back, said binh") == [plan_transitions.ALREADY_DONE]


def test_giving_up_an_agent_ends_its_permits_and_its_units() -> None:
    ledger = accepted(
        plan_transitions.take_lead(accepted(plan_transitions.begin_plan(Ledger(), release_plan())), "p" * 32, "a0", 0)
    )
    ledger = accepted(
        plan_transitions.transition_waiting_to_out(ledger, "p" * 32, "a0", 1, ["n0"], BUDGET, INVENTORY, 0, 0.0)
    )
    gone = accepted(plan_steering.give_up_agent(ledger, "a1", [("limiter", "n0")], "an"))
    unit = latest_plan(gone).find_unit("n0")
    assert not gone.permits and unit is not None and unit.stage == "done" and dict(gone.given_up) == {"a1": "an"}
    assert accepted(plan_steering.readmit_agent(gone, "a1")).given_up == ()


def test_waves_begin_with_one_target_and_are_spread_over_the_zones() -> None:
    floors = [(f"n{n}", f"floor-{n // 10}") for n in range(30)]
    waves = waves_over_zones(floors)
    assert [len(wave) for wave in waves] == [1, 3, 7, 7, 7, 5]
    assert sorted(name for wave in waves for name in wave) == sorted(name for name, _ in floors)
    where = dict(floors)
    for wave in waves[1:]:
        counts = [sum(where[name] == floor for name in wave) for floor in set(where.values())]
        assert max(counts) - min(counts) <= 1
    assert waves_over_zones([("n0", "")]) == [["n0"]] and waves_over_zones([]) == []
