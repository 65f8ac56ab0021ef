"""A queue of keys in the order of their last use, which yields those that were idle for too long."""

from __future__ import annotations

import heapq
from collections import OrderedDict


class ExpiryQueue:
    """Keys that expire once they were not used for a time, at no cost while they are idle.

    A key expires once: who pops it forgets it, or postpones it to a time at which it expires again unless it is used
    before that.

    Invariant: each key that was used stands once, either in `recent`, the longest idle first, or in `postponed`.

    Attributes:
        idle_ms: How long a key may be idle.
        recent: The time (ms) of the last use of each key, the oldest first.
        postponed: The time (ms) at which each postponed key expires.
    """

    def __init__(self, idle_ms: float) -> None:
        """Create an empty queue whose keys expire after `idle_ms` without use."""
        self.idle_ms = idle_ms
        self.recent: OrderedDict[int, float] = OrderedDict()  # a dict would step over the keys deleted at its front
        self.postponed: dict[int, float] = {}
        self._postponed_heap: list[tuple[float, int]] = []  # also holds entries that are outdated

    def touch(self, key: int, now_ms: float) -> None:
        """Record a use of `key`."""
        self.postponed.pop(key, None)
        self.recent[key] = now_ms
        self.recent.move_to_end(key)

    def pop_expired(self, now_ms: float) -> list[int]:
        """Remove and return the keys that have expired; the caller forgets or postpones each of them."""
        expired = []
        for key, used_at_ms in self.recent.items():
            if now_ms - used_at_ms <= self.idle_ms:
                break
            expired.append(key)
        for key in expired:
            del self.recent[key]
        while self._postponed_heap and self._postponed_heap[0][0] <= now_ms:
            until_ms, key = heapq.heappop(self._postponed_heap)
            if self.postponed.get(key) == until_ms:  # otherwise the key was used since
                del self.postponed[key]
                expired.append(key)
        return expired

    def postpone(self, key: int, until_ms: float) -> None:
        """Let a key that was popped expire again at `until_ms`."""
        self.postponed[key] = until_ms
        heapq.heappush(self._postponed_heap, (until_ms, key))
