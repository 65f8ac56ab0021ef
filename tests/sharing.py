"""A harness with real limiter processes on loopback that share evidence, and servers that a test delays or breaks."""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import sys
import time
from pathlib import Path
from typing import Any

import hiredis
from programs import connect_when_ready

from elderlock.spawning import spawn
from elderlock.standins.clients import Client
from elderlock.standins.discovery import Discovery
from elderlock.standins.listener import ListeningPort
from elderlock.standins.servers import MISSING, Server, served
from elderlock.standins.settings import default_settings, raw_config, target
from elderlock.standins.world import ROOT, free_address, random_loopback_host

PROCESSES, GOOD_SERVERS = 8, 3
TIMEOUT_MS = 20_000.0
PLAN = {"name": "team", "quota-rate": 1e5, "burst": 1e5}


class ConnectionBreakingServer(Server):
    """A server that aborts each connection on which a command arrives, and leaves the other connections open."""

    async def serve(self, port: ListeningPort, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader(notEnoughData=MISSING)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                self.commands.append(command)
                writer.transport.abort()

    def count_from(self, number: int) -> int:
        """Return the number of commands that were sent by a limiter."""
        return sum(command[2].startswith(b"%d-" % number) for command in self.commands)


class Fleet:
    """Limiter processes with a client each, in front of shared servers of which one breaks its connections."""

    def __init__(self, folder: Path, shared: str, processes: int = PROCESSES, plan: dict[str, Any] = PLAN) -> None:
        """Create a fleet; `shared` is the content of the `[shared]` table of the operators' file."""
        rng = random.SystemRandom()
        self.folder, self.shared, self.count, self.plan = folder, shared, processes, plan
        self.listens = [free_address(random_loopback_host(rng)) for _ in range(processes)]
        self.addresses = [free_address(random_loopback_host(rng)) for _ in range(processes)]
        self.release = asyncio.Event()
        self.good, self.bad = [Server(self._answer) for _ in range(GOOD_SERVERS)], ConnectionBreakingServer()
        self.processes: list[asyncio.subprocess.Process] = []
        self.clients: list[Client] = []
        self.log_lines: list[list[str]] = [[] for _ in range(self.count)]
        self.readers: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        for server in (*self.good, self.bad):
            await server.start()
        rows = [target(f"w-{n}", server.endpoint) for n, server in enumerate(self.good)]
        self.discovery = Discovery(rows=lambda port_index: [*rows, target("bad", self.bad.endpoint)])
        await self.discovery.start()
        operators = self.folder / "operators.toml"
        operators.write_text(f"[shared]\n{self.shared}\n")
        for number in range(self.count):
            raw = raw_config(self.listens[number], "%s:%d" % self.discovery.address)
            raw.update(seed=secrets.token_hex(8), peers=self.addresses, peer_listen=self.addresses[number])
            # long timeouts, so that requests that a test delays do not time out on a busy machine
            settings = default_settings(peers=True, **{"dial-timeout": TIMEOUT_MS / 4.0})
            service = {"name": "lookup", "goal-time": TIMEOUT_MS, "deadline": TIMEOUT_MS, "effect": "free"}
            raw["settings"] = {**settings, "ordinal": number, "peers-total": self.count, "services": [service]}
            raw["settings"]["plans"] = [self.plan]
            path = self.folder / f"{number}.json"
            path.write_text(json.dumps(raw))
            process = await spawn(
                sys.executable,
                "-B",
                "-m",
                "elderlock",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
                env={**os.environ, "PROXY_CONFIG": str(path), "ELDERLOCK_OPERATORS": str(operators)},
            )
            self.processes.append(process)
            self.readers.append(asyncio.get_running_loop().create_task(self._read(number)))
        for listen in self.listens:
            host, _, port = listen.rpartition(":")
            self.clients.append(await connect_when_ready(int(port), host))

    async def _answer(self, command: list[bytes]) -> bytes:
        await self.release.wait()
        return served(b"value")

    async def _read(self, number: int) -> None:
        stderr = self.processes[number].stderr
        assert stderr is not None
        async for line in stderr:
            self.log_lines[number].append(line.decode())

    def read(self, number: int, spread: int = 1) -> None:
        self.clients[number].read(f"{number}-{time.monotonic_ns():x}", first=number, spread=spread, d=int(TIMEOUT_MS))

    async def ask(self, number: int, spread: int = 1) -> Any:
        self.read(number, spread)
        return await self.clients[number].answer()

    def has_ejected_bad_server(self, number: int) -> bool:
        return any("bad is ejected" in line for line in self.log_lines[number])

    async def close(self) -> None:
        for client in self.clients:
            client.close()
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        await asyncio.gather(*(process.wait() for process in self.processes), *self.readers)
