"""Search, shrinking, the systematic mode, seeds that are kept, and how a run tells whose failure it was."""

from __future__ import annotations

import gc
import random
import tracemalloc
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elderlock import interface as api
from elderlock.decisions.attempts import Attempts
from elderlock.load.scenario import ScenarioError
from elderlock.load.trace import Row, Writer
from elderlock.sim import decisions, schedule, search, seeds, shells
from elderlock.sim import judges as j
from elderlock.sim.grammar import MOST_REMOVED, Grammar, shrink
from elderlock.sim.scenario import (
    FORMAT,
    Fault,
    Scenario,
    Service,
    Settings,
    check_fault,
    of_load,
    parse,
    read,
    timeline,
)
from elderlock.sim.seeds import NoLongerAppliesError, Seed, SeedError
from elderlock.sim.trace import Trace, first_difference
from elderlock.standins.model import ServerModel

KEPT = Path(__file__).parent / "seeds"
BASE = of_load(0.4, Scenario("search", lasts_s=4.0, warm_s=0.5, rest_s=2.0, boxes=6, agents=1))


@pytest.mark.parametrize("path", sorted(KEPT.glob("*.toml")), ids=lambda path: path.stem)
def test_a_bug_that_was_found_stays_mended(path: Path) -> None:
    seed = seeds.read(path)
    assert seed.broke, "a kept seed names what it broke"
    result = search.play(seed.scenario, seed.seed, seed.floor)
    assert result.good(), seed.text() + result.text()


@pytest.mark.parametrize("what", ["silent", "refusing", "empty", "busy", "late", "restored"])
def test_no_fault_of_the_counter_breaks_a_rule_at_the_decision_level(what: Any) -> None:
    """A counter that loses its counts also closes each limiter's connection; a rename once broke that step."""
    fault = Fault(1.0, what, "counter", 1.0)
    scenario = msgspec.structs.replace(BASE, settings=Settings(counter=True), fault=(fault,))
    result = search.play(scenario, 1, "decisions")
    assert result.good(), result.text()


@pytest.mark.parametrize("place", ["format", "scenario.format"])
def test_a_seed_of_another_format_says_that_it_no_longer_applies(place: str, tmp_path: Path) -> None:
    path = tmp_path / "old.toml"
    seeds.write(Seed(BASE, 1, broke=("no request lost",)), path)
    head, found, tail = path.read_text().partition("[scenario]")
    old, new = f"format = {FORMAT}", f"format = {FORMAT - 1}"
    path.write_text(
        head.replace(old, new) + found + tail if place == "format" else head + found + tail.replace(old, new)
    )
    with pytest.raises(NoLongerAppliesError, match="no longer applies"):
        seeds.read(path)


@pytest.mark.parametrize("text", ["seed = 'x'", "= 1", f"format = {FORMAT}\nseed = 1\n[scenario]\nname = 'x'\n"])
def test_a_file_that_is_no_seed_is_told(text: str, tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(SeedError, match=str(path)):
        seeds.read(path)


def test_a_seed_comes_back_as_it_was_written(tmp_path: Path) -> None:
    faults = Grammar(BASE, "shells").draw(random.Random(3))
    seed = Seed(msgspec.structs.replace(BASE, fault=faults), 99, "decisions", ("drains kept",), "why", "abc")
    seeds.write(seed, tmp_path / "s.toml")
    assert seeds.read(tmp_path / "s.toml") == seed
    assert all(fault.text() in seed.text() for fault in faults)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 32), st.sampled_from(["shells", "decisions"]), st.booleans())
def test_whatever_the_grammar_draws_can_be_played(seed: int, floor: str, counter: bool) -> None:
    scenario = msgspec.structs.replace(BASE, settings=Settings(counter=counter))
    grammar, rng = Grammar(scenario, floor), random.Random(seed)
    faults = grammar.draw(rng)
    for _ in range(5):
        for fault in faults:
            check_fault("drawn", fault, scenario.lasts_s)
            assert fault.at_s + fault.for_s <= scenario.lasts_s + 1e-6
        removed = sum(len(f.numbers(6)) for f in faults if f.what == "remove")
        assert removed <= MOST_REMOVED * scenario.boxes
        faults = grammar.vary(faults, rng)


def lose_one_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    """The planted bug: an attempt that was reset is forgotten."""
    kept = Attempts.handle_attempt_end

    def ended(self: Attempts, event: api.AttemptEnded) -> None:
        if event.outcome is not api.Outcome.RESET:
            kept(self, event)

    monkeypatch.setattr(Attempts, "handle_attempt_end", ended)


def test_a_planted_bug_is_found_and_cut_down_to_its_one_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    lose_one_failure(monkeypatch)
    faults = (
        Fault(0.6, "slow", "box:1", 1.0),
        Fault(0.8, "late", "floor:1", 1.0, 20.0),
        Fault(1.0, "restart", "box:0-3"),
        Fault(1.2, "lies", "box:2"),
        Fault(1.5, "loss", "floor:0", 0.5, 0.02),
    )
    scenario = msgspec.structs.replace(BASE, fault=faults)
    result = search.play(scenario, 4, "decisions")
    assert j.Rest.name in result.rules(), result.text()
    found = search.cut_down(scenario, 4, "decisions", result)
    assert [fault.what for fault in found.seed.scenario.fault] == ["restart"]
    assert (found.before, found.after) == (5, 1) and found.seed.broke == tuple(found.result.rules())


def test_a_search_sees_new_states_and_counts_its_runs() -> None:
    made = search.Search(BASE, "decisions", 1)
    report = made.run(tries=6, lasts=1e6, workers=2)
    assert report.tried == 6 and len(report.features) > 1 and report.failures == 0 == report.unjudged


def test_a_schedule_of_100_000_faults_shrinks_in_bounded_time() -> None:
    rng = random.Random(1)
    faults = tuple(Fault(rng.random() * 1e4, "slow", f"box:{n}", 1.0) for n in range(100_000))
    culprits = {faults[123], faults[77_777]}
    asked = 0

    def fails(tried: tuple[Fault, ...]) -> bool:
        nonlocal asked
        asked += 1
        return culprits <= set(tried)

    short, counted = shrink(faults, fails, most=150)
    assert culprits <= set(short) and len(short) < 100 and counted == asked <= 150


def test_each_step_is_failed_once_in_each_way() -> None:
    counts = Counter({"connect": 2, "write": 30, "spawn": 1})
    made = list(search.steps(counts, each=10))
    assert len(made) == len(set(made)) == 2 * 3 + 10 * 4 + 1
    assert [step for step in made if step[0] == "connect"] == [
        ("connect", n, way) for n in (0, 1) for way in ("refused", "silent", "reset")
    ]


def test_single_failures_of_input_and_output_break_no_rule() -> None:
    made = search.systematic(BASE, 1, workers=2, each=1)
    assert made.tried == made.failed == sum(len(ways) for ways in search.WAYS.values())
    assert not made.broken, made.broken[0]


def test_a_failure_of_a_model_is_told_from_one_of_the_code(monkeypatch: pytest.MonkeyPatch) -> None:
    def wrong(self: ServerModel, *given: Any) -> None:
        raise ZeroDivisionError("in a model")

    monkeypatch.setattr(ServerModel, "offer", wrong)
    for floor in ("shells", "decisions"):
        result = search.play(msgspec.structs.replace(BASE, lasts_s=1.5), 1, floor)
        assert result.ended == "failed" and "in a model" in result.why and not result.good()


def test_a_failure_of_a_judge_is_told_too(monkeypatch: pytest.MonkeyPatch) -> None:
    def wrong(self: j.Judge, *given: Any) -> None:
        raise ZeroDivisionError("in a judge")

    monkeypatch.setattr(j.Ceilings, "spent", wrong)
    assert search.play(BASE, 1, "decisions").ended == "failed"


def test_a_failure_of_the_code_under_test_is_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    def wrong(self: Attempts, event: api.AttemptEnded) -> None:
        raise ZeroDivisionError("in the module")

    monkeypatch.setattr(Attempts, "handle_attempt_end", wrong)
    for floor in ("shells", "decisions"):
        result = search.play(msgspec.structs.replace(BASE, lasts_s=1.5), 1, floor)
        assert result.ended == "finished" and j.Failures.name in result.rules()


def test_a_deadlock_on_each_floor_says_who_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    world = decisions.DecisionWorld(BASE, 1)
    monkeypatch.setattr(world, "_begin", lambda: world.open.update({1: None}))  # type: ignore[dict-item]
    result = world.play()
    assert result.ended == "deadlock" and "1 requests are open" in result.why

    async def stuck(self: shells.ShellWorld) -> None:
        await self.loop.create_future()

    monkeypatch.setattr(shells.ShellWorld, "_main", stuck)
    result = shells.play(BASE, 1)
    assert result.ended == "deadlock" and "stuck" in result.why


def test_a_livelock_on_the_decisions_floor_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(schedule, "MOST_AT_ONCE", 1000)
    world = decisions.DecisionWorld(BASE, 1)

    def spin() -> None:
        world.schedule.after(0.0, spin)

    monkeypatch.setattr(world, "_begin", spin)
    result = world.play()
    assert result.ended == "livelock" and "spin" in result.why


def test_a_long_run_leaves_memory_flat() -> None:
    """Two hours of a limiter that is asked now and then; a day is measured by the benchmark."""
    sizes: list[int] = []

    class Weighed(decisions.DecisionWorld):
        def _sample(self) -> None:
            super()._sample()
            if self.at() % 1_080_000.0 < decisions.SAMPLE_EVERY:
                gc.collect()
                sizes.append(tracemalloc.get_traced_memory()[0])

    given = of_load(0.005, Scenario("long", lasts_s=5400.0, limiters=1, boxes=1, rest_s=1.0))
    tracemalloc.start()
    try:
        result = Weighed(given, 1).play()
    finally:
        tracemalloc.stop()
    assert result.good() and len(sizes) >= 4, result.text()
    assert sizes[-1] - sizes[1] < 200_000, sizes  # what was asked is forgotten


def test_two_runs_on_the_decisions_floor_are_alike_and_differ_by_their_ties() -> None:
    runs: list[list[str]] = []
    for ties in (1, 1, 2):
        lines: list[str] = []
        decisions.play(BASE, 7, out=lines.append, ties=ties)
        runs.append(lines)
    assert first_difference(runs[0], runs[1]) is None and len(runs[0]) > 500
    assert first_difference(runs[0], runs[2]) is not None


def test_the_first_event_that_differs_is_named() -> None:
    first, second = Trace(), Trace()
    for trace, third in ((first, "c"), (second, "d")):
        for what in ("a", "b", third):
            trace.event(1.0, "n0", what)
    found = first_difference(first.last, second.last)
    assert found is not None and found.event == 3 and first.digest() != second.digest()
    assert "event 3: '1.0000 n0 c'" in found.text() and first_difference("ab", "ab") is None


def test_a_day_of_events_leaves_a_trace_of_flat_size() -> None:
    trace = Trace(kept=10)
    for number in range(9_000_000 // 100):
        trace.event(float(number), "n0", "x")
    assert len(trace.last) == 10 and len(trace.marks) < 4096 and trace.events == 90_000


@pytest.mark.parametrize(
    "change, message",
    [
        ("limiters=0", "limiters is 0"),
        ("nonsense=1", "unknown field"),
        ("format=7", "no longer applies"),
        ("settings.subset=-1", "subset is -1"),
        ("net.loss=2", "loss is 2"),
        ("stream=[]", "needs a .*stream"),
        ("agents=9", "agents is 9"),
        ("stream.0.plan=x", "no plan 'x'"),
        ("stream.0.class=x", "no service 'x'"),
        ('fault=[{at_s=1,what="slow",target="bo:1"}]', "is no target"),
        ('fault=[{at_s=1,what="kill",target="box:1"}]', "cannot be made kill"),
        ('fault=[{at_s=99,what="slow",target="box:1"}]', "at_s is 99"),
        ('fault=[{at_s=1,what="errs",target="box:1",by=3}]', "a share lies between"),
        ("kind=[{cores=0}]", "cores is 0"),
    ],
)
def test_a_wrong_scenario_is_told_with_its_place(change: str, message: str, tmp_path: Path) -> None:
    seeds.write(Seed(BASE, 1), tmp_path / "s.toml")
    text = (
        (tmp_path / "s.toml")
        .read_text()
        .partition("[scenario]")[2]
        .replace("[scenario.", "[")
        .replace("[[scenario.", "[[")
    )
    with pytest.raises(ScenarioError, match=f"here.toml: .*{message}"):
        parse(text, "here.toml", [change])


def test_the_time_line_is_in_order() -> None:
    faults = (Fault(3.0, "kill", "limiter:1"), Fault(1.0, "slow", "box:0-2", 1.5, 7.0))
    text = timeline(msgspec.structs.replace(BASE, fault=faults), 5)
    assert text.splitlines()[1:] == [
        "   1.000 s  box:0-2      slow by 7, for 1.500 s",
        "   3.000 s  limiter:1    kill",
    ]


def test_a_recorded_trace_is_played_on_both_floors(tmp_path: Path) -> None:
    writer = Writer(tmp_path / "t.jsonl")
    for number in range(200):
        writer.write(Row(at=5_000_000 + number * 10_000, account=f"{number % 7:016x}", plan="plain", deadline=900.0))
    writer.close()
    (tmp_path / "s.toml").write_text(
        'name = "recorded"\nformat = 1\nlasts_s = 3.0\nwarm_s = 0.0\nrest_s = 1.0\nboxes = 3\n'
        '[replay]\npath = "t.jsonl"\nspeed = 1.0\n[[plan]]\nname = "plain"\n'
    )
    scenario = read(tmp_path / "s.toml")
    for floor in ("shells", "decisions"):
        result = search.play(scenario, 1, floor)
        assert result.good() and set(result.figures.outcomes) == {"served"}, result.text()
        assert result.figures.offered >= 199  # the very first may round to before the start
    other = msgspec.structs.replace(scenario, service=(Service("other"),))
    result = search.play(other, 1, "decisions")
    assert result.ended == "failed" and "no service 'lookup'" in result.why
