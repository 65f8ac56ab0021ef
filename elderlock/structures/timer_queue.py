"""Many timers behind the one timer that the I/O layer has to set."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import NamedTuple

EARLY_FIRING_MS = 1.0  # event loops round, so that a timer may fire a little before its time


@dataclass(slots=True, eq=False)
class Timer:
    """A scheduled timer.

    Attributes:
        query_id: The query whose answer is awaited; None for periodic maintenance.
        is_live: False once the timer was cancelled.
    """

    query_id: int | None
    is_live: bool = True


class _ScheduledTimer(NamedTuple):
    """A timer in the heap; `sequence_number` keeps timers of the same time in the order of their scheduling."""

    due_at_ms: float
    sequence_number: int
    timer: Timer


class TimerQueue:
    """A queue of timers, of which only the earliest live one is set outside.

    A cancelled timer stays in the heap until it is the earliest, and causes no wake-up. `schedule` costs O(log n).

    Invariant: after `arm`, the I/O layer was asked for a timer that fires when the earliest live timer is due, or
    before.

    Attributes:
        heap: The scheduled timers as a binary heap, cancelled ones included.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.heap: list[_ScheduledTimer] = []
        self._last_number = 0
        self._armed_token = 0
        self._armed_at_ms = float("inf")

    def schedule(self, due_at_ms: float, query_id: int | None) -> Timer:
        """Add a timer for `query_id` that is due at `due_at_ms`."""
        self._last_number += 1
        timer = Timer(query_id)
        heapq.heappush(self.heap, _ScheduledTimer(due_at_ms, self._last_number, timer))
        return timer

    def pop_due(self, token: int, now_ms: float) -> list[Timer]:
        """Remove and return the live timers that are due, the earliest first.

        Args:
            token: The token of the timer that fired; the result is empty if `arm` has replaced that timer since.
            now_ms: The current time.
        """
        if token != self._armed_token:
            return []
        self._armed_token = 0
        self._armed_at_ms = float("inf")
        due = []
        while self.heap and self.heap[0].due_at_ms <= now_ms + EARLY_FIRING_MS:
            timer = heapq.heappop(self.heap).timer
            if timer.is_live:
                due.append(timer)
        return due

    def arm(self, now_ms: float) -> tuple[float, int] | None:
        """Return the delay (ms) and the token of the timer to set now.

        Returns:
            None where no live timer is left, or where the one that is set already fires early enough.
        """
        heap = self.heap
        while heap and not heap[0].timer.is_live:
            heapq.heappop(heap)
        if not heap or heap[0].due_at_ms >= self._armed_at_ms:
            return None
        self._last_number += 1
        self._armed_token = self._last_number
        self._armed_at_ms = heap[0].due_at_ms
        return max(self._armed_at_ms - now_ms, 0.0), self._armed_token
