"""The line of positions that one customer's total in the counter stands for, window by window.

The line is that of the generic cell rate algorithm (ITU-T I.371): a unit at position p may be spent once
rate x time + burst has reached p. Positions and time count from the start of the current window.
"""

from __future__ import annotations

from elderlock.quota.counter_terms import CounterTerms, SharedBucket

FOREIGN_LINE_BURSTS = 2.0  # by which a line of our own can lie ahead for each limiter


class PositionLine:
    """Where the line of the current window begins and ends, as one limiter knows it.

    Attributes:
        window: Number of the current window.
        carried_position: Where the line begins in this window; None until the end of the window before was read.
        end: The counter's latest total.
        own_added_units: How much of it this limiter added.
        lowest_position: Position below which nothing is leased, as it is taken as used.
        abandoned_names: How many names of this window were left, as their totals were not ours.
    """

    __slots__ = (
        "_bucket",
        "_key",
        "_terms",
        "abandoned_names",
        "carried_position",
        "end",
        "lowest_position",
        "own_added_units",
        "window",
    )

    def __init__(self, key: str, bucket: SharedBucket, terms: CounterTerms, now_ms: float) -> None:
        """Begin in the window of `now_ms`."""
        self._key = key
        self._bucket = bucket
        self._terms = terms
        self.window = int(now_ms // terms.window_ms)
        self.carried_position: float | None = None
        self.end = 0.0
        self.own_added_units = 0.0
        self.lowest_position = 0.0
        self.abandoned_names = 0

    def enter_window(self, now_ms: float) -> float | None:
        """Enter the window of `now_ms`.

        Returns:
            By how much positions of the window before are lower in this one; None where the window is the same.
        """
        window = int(now_ms // self._terms.window_ms)
        if window == self.window:
            return None
        shift = (window - self.window) * self._bucket.refill_units(self._terms.window_ms)
        self.lowest_position = max(0.0, self.lowest_position - shift)
        self.window = window
        self.abandoned_names = 0
        self._begin(None)
        return shift

    def _begin(self, carried_position: float | None) -> None:
        self.carried_position = carried_position
        self.forget_counts()

    def forget_counts(self) -> None:
        """Take in that the counter holds nothing of this line."""
        self.end = 0.0
        self.own_added_units = 0.0

    def window_age_ms(self, now_ms: float) -> float:
        """Return the time since the current window's start."""
        return now_ms - self.window * self._terms.window_ms

    def is_near_window_edge(self, now_ms: float) -> bool:
        """Return whether a call that begins now may be taken for one of another window."""
        age_ms = self.window_age_ms(now_ms)
        margin_ms = self._terms.answer_timeout_ms + self._terms.clock_skew_ms
        return age_ms < self._terms.clock_skew_ms or age_ms > self._terms.window_ms - margin_ms

    def due_position(self, now_ms: float) -> float:
        """Return the position up to which units may be spent."""
        return self._bucket.refill_units(self.window_age_ms(now_ms)) + self._bucket.burst_units

    def lowest_start(self, now_ms: float) -> float:
        """Return the lowest position at which a draw made at `now_ms` may begin."""
        refilled = self._bucket.refill_units(self.window_age_ms(now_ms))
        return max(refilled, self.carried_position or 0.0, self.lowest_position)

    def assume_empty_since(self, returned_at_ms: float) -> None:
        """Take as used all that a hard ceiling held at `returned_at_ms`, whoever used it."""
        if self._bucket.is_hard_ceiling:
            self.lowest_position = max(self.lowest_position, self.due_position(returned_at_ms), 0.0)

    def counter_name(self, window: int) -> str:
        """Return the name that `window` has in the counter."""
        return f"{self._key}:{window}" + "'" * (self.abandoned_names if window == self.window else 0)

    def carry_over(self, previous_total: float) -> None:
        """Begin this window's line where that of the window before ended."""
        position = previous_total - self._bucket.refill_units(self._terms.window_ms)
        if position > FOREIGN_LINE_BURSTS * self._bucket.limiter_count * self._bucket.burst_units:
            self.carry_over_unknown()
        else:
            self.carried_position = max(0.0, position)

    def carry_over_unknown(self) -> None:
        """Begin this window's line by the worst that can be true, as the end of the window before is not known."""
        self.carried_position = self._bucket.burst_units if self._bucket.is_hard_ceiling else 0.0

    def is_foreign(self, base: float, now_ms: float) -> bool:
        """Return whether a line lies further ahead than all limiters together can have brought it.

        Each limiter raises the line by a window's refill at most, and draws no further than what is due. Such a total
        is someone else's, or of a counter that was swapped. All limiters see it, and go on with the same next name.
        """
        window_units = self._bucket.refill_units(self._terms.window_ms)
        each_units = window_units + FOREIGN_LINE_BURSTS * self._bucket.burst_units
        return base > self.due_position(now_ms) + self._bucket.limiter_count * each_units

    def abandon_name(self, now_ms: float) -> None:
        """Go on with the window's next name, whose line is taken as used up to now."""
        self.abandoned_names += 1
        self._begin(0.0)
        self.assume_empty_since(now_ms)
