"""What is admitted without a query, and its reports."""

import pytest
from helpers import account_of, limiter_settings, start_harness
from quota_messages import harness_with_pending_query

from elderlock import interface as api
from elderlock.peer_messages import BATCH_FORMAT, BATCH_HEADER, LEVEL_ROW, UNKNOWN, USAGE_ROW, BatchKind


def test_with_a_low_message_budget_customers_far_from_quota_are_admitted_and_reported_later() -> None:
    """One question a request is more than peers take in on a busy day: answers were missing, and use was
    counted nowhere."""
    harness = start_harness(limiter_settings(can_message_peers=True))
    harness.limiter.quota_coordinator.messenger.available_messages = 10.0  # under half of its most, 25
    assert all(harness.is_served(customer_id=f"c{i}", limiter_count=3) for i in range(60))
    assert not [a for _, a in harness.other_actions if isinstance(a, api.SendPeerMessage)]
    harness.run_until(400.0)
    sent = [a for _, a in harness.other_actions if isinstance(a, api.SendPeerMessage)]
    assert 2 <= len(sent) <= 4 and all(len(a.payload) <= 256 and a.payload[0] == BATCH_FORMAT for a in sent)
    reported = [key for a in sent for key, *_ in USAGE_ROW.iter_unpack(a.payload[BATCH_HEADER.size :])]
    assert len(reported) == len(set(reported)) == 60 - len(harness.limiter.quota_coordinator.quota_owner.ledgers)
    assert not harness.limiter.quota_coordinator.usage_reports.unreported_units


def test_the_owner_charges_reported_use_and_answers_with_the_level() -> None:
    owner, other = (
        start_harness(limiter_settings(can_message_peers=True)),
        start_harness(limiter_settings(can_message_peers=True)),
    )
    report = (
        BATCH_HEADER.pack(BATCH_FORMAT, UNKNOWN, BatchKind.USAGE_REPORT)
        + USAGE_ROW.pack(7, 0, 60, UNKNOWN)
        + USAGE_ROW.pack(8, 200, 4, UNKNOWN)
    )
    owner.handle(api.PeerMessage(1, report))
    reply = next(a for _, a in owner.other_actions if isinstance(a, api.SendPeerMessage))
    assert owner.limiter.quota_coordinator.quota_owner.ledgers[7].level_units == pytest.approx(
        5.0
    )  # 20 of burst less 15 units
    assert list(owner.limiter.quota_coordinator.quota_owner.ledgers) == [7]
    other.limiter.quota_coordinator.messenger.available_messages = 0.0
    other.send_request(customer_id="c", limiter_count=3)
    key = account_of(other).key
    _, level, rate = LEVEL_ROW.unpack(reply.payload[BATCH_HEADER.size :])
    other.handle(
        api.PeerMessage(
            1, BATCH_HEADER.pack(BATCH_FORMAT, UNKNOWN, BatchKind.QUOTA_LEVELS) + LEVEL_ROW.pack(key, level, rate)
        )
    )
    assert account_of(other).shared_units == pytest.approx(
        5.0 - other.limiter.quota_coordinator.usage_reports.unreported_units.get(key, 0.0), abs=0.1
    )
    assert account_of(other).others_rate_per_s > 0.0


def test_a_spike_is_queried_once_other_limiters_may_have_admitted_as_much() -> None:
    harness, name, _, asked = harness_with_pending_query()
    harness.end_attempt(name)
    for _ in range(20):
        harness.limiter.quota_coordinator.messenger.available_messages = 10.0
        harness.end_attempt(harness.send_request(f"c{int(name[1:]) - 1}", limiter_count=3))
    # a quarter of the burst of 20, where each of three would admit half of it between two reports
    assert 2.0 <= harness.limiter.quota_coordinator.usage_reports.unreported_units[asked.key] <= 5.0
