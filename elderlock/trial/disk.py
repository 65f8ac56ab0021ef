"""A child's disk: the seam of `fleet.host` with a disk that fails on command, and an account of what was synced.

What would survive a power loss is kept beside the real files: a file that was synced and renamed counts from the next
transaction on, a transaction from its commit. After a power loss the runner puts that state in the real one's
place; a last write may be torn, so that a part of what was on its way is there as well.
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
from elderlock.trial.control_block import Block, Disk, Step

WRITES = ("INSERT", "UPDATE", "DELETE", "CREATE")
STORE_FILES = ("", "-wal")  # of a database; its -shm is made anew
KEPT = ("log", "log.1")  # outlive a power loss here, for whoever looks into what happened


class Durable:
    """What a power loss leaves of one home folder: paths under it, and their bytes. Written whole or not at all."""

    def __init__(self, home: Path, path: Path) -> None:
        self._home, self._path = home, path
        self.files: dict[str, bytes] = load(path)

    def keep(self, news: dict[Path, bytes | None]) -> None:
        """None is gone."""
        for path, data in news.items():
            name = str(path.relative_to(self._home))
            if data is None:
                self.files.pop(name, None)
            else:
                self.files[name] = data
        beside = self._path.with_name(self._path.name + ".new")
        beside.write_bytes(msgspec.msgpack.encode(self.files))
        beside.replace(self._path)


def load(path: Path) -> dict[str, bytes]:
    try:
        return msgspec.msgpack.decode(path.read_bytes(), type=dict[str, bytes])
    except FileNotFoundError:
        return {}


def lose_power(home: Path, durable: dict[str, bytes], torn: random.Random | None = None) -> list[str]:
    """Puts in place what survives; returns the names of those of which more had been written. With `torn`, of a log
    that was being written a part of the rest is there too, cut at any byte, and its last bytes may be another's.
    Sockets stay: a relay listens on one of them, and nobody would reach the limiter behind it again."""
    lost = []
    for name, data in durable.items():
        path = home / name
        now = path.read_bytes() if path.is_file() else b""
        if now == data:
            continue
        lost.append(name)
        if torn is not None and name.endswith("-wal") and now.startswith(data):
            rest = now[len(data) :]
            cut = rest[: torn.randrange(len(rest) + 1)]
            if cut and torn.random() < 0.5:  # a sector that was on its way holds what it held before
                cut = cut[:-1] + bytes([cut[-1] ^ 0xFF])
            durable[name] = data + cut
    for path in home.iterdir():
        if path.is_dir():
            for inner in path.iterdir():
                if inner.name not in KEPT and not inner.is_socket():
                    inner.unlink()
        elif path.name not in KEPT and not path.is_socket():
            path.unlink()
    for name, data in durable.items():
        path = home / name
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        path.write_bytes(data)
        path.chmod(0o600)
    return lost


def copy_home(home: Path, to: Path) -> None:
    """For a restart with an old state: the home as it is on the disk now, but for sockets."""
    shutil.rmtree(to, ignore_errors=True)
    to.mkdir(mode=0o700, parents=True)
    for path in home.rglob("*"):
        if path.is_file() and path.name not in KEPT:
            target = to / path.relative_to(home)
            target.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
            shutil.copy2(path, target)


def put_home(home: Path, old: Path | None) -> None:
    """In place of what is there: an old state, or none. Sockets stay: limiters that live answer on theirs."""
    for path in list(home.rglob("*")):
        if path.is_file() and path.name not in KEPT:
            path.unlink()
    if old is not None:
        shutil.copytree(old, home, dirs_exist_ok=True)


class TrialHost(Host):
    """`home` is the agent's state folder."""

    def __init__(self, block: Block, home: Path, durable: Path) -> None:
        self._block, self._home = block, home
        self._durable = Durable(home, durable)
        self._unnamed: dict[Path, bytes] = {}  # renamed, and their folder not yet synced
        self._open: dict[Path, tuple[int, int]] = {}  # of a database's files: descriptor, inode

    # Steps

    def _step(self, step: Step) -> None:
        if self._block.stepped(step):
            os.kill(os.getpid(), signal.SIGKILL)

    def _fails(self) -> None:
        """Raises `OSError` where the disk does."""
        match self._block.disk:
            case Disk.FULL:
                raise OSError(errno.ENOSPC, "No space left on device")
            case Disk.ERROR:
                raise OSError(errno.EIO, "Input/output error")

    def _syncs(self) -> bool:
        """Takes its time; False where it only says so."""
        if self._block.disk is Disk.SLOW:
            time.sleep(self._block.slow_ms / 1000.0)
        return self._block.disk is not Disk.LIES

    # Files

    def write_private(self, path: Path, data: bytes) -> None:
        self._fails()
        self._step(Step.BEGINS)
        super().write_private(path, data)

    def written(self, beside: Path) -> None:
        self._step(Step.WRITTEN)

    def synced(self, beside: Path, path: Path, data: bytes) -> None:
        self._fails()
        if self._syncs():
            self._unnamed[path] = data
        self._step(Step.SYNCED)

    def renamed(self, path: Path) -> None:
        # its folder is not synced: the new name is durable with the next transaction of the same file system at the
        # soonest, which is when its journal is written
        self._step(Step.RENAMED)

    # The store

    def store(self, path: Path) -> Store:
        host = self

        class Watched(sqlite3.Connection):
            def execute(self, sql: str, *given: Any) -> sqlite3.Cursor:
                begins, ends = sql.startswith("BEGIN"), sql == "COMMIT"
                if begins or ends or sql.startswith(WRITES):
                    try:
                        host._fails()
                    except OSError as error:
                        full = error.errno == errno.ENOSPC
                        raise sqlite3.OperationalError(
                            "database or disk is full" if full else "disk I/O error"
                        ) from None
                if begins:
                    host._step(Step.BEGINS)
                if ends:
                    host._step(Step.WRITTEN)
                done = super().execute(sql, *given)
                if ends:
                    if host._syncs():
                        host.committed(path)
                    host._step(Step.SYNCED)
                return done

        store = Store(path, Watched)
        self.committed(path)
        return store

    def committed(self, path: Path) -> None:
        """The database is durable as its files are now, and what was renamed before it."""
        news: dict[Path, bytes | None] = dict(self._unnamed)
        self._unnamed.clear()
        for suffix in STORE_FILES:
            file = path.with_name(path.name + suffix)
            news[file] = self._read(file)
        self._durable.keep(news)

    def _read(self, path: Path) -> bytes | None:
        """Through a descriptor that stays open: to close one would give up the locks that SQLite has by another (fcntl
        locks belong to the process)."""
        try:
            inode = path.stat().st_ino
        except FileNotFoundError:
            return None
        held = self._open.get(path)
        if held is None or held[1] != inode:
            held = self._open[path] = (os.open(path, os.O_RDONLY | os.O_CLOEXEC), inode)
        return os.pread(held[0], os.fstat(held[0]).st_size, 0)
