"""What a `Limiter` remembers of servers, customers and requests: data, no decision."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from elderlock import interface as api

NEVER_MS = -1e9  # ms; long ago


class ThrottlePhase(Enum):
    """The states of the throttle, as the paper names them."""

    NOT_OVERLOADED = 1
    OVERLOADED = 2
    TERMINATION_PENDING = 3
    RETURNING_TO_NOT_OVERLOADED = 4


@dataclass(slots=True, eq=False)
class Server:
    entry: api.ServerEntry
    warm_up_budget_at_ms: float
    warm_up_budget: float  # attempts that the budget of a cold server leaves us
    latency_ratio: float = 0.0  # averaged latency in aims
    latency_ratio_at_ms: float = NEVER_MS  # when that was seen
    answered_at_ms: float = 0.0
    error_fraction: float = 0.0  # share of its answers that were errors, averaged
    error_fraction_at_ms: float = NEVER_MS  # when that was seen
    is_draining: bool = False
    is_removed: bool = False
    in_flight: dict[tuple[str, int], float] = field(default_factory=dict)  # attempts without an outcome, when sent
    full_plan_bits: int = 0  # bits of the plans told 'full'
    full_at_ms: float = NEVER_MS
    weight_milli: int = 1  # its weight in thousandths
    consecutive_failures: int = 0  # in a row
    consecutive_ejections: int = 0  # that it was left out in a row
    is_ejected: bool = False
    reinstate_at_ms: float = NEVER_MS
    is_on_probation: bool = False  # back from being left out, and not answered yet
    awaits_review: bool = False  # cold, and looked at again soon

    def unanswered_ms(self, now: float) -> float:
        """How long the server has owed an answer without giving any."""
        return now - max(self.answered_at_ms, next(iter(self.in_flight.values()))) if self.in_flight else 0.0

    def failure_domains(self) -> tuple[tuple[str, int], ...]:
        """What it has in common with others, as the list tells."""
        return ("zone", self.entry.zone), ("kind", self.entry.kind), ("cell", self.entry.cell)


@dataclass(slots=True)
class Attempt:
    server: Server
    sent_at_ms: float
    has_ended: bool = False
    may_have_run: bool = True


@dataclass(slots=True)
class Account:
    """The quota bucket of a customer here, and what is believed of the store that all limiters share."""

    key: int
    plan: api.Plan
    limiter_count: int
    first_limiter: int
    shared_units: float
    bucket_units: float
    ceiling_units: float
    refreshed_at_ms: float
    averaging_ms: float  # ms over which its own rate is averaged
    own_rate_per_s: float = 0.0
    others_rate_per_s: float = 0.0
    reading_at_ms: float = NEVER_MS  # of a keeper or the meter
    sent_at_ms: float = NEVER_MS
    mean_request_units: float = 1.0  # of a request, averaged
    in_flight: int = 0
    exhausted_until_ms: float = NEVER_MS  # as a keeper told


@dataclass(slots=True)
class QuotaLedger:
    """A customer's store as kept here for all its limiters."""

    plan: api.Plan
    level_units: float
    refreshed_at_ms: float
    rate_per_s: float = 0.0
    granted_at_ms: deque[float] = field(default_factory=deque)  # when granted


@dataclass(slots=True, eq=False)
class OpenRequest:
    arrival: api.RequestArrived
    request_class: api.RequestClass
    account: Account
    arrived_at_ms: float
    is_within_quota: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    is_answered: bool = False
    is_streaming: bool = False

    def has_attempt_in_flight(self) -> bool:
        return any(not a.has_ended for a in self.attempts)
