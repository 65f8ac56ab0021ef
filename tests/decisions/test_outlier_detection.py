"""Outlier detection: the ejection of servers, its duration, the maximum number of ejections and the reinstatement."""

from itertools import pairwise

from helpers import LimiterHarness, limiter_settings, server_entry, start_harness

from elderlock.decisions.context import DecisionContext
from elderlock.decisions.outlier_detection import (
    FAILURES_BEFORE_EJECTION,
    MAX_EJECTION_MS,
    PANIC_THRESHOLD_FRACTION,
    OutlierDetector,
)
from elderlock.interface import ListKind, Outcome, ServerState
from elderlock.state import Server


def send_with_failing_servers(harness: LimiterHarness, failing_ids: set[str], request_count: int) -> list[str]:
    """Send requests while some servers refuse connections; return the servers of the first attempts."""
    first_servers = []
    for _ in range(request_count):
        request_id = harness.send_request(customer_id=f"c{harness.request_count}")
        first_servers += harness.attempted_servers(request_id)[:1]
        while request_id not in harness.answered_ids:
            harness.end_attempt(
                request_id,
                Outcome.CONNECT_FAILED if harness.attempted_servers(request_id)[-1] in failing_ids else Outcome.OK,
            )
        harness.run_until(harness.now_ms + 20.0)
    return first_servers


def test_at_most_half_the_weight_is_ejected_and_the_one_healthy_server_gets_most_requests() -> None:
    server_ids = [chr(97 + n) for n in range(20)]
    harness = start_harness(limiter_settings(limiter_count=1), server_ids="".join(server_ids))
    first_servers = send_with_failing_servers(harness, set(server_ids[1:]), 600)
    detector = harness.limiter.endpoints.outlier_detector
    assert len(detector.ejected) <= 10
    assert first_servers[-200:].count("a") > 150


def test_panic_mode_reinstates_all_servers_when_nearly_all_fail() -> None:
    server_ids = [chr(97 + n) for n in range(20)]
    harness = start_harness(limiter_settings(limiter_count=1), server_ids="".join(server_ids))
    endpoints = harness.limiter.endpoints
    max_ejected = 0
    for _ in range(400):
        request_id = harness.send_request(customer_id=f"c{harness.request_count}")
        while request_id not in harness.answered_ids:
            harness.end_attempt(request_id, Outcome.CONNECT_FAILED)
        max_ejected = max(max_ejected, len(endpoints.outlier_detector.ejected))
        harness.run_until(harness.now_ms + 20.0)
        if endpoints.outlier_detector.is_panicking(20):
            break
    assert max_ejected == 10 and len(endpoints.outlier_detector.failing_server_ids) > PANIC_THRESHOLD_FRACTION * 20
    assert not endpoints.outlier_detector.ejected and len(endpoints.candidates.all) == 20


def test_a_reinstated_server_gets_one_request_at_a_time_until_it_answers() -> None:
    harness = start_harness(limiter_settings(limiter_count=1), server_ids="abcd")
    server = harness.limiter.endpoints.servers["b"]
    while not server.is_ejected:
        send_with_failing_servers(harness, {"b"}, 20)
    assert server.consecutive_failures == FAILURES_BEFORE_EJECTION
    while server.is_ejected:
        assert "b" not in send_with_failing_servers(harness, set(), 1)
    request_ids = [harness.send_request(customer_id=f"d{n}") for n in range(30)]
    first_servers = [
        harness.attempted_servers(request_id)[0] for request_id in request_ids if harness.attempted_servers(request_id)
    ]
    assert len(first_servers) > 5 and first_servers.count("b") <= 1 and server.is_on_probation
    while not server.in_flight:
        send_with_failing_servers(harness, set(), 1)
        request_ids.append(harness.send_request(customer_id=f"e{harness.request_count}"))
    assert server not in harness.limiter.endpoints.candidates.all
    harness.end_attempt(next(iter(server.in_flight))[0], Outcome.OK)
    assert (
        not server.is_on_probation
        and not server.consecutive_failures
        and server in harness.limiter.endpoints.candidates.all
    )


def test_each_further_ejection_lasts_longer_up_to_the_maximum() -> None:
    detector = OutlierDetector(DecisionContext(limiter_settings(limiter_count=1), 1, 0.0))
    server, ejections_ms = Server(server_entry("a"), 0.0, 0.0, weight_milli=10), []
    for _ in range(8):
        while not server.is_ejected:
            assert detector.record_failure(server, 4, 40) == []
        ejections_ms.append(server.reinstate_at_ms - detector.context.now_ms)
        detector.context.now_ms = server.reinstate_at_ms
        assert detector.reinstate_due() == [server] and server.is_on_probation
    assert all(later > 1.2 * earlier for earlier, later in pairwise(ejections_ms[:4]))
    assert max(ejections_ms) <= MAX_EJECTION_MS * 1.2
    detector.record_success(server)
    assert (server.consecutive_failures, server.consecutive_ejections, server.is_on_probation) == (0, 0, False)


def test_servers_are_reinstated_if_a_shorter_list_lowers_the_limit_of_ejections() -> None:
    harness = start_harness(limiter_settings(limiter_count=1), server_ids="abcdefgh")
    endpoints = harness.limiter.endpoints
    for server_id in "abcd":
        for _ in range(FAILURES_BEFORE_EJECTION):
            endpoints.outlier_detector.record_failure(
                endpoints.servers[server_id], 8, endpoints.directory.total_weight_milli
            )
        endpoints.usable_count_by_rank[0] -= 1
        endpoints.update_candidate(endpoints.servers[server_id])
    assert len(endpoints.outlier_detector.ejected) == 4 and len(endpoints.candidates.all) == 4
    harness.apply_list(
        *(server_entry(server_id, state=ServerState.REMOVED) for server_id in "efg"), kind=ListKind.CHANGES
    )
    assert len(endpoints.outlier_detector.ejected) == 2 and len(endpoints.candidates.all) == 3
