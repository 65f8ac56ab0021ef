"""Asking the owner of a customer's quota, and deciding without its answer."""

from dataclasses import replace

import pytest
from helpers import account_of, limiter_settings, start_harness
from quota_messages import harness_with_pending_query, sent_singles, single

from elderlock import interface as api
from elderlock.peer_messages import SingleKind


def test_a_granted_request_is_sent_and_a_denied_one_rejected() -> None:
    for what, sent in ((SingleKind.GRANTED, True), (SingleKind.DENIED, False)):
        harness, name, owner, asked = harness_with_pending_query()
        assert asked.kind == SingleKind.QUERY and asked.first == 4
        harness.handle(api.PeerMessage(owner, single(asked.key, what, first=0, query_id=asked.query_id)))
        assert bool(harness.attempted_servers(name)) is sent
        assert (name in harness.final_answers) is not sent
        customer = harness.limiter.quotas.accounts[asked.key]
        assert (harness.now_ms < customer.exhausted_until_ms) is not sent


def test_an_answer_of_another_limiter_or_to_no_query_changes_nothing() -> None:
    harness, name, owner, asked = harness_with_pending_query()
    harness.handle(api.PeerMessage(owner, single(asked.key, SingleKind.GRANTED, query_id=asked.query_id + 1)))
    harness.handle(api.PeerMessage(3 - owner, single(asked.key, SingleKind.GRANTED, query_id=asked.query_id)))
    assert not harness.attempted_servers(name) and name not in harness.final_answers


def test_a_silent_owner_is_asked_again_then_passed_over_and_the_bucket_decides() -> None:
    harness, name, owner, asked = harness_with_pending_query()
    harness.run_until(150.0)
    assert not harness.attempted_servers(name) and len(sent_singles(harness)) == 2  # asked once more
    harness.run_until(250.0)
    assert harness.attempted_servers(name)  # by the even part
    customer = harness.limiter.quotas.accounts[asked.key]
    harness.limiter.quota_coordinator.handle_query_timeout(-1)
    for _ in range(3):
        harness.send_request(customer_id=f"c{int(name[1:]) - 1}", limiter_count=3)
        harness.run_until(harness.now_ms + 250.0)
    assert harness.now_ms < harness.limiter.quota_coordinator.owners.silent_until_ms[owner]
    assert harness.limiter.quota_coordinator.owners.owner_of(customer) != owner
    harness.handle(api.PeerMessage(owner, single(1, SingleKind.DENIED, query_id=9)))
    assert harness.limiter.quota_coordinator.owners.owner_of(customer) == owner


def test_400_limiters_agree_on_a_customers_owner() -> None:
    owners: list[int] = []
    for number in (300, 301, 310, 380):
        harness = start_harness(
            replace(limiter_settings(limiter_count=400, can_message_peers=True), limiter_index=number)
        )
        harness.handle(api.RequestArrived("r", 0, 0, "wide", 1.0, 4000.0, limiter_count=300, first_limiter=250))
        owners.append(harness.limiter.quota_coordinator.owners.owner_of(account_of(harness)) or 0)
    assert len(set(owners)) == 1
    assert (owners.pop() - 250) % 400 < 300


def test_a_denied_customer_is_over_quota_until_its_share_of_the_refill() -> None:
    harness, name, owner, asked = harness_with_pending_query()
    customer = harness.limiter.quotas.accounts[asked.key]
    harness.handle(
        api.PeerMessage(owner, single(asked.key, SingleKind.DENIED, first=0, second=127, query_id=asked.query_id))
    )
    assert name in harness.final_answers
    wait = customer.exhausted_until_ms - harness.now_ms
    assert wait == pytest.approx(3 * 1000.0 / customer.plan.rate_per_s)  # three limiters, one unit each in turn


def test_a_ledger_that_this_limiter_takes_over_opens_at_the_last_reading() -> None:
    harness, name, owner, asked = harness_with_pending_query(spread=2, limiters=2)
    harness.handle(api.PeerMessage(owner, single(asked.key, SingleKind.DENIED, first=0, query_id=asked.query_id)))
    harness.limiter.quota_coordinator.owners.silent_until_ms[owner] = harness.now_ms + 1e6
    harness.limiter.quotas.accounts[asked.key].exhausted_until_ms = harness.now_ms
    again = harness.send_request(customer_id=f"c{int(name[1:]) - 1}", limiter_count=2)
    assert harness.final_answers[again] == ["Reject"]
