"""What an agent must still know after its death: drains, what shall run, processes, the audit.

SQLite with a write-ahead log. A record and its audit line are one transaction: either both are kept or
neither. Every failure comes out as `StoreError`; nothing is told to a limiter that is not kept first.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterable
from pathlib import Path

from elderlock.control.records import Record
from elderlock.fleet.messages import AuditLine
from elderlock.rollout.caspaxos import Ballot

SCHEMA_VERSION = 3
BUSY_WITHIN = 0.2  # s that another's lock is waited for
MOST_AUDIT = 10_000  # lines kept
SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL) STRICT;
CREATE TABLE IF NOT EXISTS records (
    kind TEXT NOT NULL, target TEXT NOT NULL, drained INTEGER NOT NULL, generation INTEGER NOT NULL,
    origin TEXT NOT NULL, by TEXT NOT NULL, at REAL NOT NULL, reason TEXT NOT NULL,
    PRIMARY KEY (kind, target)) STRICT;
CREATE TABLE IF NOT EXISTS limiters (
    name TEXT PRIMARY KEY, wanted INTEGER NOT NULL, pid INTEGER NOT NULL, born INTEGER NOT NULL) STRICT;
CREATE TABLE IF NOT EXISTS audit (
    id INTEGER PRIMARY KEY, at REAL NOT NULL, who TEXT NOT NULL, role TEXT NOT NULL, what TEXT NOT NULL,
    generation INTEGER NOT NULL, reached TEXT NOT NULL) STRICT;
CREATE TABLE IF NOT EXISTS vote (
    id INTEGER PRIMARY KEY CHECK (id = 1), promised INTEGER NOT NULL, promised_by TEXT NOT NULL,
    accepted INTEGER NOT NULL, accepted_by TEXT NOT NULL, value BLOB NOT NULL) STRICT;
CREATE TABLE IF NOT EXISTS versions (
    name TEXT PRIMARY KEY, wanted TEXT NOT NULL, generation INTEGER NOT NULL, runs TEXT NOT NULL) STRICT;
"""


class StoreError(Exception):
    """It was not kept; the text says why."""


class Store:
    """`factory` makes the connection, so that tests can fail each write in turn."""

    def __init__(self, path: Path, factory: type[sqlite3.Connection] = sqlite3.Connection) -> None:
        self._path, self._factory = path, factory
        self.damaged_file: Path | None = None  # what was there and could not be read
        try:
            self._db = self._open()
        except sqlite3.OperationalError as error:  # locked, full, no rights: it may be whole
            raise StoreError(f"{path}: {error}") from None
        except sqlite3.DatabaseError:
            self.damaged_file = self._aside()
            try:
                self._db = self._open()
            except sqlite3.Error as error:
                raise StoreError(f"{path}: {error}") from None

    def _open(self) -> sqlite3.Connection:
        db = sqlite3.connect(self._path, timeout=BUSY_WITHIN, isolation_level=None, factory=self._factory)
        try:
            if db.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
                raise sqlite3.DatabaseError("the file is damaged")
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            version = db.execute("PRAGMA user_version").fetchone()[0]
            if version > SCHEMA_VERSION:
                raise sqlite3.OperationalError(f"version {version} is of a later elderlock")
            if version < SCHEMA_VERSION:
                db.executescript(SCHEMA)
                db.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
            return db
        except BaseException:
            db.close()
            raise

    def _aside(self) -> Path:
        """A damaged file is kept for a look, never written over."""
        aside = self._path.with_name(f"{self._path.name}.damaged-{int(time.time() * 1000)}")
        self._path.rename(aside)
        for suffix in ("-wal", "-shm"):
            rest = self._path.with_name(self._path.name + suffix)
            if rest.exists():
                rest.rename(aside.with_name(aside.name + suffix))
        return aside

    def _write(self, *statements: tuple[str, tuple[object, ...]]) -> None:
        """All of them or none."""
        try:
            self._db.execute("BEGIN IMMEDIATE")
            try:
                for text, values in statements:
                    self._db.execute(text, values)
                self._db.execute("COMMIT")
            except BaseException:
                if self._db.in_transaction:
                    self._db.execute("ROLLBACK")
                raise
        except sqlite3.Error as error:
            raise StoreError(str(error)) from None

    def _rows(self, text: str, values: tuple[object, ...] = ()) -> list[tuple[object, ...]]:
        try:
            return self._db.execute(text, values).fetchall()
        except sqlite3.Error as error:
            raise StoreError(str(error)) from None

    def next_epoch(self) -> int:
        """Greater at each start of the agent, and kept before it is used."""
        self.raise_epoch(self.epoch() + 1)
        return self.epoch()

    def epoch(self) -> int:
        rows = self._rows("SELECT value FROM meta WHERE name='epoch'")
        return int(str(rows[0][0])) if rows else 0

    def raise_epoch(self, epoch: int) -> None:
        self._write(
            (
                "INSERT INTO meta VALUES ('epoch', ?) ON CONFLICT (name) DO UPDATE "
                "SET value = max(value, excluded.value)",
                (epoch,),
            )
        )

    def records(self) -> tuple[Record, ...]:
        rows = self._rows("SELECT kind, target, drained, generation, origin, by, at, reason FROM records")
        return tuple(
            Record(
                "box" if kind == "box" else "limiter",
                str(target),
                bool(drained),
                int(str(generation)),
                str(origin),
                str(by),
                float(str(at)),
                str(reason),
            )
            for kind, target, drained, generation, origin, by, at, reason in rows
        )

    def save_records(self, records: Iterable[Record], line: AuditLine) -> int:
        """The records with their audit line; returns its id, for `reached`."""
        statements: list[tuple[str, tuple[object, ...]]] = [
            (
                "INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    r.kind,
                    r.target,
                    int(r.is_drained),
                    r.generation,
                    r.origin,
                    r.requested_by,
                    r.created_at_unix_ms,
                    r.reason,
                ),
            )
            for r in records
        ]
        return self._audited(statements, line)

    def delete_records(self, records: Iterable[Record], line: AuditLine) -> int:
        gone: list[tuple[str, tuple[object, ...]]] = [
            ("DELETE FROM records WHERE kind=? AND target=?", (r.kind, r.target)) for r in records
        ]
        return self._audited(gone, line)

    def _audited(self, statements: list[tuple[str, tuple[object, ...]]], line: AuditLine) -> int:
        number = int(str(self._rows("SELECT coalesce(max(id), 0) + 1 FROM audit")[0][0]))
        values = (number, line.at, line.who, line.role, line.what, line.generation, line.reached)
        self._write(
            *statements,
            ("INSERT INTO audit VALUES (?, ?, ?, ?, ?, ?, ?)", values),
            ("DELETE FROM audit WHERE id <= ?", (number - MOST_AUDIT,)),
        )
        return number

    def set_audit_outcome(self, number: int, text: str) -> None:
        """Completes an audit line with how far its command came."""
        self._write(("UPDATE audit SET reached=? WHERE id=?", (text, number)))

    def audit(self, most: int) -> tuple[AuditLine, ...]:
        rows = self._rows(
            "SELECT at, who, role, what, generation, reached FROM audit ORDER BY id DESC LIMIT ?", (most,)
        )
        lines = [
            AuditLine(float(str(at)), str(who), str(role), str(what), int(str(gen)), str(reached))
            for at, who, role, what, gen, reached in rows
        ]
        return tuple(reversed(lines))

    def vote(self) -> tuple[Ballot, Ballot, bytes] | None:
        """What this agent promised and accepted; None where it never did, or the store is another than it was."""
        rows = self._rows("SELECT promised, promised_by, accepted, accepted_by, value FROM vote")
        if not rows:
            return None
        promised, promised_by, accepted, accepted_by, value = rows[0]
        return (
            Ballot(int(str(promised)), str(promised_by)),
            Ballot(int(str(accepted)), str(accepted_by)),
            bytes(value) if isinstance(value, bytes) else b"",
        )

    def save_vote(self, promised: Ballot, accepted: Ballot, value: bytes) -> None:
        """Before the answer leaves that tells of it."""
        self._write(("INSERT OR REPLACE INTO vote VALUES (1, ?, ?, ?, ?, ?)", (*promised, *accepted, value)))

    def limiter(self, name: str) -> tuple[bool, int, int] | None:
        """Whether it shall run, its process and when that was born (the kernel's ticks)."""
        rows = self._rows("SELECT wanted, pid, born FROM limiters WHERE name=?", (name,))
        return (bool(rows[0][0]), int(str(rows[0][1])), int(str(rows[0][2]))) if rows else None

    def set_limiter(self, name: str, wanted: bool, pid: int, born: int) -> None:
        self._write(("INSERT OR REPLACE INTO limiters VALUES (?, ?, ?, ?)", (name, int(wanted), pid, born)))

    def version(self, name: str) -> tuple[str, int, str]:
        """Which version the limiter is to run, by which generation, and which one its process was started on; empty for
        the one in the agent's file."""
        rows = self._rows("SELECT wanted, generation, runs FROM versions WHERE name=?", (name,))
        return (str(rows[0][0]), int(str(rows[0][1])), str(rows[0][2])) if rows else ("", 0, "")

    def set_version(self, name: str, wanted: str, generation: int, runs: str) -> None:
        self._write(("INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?)", (name, wanted, generation, runs)))

    def close(self) -> None:
        self._db.close()
