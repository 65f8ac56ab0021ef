"""Lend workers of the load generator, on the agent's machine, to an operator's run.

The agent starts the process and forwards frames in both directions without reading them. Each request of the run renews
the lease of its worker. A worker whose lease expires is killed, so a coordinator that dies leaves no load behind.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence

from elderlock import logs
from elderlock.control.framing import FrameDecoder, FrameError, encode_frame
from elderlock.spawning import spawn

LEASE_TIMEOUT_S = 5.0  # without a request, after which a worker is killed
MAXIMUM_BUFFERED_BYTES = 64 << 20  # of one frame, and of all frames that the caller has not confirmed
MAXIMUM_ANSWER_BYTES = 8 << 20  # of frames in one answer, as an agent's messages are bounded
WORKER_ARGUMENTS = ("-m", "elderlock.load.worker")

log = logs.get_logger(__name__)


class _LeasedWorker:
    """A worker process, with the frames that the caller has not confirmed.

    Attributes:
        end_text: How the process ended, for people; empty while it runs.
    """

    def __init__(self, job: str) -> None:
        self.job = job
        self.process: asyncio.subprocess.Process | None = None
        self.frames: list[bytes] = []  # the worker's frames that the caller has not confirmed
        self.first_number = 0  # the number of the first of these frames
        self.received_count = 0  # how many of the caller's frames were forwarded
        self.buffered_bytes = 0  # of the unconfirmed frames
        self.end_text = ""
        self.lease_timer: asyncio.TimerHandle | None = None
        self.reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        try:
            self.process = await spawn(
                sys.executable,
                *WORKER_ARGUMENTS,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,
            )
        except OSError as error:
            self.end_text = f"it cannot be started: {error}"
            return
        self.reader = asyncio.get_running_loop().create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        decoder = FrameDecoder(MAXIMUM_BUFFERED_BYTES)
        error_text = ""
        try:
            while data := await process.stdout.read(1 << 18):
                for frame in decoder.feed(data):
                    self.frames.append(frame)
                    self.buffered_bytes += len(frame)
                if self.buffered_bytes > MAXIMUM_BUFFERED_BYTES:
                    error_text = f"more than {MAXIMUM_BUFFERED_BYTES} bytes of its frames are unconfirmed"
                    break
        except FrameError as error:
            error_text = str(error)
        if error_text:
            self.kill()
        exit_code = await process.wait()
        self.end_text = error_text or (
            f"it was killed by signal {-exit_code}" if exit_code < 0 else f"it ended with code {exit_code}"
        )

    def drop_confirmed(self, confirmed_count: int) -> None:
        """Drop the frames that the caller has received, which are the first `confirmed_count` of all."""
        dropped_count = max(0, min(confirmed_count - self.first_number, len(self.frames)))
        self.buffered_bytes -= sum(map(len, self.frames[:dropped_count]))
        del self.frames[:dropped_count]
        self.first_number += dropped_count

    def next_answer(self) -> tuple[bytes, ...]:
        """Return the unconfirmed frames, as many as one answer holds."""
        size_bytes, count = 0, 0
        for frame in self.frames:
            if count and size_bytes + len(frame) > MAXIMUM_ANSWER_BYTES:
                break
            size_bytes, count = size_bytes + len(frame), count + 1
        return tuple(self.frames[:count])

    def forward(self, first_number: int, frames: Sequence[bytes]) -> None:
        """Forward the caller's frames to the worker, except those that it has sent before."""
        stdin = self.process.stdin if self.process is not None else None
        for number, frame in enumerate(frames, first_number):
            if number == self.received_count:
                self.received_count += 1
                if stdin is not None and not stdin.is_closing():
                    stdin.write(encode_frame(frame))

    def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                return


class WorkerLeasing:
    """The workers that an agent lends, one for each job."""

    def __init__(self, maximum_workers: int) -> None:
        """Start without workers.

        Args:
            maximum_workers: How many workers are lent at the same time.
        """
        self._maximum_workers = maximum_workers
        self._workers: dict[str, _LeasedWorker] = {}

    def is_new_job(self, job: str) -> bool:
        """Whether no worker is lent to the job yet."""
        return job not in self._workers

    def refusal(self) -> str:
        """Return why no further worker is lent; empty if one can be."""
        if not self._maximum_workers:
            return "this machine lends no workers: [lend] in its agent's file sets how many"
        if len(self._workers) >= self._maximum_workers:
            return f"all {self._maximum_workers} workers that this machine lends are in use"
        return ""

    async def exchange_frames(
        self, job: str, first_number: int, frames: Sequence[bytes], confirmed_count: int, is_end_requested: bool
    ) -> tuple[int, int, tuple[bytes, ...], str]:
        """Forward the caller's frames to the job's worker and return the worker's frames.

        Starts the worker if the job is new, and renews its lease.

        Args:
            job: The unique name of the job.
            first_number: The number of the first of `frames`.
            frames: The caller's frames.
            confirmed_count: How many of the worker's frames the caller has received.
            is_end_requested: Whether to kill the worker.

        Returns:
            How many of the caller's frames were received, the number of the first returned frame, the frames, and how
            the worker ended; empty until it has ended and all its frames are confirmed.
        """
        worker = self._workers.get(job)
        if worker is None:
            worker = self._workers[job] = _LeasedWorker(job)
            await worker.start()
        if worker.lease_timer is not None:
            worker.lease_timer.cancel()
        worker.lease_timer = asyncio.get_running_loop().call_later(LEASE_TIMEOUT_S, self._end_expired, worker)
        worker.forward(first_number, frames)
        worker.drop_confirmed(confirmed_count)
        end_text = "" if worker.frames else worker.end_text
        answer = (
            worker.received_count,
            worker.first_number,
            worker.next_answer(),
            end_text or ("ended as asked" if is_end_requested else ""),
        )
        if is_end_requested or end_text:
            self._end_worker(worker)
        return answer

    def _end_expired(self, worker: _LeasedWorker) -> None:
        log.warning("lent worker killed: no request within the lease", job=worker.job)
        self._end_worker(worker)

    def _end_worker(self, worker: _LeasedWorker) -> None:
        if worker.lease_timer is not None:
            worker.lease_timer.cancel()
        worker.kill()
        self._workers.pop(worker.job, None)

    def close(self) -> None:
        """Kill all workers."""
        for worker in list(self._workers.values()):
            self._end_worker(worker)
