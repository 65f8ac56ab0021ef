"""The real limiter in a folder of its own, for tests of what its operators' file switches on."""

import asyncio
import json
import os
import random
import sys
from pathlib import Path

from elderlock.control import messages as m
from elderlock.control.request_client import RequestClient
from elderlock.spawning import spawn
from elderlock.standins.boxes import Server
from elderlock.standins.clients import Client
from elderlock.standins.settings import raw_config, target
from elderlock.standins.world import ROOT, free_address, own_host


class Program:
    """`python -m elderlock` with an operators' file, in a folder of its own."""

    def __init__(self, folder: Path, *servers: Server) -> None:
        self.folder, self.socket = folder, folder / "run" / "n0.sock"
        self.address = free_address(own_host(random.SystemRandom()))
        known = {"rev": 1, "all": True, "targets": [target(f"s-{n}", s.endpoint) for n, s in enumerate(servers)]}
        raw = {**raw_config(self.address), "known": known}
        (folder / "config.json").write_text(json.dumps(raw))
        self.operators = folder / "operators.toml"
        self.operators.write_text(f'[control]\nsocket = "{self.socket}"\nrecords = "{folder}/records"\n')
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> asyncio.subprocess.Process:
        self.process = await spawn(
            sys.executable,
            "-B",
            "-m",
            "elderlock",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "PROXY_CONFIG": str(self.folder / "config.json"),
                "ELDERLOCK_OPERATORS": str(self.operators),
            },
        )
        return self.process

    async def caller(self, epoch: int = 1) -> RequestClient[m.FromLimiter]:
        while True:
            caller: RequestClient[m.FromLimiter] = RequestClient(m.decode_answer, m.MAXIMUM_MESSAGE_BYTES)
            try:
                await caller.connect_unix(self.socket)
                break
            except (FileNotFoundError, ConnectionRefusedError):
                await asyncio.sleep(0.01)
        assert isinstance(await caller.request(m.Hello((m.PROTOCOL_VERSION,), "a", epoch), 10.0), m.Welcome)
        return caller

    async def client(self) -> Client:
        host, _, port = self.address.rpartition(":")
        while True:
            try:
                return Client(*await asyncio.open_connection(host, int(port)))
            except OSError:
                await asyncio.sleep(0.01)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def look(caller: RequestClient[m.FromLimiter]) -> m.LimiterState:
    state = await caller.request(m.GetState(caller.next_request_id()), 10.0)
    assert isinstance(state, m.LimiterState)
    return state
