"""Draws in proportion to weights that change one by one, at a cost that does not grow with the members."""

from __future__ import annotations

import random

from elderlock.state import Server


class _Level:
    __slots__ = ("members", "total", "weights")

    def __init__(self) -> None:
        self.members: list[Server] = []
        self.weights: list[int] = []
        self.total = 0


class WeightedSampler:
    """Members by the power of two above their weight (Matias, Vitter and Ni, Dynamic Generation of Discrete Random
    Variates, 2003): a draw picks a level, then a member, taken with the chance of its weight over the power, so
    two tries at most on average. Weights are whole numbers from 1, so that sums never drift.

    Invariant: a member stands in one level once, and `total` is the sum of all weights."""

    def __init__(self) -> None:
        self.total = 0
        self._levels: dict[int, _Level] = {}
        self._places: dict[Server, tuple[int, int]] = {}  # level and index

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, server: Server) -> bool:
        return server in self._places

    def members(self) -> list[Server]:
        return list(self._places)

    def weight(self, server: Server) -> int:
        """0 for one that is not in."""
        place = self._places.get(server)
        return self._levels[place[0]].weights[place[1]] if place is not None else 0

    def set_weight(self, server: Server, weight: int) -> None:
        """Weight 0 takes it out."""
        power, place = weight.bit_length(), self._places.get(server)
        if place is not None:
            level, index = self._levels[place[0]], place[1]
            if place[0] == power:
                more = weight - level.weights[index]
                level.weights[index] = weight
                level.total += more
                self.total += more
                return
            self._take_out(server, place[0], index)
        if weight > 0:
            level = self._levels.setdefault(power, _Level())
            self._places[server] = power, len(level.members)
            level.members.append(server)
            level.weights.append(weight)
            level.total += weight
            self.total += weight

    def _take_out(self, server: Server, power: int, index: int) -> None:
        level = self._levels[power]
        weight, last = level.weights[index], level.members[-1]
        level.members[index], level.weights[index] = last, level.weights[-1]
        self._places[last] = power, index
        level.members.pop()
        level.weights.pop()
        level.total -= weight
        self.total -= weight
        del self._places[server]
        if not level.members:
            del self._levels[power]

    def sample(self, rng: random.Random) -> Server:
        """One member, by weight; there must be one."""
        at = rng.random() * self.total
        for power, level in self._levels.items():  # a handful
            most = 1 << power
            if at < level.total:
                break
            at -= level.total
        members, weights, count = level.members, level.weights, len(level.members)
        while True:
            at = rng.random() * count
            index = int(at)
            if (at - index) * most < weights[index]:
                return members[index]
