"""What the generator decides, without a socket: clients' ways, targets, lateness, thresholds, merging, recording."""

from __future__ import annotations

import random
from array import array
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderlock.control.messages import AnswerCounts, LimiterState
from elderlock.load.clientele import OUTCOMES, Again, Way, reason
from elderlock.load.compare import compared
from elderlock.load.figures import Spread, Totals, classed, decoded
from elderlock.load.lateness import Facts, Span, joined, judged, quantile
from elderlock.load.messages import Interval, Sample
from elderlock.load.page import page, thinned
from elderlock.load.recorder import Recorder
from elderlock.load.report import Exit, Measured, Report, decode, encode, report, summary
from elderlock.load.scenario import Clients, Scenario, Steady, Stream, Truth
from elderlock.load.targets import Front
from elderlock.load.thresholds import ThresholdError, threshold
from elderlock.standins.limiters import limiter_state

CLIENTS = st.builds(
    Clients,
    retries=st.integers(0, 4),
    try_share=st.floats(0.1, 1),
    backoff=st.sampled_from(["none", "fixed", "exp"]),
    backoff_ms=st.floats(0, 500),
    most_wait_ms=st.floats(0, 2000),
)


@given(CLIENTS, st.sampled_from(OUTCOMES), st.none() | st.floats(0, 5000), st.booleans(), st.floats(0, 1500))
def test_a_client_never_tries_beyond_its_time_nor_more_often_than_it_may(
    clients: Clients, outcome: str, advice: float | None, honours: bool, waited: float
) -> None:
    way, rng = Way(clients), random.Random(1)
    for tries in range(1, 7):
        again = way.after(outcome, advice, tries, honours, waited, 1200.0, rng)
        if again is None:
            continue
        assert tries <= clients.retries and outcome not in ("served", "left", "ended")
        assert waited + again.wait < 1200.0 and again.wait >= 0.0
        if outcome == "refused" and advice is not None and honours:
            assert again.wait == advice <= clients.most_wait_ms
        assert way.patience(1200.0, waited) <= 1200.0 - waited


@pytest.mark.parametrize(
    ("before", "outcome", "sent", "wrote", "counts_as"),
    [
        ("", "nowhere", False, False, "nowhere"),
        ("", "served", True, True, "served"),
        ("refused", "timeout", True, True, "timeout"),
        ("refused", "nowhere", True, False, "refused"),
        ("", "refused_connection", True, True, "lost"),
        ("nowhere", "descriptors", False, False, "descriptors"),
    ],
)
def test_a_request_counts_as_its_last_try_that_was_sent(
    before: str, outcome: str, sent: bool, wrote: bool, counts_as: str
) -> None:
    assert reason(before, outcome, sent, wrote) == counts_as


def test_who_honours_come_back_waits_so_long_and_others_back_off() -> None:
    way = Way(Clients(retries=3, backoff="exp", backoff_ms=40, jitter=False, most_wait_ms=300))
    rng = random.Random(1)
    assert way.after("refused", 250.0, 1, True, 0.0, 1200.0, rng) == Again(250.0)
    assert way.after("refused", 301.0, 1, True, 0.0, 1200.0, rng) is None
    assert way.after("refused", 250.0, 1, True, 1000.0, 1200.0, rng) is None  # the time is not enough
    assert [way.after("refused", 250.0, n, False, 0.0, 1200.0, rng) for n in (1, 2, 3, 4)] == [
        Again(40.0),
        Again(80.0),
        Again(160.0),
        None,
    ]


def test_the_front_sends_to_the_set_then_to_all_and_notices_silence_late() -> None:
    front, rng = Front(4, silent=2.0), random.Random(1)
    assert front.choose(2, 0, rng) is None
    for target in range(4):
        front.ponged(target, 0.0)
    assert {front.choose(2, 3, rng) for _ in range(50)} == {3, 0}
    front.turned_away(3, 0.5)
    assert {front.choose(2, 3, rng) for _ in range(50)} == {0}
    front.look(1.9)
    assert front.part == [True, True, True, False]
    front.ponged(1, 1.0)
    front.look(2.5)
    assert front.part == [False, True, False, False]
    assert {front.choose(2, 3, rng) for _ in range(50)} == {1}
    assert front.changes[-1] == (2.5, 2, False)


# Lateness

CALM = Facts(1000.0, 100.0, 0.0, 1.0, 0.5)


@pytest.mark.parametrize(
    ("late_ms", "facts", "why"),
    [
        ([0.1] * 100, CALM, None),
        ([0.1] * 99 + [19.0], CALM, None),
        ([0.1] * 98 + [30.0] * 2, CALM, "unknown"),
        ([0.1] * 999 + [150.0], CALM, "unknown"),
        ([], msgspec.structs.replace(CALM, descriptors=3), "descriptors"),
        ([900.0] * 50, Facts(1500.0, 100.0, 0.0, 950.0, 2.0), "stopped"),
        ([900.0] * 50, Facts(1500.0, 100.0, 0.0, 950.0, 2.0, preempted=9), "stopped"),
        ([900.0] * 50, Facts(1500.0, 100.0, 800.0, 950.0, 2.0), "core"),
        ([60.0] * 50, Facts(1000.0, 300.0, 0.0, 40.0, 10.0, preempted=90), "core"),
        ([60.0] * 50, Facts(1000.0, 300.0, 500.0, 40.0, 10.0), "core"),
        ([60.0] * 50, Facts(1000.0, 970.0, 0.0, 5.0, 5.0, preempted=20), "cpu"),
        ([0.1], msgspec.structs.replace(CALM, dials=9, slow_dials=2, slowest_dial_ms=1040.0), "backlog"),
    ],
)
def test_a_second_is_behind_by_its_bounds_and_its_facts_say_why(
    late_ms: list[float], facts: Facts, why: str | None
) -> None:
    late = array("I", [round(ms * 1000) for ms in late_ms])
    span = judged(1, 3.0, 4.0, late, facts, Truth())
    assert (span.why if span else None) == why
    if span is not None and late_ms:
        assert span.most_ms == max(late_ms)


@given(st.lists(st.integers(0, 10**7), min_size=1, max_size=60), st.floats(0.01, 1))
def test_a_quantile_is_the_least_that_so_many_lie_at_or_below(values: list[int], share: float) -> None:
    found = quantile(values, share)
    assert found in values
    assert sum(v <= found for v in values) >= share * len(values) - 1e-6
    below = sum(v < found for v in values)
    assert below < share * len(values) + 1e-6


def test_neighbouring_seconds_of_one_cause_are_told_as_one() -> None:
    spans = [
        Span(0, 1.0, 2.0, 5, 30.0, "cpu", "a"),
        Span(0, 2.0, 3.0, 7, 50.0, "cpu", "b"),
        Span(1, 2.0, 3.0, 1, 40.0, "cpu", "c"),
        Span(0, 3.0, 4.0, 2, 60.0, "stopped", "d"),
    ]
    assert joined(spans) == [
        Span(0, 1.0, 3.0, 12, 50.0, "cpu", "b"),
        Span(1, 2.0, 3.0, 1, 40.0, "cpu", "c"),
        Span(0, 3.0, 4.0, 2, 60.0, "stopped", "d"),
    ]


# Merging


@given(st.integers(0, 2**32 - 1))
def test_a_value_is_within_a_thousandth_of_its_class(value: int) -> None:
    assert classed(value) <= value <= classed(value) * (1 + 1 / 1024)
    assert classed(classed(value)) == classed(value)


@given(st.lists(st.lists(st.integers(1, 3_000_000_000), max_size=20), max_size=6), st.randoms())
def test_merged_in_any_order_the_histogram_is_the_same_to_the_count(parts: list[list[int]], rng: Any) -> None:
    whole = Spread()
    whole.add(value for part in parts for value in part)
    shuffled = list(parts)
    rng.shuffle(shuffled)
    merged = Spread()
    for part in shuffled:
        one = Spread()
        one.add(part)
        merged.merge(one)
    assert merged.counts == whole.counts
    if whole.counts:
        again = decoded(merged.encoded())
        assert again.total() == whole.total() and again.times() == whole.times()


def interval(worker: int, number: int, ends: dict[str, list[int]], last: bool = False, **changes: Any) -> Interval:
    count = sum(map(len, ends.values()))
    sent = sum(len(v) for name, v in ends.items() if name != "nowhere")
    samples = [
        Sample(
            name,
            "shop",
            "calm",
            0,
            array("I", values).tobytes(),
            array("I", [max(1, v // 2) for v in values]).tobytes(),
        )
        for name, values in ends.items()
    ]
    values: dict[str, Any] = {
        "worker": worker,
        "number": number,
        "start": float(number),
        "end": number + 1.0,
        "counts": {"offered": count, "sent": sent},
        "samples": samples,
        "late": array("I", [100] * count).tobytes(),
        "facts": CALM,
        "open": 0,
        "open_sent": 0,
        "rss_kb": 30_000,
        "faults": {},
        "shown": {},
        "changes": [],
        "last": last,
        **changes,
    }
    return Interval(**values)


SCENARIO = Scenario("made", for_s=12.0, stream=(Stream("a", "shop", shape=(Steady(1.0),)),), fail_if=("p99>90ms",))


def made(latency: int = 20_000, seconds: int = 12, **changes: Any) -> Report:
    totals = Totals(Truth(), 1)
    rng = random.Random(latency)
    for number in range(seconds):
        ends = {"served": [int(latency * rng.uniform(0.8, 1.2)) for _ in range(100)], "refused": [1000] * 5}
        totals.take(interval(0, number, ends, last=number == seconds - 1))
        totals.second(number)
    values: dict[str, Any] = {
        "scheduled": 105 * seconds,
        "began_at": 0.0,
        "lasted": float(seconds),
        "notes": [],
        "incomplete": False,
        **changes,
    }
    return report(totals, SCENARIO, **values)


def test_offered_sent_answered_and_unanswered_add_up() -> None:
    totals = Totals(Truth(), 2)
    totals.take(interval(1, 0, {"served": [5], "timeout": [9, 9]}))
    totals.take(
        interval(
            0,
            0,
            {"served": [5, 5], "nowhere": [1], "refused": [2]},
            open=1,
            open_sent=1,
            counts={"offered": 5, "sent": 4},
            late=array("I", [0] * 5).tobytes(),
        )
    )
    ledger = totals.ledger(10)
    assert ledger == {
        "scheduled": 10,
        "offered": 8,
        "sent": 7,
        "answered": 4,
        "unanswered": 2,
        "unsent": 1,
        "missing": 3,
        "open": 1,
    }
    assert totals.check(ledger) == []
    totals.take(interval(0, 1, {"served": [5]}, counts={"offered": 2, "sent": 1}))
    assert totals.check(totals.ledger(10))


def test_long_runs_keep_so_many_blocks_and_lose_no_count() -> None:
    totals = Totals(Truth(), 1)
    for number in range(1500):
        totals.take(interval(0, number, {"served": [number + 1]}))
    blocks = totals.blocks()
    assert len(blocks) <= 513 and sum(block.outcomes["served"] for block in blocks) == 1500


def test_a_report_is_kept_and_judged_again() -> None:
    first = made()
    assert first.exit == Exit.DONE and decode(encode(first)) == first
    assert any("answered 1260" in line for line in summary(first))
    slow = made(100_000)
    assert slow.exit == Exit.FAILED and slow.failed[0].startswith("p99>90ms: it is 11")
    assert made(incomplete=True).exit == Exit.INCOMPLETE
    lost = made(scheduled=2000)
    assert lost.exit == Exit.INCOMPLETE and lost.ledger["missing"] == 740 and lost.rate_error == 0.37
    with pytest.raises(ValueError, match="not a report"):
        decode(b"[]")
    with pytest.raises(ValueError, match="version 9"):
        decode(encode(msgspec.structs.replace(first, version=9)))


def test_a_comparison_tells_a_difference_from_the_noise() -> None:
    differences, warnings = compared(made(20_000), made(20_001))
    assert {d.what: d.verdict for d in differences}["p50 ms"] == "within the noise" and not warnings
    differences, _ = compared(made(20_000), made(30_000))
    assert {d.what: d.verdict for d in differences}["p90 ms"] == "higher"
    differences, warnings = compared(made(seconds=2), made(scheduled=9999))
    assert differences[0].verdict == "cannot be told: too short" and "not accounted for" in warnings[0]


def test_the_page_stands_alone() -> None:
    text = page(made(100_000))
    assert text.count("<svg") == 6 and "<script" not in text
    assert not any(word in text for word in ("src=", "@import", 'href="http'))
    assert "p99&gt;90ms" in text
    curve = [(n, 1.0) for n in range(5000)]
    curve[3333] = (3333, 99.0)
    assert len(thinned(curve)) <= 400 and (3333, 99.0) in thinned(curve)


# Thresholds


@pytest.mark.parametrize(
    ("text", "kept"),
    [
        ("p99>250ms", True),
        ("p99>10ms", False),
        ("p50 >= 0.001 s", False),
        ("service.p50>15ms", True),
        ("share.served<99%", False),
        ("share.refused<0.01", True),
        ("unanswered>0", True),
        ("late.max>50us", False),
        ("p99{outcome=refused}>2ms", True),
        ("p99{plan=gold}>2s", False),
        ("missing>=1", True),
        ("rate_error>0.5", True),
        ("max{target=0}<1ms", None),
        ("latency.p99.9{target=0}<1ms", True),
        ("answered<1260", True),
    ],
)
def test_thresholds(text: str, kept: bool | None) -> None:
    if kept is None:
        with pytest.raises(ThresholdError):
            threshold(text)
        return
    assert (threshold(text).failed(Measured(made())) is None) is kept


@pytest.mark.parametrize(
    "text",
    [
        "",
        "p99",
        "p99>250",
        "p101>2ms",
        "unanswered>2ms",
        "share>1",
        "speed>1",
        "p99{colour=red}>1ms",
        "p9x>1s",
        "p99>1.2.3ms",
        "share.served{plan=a}<1",
    ],
)
def test_what_is_no_threshold_is_refused(text: str) -> None:
    with pytest.raises(ThresholdError):
        threshold(text)


# Recording from the limiters' figures


def shown(uptime: float, plans: dict[str, int], accounts: dict[str, int], pid: int = 7) -> dict[str, LimiterState]:
    counts = {name: AnswerCounts(served=count) for name, count in accounts.items()}
    by_plan = {name: AnswerCounts(served=count) for name, count in plans.items()}
    return {"n0": limiter_state("n0", pid=pid, uptime_ms=uptime, accounts=counts, plans=by_plan)}


A, B, C = (f"{number:016x}" for number in (1, 2, 3))


def test_a_trace_has_each_accounts_requests_of_each_look() -> None:
    recorder = Recorder({B: "gold"})
    assert recorder.look(shown(10, {"shop": 50}, {A: 50}), 0.0, 1.0) == []
    rows = recorder.look(shown(20, {"shop": 52, "gold": 1}, {A: 52, B: 1}), 1.0, 2.0)
    assert [(row.at, row.account, row.plan) for row in rows] == [(1_500_000, B, "gold")] and recorder.uncounted == 2
    rows = recorder.look(shown(30, {"shop": 54, "gold": 1}, {A: 54, B: 1}), 2.0, 3.0)
    assert [(row.at, row.account, row.plan) for row in rows] == [(2_250_000, A, "shop"), (2_750_000, A, "shop")]


def test_a_restart_is_read_as_no_fall_and_no_rush() -> None:
    recorder = Recorder({A: "shop", C: "shop"})
    recorder.look(shown(1000, {"shop": 50}, {A: 50}), 0.0, 1.0)
    assert recorder.look(shown(10, {"shop": 70}, {A: 70}), 1.0, 2.0) == []
    assert recorder.look(shown(10, {"shop": 90}, {A: 90}, pid=8), 2.0, 3.0) == []
    assert len(recorder.look(shown(20, {"shop": 92}, {A: 91, C: 1}, pid=8), 3.0, 4.0)) == 2
