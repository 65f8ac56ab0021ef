"""Relays between limiters that delay or lose datagrams, with a separate relay address for each pair of limiters."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, network: Network, owner: int, peer: int) -> None:
        self._network, self._owner, self._peer = network, owner, peer

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._network.carry(self._owner, self._peer, data)


class Network:
    """The relays of a group.

    Limiter `a` reaches limiter `b` at the address `peers(a)[b]`. The relay forwards a datagram to `b` from the address
    at which `b` reaches `a`, so that `b` recognises the sender.

    Attributes:
        limiters: The number of limiters.
        delay: The one-way delay in seconds.
        loss: The share of datagrams that are lost.
        cut: The pairs of limiters between which nothing passes.
        carried: The number of datagrams delivered.
        dropped: The number of datagrams lost.
        on_delivered: Is called with the sender, the receiver and the data of each datagram delivered.
        listens: The address at which each limiter listens.
    """

    def __init__(self, limiters: int, seed: int, delay: float = 0.002, loss: float = 0.0) -> None:
        self.limiters, self.delay, self.loss = limiters, delay, loss
        self.cut: set[frozenset[int]] = set()
        self.carried = self.dropped = 0
        self.on_delivered: Callable[[int, int, bytes], None] = lambda owner, receiver, data: None
        self._rng = random.Random(seed)
        self._relays: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.listens: list[str] = []

    async def open(self) -> None:
        """Chooses the address of each limiter and opens the relays."""
        loop, hosts = asyncio.get_running_loop(), random.SystemRandom()
        for owner in range(self.limiters):
            # a separate host address, so that no other socket gets the same port while the limiter restarts
            host = f"127.{hosts.randrange(1, 255)}.{hosts.randrange(1, 255)}.{hosts.randrange(1, 255)}"
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((host, 0))
                self.listens.append("%s:%d" % probe.getsockname())
            for peer in (*range(self.limiters), -1):
                if peer != owner:
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda owner=owner, peer=peer: _Relay(self, owner, peer),  # type: ignore[misc]
                        local_addr=("127.0.0.1", 0),
                    )
                    self._relays[owner, peer] = transport

    def _relay_address(self, owner: int, peer: int) -> str:
        host, port = self._relays[owner, peer].get_extra_info("sockname")
        return f"{host}:{port}"

    def peers(self, owner: int) -> list[str]:
        """Returns the addresses of all limiters as limiter `owner` uses them; its own entry is where it listens."""
        numbers = range(self.limiters)
        return [self.listens[owner] if peer == owner else self._relay_address(owner, peer) for peer in numbers]

    def everyone(self, owner: int) -> str:
        """Returns the address at which limiter `owner` reaches all others at once."""
        return self._relay_address(owner, -1)

    def waits(self, owner: int, receiver: int) -> list[float]:
        """Returns the delay in seconds of each copy of a datagram; empty if it is lost."""
        is_lost = self._rng.random() < self.loss or frozenset((owner, receiver)) in self.cut
        return [] if is_lost else [self.delay]

    def carry(self, owner: int, peer: int, data: bytes) -> None:
        """Relays a datagram of limiter `owner` to limiter `peer`, or to all others if `peer` is negative."""
        for receiver in range(self.limiters) if peer < 0 else (peer,):
            if receiver == owner:
                continue
            waits = self.waits(owner, receiver)
            self.dropped += not waits
            for wait in waits:
                asyncio.get_running_loop().call_later(wait, self._arrive, owner, receiver, data)

    def _arrive(self, owner: int, receiver: int, data: bytes) -> None:
        relay = self._relays[receiver, owner]
        if not relay.is_closing():
            self.carried += 1
            self.on_delivered(owner, receiver, data)
            host, _, port = self.listens[receiver].rpartition(":")
            relay.sendto(data, (host, int(port)))

    def isolate(self, limiter: int) -> None:
        """Cuts a limiter off from all others; `cut.clear()` ends it."""
        self.cut |= {frozenset((limiter, other)) for other in range(self.limiters) if other != limiter}

    def close(self) -> None:
        """Closes all relays."""
        for relay in self._relays.values():
            relay.close()
