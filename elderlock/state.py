"""What a limiter knows of servers, customers and requests: data without decisions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from elderlock import interface as api

NEVER_MS = -1e9  # a time before any other


class ThrottlePhase(Enum):
    """The states of the throttle, by their names in ETSI ES 283 039-4."""

    NOT_OVERLOADED = 1
    OVERLOADED = 2
    TERMINATION_PENDING = 3
    RETURNING_TO_NOT_OVERLOADED = 4


@dataclass(slots=True, eq=False)
class Server:
    """A server of the list, and what was seen of it.

    Attributes:
        entry: The server as the latest list names it.
        warm_up_budget_at_ms: When the warm-up budget was last refilled.
        warm_up_budget: The attempts that this limiter may still send while the server warms up.
        latency_ratio: Its latency over the latency objective, averaged.
        latency_ratio_at_ms: When the latency ratio was last updated.
        answered_at_ms: When it last answered.
        error_fraction: The fraction of its answers that were errors, averaged.
        error_fraction_at_ms: When the error fraction was last updated.
        is_draining: Whether the list says that it drains.
        is_removed: Whether it has left the list.
        in_flight: When each attempt without an outcome was sent in ms, by request id and attempt index, oldest first.
        full_plan_bits: The plans that it answered `FULL`, one bit each.
        full_at_ms: When it last answered `FULL`.
        weight_milli: Its weight in thousandths.
        consecutive_failures: Failures in a row.
        consecutive_ejections: Ejections in a row.
        is_ejected: Whether outlier detection keeps requests away from it.
        reinstate_at_ms: When an ejected server is reinstated.
        is_on_probation: Whether it was reinstated and has not answered since.
        awaits_review: Whether it warms up and its weight is to be reviewed soon.
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
        """Return for how long the server has owed an answer without giving any; 0 with no attempt in flight."""
        if not self.in_flight:
            return 0.0
        oldest_sent_at_ms = next(iter(self.in_flight.values()))
        return now_ms - max(self.answered_at_ms, oldest_sent_at_ms)

    def failure_domains(self) -> tuple[tuple[str, int], ...]:
        """Return the groups of servers that may fail together with this one."""
        return ("zone", self.entry.zone), ("kind", self.entry.kind), ("cell", self.entry.cell)


@dataclass(slots=True)
class Attempt:
    """An attempt of a request at a server.

    Attributes:
        server: Where it was sent.
        sent_at_ms: When it was sent.
        has_ended: Whether its outcome is known.
        may_have_run: Whether the server may have executed it; True until the outcome tells otherwise.
    """

    server: Server
    sent_at_ms: float
    has_ended: bool = False
    may_have_run: bool = True


@dataclass(slots=True)
class Account:
    """A customer's quota at this limiter, and what it believes of the quota that all limiters share.

    Attributes:
        key: The customer, as a hash of its id.
        plan: The customer's plan.
        limiter_count: How many limiters serve the customer.
        first_limiter: The index of the first of them.
        shared_units: What the shared quota is believed to hold.
        bucket_units: What this limiter may admit without asking; negative when in debt.
        ceiling_units: This limiter's part of the hard ceiling.
        refreshed_at_ms: When the units were last refilled.
        averaging_ms: The time over which the own rate is averaged.
        own_rate_per_s: Units per second admitted here, averaged.
        others_rate_per_s: Units per second admitted by the other limiters, by the latest reading.
        reading_at_ms: When the owner or the meter last gave the rate of all limiters.
        sent_at_ms: When a request was last admitted.
        mean_request_units: Units of a request, averaged.
        in_flight: Requests that were admitted and are not complete.
        exhausted_until_ms: Until when requests are over quota, after the owner denied one.
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
        level_units: What the quota holds; negative when in debt.
        refreshed_at_ms: When it was last refilled.
        rate_per_s: Units per second that all limiters spend, averaged.
        granted_at_ms: When the requests that are taken to be in flight were granted.
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
        arrived_at_ms: When it arrived.
        is_within_quota: Whether it was admitted within its customer's quota.
        attempts: Its attempts, in the order in which they were sent.
        is_answered: Whether it has its final answer.
        is_streaming: Whether its stream has started, which cannot be taken back.
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
        for attempt in self.attempts:  # noqa: SIM110 - runs at each outcome, and any() costs twice as much
            if not attempt.has_ended:
                return True
        return False

    def may_have_run(self) -> bool:
        """Whether an attempt may have been executed by its server."""
        for attempt in self.attempts:  # noqa: SIM110 - as above
            if attempt.may_have_run:
                return True
        return False
