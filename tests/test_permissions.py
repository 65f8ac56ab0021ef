"""Permissions in the decision module: a permitted question is a send, once, and held to the same rules."""

from helpers import CEILING_PLAN, RUNNING, limiter_settings, server_entry, start_harness
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from elderlock import interface as api
from elderlock.interface import Outcome


def test_a_permitted_question_takes_units_once_names_a_box_and_sends_nothing() -> None:
    g = start_harness(limiter_settings(limiters=1))
    name = g.send_request("c", permission=True, units=2.0)
    assert g.final_answers[name] == ["Permit"] and g.sent_attempts == []
    (at, permit) = g.permits[0]
    account = next(iter(g.limiter.quotas.accounts.values()))
    assert account.shared_units == 18.0 and account.in_flight == 1
    assert 0 < permit.timeout_ms <= 1000.0 and permit.server_id in "abcdef" and at == 0.0
    assert len(g.limiter.endpoints.servers[permit.server_id].in_flight) == 1 and g.limiter.load_estimator.in_flight == 1


def test_its_end_is_learnt_and_leaves_nothing_behind() -> None:
    for outcome in Outcome:
        g = start_harness(limiter_settings(limiters=1))
        name = g.send_request(permission=True)
        g.end_attempt(name, outcome, took=300.0)
        assert not g.limiter.requests and g.limiter.load_estimator.in_flight == 0
        assert not any(server.in_flight for server in g.limiter.endpoints.servers.values())
        assert g.final_answers[name] == ["Permit"] and g.sent_attempts == []  # no further attempt is ours to make
        stretch = g.limiter.endpoints.servers[g.permits[0][1].server_id].latency_ratio
        learnt = outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED)
        assert (stretch > 0) == learnt, outcome


def test_what_was_not_sent_on_is_given_back_once() -> None:
    g = start_harness(limiter_settings(limiters=1))
    name = g.send_request(permission=True, units=3.0)
    account = next(iter(g.limiter.quotas.accounts.values()))
    assert account.shared_units == 17.0
    g.end_attempt(name, Outcome.NOT_FORWARDED)
    assert account.shared_units == account.plan.burst_units and account.in_flight == 0
    g.handle(api.AttemptEnded(name, 0, g.permits[0][1].server_id, Outcome.NOT_FORWARDED, 1.0, True))
    assert account.shared_units == account.plan.burst_units


def test_beyond_the_quota_it_is_refused_as_any_other() -> None:
    g = start_harness(limiter_settings(limiters=1))
    kinds = [g.final_answers[g.send_request("c", permission=True, units=4.0)][0] for _ in range(6)]
    assert kinds == ["Permit"] * 5 + ["Reject"]


def test_a_client_that_goes_before_the_decision_takes_nothing() -> None:
    g = start_harness(limiter_settings(limiters=3, peers=True))
    # its keeper is another limiter, which is silent: nothing is decided yet
    names = [g.send_request(f"c{n}", permission=True, spread=3) for n in range(9)]
    waiting = [name for name in names if name not in g.final_answers]
    assert waiting
    for name in waiting:
        g.handle(api.ClientDisconnected(name))
    g.run_until(500.0)
    assert not any(name in g.final_answers for name in waiting)
    assert all(name not in g.limiter.requests for name in waiting)


def test_a_silent_keeper_still_leaves_one_answer_in_time() -> None:
    g = start_harness(limiter_settings(limiters=3, peers=True))
    names = [g.send_request(f"c{n}", permission=True, spread=3, left=400.0) for n in range(9)]
    g.run_until(400.0)
    assert all(len(g.final_answers[name]) == 1 for name in names)


def test_a_drained_box_is_named_no_more() -> None:
    g = start_harness(limiter_settings(limiters=1), names="ab")
    g.apply_list(server_entry("a", state=api.ServerState.DRAINING), kind=api.ListKind.CHANGES)
    for n in range(20):
        g.send_request(f"c{n}", permission=True)
    assert {permit.server_id for _, permit in g.permits} == {"b"}


def test_a_cold_box_bears_permissions_and_sends_in_one_budget() -> None:
    """What one door uses up of it the other does not get."""

    def most(doors: tuple[bool, ...]) -> int:
        g = start_harness(limiter_settings(limiters=1), names="")
        g.now_ms = 1000.0
        g.limiter.endpoints.slow_start.warm_answers_per_s = (
            30.0  # answers a second of a warm box, as seen before the others went
        )
        g.apply_list(server_entry("cold", state=RUNNING, at=1000.0))
        for n in range(60):
            g.end_attempt(g.send_request(f"c{n}", permission=doors[n % len(doors)], left=20.0))
            g.run_until(g.now_ms + 20.0)
        return len(g.sent_attempts) + len(g.permits)

    both, one = most((True, False)), most((False,))
    assert 0 < both == one < 60


@hypothesis_settings(max_examples=40, deadline=None)
@given(
    st.lists(
        st.tuples(st.booleans(), st.floats(0.25, 4.0), st.floats(0.0, 120.0), st.sampled_from(list(Outcome))),
        min_size=20,
        max_size=120,
    )
)
def test_both_doors_together_keep_the_ceiling(asked: list[tuple[bool, float, float, Outcome]]) -> None:
    """Units of both doors, less what was given back, never pass the common store by more than its slack."""
    g = start_harness(limiter_settings(limiters=1))
    store, at = CEILING_PLAN.ceiling_burst_units, 0.0
    for permission, units, wait, outcome in asked:
        g.run_until(g.now_ms + wait)
        store = min(
            CEILING_PLAN.ceiling_burst_units, store + CEILING_PLAN.ceiling_rate_per_s * (g.now_ms - at) / 1000.0
        )
        at = g.now_ms
        name = g.send_request("c", plan=1, units=units, permission=permission)
        used = bool(g.attempted_servers(name)) or g.final_answers.get(name) == ["Permit"]
        store -= units if used else 0.0
        assert store >= -CEILING_PLAN.ceiling_slack_units - 1e-6
        back = used and permission and outcome is Outcome.NOT_FORWARDED
        g.end_attempt(name, outcome)
        if back:
            store = min(CEILING_PLAN.ceiling_burst_units, store + units)
        assert len(g.final_answers.get(name, [])) <= 1
