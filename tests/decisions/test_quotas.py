"""The accounts of customers: bucket, estimate of the shared quota, part of the hard ceiling."""

import pytest
from helpers import account_of, limiter_settings, start_harness

from elderlock.decisions.context import MS_PER_SECOND


def test_the_fill_rate_is_the_own_rate_plus_an_even_part_of_what_is_left() -> None:
    harness = start_harness(limiter_settings(meter_period_ms=2000.0))
    harness.send_request(limiter_count=2)
    account = account_of(harness)
    account.shared_units = 0.0
    account.own_rate_per_s, account.others_rate_per_s = 3.0, 5.0
    assert harness.limiter.quotas.fill_rate_per_s(account, 1.0) == pytest.approx(3.0 + (10.0 - 8.0) / 2)
    account.own_rate_per_s, account.others_rate_per_s = 3.0, 15.0
    assert harness.limiter.quotas.fill_rate_per_s(account, 1.0) == 0.0  # never below nought
    account.own_rate_per_s, account.others_rate_per_s = 12.0, 0.0
    assert harness.limiter.quotas.fill_rate_per_s(account, 1.0) == 10.0  # never above the quota
    assert harness.limiter.quotas.fill_rate_per_s(account, 0.0) == 5.0  # the even split without a reading
    account.own_rate_per_s, account.others_rate_per_s = 3.0, 5.0
    assert harness.limiter.quotas.fill_rate_per_s(account, 0.5) == pytest.approx(4.5)  # and smoothly between


def test_a_customer_over_its_quota_is_rejected_at_once() -> None:
    harness = start_harness()
    served = [harness.is_served() for _ in range(25)]
    assert served == [True] * 20 + [False] * 5
    harness.run_until(1000.0)
    assert harness.attempted_servers(harness.send_request(limiter_count=1))


def test_a_meter_reading_sets_the_others_rate_and_loses_confidence_with_age() -> None:
    harness = start_harness(limiter_settings(meter_period_ms=2000.0))
    name = harness.send_request(limiter_count=2)
    harness.end_attempt(name, meter=101)
    account = account_of(harness)
    assert account.others_rate_per_s == pytest.approx(10.0, abs=0.5)
    assert harness.limiter.quotas.reading_confidence(account) == 1.0
    account.averaging_ms = 4000.0  # requests are frequent: the reading lasts by the meter's period
    harness.run_until(6000.0)
    assert harness.limiter.quotas.reading_confidence(account) == pytest.approx(0.5, abs=0.02)
    account.averaging_ms = 16000.0  # and by count where they are few
    assert harness.limiter.quotas.reading_confidence(account) == pytest.approx(1.0)
    harness.run_until(17000.0)
    assert harness.limiter.quotas.reading_confidence(account) == 0.0


def test_the_bucket_capacity_shrinks_with_what_others_spend_unseen() -> None:
    busy, calm = (
        start_harness(limiter_settings(meter_period_ms=2000.0)),
        start_harness(limiter_settings(meter_period_ms=2000.0)),
    )
    depths = []
    for harness, meter in ((busy, 101), (calm, 21)):
        harness.end_attempt(harness.send_request(limiter_count=2), meter=meter)
        account = account_of(harness)
        account.shared_units = 8.0
        depths.append(harness.limiter.quotas.bucket_capacity_units(account, 1.0))
    assert depths[0] == pytest.approx(4.0, abs=0.3)
    assert depths[1] > 6.0


def test_without_a_reading_the_bucket_holds_an_even_part_of_the_burst() -> None:
    harness = start_harness(limiter_settings(meter_period_ms=2000.0))
    assert [harness.is_served(limiter_count=2) for _ in range(12)] == [True] * 10 + [False] * 2


def test_a_part_smaller_than_a_request_goes_into_debt_by_one_request() -> None:
    harness = start_harness(limiter_settings(limiter_count=400))
    assert harness.is_served(limiter_count=400)  # the part of the burst is a twentieth of a request
    assert not harness.is_served(limiter_count=400)
    harness.run_until(37000.0)  # the part of the rate is 1 request in 40 s
    assert not harness.is_served(limiter_count=400)
    harness.run_until(42000.0)
    assert harness.is_served(limiter_count=400)


def test_an_absent_meter_is_no_reading() -> None:
    harness = start_harness(limiter_settings(meter_period_ms=2000.0))
    harness.end_attempt(harness.send_request(limiter_count=2), meter=0)
    assert harness.limiter.quotas.reading_confidence(account_of(harness)) == 0.0


def test_settled_units_replace_the_estimated_cost() -> None:
    harness = start_harness(limiter_settings(is_cost_known_at_end=True))
    name = harness.send_request(units=2.0)
    before = account_of(harness).shared_units
    harness.end_attempt(name, settled_units=5.0)
    assert account_of(harness).shared_units == pytest.approx(before - 3.0)


def test_accounts_of_idle_customers_are_forgotten() -> None:
    harness = start_harness()
    harness.end_attempt(harness.send_request())
    harness.run_until(10000.0)
    assert len(harness.limiter.quotas.accounts) == 1
    harness.run_until(20000.0)
    assert not harness.limiter.quotas.accounts


def test_the_part_of_a_hard_ceiling_is_never_exceeded_and_is_empty_after_a_start() -> None:
    harness = start_harness(started_at_ms=5000.0)
    assert harness.final_answers[harness.send_request(plan_index=1, limiter_count=2)] == ["Reject"]
    taken: list[float] = []
    for _ in range(400):
        harness.run_until(harness.now_ms + 25.0)
        name = harness.send_request(plan_index=1, limiter_count=2)
        if harness.attempted_servers(name):
            taken.append(harness.now_ms)
            harness.end_attempt(name)
    for i, start in enumerate(taken):
        for j in range(i, len(taken)):
            assert j - i + 1 <= 12.0 + 6.0 * (taken[j] - start) / MS_PER_SECOND + 1e-6
    assert len(taken) <= 6.0 * (harness.now_ms - 5000.0) / MS_PER_SECOND + 1e-6
