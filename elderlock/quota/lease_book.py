"""All ledgers of one limiter, and the calls that it makes to the counter.

Many requests can wait for one call, and a budget limits the calls.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from dataclasses import dataclass

from elderlock.quota.call_budget import CallBudget
from elderlock.quota.counter_call import CounterCall
from elderlock.quota.counter_draws import Draw
from elderlock.quota.counter_health import CounterHealth, CounterMode
from elderlock.quota.counter_parameters import CounterParameters, SharedBucket
from elderlock.quota.lease_ledger import LeaseLedger
from elderlock.quota.local_bucket import NEGLIGIBLE_UNITS
from elderlock.structures.expiry_queue import ExpiryQueue

MAX_CALL_PAUSE_MS = 300.0  # limits how long no call is made after one that found too few units
PROMPT_RETURN_FRACTION = 0.02  # of a burst; a larger surplus is returned immediately
MAX_REPORT_DELAY_MS = 10_000.0  # until units that were admitted without a call are reported
MAX_WAIT_ANSWER_TIMEOUTS = 2.0  # the maximum wait of a request, in answer timeouts
IDLE_WINDOWS = 2.0  # the number of windows after which an unused ledger is removed


@dataclass(frozen=True, slots=True)
class LeaseDecision:
    """The decision on a request that waited.

    Attributes:
        request_id: The id of the request.
        is_granted: Whether its units were spent.
        wait_ms: For a rejected request, the time until its units may be available.
    """

    request_id: str
    is_granted: bool
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class _LedgerDraw:
    """The purpose of a call under way: a draw of a ledger."""

    ledger_number: int
    draw: Draw


@dataclass(frozen=True, slots=True)
class _SentinelCall:
    """The purpose of a call under way: a sentinel."""

    name: str


@dataclass(slots=True)
class _WaitingRequests:
    """The requests that wait for a ledger's call, in order, as pairs of id and units."""

    since_ms: float
    requests: list[tuple[str, float]]


class LeaseBook:
    """Decides requests by leases, and determines the calls to the counter.

    Invariant: a request is decided exactly once, within twice the answer timeout. Idle ledgers are removed.

    Attributes:
        parameters: The parameters for the use of the counter.
        health: The state of the counter, as this limiter sees it.
        budget: The budget of calls.
        ledgers: The ledgers by their number.
        decisions: The decisions on requests that waited, for the caller to apply and to clear.
        calls_made: The number of calls made since the start.
    """

    def __init__(self, parameters: CounterParameters, rng: random.Random, now_ms: float) -> None:
        """Create a book without ledgers."""
        self.parameters = parameters
        self.health = CounterHealth(parameters, rng, now_ms)
        self.budget = CallBudget(parameters.max_calls_per_s, now_ms)
        self.ledgers: dict[int, LeaseLedger] = {}
        self.decisions: list[LeaseDecision] = []
        self.calls_made = 0
        self._numbers_by_key: dict[str, int] = {}
        self._latest_number = 0
        self._idle_ledgers = ExpiryQueue(IDLE_WINDOWS * parameters.window_ms)
        self._waiting: dict[int, _WaitingRequests] = {}  # by ledger number
        self._calls_under_way: dict[int, _LedgerDraw | _SentinelCall] = {}  # by token
        self._call_deadlines: list[tuple[float, int]] = []  # a heap of deadlines and tokens
        self._reports_due: OrderedDict[int, float] = OrderedDict()  # by ledger number, the time of its next report
        self._latest_token = 0

    @property
    def mode(self) -> CounterMode:
        """The mode of the counter."""
        return self.health.mode

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for a decision."""
        return bool(self._waiting)

    def ledger_for(self, key: str, bucket: SharedBucket, now_ms: float) -> tuple[int, LeaseLedger]:
        """Return the number and the ledger of a customer, updated to the counter's generation.

        Args:
            key: The customer's name in the counter.
            bucket: The customer's bucket. If it differs from the previous one, the leases are dropped.
            now_ms: The current time.
        """
        health = self.health
        number = self._numbers_by_key.get(key)
        if number is None:
            self._latest_number += 1
            number = self._numbers_by_key[key] = self._latest_number
            self.ledgers[number] = LeaseLedger(
                key, bucket, self.parameters, health.generation, health.changed_at_ms, now_ms
            )
        ledger = self.ledgers[number]
        if ledger.bucket != bucket:
            ledger = self.ledgers[number] = ledger.with_bucket(bucket, health.generation, now_ms)
        if ledger.generation != health.generation:
            ledger.rejoin(health.generation, health.lost_counts, health.changed_at_ms, now_ms)
        self._idle_ledgers.touch(number, now_ms)
        return number, ledger

    def admit(self, request_id: str, key: str, bucket: SharedBucket, units: float, now_ms: float) -> bool | None:
        """Decide a request, or let it wait for a call.

        Returns:
            Whether its units were spent; None if it waits, in which case its decision is appended to `decisions`.
        """
        number, ledger = self.ledger_for(key, bucket, now_ms)
        if number not in self._waiting and ledger.spend_leased(units, now_ms):
            return True
        if self.mode is not CounterMode.SHARED:
            return ledger.spend_local(units, now_ms)
        if ledger.spend_unreported(units, now_ms):
            self._reports_due.setdefault(number, now_ms + MAX_REPORT_DELAY_MS)
            return True
        if units > bucket.burst_units + NEGLIGIBLE_UNITS or now_ms < ledger.exhausted_until_ms:
            return False
        waiting = self._waiting.setdefault(number, _WaitingRequests(now_ms, []))
        waiting.requests.append((request_id, units))
        return None

    def due_calls(self, now_ms: float) -> list[CounterCall]:
        """Return the calls to send now.

        To be called after every event, and every few ms while any request waits.
        """
        calls: list[CounterCall] = []
        sentinel = self.health.due_sentinel(now_ms)
        if sentinel is not None:
            calls.append(self._make_call(sentinel, 1.0, _SentinelCall(sentinel), now_ms))
        self._add_due_reports(calls, now_ms)
        if self.mode is CounterMode.SHARED:
            for number in list(self._waiting):
                needed_units = sum(units for _, units in self._waiting[number].requests)
                self._add_draw(calls, number, needed_units, now_ms)
        return calls

    def _add_due_reports(self, calls: list[CounterCall], now_ms: float) -> None:
        while self._reports_due:
            number, due_at_ms = next(iter(self._reports_due.items()))
            if due_at_ms > now_ms:
                return
            del self._reports_due[number]
            ledger = self.ledgers.get(number)
            if ledger is None or number in self._waiting:
                continue  # the call for the waiting requests reports as well
            if ledger.has_report():
                if self.mode is CounterMode.SHARED:
                    self._add_draw(calls, number, 0.0, now_ms)
                self._reports_due[number] = now_ms + MAX_REPORT_DELAY_MS

    def _add_draw(self, calls: list[CounterCall], number: int, needed_units: float, now_ms: float) -> None:
        """Add a call of a ledger if it can make one and the budget allows one."""
        ledger = self.ledgers[number]
        if not ledger.can_call(now_ms) or not self.budget.take(now_ms):
            return
        draw = ledger.next_draw(needed_units, now_ms)
        if draw is not None:
            calls.append(self._make_call(draw.name, draw.amount_units, _LedgerDraw(number, draw), now_ms))

    def _make_call(
        self, name: str, amount_units: float, purpose: _LedgerDraw | _SentinelCall, now_ms: float
    ) -> CounterCall:
        self._latest_token += 1
        self.calls_made += 1
        self._calls_under_way[self._latest_token] = purpose
        heapq.heappush(self._call_deadlines, (now_ms + self.parameters.answer_timeout_ms, self._latest_token))
        return CounterCall(self._latest_token, name, amount_units, self.parameters.name_lifetime_ms)

    # Answers

    def call_answered(self, token: int, total: float, now_ms: float) -> None:
        """Handle the total that answers a call. A late answer is ignored."""
        match self._calls_under_way.pop(token, None):
            case _SentinelCall(name):
                self.health.sentinel_answered(name, total, now_ms)
            case _LedgerDraw(number, draw):
                self.health.call_answered(now_ms)
                self._draw_answered(number, draw, total, now_ms)

    def _draw_answered(self, number: int, draw: Draw, total: float, now_ms: float) -> None:
        ledger = self.ledgers.get(number)
        if ledger is None or draw.generation != self.health.generation:
            self._decide_waiting(number, may_call_again=True, now_ms=now_ms)
            return
        if not ledger.accept_total(draw, total, now_ms):
            self.health.counts_lost(now_ms)
            ledger.rejoin(self.health.generation, True, self.health.changed_at_ms, now_ms)
        if ledger.surplus_units > PROMPT_RETURN_FRACTION * ledger.bucket.burst_units:
            # until the surplus is returned, it is missing for the other limiters
            self._reports_due[number] = now_ms
            self._reports_due.move_to_end(number, last=False)
        elif ledger.has_report():
            self._reports_due.setdefault(number, now_ms + MAX_REPORT_DELAY_MS)
        self._decide_waiting(number, may_call_again=draw.is_read, now_ms=now_ms)

    def call_failed(self, token: int, may_have_added: bool, is_busy: bool, now_ms: float) -> None:
        """Handle a call that has no valid answer.

        Args:
            token: The token of the call.
            may_have_added: Whether the counter may have added the amount nevertheless: the answer is late, truncated or
                malformed.
            is_busy: Whether the counter refused the call because it is busy.
            now_ms: The current time.
        """
        purpose = self._calls_under_way.pop(token, None)
        if purpose is None:
            return
        self.budget.halve(now_ms)
        self.health.call_failed(is_busy, now_ms)
        if isinstance(purpose, _SentinelCall):
            return
        ledger = self.ledgers.get(purpose.ledger_number)
        if ledger is not None:
            if purpose.draw.generation == self.health.generation:
                ledger.draw_failed(purpose.draw, may_have_added)
            else:
                ledger.forget_draw(purpose.draw)
        self._decide_waiting(purpose.ledger_number, may_call_again=False, now_ms=now_ms)

    def connection_lost(self, now_ms: float) -> None:
        """Handle broken connections to the counter or a change of its address; its counts may be lost."""
        self.health.connection_lost(now_ms)

    def expire(self, now_ms: float) -> None:
        """Time out calls and waiting requests, and remove idle ledgers. To be called every few ms."""
        while self._call_deadlines and self._call_deadlines[0][0] <= now_ms:
            _, token = heapq.heappop(self._call_deadlines)
            self.call_failed(token, may_have_added=True, is_busy=False, now_ms=now_ms)
        for number in [number for number, waiting in self._waiting.items() if self._is_overdue(waiting, now_ms)]:
            self._decide_waiting(number, may_call_again=False, now_ms=now_ms)
        for number in self._idle_ledgers.pop_expired(now_ms):
            self._remove_idle(number, now_ms)

    def _is_overdue(self, waiting: _WaitingRequests, now_ms: float) -> bool:
        return now_ms - waiting.since_ms >= MAX_WAIT_ANSWER_TIMEOUTS * self.parameters.answer_timeout_ms

    def _remove_idle(self, number: int, now_ms: float) -> None:
        """Remove an idle ledger, unless requests wait for it or its unreported use exceeds the limit."""
        ledger = self.ledgers[number]
        limit_units = self.parameters.unreported_limit_units(ledger.bucket)
        if ledger.unreported_units > limit_units + NEGLIGIBLE_UNITS or number in self._waiting:
            self._idle_ledgers.postpone(number, now_ms + self.parameters.window_ms)
            return
        del self.ledgers[number]
        del self._numbers_by_key[ledger.key]
        self._reports_due.pop(number, None)

    # Waiting requests

    def _decide_waiting(self, number: int, *, may_call_again: bool, now_ms: float) -> None:
        """Decide a ledger's waiting requests in order.

        Args:
            number: The number of the ledger.
            may_call_again: Whether another call may serve the requests that exceed the leases.
            now_ms: The current time.
        """
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return
        ledger = self.ledgers.get(number)
        is_shared = self.mode is CounterMode.SHARED
        can_keep_waiting = may_call_again and is_shared and not self._is_overdue(waiting, now_ms)
        still_waiting: list[tuple[str, float]] = []
        for request_id, units in waiting.requests:
            if ledger is None:
                self.decisions.append(LeaseDecision(request_id, False))
            elif not still_waiting and ledger.spend_leased(units, now_ms):
                self.decisions.append(LeaseDecision(request_id, True))
            elif can_keep_waiting:
                still_waiting.append((request_id, units))
            elif is_shared:
                self.decisions.append(self._decide_without_total(ledger, request_id, units, now_ms))
            else:
                is_granted = ledger.spend_local(units, now_ms)
                wait_ms = 0.0 if is_granted else ledger.wait_ms(units, now_ms)
                self.decisions.append(LeaseDecision(request_id, is_granted, wait_ms))
        if still_waiting:
            self._waiting[number] = _WaitingRequests(waiting.since_ms, still_waiting)

    @staticmethod
    def _decide_without_total(ledger: LeaseLedger, request_id: str, units: float, now_ms: float) -> LeaseDecision:
        """Decide a request whose call failed or found too few units."""
        if ledger.spend_without_total(units, now_ms):
            return LeaseDecision(request_id, True)
        wait_ms = ledger.wait_ms(units, now_ms)
        ledger.exhausted_until_ms = now_ms + min(wait_ms, MAX_CALL_PAUSE_MS)
        return LeaseDecision(request_id, False, wait_ms)
