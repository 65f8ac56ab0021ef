"""Dissemination of observations by epidemic algorithms.

Published as rumour mongering (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987), in its
push form with counters: a limiter that has learnt of a rumour sends it a bounded number of times, then no more.

Bound: a limiter sends a rumour half the binary logarithm of the limiters and `EXTRA_TRANSMISSIONS` times, or in a group
of up to `SMALL_GROUP_PEERS` + 1 to each of the others once, and in all no more datagrams than its budget holds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import ceil, log2

from elderlock.gossip.evidence_messages import MAX_ROWS, Observation

MS_PER_SECOND = 1000.0
MAX_RUMOURS = 256  # the oldest gives way
SMALL_GROUP_PEERS = 8
EXTRA_TRANSMISSIONS = 2  # with them one of 400 limiters does not learn of a rumour among 200
SEND_FRACTION = 0.05  # of what a limiter takes in; quota messages have the rest
BURST_DATAGRAMS = 8.0


@dataclass(frozen=True, slots=True)
class RumourDatagram:
    """What to send to one peer.

    Attributes:
        peer_index: Number of the limiter to send to.
        observations: What to send, `MAX_ROWS` at most.
    """

    peer_index: int
    observations: list[Observation]


class RumourQueue:
    """The observations that are still to be sent, and the budget of datagrams.

    Invariant: each limiter sends a rumour a bounded number of times, and no more than `BURST_DATAGRAMS` at once and
    `SEND_FRACTION` of the intake a second, whatever there is to send.
    """

    def __init__(
        self, limiter_index: int, limiter_count: int, intake_per_s: float, rng: random.Random, now_ms: float
    ) -> None:
        """Start with nothing to send.

        Args:
            limiter_index: Number of this limiter.
            limiter_count: Number of limiters.
            intake_per_s: Datagrams that a limiter takes in a second.
            rng: Randomness for the order of the peers.
            now_ms: The time now.
        """
        self._peers = [peer for peer in range(limiter_count) if peer != limiter_index]
        rng.shuffle(self._peers)  # in turn: by chance alone some would be sent much and others nothing
        self._next_peer = 0
        is_small_group = len(self._peers) <= SMALL_GROUP_PEERS
        self._max_transmissions = (
            len(self._peers) if is_small_group else ceil(log2(limiter_count) / 2) + EXTRA_TRANSMISSIONS
        )
        self._transmissions: dict[Observation, int] = {}
        self._rate_per_s = SEND_FRACTION * intake_per_s
        self._available_datagrams = BURST_DATAGRAMS
        self._updated_at_ms = now_ms

    def __len__(self) -> int:
        """Return the number of rumours."""
        return len(self._transmissions)

    def add(self, observation: Observation) -> None:
        """Add an observation that is news."""
        if len(self._transmissions) >= MAX_RUMOURS:
            del self._transmissions[next(iter(self._transmissions))]
        self._transmissions[observation] = 0

    def due_datagrams(self, now_ms: float, fresh_ms: float) -> list[RumourDatagram]:
        """Return what to send now. Observations that are older than `fresh_ms` are dropped."""
        self._refill_budget(now_ms)
        datagrams: list[RumourDatagram] = []
        while self._transmissions and self._peers and self._available_datagrams >= 1.0:
            self._drop_older_than(now_ms - fresh_ms)
            observations = self._least_sent()
            if not observations:
                break
            self._count_transmission(observations)
            self._available_datagrams -= 1.0
            peer_index = self._peers[self._next_peer % len(self._peers)]
            datagrams.append(RumourDatagram(peer_index, observations))
            self._next_peer += 1
        return datagrams

    def _refill_budget(self, now_ms: float) -> None:
        refilled_datagrams = self._rate_per_s * (now_ms - self._updated_at_ms) / MS_PER_SECOND
        self._available_datagrams = min(BURST_DATAGRAMS, self._available_datagrams + refilled_datagrams)
        self._updated_at_ms = now_ms

    def _drop_older_than(self, oldest_ms: float) -> None:
        for observation in [known for known in self._transmissions if known.began_at_ms <= oldest_ms]:
            del self._transmissions[observation]

    def _least_sent(self) -> list[Observation]:
        """Return the observations of the next datagram: those sent least often, of these the latest."""
        transmissions = self._transmissions
        by_need = sorted(transmissions, key=lambda known: (transmissions[known], -known.began_at_ms))
        return by_need[:MAX_ROWS]

    def _count_transmission(self, observations: list[Observation]) -> None:
        for observation in observations:
            self._transmissions[observation] += 1
            if self._transmissions[observation] >= self._max_transmissions:
                del self._transmissions[observation]
