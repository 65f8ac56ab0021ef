"""Helpers for tests that run the limiter as a process."""

import asyncio
import json
import os
import random
import socket
import sys
from pathlib import Path
from typing import Any

from elderlock.control import messages
from elderlock.control.request_client import RequestClient
from elderlock.interface import AttemptEnded, Event, Outcome
from elderlock.spawning import spawn
from elderlock.standins.clients import Client
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server
from elderlock.standins.settings import raw_config, target
from elderlock.standins.world import ROOT, free_address, random_loopback_host


def free_port() -> int:
    """Return a loopback port that is currently free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def raw_config_with_deadline(listen: str, discovery: str, deadline_ms: float) -> dict[str, Any]:
    """Return a configuration whose classes all have this deadline, and an objective that no answer misses."""
    raw = raw_config(listen, discovery)
    for service in raw["settings"]["services"]:
        service.update({"deadline": deadline_ms, "goal-time": 20000.0})
    return raw


async def start_program(path: Path, raw: dict[str, Any]) -> asyncio.subprocess.Process:
    """Write a configuration and start `python -m elderlock` with it."""
    path.write_text(json.dumps(raw))
    return await spawn(
        sys.executable,
        "-B",
        "-m",
        "elderlock",
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )


async def connect_when_ready(port: int, host: str = "127.0.0.1") -> Client:
    """Connect to the program once it answers PING with PONG, as its load balancer checks."""
    while True:
        try:
            client = await Client.connect(port, host)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        client.send("PING")
        if await client.answer() == b"PONG":  # not an error, and not the end of a connection that was shut unread
            return client
        client.close()


class Program:
    """`python -m elderlock` with an operators' file that has `[control]`, in its own directory."""

    def __init__(self, folder: Path, *servers: Server) -> None:
        self.folder, self.socket = folder, folder / "run" / "n0.sock"
        self.address = free_address(random_loopback_host(random.SystemRandom()))
        cached_list = {
            "rev": 1,
            "all": True,
            "targets": [target(f"s-{index}", server.endpoint) for index, server in enumerate(servers)],
        }
        raw = {**raw_config(self.address), "known": cached_list}
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

    async def connect_control(self, epoch: int = 1) -> RequestClient[messages.FromLimiter]:
        """Connect to the control socket as agent `a` once it is open."""
        while True:
            caller: RequestClient[messages.FromLimiter] = RequestClient(
                messages.decode_answer, messages.MAXIMUM_MESSAGE_BYTES
            )
            try:
                await caller.connect_unix(self.socket)
                break
            except (FileNotFoundError, ConnectionRefusedError):
                await asyncio.sleep(0.01)
        assert isinstance(
            await caller.request(messages.Hello((messages.PROTOCOL_VERSION,), "a", epoch), 10.0), messages.Welcome
        )
        return caller

    async def client(self) -> Client:
        """Connect a client once the limiter listens."""
        host, _, port = self.address.rpartition(":")
        while True:
            try:
                return Client(*await asyncio.open_connection(host, int(port)))
            except OSError:
                await asyncio.sleep(0.01)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def get_limiter_state(caller: RequestClient[messages.FromLimiter]) -> messages.LimiterState:
    state = await caller.request(messages.GetState(caller.next_request_id()), 10.0)
    assert isinstance(state, messages.LimiterState)
    return state


def record_outcomes(limiter: Limiter) -> list[Outcome]:
    """Return a list that collects the outcomes of attempts reported to the limiter from now on."""
    outcomes: list[Outcome] = []
    handle = limiter.gateway._limiter.handle

    def record(event: Event, now_ms: float) -> list[object]:
        if isinstance(event, AttemptEnded):
            outcomes.append(event.outcome)
        return handle(event, now_ms)  # type: ignore[return-value]

    limiter.gateway._limiter.handle = record  # type: ignore[method-assign,assignment]
    return outcomes
