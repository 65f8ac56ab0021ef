"""Fault injection for disks: an SQLite connection with a write that fails."""

from __future__ import annotations

import sqlite3
from typing import Any


class FailingConnection(sqlite3.Connection):
    """A connection that fails one write with an I/O error.

    Attributes:
        countdown: Which of the coming writes fails, from 1 for the next one; negative for none.
        writes: The number of writes so far.
    """

    countdown = -1
    writes = 0

    def execute(self, sql: str, parameters: Any = ()) -> sqlite3.Cursor:
        """Runs a statement, or raises `OperationalError` for the write that has to fail."""
        if not sql.lstrip().upper().startswith(("SELECT", "PRAGMA", "ROLLBACK")):
            FailingConnection.writes += 1
            FailingConnection.countdown -= 1
            if FailingConnection.countdown == 0:
                raise sqlite3.OperationalError("disk I/O error")
        return super().execute(sql, parameters)
