"""Models the network between zones: delay, loss, duplication and partitions of the links between machines.

The one-way delay is base + E in ms. The base is `same` within a zone and `cross` between zones, and E is exponentially
distributed with mean `jitter` x base. A share `tail` of all delays is `tail_by` times as long. A lost TCP segment is
retransmitted after `again` ms, doubled at each further loss (the retransmission time-out of RFC 6298 with Linux's
minimum of 200 ms). A cut blocks one direction: segments wait until it ends, datagrams are lost.

A zone is called a floor in scenarios, and its Python attributes carry that name too.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol


class NetworkNode(Protocol):
    """What the network model needs of a machine."""

    @property
    def name(self) -> str:
        """The name of the machine."""

    @property
    def floor(self) -> str:
        """The zone of the machine; empty for clients and discovery."""


@dataclass(frozen=True, slots=True)
class LinkDelays:
    """Delays and loss rates of the links; see the module's description.

    Attributes:
        same: Base delay within a zone, in ms.
        cross: Base delay between zones, in ms.
        jitter: Mean of the random part as a share of the base.
        tail: Share of delays that are much longer.
        tail_by: How many times as long those are.
        loss: Share of TCP segments between zones' machines that are lost.
        datagram_loss: Share of datagrams that are lost between any two machines, in one zone or in two.
        double: Share of datagrams that are duplicated.
        again: First retransmission time-out, in ms.
        most_again: Retransmission time-out after which no further loss is drawn, in ms.
    """

    same: float = 0.25
    cross: float = 2.0
    jitter: float = 0.15
    tail: float = 0.002
    tail_by: float = 8.0
    loss: float = 0.0
    datagram_loss: float = 0.01
    double: float = 0.001
    again: float = 200.0
    most_again: float = 3200.0


class LinkConditions:
    """The present conditions of all links.

    Invariant: a cut is a set of ordered pairs of names of machines or zones; every other link passes traffic.

    Attributes:
        delays: The delays without faults.
        extra_delay_ms: Additional delay of each link from or to a machine or zone, by its name.
        pair_extra_delay_ms: Additional delay from one machine to another.
        pair_extra_loss: Additional share of datagrams lost from one machine to another.
        loss: Share of TCP segments that are lost now.
        datagram_loss: Share of datagrams that are lost now.
        on_cuts_removed: Called whenever cuts are removed.
    """

    def __init__(self, delays: LinkDelays, rng: random.Random) -> None:
        self.delays, self._rng = delays, rng
        self._cuts: dict[tuple[str, str], int] = {}
        self.extra_delay_ms: dict[str, float] = {}
        self.pair_extra_delay_ms: dict[tuple[str, str], float] = {}
        self.pair_extra_loss: dict[tuple[str, str], float] = {}
        self.loss = delays.loss
        self.datagram_loss = delays.datagram_loss
        self.on_cuts_removed: Callable[[], None] | None = None

    def delay(self, here: NetworkNode, there: NetworkNode) -> float:
        """Draws the one-way delay, in ms."""
        delays = self.delays
        base = delays.same if here.floor == there.floor or not here.floor or not there.floor else delays.cross
        delay = base + self._rng.expovariate(1.0) * delays.jitter * base
        if self._rng.random() < delays.tail:
            delay *= delays.tail_by
        if self.extra_delay_ms and here.floor and there.floor:
            delay += sum(
                self.extra_delay_ms.get(name, 0.0) for name in (here.name, there.name, here.floor, there.floor)
            )
        if self.pair_extra_delay_ms:
            delay += self.pair_extra_delay_ms.get((here.name, there.name), 0.0)
        return delay

    def is_cut(self, here: NetworkNode, there: NetworkNode) -> bool:
        """Returns whether nothing passes in that direction."""
        if not self._cuts:
            return False
        sources, targets = (here.name, here.floor, "*"), (there.name, there.floor, "*")
        return here is not there and any((s, t) in self._cuts for s in sources for t in targets if s or t)

    def is_lost(self, here: NetworkNode, there: NetworkNode) -> bool:
        """Draws whether a TCP segment is lost.

        Only links between machines in zones lose segments. Clients and discovery are in no zone, and their links never
        do, because a limiter is not responsible for its client's link.
        """
        if self.loss <= 0 or here is there or not here.floor or not there.floor:
            return False
        return self._rng.random() < self.loss

    def is_datagram_lost(self, here: NetworkNode, there: NetworkNode) -> bool:
        """Draws whether a datagram is lost."""
        extra = self.pair_extra_loss.get((here.name, there.name), 0.0) if self.pair_extra_loss else 0.0
        return here is not there and self._rng.random() < self.datagram_loss + self.loss + extra

    def is_duplicated(self) -> bool:
        """Draws whether a datagram arrives twice."""
        return self._rng.random() < self.delays.double

    def retransmission_delay(self) -> float:
        """Draws the time until a lost segment has been retransmitted successfully, in ms."""
        timeout, total = self.delays.again, self.delays.again
        while self._rng.random() < self.loss and timeout < self.delays.most_again:
            timeout *= 2.0
            total += timeout
        return total

    def add_cuts(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Blocks the direction from the first name of each pair to the second; cuts of the same pair are counted."""
        for pair in pairs:
            self._cuts[pair] = self._cuts.get(pair, 0) + 1

    def remove_cuts(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Removes one cut of each pair."""
        for pair in pairs:
            left = self._cuts.get(pair, 0) - 1
            if left > 0:
                self._cuts[pair] = left
            else:
                self._cuts.pop(pair, None)
        if self.on_cuts_removed is not None:
            self.on_cuts_removed()
