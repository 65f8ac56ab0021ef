"""A network in memory: connects the streams and delivers the datagrams of simulated machines.

Delays, loss and cuts come from `elderlock.sim.models.link_conditions`.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import random
from collections.abc import Callable
from typing import Any

from elderlock.sim.models.link_conditions import LinkConditions
from elderlock.sim.virtual.datagrams import Address, Datagrams
from elderlock.sim.virtual.io_faults import Faults, NoFaults
from elderlock.sim.virtual.listener import Listener
from elderlock.sim.virtual.loop import SimLoop
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine
from elderlock.sim.virtual.streams import Stream

SYN_RETRY_DELAYS_S = (1.0, 3.0, 7.0)  # waits before the retransmissions of a lost SYN
ACCEPT_RETRY_S = 1.0  # wait after an accept found no free descriptor; the value of asyncio


class Network:
    """The network of a run.

    Attributes:
        loop: The event loop.
        ways: The conditions of the links.
        rng: The source of randomness.
        faults: The injected faults of input and output.
        listening: The listeners, by address or path.
        bound: The datagram endpoints, by address.
        stuck: The streams that wait for the end of a cut.
        machines: The machine of each host address; unknown addresses belong to `world`.
        world: The machine of everything outside of the group, such as clients.
        wire: The context in which the network itself runs, outside of any process.
        multicast_groups: The member addresses of each group address.
        on_transfer: Called for each segment and datagram with its kind, the sending transport and the data.
        on_connect: Called for each new connection with both ends and the address; it may set their taps.
    """

    def __init__(self, loop: SimLoop, ways: LinkConditions, rng: random.Random, faults: Faults | None = None) -> None:
        self.loop, self.ways, self.rng = loop, ways, rng
        self.faults: Faults = faults or NoFaults()
        loop.network = self
        self.listening: dict[Any, Listener] = {}
        self.bound: dict[Address, Datagrams] = {}
        self.stuck: dict[Stream, None] = {}
        self.machines: dict[str, Machine] = {}
        self.world = Machine("world")
        self._port = 20_000
        self.wire = contextvars.copy_context()
        self.wire.run(CURRENT_PROCESS.set, None)
        self.multicast_groups: dict[Address, list[Address]] = {}
        self.on_transfer: Callable[[str, Any, bytes], None] | None = None
        self.on_connect: Callable[[Stream, Stream, Any], None] | None = None
        ways.on_cuts_removed = self.resume_stuck_streams

    def machine(self) -> Machine:
        """Returns the machine of the current process."""
        process = CURRENT_PROCESS.get()
        return process.machine if process is not None else self.world

    def port(self) -> int:
        """Allocates a port number."""
        self._port += 1
        return self._port

    def notify_transfer(self, what: str, by: Any, data: bytes) -> None:
        """Reports a segment or datagram to `on_transfer`."""
        if self.on_transfer is not None:
            self.on_transfer(what, by, data)

    def resume_stuck_streams(self) -> None:
        """Continues the streams whose link is no longer cut."""
        for stream in list(self.stuck):
            if not self.ways.is_cut(stream.machine, stream.peer.machine):
                del self.stuck[stream]
                stream.resume_after_cut()

    def _check_descriptor_limit(self) -> None:
        process = CURRENT_PROCESS.get()
        if process is not None and len(process.resources) >= process.machine.descriptors:
            raise OSError(errno.EMFILE, "Too many open files")

    def listen(self, factory: Callable[[], Any], host: str, port: int, backlog: int = 100) -> Listener:
        """Starts a TCP server; port 0 allocates a port."""
        at = (host, port or self.port())
        return self._listen(factory, at, backlog)

    def listen_unix(self, factory: Callable[[], Any], path: str, backlog: int = 100) -> Listener:
        """Starts a server on a Unix socket."""
        return self._listen(factory, path, backlog)

    def _listen(self, factory: Callable[[], Any], at: Any, backlog: int) -> Listener:
        self._check_descriptor_limit()
        if at in self.listening:
            raise OSError(errno.EADDRINUSE, f"{at}: address already in use")
        listening = self.listening[at] = Listener(self, at, factory, backlog)
        if listening.process is not None:
            listening.process.resources[listening] = None
        return listening

    async def connect(self, factory: Callable[[], Any], host: str, port: int) -> tuple[Any, Any]:
        """Opens a TCP connection and returns its transport and protocol."""
        here, there = self.machine(), self.machines.get(host, self.world)
        return await self._connect(factory, (host, port), here, there, (here.host, self.port()))

    async def connect_unix(self, factory: Callable[[], Any], path: str) -> tuple[Any, Any]:
        """Opens a connection to a Unix socket on the same machine."""
        here = self.machine()
        return await self._connect(factory, path, here, here, "")

    async def _connect(
        self, factory: Callable[[], Any], at: Any, here: Machine, there: Machine, name: Any
    ) -> tuple[Any, Any]:
        self._check_descriptor_limit()
        process = CURRENT_PROCESS.get()
        fault = self.faults.at("connect", process)
        for attempt in range(len(SYN_RETRY_DELAYS_S) + 1):
            delay_there = self.ways.delay(here, there) / 1000.0
            delay_back = self.ways.delay(there, here) / 1000.0
            is_lost = fault == "silent" or self.ways.is_cut(here, there) or self.ways.is_cut(there, here)
            is_lost = is_lost or self.ways.is_lost(here, there)
            listening = self.listening.get(at)
            if not is_lost and listening is not None and listening.pending >= listening.backlog:
                is_lost = True
            if is_lost:
                if attempt == len(SYN_RETRY_DELAYS_S):
                    raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")
                await asyncio.sleep(SYN_RETRY_DELAYS_S[attempt])
                continue
            await asyncio.sleep(delay_there)
            listening = self.listening.get(at)
            if listening is None or fault == "refused":
                await asyncio.sleep(delay_back)
                raise ConnectionRefusedError(errno.ECONNREFUSED, f"{at}: connection refused")
            server = Stream(self, None, listening.context, there, at, name)
            server._release_descriptor()  # it takes a descriptor only when it is accepted
            client = Stream(self, None, contextvars.copy_context(), here, name, at)
            client.peer, server.peer = server, client
            if self.on_connect is not None:
                self.on_connect(client, server, at)
            listening.pending += 1
            self.loop.call_soon(self._accept, listening, server, context=listening.context)
            try:
                await asyncio.sleep(delay_back)
            except BaseException:
                client.resets_on_close = True
                client.abort()
                raise
            if client._lost:
                raise ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
            client._protocol = protocol = factory()
            client.begin()
            if fault == "reset":
                client.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))
            return client, protocol
        raise AssertionError("unreachable")

    def _accept(self, listening: Listener, server: Stream) -> None:
        """Accepts a connection in the listener's process; while that is paused, the backlog fills."""
        if not listening.open:
            listening.pending -= 1
            server.resets_on_close = True
            server.abort()
            return
        process = listening.process
        if process is not None and len(process.resources) >= process.machine.descriptors:
            self.loop.call_later(ACCEPT_RETRY_S, self._accept, listening, server)
            return
        listening.pending -= 1
        if server._lost:
            return
        if process is not None:
            process.resources[server] = None
        server._protocol = listening.factory()
        server.begin()

    def datagrams(
        self, factory: Callable[[], Any], local: Address | None, remote: Address | None
    ) -> tuple[Datagrams, Any]:
        """Creates a datagram endpoint; without a local address it gets the machine's address and an allocated port."""
        self._check_descriptor_limit()
        at = local or (self.machine().host, 0)
        if not at[1]:
            at = (at[0], self.port())
        if at in self.bound:
            raise OSError(errno.EADDRINUSE, f"{at}: address already in use")
        protocol = factory()
        transport = self.bound[at] = Datagrams(self, protocol, at, remote)
        self.loop.call_soon(protocol.connection_made, transport, context=transport.context)
        return transport, protocol

    def assign_host(self, host: str, machine: Machine) -> None:
        """Assigns a host address to a machine."""
        self.machines[host] = machine
