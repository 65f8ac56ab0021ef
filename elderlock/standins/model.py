"""The performance model of a lookup server.

The server has c cores, a queue of at most r requests and speed s. The work of a request is exponentially distributed
with a mean of w ms.

- pace(t) = s x warm(t) x crowded(t) / slow. warm rises linearly from `cold_share` to 1 within `cold_ms` of the start.
- crowded = 1 / (1 + crowd x waiting / r). Waiting requests slow down the running ones (memory, scheduling).
- A request takes draw x w / pace, with the pace at the moment when it starts. Requests start in order of arrival.
- With c requests running and r waiting, the next one is refused (`BUSY`).
- Gray failure: `slow` divides the pace and `errs` is the share of answers that are errors, while health checks pass.
- A pause (garbage collector, disk) delays all running requests. A silent server keeps its requests but never answers.
- A load report gives the queue length as it was up to `report_every` ms ago, times 1 +/- `noise`.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

Done = Callable[["Word", "Work"], None]


class Word(Enum):
    """The kind of an answer."""

    OK = "ok"
    ERROR = "error"
    BUSY = "busy"


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> object:
        """Cancels the call."""
        ...


class Time(Protocol):
    """A clock with timers."""

    def now(self) -> float:
        """Returns the Unix time in ms."""
        ...

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> Timer:
        """Calls `do` after `wait` ms."""
        ...


@dataclass(frozen=True, slots=True)
class Shape:
    """The parameters of a kind of server; the docstring of the module has the formulas.

    Attributes:
        cores: The number of cores.
        speed: The speed of a core relative to the standard kind.
        room: The capacity of the queue.
        work: The mean work of a request in ms.
        cold_share: The share of the full pace right after a start.
        cold_ms: The duration of the warm-up in ms.
        crowd: How much waiting requests slow down the running ones.
        report_every: The greatest age of a load report in ms.
        noise: The relative error of a load report.
    """

    cores: int = 2
    speed: float = 1.0
    room: int = 64
    work: float = 20.0
    cold_share: float = 0.24
    cold_ms: float = 4000.0
    crowd: float = 0.0
    report_every: float = 0.0
    noise: float = 0.0

    def bears(self) -> float:
        """Returns the requests per ms that a warm and healthy server can process."""
        return self.cores * self.speed / self.work


@dataclass(slots=True, eq=False)
class Work:
    """One request at a server.

    Attributes:
        done: Is called with the kind of the answer.
        keep: A value that the caller attaches to the request.
        began: When a core started it, in Unix ms; negative while it waits.
        over: Whether no answer is to be sent any more.
    """

    done: Done
    keep: object = None
    began: float = -1.0
    over: bool = False


class ServerModel:
    """A server that follows the model.

    Invariant: at most `cores` requests run and at most `room` wait. `done` is called once for each request, or never if
    the server was silent or restarted, or if the caller has abandoned the request.

    Attributes:
        shape: The parameters.
        started_at: When the process started, in Unix ms; 0 for a server that is warm from the beginning.
        slow: The factor by which a gray failure slows down the server.
        errs: The share of answers that are errors.
        lies: Whether load reports always give an empty queue.
        silent: Whether the server never answers.
        added: A delay in ms that is added to each answer.
        running: The running requests with their timers.
        waiting: The queue.
        begun: The number of requests that have started so far.
    """

    def __init__(self, shape: Shape, time: Time, rng: random.Random, started_at: float = 0.0) -> None:
        self.shape, self._time, self._rng = shape, time, rng
        self.started_at = started_at
        self.slow, self.errs, self.lies, self.silent = 1.0, 0.0, False, False
        self.added = 0.0
        self.running: dict[Work, Timer] = {}
        self.waiting: deque[Work] = deque()
        self.begun = 0
        self._paused_until = 0.0
        self._report = (-1e18, 0)

    def warm(self, now: float) -> float:
        """Returns the share of the full pace that the warm-up allows."""
        shape = self.shape
        if self.started_at <= 0:
            return 1.0
        age = max(0.0, now - self.started_at) / shape.cold_ms
        return shape.cold_share + (1.0 - shape.cold_share) * min(1.0, age)

    def pace(self, now: float) -> float:
        """Returns the current speed of a core."""
        shape = self.shape
        crowded = 1.0 + shape.crowd * len(self.waiting) / max(1, shape.room)
        return shape.speed * self.warm(now) / crowded / self.slow

    def offer(self, done: Done, keep: object = None) -> Work:
        """Accepts a request or refuses it; in the latter case `done` is called before this returns."""
        work = Work(done, keep)
        if len(self.running) < self.shape.cores and not self._paused():
            self._begin(work)
        elif len(self.waiting) < self.shape.room:
            self.waiting.append(work)
        else:
            work.over = True
            if not self.silent:
                done(Word.BUSY, work)
        return work

    def forget(self, work: Work) -> None:
        """Abandons a request: it is skipped if it is still waiting, while a core that has started it finishes it."""
        if work.began < 0:
            work.over = True

    def _paused(self) -> bool:
        return self._time.now() < self._paused_until

    def _begin(self, work: Work) -> None:
        now = self._time.now()
        work.began = now
        self.begun += 1
        duration_ms = self._rng.expovariate(1.0) * self.shape.work / self.pace(now) + self.added
        self.running[work] = self._time.after(duration_ms, self._done, work)

    def _done(self, work: Work) -> None:
        if self._paused():
            self.running[work] = self._time.after(self._paused_until - self._time.now(), self._done, work)
            return
        del self.running[work]
        self._start_waiting()
        if work.over:
            return
        work.over = True
        if not self.silent:
            is_error = self.errs > 0.0 and self._rng.random() < self.errs
            work.done(Word.ERROR if is_error else Word.OK, work)

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.shape.cores and not self._paused():
            next_work = self.waiting.popleft()
            if not next_work.over:
                self._begin(next_work)

    def pause(self, lasts: float) -> None:
        """Stops all cores for `lasts` ms."""
        self._paused_until = max(self._paused_until, self._time.now() + lasts)
        self._time.after(lasts, self._start_waiting)

    def restart(self) -> None:
        """Simulates a new process at the same address, which starts cold and without the requests of the old one."""
        for work, timer in self.running.items():
            timer.cancel()
            work.over = True
        for work in self.waiting:
            work.over = True
        self.running.clear()
        self.waiting.clear()
        self.silent, self.slow, self.errs, self._paused_until = False, 1.0, 0.0, 0.0
        self.started_at = float(int(self._time.now()))

    def queue(self) -> int:
        """Returns the queue length as the load report gives it."""
        now = self._time.now()
        if now - self._report[0] >= self.shape.report_every:
            length = len(self.waiting)
            if self.shape.noise:
                length = max(0, round(length * (1.0 + self.shape.noise * self._rng.uniform(-1.0, 1.0))))
            self._report = now, 0 if self.lies else length
        return self._report[1]
