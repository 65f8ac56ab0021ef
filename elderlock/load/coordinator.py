"""Starts workers on one clock, gathers what they tell, and says what became of each of them.

A worker is a process of this machine, or one that another machine's agent lends. One that dies takes with it
what it had not told, and the schedule says to the request how much that was.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from pathlib import Path
from typing import Protocol

import msgspec

from elderlock.control.framing import FrameDecoder, FrameError, encode_frame
from elderlock.load import messages as m
from elderlock.load.clock import now_us
from elderlock.load.metrics import Second, Totals
from elderlock.load.report import Report, build_report
from elderlock.load.scenario import Scenario, ScenarioError
from elderlock.load.schedule import Arrival, schedule
from elderlock.load.trace import TraceError, TraceReplay, merge_traces
from elderlock.spawning import spawn

READY_WITHIN = 60.0  # s: 100,000 accounts are drawn first
LEAD = 300_000  # µs between the last word before the start and the start
CLOCK_ASKS = 8  # exchanges by which a worker's clock is told; the quickest counts
SILENT_FOR = 10.0  # s beyond the end of the schedule and the longest deadline that a worker may be silent
LOOK_AHEAD = 2.0  # s that a second's figures are waited for from a worker that is late with them


class LoadError(Exception):
    """The run could not begin; the text says why."""


class WorkerLink(Protocol):
    """The way to one worker."""

    name: str

    async def open(self, heard: Callable[[m.FromWorker], None], gone: Callable[[str], None]) -> None: ...

    def say(self, message: m.Message) -> None: ...

    async def close(self) -> None: ...


class LocalWorkerLink:
    """A worker process of this machine."""

    def __init__(self, number: int) -> None:
        self.name = f"worker {number}"
        self.process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(self, heard: Callable[[m.FromWorker], None], gone: Callable[[str], None]) -> None:
        self.process = await spawn(
            sys.executable,
            "-m",
            "elderlock.load.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self._task = asyncio.get_running_loop().create_task(self._read(heard, gone))

    async def _read(self, heard: Callable[[m.FromWorker], None], gone: Callable[[str], None]) -> None:
        assert self.process is not None and self.process.stdout is not None
        framer, why = FrameDecoder(m.LONGEST), ""
        try:
            while data := await self.process.stdout.read(1 << 18):
                for body in framer.feed(data):
                    heard(m.from_worker(body))
        except (FrameError, msgspec.DecodeError) as error:
            why = f"it says what cannot be read: {error}"
        code = await self.process.wait() if not why else 0
        gone(why or (f"it was killed by signal {-code}" if code < 0 else f"it ended with {code}"))

    def say(self, message: m.Message) -> None:
        if self.process is not None and self.process.stdin is not None and not self.process.stdin.is_closing():
            self.process.stdin.write(encode_frame(m.encode(message)))

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self.process is not None and self.process.returncode is None:
            # stopped by a signal, it would not act on a kind one
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class _Worker:
    def __init__(self, number: int, line: WorkerLink) -> None:
        self.number, self.line = number, line
        self.ready: asyncio.Future[str] = asyncio.get_running_loop().create_future()  # empty where all is well
        self.told: dict[int, asyncio.Future[int]] = {}
        self.offset = 0  # µs to add to our clock for its own
        self.within = 0  # µs that the offset may be off by
        self.gone = ""
        self.heard_at = time.monotonic()


class Coordinator:
    """One run. `live` hears of each second; `began` is called with the start, for troubles on a timeline."""

    def __init__(
        self,
        scenario: Scenario,
        lines: Sequence[WorkerLink],
        live: Callable[[Second], None] = lambda second: None,
        began: Callable[[float], Awaitable[list[tuple[float, str]]]] | None = None,
        key: bytes = b"",
        folder: Path | None = None,
    ) -> None:
        self.scenario, self._live, self._began, self._key = scenario, live, began, key
        self._folder = folder
        self.workers = [_Worker(number, line) for number, line in enumerate(lines)]
        self.totals = Totals(scenario.truth, len(lines))
        self.notes: list[str] = []
        self._stopped_at: float | None = None
        self._running = False
        self._changed = asyncio.Event()
        self._shown = 0

    # The workers' word

    def _heard(self, worker: _Worker, message: m.FromWorker) -> None:
        worker.heard_at = time.monotonic()
        match message:
            case m.Ready():
                if not worker.ready.done():
                    worker.ready.set_result("")
            case m.ClockReading():
                future = worker.told.pop(message.number, None)
                if future is not None and not future.done():
                    future.set_result(message.now)
            case m.Failed():
                if not worker.ready.done():
                    worker.ready.set_result(message.text)
                elif self._running:
                    self._stop(f"{worker.line.name}: {message.text}")
                else:
                    worker.gone = message.text
            case m.Interval() if message.worker == worker.number:
                self.totals.take(message)
                self._changed.set()

    def _gone(self, worker: _Worker, why: str) -> None:
        worker.gone = worker.gone or why
        if not worker.ready.done():
            worker.ready.set_result(why)
        for future in worker.told.values():
            if not future.done():
                future.cancel()
        self._changed.set()

    def _stop(self, why: str, now: bool = False) -> None:
        if self._stopped_at is None:
            self._stopped_at = time.monotonic()
            self.notes.append(why)
        for worker in self.workers:
            worker.line.say(m.Stop(now))

    def interrupt(self) -> None:
        """The operator ends the run: what is open gets its time; a second word ends that too."""
        self._stop("stopped by the operator", now=self._stopped_at is not None)

    # The run

    async def run(self, fail_if: Sequence[str] = ()) -> Report:
        """Raises `LoadError` where it cannot begin."""
        try:
            await self._prepare()
            return await self._run(fail_if)
        finally:
            await asyncio.gather(*(worker.line.close() for worker in self.workers))

    def _trace_part(self, number: int) -> str:
        if not self.scenario.record or self._folder is None:
            return ""
        return str(self._folder / f"part-{number}.jsonl")

    async def _prepare(self) -> None:
        for worker in self.workers:
            try:
                await worker.line.open(
                    lambda message, worker=worker: self._heard(worker, message),  # type: ignore[misc]
                    lambda why, worker=worker: self._gone(worker, why),  # type: ignore[misc]
                )
            except OSError as error:
                raise LoadError(f"{worker.line.name} cannot be started: {error}") from None
            local = isinstance(worker.line, LocalWorkerLink)
            trace = self._trace_part(worker.number) if local else ""
            job = m.Job(m.VERSION, self.scenario, worker.number, len(self.workers), self._key, trace)
            worker.line.say(job)
        try:
            async with asyncio.timeout(READY_WITHIN):
                for worker in self.workers:
                    if why := await worker.ready:
                        raise LoadError(f"{worker.line.name}: {why}")
                await asyncio.gather(*(self._set_clock(worker) for worker in self.workers))
        except TimeoutError:
            away = [worker.line.name for worker in self.workers if not worker.ready.done()]
            raise LoadError(f"not ready in {READY_WITHIN:g} s: {', '.join(away) or 'the clocks'}") from None
        except asyncio.CancelledError:
            if gone := [f"{w.line.name}: {w.gone}" for w in self.workers if w.gone]:
                raise LoadError("; ".join(gone)) from None
            raise
        if failed := [f"{w.line.name}: {w.gone}" for w in self.workers if w.gone]:
            raise LoadError("; ".join(failed))

    async def _set_clock(self, worker: _Worker) -> None:
        """The offset of its clock by the exchange that took the least time (Cristian, 1989); workers of this
        machine share ours."""
        if isinstance(worker.line, LocalWorkerLink):
            return
        best = None
        for number in range(CLOCK_ASKS):
            future = worker.told[number] = asyncio.get_running_loop().create_future()
            sent = now_us()
            worker.line.say(m.ReadClock(number))
            told = await future
            took = now_us() - sent
            if best is None or took < best[0]:
                best = took, told - (sent + took // 2)
        assert best is not None
        worker.within, worker.offset = best[0] // 2, best[1]
        self.notes.append(f"the clock of {worker.line.name} is known within {worker.within / 1000.0:.1f} ms")

    async def _run(self, fail_if: Sequence[str]) -> Report:
        start = now_us() + LEAD
        for worker in self.workers:
            worker.line.say(m.Start(start + worker.offset))
        self._running = True
        began_at, began = time.time() + LEAD / 1e6, time.monotonic() + LEAD / 1e6
        troubles = asyncio.ensure_future(self._began(began)) if self._began is not None else None
        longest = self.scenario.longest_deadline() / 1000.0
        while True:
            waiting = [w for w in self.workers if not w.gone and w.number not in self.totals.last]
            self._show(began, bool(waiting))
            if not waiting:
                break
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.25):
                    await self._changed.wait()
            self._give_up(waiting, began, longest)
        lasted = max((second.at + 1.0 for second in self.totals.seconds), default=0.0)
        if self.scenario.for_s and self._stopped_at is None:
            lasted = self.scenario.for_s
        told = []
        if troubles is not None:
            troubles.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                told = await troubles
        dead = [worker for worker in self.workers if worker.gone and worker.number not in self.totals.last]
        for worker in dead:
            self.notes.append(f"{worker.line.name} was lost: {worker.gone}")
        scheduled = await asyncio.to_thread(self._scheduled, dead)
        self._write_trace()
        return build_report(
            self.totals,
            self.scenario,
            scheduled=scheduled,
            began_at=began_at,
            lasted=lasted,
            notes=self.notes,
            incomplete=bool(dead) or self._stopped_at is not None,
            trouble=told,
            fail_if=fail_if,
        )

    def _give_up(self, waiting: Sequence[_Worker], began: float, longest: float) -> None:
        """On workers that say nothing although their time is over."""
        now = time.monotonic()
        for worker in waiting:
            over = self._stopped_at or began + (self.scenario.for_s or float("inf"))
            if now > over + longest + SILENT_FOR and now - worker.heard_at > SILENT_FOR:
                worker.gone = f"it has said nothing for {now - worker.heard_at:.0f} s"

    def _show(self, began: float, more: bool) -> None:
        """Seconds that all live workers have told of, or that are too old to wait for."""
        for number in self.totals.pending():
            due = time.monotonic() > began + number + 1.0 + LOOK_AHEAD
            told = all(
                w.gone or w.number in self.totals.last or self.totals.seen[w.number] >= number for w in self.workers
            )
            if more and not due and not told:
                break
            second = self.totals.second(number)
            if second is not None:
                self._live(second)

    def _scheduled(self, dead: Sequence[_Worker]) -> int:
        """How many requests the run should have had: what the workers that ended well offered, which was all
        their share, and the whole share of each that did not."""
        if self._stopped_at is not None or not dead:
            return self.totals.counts["offered"]
        numbers = {worker.number for worker in dead}
        if len(numbers) == len(self.workers):
            return sum(1 for _ in self._arrivals())
        lost_shares = sum(1 for n, _ in enumerate(self._arrivals()) if n % len(self.workers) in numbers)
        return lost_shares + sum(
            self.totals.offered[worker.number] for worker in self.workers if worker.number not in numbers
        )

    def _arrivals(self) -> Iterator[Arrival]:
        limiters = len(self.scenario.targets.addresses)
        if self.scenario.replay is not None:
            try:
                yield from TraceReplay(self.scenario.replay, self._key).arrivals(limiters)
            except (TraceError, OSError):
                return
        else:
            yield from schedule(self.scenario, limiters)

    def _write_trace(self) -> None:
        if not self.scenario.record or self._folder is None:
            return
        parts = [Path(self._trace_part(worker.number)) for worker in self.workers]
        try:
            rows = merge_traces([part for part in parts if part.exists()], Path(self.scenario.record))
        except OSError as error:
            self.notes.append(f"the trace could not be written: {error}")
        else:
            self.notes.append(f"{rows} requests recorded in {self.scenario.record}")


def local_worker_links(count: int) -> list[WorkerLink]:
    return [LocalWorkerLink(number) for number in range(count)]


def renaming_key(scenario: Scenario) -> bytes:
    """The bytes that rename a replay's accounts. Raises `ScenarioError`."""
    replay = scenario.replay
    if replay is None or not replay.rename_key:
        return b""
    try:
        return Path(replay.rename_key).read_bytes()
    except OSError as error:
        raise ScenarioError(f"the key: {error}") from None


def maximum_workers() -> int:
    """One for each core but one, which the coordinator and the system have."""
    return max(1, len(os.sched_getaffinity(0)) - 1)
