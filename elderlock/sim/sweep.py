"""Runs the cells of an experiment on all cores and stores each result at once, so that a sweep can resume."""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Callable, Iterable
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import msgspec

from elderlock.sim.experiment import Cell, Experiment
from elderlock.sim.figures import Figures, Result
from elderlock.sim.scenario import Scenario
from elderlock.sim.search import play

VERSION = 1
MAX_WORKER_DEATHS = 3  # during one cell, which is then recorded as failed
SCHEMA = """
CREATE TABLE IF NOT EXISTS runs (
    scenario TEXT NOT NULL, setting TEXT NOT NULL, seed INTEGER NOT NULL, digest TEXT NOT NULL, result BLOB NOT NULL,
    PRIMARY KEY (scenario, setting, seed)) STRICT;
"""


class SweepError(Exception):
    """The sweep cannot continue; recorded results stay."""


class ResultStore:
    """Stores results by cell, each in a transaction of its own."""

    def __init__(self, path: Path, factory: type[sqlite3.Connection] = sqlite3.Connection) -> None:
        """Opens or creates the database.

        Args:
            path: Path of the database.
            factory: Class of the connection; tests use it to fail writes.

        Raises:
            SweepError: The database cannot be opened or has another schema version.
        """
        self.path = path
        try:
            self._db = sqlite3.connect(path, isolation_level=None, factory=factory, timeout=5.0)
            self._db.execute("PRAGMA journal_mode=WAL")
            version = self._db.execute("PRAGMA user_version").fetchone()[0]
            if version not in (0, VERSION):
                raise SweepError(f"{path}: its schema has version {version}, this program needs {VERSION}")
            self._db.executescript(SCHEMA)
            self._db.execute(f"PRAGMA user_version={VERSION}")
        except sqlite3.Error as error:
            raise SweepError(f"{path}: {error}") from None

    def load_results(self, experiment: Experiment) -> dict[Cell, Result]:
        """Returns the recorded results of the experiment's cells.

        Raises:
            SweepError: A cell was recorded for another scenario or setting of the same name.
        """
        results = {}
        for scenario, setting, seed, digest, raw in self._rows():
            cell = Cell(scenario, setting, seed)
            if (scenario, setting) not in experiment.scenarios:
                continue
            if digest != experiment.digest(cell):
                raise SweepError(
                    f"{self.path}: {scenario}, {setting}, seed {seed} was recorded for another content of these "
                    "names; choose another file, or use --fresh to discard the recorded results"
                )
            results[cell] = msgspec.msgpack.decode(raw, type=Result)
        return results

    def _rows(self) -> list[tuple[str, str, int, str, bytes]]:
        try:
            return self._db.execute("SELECT scenario, setting, seed, digest, result FROM runs").fetchall()
        except sqlite3.Error as error:
            raise SweepError(f"{self.path}: {error}") from None

    def save(self, cell: Cell, digest: str, result: Result) -> None:
        """Stores a result.

        Raises:
            SweepError: The result could not be stored; earlier results stay.
        """
        row = (*cell, digest, msgspec.msgpack.encode(result))
        try:
            self._db.execute("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?)", row)
        except sqlite3.Error as error:
            raise SweepError(f"{self.path}: a result could not be stored: {error}") from None

    def clear(self) -> None:
        """Deletes all results."""
        self._db.execute("DELETE FROM runs")

    def close(self) -> None:
        """Closes the database."""
        self._db.close()


def _run(raw: bytes, seed: int, floor: str) -> bytes:
    """Runs a cell in a worker process."""
    scenario = msgspec.msgpack.decode(raw, type=Scenario)
    return msgspec.msgpack.encode(play(scenario, seed, floor))


Work = Callable[[bytes, int, str], bytes]


class Sweep:
    """Runs the missing cells of an experiment.

    Attributes:
        experiment: The experiment.
        store: Where results are recorded.
        stopped: Set to stop the sweep.
    """

    def __init__(self, experiment: Experiment, store: ResultStore, workers: int, work: Work = _run) -> None:
        """Prepares a sweep.

        Args:
            experiment: The experiment.
            store: Where results are recorded.
            workers: Number of worker processes.
            work: Runs one cell in a worker process.
        """
        self.experiment, self.store, self._workers, self._work = experiment, store, workers, work
        self._deaths: dict[Cell, int] = {}
        self.stopped = False

    def missing_cells(self) -> list[Cell]:
        """Returns the cells without a recorded result."""
        done = self.store.load_results(self.experiment)
        return [cell for cell in self.experiment.cells() if cell not in done]

    def run(self, on_result: Callable[[Cell, Result], None] = lambda cell, result: None) -> int:
        """Runs until all cells are recorded or `stopped` is set, and returns the number of missing cells.

        A `KeyboardInterrupt` passes through after the results of finished runs were stored.

        Args:
            on_result: Called with each cell and its result.

        Raises:
            SweepError: A result cannot be read or stored.
        """
        missing = self.missing_cells()
        while missing and not self.stopped:
            with contextlib.suppress(BrokenProcessPool):
                self._run_pool(missing, on_result)
            missing = self.missing_cells()
        return len(missing)

    def _run_pool(self, cells: Iterable[Cell], on_result: Callable[[Cell, Result], None]) -> None:
        """Runs cells with one pool of workers; a dead worker ends the pool, and its unfinished cells run again."""
        remaining = iter(cells)
        pool = ProcessPoolExecutor(self._workers, mp_context=get_context("spawn"))
        pending: dict[Any, Cell] = {}
        try:
            while not self.stopped:
                while len(pending) < 2 * self._workers and (cell := next(remaining, None)) is not None:
                    scenario = self.experiment.scenarios[cell.scenario, cell.setting]
                    raw = msgspec.msgpack.encode(scenario)
                    pending[pool.submit(self._work, raw, cell.seed, self.experiment.file.floor)] = cell
                if not pending:
                    return
                done, _ = wait(pending, return_when=FIRST_COMPLETED, timeout=0.5)
                for future in done:
                    cell = pending.pop(future)
                    self._run_ended(cell, future, on_result)
        except BrokenProcessPool:
            for future, cell in pending.items():  # results of finished runs are not lost
                if future.done() and future.exception() is None:
                    self._run_ended(cell, future, on_result)
                elif future.running() or future.done():
                    self._worker_died(cell, on_result)
            raise
        finally:
            pool.shutdown(wait=False, cancel_futures=True)
            for process in list((pool._processes or {}).values()):
                process.terminate()

    def _run_ended(self, cell: Cell, future: Any, on_result: Callable[[Cell, Result], None]) -> None:
        try:
            result = msgspec.msgpack.decode(future.result(), type=Result)
        except BrokenProcessPool:
            self._worker_died(cell, on_result)
            raise
        except Exception as error:  # the simulation failed: recorded, and not repeated forever
            result = _failed_result(cell, self.experiment.file.floor, repr(error))
        self._save(cell, result, on_result)

    def _worker_died(self, cell: Cell, on_result: Callable[[Cell, Result], None]) -> None:
        self._deaths[cell] = self._deaths.get(cell, 0) + 1
        if self._deaths[cell] >= MAX_WORKER_DEATHS:
            text = f"its worker died {MAX_WORKER_DEATHS} times"
            self._save(cell, _failed_result(cell, self.experiment.file.floor, text), on_result)

    def _save(self, cell: Cell, result: Result, on_result: Callable[[Cell, Result], None]) -> None:
        self.store.save(cell, self.experiment.digest(cell), result)
        on_result(cell, result)


def _failed_result(cell: Cell, floor: str, reason: str) -> Result:
    return Result(cell.scenario, floor, cell.seed, Figures(), ended="failed", why=reason)
