"""Selects the limiter for each request as the operators' load balancer does. No I/O; times are s.

A request goes to one of the available limiters that serve its account, or to any available limiter if none of those is
available.
"""

from __future__ import annotations

import random


class TargetSelector:
    """Tracks which targets are available and selects one for each request.

    A target is available from its first PONG until it answers PING with anything else or has been silent for
    `silence_timeout` s. Until then, requests still go to a dead target.

    Attributes:
        available: Whether each target is available, by its number.
        changes: Changes of the availability, as (time, target, available).
    """

    def __init__(self, count: int, silence_timeout: float) -> None:
        self._silence_timeout = silence_timeout
        self.available = [False] * count
        self._answered_at = [0.0] * count
        self.changes: list[tuple[float, int, bool]] = []

    def record_pong(self, target: int, now: float) -> None:
        """Record that a target answered PING with PONG."""
        self._answered_at[target] = now
        self._set(target, True, now)

    def record_unavailable(self, target: int, now: float) -> None:
        """Record that a target answered PING with something else: it is draining, or not ready."""
        self._set(target, False, now)

    def expire_silent(self, now: float) -> None:
        """Mark targets as unavailable that have been silent for too long."""
        for target, answered_at in enumerate(self._answered_at):
            if self.available[target] and now - answered_at > self._silence_timeout:
                self._set(target, False, now)

    def _set(self, target: int, is_available: bool, now: float) -> None:
        if self.available[target] != is_available:
            self.available[target] = is_available
            self.changes.append((now, target, is_available))

    def choose(self, spread: int, first: int, rng: random.Random) -> int | None:
        """Return a random available target, or None if there is none.

        The targets of the account are preferred: `spread` consecutive ones, from number `first` on.
        """
        count = len(self.available)
        candidates = [m for m in ((first + n) % count for n in range(min(spread, count))) if self.available[m]]
        if not candidates:
            candidates = [m for m in range(count) if self.available[m]]
        if not candidates:
            return None
        return candidates[0] if len(candidates) == 1 else candidates[int(rng.random() * len(candidates))]
