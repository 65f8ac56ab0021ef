"""Datagrams to and from the other limiters, which are identified by their source addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from elderlock.net.config import Address

# Maximum size of a datagram in the protocol between limiters.
MAX_DATAGRAM_BYTES = 256
MS_PER_S = 1000.0


class PeerTransport(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    Loss is normal: datagrams that cannot be sent or are not accepted are dropped without a log line.
    """

    def __init__(
        self,
        peers: tuple[Address, ...],
        broadcast_address: Address | None,
        max_messages_per_s: float,
        on_message: Callable[[int, bytes], None],
        now_ms: Callable[[], float],
    ) -> None:
        """Initialise the transport, a protocol for `create_datagram_endpoint`.

        Args:
            peers: All limiters' addresses by index.
            broadcast_address: The address that reaches all other limiters; None if there is none.
            max_messages_per_s: Rate and burst of the token bucket that limits received messages; further messages are
                dropped.
            on_message: Called with the sender's index and the datagram.
            now_ms: Returns the current time.
        """
        self._peers = peers
        self._broadcast_address = broadcast_address
        self._on_message = on_message
        self._now_ms = now_ms
        self._indices = {address: index for index, address in enumerate(peers)}
        self._max_messages_per_s = max_messages_per_s
        self._tokens = max_messages_per_s
        self._tokens_at_ms = now_ms()
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)  # uvloop's transports do not derive from asyncio's

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a peer's datagram to `on_message`.

        Datagrams from unknown addresses are dropped, so that no other host can impersonate a peer. The rate limit keeps
        a flood of datagrams from taking CPU time from requests.
        """
        now_ms = self._now_ms()
        refill = self._max_messages_per_s * (now_ms - self._tokens_at_ms) / MS_PER_S
        self._tokens = min(self._max_messages_per_s, self._tokens + refill)
        self._tokens_at_ms = now_ms
        sender = self._indices.get((addr[0], addr[1]))
        if sender is None or len(data) > MAX_DATAGRAM_BYTES or self._tokens < 1.0:
            return
        self._tokens -= 1.0
        self._on_message(sender, data)

    def error_received(self, _exc: Exception) -> None:
        """Ignore ICMP errors from a peer that is down: the limiter detects that it does not answer."""

    def send(self, receiver: int, data: bytes) -> None:
        """Send a datagram to the peer with the index `receiver`, or to all peers if it is negative."""
        address = self._broadcast_address if receiver < 0 else self._peers[receiver]
        if self._transport is not None and address is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
