"""The clock by which a soak judges: it stands still while this process does, which is no fault of a limiter's."""

from __future__ import annotations

import asyncio

BEAT_S = 0.01
MAX_BEAT_S = 0.03


class JudgingClock:
    """Counts the time of the event loop, at most `MAX_BEAT_S` for each beat of its task."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._counted_s = 0.0
        self._last_beat_s = loop.time()

    def now_s(self) -> float:
        """Return the counted time in seconds."""
        return self._counted_s + min(self._loop.time() - self._last_beat_s, MAX_BEAT_S)

    async def run(self) -> None:
        """Beat until the task is cancelled."""
        while True:
            await asyncio.sleep(BEAT_S)
            self._counted_s = self.now_s()
            self._last_beat_s = self._loop.time()
