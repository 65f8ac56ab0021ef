"""The state of a limiter: its servers, customers and requests. This module contains no decisions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from elderlock import interface as api

NEVER_MS = -1e9  # a time before all others, for events that have not happened


class ThrottlePhase(Enum):
    """The states of the throttle, named as in ETSI ES 283 039-4."""

    NOT_OVERLOADED = 1
    OVERLOADED = 2
    TERMINATION_PENDING = 3
    RETURNING_TO_NOT_OVERLOADED = 4


@dataclass(slots=True, eq=False)
class Server:
    """A server of the endpoint list, and this limiter's observations of it.

    Attributes:
        entry: Its entry in the latest list.
        warm_up_budget_at_ms: The time at which the warm-up budget was last refilled.
        warm_up_budget: The number of attempts that this limiter may still send while the server is warming up.
        latency_ratio: The moving average of its latency as a multiple of the latency objective.
        latency_ratio_at_ms: The time at which the latency ratio was last updated.
        answered_at_ms: The time of its last answer.
        error_fraction: The moving average of the fraction of its answers that were errors.
        error_fraction_at_ms: The time at which the error fraction was last updated.
        is_draining: Whether the server takes no new attempts, because it is draining or has left the list.
        is_removed: Whether it has left the list.
        in_flight: The time in ms at which each attempt in flight was sent, by request id and attempt index; the oldest
            attempt is first.
        full_plan_bits: The plans that it answered with `FULL`, one bit per plan index.
        full_at_ms: The time of its last `FULL` answer.
        weight_milli: Its weight in thousandths.
        consecutive_failures: The number of failures in a row.
        consecutive_ejections: The number of ejections in a row.
        is_ejected: Whether outlier detection has ejected it.
        reinstate_at_ms: The time at which an ejected server is reinstated.
        is_on_probation: Whether it was reinstated and has not answered since.
        awaits_review: Whether it is warming up and has an entry in the review queue.
    """

    entry: api.ServerEntry
    warm_up_budget_at_ms: float
    warm_up_budget: float
    latency_ratio: float = 0.0
    latency_ratio_at_ms: float = NEVER_MS
    answered_at_ms: float = 0.0
    error_fraction: float = 0.0
    error_fraction_at_ms: float = NEVER_MS
    is_draining: bool = False
    is_removed: bool = False
    in_flight: dict[tuple[str, int], float] = field(default_factory=dict)
    full_plan_bits: int = 0
    full_at_ms: float = NEVER_MS
    weight_milli: int = 1
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    is_ejected: bool = False
    reinstate_at_ms: float = NEVER_MS
    is_on_probation: bool = False
    awaits_review: bool = False

    def unanswered_ms(self, now_ms: float) -> float:
        """Return the time for which the server has had attempts in flight without answering any; 0 with none."""
        if not self.in_flight:
            return 0.0
        oldest_sent_at_ms = next(iter(self.in_flight.values()))
        return now_ms - max(self.answered_at_ms, oldest_sent_at_ms)

    def failure_domains(self) -> tuple[tuple[str, int], ...]:
        """Return the failure domains of the server: its zone, its kind and its cell."""
        return ("zone", self.entry.zone), ("kind", self.entry.kind), ("cell", self.entry.cell)


@dataclass(slots=True)
class Attempt:
    """An attempt of a request at a server.

    Attributes:
        server: The server that it was sent to.
        sent_at_ms: The time at which it was sent.
        has_ended: Whether its outcome is known.
        may_have_run: Whether the server may have executed it; True until an outcome rules this out.
    """

    server: Server
    sent_at_ms: float
    has_ended: bool = False
    may_have_run: bool = True


@dataclass(slots=True)
class Account:
    """A customer's quota at this limiter, and its estimate of the quota that all limiters share.

    Attributes:
        key: A hash of the customer's id.
        plan: The customer's plan.
        limiter_count: The number of limiters that serve the customer.
        first_limiter: The index of the first of these limiters.
        shared_units: The estimated units in the shared quota.
        bucket_units: The units that this limiter may admit without a query; negative when in debt.
        ceiling_units: The units left in this limiter's part of the hard ceiling.
        refreshed_at_ms: The time at which the units were last refilled.
        averaging_ms: The time constant of the average of `own_rate_per_s`.
        own_rate_per_s: The moving average of the units per second that this limiter admits.
        others_rate_per_s: The units per second that the other limiters admit, by the latest reading.
        reading_at_ms: The time of the latest reading; the owner or a server's meter reports the rate of all limiters.
        sent_at_ms: The time at which a request was last admitted.
        mean_request_units: The moving average of the units of a request.
        in_flight: The number of requests that were admitted and are not complete.
        exhausted_until_ms: The time until which requests count as over quota, after the owner denied one.
    """

    key: int
    plan: api.Plan
    limiter_count: int
    first_limiter: int
    shared_units: float
    bucket_units: float
    ceiling_units: float
    refreshed_at_ms: float
    averaging_ms: float
    own_rate_per_s: float = 0.0
    others_rate_per_s: float = 0.0
    reading_at_ms: float = NEVER_MS
    sent_at_ms: float = NEVER_MS
    mean_request_units: float = 1.0
    in_flight: int = 0
    exhausted_until_ms: float = NEVER_MS


@dataclass(slots=True)
class QuotaLedger:
    """A customer's shared quota at the limiter that owns it.

    Attributes:
        plan: The customer's plan.
        level_units: The units in the quota; negative when in debt.
        refreshed_at_ms: The time at which it was last refilled.
        rate_per_s: The moving average of the units per second that all limiters spend.
        granted_at_ms: The times at which the requests that are assumed to be in flight were granted.
    """

    plan: api.Plan
    level_units: float
    refreshed_at_ms: float
    rate_per_s: float = 0.0
    granted_at_ms: deque[float] = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that has no final answer yet, or has attempts in flight.

    Attributes:
        arrival: The request as it arrived.
        request_class: Its class.
        account: Its customer's account.
        arrived_at_ms: The time at which it arrived.
        is_within_quota: Whether it was admitted within its customer's quota.
        attempts: Its attempts, in the order in which they were sent.
        is_answered: Whether it has its final answer.
        is_streaming: Whether the client has received a part of the stream, after which no retry is possible.
    """

    arrival: api.RequestArrived
    request_class: api.RequestClass
    account: Account
    arrived_at_ms: float
    is_within_quota: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    is_answered: bool = False
    is_streaming: bool = False

    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        for attempt in self.attempts:  # noqa: SIM110 - runs for each outcome, and any() takes twice as long
            if not attempt.has_ended:
                return True
        return False

    def may_have_run(self) -> bool:
        """Whether a server may have executed one of the attempts."""
        for attempt in self.attempts:  # noqa: SIM110 - for the same reason
            if attempt.may_have_run:
                return True
        return False
