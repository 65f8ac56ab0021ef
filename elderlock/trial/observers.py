"""Observers of relayed connections, which pass what they see to the recorder.

They see the clients' requests and answers, the requests that limiters send to servers, and the server lists that
discovery sends to limiters. The parsers are the simulation's; a relay additionally sees when bytes pass.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from elderlock.sim.taps import ClientTap, ObservedWorld, SendTap

MAX_LIST_BYTES = 64 << 20
LIST_START = b'{"rev"'


class _NullObserver:
    """Ignores everything; see `relay.ConnectionObserver`."""

    def opener_sent(self, data: bytes) -> None:
        pass

    def target_received(self, data: bytes) -> None:
        pass

    def target_sent(self, data: bytes) -> None:
        pass

    def opener_received(self, data: bytes) -> None:
        pass

    def closed(self, by_opener: bool, broken: bool) -> None:
        pass


class ClientObserver(_NullObserver):
    """Observes a client's connection to a limiter.

    A request counts as received once its last byte has left the relay for the limiter, and as answered once the last
    byte of the answer has reached the relay.
    """

    def __init__(self, scene: ObservedWorld, limiter: int, call_later: Callable[[Callable[[], None]], None]) -> None:
        """Begin to observe a connection.

        Args:
            scene: The harness.
            limiter: The limiter's number.
            call_later: Calls a function after a short delay.
        """
        self._tap, self._call_later = ClientTap(scene, limiter), call_later

    def target_received(self, data: bytes) -> None:
        """Parse requests."""
        self._tap.wrote(data)

    def target_sent(self, data: bytes) -> None:
        """Parse answers."""
        self._tap.read(data)

    def closed(self, by_opener: bool, broken: bool) -> None:
        """Report the end of the connection."""
        if by_opener or broken:
            self._tap.closed(True)
        else:  # the connections of a killed process close a moment before its end is noticed
            self._call_later(lambda: self._tap.closed(False))


class SendObserver(_NullObserver):
    """Observes a limiter's connection to a server; a request counts as sent when the limiter has written it."""

    def __init__(self, scene: ObservedWorld, limiter: str, server: str) -> None:
        """Begin to observe a connection.

        Args:
            scene: The harness.
            limiter: The limiter's name.
            server: The server's id.
        """
        self._tap = SendTap(scene, limiter, server)

    def opener_sent(self, data: bytes) -> None:
        """Parse requests."""
        self._tap.wrote(data)


class ListObserver(_NullObserver):
    """Observes discovery's server lists; each is one JSON object in a chunk or a body of an HTTP response."""

    def __init__(self, on_list: Callable[[dict[str, Any]], None]) -> None:
        """Begin to observe a connection.

        Args:
            on_list: Is called with each complete list when it leaves the relay for the limiter.
        """
        self._on_list = on_list
        self._buffer = b""
        self._decoder = json.JSONDecoder()

    def opener_received(self, data: bytes) -> None:
        """Parse lists."""
        self._buffer += data
        while (start := self._buffer.find(LIST_START)) >= 0:
            try:
                text = self._buffer[start:].decode()
                server_list, length = self._decoder.raw_decode(text)
            except ValueError:  # the list is not complete yet
                self._buffer = self._buffer[start:][:MAX_LIST_BYTES]
                return
            self._buffer = self._buffer[start + len(text[:length].encode()) :]
            self._on_list(server_list)
        self._buffer = self._buffer[-len(LIST_START) :]
