"""What an agent has of its machine: a lock, a store, files and processes. One narrow seam, so that a simulation can
give it a machine whose disk fails and whose processes are simulated, and tests can fail each step in turn."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from signal import Signals
from typing import Protocol

from elderlock.fleet.agent_store import Store
from elderlock.fleet.supervision import limiter_process as process


class HostProcess(Protocol):
    """A live process, as an agent has it."""

    pid: int
    start_ticks: int  # the kernel's ticks

    def signal(self, number: Signals) -> None: ...

    def forget(self) -> None:
        """Watches it no more; it lives on."""


class Host:
    """The machine that this runs on."""

    def lock(self, path: Path) -> int:
        """A descriptor that holds it. Raises `BlockingIOError` where another has it, else `OSError`."""
        held = os.open(path, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(held)
            raise
        return held

    def unlock(self, held: int) -> None:
        os.close(held)

    def store(self, path: Path) -> Store:
        """Raises `StoreError`."""
        return Store(path)

    def write_private(self, path: Path, data: bytes) -> None:
        """Whole or not at all, also over a crash; after a power loss it may be the one before, as its folder is not
        synced: what has to be the last one is kept in the store. Raises `OSError`."""
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        beside = path.with_name(path.name + ".new")
        with open(beside, "wb", opener=lambda name, flags: os.open(name, flags, 0o600)) as file:
            file.write(data)
            file.flush()
            self.written(beside)
            os.fsync(file.fileno())
        self.synced(beside, path, data)
        beside.replace(path)
        self.renamed(path)

    def written(self, beside: Path) -> None:
        """A step of `write_private` is over: here and below, for hosts that fail or die between two."""

    def synced(self, beside: Path, path: Path, data: bytes) -> None: ...

    def renamed(self, path: Path) -> None: ...

    def process_start_ticks(self, pid: int) -> int:
        """When the process started; 0 where none lives under that pid."""
        return process.process_start_ticks(pid)

    def adopt(self, pid: int, started: int, ended: Callable[[], None]) -> HostProcess | None:
        """The process that was born then, or None where it is gone."""
        return process.adopt(pid, started, ended)

    def spawn(
        self, command: Sequence[str], environ: Mapping[str, str], directory: Path, log: Path, ended: Callable[[], None]
    ) -> HostProcess:
        """Raises `OSError`."""
        return process.spawn(command, environ, directory, log, ended)
