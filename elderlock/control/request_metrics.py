"""What a limiter answered, counted by plan and account, and how long it took. Bounded; no I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from elderlock.control.messages import AnswerCounts

MAXIMUM_ACCOUNTS = 4096  # counted apart; the first seen one then goes into the sum of the others
OTHER_ACCOUNTS = "(others)"
LONGEST, DIGITS = 600_000_000, 2  # µs, and significant digits: each answer is placed within one per cent
RECENT_ANSWERS = 20_000  # answers, after which the older half is forgotten, so that quantiles are of the recent past


class RecentLatencies:
    """HDR histograms of times to answer, with a bounded memory of the past: the present half and the one before."""

    def __init__(self) -> None:
        self._now, self._before = HdrHistogram(1, LONGEST, DIGITS), HdrHistogram(1, LONGEST, DIGITS)

    def add(self, took: float) -> None:
        """`took` in ms."""
        self._now.record_value(min(max(int(took * 1000.0), 1), LONGEST))
        if self._now.get_total_count() >= RECENT_ANSWERS / 2:
            self._before, self._now = self._now, self._before
            self._now.reset()

    def quantile(self, share: float) -> float:
        """ms, the upper bound of the class in which it lies; -1 before any answer."""
        both = HdrHistogram(1, LONGEST, DIGITS)
        both.add(self._before)
        both.add(self._now)
        return float(both.get_value_at_percentile(100.0 * share)) / 1000.0 if both.get_total_count() else -1.0


SERVED, REFUSED, FAILED, GONE = range(4)
_BUSY = b"-BUSY"


def _counts(of: Sequence[int]) -> AnswerCounts:
    return AnswerCounts(of[SERVED], of[REFUSED], of[FAILED], of[GONE])


class RequestMetrics:
    """Counted at each answer, on the ordinary path of a limiter with a control socket: plain lists, and no
    order kept among accounts beyond that in which they came."""

    def __init__(self, plans: Sequence[str]) -> None:
        self.latencies = RecentLatencies()
        self.log_time_sum = self.log_time_square_sum = 0.0  # of served ones, ms
        self._names = tuple(plans)
        self._all = [0, 0, 0, 0]
        self._plans = [[0, 0, 0, 0] for _ in plans]
        self._accounts: dict[str, list[int]] = {}  # the first seen first
        self._others = [0, 0, 0, 0]

    def record(self, plan_index: int, account: str, took: float, answer: bytes | None) -> None:
        if answer is None:
            kind = GONE
        else:
            kind = SERVED if answer[0] == 36 else REFUSED if answer.startswith(_BUSY) else FAILED  # 36 is '$'
            self.latencies.add(took)
            if kind == SERVED:
                log = math.log(took if took > 0.001 else 0.001)
                self.log_time_sum += log
                self.log_time_square_sum += log * log
        counts = self._accounts.get(account)
        if counts is None:
            counts = self._accounts[account] = [0, 0, 0, 0]
            if len(self._accounts) > MAXIMUM_ACCOUNTS:
                old = self._accounts.pop(next(iter(self._accounts)))
                self._others = [a + b for a, b in zip(self._others, old, strict=True)]
        counts[kind] += 1
        self._plans[plan_index][kind] += 1
        self._all[kind] += 1

    @property
    def total(self) -> AnswerCounts:
        return _counts(self._all)

    @property
    def by_plan(self) -> dict[str, AnswerCounts]:
        return {name: _counts(of) for name, of in zip(self._names, self._plans, strict=True)}

    def account_count(self) -> int:
        return len(self._accounts)

    def busiest_accounts(self, most: int) -> dict[str, AnswerCounts]:
        """The busiest, and the sum of those that are not counted apart any more."""
        busiest = sorted(self._accounts.items(), key=lambda item: -sum(item[1]))[:most] if most > 0 else []
        shown = {name: _counts(of) for name, of in busiest}
        return shown | ({OTHER_ACCOUNTS: _counts(self._others)} if any(self._others) else {})
