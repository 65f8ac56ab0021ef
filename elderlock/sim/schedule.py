"""Timers on a simulated clock for code that does no I/O; the clock jumps to the next timer. Times are ms."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from elderlock.sim.virtual.loop import DeadlockError, LivelockError

MAX_STEPS_AT_ONE_TIME = 2_000_000  # timers run without progress of time


class Timer:
    """A scheduled call.

    Attributes:
        do: The function.
        args: Its arguments.
        live: Whether the call was not cancelled.
    """

    __slots__ = ("args", "do", "live")

    def __init__(self, do: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.do, self.args, self.live = do, args, True

    def cancel(self) -> None:
        """Cancels the call."""
        self.live = False


class Schedule:
    """The clock and the timers of a run.

    Invariant: `now` never goes back.

    Attributes:
        time: The present time.
        steps: The number of timers that have run.
    """

    def __init__(self, start: float, ties: int | None = 0) -> None:
        """Creates a schedule without timers.

        Args:
            start: The present time.
            ties: Seeds the order of timers due at the same time; None keeps the order in which they were set.
        """
        self.time = start
        self._timers: list[tuple[float, float, int, Timer]] = []
        self._ties = random.Random(f"ties/{ties}") if ties is not None else None
        self._timers_set = self.steps = 0
        self._steps_at_this_time = 0

    def now(self) -> float:
        """Returns the present time."""
        return self.time

    def after(self, wait: float, do: Callable[..., None], *args: Any) -> Timer:
        """Schedules a call of `do` after `wait`."""
        timer = Timer(do, args)
        self._timers_set += 1
        tie = self._ties.random() if self._ties is not None else 0.0
        heapq.heappush(self._timers, (self.time + max(wait, 0.0), tie, self._timers_set, timer))
        return timer

    def pending_count(self) -> int:
        """Returns the number of timers, including cancelled ones."""
        return len(self._timers)

    def play(self, until: float, waits: Callable[[], str] = str) -> None:
        """Runs the timers up to that time.

        Args:
            until: The time.
            waits: Describes what is still waited for; empty if there is nothing.

        Raises:
            DeadlockError: No timer is left while something is waited for.
            LivelockError: Timers run without end at one time of the clock.
        """
        heap = self._timers
        while heap and heap[0][0] <= until:
            at, _, _, timer = heapq.heappop(heap)
            if not timer.live:
                continue
            if at > self.time:
                self.time, self._steps_at_this_time = at, 0
            else:
                self._steps_at_this_time += 1
                if self._steps_at_this_time > MAX_STEPS_AT_ONE_TIME:
                    raise LivelockError(f"the clock stays at {at:.3f} ms in {timer.do!r}")
            self.steps += 1
            timer.do(*timer.args)
        if not heap and (who := waits()):
            raise DeadlockError(f"no timer is left; {who}")
        self.time = max(self.time, until)
