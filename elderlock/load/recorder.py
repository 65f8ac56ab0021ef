"""Builds a trace from the limiters' counters: the number of ended requests of each account between two polls. No I/O.

The counters do not tell when a request ended between two polls. Such a trace therefore has each account's rate between
two polls, with its requests spread evenly over that time. The counters of plans and accounts are separate, so an
account gets the plan that the operator's map names, or the plan whose counter grew if only one did.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from elderlock.control.messages import AnswerCounts, LimiterState
from elderlock.control.request_metrics import OTHER_ACCOUNTS
from elderlock.load.trace import Row

MOST_SPREAD = 3


class Recorder:
    """Converts polled limiter states to trace rows.

    Attributes:
        uncounted: Requests without a row: of accounts that the limiters do not count separately, or of unknown plan.
        polls: Number of polls.
    """

    def __init__(self, plans: Mapping[str, str], deadline: float = 1200.0) -> None:
        """Prepare the recording.

        Args:
            plans: The plan of each account, as far as it is known.
            deadline: Deadline in ms of every row, because the counters do not contain it.
        """
        self._plans, self._deadline = plans, deadline
        self._last: dict[tuple[str, str], int] = {}  # ended requests by limiter and account
        self._last_plans: dict[tuple[str, str], int] = {}  # ended requests by limiter and plan
        self._processes: dict[str, tuple[int, float]] = {}  # process id and uptime in ms by limiter
        self._inferred_plans: dict[str, str] = {}
        self.uncounted = 0
        self.polls = 0

    def poll(self, states: Mapping[str, LimiterState], since: float, now: float) -> list[Row]:
        """Return the requests that ended between two polls, in order of time.

        The first poll only stores the counters. So does the first poll after a restart of a limiter, whose counters
        have started again from zero.

        Args:
            states: The state of each limiter by name.
            since: Time of the previous poll in s of the trace.
            now: Time of this poll in s of the trace.
        """
        rows: list[Row] = []
        for name, state in states.items():
            pid, uptime_ms = self._processes.get(name, (0, 0.0))
            has_restarted = pid != state.pid or state.uptime_ms < uptime_ms
            self._processes[name] = state.pid, state.uptime_ms
            growth = list(self._account_growth(name, state.accounts, has_restarted))
            plans = [plan for plan, count in self._plan_growth(name, state.plans, has_restarted).items() if count]
            for account, count in growth:
                plan = self._plan_of(account, plans)
                if account == OTHER_ACCOUNTS or not plan:
                    self.uncounted += count
                    continue
                step = (now - since) / count
                rows += [
                    Row(round((since + (n + 0.5) * step) * 1e6), account, plan, deadline=self._deadline)
                    for n in range(count)
                ]
        self.polls += 1
        return sorted(rows, key=lambda row: row.at)

    def _account_growth(
        self, name: str, accounts: Mapping[str, AnswerCounts], has_restarted: bool
    ) -> Iterator[tuple[str, int]]:
        for account, counts in accounts.items():
            total = counts.total()
            previous = self._last.get((name, account))
            self._last[name, account] = total
            if previous is not None and not has_restarted and total > previous:
                yield account, total - previous
            elif previous is None and not has_restarted and self.polls:
                yield account, total  # the account is new since the previous poll

    def _plan_growth(self, name: str, plans: Mapping[str, AnswerCounts], has_restarted: bool) -> dict[str, int]:
        growth = {}
        for plan, counts in plans.items():
            total = counts.total()
            growth[plan] = 0 if has_restarted else total - self._last_plans.get((name, plan), 0)
            self._last_plans[name, plan] = total
        return growth

    def _plan_of(self, account: str, growing_plans: list[str]) -> str:
        plan = self._plans.get(account) or self._inferred_plans.get(account, "")
        if not plan and len(growing_plans) == 1:
            plan = self._inferred_plans[account] = growing_plans[0]
        return plan
