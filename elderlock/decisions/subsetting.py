"""Which boxes are this limiter's, where there are too many limiters and boxes for each to hold all."""

from __future__ import annotations

from elderlock.structures.rendezvous import RendezvousRanking

LEAST_HOLDERS = 2  # limiters to a box: with one, a box would be lost with its limiter
STEADY = 0.1  # part by which the boxes may change in number before the holders of each do
LEAST_USABLE = 0.5  # part of the mean subset below which a limiter takes in more boxes


class Subsetting:
    """Each box has the same number of holders, chosen by `Ranking`, and each limiter some `size` boxes.

    Invariant: `holds` is a function of the names, the numbers and `holders` alone. All are held where `size` is 0
    or there are no more boxes than that."""

    def __init__(self, number: int, limiters: int, size: int) -> None:
        self.limiters, self.size = limiters, size if limiters > 1 else 0
        self.ranking = RendezvousRanking(number, limiters)
        self.holders = limiters  # for us; more than `ranking` has them where too few of ours are usable

    def add(self, name: str, mass: int) -> None:
        if self.size:
            self.ranking.add(name, mass)

    def holds(self, name: str) -> bool:
        return self.ranking.rank(name) < self.holders

    def sharing(self) -> int:
        """How many limiters may send to a box: twice its holders, as some may have had to take in more."""
        return min(self.limiters, 2 * self.ranking.holder_count)

    def resize(self, usable: list[int]) -> bool:
        """After changes; `usable`: boxes that could be sent to, by our rank. Whether others are held now."""
        ranking, count = self.ranking, len(self.ranking)
        before = self.holders, ranking.holder_count
        least, most = self._wanted(count * (1.0 + STEADY)), self._wanted(count * (1.0 - STEADY))
        if self.size and not least <= ranking.holder_count <= most:
            ranking.set_holder_count(self._wanted(count))
        self.holders = ranking.holder_count
        least_usable = LEAST_USABLE * count * ranking.holder_count / self.limiters
        while self.holders < self.limiters and sum(usable[: self.holders]) < least_usable:
            self.holders = min(2 * self.holders, self.limiters)
        return before != (self.holders, ranking.holder_count)

    def _wanted(self, boxes: float) -> int:
        if boxes <= self.size:
            return self.limiters
        return min(self.limiters, max(LEAST_HOLDERS, round(self.limiters * self.size / boxes)))

    def weight(self, name: str, mass: float) -> int:
        """What a box of ours is drawn by."""
        return max(
            1, int(mass * (self.ranking.balance_factor(name) if self.ranking.holder_count < self.limiters else 1.0))
        )
