"""A trace from the limiters' control figures: how many requests of which account ended, look by look. No I/O.

The figures say how many, not when within a look: a trace made so has the rates of each account over each look
and evenly spread times within it. Plans are told by their counts alone, so an account gets the plan that
the operator's map names, or the one whose count grew alike where only one did.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from elderlock.control.messages import AnswerCounts, LimiterState
from elderlock.control.request_metrics import OTHER_ACCOUNTS
from elderlock.load.trace import Row

MOST_SPREAD = 3


class Recorder:
    """`deadline` in ms goes into every row: the figures do not tell it."""

    def __init__(self, plans: Mapping[str, str], deadline: float = 1200.0) -> None:
        self._plans, self._deadline = plans, deadline
        self._last: dict[tuple[str, str], int] = {}  # limiter, account: ended so far
        self._last_plans: dict[tuple[str, str], int] = {}
        self._process: dict[str, tuple[int, float]] = {}
        self._told_plan: dict[str, str] = {}
        self.uncounted = 0  # requests of accounts that the limiters do not count apart, or of no known plan
        self.polls = 0

    def poll(self, states: Mapping[str, LimiterState], since: float, now: float) -> list[Row]:
        """The requests that ended between `since` and `now` (s of the trace), in order of time. The first look
        only takes the figures down, and so does the first after a limiter's restart: its counts began anew."""
        found: list[Row] = []
        for name, state in states.items():
            pid, uptime = self._process.get(name, (0, 0.0))
            fresh = pid != state.pid or state.uptime_ms < uptime
            self._process[name] = state.pid, state.uptime_ms
            grown = list(self._grown(name, state.accounts, fresh))
            plans = [plan for plan, count in self._plan_growth(name, state.plans, fresh).items() if count]
            for account, count in grown:
                plan = self._plan_of(account, plans)
                if account == OTHER_ACCOUNTS or not plan:
                    self.uncounted += count
                    continue
                step = (now - since) / count
                found += [
                    Row(round((since + (n + 0.5) * step) * 1e6), account, plan, deadline=self._deadline)
                    for n in range(count)
                ]
        self.polls += 1
        return sorted(found, key=lambda row: row.at)

    def _grown(self, name: str, accounts: Mapping[str, AnswerCounts], fresh: bool) -> Iterator[tuple[str, int]]:
        for account, counts in accounts.items():
            total = counts.total()
            before = self._last.get((name, account))
            self._last[name, account] = total
            if before is not None and not fresh and total > before:
                yield account, total - before
            elif before is None and not fresh and self.polls:
                yield account, total  # it was not there at the last look

    def _plan_growth(self, name: str, plans: Mapping[str, AnswerCounts], fresh: bool) -> dict[str, int]:
        grown = {}
        for plan, counts in plans.items():
            total = counts.total()
            grown[plan] = 0 if fresh else total - self._last_plans.get((name, plan), 0)
            self._last_plans[name, plan] = total
        return grown

    def _plan_of(self, account: str, grown: list[str]) -> str:
        plan = self._plans.get(account) or self._told_plan.get(account, "")
        if not plan and len(grown) == 1:
            plan = self._told_plan[account] = grown[0]
        return plan
