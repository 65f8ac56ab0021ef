"""Permits: each counts as one attempt and follows the same rules."""

from helpers import CEILING_PLAN, RUNNING, limiter_settings, server_entry, start_harness
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from elderlock import interface as api
from elderlock.interface import Outcome


def test_a_permit_charges_units_once_names_a_server_and_sends_nothing() -> None:
    harness = start_harness(limiter_settings(limiter_count=1))
    request_id = harness.send_request("c", wants_permit=True, units=2.0)
    assert harness.final_answers[request_id] == ["Permit"] and harness.sent_attempts == []
    permitted_at_ms, permit = harness.permits[0]
    account = next(iter(harness.limiter.quotas.accounts.values()))
    assert account.shared_units == 18.0 and account.in_flight == 1
    assert 0 < permit.timeout_ms <= 1000.0 and permit.server_id in "abcdef" and permitted_at_ms == 0.0
    assert (
        len(harness.limiter.endpoints.servers[permit.server_id].in_flight) == 1
        and harness.limiter.load_estimator.in_flight == 1
    )


def test_the_outcome_of_a_permitted_attempt_is_recorded_and_its_state_is_removed() -> None:
    for outcome in Outcome:
        harness = start_harness(limiter_settings(limiter_count=1))
        request_id = harness.send_request(wants_permit=True)
        harness.end_attempt(request_id, outcome, duration_ms=300.0)
        assert not harness.limiter.requests and harness.limiter.load_estimator.in_flight == 0
        assert not any(server.in_flight for server in harness.limiter.endpoints.servers.values())
        assert (
            harness.final_answers[request_id] == ["Permit"] and harness.sent_attempts == []
        )  # only the client can retry
        latency_ratio = harness.limiter.endpoints.servers[harness.permits[0][1].server_id].latency_ratio
        changes_latency = outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED)
        assert (latency_ratio > 0) == changes_latency, outcome


def test_a_permit_that_was_not_used_is_refunded_once() -> None:
    harness = start_harness(limiter_settings(limiter_count=1))
    request_id = harness.send_request(wants_permit=True, units=3.0)
    account = next(iter(harness.limiter.quotas.accounts.values()))
    assert account.shared_units == 17.0
    harness.end_attempt(request_id, Outcome.NOT_FORWARDED)
    assert account.shared_units == account.plan.burst_units and account.in_flight == 0
    harness.handle(api.AttemptEnded(request_id, 0, harness.permits[0][1].server_id, Outcome.NOT_FORWARDED, 1.0, True))
    assert account.shared_units == account.plan.burst_units


def test_a_permit_over_quota_is_rejected() -> None:
    harness = start_harness(limiter_settings(limiter_count=1))
    answers = [harness.final_answers[harness.send_request("c", wants_permit=True, units=4.0)][0] for _ in range(6)]
    assert answers == ["Permit"] * 5 + ["Reject"]


def test_a_client_that_disconnects_before_the_decision_gets_no_answer() -> None:
    harness = start_harness(limiter_settings(limiter_count=3, can_message_peers=True))
    # For some customers the owner is another limiter. It does not answer, so their requests are not decided yet.
    request_ids = [harness.send_request(f"c{n}", wants_permit=True, limiter_count=3) for n in range(9)]
    waiting = [request_id for request_id in request_ids if request_id not in harness.final_answers]
    assert waiting
    for request_id in waiting:
        harness.handle(api.ClientDisconnected(request_id))
    harness.run_until(500.0)
    assert not any(request_id in harness.final_answers for request_id in waiting)
    assert all(request_id not in harness.limiter.requests for request_id in waiting)


def test_with_a_silent_owner_each_permit_request_gets_one_answer_in_time() -> None:
    harness = start_harness(limiter_settings(limiter_count=3, can_message_peers=True))
    request_ids = [
        harness.send_request(f"c{n}", wants_permit=True, limiter_count=3, remaining_ms=400.0) for n in range(9)
    ]
    harness.run_until(400.0)
    assert all(len(harness.final_answers[request_id]) == 1 for request_id in request_ids)


def test_a_draining_server_is_not_permitted() -> None:
    harness = start_harness(limiter_settings(limiter_count=1), server_ids="ab")
    harness.apply_list(server_entry("a", state=api.ServerState.DRAINING), kind=api.ListKind.CHANGES)
    for n in range(20):
        harness.send_request(f"c{n}", wants_permit=True)
    assert {permit.server_id for _, permit in harness.permits} == {"b"}


def test_permits_and_sends_share_the_warm_up_budget() -> None:
    """A mixture of both kinds of requests gets as many attempts as one kind alone."""

    def attempt_count(wants_permit_cycle: tuple[bool, ...]) -> int:
        harness = start_harness(limiter_settings(limiter_count=1), server_ids="")
        harness.now_ms = 1000.0
        harness.limiter.endpoints.slow_start.warm_answers_per_s = 30.0  # from a warmed up server
        harness.apply_list(server_entry("cold", state=RUNNING, started_at_ms=1000.0))
        for n in range(60):
            harness.end_attempt(
                harness.send_request(
                    f"c{n}", wants_permit=wants_permit_cycle[n % len(wants_permit_cycle)], remaining_ms=20.0
                )
            )
            harness.run_until(harness.now_ms + 20.0)
        return len(harness.sent_attempts) + len(harness.permits)

    both_kinds, one_kind = attempt_count((True, False)), attempt_count((False,))
    assert 0 < both_kinds == one_kind < 60


@hypothesis_settings(max_examples=40, deadline=None)
@given(
    st.lists(
        st.tuples(st.booleans(), st.floats(0.25, 4.0), st.floats(0.0, 120.0), st.sampled_from(list(Outcome))),
        min_size=20,
        max_size=120,
    )
)
def test_permits_and_sends_together_keep_the_hard_ceiling(requests: list[tuple[bool, float, float, Outcome]]) -> None:
    """The units of both kinds, less refunds, never exceed the shared ceiling by more than its slack."""
    harness = start_harness(limiter_settings(limiter_count=1))
    level_units, refilled_at_ms = CEILING_PLAN.ceiling_burst_units, 0.0
    for wants_permit, units, wait_ms, outcome in requests:
        harness.run_until(harness.now_ms + wait_ms)
        refill_units = CEILING_PLAN.ceiling_rate_per_s * (harness.now_ms - refilled_at_ms) / 1000.0
        level_units = min(CEILING_PLAN.ceiling_burst_units, level_units + refill_units)
        refilled_at_ms = harness.now_ms
        request_id = harness.send_request("c", plan_index=1, units=units, wants_permit=wants_permit)
        is_admitted = bool(harness.attempted_servers(request_id)) or harness.final_answers.get(request_id) == ["Permit"]
        level_units -= units if is_admitted else 0.0
        assert level_units >= -CEILING_PLAN.ceiling_slack_units - 1e-6
        is_refunded = is_admitted and wants_permit and outcome is Outcome.NOT_FORWARDED
        harness.end_attempt(request_id, outcome)
        if is_refunded:
            level_units = min(CEILING_PLAN.ceiling_burst_units, level_units + units)
        assert len(harness.final_answers.get(request_id, [])) <= 1
