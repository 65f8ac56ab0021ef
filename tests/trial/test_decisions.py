"""What decides in the proving ground without I/O: weather, the even clock, the checker of what is agreed, partings."""

from __future__ import annotations

import math
import random
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock.sim import invariant_checkers as j
from elderlock.sim.exclusive_holdings import (
    Conflict,
    ExclusiveHoldings,
    FencedAction,
    Holding,
    bound_conflicts,
    exclusivity_conflicts,
    fencing_conflicts,
    generation_regressions,
)
from elderlock.trial import history
from elderlock.trial import stalls as stall_summaries
from elderlock.trial.divergence import event_sequences, first_differences
from elderlock.trial.history import Even, Event, check_history
from elderlock.trial.link_conditions import CLEAR, Place, Stream, Ways, Weather, datagram
from elderlock.trial.report import of_log, timeline
from elderlock.trial.stalls import Stall

NAMES = ("n0", "n1", "floor-2", "*")
RULES = j.CheckerLimits()


class WaysMachine(RuleBasedStateMachine):
    """Whatever overlaps: what is left is what was begun and not ended."""

    def __init__(self) -> None:
        super().__init__()
        self.ways = Ways()
        self.live: list[tuple[str, tuple[str, str], float]] = []

    @rule(
        kind=st.sampled_from(["cut", "late", "loss"]),
        pair=st.tuples(st.sampled_from(NAMES), st.sampled_from(NAMES)),
        by=st.sampled_from([0.25, 0.5]),
    )
    def befall(self, kind: str, pair: tuple[str, str], by: float) -> None:
        self.ways.inject(kind, [pair], by)
        self.live.append((kind, pair, by))

    @rule(number=st.integers(0, 50))
    def mend(self, number: int) -> None:
        if self.live:
            kind, pair, by = self.live.pop(number % len(self.live))
            self.ways.clear(kind, [pair], by)

    @invariant()
    def as_the_sum(self) -> None:
        here, there = Place.of("n0", "floor-2"), Place.of("n1", "floor-3")
        for source, target in ((here, there), (there, here)):
            mine = [
                (kind, by)
                for kind, (s, t), by in self.live
                if (s == "*" or s in source.names) and (t == "*" or t in target.names)
            ]
            weather = self.ways.weather(source, target)
            assert weather.cut == any(kind == "cut" for kind, _ in mine)
            assert math.isclose(weather.late, sum(by for kind, by in mine if kind == "late"))
            assert math.isclose(weather.loss, min(1.0, sum(by for kind, by in mine if kind == "loss")))
        if not self.live:
            assert self.ways.weather(here, there) is CLEAR


TestWays = WaysMachine.TestCase


@given(
    st.lists(
        st.tuples(st.binary(max_size=400), st.floats(0.0, 0.5), st.booleans(), st.sampled_from([0.0, 500.0, 5000.0]))
    )
)
def test_a_stream_comes_out_whole_once_and_in_order_whatever_the_weather(
    steps: list[tuple[bytes, float, bool, float]],
) -> None:
    stream, now, out = Stream(), 0.0, b""
    for data, wait, cut, trickle in steps:
        if data:
            stream.put(data, now, Weather(late=100.0 * wait))
        now += wait
        passed = stream.due(now, Weather(cut=cut, trickle=trickle))
        assert not (cut and passed)
        out += passed
    stream.end()
    for _ in range(200_000):
        if stream.over():
            break
        now += 0.01
        out += stream.due(now, CLEAR)
    assert out == b"".join(data for data, *_ in steps) and stream.over() and stream.size == 0


def test_datagrams_are_lost_repeated_and_disordered_by_their_shares() -> None:
    rng = random.Random(1)
    assert datagram(Weather(cut=True), rng) == [] and datagram(Weather(loss=1.0), rng) == []
    assert datagram(CLEAR, rng) == [0.0] and datagram(Weather(late=50.0), rng) == [0.05]
    many = [datagram(Weather(loss=0.3, duplicate=0.5, reorder=100.0), rng) for _ in range(4000)]
    assert 1080 < sum(not waits for waits in many) < 1320
    assert 1250 < sum(len(waits) == 2 for waits in many) < 1550
    assert all(0.0 <= wait <= 0.2 for waits in many for wait in waits)


stalls = st.lists(st.tuples(st.floats(0, 1000), st.floats(0, 300)).map(lambda pair: Stall(*pair, "")), max_size=12)


@given(stalls, st.lists(st.floats(0, 2000), min_size=2, max_size=30))
def test_even_time_never_goes_back_and_takes_each_stand_still_off_once(found: list[Stall], times: list[float]) -> None:
    even = Even(found)
    last = -1.0
    for at in sorted(times):
        now = even.even(at)
        assert last - 1e-6 <= now <= at + 1e-6
        covered = sum(  # by brute force, a tenth of a millisecond apart at most
            1 for n in range(500) if any(s.at <= (n + 0.5) * at / 500 <= s.at + s.lasts for s in found)
        )
        assert abs((at - now) - covered * at / 500) <= at / 500 * (2 * len(found) + 1) + 1e-6
        last = now


holdings = st.lists(
    st.builds(
        lambda what, holder, asked, wait, lasts, units: Holding(
            what, holder, asked, asked + wait, asked + wait + lasts, units=units
        ),
        st.sampled_from("ab"),
        st.sampled_from(["x", "y", "z"]),
        st.integers(0, 50).map(float),
        st.integers(0, 5).map(float),
        st.integers(0, 30).map(float),
        st.integers(1, 3).map(float),
    ),
    max_size=12,
)


@given(holdings)
def test_the_checker_agrees_with_looking_at_each_moment(held: list[Holding]) -> None:
    clash = over = False
    for moment in [n + 0.5 for n in range(100)]:
        for what in "ab":
            live = [h for h in held if h.what == what and h.granted <= moment < h.ended]
            clash = clash or len({h.holder for h in live}) > 1
            over = over or sum(h.units for h in live) > 4.0
    assert bool(exclusivity_conflicts(held)) == clash
    found = bound_conflicts(held, {"a": 4.0, "b": 4.0})
    assert bool(found) == over
    for each in found:  # the fewest facts that show it, and they do
        assert sum(h.units for h in each.facts if isinstance(h, Holding)) > 4.0


def test_what_may_have_happened_in_another_order_is_not_held_against_anyone() -> None:
    """One never heard that it was granted; the other gave back while the third was still asking."""
    unheard = Holding("permit", "x", 0.0, math.inf)
    first_one = Holding("permit", "y", 0.0, 10.0, 100.0)
    second = Holding("permit", "z", 50.0, 100.0, 200.0)
    assert exclusivity_conflicts([unheard, first_one, second]) == []
    (clash,) = exclusivity_conflicts([first_one, Holding("permit", "z", 50.0, 99.0, 200.0)])
    assert clash.at == 99.0 and "y held 1 of permit from 10 ms to 100 ms, while z held" in clash.text


def test_acts_in_an_older_term_and_records_that_go_back_are_told() -> None:
    acts = [
        FencedAction("s-1", "a", 1.0, 3),
        FencedAction("s-1", "b", 2.0, 4),
        FencedAction("s-1", "a", 5.0, 3),
        FencedAction("s-2", "a", 9.0, 1),
    ]
    (clash,) = fencing_conflicts(acts)
    assert clash.at == 5.0 and "in term 3" in clash.text and "in term 4" in clash.text
    assert fencing_conflicts(acts, slack=3.0) == []
    seen = [(1.0, "agent-0", "box s-1", 4), (2.0, "agent-1", "box s-1", 3), (3.0, "agent-0", "box s-1", 0)]
    assert [clash.at for clash in generation_regressions(seen)] == [3.0]
    judge = ExclusiveHoldings(RULES, {"out": 2.0})
    judge.acts, judge.shown = acts, seen
    judge.holdings = [Holding("out", name, 0.0, 1.0, 9.0) for name in "xyz"]
    judge.ended(100.0)
    assert judge.count == 3
    assert isinstance(bound_conflicts(judge.holdings, judge.bounds)[0], Conflict)


def asked(at: float, name: str, deadline: float = 1000.0) -> Event:
    return Event(at, "asked", (name, "n0", at + deadline, "account", "free"))


def test_what_the_machine_held_up_is_not_held_against_the_program_and_nothing_else_is_excused() -> None:
    events = [asked(0.0, "a"), asked(0.0, "b"), Event(1400.0, "answered", ("a", "served"))]
    late = check_history(events, [], RULES, 5000.0)
    assert {each.text.split()[0] for each in late.broken} == {"a", "b"}
    stood = [Stall(500.0, 380.0, "")]
    excused = check_history(events, stood, RULES, 5000.0)
    assert [each.text for each in excused.broken] == ["b was never answered by n0"]
    other = check_history(events, [Stall(500.0, 380.0, "n1")], RULES, 5000.0)  # another's stand-still excuses nobody
    assert len(other.broken) == 2
    for stall in ([Stall(10.0, 300.0, "n0")], []):
        drain = [Event(0.0, "told", ("n0", "s", "draining", 0.0)), Event(400.0, "sent", ("n0", "s", "r"))]
        assert bool(check_history(drain, stall, RULES, 900.0).broken) == (not stall)


def test_a_heap_behind_a_stand_still_is_late_and_not_broken() -> None:
    ceiling = [Event(0.0, "ceiling", ("c", 10.0, 5.0, 1.0))]
    spent = [Event(100.0 + n, "spent", ("c", 1.0)) for n in range(9)]
    verdict = check_history([*ceiling, *spent], [], RULES, 900.0)
    assert verdict.rules() == [j.HardCeilings.name] and not verdict.late
    verdict = check_history([*ceiling, *spent], [Stall(20.0, 70.0, "")], RULES, 900.0)
    assert not verdict.broken and verdict.late


def test_a_run_whose_relays_stood_still_says_so() -> None:
    assert stall_summaries.summarize([Stall(0.0, 399.0, "")], 10_000.0).text == ""
    assert "stood still for 500 ms" in stall_summaries.summarize([Stall(0.0, 500.0, "")], 10_000.0).text
    assert "of the time" in stall_summaries.summarize([Stall(n * 100.0, 50.0, "") for n in range(40)], 10_000.0).text
    assert stall_summaries.summarize([Stall(0.0, 5000.0, "n0", "it was stopped")], 10_000.0).text == ""


def test_a_history_is_written_and_read_as_it_was(tmp_path: Path) -> None:
    events = [asked(1.5, "q1-1"), Event(2.25, "answered", ("q1-1", "served"))]
    history.write(events, tmp_path / "h.jsonl")
    assert history.read(tmp_path / "h.jsonl") == events


def test_two_runs_part_at_the_first_event_of_a_lane_that_differs() -> None:
    def told(at: float, limiter: str, box: str, state: str) -> Event:
        return Event(at, "told", (limiter, box, state, 0.0))

    real = [told(1.0, "n0", "s-0", "running"), told(1.0, "n1", "s-0", "running"), told(700.0, "n0", "s-0", "draining")]
    other = [*real[:2], told(650.0, "n0", "s-0", "gone"), told(900.0, "n1", "s-0", "draining")]
    assert (
        first_differences(event_sequences(real, [], 0.0), event_sequences(real, [], 500.0)) == []
    )  # no time is compared
    partings = first_differences(
        event_sequences(real, [], 0.0), event_sequences(other, [("no request lost", 800.0, "q")], 0.0)
    )
    assert [parting.lane for parting in partings] == ["lists n0 s-0", "rules", "lists n1 s-0"]
    assert "'draining' at 0.700 s in the real run, 'gone' at 0.650 s in the simulation" in partings[0].text()


def test_the_time_line_is_one_over_all_processes() -> None:
    logs = {
        "n0": "2026-12-01 10:00:00,250 INFO listens\nTraceback (most recent call last):\n",
        "agent-0": '{"event": "limiter started", "limiter": "n0", "timestamp": "2026-12-01T10:00:00.100000Z"}\n',
    }
    epoch = of_log("x", logs["agent-0"], 0.0)[0].at - 100.0
    lines = timeline(
        [asked(50.0, "q1-1"), Event(60.0, "fault", (0, "box:1", "slow", 1.0, 5.0))],
        [Stall(70.0, 20.0, "")],
        [("no request lost", 80.0, "q1-1 was never answered")],
        logs,
        epoch,
    )
    text = "\n".join(line.shown() for line in lines)
    wanted = ("asked", "fault", "stall", "JUDGE", "limiter started limiter=n0")
    places = [text.index(word) for word in wanted]
    assert places == sorted(places) and "listens" in text
