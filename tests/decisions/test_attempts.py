"""Attempts, retries and the final answer of a request."""

import pytest
from helpers import start_harness

from elderlock import interface as api
from elderlock.interface import Outcome


def test_an_idempotent_request_is_retried_at_another_server_after_an_error() -> None:
    harness = start_harness()
    request_id = harness.send_request()
    harness.end_attempt(request_id, Outcome.ERROR)
    assert len(set(harness.attempted_servers(request_id))) == 2


def test_a_request_that_is_not_idempotent_is_retried_only_if_it_was_not_executed() -> None:
    harness = start_harness()
    request_id = harness.send_request(class_index=2)
    harness.end_attempt(request_id, Outcome.FULL)
    assert len(harness.attempted_servers(request_id)) == 2
    harness.end_attempt(request_id, Outcome.RESET)
    assert len(harness.attempted_servers(request_id)) == 2
    assert harness.final_answers[request_id] == ["Fail"]


def test_a_keyed_request_is_retried_within_its_deduplication_scope_and_window() -> None:
    harness = start_harness()
    request_id = harness.send_request(class_index=1)
    harness.end_attempt(request_id, Outcome.RESET)
    zones = {"abcdef".index(server_id) % 2 for server_id in harness.attempted_servers(request_id)}
    assert len(harness.attempted_servers(request_id)) == 2 and len(zones) == 1
    harness.now_ms += 2500.0
    harness.end_attempt(request_id, Outcome.RESET)
    assert len(harness.attempted_servers(request_id)) == 2
    assert harness.final_answers[request_id] == ["Fail"]


def test_a_started_stream_outlives_the_deadline() -> None:
    harness = start_harness()
    request_id = harness.send_request(class_index=3)
    harness.handle(api.StreamStarted(request_id, 0, harness.attempted_servers(request_id)[0], 10.0))
    harness.run_until(9000.0)
    assert request_id not in harness.final_answers
    harness.end_attempt(request_id)
    assert not harness.limiter.requests


def test_a_request_has_one_attempt_in_flight() -> None:
    harness = start_harness()
    request_id = harness.send_request()
    harness.run_until(900.0)
    assert len(harness.attempted_servers(request_id)) == 1


def test_an_idempotent_request_times_out_at_its_latency_objective_and_fails() -> None:
    harness = start_harness()
    request_id = harness.send_request()
    attempt = next(action for _, action in harness.sent_attempts if action.request_id == request_id)
    assert attempt.timeout_ms == pytest.approx(1000.0)
    harness.now_ms += 1000.0
    harness.end_attempt(request_id, Outcome.TIMEOUT, duration_ms=1000.0)
    assert harness.final_answers[request_id] == ["Fail"]


def test_late_repeated_and_unknown_events_are_ignored() -> None:
    harness = start_harness()
    request_id = harness.send_request()
    server = harness.attempted_servers(request_id)[0]
    harness.end_attempt(request_id)
    assert harness.handle(api.AttemptEnded(request_id, 0, server, Outcome.OK, 5.0, True)) == []
    assert harness.handle(api.AttemptEnded("r-none", 0, "zz", Outcome.ERROR, 5.0, False)) == []
    assert harness.handle(api.ClientDisconnected(request_id)) == []
    assert harness.handle(api.StreamStarted("r-none", 0, "zz", 5.0)) == []
    assert harness.handle(api.TimerFired(987654)) == []
    assert harness.handle(api.HealthCheckEnded("zz", Outcome.OK, 1.0)) == []


def test_a_request_that_reached_no_server_is_rejected_before_half_of_its_time() -> None:
    harness = start_harness()
    total_ms = 1600.0
    request_id = harness.send_request(remaining_ms=total_ms)
    harness.now_ms = 0.3 * total_ms
    harness.end_attempt(request_id, Outcome.CONNECT_FAILED)
    assert len(harness.attempted_servers(request_id)) == 2 and request_id not in harness.final_answers
    harness.now_ms = 0.45 * total_ms
    harness.end_attempt(request_id, Outcome.CONNECT_FAILED)
    assert harness.final_answers == {request_id: ["Reject"]}
