"""The servers that may be selected, as a whole and by zone and cell."""

from __future__ import annotations

from elderlock.state import Server
from elderlock.structures.weighted_sampler import WeightedSampler


class CandidateSet:
    """Weighted servers, indexed by zone and by cell, as a retry may be restricted to a zone or a cell.

    Invariant: a server is in `all`, in its zone and in its cell, or in none of them.

    Attributes:
        all: All candidates.
        by_zone: The candidates of each zone that has any.
        by_cell: The candidates of each cell that has any; the dictionary of a cell serves as an ordered set.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self.all = WeightedSampler()
        self.by_zone: dict[int, WeightedSampler] = {}
        self.by_cell: dict[int, dict[Server, None]] = {}
        # The zone and cell under which each server is indexed. They may differ from those of a newer entry.
        self._location: dict[Server, tuple[int, int]] = {}

    def set_weight(self, server: Server, weight: int) -> None:
        """Add a server or change its weight, zone or cell; a weight of 0 removes the server."""
        location = server.entry.zone, server.entry.cell
        previous = self._location.get(server)
        if previous is not None and (previous != location or not weight):
            self._set_weight_at(server, *previous, 0)
            del self._location[server]
        if weight:
            self._location[server] = location
            self._set_weight_at(server, *location, weight)

    def _set_weight_at(self, server: Server, zone: int, cell: int, weight: int) -> None:
        self.all.set_weight(server, weight)
        zone_sampler = self.by_zone.setdefault(zone, WeightedSampler())
        cell_members = self.by_cell.setdefault(cell, {})
        zone_sampler.set_weight(server, weight)
        if weight:
            cell_members[server] = None
            return
        del cell_members[server]
        if not cell_members:
            del self.by_cell[cell]
        if not len(zone_sampler):
            del self.by_zone[zone]
