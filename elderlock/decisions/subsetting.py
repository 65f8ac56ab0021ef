"""Subsetting: chooses the servers that a limiter connects to if there are too many to connect to all of them."""

from __future__ import annotations

from elderlock.structures.rendezvous import RendezvousRanking

MIN_HOLDER_COUNT = 2  # limiters per server; with only one, a server would be unused while that limiter is down
HYSTERESIS_FRACTION = 0.1  # the number of servers may change by this fraction before the number of holders changes
MIN_USABLE_FRACTION = 0.5  # of the mean subset size; a limiter with fewer usable servers enlarges its subset


class Subsetting:
    """Assigns each server the same number of limiters, its holders, and each limiter about `subset_size` servers.

    Invariant: `includes` depends only on the server ids, the limiter's index and `holder_count`. All servers are
    included if `subset_size` is 0 or there are at most `subset_size` servers.

    Attributes:
        limiter_count: The number of limiters.
        subset_size: The intended number of servers of each limiter; 0 for all.
        ranking: The ranking of the limiters for each server.
        holder_count: This limiter's subset has the servers for which its rank is lower than this. It exceeds the
            ranking's number of holders if too few servers of the subset are usable.
    """

    def __init__(self, limiter_index: int, limiter_count: int, subset_size: int) -> None:
        """Start without servers."""
        self.limiter_count = limiter_count
        self.subset_size = subset_size if limiter_count > 1 else 0
        self.ranking = RendezvousRanking(limiter_index, limiter_count)
        self.holder_count = limiter_count

    def add(self, server_id: str, weight_milli: int) -> None:
        """Add a server; this has no effect if `subset_size` is 0."""
        if self.subset_size:
            self.ranking.add(server_id, weight_milli)

    def remove(self, server_id: str) -> None:
        """Remove a server, if it was added."""
        self.ranking.remove(server_id)

    def rank(self, server_id: str) -> int:
        """Return this limiter's rank for a server, from 0; always 0 if `subset_size` is 0."""
        return self.ranking.rank(server_id)

    def includes(self, server_id: str) -> bool:
        """Return whether a server is in this limiter's subset."""
        return self.ranking.rank(server_id) < self.holder_count

    def potential_sender_count(self) -> int:
        """Return the number of limiters that may send to a server: twice its holders, as subsets may be enlarged."""
        return min(self.limiter_count, 2 * self.ranking.holder_count)

    def update(self, usable_count_by_rank: list[int]) -> bool:
        """Adjust the numbers of holders to the current servers.

        Args:
            usable_count_by_rank: The number of usable servers, by this limiter's rank for them.

        Returns:
            Whether this limiter's subset may have changed.
        """
        ranking = self.ranking
        server_count = len(ranking)
        previous = self.holder_count, ranking.holder_count
        min_holder_count = self._target_holder_count(server_count * (1.0 + HYSTERESIS_FRACTION))
        max_holder_count = self._target_holder_count(server_count * (1.0 - HYSTERESIS_FRACTION))
        if self.subset_size and not min_holder_count <= ranking.holder_count <= max_holder_count:
            ranking.set_holder_count(self._target_holder_count(server_count))
        self.holder_count = ranking.holder_count
        min_usable_count = MIN_USABLE_FRACTION * server_count * ranking.holder_count / self.limiter_count
        while (
            self.holder_count < self.limiter_count and sum(usable_count_by_rank[: self.holder_count]) < min_usable_count
        ):
            self.holder_count = min(2 * self.holder_count, self.limiter_count)
        return previous != (self.holder_count, ranking.holder_count)

    def _target_holder_count(self, server_count: float) -> int:
        if server_count <= self.subset_size:
            return self.limiter_count
        target = round(self.limiter_count * self.subset_size / server_count)
        return min(self.limiter_count, max(MIN_HOLDER_COUNT, target))

    def selection_weight(self, server_id: str, weight_milli: float) -> int:
        """Return the weight with which a server of the subset is sampled.

        Args:
            server_id: The server's id.
            weight_milli: The server's weight in thousandths, before the balancing of subsets.
        """
        if self.ranking.holder_count < self.limiter_count:
            weight_milli *= self.ranking.balance_factor(server_id)
        return max(1, int(weight_milli))
