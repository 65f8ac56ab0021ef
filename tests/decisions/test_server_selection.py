"""The selection of servers while servers fail, are slow or are warming up."""

from collections.abc import Callable
from dataclasses import replace

from helpers import LimiterHarness, limiter_settings, server_entry, start_harness

from elderlock.interface import ListKind, Outcome


def test_a_server_that_fails_fast_is_avoided_and_used_again_after_it_recovers() -> None:
    harness = start_harness(server_ids="ab")
    for _ in range(60):
        request_id = harness.send_request(customer_id=f"c{harness.request_count}")
        while request_id not in harness.answered_ids:
            is_failing = harness.attempted_servers(request_id)[-1] == "a"
            harness.end_attempt(request_id, Outcome.ERROR if is_failing else Outcome.OK)
        harness.run_until(harness.now_ms + 20.0)
    recent = [attempt.server_id for at, attempt in harness.sent_attempts if at > harness.now_ms - 500.0]
    assert recent.count("a") <= 2
    previous = harness.send_request(customer_id="first")
    for _ in range(600):
        current = harness.send_request(customer_id=f"c{harness.request_count}")
        harness.end_attempt(previous)
        harness.run_until(harness.now_ms + 50.0)
        previous = current
    recent = [attempt.server_id for at, attempt in harness.sent_attempts if at > harness.now_ms - 1000.0]
    assert recent.count("a") >= 3


def test_requests_are_sent_even_if_all_servers_fail() -> None:
    harness = start_harness()
    for _ in range(60):
        request_id = harness.send_request(customer_id=f"c{harness.request_count}")
        while request_id not in harness.answered_ids:
            harness.end_attempt(request_id, Outcome.ERROR)
        harness.run_until(harness.now_ms + 20.0)
    assert harness.attempted_servers(harness.send_request(customer_id="last"))


def test_untried_servers_of_a_failing_zone_cost_more() -> None:
    harness = start_harness(limiter_settings(limiter_count=400), server_ids="abcdefghijklmnopqrst")
    for _ in range(20):
        request_id = harness.send_request(customer_id=f"c{harness.request_count}")
        is_failing = ord(harness.attempted_servers(request_id)[0]) % 2
        harness.end_attempt(request_id, Outcome.CONNECT_FAILED if is_failing else Outcome.OK)
        harness.run_until(harness.now_ms + 50.0)
    fractions = harness.limiter.endpoints.health.failure_fraction_by_domain  # without domains that never failed
    assert fractions["zone", 0] > fractions.get(("zone", 1), 0.0)
    servers = harness.limiter.endpoints.servers
    request = harness.limiter.requests[harness.send_request(customer_id="x")]
    selector = harness.limiter.attempts.server_selector
    costs = {
        server_id: selector.cost(server, request, set())
        for server_id, server in servers.items()
        if not server.in_flight
    }
    untried_costs = {server_id: cost for server_id, cost in costs.items() if servers[server_id].latency_ratio_at_ms < 0}
    failing_zone_costs = [cost for server_id, cost in untried_costs.items() if ord(server_id) % 2]
    other_zone_costs = [cost for server_id, cost in untried_costs.items() if not ord(server_id) % 2]
    assert not failing_zone_costs or not other_zone_costs or min(failing_zone_costs) > max(other_zone_costs)


def test_requests_of_a_plan_that_a_server_answered_full_go_to_other_servers() -> None:
    harness = start_harness(server_ids="ab")
    for i in range(30):
        request_id = harness.send_request(customer_id=f"c{i}", plan_index=0)
        harness.end_attempt(request_id, Outcome.FULL if harness.attempted_servers(request_id)[0] == "a" else Outcome.OK)
        harness.end_attempt(request_id)
        harness.run_until(harness.now_ms + 10.0)
    assert [harness.attempted_servers(harness.send_request(customer_id=f"d{i}"))[0] for i in range(5)].count("a") == 0


def test_a_server_that_never_answers_is_avoided() -> None:
    harness = start_harness(server_ids="abc")
    for _ in range(100):
        request_id = harness.send_request(customer_id=f"c{harness.request_count}")
        if harness.attempted_servers(request_id)[0] != "a":
            harness.end_attempt(request_id)
        harness.run_until(harness.now_ms + 20.0)
    recent = [attempt.server_id for at, attempt in harness.sent_attempts if at > 1000.0]
    assert recent.count("a") <= 3


def test_a_server_that_is_warming_up_gets_only_its_fraction() -> None:
    harness = start_harness(server_ids="abcde")
    harness.run_until(20000.0)
    harness.apply_list(*(server_entry(n, 0) for n in "abcde"), server_entry("f", 0, started_at_ms=20000.0))
    for _ in range(200):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"), duration_ms=50.0)
        harness.run_until(harness.now_ms + 10.0)
    counts = [sum(attempt.server_id == server_id for _, attempt in harness.sent_attempts) for server_id in "abcdef"]
    assert 0 < counts[5] <= 0.6 * 2.0 * 0.4 * sum(counts[:5]) / 5 + 2


def test_a_small_server_that_is_warming_up_gets_less_than_a_large_one() -> None:
    harness = start_harness(server_ids="abcde")
    for _ in range(200):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"))
        harness.run_until(harness.now_ms + 10.0)
    large = server_entry("f", 0, started_at_ms=harness.now_ms)
    small = server_entry("g", 0, started_at_ms=harness.now_ms)
    harness.apply_list(large, replace(small, weight=0.25), kind=ListKind.CHANGES)
    for _ in range(100):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"), duration_ms=50.0)
        harness.run_until(harness.now_ms + 10.0)
    counts = [sum(attempt.server_id == server_id for _, attempt in harness.sent_attempts) for server_id in "fg"]
    assert counts[0] > counts[1] > 0
    assert harness.final_answers == {}


def first_servers(harness: LimiterHarness, count: int, is_error: Callable[[int, str], bool]) -> list[str]:
    """Send `count` requests, and return the server of the first attempt of each.

    Four requests are always in flight. The retry after an error is answered successfully.
    """
    request_ids: list[str] = []
    for number in range(count):
        request_ids.append(harness.send_request(customer_id=f"c{harness.request_count}"))
        harness.run_until(harness.now_ms + 20.0)
        if number >= 4:
            if is_error(number, harness.attempted_servers(request_ids[number - 4])[0]):
                harness.end_attempt(request_ids[number - 4], Outcome.ERROR, duration_ms=1.0)
            harness.end_attempt(request_ids[number - 4])
    return [harness.attempted_servers(request_id)[0] for request_id in request_ids]


def test_equal_error_rates_at_all_servers_keep_all_servers_in_use() -> None:
    servers = first_servers(start_harness(), 600, lambda number, _: number % 12 == 0)
    parts = [servers[start : start + 30] for start in range(90, 600, 30)]
    assert max(max(part.count(server_id) for server_id in "abcdef") for part in parts) <= 15


def test_a_timeout_counts_more_at_a_server_that_answers_nothing() -> None:
    for answers_others in (True, False):
        harness = start_harness(server_ids="a")
        harness.end_attempt(harness.send_request(customer_id="first"))
        waiting = harness.send_request(customer_id="c")
        harness.run_until(harness.now_ms + 500.0)
        if answers_others:
            harness.end_attempt(harness.send_request(customer_id="other"))
        harness.run_until(harness.now_ms + 499.0)
        harness.end_attempt(waiting, Outcome.TIMEOUT, duration_ms=999.0)
        assert (harness.limiter.endpoints.servers["a"].latency_ratio > 1.0) is not answers_others


def test_a_server_that_answers_only_errors_is_avoided() -> None:
    servers = first_servers(start_harness(), 600, lambda _, server_id: server_id == "a")
    assert servers[100:].count("a") < 25
