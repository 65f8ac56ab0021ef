"""A network in memory: streams and datagrams between simulated machines.

Streams have back-pressure, split reads, resets and half-closed ends. Datagrams can be lost, duplicated and reordered.
Delays, loss and cuts come from `elderlock.sim.models.link_conditions`.

A stream has two ends. Bytes leave when they are written and arrive in order after the delay of the link. Across a cut
they wait for its end, like segments that TCP retransmits. The kernel of a killed process resets its streams; a machine
that vanished sends nothing at all.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from elderlock.sim.models.link_conditions import LinkConditions
from elderlock.sim.virtual.loop import TIE_BREAK_S, SimLoop
from elderlock.sim.virtual.polling import assign_descriptor
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine, Process

KERNEL_BUFFER_BYTES = 1 << 18  # bytes in one direction that both kernels hold before `write` buffers in the process
HIGH_WATER_BYTES = 1 << 16  # bytes in the write buffer above which the protocol is paused
MAX_READ_BYTES = 1 << 14  # bytes of one read; the size of the buffers in the shells
SPLIT_SHARE = 0.1  # share of arrivals that come in two reads
SYN_RETRY_DELAYS_S = (1.0, 3.0, 7.0)  # waits before the retransmissions of a lost SYN
ACCEPT_RETRY_S = 1.0  # wait after an accept found no free descriptor; the value of asyncio

Address = tuple[str, int]


class Faults(Protocol):
    """Injects faults into single steps of input and output."""

    def at(self, kind: str, process: Process | None) -> str:
        """Returns the fault of this step of that kind, or an empty string."""


class Tap(Protocol):
    """Observes one end of a stream."""

    def wrote(self, data: bytes) -> None:
        """This end wrote the data."""

    def read(self, data: bytes) -> None:
        """This end read the data."""

    def closed(self, by_us: bool) -> None:
        """This end is closed; `by_us` is whether it closed first."""


class NoFaults:
    """Injects no faults."""

    def at(self, kind: str, process: Process | None) -> str:
        """Returns an empty string."""
        return ""


class _Socket:
    """The part of a transport's socket that the code uses."""

    family = 2

    def __init__(self, stream: Stream | Listener, name: Any) -> None:
        self._stream, self._name = stream, name

    def getsockname(self) -> Any:
        return self._name

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        if option == 13 and isinstance(value, bytes) and isinstance(self._stream, Stream):  # SO_LINGER
            self._stream.resets_on_close = value[:4] != b"\0\0\0\0"

    def fileno(self) -> int:
        return self._stream.descriptor if isinstance(self._stream, Stream) else -1


class Listener:
    """The part of `asyncio.Server` that the code uses.

    Attributes:
        network: The network.
        at: The address or path.
        factory: Makes the protocol of an accepted connection.
        backlog: How many connections may wait to be accepted.
        process: The process that listens.
        context: The context of that process.
        pending: How many connections wait to be accepted.
        sockets: The listening socket.
        open: Whether it still listens.
    """

    def __init__(self, network: Network, at: Any, factory: Callable[[], Any], backlog: int) -> None:
        self.network, self.at, self.factory, self.backlog = network, at, factory, backlog
        self.process = CURRENT_PROCESS.get()
        self.context = contextvars.copy_context()
        self.pending = 0
        self.sockets: tuple[_Socket, ...] = (_Socket(self, at),)
        self.open = True

    def is_serving(self) -> bool:
        """Returns whether it still listens."""
        return self.open

    def close(self) -> None:
        """Stops listening."""
        self.open = False
        if self.network.listening.get(self.at) is self:
            del self.network.listening[self.at]
        if self.process is not None:
            self.process.resources.pop(self, None)

    killed = close

    async def wait_closed(self) -> None:
        """Returns at once, as accepted connections do not belong to the listener."""
        return None

    async def start_serving(self) -> None:
        """Does nothing: a listener accepts from its creation."""
        return None

    def get_loop(self) -> SimLoop:
        """Returns the event loop."""
        return self.network.loop

    async def __aenter__(self) -> Listener:
        return self

    async def __aexit__(self, *error: object) -> None:
        self.close()


class Stream(asyncio.Transport):
    """One end of a connection.

    Invariant: the peer reads every byte that was written before an orderly close, once and in order. A reset discards
    what the peer has not read yet.

    Attributes:
        network: The network.
        loop: The event loop.
        context: The context of the process that the end belongs to.
        machine: The machine of this end.
        process: The process that the end belongs to.
        peer: The other end.
        resets_on_close: Whether a close resets the connection, as SO_LINGER with time 0 does.
        is_connected: Whether the protocol's `connection_made` was called.
        descriptor: The number by which a simulated poll finds this end.
        tap: An observer of this end.
    """

    def __init__(
        self, network: Network, protocol: Any, context: contextvars.Context, machine: Machine, name: Any, peer_name: Any
    ) -> None:
        super().__init__({"sockname": name, "peername": peer_name, "socket": _Socket(self, name)})
        self.network, self.loop, self._protocol, self.context = network, network.loop, protocol, context
        self.machine = machine
        self.process = context.get(CURRENT_PROCESS)
        self.peer: Stream
        self.resets_on_close: bool = False
        self._closing = self._lost = self._eof_sent = self._eof_received = self.is_connected = False
        self._reading_paused = False
        self._writing_paused = False
        self._received: deque[bytes] = deque()  # received by the kernel and not read yet
        self._in_flight_bytes = 0  # written and not read by the peer yet
        self._last_arrival = 0.0
        self._blocked: deque[tuple[str, bytes]] = deque()  # waits for the end of a cut
        self.descriptor: int = assign_descriptor(self)
        self.tap: Tap | None = None
        self._close_when_drained = False
        if self.process is not None:
            self.process.resources[self] = None

    # The interface to the protocol

    def _call(self, callback: Callable[..., None], *args: Any) -> None:
        self.loop.call_soon(callback, *args, context=self.context)

    def begin(self) -> None:
        """Calls the protocol's `connection_made` in the process that the end belongs to."""
        if self._lost:
            return
        self.is_connected = True
        self._protocol.connection_made(self)
        self._deliver()

    def get_protocol(self) -> Any:
        """Returns the protocol."""
        return self._protocol

    def set_protocol(self, protocol: Any) -> None:
        """Replaces the protocol."""
        self._protocol = protocol

    def is_closing(self) -> bool:
        """Returns whether it is closed or closing."""
        return self._closing

    def is_reading(self) -> bool:
        """Returns whether data is notify_transfer to the protocol."""
        return not self._reading_paused and not self._closing

    def has_unread_input(self) -> bool:
        """Returns whether the kernel holds bytes, or the end of the stream, that the protocol was not given."""
        return bool(self._received) or self._eof_received

    def has_ended(self) -> bool:
        """Returns whether the end of the stream has arrived, whatever is still unread before it."""
        return self._eof_received

    def pause_reading(self) -> None:
        """Stops passing data to the protocol."""
        self._reading_paused = True

    def resume_reading(self) -> None:
        """Continues to pass data to the protocol."""
        if self._reading_paused:
            self._reading_paused = False
            self._call(self._deliver)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Does nothing: the limits are fixed."""
        pass

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes that the kernels have not taken."""
        return max(0, self._in_flight_bytes - KERNEL_BUFFER_BYTES)

    def can_write_eof(self) -> bool:
        """Returns that half-closing is supported."""
        return True

    def write(self, data: Any) -> None:
        """Sends data, unless a fault is injected."""
        if self._closing or self._eof_sent or self._lost:
            return
        data = bytes(data)
        if not data:
            return
        if self.tap is not None:
            self.tap.wrote(data)
        match self.network.faults.at("write", self.process):
            case "reset":  # before any byte is sent
                return self.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))
            case "half":
                data = data[: len(data) // 2]
                self._send("data", data)
                self._in_flight_bytes += len(data)
                return self.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))
            case "sent":  # all bytes are sent, but no answer can come
                self._send("data", data)
                return self.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))
            # links of clients are not delayed; clients are in no zone
            case "late" if self.machine.floor and self.peer.machine.floor:
                self._last_arrival = max(self._last_arrival, self.loop.time()) + 3.0
        self._in_flight_bytes += len(data)
        self._send("data", data)
        if self._in_flight_bytes > KERNEL_BUFFER_BYTES + HIGH_WATER_BYTES and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:
        """Sends the concatenated data."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """Half-closes the connection."""
        if not self._eof_sent and not self._closing:
            self._eof_sent = True
            self._send("fin", b"")

    def close(self) -> None:
        """Closes the connection after the buffered data has been sent."""
        if self._closing:
            return
        self._closing = True
        self._close_tap(True)
        self._send_close()
        if self._in_flight_bytes > KERNEL_BUFFER_BYTES:
            self._close_when_drained = True
        else:
            self._call(self._connection_lost, None)

    def abort(self) -> None:
        """Closes the connection at once.

        Data that the kernel has taken is still sent. Unread input or SO_LINGER with time 0 makes the close a reset.
        """
        if self._lost:
            return
        if not self._closing:
            self._closing = True
            self._close_tap(True)
            self._send_close()
        self._call(self._connection_lost, None)

    def _close_tap(self, by_us: bool) -> None:
        if self.tap is not None:
            self.tap.closed(by_us)
            self.tap = None

    def _send_close(self) -> None:
        if self.resets_on_close or self._received:
            self._send("rst", b"")
        elif not self._eof_sent:
            self._send("fin", b"")
        self._eof_sent = True

    def _connection_lost(self, error: Exception | None) -> None:
        if self._lost:
            return
        self._lost = self._closing = True
        self._received.clear()
        self._close_tap(False)
        self._release_descriptor()
        if self.is_connected:
            self._protocol.connection_lost(error)

    def reset_connection(self, error: Exception) -> None:
        """Resets the connection at both ends."""
        if not self._closing or self._close_when_drained:
            self._closing = True
            self._send("rst", b"")
            self._call(self._connection_lost, error)

    def _release_descriptor(self) -> None:
        if self.process is not None:
            self.process.resources.pop(self, None)

    def killed(self) -> None:
        """Closes the end in the kernel after its process ended; the protocol is not called."""
        if not self._lost:
            self._lost = True
            if not self._closing:
                self._closing = True
                self._send_close()
            self._received.clear()

    # The interface to the network

    def _send(self, what: str, data: bytes) -> None:
        network = self.network
        if self._blocked or network.ways.is_cut(self.machine, self.peer.machine):
            if not self._blocked:
                network.stuck[self] = None
            self._blocked.append((what, data))
            return
        self._transmit(what, data)

    def _transmit(self, what: str, data: bytes, extra_delay: float = 0.0) -> None:
        network = self.network
        delay = network.ways.delay(self.machine, self.peer.machine) / 1000.0
        if network.ways.is_lost(self.machine, self.peer.machine):
            delay += network.ways.retransmission_delay() / 1000.0
        # timers due at the same time run in a random order, but the segments of one stream must stay in order
        at = max(self._last_arrival + 2.0 * TIE_BREAK_S, self.loop.time() + delay + extra_delay)
        self._last_arrival = at
        network.notify_transfer(what, self, data)
        self.loop.call_at(at, self.peer.arrive, what, data, context=network.wire)

    def resume_after_cut(self) -> None:
        """Sends what waited for the end of a cut, after the delay of a retransmission."""
        blocked, self._blocked = self._blocked, deque()
        extra_delay = self.network.ways.retransmission_delay() / 1000.0
        for what, data in blocked:
            self._transmit(what, data, extra_delay)

    def arrive(self, what: str, data: bytes) -> None:
        """Receives a segment in the kernel.

        It runs outside of any process, because the kernel receives even while the process is paused.

        Args:
            what: `data`, `fin` or `rst`.
            data: The bytes of a data segment.
        """
        if self._lost or (self._closing and not self._close_when_drained):
            if what == "data" and not self.peer._lost:
                self._send("rst", b"")  # the answer of a closed end
                self.peer._in_flight_bytes = 0
            return
        if what == "rst":
            self._received.clear()
            self._call(self._connection_lost, ConnectionResetError(errno.ECONNRESET, "Connection reset by peer"))
            return
        if what == "data":
            if self.network.faults.at("read", self.process) == "reset":
                self._received.clear()
                return self.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))
            if len(data) > 1 and self.network.rng.random() < SPLIT_SHARE:
                cut = self.network.rng.randrange(1, len(data))
                self._received.append(data[:cut])
                self._call(self._deliver)
                self._received.append(data[cut:])
            else:
                self._received += (data[at : at + MAX_READ_BYTES] for at in range(0, len(data), MAX_READ_BYTES))
        else:
            self._eof_received = True
        self._call(self._deliver)

    def _deliver(self) -> None:
        """Passes the data of one read to the protocol and schedules the next; reports the end of the stream last."""
        if self._lost or self._reading_paused or not self.is_connected:
            return
        if self._received:
            if self._closing:
                return
            data = self._received.popleft()
            if self.tap is not None:
                self.tap.read(data)
            if isinstance(self._protocol, asyncio.BufferedProtocol):
                view = memoryview(self._protocol.get_buffer(len(data)))
                taken = min(len(view), len(data))
                view[:taken] = data[:taken]
                if taken < len(data):  # a second read of the rest would pass it to the tap twice
                    raise ValueError(f"the protocol's buffer has {len(view)} bytes, a read gives {len(data)}")
                self._protocol.buffer_updated(taken)
            else:
                taken = len(data)
                self._protocol.data_received(data)
            self.peer.acknowledge(taken)
            if self._received or self._eof_received:
                self._call(self._deliver)
        elif self._eof_received and not self._closing:
            self._eof_received = False
            if not self._protocol.eof_received():
                self.close()

    def acknowledge(self, count: int) -> None:
        """Handles that the peer has read that many bytes; the delay of the acknowledgement is not simulated."""
        self._in_flight_bytes = max(0, self._in_flight_bytes - count)
        if self._lost:
            return
        if self._close_when_drained and self._in_flight_bytes <= KERNEL_BUFFER_BYTES:
            self._close_when_drained = False
            self._call(self._connection_lost, None)
        if self._writing_paused and self._in_flight_bytes <= KERNEL_BUFFER_BYTES:
            self._writing_paused = False
            self._call(self._resume)

    def _resume(self) -> None:
        if not self._lost and self.is_connected:
            self._protocol.resume_writing()


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
