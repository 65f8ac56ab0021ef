"""The asking side of framed messages: requests by id over one connection, answers in any order."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any, Generic, TypeVar, cast

import msgspec

from elderlock.control.framing import FrameDecoder, FrameError, encode_frame

M = TypeVar("M")


class NotSentError(Exception):
    """Not one byte of it was written: it is certain that it did nothing."""


class NoAnswerError(Exception):
    """It was written and no answer came: it may have been carried out, or may yet be."""


class RequestClient(asyncio.Protocol, Generic[M]):
    """One connection. `heard` gets every message, also one whose asker has given up waiting."""

    def __init__(self, decode: Callable[[bytes], M], longest: int, heard: Callable[[M], None] | None = None) -> None:
        self._decode, self._heard = decode, heard
        self._framer = FrameDecoder(longest)
        self._transport: asyncio.Transport | None = None
        self._asked: dict[int, asyncio.Future[M]] = {}
        self._last = 0
        self.disconnected = asyncio.Event()
        self.close_reason = ""

    async def connect_unix(self, path: Path) -> RequestClient[M]:
        await asyncio.get_running_loop().create_unix_connection(lambda: self, str(path))
        return self

    async def connect_tcp(self, host: str, port: int, tls: ssl.SSLContext | None) -> RequestClient[M]:
        await asyncio.get_running_loop().create_connection(lambda: self, host, port, ssl=tls)
        return self

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.close_reason = self.close_reason or (str(exc) if exc is not None else "the connection has ended")
        self.disconnected.set()
        asked, self._asked = self._asked, {}
        for future in asked.values():
            if not future.done():
                future.set_exception(NoAnswerError(self.close_reason))

    def data_received(self, data: bytes) -> None:
        try:
            messages = [self._decode(frame) for frame in self._framer.feed(data)]
        except (FrameError, msgspec.DecodeError) as error:
            self.close_reason = f"it answers what cannot be read: {error}"
            return self.close()
        for message in messages:
            if self._heard is not None:
                self._heard(message)
            future = self._asked.pop(getattr(message, "id", 0), None)
            if future is not None and not future.done():
                future.set_result(message)

    def next_request_id(self) -> int:
        self._last += 1
        return self._last

    async def request(self, message: msgspec.Struct, within: float) -> M:
        """The answer to a message (0 is the id of the first, which has none) within `within` seconds.
        Raises `NotSentError` or `NoAnswerError`."""
        transport = self._transport
        if transport is None or transport.is_closing() or self.disconnected.is_set():
            raise NotSentError(self.close_reason or "the connection has ended")
        future: asyncio.Future[M] = asyncio.get_running_loop().create_future()
        number = cast(Any, message).id if hasattr(message, "id") else 0
        self._asked[number] = future
        transport.write(encode_frame(msgspec.msgpack.encode(message)))
        try:
            async with asyncio.timeout(within):
                return await future
        except TimeoutError:
            raise NoAnswerError(f"no answer within {within:g} s") from None
        finally:
            self._asked.pop(number, None)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()
