"""The servers as the lists name them, with sums that are kept as the lists change."""

from __future__ import annotations

import random

from elderlock import interface as api
from elderlock.interface import ListKind, ServerState
from elderlock.state import Server

WEIGHT_UNIT_MILLI = 1000  # of a server of weight one


class ServerDirectory:
    """Invariant: `ready` holds just those that the latest list lets new work go to, `young` those of them that may
    still be cold, `mass` and `warm_mass` are the sums over the ready and over those that are not young."""

    def __init__(self, cold_time: float) -> None:
        self._cold_time = cold_time  # ms
        self.servers: dict[str, Server] = {}
        self.ready: dict[str, Server] = {}
        self.warming_up: dict[str, Server] = {}
        self.total_weight_milli = self.warm_weight_milli = 0
        self._gone: set[str] = set()

    def apply(self, event: api.ServerList, now: float, rng: random.Random) -> tuple[list[Server], list[Server]]:
        """Which servers leave and which join, also those whose entry changed. A cold one begins at a random place
        of its budget, so that limiters do not come at once."""
        left, joined = [], []
        if event.kind is not ListKind.CHANGES:  # what a whole list does not name is gone
            named = {entry.server_id for entry in event.entries}
            for server in [s for name, s in self.servers.items() if name not in named]:
                left += self._leave(server)
                server.is_removed = server.is_draining = True
                self._gone.add(server.entry.server_id)
        for entry in event.entries:
            known = self.servers.get(entry.server_id)
            if known is not None and known.entry == entry and not known.is_removed:
                continue
            server = known or Server(entry, now, rng.random())
            left += self._leave(server)
            if server.entry.started_at_ms != entry.started_at_ms:  # a new process: nothing known of it holds
                server.is_draining = True
                server = Server(entry, now, rng.random(), in_flight=server.in_flight)
            server.entry, server.is_draining = entry, entry.state is not ServerState.RUNNING
            server.weight_milli, server.is_removed = (
                max(1, int(entry.weight * WEIGHT_UNIT_MILLI)),
                entry.state is ServerState.REMOVED,
            )
            self.servers[entry.server_id] = server
            (self._gone.add if server.is_removed else self._gone.discard)(entry.server_id)
            if not server.is_draining:
                self._join(server, now)
                joined.append(server)
        return left, joined

    def _join(self, server: Server, now: float) -> None:
        name, started_at = server.entry.server_id, server.entry.started_at_ms
        self.ready[name] = server
        self.total_weight_milli += server.weight_milli
        if started_at > 0 and now - started_at < self._cold_time:
            self.warming_up[name] = server
        else:
            self.warm_weight_milli += server.weight_milli

    def _leave(self, server: Server) -> list[Server]:
        name = server.entry.server_id
        if self.ready.pop(name, None) is None:
            return []
        self.total_weight_milli -= server.weight_milli
        if self.warming_up.pop(name, None) is None:
            self.warm_weight_milli -= server.weight_milli
        return [server]

    def mark_warm(self, server: Server) -> None:
        del self.warming_up[server.entry.server_id]
        self.warm_weight_milli += server.weight_milli

    def forget_removed(self) -> None:
        """Forgets who is gone and has nothing out."""
        for name in [name for name in self._gone if not self.servers[name].in_flight]:
            del self.servers[name]
            self._gone.discard(name)
