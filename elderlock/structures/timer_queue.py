"""Many timers behind one: only the earliest that is live is asked for outside."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

EARLY_FIRING_MS = 1.0  # ms that a timer may fire before its time, as event loops round


@dataclass(slots=True, eq=False)
class Timer:
    """`question`: what it is for; None for upkeep. Cancelled by setting `live` to False."""

    query_id: int | None
    is_live: bool = True


class TimerQueue:
    """Times are ms. A cancelled timer stays in the heap till it is the earliest, and wakes nobody.

    Invariant: after `arm`, the earliest live timer has been asked for, at its time or before."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Timer]] = []
        self._number = 0
        self._armed, self._armed_at = 0, float("inf")

    def schedule(self, at: float, question: int | None) -> Timer:
        self._number += 1
        timer = Timer(question)
        heapq.heappush(self.heap, (at, self._number, timer))
        return timer

    def pop_due(self, token: int, now: float) -> list[Timer]:
        """What has come due; nothing for a token that an earlier one has taken the place of."""
        if token != self._armed:
            return []
        self._armed, self._armed_at = 0, float("inf")
        due = []
        while self.heap and self.heap[0][0] <= now + EARLY_FIRING_MS:
            timer = heapq.heappop(self.heap)[2]
            if timer.is_live:
                due.append(timer)
        return due

    def arm(self, now: float) -> tuple[float, int] | None:
        """The wait and the token of the one timer to ask for now, if one is needed."""
        heap = self.heap
        while heap and not heap[0][2].is_live:
            heapq.heappop(heap)
        if not heap or heap[0][0] >= self._armed_at:
            return None
        self._number += 1
        self._armed, self._armed_at = self._number, heap[0][0]
        return max(self._armed_at - now, 0.0), self._armed
