"""Rumours: each is sent a bounded number of times, news first, and datagrams keep to their budget."""

import random

import pytest

from elderlock.gossip.evidence_messages import MAX_ROWS, Observation, ObservationKind
from elderlock.gossip.health_evidence import (
    FRESH_MS,
)
from elderlock.gossip.rumours import BURST_DATAGRAMS, EXTRA_TRANSMISSIONS, MAX_RUMOURS, SEND_FRACTION, RumourQueue

NOW, READY, HERE, THERE = 100_000.0, 40, 0, 1


def failed(server: int, origin: int, at: float = NOW, zone: int = HERE) -> Observation:
    return Observation(server, origin, zone, ObservationKind.FAILED, at)


def good(server: int, origin: int, at: float = NOW, zone: int = HERE) -> Observation:
    return Observation(server, origin, zone, ObservationKind.ANSWERED, at)


@pytest.mark.parametrize("limiters", [2, 30, 500])
def test_rumour_datagrams_stay_within_their_fraction_of_the_intake_under_a_flood(limiters: int) -> None:
    intake = 100.0
    rumours = RumourQueue(0, limiters, intake, random.Random(1), NOW)
    sent, seconds = 0, 20
    for step in range(100 * seconds):
        now = NOW + 10.0 * step
        for server in range(20):
            rumours.add(Observation(1000 * step + server, 5, HERE, ObservationKind.FAILED, now))
        for datagram in rumours.due_datagrams(now, FRESH_MS):
            sent += 1
            assert datagram.peer_index != 0 and 0 < len(datagram.observations) <= MAX_ROWS
        assert len(rumours) <= MAX_RUMOURS
    assert sent <= BURST_DATAGRAMS + SEND_FRACTION * intake * seconds


def test_a_rumour_is_sent_to_a_bounded_number_of_different_limiters_and_then_dropped() -> None:
    rumours = RumourQueue(0, 64, 100.0, random.Random(2), NOW)
    rumours.add(failed(1, 0))
    receivers: list[int] = []
    for step in range(2000):
        receivers += [datagram.peer_index for datagram in rumours.due_datagrams(NOW + step, FRESH_MS)]
    assert len(receivers) == len(set(receivers)) == 3 + EXTRA_TRANSMISSIONS and len(rumours) == 0


@pytest.mark.parametrize("limiters", [2, 3, 8, 9])
def test_in_a_small_group_a_rumour_is_sent_to_each_other_limiter_once(limiters: int) -> None:
    """By the logarithm of so few, one that hears of it from nobody would be left over now and then."""
    rumours = RumourQueue(0, limiters, 1000.0, random.Random(4), NOW)
    rumours.add(failed(1, 0))
    receivers = [each.peer_index for n in range(40) for each in rumours.due_datagrams(NOW + 50.0 * n, FRESH_MS)]
    assert sorted(receivers) == list(range(1, limiters))


def test_unsent_rumours_go_first_and_stale_ones_are_dropped() -> None:
    rumours = RumourQueue(0, 64, 100.0, random.Random(3), NOW)
    for server in range(MAX_ROWS):
        rumours.add(failed(server, 0))
    while rumours.due_datagrams(NOW, FRESH_MS):
        pass  # its burst is spent
    rumours.add(failed(999, 0, NOW + 300.0))
    rows = rumours.due_datagrams(NOW + 300.0, FRESH_MS)[0].observations
    assert rows[0].server_key == 999
    assert rumours.due_datagrams(NOW + 2 * FRESH_MS, FRESH_MS) == [] and len(rumours) == 0
