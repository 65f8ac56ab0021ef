"""Datagrams in memory, which the link may lose, duplicate and reorder."""

from __future__ import annotations

import asyncio
import contextvars
from typing import TYPE_CHECKING, Any

from elderlock.sim.virtual.processes import CURRENT_PROCESS

if TYPE_CHECKING:
    from elderlock.sim.virtual.network import Network

Address = tuple[str, int]


class Datagrams(asyncio.DatagramTransport):
    """A datagram endpoint.

    Attributes:
        network: The network.
        at: Its address.
        process: The process that it belongs to.
        context: The context of that process.
        machine: The machine of the process.
    """

    def __init__(self, network: Network, protocol: Any, at: Address, remote: Address | None) -> None:
        super().__init__({"sockname": at, "peername": remote})
        self.network, self._protocol, self.at, self._remote = network, protocol, at, remote
        self.process = CURRENT_PROCESS.get()
        self.context = contextvars.copy_context()
        self.machine = network.machine()
        self._closing = False
        if self.process is not None:
            self.process.resources[self] = None

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Sends a datagram to the address or to all members of a multicast group, except to itself."""
        network: Network = self.network
        to: Any = addr or self._remote
        if self._closing:
            return
        members = network.multicast_groups.get((to[0], to[1]))
        for each in [to] if members is None else members:
            if each != self.at:
                self._send(bytes(data), each)

    def _send(self, data: bytes, to: Address) -> None:
        network = self.network
        there = network.bound.get((to[0], to[1]))
        network.notify_transfer("datagram", self, data)
        fault = network.faults.at("datagram", self.process)
        if there is None or fault == "lost" or network.ways.is_cut(self.machine, there.machine):
            return
        if network.ways.is_datagram_lost(self.machine, there.machine):
            return
        copies = 2 if fault == "doubled" or network.ways.is_duplicated() else 1
        for _ in range(copies):  # each copy draws its own delay, which can reorder datagrams
            delay = network.ways.delay(self.machine, there.machine) / 1000.0 + (0.5 if fault == "late" else 0.0)
            network.loop.call_later(delay, there.arrive, data, self.at, context=network.wire)

    def arrive(self, data: bytes, sender: Address) -> None:
        """Receives a datagram in the kernel."""
        if not self._closing:
            self.network.loop.call_soon(self._receive, data, sender, context=self.context)

    def _receive(self, data: bytes, sender: Address) -> None:
        if not self._closing:
            self._protocol.datagram_received(data, sender)

    def is_closing(self) -> bool:
        """Returns whether it is closed or closing."""
        return self._closing

    def close(self) -> None:
        """Closes the endpoint."""
        if not self._closing:
            self._closing = True
            self.network.bound.pop(self.at, None)
            if self.process is not None:
                self.process.resources.pop(self, None)
            self.network.loop.call_soon(self._protocol.connection_lost, None, context=self.context)

    abort = close

    def killed(self) -> None:
        """Closes the endpoint after its process ended; the protocol is not called."""
        self._closing = True
        self.network.bound.pop(self.at, None)
