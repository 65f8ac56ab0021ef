"""Random sampling in proportion to weights that can be changed one at a time."""

from __future__ import annotations

import random

from elderlock.state import Server


class _Level:
    """The members whose weights have the same number of bits."""

    __slots__ = ("members", "total_weight", "weights")

    def __init__(self) -> None:
        self.members: list[Server] = []
        self.weights: list[int] = []
        self.total_weight = 0


class WeightedSampler:
    """A dynamic discrete distribution, in which the cost of a change or a sample does not grow with the members.

    After Matias, Vitter and Ni, "Dynamic Generation of Discrete Random Variates" (2003): members are grouped into
    levels by the next power of two above their weight. A sample chooses a level with the probability of its total
    weight. It then draws members of the level uniformly until one is accepted, with the probability of its weight
    divided by the power of two. Each weight is at least half of the power, so this takes at most two tries on average.
    Weights are integers, so the sums have no rounding errors.

    Invariant: a member is in exactly one level, and `total_weight` is the sum of all weights.

    Attributes:
        total_weight: The sum of all weights.
    """

    def __init__(self) -> None:
        """Create an empty sampler."""
        self.total_weight = 0
        self._levels: dict[int, _Level] = {}  # by the number of bits of the weights
        self._positions: dict[Server, tuple[int, int]] = {}  # the level of each member and its index in the level

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, server: Server) -> bool:
        return server in self._positions

    def members(self) -> list[Server]:
        """Return all members, in the order in which they were added."""
        return list(self._positions)

    def weight(self, server: Server) -> int:
        """Return the weight of a server; 0 if it is not a member."""
        position = self._positions.get(server)
        if position is None:
            return 0
        bit_count, index = position
        return self._levels[bit_count].weights[index]

    def set_weight(self, server: Server, weight: int) -> None:
        """Add a server or change its weight; a weight of 0 removes the server."""
        bit_count = weight.bit_length()
        position = self._positions.get(server)
        if position is not None:
            previous_bit_count, index = position
            if previous_bit_count == bit_count:
                level = self._levels[bit_count]
                change = weight - level.weights[index]
                level.weights[index] = weight
                level.total_weight += change
                self.total_weight += change
                return
            self._remove(server, previous_bit_count, index)
        if weight > 0:
            level = self._levels.setdefault(bit_count, _Level())
            self._positions[server] = bit_count, len(level.members)
            level.members.append(server)
            level.weights.append(weight)
            level.total_weight += weight
            self.total_weight += weight

    def _remove(self, server: Server, bit_count: int, index: int) -> None:
        """Remove a member from its level by moving the level's last member into its place."""
        level = self._levels[bit_count]
        weight = level.weights[index]
        last_member = level.members[-1]
        level.members[index] = last_member
        level.weights[index] = level.weights[-1]
        self._positions[last_member] = bit_count, index
        level.members.pop()
        level.weights.pop()
        level.total_weight -= weight
        self.total_weight -= weight
        del self._positions[server]
        if not level.members:
            del self._levels[bit_count]

    def sample(self, rng: random.Random) -> Server:
        """Return a random member, each with a probability in proportion to its weight; there must be a member."""
        remainder = rng.random() * self.total_weight
        for bit_count, level in self._levels.items():
            weight_limit = 1 << bit_count
            if remainder < level.total_weight:
                break
            remainder -= level.total_weight
        members = level.members
        weights = level.weights
        count = len(members)
        while True:
            position = rng.random() * count
            index = int(position)
            if (position - index) * weight_limit < weights[index]:
                return members[index]
