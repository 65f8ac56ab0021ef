"""Lookup boxes as formulas.

With c cores, a waiting room of r, work w (ms, mean, exponential) and speed s:

- pace(t) = s x warm(t) x crowded(t) / slow; warm rises evenly from `cold_share` to 1 within `cold_ms` of the start;
- crowded = 1 / (1 + crowd x waiting / r): what waits costs those that are served (memory, scheduling);
- a request takes draw x w / pace at the moment when it begins, and waits first come, first served before that;
- with c served and r waiting the next one is turned away (`BUSY`);
- gray failure: `slow` divides the pace and `errs` is the share of answers that are errors, while health checks pass;
- a pause (collector, disk) stops the clock of all that is served; a silent box answers nothing and forgets nothing;
- a report gives the queue as it was up to `report_every` ms ago, times 1 +/- `noise`.
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
    OK = "ok"
    ERROR = "error"
    BUSY = "busy"


class Timer(Protocol):
    def cancel(self) -> object: ...


class Time(Protocol):
    """ms of Unix time, and what is due later."""

    def now(self) -> float: ...

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> Timer: ...


@dataclass(frozen=True, slots=True)
class Shape:
    """How a kind of box is built; see above."""

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
        """Requests a ms of a warm one that is in good health."""
        return self.cores * self.speed / self.work


@dataclass(slots=True, eq=False)
class Work:
    """One request at a box. `began`: when a core took it, below 0 while it waits."""

    done: Done
    keep: object = None
    began: float = -1.0
    over: bool = False


class BoxModel:
    """Invariant: `running` is at most `cores`, `waiting` at most `room`; `done` is called once, or never where the box
    was silent, restarted or was told that nobody waits any more."""

    def __init__(self, shape: Shape, time: Time, rng: random.Random, started_at: float = 0.0) -> None:
        self.shape, self._time, self._rng = shape, time, rng
        self.started_at = started_at
        self.slow, self.errs, self.lies, self.silent = 1.0, 0.0, False, False
        self.added = 0.0  # ms on each answer
        self.running: dict[Work, Timer] = {}
        self.waiting: deque[Work] = deque()
        self.begun = 0  # how many were served or are
        self._paused_till = 0.0
        self._report = (-1e18, 0)

    def warm(self, now: float) -> float:
        shape = self.shape
        if self.started_at <= 0:
            return 1.0
        age = max(0.0, now - self.started_at) / shape.cold_ms
        return shape.cold_share + (1.0 - shape.cold_share) * min(1.0, age)

    def pace(self, now: float) -> float:
        shape = self.shape
        crowded = 1.0 + shape.crowd * len(self.waiting) / max(1, shape.room)
        return shape.speed * self.warm(now) / crowded / self.slow

    def offer(self, done: Done, keep: object = None) -> Work:
        """Takes a request; `done` may be called before this returns, where it is turned away."""
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
        """Nobody waits for it any more: it is passed over if it has not begun; a core that has begun goes on."""
        if work.began < 0:
            work.over = True

    def _paused(self) -> bool:
        return self._time.now() < self._paused_till

    def _begin(self, work: Work) -> None:
        now = self._time.now()
        work.began = now
        self.begun += 1
        took = self._rng.expovariate(1.0) * self.shape.work / self.pace(now) + self.added
        self.running[work] = self._time.after(took, self._done, work)

    def _done(self, work: Work) -> None:
        if self._paused():
            self.running[work] = self._time.after(self._paused_till - self._time.now(), self._done, work)
            return
        del self.running[work]
        self._next()
        if work.over:
            return
        work.over = True
        if not self.silent:
            wrong = self.errs > 0.0 and self._rng.random() < self.errs
            work.done(Word.ERROR if wrong else Word.OK, work)

    def _next(self) -> None:
        while self.waiting and len(self.running) < self.shape.cores and not self._paused():
            following = self.waiting.popleft()
            if not following.over:
                self._begin(following)

    def pause(self, lasts: float) -> None:
        """Stops all cores for so long (ms)."""
        self._paused_till = max(self._paused_till, self._time.now() + lasts)
        self._time.after(lasts, self._next)

    def restart(self) -> None:
        """Another process at the same address: nothing of what it held, and cold."""
        for work, timer in self.running.items():
            timer.cancel()
            work.over = True
        for work in self.waiting:
            work.over = True
        self.running.clear()
        self.waiting.clear()
        self.silent, self.slow, self.errs, self._paused_till = False, 1.0, 0.0, 0.0
        self.started_at = float(int(self._time.now()))

    def queue(self) -> int:
        """As it reports it."""
        now = self._time.now()
        if now - self._report[0] >= self.shape.report_every:
            length = len(self.waiting)
            if self.shape.noise:
                length = max(0, round(length * (1.0 + self.shape.noise * self._rng.uniform(-1.0, 1.0))))
            self._report = now, 0 if self.lies else length
        return self._report[1]
