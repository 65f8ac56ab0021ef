"""The base of all invariant checkers, their tolerances, and the violations that they report."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

MAX_REMEMBERED_VIOLATIONS = 50  # per checker; further violations are only counted


class Violation(NamedTuple):
    """One violation of an invariant.

    Attributes:
        rule: The name of the invariant checker.
        at: When it happened, in ms of the run.
        text: A description that names the subjects.
    """

    rule: str
    at: float
    text: str

    def line(self) -> str:
        """Returns the violation as one line of a report."""
        return f"{self.at / 1000.0:.3f} s: {self.rule}: {self.text}"


@dataclass(frozen=True, slots=True)
class CheckerLimits:
    """The tolerances of the checkers.

    Attributes:
        grace: How long after the client's deadline an answer may come, in ms.
        drain: How long after a limiter learns of a drain it may still send to the server, in ms.
        multiple: How many times its present capacity a cold server may receive within `window`.
        window: The length of that span, in ms.
        cold_share: The share of its warm capacity that a server has when it starts.
        cold_ms: How long a server takes to reach its full capacity, in ms.
        instant: How long after a drain takes effect a server may still receive a request that was being written, in ms.
        informed_share: The least share of a cold server's requests that must come from limiters that knew of its start
            for an excess to count as a violation.
    """

    grace: float = 50.0
    drain: float = 250.0
    multiple: float = 2.0
    window: float = 1000.0
    cold_share: float = 0.24
    cold_ms: float = 4000.0
    instant: float = 5.0
    informed_share: float = 2.0 / 3.0


class InvariantChecker:
    """Base class: receives every event; a subclass overrides the methods of the events that it needs.

    `at` is the time of the event in ms of the run.

    Attributes:
        name: The name of the checker in reports and kept seeds.
        violations: The first violations, at most `MAX_REMEMBERED_VIOLATIONS`.
        count: The number of all violations.
    """

    name = ""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.count = 0

    def report(self, at: float, text: str) -> None:
        """Records a violation."""
        self.count += 1
        if len(self.violations) < MAX_REMEMBERED_VIOLATIONS:
            self.violations.append(Violation(self.name, at, text))

    def asked(self, at: float, request: str, limiter: str, deadline: float, account: str, effect: str) -> None:
        """A limiter accepted a request of a client that waits until `deadline`."""

    def answered(self, at: float, request: str, word: str) -> None:
        """The client received an answer.

        Args:
            at: The time of the event.
            request: The request.
            word: `served`, `refused`, `failed`, or `wrong` for the answer to another request.
        """

    def excused(self, at: float, request: str, why: str) -> None:
        """The request needs no answer: its client disconnected, or its limiter was killed or partitioned from it."""

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        """A server received a complete request; `at` is the time at which the limiter sent it."""

    def ran(self, at: float, box: str, request: str) -> None:
        """The request took effect on the server."""

    def told(self, at: float, limiter: str, box: str, state: str, started_at: float) -> None:
        """The limiter learned a server's state.

        Args:
            at: The time of the event.
            limiter: The limiter.
            box: The server.
            state: `running`, `draining` or `gone`.
            started_at: The start of the server's process, in ms of the run.
        """

    def started(self, at: float, box: str, capacity: float) -> None:
        """A process of the server started cold; once warm it serves `capacity` requests per ms."""

    def spent(self, at: float, account: str, units: float) -> None:
        """Work of that many units was sent to a server on behalf of the account."""

    def limiter_began(self, at: float, limiter: str) -> None:
        """A new process of the limiter started; it knows nothing that the previous process had learned."""

    def claimed(self, at: float, operator: str, target: str, limiter: str, since: float) -> None:
        """A tool reported to its operator that the limiter has sent nothing to the server since `since`."""

    def failure(self, at: float, where: str, text: str) -> None:
        """The code raised an unhandled exception or logged an error."""

    def ended(self, at: float) -> None:
        """The run is over, and the group has had time to become idle."""
