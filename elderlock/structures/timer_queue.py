"""A queue of timers that needs only one timer of the frontend."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import NamedTuple

EARLY_FIRING_MS = 1.0  # a timer may fire this early, as event loops round times


@dataclass(slots=True, eq=False)
class Timer:
    """A scheduled timer.

    Attributes:
        query_id: The query that times out when the timer fires; None for periodic maintenance.
        is_live: False after the timer was cancelled.
    """

    query_id: int | None
    is_live: bool = True


class _ScheduledTimer(NamedTuple):
    """A timer in the heap; `sequence_number` keeps timers of the same time in the order of their scheduling."""

    due_at_ms: float
    sequence_number: int
    timer: Timer


class TimerQueue:
    """A queue of timers, of which the frontend has to set only the earliest live one.

    A cancelled timer stays in the heap until it is the earliest one, but causes no wake-up. `schedule` costs O(log n).

    Invariant: after `arm` and the setting of the timer that it returns, the frontend has a timer that fires when the
    earliest live timer is due or before.

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
        """Add a timer that is due at `due_at_ms`; `query_id` is that of `Timer`."""
        self._last_number += 1
        timer = Timer(query_id)
        heapq.heappush(self.heap, _ScheduledTimer(due_at_ms, self._last_number, timer))
        return timer

    def pop_due(self, token: int, now_ms: float) -> list[Timer]:
        """Remove and return the live timers that are due, the earliest first.

        Args:
            token: The token of the timer that fired; the result is empty if `arm` has replaced this timer.
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
        """Determine the timer that the frontend has to set now.

        Returns:
            The timer's delay in ms and its token; None if no live timer is left or the current one fires early enough.
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
