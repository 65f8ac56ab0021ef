"""A minimal proxy as the baseline for the cost of a limiter.

It runs on uvloop, parses commands and answers with hiredis and forwards the commands to the servers in round-robin
order. Usage: `python -m elderlock.standins.minimal_proxy LISTEN SERVER...`
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import deque
from typing import cast

import hiredis
import uvloop

from elderlock.standins.servers import MISSING


class _ServerConnection(asyncio.Protocol):
    """A connection to a server, with one request in flight at a time."""

    def __init__(self, idle: list[_ServerConnection]) -> None:
        self._idle = idle
        self._parser = hiredis.Reader(notEnoughData=MISSING)
        self.transport: asyncio.Transport | None = None
        self.client: _Client | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, client: _Client, command: bytes) -> None:
        assert self.transport is not None
        self.client = client
        self.transport.write(command)

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        answer = self._parser.gets()
        if answer is MISSING or self.client is None:
            return
        client, self.client = self.client, None
        self._idle.append(self)
        if isinstance(answer, list):
            client.write(b"$%d\r\n%b\r\n" % (len(answer[0]), answer[0]))
        else:
            client.write(b"-ERR failed\r\n")


class _Client(asyncio.Protocol):
    """A connection of a client."""

    def __init__(self, floor: Floor) -> None:
        self._floor = floor
        self._parser = hiredis.Reader(notEnoughData=MISSING)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        while (command := self._parser.gets()) is not MISSING:
            if command[0] == b"PING":
                self.write(b"+PONG\r\n")
            else:
                self._floor.forward(self, hiredis.pack_command(tuple(command)))


class Floor:
    """Forwards commands to the servers in round-robin order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, servers: list[tuple[str, int]]) -> None:
        self._loop, self._servers = loop, deque(servers)
        self._idle: dict[tuple[str, int], list[_ServerConnection]] = {server: [] for server in servers}
        self._tasks: set[asyncio.Task[None]] = set()

    def forward(self, client: _Client, command: bytes) -> None:
        """Sends a command to the next server, over an idle connection if there is one."""
        server = self._servers[0]
        self._servers.rotate(-1)
        idle = self._idle[server]
        while idle:
            connection = idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection.send(client, command)
        task = self._loop.create_task(self._dial(server, client, command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, server: tuple[str, int], client: _Client, command: bytes) -> None:
        idle = self._idle[server]
        _, connection = await self._loop.create_connection(lambda: _ServerConnection(idle), *server)
        connection.send(client, command)


async def _serve(listen: str, servers: list[str]) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    addresses = [server.rpartition(":") for server in servers]
    floor = Floor(loop, [(host, int(port)) for host, _, port in addresses])
    host, _, port = listen.rpartition(":")
    await loop.create_server(lambda: _Client(floor), host, int(port), backlog=1024)
    await stop.wait()


if __name__ == "__main__":
    uvloop.run(_serve(sys.argv[1], sys.argv[2:]))
