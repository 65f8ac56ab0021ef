"""Counts a limiter's answers by plan and customer, and records their latencies, in bounded memory. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from elderlock.control.messages import AnswerCounts

# Customers that are counted separately; above this number, the customer first seen is merged into the others.
MAXIMUM_ACCOUNTS = 4096
OTHER_ACCOUNTS = "(others)"
MAXIMUM_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2  # of the histograms: each latency is recorded with an error of at most one per cent
RECENT_ANSWERS = 20_000  # answers in both histograms, after which the older half is forgotten
US_PER_MS = 1000.0
MINIMUM_LOG_LATENCY_MS = 0.001
MINIMUM_LATENCY_US = 1

SERVED, REFUSED, FAILED, ABANDONED = range(4)  # indices in a list of counts
_BUSY = b"-BUSY"
_BULK_STRING = ord("$")  # first byte of a RESP bulk string: the request was served


class RecentLatencies:
    """The latencies of recent answers in two HDR histograms: the current half and the previous half."""

    def __init__(self) -> None:
        self._current = _new_histogram()
        self._previous = _new_histogram()

    def add(self, latency_ms: float) -> None:
        """Record the latency of an answer."""
        latency_us = min(max(int(latency_ms * US_PER_MS), MINIMUM_LATENCY_US), MAXIMUM_LATENCY_US)
        self._current.record_value(latency_us)
        if self._current.get_total_count() >= RECENT_ANSWERS / 2:
            self._previous, self._current = self._current, self._previous
            self._current.reset()

    def quantile(self, fraction: float) -> float:
        """Return a quantile in ms, as the upper bound of its histogram bucket; -1 before the first answer."""
        combined = _new_histogram()
        combined.add(self._previous)
        combined.add(self._current)
        if not combined.get_total_count():
            return -1.0
        return float(combined.get_value_at_percentile(100.0 * fraction)) / US_PER_MS


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAXIMUM_LATENCY_US, SIGNIFICANT_DIGITS)


def _answer_counts(counts: Sequence[int]) -> AnswerCounts:
    return AnswerCounts(counts[SERVED], counts[REFUSED], counts[FAILED], counts[ABANDONED])


class RequestMetrics:
    """The counts and latencies of a limiter's answers.

    `record` runs for each answer of a limiter with a control socket. To be fast, it uses plain lists, and does not
    reorder customers after their first answer.

    Attributes:
        latencies: The recent latencies.
        log_time_sum: The sum of the natural logarithms of the served requests' latencies in ms.
        log_time_square_sum: The sum of the squares of those logarithms.
    """

    def __init__(self, plans: Sequence[str]) -> None:
        self.latencies = RecentLatencies()
        self.log_time_sum = 0.0
        self.log_time_square_sum = 0.0
        self._plan_names = tuple(plans)
        self._total = [0, 0, 0, 0]
        self._by_plan = [[0, 0, 0, 0] for _ in plans]
        self._by_account: dict[str, list[int]] = {}  # in the order of the first answers
        self._other_accounts = [0, 0, 0, 0]

    def record(self, plan_index: int, account: str, latency_ms: float, answer: bytes | None) -> None:
        """Record an answer in RESP, or None for a client that disconnected before its answer."""
        if answer is None:
            kind = ABANDONED
        else:
            kind = SERVED if answer[0] == _BULK_STRING else REFUSED if answer.startswith(_BUSY) else FAILED
            self.latencies.add(latency_ms)
            if kind == SERVED:
                log = math.log(latency_ms if latency_ms > MINIMUM_LOG_LATENCY_MS else MINIMUM_LOG_LATENCY_MS)
                self.log_time_sum += log
                self.log_time_square_sum += log * log
        counts = self._by_account.get(account)
        if counts is None:
            counts = self._add_account(account)
        counts[kind] += 1
        self._by_plan[plan_index][kind] += 1
        self._total[kind] += 1

    def _add_account(self, account: str) -> list[int]:
        """Count a customer separately; above the maximum, the customer first seen is merged into the others."""
        counts = self._by_account[account] = [0, 0, 0, 0]
        if len(self._by_account) > MAXIMUM_ACCOUNTS:
            oldest = self._by_account.pop(next(iter(self._by_account)))
            self._other_accounts = [
                other_count + count for other_count, count in zip(self._other_accounts, oldest, strict=True)
            ]
        return counts

    @property
    def total(self) -> AnswerCounts:
        """The counts of all answers."""
        return _answer_counts(self._total)

    @property
    def by_plan(self) -> dict[str, AnswerCounts]:
        """The counts of each plan."""
        return {name: _answer_counts(counts) for name, counts in zip(self._plan_names, self._by_plan, strict=True)}

    def account_count(self) -> int:
        """Return the number of customers that are counted separately."""
        return len(self._by_account)

    def busiest_accounts(self, maximum: int) -> dict[str, AnswerCounts]:
        """Return the counts of the busiest customers, and the sum of those no longer counted separately."""
        by_answers = sorted(self._by_account.items(), key=lambda item: -sum(item[1]))
        busiest = by_answers[: max(maximum, 0)]
        shown = {name: _answer_counts(counts) for name, counts in busiest}
        if any(self._other_accounts):
            shown[OTHER_ACCOUNTS] = _answer_counts(self._other_accounts)
        return shown
