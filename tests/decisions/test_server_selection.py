"""Where requests go while servers fail, are slow or warm up."""

from collections.abc import Callable
from dataclasses import replace

from helpers import LimiterHarness, limiter_settings, server_entry, start_harness

from elderlock.interface import ListKind, Outcome


def test_a_server_that_fails_fast_is_avoided_and_comes_back_after_a_trial() -> None:
    harness = start_harness(server_ids="ab")
    for _ in range(60):
        name = harness.send_request(customer_id=f"c{harness.request_count}")
        while name not in harness.answered_ids:
            bad = harness.attempted_servers(name)[-1] == "a"
            harness.end_attempt(name, Outcome.ERROR if bad else Outcome.OK)
        harness.run_until(harness.now_ms + 20.0)
    recent = [s.server_id for at, s in harness.sent_attempts if at > harness.now_ms - 500.0]
    assert recent.count("a") <= 2
    before = harness.send_request(customer_id="first")
    for _ in range(600):
        now = harness.send_request(customer_id=f"c{harness.request_count}")
        harness.end_attempt(before)
        harness.run_until(harness.now_ms + 50.0)
        before = now
    recent = [s.server_id for at, s in harness.sent_attempts if at > harness.now_ms - 1000.0]
    assert recent.count("a") >= 3


def test_requests_are_sent_although_all_servers_fail() -> None:
    harness = start_harness()
    for _ in range(60):
        name = harness.send_request(customer_id=f"c{harness.request_count}")
        while name not in harness.answered_ids:
            harness.end_attempt(name, Outcome.ERROR)
        harness.run_until(harness.now_ms + 20.0)
    assert harness.attempted_servers(harness.send_request(customer_id="last"))


def test_untried_servers_of_a_failing_zone_cost_more() -> None:
    harness = start_harness(limiter_settings(limiter_count=400), server_ids="abcdefghijklmnopqrst")
    for _ in range(20):
        name = harness.send_request(customer_id=f"c{harness.request_count}")
        bad = ord(harness.attempted_servers(name)[0]) % 2
        harness.end_attempt(name, Outcome.CONNECT_FAILED if bad else Outcome.OK)
        harness.run_until(harness.now_ms + 50.0)
    share = harness.limiter.endpoints.health.failure_fraction_by_domain  # one that never failed need not stand there
    assert share["zone", 0] > share.get(("zone", 1), 0.0)
    servers = harness.limiter.endpoints.servers
    request = harness.limiter.requests[harness.send_request(customer_id="x")]
    costs = {
        n: harness.limiter.attempts.server_selector.cost(servers[n], request, set())
        for n in servers
        if not servers[n].in_flight
    }
    unseen = {n: c for n, c in costs.items() if servers[n].latency_ratio_at_ms < 0}
    bad_costs = [c for n, c in unseen.items() if ord(n) % 2]
    good_costs = [c for n, c in unseen.items() if not ord(n) % 2]
    assert not bad_costs or not good_costs or min(bad_costs) > max(good_costs)


def test_a_plan_answered_full_goes_to_other_servers() -> None:
    harness = start_harness(server_ids="ab")
    for i in range(30):
        name = harness.send_request(customer_id=f"c{i}", plan_index=0)
        harness.end_attempt(name, Outcome.FULL if harness.attempted_servers(name)[0] == "a" else Outcome.OK)
        harness.end_attempt(name)
        harness.run_until(harness.now_ms + 10.0)
    assert [harness.attempted_servers(harness.send_request(customer_id=f"d{i}"))[0] for i in range(5)].count("a") == 0


def test_a_server_that_never_answers_is_avoided() -> None:
    harness = start_harness(server_ids="abc")
    for _ in range(100):
        name = harness.send_request(customer_id=f"c{harness.request_count}")
        if harness.attempted_servers(name)[0] != "a":
            harness.end_attempt(name)
        harness.run_until(harness.now_ms + 20.0)
    recent = [s.server_id for at, s in harness.sent_attempts if at > 1000.0]
    assert recent.count("a") <= 3


def test_a_server_that_warms_up_gets_its_fraction_only() -> None:
    harness = start_harness(server_ids="abcde")
    harness.run_until(20000.0)
    harness.apply_list(*(server_entry(n, 0) for n in "abcde"), server_entry("f", 0, started_at_ms=20000.0))
    for _ in range(200):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"), duration_ms=50.0)
        harness.run_until(harness.now_ms + 10.0)
    counts = [sum(s.server_id == n for _, s in harness.sent_attempts) for n in "abcdef"]
    assert 0 < counts[5] <= 0.6 * 2.0 * 0.4 * sum(counts[:5]) / 5 + 2


def test_a_small_server_that_warms_up_gets_less_than_a_large_one() -> None:
    harness = start_harness(server_ids="abcde")
    for _ in range(200):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"))
        harness.run_until(harness.now_ms + 10.0)
    big, small = server_entry("f", 0, started_at_ms=harness.now_ms), server_entry("g", 0, started_at_ms=harness.now_ms)
    harness.apply_list(big, replace(small, weight=0.25), kind=ListKind.CHANGES)
    for _ in range(100):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"), duration_ms=50.0)
        harness.run_until(harness.now_ms + 10.0)
    counts = [sum(s.server_id == n for _, s in harness.sent_attempts) for n in "fg"]
    assert counts[0] > counts[1] > 0
    assert harness.final_answers == {}


def first_servers(harness: LimiterHarness, count: int, wrong: Callable[[int, str], bool]) -> list[str]:
    """Where requests went with some always out; a wrong answer is followed by the good one elsewhere."""
    names: list[str] = []
    for number in range(count):
        names.append(harness.send_request(customer_id=f"c{harness.request_count}"))
        harness.run_until(harness.now_ms + 20.0)
        if number >= 4:
            if wrong(number, harness.attempted_servers(names[number - 4])[0]):
                harness.end_attempt(names[number - 4], Outcome.ERROR, duration_ms=1.0)
            harness.end_attempt(names[number - 4])
    return [harness.attempted_servers(name)[0] for name in names]


def test_errors_alike_at_all_servers_keep_all_in_use() -> None:
    went = first_servers(start_harness(), 600, lambda number, _: number % 12 == 0)
    parts = [went[at : at + 30] for at in range(90, 600, 30)]
    assert max(max(part.count(name) for name in "abcdef") for part in parts) <= 15


def test_a_timeout_counts_more_at_a_server_that_answers_nothing() -> None:
    for answers in (True, False):
        harness = start_harness(server_ids="a")
        harness.end_attempt(harness.send_request(customer_id="first"))
        waiting = harness.send_request(customer_id="c")
        harness.run_until(harness.now_ms + 500.0)
        if answers:
            harness.end_attempt(harness.send_request(customer_id="other"))
        harness.run_until(harness.now_ms + 499.0)
        harness.end_attempt(waiting, Outcome.TIMEOUT, duration_ms=999.0)
        assert (harness.limiter.endpoints.servers["a"].latency_ratio > 1.0) is not answers


def test_a_server_that_answers_only_errors_is_avoided() -> None:
    went = first_servers(start_harness(), 600, lambda _, server: server == "a")
    assert went[100:].count("a") < 25
