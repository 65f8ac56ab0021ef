"""Asking the owner of a customer's quota for units, and deciding without an answer where none comes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from elderlock import peer_messages
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.peer_messenger import PeerMessenger
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.usage_reports import UsageReports, believed_level
from elderlock.peer_messages import QuotaAnswer, QuotaQuery
from elderlock.state import Account, OpenRequest
from elderlock.structures.timer_queue import Timer

ANSWER_TIMEOUT_LATENCY_RATIO = 0.1  # of the shortest latency objective
MIN_ANSWER_TIMEOUT_MS = 40.0  # a message there and back takes 24 ms
ANSWER_RESERVE_FRACTION = 0.25  # of the message budget that queries leave to answers and reports
COMFORTABLE_RESERVE_FRACTION = 0.8  # the same for customers far from their quota
QUERY_ID_COUNT = 1 << 16  # a query id has 16 bits on the wire


@dataclass(slots=True)
class PendingQuery:
    """A query that has no answer yet.

    Attributes:
        request_id: The request that waits for the answer.
        owner: The index of the limiter that was asked.
        believed_level: What the query said of the ledger, as encoded by `peer_messages.encode_level`.
        is_retry: Whether this is the second query for the request.
        timer: Fires when the answer is overdue.
    """

    request_id: str
    owner: int
    believed_level: int
    is_retry: bool
    timer: Timer


class QuotaClient:
    """Asks owners for units, once more where a message may have been lost, and else decides by the bucket alone.

    Invariant: each request that is handed over is decided once, with or without an answer.

    Attributes:
        pending_queries: By query id.
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
        """Start with no query out.

        Args:
            context: What the parts of a limiter share.
            quotas: The accounts that readings go into.
            messenger: Sends the queries.
            reports: Takes what is admitted without an answer.
            requests: The open requests by id.
            decide: Called once with each request and whether it is within its quota.
        """
        self._context = context
        self._quotas = quotas
        self._messenger = messenger
        self._reports = reports
        self._requests = requests
        self._decide = decide
        self._last_query_id = 0
        self.pending_queries: dict[int, PendingQuery] = {}

    def may_query(self, account: Account) -> bool:
        """Whether the message budget allows a query for a customer.

        Where messages are scarce most of them are for customers near their quota.
        """
        is_comfortable = self._reports.is_far_from_quota(account)
        reserve_fraction = COMFORTABLE_RESERVE_FRACTION if is_comfortable else ANSWER_RESERVE_FRACTION
        reserve_messages = reserve_fraction * self._messenger.capacity_messages
        return self._messenger.available_messages >= max(1.0, reserve_messages)

    def query(self, request: OpenRequest, owner: int) -> None:
        """Ask the owner for the request's units."""
        self._send_query(request, owner, believed_level(request.account), is_retry=False)

    def handle_answer(self, sender: int, answer: QuotaAnswer) -> None:
        """Decide the request that an answer is for; answers to no query and of another limiter change nothing."""
        query = self.pending_queries.pop(answer.query_id, None)
        if query is None:
            return
        query.timer.is_live = False
        request = self._requests.get(query.request_id)
        if request is None or query.owner != sender or request.account.key != answer.key:
            return
        plan = request.account.plan
        level_units = peer_messages.decode_level(answer.level, plan.burst_units)
        rate_per_s = peer_messages.decode_rate(answer.rate, plan.rate_per_s)
        self.apply_reading(request, answer.is_granted, level_units, rate_per_s)

    def handle_timeout(self, query_id: int) -> None:
        """Ask a silent owner once more, as messages are lost; after that decide without an answer."""
        query = self.pending_queries.pop(query_id, None)
        if query is None:
            return
        self._reports.owners.record_missed_query(query.owner)
        request = self._requests.get(query.request_id)
        if request is None:
            return
        if not query.is_retry and self._messenger.can_send():
            self._send_query(request, query.owner, query.believed_level, is_retry=True)
        else:
            self.decide_without_reading(request, has_owner=True)

    def decide_without_reading(self, request: OpenRequest, has_owner: bool) -> None:
        """Decide by what is known here.

        What is admitted goes into the next report: an owner that left a query unanswered has charged nothing for it.

        Args:
            request: The request to decide.
            has_owner: Whether an owner exists that a report can reach.
        """
        account = request.account
        units = request.arrival.units
        is_far_from_quota = has_owner and self._reports.is_far_from_quota(account)
        is_within_quota = is_far_from_quota or self._quotas.is_within_quota(account, units)
        if is_within_quota and has_owner:
            self._reports.add(account, units)
        self._decide(request, is_within_quota)

    def apply_reading(self, request: OpenRequest, is_granted: bool, level_units: float, rate_per_s: float) -> None:
        """Take in a reading of the owner's ledger and decide the request by it.

        Granted units fill the bucket: nobody else may spend them. After a denial the customer's requests are taken
        to be over quota until this limiter's share of the refill is enough for one: if all limiters asked as soon as
        one request's units had come in, most would ask in vain and use up the owner's messages.
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
        # An answer is handled up to a clock tick late, and so is the timer.
        remaining_ms = event.deadline_ms - context.now_ms - 2 * context.settings.clock_tick_ms
        answer_timeout_ms = max(ANSWER_TIMEOUT_LATENCY_RATIO * context.latency_objective_ms, MIN_ANSWER_TIMEOUT_MS)
        timer = context.schedule_timer(min(answer_timeout_ms, remaining_ms), query_id)
        self.pending_queries[query_id] = PendingQuery(event.request_id, owner, level, is_retry, timer)
        unit_steps = event.units * peer_messages.STEPS_PER_UNIT
        query = QuotaQuery(request.account.key, event.plan_index, unit_steps, level, query_id)
        self._messenger.send(owner, query)
