"""The interface of an agent to its machine: locks, the store, files and processes.

The interface is narrow, so that a simulation can replace it by a machine whose disk fails and whose processes are
simulated, and tests can make each step fail in turn.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from signal import Signals
from typing import Protocol

from elderlock.fleet.agent_store import Store
from elderlock.fleet.supervision import limiter_process


class HostProcess(Protocol):
    """A running process.

    Attributes:
        pid: Its process id.
        start_ticks: When it started, in the kernel's clock ticks since boot.
    """

    pid: int
    start_ticks: int

    def signal(self, number: Signals) -> None:
        """Send a signal to the process, if it still runs."""

    def forget(self) -> None:
        """Stop watching the process, which continues to run."""


class Host:
    """The machine that this program runs on."""

    def lock(self, path: Path) -> int:
        """Lock a file and return the file descriptor that holds the lock; the file is made if it does not exist.

        Raises:
            BlockingIOError: Another process holds the lock.
            OSError: The file cannot be opened or locked.
        """
        descriptor = os.open(path, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def unlock(self, descriptor: int) -> None:
        """Release a lock."""
        os.close(descriptor)

    def store(self, path: Path) -> Store:
        """Open an agent's store.

        Raises:
            StoreError: The store cannot be opened.
        """
        return Store(path)

    def write_private(self, path: Path, data: bytes) -> None:
        """Write a file that only this user can read, atomically, also if the process crashes.

        The folder is not synced, so after a power loss the previous file may be there. Data that has to be the newest
        is written to the store instead.

        Raises:
            OSError: The file could not be written.
        """
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        temporary = path.with_name(path.name + ".new")
        with open(temporary, "wb", opener=lambda name, flags: os.open(name, flags, 0o600)) as file:
            file.write(data)
            file.flush()
            self.written(temporary)
            os.fsync(file.fileno())
        self.synced(temporary, path, data)
        temporary.replace(path)
        self.renamed(path)

    # Hooks for hosts that fail or crash between two steps of `write_private`

    def written(self, temporary: Path) -> None:
        """Do nothing; called after the temporary file was written."""

    def synced(self, temporary: Path, path: Path, data: bytes) -> None:
        """Do nothing; called after the temporary file was synced."""

    def renamed(self, path: Path) -> None:
        """Do nothing; called after the temporary file was renamed to `path`."""

    # Processes

    def process_start_ticks(self, pid: int) -> int:
        """Return when a process started, in the kernel's clock ticks since boot; 0 if no process with that pid runs."""
        return limiter_process.process_start_ticks(pid)

    def adopt(self, pid: int, start_ticks: int, on_exit: Callable[[], None]) -> HostProcess | None:
        """Watch a process that runs already; return None if the process with that start time does not run any more.

        Args:
            pid: Its process id.
            start_ticks: When it started, in the kernel's clock ticks since boot.
            on_exit: Is called once when the process exits.
        """
        return limiter_process.adopt(pid, start_ticks, on_exit)

    def spawn(
        self,
        command: Sequence[str],
        environ: Mapping[str, str],
        directory: Path,
        log: Path,
        on_exit: Callable[[], None],
    ) -> HostProcess:
        """Start a process.

        Args:
            command: The command line.
            environ: Environment variables to add to the agent's own.
            directory: The working directory.
            log: The file that standard output and standard error are appended to.
            on_exit: Is called once when the process exits.

        Raises:
            OSError: The process cannot be started.
        """
        return limiter_process.spawn(command, environ, directory, log, on_exit)
