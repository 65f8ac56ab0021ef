"""The periodic work: throttling, freshness of the server list, forgetting."""

from itertools import pairwise

from helpers import limiter_settings, server_entry, start_harness

from elderlock import interface as api
from elderlock.interface import ListKind, Outcome
from elderlock.state import ThrottlePhase


def test_throttling_starts_and_ends_and_is_logged() -> None:
    harness = start_harness()
    for _ in range(120):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"), duration_ms=900.0)
        harness.run_until(harness.now_ms + 25.0)
    assert all(at >= 2000.0 for at, a in harness.other_actions if isinstance(a, api.Log))  # what is borne is seen first
    assert any(isinstance(a, api.Log) for _, a in harness.other_actions)
    for _ in range(1200):
        name = harness.send_request(customer_id=f"c{harness.request_count}")
        if harness.attempted_servers(name):
            harness.end_attempt(name, duration_ms=50.0)
        harness.run_until(harness.now_ms + 25.0)
    assert harness.limiter.throttle.phase is ThrottlePhase.NOT_OVERLOADED
    logs = [a.text for _, a in harness.other_actions if isinstance(a, api.Log)]
    assert logs[0].startswith("throttling starts") and logs[-1].startswith("throttling ends")


def test_all_that_is_over_is_forgotten() -> None:
    """On a day without end each of these would fill the memory."""
    harness = start_harness(limiter_settings(can_message_peers=True))
    for _ in range(3000):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}", limiter_count=3))
        harness.run_until(harness.now_ms + 2.0)
    for number in range(200):
        harness.apply_list(server_entry(f"n{number}", zone=number))
        harness.end_attempt(harness.send_request(customer_id="always", limiter_count=3), Outcome.CONNECT_FAILED)
        harness.run_until(harness.now_ms + 50.0)
    harness.run_until(harness.now_ms + 90000.0)
    limiter = harness.limiter
    assert (
        len(limiter.quotas.accounts) == len(limiter.quota_coordinator.quota_owner.ledgers) == len(limiter.requests) == 0
    )
    assert list(limiter.endpoints.servers) == ["n199"]
    assert (
        len(limiter.endpoints.health.failure_fraction_by_domain)
        == len(limiter.quota_coordinator.quota_client.pending_queries)
        == len(limiter.admission.waiting_request_ids)
        == 0
    )
    assert len(limiter.context.timers.heap) == 1


def test_the_server_list_is_asked_for_again_before_it_is_stale() -> None:
    harness = start_harness(limiter_settings(subscribes_to_list=True))
    harness.run_until(20000.0)
    asked = [at for at, a in harness.other_actions if isinstance(a, api.Subscribe)]
    fetched = [at for at, a in harness.other_actions if isinstance(a, api.FetchServerList)]
    assert asked[0] == 0.0
    assert fetched and max(b - a for a, b in pairwise(fetched)) < 8000.0
    harness.handle(api.ServerList(2, ListKind.REFUSED))
    assert harness.attempted_servers(harness.send_request())


def test_throttling_ends_although_few_answers_come() -> None:
    harness = start_harness(limiter_settings(limiter_count=400))
    harness.run_until(1500.0)
    for _ in range(12):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"), duration_ms=900.0)
    assert harness.limiter.load_estimator.load_level() > 0.4
    harness.run_until(3000.0)
    assert harness.limiter.throttle.leak_rate_per_s > 0.0
    harness.run_until(8000.0)
    for _ in range(30):
        harness.end_attempt(harness.send_request(customer_id=f"d{harness.request_count}"), duration_ms=50.0)
        harness.run_until(harness.now_ms + 1000.0)
    assert harness.limiter.throttle.phase is ThrottlePhase.NOT_OVERLOADED


def test_the_leak_rate_stays_near_the_rate_answered_in_time() -> None:
    harness = start_harness()
    for _ in range(400):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"), duration_ms=50.0)
        harness.run_until(harness.now_ms + 50.0)
    assert 0.6 * 20 <= harness.limiter.throttle.min_leak_rate_per_s <= 0.8 * 20
