"""Check what happens to requests: each is answered once and in time, and its effect happens once."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from elderlock.sim.checker_base import CheckerLimits, InvariantChecker

# Finished requests that a checker remembers. A second answer or effect comes soon after the first; without a bound, a
# long run would need unbounded memory.
MAX_REMEMBERED_REQUESTS = 4000


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
