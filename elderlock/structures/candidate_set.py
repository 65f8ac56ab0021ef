"""The boxes that may be drawn, all together and by what a further attempt may be bound to."""

from __future__ import annotations

from elderlock.state import Server
from elderlock.structures.weighted_sampler import WeightedSampler


class CandidateSet:
    """Invariant: a box stands in `all`, in its zone and in its cell, or in none of them."""

    def __init__(self) -> None:
        self.all = WeightedSampler()
        self.zones: dict[int, WeightedSampler] = {}
        self.cells: dict[int, dict[Server, None]] = {}
        self._where: dict[Server, tuple[int, int]] = {}  # as it was put, whatever its entry says by now

    def set_weight(self, server: Server, weight: int) -> None:
        """Weight 0 takes it out."""
        where = server.entry.zone, server.entry.cell
        before = self._where.get(server)
        if before is not None and (before != where or not weight):
            self._put(server, *before, 0)
            del self._where[server]
        if weight:
            self._where[server] = where
            self._put(server, *where, weight)

    def _put(self, server: Server, zone: int, cell: int, weight: int) -> None:
        self.all.set_weight(server, weight)
        drawing, members = self.zones.setdefault(zone, WeightedSampler()), self.cells.setdefault(cell, {})
        drawing.set_weight(server, weight)
        if weight:
            members[server] = None
            return
        del members[server]
        if not members:
            del self.cells[cell]
        if not len(drawing):
            del self.zones[zone]
