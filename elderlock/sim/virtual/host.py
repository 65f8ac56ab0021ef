"""The host interface of an agent on a simulated machine: simulated processes, and a disk that fails on command."""

from __future__ import annotations

import asyncio
import errno
import os
import sqlite3
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from signal import Signals
from typing import Any

from elderlock.fleet.agent_store import Store
from elderlock.fleet.host import Host
from elderlock.sim.virtual.io_faults import Faults
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine, Process, context_of

# Starts a limiter's process on a machine with that environment
Spawn = Callable[[Machine, Mapping[str, str]], Process]


class _LockResource:
    """A file lock, which the kernel releases when its process ends."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def killed(self) -> None:
        os.close(self._descriptor)


class _StoreResource:
    """An open store. When its process is killed, the file keeps what was committed."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def killed(self) -> None:
        self._store.close()


class WatchedProcess:
    """A simulated process that an agent started or adopted.

    Attributes:
        pid: Its process id.
        start_ticks: Identifies the process among those with the same pid; simulated pids are never reused.
    """

    def __init__(self, process: Process, signal: Callable[[Process, int], None], ended: Callable[[], None]) -> None:
        self.pid, self.start_ticks = process.pid, process.pid
        self._process, self._signal, self._ended = process, signal, ended
        self._watcher, self._loop = CURRENT_PROCESS.get(), asyncio.get_running_loop()
        process.on_exit.append(self._exited)

    def _exited(self) -> None:
        watcher = self._watcher
        if watcher is not None and watcher.alive:
            # scheduled in the agent's process, as a readable pidfd is
            self._loop.call_soon(self._ended, context=context_of(watcher))

    def signal(self, number: Signals) -> None:
        """Sends a signal to the process."""
        self._signal(self._process, number)

    def forget(self) -> None:
        """Stops watching for the end of the process."""
        if self._exited in self._process.on_exit:
            self._process.on_exit.remove(self._exited)


class SimHost(Host):
    """The host of an agent on a simulated machine.

    The disk fails as the machine's `disk_failure` or a failing step of `faults` says: `full` or `error`, and for the
    store also `locked`.
    """

    def __init__(
        self,
        machine: Machine,
        faults: Faults,
        spawn: Spawn,
        processes: dict[int, Process],
        signal: Callable[[Process, int], None],
    ) -> None:
        """Creates the host.

        Args:
            machine: The machine.
            faults: The injected faults of input and output.
            spawn: Starts a process.
            processes: The processes of the machine, by pid.
            signal: Sends a signal to a process.
        """
        self._machine, self._faults, self._spawn = machine, faults, spawn
        self._processes, self._signal = processes, signal
        self._locks: dict[int, _LockResource] = {}

    def _disk_failure(self, kind: str) -> str:
        return self._machine.disk_failure or self._faults.at(kind, CURRENT_PROCESS.get())

    def lock(self, path: Path) -> int:
        """Locks the file and makes the lock a resource of the current process."""
        descriptor = super().lock(path)
        process = CURRENT_PROCESS.get()
        if process is not None:
            self._locks[descriptor] = lock = _LockResource(descriptor)
            process.resources[lock] = None
        return descriptor

    def unlock(self, descriptor: int) -> None:
        """Releases the lock."""
        lock, process = self._locks.pop(descriptor, None), CURRENT_PROCESS.get()
        if lock is not None and process is not None:
            process.resources.pop(lock, None)
        super().unlock(descriptor)

    def store(self, path: Path) -> Store:
        """Opens a store whose writes fail as the disk does."""
        host = self

        class FailingConnection(sqlite3.Connection):
            def execute(self, sql: str, *parameters: Any) -> sqlite3.Cursor:
                if sql.startswith(("INSERT", "UPDATE", "DELETE", "COMMIT", "BEGIN")):
                    match host._disk_failure("sqlite"):
                        case "full" | "disk-full":
                            raise sqlite3.OperationalError("database or disk is full")
                        case "error" | "disk-error":
                            raise sqlite3.OperationalError("disk I/O error")
                        case "locked":
                            raise sqlite3.OperationalError("database is locked")
                return super().execute(sql, *parameters)

        store = Store(path, FailingConnection)
        process = CURRENT_PROCESS.get()
        if process is not None:
            process.resources[_StoreResource(store)] = None
        return store

    def write_private(self, path: Path, data: bytes) -> None:
        """Replaces a file atomically, unless the disk fails."""
        match self._disk_failure("file"):
            case "full" | "disk-full":
                raise OSError(errno.ENOSPC, "No space left on device")
            case "error" | "disk-error":
                raise OSError(errno.EIO, "Input/output error")
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        temporary = path.with_name(path.name + ".new")
        temporary.write_bytes(data)  # no fsync, as the simulation never crashes the real machine
        temporary.replace(path)

    def process_start_ticks(self, pid: int) -> int:
        """Returns the identity of a live process, or 0."""
        process = self._processes.get(pid)
        return pid if process is not None and process.alive else 0

    def adopt(self, pid: int, started: int, ended: Callable[[], None]) -> WatchedProcess | None:
        """Watches a live process that an earlier agent started; None if it does not exist any more."""
        process = self._processes.get(pid)
        if process is None or not process.alive or started != pid:
            return None
        return WatchedProcess(process, self._signal, ended)

    def spawn(
        self, command: Sequence[str], environ: Mapping[str, str], directory: Path, log: Path, ended: Callable[[], None]
    ) -> WatchedProcess:
        """Starts a simulated process; raises `OSError` where a fault is injected."""
        if self._faults.at("spawn", CURRENT_PROCESS.get()):
            raise OSError(errno.EAGAIN, "Resource temporarily unavailable")
        return WatchedProcess(self._spawn(self._machine, environ), self._signal, ended)
