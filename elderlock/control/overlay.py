"""What operators drained, laid over discovery's list. Free of I/O.

Discovery may remove, re-add or un-drain a box, fall silent, or start from nothing: the overlay is applied
to whatever it tells, so none of that ends an operator's drain. It is held by uid: a new box at the address
of a drained one is another box.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from elderlock.interface import ServerState
from elderlock.net.endpoint_list import EndpointList, ListedServer


class Overlay:
    """Invariant: no target whose uid is held here ever leaves with the state RUNNING."""

    def __init__(self, drained: Iterable[str] = ()) -> None:
        self._drained = frozenset(drained)
        self._told: dict[str, ListedServer] = {}  # as discovery told last
        self.version = 0

    @property
    def told(self) -> dict[str, ListedServer]:
        return self._told

    def _over(self, target: ListedServer) -> ListedServer:
        entry = target.entry
        if entry.server_id not in self._drained or entry.state is not ServerState.RUNNING:
            return target
        return replace(target, entry=replace(entry, state=ServerState.DRAINING))

    def listed(self, listed: EndpointList) -> EndpointList:
        """The list as the limiter shall take it."""
        if listed.is_complete:
            self._told = {}
        self.version = listed.version
        for target in listed.servers:
            if target.entry.state is ServerState.REMOVED:
                self._told.pop(target.entry.server_id, None)
            else:
                self._told[target.entry.server_id] = target
        return replace(listed, servers=tuple(self._over(target) for target in listed.servers))

    def drain(self, drained: Iterable[str]) -> EndpointList:
        """Holds exactly these from now on; returns what that changes of the list as it was told."""
        before, self._drained = self._drained, frozenset(drained)
        changed = before ^ self._drained
        targets = tuple(self._over(t) for uid, t in self._told.items() if uid in changed)
        return EndpointList(self.version, False, targets)
