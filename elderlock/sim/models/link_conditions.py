"""The network by floor: how long a byte takes from one machine to another, what is lost, what is cut off.

Delay one way, in ms: base + E, where base is `same` inside a floor and `cross` between two, and E is exponential with
mean `jitter` x base; a share `tail` of all takes `tail_by` times as long. A lost segment is sent again after
`again` ms, doubled at each further loss (TCP's retransmission time-out, RFC 6298, with the Linux least of 200 ms).
A cut is one-way: what would pass from a cut machine waits, or is lost where it is a datagram.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol


class NetworkNode(Protocol):
    """A machine, as far as the network goes."""

    @property
    def name(self) -> str: ...

    @property
    def floor(self) -> str: ...


@dataclass(frozen=True, slots=True)
class LinkDelays:
    """ms and shares, see above. `datagram_loss` is of what passes between two machines, whatever the floor."""

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
    """Invariant: a cut is a set of ordered pairs of machines' or floors' names; all else passes."""

    def __init__(self, delays: LinkDelays, rng: random.Random) -> None:
        self.delays, self._rng = delays, rng
        self._cuts: dict[tuple[str, str], int] = {}
        self.extra_delay_ms: dict[str, float] = {}  # ms more on each way to or from that machine or floor
        self.pair_extra_delay_ms: dict[tuple[str, str], float] = {}  # ms more from that machine to that one
        self.pair_extra_loss: dict[tuple[str, str], float] = {}  # share of its datagrams that are lost besides
        self.loss = delays.loss
        self.datagram_loss = delays.datagram_loss
        self.on_cuts_removed: Callable[[], None] | None = None

    def delay(self, here: NetworkNode, there: NetworkNode) -> float:
        """ms, one way."""
        d = self.delays
        base = d.same if here.floor == there.floor or not here.floor or not there.floor else d.cross
        way = base + self._rng.expovariate(1.0) * d.jitter * base
        if self._rng.random() < d.tail:
            way *= d.tail_by
        if self.extra_delay_ms and here.floor and there.floor:
            way += sum(self.extra_delay_ms.get(name, 0.0) for name in (here.name, there.name, here.floor, there.floor))
        if self.pair_extra_delay_ms:
            way += self.pair_extra_delay_ms.get((here.name, there.name), 0.0)
        return way

    def is_cut(self, here: NetworkNode, there: NetworkNode) -> bool:
        if not self._cuts:
            return False
        sources, targets = (here.name, here.floor, "*"), (there.name, there.floor, "*")
        return here is not there and any((s, t) in self._cuts for s in sources for t in targets if s or t)

    def is_lost(self, here: NetworkNode, there: NetworkNode) -> bool:
        """Between floors' machines alone: clients and discovery, on no floor, have links that the model leaves whole,
        as a limiter cannot answer for what its client's own link does."""
        if self.loss <= 0 or here is there or not here.floor or not there.floor:
            return False
        return self._rng.random() < self.loss

    def is_datagram_lost(self, here: NetworkNode, there: NetworkNode) -> bool:
        more = self.pair_extra_loss.get((here.name, there.name), 0.0) if self.pair_extra_loss else 0.0
        return here is not there and self._rng.random() < self.datagram_loss + self.loss + more

    def is_duplicated(self) -> bool:
        return self._rng.random() < self.delays.double

    def retransmission_delay(self) -> float:
        """ms until a lost segment has come through."""
        wait, total = self.delays.again, self.delays.again
        while self._rng.random() < self.loss and wait < self.delays.most_again:
            wait *= 2.0
            total += wait
        return total

    def add_cuts(self, pairs: Iterable[tuple[str, str]]) -> None:
        """From the first's name to the second's, one way; cuts of one pair count."""
        for pair in pairs:
            self._cuts[pair] = self._cuts.get(pair, 0) + 1

    def remove_cuts(self, pairs: Iterable[tuple[str, str]]) -> None:
        for pair in pairs:
            left = self._cuts.get(pair, 0) - 1
            if left > 0:
                self._cuts[pair] = left
            else:
                self._cuts.pop(pair, None)
        if self.on_cuts_removed is not None:
            self.on_cuts_removed()
