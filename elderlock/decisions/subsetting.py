"""Subsetting: which servers this limiter connects to where there are too many limiters and servers for all pairs."""

from __future__ import annotations

from elderlock.structures.rendezvous import RendezvousRanking

MIN_HOLDER_COUNT = 2  # limiters to a server; with one, a server would be lost with its limiter
HYSTERESIS_FRACTION = 0.1  # by which the number of servers may change before the number of holders does
MIN_USABLE_FRACTION = 0.5  # of the mean subset; a limiter with fewer usable servers takes in more


class Subsetting:
    """Gives each server the same number of holders, and each limiter about `subset_size` servers.

    Invariant: `includes` is a function of the server ids, the limiter's index and `holder_count` alone. All servers are
    included where `subset_size` is 0, or where there are no more servers than that.

    Attributes:
        limiter_count: How many limiters there are.
        subset_size: How many servers each limiter is to hold; 0 for all.
        ranking: The ranking of the limiters for each server.
        holder_count: Up to which rank this limiter takes in servers; more than the ranking's number of holders where
            too few of its own servers are usable.
    """

    def __init__(self, limiter_index: int, limiter_count: int, subset_size: int) -> None:
        """Create a subset without servers."""
        self.limiter_count = limiter_count
        self.subset_size = subset_size if limiter_count > 1 else 0
        self.ranking = RendezvousRanking(limiter_index, limiter_count)
        self.holder_count = limiter_count

    def add(self, server_id: str, weight_milli: int) -> None:
        """Add a server; without effect where all servers are included."""
        if self.subset_size:
            self.ranking.add(server_id, weight_milli)

    def remove(self, server_id: str) -> None:
        """Remove a server, if it was added."""
        self.ranking.remove(server_id)

    def rank(self, server_id: str) -> int:
        """Return this limiter's rank for a server, from 0; 0 where all servers are included."""
        return self.ranking.rank(server_id)

    def includes(self, server_id: str) -> bool:
        """Return whether this limiter holds a server."""
        return self.ranking.rank(server_id) < self.holder_count

    def potential_sender_count(self) -> int:
        """Return how many limiters may send to a server: twice its holders, as some may have taken in more."""
        return min(self.limiter_count, 2 * self.ranking.holder_count)

    def update(self, usable_count_by_rank: list[int]) -> bool:
        """Adjust the numbers of holders to the servers there are.

        Args:
            usable_count_by_rank: How many servers could be sent to, by this limiter's rank for them.

        Returns:
            Whether this limiter may hold other servers now.
        """
        ranking = self.ranking
        server_count = len(ranking)
        previous = self.holder_count, ranking.holder_count
        fewest = self._wanted_holder_count(server_count * (1.0 + HYSTERESIS_FRACTION))
        most = self._wanted_holder_count(server_count * (1.0 - HYSTERESIS_FRACTION))
        if self.subset_size and not fewest <= ranking.holder_count <= most:
            ranking.set_holder_count(self._wanted_holder_count(server_count))
        self.holder_count = ranking.holder_count
        min_usable_count = MIN_USABLE_FRACTION * server_count * ranking.holder_count / self.limiter_count
        while (
            self.holder_count < self.limiter_count and sum(usable_count_by_rank[: self.holder_count]) < min_usable_count
        ):
            self.holder_count = min(2 * self.holder_count, self.limiter_count)
        return previous != (self.holder_count, ranking.holder_count)

    def _wanted_holder_count(self, server_count: float) -> int:
        if server_count <= self.subset_size:
            return self.limiter_count
        wanted = round(self.limiter_count * self.subset_size / server_count)
        return min(self.limiter_count, max(MIN_HOLDER_COUNT, wanted))

    def selection_weight(self, server_id: str, weight_milli: float) -> int:
        """Return the weight by which a server of the subset is sampled.

        Args:
            server_id: The server.
            weight_milli: Its weight for all limiters together, in thousandths.
        """
        if self.ranking.holder_count < self.limiter_count:
            weight_milli *= self.ranking.balance_factor(server_id)
        return max(1, int(weight_milli))
