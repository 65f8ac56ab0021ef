"""Rumours: each is sent a bounded number of times, new ones first, within the budget of datagrams."""

import random

import pytest

from elderlock.gossip.evidence_messages import MAX_ROWS, Observation, ObservationKind
from elderlock.gossip.health_evidence import (
    FRESH_MS,
)
from elderlock.gossip.rumours import BURST_DATAGRAMS, EXTRA_TRANSMISSIONS, MAX_RUMOURS, SEND_FRACTION, RumourQueue

NOW, ZONE = 100_000.0, 0


def failed(server: int, origin: int, at_ms: float = NOW) -> Observation:
    return Observation(server, origin, ZONE, ObservationKind.FAILED, at_ms)


@pytest.mark.parametrize("limiters", [2, 30, 500])
def test_rumour_datagrams_stay_within_their_fraction_of_the_intake_under_a_flood(limiters: int) -> None:
    intake_per_s = 100.0
    rumours = RumourQueue(0, limiters, intake_per_s, random.Random(1), NOW)
    sent_count, duration_s = 0, 20
    for step in range(100 * duration_s):
        now_ms = NOW + 10.0 * step
        for server in range(20):
            rumours.add(Observation(1000 * step + server, 5, ZONE, ObservationKind.FAILED, now_ms))
        for datagram in rumours.due_datagrams(now_ms, FRESH_MS):
            sent_count += 1
            assert datagram.peer_index != 0 and 0 < len(datagram.observations) <= MAX_ROWS
        assert len(rumours) <= MAX_RUMOURS
    assert sent_count <= BURST_DATAGRAMS + SEND_FRACTION * intake_per_s * duration_s


def test_a_rumour_is_sent_to_a_bounded_number_of_different_limiters_and_then_dropped() -> None:
    rumours = RumourQueue(0, 64, 100.0, random.Random(2), NOW)
    rumours.add(failed(1, 0))
    receivers: list[int] = []
    for step in range(2000):
        receivers += [datagram.peer_index for datagram in rumours.due_datagrams(NOW + step, FRESH_MS)]
    assert len(receivers) == len(set(receivers)) == 3 + EXTRA_TRANSMISSIONS and len(rumours) == 0


@pytest.mark.parametrize("limiters", [2, 3, 8, 9])
def test_in_a_small_group_a_rumour_is_sent_to_each_other_limiter_once(limiters: int) -> None:
    """In a small group the logarithmic bound would sometimes leave out a limiter."""
    rumours = RumourQueue(0, limiters, 1000.0, random.Random(4), NOW)
    rumours.add(failed(1, 0))
    receivers = [
        datagram.peer_index for step in range(40) for datagram in rumours.due_datagrams(NOW + 50.0 * step, FRESH_MS)
    ]
    assert sorted(receivers) == list(range(1, limiters))


def test_unsent_rumours_go_first_and_stale_ones_are_dropped() -> None:
    rumours = RumourQueue(0, 64, 100.0, random.Random(3), NOW)
    for server in range(MAX_ROWS):
        rumours.add(failed(server, 0))
    while rumours.due_datagrams(NOW, FRESH_MS):
        pass  # until the burst is used up
    rumours.add(failed(999, 0, NOW + 300.0))
    rows = rumours.due_datagrams(NOW + 300.0, FRESH_MS)[0].observations
    assert rows[0].server_key == 999
    assert rumours.due_datagrams(NOW + 2 * FRESH_MS, FRESH_MS) == [] and len(rumours) == 0
