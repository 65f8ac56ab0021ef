"""Counts of answers by customer, and quantiles of latencies."""

from typing import Any

from elderlock.control.request_metrics import MAXIMUM_ACCOUNTS, OTHER_ACCOUNTS, RecentLatencies, RequestMetrics


def test_accounts_are_bounded_and_their_counts_sum_up_to_the_total() -> None:
    figures = RequestMetrics(["team"])
    answers: list[Any] = [b"$5\r\nvalue\r\n", b"-BUSY 500\r\n", b"-ERR failed\r\n", None]
    for n in range(MAXIMUM_ACCOUNTS + 400):
        figures.record(0, f"a{n}", 5.0, answers[n % 4])
    assert figures.account_count() == MAXIMUM_ACCOUNTS
    shown = figures.busiest_accounts(MAXIMUM_ACCOUNTS)
    for name in ("served", "refused", "failed", "abandoned"):
        total = getattr(figures.total, name)
        assert sum(getattr(counts, name) for counts in shown.values()) == total == (MAXIMUM_ACCOUNTS + 400) // 4
    assert shown[OTHER_ACCOUNTS].total() == 400 and figures.by_plan["team"].served == figures.total.served


def test_quantiles_are_within_their_histogram_class() -> None:
    times = RecentLatencies()
    assert times.quantile(0.5) == -1.0
    for n in range(1, 1001):
        times.add(float(n))
    for share in (0.1, 0.5, 0.99):
        assert share * 1000 <= times.quantile(share) <= share * 1000 * 1.02
    for _ in range(100_000):
        times.add(1.0)
    assert times.quantile(0.9) < 2.0  # the recent past counts
