"""The budget of calls to the counter, with additive increase and multiplicative decrease.

This is the congestion avoidance of Chiu and Jain, 1989: limiters that together overload a counter slow down until it
recovers.
"""

from __future__ import annotations

MS_PER_SECOND = 1000.0
MIN_BURST_CALLS = 4.0  # a read, a draw, the return of a surplus, and one in reserve
BURST_RATE_DIVISOR = 10.0  # a burst is a tenth of a second's calls
RECOVERY_S = 20.0  # the time in which the rate grows from zero to its maximum
MIN_RATE_DIVISOR = 50.0
DECREASE_FACTOR = 0.5
DECREASE_INTERVAL_MS = 200.0  # between two decreases, so that one overload causes only one


class CallBudget:
    """A token bucket of calls whose rate is halved when the counter is busy or does not answer in time.

    Attributes:
        max_rate_per_s: The maximum number of calls per second.
        rate_per_s: The number of calls per second that is currently allowed.
    """

    def __init__(self, max_rate_per_s: float, now_ms: float) -> None:
        """Create a budget with the maximum rate and the minimum burst."""
        self.max_rate_per_s = max_rate_per_s
        self.rate_per_s = max_rate_per_s
        self._available_calls = MIN_BURST_CALLS
        self._updated_at_ms = now_ms
        self._halved_at_ms = now_ms

    def take(self, now_ms: float) -> bool:
        """Take one call from the budget; return False if none is left."""
        elapsed_ms = now_ms - self._updated_at_ms
        recovered_rate_per_s = self.rate_per_s + self.max_rate_per_s / RECOVERY_S * elapsed_ms / MS_PER_SECOND
        self.rate_per_s = min(self.max_rate_per_s, recovered_rate_per_s)
        burst_calls = max(MIN_BURST_CALLS, self.rate_per_s / BURST_RATE_DIVISOR)
        self._available_calls = min(burst_calls, self._available_calls + self.rate_per_s * elapsed_ms / MS_PER_SECOND)
        self._updated_at_ms = now_ms
        if self._available_calls < 1.0:
            return False
        self._available_calls -= 1.0
        return True

    def halve(self, now_ms: float) -> None:
        """Halve the rate, at most once in `DECREASE_INTERVAL_MS`."""
        if now_ms - self._halved_at_ms >= DECREASE_INTERVAL_MS:
            min_rate_per_s = self.max_rate_per_s / MIN_RATE_DIVISOR
            self.rate_per_s = max(min_rate_per_s, DECREASE_FACTOR * self.rate_per_s)
            self._halved_at_ms = now_ms
