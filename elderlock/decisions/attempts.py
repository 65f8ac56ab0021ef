"""Sends a request's attempts, handles their outcomes and retries, and gives the request its one final answer."""

from __future__ import annotations

from elderlock import interface as api
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.endpoints import Endpoints
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.retry_policy import RetryPolicy
from elderlock.decisions.server_selection import ServerSelector
from elderlock.decisions.throttle import CONTROL_PERIOD_MS
from elderlock.interface import Outcome
from elderlock.state import Account, Attempt, OpenRequest, Server

UNEXECUTED_OUTCOMES = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_FORWARDED)
"""Outcomes of attempts that their server certainly did not execute."""


class Attempts:
    """Sends attempts and gives each request its final answer.

    Invariant: a request gets exactly one final answer. It is not rejected if one of its attempts may have run.

    Attributes:
        context: The state that the limiter's components share.
        load_estimator: Counts the attempts in flight.
        quotas: The accounts to which the cost of requests is charged.
        endpoints: The servers, whose health is updated by outcomes.
        requests: The open requests by id.
        server_selector: Chooses the server of an attempt.
        retry_policy: Decides about retries.
    """

    def __init__(
        self,
        context: DecisionContext,
        load_estimator: LoadEstimator,
        quotas: Quotas,
        endpoints: Endpoints,
        requests: dict[str, OpenRequest],
    ) -> None:
        """Start with no attempt in flight."""
        self.context = context
        self.load_estimator = load_estimator
        self.quotas = quotas
        self.endpoints = endpoints
        self.requests = requests
        self.server_selector = ServerSelector(context, endpoints)
        self.retry_policy = RetryPolicy(context)
        self._timely_answer_count = 0

    def send(self, request: OpenRequest, server: Server) -> None:
        """Send an attempt, or answer with a permit if the client forwards the request itself."""
        context = self.context
        request_id = request.arrival.request_id
        server.in_flight[request_id, len(request.attempts)] = context.now_ms
        request.attempts.append(Attempt(server, context.now_ms))
        self.endpoints.record_attempt(server)
        self.load_estimator.in_flight += 1
        is_permit = type(request.arrival) is api.PermitRequested
        action = api.Permit if is_permit else api.SendAttempt
        timeout_ms = self.retry_policy.timeout_ms(request)
        context.actions.append(action(request_id, server.entry.server_id, timeout_ms))
        request.is_answered = is_permit  # a permit is the final answer, after which only the client can retry

    def handle_attempt_end(self, event: api.AttemptEnded) -> None:
        """Record an attempt's outcome, then retry its request or give it the final answer.

        The end of an attempt that is unknown or has already ended is ignored.
        """
        request = self.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            return
        attempt = request.attempts[event.attempt_index]
        if attempt.has_ended:
            return
        attempt.has_ended = True
        attempt.may_have_run = event.outcome not in UNEXECUTED_OUTCOMES
        self.load_estimator.in_flight -= 1
        self.endpoints.record_outcome(attempt.server, request, event)
        self._apply_cost(request, event)
        if type(request.arrival) is api.PermitRequested:
            self._count_if_timely(request, event)
            if event.outcome is Outcome.NOT_FORWARDED:
                self.quotas.refund(request)
            self._forget_if_complete(request)
        elif event.is_answered and not request.is_answered:
            self._count_if_timely(request, event)
            self.finish(request)
        elif not request.is_answered and not request.has_attempt_in_flight():
            self._retry_or_close(request, attempt.may_have_run)
        else:
            self._forget_if_complete(request)

    def reject_or_fail(self, request: OpenRequest) -> None:
        """Answer a request that cannot be served: with a rejection if no attempt can have run, else with a failure."""
        if request.is_answered or request.is_streaming:
            return
        request_id = request.arrival.request_id
        if request.may_have_run():
            self.context.actions.append(api.Fail(request_id))
        else:
            self.context.actions.append(api.Reject(request_id, self._retry_after_ms(request.account)))
        self.finish(request)

    def finish(self, request: OpenRequest) -> None:
        """Mark a request as answered, and cancel its attempts in flight if the settings allow it."""
        if not request.is_answered and self.context.settings.capabilities.can_cancel:
            for index, attempt in enumerate(request.attempts):
                if not attempt.has_ended:
                    self.context.actions.append(api.CancelAttempt(request.arrival.request_id, index))
        request.is_answered = True
        self._forget_if_complete(request)

    def take_timely_answer_count(self) -> int:
        """Return the number of successful answers within their latency objective since the last call."""
        count = self._timely_answer_count
        self._timely_answer_count = 0
        return count

    def _apply_cost(self, request: OpenRequest, event: api.AttemptEnded) -> None:
        """Apply the meter reading of an outcome and the actual cost of the request."""
        self.quotas.apply_meter_reading(request.account, event.meter)
        quota_sources = self.context.settings.quota_sources
        if event.settled_units > 0 and request.is_within_quota and quota_sources.is_cost_known_at_end:
            self.quotas.settle_units(request.account, event.settled_units - request.arrival.units)

    def _count_if_timely(self, request: OpenRequest, event: api.AttemptEnded) -> None:
        objective_ms = request.request_class.latency_objective_ms
        if event.outcome is Outcome.OK and event.duration_ms <= objective_ms:
            self._timely_answer_count += 1

    def _retry_or_close(self, request: OpenRequest, last_may_have_run: bool) -> None:
        """Retry the request, or give it the final answer. None of its attempts is in flight or was successful."""
        server = None
        if self.retry_policy.allows_retry(request):
            server = self.server_selector.choose(request)
        if server is None:
            self.reject_or_fail(request)
            return
        self.retry_policy.record_retry(last_may_have_run)
        self.send(request, server)

    def _retry_after_ms(self, account: Account) -> float:
        """Return the time after which a rejected client should retry; 0 if rejections carry no Retry-After.

        This is the time until the quota has units again by the owner's last reading, or else a control period.
        """
        settings = self.context.settings
        if not settings.capabilities.can_send_retry_after:
            return 0.0
        exhausted_ms = account.exhausted_until_ms - self.context.now_ms
        wait_ms = max(exhausted_ms, settings.clock_tick_ms) if exhausted_ms > 0 else CONTROL_PERIOD_MS
        return min(wait_ms, settings.capabilities.max_retry_after_ms)

    def _forget_if_complete(self, request: OpenRequest) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if not request.is_answered or request.has_attempt_in_flight():
            return
        forgotten = self.requests.pop(request.arrival.request_id, None)
        if forgotten is not None and request.attempts:
            request.account.in_flight = max(0, request.account.in_flight - 1)
