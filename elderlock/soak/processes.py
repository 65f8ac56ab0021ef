"""The limiter processes of a soak: started as the deploy file does, stopped by signals, and started again."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from elderlock.soak.clients import DEADLINE_S, Destination
from elderlock.soak.verdicts import DEDUPLICATION_WINDOW_S
from elderlock.spawning import spawn
from elderlock.standins.settings import raw_config
from elderlock.standins.world import free_address

PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
READY_POLL_S = 0.05
READY_TIMEOUT_S = 30.0
# SIGKILL may come 0.7 s after the longest deadline; the rest is for a busy machine.
KILL_AFTER_DEADLINE_S = 2.0
# So few that usual clients exceed the limit on idle connections, and more than clients hold.
DESCRIPTORS = 96
MEMORY_MB = 64


class LimiterProcess:
    """A limiter process at an address that stays the same when it is started again.

    Attributes:
        name: Its name.
        destination: Where clients connect to.
        is_serving: Whether new connections are opened to it.
    """

    def __init__(self, name: str, discovery: str, folder: Path, program_directory: Path) -> None:
        """Initialise without a process.

        Args:
            name: Its name.
            discovery: The address of discovery.
            folder: Where its configuration and log are written.
            program_directory: The checkout whose code it runs.
        """
        self.name = name
        listen = free_address("127.0.0.1")
        host, _, port = listen.rpartition(":")
        self.destination = Destination(name, host, int(port))
        self.is_serving = False
        self._config_path = folder / f"{name}.json"
        self._config_path.write_text(json.dumps(_config(name, listen, discovery)), encoding="utf-8")
        self._log_path = folder / f"{name}.log"
        self._program_directory = program_directory
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; returns once it answers PING with PONG.

        Raises:
            TimeoutError: It is not ready in time.
        """
        with self._log_path.open("ab") as log:
            self._process = await spawn(
                sys.executable,
                "-B",
                "-m",
                "elderlock",
                cwd=self._program_directory,
                env={**os.environ, "PROXY_CONFIG": str(self._config_path), "PYTHONPATH": str(self._program_directory)},
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self.is_serving:
                await asyncio.sleep(READY_POLL_S)
                self.is_serving = await self._is_ready()

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(self.destination.host, self.destination.port)
            writer.write(PING)
            line = await reader.readline()
            writer.close()
            return line == PONG
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def shut_down(self) -> int:
        """Send SIGTERM, and SIGKILL if the process has not ended by then; return its exit code."""
        assert self._process is not None
        self.send_signal(signal.SIGTERM)
        self.is_serving = False
        try:
            async with asyncio.timeout(DEADLINE_S + KILL_AFTER_DEADLINE_S):
                return await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self._process.wait()

    def kill(self) -> None:
        """Kill the process, stopped or not."""
        self.send_signal(signal.SIGKILL)

    def pid(self) -> int | None:
        """Return the pid of the process, or None if it does not run."""
        is_running = self._process is not None and self._process.returncode is None
        return self._process.pid if self._process is not None and is_running else None

    def exit_code(self) -> int | None:
        """Return the exit code of the process, or None while it runs."""
        return None if self._process is None else self._process.returncode


def _config(name: str, listen: str, discovery: str) -> dict[str, Any]:
    raw = raw_config(listen, discovery, **{"most-tries": 3})
    raw["name"] = name
    raw["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    deadline = {"goal-time": 600.0, "deadline": DEADLINE_S * 1000.0}
    raw["settings"]["services"] = [
        {"name": "lookup", "effect": "free", **deadline},
        {"name": "book", "effect": "guarded", "memory-span": DEDUPLICATION_WINDOW_S * 1000.0, **deadline},
        {"name": "pay", "effect": "single_shot", **deadline},
    ]
    raw["settings"]["plans"] = [{"name": "team", "price": 1.0, "quota-rate": 1e6, "burst": 1e6}]
    return raw
