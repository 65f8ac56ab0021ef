"""The servers of the server lists, with sums of weights that are updated with each list."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from elderlock import interface as api
from elderlock.interface import ListKind, ServerState
from elderlock.state import Server

WEIGHT_UNIT_MILLI = 1000  # the weight of a server of weight 1, in thousandths


@dataclass(slots=True)
class DirectoryChanges:
    """The changes that a server list caused. A server whose entry changed may be in both lists.

    Attributes:
        left: The servers that were ready before and are no longer ready, or whose entry changed.
        joined: The servers that are ready now and were not before, or whose entry changed.
    """

    left: list[Server] = field(default_factory=list)
    joined: list[Server] = field(default_factory=list)


class ServerDirectory:
    """All servers of the server lists, until they are removed from the list and have no attempt in flight.

    Invariant: `ready` holds exactly the servers that may get new work by the latest list. `warming_up` holds those of
    them that may still be warming up. The weights are the sums over the ready servers, and over those of them that are
    not in `warming_up`.

    Attributes:
        servers: All known servers by id.
        ready: The running servers by id.
        warming_up: The running servers that may still be warming up, by id.
        total_weight_milli: The weight of all ready servers, in thousandths.
        warm_weight_milli: The weight of the ready servers that are not in `warming_up`, in thousandths.
    """

    def __init__(self, warm_up_ms: float) -> None:
        """Create an empty directory of servers that warm up for `warm_up_ms` after their start."""
        self._warm_up_ms = warm_up_ms
        self.servers: dict[str, Server] = {}
        self.ready: dict[str, Server] = {}
        self.warming_up: dict[str, Server] = {}
        self.total_weight_milli = 0
        self.warm_weight_milli = 0
        self._removed_ids: set[str] = set()

    def apply(self, event: api.ServerList, now_ms: float, rng: random.Random) -> DirectoryChanges:
        """Apply a server list and return the changes.

        Args:
            event: The list, either complete or with changes only.
            now_ms: The current time.
            rng: The source of the random initial warm-up budget of each new server; it is random so that the limiters
                do not spend their budgets at the same time.
        """
        changes = DirectoryChanges()
        if event.kind is not ListKind.CHANGES:
            self._remove_missing(event, changes)
        for entry in event.entries:
            self._apply_entry(entry, now_ms, rng, changes)
        return changes

    def _remove_missing(self, event: api.ServerList, changes: DirectoryChanges) -> None:
        """Remove the servers that are missing from a complete list."""
        listed_ids = {entry.server_id for entry in event.entries}
        missing = [server for server_id, server in self.servers.items() if server_id not in listed_ids]
        for server in missing:
            self._leave(server, changes)
            server.is_removed = True
            server.is_draining = True
            self._removed_ids.add(server.entry.server_id)

    def _apply_entry(
        self, entry: api.ServerEntry, now_ms: float, rng: random.Random, changes: DirectoryChanges
    ) -> None:
        known = self.servers.get(entry.server_id)
        if known is not None and known.entry == entry and not known.is_removed:
            return
        server = known or Server(entry, now_ms, rng.random())
        self._leave(server, changes)
        if server.entry.started_at_ms != entry.started_at_ms:  # a new process, without observations so far
            server.is_draining = True
            server = Server(entry, now_ms, rng.random(), in_flight=server.in_flight)
        server.entry = entry
        server.is_draining = entry.state is not ServerState.RUNNING
        server.is_removed = entry.state is ServerState.REMOVED
        server.weight_milli = max(1, int(entry.weight * WEIGHT_UNIT_MILLI))
        self.servers[entry.server_id] = server
        if server.is_removed:
            self._removed_ids.add(entry.server_id)
        else:
            self._removed_ids.discard(entry.server_id)
        if not server.is_draining:
            self._join(server, now_ms, changes)

    def _join(self, server: Server, now_ms: float, changes: DirectoryChanges) -> None:
        server_id = server.entry.server_id
        started_at_ms = server.entry.started_at_ms
        self.ready[server_id] = server
        self.total_weight_milli += server.weight_milli
        if started_at_ms > 0 and now_ms - started_at_ms < self._warm_up_ms:
            self.warming_up[server_id] = server
        else:
            self.warm_weight_milli += server.weight_milli
        changes.joined.append(server)

    def _leave(self, server: Server, changes: DirectoryChanges) -> None:
        """Remove a server from the ready servers, if it is one of them."""
        server_id = server.entry.server_id
        if self.ready.pop(server_id, None) is None:
            return
        self.total_weight_milli -= server.weight_milli
        if self.warming_up.pop(server_id, None) is None:
            self.warm_weight_milli -= server.weight_milli
        changes.left.append(server)

    def mark_warm(self, server: Server) -> None:
        """Record that a server has warmed up."""
        del self.warming_up[server.entry.server_id]
        self.warm_weight_milli += server.weight_milli

    def forget_removed(self) -> None:
        """Delete the removed servers that have no attempt in flight."""
        idle_ids = [server_id for server_id in self._removed_ids if not self.servers[server_id].in_flight]
        for server_id in idle_ids:
            del self.servers[server_id]
            self._removed_ids.discard(server_id)
