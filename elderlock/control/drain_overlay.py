"""Applies operators' drains to discovery's endpoint lists. No I/O.

Discovery may remove, re-add or undrain a server, be unreachable, or restart with an empty list. The overlay is applied
to every list from discovery, so none of this ends an operator's drain. Drains are stored by uid, so a new server at the
address of a drained one is not drained.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from elderlock.interface import ServerState
from elderlock.net.endpoint_list import EndpointList, ListedServer


class DrainOverlay:
    """The drained servers of a limiter and the last endpoint list from discovery.

    Invariant: no server whose uid is drained is returned with the state RUNNING.

    Attributes:
        version: The version of the last endpoint list.
    """

    def __init__(self, drained: Iterable[str] = ()) -> None:
        self._drained = frozenset(drained)
        self._discovered: dict[str, ListedServer] = {}
        self.version = 0

    @property
    def discovered(self) -> dict[str, ListedServer]:
        """The servers as discovery last reported them, by uid."""
        return self._discovered

    def apply_to(self, listed: EndpointList) -> EndpointList:
        """Record a complete list or changes from discovery; return them with the drains applied."""
        if listed.is_complete:
            self._discovered = {}
        self.version = listed.version
        for target in listed.servers:
            uid = target.entry.server_id
            if target.entry.state is ServerState.REMOVED:
                self._discovered.pop(uid, None)
            else:
                self._discovered[uid] = target
        return replace(listed, servers=tuple(self._with_drain(target) for target in listed.servers))

    def set_drained(self, drained: Iterable[str]) -> EndpointList:
        """Drain exactly these servers; return list changes with the servers whose state this changes."""
        previous = self._drained
        self._drained = frozenset(drained)
        changed = previous ^ self._drained
        targets = tuple(self._with_drain(target) for uid, target in self._discovered.items() if uid in changed)
        return EndpointList(self.version, False, targets)

    def _with_drain(self, target: ListedServer) -> ListedServer:
        entry = target.entry
        if entry.server_id not in self._drained or entry.state is not ServerState.RUNNING:
            return target
        return replace(target, entry=replace(entry, state=ServerState.DRAINING))
