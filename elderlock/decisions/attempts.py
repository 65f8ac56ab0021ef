"""Attempts: for how long, whether again, and the one final answer."""

from __future__ import annotations

from elderlock import interface as api
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.endpoints import Endpoints
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.server_selection import ServerSelector
from elderlock.decisions.throttle import CONTROL_PERIOD_MS
from elderlock.interface import Idempotency, Outcome
from elderlock.state import Account, Attempt, OpenRequest, Server

RETRIES_EARNED_PER_REQUEST, MAX_RETRY_BUDGET = (
    0.15,
    12.0,
)  # further attempts earned by each first send, and kept at most
UNREACHED_RETRY_TIME_FRACTION = (
    0.4  # of a request's time in which it may still go on, where no attempt has reached a server
)
UNEXECUTED_RETRY_COST = 0.25  # of a further attempt, where the last one never ran


class Attempts:
    """Invariant: a request gets one final answer, and none is refused of which an attempt may have run."""

    def __init__(
        self,
        core: DecisionContext,
        load: LoadEstimator,
        quotas: Quotas,
        boxes: Endpoints,
        requests: dict[str, OpenRequest],
    ) -> None:
        self.context, self.load_estimator, self.quotas, self.endpoints, self.requests = (
            core,
            load,
            quotas,
            boxes,
            requests,
        )
        self.server_selector = ServerSelector(core, boxes)
        self.retry_budget = MAX_RETRY_BUDGET / 2
        self.timely_answer_count = 0  # good ones within their aim, since the last control period

    # Their course

    def send(self, request: OpenRequest, server: Server) -> None:
        core = self.context
        server.in_flight[request.arrival.request_id, len(request.attempts)] = core.now_ms
        request.attempts.append(Attempt(server, core.now_ms))
        self.endpoints.record_attempt(server)
        self.load_estimator.in_flight += 1
        asked = type(request.arrival) is api.PermitRequested
        action = api.Permit if asked else api.SendAttempt
        core.actions.append(action(request.arrival.request_id, server.entry.server_id, self._timeout_ms(request)))
        request.is_answered = asked  # a permission is the one final answer: no further attempt is ours to make

    def record_first_send(self) -> None:
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_EARNED_PER_REQUEST)

    def handle_attempt_end(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        named = (
            request.attempts[event.attempt_index : event.attempt_index + 1]
            if request and event.attempt_index >= 0
            else []
        )
        if request is None or not named or named[0].has_ended:
            return
        attempt, account = named[0], request.account
        attempt.has_ended = True
        self.load_estimator.in_flight -= 1
        attempt.may_have_run = event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_FORWARDED)
        self.endpoints.record_outcome(attempt.server, request, event)
        self.quotas.apply_meter_reading(account, event.meter)
        if event.settled_units > 0 and request.is_within_quota and self.context.settings.quota_sources.cost_known_after:
            self.quotas.settle_units(account, event.settled_units - request.arrival.units)
        if type(request.arrival) is api.PermitRequested:
            self.timely_answer_count += (
                event.outcome is Outcome.OK and event.duration_ms <= request.request_class.latency_objective_ms
            )
            if event.outcome is Outcome.NOT_FORWARDED:
                self.quotas.refund(request)
            self._forget_if_complete(request)
        elif event.is_answered and not request.is_answered:
            self.timely_answer_count += (
                event.outcome is Outcome.OK and event.duration_ms <= request.request_class.latency_objective_ms
            )
            self.finish(request)
        elif not request.is_answered and not request.has_attempt_in_flight():
            self._retry_or_close(request, attempt.may_have_run)
        else:
            self._forget_if_complete(request)

    def _retry_or_close(self, request: OpenRequest, ran: bool) -> None:
        """No attempt is out and none has answered: try another server, or give the final answer."""
        core = self.context
        in_time = self._timeout_ms(request) > 2 * core.settings.clock_tick_ms and not request.is_streaming
        if not any(a.may_have_run for a in request.attempts):
            # a refusal is worth more to a client while it has time to ask elsewhere
            time = request.arrival.deadline_ms - request.arrived_at_ms
            in_time = in_time and core.now_ms - request.arrived_at_ms < UNREACHED_RETRY_TIME_FRACTION * time
        fewer = self.retry_budget >= 1.0 and len(request.attempts) < core.settings.capabilities.max_attempts
        server = self.server_selector.choose(request) if in_time and fewer else None
        if server is None:
            return self.reject_or_fail(request)
        self.retry_budget -= 1.0 if ran else UNEXECUTED_RETRY_COST
        self.send(request, server)

    def _timeout_ms(self, request: OpenRequest) -> float:
        """How long an answer is waited for: past the aim it may earn nothing and keep others waiting."""
        left, rclass = request.arrival.deadline_ms - self.context.now_ms, request.request_class
        early = (
            rclass.idempotency is Idempotency.IDEMPOTENT
            and rclass.late_priority_weight <= 0
            and not rclass.is_streaming
        )
        return max(
            1.0, min(left, request.arrived_at_ms + rclass.latency_objective_ms - self.context.now_ms) if early else left
        )

    def reject_or_fail(self, request: OpenRequest) -> None:
        """The one final answer: a refusal where no attempt can have run, else a failure."""
        if not request.is_answered and not request.is_streaming:
            name, allow = request.arrival.request_id, self.context.settings.capabilities
            run = any(a.may_have_run for a in request.attempts)
            wait = self._retry_after_ms(request.account) if allow.can_send_retry_after else 0.0
            self.context.actions.append(api.Fail(name) if run else api.Reject(name, wait))
            self.finish(request)

    def _retry_after_ms(self, account: Account) -> float:
        """When to come back: once the quota has room by what its keeper told, else after a control period."""
        settings = self.context.settings
        wait = account.exhausted_until_ms - self.context.now_ms
        wait = max(wait, settings.clock_tick_ms) if wait > 0 else CONTROL_PERIOD_MS
        return min(wait, settings.capabilities.max_retry_after_ms)

    def finish(self, request: OpenRequest) -> None:
        if not request.is_answered and self.context.settings.capabilities.can_cancel:
            for number, attempt in enumerate(request.attempts):
                if not attempt.has_ended:
                    self.context.actions.append(api.CancelAttempt(request.arrival.request_id, number))
        request.is_answered = True
        self._forget_if_complete(request)

    def _forget_if_complete(self, request: OpenRequest) -> None:
        if (
            not request.is_answered
            or request.has_attempt_in_flight()
            or self.requests.pop(request.arrival.request_id, None) is None
        ):
            return
        if request.attempts:
            request.account.in_flight = max(0, request.account.in_flight - 1)
