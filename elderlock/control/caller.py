"""The asking side of framed messages: requests by id over one connection, answers in any order."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any, Generic, TypeVar, cast

import msgspec

from elderlock.control.framing import FrameError, Framer, framed

M = TypeVar("M")


class NotSentError(Exception):
    """Not one byte of it was written: it is certain that it did nothing."""


class NoAnswerError(Exception):
    """It was written and no answer came: it may have been carried out, or may yet be."""


class Caller(asyncio.Protocol, Generic[M]):
    """One connection. `heard` gets every message, also one whose asker has given up waiting."""

    def __init__(self, decode: Callable[[bytes], M], longest: int, heard: Callable[[M], None] | None = None) -> None:
        self._decode, self._heard = decode, heard
        self._framer = Framer(longest)
        self._transport: asyncio.Transport | None = None
        self._asked: dict[int, asyncio.Future[M]] = {}
        self._last = 0
        self.lost = asyncio.Event()
        self.why = ""

    async def unix(self, path: Path) -> Caller[M]:
        await asyncio.get_running_loop().create_unix_connection(lambda: self, str(path))
        return self

    async def tcp(self, host: str, port: int, tls: ssl.SSLContext | None) -> Caller[M]:
        await asyncio.get_running_loop().create_connection(lambda: self, host, port, ssl=tls)
        return self

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.why = self.why or (str(exc) if exc is not None else "the connection has ended")
        self.lost.set()
        asked, self._asked = self._asked, {}
        for future in asked.values():
            if not future.done():
                future.set_exception(NoAnswerError(self.why))

    def data_received(self, data: bytes) -> None:
        try:
            messages = [self._decode(frame) for frame in self._framer.feed(data)]
        except (FrameError, msgspec.DecodeError) as error:
            self.why = f"it answers what cannot be read: {error}"
            return self.close()
        for message in messages:
            if self._heard is not None:
                self._heard(message)
            future = self._asked.pop(getattr(message, "id", 0), None)
            if future is not None and not future.done():
                future.set_result(message)

    def next_id(self) -> int:
        self._last += 1
        return self._last

    async def ask(self, message: msgspec.Struct, within: float) -> M:
        """The answer to a message (0 is the id of the first, which has none) within `within` seconds.
        Raises `NotSentError` or `NoAnswerError`."""
        transport = self._transport
        if transport is None or transport.is_closing() or self.lost.is_set():
            raise NotSentError(self.why or "the connection has ended")
        future: asyncio.Future[M] = asyncio.get_running_loop().create_future()
        number = cast(Any, message).id if hasattr(message, "id") else 0
        self._asked[number] = future
        transport.write(framed(msgspec.msgpack.encode(message)))
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
