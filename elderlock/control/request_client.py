"""A client for framed messages: sends requests with ids over one connection and matches the answers by id."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any, Generic, TypeVar, cast

import msgspec

from elderlock.control.framing import FrameDecoder, FrameError, encode_frame

MessageType = TypeVar("MessageType")


class NotSentError(Exception):
    """The request was not written, so it had no effect."""


class NoAnswerError(Exception):
    """The request was written but not answered: it may have had its effect, or may still have it."""


class RequestClient(asyncio.Protocol, Generic[MessageType]):
    """A connection to a server of framed messages.

    Attributes:
        disconnected: Set once the connection has ended.
        close_reason: Why it ended, for display.
    """

    def __init__(
        self,
        decode: Callable[[bytes], MessageType],
        maximum_message_bytes: int,
        on_message: Callable[[MessageType], None] | None = None,
    ) -> None:
        """Initialise a client that is not connected yet.

        Args:
            decode: Decodes the body of a message; raises `msgspec.DecodeError`.
            maximum_message_bytes: The maximum size of a message.
            on_message: Called with each message, including the answer to a request that has timed out.
        """
        self._decode = decode
        self._on_message = on_message
        self._frames = FrameDecoder(maximum_message_bytes)
        self._transport: asyncio.Transport | None = None
        self._pending: dict[int, asyncio.Future[MessageType]] = {}
        self._last_id = 0
        self.disconnected = asyncio.Event()
        self.close_reason = ""

    async def connect_unix(self, path: Path) -> RequestClient[MessageType]:
        """Connect to a Unix socket; return this client."""
        await asyncio.get_running_loop().create_unix_connection(lambda: self, str(path))
        return self

    async def connect_tcp(self, host: str, port: int, tls: ssl.SSLContext | None) -> RequestClient[MessageType]:
        """Connect to a TCP port; return this client."""
        await asyncio.get_running_loop().create_connection(lambda: self, host, port, ssl=tls)
        return self

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all pending requests; called by asyncio."""
        self.close_reason = self.close_reason or (str(exc) if exc is not None else "the connection has ended")
        self.disconnected.set()
        pending = self._pending
        self._pending = {}
        for future in pending.values():
            if not future.done():
                future.set_exception(NoAnswerError(self.close_reason))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; called by asyncio."""
        try:
            messages = [self._decode(frame) for frame in self._frames.feed(data)]
        except (FrameError, msgspec.DecodeError) as error:
            self.close_reason = f"received a message that cannot be decoded: {error}"
            self.close()
            return
        for message in messages:
            if self._on_message is not None:
                self._on_message(message)
            future = self._pending.pop(getattr(message, "id", 0), None)
            if future is not None and not future.done():
                future.set_result(message)

    def next_request_id(self) -> int:
        """Return an id for a new request."""
        self._last_id += 1
        return self._last_id

    async def request(self, message: msgspec.Struct, timeout_s: float) -> MessageType:
        """Send a request and return its answer; the first message of a connection has no id and counts as 0.

        Raises:
            NotSentError: The connection had already ended.
            NoAnswerError: There was no answer within `timeout_s`, or before the connection ended.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or self.disconnected.is_set():
            raise NotSentError(self.close_reason or "the connection has ended")
        future: asyncio.Future[MessageType] = asyncio.get_running_loop().create_future()
        request_id = cast(Any, message).id if hasattr(message, "id") else 0
        self._pending[request_id] = future
        transport.write(encode_frame(msgspec.msgpack.encode(message)))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise NoAnswerError(f"no answer within {timeout_s:g} s") from None
        finally:
            self._pending.pop(request_id, None)

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()
