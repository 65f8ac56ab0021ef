"""Streams in memory: connections with back-pressure, split reads, resets and half-closed ends.

A stream has two ends. Bytes leave when they are written and arrive in order after the delay of the link. Across a cut
they wait for its end, like segments that TCP retransmits. The kernel of a killed process resets its streams; a machine
that vanished sends nothing at all.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from elderlock.sim.virtual.io_faults import Tap
from elderlock.sim.virtual.loop import TIE_BREAK_S
from elderlock.sim.virtual.polling import assign_descriptor
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine

if TYPE_CHECKING:
    from elderlock.sim.virtual.listener import Listener
    from elderlock.sim.virtual.network import Network

KERNEL_BUFFER_BYTES = 1 << 18  # bytes in one direction that both kernels hold before `write` buffers in the process
HIGH_WATER_BYTES = 1 << 16  # bytes in the write buffer above which the protocol is paused
MAX_READ_BYTES = 1 << 14  # bytes of one read; the size of the buffers in the shells
SPLIT_SHARE = 0.1  # share of arrivals that come in two reads


class Socket:
    """The part of a transport's socket that the code uses."""

    family = 2

    def __init__(self, stream: Stream | Listener, name: Any) -> None:
        self._stream, self._name = stream, name

    def getsockname(self) -> Any:
        """Returns the address."""
        return self._name

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Sets whether a close resets the stream; other options have no effect."""
        if option == 13 and isinstance(value, bytes) and isinstance(self._stream, Stream):  # SO_LINGER
            self._stream.resets_on_close = value[:4] != b"\0\0\0\0"

    def fileno(self) -> int:
        """Returns the number by which the simulated `select.poll` finds the stream."""
        return self._stream.descriptor if isinstance(self._stream, Stream) else -1


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
        super().__init__({"sockname": name, "peername": peer_name, "socket": Socket(self, name)})
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
