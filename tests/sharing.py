"""Real limiters on loopback that share what the operators' file says, over servers that a test holds and breaks."""

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
from elderlock.standins.boxes import MISSING, Server, served
from elderlock.standins.clients import Client
from elderlock.standins.discovery import Discovery
from elderlock.standins.listener import Door
from elderlock.standins.settings import facts, raw_config, target
from elderlock.standins.world import ROOT, free_address, own_host

PROCESSES, WARM = 8, 3
PATIENCE = 20_000.0  # ms
PLAN = {"name": "team", "quota-rate": 1e5, "burst": 1e5}


class Breaking(Server):
    """Ends a connection on a command, and that one alone: the others' commands may be on their way."""

    async def serve(self, door: Door, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader(notEnoughData=MISSING)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not MISSING:
                self.commands.append(command)
                writer.transport.abort()

    def of(self, number: int) -> int:
        """Commands that came by that limiter."""
        return sum(command[2].startswith(b"%d-" % number) for command in self.commands)


class Fleet:
    def __init__(self, folder: Path, shared: str, processes: int = PROCESSES, plan: dict[str, Any] = PLAN) -> None:
        """`shared`: what the operators' file says under that name."""
        rng = random.SystemRandom()
        self.folder, self.shared, self.count, self.plan = folder, shared, processes, plan
        self.listens = [free_address(own_host(rng)) for _ in range(processes)]
        self.addresses = [free_address(own_host(rng)) for _ in range(processes)]
        self.release = asyncio.Event()
        self.good, self.bad = [Server(self._answer) for _ in range(WARM)], Breaking()
        self.processes: list[asyncio.subprocess.Process] = []
        self.clients: list[Client] = []
        self.log_lines: list[list[str]] = [[] for _ in range(self.count)]
        self.readers: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        for server in (*self.good, self.bad):
            await server.start()
        rows = [target(f"w-{n}", server.endpoint) for n, server in enumerate(self.good)]
        self.discovery = Discovery(rows=lambda door: [*rows, target("bad", self.bad.endpoint)])
        await self.discovery.start()
        operators = self.folder / "operators.toml"
        operators.write_text(f"[shared]\n{self.shared}\n")
        for number in range(self.count):
            raw = raw_config(self.listens[number], "%s:%d" % self.discovery.address)
            raw.update(seed=secrets.token_hex(8), peers=self.addresses, peer_listen=self.addresses[number])
            # times that a busy machine does not reach: what is held here is neither late nor given up
            slow = facts(peers=True, **{"dial-timeout": PATIENCE / 4.0})
            service = {"name": "lookup", "goal-time": PATIENCE, "deadline": PATIENCE, "effect": "free"}
            raw["settings"] = {**slow, "ordinal": number, "peers-total": self.count, "services": [service]}
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
        self.clients[number].read(f"{number}-{time.monotonic_ns():x}", first=number, spread=spread, d=int(PATIENCE))

    async def ask(self, number: int, spread: int = 1) -> Any:
        self.read(number, spread)
        return await self.clients[number].answer()

    def has_ejected_bad_server(self, number: int) -> bool:
        return any("bad is left out" in line for line in self.log_lines[number])

    async def close(self) -> None:
        for client in self.clients:
            client.close()
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        await asyncio.gather(*(process.wait() for process in self.processes), *self.readers)
