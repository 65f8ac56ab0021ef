"""Measures how long limiters waited for a core: on a full machine that is no fault of theirs."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Callable, Mapping

from elderlock.soak.clock import JudgingClock
from elderlock.trial.stalls import core_wait_ms

SAMPLE_INTERVAL_S = 0.02
# Longer than any request is judged.
REMEMBERED_SAMPLES = 1000


class CoreWaits:
    """Samples the time that each limiter process has waited for a core since its start."""

    def __init__(self, clock: JudgingClock, pids: Callable[[], Mapping[str, int]]) -> None:
        """Initialise without samples.

        Args:
            clock: The clock of the verdicts.
            pids: Returns the pids of the processes that run now, by limiter.
        """
        self._clock = clock
        self._pids = pids
        self._last_pids: dict[str, int] = {}
        self._times_s: dict[int, list[float]] = {}
        self._waits_s: dict[int, list[float]] = {}

    async def run(self) -> None:
        """Sample until the task is cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Read the waits of all processes."""
        self._last_pids.update(self._pids())
        for pid in self._last_pids.values():
            self._sample(pid)

    def waited_s(self, limiter: str, since_s: float) -> float:
        """Return how many seconds a limiter has waited for a core since a time of the clock.

        The last process of the limiter counts, also if it has ended since.
        """
        pid = self._last_pids.get(limiter)
        if pid is None:
            return 0.0
        self._sample(pid)
        before = max(0, bisect_right(self._times_s[pid], since_s) - 1)
        return self._waits_s[pid][-1] - self._waits_s[pid][before]

    def _sample(self, pid: int) -> None:
        times_s = self._times_s.setdefault(pid, [])
        waits_s = self._waits_s.setdefault(pid, [])
        times_s.append(self._clock.now_s())
        waits_s.append(max(core_wait_ms(pid) / 1000.0, waits_s[-1] if waits_s else 0.0))
        if len(times_s) > 2 * REMEMBERED_SAMPLES:
            del times_s[:-REMEMBERED_SAMPLES], waits_s[:-REMEMBERED_SAMPLES]
