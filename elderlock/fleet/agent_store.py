"""The data that an agent keeps across restarts: drain records, limiters, the audit log, its vote and versions.

It is an SQLite database with a write-ahead log. A record and its audit line are written in one transaction. Every
failure is raised as `StoreError`. An agent stores a record before it sends it to a limiter.
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
BUSY_TIMEOUT_S = 0.2  # for a lock that another connection holds
MAXIMUM_AUDIT_LINES = 10_000
MS_PER_S = 1000
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
    """The store cannot be read or written; the text says why."""


class Store:
    """The store of one agent.

    Attributes:
        damaged_file: The new path of a damaged database that was found and moved; None where there was none.
    """

    def __init__(self, path: Path, factory: type[sqlite3.Connection] = sqlite3.Connection) -> None:
        """Open the store, and make it if it does not exist.

        Args:
            path: The path of the database.
            factory: The class of the connection, with which tests make writes fail.

        Raises:
            StoreError: The store cannot be opened.
        """
        self._path, self._factory = path, factory
        self.damaged_file: Path | None = None
        try:
            self._db = self._open()
        except sqlite3.OperationalError as error:  # locked, full, no permission: the file may be intact
            raise StoreError(f"{path}: {error}") from None
        except sqlite3.DatabaseError:
            self.damaged_file = self._move_damaged_file()
            try:
                self._db = self._open()
            except sqlite3.Error as error:
                raise StoreError(f"{path}: {error}") from None

    def _open(self) -> sqlite3.Connection:
        db = sqlite3.connect(self._path, timeout=BUSY_TIMEOUT_S, isolation_level=None, factory=self._factory)
        try:
            if db.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
                raise sqlite3.DatabaseError("the file is damaged")
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            version = db.execute("PRAGMA user_version").fetchone()[0]
            if version > SCHEMA_VERSION:
                raise sqlite3.OperationalError(
                    f"schema version {version} is of a later elderlock, this one has {SCHEMA_VERSION}"
                )
            if version < SCHEMA_VERSION:
                db.executescript(SCHEMA)
                db.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
            return db
        except BaseException:
            db.close()
            raise

    def _move_damaged_file(self) -> Path:
        """Rename a damaged database, which is never overwritten, so that it can be inspected."""
        damaged_file = self._path.with_name(f"{self._path.name}.damaged-{int(time.time() * MS_PER_S)}")
        self._path.rename(damaged_file)
        for suffix in ("-wal", "-shm"):
            companion = self._path.with_name(self._path.name + suffix)
            if companion.exists():
                companion.rename(damaged_file.with_name(damaged_file.name + suffix))
        return damaged_file

    def _write(self, *statements: tuple[str, tuple[object, ...]]) -> None:
        """Execute all statements in one transaction."""
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
        """Store and return an epoch greater than any before; called once at each start of the agent."""
        self.raise_epoch(self.epoch() + 1)
        return self.epoch()

    def epoch(self) -> int:
        """Return the stored epoch; 0 where there is none."""
        rows = self._rows("SELECT value FROM meta WHERE name='epoch'")
        return int(str(rows[0][0])) if rows else 0

    def raise_epoch(self, epoch: int) -> None:
        """Store an epoch, unless a greater one is stored."""
        self._write(
            (
                "INSERT INTO meta VALUES ('epoch', ?) ON CONFLICT (name) DO UPDATE "
                "SET value = max(value, excluded.value)",
                (epoch,),
            )
        )

    def records(self) -> tuple[Record, ...]:
        """Return the drain records."""
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
        """Store drain records and their audit line; return the line's id, for `set_audit_outcome`."""
        statements: list[tuple[str, tuple[object, ...]]] = [
            (
                "INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    record.kind,
                    record.target,
                    int(record.is_drained),
                    record.generation,
                    record.origin,
                    record.requested_by,
                    record.created_at_unix_ms,
                    record.reason,
                ),
            )
            for record in records
        ]
        return self._write_with_audit_line(statements, line)

    def delete_records(self, records: Iterable[Record], line: AuditLine) -> int:
        """Delete the records of the same targets and store the audit line; return the line's id."""
        statements: list[tuple[str, tuple[object, ...]]] = [
            ("DELETE FROM records WHERE kind=? AND target=?", (record.kind, record.target)) for record in records
        ]
        return self._write_with_audit_line(statements, line)

    def _write_with_audit_line(self, statements: list[tuple[str, tuple[object, ...]]], line: AuditLine) -> int:
        line_id = int(str(self._rows("SELECT coalesce(max(id), 0) + 1 FROM audit")[0][0]))
        values = (line_id, line.at, line.who, line.role, line.what, line.generation, line.reached)
        self._write(
            *statements,
            ("INSERT INTO audit VALUES (?, ?, ?, ?, ?, ?, ?)", values),
            ("DELETE FROM audit WHERE id <= ?", (line_id - MAXIMUM_AUDIT_LINES,)),
        )
        return line_id

    def set_audit_outcome(self, line_id: int, text: str) -> None:
        """Add the outcome of the command to its audit line."""
        self._write(("UPDATE audit SET reached=? WHERE id=?", (text, line_id)))

    def audit(self, maximum_lines: int) -> tuple[AuditLine, ...]:
        """Return the newest lines of the audit log, the oldest of them first."""
        rows = self._rows(
            "SELECT at, who, role, what, generation, reached FROM audit ORDER BY id DESC LIMIT ?", (maximum_lines,)
        )
        lines = [
            AuditLine(float(str(at)), str(who), str(role), str(what), int(str(generation)), str(reached))
            for at, who, role, what, generation, reached in rows
        ]
        return tuple(reversed(lines))

    def vote(self) -> tuple[Ballot, Ballot, bytes] | None:
        """Return the promised ballot, the accepted ballot and the accepted value.

        None where the agent has stored no vote, or had stored it in a store that is lost.
        """
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
        """Store the agent's vote; it has to be stored before the agent sends it."""
        self._write(("INSERT OR REPLACE INTO vote VALUES (1, ?, ?, ?, ?, ?)", (*promised, *accepted, value)))

    def limiter(self, name: str) -> tuple[bool, int, int] | None:
        """Return whether a limiter has to run, its pid and its start time in the kernel's ticks; None if not stored."""
        rows = self._rows("SELECT wanted, pid, born FROM limiters WHERE name=?", (name,))
        return (bool(rows[0][0]), int(str(rows[0][1])), int(str(rows[0][2]))) if rows else None

    def set_limiter(self, name: str, wanted: bool, pid: int, start_ticks: int) -> None:
        """Store whether a limiter has to run, its pid and its start time in the kernel's ticks."""
        self._write(("INSERT OR REPLACE INTO limiters VALUES (?, ?, ?, ?)", (name, int(wanted), pid, start_ticks)))

    def version(self, name: str) -> tuple[str, int, str]:
        """Return the version that a limiter has to run, the generation of that decision, and the running version.

        An empty version is the one in the agent's file.
        """
        rows = self._rows("SELECT wanted, generation, runs FROM versions WHERE name=?", (name,))
        return (str(rows[0][0]), int(str(rows[0][1])), str(rows[0][2])) if rows else ("", 0, "")

    def set_version(self, name: str, wanted: str, generation: int, running: str) -> None:
        """Store the version that a limiter has to run, the generation of that decision, and the running version."""
        self._write(("INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?)", (name, wanted, generation, running)))

    def close(self) -> None:
        """Close the database."""
        self._db.close()
