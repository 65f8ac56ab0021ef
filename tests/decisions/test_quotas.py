"""The accounts of customers: the bucket, the estimate of the shared quota and the part of the hard ceiling."""

import pytest
from helpers import account_of, limiter_settings, start_harness

from elderlock.decisions.context import MS_PER_SECOND


def test_the_fill_rate_is_the_own_rate_plus_an_even_share_of_the_unused_rate() -> None:
    harness = start_harness(limiter_settings(meter_period_ms=2000.0))
    harness.send_request(limiter_count=2)
    account = account_of(harness)
    account.shared_units = 0.0
    account.own_rate_per_s, account.others_rate_per_s = 3.0, 5.0
    assert harness.limiter.quotas.fill_rate_per_s(account, 1.0) == pytest.approx(3.0 + (10.0 - 8.0) / 2)
    account.own_rate_per_s, account.others_rate_per_s = 3.0, 15.0
    assert harness.limiter.quotas.fill_rate_per_s(account, 1.0) == 0.0  # never negative
    account.own_rate_per_s, account.others_rate_per_s = 12.0, 0.0
    assert harness.limiter.quotas.fill_rate_per_s(account, 1.0) == 10.0  # never above the plan's rate
    assert harness.limiter.quotas.fill_rate_per_s(account, 0.0) == 5.0  # an even share without a reading
    account.own_rate_per_s, account.others_rate_per_s = 3.0, 5.0
    assert harness.limiter.quotas.fill_rate_per_s(account, 0.5) == pytest.approx(4.5)  # interpolated in between


def test_a_customer_over_its_quota_is_rejected_at_once() -> None:
    harness = start_harness()
    served = [harness.is_served() for _ in range(25)]
    assert served == [True] * 20 + [False] * 5
    harness.run_until(1000.0)
    assert harness.attempted_servers(harness.send_request(limiter_count=1))


def test_a_meter_reading_sets_the_others_rate_and_loses_confidence_with_age() -> None:
    harness = start_harness(limiter_settings(meter_period_ms=2000.0))
    request_id = harness.send_request(limiter_count=2)
    harness.end_attempt(request_id, meter=101)
    account = account_of(harness)
    assert account.others_rate_per_s == pytest.approx(10.0, abs=0.5)
    assert harness.limiter.quotas.reading_confidence(account) == 1.0
    account.averaging_ms = 4000.0  # requests are frequent, so the meter's period determines the age limit
    harness.run_until(6000.0)
    assert harness.limiter.quotas.reading_confidence(account) == pytest.approx(0.5, abs=0.02)
    account.averaging_ms = 16000.0  # requests are rare, so the interval between them determines it
    assert harness.limiter.quotas.reading_confidence(account) == pytest.approx(1.0)
    harness.run_until(17000.0)
    assert harness.limiter.quotas.reading_confidence(account) == 0.0


def test_the_bucket_capacity_shrinks_with_the_rate_that_others_spend() -> None:
    busy = start_harness(limiter_settings(meter_period_ms=2000.0))
    calm = start_harness(limiter_settings(meter_period_ms=2000.0))
    capacities = []
    for harness, meter in ((busy, 101), (calm, 21)):
        harness.end_attempt(harness.send_request(limiter_count=2), meter=meter)
        account = account_of(harness)
        account.shared_units = 8.0
        capacities.append(harness.limiter.quotas.bucket_capacity_units(account, 1.0))
    assert capacities[0] == pytest.approx(4.0, abs=0.3)
    assert capacities[1] > 6.0


def test_without_a_reading_the_bucket_holds_an_even_share_of_the_burst() -> None:
    harness = start_harness(limiter_settings(meter_period_ms=2000.0))
    assert [harness.is_served(limiter_count=2) for _ in range(12)] == [True] * 10 + [False] * 2


def test_a_share_smaller_than_a_request_goes_into_debt_by_one_request() -> None:
    harness = start_harness(limiter_settings(limiter_count=400))
    assert harness.is_served(limiter_count=400)  # the share of the burst is a twentieth of a request
    assert not harness.is_served(limiter_count=400)
    harness.run_until(37000.0)  # the share of the rate is one request in 40 s
    assert not harness.is_served(limiter_count=400)
    harness.run_until(42000.0)
    assert harness.is_served(limiter_count=400)


def test_an_answer_without_a_meter_is_no_reading() -> None:
    harness = start_harness(limiter_settings(meter_period_ms=2000.0))
    harness.end_attempt(harness.send_request(limiter_count=2), meter=0)
    assert harness.limiter.quotas.reading_confidence(account_of(harness)) == 0.0


def test_settled_units_replace_the_estimated_cost() -> None:
    harness = start_harness(limiter_settings(is_cost_known_at_end=True))
    request_id = harness.send_request(units=2.0)
    before = account_of(harness).shared_units
    harness.end_attempt(request_id, settled_units=5.0)
    assert account_of(harness).shared_units == pytest.approx(before - 3.0)


def test_accounts_of_idle_customers_are_removed() -> None:
    harness = start_harness()
    harness.end_attempt(harness.send_request())
    harness.run_until(10000.0)
    assert len(harness.limiter.quotas.accounts) == 1
    harness.run_until(20000.0)
    assert not harness.limiter.quotas.accounts


def test_the_part_of_a_hard_ceiling_is_empty_after_a_start_and_is_never_exceeded() -> None:
    harness = start_harness(started_at_ms=5000.0)
    assert harness.final_answers[harness.send_request(plan_index=1, limiter_count=2)] == ["Reject"]
    admitted_at_ms: list[float] = []
    for _ in range(400):
        harness.run_until(harness.now_ms + 25.0)
        request_id = harness.send_request(plan_index=1, limiter_count=2)
        if harness.attempted_servers(request_id):
            admitted_at_ms.append(harness.now_ms)
            harness.end_attempt(request_id)
    for first, first_at_ms in enumerate(admitted_at_ms):
        for last in range(first, len(admitted_at_ms)):
            duration_s = (admitted_at_ms[last] - first_at_ms) / MS_PER_SECOND
            assert last - first + 1 <= 12.0 + 6.0 * duration_s + 1e-6
    assert len(admitted_at_ms) <= 6.0 * (harness.now_ms - 5000.0) / MS_PER_SECOND + 1e-6
