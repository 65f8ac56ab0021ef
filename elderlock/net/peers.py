"""Datagrams to and from the other limiters; who sent one is told by its source address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from elderlock.net.config import Address

MAX_DATAGRAM_BYTES = 256  # bytes; the limit between limiters


class PeerTransport(asyncio.DatagramProtocol):
    """Loss is normal here: whatever cannot be sent or is not wanted is dropped without a word."""

    def __init__(
        self,
        peers: tuple[Address, ...],
        everyone: Address | None,
        intake: float,
        told: Callable[[int, bytes], None],
        now: Callable[[], float],
    ) -> None:
        self._peers, self._everyone, self._told, self._now = peers, everyone, told, now
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._intake, self._room, self._room_at = intake, intake, now()
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)  # uvloop has no common base class

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        now = self._now()
        self._room = min(self._intake, self._room + self._intake * (now - self._room_at) / 1000.0)
        self._room_at = now
        sender = self._numbers.get((addr[0], addr[1]))
        # a stranger must not speak for a peer, nor a flood of datagrams take the CPU from requests
        if sender is None or len(data) > MAX_DATAGRAM_BYTES or self._room < 1.0:
            return
        self._room -= 1.0
        self._told(sender, data)

    def error_received(self, exc: Exception) -> None:
        """A peer that is down answers with ICMP errors; its silence is the module's to notice."""

    def send(self, receiver: int, data: bytes) -> None:
        address = self._everyone if receiver < 0 else self._peers[receiver]
        if self._transport is not None and address is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self._transport.sendto(data, address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
