"""Where a request goes, as the operators' front chooses: among the limiters of its account's set that take
part, else among all that do. No I/O; times are s."""

from __future__ import annotations

import random


class TargetSelector:
    """A target takes part from its first good answer to PING on, until it answers PING with anything else or
    has been silent for `silent` s: so long the front goes on sending to a dead one."""

    def __init__(self, count: int, silent: float) -> None:
        self._silent = silent
        self.available = [False] * count
        self._heard = [0.0] * count
        self.changes: list[tuple[float, int, bool]] = []

    def record_pong(self, target: int, now: float) -> None:
        self._heard[target] = now
        self._set(target, True, now)

    def record_unavailable(self, target: int, now: float) -> None:
        """It answered PING with something else: it is drained, or not ready."""
        self._set(target, False, now)

    def expire_silent(self, now: float) -> None:
        for target, heard in enumerate(self._heard):
            if self.available[target] and now - heard > self._silent:
                self._set(target, False, now)

    def _set(self, target: int, part: bool, now: float) -> None:
        if self.available[target] != part:
            self.available[target] = part
            self.changes.append((now, target, part))

    def choose(self, spread: int, first: int, rng: random.Random) -> int | None:
        """One of the set, where one of it takes part, else one of all; None where none does."""
        count = len(self.available)
        able = [m for m in ((first + n) % count for n in range(min(spread, count))) if self.available[m]]
        if not able:
            able = [m for m in range(count) if self.available[m]]
        if not able:
            return None
        return able[0] if len(able) == 1 else able[int(rng.random() * len(able))]
