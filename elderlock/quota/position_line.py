"""The line of positions that one customer's total in the counter represents, window by window.

The line is that of the generic cell rate algorithm (ITU-T I.371): a unit at position p may be spent once
rate x time + burst has reached p. Positions and times are relative to the start of the current window.
"""

from __future__ import annotations

from elderlock.quota.counter_parameters import CounterParameters, SharedBucket

FOREIGN_LINE_BURSTS = 2.0  # the bursts per limiter by which a valid line can be ahead


class PositionLine:
    """The beginning and the end of the line in the current window, as one limiter knows them.

    Attributes:
        window: The number of the current window.
        carried_position: The beginning of the line in this window; None until the end of the previous window was read.
        end: The counter's latest total.
        own_added_units: The part of the total that this limiter added.
        lowest_position: The position below which nothing is leased, because it counts as used.
        abandoned_names: The number of names of this window that were abandoned because of impossible totals.
    """

    __slots__ = (
        "_bucket",
        "_key",
        "_parameters",
        "abandoned_names",
        "carried_position",
        "end",
        "lowest_position",
        "own_added_units",
        "window",
    )

    def __init__(self, key: str, bucket: SharedBucket, parameters: CounterParameters, now_ms: float) -> None:
        """Create a line in the window of `now_ms`."""
        self._key = key
        self._bucket = bucket
        self._parameters = parameters
        self.window = int(now_ms // parameters.window_ms)
        self.carried_position: float | None = None
        self.end = 0.0
        self.own_added_units = 0.0
        self.lowest_position = 0.0
        self.abandoned_names = 0

    def enter_window(self, now_ms: float) -> float | None:
        """Enter the window of `now_ms`.

        Returns:
            The difference by which positions of the previous window are lower in this one; None if the window is the
            same.
        """
        window = int(now_ms // self._parameters.window_ms)
        if window == self.window:
            return None
        shift = (window - self.window) * self._bucket.refill_units(self._parameters.window_ms)
        self.lowest_position = max(0.0, self.lowest_position - shift)
        self.window = window
        self.abandoned_names = 0
        self._begin(None)
        return shift

    def _begin(self, carried_position: float | None) -> None:
        self.carried_position = carried_position
        self.forget_counts()

    def forget_counts(self) -> None:
        """Reset the line because the counter holds no counts of it."""
        self.end = 0.0
        self.own_added_units = 0.0

    def window_age_ms(self, now_ms: float) -> float:
        """Return the time since the start of the current window."""
        return now_ms - self.window * self._parameters.window_ms

    def is_near_window_edge(self, now_ms: float) -> bool:
        """Return whether a call that begins now may be attributed to another window."""
        age_ms = self.window_age_ms(now_ms)
        margin_ms = self._parameters.answer_timeout_ms + self._parameters.clock_skew_ms
        return age_ms < self._parameters.clock_skew_ms or age_ms > self._parameters.window_ms - margin_ms

    def due_position(self, now_ms: float) -> float:
        """Return the position up to which units may be spent."""
        return self._bucket.refill_units(self.window_age_ms(now_ms)) + self._bucket.burst_units

    def lowest_start(self, now_ms: float) -> float:
        """Return the lowest position at which a draw made at `now_ms` may begin."""
        refilled = self._bucket.refill_units(self.window_age_ms(now_ms))
        return max(refilled, self.carried_position or 0.0, self.lowest_position)

    def assume_empty_since(self, returned_at_ms: float) -> None:
        """Count a hard ceiling as empty at `returned_at_ms`, because its use until then is not known."""
        if self._bucket.is_hard_ceiling:
            self.lowest_position = max(self.lowest_position, self.due_position(returned_at_ms), 0.0)

    def counter_name(self, window: int) -> str:
        """Return the name in the counter for `window`."""
        return f"{self._key}:{window}" + "'" * (self.abandoned_names if window == self.window else 0)

    def carry_over(self, previous_total: float) -> None:
        """Begin the line of this window at the end of the previous one."""
        position = previous_total - self._bucket.refill_units(self._parameters.window_ms)
        if position > FOREIGN_LINE_BURSTS * self._bucket.limiter_count * self._bucket.burst_units:
            self.carry_over_unknown()
        else:
            self.carried_position = max(0.0, position)

    def carry_over_unknown(self) -> None:
        """Begin the line of this window by the worst case, because the end of the previous window is not known."""
        self.carried_position = self._bucket.burst_units if self._bucket.is_hard_ceiling else 0.0

    def is_foreign(self, base: float, now_ms: float) -> bool:
        """Return whether a line is further ahead than all limiters together can have moved it.

        Each limiter raises the line by at most the refill of a window, and draws only units that are due. A greater
        total was written by other software, or comes from a counter that replaced the previous one. All limiters detect
        it and continue with the same next name.
        """
        window_units = self._bucket.refill_units(self._parameters.window_ms)
        each_units = window_units + FOREIGN_LINE_BURSTS * self._bucket.burst_units
        return base > self.due_position(now_ms) + self._bucket.limiter_count * each_units

    def abandon_name(self, now_ms: float) -> None:
        """Continue with the next name of the window; a hard ceiling counts as empty at `now_ms`."""
        self.abandoned_names += 1
        self._begin(0.0)
        self.assume_empty_since(now_ms)
