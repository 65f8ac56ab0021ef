"""Queries to the owner of a customer's quota, and decisions without its answer."""

from dataclasses import replace

import pytest
from helpers import account_of, limiter_settings, start_harness
from quota_messages import harness_with_pending_query, sent_singles, single

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.peer_messages import SingleKind


def test_a_granted_request_is_sent_and_a_denied_one_rejected() -> None:
    for answer_kind, is_sent in ((SingleKind.GRANTED, True), (SingleKind.DENIED, False)):
        harness, request_id, owner, query = harness_with_pending_query()
        assert query.kind == SingleKind.QUERY and query.first == 4
        harness.handle(api.PeerMessage(owner, single(query.key, answer_kind, first=0, query_id=query.query_id)))
        assert bool(harness.attempted_servers(request_id)) is is_sent
        assert (request_id in harness.final_answers) is not is_sent
        account = harness.limiter.quotas.accounts[query.key]
        assert (harness.now_ms < account.exhausted_until_ms) is not is_sent


def test_an_answer_of_another_limiter_or_to_no_query_changes_nothing() -> None:
    harness, request_id, owner, query = harness_with_pending_query()
    harness.handle(api.PeerMessage(owner, single(query.key, SingleKind.GRANTED, query_id=query.query_id + 1)))
    harness.handle(api.PeerMessage(3 - owner, single(query.key, SingleKind.GRANTED, query_id=query.query_id)))
    assert not harness.attempted_servers(request_id) and request_id not in harness.final_answers


def test_a_request_is_still_decided_after_an_answer_of_another_limiter() -> None:
    """Guards against: such an answer drops the pending query, and no answer or timeout decides the request any more."""
    harness, request_id, owner, query = harness_with_pending_query()
    stray = api.PeerMessage(3 - owner, single(query.key, SingleKind.GRANTED, query_id=query.query_id))
    harness.handle(stray)
    harness.run_until(150.0)
    assert len(sent_singles(harness)) == 2  # the query was repeated at its timeout
    harness.handle(stray)
    harness.run_until(250.0)
    assert harness.attempted_servers(request_id)


def test_an_answer_about_another_customer_leaves_the_query_pending() -> None:
    """Guards against: the same, with an answer of the right limiter to an earlier process's query of this id."""
    harness, request_id, owner, query = harness_with_pending_query()
    harness.handle(api.PeerMessage(owner, single(query.key + 1, SingleKind.DENIED, query_id=query.query_id)))
    assert request_id not in harness.final_answers
    harness.handle(api.PeerMessage(owner, single(query.key, SingleKind.GRANTED, first=0, query_id=query.query_id)))
    assert harness.attempted_servers(request_id)


def test_a_restarted_limiter_uses_other_query_ids() -> None:
    """Guards against: an answer that is late across a restart is taken for the answer to the new process's query."""
    settings = limiter_settings(limiter_count=3, can_message_peers=True)
    clients = [Limiter(settings, 0, started_at_ms).quota_coordinator.quota_client for started_at_ms in (0.0, 1500.0)]
    assert clients[1]._last_query_id - clients[0]._last_query_id >= 1000  # more queries than the message budget allows


def test_a_silent_owner_is_queried_twice_then_skipped_and_the_bucket_decides() -> None:
    harness, request_id, owner, query = harness_with_pending_query()
    harness.run_until(150.0)
    assert not harness.attempted_servers(request_id) and len(sent_singles(harness)) == 2  # the query was repeated
    harness.run_until(250.0)
    assert harness.attempted_servers(request_id)  # admitted within this limiter's even share
    account = harness.limiter.quotas.accounts[query.key]
    harness.limiter.quota_coordinator.handle_query_timeout(-1)
    for _ in range(3):
        harness.send_request(customer_id=f"c{int(request_id[1:]) - 1}", limiter_count=3)
        harness.run_until(harness.now_ms + 250.0)
    assert harness.now_ms < harness.limiter.quota_coordinator.owners.silent_until_ms[owner]
    assert harness.limiter.quota_coordinator.owners.owner_of(account) != owner
    harness.handle(api.PeerMessage(owner, single(1, SingleKind.DENIED, query_id=9)))
    assert harness.limiter.quota_coordinator.owners.owner_of(account) == owner


def test_400_limiters_agree_on_a_customers_owner() -> None:
    owners: list[int] = []
    for limiter_index in (300, 301, 310, 380):
        harness = start_harness(
            replace(limiter_settings(limiter_count=400, can_message_peers=True), limiter_index=limiter_index)
        )
        harness.handle(api.RequestArrived("r", 0, 0, "wide", 1.0, 4000.0, limiter_count=300, first_limiter=250))
        owners.append(harness.limiter.quota_coordinator.owners.owner_of(account_of(harness)) or 0)
    assert len(set(owners)) == 1
    assert (owners.pop() - 250) % 400 < 300


def test_a_denied_customer_is_over_quota_until_its_share_of_the_refill() -> None:
    harness, request_id, owner, query = harness_with_pending_query()
    account = harness.limiter.quotas.accounts[query.key]
    harness.handle(
        api.PeerMessage(owner, single(query.key, SingleKind.DENIED, first=0, second=127, query_id=query.query_id))
    )
    assert request_id in harness.final_answers
    wait_ms = account.exhausted_until_ms - harness.now_ms
    assert wait_ms == pytest.approx(3 * 1000.0 / account.plan.rate_per_s)  # one unit for each of the three limiters


def test_a_limiter_that_becomes_the_owner_opens_the_ledger_at_its_last_reading() -> None:
    harness, request_id, owner, query = harness_with_pending_query(spread=2, limiters=2)
    harness.handle(api.PeerMessage(owner, single(query.key, SingleKind.DENIED, first=0, query_id=query.query_id)))
    harness.limiter.quota_coordinator.owners.silent_until_ms[owner] = harness.now_ms + 1e6
    harness.limiter.quotas.accounts[query.key].exhausted_until_ms = harness.now_ms
    second_request = harness.send_request(customer_id=f"c{int(request_id[1:]) - 1}", limiter_count=2)
    assert harness.final_answers[second_request] == ["Reject"]
