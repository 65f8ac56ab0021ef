"""Plans without I/O: their steps under terms and turns, waves, verdicts, what a leader and an agent in charge do next."""

from __future__ import annotations

import math
import random
from pathlib import Path

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from elderlock.fleet.config import AgentFile, AgentPart, FileError, LimiterPart, VersionsPart
from elderlock.fleet.supervision.versions import Versions
from elderlock.rollout import plans, steps
from elderlock.rollout.budget import Budget, Inventory, Item, Limits
from elderlock.rollout.carrying import Carrier, Look
from elderlock.rollout.leading import Leader, Move, Series, Told
from elderlock.rollout.ledger import Ledger, decode, encode
from elderlock.rollout.plans import Plan, Terms, waves_over_floors
from elderlock.rollout.verdict import Figures, Window, judge

NAMES = [f"n{n}" for n in range(8)]
BUDGET = Budget(limiters=Limits(share=0.4), set_size=1, set_least=0)  # three of eight
ALL = Inventory((), tuple(Item(name, f"floor-{n % 2}") for n, name in enumerate(NAMES)))
WAVES = [["n0"], ["n1", "n2"], ["n3", "n4", "n5", "n6", "n7"]]
TERMS = Terms(settle=2.0, bake=4.0, bake_most=20.0, pause=1.0, patience=10.0)


def a_plan(id: str = "p" * 32) -> Plan:
    return plans.release(id, "v2", WAVES, {}, "an", "", 0.0, TERMS)


def taken(step: steps.Step) -> Ledger:
    assert isinstance(step, Ledger), step
    return step


def held(ledger: Ledger) -> Plan:
    return ledger.plans[-1]


class Steps(RuleBasedStateMachine):
    """Leaders of any term, right or wrong, operators and limiters that fail, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = taken(steps.begin(Ledger(), a_plan()))
        self.believes: dict[str, int] = {}  # which term each agent thinks that it leads in
        self.down: set[str] = set()
        self.before = self.ledger

    def step(self, made: steps.Step) -> None:
        if isinstance(made, Ledger):
            assert decode(encode(made)) == made
            self.before, self.ledger = self.ledger, made

    @property
    def id(self) -> str:
        return held(self.ledger).id

    def inventory(self) -> Inventory:
        return Inventory(
            (), tuple(item._replace(out="crashed" if item.name in self.down else "") for item in ALL.limiters)
        )

    @rule(who=st.sampled_from(["a0", "a1", "a2"]), late=st.booleans())
    def leads(self, who: str, late: bool) -> None:
        term = held(self.ledger).term
        made = steps.lead(self.ledger, self.id, who, term - late)
        if late and term and isinstance(made, Ledger):
            assert made is self.ledger and held(made).leader == who
        self.step(made)
        if isinstance(made, Ledger) and not late:
            self.believes[who] = term + 1

    @precondition(lambda self: self.believes)
    @rule(data=st.data())
    def sends(self, data: st.DataObject) -> None:
        who = data.draw(st.sampled_from(sorted(self.believes)))
        wave = held(self.ledger).wave()
        names = data.draw(st.lists(st.sampled_from(NAMES), min_size=1, unique=True))
        names = [n for n in names if (unit := held(self.ledger).unit(n)) and unit.wave == wave]
        made = steps.send(self.ledger, self.id, who, self.believes[who], names, BUDGET, self.inventory(), 0, 0.0)
        if isinstance(made, Ledger):
            assert held(self.ledger).leader == who and held(self.ledger).state == "running"
        self.step(made)

    @precondition(lambda self: self.believes)
    @rule(data=st.data(), name=st.sampled_from(NAMES))
    def goes_on(self, data: st.DataObject, name: str) -> None:
        who = data.draw(st.sampled_from(sorted(self.believes)))
        term = self.believes[who]
        unit = held(self.ledger).unit(name)
        assert unit is not None
        made: steps.Step = ["nothing"]
        if unit.stage == "out":
            made = steps.serve_again(self.ledger, self.id, who, term, name, 0)
        elif unit.stage == "trial":
            made = steps.pass_on(self.ledger, self.id, who, term, [name])
            # it is known to be back everywhere
            key = ("limiter", name)
            if isinstance(made, Ledger) and made.get(key) is not None:
                made = msgspec.structs.replace(
                    made, version=made.version + 1, permits=tuple(p for p in made.permits if p.key != key)
                )
        self.step(made)
        self.step(steps.close(self.ledger, self.id, who, term))

    @rule(name=st.sampled_from(NAMES), up=st.booleans())
    def fails(self, name: str, up: bool) -> None:
        (self.down.discard if up else self.down.add)(name)

    @rule(word=st.sampled_from(["halt", "back", "go-on", "late go-on"]))
    def operator(self, word: str) -> None:
        plan = held(self.ledger)
        match word:
            case "halt":
                self.step(steps.halt(self.ledger, self.id, "halt of an"))
            case "back":
                self.step(steps.turn_back(self.ledger, self.id, "back, said an"))
            case "go-on":
                self.step(steps.go_on(self.ledger, self.id, plan.turn, "an"))
            case _ if plan.state == "halted":
                assert isinstance(steps.go_on(self.ledger, self.id, plan.turn - 1, "an"), list)

    @invariant()
    def only_what_is_agreed_is_out(self) -> None:
        plan = held(self.ledger)
        assert len(self.ledger.permits) <= 3, "more permits than the budget allows"
        out = {unit.target for unit in plan.units if unit.stage == "out"}
        assert out <= {permit.target for permit in self.ledger.permits}
        versions = dict(self.ledger.versions)
        for unit in plan.units:
            if unit.stage in ("out", "trial") or (unit.stage == "done" and unit.generation):
                assert versions[unit.target] == plan.toward(unit)
        if plan.aim == "to":
            assert all(unit.stage == "waiting" for unit in plan.units if unit.wave > plan.wave())
        if plan.state == "over" and plan.aim == "back":
            assert not any(versions.values())

    @invariant()
    def nothing_goes_back(self) -> None:
        then, now = held(self.before), held(self.ledger)
        assert now.term >= then.term and now.turn >= then.turn
        assert self.ledger.version >= self.before.version and self.ledger.generation >= self.before.generation


TestSteps = Steps.TestCase
TestSteps.settings = settings(max_examples=60, stateful_step_count=40)


def test_a_release_over_a_release_waits_for_its_end_and_the_same_one_is_found_again() -> None:
    ledger = taken(steps.begin(Ledger(), a_plan()))
    assert steps.begin(ledger, a_plan()) is ledger
    refused = steps.begin(ledger, a_plan("q" * 32))
    assert isinstance(refused, list) and "is running: go on with it, or take it back first" in refused[0]
    boxes = plans.drain("d" * 32, [["s-0"], ["s-1"]], "an", "", 0.0, TERMS)
    both = taken(steps.begin(ledger, boxes))
    assert isinstance(steps.begin(both, plans.drain("e" * 32, [["s-1"]], "binh", "", 0.0, TERMS)), list)


def test_halt_and_go_on_that_cross_end_in_a_halt_and_back_during_back_changes_nothing() -> None:
    ledger = taken(steps.lead(taken(steps.begin(Ledger(), a_plan())), "p" * 32, "a0", 0))
    halted = taken(steps.halt(ledger, "p" * 32, "halt of an"))
    again = taken(steps.halt(taken(steps.go_on(halted, "p" * 32, 1, "an")), "p" * 32, "halt of binh"))
    assert steps.go_on(again, "p" * 32, 1, "an") == ["it was halted again since you looked: halt of binh"]
    back = taken(steps.turn_back(again, "p" * 32, "back, said an"))
    assert steps.turn_back(back, "p" * 32, "back, said binh") == [steps.DONE_ALREADY]


def test_an_agent_that_is_gone_for_good_leaves_no_permit_and_a_plan_that_ends() -> None:
    ledger = taken(steps.lead(taken(steps.begin(Ledger(), a_plan())), "p" * 32, "a0", 0))
    ledger = taken(steps.send(ledger, "p" * 32, "a0", 1, ["n0"], BUDGET, ALL, 0, 0.0))
    gone = taken(steps.give_up(ledger, "a1", [("limiter", "n0")], "an"))
    unit = held(gone).unit("n0")
    assert not gone.permits and unit is not None and unit.stage == "done" and dict(gone.given_up) == {"a1": "an"}
    assert taken(steps.take_in(gone, "a1")).given_up == ()


def test_waves_begin_with_one_and_are_spread_over_the_floors() -> None:
    floors = [(f"n{n}", f"floor-{n // 10}") for n in range(30)]
    waves = waves_over_floors(floors)
    assert [len(wave) for wave in waves] == [1, 3, 7, 7, 7, 5]
    assert sorted(name for wave in waves for name in wave) == sorted(name for name, _ in floors)
    where = dict(floors)
    for wave in waves[1:]:
        counts = [sum(where[name] == floor for name in wave) for floor in set(where.values())]
        assert max(counts) - min(counts) <= 1
    assert waves_over_floors([("n0", "")]) == [["n0"]] and waves_over_floors([]) == []


# Verdicts


def figures(rng: random.Random, count: int, slower: float = 0.0, bad: float = 0.01, bias: float = 0.0) -> Figures:
    refused = sum(rng.random() < bad for _ in range(count))
    logs = [math.log(20.0 * (1.0 + slower)) + bias + rng.gauss(0.0, 0.9) for _ in range(count - refused)]
    return Figures(len(logs), refused, 0, sum(logs), sum(each * each for each in logs))


def windows(rng: random.Random, names: list[str], count: int, slower: float = 0.0, bad: float = 0.01) -> list[Window]:
    found = []
    for name in names:
        bias = rng.gauss(0.0, 0.05)
        after = figures(rng, count, slower, bad, bias)
        found.append(Window(name, after, after, figures(rng, 2 * count, bias=bias)))
    return found


def test_the_verdict_knows_its_noise() -> None:
    """Of a hundred good ones none is said to be bad at a look, of a hundred slow ones nearly all are at the end."""
    bad_of_good, bad_of_slow = 0, 0
    for seed in range(100):
        rng = random.Random(seed)
        old = windows(rng, NAMES[1:], 900)
        bad_of_good += judge(windows(rng, ["n0"], 900), old, last=False).word == "bad"
        bad_of_slow += judge(windows(rng, ["n0"], 900, slower=0.2), old, last=True, final=True).word == "bad"
    assert bad_of_good == 0 and bad_of_slow >= 90


def test_a_rush_that_all_meet_is_nobodys_fault_and_refusals_are_seen_at_once() -> None:
    rng = random.Random(3)
    rush = windows(rng, NAMES[1:], 900, slower=0.8, bad=0.2)
    assert judge(windows(rng, ["n0"], 900, slower=0.8, bad=0.2), rush, last=True).word != "bad"
    said = judge(windows(rng, ["n0"], 12, bad=1.0), windows(rng, NAMES[1:], 12), last=False)
    assert said.word == "bad" and "100% refused or failed" in said.text


def test_silence_is_bad_only_where_the_others_are_asked() -> None:
    rng = random.Random(4)
    nothing = [Window("n0", Figures(), Figures())]
    assert judge(nothing, windows(rng, NAMES[1:], 900), last=True).text == "n0 answered nothing, the others 900 each"
    assert judge(nothing, [Window("n1", Figures(), Figures())], last=True).word == "unclear"


# The leader


class Group:
    """What a leader is told, with a good ledger that takes all it says."""

    def __init__(self) -> None:
        self.ledger = taken(steps.lead(taken(steps.begin(Ledger(), a_plan())), "p" * 32, "a0", 0))
        self.told = {name: Told(name) for name in NAMES}
        self.series, self.now, self.rng = Series(), 0.0, random.Random(1)
        self.leader = Leader(0.0, self.series)
        self.counts = {name: Figures() for name in NAMES}
        self.moves: list[Move] = []

    @property
    def plan(self) -> Plan:
        return held(self.ledger)

    def pass_time(self, seconds: int, slower: dict[str, float] | None = None, leads: bool = True) -> None:
        for _ in range(seconds):
            self.now += 1000.0
            for name in NAMES:
                if self.told[name].serving:
                    self.counts[name] = self.counts[name].plus(figures(self.rng, 150, (slower or {}).get(name, 0.0)))
                self.series.heard(name, self.counts[name], self.now)
            while leads and (move := self.leader.step(self.plan, self.told, self.now)) is not None:
                self.moves.append(move)
                self.take(move)

    def take(self, move: Move) -> None:
        plan = self.plan
        match move.do:
            case "send":
                made = steps.send(self.ledger, plan.id, "a0", 1, move.targets, BUDGET, ALL, 0, 0.0)
                if isinstance(made, list):
                    return self.leader.refused(made, len(move.targets), self.now)
                self.ledger = made
                self.leader.sent()
                for name in move.targets:
                    unit = self.plan.unit(name)
                    assert unit is not None
                    self.told[name] = Told(name, unit.generation, "up", serving=False)
            case "serve":
                self.ledger = taken(steps.serve_again(self.ledger, plan.id, "a0", 1, move.targets[0], 0))
                unit = self.plan.unit(move.targets[0])
                assert unit is not None
                self.told[unit.target] = Told(unit.target, unit.generation, "serving")
                key = ("limiter", unit.target)
                left = tuple(permit for permit in self.ledger.permits if permit.key != key)
                self.ledger = msgspec.structs.replace(self.ledger, permits=left)
            case "pass":
                self.ledger = taken(steps.pass_on(self.ledger, plan.id, "a0", 1, move.targets))
            case "close":
                self.ledger = taken(steps.close(self.ledger, plan.id, "a0", 1))
            case "halt":
                self.ledger = taken(steps.halt(self.ledger, plan.id, move.why, plan.turn, plan.terms.auto_back))


def test_a_leader_takes_wave_after_wave_and_closes() -> None:
    group = Group()
    group.pass_time(20, leads=False)
    group.pass_time(200)
    assert group.plan.outcome() == "done", (group.plan, group.leader.waits)
    order = [name for move in group.moves if move.do == "send" for name in move.targets]
    assert order[0] == "n0" and set(order[1:3]) == {"n1", "n2"}


@pytest.mark.parametrize("what", ["failed", "crashed", "silent", "slow"])
def test_a_leader_halts_by_itself_in_the_first_wave(what: str) -> None:
    group = Group()
    group.pass_time(20, leads=False)
    group.pass_time(1)
    assert group.plan.units[0].stage == "trial"
    one = group.told["n0"]
    if what == "failed":
        group.told["n0"] = one._replace(stage="failed", why="it crashed as it started")
    elif what == "crashed":
        group.pass_time(1)
        group.told["n0"] = one._replace(restarts=1)
    elif what == "silent":
        group.told["n0"] = one._replace(age=11_000.0)
    group.pass_time(25, {"n0": 0.3} if what == "slow" else None)
    assert group.plan.state == "halted" and {m.targets for m in group.moves if m.do == "send"} == {("n0",)}
    words = {
        "failed": "crashed as it",
        "crashed": "crashed on v2",
        "silent": "too little is known",
        "slow": "slower by",
    }
    assert words[what] in group.plan.why


def test_a_budget_that_stays_short_halts_and_one_that_others_need_less_lets_it_go_on() -> None:
    group = Group()
    group.told["n0"] = Told("n0", drained="binh")
    group.pass_time(5)
    assert group.leader.waits == ("n0, drained by binh",) and not group.moves
    group.pass_time(10)
    assert group.plan.state == "halted" and group.plan.why == "the budget is short: n0, drained by binh"


# The agent in charge


def look(**changes: object) -> Look:
    return Look("", "running", False, 0, -1, True, 0)._replace(**changes)  # type: ignore[arg-type]


def test_an_agent_drains_waits_switches_and_brings_back() -> None:
    ledger = taken(steps.lead(taken(steps.begin(Ledger(), a_plan())), "p" * 32, "a0", 0))
    ledger = taken(steps.send(ledger, "p" * 32, "a0", 1, ["n0"], BUDGET, ALL, 0, 0.0))
    plan, unit = held(ledger), held(ledger).units[0]
    carrier = Carrier()
    assert carrier.step(plan, unit, look(), 0.0, halted=True) is None  # a halt that only it has heard of
    assert carrier.step(plan, unit, look(), 0.0, halted=False) == "drain"
    drained = look(drained=True, generation=unit.generation)
    assert (
        carrier.step(plan, unit, drained, 10.0, False) is None
        and carrier.said.why == "it has not said that it holds the drain"
    )
    assert carrier.step(plan, unit, drained._replace(open=2), 20.0, False) is None
    assert carrier.step(plan, unit, drained._replace(open=0), 30.0, False) == "switch"
    assert carrier.step(plan, unit, drained._replace(open=2), 10_100.0, False) == "switch"  # it has waited long enough
    carrier.switched(10_100.0, 0)
    on_new = drained._replace(version="v2", up=False, phase="starting")
    assert carrier.step(plan, unit, on_new, 10_200.0, True) is None and carrier.said.stage == "starting"
    assert carrier.step(plan, unit, on_new._replace(up=True), 10_300.0, False) is None and carrier.said.stage == "up"
    crashed = on_new._replace(phase="backing-off", restarts=1)
    assert carrier.step(plan, unit, crashed, 10_400.0, False) is None and carrier.said.stage == "failed"
    trial = msgspec.structs.replace(unit, stage="trial", generation=unit.generation + 1)
    assert carrier.step(plan, trial, drained._replace(version="v2"), 10_500.0, True) == "undrain"


def test_a_start_that_is_held_back_for_a_moment_is_no_crash() -> None:
    plan = a_plan()
    unit = msgspec.structs.replace(plan.units[0], stage="out", aim="back", generation=3)
    drained = look(drained=True, generation=3, open=0, version="v2", phase="backing-off", up=False, restarts=1)
    carrier = Carrier()
    assert carrier.step(plan, unit, drained, 0.0, False) == "switch"  # v2 has crashed once
    carrier.switched(0.0, 1)
    held_back = drained._replace(version="", error="its socket is in use")
    assert carrier.step(plan, unit, held_back, 100.0, False) is None and carrier.said.stage == "starting"
    up = held_back._replace(phase="running", up=True)
    assert carrier.step(plan, unit, up, 1200.0, False) is None and carrier.said.stage == "up"


def test_a_switch_is_asked_for_once_while_the_process_before_is_still_ending() -> None:
    plan = a_plan()
    unit = msgspec.structs.replace(plan.units[0], stage="out", generation=3)
    ready = look(drained=True, generation=3, open=0)
    carrier = Carrier()
    assert carrier.step(plan, unit, ready, 0.0, False) == "switch"
    carrier.switched(0.0, 0)
    for ending in (ready, ready._replace(phase="stopping", up=False)):
        assert carrier.step(plan, unit, ending, 100.0, False) is None and carrier.said.stage == "starting"
    assert carrier.step(plan, unit, ready._replace(version="v2"), 200.0, False) is None and carrier.said.stage == "up"
    turned = msgspec.structs.replace(unit, aim="back")
    assert (
        carrier.step(plan, turned, ready._replace(version="v2"), 300.0, False) == "switch"
    )  # another version, once more


def test_a_permit_that_was_taken_back_is_not_used() -> None:
    plan = a_plan()
    unit = msgspec.structs.replace(plan.units[0], stage="out", generation=3)
    carrier = Carrier()
    assert carrier.step(plan, unit, look(generation=4), 0.0, False) is None
    assert carrier.said.stage == "failed" and carrier.said.why == "its permit was taken back"


# Versions


def test_versions_are_read_strictly_and_fill_in_the_limiter(tmp_path: Path) -> None:
    part = LimiterPart("n0", ("limiter",), "n0.json")
    file = AgentFile(AgentPart("a", "127.0.0.1:0", "s", "t"), versions=VersionsPart())
    for name, text in (
        ("v2", 'command = ["{version}/bin", "{limiter}"]\n'),
        ("odd", "comand = []\n"),
        ("empty", ""),
        ("conf", 'config = "c/{limiter}.json"\n'),
    ):
        (tmp_path / "versions" / name).mkdir(parents=True)
        (tmp_path / "versions" / name / "version.toml").write_text(text)
    versions = Versions(tmp_path, file)
    assert versions.launch(part, "").command == ("limiter",)
    assert versions.launch(part, "v2").command == (f"{tmp_path}/versions/v2/bin", "n0")
    assert versions.launch(part, "conf") == versions.launch(part, "").__class__(("limiter",), ".", "c/n0.json")
    assert [name for name, _ in versions.digests()] == ["conf", "v2"]
    for name, text in (
        ("odd", "comand"),
        ("empty", "neither command"),
        ("none", "No such file"),
        ("../v2", "is no name"),
    ):
        with pytest.raises(FileError, match=text):
            versions.launch(part, name)
    with pytest.raises(FileError, match="has no .versions."):
        Versions(tmp_path, AgentFile(file.agent)).launch(part, "v2")
