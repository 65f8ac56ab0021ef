"""The state of one shared bucket at one limiter: positions on a line, leased from a counter that can only add.

The line is that of the generic cell rate algorithm (ITU-T I.371): a unit at position p may be spent once
rate x time + burst has reached p. The counter's total is the end of the line. A draw adds the units that it wants. If
the end has fallen behind rate x time, the draw also raises it to there, so that an idle bucket holds no more than one
burst. `docs/design/quota.md` has the reasons.
"""

from __future__ import annotations

from collections import deque

from elderlock.quota.counter_draws import Draw, Lease, OthersReading
from elderlock.quota.counter_parameters import MS_PER_SECOND, CounterParameters, SharedBucket
from elderlock.quota.local_bucket import NEGLIGIBLE_UNITS, LocalBucket
from elderlock.quota.position_line import PositionLine
from elderlock.quota.use_meter import UseMeter

OTHERS_READING_INTERVAL_MS = 200.0
OTHERS_RATE_WEIGHT = 0.5  # of a new reading in the moving average
ROUNDING_FRACTION = 2e-6  # the relative rounding error of a total with seven digits


class LeaseLedger:
    """The leases and the unreported use of one limiter for one bucket.

    Invariant: a leased unit is spent only after the call that added it was answered and its position is due, and is
    never returned afterwards. Units admitted without a call stay in `unreported_units` until a call that reports them
    is answered, or until the ledger is removed as idle (`LeaseBook.expire`). At most one call is under way at a time.

    Attributes:
        key: The customer's name in the counter.
        bucket: The shared bucket.
        parameters: The parameters for the use of the counter.
        generation: The generation of the counter that the leases belong to.
        line: The positions of the current window.
        unreported_units: The units that were admitted and not reported to the counter.
        surplus_units: The units to return to the counter.
        leases: The units that were drawn and not spent, oldest first.
        pending_draw: The call that is under way.
        own_use: The recent use by this limiter.
        others_rate_per_s: The recent use by the other limiters, computed from the totals.
        others_reading: The reading from which the next rate is computed.
        admitted_since_total_units: The units that were admitted without a call since the latest total.
        exhausted_until_ms: The time until which requests are rejected without a call.
    """

    def __init__(
        self,
        key: str,
        bucket: SharedBucket,
        parameters: CounterParameters,
        generation: int,
        returned_at_ms: float,
        now_ms: float,
    ) -> None:
        """Create a ledger without leases.

        Args:
            key: The customer's name in the counter.
            bucket: The shared bucket.
            parameters: The parameters for the use of the counter.
            generation: The counter's current generation.
            returned_at_ms: When the counter came back; a hard ceiling counts as empty at that time.
            now_ms: The current time.
        """
        self.key = key
        self.bucket = bucket
        self.parameters = parameters
        self.generation = generation
        self.line = PositionLine(key, bucket, parameters, now_ms)
        self.unreported_units = 0.0
        self.surplus_units = 0.0
        self.leases: deque[Lease] = deque()
        self.pending_draw: Draw | None = None
        self.own_use = UseMeter(now_ms)
        self.others_rate_per_s = 0.0
        self.others_reading: OthersReading | None = None
        self.admitted_since_total_units = 0.0
        self.exhausted_until_ms = now_ms
        self._local_bucket: LocalBucket | None = None
        self.line.assume_empty_since(returned_at_ms)

    def with_bucket(self, bucket: SharedBucket, generation: int, now_ms: float) -> LeaseLedger:
        """Return a ledger for the same customer with a changed bucket, without the leases of the old bucket."""
        ledger = LeaseLedger(self.key, bucket, self.parameters, generation, now_ms, now_ms)
        ledger.unreported_units = self.unreported_units
        ledger.pending_draw = self.pending_draw
        ledger.own_use = self.own_use
        return ledger

    def _enter_window(self, now_ms: float) -> None:
        """Enter the window of `now_ms`.

        All draws of a window end before the next window reads its total, so the total is final.
        """
        shift = self.line.enter_window(now_ms)
        if shift is None:
            return
        for lease in self.leases:
            lease.start_position -= shift
        self._drop_surplus()

    def _drop_surplus(self) -> None:
        """Drop the surplus and the reading, which belong to a line that has ended."""
        self.surplus_units = 0.0
        self.others_reading = None

    # Spending

    def spend_leased(self, units: float, now_ms: float) -> bool:
        """Spend `units` of the leases; return False and spend nothing if fewer units are due."""
        self._enter_window(now_ms)
        self._expire_leases(now_ms)
        due_position = self.line.due_position(now_ms)
        due_units = sum(max(0.0, min(lease.units, due_position - lease.start_position)) for lease in self.leases)
        if due_units < units - NEGLIGIBLE_UNITS:
            return False
        remaining_units = units
        for lease in list(self.leases):
            spent_units = min(remaining_units, max(0.0, min(lease.units, due_position - lease.start_position)))
            lease.units -= spent_units
            lease.start_position += spent_units
            remaining_units -= spent_units
            if lease.units <= NEGLIGIBLE_UNITS:
                self.leases.remove(lease)
        self.own_use.record(units, now_ms)
        return True

    def _expire_leases(self, now_ms: float) -> None:
        while self.leases and now_ms - self.leases[0].drawn_at_ms > self.parameters.hold_time_ms(self.bucket):
            self.surplus_units += self.leases.popleft().units

    def spend_unreported(self, units: float, now_ms: float) -> bool:
        """Spend `units` without a call and report them later; return False if use is near the quota."""
        bucket = self.bucket
        limit_units = self.parameters.unreported_limit_units(bucket)
        expected_rate_per_s = self.own_use.rate_per_s_with(units, now_ms) * bucket.limiter_count
        is_low_use = expected_rate_per_s <= self.parameters.low_use_fraction * bucket.rate_per_s
        if bucket.is_hard_ceiling or not is_low_use or self.admitted_since_total_units + units > limit_units:
            return False
        self.admitted_since_total_units += units
        self.unreported_units += units
        self.own_use.record(units, now_ms)
        return True

    def spend_without_total(self, units: float, now_ms: float) -> bool:
        """Spend `units` on the basis of the latest total after a failed call; a hard ceiling admits nothing."""
        bucket = self.bucket
        if bucket.is_hard_ceiling:
            return False
        level_units = self.level_units(now_ms) - self.unreported_units * bucket.limiter_count
        if level_units < units or self.unreported_units + units > self.parameters.unreported_limit_units(bucket):
            return False
        self.unreported_units += units
        self.own_use.record(units, now_ms)
        return True

    def spend_local(self, units: float, now_ms: float) -> bool:
        """Spend `units` of the even part while the counter is unreachable; return False if it holds fewer."""
        if self._local_bucket is None:
            self._local_bucket = LocalBucket(self.bucket, self.parameters, now_ms)
        if not self._local_bucket.spend(units, now_ms):
            return False
        self.own_use.record(units, now_ms)
        return True

    def rejoin(self, generation: int, lost_counts: bool, returned_at_ms: float, now_ms: float) -> None:
        """Switch to a new generation of the counter.

        Args:
            generation: The new generation.
            lost_counts: Whether the counter lost its counts.
            returned_at_ms: When the counter came back.
            now_ms: The current time.
        """
        self._enter_window(now_ms)
        if generation == self.generation:
            return
        self.generation = generation
        self.pending_draw = None
        self.others_reading = None
        if self.bucket.is_hard_ceiling:
            self.line.assume_empty_since(returned_at_ms)
            self.leases.clear()
            self.unreported_units = 0.0
        elif self._local_bucket is not None:
            self.unreported_units += self._local_bucket.reported_units()
        if lost_counts:
            self.line.forget_counts()
            self.leases.clear()
        self.surplus_units = 0.0
        self._local_bucket = None

    # Calls

    def has_report(self) -> bool:
        """Return whether there are units to report or to return."""
        return self.unreported_units > NEGLIGIBLE_UNITS or self.surplus_units > NEGLIGIBLE_UNITS

    def can_call(self, now_ms: float) -> bool:
        """Return whether a call may begin now."""
        self._enter_window(now_ms)
        return self.pending_draw is None and not self.line.is_near_window_edge(now_ms)

    def next_draw(self, needed_units: float, now_ms: float) -> Draw | None:
        """Begin a call.

        Args:
            needed_units: The units of the waiting requests; 0 for a call that only reports.
            now_ms: The current time.

        Returns:
            The call to make; None if there is nothing to call for now.
        """
        if not self.can_call(now_ms):
            return None
        if self.line.carried_position is None and needed_units:  # a call that only reports needs no position
            name = self.line.counter_name(self.line.window - 1)
            self.pending_draw = Draw(name, 0.0, now_ms, self.line.window, self.generation, is_read=True)
            return self.pending_draw
        self._expire_leases(now_ms)
        wanted_units = needed_units + (self._prefetch_units(now_ms) if needed_units else 0.0)
        if not wanted_units and not self.has_report():
            return None
        raised_units = self._raised_units(now_ms) if wanted_units else 0.0
        self.pending_draw = Draw(
            name=self.line.counter_name(self.line.window),
            amount_units=wanted_units + raised_units + self.unreported_units - self.surplus_units,
            sent_at_ms=now_ms,
            window=self.line.window,
            generation=self.generation,
            wanted_units=wanted_units,
            raised_units=raised_units,
            reported_units=self.unreported_units,
            returned_units=self.surplus_units,
        )
        self.unreported_units = 0.0
        self.surplus_units = 0.0
        return self.pending_draw

    def _prefetch_units(self, now_ms: float) -> float:
        """Return the units to draw ahead of demand: this limiter's use over the hold time, if total use is not low."""
        own_rate_per_s = self.own_use.rate_per_s(now_ms)
        if own_rate_per_s + self.others_rate_per_s < self.parameters.low_use_fraction * self.bucket.rate_per_s:
            return 0.0
        hold_time_use_units = own_rate_per_s * self.parameters.hold_time_ms(self.bucket) / MS_PER_SECOND
        return min(self.parameters.prefetch_limit_units(self.bucket), hold_time_use_units)

    def _raised_units(self, now_ms: float) -> float:
        """Return by how much the end of the line has fallen behind rate x time."""
        known_end = self.line.end + self.unreported_units - self.surplus_units
        return max(0.0, self.line.lowest_start(now_ms) - known_end)

    def accept_total(self, draw: Draw, total: float, now_ms: float) -> bool:
        """Handle the counter's answer to `draw`.

        Returns:
            False if the total shows that the counter lost its counts.
        """
        if draw is not self.pending_draw:
            return True  # of another generation: the units that it added are not used
        self.pending_draw = None
        self._enter_window(now_ms)
        if draw.window != self.line.window:
            return True
        if draw.is_read:
            self.line.carry_over(total)
            return True
        total_before = total - draw.amount_units
        if total_before < self.line.own_added_units - self._rounding_units(total):
            return False
        base = total_before + draw.reported_units - draw.returned_units
        if self.line.is_foreign(base, now_ms):
            self._abandon_name(now_ms)
            self.unreported_units += draw.reported_units
            return True
        self.line.own_added_units += draw.amount_units
        self._learn_others_rate(total - self.line.own_added_units, now_ms)
        self._lease(draw, base, now_ms)
        self.admitted_since_total_units = 0.0
        self.line.end = total
        return True

    def _abandon_name(self, now_ms: float) -> None:
        self.line.abandon_name(now_ms)
        self._drop_surplus()
        self.leases.clear()

    def _lease(self, draw: Draw, base: float, now_ms: float) -> None:
        """Lease the units of `draw` from position `base` on, as far as they become due within the hold time."""
        start_position = max(base, self.line.lowest_start(draw.sent_at_ms))
        surplus_units = draw.raised_units - (start_position - base)  # others may have raised the line concurrently
        self.surplus_units += max(0.0, surplus_units)
        self.unreported_units += max(0.0, -surplus_units) if draw.wanted_units else 0.0
        hold_units = self.bucket.refill_units(self.parameters.hold_time_ms(self.bucket))
        leased_units = min(max(0.0, self.line.due_position(now_ms) + hold_units - start_position), draw.wanted_units)
        if leased_units > NEGLIGIBLE_UNITS:
            self.leases.append(Lease(leased_units, start_position, now_ms))
        self.surplus_units += draw.wanted_units - leased_units

    @staticmethod
    def _rounding_units(total: float) -> float:
        return max(NEGLIGIBLE_UNITS, abs(total) * ROUNDING_FRACTION)

    def _learn_others_rate(self, others_units: float, now_ms: float) -> None:
        reading = self.others_reading
        if reading is None:
            self.others_reading = OthersReading(others_units, now_ms)
            return
        elapsed_ms = now_ms - reading.read_at_ms
        if elapsed_ms >= OTHERS_READING_INTERVAL_MS:
            rate_per_s = max(0.0, others_units - reading.added_units) / elapsed_ms * MS_PER_SECOND
            self.others_rate_per_s += OTHERS_RATE_WEIGHT * (rate_per_s - self.others_rate_per_s)
            self.others_reading = OthersReading(others_units, now_ms)

    def draw_failed(self, draw: Draw, may_have_added: bool) -> None:
        """Handle a draw without a valid answer.

        The units that it reported are reported again, which is safe even if they are counted twice. The units that it
        returned are returned again only if the call was not carried out, as they would otherwise be available twice.
        """
        if draw is not self.pending_draw:
            return
        self.pending_draw = None
        if draw.is_read:
            self.line.carry_over_unknown()
            return
        self.unreported_units += draw.reported_units
        if may_have_added:
            self.line.own_added_units += min(0.0, draw.amount_units)
        else:
            self.surplus_units += draw.returned_units

    def forget_draw(self, draw: Draw) -> None:
        """Drop `draw`, a call of an older generation without an answer."""
        if self.pending_draw is draw:
            self.pending_draw = None

    # Remaining units

    def leased_units(self) -> float:
        """Return the units that were drawn and not yet spent."""
        return sum(lease.units for lease in self.leases)

    def level_units(self, now_ms: float) -> float:
        """Return the level of the bucket according to the latest total."""
        used_position = max(self.line.end, self.line.lowest_start(now_ms))
        return min(self.bucket.burst_units, self.line.due_position(now_ms) - used_position)

    def wait_ms(self, units: float, now_ms: float) -> float:
        """Return the time until `units` may be available to this limiter.

        The refill is multiplied by the limiter's share of the total use. If all limiters called as soon as the units of
        one request are refilled, most of the calls would find too few.
        """
        own_rate_per_s = self.own_use.rate_per_s(now_ms)
        all_rate_per_s = own_rate_per_s + self.others_rate_per_s
        share = own_rate_per_s / all_rate_per_s if all_rate_per_s > 0.0 else 1.0
        share = max(share, 1.0 / self.bucket.limiter_count)
        missing_units = units - self.level_units(now_ms)
        return max(0.0, missing_units / ((self.bucket.rate_per_s or 1.0) * share) * MS_PER_SECOND)
