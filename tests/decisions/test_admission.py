"""Admission: which requests are admitted, wait for a server or are rejected."""

import pytest
from helpers import account_of, limiter_settings, server_entry, start_harness

from elderlock.interface import ListKind, ServerState


def test_the_concurrency_limit_holds_until_a_request_has_ended() -> None:
    harness = start_harness()
    first, second, third = (harness.send_request(plan_index=2) for _ in range(3))
    assert harness.attempted_servers(first) and harness.attempted_servers(second)
    assert harness.final_answers[third] == ["Reject"]
    harness.run_until(100.0)
    harness.end_attempt(first)
    assert harness.attempted_servers(harness.send_request(plan_index=2))


def test_a_request_over_quota_is_sent_only_if_its_value_exceeds_its_cost_and_without_overload() -> None:
    harness = start_harness()
    assert all(harness.is_served(plan_index=3) for _ in range(6))
    harness.limiter.throttle.start_throttling(50.0, harness.now_ms)
    assert harness.final_answers[harness.send_request(plan_index=3)] == ["Reject"]


@pytest.mark.parametrize(("plan_index", "class_index"), [(-1, 0), (99, 0), (0, -1), (0, 99)])
def test_a_request_of_an_unknown_plan_or_class_is_rejected(plan_index: int, class_index: int) -> None:
    harness = start_harness()
    assert harness.final_answers[harness.send_request(plan_index=plan_index, class_index=class_index)] == ["Reject"]


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_with_all_servers_draining_each_request_is_rejected_in_time(state: ServerState) -> None:
    harness = start_harness()
    harness.apply_list(*(server_entry(n, 0, state) for n in "abcdef"), kind=ListKind.CHANGES)
    request_id = harness.send_request()
    harness.run_until(4000.0)
    assert harness.final_answers[request_id] == ["Reject"] and not harness.attempted_servers(request_id)


def test_without_servers_each_request_is_rejected_once() -> None:
    harness = start_harness(server_ids="")
    before_list = harness.send_request()
    harness.run_until(4000.0)
    harness.apply_list(server_entry("a"))
    assert harness.attempted_servers(harness.send_request())
    harness.apply_list(kind=ListKind.COMPLETE)
    after_removal = harness.send_request()
    harness.run_until(8000.0)
    assert harness.final_answers[before_list] == harness.final_answers[after_removal] == ["Reject"]


def test_waiting_requests_do_not_exceed_the_hard_ceiling_together() -> None:
    harness = start_harness(server_ids="", started_at_ms=0.0)
    harness.run_until(10000.0)
    request_ids = [harness.send_request(plan_index=1, limiter_count=2) for _ in range(20)]
    harness.apply_list(server_entry("a"))
    harness.run_until(10500.0)
    assert sum(bool(harness.attempted_servers(request_id)) for request_id in request_ids) <= 13


def test_queue_pressure_rejects_new_requests_before_answers_are_late() -> None:
    harness = start_harness(server_ids="ab")
    request_ids = [harness.send_request(customer_id=f"c{i}") for i in range(40)]
    assert any(harness.final_answers.get(request_id) == ["Reject"] for request_id in request_ids)
    assert sum(bool(harness.attempted_servers(request_id)) for request_id in request_ids) >= 1


def test_the_first_request_after_a_start_is_sent() -> None:
    harness = start_harness(started_at_ms=77777.0)
    assert harness.attempted_servers(harness.send_request(limiter_count=3))


@pytest.mark.parametrize("limiter_count", [-1, 0, 4, 9999])
def test_a_limiter_count_outside_the_settings_is_clamped(limiter_count: int) -> None:
    harness = start_harness(limiter_settings(can_message_peers=True))
    request_id = harness.send_request(limiter_count=limiter_count)
    harness.run_until(1000.0)
    assert harness.attempted_servers(request_id)
    assert 1 <= account_of(harness).limiter_count <= 3
