"""Runs the workers of a load run on a common clock, collects their measurements and builds the report.

A worker is a process on this machine, or one that another machine's agent leases to the run. A worker that dies loses
the measurements that it had not sent; the schedule tells exactly how many requests those were.
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
from elderlock.load import messages
from elderlock.load.clock import now_us
from elderlock.load.metrics import Second, Totals
from elderlock.load.report import Report, build_report
from elderlock.load.scenario import Scenario, ScenarioError
from elderlock.load.schedule import Arrival, schedule
from elderlock.load.trace import TraceError, TraceReplay, merge_traces
from elderlock.spawning import spawn

READY_TIMEOUT_S = 60.0  # a worker may have to draw 100,000 accounts first
START_DELAY_US = 300_000  # between the start message and the start of the schedule
CLOCK_EXCHANGES = 8  # per worker; the one with the shortest round trip counts
SILENCE_TIMEOUT_S = 10.0  # maximum silence of a worker after the schedule's end and the longest deadline
LATE_INTERVAL_TIMEOUT_S = 2.0  # how long the live figures of a second wait for an interval that is late


class LoadError(Exception):
    """The run could not start; the text says why."""


class WorkerLink(Protocol):
    """The connection to one worker.

    Attributes:
        name: Name of the worker in messages to the operator.
    """

    name: str

    async def open(self, on_message: Callable[[messages.FromWorker], None], on_lost: Callable[[str], None]) -> None:
        """Start the worker.

        Args:
            on_message: Called with each message from the worker.
            on_lost: Called with the reason when the worker or its connection has ended.
        """

    def send(self, message: messages.Message) -> None:
        """Send a message to the worker; it is dropped if the worker has ended."""

    async def close(self) -> None:
        """End the worker."""


class LocalWorkerLink:
    """A worker process on this machine.

    Attributes:
        name: Name of the worker in messages to the operator.
        process: The process, once it is started.
    """

    def __init__(self, number: int) -> None:
        self.name = f"worker {number}"
        self.process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(self, on_message: Callable[[messages.FromWorker], None], on_lost: Callable[[str], None]) -> None:
        """Start the process and read its messages; see `WorkerLink.open`.

        Raises:
            OSError: The process cannot be started.
        """
        self.process = await spawn(
            sys.executable,
            "-m",
            "elderlock.load.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self._task = asyncio.get_running_loop().create_task(self._read(on_message, on_lost))

    async def _read(self, on_message: Callable[[messages.FromWorker], None], on_lost: Callable[[str], None]) -> None:
        assert self.process is not None and self.process.stdout is not None
        decoder, reason = FrameDecoder(messages.MAXIMUM_MESSAGE_BYTES), ""
        try:
            while data := await self.process.stdout.read(1 << 18):
                for body in decoder.feed(data):
                    on_message(messages.decode_from_worker(body))
        except (FrameError, msgspec.DecodeError) as error:
            reason = f"it sent a message that cannot be decoded: {error}"
        code = await self.process.wait() if not reason else 0
        on_lost(reason or (f"it was killed by signal {-code}" if code < 0 else f"it exited with status {code}"))

    def send(self, message: messages.Message) -> None:
        """Send a message to the worker; it is dropped if the worker has ended."""
        if self.process is not None and self.process.stdin is not None and not self.process.stdin.is_closing():
            self.process.stdin.write(encode_frame(messages.encode(message)))

    async def close(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self._task is not None:
            self._task.cancel()
        if self.process is not None and self.process.returncode is None:
            # A process that SIGSTOP has suspended does not react to SIGTERM.
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class _Worker:
    """The coordinator's state of one worker.

    Attributes:
        number: Number of the worker, from 0.
        link: Connection to the worker.
        ready: Resolved when the worker is ready, with an empty text, or with the reason why it cannot start.
        clock_readings: Clock exchanges that wait for an answer, by number.
        clock_offset_us: The worker's clock minus this machine's.
        clock_error_us: Maximum error of that offset.
        lost_reason: Why the worker was lost; empty while it runs.
        heard_at: Time of its last message, by the monotonic clock in s.
    """

    def __init__(self, number: int, link: WorkerLink) -> None:
        self.number, self.link = number, link
        self.ready: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.clock_readings: dict[int, asyncio.Future[int]] = {}
        self.clock_offset_us = 0
        self.clock_error_us = 0
        self.lost_reason = ""
        self.heard_at = time.monotonic()


class Coordinator:
    """Performs one load run.

    Attributes:
        scenario: The scenario of the run.
        workers: The state of each worker.
        totals: The merged measurements.
        notes: Remarks for the report.
    """

    def __init__(
        self,
        scenario: Scenario,
        links: Sequence[WorkerLink],
        live: Callable[[Second], None] = lambda second: None,
        began: Callable[[float], Awaitable[list[tuple[float, str]]]] | None = None,
        key: bytes = b"",
        folder: Path | None = None,
    ) -> None:
        """Prepare a run.

        Args:
            scenario: The scenario, with the addresses of its targets.
            links: One link for each worker.
            live: Called with the merged measurements of each second.
            began: Called with the monotonic start time in s; injects the faults and returns them with their times. It
                is cancelled at the end of the run.
            key: Key that renames a replay's accounts.
            folder: Folder for the workers' parts of a trace.
        """
        self.scenario, self._live, self._began, self._key = scenario, live, began, key
        self._folder = folder
        self.workers = [_Worker(number, link) for number, link in enumerate(links)]
        self.totals = Totals(scenario.truth, len(links))
        self.notes: list[str] = []
        self._stopped_at: float | None = None
        self._is_running = False
        self._changed = asyncio.Event()
        self._shown = 0

    # Messages from the workers

    def _on_message(self, worker: _Worker, message: messages.FromWorker) -> None:
        worker.heard_at = time.monotonic()
        match message:
            case messages.Ready():
                if not worker.ready.done():
                    worker.ready.set_result("")
            case messages.ClockReading():
                future = worker.clock_readings.pop(message.number, None)
                if future is not None and not future.done():
                    future.set_result(message.now)
            case messages.Failed():
                if not worker.ready.done():
                    worker.ready.set_result(message.text)
                elif self._is_running:
                    self._stop(f"{worker.link.name}: {message.text}")
                else:
                    worker.lost_reason = message.text
            case messages.Interval() if message.worker == worker.number:
                self.totals.add_interval(message)
                self._changed.set()

    def _on_lost(self, worker: _Worker, reason: str) -> None:
        worker.lost_reason = worker.lost_reason or reason
        if not worker.ready.done():
            worker.ready.set_result(reason)
        for future in worker.clock_readings.values():
            if not future.done():
                future.cancel()
        self._changed.set()

    def _stop(self, reason: str, now: bool = False) -> None:
        if self._stopped_at is None:
            self._stopped_at = time.monotonic()
            self.notes.append(reason)
        for worker in self.workers:
            worker.link.send(messages.Stop(now))

    def interrupt(self) -> None:
        """Stop the run for the operator; a second call also ends the requests in flight."""
        self._stop("stopped by the operator", now=self._stopped_at is not None)

    # The run

    async def run(self, fail_if: Sequence[str] = ()) -> Report:
        """Run the scenario and return the report.

        Args:
            fail_if: Thresholds beside those of the scenario.

        Raises:
            LoadError: The run could not start.
        """
        try:
            await self._prepare()
            return await self._run(fail_if)
        finally:
            await asyncio.gather(*(worker.link.close() for worker in self.workers))

    def _trace_part(self, number: int) -> str:
        if not self.scenario.record or self._folder is None:
            return ""
        return str(self._folder / f"part-{number}.jsonl")

    async def _prepare(self) -> None:
        for worker in self.workers:
            try:
                await worker.link.open(
                    lambda message, worker=worker: self._on_message(worker, message),  # type: ignore[misc]
                    lambda reason, worker=worker: self._on_lost(worker, reason),  # type: ignore[misc]
                )
            except OSError as error:
                raise LoadError(f"{worker.link.name} cannot be started: {error}") from None
            is_local = isinstance(worker.link, LocalWorkerLink)
            trace_part = self._trace_part(worker.number) if is_local else ""
            job = messages.Job(messages.VERSION, self.scenario, worker.number, len(self.workers), self._key, trace_part)
            worker.link.send(job)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for worker in self.workers:
                    if reason := await worker.ready:
                        raise LoadError(f"{worker.link.name}: {reason}")
                await asyncio.gather(*(self._measure_clock(worker) for worker in self.workers))
        except TimeoutError:
            pending = [worker.link.name for worker in self.workers if not worker.ready.done()]
            what = ", ".join(pending) or "the clock exchange"
            raise LoadError(f"not ready within {READY_TIMEOUT_S:g} s: {what}") from None
        except asyncio.CancelledError:
            if lost := [f"{w.link.name}: {w.lost_reason}" for w in self.workers if w.lost_reason]:
                raise LoadError("; ".join(lost)) from None
            raise
        if lost := [f"{w.link.name}: {w.lost_reason}" for w in self.workers if w.lost_reason]:
            raise LoadError("; ".join(lost))

    async def _measure_clock(self, worker: _Worker) -> None:
        """Measure the offset of a remote worker's clock by the exchange with the shortest round trip (Cristian, 1989).

        Workers of this machine share its clock.
        """
        if isinstance(worker.link, LocalWorkerLink):
            return
        best = None
        for number in range(CLOCK_EXCHANGES):
            future = worker.clock_readings[number] = asyncio.get_running_loop().create_future()
            sent_at = now_us()
            worker.link.send(messages.ReadClock(number))
            reading = await future
            round_trip = now_us() - sent_at
            if best is None or round_trip < best[0]:
                best = round_trip, reading - (sent_at + round_trip // 2)
        assert best is not None
        worker.clock_error_us, worker.clock_offset_us = best[0] // 2, best[1]
        self.notes.append(f"the clock of {worker.link.name} is known within {worker.clock_error_us / 1000.0:.1f} ms")

    async def _run(self, fail_if: Sequence[str]) -> Report:
        start = now_us() + START_DELAY_US
        for worker in self.workers:
            worker.link.send(messages.Start(start + worker.clock_offset_us))
        self._is_running = True
        began_at, began = time.time() + START_DELAY_US / 1e6, time.monotonic() + START_DELAY_US / 1e6
        fault_injection = asyncio.ensure_future(self._began(began)) if self._began is not None else None
        longest_deadline_s = self.scenario.longest_deadline() / 1000.0
        while True:
            running = [w for w in self.workers if not w.lost_reason and w.number not in self.totals.finished_workers]
            self._publish_seconds(began, bool(running))
            if not running:
                break
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.25):
                    await self._changed.wait()
            self._give_up_silent(running, began, longest_deadline_s)
        lasted = max((second.at + 1.0 for second in self.totals.seconds), default=0.0)
        if self.scenario.for_s and self._stopped_at is None:
            lasted = self.scenario.for_s
        injected_faults = []
        if fault_injection is not None:
            fault_injection.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                injected_faults = await fault_injection
        lost = [
            worker
            for worker in self.workers
            if worker.lost_reason and worker.number not in self.totals.finished_workers
        ]
        for worker in lost:
            self.notes.append(f"{worker.link.name} was lost: {worker.lost_reason}")
        scheduled = await asyncio.to_thread(self._count_scheduled, lost)
        self._write_trace()
        return build_report(
            self.totals,
            self.scenario,
            scheduled=scheduled,
            began_at=began_at,
            lasted=lasted,
            notes=self.notes,
            incomplete=bool(lost) or self._stopped_at is not None,
            faults=injected_faults,
            fail_if=fail_if,
        )

    def _give_up_silent(self, running: Sequence[_Worker], began: float, longest_deadline_s: float) -> None:
        """Mark workers as lost that are silent after the time by which they must have finished."""
        now = time.monotonic()
        for worker in running:
            end = self._stopped_at or began + (self.scenario.for_s or float("inf"))
            silence = now - worker.heard_at
            if now > end + longest_deadline_s + SILENCE_TIMEOUT_S and silence > SILENCE_TIMEOUT_S:
                worker.lost_reason = f"it has sent nothing for {silence:.0f} s"

    def _publish_seconds(self, began: float, is_running: bool) -> None:
        """Publish the seconds that all running workers have reported, or that are too old to wait for."""
        for number in self.totals.pending_seconds():
            is_due = time.monotonic() > began + number + 1.0 + LATE_INTERVAL_TIMEOUT_S
            is_reported = all(
                worker.lost_reason
                or worker.number in self.totals.finished_workers
                or self.totals.last_interval[worker.number] >= number
                for worker in self.workers
            )
            if is_running and not is_due and not is_reported:
                break
            second = self.totals.take_second(number)
            if second is not None:
                self._live(second)

    def _count_scheduled(self, lost: Sequence[_Worker]) -> int:
        """Return the number of requests that the run should have offered.

        A worker that finished has offered its whole share. For a lost one, its share of the schedule is counted.
        """
        if self._stopped_at is not None or not lost:
            return self.totals.counts["offered"]
        numbers = {worker.number for worker in lost}
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
            self.notes.append(f"the trace {self.scenario.record} could not be written: {error}")
        else:
            self.notes.append(f"{rows} requests recorded in {self.scenario.record}")


def local_worker_links(count: int) -> list[WorkerLink]:
    """Return links to this many workers on this machine."""
    return [LocalWorkerLink(number) for number in range(count)]


def renaming_key(scenario: Scenario) -> bytes:
    """Return the key that renames the replay's accounts; empty if none is configured.

    Raises:
        ScenarioError: The key file cannot be read.
    """
    replay = scenario.replay
    if replay is None or not replay.rename_key:
        return b""
    try:
        return Path(replay.rename_key).read_bytes()
    except OSError as error:
        raise ScenarioError(f"replay: rename_key cannot be read: {error}") from None


def maximum_workers() -> int:
    """Return the number of usable cores less one, which is left to the coordinator and the system."""
    return max(1, len(os.sched_getaffinity(0)) - 1)
