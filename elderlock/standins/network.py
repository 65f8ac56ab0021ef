"""The datagrams between limiters: relays that delay, lose and cut, each limiter seeing its own addresses."""

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
    """Limiter `a` knows limiter `b` by the address `peers(a)[b]`. What it sends there leaves for `b` from
    the address by which `b` knows `a`. `loss` is a share; `delay` is in seconds one way."""

    def __init__(self, limiters: int, seed: int, delay: float = 0.002, loss: float = 0.0) -> None:
        self.limiters, self.delay, self.loss = limiters, delay, loss
        self.cut: set[frozenset[int]] = set()
        self.carried = self.dropped = 0
        self.seen: Callable[[int, int, bytes], None] = lambda owner, receiver, data: None
        self._rng = random.Random(seed)
        self._relays: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.listens: list[str] = []

    async def open(self) -> None:
        loop, hosts = asyncio.get_running_loop(), random.SystemRandom()
        for owner in range(self.limiters):
            # an address of its own, where no other socket is given the same port while it restarts
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

    def _at(self, owner: int, peer: int) -> str:
        host, port = self._relays[owner, peer].get_extra_info("sockname")
        return f"{host}:{port}"

    def peers(self, owner: int) -> list[str]:
        numbers = range(self.limiters)
        return [self.listens[owner] if n == owner else self._at(owner, n) for n in numbers]

    def everyone(self, owner: int) -> str:
        return self._at(owner, -1)

    def waits(self, owner: int, receiver: int) -> list[float]:
        """When (s) copies of a datagram on that way arrive: none where it is lost."""
        lost = self._rng.random() < self.loss or frozenset((owner, receiver)) in self.cut
        return [] if lost else [self.delay]

    def carry(self, owner: int, peer: int, data: bytes) -> None:
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
            self.seen(owner, receiver, data)
            host, _, port = self.listens[receiver].rpartition(":")
            relay.sendto(data, (host, int(port)))

    def isolate(self, limiter: int) -> None:
        """Cuts it off from all others; `cut.clear()` mends."""
        self.cut |= {frozenset((limiter, other)) for other in range(self.limiters) if other != limiter}

    def close(self) -> None:
        for relay in self._relays.values():
            relay.close()
