"""Datagrams about the quota of one customer, for tests of the limiters that send and receive them."""

from typing import NamedTuple

from helpers import LimiterHarness, limiter_settings, start_harness

from elderlock import interface as api
from elderlock.peer_messages import SINGLE, SINGLE_FORMAT, UNKNOWN


class SentSingle(NamedTuple):
    """The fields of a datagram about one customer."""

    format: int
    latest_latency: int
    key: int
    kind: int
    plan_index: int
    first: int
    second: int
    query_id: int


def sent_singles(harness: LimiterHarness) -> list[tuple[int, SentSingle]]:
    """Return the receivers and datagrams that a limiter sent so far."""
    return [
        (action.receiver_index, SentSingle(*SINGLE.unpack(action.payload)))
        for _, action in harness.other_actions
        if isinstance(action, api.SendPeerMessage)
    ]


def single(key: int, kind: int, first: int = 4, second: int = UNKNOWN, query_id: int = 1, plan_index: int = 0) -> bytes:
    """Return a datagram as another limiter would send it."""
    return SINGLE.pack(SINGLE_FORMAT, UNKNOWN, key, kind, plan_index, first, second, query_id)


class HarnessWithQuery(NamedTuple):
    """A limiter with a request that waits for the answer of the quota's owner."""

    harness: LimiterHarness
    request_id: str
    owner: int
    query: SentSingle


def harness_with_pending_query(spread: int = 3, limiters: int = 3) -> HarnessWithQuery:
    """Return a limiter that has queried another limiter for the units of a request."""
    harness = start_harness(limiter_settings(limiter_count=limiters, can_message_peers=True))
    for number in range(100):
        request_id = harness.send_request(customer_id=f"c{number}", limiter_count=spread)
        if not harness.attempted_servers(request_id):
            return HarnessWithQuery(harness, request_id, *sent_singles(harness)[-1])
    raise AssertionError("none of 100 customers has another limiter as its quota owner")
