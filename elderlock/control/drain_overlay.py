"""What operators drained, laid over discovery's list. Free of I/O.

Discovery may remove, re-add or un-drain a box, fall silent, or start from nothing: the overlay is applied
to whatever it tells, so none of that ends an operator's drain. It is held by uid: a new box at the address
of a drained one is another box.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from elderlock.interface import ServerState
from elderlock.net.targets import Target, TargetList


class DrainOverlay:
    """Invariant: no target whose uid is held here ever leaves with the state RUNNING."""

    def __init__(self, drained: Iterable[str] = ()) -> None:
        self._drained = frozenset(drained)
        self._told: dict[str, Target] = {}  # as discovery told last
        self.version = 0

    @property
    def discovered(self) -> dict[str, Target]:
        return self._told

    def _with_drain(self, target: Target) -> Target:
        entry = target.entry
        if entry.server_id not in self._drained or entry.state is not ServerState.RUNNING:
            return target
        return replace(target, entry=replace(entry, state=ServerState.DRAINING))

    def apply_to(self, listed: TargetList) -> TargetList:
        """The list as the limiter shall take it."""
        if listed.complete:
            self._told = {}
        self.version = listed.version
        for target in listed.targets:
            if target.entry.state is ServerState.REMOVED:
                self._told.pop(target.entry.server_id, None)
            else:
                self._told[target.entry.server_id] = target
        return replace(listed, targets=tuple(self._with_drain(target) for target in listed.targets))

    def set_drained(self, drained: Iterable[str]) -> TargetList:
        """Holds exactly these from now on; returns what that changes of the list as it was told."""
        before, self._drained = self._drained, frozenset(drained)
        changed = before ^ self._drained
        targets = tuple(self._with_drain(t) for uid, t in self._told.items() if uid in changed)
        return TargetList(self.version, False, targets)
