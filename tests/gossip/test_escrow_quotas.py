"""Requests for units of a ceiling and their grants: which are accepted, and how many datagrams are sent."""

from __future__ import annotations

from dataclasses import replace

import pytest
from escrow_histories import BURST_UNITS, FILL_MS, FIRST, LIMITER_COUNT, MEMBER_COUNT, RATE_PER_S, Node, make_nodes

from elderlock.decisions.context import MS_PER_SECOND
from elderlock.gossip.escrow_messages import FORMAT, VERSION, EscrowGrant, EscrowRequest, decode, encode
from elderlock.gossip.quota_escrow import (
    BURST_DATAGRAMS,
    MAX_OPENED_ACCOUNTS,
    REQUEST_INTERVAL_MS,
    REQUEST_LIFETIME_MS,
    SEND_FRACTION,
)


def nodes_with_pending_request() -> tuple[dict[int, Node], float, list[tuple[int, bytes]]]:
    """Let the first limiter spend its part; return the limiters, the time, and the requests that it sends."""
    nodes, now_ms = make_nodes(), 2.0 * FILL_MS
    for other in (5, 0):
        assert nodes[other].request(now_ms - 900.0) and nodes[other].due_datagrams() == []
    while nodes[FIRST].request(now_ms):
        pass
    return nodes, now_ms, nodes[FIRST].due_datagrams()


def replies_to(nodes: dict[int, Node], now_ms: float, requests: list[tuple[int, bytes]]) -> list[tuple[int, bytes]]:
    """Deliver requests; return the limiters that reply, with their replies."""
    replies = []
    for receiver, payload in requests:
        nodes[receiver].receive(now_ms, FIRST, payload)
        replies += [(receiver, reply) for _, reply in nodes[receiver].due_datagrams()]
    return replies


def test_a_grant_is_accepted_once_in_time_and_only_from_a_limiter_that_was_asked() -> None:
    nodes, now_ms, requests = nodes_with_pending_request()
    assert sorted(receiver for receiver, _ in requests) == [0, 5]
    (granting_peer, payload), *_ = grants = replies_to(nodes, now_ms, requests)
    assert len(grants) == 2
    level_before = nodes[FIRST].level_units()
    nodes[FIRST].receive(now_ms, 3, payload)  # limiter 3 was not asked
    assert nodes[FIRST].level_units() == level_before
    nodes[FIRST].receive(now_ms + 1.0, granting_peer, payload)
    level_after = nodes[FIRST].level_units()
    assert level_after > level_before + 0.5
    nodes[FIRST].receive(now_ms + 1.0, granting_peer, payload)
    assert nodes[FIRST].level_units() == level_after
    other_peer, late_grant = grants[1]
    nodes[FIRST].receive(now_ms + REQUEST_LIFETIME_MS, other_peer, late_grant)
    nodes[FIRST].request(now_ms + REQUEST_LIFETIME_MS, 1000.0)  # refused, as no bucket holds that much; it only refills
    assert nodes[FIRST].level_units() == pytest.approx(
        level_after + RATE_PER_S / MEMBER_COUNT * (REQUEST_LIFETIME_MS - 1.0) / MS_PER_SECOND
    )


def test_a_restarted_process_accepts_no_grant_for_the_previous_process() -> None:
    nodes, now_ms, requests = nodes_with_pending_request()
    grants = replies_to(nodes, now_ms, requests)
    restarted = Node(FIRST, now_ms, 99)
    assert not restarted.request(now_ms, 4.0)
    level_before = restarted.level_units()
    for granting_peer, payload in grants:
        restarted.receive(now_ms + 1.0, granting_peer, payload)
    assert restarted.level_units() == level_before


def test_granted_units_are_not_refilled_while_the_grant_is_still_valid() -> None:
    nodes, now_ms, requests = nodes_with_pending_request()
    replies_to(nodes, now_ms, requests)
    granting_node, capacity_units = nodes[5], BURST_UNITS / MEMBER_COUNT
    remaining_units = granting_node.level_units()
    granting_node.request(now_ms + REQUEST_LIFETIME_MS - 1.0, 1000.0)
    assert (
        granting_node.level_units() <= remaining_units + RATE_PER_S / MEMBER_COUNT * REQUEST_LIFETIME_MS / MS_PER_SECOND
    )
    granting_node.request(now_ms + REQUEST_LIFETIME_MS + FILL_MS, 1000.0)
    assert granting_node.level_units() == pytest.approx(capacity_units)


def test_a_request_is_granted_once_and_only_if_both_limiters_have_a_part() -> None:
    nodes, now_ms, requests = nodes_with_pending_request()
    request = decode(requests[0][1])
    assert isinstance(request, EscrowRequest)
    receiver = requests[0][0]
    assert len(replies_to(nodes, now_ms, [requests[0]])) == 1 and replies_to(nodes, now_ms, [requests[0]]) == []
    invalid_requests = [
        replace(request, request_id=1, plan_index=3),
        replace(request, request_id=2, limiter_count=2),
        replace(request, request_id=3, limiter_count=LIMITER_COUNT + 1),
        replace(request, request_id=4, first_limiter=0),
        replace(request, request_id=5, limiter_count=0),
    ]
    for invalid_request in invalid_requests:
        assert replies_to(nodes, now_ms, [(receiver, encode(invalid_request))]) == []
    nodes[receiver].receive(now_ms, 3, encode(replace(request, request_id=6)))  # limiter 3 has no part of the ceiling
    assert nodes[receiver].due_datagrams() == []


def test_a_limiter_that_needs_units_itself_grants_none() -> None:
    nodes, now_ms, requests = nodes_with_pending_request()
    while nodes[5].request(now_ms):
        pass
    assert nodes[5].due_datagrams()
    assert [receiver for receiver, _ in replies_to(nodes, now_ms, requests)] == [0]


def test_a_limiter_grants_units_of_customers_without_an_account_up_to_a_bound() -> None:
    node = Node(5, 0.0, 1)
    for key in range(MAX_OPENED_ACCOUNTS + 50):
        node.receive(FILL_MS + 1000.0 * key, FIRST, encode(EscrowRequest(key, key, 0, MEMBER_COUNT, FIRST, 4.0)))
    assert len(node.quotas.accounts) == MAX_OPENED_ACCOUNTS and len(node.due_datagrams()) == MAX_OPENED_ACCOUNTS
    node.context.now_ms += 1e9
    node.quotas.expire_accounts()
    assert not node.quotas.accounts


def test_requests_stay_within_their_fraction_of_the_intake() -> None:
    node, sent_count, duration_s = Node(FIRST, 0.0, 1), 0, 20
    for step in range(100 * duration_s):
        now_ms = FILL_MS + 10.0 * step
        for customer in range(20):
            while node.request(now_ms, 4.0, f"c{customer}"):
                pass
        sent_count += len(node.due_datagrams())
    assert 0 < sent_count <= BURST_DATAGRAMS + SEND_FRACTION * 100.0 * (duration_s + FILL_MS / MS_PER_SECOND)


def test_a_second_request_waits_for_the_request_interval() -> None:
    nodes, now_ms, requests = nodes_with_pending_request()
    assert (
        requests
        and not nodes[FIRST].request(now_ms + REQUEST_INTERVAL_MS - 1.0, 50.0)
        and nodes[FIRST].due_datagrams() == []
    )
    assert not nodes[FIRST].request(now_ms + REQUEST_INTERVAL_MS, 50.0) and nodes[FIRST].due_datagrams() != []


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        bytes([FORMAT]),
        bytes([FORMAT, VERSION]),
        bytes([FORMAT, VERSION + 1, 0]) + bytes(19),
        bytes([FORMAT, VERSION, 2]) + bytes(8),
        encode(EscrowGrant(1, 2.0))[:-1],
        encode(EscrowRequest(1, 2, 0, 3, 4, 5.0)) + b"\0",
        b"\x5c" * 12,
    ],
)
def test_malformed_datagrams_decode_to_none(payload: bytes) -> None:
    assert decode(payload) is None


def test_units_are_sent_rounded_down() -> None:
    message = decode(encode(EscrowGrant(7, 1.999)))
    assert isinstance(message, EscrowGrant) and 1.99 < message.units <= 1.999
    assert decode(encode(EscrowRequest(7, 8, 1, 3, 4, 5.5))) == EscrowRequest(7, 8, 1, 3, 4, 5.5)
