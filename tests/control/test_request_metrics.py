"""Counts of answers by customer, and latency quantiles."""

from typing import Any

from elderlock.control.request_metrics import MAXIMUM_ACCOUNTS, OTHER_ACCOUNTS, RecentLatencies, RequestMetrics


def test_the_number_of_accounts_is_limited_and_their_counts_add_up_to_the_total() -> None:
    metrics = RequestMetrics(["team"])
    answers: list[Any] = [b"$5\r\nvalue\r\n", b"-BUSY 500\r\n", b"-ERR failed\r\n", None]
    for number in range(MAXIMUM_ACCOUNTS + 400):
        metrics.record(0, f"a{number}", 5.0, answers[number % 4])
    assert metrics.account_count() == MAXIMUM_ACCOUNTS
    accounts = metrics.busiest_accounts(MAXIMUM_ACCOUNTS)
    for outcome in ("served", "refused", "failed", "abandoned"):
        total = getattr(metrics.total, outcome)
        assert sum(getattr(counts, outcome) for counts in accounts.values()) == total == (MAXIMUM_ACCOUNTS + 400) // 4
    assert accounts[OTHER_ACCOUNTS].total() == 400 and metrics.by_plan["team"].served == metrics.total.served


def test_quantiles_are_within_their_histogram_bucket() -> None:
    latencies = RecentLatencies()
    assert latencies.quantile(0.5) == -1.0
    for latency_ms in range(1, 1001):
        latencies.add(float(latency_ms))
    for fraction in (0.1, 0.5, 0.99):
        assert fraction * 1000 <= latencies.quantile(fraction) <= fraction * 1000 * 1.02
    for _ in range(100_000):
        latencies.add(1.0)
    assert latencies.quantile(0.9) < 2.0  # only recent answers count
