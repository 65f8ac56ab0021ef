"""Detects the end of a connection while it is not being read."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

POLL_INTERVAL_S = 0.03


class EndPoller:
    """Polls the socket of a connection whose reading is paused.

    The event loop reports the end of a connection only after all bytes before it have been read. The kernel knows the
    end once it has arrived, whatever is still unread.
    """

    __slots__ = ("_loop", "_on_end", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop, on_end: Callable[[], None]) -> None:
        """Initialise without polling.

        Args:
            loop: The event loop.
            on_end: Called once if the other side has closed or reset the connection.
        """
        self._loop = loop
        self._on_end = on_end
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.BaseTransport) -> None:
        """Poll until the end is found or `stop` is called."""
        self._timer = self._loop.call_later(POLL_INTERVAL_S, self._poll, transport)

    def stop(self) -> None:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _poll(self, transport: asyncio.BaseTransport) -> None:
        self._timer = None
        if transport.is_closing():
            return
        if _has_ended(transport):
            self._on_end()
        else:
            self.start(transport)


def _has_ended(transport: asyncio.BaseTransport) -> bool:
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))
