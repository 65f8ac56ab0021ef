"""Usage reports: the units that are admitted without a query are reported to the owner later."""

import pytest
from helpers import account_of, limiter_settings, start_harness
from quota_messages import harness_with_pending_query

from elderlock import interface as api
from elderlock.peer_messages import BATCH_FORMAT, BATCH_HEADER, LEVEL_ROW, UNKNOWN, USAGE_ROW, BatchKind


def test_with_a_low_message_budget_customers_far_from_quota_are_admitted_and_reported_later() -> None:
    """With one query per request, peers received more messages than they could handle under high load.

    Answers were lost, and the use was counted nowhere.
    """
    harness = start_harness(limiter_settings(can_message_peers=True))
    harness.limiter.quota_coordinator.messenger.available_messages = 10.0  # less than half of the maximum of 25
    assert all(harness.is_served(customer_id=f"c{i}", limiter_count=3) for i in range(60))
    assert not [action for _, action in harness.other_actions if isinstance(action, api.SendPeerMessage)]
    harness.run_until(400.0)
    payloads = [action.payload for _, action in harness.other_actions if isinstance(action, api.SendPeerMessage)]
    assert 2 <= len(payloads) <= 4
    assert all(len(payload) <= 256 and payload[0] == BATCH_FORMAT for payload in payloads)
    reported = [key for payload in payloads for key, *_ in USAGE_ROW.iter_unpack(payload[BATCH_HEADER.size :])]
    assert len(reported) == len(set(reported)) == 60 - len(harness.limiter.quota_coordinator.quota_owner.ledgers)
    assert not harness.limiter.quota_coordinator.usage_reports.unreported_units


def test_the_owner_charges_reported_use_and_answers_with_the_level() -> None:
    owner = start_harness(limiter_settings(can_message_peers=True))
    other = start_harness(limiter_settings(can_message_peers=True))
    report = (
        BATCH_HEADER.pack(BATCH_FORMAT, UNKNOWN, BatchKind.USAGE_REPORT)
        + USAGE_ROW.pack(7, 0, 60, UNKNOWN)
        + USAGE_ROW.pack(8, 200, 4, UNKNOWN)
    )
    owner.handle(api.PeerMessage(1, report))
    reply = next(action for _, action in owner.other_actions if isinstance(action, api.SendPeerMessage))
    level_units = owner.limiter.quota_coordinator.quota_owner.ledgers[7].level_units
    assert level_units == pytest.approx(5.0)  # the burst of 20 less 15 units
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


def test_a_traffic_spike_is_queried_when_other_limiters_may_have_admitted_as_much() -> None:
    harness, request_id, _, query = harness_with_pending_query()
    harness.end_attempt(request_id)
    for _ in range(20):
        harness.limiter.quota_coordinator.messenger.available_messages = 10.0
        harness.end_attempt(harness.send_request(f"c{int(request_id[1:]) - 1}", limiter_count=3))
    # At most a quarter of the burst of 20. Without the query each of the three limiters would admit half of the burst
    # between two reports.
    assert 2.0 <= harness.limiter.quota_coordinator.usage_reports.unreported_units[query.key] <= 5.0
