"""A client of a limiter that sends the commands of a test and returns each answer unchanged."""

from __future__ import annotations

import asyncio
from typing import Any

import hiredis

from elderlock.standins.servers import MISSING
from elderlock.standins.settings import CUSTOMER, terms


class Client:
    """One connection to a limiter.

    Attributes:
        writer: The connection's write side, with which a test can send raw bytes.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer
        self._parser = hiredis.Reader(notEnoughData=MISSING)

    @classmethod
    async def connect(cls, port: int, host: str = "127.0.0.1") -> Client:
        """Opens a connection to the limiter at `host` and `port`."""
        return cls(*await asyncio.open_connection(host, port))

    def send(self, *parts: str) -> None:
        """Sends one command."""
        packed: bytes = hiredis.pack_command(tuple(parts))  # type: ignore[arg-type]
        self.writer.write(packed)

    def read(self, name: str, **changes: Any) -> None:
        """Sends a read request without waiting for its answer.

        Args:
            name: The id of the request.
            **changes: Terms that differ from the defaults of `settings.terms`.
        """
        self.send("API.READ", CUSTOMER, name, terms(**changes))

    async def answer(self) -> Any:
        """Waits for the next answer and returns it, or None if the connection has ended."""
        while (answer := self._parser.gets()) is MISSING:
            data = await self._reader.read(65536)
            if not data:
                return None
            self._parser.feed(data)
        return answer

    async def ask(self, name: str, **changes: Any) -> Any:
        """Sends a read request as `read` does and returns the next answer."""
        self.read(name, **changes)
        return await self.answer()

    def close(self) -> None:
        """Aborts the connection."""
        self.writer.transport.abort()
