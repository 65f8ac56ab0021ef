"""The ledgers that a limiter manages for all limiters of its customers."""

import pytest
from helpers import limiter_settings, start_harness
from quota_messages import sent_singles, single

from elderlock import interface as api
from elderlock.peer_messages import SINGLE, SINGLE_FORMAT, SingleKind

TRUNCATED = [b"\x5d\xff\x00\x01", b"\x5d\xff\x01\x01", b"\x5d\xff\x07"]

UNREADABLE = [
    b"",
    *TRUNCATED,
    b"\x5c",
    b"abc",
    bytes([SINGLE_FORMAT]) + bytes(7),
    b"\x5a" + b"\xff" * (SINGLE.size - 1),
]


def test_the_owner_grants_each_unit_to_only_one_limiter() -> None:
    harness = start_harness(limiter_settings(limiter_count=400, can_message_peers=True))
    for sender in range(1, 31):
        harness.handle(api.PeerMessage(sender, single(7, SingleKind.QUERY, query_id=sender)))
        harness.run_until(harness.now_ms + 25.0)
    answers = [message.kind for _, message in sent_singles(harness)]
    assert len(answers) == 30
    assert 20 <= answers.count(SingleKind.GRANTED) <= 28  # a burst of 20, and 10 a second for 0.75 s
    assert [receiver for receiver, _ in sent_singles(harness)] == list(range(1, 31))


def test_a_restarted_owner_opens_a_ledger_at_the_last_known_level_of_the_query() -> None:
    harness = start_harness(limiter_settings(can_message_peers=True))
    harness.handle(api.PeerMessage(1, single(7, SingleKind.QUERY, second=0)))
    assert sent_singles(harness)[-1][1].kind == SingleKind.DENIED


def test_answers_stay_within_the_message_budget() -> None:
    harness = start_harness(limiter_settings(limiter_count=400, can_message_peers=True))
    for i in range(2000):
        harness.handle(api.PeerMessage(1 + i % 399, single(i, SingleKind.QUERY)))
        harness.run_until(harness.now_ms + 1.0)
    assert len(sent_singles(harness)) <= 25 + 75 * 2.1


@pytest.mark.parametrize("data", [*UNREADABLE, single(5, SingleKind.QUERY, plan_index=200), single(5, 9)])
def test_unreadable_datagrams_are_ignored(data: bytes) -> None:
    harness = start_harness(limiter_settings(can_message_peers=True))
    assert harness.handle(api.PeerMessage(1, data)) == []
    assert harness.handle(api.PeerMessage(99, single(5, SingleKind.QUERY))) == []
    assert not harness.limiter.quotas.accounts and not harness.limiter.quota_coordinator.quota_owner.ledgers
