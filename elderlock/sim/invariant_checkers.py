"""Checks the invariants that hold in every run, whatever faults are injected.

A checker receives the events that can be observed from outside the group and records each violation with its time and
a description. No checker reads the state of the code that it checks.

Times are ms of the run's own clock. Requests, servers and limiters are identified by name.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from elderlock.sim.checker_base import CheckerLimits, InvariantChecker, Violation
from elderlock.sim.group_checkers import DrainReports, Quiescence, RecordAgreement, UnboundedGrowth, UnhandledErrors
from elderlock.sim.request_checkers import RepeatedEffects, UnansweredRequests
from elderlock.sim.server_checkers import ColdServers, DrainedServers, HardCeilings

__all__ = [
    "CheckerEvents",
    "CheckerLimits",
    "CheckerSet",
    "ColdServers",
    "DrainReports",
    "DrainedServers",
    "HardCeilings",
    "InvariantChecker",
    "Quiescence",
    "RecordAgreement",
    "RepeatedEffects",
    "UnansweredRequests",
    "UnboundedGrowth",
    "UnhandledErrors",
    "Violation",
]


class CheckerEvents:
    """The events that are passed on to checkers; each has the signature of the `InvariantChecker` method it names."""

    asked: Callable[..., None]
    answered: Callable[..., None]
    excused: Callable[..., None]
    sent: Callable[..., None]
    ran: Callable[..., None]
    told: Callable[..., None]
    started: Callable[..., None]
    spent: Callable[..., None]
    limiter_began: Callable[..., None]
    claimed: Callable[..., None]
    failure: Callable[..., None]


class CheckerSet(CheckerEvents):
    """All checkers of a run; passes each event to those that override its method.

    Attributes:
        checkers: The checkers.
        ended: Tells all checkers that the run is over.
    """

    ended: Callable[..., None]

    def __init__(self, checkers: list[InvariantChecker]) -> None:
        self.checkers = checkers
        self.counts: Counter[str] = Counter()
        for name in (
            "asked",
            "answered",
            "excused",
            "sent",
            "ran",
            "told",
            "started",
            "spent",
            "limiter_began",
            "claimed",
            "failure",
            "ended",
        ):
            base_method = getattr(InvariantChecker, name)
            handlers = [
                getattr(checker, name) for checker in checkers if getattr(type(checker), name) is not base_method
            ]
            setattr(self, name, _call_all(handlers))

    def violations(self) -> list[Violation]:
        """Returns the remembered violations of all checkers in order of time."""
        violations = (violation for checker in self.checkers for violation in checker.violations)
        return sorted(violations, key=lambda violation: violation.at)

    def total(self) -> int:
        """Returns the number of all violations."""
        return sum(checker.count for checker in self.checkers)


def _call_all(handlers: list[Callable[..., None]]) -> Callable[..., None]:
    def dispatch(*args: object) -> None:
        for handler in handlers:
            handler(*args)

    return dispatch
