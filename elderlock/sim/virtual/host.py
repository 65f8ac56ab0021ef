"""A simulated machine as an agent has it: processes of the simulation, and a disk that fails on command."""

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
from elderlock.sim.virtual.network import Faults
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine, Process, context_of

Spawn = Callable[[Machine, Mapping[str, str]], Process]


class _Lock:
    """Given back by the kernel when its process ends."""

    def __init__(self, held: int) -> None:
        self._held = held

    def killed(self) -> None:
        os.close(self._held)


class _OpenStore:
    """The store's file as a killed process leaves it: what was committed is there."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def killed(self) -> None:
        self._store.close()


class WatchedProcess:
    """A simulated process as its agent has it."""

    def __init__(self, process: Process, signal: Callable[[Process, int], None], ended: Callable[[], None]) -> None:
        self.pid, self.start_ticks = process.pid, process.pid  # pids are not used twice
        self._process, self._signal, self._ended = process, signal, ended
        self._watcher, self._loop = CURRENT_PROCESS.get(), asyncio.get_running_loop()
        process.on_exit.append(self._exited)

    def _exited(self) -> None:
        watcher = self._watcher
        if watcher is not None and watcher.alive:
            # as a pidfd would: the agent hears of it in its own turn
            self._loop.call_soon(self._ended, context=context_of(watcher))

    def signal(self, number: Signals) -> None:
        self._signal(self._process, number)

    def forget(self) -> None:
        if self._exited in self._process.on_exit:
            self._process.on_exit.remove(self._exited)


class SimHost(Host):
    """The machine's `disk_failure`, or a failing step of `faults`, says what its disk does wrong: `full`, `error`, and
    for the store `locked`."""

    def __init__(
        self,
        machine: Machine,
        faults: Faults,
        spawn: Spawn,
        processes: dict[int, Process],
        signal: Callable[[Process, int], None],
    ) -> None:
        self._machine, self._faults, self._spawn = machine, faults, spawn
        self._processes, self._signal = processes, signal
        self._locks: dict[int, _Lock] = {}

    def _disk(self, kind: str) -> str:
        return self._machine.disk_failure or self._faults.at(kind, CURRENT_PROCESS.get())

    def lock(self, path: Path) -> int:
        held = super().lock(path)
        process = CURRENT_PROCESS.get()
        if process is not None:
            self._locks[held] = lock = _Lock(held)
            process.resources[lock] = None
        return held

    def unlock(self, held: int) -> None:
        lock, process = self._locks.pop(held, None), CURRENT_PROCESS.get()
        if lock is not None and process is not None:
            process.resources.pop(lock, None)
        super().unlock(held)

    def store(self, path: Path) -> Store:
        host = self

        class Failing(sqlite3.Connection):
            def execute(self, sql: str, *given: Any) -> sqlite3.Cursor:
                if sql.startswith(("INSERT", "UPDATE", "DELETE", "COMMIT", "BEGIN")):
                    match host._disk("sqlite"):
                        case "full" | "disk-full":
                            raise sqlite3.OperationalError("database or disk is full")
                        case "error" | "disk-error":
                            raise sqlite3.OperationalError("disk I/O error")
                        case "locked":
                            raise sqlite3.OperationalError("database is locked")
                return super().execute(sql, *given)

        store = Store(path, Failing)
        process = CURRENT_PROCESS.get()
        if process is not None:
            process.resources[_OpenStore(store)] = None
        return store

    def write_private(self, path: Path, data: bytes) -> None:
        match self._disk("file"):
            case "full" | "disk-full":
                raise OSError(errno.ENOSPC, "No space left on device")
            case "error" | "disk-error":
                raise OSError(errno.EIO, "Input/output error")
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        beside = path.with_name(path.name + ".new")
        beside.write_bytes(data)  # no fsync: the machine that this runs on is not the one that fails
        beside.replace(path)

    def process_start_ticks(self, pid: int) -> int:
        process = self._processes.get(pid)
        return pid if process is not None and process.alive else 0

    def adopt(self, pid: int, started: int, ended: Callable[[], None]) -> WatchedProcess | None:
        process = self._processes.get(pid)
        if process is None or not process.alive or started != pid:
            return None
        return WatchedProcess(process, self._signal, ended)

    def spawn(
        self, command: Sequence[str], environ: Mapping[str, str], directory: Path, log: Path, ended: Callable[[], None]
    ) -> WatchedProcess:
        if self._faults.at("spawn", CURRENT_PROCESS.get()):
            raise OSError(errno.EAGAIN, "Resource temporarily unavailable")
        return WatchedProcess(self._spawn(self._machine, environ), self._signal, ended)
