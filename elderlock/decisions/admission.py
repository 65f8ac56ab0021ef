"""Admission: decides whether a request is served within its quota or over it, and how long it waits for a server."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from elderlock import interface as api
from elderlock.decisions.attempts import Attempts
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.decisions.throttle import Throttle
from elderlock.state import OpenRequest, ThrottlePhase

MAX_QUEUE_PRESSURE = 0.6  # above it even requests of the highest value are rejected
LOWEST_VALUE_PRESSURE_FRACTION = 0.7  # requests without value are rejected above this fraction of the maximum
OVER_QUOTA_PRESSURE_FRACTION = 0.5  # the limit over quota, as a fraction of that for the same value within quota
MAX_WAIT_LATENCY_RATIO = 0.25  # a request waits at most this fraction of its latency objective for a server
MIN_MAINTENANCE_INTERVAL_MS = 50.0
MIN_VALUE = 1e-9  # avoids a division by 0 where no request has a value


@dataclass(frozen=True, slots=True)
class PeriodCounts:
    """Numbers of requests in one control period.

    Attributes:
        arrivals: All requests of a known plan and class.
        offered: The requests within their quota, admitted or not.
        admitted: The requests whose first attempt was sent.
    """

    arrivals: int
    offered: int
    admitted: int


class Admission:
    """Decides about new requests.

    Invariant: each request that arrives is sent, waits for a server or for the quota's owner, or gets its final
    answer. Units are charged only with the first attempt, and only if the customer's hard ceiling still has them.

    Attributes:
        context: The state that the limiter's components share.
        throttle: Limits the rate of admission under overload.
        attempts: Sends the admitted requests.
        quota_coordinator: Decides whether a request is within its quota.
        waiting_request_ids: The ids of the requests that wait for a server, in the order of their arrival.
        maintenance_interval_ms: The time between two rounds of maintenance; each round retries the waiting requests.
    """

    def __init__(
        self,
        context: DecisionContext,
        throttle: Throttle,
        attempts: Attempts,
        coordinator_class: type[QuotaCoordinator],
    ) -> None:
        """Create the quota coordinator, which reports its decisions to `apply_quota_decision`.

        Args:
            context: The state that the limiter's components share.
            throttle: Limits the rate of admission under overload.
            attempts: Sends the admitted requests.
            coordinator_class: `QuotaCoordinator` or a subclass.
        """
        self.context = context
        self.throttle = throttle
        self.attempts = attempts
        self._load_estimator = attempts.load_estimator
        self._quotas = attempts.quotas
        self._requests = attempts.requests
        self.quota_coordinator = coordinator_class(
            context, self._quotas, self._load_estimator, self._requests, self.apply_quota_decision
        )
        self.waiting_request_ids: deque[str] = deque()
        self.maintenance_interval_ms = MIN_MAINTENANCE_INTERVAL_MS
        self._arrivals = 0
        self._offered = 0
        self._admitted = 0
        settings = context.settings
        values = [
            request_class.priority_weight * plan.price_weight
            for request_class in settings.request_classes
            for plan in settings.plans
        ]
        self._max_value = max([*values, MIN_VALUE])

    def handle_arrival(self, event: api.RequestArrived) -> None:
        """Reject a request, admit it, or ask the quota coordinator to decide about it."""
        context = self.context
        settings = context.settings
        is_known_plan = 0 <= event.plan_index < len(settings.plans)
        is_known_class = 0 <= event.class_index < len(settings.request_classes)
        if not is_known_plan or not is_known_class:
            context.actions.append(api.Reject(event.request_id))
            return
        if event.request_id in self._requests:
            return
        account = self._quotas.account(event)
        if account is None:
            self._reject_new_customer(event)
            return
        request_class = settings.request_classes[event.class_index]
        self._arrivals += 1
        request = OpenRequest(event, request_class, account, context.now_ms)
        self._requests[event.request_id] = request
        if self._quotas.exceeds_hard_ceiling(account, event.units):
            self.attempts.reject_or_fail(request)
        elif context.now_ms < account.exhausted_until_ms or 0 < account.plan.concurrency_limit <= account.in_flight:
            self._handle_over_quota(request)
        elif self._passes_overload_checks(request, is_within_quota=True):
            self.quota_coordinator.request_quota_decision(request)

    def _reject_new_customer(self, event: api.RequestArrived) -> None:
        """Reject a request whose customer has no account, and for which none can be opened."""
        context = self.context
        context.actions.append(api.Reject(event.request_id))
        limit = self._quotas.account_limit
        if limit.should_log(context.now_ms):
            context.actions.append(api.Log(f"requests of new customers are rejected: {limit.max_accounts} accounts"))

    def apply_quota_decision(self, request: OpenRequest, is_within_quota: bool) -> None:
        """Continue with a request after the quota coordinator has decided whether it is within its quota."""
        request.is_within_quota = is_within_quota
        if is_within_quota:
            self._offered += 1
            self._send_or_wait(request)
        else:
            # The throttle counted the request as one within its quota.
            self.throttle.remove_attempt()
            self._handle_over_quota(request)

    def retry_waiting(self) -> None:
        """Try to send each request that waits for a server."""
        request_ids = list(self.waiting_request_ids)
        self.waiting_request_ids.clear()
        for request in [self._requests[request_id] for request_id in request_ids if request_id in self._requests]:
            self._send_or_wait(request)

    def take_period_counts(self) -> PeriodCounts:
        """Return the counts since the last call, and reset them."""
        counts = PeriodCounts(self._arrivals, self._offered, self._admitted)
        self._arrivals = 0
        self._offered = 0
        self._admitted = 0
        return counts

    def _handle_over_quota(self, request: OpenRequest) -> None:
        """Serve a request over its quota only if its value exceeds its cost and the servers are not overloaded."""
        plan = request.account.plan
        is_overloaded = self.throttle.phase is not ThrottlePhase.NOT_OVERLOADED
        if is_overloaded or plan.over_quota_value <= plan.over_quota_cost:
            self.attempts.reject_or_fail(request)
        elif self._passes_overload_checks(request, is_within_quota=False):
            self._send_or_wait(request)

    def _passes_overload_checks(self, request: OpenRequest, *, is_within_quota: bool) -> bool:
        """Check the queue pressure, which shows a load spike first, and the throttle; reject the request on failure."""
        value = request.request_class.priority_weight * request.account.plan.price_weight / self._max_value
        value_factor = LOWEST_VALUE_PRESSURE_FRACTION + (1.0 - LOWEST_VALUE_PRESSURE_FRACTION) * value
        max_pressure = MAX_QUEUE_PRESSURE * value_factor * (1.0 if is_within_quota else OVER_QUOTA_PRESSURE_FRACTION)
        passes = self._load_estimator.queue_pressure() <= max_pressure and self.throttle.admits(
            is_within_quota, value, self.context.now_ms
        )
        if not passes:
            self._offered += is_within_quota
            self.attempts.reject_or_fail(request)
        return passes

    def _send_or_wait(self, request: OpenRequest) -> None:
        """Send the first attempt; if no server can take it, let the request wait for a limited time."""
        account = request.account
        server = self.attempts.server_selector.choose(request)
        self._quotas.refresh(account)
        if self._quotas.exceeds_hard_ceiling(account, request.arrival.units):
            self.attempts.reject_or_fail(request)
        elif server is not None:
            self._admitted += 1
            self._quotas.charge(request)
            self.attempts.send(request, server)
            self.attempts.retry_policy.record_first_send()
        elif self._has_waited_long_enough(request):
            self.attempts.reject_or_fail(request)
        else:
            self.waiting_request_ids.append(request.arrival.request_id)

    def _has_waited_long_enough(self, request: OpenRequest) -> bool:
        """Whether the request is to be rejected now instead of waiting for another round of maintenance."""
        total_ms = request.arrival.deadline_ms - request.arrived_at_ms
        before_deadline_ms = total_ms - 2 * self.maintenance_interval_ms
        max_wait_ms = min(MAX_WAIT_LATENCY_RATIO * request.request_class.latency_objective_ms, before_deadline_ms)
        return self.context.now_ms - request.arrived_at_ms >= max_wait_ms
