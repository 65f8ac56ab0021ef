"""Outlier detection: when servers are ejected, for how long, how many at max_ejected, and how they come back."""

from itertools import pairwise

from helpers import LimiterHarness, server_entry, start_harness
from helpers import limiter_settings as limiter_settings

from elderlock.decisions.context import DecisionContext
from elderlock.decisions.outlier_detection import (
    FAILURES_BEFORE_EJECTION,
    MAX_EJECTION_MS,
    PANIC_THRESHOLD_FRACTION,
    OutlierDetector,
)
from elderlock.interface import ListKind, Outcome, ServerState
from elderlock.state import Server


def ask_with_failing_servers(limiter_gateway: LimiterHarness, failing: set[str], rounds: int) -> list[str]:
    """Send `rounds` requests while the `failing` servers refuse connections; return where the first attempts went."""
    first_servers = []
    for _ in range(rounds):
        name = limiter_gateway.send_request(customer_id=f"c{limiter_gateway.request_count}")
        first_servers += limiter_gateway.attempted_servers(name)[:1]
        while name not in limiter_gateway.answered_ids:
            limiter_gateway.end_attempt(
                name, Outcome.CONNECT_FAILED if limiter_gateway.attempted_servers(name)[-1] in failing else Outcome.OK
            )
        limiter_gateway.run_until(limiter_gateway.now_ms + 20.0)
    return first_servers


def test_at_most_half_the_weight_is_ejected_and_the_one_good_server_serves() -> None:
    names = [chr(97 + n) for n in range(20)]
    limiter_gateway = start_harness(limiter_settings(limiter_count=1), server_ids="".join(names))
    first_servers = ask_with_failing_servers(limiter_gateway, set(names[1:]), 600)
    detector = limiter_gateway.limiter.endpoints.outlier_detector
    assert len(detector.ejected) <= 10
    assert first_servers[-200:].count("a") > 150


def test_panic_mode_reinstates_all_servers_when_nearly_all_fail() -> None:
    names = [chr(97 + n) for n in range(20)]
    limiter_gateway = start_harness(limiter_settings(limiter_count=1), server_ids="".join(names))
    endpoints = limiter_gateway.limiter.endpoints
    max_ejected = 0
    for _ in range(400):
        name = limiter_gateway.send_request(customer_id=f"c{limiter_gateway.request_count}")
        while name not in limiter_gateway.answered_ids:
            limiter_gateway.end_attempt(name, Outcome.CONNECT_FAILED)
        max_ejected = max(max_ejected, len(endpoints.outlier_detector.ejected))
        limiter_gateway.run_until(limiter_gateway.now_ms + 20.0)
        if endpoints.outlier_detector.is_panicking(20):
            break
    assert max_ejected == 10 and len(endpoints.outlier_detector.failing_server_ids) > PANIC_THRESHOLD_FRACTION * 20
    assert not endpoints.outlier_detector.ejected and len(endpoints.candidates.all) == 20


def test_a_reinstated_server_gets_one_request_at_a_time_until_it_answers() -> None:
    limiter_gateway = start_harness(limiter_settings(limiter_count=1), server_ids="abcd")
    server = limiter_gateway.limiter.endpoints.servers["b"]
    while not server.is_ejected:
        ask_with_failing_servers(limiter_gateway, {"b"}, 20)
    assert server.consecutive_failures == FAILURES_BEFORE_EJECTION
    while server.is_ejected:
        assert "b" not in ask_with_failing_servers(limiter_gateway, set(), 1)
    names = [limiter_gateway.send_request(customer_id=f"d{n}") for n in range(30)]
    first_servers = [
        limiter_gateway.attempted_servers(name)[0] for name in names if limiter_gateway.attempted_servers(name)
    ]
    assert len(first_servers) > 5 and first_servers.count("b") <= 1 and server.is_on_probation
    while not server.in_flight:
        ask_with_failing_servers(limiter_gateway, set(), 1)
        names.append(limiter_gateway.send_request(customer_id=f"e{limiter_gateway.request_count}"))
    assert server not in limiter_gateway.limiter.endpoints.candidates.all
    limiter_gateway.end_attempt(next(iter(server.in_flight))[0], Outcome.OK)
    assert (
        not server.is_on_probation
        and not server.consecutive_failures
        and server in limiter_gateway.limiter.endpoints.candidates.all
    )


def test_each_further_ejection_lasts_longer_up_to_the_maximum() -> None:
    detector = OutlierDetector(DecisionContext(limiter_settings(limiter_count=1), 1, 0.0))
    server, waits = Server(server_entry("a"), 0.0, 0.0, weight_milli=10), []
    for _ in range(8):
        while not server.is_ejected:
            assert detector.record_failure(server, 4, 40) == []
        waits.append(server.reinstate_at_ms - detector.context.now_ms)
        detector.context.now_ms = server.reinstate_at_ms
        assert detector.reinstate_due() == [server] and server.is_on_probation
    assert all(later > 1.2 * earlier for earlier, later in pairwise(waits[:4]))
    assert max(waits) <= MAX_EJECTION_MS * 1.2
    detector.record_success(server)
    assert (server.consecutive_failures, server.consecutive_ejections, server.is_on_probation) == (0, 0, False)


def test_servers_are_reinstated_when_a_shrinking_list_makes_the_ejected_ones_too_many() -> None:
    limiter_gateway = start_harness(limiter_settings(limiter_count=1), server_ids="abcdefgh")
    endpoints = limiter_gateway.limiter.endpoints
    for name in "abcd":
        for _ in range(FAILURES_BEFORE_EJECTION):
            endpoints.outlier_detector.record_failure(
                endpoints.servers[name], 8, endpoints.directory.total_weight_milli
            )
        endpoints.usable_count_by_rank[0] -= 1
        endpoints.update_candidate(endpoints.servers[name])
    assert len(endpoints.outlier_detector.ejected) == 4 and len(endpoints.candidates.all) == 4
    limiter_gateway.apply_list(*(server_entry(n, state=ServerState.REMOVED) for n in "efg"), kind=ListKind.CHANGES)
    assert len(endpoints.outlier_detector.ejected) == 2 and len(endpoints.candidates.all) == 3
