"""Simulated `select.poll`: asks simulated streams whether they hold input that was not read, or have ended."""

from __future__ import annotations

import itertools
import select
import weakref
from typing import Protocol


class Pollable(Protocol):
    """A simulated socket that can be polled."""

    def has_unread_input(self) -> bool:
        """Returns whether bytes or the end of the stream wait to be read."""

    def has_ended(self) -> bool:
        """Returns whether the end of the stream has arrived, read or not."""


_next_descriptor = itertools.count(1)
_sockets: weakref.WeakValueDictionary[int, Pollable] = weakref.WeakValueDictionary()


def assign_descriptor(socket: Pollable) -> int:
    """Returns a number by which `SimulatedPoller` finds the socket for as long as it exists."""
    descriptor = next(_next_descriptor)
    _sockets[descriptor] = socket
    return descriptor


class SimulatedPoller:
    """The part of `select.poll` that the code uses: `POLLIN` and `POLLRDHUP`, without a wait."""

    def __init__(self) -> None:
        self._registered: list[tuple[int, int]] = []

    def register(self, descriptor: int, events: int) -> None:
        """Adds a socket."""
        self._registered.append((descriptor, events))

    def poll(self, _timeout_ms: float) -> list[tuple[int, int]]:
        """Returns the sockets that have one of the events for which they were registered."""
        found: list[tuple[int, int]] = []
        for descriptor, events in self._registered:
            pollable = _sockets.get(descriptor)
            if pollable is None:
                continue
            occurred = select.POLLIN if pollable.has_unread_input() else 0
            occurred |= select.POLLRDHUP if pollable.has_ended() else 0
            if occurred & events:
                found.append((descriptor, occurred & events))
        return found
