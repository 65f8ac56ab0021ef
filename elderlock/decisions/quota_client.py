"""Queries the owner of a customer's quota for units, and decides locally if no answer arrives."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from elderlock import peer_messages
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.peer_messenger import PeerMessenger
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.usage_reports import UsageReports, last_known_level
from elderlock.peer_messages import QuotaAnswer, QuotaQuery
from elderlock.state import Account, OpenRequest
from elderlock.structures.timer_queue import Timer

ANSWER_TIMEOUT_LATENCY_RATIO = 0.1  # of the shortest latency objective
MIN_ANSWER_TIMEOUT_MS = 40.0  # the round trip of a query takes 24 ms
ANSWER_RESERVE_FRACTION = 0.25  # of the message budget, which queries leave for answers and reports
FAR_FROM_QUOTA_RESERVE_FRACTION = 0.8  # the same for queries about customers far from their quota
QUERY_ID_COUNT = 1 << 16  # a query id has 16 bits in a datagram


@dataclass(slots=True)
class PendingQuery:
    """A query that has no answer yet.

    Attributes:
        request_id: The id of the request that waits for the answer.
        owner: The index of the limiter that was queried.
        last_known_level: The level that the query contained, as encoded by `peer_messages.encode_level`.
        is_retry: Whether this is the second query for the request.
        timer: The timer for the timeout of the query.
    """

    request_id: str
    owner: int
    last_known_level: int
    is_retry: bool
    timer: Timer


class QuotaClient:
    """Queries owners for units, repeats a query once if it gets no answer, and then decides by the local bucket.

    Invariant: each request that is passed to this object is decided at most once, with or without an answer.

    Attributes:
        pending_queries: The pending queries by query id.
    """

    def __init__(
        self,
        context: DecisionContext,
        quotas: Quotas,
        messenger: PeerMessenger,
        reports: UsageReports,
        requests: dict[str, OpenRequest],
        decide: Callable[[OpenRequest, bool], None],
    ) -> None:
        """Start without pending queries.

        Args:
            context: The state that the limiter's components share.
            quotas: The accounts that readings are applied to.
            messenger: Sends the queries.
            reports: Reports the units that are admitted without an answer.
            requests: The open requests by id.
            decide: The callback for a decision; its arguments are the request and whether it is within its quota.
        """
        self._context = context
        self._quotas = quotas
        self._messenger = messenger
        self._reports = reports
        self._requests = requests
        self._decide = decide
        # An answer may arrive after a restart: the ids of a process start where no earlier one is still waited for.
        self._last_query_id = int(context.started_at_ms) % QUERY_ID_COUNT
        self.pending_queries: dict[int, PendingQuery] = {}

    def may_query(self, account: Account) -> bool:
        """Whether the message budget allows a query for a customer.

        If the budget is low, it is kept for customers near their quota.
        """
        is_far_from_quota = self._reports.is_far_from_quota(account)
        reserve_fraction = FAR_FROM_QUOTA_RESERVE_FRACTION if is_far_from_quota else ANSWER_RESERVE_FRACTION
        reserve_messages = reserve_fraction * self._messenger.capacity_messages
        return self._messenger.available_messages >= max(1.0, reserve_messages)

    def query(self, request: OpenRequest, owner: int) -> None:
        """Query the owner for the request's units."""
        self._send_query(request, owner, last_known_level(request.account), is_retry=False)

    def handle_answer(self, sender: int, answer: QuotaAnswer) -> None:
        """Decide the request of an answer; an answer without a pending query or from another limiter is ignored."""
        query = self.pending_queries.get(answer.query_id)
        if query is None or query.owner != sender:
            return
        request = self._requests.get(query.request_id)
        if request is not None and request.account.key != answer.key:
            return
        del self.pending_queries[answer.query_id]
        query.timer.is_live = False
        if request is None:
            return
        plan = request.account.plan
        level_units = peer_messages.decode_level(answer.level, plan.burst_units)
        rate_per_s = peer_messages.decode_rate(answer.rate, plan.rate_per_s)
        self.apply_reading(request, answer.is_granted, level_units, rate_per_s)

    def handle_timeout(self, query_id: int) -> None:
        """Repeat the query once, as datagrams can be lost; after the second timeout decide without an answer."""
        query = self.pending_queries.pop(query_id, None)
        if query is None:
            return
        self._reports.owners.record_missed_query(query.owner)
        request = self._requests.get(query.request_id)
        if request is None:
            return
        if not query.is_retry and self._messenger.can_send():
            self._send_query(request, query.owner, query.last_known_level, is_retry=True)
        else:
            self.decide_without_reading(request, has_owner=True)

    def decide_without_reading(self, request: OpenRequest, has_owner: bool) -> None:
        """Decide a request by the local state.

        The units of an admitted request are added to the next report, as an owner that did not answer a query has not
        charged them.

        Args:
            request: The request to decide.
            has_owner: Whether there is an owner to report to.
        """
        account = request.account
        units = request.arrival.units
        is_far_from_quota = has_owner and self._reports.is_far_from_quota(account)
        is_within_quota = is_far_from_quota or self._quotas.is_within_quota(account, units)
        if is_within_quota and has_owner:
            self._reports.add(account, units)
        self._decide(request, is_within_quota)

    def apply_reading(self, request: OpenRequest, is_granted: bool, level_units: float, rate_per_s: float) -> None:
        """Apply a reading of the owner's ledger and decide the request by it.

        Granted units are added to the bucket, as they are reserved for this limiter. After a denial the customer's
        requests count as over quota until this limiter's share of the refill is enough for one request. If all limiters
        sent a query as soon as the ledger had the units of one request, most queries would be denied and would use up
        the owner's message budget.
        """
        account = request.account
        units = request.arrival.units
        self._quotas.apply_owner_reading(account, level_units, rate_per_s)
        if is_granted:
            account.shared_units = level_units + units
            account.bucket_units = max(account.bucket_units, 0.0) + units
        elif account.plan.rate_per_s > 0:
            total_rate_per_s = account.own_rate_per_s + account.others_rate_per_s
            own_fraction = account.own_rate_per_s / total_rate_per_s if total_rate_per_s > 0 else 1.0
            share_fraction = max(own_fraction, 1.0 / account.limiter_count)
            refill_per_s = account.plan.rate_per_s * share_fraction
            wait_ms = (units - level_units) / refill_per_s * MS_PER_SECOND
            account.exhausted_until_ms = self._context.now_ms + wait_ms
        self._decide(request, is_granted)

    def _send_query(self, request: OpenRequest, owner: int, level: int, *, is_retry: bool) -> None:
        context = self._context
        event = request.arrival
        self._last_query_id = query_id = (self._last_query_id + 1) % QUERY_ID_COUNT
        # The answer and the timer may each be handled a clock tick late.
        remaining_ms = event.deadline_ms - context.now_ms - 2 * context.settings.clock_tick_ms
        answer_timeout_ms = max(ANSWER_TIMEOUT_LATENCY_RATIO * context.latency_objective_ms, MIN_ANSWER_TIMEOUT_MS)
        timer = context.schedule_timer(min(answer_timeout_ms, remaining_ms), query_id)
        self.pending_queries[query_id] = PendingQuery(event.request_id, owner, level, is_retry, timer)
        unit_steps = event.units * peer_messages.STEPS_PER_UNIT
        query = QuotaQuery(request.account.key, event.plan_index, unit_steps, level, query_id)
        self._messenger.send(owner, query)
