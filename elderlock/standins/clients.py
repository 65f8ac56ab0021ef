"""A client of a limiter that sends what it is told to and gives each answer as it came."""

from __future__ import annotations

import asyncio
from typing import Any

import hiredis

from elderlock.standins.servers import MISSING
from elderlock.standins.settings import CUSTOMER, terms


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer
        self._parser = hiredis.Reader(notEnoughData=MISSING)

    @classmethod
    async def connect(cls, port: int, host: str = "127.0.0.1") -> Client:
        return cls(*await asyncio.open_connection(host, port))

    def send(self, *parts: str) -> None:
        packed: bytes = hiredis.pack_command(tuple(parts))  # type: ignore[arg-type]
        self.writer.write(packed)

    def read(self, name: str, **changes: Any) -> None:
        self.send("API.READ", CUSTOMER, name, terms(**changes))

    async def answer(self) -> Any:
        """The next answer, or None where the connection has ended."""
        while (answer := self._parser.gets()) is MISSING:
            data = await self._reader.read(65536)
            if not data:
                return None
            self._parser.feed(data)
        return answer

    async def ask(self, name: str, **changes: Any) -> Any:
        self.read(name, **changes)
        return await self.answer()

    def close(self) -> None:
        self.writer.transport.abort()
