"""Checks the invariants that hold in every run, whatever faults are injected.

A checker receives the events that can be observed from outside the group and records each violation with its time and
a description. No checker reads the state of the code that it checks.

Times are ms of the run's own clock. Requests, servers and limiters are identified by name.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

# Finished requests that a checker remembers. A second answer or effect comes soon after the first; without a bound, a
# long run would need unbounded memory.
MAX_REMEMBERED_REQUESTS = 4000
MAX_SAMPLES = 600
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


@dataclass(slots=True)
class _OpenRequest:
    limiter: str
    deadline: float


class UnansweredRequests(InvariantChecker):
    """Invariant 1: every accepted request gets exactly one final answer within `grace` after its client's deadline.

    Attributes:
        open: The requests that have no answer yet, by name.
    """

    name = "no request lost"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._rules = rules
        self.open: dict[str, _OpenRequest] = {}
        self._answers: dict[str, str] = {}
        self._answer_order: deque[str] = deque()
        self._stalled_until: dict[str, float] = {}

    def stalled(self, at: float, limiter: str, lasts: float) -> None:
        """Extends the deadlines of a limiter whose machine gives it no CPU time for `lasts` ms."""
        self._stalled_until[limiter] = max(self._stalled_until.get(limiter, 0.0), at + lasts)
        for open_request in self.open.values():
            if open_request.limiter == limiter:
                open_request.deadline += lasts

    def asked(self, at: float, request: str, limiter: str, deadline: float, account: str, effect: str) -> None:
        """Adds an open request."""
        stall_left = max(0.0, self._stalled_until.get(limiter, 0.0) - at)
        self.open[request] = _OpenRequest(limiter, deadline + stall_left)

    def answered(self, at: float, request: str, word: str) -> None:
        """Checks that the answer is the first one, belongs to the request and is in time."""
        if request in self._answers:
            return self.report(at, f"{request} was answered {word} after {self._answers[request]}")
        self._answers[request] = word
        self._answer_order.append(request)
        if len(self._answer_order) > MAX_REMEMBERED_REQUESTS:
            del self._answers[self._answer_order.popleft()]
        open_request = self.open.pop(request, None)
        if open_request is None:
            return
        if word == "wrong":
            self.report(at, f"{request} got the answer to another request from {open_request.limiter}")
        elif word == "dropped":
            self.report(at, f"{request} had been read when {open_request.limiter} closed its connection")
        elif at > open_request.deadline + self._rules.grace:
            late = at - open_request.deadline
            self.report(at, f"{request} was answered {word} {late:.0f} ms late by {open_request.limiter}")

    def excused(self, at: float, request: str, why: str) -> None:
        """Closes the request; an excuse that comes after the answer was due does not count."""
        open_request = self.open.pop(request, None)
        if open_request is not None and at > open_request.deadline + self._rules.grace:
            self.report(at, f"{request} was never answered by {open_request.limiter}")

    def ended(self, at: float) -> None:
        """Reports the requests that are still open past their deadline."""
        for request, open_request in self.open.items():
            if at > open_request.deadline + self._rules.grace:
                self.report(at, f"{request} was never answered by {open_request.limiter}")


class RepeatedEffects(InvariantChecker):
    """Invariant 2: a request that is not idempotent takes effect at most once."""

    name = "no effect twice"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._effects: dict[str, str] = {}
        self._ran_on: dict[str, str] = {}
        self._order: deque[str] = deque()

    def asked(self, at: float, request: str, limiter: str, deadline: float, account: str, effect: str) -> None:
        """Remembers a request that may not take effect twice."""
        if effect != "free":
            self._effects[request] = effect
            self._order.append(request)
            if len(self._order) > MAX_REMEMBERED_REQUESTS:
                oldest = self._order.popleft()
                self._effects.pop(oldest, None)
                self._ran_on.pop(oldest, None)

    def ran(self, at: float, box: str, request: str) -> None:
        """Checks that the request has not taken effect before."""
        if request not in self._effects:
            return
        if request in self._ran_on:
            self.report(at, f"{request} ({self._effects[request]}) ran on {self._ran_on[request]} and on {box}")
        self._ran_on[request] = box


class DrainedServers(InvariantChecker):
    """Invariant 3: a limiter sends nothing later than `drain` after it learns that a server drains or is gone."""

    name = "drains kept"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._rules = rules
        self._drained_since: dict[tuple[str, str], float] = {}

    def limiter_began(self, at: float, limiter: str) -> None:
        """Forgets what the limiter's previous process had learned."""
        for key in [key for key in self._drained_since if key[0] == limiter]:
            del self._drained_since[key]

    def told(self, at: float, limiter: str, box: str, state: str, started_at: float) -> None:
        """Records when the limiter first learned that the server does not run."""
        if state == "running":
            self._drained_since.pop((limiter, box), None)
        else:
            self._drained_since.setdefault((limiter, box), at)

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        """Checks that the server is not drained for this limiter."""
        since = self._drained_since.get((limiter, box))
        if since is not None and at > since + self._rules.drain:
            self.report(at, f"{limiter} sent {request} to {box} {at - since:.0f} ms after it learned of its drain")


@dataclass(slots=True)
class _ColdServer:
    """A server that is still warming up.

    Attributes:
        started_at: When its process started.
        capacity: Its capacity when warm, in requests per ms.
        informed: The limiters that have learned of the start, with the time at which they did.
        sends: The requests within the window: the time, and whether the limiter knew of the start.
    """

    started_at: float
    capacity: float
    informed: dict[str, float] = field(default_factory=dict)
    sends: deque[tuple[float, bool]] = field(default_factory=deque)


class ColdServers(InvariantChecker):
    """Invariant 4: in any `window`, a cold server receives at most `multiple` times its present capacity.

    Two standard deviations and three requests are allowed on top for chance. An excess counts only if two thirds of the
    requests (`informed_share`) came from limiters that knew of the server's start.

    Attributes:
        worst: The largest ratio of the requests in a window to the allowed number.
    """

    name = "no cold box pushed over"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._rules = rules
        self._cold: dict[str, _ColdServer] = {}
        self.worst = 0.0

    def started(self, at: float, box: str, capacity: float) -> None:
        """Starts to watch the server."""
        self._cold[box] = _ColdServer(at, capacity)

    def told(self, at: float, limiter: str, box: str, state: str, started_at: float) -> None:
        """Records that the limiter knows of the present process of the server."""
        cold = self._cold.get(box)
        if cold is not None and abs(started_at - cold.started_at) < 2.0:
            cold.informed.setdefault(limiter, at)

    def limiter_began(self, at: float, limiter: str) -> None:
        """Forgets what the limiter's previous process had learned."""
        for cold in self._cold.values():
            cold.informed.pop(limiter, None)

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        """Checks the number of requests that the server received within the window."""
        cold = self._cold.get(box)
        if cold is None:
            return
        rules, sends = self._rules, cold.sends
        age = at - cold.started_at
        if age >= rules.cold_ms:
            del self._cold[box]
            return
        sends.append((at, limiter in cold.informed))
        while sends and at - sends[0][0] > rules.window:
            sends.popleft()
        share = rules.cold_share + (1.0 - rules.cold_share) * max(0.0, age) / rules.cold_ms
        mean = cold.capacity * share * rules.multiple * rules.window
        allowed = mean + 2.0 * mean**0.5 + 3.0
        informed = sum(is_informed for _, is_informed in sends)
        self.worst = max(self.worst, len(sends) / allowed)
        if len(sends) > allowed and informed >= rules.informed_share * len(sends):
            self.report(
                at,
                f"{box} received {len(sends)} requests within {rules.window:.0f} ms, at most {allowed:.0f} are allowed",
            )


class HardCeilings(InvariantChecker):
    """Invariant 5: over any span, an account's work stays within ceiling burst + rate x time + slack.

    Attributes:
        worst: The most units by which an account exceeded burst + rate x time.
    """

    name = "ceilings kept"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._plans: dict[str, tuple[float, float, float]] = {}
        self._levels: dict[str, tuple[float, float]] = {}
        self.worst = 0.0

    def ceiling(self, account: str, rate: float, burst: float, slack: float) -> None:
        """Sets the account's ceiling.

        Args:
            account: The account.
            rate: Units per second.
            burst: Units.
            slack: Units by which the ceiling may be exceeded.
        """
        self._plans[account] = (rate / 1000.0, burst, slack)

    def spent(self, at: float, account: str, units: float) -> None:
        """Adds the units to the account's bucket and checks its level."""
        plan = self._plans.get(account)
        if plan is None:
            return
        rate, burst, slack = plan
        level, since = self._levels.get(account, (0.0, at))
        level = max(0.0, level - rate * max(0.0, at - since)) + units
        self._levels[account] = (level, max(at, since))
        self.worst = max(self.worst, level - burst)
        if level > burst + slack + 1e-6:
            self.report(at, f"account {account}: {level - burst:.2f} units over its ceiling, its slack is {slack:g}")


class DrainReports(InvariantChecker):
    """Checks that a drain report is true.

    Once a tool has reported that a limiter sends nothing to a server any more, the limiter sends nothing more. Only a
    request that was being written may still arrive, within `instant`.
    """

    name = "drain reported as it is"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._instant = rules.instant
        self._claims: dict[tuple[str, str], float] = {}
        self._last_sent: dict[tuple[str, str], float] = {}

    def claimed(self, at: float, operator: str, target: str, limiter: str, since: float) -> None:
        """Checks the report against the limiter's last request to the server."""
        key = (limiter, target)
        self._claims.setdefault(key, since)
        if self._last_sent.get(key, -1e18) > since + self._instant:
            late = self._last_sent[key] - since
            self.report(
                at,
                f"{operator} was told that {limiter} sends nothing to {target} any more, but it sent a request "
                f"{late:.0f} ms after the time in the report",
            )

    def undrained(self, target: str) -> None:
        """Withdraws the reports on the server, because an operator reinstates it."""
        for key in [key for key in self._claims if key[1] == target]:
            del self._claims[key]

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        """Checks that the server was not reported as drained at this limiter."""
        key = (limiter, box)
        self._last_sent[key] = at
        since = self._claims.get(key)
        if since is not None and at > since + self._instant:
            self.report(
                at, f"{limiter} sent {request} to {box}, although its operator was told that it is drained there"
            )


class UnhandledErrors(InvariantChecker):
    """Checks that the code raises no unhandled exception and receives no event that it cannot handle."""

    name = "nothing raised"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()

    def failure(self, at: float, where: str, text: str) -> None:
        """Reports the error."""
        self.report(at, f"{where}: {text}")


class Quiescence(InvariantChecker):
    """Checks that nothing is left over when the group is idle at the end of a run."""

    name = "all comes to rest"

    def __init__(self, rules: CheckerLimits, count_leftovers: Callable[[], dict[str, int]] = dict) -> None:
        """Creates the checker.

        Args:
            rules: The tolerances.
            count_leftovers: Returns the counts that have to be zero at the end of the run, by name.
        """
        super().__init__()
        self._count_leftovers = count_leftovers

    def ended(self, at: float) -> None:
        """Reports each count that is not zero."""
        for name, left in self._count_leftovers().items():
            if left:
                self.report(at, f"{left} {name}")


class UnboundedGrowth(InvariantChecker):
    """Checks that no sampled count grows with time.

    The samples are taken from time to time while requests come, and passed to `counted`. The least sample of the last
    third of the run may be at most `MAX_RATIO` times that of the middle third, plus `MAX_INCREASE`. A count that grows
    evenly from zero doubles between the two; a traffic spike does not change the least sample of a third.
    """

    name = "no unbounded growth"
    MAX_RATIO, MAX_INCREASE = 1.5, 200

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._samples: dict[str, list[int]] = {}

    def counted(self, what: str, number: int) -> None:
        """Adds a sample of the count of that name."""
        samples = self._samples.setdefault(what, [])
        samples.append(number)
        if len(samples) >= MAX_SAMPLES:  # keeps the lesser of each two, as the least samples are compared
            samples[:] = [min(pair) for pair in zip(samples[::2], samples[1::2], strict=True)]

    def ended(self, at: float) -> None:
        """Compares the last third of each count with the middle third."""
        for what, samples in self._samples.items():
            third = len(samples) // 3
            if third < 3:
                continue
            middle, last = min(samples[third : 2 * third]), min(samples[-third:])
            if last > self.MAX_RATIO * middle + self.MAX_INCREASE:
                self.report(at, f"{what} grew from {middle} to {last}")


class RecordAgreement(InvariantChecker):
    """Checks that agents that can reach one another hold the same records at the end of a run.

    Attributes:
        within: How long after the last change or the end of the last partition they may differ, in ms.
    """

    name = "records agree"
    within = 3000.0

    def __init__(self, rules: CheckerLimits, digests: Callable[[], dict[str, str]] = dict) -> None:
        """Creates the checker.

        Args:
            rules: The tolerances.
            digests: Returns the digest of the records of each agent, by the agent's name.
        """
        super().__init__()
        self._digests = digests

    def ended(self, at: float) -> None:
        """Compares the digests."""
        digests = self._digests()
        if len(set(digests.values())) > 1:
            listing = ", ".join(f"{name} {digest[:8]}" for name, digest in sorted(digests.items()))
            self.report(at, f"the agents hold different records at the end of the run: {listing}")


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
