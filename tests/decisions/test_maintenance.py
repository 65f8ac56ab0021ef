"""The periodic work: throttling, the refresh of the server list and the removal of old state."""

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
    log_times_ms = [at for at, action in harness.other_actions if isinstance(action, api.Log)]
    assert all(at >= 2000.0 for at in log_times_ms)  # throttling starts only after the rate of answers is known
    assert log_times_ms
    for _ in range(1200):
        request_id = harness.send_request(customer_id=f"c{harness.request_count}")
        if harness.attempted_servers(request_id):
            harness.end_attempt(request_id, duration_ms=50.0)
        harness.run_until(harness.now_ms + 25.0)
    assert harness.limiter.throttle.phase is ThrottlePhase.NOT_OVERLOADED
    logs = [action.text for _, action in harness.other_actions if isinstance(action, api.Log)]
    assert logs[0].startswith("throttling starts") and logs[-1].startswith("throttling ends")


def test_the_state_of_completed_work_is_removed() -> None:
    """Otherwise the memory of a limiter that runs for a long time would grow without bound."""
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


def test_the_server_list_is_requested_again_before_it_is_stale() -> None:
    harness = start_harness(limiter_settings(subscribes_to_list=True))
    harness.run_until(20000.0)
    subscribed_at = [at for at, action in harness.other_actions if isinstance(action, api.Subscribe)]
    fetched_at = [at for at, action in harness.other_actions if isinstance(action, api.FetchServerList)]
    assert subscribed_at[0] == 0.0
    assert fetched_at and max(later - earlier for earlier, later in pairwise(fetched_at)) < 8000.0
    harness.handle(api.ServerList(2, ListKind.REFUSED))
    assert harness.attempted_servers(harness.send_request())


def test_throttling_ends_even_with_few_answers() -> None:
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


def test_the_minimum_leak_rate_stays_near_the_rate_of_timely_answers() -> None:
    harness = start_harness()
    for _ in range(400):
        harness.end_attempt(harness.send_request(customer_id=f"c{harness.request_count}"), duration_ms=50.0)
        harness.run_until(harness.now_ms + 50.0)
    assert 0.6 * 20 <= harness.limiter.throttle.min_leak_rate_per_s <= 0.8 * 20
