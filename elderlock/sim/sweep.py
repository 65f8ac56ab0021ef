"""Runs an experiment's cells over all cores, each result kept at once, so that a sweep that was stopped goes on."""

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
MOST_DEATHS = 3  # of the worker under one cell; then it is kept as one that could not be run
SCHEMA = """
CREATE TABLE IF NOT EXISTS runs (
    scenario TEXT NOT NULL, setting TEXT NOT NULL, seed INTEGER NOT NULL, digest TEXT NOT NULL, result BLOB NOT NULL,
    PRIMARY KEY (scenario, setting, seed)) STRICT;
"""


class SweepError(Exception):
    """The sweep cannot go on; what was recorded is kept."""


class ResultStore:
    """Results by cell, each in a transaction of its own. `factory` makes the connection, for tests to fail writes."""

    def __init__(self, path: Path, factory: type[sqlite3.Connection] = sqlite3.Connection) -> None:
        """Raises `SweepError`."""
        self.path = path
        try:
            self._db = sqlite3.connect(path, isolation_level=None, factory=factory, timeout=5.0)
            self._db.execute("PRAGMA journal_mode=WAL")
            version = self._db.execute("PRAGMA user_version").fetchone()[0]
            if version not in (0, VERSION):
                raise SweepError(f"{path}: it is of version {version}, this program's is {VERSION}")
            self._db.executescript(SCHEMA)
            self._db.execute(f"PRAGMA user_version={VERSION}")
        except sqlite3.Error as error:
            raise SweepError(f"{path}: {error}") from None

    def load_results(self, experiment: Experiment) -> dict[Cell, Result]:
        """Raises `SweepError` where a cell was recorded for another scenario or setting of that name."""
        found = {}
        for scenario, setting, seed, digest, raw in self._rows():
            cell = Cell(scenario, setting, seed)
            if (scenario, setting) not in experiment.made:
                continue
            if digest != experiment.digest(cell):
                raise SweepError(
                    f"{self.path}: {scenario}, {setting}, seed {seed} was recorded for another content of these "
                    "names; take another file, or --fresh to forget what is recorded"
                )
            found[cell] = msgspec.msgpack.decode(raw, type=Result)
        return found

    def _rows(self) -> list[tuple[str, str, int, str, bytes]]:
        try:
            return self._db.execute("SELECT scenario, setting, seed, digest, result FROM runs").fetchall()
        except sqlite3.Error as error:
            raise SweepError(f"{self.path}: {error}") from None

    def keep(self, cell: Cell, digest: str, result: Result) -> None:
        """Raises `SweepError`; then nothing of it is recorded, and what was before stays."""
        row = (*cell, digest, msgspec.msgpack.encode(result))
        try:
            self._db.execute("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?)", row)
        except sqlite3.Error as error:
            raise SweepError(f"{self.path}: a result could not be kept: {error}") from None

    def clear(self) -> None:
        self._db.execute("DELETE FROM runs")

    def close(self) -> None:
        self._db.close()


def _run(raw: bytes, seed: int, floor: str) -> bytes:
    """In a worker's process."""
    scenario = msgspec.msgpack.decode(raw, type=Scenario)
    return msgspec.msgpack.encode(play(scenario, seed, floor))


Work = Callable[[bytes, int, str], bytes]


class Sweep:
    """`told` hears of each cell as it is done. `work` runs one in a worker."""

    def __init__(self, experiment: Experiment, records: ResultStore, workers: int, work: Work = _run) -> None:
        self.experiment, self.records, self._workers, self._work = experiment, records, workers, work
        self._deaths: dict[Cell, int] = {}
        self.stopped = False

    def missing_cells(self) -> list[Cell]:
        done = self.records.load_results(self.experiment)
        return [cell for cell in self.experiment.cells() if cell not in done]

    def run(self, told: Callable[[Cell, Result], None] = lambda cell, result: None) -> int:
        """Until all is done, or `stopped`. Returns how many cells are left. Raises `SweepError`; `KeyboardInterrupt`
        goes through, after what had ended was kept."""
        left = self.missing_cells()
        while left and not self.stopped:
            with contextlib.suppress(BrokenProcessPool):
                self._round(left, told)
            left = self.missing_cells()
        return len(left)

    def _round(self, cells: Iterable[Cell], told: Callable[[Cell, Result], None]) -> None:
        """With one pool of workers; one that dies takes the pool with it, and what was out is run again."""
        coming = iter(cells)
        pool = ProcessPoolExecutor(self._workers, mp_context=get_context("spawn"))
        out: dict[Any, Cell] = {}
        try:
            while not self.stopped:
                while len(out) < 2 * self._workers and (cell := next(coming, None)) is not None:
                    scenario = self.experiment.made[cell.scenario, cell.setting]
                    raw = msgspec.msgpack.encode(scenario)
                    out[pool.submit(self._work, raw, cell.seed, self.experiment.file.floor)] = cell
                if not out:
                    return
                done, _ = wait(out, return_when=FIRST_COMPLETED, timeout=0.5)
                for future in done:
                    cell = out.pop(future)
                    self._ended(cell, future, told)
        except BrokenProcessPool:
            for future, cell in out.items():  # those that had ended before it are not lost
                if future.done() and future.exception() is None:
                    self._ended(cell, future, told)
                elif future.running() or future.done():
                    self._died(cell, told)
            raise
        finally:
            pool.shutdown(wait=False, cancel_futures=True)
            for process in list((pool._processes or {}).values()):
                process.terminate()

    def _ended(self, cell: Cell, future: Any, told: Callable[[Cell, Result], None]) -> None:
        try:
            result = msgspec.msgpack.decode(future.result(), type=Result)
        except BrokenProcessPool:
            self._died(cell, told)
            raise
        except Exception as error:  # of the simulation itself: told, and not tried for ever
            result = _failed(cell, self.experiment.file.floor, repr(error))
        self._keep(cell, result, told)

    def _died(self, cell: Cell, told: Callable[[Cell, Result], None]) -> None:
        self._deaths[cell] = self._deaths.get(cell, 0) + 1
        if self._deaths[cell] >= MOST_DEATHS:
            text = f"its worker died {MOST_DEATHS} times"
            self._keep(cell, _failed(cell, self.experiment.file.floor, text), told)

    def _keep(self, cell: Cell, result: Result, told: Callable[[Cell, Result], None]) -> None:
        self.records.keep(cell, self.experiment.digest(cell), result)
        told(cell, result)


def _failed(cell: Cell, floor: str, why: str) -> Result:
    return Result(cell.scenario, floor, cell.seed, Figures(), ended="failed", why=why)
