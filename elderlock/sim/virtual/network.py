"""A network in memory: streams with back-pressure, split reads, resets and half-closed ends, and datagrams that get
lost, doubled and reordered. Its delays and cuts are the model's (`elderlock.sim.models.link_conditions`).

A stream is two pipes. Bytes leave when they are written and come in order after the way's delay; across a cut they
wait for its end, as TCP's repeats do. The kernel of a killed process resets its streams; a machine that vanished
says nothing at all.
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
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine, Process

KERNEL_BUFFER_BYTES = 1 << 18  # bytes that the kernels take of one direction before `write` has to buffer
HIGH_WATER = 1 << 16  # bytes buffered above that, beyond which a protocol is told to pause
READ_MOST = 1 << 14  # bytes handed over at once, what the shells' buffers hold
SPLIT = 0.1  # share of arrivals that come in two reads
SYN_AGAIN = (1.0, 3.0, 7.0)  # s after which a lost SYN is sent again
ACCEPT_AGAIN = 1.0  # s that an accept out of descriptors waits, as asyncio has it

Address = tuple[str, int]


class Faults(Protocol):
    """Asked at each step of input or output; the way in which it fails, or empty."""

    def at(self, kind: str, process: Process | None) -> str: ...


class Tap(Protocol):
    """Looks on at one end of a stream."""

    def wrote(self, data: bytes) -> None: ...

    def read(self, data: bytes) -> None: ...

    def closed(self, by_us: bool) -> None:
        """The end is over; `by_us`: this end closed first."""


class NoFaults:
    def at(self, kind: str, process: Process | None) -> str:
        return ""


class _Socket:
    """What code asks of a transport's socket."""

    family = 2

    def __init__(self, stream: Stream | Listener, name: Any) -> None:
        self._stream, self._name = stream, name

    def getsockname(self) -> Any:
        return self._name

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        if option == 13 and isinstance(value, bytes) and isinstance(self._stream, Stream):  # SO_LINGER
            self._stream.hard = value[:4] != b"\0\0\0\0"

    def fileno(self) -> int:
        return -1


class Listener:
    """An `asyncio.Server` as far as its users go."""

    def __init__(self, network: Network, at: Any, factory: Callable[[], Any], backlog: int) -> None:
        self.network, self.at, self.factory, self.backlog = network, at, factory, backlog
        self.process = CURRENT_PROCESS.get()
        self.context = contextvars.copy_context()
        self.pending = 0  # connected by the kernel, and not taken yet
        self.sockets: tuple[_Socket, ...] = (_Socket(self, at),)
        self.open = True

    def is_serving(self) -> bool:
        return self.open

    def close(self) -> None:
        self.open = False
        if self.network.listening.get(self.at) is self:
            del self.network.listening[self.at]
        if self.process is not None:
            self.process.resources.pop(self, None)

    killed = close

    async def wait_closed(self) -> None:
        return None

    async def start_serving(self) -> None:
        return None

    def get_loop(self) -> SimLoop:
        return self.network.loop

    async def __aenter__(self) -> Listener:
        return self

    async def __aexit__(self, *error: object) -> None:
        self.close()


class Stream(asyncio.Transport):
    """One end of a connection. Invariant: the peer sees every byte written before an orderly end, once, in order; a
    reset takes what it has not read yet."""

    def __init__(
        self, network: Network, protocol: Any, context: contextvars.Context, machine: Machine, name: Any, peer_name: Any
    ) -> None:
        super().__init__({"sockname": name, "peername": peer_name, "socket": _Socket(self, name)})
        self.network, self.loop, self._protocol, self.context = network, network.loop, protocol, context
        self.machine = machine
        self.process = context.get(CURRENT_PROCESS)
        self.peer: Stream
        self.hard: bool = False  # a close resets
        self._closing = self._lost = self._eof_sent = self._eof_seen = self.made = False
        self._paused = False
        self._told_paused = False
        self._arrived: deque[bytes] = deque()  # what has come and was not taken
        self._flight = 0  # bytes written that the peer has not taken
        self._last_arrival = 0.0
        self._stuck: deque[tuple[str, bytes]] = deque()  # behind a cut
        self.tap: Tap | None = None
        self._close_when_drained = False
        if self.process is not None:
            self.process.resources[self] = None

    # The protocol's side

    def _call(self, callback: Callable[..., None], *args: Any) -> None:
        self.loop.call_soon(callback, *args, context=self.context)

    def begin(self) -> None:
        """`connection_made`, in the process that the stream belongs to."""
        if self._lost:
            return
        self.made = True
        self._protocol.connection_made(self)
        self._hand_over()

    def get_protocol(self) -> Any:
        return self._protocol

    def set_protocol(self, protocol: Any) -> None:
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._closing

    def is_reading(self) -> bool:
        return not self._paused and not self._closing

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        if self._paused:
            self._paused = False
            self._call(self._hand_over)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return max(0, self._flight - KERNEL_BUFFER_BYTES)

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: Any) -> None:
        if self._closing or self._eof_sent or self._lost:
            return
        data = bytes(data)
        if not data:
            return
        if self.tap is not None:
            self.tap.wrote(data)
        match self.network.faults.at("write", self.process):
            case "reset":  # before a byte of it left
                return self.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))
            case "half":
                data = data[: len(data) // 2]
                self._send("data", data)
                self._flight += len(data)
                return self.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))
            case "sent":  # it leaves whole, and the answer never comes
                self._send("data", data)
                return self.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))
            case "late" if self.machine.floor and self.peer.machine.floor:  # a client's own link is not ours
                self._last_arrival = max(self._last_arrival, self.loop.time()) + 3.0
        self._flight += len(data)
        self._send("data", data)
        if self._flight > KERNEL_BUFFER_BYTES + HIGH_WATER and not self._told_paused:
            self._told_paused = True
            self._protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        if not self._eof_sent and not self._closing:
            self._eof_sent = True
            self._send("fin", b"")

    def close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._tell_tap(True)
        self._leave()
        if self._flight > KERNEL_BUFFER_BYTES:
            self._close_when_drained = True
        else:
            self._call(self._gone, None)

    def abort(self) -> None:
        """What the kernel has taken still goes; input that nobody read, or no linger, makes it a reset."""
        if self._lost:
            return
        if not self._closing:
            self._closing = True
            self._tell_tap(True)
            self._leave()
        self._call(self._gone, None)

    def _tell_tap(self, by_us: bool) -> None:
        if self.tap is not None:
            self.tap.closed(by_us)
            self.tap = None

    def _leave(self) -> None:
        if self.hard or self._arrived:
            self._send("rst", b"")
        elif not self._eof_sent:
            self._send("fin", b"")
        self._eof_sent = True

    def _gone(self, error: Exception | None) -> None:
        if self._lost:
            return
        self._lost = self._closing = True
        self._arrived.clear()
        self._tell_tap(False)
        self._release()
        if self.made:
            self._protocol.connection_lost(error)

    def reset_connection(self, error: Exception) -> None:
        """The connection is reset for both."""
        if not self._closing or self._close_when_drained:
            self._closing = True
            self._send("rst", b"")
            self._call(self._gone, error)

    def _release(self) -> None:
        if self.process is not None:
            self.process.resources.pop(self, None)

    def killed(self) -> None:
        """Its process has ended: the kernel closes, and nobody here hears of it."""
        if not self._lost:
            self._lost = True
            if not self._closing:
                self._closing = True
                self._leave()
            self._arrived.clear()

    # The wire's side

    def _send(self, what: str, data: bytes) -> None:
        network = self.network
        if self._stuck or network.ways.is_cut(self.machine, self.peer.machine):
            if not self._stuck:
                network.stuck[self] = None
            self._stuck.append((what, data))
            return
        self._depart(what, data)

    def _depart(self, what: str, data: bytes, held: float = 0.0) -> None:
        network = self.network
        way = network.ways.delay(self.machine, self.peer.machine) / 1000.0
        if network.ways.is_lost(self.machine, self.peer.machine):
            way += network.ways.retransmission_delay() / 1000.0
        # timers of one instant change places: those of one stream must not
        at = max(self._last_arrival + 2.0 * TIE_BREAK_S, self.loop.time() + way + held)
        self._last_arrival = at
        network.passed(what, self, data)
        self.loop.call_at(at, self.peer.arrive, what, data, context=network.wire)

    def flush(self) -> None:
        """The cut has ended: what waited goes on, after the repeat's own wait."""
        stuck, self._stuck = self._stuck, deque()
        held = self.network.ways.retransmission_delay() / 1000.0
        for what, data in stuck:
            self._depart(what, data, held)

    def arrive(self, what: str, data: bytes) -> None:
        """Run by the wire, not by a process: a paused one's kernel takes it in."""
        if self._lost or (self._closing and not self._close_when_drained):
            if what == "data" and not self.peer._lost:
                self._send("rst", b"")  # sent to a closed end
                self.peer._flight = 0
            return
        if what == "rst":
            self._arrived.clear()
            self._call(self._gone, ConnectionResetError(errno.ECONNRESET, "Connection reset by peer"))
            return
        if what == "data":
            if self.network.faults.at("read", self.process) == "reset":
                self._arrived.clear()
                return self.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))
            if len(data) > 1 and self.network.rng.random() < SPLIT:
                cut = self.network.rng.randrange(1, len(data))
                self._arrived.append(data[:cut])
                self._call(self._hand_over)
                self._arrived.append(data[cut:])
            else:
                self._arrived += (data[at : at + READ_MOST] for at in range(0, len(data), READ_MOST))
        else:
            self._eof_seen = True
        self._call(self._hand_over)

    def _hand_over(self) -> None:
        """As much as one read gives, then again; the end of the stream after all of it."""
        if self._lost or self._paused or not self.made:
            return
        if self._arrived:
            if self._closing:
                return
            data = self._arrived.popleft()
            if self.tap is not None:
                self.tap.read(data)
            if isinstance(self._protocol, asyncio.BufferedProtocol):
                view = memoryview(self._protocol.get_buffer(len(data)))
                taken = min(len(view), len(data))
                view[:taken] = data[:taken]
                if taken < len(data):  # the tap has seen these once, and sees them again
                    raise ValueError("a protocol's buffer is smaller than what one read gives")
                self._protocol.buffer_updated(taken)
            else:
                taken = len(data)
                self._protocol.data_received(data)
            self.peer.taken(taken)
            if self._arrived or self._eof_seen:
                self._call(self._hand_over)
        elif self._eof_seen and not self._closing:
            self._eof_seen = False
            if not self._protocol.eof_received():
                self.close()

    def taken(self, count: int) -> None:
        """The peer has read so many bytes; an acknowledgement costs the way back, which we leave out."""
        self._flight = max(0, self._flight - count)
        if self._lost:
            return
        if self._close_when_drained and self._flight <= KERNEL_BUFFER_BYTES:
            self._close_when_drained = False
            self._call(self._gone, None)
        if self._told_paused and self._flight <= KERNEL_BUFFER_BYTES:
            self._told_paused = False
            self._call(self._resume)

    def _resume(self) -> None:
        if not self._lost and self.made:
            self._protocol.resume_writing()


class Datagrams(asyncio.DatagramTransport):
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
        network.passed("datagram", self, data)
        fault = network.faults.at("datagram", self.process)
        if there is None or fault == "lost" or network.ways.is_cut(self.machine, there.machine):
            return
        if network.ways.is_datagram_lost(self.machine, there.machine):
            return
        copies = 2 if fault == "doubled" or network.ways.is_duplicated() else 1
        for _ in range(copies):  # each with a delay of its own: that is what reorders them
            way = network.ways.delay(self.machine, there.machine) / 1000.0 + (0.5 if fault == "late" else 0.0)
            network.loop.call_later(way, there.arrive, data, self.at, context=network.wire)

    def arrive(self, data: bytes, sender: Address) -> None:
        if not self._closing:
            self.network.loop.call_soon(self._receive, data, sender, context=self.context)

    def _receive(self, data: bytes, sender: Address) -> None:
        if not self._closing:
            self._protocol.datagram_received(data, sender)

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self.network.bound.pop(self.at, None)
            if self.process is not None:
                self.process.resources.pop(self, None)
            self.network.loop.call_soon(self._protocol.connection_lost, None, context=self.context)

    abort = close

    def killed(self) -> None:
        self._closing = True
        self.network.bound.pop(self.at, None)


class Network:
    """`machines` says on which machine a host's address lies; an unknown one is the world's own."""

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
        self.multicast_groups: dict[Address, list[Address]] = {}  # addresses that stand for many
        self.on_transfer: Callable[[str, Any, bytes], None] | None = None
        self.on_connect: Callable[[Stream, Stream, Any], None] | None = None  # may put taps on both ends
        ways.on_cuts_removed = self.resume_stuck_streams

    def machine(self) -> Machine:
        process = CURRENT_PROCESS.get()
        return process.machine if process is not None else self.world

    def port(self) -> int:
        self._port += 1
        return self._port

    def passed(self, what: str, by: Any, data: bytes) -> None:
        if self.on_transfer is not None:
            self.on_transfer(what, by, data)

    def resume_stuck_streams(self) -> None:
        for stream in list(self.stuck):
            if not self.ways.is_cut(stream.machine, stream.peer.machine):
                del self.stuck[stream]
                stream.flush()

    def _descriptor(self) -> None:
        process = CURRENT_PROCESS.get()
        if process is not None and len(process.resources) >= process.machine.descriptors:
            raise OSError(errno.EMFILE, "Too many open files")

    def listen(self, factory: Callable[[], Any], host: str, port: int, backlog: int = 100) -> Listener:
        at = (host, port or self.port())
        return self._listen(factory, at, backlog)

    def listen_unix(self, factory: Callable[[], Any], path: str, backlog: int = 100) -> Listener:
        return self._listen(factory, path, backlog)

    def _listen(self, factory: Callable[[], Any], at: Any, backlog: int) -> Listener:
        self._descriptor()
        if at in self.listening:
            raise OSError(errno.EADDRINUSE, f"{at}: address already in use")
        listening = self.listening[at] = Listener(self, at, factory, backlog)
        if listening.process is not None:
            listening.process.resources[listening] = None
        return listening

    async def connect(self, factory: Callable[[], Any], host: str, port: int) -> tuple[Any, Any]:
        here, there = self.machine(), self.machines.get(host, self.world)
        return await self._connect(factory, (host, port), here, there, (here.host, self.port()))

    async def connect_unix(self, factory: Callable[[], Any], path: str) -> tuple[Any, Any]:
        here = self.machine()
        return await self._connect(factory, path, here, here, "")

    async def _connect(
        self, factory: Callable[[], Any], at: Any, here: Machine, there: Machine, name: Any
    ) -> tuple[Any, Any]:
        self._descriptor()
        process = CURRENT_PROCESS.get()
        fault = self.faults.at("connect", process)
        for number in range(len(SYN_AGAIN) + 1):
            out = self.ways.delay(here, there) / 1000.0
            back = self.ways.delay(there, here) / 1000.0
            lost = fault == "silent" or self.ways.is_cut(here, there) or self.ways.is_cut(there, here)
            lost = lost or self.ways.is_lost(here, there)
            listening = self.listening.get(at)
            if not lost and listening is not None and listening.pending >= listening.backlog:
                lost = True
            if lost:
                if number == len(SYN_AGAIN):
                    raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")
                await asyncio.sleep(SYN_AGAIN[number])
                continue
            await asyncio.sleep(out)
            listening = self.listening.get(at)
            if listening is None or fault == "refused":
                await asyncio.sleep(back)
                raise ConnectionRefusedError(errno.ECONNREFUSED, f"{at}: connection refused")
            server = Stream(self, None, listening.context, there, at, name)
            server._release()  # its descriptor begins with the accept
            client = Stream(self, None, contextvars.copy_context(), here, name, at)
            client.peer, server.peer = server, client
            if self.on_connect is not None:
                self.on_connect(client, server, at)
            listening.pending += 1
            self.loop.call_soon(self._accept, listening, server, context=listening.context)
            try:
                await asyncio.sleep(back)
            except BaseException:
                client.hard = True
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
        """In the listener's process: a paused one takes nothing, and its backlog fills."""
        if not listening.open:
            listening.pending -= 1
            server.hard = True
            server.abort()
            return
        process = listening.process
        if process is not None and len(process.resources) >= process.machine.descriptors:
            self.loop.call_later(ACCEPT_AGAIN, self._accept, listening, server)
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
        self._descriptor()
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
        """That address lies on this machine."""
        self.machines[host] = machine
