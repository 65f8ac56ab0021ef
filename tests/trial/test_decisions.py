"""Tests of the parts of the test harness without I/O.

They cover link conditions, the stall-free clock, the checker of agreements, the comparison with a simulation, and the
timeline.
"""

from __future__ import annotations

import math
import random
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from elderlock.sim import invariant_checkers
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
from elderlock.trial.divergence import event_sequences, first_differences
from elderlock.trial.history import Event, StallFreeClock, check_history
from elderlock.trial.link_conditions import NORMAL, LinkConditions, LinkFaults, Location, Stream, datagram_delays
from elderlock.trial.report import parse_log, timeline
from elderlock.trial.stalls import Stall, summarize

NAMES = ("n0", "n1", "floor-2", "*")
RULES = invariant_checkers.CheckerLimits()


class LinkFaultsMachine(RuleBasedStateMachine):
    """Injects and clears overlapping faults; the conditions are always those of the active faults."""

    def __init__(self) -> None:
        super().__init__()
        self.link_faults = LinkFaults()
        self.active: list[tuple[str, tuple[str, str], float]] = []

    @rule(
        kind=st.sampled_from(["cut", "late", "loss"]),
        pair=st.tuples(st.sampled_from(NAMES), st.sampled_from(NAMES)),
        by=st.sampled_from([0.25, 0.5]),
    )
    def inject_fault(self, kind: str, pair: tuple[str, str], by: float) -> None:
        self.link_faults.inject(kind, [pair], by)
        self.active.append((kind, pair, by))

    @rule(number=st.integers(0, 50))
    def clear_fault(self, number: int) -> None:
        if self.active:
            kind, pair, by = self.active.pop(number % len(self.active))
            self.link_faults.clear(kind, [pair], by)

    @invariant()
    def conditions_are_the_sum_of_active_faults(self) -> None:
        here, there = Location.of("n0", "floor-2"), Location.of("n1", "floor-3")
        for source, target in ((here, there), (there, here)):
            matching = [
                (kind, by)
                for kind, (source_name, target_name), by in self.active
                if (source_name == "*" or source_name in source.names)
                and (target_name == "*" or target_name in target.names)
            ]
            conditions = self.link_faults.conditions(source, target)
            assert conditions.is_cut == any(kind == "cut" for kind, _ in matching)
            assert math.isclose(conditions.delay_ms, sum(by for kind, by in matching if kind == "late"))
            assert math.isclose(conditions.loss_share, min(1.0, sum(by for kind, by in matching if kind == "loss")))
        if not self.active:
            assert self.link_faults.conditions(here, there) is NORMAL


TestLinkFaults = LinkFaultsMachine.TestCase


@given(
    st.lists(
        st.tuples(st.binary(max_size=400), st.floats(0.0, 0.5), st.booleans(), st.sampled_from([0.0, 500.0, 5000.0]))
    )
)
def test_a_stream_delivers_all_bytes_once_and_in_order_under_any_conditions(
    steps: list[tuple[bytes, float, bool, float]],
) -> None:
    stream, now, passed = Stream(), 0.0, b""
    for data, wait_s, is_cut, bytes_per_s in steps:
        if data:
            stream.put(data, now, LinkConditions(delay_ms=100.0 * wait_s))
        now += wait_s
        due = stream.take_due(now, LinkConditions(is_cut=is_cut, bytes_per_s=bytes_per_s))
        assert not (is_cut and due)
        passed += due
    stream.end()
    for _ in range(200_000):
        if stream.is_finished():
            break
        now += 0.01
        passed += stream.take_due(now, NORMAL)
    assert passed == b"".join(data for data, *_ in steps) and stream.is_finished() and stream.size == 0


def test_datagrams_are_lost_duplicated_and_reordered_by_their_shares() -> None:
    rng = random.Random(1)
    assert datagram_delays(LinkConditions(is_cut=True), rng) == []
    assert datagram_delays(LinkConditions(loss_share=1.0), rng) == []
    assert datagram_delays(NORMAL, rng) == [0.0] and datagram_delays(LinkConditions(delay_ms=50.0), rng) == [0.05]
    conditions = LinkConditions(loss_share=0.3, duplicate_share=0.5, reorder_ms=100.0)
    delays_of_each = [datagram_delays(conditions, rng) for _ in range(4000)]
    assert 1080 < sum(not delays for delays in delays_of_each) < 1320
    assert 1250 < sum(len(delays) == 2 for delays in delays_of_each) < 1550
    assert all(0.0 <= delay <= 0.2 for delays in delays_of_each for delay in delays)


stalls = st.lists(st.tuples(st.floats(0, 1000), st.floats(0, 300)).map(lambda pair: Stall(*pair, "")), max_size=12)


@given(stalls, st.lists(st.floats(0, 2000), min_size=2, max_size=30))
def test_the_stall_free_clock_never_goes_back_and_omits_each_stall_once(found: list[Stall], times: list[float]) -> None:
    clock = StallFreeClock(found)
    previous = -1.0
    for at in sorted(times):
        now = clock.convert(at)
        assert previous - 1e-6 <= now <= at + 1e-6
        stalled_samples = sum(  # brute force with 500 samples
            1 for n in range(500) if any(s.at <= (n + 0.5) * at / 500 <= s.at + s.duration_ms for s in found)
        )
        assert abs((at - now) - stalled_samples * at / 500) <= at / 500 * (2 * len(found) + 1) + 1e-6
        previous = now


holdings = st.lists(
    st.builds(
        lambda what, holder, asked_at, wait, duration, units: Holding(
            what, holder, asked_at, asked_at + wait, asked_at + wait + duration, units=units
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
def test_the_checkers_find_what_a_check_of_each_moment_finds(held: list[Holding]) -> None:
    is_doubly_held = is_over_bound = False
    for moment in [n + 0.5 for n in range(100)]:
        for what in "ab":
            current = [h for h in held if h.what == what and h.granted <= moment < h.ended]
            is_doubly_held = is_doubly_held or len({h.holder for h in current}) > 1
            is_over_bound = is_over_bound or sum(h.units for h in current) > 4.0
    assert bool(exclusivity_conflicts(held)) == is_doubly_held
    clashes = bound_conflicts(held, {"a": 4.0, "b": 4.0})
    assert bool(clashes) == is_over_bound
    for clash in clashes:  # the facts that are reported prove the violation
        assert sum(h.units for h in clash.facts if isinstance(h, Holding)) > 4.0


def test_holdings_that_another_order_explains_are_no_clash() -> None:
    """One holder never learned that it was granted; another released before the third was granted."""
    never_granted = Holding("permit", "x", 0.0, math.inf)
    released = Holding("permit", "y", 0.0, 10.0, 100.0)
    granted_after_release = Holding("permit", "z", 50.0, 100.0, 200.0)
    assert exclusivity_conflicts([never_granted, released, granted_after_release]) == []
    (clash,) = exclusivity_conflicts([released, Holding("permit", "z", 50.0, 99.0, 200.0)])
    assert clash.at == 99.0 and "y held 1 of permit from 10 ms to 100 ms, while z held" in clash.text


def test_acts_in_an_older_term_and_records_that_go_back_are_reported() -> None:
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
    checker = ExclusiveHoldings(RULES, {"out": 2.0})
    checker.acts, checker.shown = acts, seen
    checker.holdings = [Holding("out", name, 0.0, 1.0, 9.0) for name in "xyz"]
    checker.ended(100.0)
    assert checker.count == 3
    assert isinstance(bound_conflicts(checker.holdings, checker.bounds)[0], Conflict)


def asked(at: float, request: str, deadline_ms: float = 1000.0) -> Event:
    return Event(at, "asked", (request, "n0", at + deadline_ms, "account", "free"))


def test_a_stall_excuses_what_it_delayed_and_nothing_else() -> None:
    events = [asked(0.0, "a"), asked(0.0, "b"), Event(1400.0, "answered", ("a", "served"))]
    without_stall = check_history(events, [], RULES, 5000.0)
    assert {violation.text.split()[0] for violation in without_stall.broken} == {"a", "b"}
    with_stall = check_history(events, [Stall(500.0, 380.0, "")], RULES, 5000.0)
    assert [violation.text for violation in with_stall.broken] == ["b was never answered by n0"]
    with_stall_of_another = check_history(events, [Stall(500.0, 380.0, "n1")], RULES, 5000.0)
    assert len(with_stall_of_another.broken) == 2
    for stall in ([Stall(10.0, 300.0, "n0")], []):
        drain = [Event(0.0, "told", ("n0", "s", "draining", 0.0)), Event(400.0, "sent", ("n0", "s", "r"))]
        assert bool(check_history(drain, stall, RULES, 900.0).broken) == (not stall)


def test_a_burst_after_a_stall_is_late_and_not_broken() -> None:
    ceiling = [Event(0.0, "ceiling", ("c", 10.0, 5.0, 1.0))]
    spent = [Event(100.0 + n, "spent", ("c", 1.0)) for n in range(9)]
    verdict = check_history([*ceiling, *spent], [], RULES, 900.0)
    assert verdict.rules() == [invariant_checkers.HardCeilings.name] and not verdict.late
    verdict = check_history([*ceiling, *spent], [Stall(20.0, 70.0, "")], RULES, 900.0)
    assert not verdict.broken and verdict.late


def test_a_run_whose_runner_stalled_reports_it() -> None:
    assert summarize([Stall(0.0, 399.0, "")], 10_000.0).text == ""
    assert "stalled for 500 ms" in summarize([Stall(0.0, 500.0, "")], 10_000.0).text
    assert "of the time" in summarize([Stall(n * 100.0, 50.0, "") for n in range(40)], 10_000.0).text
    assert summarize([Stall(0.0, 5000.0, "n0", "it was stopped")], 10_000.0).text == ""


def test_a_history_is_the_same_after_writing_and_reading(tmp_path: Path) -> None:
    events = [asked(1.5, "q1-1"), Event(2.25, "answered", ("q1-1", "served"))]
    history.write(events, tmp_path / "h.jsonl")
    assert history.read(tmp_path / "h.jsonl") == events


def test_two_runs_diverge_at_the_first_entry_of_a_sequence_that_differs() -> None:
    def told(at: float, limiter: str, server: str, state: str) -> Event:
        return Event(at, "told", (limiter, server, state, 0.0))

    real = [told(1.0, "n0", "s-0", "running"), told(1.0, "n1", "s-0", "running"), told(700.0, "n0", "s-0", "draining")]
    other = [*real[:2], told(650.0, "n0", "s-0", "gone"), told(900.0, "n1", "s-0", "draining")]
    assert first_differences(event_sequences(real, [], 0.0), event_sequences(real, [], 500.0)) == []  # times may differ
    divergences = first_differences(
        event_sequences(real, [], 0.0), event_sequences(other, [("no request lost", 800.0, "q")], 0.0)
    )
    assert [divergence.subject for divergence in divergences] == ["lists n0 s-0", "rules", "lists n1 s-0"]
    assert "'draining' at 0.700 s in the real run, 'gone' at 0.650 s in the simulation" in divergences[0].text()


def test_the_timeline_merges_all_processes() -> None:
    logs = {
        "n0": "2026-12-01 10:00:00,250 INFO listens\nTraceback (most recent call last):\n",
        "agent-0": '{"event": "limiter started", "limiter": "n0", "timestamp": "2026-12-01T10:00:00.100000Z"}\n',
    }
    epoch_ms = parse_log("x", logs["agent-0"], 0.0)[0].at - 100.0
    lines = timeline(
        [asked(50.0, "q1-1"), Event(60.0, "fault", (0, "box:1", "slow", 1.0, 5.0))],
        [Stall(70.0, 20.0, "")],
        [("no request lost", 80.0, "q1-1 was never answered")],
        logs,
        epoch_ms,
    )
    text = "\n".join(line.shown() for line in lines)
    expected = ("asked", "fault", "stall", "JUDGE", "limiter started limiter=n0")
    positions = [text.index(word) for word in expected]
    assert positions == sorted(positions) and "listens" in text
