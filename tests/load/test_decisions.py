"""The load generator without sockets: retries, target selection, lateness, merging, reports, thresholds, recording."""

from __future__ import annotations

import random
from array import array
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderlock.control.messages import AnswerCounts, LimiterState
from elderlock.load.client_policy import OUTCOMES, ClientPolicy, Retry, combined_outcome
from elderlock.load.compare import compare_reports
from elderlock.load.html_report import render_page, thinned
from elderlock.load.lateness import LateSpan, ResourceUsage, find_late_span, merge_spans, quantile
from elderlock.load.messages import Interval, Sample
from elderlock.load.metrics import Histogram, Totals, bucket_floor, decode_histogram
from elderlock.load.recorder import Recorder
from elderlock.load.report import Exit, Report, ReportMetrics, build_report, decode, encode, summary
from elderlock.load.scenario import Clients, LatenessLimits, Scenario, Steady, Stream
from elderlock.load.targets import TargetSelector
from elderlock.load.thresholds import ThresholdError, parse_threshold
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
def test_a_client_never_retries_after_its_deadline_or_beyond_its_limit(
    clients: Clients, outcome: str, advice: float | None, honours_retry_after: bool, elapsed: float
) -> None:
    policy, rng = ClientPolicy(clients), random.Random(1)
    for attempts in range(1, 7):
        retry = policy.next_retry(outcome, advice, attempts, honours_retry_after, elapsed, 1200.0, rng)
        if retry is None:
            continue
        assert attempts <= clients.retries and outcome not in ("served", "left", "ended")
        assert elapsed + retry.wait_ms < 1200.0 and retry.wait_ms >= 0.0
        if outcome == "refused" and advice is not None and honours_retry_after:
            assert retry.wait_ms == advice <= clients.most_wait_ms
        assert policy.attempt_timeout_ms(1200.0, elapsed) <= 1200.0 - elapsed


@pytest.mark.parametrize(
    ("previous", "outcome", "was_sent", "was_written", "combined"),
    [
        ("", "nowhere", False, False, "nowhere"),
        ("", "served", True, True, "served"),
        ("refused", "timeout", True, True, "timeout"),
        ("refused", "nowhere", True, False, "refused"),
        ("", "refused_connection", True, True, "lost"),
        ("nowhere", "descriptors", False, False, "descriptors"),
    ],
)
def test_a_request_has_the_outcome_of_its_last_attempt_that_was_sent(
    previous: str, outcome: str, was_sent: bool, was_written: bool, combined: str
) -> None:
    assert combined_outcome(previous, outcome, was_sent, was_written) == combined


def test_clients_that_honour_the_advised_wait_follow_it_and_others_back_off() -> None:
    policy = ClientPolicy(Clients(retries=3, backoff="exp", backoff_ms=40, jitter=False, most_wait_ms=300))
    rng = random.Random(1)
    assert policy.next_retry("refused", 250.0, 1, True, 0.0, 1200.0, rng) == Retry(250.0)
    assert policy.next_retry("refused", 301.0, 1, True, 0.0, 1200.0, rng) is None
    assert policy.next_retry("refused", 250.0, 1, True, 1000.0, 1200.0, rng) is None  # too little time is left
    assert [policy.next_retry("refused", 250.0, n, False, 0.0, 1200.0, rng) for n in (1, 2, 3, 4)] == [
        Retry(40.0),
        Retry(80.0),
        Retry(160.0),
        None,
    ]


def test_the_selector_prefers_the_accounts_targets_and_drops_silent_ones_after_the_timeout() -> None:
    selector, rng = TargetSelector(4, silence_timeout=2.0), random.Random(1)
    assert selector.choose(2, 0, rng) is None
    for target in range(4):
        selector.record_pong(target, 0.0)
    assert {selector.choose(2, 3, rng) for _ in range(50)} == {3, 0}
    selector.record_unavailable(3, 0.5)
    assert {selector.choose(2, 3, rng) for _ in range(50)} == {0}
    selector.expire_silent(1.9)
    assert selector.available == [True, True, True, False]
    selector.record_pong(1, 1.0)
    selector.expire_silent(2.5)
    assert selector.available == [False, True, False, False]
    assert {selector.choose(2, 3, rng) for _ in range(50)} == {1}
    assert selector.changes[-1] == (2.5, 2, False)


# Lateness

NORMAL_USAGE = ResourceUsage(1000.0, 100.0, 0.0, 1.0, 0.5)


@pytest.mark.parametrize(
    ("late_ms", "usage", "why"),
    [
        ([0.1] * 100, NORMAL_USAGE, None),
        ([0.1] * 99 + [19.0], NORMAL_USAGE, None),
        ([0.1] * 98 + [30.0] * 2, NORMAL_USAGE, "unknown"),
        ([0.1] * 999 + [150.0], NORMAL_USAGE, "unknown"),
        ([], msgspec.structs.replace(NORMAL_USAGE, descriptors=3), "descriptors"),
        ([900.0] * 50, ResourceUsage(1500.0, 100.0, 0.0, 950.0, 2.0), "stopped"),
        ([900.0] * 50, ResourceUsage(1500.0, 100.0, 0.0, 950.0, 2.0, preempted=9), "stopped"),
        ([900.0] * 50, ResourceUsage(1500.0, 100.0, 800.0, 950.0, 2.0), "core"),
        ([60.0] * 50, ResourceUsage(1000.0, 300.0, 0.0, 40.0, 10.0, preempted=90), "core"),
        ([60.0] * 50, ResourceUsage(1000.0, 300.0, 500.0, 40.0, 10.0), "core"),
        ([60.0] * 50, ResourceUsage(1000.0, 970.0, 0.0, 5.0, 5.0, preempted=20), "cpu"),
        ([0.1], msgspec.structs.replace(NORMAL_USAGE, dials=9, slow_dials=2, slowest_dial_ms=1040.0), "backlog"),
    ],
)
def test_a_second_is_late_by_its_limits_and_its_resource_usage_shows_the_cause(
    late_ms: list[float], usage: ResourceUsage, why: str | None
) -> None:
    late = array("I", [round(ms * 1000) for ms in late_ms])
    span = find_late_span(1, 3.0, 4.0, late, usage, LatenessLimits())
    assert (span.why if span else None) == why
    if span is not None and late_ms:
        assert span.most_ms == max(late_ms)


@given(st.lists(st.integers(0, 10**7), min_size=1, max_size=60), st.floats(0.01, 1))
def test_a_quantile_is_the_smallest_value_that_covers_the_share(values: list[int], share: float) -> None:
    found = quantile(values, share)
    assert found in values
    assert sum(v <= found for v in values) >= share * len(values) - 1e-6
    below = sum(v < found for v in values)
    assert below < share * len(values) + 1e-6


def test_adjacent_seconds_with_one_cause_are_merged() -> None:
    spans = [
        LateSpan(0, 1.0, 2.0, 5, 30.0, "cpu", "a"),
        LateSpan(0, 2.0, 3.0, 7, 50.0, "cpu", "b"),
        LateSpan(1, 2.0, 3.0, 1, 40.0, "cpu", "c"),
        LateSpan(0, 3.0, 4.0, 2, 60.0, "stopped", "d"),
    ]
    assert merge_spans(spans) == [
        LateSpan(0, 1.0, 3.0, 12, 50.0, "cpu", "b"),
        LateSpan(1, 2.0, 3.0, 1, 40.0, "cpu", "c"),
        LateSpan(0, 3.0, 4.0, 2, 60.0, "stopped", "d"),
    ]


# Merging


@given(st.integers(0, 2**32 - 1))
def test_a_value_is_within_a_thousandth_of_its_bucket(value: int) -> None:
    assert bucket_floor(value) <= value <= bucket_floor(value) * (1 + 1 / 1024)
    assert bucket_floor(bucket_floor(value)) == bucket_floor(value)


@given(st.lists(st.lists(st.integers(1, 3_000_000_000), max_size=20), max_size=6), st.randoms())
def test_merging_in_any_order_gives_exactly_the_same_histogram(parts: list[list[int]], rng: Any) -> None:
    whole = Histogram()
    whole.add(value for part in parts for value in part)
    shuffled = list(parts)
    rng.shuffle(shuffled)
    merged = Histogram()
    for part in shuffled:
        part_histogram = Histogram()
        part_histogram.add(part)
        merged.merge(part_histogram)
    assert merged.counts == whole.counts
    if whole.counts:
        decoded = decode_histogram(merged.encoded())
        assert decoded.total() == whole.total() and decoded.times() == whole.times()


def interval(
    worker: int, number: int, latencies_us: dict[str, list[int]], last: bool = False, **changes: Any
) -> Interval:
    count = sum(map(len, latencies_us.values()))
    sent = sum(len(v) for name, v in latencies_us.items() if name != "nowhere")
    samples = [
        Sample(
            name,
            "shop",
            "calm",
            0,
            array("I", values).tobytes(),
            array("I", [max(1, v // 2) for v in values]).tobytes(),
        )
        for name, values in latencies_us.items()
    ]
    values: dict[str, Any] = {
        "worker": worker,
        "number": number,
        "start": float(number),
        "end": number + 1.0,
        "counts": {"offered": count, "sent": sent},
        "samples": samples,
        "late": array("I", [100] * count).tobytes(),
        "facts": NORMAL_USAGE,
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


def build(latency: int = 20_000, seconds: int = 12, **changes: Any) -> Report:
    totals = Totals(LatenessLimits(), 1)
    rng = random.Random(latency)
    for number in range(seconds):
        latencies_us = {"served": [int(latency * rng.uniform(0.8, 1.2)) for _ in range(100)], "refused": [1000] * 5}
        totals.add_interval(interval(0, number, latencies_us, last=number == seconds - 1))
        totals.take_second(number)
    values: dict[str, Any] = {
        "scheduled": 105 * seconds,
        "began_at": 0.0,
        "lasted": float(seconds),
        "notes": [],
        "incomplete": False,
        **changes,
    }
    return build_report(totals, SCENARIO, **values)


def test_the_ledger_balances() -> None:
    totals = Totals(LatenessLimits(), 2)
    totals.add_interval(interval(1, 0, {"served": [5], "timeout": [9, 9]}))
    totals.add_interval(
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
    totals.add_interval(interval(0, 1, {"served": [5]}, counts={"offered": 2, "sent": 1}))
    assert totals.check(totals.ledger(10))


def test_a_long_run_has_a_bounded_number_of_blocks_without_losing_counts() -> None:
    totals = Totals(LatenessLimits(), 1)
    for number in range(1500):
        totals.add_interval(interval(0, number, {"served": [number + 1]}))
    blocks = totals.blocks()
    assert len(blocks) <= 513 and sum(block.outcomes["served"] for block in blocks) == 1500


def test_a_stored_report_is_decoded_and_its_exit_code_shows_the_result() -> None:
    first = build()
    assert first.exit == Exit.DONE and decode(encode(first)) == first
    assert any("answered 1260" in line for line in summary(first))
    slow = build(100_000)
    assert slow.exit == Exit.FAILED and slow.failed[0].startswith("p99>90ms: it is 11")
    assert build(incomplete=True).exit == Exit.INCOMPLETE
    lost = build(scheduled=2000)
    assert lost.exit == Exit.INCOMPLETE and lost.ledger["missing"] == 740 and lost.rate_error == 0.37
    with pytest.raises(ValueError, match="not a report of a load run"):
        decode(b"[]")
    with pytest.raises(ValueError, match="version 9, only 1 is supported"):
        decode(encode(msgspec.structs.replace(first, version=9)))


def test_a_comparison_distinguishes_differences_from_noise() -> None:
    differences, warnings = compare_reports(build(20_000), build(20_001))
    assert {d.what: d.verdict for d in differences}["p50 ms"] == "within the noise" and not warnings
    differences, _ = compare_reports(build(20_000), build(30_000))
    assert {d.what: d.verdict for d in differences}["p90 ms"] == "higher"
    differences, warnings = compare_reports(build(seconds=2), build(scheduled=9999))
    assert differences[0].verdict == "cannot be told: too short" and "not accounted for" in warnings[0]


def test_the_page_is_self_contained_and_keeps_spikes() -> None:
    text = render_page(build(100_000))
    assert text.count("<svg") == 6 and "<script" not in text
    assert not any(word in text for word in ("src=", "@import", 'href="http'))
    assert "p99&gt;90ms" in text
    curve = [(n, 1.0) for n in range(5000)]
    curve[3333] = (3333, 99.0)
    assert len(thinned(curve)) <= 400 and (3333, 99.0) in thinned(curve)


# Thresholds


@pytest.mark.parametrize(
    ("text", "passes"),
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
def test_a_threshold_passes_fails_or_is_rejected(text: str, passes: bool | None) -> None:
    if passes is None:
        with pytest.raises(ThresholdError):
            parse_threshold(text)
        return
    assert (parse_threshold(text).failed(ReportMetrics(build())) is None) is passes


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
def test_a_malformed_threshold_is_rejected(text: str) -> None:
    with pytest.raises(ThresholdError):
        parse_threshold(text)


# Recording from the limiters' counters


def limiter_states(
    uptime_ms: float, plans: dict[str, int], accounts: dict[str, int], pid: int = 7
) -> dict[str, LimiterState]:
    counts = {name: AnswerCounts(served=count) for name, count in accounts.items()}
    by_plan = {name: AnswerCounts(served=count) for name, count in plans.items()}
    return {"n0": limiter_state("n0", pid=pid, uptime_ms=uptime_ms, accounts=counts, plans=by_plan)}


A, B, C = (f"{number:016x}" for number in (1, 2, 3))


def test_a_recorded_trace_has_each_accounts_requests_of_each_poll() -> None:
    recorder = Recorder({B: "gold"})
    assert recorder.poll(limiter_states(10, {"shop": 50}, {A: 50}), 0.0, 1.0) == []
    rows = recorder.poll(limiter_states(20, {"shop": 52, "gold": 1}, {A: 52, B: 1}), 1.0, 2.0)
    assert [(row.at, row.account, row.plan) for row in rows] == [(1_500_000, B, "gold")] and recorder.uncounted == 2
    rows = recorder.poll(limiter_states(30, {"shop": 54, "gold": 1}, {A: 54, B: 1}), 2.0, 3.0)
    assert [(row.at, row.account, row.plan) for row in rows] == [(2_250_000, A, "shop"), (2_750_000, A, "shop")]


def test_a_limiter_restart_does_not_add_requests_to_the_trace() -> None:
    recorder = Recorder({A: "shop", C: "shop"})
    recorder.poll(limiter_states(1000, {"shop": 50}, {A: 50}), 0.0, 1.0)
    assert recorder.poll(limiter_states(10, {"shop": 70}, {A: 70}), 1.0, 2.0) == []
    assert recorder.poll(limiter_states(10, {"shop": 90}, {A: 90}, pid=8), 2.0, 3.0) == []
    assert len(recorder.poll(limiter_states(20, {"shop": 92}, {A: 91, C: 1}, pid=8), 3.0, 4.0)) == 2
