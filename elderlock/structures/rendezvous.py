"""A ranking of the limiters for each server, which is the same at all limiters even if their server lists differ."""

from __future__ import annotations

from array import array
from hashlib import shake_128

HASH_BYTES = 4  # the size of the sort key of each limiter


def rank_limiters(server_id: str, limiter_count: int) -> array[int]:
    """Return the indices of all limiters in the order of their rank for a server."""
    # A longer digest starts with the shorter one, so an additional limiter does not change the order of the others.
    keys = array("I", shake_128(server_id.encode()).digest(HASH_BYTES * limiter_count))
    return array("H", sorted(range(limiter_count), key=keys.__getitem__))


class RendezvousRanking:
    """Rendezvous hashing (Thaler and Ravishankar, 1998) of servers to limiters.

    The limiters are ranked for each server by a hash of the server's id, and the first `holder_count` of them hold the
    server. An additional limiter or server moves as few assignments as possible, and a larger `holder_count` only adds
    assignments. Adding a server costs O(n log n) for n limiters.

    Invariant: `weight_milli_by_limiter[n]` is the weight of the servers that limiter n holds; it stays 0 if all
    limiters hold all servers. `total_weight_milli` is the weight of all servers.

    Attributes:
        limiter_index: The index of this limiter.
        limiter_count: The number of limiters.
        holder_count: The number of limiters that hold each server.
        total_weight_milli: The weight of all servers, in thousandths.
        weight_milli_by_limiter: The weight of the servers that each limiter holds, in thousandths.
    """

    def __init__(self, limiter_index: int, limiter_count: int) -> None:
        """Create a ranking without servers, in which all limiters hold all servers."""
        self.limiter_index = limiter_index
        self.limiter_count = limiter_count
        self.holder_count = limiter_count
        self.total_weight_milli = 0
        self.weight_milli_by_limiter = [0] * limiter_count
        self._limiter_order: dict[str, array[int]] = {}
        self._own_rank: dict[str, int] = {}
        self._weight_milli: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._limiter_order)

    def add(self, server_id: str, weight_milli: int) -> None:
        """Add a server that is not in the ranking."""
        order = rank_limiters(server_id, self.limiter_count)
        self._limiter_order[server_id] = order
        self._weight_milli[server_id] = weight_milli
        self._own_rank[server_id] = order.index(self.limiter_index)
        self._add_weight(server_id, weight_milli)

    def remove(self, server_id: str) -> None:
        """Remove a server, if it is in the ranking."""
        if server_id in self._limiter_order:
            self._add_weight(server_id, -self._weight_milli.pop(server_id))
            del self._limiter_order[server_id]
            del self._own_rank[server_id]

    def rank(self, server_id: str) -> int:
        """Return this limiter's rank for a server, from 0; 0 for a server that is not in the ranking."""
        return self._own_rank.get(server_id, 0)

    def set_holder_count(self, holder_count: int) -> None:
        """Change the number of limiters that hold each server."""
        self.holder_count = holder_count
        self.total_weight_milli = 0
        self.weight_milli_by_limiter = [0] * self.limiter_count
        for server_id, weight_milli in self._weight_milli.items():
            self._add_weight(server_id, weight_milli)

    def _add_weight(self, server_id: str, weight_milli: int) -> None:
        self.total_weight_milli += weight_milli
        if self.holder_count < self.limiter_count:  # avoids a loop over all limiters per server of a long first list
            for limiter_index in self._limiter_order[server_id][: self.holder_count]:
                self.weight_milli_by_limiter[limiter_index] += weight_milli

    def balance_factor(self, server_id: str) -> float:
        """Return the factor for a server's weight that compensates for the different loads of its holders.

        This is one step of iterative proportional fitting. All limiters send equally many requests, so a server whose
        holders hold more weight than the mean would get too few. It gets a factor above 1. The factor is defined only
        while `holder_count` is less than `limiter_count`.
        """
        mean = self.total_weight_milli * self.holder_count / self.limiter_count
        return self.holder_count / sum(
            mean / max(1, self.weight_milli_by_limiter[limiter_index])
            for limiter_index in self._limiter_order[server_id][: self.holder_count]
        )
