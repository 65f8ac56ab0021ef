"""Admission: whether a request is let in, beyond its quota or inside, and held while no server has room."""

from __future__ import annotations

from collections import deque

from elderlock import interface as api
from elderlock.decisions.attempts import Attempts
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.throttle import Throttle
from elderlock.state import OpenRequest, ThrottlePhase

MAX_QUEUE_PRESSURE = 0.6  # aims of work out over what comes back, at which even the dearest work is held off
LOWEST_VALUE_PRESSURE_FRACTION = (
    0.7  # of that for worthless work: a gentle slope, as the plan that fares worst counts by itself
)
MAX_WAIT_LATENCY_RATIO = 0.25  # aims that a request may wait for a server with room
MIN_MAINTENANCE_INTERVAL_MS = 50.0  # ms between rounds of upkeep at the least


class Admission:
    """Invariant: each request that arrives is sent, held, asked about or closed; units are taken at its first send
    alone, and never while its customer's ceiling does not hold them. The counts are since the last control
    period."""

    def __init__(
        self,
        core: DecisionContext,
        throttle: Throttle,
        load: LoadEstimator,
        quotas: Quotas,
        attempts: Attempts,
        requests: dict[str, OpenRequest],
        source: type[QuotaCoordinator],
    ) -> None:
        self.context, self.throttle, self.load_estimator, self.quotas, self.attempts = (
            core,
            throttle,
            load,
            quotas,
            attempts,
        )
        self.requests = requests
        self.quota_coordinator = source(core, quotas, load, requests, self.apply_quota_decision)
        self.waiting_request_ids: deque[str] = deque()
        self.arrivals = self.offered = self.admitted = 0
        self.maintenance_interval_ms = MIN_MAINTENANCE_INTERVAL_MS
        settings = core.settings
        self.max_value = max(
            [c.priority_weight * p.price_weight for c in settings.request_classes for p in settings.plans] + [1e-9]
        )

    def handle_arrival(self, event: api.RequestArrived) -> None:
        core = self.context
        name, settings, kinds = event.request_id, core.settings, range(len(core.settings.request_classes))
        if event.plan_index not in range(len(settings.plans)) or event.class_index not in kinds:
            core.actions.append(api.Reject(name))
        if name in self.requests or core.actions:
            return
        account, rclass = self.quotas.account(event), settings.request_classes[event.class_index]
        self.arrivals += 1
        request = self.requests[name] = OpenRequest(event, rclass, account, core.now_ms)
        if self.quotas.exceeds_hard_ceiling(account, event.units):
            self.attempts.reject_or_fail(request)
        elif core.now_ms < account.exhausted_until_ms or 0 < account.plan.concurrency_limit <= account.in_flight:
            self._handle_over_quota(request)
        elif self._passes_throttle(request, True):
            self.quota_coordinator.request_reading(request)

    def _handle_over_quota(self, request: OpenRequest) -> None:
        plan, calm = request.account.plan, self.throttle.phase is ThrottlePhase.NOT_OVERLOADED
        if not (calm and plan.over_quota_value > plan.over_quota_cost):
            self.attempts.reject_or_fail(request)
        elif self._passes_throttle(request, False):
            self.send_or_wait(request)

    def _passes_throttle(self, request: OpenRequest, inside: bool) -> bool:
        """Else it is refused. Crowding acts where load jumps."""
        value = request.request_class.priority_weight * request.account.plan.price_weight / self.max_value
        most = (
            MAX_QUEUE_PRESSURE
            * (LOWEST_VALUE_PRESSURE_FRACTION + (1.0 - LOWEST_VALUE_PRESSURE_FRACTION) * value)
            * (1.0 if inside else 0.5)
        )
        passes = self.load_estimator.queue_pressure() <= most and self.throttle.admits(
            inside, value, self.context.now_ms
        )
        if not passes:
            self.offered += inside
            self.attempts.reject_or_fail(request)
        return passes

    def apply_quota_decision(self, request: OpenRequest, inside: bool) -> None:
        """What a reading, or the bucket without one, says of it."""
        request.is_within_quota = inside
        if inside:
            self.offered += 1
            return self.send_or_wait(request)
        # work beyond the quota is no demand, and takes no room of the throttle's bucket
        self.throttle.fill = max(0.0, self.throttle.fill - 1.0)
        self._handle_over_quota(request)

    def send_or_wait(self, request: OpenRequest) -> None:
        account, server = request.account, self.attempts.server_selector.choose(request)
        self.quotas.refresh(account)
        left = request.arrival.deadline_ms - request.arrived_at_ms - 2 * self.maintenance_interval_ms
        wait = min(MAX_WAIT_LATENCY_RATIO * request.request_class.latency_objective_ms, left)
        late = self.context.now_ms - request.arrived_at_ms >= wait
        if self.quotas.exceeds_hard_ceiling(account, request.arrival.units) or (server is None and late):
            self.attempts.reject_or_fail(request)
        elif server is None:
            self.waiting_request_ids.append(request.arrival.request_id)
        else:
            self.admitted += 1
            self.quotas.charge(request)
            self.attempts.send(request, server)
            self.attempts.record_first_send()

    def retry_waiting(self) -> None:
        for name in [
            n
            for n in (self.waiting_request_ids.popleft() for _ in range(len(self.waiting_request_ids)))
            if n in self.requests
        ]:
            self.send_or_wait(self.requests[name])
