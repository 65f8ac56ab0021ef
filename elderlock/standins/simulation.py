"""A discrete-event simulation: the clock jumps from one scheduled call to the next. Times are in ms."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Self


class Simulation:
    """Runs scheduled calls in order of time; calls at the same time run in the order in which they were scheduled.

    Attributes:
        now: The simulated time.
    """

    def __init__(self, start: float) -> None:
        self.now = start
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> None:
        """Schedules a call of `do` in `wait` ms."""
        self._number += 1
        heapq.heappush(self._due, (self.now + wait, self._number, do, args))

    def play(self, lasts: float) -> Self:
        """Runs the simulation for `lasts` ms and returns the simulation itself."""
        end = self.now + lasts
        while self._due and self._due[0][0] <= end:
            self.now, _, do, args = heapq.heappop(self._due)
            do(*args)
        self.now = end
        return self
