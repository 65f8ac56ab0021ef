"""A limiter on loopback sockets for the tests, with servers, discovery and clients that do as told.

Every port is the kernel's choice. Nothing waits for a length of time to prove something: tests wait for
what happened, under one generous limit that only a hang reaches.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import hiredis
import uvloop

from elderlock.net.clients import Clients
from elderlock.net.config import Config, config_of
from elderlock.net.discovery import TargetList, parse_list
from elderlock.net.gateway import Clock, Gateway

HANG = 30.0  # s
CUSTOMER = "00000000b4d65521"
T = TypeVar("T")
Answer = bytes | None
MISSING = object()


def run(test: Coroutine[Any, Any, T]) -> T:
    async def limited() -> T:
        async with asyncio.timeout(HANG):
            return await test

    return uvloop.run(limited())


async def until(true: Callable[[], bool]) -> None:
    """Waits for something to become true; the test's own limit ends a wait in vain."""
    while not true():
        await asyncio.sleep(0.002)


def facts(**limits: Any) -> dict[str, Any]:
    return {
        "ordinal": 0, "peers-total": 1, "quantum": 4.0, "zone": 0, "zones": ["a", "b"], "kinds": ["m1"],
        "membership-mode": "automatic",
        "services": [
            {"name": "lookup", "goal-time": 1200.0, "deadline": 4000.0, "effect": "free"},
            {"name": "pay", "goal-time": 1200.0, "deadline": 4000.0, "effect": "single_shot"},
        ],
        "plans": [
            {"name": "team", "price": 1.0, "quota-rate": 50.0, "burst": 100.0},
            {"name": "tiny", "price": 1.0, "quota-rate": 0.001, "burst": 1.0},
        ],
        "rules": {"drain-grace": 250.0, "cold": 9000.0, "cold-share": 0.2, "tip-multiple": 2.0,
                  "fall": 1000.0},
        "policy-limits": {"most-tries": 3, "dial-timeout": 250.0, "keepalive": 15000.0, "max-open": 2000,
                          "may-cancel": True, "max-retry-after": 500.0, **limits},
        "family-info": {"peer-intake": 100.0, "largest": 4},
    }  # fmt: skip


def raw_config(listen: str = "127.0.0.1:0", discovery: str = "127.0.0.1:1", **limits: Any) -> dict[str, Any]:
    return {
        "name": "n0", "seed": "8c1f30d27a5be964", "listen": listen, "discovery": discovery,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": facts(**limits),
    }  # fmt: skip


def target(
    uid: str, endpoint: str, state: str = "up", boot_ms: float = 0.0, **more: Any
) -> dict[str, Any]:
    return {"uid": uid, "endpoint": endpoint, "az": "a", "model": "m1", "pod_group": 0, "state": state,
            "capacity_hint": 1.0, "boot_ms": boot_ms, **more}  # fmt: skip


def terms(**changes: Any) -> str:
    values = {"c": "lookup", "t": "team", "d": 3000, "units": 1, "spread": 1, "first": 0, **changes}
    return ",".join(f"{key}={value}" for key, value in values.items() if value is not None)


class Server:
    """A server that answers each command as `behave` says: bytes, or nothing."""

    def __init__(self, behave: Callable[[list[bytes]], Awaitable[Answer]] | None = None) -> None:
        self._behave = behave
        self.commands: list[list[bytes]] = []
        self.accepted = self.lost = 0
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self.endpoint = ""

    async def start(self) -> Server:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.endpoint = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.writers.append(writer)
        parser = hiredis.Reader(notEnoughData=MISSING)
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (command := parser.gets()) is not MISSING:
                    self.commands.append(command)
                    answer = await self._behave(command) if self._behave else served(b"value")
                    if answer is not None:
                        writer.write(answer)
        except ConnectionError:
            pass
        finally:
            self.lost += 1
            writer.close()

    def reset(self) -> None:
        """Breaks all connections, as a process that dies does."""
        for writer in self.writers:
            writer.transport.abort()


def served(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$7\r\nqueue=2\r\n" % (len(value), value)


def answers(*given: Answer) -> Callable[[list[bytes]], Awaitable[Answer]]:
    """Gives one after the other, the last one again and again."""
    left = list(given)

    async def behave(command: list[bytes]) -> Answer:
        return left.pop(0) if len(left) > 1 else left[0]

    return behave


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer
        self._parser = hiredis.Reader(notEnoughData=MISSING)

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

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


class Limiter:
    """The program's parts wired as `__main__` does, with lists told by the test in place of discovery."""

    def __init__(self, **limits: Any) -> None:
        self.config: Config = config_of(raw_config(**limits))
        loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.gateway = Gateway(loop, self.config, self.clock)
        self.clients = Clients(loop, self.gateway, self.config.sockets)
        self.port = 0
        self.version = 0

    @classmethod
    async def start(cls, *servers: Server, **limits: Any) -> Limiter:
        limiter = cls(**limits)
        limiter.gateway.start()
        limiter.port = await limiter.clients.listen("127.0.0.1", 0)
        if servers:
            limiter.tell(*(target(f"s-{n}", server.endpoint) for n, server in enumerate(servers)))
        return limiter

    def tell(self, *targets: dict[str, Any], complete: bool = True) -> None:
        self.version += 1
        raw = {"rev": self.version, "all": complete, "targets": list(targets)}
        listed: TargetList = parse_list(raw, self.config.socket_settings)
        self.gateway.listed(listed)

    async def client(self) -> Client:
        return await Client.connect(self.port)


class Discovery:
    """An agent that gives the whole list and holds watches open, which the test writes lines to."""

    def __init__(self, whole: dict[str, Any]) -> None:
        self.whole = whole
        self.asked: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.waiting: list[asyncio.StreamWriter] = []
        self.muted = False  # takes what it is asked and says nothing
        self.lost = 0
        self._server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = ("127.0.0.1", self._server.sockets[0].getsockname()[1])
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                path = line.split()[1].decode()
                self.asked.append(path)
                if "watch=1" in path:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self.watches.append(writer)
                else:
                    self.waiting.append(writer)
                    if not self.muted:
                        self.answer()
        except ConnectionError:
            pass
        finally:
            self.lost += 1

    def answer(self) -> None:
        body = json.dumps(self.whole).encode()
        for writer in self.waiting:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.waiting.clear()

    def say(self, line: bytes) -> None:
        self.watches[-1].write(b"%x\r\n%b\r\n" % (len(line), line))


def unix_ms() -> float:
    return time.time() * 1000.0
