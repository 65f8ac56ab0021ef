"""A fake Redis server with the commands that a counter needs, alone or as a node of a cluster with slots.

It runs the one script that adds an amount, sets a lifetime and returns the total. Fault injection covers redirects,
lost scripts, a failover that loses the last writes, loading, silence and resets (`Listener.fail`).
"""

from __future__ import annotations

import asyncio
import binascii
import hashlib
from collections.abc import Sequence

import hiredis

from elderlock.standins.listener import Listener, ListeningPort
from elderlock.standins.servers import MISSING
from elderlock.standins.waiting import unix_ms

SLOTS = 16384


def slot_of(key: bytes) -> int:
    """Returns the slot of a key: CRC16 (XMODEM) of the key or of its hash tag, as the cluster specification defines."""
    begin = key.find(b"{")
    end = key.find(b"}", begin + 1)
    if begin >= 0 and end > begin + 1:
        key = key[begin + 1 : end]
    return binascii.crc_hqx(key, 0) % SLOTS


def bulk(value: bytes) -> bytes:
    """Encodes a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def array(parts: Sequence[bytes]) -> bytes:
    """Encodes a RESP array of elements that are already encoded."""
    return b"*%d\r\n" % len(parts) + b"".join(parts)


class RedisServer(Listener):
    """A Redis server.

    Attributes:
        totals: The total of each name and when it expires (Unix ms).
        scripts: The SHA-1 digests of the loaded scripts.
        calls: The number of script runs that changed a total.
        loading: Whether scripts fail with `LOADING`.
        cluster: The cluster, or None for a server of its own.
        redirected: The number of calls answered with `MOVED`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.scripts: set[str] = set()
        self.calls = 0
        self.loading = False
        self.cluster: RedisCluster | None = None
        self.redirected = 0

    def lose(self) -> None:
        """Deletes all totals."""
        self.totals.clear()

    def start_anew(self) -> None:
        """Simulates a restart of the process: totals, scripts and connections are lost."""
        self.totals.clear()
        self.scripts.clear()
        self.reset()

    async def serve(self, port: ListeningPort, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the commands of one connection until the client closes it."""
        parser = hiredis.Reader(notEnoughData=MISSING)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                port.write(writer, self._answer(command))

    def _answer(self, command: list[bytes]) -> bytes:
        verb, arguments = command[0].upper(), command[1:]
        match verb:
            case b"PING":
                return b"+PONG\r\n"
            case b"CLIENT" | b"SELECT" | b"READONLY":
                return b"+OK\r\n"
            case b"SCRIPT" if len(arguments) == 2 and arguments[0].upper() == b"LOAD":
                sha = hashlib.sha1(arguments[1]).hexdigest()
                self.scripts.add(sha)
                return bulk(sha.encode())
            case b"CLUSTER" if arguments and arguments[0].upper() == b"SLOTS":
                return self.cluster.slots() if self.cluster else b"-ERR This instance has cluster support disabled\r\n"
            case b"COMMAND":
                return array([])
            case b"EVALSHA" if len(arguments) == 5 and arguments[1] == b"1":
                return self._run(arguments[0].decode(), arguments[2], arguments[3], arguments[4])
        return b"-ERR unknown command\r\n"

    def _run(self, sha: str, key: bytes, amount: bytes, lifetime_ms: bytes) -> bytes:
        if self.loading:
            return b"-LOADING Redis is loading the dataset in memory\r\n"
        if self.cluster is not None and (moved := self.cluster.moved(self, key)):
            self.redirected += 1
            return moved
        if sha not in self.scripts:
            return b"-NOSCRIPT No matching script. Please use EVAL.\r\n"
        now = unix_ms()
        total, expires_at = self.totals.get(key, (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + float(lifetime_ms)
        self.totals[key] = total + float(amount), expires_at
        self.calls += 1
        return bulk(b"%.17g" % (total + float(amount)))


class RedisCluster:
    """Servers among which the slots are divided evenly.

    Attributes:
        servers: The servers.
        owner: The number of the server that holds each slot.
    """

    def __init__(self, count: int) -> None:
        self.servers = [RedisServer() for _ in range(count)]
        self.owner = [slot * count // SLOTS for slot in range(SLOTS)]
        for server in self.servers:
            server.cluster = self

    async def open(self) -> RedisCluster:
        """Starts all servers and returns the cluster itself."""
        for server in self.servers:
            await server.open()
        return self

    async def close(self) -> None:
        """Stops all servers."""
        for server in self.servers:
            await server.close()

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The host and port of each server."""
        return [("127.0.0.1", server.ports[0].port) for server in self.servers]

    def slots(self) -> bytes:
        """Returns the reply to `CLUSTER SLOTS`."""
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
        """Returns the `MOVED` error for a key that another server holds, or nothing if `server` holds it."""
        slot = slot_of(key)
        if self.servers[self.owner[slot]] is server:
            return b""
        return b"-MOVED %d %s:%d\r\n" % (slot, *self._address(slot))

    def _address(self, slot: int) -> tuple[bytes, int]:
        host, port = self.addresses[self.owner[slot]]
        return host.encode(), port

    def move(self, to: int, slots: range) -> None:
        """Moves slots, and the totals that belong to them, to the server with the number `to`."""
        for slot in slots:
            self.owner[slot] = to
        for server in self.servers:
            for key in [key for key in server.totals if self.servers[self.owner[slot_of(key)]] is not server]:
                self.servers[self.owner[slot_of(key)]].totals[key] = server.totals.pop(key)

    def fail_over(self, number: int, replicated: dict[bytes, tuple[float, float]]) -> None:
        """Replaces a server by a replica that holds only the totals `replicated`."""
        self.servers[number].totals = dict(replicated)
        self.servers[number].reset()
