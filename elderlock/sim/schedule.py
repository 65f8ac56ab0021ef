"""Simulated time for what does no I/O: what falls due, in order, on a clock that jumps. Times are ms."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from elderlock.sim.virtual.loop import DeadlockError, LivelockError

MAX_STEPS_AT_ONE_TIME = 2_000_000  # steps in which time stood still


class Due:
    """Something that will happen, unless it is cancelled."""

    __slots__ = ("args", "do", "live")

    def __init__(self, do: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.do, self.args, self.live = do, args, True

    def cancel(self) -> None:
        self.live = False


class Schedule:
    """Two things due at one instant come in an order that `ties` seeds; None keeps the order in which they were set.

    Invariant: `now` never goes back."""

    def __init__(self, start: float, ties: int | None = 0) -> None:
        self.time = start
        self._due: list[tuple[float, float, int, Due]] = []
        self._ties = random.Random(f"ties/{ties}") if ties is not None else None
        self._number = self.steps = 0
        self._still = 0

    def now(self) -> float:
        return self.time

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> Due:
        due = Due(do, args)
        self._number += 1
        tie = self._ties.random() if self._ties is not None else 0.0
        heapq.heappush(self._due, (self.time + max(wait, 0.0), tie, self._number, due))
        return due

    def pending_count(self) -> int:
        """How many things are due, cancelled ones among them."""
        return len(self._due)

    def play(self, until: float, waits: Callable[[], str] = str) -> None:
        """Up to that time. Raises `DeadlockError` where nothing is left while `waits` says that somebody waits, and
        `LivelockError`."""
        heap = self._due
        while heap and heap[0][0] <= until:
            at, _, _, due = heapq.heappop(heap)
            if not due.live:
                continue
            if at > self.time:
                self.time, self._still = at, 0
            else:
                self._still += 1
                if self._still > MAX_STEPS_AT_ONE_TIME:
                    raise LivelockError(f"time stands at {at:.3f} ms in {due.do!r}")
            self.steps += 1
            due.do(*due.args)
        if not heap and (who := waits()):
            raise DeadlockError(f"nothing is left to happen; {who}")
        self.time = max(self.time, until)
