"""Detection of whether the counter is reachable, and of whether it has lost its counts.

A sentinel is a name in the counter whose total only grows. If a total is smaller than before, the counter has lost it,
together with all other counts on the same partition of the counter.
"""

from __future__ import annotations

import random
from enum import Enum

from elderlock.quota.counter_parameters import CounterParameters

MAX_BUSY_MS = 300.0  # after which a counter that only answers -BUSY counts as unreachable
HEARTBEAT_JITTER_LOW = 0.75
HEARTBEAT_JITTER_HIGH = 1.25
FIRST_PROBE_JITTER_LOW = 0.5
FIRST_PROBE_JITTER_HIGH = 1.0


class CounterMode(Enum):
    """How a limiter decides: by the counter; by its even part; or by its even part while it probes a sentinel."""

    SHARED = "shared"
    LOCAL = "local"
    RECOVERING = "recovering"


class CounterHealth:
    """The state of the counter as one limiter sees it.

    Invariant: units are only drawn in mode SHARED, which is only entered after an answer for a sentinel. Each loss of
    counts and each return of the counter begins a new generation; answers to calls of an older generation grant
    nothing.

    Attributes:
        parameters: The parameters for the use of the counter.
        mode: The current mode.
        generation: The number of times that SHARED was entered or counts were lost.
        lost_counts: Whether counts were lost at the latest change of generation. True at the start, as an earlier
            process of this limiter may have spent units that it did not report.
        changed_at_ms: The time of the latest change of mode or generation.
    """

    def __init__(self, parameters: CounterParameters, rng: random.Random, now_ms: float) -> None:
        """Create the state in mode RECOVERING, with a sentinel due at once."""
        self.parameters = parameters
        self.mode = CounterMode.RECOVERING
        self.generation = 0
        self.lost_counts = True
        self.changed_at_ms = now_ms
        self._rng = rng
        self._missed_answers = 0
        self._answered_at_ms = now_ms
        self._sentinel_totals: dict[str, float] = {}
        self._sentinel_index = rng.randrange(parameters.sentinel_count)
        self._sentinel_due_at_ms = now_ms

    def due_sentinel(self, now_ms: float) -> str | None:
        """Return the name of the sentinel to add 1 to, if a heartbeat or a probe is due."""
        if now_ms < self._sentinel_due_at_ms:
            return None
        interval_ms = (
            self.parameters.heartbeat_ms if self.mode is CounterMode.SHARED else self.parameters.probe_interval_ms
        )
        jitter = self._rng.uniform(HEARTBEAT_JITTER_LOW, HEARTBEAT_JITTER_HIGH)
        self._sentinel_due_at_ms = now_ms + interval_ms * jitter
        if self.mode is CounterMode.LOCAL:
            self.mode = CounterMode.RECOVERING
        self._sentinel_index = (self._sentinel_index + 1) % self.parameters.sentinel_count
        return f"sentinel-{self._sentinel_index}:{int(now_ms // self.parameters.window_ms)}"

    def sentinel_answered(self, name: str, total: float, now_ms: float) -> None:
        """Compare a sentinel's total with the previous one; enter SHARED, or a new generation if counts were lost."""
        window = name.rpartition(":")[2]
        self._sentinel_totals = {
            other_name: other_total
            for other_name, other_total in self._sentinel_totals.items()
            if other_name.rpartition(":")[2] == window
        }
        previous_total = self._sentinel_totals.get(name)
        is_lost = previous_total is not None and total < previous_total + 1.0
        if is_lost:
            self._sentinel_totals.clear()  # the other sentinels would report the same loss again
        self._sentinel_totals[name] = total
        self.call_answered(now_ms)
        if is_lost or self.mode is not CounterMode.SHARED:
            self._enter_shared(is_lost, now_ms)

    def counts_lost(self, now_ms: float) -> None:
        """Handle a loss of counts that a ledger has detected.

        This does not end the modes LOCAL and RECOVERING: no sentinel was answered, and other answers may still be
        missing.
        """
        self._sentinel_totals.clear()
        if self.mode is CounterMode.SHARED:
            self._enter_shared(True, now_ms)

    def call_answered(self, now_ms: float) -> None:
        """Record that the counter answered a call."""
        self._missed_answers = 0
        self._answered_at_ms = now_ms

    def call_failed(self, is_busy: bool, now_ms: float) -> None:
        """Record that a call was not answered, or was refused because the counter is busy.

        A counter that refuses all calls for a while counts as unreachable, because a hard ceiling admits nothing while
        it is busy.
        """
        self._missed_answers += not is_busy
        is_unreachable = self._missed_answers >= self.parameters.missed_answers_limit or (
            is_busy and now_ms - self._answered_at_ms >= MAX_BUSY_MS
        )
        if self.mode is CounterMode.RECOVERING or (self.mode is CounterMode.SHARED and is_unreachable):
            self.connection_lost(now_ms)

    def connection_lost(self, now_ms: float) -> None:
        """Enter LOCAL because connections broke, the address changed, or too many answers are missing."""
        if self.mode is not CounterMode.LOCAL:
            self.mode = CounterMode.LOCAL
            self.changed_at_ms = now_ms
            jitter = self._rng.uniform(FIRST_PROBE_JITTER_LOW, FIRST_PROBE_JITTER_HIGH)
            self._sentinel_due_at_ms = now_ms + self.parameters.probe_interval_ms * jitter

    def _enter_shared(self, lost_counts: bool, now_ms: float) -> None:
        self.mode = CounterMode.SHARED
        self.lost_counts = lost_counts
        self.changed_at_ms = now_ms
        self.generation += 1
