"""A queue of keys in the order of their last use, which returns the keys that have been idle for too long."""

from __future__ import annotations

import heapq
from collections import OrderedDict


class ExpiryQueue:
    """Keys that expire after a time without use, at no cost while they are idle.

    A key expires once. The caller that pops it either forgets it, or postpones it to a time at which it expires again
    unless it is used before.

    Invariant: each key that was used and has not been popped is either in `recent`, the longest idle first, or in
    `postponed`.

    Attributes:
        idle_ms: The time without use after which a key expires.
        recent: The time in ms of the last use of each key, the oldest first.
        postponed: The time in ms at which each postponed key expires.
    """

    def __init__(self, idle_ms: float) -> None:
        """Create an empty queue whose keys expire after `idle_ms` without use."""
        self.idle_ms = idle_ms
        self.recent: OrderedDict[int, float] = OrderedDict()  # a dict would iterate over deleted keys at its front
        self.postponed: dict[int, float] = {}
        self._postponed_heap: list[tuple[float, int]] = []  # may contain outdated entries

    def touch(self, key: int, now_ms: float) -> None:
        """Record a use of `key`."""
        self.postponed.pop(key, None)
        self.recent[key] = now_ms
        self.recent.move_to_end(key)

    def forget(self, key: int) -> None:
        """Remove `key`, which does not expire any more."""
        self.recent.pop(key, None)
        self.postponed.pop(key, None)

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
            if self.postponed.get(key) == until_ms:  # otherwise the entry is outdated
                del self.postponed[key]
                expired.append(key)
        return expired

    def postpone(self, key: int, until_ms: float) -> None:
        """Make a key that was popped expire again at `until_ms`."""
        self.postponed[key] = until_ms
        heapq.heappush(self._postponed_heap, (until_ms, key))
