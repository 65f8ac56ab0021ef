"""Rumours: which observations are told to whom, within a budget of datagrams (epidemic algorithms, Demers et al. 1987:
push, and counters that make a rumour die)."""

from __future__ import annotations

import random
from math import ceil, log2

from elderlock.gossip.evidence_messages import MAX_ROWS, Observation

MAX_RUMOURS = 256  # rumours at once; the one heard longest ago gives way
SMALL_GROUP_PEERS = 8  # others, up to which each is told by whoever saw it
EXTRA_TRANSMISSIONS = (
    2  # times a rumour is told beyond half the binary logarithm of the limiters: of 200, one in 400 misses it
)
SEND_FRACTION, BURST_DATAGRAMS = 0.05, 8.0  # of what one takes in that each sends, a second, and datagrams at once


class RumourQueue:
    """Invariant: a rumour is told a bounded number of times by each that has heard it, and no more than `BURST` and
    `INTAKE_PART` of the intake a second are sent whatever there is to tell: questions of quotas have the rest."""

    def __init__(self, number: int, limiters: int, intake: float, rng: random.Random, now: float) -> None:
        """`intake`: datagrams a second that a limiter takes in."""
        self._others = [other for other in range(limiters) if other != number]
        rng.shuffle(self._others)  # told in turn: by chance alone, some would be told often and others never
        self._next = 0
        few = len(self._others) <= SMALL_GROUP_PEERS
        self._times = len(self._others) if few else ceil(log2(limiters) / 2) + EXTRA_TRANSMISSIONS
        self._told: dict[Observation, int] = {}  # how often
        self._rate = SEND_FRACTION * intake
        self._room, self._room_at = BURST_DATAGRAMS, now

    def __len__(self) -> int:
        return len(self._told)

    def add(self, observation: Observation) -> None:
        if len(self._told) >= MAX_RUMOURS:
            del self._told[next(iter(self._told))]
        self._told[observation] = 0

    def due_datagrams(self, now: float, fresh: float) -> list[tuple[int, list[Observation]]]:
        """Whom to tell what, now; observations older than `fresh` ms are told no more."""
        self._room = min(BURST_DATAGRAMS, self._room + self._rate * (now - self._room_at) / 1000.0)
        self._room_at = now
        out: list[tuple[int, list[Observation]]] = []
        while self._told and self._others and self._room >= 1.0:
            for old in [o for o in self._told if o.began_at_ms <= now - fresh]:
                del self._told[old]
            rows = sorted(self._told, key=lambda o: (self._told[o], -o.began_at_ms))[:MAX_ROWS]
            if not rows:
                break
            for row in rows:
                self._told[row] += 1
                if self._told[row] >= self._times:
                    del self._told[row]
            self._room -= 1.0
            out.append((self._others[self._next % len(self._others)], rows))
            self._next += 1
        return out
