"""What has stood unused: found without a look at the rest."""

from __future__ import annotations

import heapq
from collections import OrderedDict


class ExpiryQueue:
    """Keys by their last use. Each is told as due once it was not used for `after` ms, and again when it was put off
    to; in between it costs nothing, however many there are.

    Invariant: every key that was used stands once, in `recent`, the longest unused first, or in `off`."""

    def __init__(self, after: float) -> None:
        self.after = after
        self.recent: OrderedDict[int, float] = OrderedDict()  # a plain dict would step over those deleted in front
        self.postponed: dict[int, float] = {}  # until when it is put off
        self._later: list[tuple[float, int]] = []  # a heap of these, with some that hold no more

    def touch(self, key: int, now: float) -> None:
        self.postponed.pop(key, None)
        self.recent[key] = now
        self.recent.move_to_end(key)

    def pop_expired(self, now: float) -> list[int]:
        """Each is to be forgotten, or put off, by who asks."""
        due = []
        for key, at in self.recent.items():
            if now - at <= self.after:
                break
            due.append(key)
        for key in due:
            del self.recent[key]
        while self._later and self._later[0][0] <= now:
            until, key = heapq.heappop(self._later)
            if self.postponed.get(key) == until:  # else it was used since
                del self.postponed[key]
                due.append(key)
        return due

    def postpone(self, key: int, until: float) -> None:
        self.postponed[key] = until
        heapq.heappush(self._later, (until, key))
