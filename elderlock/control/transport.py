"""A server of framed messages on a Unix socket or a TCP port.

Message sizes, the number of connections and waiting times are limited: garbage, incomplete messages, slow readers or a
thousand connections use little memory and are disconnected.
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

SessionType = TypeVar("SessionType")
CHECKS_PER_HELLO_TIMEOUT = 4
DIRECTORY_MODE = 0o700
SOCKET_MODE = 0o600
PROBE_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The limits on the connections of a server.

    Attributes:
        maximum_message_bytes: The maximum size of a message.
        maximum_hello_bytes: The maximum size of the first message, which identifies the peer.
        maximum_connections: The maximum number of connections.
        maximum_unsent_bytes: The maximum number of bytes buffered for a slow reader.
        hello_timeout_s: The timeout for the first message.
        stall_timeout_s: The timeout for the rest of a message, or for a peer to read its answers.
    """

    maximum_message_bytes: int
    maximum_hello_bytes: int
    maximum_connections: int = 64
    maximum_unsent_bytes: int = 16 << 20
    hello_timeout_s: float = 2.0
    stall_timeout_s: float = 5.0


class Connection(asyncio.Protocol, Generic[SessionType]):
    """One connection of a `FrameServer`.

    Attributes:
        server: The server.
        session: The application's state for the connection.
        is_identified: Whether the peer has identified itself.
        waiting_since_s: Loop time since which the server waits for the peer; None while it does not.
    """

    def __init__(self, server: FrameServer[SessionType]) -> None:
        self.server = server
        self.session: SessionType = server.new_session()
        self.is_identified = False
        self.waiting_since_s: float | None = server.loop.time()
        self._frames = FrameDecoder(server.limits.maximum_hello_bytes)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and count the connection; called by asyncio."""
        self._transport = cast(asyncio.Transport, transport)
        self.server.on_opened(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forget the connection; called by asyncio."""
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; called by asyncio."""
        try:
            frames = self._frames.feed(data)
        except FrameError as error:
            self.send(self.server.malformed_frame_reply(str(error)), last=True)
            return
        if self.is_identified:
            self.waiting_since_s = self.server.loop.time() if self._frames.pending_byte_count() else None
        for frame in frames:
            self.server.handle(self, frame)

    def on_identified(self) -> None:
        """Record that the peer has identified itself: from now on it may send long messages and be idle."""
        self.is_identified = True
        self.waiting_since_s = None
        self._frames.maximum_bytes = self.server.limits.maximum_message_bytes

    def send(self, body: bytes, last: bool = False) -> None:
        """Send a message; close the connection after it if it is the last."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(encode_frame(body))
        if transport.get_write_buffer_size() > self.server.limits.maximum_unsent_bytes:
            transport.abort()
        elif last:
            transport.close()

    def pause_writing(self) -> None:
        """Record that the peer does not read its answers; called by asyncio."""
        self.waiting_since_s = self.server.loop.time()

    def resume_writing(self) -> None:
        """Record that the peer reads again; called by asyncio."""
        self.waiting_since_s = None

    def check_timeout(self, now_s: float) -> None:
        """Abort the connection if the server has waited too long for the peer."""
        limits = self.server.limits
        timeout_s = limits.stall_timeout_s if self.is_identified else limits.hello_timeout_s
        if self.waiting_since_s is not None and now_s - self.waiting_since_s > timeout_s:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class FrameServer(Generic[SessionType]):
    """A server of framed messages.

    Attributes:
        loop: The event loop.
        limits: The limits on the connections.
        new_session: Creates the state of a new connection.
        handle: Called with the connection and the message for each received message.
        malformed_frame_reply: Returns the last answer to a peer that sent a malformed frame, given the error's text.
        connections: The open connections, the oldest first.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        new_session: Callable[[], SessionType],
        handle: Callable[[Connection[SessionType], bytes], None],
        malformed_frame_reply: Callable[[str], bytes],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.limits = limits
        self.new_session = new_session
        self.handle = handle
        self.malformed_frame_reply = malformed_frame_reply
        self.connections: dict[Connection[SessionType], None] = {}
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    def on_opened(self, connection: Connection[SessionType]) -> None:
        """Add a new connection.

        Above the maximum, the oldest unidentified connection is closed, so that unidentified peers cannot lock out an
        operator.
        """
        self.connections[connection] = None
        if len(self.connections) <= self.limits.maximum_connections:
            return
        unidentified = (other for other in self.connections if not other.is_identified and other is not connection)
        closed = next(unidentified, connection)
        self.connections.pop(closed, None)
        closed.abort()

    async def listen_unix(self, path: Path) -> None:
        """Listen on a Unix socket.

        Raises:
            OSError: The socket cannot be bound; see `bind_unix_socket`.
        """
        self._server = await self.loop.create_unix_server(lambda: Connection(self), sock=bind_unix_socket(path))
        self._check_timeouts()

    async def listen_tcp(self, host: str, port: int, tls: ssl.SSLContext | None) -> int:
        """Listen on a TCP port; return the port, which the kernel chooses if `port` is 0."""
        self._server = await self.loop.create_server(lambda: Connection(self), host, port, ssl=tls)
        self._check_timeouts()
        bound_port: int = self._server.sockets[0].getsockname()[1]
        return bound_port

    def _check_timeouts(self) -> None:
        interval_s = self.limits.hello_timeout_s / CHECKS_PER_HELLO_TIMEOUT
        self._timer = self.loop.call_later(interval_s, self._check_timeouts)
        now_s = self.loop.time()
        for connection in list(self.connections):
            connection.check_timeout(now_s)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


def bind_unix_socket(path: Path) -> socket.socket:
    """Bind a Unix socket with mode 0600 in a directory with mode 0700 that belongs to this user.

    A socket file left behind by a dead process is removed.

    Raises:
        OSError: The directory has another owner or mode, the path exists and is not a socket, or another process
            listens on it.
    """
    _check_directory(path.parent)
    if path.exists():
        _remove_stale_socket(path)
    bound = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        os.fchmod(bound.fileno(), SOCKET_MODE)  # before binding, so that other users can never connect
        bound.bind(str(path))
        path.chmod(SOCKET_MODE)
    except OSError:
        bound.close()
        raise
    return bound


def _check_directory(directory: Path) -> None:
    directory.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)
    status = directory.stat()
    mode = stat.S_IMODE(status.st_mode)
    if status.st_uid != os.geteuid() or mode & 0o077:
        raise OSError(
            f"{directory} must belong to this user with mode 0700: its owner is {status.st_uid}, its mode {mode:04o}"
        )


def _remove_stale_socket(path: Path) -> None:
    if not stat.S_ISSOCK(path.lstat().st_mode):
        raise OSError(f"{path} exists and is not a socket")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(PROBE_TIMEOUT_S)
        try:
            probe.connect(str(path))
        except (ConnectionRefusedError, FileNotFoundError):
            path.unlink(missing_ok=True)
        else:
            raise OSError(f"{path} is in use by another process")
