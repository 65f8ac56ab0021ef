"""Tells whether the kernel holds input of a connection that the event loop has not read yet.

A clock cannot tell this: it also runs while the process is held up, and input arrives meanwhile.
"""

from __future__ import annotations

import asyncio
import select


class UnreadInput:
    """Checks one connection's socket, with one system call and without reading."""

    __slots__ = ("_poller",)

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        """Initialise for a transport that is open whenever `is_waiting` is called."""
        self._poller = select.poll()
        self._poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_waiting(self) -> bool:
        """Whether bytes or the end of the connection wait to be read."""
        return bool(self._poller.poll(0))
