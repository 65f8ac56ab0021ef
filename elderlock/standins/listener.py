"""The common base of all fake TCP services: listening ports with fault injection, one for each caller.

A service listens on a separate port for each limiter. So it knows the caller and can fail for some callers only. A
host that is cut off would let connections time out while they are opened, which needs privileges on loopback. A
silent port accepts connections and never answers instead, and callers handle both with the same timeouts.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterable
from enum import Enum


class Fault(Enum):
    """How a listening port misbehaves."""

    NONE = "none"
    SILENT = "silent"  # accepts everything and never answers; also simulates a caller that is cut off
    REFUSING = "refusing"  # nothing listens, open connections are reset
    SLOW = "slow"  # answers are delayed
    RESET = "reset"  # the connection is reset instead of an answer
    EMPTY = "empty"  # the connection is closed instead of an answer
    HALF = "half"  # half of an answer is sent, then nothing


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection.

    An abort alone closes the connection in an orderly way. Only a close with a linger time of 0 sends a reset.
    """
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class ListeningPort:
    """One listening port of a service.

    Attributes:
        owner: The service.
        number: The port's number within the service, which is the number of the limiter that uses it.
        fault: How the port misbehaves.
        delay: The delay of answers in seconds while `fault` is `SLOW`.
        port: The TCP port.
        writers: The open connections, the oldest first.
        server: The listening socket, or None while the port is closed.
    """

    def __init__(self, owner: Listener, number: int) -> None:
        self.owner, self.number = owner, number
        self.fault, self.delay = Fault.NONE, 0.0
        self.port = 0
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.server: asyncio.Server | None = None

    @property
    def endpoint(self) -> str:
        """The `host:port` at which the service is reached."""
        return f"{self.owner.host}:{self.port}"

    async def listen(self) -> None:
        """Starts listening, on the same port as before if there was one."""
        self.server = await asyncio.start_server(self._serve, self.owner.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        self.owner.accepted += 1
        try:
            await self.owner.serve(self, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.pop(writer, None)
            self.owner.lost += 1
            writer.close()

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes an answer as the fault of the port allows: whole, late, in part or not at all."""
        if writer.is_closing():
            return
        match self.fault:
            case Fault.SILENT | Fault.REFUSING:
                return
            case Fault.RESET:
                reset(writer)
            case Fault.EMPTY:
                writer.close()
            case Fault.HALF:
                writer.write(data[: len(data) // 2])
            case Fault.SLOW:
                asyncio.get_running_loop().call_later(self.delay, self._write_if_open, writer, data)
            case Fault.NONE:
                writer.write(data)

    def _write_if_open(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self.writers):
            reset(writer)

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()


class Listener:
    """A service with any number of listening ports.

    Attributes:
        host: The host address of all ports.
        ports: The listening ports.
        accepted: The number of connections accepted so far.
        lost: The number of connections that have ended.
    """

    host = "127.0.0.1"

    def __init__(self) -> None:
        self.ports: list[ListeningPort] = []
        self.accepted = self.lost = 0

    async def open(self, ports: int = 1) -> None:
        """Opens the given number of listening ports."""
        for number in range(ports):
            port = ListeningPort(self, number)
            await port.listen()
            self.ports.append(port)

    async def serve(self, port: ListeningPort, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles one connection from its start to its end."""
        raise NotImplementedError

    async def fail(self, fault: Fault, ports: Iterable[int] | None = None, delay: float = 0.0) -> None:
        """Sets the fault of listening ports.

        Args:
            fault: The fault; `Fault.NONE` ends an earlier one.
            ports: The numbers of the ports, or None for all.
            delay: The delay of answers in seconds, for `Fault.SLOW`.
        """
        for number in range(len(self.ports)) if ports is None else ports:
            port = self.ports[number]
            port.fault, port.delay = fault, delay
            if fault is Fault.REFUSING:
                await port.close()
            elif port.server is None:
                await port.listen()

    def reset(self) -> None:
        """Resets all connections, as the end of the process does."""
        for port in self.ports:
            port.reset()

    async def close(self) -> None:
        """Closes all ports and connections."""
        for port in self.ports:
            await port.close()
