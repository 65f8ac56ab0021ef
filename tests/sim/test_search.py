"""Search, shrinking, the systematic mode, regression seeds, and the attribution of failures to code or simulator."""

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
from elderlock.load.trace import Row, TraceWriter
from elderlock.sim import decisions, invariant_checkers, schedule, search, seeds, shells
from elderlock.sim.grammar import MAX_REMOVED_SHARE, Grammar, shrink
from elderlock.sim.scenario import (
    FORMAT,
    Fault,
    Scenario,
    Service,
    Settings,
    check_fault,
    parse,
    read,
    timeline,
    with_load,
)
from elderlock.sim.seeds import NoLongerAppliesError, Seed, SeedError
from elderlock.sim.trace import Trace, first_difference
from elderlock.standins.model import ServerModel

SEEDS_FOLDER = Path(__file__).parent / "seeds"
BASE = with_load(0.4, Scenario("search", lasts_s=4.0, warm_s=0.5, rest_s=2.0, boxes=6, agents=1))


@pytest.mark.parametrize("path", sorted(SEEDS_FOLDER.glob("*.toml")), ids=lambda path: path.stem)
def test_regression_seeds_break_no_invariant(path: Path) -> None:
    seed = seeds.read(path)
    assert seed.broke, "a regression seed must name the invariants that it broke"
    result = search.play(seed.scenario, seed.seed, seed.floor)
    assert result.good(), seed.text() + result.text()


@pytest.mark.parametrize("what", ["silent", "refusing", "empty", "busy", "late", "restored"])
def test_counter_faults_break_no_invariant_at_the_decision_level(what: Any) -> None:
    """A counter that loses its counts also closes each limiter's connection; a rename once broke this."""
    fault = Fault(1.0, what, "counter", 1.0)
    scenario = msgspec.structs.replace(BASE, settings=Settings(counter=True), fault=(fault,))
    result = search.play(scenario, 1, "decisions")
    assert result.good(), result.text()


@pytest.mark.parametrize("place", ["format", "scenario.format"])
def test_reading_a_seed_of_another_format_fails(place: str, tmp_path: Path) -> None:
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
def test_reading_an_invalid_seed_names_the_file(text: str, tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(SeedError, match=str(path)):
        seeds.read(path)


def test_a_written_seed_is_read_unchanged(tmp_path: Path) -> None:
    faults = Grammar(BASE, "shells").draw(random.Random(3))
    seed = Seed(msgspec.structs.replace(BASE, fault=faults), 99, "decisions", ("drains kept",), "why", "abc")
    seeds.write(seed, tmp_path / "s.toml")
    assert seeds.read(tmp_path / "s.toml") == seed
    assert all(fault.text() in seed.text() for fault in faults)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 32), st.sampled_from(["shells", "decisions"]), st.booleans())
def test_drawn_and_mutated_schedules_are_valid(seed: int, floor: str, counter: bool) -> None:
    scenario = msgspec.structs.replace(BASE, settings=Settings(counter=counter))
    grammar, rng = Grammar(scenario, floor), random.Random(seed)
    faults = grammar.draw(rng)
    for _ in range(5):
        for fault in faults:
            check_fault("drawn", fault, scenario.lasts_s)
            assert fault.at_s + fault.for_s <= scenario.lasts_s + 1e-6
        removed = sum(len(f.target_numbers(6)) for f in faults if f.what == "remove")
        assert removed <= MAX_REMOVED_SHARE * scenario.boxes
        faults = grammar.mutate(faults, rng)


def ignore_resets(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plants a bug: attempts that end with a reset are ignored."""
    original = Attempts.handle_attempt_end

    def handle_all_but_resets(self: Attempts, event: api.AttemptEnded) -> None:
        if event.outcome is not api.Outcome.RESET:
            original(self, event)

    monkeypatch.setattr(Attempts, "handle_attempt_end", handle_all_but_resets)


def test_a_planted_bug_shrinks_to_its_one_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    ignore_resets(monkeypatch)
    faults = (
        Fault(0.6, "slow", "box:1", 1.0),
        Fault(0.8, "late", "floor:1", 1.0, 20.0),
        Fault(1.0, "restart", "box:0-3"),
        Fault(1.2, "lies", "box:2"),
        Fault(1.5, "loss", "floor:0", 0.5, 0.02),
    )
    scenario = msgspec.structs.replace(BASE, fault=faults)
    result = search.play(scenario, 4, "decisions")
    assert invariant_checkers.Quiescence.name in result.rules(), result.text()
    found = search.shrink_failure(scenario, 4, "decisions", result)
    assert [fault.what for fault in found.seed.scenario.fault] == ["restart"]
    assert (found.faults_before, found.faults_after) == (5, 1) and found.seed.broke == tuple(found.result.rules())


def test_a_search_reports_new_states_and_counts_its_runs() -> None:
    fault_search = search.Search(BASE, "decisions", 1)
    report = fault_search.run(run_count=6, duration_s=1e6, workers=2)
    assert report.tried == 6 and len(report.features) > 1 and report.failures == 0 == report.harness_failures


def test_a_schedule_of_100_000_faults_shrinks_in_bounded_time() -> None:
    rng = random.Random(1)
    faults = tuple(Fault(rng.random() * 1e4, "slow", f"box:{n}", 1.0) for n in range(100_000))
    culprits = {faults[123], faults[77_777]}
    calls = 0

    def fails(tried: tuple[Fault, ...]) -> bool:
        nonlocal calls
        calls += 1
        return culprits <= set(tried)

    shrunk, run_count = shrink(faults, fails, max_runs=150)
    assert culprits <= set(shrunk) and len(shrunk) < 100 and run_count == calls <= 150


def test_each_step_fails_once_in_each_mode() -> None:
    counts = Counter({"connect": 2, "write": 30, "spawn": 1})
    selected = list(search.select_steps(counts, max_per_kind=10))
    assert len(selected) == len(set(selected)) == 2 * 3 + 10 * 4 + 1
    assert [step for step in selected if step[0] == "connect"] == [
        ("connect", n, mode) for n in (0, 1) for mode in ("refused", "silent", "reset")
    ]


def test_single_io_failures_break_no_invariant() -> None:
    report = search.systematic(BASE, 1, workers=2, each=1)
    assert report.tried == report.failed == sum(len(modes) for modes in search.FAILURE_MODES.values())
    assert not report.broken, report.broken[0]


def test_an_exception_in_a_model_fails_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(self: ServerModel, *args: Any) -> None:
        raise ZeroDivisionError("in a model")

    monkeypatch.setattr(ServerModel, "offer", raise_error)
    for floor in ("shells", "decisions"):
        result = search.play(msgspec.structs.replace(BASE, lasts_s=1.5), 1, floor)
        assert result.ended == "failed" and "in a model" in result.why and not result.good()


def test_an_exception_in_a_checker_fails_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(self: invariant_checkers.InvariantChecker, *args: Any) -> None:
        raise ZeroDivisionError("in a judge")

    monkeypatch.setattr(invariant_checkers.HardCeilings, "spent", raise_error)
    assert search.play(BASE, 1, "decisions").ended == "failed"


def test_an_exception_in_the_code_under_test_breaks_an_invariant(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(self: Attempts, event: api.AttemptEnded) -> None:
        raise ZeroDivisionError("in the module")

    monkeypatch.setattr(Attempts, "handle_attempt_end", raise_error)
    for floor in ("shells", "decisions"):
        result = search.play(msgspec.structs.replace(BASE, lasts_s=1.5), 1, floor)
        assert result.ended == "finished" and invariant_checkers.UnhandledErrors.name in result.rules()


def test_a_deadlock_in_each_simulator_names_what_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    world = decisions.DecisionWorld(BASE, 1)
    monkeypatch.setattr(world, "_begin", lambda: world.open_requests.update({1: None}))  # type: ignore[dict-item]
    result = world.play()
    assert result.ended == "deadlock" and "1 requests are open" in result.why

    async def stuck(self: shells.ShellWorld) -> None:
        await self.loop.create_future()

    monkeypatch.setattr(shells.ShellWorld, "_main", stuck)
    result = shells.play(BASE, 1)
    assert result.ended == "deadlock" and "stuck" in result.why


def test_a_livelock_in_the_decision_simulator_ends_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(schedule, "MAX_STEPS_AT_ONE_TIME", 1000)
    world = decisions.DecisionWorld(BASE, 1)

    def spin() -> None:
        world.schedule.after(0.0, spin)

    monkeypatch.setattr(world, "_begin", spin)
    result = world.play()
    assert result.ended == "livelock" and "spin" in result.why


def test_a_long_run_does_not_leak_memory() -> None:
    """Simulates 90 minutes of a limiter with little traffic; the benchmark measures a day."""
    sizes: list[int] = []

    class MeasuredWorld(decisions.DecisionWorld):
        def _sample(self) -> None:
            super()._sample()
            if self.at() % 1_080_000.0 < decisions.SAMPLE_INTERVAL_MS:
                gc.collect()
                sizes.append(tracemalloc.get_traced_memory()[0])

    scenario = with_load(0.005, Scenario("long", lasts_s=5400.0, limiters=1, boxes=1, rest_s=1.0))
    tracemalloc.start()
    try:
        result = MeasuredWorld(scenario, 1).play()
    finally:
        tracemalloc.stop()
    assert result.good() and len(sizes) >= 4, result.text()
    assert sizes[-1] - sizes[1] < 200_000, sizes  # finished requests are released


def test_decision_simulations_are_reproducible_and_depend_on_the_tie_seed() -> None:
    runs: list[list[str]] = []
    for ties in (1, 1, 2):
        lines: list[str] = []
        decisions.play(BASE, 7, out=lines.append, ties=ties)
        runs.append(lines)
    assert first_difference(runs[0], runs[1]) is None and len(runs[0]) > 500
    assert first_difference(runs[0], runs[2]) is not None


def test_first_difference_names_the_first_different_event() -> None:
    first, second = Trace(), Trace()
    for trace, third in ((first, "c"), (second, "d")):
        for what in ("a", "b", third):
            trace.event(1.0, "n0", what)
    found = first_difference(first.last, second.last)
    assert found is not None and found.event == 3 and first.digest() != second.digest()
    assert "event 3: '1.0000 n0 c'" in found.text() and first_difference("ab", "ab") is None


def test_a_trace_of_many_events_stays_small() -> None:
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
        ('fault=[{at_s=1,what="slow",target="bo:1"}]', "is not a valid target"),
        ('fault=[{at_s=1,what="kill",target="box:1"}]', "does not support the fault 'kill'"),
        ('fault=[{at_s=99,what="slow",target="box:1"}]', "at_s is 99"),
        ('fault=[{at_s=1,what="errs",target="box:1",by=3}]', "a share lies between"),
        ("kind=[{cores=0}]", "cores is 0"),
    ],
)
def test_an_invalid_scenario_error_names_the_file_and_the_field(change: str, message: str, tmp_path: Path) -> None:
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


def test_the_timeline_is_sorted_by_time() -> None:
    faults = (Fault(3.0, "kill", "limiter:1"), Fault(1.0, "slow", "box:0-2", 1.5, 7.0))
    text = timeline(msgspec.structs.replace(BASE, fault=faults), 5)
    assert text.splitlines()[1:] == ["   1.000 s  box:0-2      slow by 7, for 1.500 s", "   3.000 s  limiter:1    kill"]


def test_a_recorded_trace_is_replayed_in_both_simulators(tmp_path: Path) -> None:
    writer = TraceWriter(tmp_path / "t.jsonl")
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
        assert result.figures.offered >= 199  # the first arrival may be rounded to before the start
    other = msgspec.structs.replace(scenario, service=(Service("other"),))
    result = search.play(other, 1, "decisions")
    assert result.ended == "failed" and "no service 'lookup'" in result.why
