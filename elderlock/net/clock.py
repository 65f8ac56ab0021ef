"""The clock that times every event of a limiter process."""

from __future__ import annotations

import time

MS_PER_S = 1000.0


class Clock:
    """Unix time in ms at the start of the process, advanced by the monotonic clock.

    The offset between the two clocks is fixed at the start. If it varied, a server's start time would change from list
    to list, which would look like a restart, and a step of the system clock would move every deadline.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * MS_PER_S - time.monotonic() * MS_PER_S

    def now_ms(self) -> float:
        """Return the current Unix time in ms."""
        return time.monotonic() * MS_PER_S + self._offset_ms
