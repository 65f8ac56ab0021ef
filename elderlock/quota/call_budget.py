"""The budget of calls to the counter: additive increase, multiplicative decrease.

Published as the congestion avoidance of Chiu and Jain, 1989: limiters that overload a counter together let it recover.
"""

from __future__ import annotations

MS_PER_SECOND = 1000.0
LEAST_BURST_CALLS = 4.0  # a read, a draw, the return of a surplus, and one more
BURST_RATE_DIVISOR = 10.0  # a burst is a tenth of a second's calls
RECOVERY_S = 20.0  # in which the full rate is won back from nothing
LEAST_RATE_DIVISOR = 50.0
DECREASE_FACTOR = 0.5
DECREASE_INTERVAL_MS = 200.0  # between two decreases, so that one overload counts once


class CallBudget:
    """A token bucket of calls whose rate is halved when the counter is busy or late.

    Attributes:
        max_rate_per_s: Calls a second at most.
        rate_per_s: Calls a second that are allowed now.
    """

    def __init__(self, max_rate_per_s: float, now_ms: float) -> None:
        """Start at the full rate with the least burst."""
        self.max_rate_per_s = max_rate_per_s
        self.rate_per_s = max_rate_per_s
        self._available_calls = LEAST_BURST_CALLS
        self._updated_at_ms = now_ms
        self._halved_at_ms = now_ms

    def take(self, now_ms: float) -> bool:
        """Take one call out of the budget; return False where none is left."""
        elapsed_ms = now_ms - self._updated_at_ms
        recovered_rate_per_s = self.rate_per_s + self.max_rate_per_s / RECOVERY_S * elapsed_ms / MS_PER_SECOND
        self.rate_per_s = min(self.max_rate_per_s, recovered_rate_per_s)
        burst_calls = max(LEAST_BURST_CALLS, self.rate_per_s / BURST_RATE_DIVISOR)
        self._available_calls = min(burst_calls, self._available_calls + self.rate_per_s * elapsed_ms / MS_PER_SECOND)
        self._updated_at_ms = now_ms
        if self._available_calls < 1.0:
            return False
        self._available_calls -= 1.0
        return True

    def halve(self, now_ms: float) -> None:
        """Halve the rate, at most once in `DECREASE_INTERVAL_MS`."""
        if now_ms - self._halved_at_ms >= DECREASE_INTERVAL_MS:
            least_rate_per_s = self.max_rate_per_s / LEAST_RATE_DIVISOR
            self.rate_per_s = max(least_rate_per_s, DECREASE_FACTOR * self.rate_per_s)
            self._halved_at_ms = now_ms
