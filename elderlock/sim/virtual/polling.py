"""Simulated `select.poll`: asks the streams of the simulated network whether they hold input that was not read."""

from __future__ import annotations

import itertools
import select
import weakref
from typing import Protocol


class Pollable(Protocol):
    """A simulated socket that can be polled."""

    def has_unread_input(self) -> bool:
        """Returns whether bytes or the end of the stream wait to be read."""


_next_descriptor = itertools.count(1)
_sockets: weakref.WeakValueDictionary[int, Pollable] = weakref.WeakValueDictionary()


def assign_descriptor(socket: Pollable) -> int:
    """Returns a number by which `SimulatedPoller` finds the socket for as long as it exists."""
    descriptor = next(_next_descriptor)
    _sockets[descriptor] = socket
    return descriptor


class SimulatedPoller:
    """The part of `select.poll` that the code uses: `POLLIN`, without a wait."""

    def __init__(self) -> None:
        self._descriptors: list[int] = []

    def register(self, descriptor: int, _events: int) -> None:
        """Adds a socket."""
        self._descriptors.append(descriptor)

    def poll(self, _timeout_ms: float) -> list[tuple[int, int]]:
        """Returns the sockets that hold input."""
        sockets = [(descriptor, _sockets.get(descriptor)) for descriptor in self._descriptors]
        return [(descriptor, select.POLLIN) for descriptor, found in sockets if found and found.has_unread_input()]
