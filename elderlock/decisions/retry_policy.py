"""The retry policy: whether a request is retried, and the timeout of each attempt.

The retry budget follows gRPC's retry throttling (proposal A6): requests add to it and retries take from it, so that
retries cannot multiply the load while many attempts fail.
"""

from __future__ import annotations

from elderlock.decisions.context import DecisionContext
from elderlock.interface import Idempotency
from elderlock.state import OpenRequest

RETRIES_EARNED_PER_REQUEST = 0.15
MAX_RETRY_BUDGET = 12.0  # in retries
RETRY_COST = 1.0  # in retries
UNEXECUTED_RETRY_COST = 0.25  # in retries, after an attempt that was not executed and cost its server little
UNREACHED_RETRY_TIME_FRACTION = 0.4  # a request that reached no server is retried only in this fraction of its time
MIN_TIMEOUT_MS = 1.0


class RetryPolicy:
    """Decides about retries, and holds the retry budget.

    Invariant: `retry_budget` lies between 0 and `MAX_RETRY_BUDGET`.

    Attributes:
        context: The state that the limiter's components share.
        retry_budget: The number of retries that are allowed now, at most `MAX_RETRY_BUDGET`.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Start with half of the maximum budget."""
        self.context = context
        self.retry_budget = MAX_RETRY_BUDGET / 2

    def record_first_send(self) -> None:
        """Add `RETRIES_EARNED_PER_REQUEST` to the budget for the first attempt of a request."""
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_EARNED_PER_REQUEST)

    def record_retry(self, last_may_have_run: bool) -> None:
        """Take the cost of a retry from the budget.

        Args:
            last_may_have_run: Whether a server may have executed the previous attempt.
        """
        self.retry_budget -= RETRY_COST if last_may_have_run else UNEXECUTED_RETRY_COST

    def allows_retry(self, request: OpenRequest) -> bool:
        """Whether a request without an answer and without an attempt in flight may be retried.

        The idempotency rule depends on the server, so it is applied by the server selection.
        """
        return (
            not request.is_streaming
            and self._has_time_for_an_answer(request)
            and self._is_early_enough(request)
            and self._has_budget(request)
        )

    def timeout_ms(self, request: OpenRequest) -> float:
        """Return the timeout of an attempt that starts now.

        An idempotent request whose late answer has no value times out at its latency objective, as it would only delay
        other requests. All other requests time out at the client's deadline.
        """
        now_ms = self.context.now_ms
        request_class = request.request_class
        remaining_ms = request.arrival.deadline_ms - now_ms
        if (
            request_class.idempotency is Idempotency.IDEMPOTENT
            and request_class.late_priority_weight <= 0
            and not request_class.is_streaming
        ):
            objective_left_ms = request.arrived_at_ms + request_class.latency_objective_ms - now_ms
            remaining_ms = min(remaining_ms, objective_left_ms)
        return max(MIN_TIMEOUT_MS, remaining_ms)

    def _has_time_for_an_answer(self, request: OpenRequest) -> bool:
        """Whether an answer can arrive in time; sending and receiving may each be delayed by a clock tick."""
        return self.timeout_ms(request) > 2 * self.context.settings.clock_tick_ms

    def _is_early_enough(self, request: OpenRequest) -> bool:
        """Whether a retry is better than a rejection.

        A request that may have run cannot be rejected. One that has not run is retried only early in its time. Later it
        is rejected, so that its client still has time to try another limiter.
        """
        if request.may_have_run():
            return True
        total_ms = request.arrival.deadline_ms - request.arrived_at_ms
        return self.context.now_ms - request.arrived_at_ms < UNREACHED_RETRY_TIME_FRACTION * total_ms

    def _has_budget(self, request: OpenRequest) -> bool:
        """Whether the retry budget and the maximum number of attempts per request allow another attempt."""
        max_attempts = self.context.settings.capabilities.max_attempts
        return self.retry_budget >= RETRY_COST and len(request.attempts) < max_attempts
