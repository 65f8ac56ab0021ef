"""Requests and grants of a ceiling's units: what is taken, what is not, and how many datagrams they cost."""

from __future__ import annotations

from dataclasses import replace

import pytest
from escrow_histories import FIRST, FULL, LIMITERS, MEMBERS, RATE, WARM, Node, nodes

from elderlock.decisions.context import MS_PER_SECOND
from elderlock.gossip.escrow_messages import FORMAT, VERSION, EscrowGrant, EscrowRequest, decode, encode
from elderlock.gossip.quota_escrow import (
    BURST_DATAGRAMS,
    MAX_OPENED_ACCOUNTS,
    REQUEST_INTERVAL_MS,
    REQUEST_LIFETIME_MS,
    SEND_FRACTION,
)


def granted() -> tuple[dict[int, Node], float, list[tuple[int, bytes]]]:
    """Its part is spent and it has asked; nobody has answered yet."""
    group, now = nodes(), 2.0 * WARM
    for other in (5, 0):
        assert group[other].ask(now - 900.0) and group[other].due() == []
    while group[FIRST].ask(now):
        pass
    return group, now, group[FIRST].due()


def answers(group: dict[int, Node], now: float, wants: list[tuple[int, bytes]]) -> list[tuple[int, bytes]]:
    found = []
    for to, data in wants:
        group[to].receive(now, FIRST, data)
        found += [(to, answer) for _, answer in group[to].due()]
    return found


def test_a_grant_is_taken_once_in_time_and_only_from_a_limiter_that_was_asked() -> None:
    group, now, wants = granted()
    assert sorted(to for to, _ in wants) == [0, 5]
    (giver, data), *_ = given = answers(group, now, wants)
    assert len(given) == 2
    before = group[FIRST].level()
    group[FIRST].receive(now, 3, data)  # it was not asked
    assert group[FIRST].level() == before
    group[FIRST].receive(now + 1.0, giver, data)
    after = group[FIRST].level()
    assert after > before + 0.5
    group[FIRST].receive(now + 1.0, giver, data)
    assert group[FIRST].level() == after
    other, late = given[1]
    group[FIRST].receive(now + REQUEST_LIFETIME_MS, other, late)
    group[FIRST].ask(now + REQUEST_LIFETIME_MS, 1000.0)  # only looks: so much no bucket holds
    assert group[FIRST].level() == pytest.approx(after + RATE / MEMBERS * (REQUEST_LIFETIME_MS - 1.0) / MS_PER_SECOND)


def test_a_restarted_process_takes_no_grant_for_the_process_before() -> None:
    group, now, wants = granted()
    given = answers(group, now, wants)
    anew = Node(FIRST, now, 99)
    assert not anew.ask(now, 4.0)
    before = anew.level()
    for giver, data in given:
        anew.receive(now + 1.0, giver, data)
    assert anew.level() == before


def test_a_giver_does_not_refill_while_its_grant_can_still_be_taken() -> None:
    group, now, wants = granted()
    answers(group, now, wants)
    giver, part = group[5], FULL / MEMBERS
    left = giver.level()
    giver.ask(now + REQUEST_LIFETIME_MS - 1.0, 1000.0)
    assert giver.level() <= part - (part - left) + RATE / MEMBERS * REQUEST_LIFETIME_MS / MS_PER_SECOND
    giver.ask(now + REQUEST_LIFETIME_MS + WARM, 1000.0)
    assert giver.level() == pytest.approx(part)


def test_a_request_is_granted_once_and_only_if_both_limiters_have_a_part() -> None:
    group, now, wants = granted()
    want = decode(wants[0][1])
    assert isinstance(want, EscrowRequest)
    to = wants[0][0]
    assert len(answers(group, now, [wants[0]])) == 1 and answers(group, now, [wants[0]]) == []
    wrong = [
        replace(want, request_id=1, plan_index=3),
        replace(want, request_id=2, limiter_count=2),
        replace(want, request_id=3, limiter_count=LIMITERS + 1),
        replace(want, request_id=4, first_limiter=0),
        replace(want, request_id=5, limiter_count=0),
    ]
    for each in wrong:
        assert answers(group, now, [(to, encode(each))]) == []
    group[to].receive(now, 3, encode(replace(want, request_id=6)))  # not one of those that the ceiling is split by
    assert group[to].due() == []


def test_a_limiter_that_is_short_itself_gives_nothing() -> None:
    group, now, wants = granted()
    while group[5].ask(now):
        pass
    assert group[5].due()
    assert [to for to, _ in answers(group, now, wants)] == [0]


def test_a_limiter_gives_for_customers_it_has_not_seen_up_to_a_bound() -> None:
    node = Node(5, 0.0, 1)
    for key in range(MAX_OPENED_ACCOUNTS + 50):
        node.receive(WARM + 1000.0 * key, FIRST, encode(EscrowRequest(key, key, 0, MEMBERS, FIRST, 4.0)))
    assert len(node.quotas.accounts) == MAX_OPENED_ACCOUNTS and len(node.due()) == MAX_OPENED_ACCOUNTS
    node.core.now_ms += 1e9
    node.quotas.expire_accounts()
    assert not node.quotas.accounts


def test_requests_stay_within_their_fraction_of_the_intake() -> None:
    node, sent, seconds = Node(FIRST, 0.0, 1), 0, 20
    for step in range(100 * seconds):
        now = WARM + 10.0 * step
        for customer in range(20):
            while node.ask(now, 4.0, f"c{customer}"):
                pass
        sent += len(node.due())
    assert 0 < sent <= BURST_DATAGRAMS + SEND_FRACTION * 100.0 * (seconds + WARM / MS_PER_SECOND)


def test_a_second_request_waits_for_the_request_interval() -> None:
    group, now, wants = granted()
    assert wants and not group[FIRST].ask(now + REQUEST_INTERVAL_MS - 1.0, 50.0) and group[FIRST].due() == []
    assert not group[FIRST].ask(now + REQUEST_INTERVAL_MS, 50.0) and group[FIRST].due() != []


@pytest.mark.parametrize(
    "data",
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
def test_bytes_of_another_form_decode_to_nothing(data: bytes) -> None:
    assert decode(data) is None


def test_units_are_sent_rounded_down() -> None:
    message = decode(encode(EscrowGrant(7, 1.999)))
    assert isinstance(message, EscrowGrant) and 1.99 < message.units <= 1.999
    assert decode(encode(EscrowRequest(7, 8, 1, 3, 4, 5.5))) == EscrowRequest(7, 8, 1, 3, 4, 5.5)
