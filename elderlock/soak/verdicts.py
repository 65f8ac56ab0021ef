"""Judges what clients and servers of a soak have seen, by the protocol's rules. No I/O.

A close by the limiter that crosses a request which it has not read is excused, as its client sends it once more. What
the limiter's machine had acknowledged for `READ_AFTER_S` before the close counts as read: without an answer it is lost,
on a new connection too. All times are seconds of one clock. Time in which the limiter waited for a core is not counted
against it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from elderlock.interface.settings import Idempotency

# Longer than the limiter may be held up (0.15 s) and its loop may be busy.
READ_AFTER_S = 0.3
# An attempt may begin this long after its client's close: the protocol's 0.1 s and a hold-up of 0.15 s.
ATTEMPT_AFTER_CLOSE_S = 0.3
# An answer may come half a second after the request's time; the rest is for this process's own delays.
ANSWER_AFTER_DEADLINE_S = 0.8

# How long after its first attempt servers recognise a request that has a key.
DEDUPLICATION_WINDOW_S = 1.0
# A repeat that was sent within the window may begin this much later: its limiter's hold-up lies between.
BEGIN_AFTER_WINDOW_S = 0.3


class Rule(Enum):
    """The rules that are judged."""

    LOST = "lost"
    WRONG_VALUE = "wrong value"
    RUN_TWICE = "run twice"
    ATTEMPT_AFTER_CLOSE = "attempt after its client's close"
    CRASHED = "crashed"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule.

    Attributes:
        rule: The rule.
        at_s: When it was seen.
        text: What was seen.
    """

    rule: Rule
    at_s: float
    text: str


@dataclass(slots=True)
class Request:
    """A request on one connection.

    Attributes:
        request_id: Its id.
        limiter: The name of the limiter that it is sent to.
        idempotency: The effect of a repeat.
        deadline_s: Until when its client waits.
        acknowledged_at_s: Since when the limiter's machine is known to have all of it; None if that is not known.
        closed_at_s: When its client closed the connection; None if it did not.
        is_answered: Whether it has its final answer.
        begun: How often a server began it.
        first_begun_at_s: When a server first began it; None until then.
    """

    request_id: bytes
    limiter: str
    idempotency: Idempotency
    deadline_s: float
    acknowledged_at_s: float | None = None
    closed_at_s: float | None = None
    is_answered: bool = False
    begun: int = 0
    first_begun_at_s: float | None = None


def _never_waited(_limiter: str, _since_s: float) -> float:
    return 0.0


@dataclass(slots=True)
class Verdicts:
    """Collects the violations of a soak.

    Attributes:
        core_wait_s: Returns how many seconds a limiter has waited for a core since a time.
        requests: All requests by id.
        violations: The broken rules, in the order in which they were seen.
        crossed: The number of requests that the close of their connection crossed.
    """

    core_wait_s: Callable[[str, float], float] = _never_waited
    requests: dict[bytes, Request] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)
    crossed: int = 0

    def add(self, request: Request) -> Request:
        """Record a request that is about to be sent."""
        self.requests[request.request_id] = request
        return request

    def report(self, rule: Rule, at_s: float, text: str) -> None:
        """Record a broken rule."""
        self.violations.append(Violation(rule, at_s, text))

    def answered(self, request: Request, value: bytes | None, now_s: float) -> None:
        """Record a request's final answer: the value, or None for a rejection or an error."""
        request.is_answered = True
        if value is not None and value != value_of(request.request_id):
            self.report(Rule.WRONG_VALUE, now_s, f"{request.request_id!r} got {value[:60]!r}")
        late_s = now_s - request.deadline_s
        if late_s > ANSWER_AFTER_DEADLINE_S + self._waited_s(request, request.deadline_s):
            self.report(Rule.LOST, now_s, f"{request.request_id!r} was answered too late")

    def closed_by_limiter(self, request: Request, now_s: float) -> None:
        """Judge an unanswered request whose connection the limiter has closed."""
        request.is_answered = True
        acknowledged_at_s = request.acknowledged_at_s
        held_s = 0.0 if acknowledged_at_s is None else now_s - acknowledged_at_s
        if acknowledged_at_s is None or held_s < READ_AFTER_S + self._waited_s(request, acknowledged_at_s):
            self.crossed += 1
            return
        text = f"{request.request_id!r} has no answer, the limiter's machine had it for {held_s:.2f} s before the close"
        self.report(Rule.LOST, now_s, text)

    def expired(self, request: Request, now_s: float) -> None:
        """Judge a request whose connection is open and has brought no answer in time."""
        request.is_answered = True
        self.report(Rule.LOST, now_s, f"{request.request_id!r} has no answer after its deadline")

    def ended_by_itself(self, name: str, exit_code: int, now_s: float) -> None:
        """Record that a limiter ended with an error, or without being told to end."""
        self.report(Rule.CRASHED, now_s, f"{name} ended with exit code {exit_code}")

    def attempt_begun(self, request_id: bytes, now_s: float) -> None:
        """Judge an attempt that a server begins."""
        request = self.requests.get(request_id)
        if request is None:
            return
        request.begun += 1
        if request.first_begun_at_s is None:
            request.first_begun_at_s = now_s
        else:
            self._judge_repeat(request, now_s - request.first_begun_at_s, now_s)
        if request.closed_at_s is None:
            return
        late_s = now_s - request.closed_at_s
        if late_s > ATTEMPT_AFTER_CLOSE_S + self._waited_s(request, request.closed_at_s):
            self.report(Rule.ATTEMPT_AFTER_CLOSE, now_s, f"{request_id!r} was begun {late_s:.2f} s after the close")

    def _waited_s(self, request: Request, since_s: float) -> float:
        return self.core_wait_s(request.limiter, since_s)

    def _judge_repeat(self, request: Request, since_first_s: float, now_s: float) -> None:
        if request.idempotency is Idempotency.NOT_IDEMPOTENT:
            self.report(Rule.RUN_TWICE, now_s, f"{request.request_id!r} was begun {request.begun} times")
        is_recognised = since_first_s <= DEDUPLICATION_WINDOW_S + BEGIN_AFTER_WINDOW_S
        if request.idempotency is Idempotency.WITH_KEY and not is_recognised:
            text = f"{request.request_id!r} has a key and was begun again after {since_first_s:.2f} s"
            self.report(Rule.RUN_TWICE, now_s, text)


def value_of(request_id: bytes) -> bytes:
    """Return the value that servers make for a request, and for no other."""
    return b"value of " + request_id
