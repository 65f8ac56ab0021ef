"""Listeners of the simulated network."""

from __future__ import annotations

import contextvars
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from elderlock.sim.virtual.loop import SimLoop
from elderlock.sim.virtual.processes import CURRENT_PROCESS
from elderlock.sim.virtual.streams import Socket

if TYPE_CHECKING:
    from elderlock.sim.virtual.network import Network


class Listener:
    """The part of `asyncio.Server` that the code uses.

    Attributes:
        network: The network.
        at: The address or path.
        factory: Makes the protocol of an accepted connection.
        backlog: How many connections may wait to be accepted.
        process: The process that listens.
        context: The context of that process.
        pending: How many connections wait to be accepted.
        sockets: The listening socket.
        open: Whether it still listens.
    """

    def __init__(self, network: Network, at: Any, factory: Callable[[], Any], backlog: int) -> None:
        self.network, self.at, self.factory, self.backlog = network, at, factory, backlog
        self.process = CURRENT_PROCESS.get()
        self.context = contextvars.copy_context()
        self.pending = 0
        self.sockets: tuple[Socket, ...] = (Socket(self, at),)
        self.open = True

    def is_serving(self) -> bool:
        """Returns whether it still listens."""
        return self.open

    def close(self) -> None:
        """Stops listening."""
        self.open = False
        if self.network.listening.get(self.at) is self:
            del self.network.listening[self.at]
        if self.process is not None:
            self.process.resources.pop(self, None)

    killed = close

    async def wait_closed(self) -> None:
        """Returns at once, as accepted connections do not belong to the listener."""
        return None

    async def start_serving(self) -> None:
        """Does nothing: a listener accepts from its creation."""
        return None

    def get_loop(self) -> SimLoop:
        """Returns the event loop."""
        return self.network.loop

    async def __aenter__(self) -> Listener:
        return self

    async def __aexit__(self, *error: object) -> None:
        self.close()
