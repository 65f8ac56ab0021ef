"""A server that speaks as much of the Redis protocol as a counter needs, alone or as one of a cluster with slots.

It runs the one script that adds, sets a life and returns the total, and breaks on command: redirects, scripts
forgotten, a failover that loses the last writes, loading, silence and resets (`Listener.fail`).
"""

from __future__ import annotations

import asyncio
import binascii
import hashlib
from collections.abc import Sequence

import hiredis

from elderlock.standins.listener import Door, Listener
from elderlock.standins.servers import MISSING
from elderlock.standins.waiting import unix_ms

SLOTS = 16384


def slot_of(key: bytes) -> int:
    """CRC16 (XMODEM) of the key, or of its hash tag, as the cluster specification has it."""
    begin = key.find(b"{")
    end = key.find(b"}", begin + 1)
    if begin >= 0 and end > begin + 1:
        key = key[begin + 1 : end]
    return binascii.crc_hqx(key, 0) % SLOTS


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def array(parts: Sequence[bytes]) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(parts)


class RedisServer(Listener):
    """`totals`: what each name holds and when it ends (Unix ms). `calls` counts runs of the script."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.scripts: set[str] = set()
        self.calls = 0
        self.loading = False
        self.cluster: RedisCluster | None = None
        self.redirected = 0

    def lose(self) -> None:
        self.totals.clear()

    def start_anew(self) -> None:
        """As its process would: counts, scripts and connections are gone."""
        self.totals.clear()
        self.scripts.clear()
        self.reset()

    async def serve(self, door: Door, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader(notEnoughData=MISSING)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                door.write(writer, self._answer(command))

    def _answer(self, command: list[bytes]) -> bytes:
        verb, rest = command[0].upper(), command[1:]
        match verb:
            case b"PING":
                return b"+PONG\r\n"
            case b"CLIENT" | b"SELECT" | b"READONLY":
                return b"+OK\r\n"
            case b"SCRIPT" if len(rest) == 2 and rest[0].upper() == b"LOAD":
                sha = hashlib.sha1(rest[1]).hexdigest()
                self.scripts.add(sha)
                return bulk(sha.encode())
            case b"CLUSTER" if rest and rest[0].upper() == b"SLOTS":
                return self.cluster.slots() if self.cluster else b"-ERR This instance has cluster support disabled\r\n"
            case b"COMMAND":
                return array([])
            case b"EVALSHA" if len(rest) == 5 and rest[1] == b"1":
                return self._run(rest[0].decode(), rest[2], rest[3], rest[4])
        return b"-ERR unknown command\r\n"

    def _run(self, sha: str, key: bytes, amount: bytes, life: bytes) -> bytes:
        if self.loading:
            return b"-LOADING Redis is loading the dataset in memory\r\n"
        if self.cluster is not None and (moved := self.cluster.moved(self, key)):
            self.redirected += 1
            return moved
        if sha not in self.scripts:
            return b"-NOSCRIPT No matching script. Please use EVAL.\r\n"
        now = unix_ms()
        total, ends = self.totals.get(key, (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + float(life)
        self.totals[key] = total + float(amount), ends
        self.calls += 1
        return bulk(b"%.17g" % (total + float(amount)))


class RedisCluster:
    """Servers that share the slots evenly; `move` gives a range to another, `fail_over` puts a replica with older
    counts in a server's place."""

    def __init__(self, count: int) -> None:
        self.servers = [RedisServer() for _ in range(count)]
        self.owner = [n * count // SLOTS for n in range(SLOTS)]
        for server in self.servers:
            server.cluster = self

    async def open(self) -> RedisCluster:
        for server in self.servers:
            await server.open()
        return self

    async def close(self) -> None:
        for server in self.servers:
            await server.close()

    @property
    def addresses(self) -> list[tuple[str, int]]:
        return [("127.0.0.1", server.doors[0].port) for server in self.servers]

    def slots(self) -> bytes:
        rows, begin = [], 0
        for slot in range(1, SLOTS + 1):
            if slot == SLOTS or self.owner[slot] != self.owner[begin]:
                number = self.owner[begin]
                host, port = self.addresses[number]
                node = array([bulk(host.encode()), b":%d\r\n" % port, bulk(b"%040d" % number), array([])])
                rows.append(array([b":%d\r\n" % begin, b":%d\r\n" % (slot - 1), node]))
                begin = slot
        return array(rows)

    def moved(self, server: RedisServer, key: bytes) -> bytes:
        slot = slot_of(key)
        if self.servers[self.owner[slot]] is server:
            return b""
        return b"-MOVED %d %s:%d\r\n" % (slot, *self._address(slot))

    def _address(self, slot: int) -> tuple[bytes, int]:
        host, port = self.addresses[self.owner[slot]]
        return host.encode(), port

    def move(self, to: int, slots: range) -> None:
        """With the names that lie on them."""
        for slot in slots:
            self.owner[slot] = to
        for server in self.servers:
            for key in [key for key in server.totals if self.servers[self.owner[slot_of(key)]] is not server]:
                self.servers[self.owner[slot_of(key)]].totals[key] = server.totals.pop(key)

    def fail_over(self, number: int, kept: dict[bytes, tuple[float, float]]) -> None:
        """A replica that had heard of `kept` and nothing since takes its place."""
        self.servers[number].totals = dict(kept)
        self.servers[number].reset()
