"""Workers of the load generator that an agent's machine lends to an operator's run.

The agent starts the process and passes frames both ways unread. A run holds its workers by asking after them;
one that nobody asks after is ended, so a coordinator that dies leaves no load behind.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence

from elderlock import logs
from elderlock.control.framing import FrameDecoder, FrameError, encode_frame
from elderlock.spawning import spawn

LEASE = 5.0  # s without a question after which a worker is ended
LONGEST = 64 << 20  # bytes of a frame, and of what is kept till it is asked for
MOST_ANSWERED = 8 << 20  # bytes of frames in one answer; an agent's message has a bound
WORKER = ("-m", "elderlock.load.worker")

log = logs.get_logger(__name__)


class _LeasedWorker:
    def __init__(self, job: str) -> None:
        self.job = job
        self.process: asyncio.subprocess.Process | None = None
        self.frames: list[bytes] = []  # that have not been confirmed
        self.first = 0  # the number of the first of them
        self.taken = 0  # the caller's frames that were passed on
        self.kept = 0  # bytes of them
        self.ended = ""
        self.lease: asyncio.TimerHandle | None = None
        self.reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        try:
            self.process = await spawn(
                sys.executable,
                *WORKER,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,
            )
        except OSError as error:
            self.ended = f"it cannot be started: {error}"
            return
        self.reading = asyncio.get_running_loop().create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        framer = FrameDecoder(LONGEST)
        why = ""
        try:
            while data := await process.stdout.read(1 << 18):
                for body in framer.feed(data):
                    self.frames.append(body)
                    self.kept += len(body)
                if self.kept > LONGEST:
                    why = "it says more than is fetched"
                    break
        except FrameError as error:
            why = str(error)
        if why:
            self.kill()
        code = await process.wait()
        self.ended = why or (f"it was killed by signal {-code}" if code < 0 else f"it ended with {code}")

    def confirmed(self, have: int) -> None:
        """The caller has so many: they are kept no longer."""
        gone = max(0, min(have - self.first, len(self.frames)))
        self.kept -= sum(map(len, self.frames[:gone]))
        del self.frames[:gone]
        self.first += gone

    def told(self) -> tuple[bytes, ...]:
        """What is not confirmed, as much as one answer holds."""
        size, count = 0, 0
        for frame in self.frames:
            if count and size + len(frame) > MOST_ANSWERED:
                break
            size, count = size + len(frame), count + 1
        return tuple(self.frames[:count])

    def passed(self, first: int, frames: Sequence[bytes]) -> None:
        """Passes on those that have not come before."""
        stdin = self.process.stdin if self.process is not None else None
        for number, frame in enumerate(frames, first):
            if number == self.taken:
                self.taken += 1
                if stdin is not None and not stdin.is_closing():
                    stdin.write(encode_frame(frame))

    def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                return


class WorkerLeasing:
    """`most` workers at once, each held under the name of its job."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._lent: dict[str, _LeasedWorker] = {}

    def is_new_job(self, job: str) -> bool:
        return job not in self._lent

    def refusal(self) -> str:
        """Why no further one is lent; empty where one is."""
        if not self._most:
            return "this machine lends no workers; [lend] of its agent's file says how many"
        if len(self._lent) >= self._most:
            return f"all {self._most} workers that this machine lends are in use"
        return ""

    async def exchange_frames(
        self, job: str, first: int, frames: Sequence[bytes], have: int, end: bool
    ) -> tuple[int, int, tuple[bytes, ...], str]:
        """Passes words on and gives what came: how many of the caller's have come, the number of the first
        frame, the frames, and how it ended, once all is confirmed."""
        lent = self._lent.get(job)
        if lent is None:
            lent = self._lent[job] = _LeasedWorker(job)
            await lent.start()
        if lent.lease is not None:
            lent.lease.cancel()
        lent.lease = asyncio.get_running_loop().call_later(LEASE, self._lapse, lent)
        lent.passed(first, frames)
        lent.confirmed(have)
        ended = "" if lent.frames else lent.ended
        answer = lent.taken, lent.first, lent.told(), ended or ("ended as asked" if end else "")
        if end or ended:
            self._drop(lent)
        return answer

    def _lapse(self, lent: _LeasedWorker) -> None:
        log.warning("lent worker ended: nobody asks after it", job=lent.job)
        self._drop(lent)

    def _drop(self, lent: _LeasedWorker) -> None:
        if lent.lease is not None:
            lent.lease.cancel()
        lent.kill()
        self._lent.pop(lent.job, None)

    def close(self) -> None:
        for lent in list(self._lent.values()):
            self._drop(lent)
