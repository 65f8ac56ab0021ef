"""A ranking of the limiters for each box, the same at every limiter, whatever it has heard of the other boxes."""

from __future__ import annotations

from array import array
from hashlib import shake_128


def rank_limiters(name: str, limiters: int) -> array[int]:
    """The limiters in the box's order."""
    # the digest's first bytes are the same for more limiters, so these change no one's place but by theirs
    keys = array("I", shake_128(name.encode()).digest(4 * limiters))
    return array("H", sorted(range(limiters), key=keys.__getitem__))


class RendezvousRanking:
    """Rendezvous hashing (Thaler and Ravishankar, 1998): a box ranks the limiters by a hash of its name, and its first
    `holders` hold it. One more limiter or box moves just what it must, and a larger `holders` only adds.
    A box costs O(limiters) once, when it is added.

    Invariant: `masses[n]` is what limiter n holds of the boxes that are in; where all hold all, `mass` is that of each
    and no sum is kept."""

    def __init__(self, number: int, limiters: int) -> None:
        self.limiter_index, self.limiter_count, self.holder_count = number, limiters, limiters
        self.total_weight_milli = 0
        self.weight_milli_by_limiter = [0] * limiters
        self._order: dict[str, array[int]] = {}
        self._rank: dict[str, int] = {}  # our own
        self._mass: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._order)

    def add(self, name: str, mass: int) -> None:
        order = self._order[name] = rank_limiters(name, self.limiter_count)
        self._mass[name], self._rank[name] = mass, order.index(self.limiter_index)
        self._count(name, mass)

    def remove(self, name: str) -> None:
        if name in self._order:
            self._count(name, -self._mass.pop(name))
            del self._order[name], self._rank[name]

    def rank(self, name: str) -> int:
        """Our own place; 0 for a box that is not in."""
        return self._rank.get(name, 0)

    def set_holder_count(self, holders: int) -> None:
        self.holder_count, self.total_weight_milli = holders, 0
        self.weight_milli_by_limiter = [0] * self.limiter_count
        for name, mass in self._mass.items():
            self._count(name, mass)

    def _count(self, name: str, mass: int) -> None:
        self.total_weight_milli += mass
        if self.holder_count < self.limiter_count:  # else a first list of many boxes would walk all limiters for each
            for limiter in self._order[name][: self.holder_count]:
                self.weight_milli_by_limiter[limiter] += mass

    def balance_factor(self, name: str) -> float:
        """More than 1 for a box whose holders hold much: one step of iterative proportional fitting, by which each
        box gets its part though limiters that hold less send as much. Only where not all hold all."""
        mean = self.total_weight_milli * self.holder_count / self.limiter_count
        return self.holder_count / sum(
            mean / max(1, self.weight_milli_by_limiter[n]) for n in self._order[name][: self.holder_count]
        )
