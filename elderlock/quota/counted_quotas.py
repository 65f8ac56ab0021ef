"""Quotas by a shared counter: replaces the quota coordinator of the decision module."""

from __future__ import annotations

import random
from collections.abc import Callable

from elderlock import interface as api
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.decisions.quotas import CEILING_SLACK_FRACTION, Quotas
from elderlock.interface import Outcome
from elderlock.quota.counter_parameters import CounterParameters, SharedBucket
from elderlock.quota.lease_book import LeaseBook, LeaseDecision
from elderlock.state import Account, OpenRequest

BUSY_POLL_MS = 5.0  # between polls of the lease book while a request waits
IDLE_POLL_MS = 50.0  # between polls otherwise
MAX_OVER_QUOTA_MS = 600.0  # limits how long a customer counts as over quota, as others may return surplus sooner
POLL_QUERY_ID = -1  # the id of the poll timer; queries to owners have ids from 0 on
CEILING_SUFFIX = "!"  # marks the counter name of a ceiling, and the id of a request that waits for one


def is_ceiling_counted(account: Account) -> bool:
    """Return whether a customer's hard ceiling is enforced by the counter.

    In plans where requests over the quota are worth forwarding, they are forwarded without asking the counter, so the
    ceiling of such a plan stays split evenly.
    """
    plan = account.plan
    return (
        plan.ceiling_rate_per_s > 0
        and account.limiter_count > 1
        and plan.rate_per_s > 0
        and plan.over_quota_value <= plan.over_quota_cost
    )


class CountedQuotas(Quotas):
    """Accounts whose hard ceilings may be enforced by the counter.

    Invariant: such a ceiling is checked by its ledger before the first attempt of each request.
    """

    def exceeds_hard_ceiling(self, account: Account, units: float) -> bool:
        """Return whether `units` exceed this limiter's part of a ceiling that is split evenly."""
        return not is_ceiling_counted(account) and super().exceeds_hard_ceiling(account, units)


class CountedCoordinator(QuotaCoordinator):
    """Decides requests by leases from the counter, or by the limiter's even part while the counter is unreachable.

    Invariant: every request that is passed to `request_reading` is decided exactly once. A ceiling that the counter
    enforces is exceeded by no more than the stated error (`error_bound.stated_error_units`).

    Attributes:
        parameters: The parameters for the use of the counter; set by a subclass.
        book: The ledgers of this limiter.
    """

    parameters = CounterParameters()
    quotas_class = CountedQuotas

    def __init__(
        self,
        context: DecisionContext,
        quotas: Quotas,
        load_estimator: LoadEstimator,
        requests: dict[str, OpenRequest],
        decide: Callable[[OpenRequest, bool], None],
    ) -> None:
        """Create a coordinator without ledgers; the first poll calls the first sentinel."""
        super().__init__(context, quotas, load_estimator, requests, decide)
        self.book = LeaseBook(self.parameters, random.Random(context.rng.random()), context.now_ms)
        self._buckets: dict[tuple[str, int], SharedBucket] = {}  # by plan name and number of limiters
        self._ceilings: dict[tuple[str, int], SharedBucket] = {}
        context.schedule_timer(BUSY_POLL_MS, POLL_QUERY_ID)

    def quota_bucket(self, plan: api.Plan, limiter_count: int) -> SharedBucket:
        """Return the bucket of a plan's quota that `limiter_count` limiters share."""
        bucket = self._buckets.get((plan.name, limiter_count))
        if bucket is None:
            bucket = SharedBucket(plan.rate_per_s, plan.burst_units, limiter_count)
            self._buckets[plan.name, limiter_count] = bucket
        return bucket

    def ceiling_bucket(self, plan: api.Plan, limiter_count: int) -> SharedBucket:
        """Return the bucket of a plan's hard ceiling that `limiter_count` limiters share."""
        bucket = self._ceilings.get((plan.name, limiter_count))
        if bucket is None:
            bucket = SharedBucket(
                plan.ceiling_rate_per_s,
                plan.ceiling_burst_units,
                limiter_count,
                is_hard_ceiling=True,
                slack_units=CEILING_SLACK_FRACTION * plan.ceiling_slack_units,
            )
            self._ceilings[plan.name, limiter_count] = bucket
        return bucket

    def request_quota_decision(self, request: OpenRequest) -> None:
        """Let the counter decide the request, unless its customer uses only this limiter."""
        account = request.account
        if account.plan.rate_per_s <= 0 or account.limiter_count <= 1:
            super().request_quota_decision(request)
            return
        self._admit_to_quota(request)
        self._run_book()

    def _admit_to_quota(self, request: OpenRequest) -> None:
        account = request.account
        arrival = request.arrival
        bucket = self.quota_bucket(account.plan, account.limiter_count)
        is_granted = self.book.admit(
            arrival.request_id, _counter_key(account), bucket, arrival.units, self.context.now_ms
        )
        if is_granted is not None:
            self._on_quota_decided(request, is_granted, 0.0)

    def _admit_to_ceiling(self, request: OpenRequest) -> None:
        account = request.account
        arrival = request.arrival
        is_granted = self.book.admit(
            arrival.request_id + CEILING_SUFFIX,
            _counter_key(account) + CEILING_SUFFIX,
            self.ceiling_bucket(account.plan, account.limiter_count),
            arrival.units,
            self.context.now_ms,
        )
        if is_granted is not None:
            self._finish(request, is_granted, 0.0)

    def _on_quota_decided(self, request: OpenRequest, is_granted: bool, wait_ms: float) -> None:
        """Check the ceiling next; a request over its quota does not draw on the ceiling."""
        if is_granted and is_ceiling_counted(request.account):
            self._admit_to_ceiling(request)
        else:
            self._finish(request, is_granted, wait_ms)

    def _finish(self, request: OpenRequest, is_granted: bool, wait_ms: float) -> None:
        account = request.account
        units = request.arrival.units
        self._apply_latest_total(account)
        if is_granted:  # the units are leased, so no other limiter can spend them
            account.shared_units = max(account.shared_units, units)
            account.bucket_units = max(account.bucket_units, units)
        elif wait_ms > 0.0:
            account.exhausted_until_ms = self.context.now_ms + min(wait_ms, MAX_OVER_QUOTA_MS)
        self.decide(request, is_granted)

    def _apply_latest_total(self, account: Account) -> None:
        """Update the customer's account from the counter's latest total."""
        now_ms = self.context.now_ms
        bucket = self.quota_bucket(account.plan, account.limiter_count)
        _, ledger = self.book.ledger_for(_counter_key(account), bucket, now_ms)
        if ledger.others_reading is not None:
            rate_per_s = ledger.others_rate_per_s + account.own_rate_per_s
            self.quotas.apply_owner_reading(account, ledger.level_units(now_ms), rate_per_s)

    def handle_query_timeout(self, query_id: int) -> None:
        """Poll the lease book at its timer; at any other timer, proceed without the answer of a quota owner."""
        if query_id != POLL_QUERY_ID:
            super().handle_query_timeout(query_id)
            return
        had_waiting = self.book.has_waiting
        self.book.expire(self.context.now_ms)
        self._run_book()
        self.context.schedule_timer(BUSY_POLL_MS if had_waiting else IDLE_POLL_MS, POLL_QUERY_ID)

    def handle_counter_answer(self, event: api.CounterAnswered) -> None:
        """Handle the outcome of a call to the counter."""
        now_ms = self.context.now_ms
        if event.outcome is Outcome.OK:
            self.book.call_answered(event.token, event.total, now_ms)
        else:
            is_busy = event.outcome is Outcome.FULL
            may_have_added = not is_busy and event.outcome is not Outcome.CONNECT_FAILED
            self.book.call_failed(event.token, may_have_added, is_busy, now_ms)
        self._run_book()

    def _run_book(self) -> None:
        """Make the calls that are due, and apply the decisions on requests that waited."""
        for call in self.book.due_calls(self.context.now_ms):
            self.context.actions.append(api.AddToCounter(call.token, call.name, call.amount_units, call.lifetime_ms))
        decisions = self.book.decisions
        self.book.decisions = []
        for decision in decisions:
            self._apply_decision(decision)
        if decisions:  # a decision on a quota may have caused a call for a ceiling
            self._run_book()

    def _apply_decision(self, decision: LeaseDecision) -> None:
        request = self.requests.get(decision.request_id.removesuffix(CEILING_SUFFIX))
        if request is None:
            return
        if decision.request_id.endswith(CEILING_SUFFIX):
            self._finish(request, decision.is_granted, decision.wait_ms)
        else:
            self._on_quota_decided(request, decision.is_granted, decision.wait_ms)


def _counter_key(account: Account) -> str:
    return f"{account.key:x}"
