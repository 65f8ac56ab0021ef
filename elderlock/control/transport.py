"""A bounded server of framed messages, on a Unix socket or TCP: what comes is cut into frames and answered.

Sizes, connections and time are bounded: noise, half a message, a slow reader or a crowd of connections
costs a little memory and is closed.
"""

from __future__ import annotations

import asyncio
import os
import socket
import ssl
import stat
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar, cast

from elderlock.control.framing import FrameDecoder, FrameError, encode_frame

V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Bytes, counts and seconds."""

    maximum_message_bytes: int
    maximum_hello_bytes: int  # of the message that says who it is
    maximum_connections: int = 64
    maximum_unsent_bytes: int = 16 << 20  # bytes that a reader may leave lying
    hello_timeout_s: float = 2.0
    stall_timeout_s: float = 5.0  # for the rest of a message, or for a reader to take its answers


class Connection(asyncio.Protocol, Generic[V]):
    def __init__(self, server: FrameServer[V]) -> None:
        self.server = server
        self.session: V = server.new_session()
        self.is_identified = False  # has said who it is
        self.waiting_since_s: float | None = server.loop.time()  # when it began to owe us something
        self._framer = FrameDecoder(server.bounds.maximum_hello_bytes)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.server.on_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        try:
            frames = self._framer.feed(data)
        except FrameError as error:
            return self.send(self.server.malformed_frame_reply(str(error)), last=True)
        if self.is_identified:
            self.waiting_since_s = self.server.loop.time() if self._framer.pending_byte_count() else None
        for frame in frames:
            self.server.handle(self, frame)

    def on_identified(self) -> None:
        self.is_identified, self.waiting_since_s = True, None
        self._framer.maximum_bytes = self.server.bounds.maximum_message_bytes

    def send(self, body: bytes, last: bool = False) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(encode_frame(body))
        if transport.get_write_buffer_size() > self.server.bounds.maximum_unsent_bytes:
            transport.abort()
        elif last:
            transport.close()

    def pause_writing(self) -> None:
        self.waiting_since_s = self.server.loop.time()

    def resume_writing(self) -> None:
        self.waiting_since_s = None

    def check_timeout(self, now: float) -> None:
        bounds = self.server.bounds
        within = bounds.stall_timeout_s if self.is_identified else bounds.hello_timeout_s
        if self.waiting_since_s is not None and now - self.waiting_since_s > within:
            self.abort()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class FrameServer(Generic[V]):
    """`handle` takes each frame; `broken` makes the last word to one who sent what is no frame."""

    def __init__(
        self,
        bounds: ConnectionLimits,
        visitor: Callable[[], V],
        handle: Callable[[Connection[V], bytes], None],
        broken: Callable[[str], bytes],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.bounds, self.new_session, self.handle, self.malformed_frame_reply = bounds, visitor, handle, broken
        self.connections: dict[Connection[V], None] = {}  # the oldest first
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    def on_opened(self, connection: Connection[V]) -> None:
        self.connections[connection] = None
        if len(self.connections) > self.bounds.maximum_connections:
            # who has not said who it is goes first, the oldest of them: a crowd keeps no operator out
            strangers = (c for c in self.connections if not c.is_identified and c is not connection)
            victim = next(strangers, connection)
            self.connections.pop(victim, None)
            victim.abort()

    async def listen_unix(self, path: Path) -> None:
        self._server = await self.loop.create_unix_server(lambda: Connection(self), sock=bind_unix_socket(path))
        self._look()

    async def listen_tcp(self, host: str, port: int, tls: ssl.SSLContext | None) -> int:
        """Returns the port, which the kernel may have chosen."""
        self._server = await self.loop.create_server(lambda: Connection(self), host, port, ssl=tls)
        self._look()
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def _look(self) -> None:
        self._timer = self.loop.call_later(self.bounds.hello_timeout_s / 4, self._look)
        now = self.loop.time()
        for connection in list(self.connections):
            connection.check_timeout(now)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


def bind_unix_socket(path: Path) -> socket.socket:
    """A bound socket of mode 0600 in a directory of mode 0700 that is ours. A socket that a dead process
    left is cleaned away; one that answers is another's. Raises `OSError` with a plain text."""
    folder = path.parent
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    about = folder.stat()
    if about.st_uid != os.geteuid() or stat.S_IMODE(about.st_mode) & 0o077:
        mode = stat.S_IMODE(about.st_mode)
        raise OSError(f"{folder} must be our own with mode 0700, it has {mode:04o}")
    if path.exists():
        if not stat.S_ISSOCK(path.lstat().st_mode):
            raise OSError(f"{path} exists and is no socket")
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.settimeout(1.0)
            try:
                probe.connect(str(path))
            except (ConnectionRefusedError, FileNotFoundError):
                path.unlink(missing_ok=True)
            else:
                raise OSError(f"{path} is in use by another process")
    bound = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        os.fchmod(bound.fileno(), 0o600)  # before the bind, so that it is never open to others
        bound.bind(str(path))
        path.chmod(0o600)
    except OSError:
        bound.close()
        raise
    return bound
