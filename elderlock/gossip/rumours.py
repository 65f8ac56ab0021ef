"""Dissemination of observations by an epidemic algorithm.

The algorithm is rumour mongering (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987) in
its push variant with counters: a limiter that has received a rumour sends it a bounded number of times.

Bound: a limiter sends a rumour log2(limiters) / 2 + `EXTRA_TRANSMISSIONS` times. In a group of at most
`SMALL_GROUP_PEERS` + 1 limiters it sends the rumour once to each of the others. The budget of datagrams limits both.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import ceil, log2

from elderlock.gossip.evidence_messages import MAX_ROWS, Observation

MS_PER_SECOND = 1000.0
MAX_RUMOURS = 256  # the oldest is evicted
SMALL_GROUP_PEERS = 8
EXTRA_TRANSMISSIONS = 2  # a rumour then misses about 1 in 400 limiters in a group of 200
SEND_FRACTION = 0.05  # of the peer messages that a limiter can receive; the rest is for quota messages
BURST_DATAGRAMS = 8.0


@dataclass(frozen=True, slots=True)
class RumourDatagram:
    """Observations to send to one peer.

    Attributes:
        peer_index: The index of the limiter to send to.
        observations: The observations, `MAX_ROWS` at most.
    """

    peer_index: int
    observations: list[Observation]


class RumourQueue:
    """The observations that are still to be sent, and the budget of datagrams.

    Invariant: each limiter sends a rumour a bounded number of times. It sends at most `BURST_DATAGRAMS` at once, and on
    average at most the fraction `SEND_FRACTION` of the intake.
    """

    def __init__(
        self, limiter_index: int, limiter_count: int, intake_per_s: float, rng: random.Random, now_ms: float
    ) -> None:
        """Create an empty queue.

        Args:
            limiter_index: The index of this limiter.
            limiter_count: The number of limiters.
            intake_per_s: The datagrams that a limiter can receive per second.
            rng: The random numbers for the order of the peers.
            now_ms: The current time.
        """
        self._peers = [peer for peer in range(limiter_count) if peer != limiter_index]
        rng.shuffle(self._peers)  # used in turn, as random choices would leave some peers out
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
        """Return the number of rumours in the queue."""
        return len(self._transmissions)

    def add(self, observation: Observation) -> None:
        """Add a new observation."""
        if len(self._transmissions) >= MAX_RUMOURS:
            del self._transmissions[next(iter(self._transmissions))]
        self._transmissions[observation] = 0

    def due_datagrams(self, now_ms: float, fresh_ms: float) -> list[RumourDatagram]:
        """Return the datagrams to send now. Observations that are older than `fresh_ms` are dropped."""
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
        expired = [observation for observation in self._transmissions if observation.began_at_ms <= oldest_ms]
        for observation in expired:
            del self._transmissions[observation]

    def _least_sent(self) -> list[Observation]:
        """Return the observations for the next datagram: those sent least often first, and among them the latest."""
        counts = self._transmissions
        by_priority = sorted(counts, key=lambda observation: (counts[observation], -observation.began_at_ms))
        return by_priority[:MAX_ROWS]

    def _count_transmission(self, observations: list[Observation]) -> None:
        for observation in observations:
            self._transmissions[observation] += 1
            if self._transmissions[observation] >= self._max_transmissions:
                del self._transmissions[observation]
