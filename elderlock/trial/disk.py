"""The disk of an agent under test: it fails on command, and records which data would survive a power loss.

The surviving data is kept in a file beside the real ones. A file that was synced and renamed counts as durable from
the next transaction on, a transaction from its commit. After a simulated power loss the runner replaces the real files
by the durable data; the last write may be torn, so that a part of it is there as well.
"""

from __future__ import annotations

import errno
import os
import random
import shutil
import signal
import sqlite3
import time
from pathlib import Path
from typing import Any

import msgspec

from elderlock.fleet.agent_store import Store
from elderlock.fleet.host import Host
from elderlock.trial.control_block import ControlBlock, DiskFault, WriteStep

WRITE_STATEMENTS = ("INSERT", "UPDATE", "DELETE", "CREATE")
STORE_SUFFIXES = ("", "-wal")  # of a database's files; SQLite rebuilds the -shm file
PRESERVED_LOGS = ("log", "log.1")  # kept over a power loss and a replaced state, to diagnose what happened


class DurableState:
    """The files of a state folder that would survive a power loss. Each update is atomic.

    Attributes:
        files: The content of each file, by its path under the folder.
    """

    def __init__(self, home: Path, path: Path) -> None:
        """Load the state that was recorded before, if any.

        Args:
            home: The state folder.
            path: The file that records its durable content.
        """
        self._home, self._path = home, path
        self.files: dict[str, bytes] = load_durable(path)

    def update(self, changes: dict[Path, bytes | None]) -> None:
        """Record new contents of files; None for a file that was removed."""
        for path, data in changes.items():
            name = str(path.relative_to(self._home))
            if data is None:
                self.files.pop(name, None)
            else:
                self.files[name] = data
        temporary = self._path.with_name(self._path.name + ".new")
        temporary.write_bytes(msgspec.msgpack.encode(self.files))
        temporary.replace(self._path)


def load_durable(path: Path) -> dict[str, bytes]:
    """Return the content of each durable file, by its path; empty if nothing was recorded."""
    try:
        return msgspec.msgpack.decode(path.read_bytes(), type=dict[str, bytes])
    except FileNotFoundError:
        return {}


def lose_power(home: Path, durable: dict[str, bytes], torn: random.Random | None = None) -> list[str]:
    """Replace a state folder's files by what survives a power loss.

    Sockets stay: a relay listens at one of them, and the limiter behind it could not be reached again.

    Args:
        home: The state folder.
        durable: The content of each durable file, by its path.
        torn: Draws how much of the unsynced end of a write-ahead log survives, cut at any byte, and whether its last
            byte is corrupt; None if nothing of it survives.

    Returns:
        The paths of the files that lost data.
    """
    lost = []
    for name, data in durable.items():
        path = home / name
        current = path.read_bytes() if path.is_file() else b""
        if current == data:
            continue
        lost.append(name)
        if torn is not None and name.endswith("-wal") and current.startswith(data):
            unsynced = current[len(data) :]
            survived = unsynced[: torn.randrange(len(unsynced) + 1)]
            if survived and torn.random() < 0.5:  # a sector that was being written keeps its previous content
                survived = survived[:-1] + bytes([survived[-1] ^ 0xFF])
            durable[name] = data + survived
    for path in home.iterdir():
        if path.is_dir():
            for inner in path.iterdir():
                if inner.name not in PRESERVED_LOGS and not inner.is_socket():
                    inner.unlink()
        elif path.name not in PRESERVED_LOGS and not path.is_socket():
            path.unlink()
    for name, data in durable.items():
        path = home / name
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        path.write_bytes(data)
        path.chmod(0o600)
    return lost


def copy_home(home: Path, to: Path) -> None:
    """Copy a state folder as it is on the disk now, without sockets and logs, for a restart from an old state."""
    shutil.rmtree(to, ignore_errors=True)
    to.mkdir(mode=0o700, parents=True)
    for path in home.rglob("*"):
        if path.is_file() and path.name not in PRESERVED_LOGS:
            target = to / path.relative_to(home)
            target.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
            shutil.copy2(path, target)


def replace_home(home: Path, old_home: Path | None) -> None:
    """Replace the files of a state folder by those of an old copy; None for no files.

    Sockets stay, because running limiters listen at them.
    """
    for path in list(home.rglob("*")):
        if path.is_file() and path.name not in PRESERVED_LOGS:
            path.unlink()
    if old_home is not None:
        shutil.copytree(old_home, home, dirs_exist_ok=True)


class TrialHost(Host):
    """An agent's host whose disk has the fault that the control block asks for."""

    def __init__(self, block: ControlBlock, home: Path, durable_path: Path) -> None:
        """Prepare the host.

        Args:
            block: The agent's control block.
            home: The agent's state folder.
            durable_path: The file that records the folder's durable content.
        """
        self._block, self._home = block, home
        self._durable = DurableState(home, durable_path)
        # files that were synced, and whose new names become durable with the next transaction
        self._awaiting_folder_sync: dict[Path, bytes] = {}
        self._store_files: dict[Path, tuple[int, int]] = {}  # descriptor and inode of each file of the database

    # Steps

    def _step(self, step: WriteStep) -> None:
        """Count a write step, and kill this process if it has to end there."""
        if self._block.take_step(step):
            os.kill(os.getpid(), signal.SIGKILL)

    def _check_disk(self) -> None:
        """Raise the `OSError` of the present disk fault, if any."""
        match self._block.disk_fault:
            case DiskFault.FULL:
                raise OSError(errno.ENOSPC, "No space left on device")
            case DiskFault.ERROR:
                raise OSError(errno.EIO, "Input/output error")

    def _sync(self) -> bool:
        """Sync as slowly as the disk does; return False if the disk only reports success."""
        if self._block.disk_fault is DiskFault.SLOW:
            time.sleep(self._block.sync_delay_ms / 1000.0)
        return self._block.disk_fault is not DiskFault.LIES

    # Files

    def write_private(self, path: Path, data: bytes) -> None:
        """Write a file; see `Host.write_private`."""
        self._check_disk()
        self._step(WriteStep.BEGINS)
        super().write_private(path, data)

    def written(self, temporary: Path) -> None:
        """Take the step after the temporary file was written."""
        self._step(WriteStep.WRITTEN)

    def synced(self, temporary: Path, path: Path, data: bytes) -> None:
        """Take the step after the temporary file was synced."""
        self._check_disk()
        if self._sync():
            self._awaiting_folder_sync[path] = data
        self._step(WriteStep.SYNCED)

    def renamed(self, path: Path) -> None:
        """Take the step after the file got its final name.

        The folder is not synced: the new name is durable at the earliest with the next transaction on the same file
        system, when the file system's journal is written.
        """
        self._step(WriteStep.RENAMED)

    # The store

    def store(self, path: Path) -> Store:
        """Open the agent's store on a connection that has the disk's faults."""
        host = self

        class FaultyConnection(sqlite3.Connection):
            def execute(self, sql: str, *parameters: Any) -> sqlite3.Cursor:
                is_begin, is_commit = sql.startswith("BEGIN"), sql == "COMMIT"
                if is_begin or is_commit or sql.startswith(WRITE_STATEMENTS):
                    try:
                        host._check_disk()
                    except OSError as error:
                        is_full = error.errno == errno.ENOSPC
                        raise sqlite3.OperationalError(
                            "database or disk is full" if is_full else "disk I/O error"
                        ) from None
                if is_begin:
                    host._step(WriteStep.BEGINS)
                if is_commit:
                    host._step(WriteStep.WRITTEN)
                cursor = super().execute(sql, *parameters)
                if is_commit:
                    if host._sync():
                        host.committed(path)
                    host._step(WriteStep.SYNCED)
                return cursor

        store = Store(path, FaultyConnection)
        self.committed(path)
        return store

    def committed(self, path: Path) -> None:
        """Record the database's present files, and the files that were renamed before, as durable."""
        changes: dict[Path, bytes | None] = dict(self._awaiting_folder_sync)
        self._awaiting_folder_sync.clear()
        for suffix in STORE_SUFFIXES:
            file = path.with_name(path.name + suffix)
            changes[file] = self._read(file)
        self._durable.update(changes)

    def _read(self, path: Path) -> bytes | None:
        """Read a file of the database through a descriptor that stays open; None if it does not exist.

        fcntl locks belong to the process: closing a descriptor would release the locks that SQLite holds through
        another one.
        """
        try:
            inode = path.stat().st_ino
        except FileNotFoundError:
            return None
        opened = self._store_files.get(path)
        if opened is None or opened[1] != inode:
            opened = self._store_files[path] = (os.open(path, os.O_RDONLY | os.O_CLOEXEC), inode)
        return os.pread(opened[0], os.fstat(opened[0]).st_size, 0)
