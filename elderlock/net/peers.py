"""Datagrams to and from the other limiters, which are known by their source addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from elderlock.net.config import Address

# The protocol's limit between limiters.
MAX_DATAGRAM_BYTES = 256
MS_PER_S = 1000.0


class PeerTransport(asyncio.DatagramProtocol):
    """Sends and receives datagrams. Loss is normal: what cannot be sent, or is not wanted, is dropped silently."""

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
            peers: All limiters' addresses by their index.
            broadcast_address: Reaches all other limiters; None without one.
            max_messages_per_s: Messages received a second, and at once, above which further ones are dropped (a token
                bucket).
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
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)  # uvloop's transports do not derive from asyncio's

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass on a peer's datagram.

        A stranger must not speak for a peer, nor a flood of datagrams take the CPU from requests.
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
        """Ignore the ICMP errors of a peer that is down: the limiter notices its silence."""

    def send(self, receiver: int, data: bytes) -> None:
        """Send a datagram to the peer of an index, or to all for a negative one."""
        address = self._broadcast_address if receiver < 0 else self._peers[receiver]
        if self._transport is not None and address is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
