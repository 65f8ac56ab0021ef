"""The load level, and the answers that affect it."""

from helpers import limiter_settings, start_harness

from elderlock import interface as api
from elderlock.interface import Outcome
from elderlock.peer_messages import SINGLE, SINGLE_FORMAT, SingleKind


def test_full_answers_count_as_load_only_if_they_concern_two_plans() -> None:
    harness = start_harness()
    for plans, is_loaded in (((0,), False), ((0, 3), True)):
        for i in range(40):
            request_id = harness.send_request(customer_id=f"c{plans}{i}", plan_index=plans[i % len(plans)])
            harness.end_attempt(request_id, Outcome.FULL, duration_ms=200.0)
            harness.end_attempt(request_id, Outcome.FULL, duration_ms=200.0)
            harness.end_attempt(request_id)
            harness.run_until(harness.now_ms + 10.0)
        assert (harness.limiter.load_estimator.load_level() > 0.4) is is_loaded


def test_errors_are_not_load_samples() -> None:
    harness = start_harness()
    for _ in range(20):
        request_id = harness.send_request(customer_id=f"c{harness.request_count}")
        while request_id not in harness.answered_ids:
            harness.end_attempt(request_id, Outcome.ERROR, duration_ms=1.0)
    assert harness.limiter.load_estimator.load_level() < 0.4


def test_one_slow_server_is_no_load_but_many_slow_answers_are() -> None:
    harness = start_harness()
    for _ in range(30):
        request_id = harness.send_request(customer_id=f"c{harness.request_count}")
        is_slow = harness.attempted_servers(request_id)[0] == "a"
        harness.end_attempt(request_id, duration_ms=900.0 if is_slow else 50.0)
    assert harness.limiter.load_estimator.load_level() < 0.2
    for _ in range(60):
        harness.end_attempt(harness.send_request(customer_id=f"d{harness.request_count}"), duration_ms=900.0)
    assert harness.limiter.load_estimator.load_level() > 0.8


def test_one_slow_answer_is_no_load_but_three_are() -> None:
    harness = start_harness(limiter_settings(limiter_count=400))
    harness.end_attempt(harness.send_request(), duration_ms=900.0)
    assert harness.limiter.load_estimator.load_level() < 0.4
    for i in range(2):
        harness.end_attempt(harness.send_request(customer_id=f"c{i}"), duration_ms=900.0)
    assert harness.limiter.load_estimator.load_level() > 0.4


def test_samples_of_other_limiters_count_until_they_expire() -> None:
    harness = start_harness(limiter_settings(limiter_count=400, can_message_peers=True))
    for sender in range(1, 20):
        harness.handle(api.PeerMessage(sender, SINGLE.pack(SINGLE_FORMAT, 64, 1, SingleKind.DENIED, 0, 0, 0, 0)))
    assert harness.limiter.load_estimator.load_level() > 0.8
    harness.run_until(5000.0)
    assert harness.limiter.load_estimator.load_level() < 0.4  # the samples have expired
