"""Compares the bucket and the control adaptor with values that were computed by hand."""

import random

import pytest

from elderlock.decisions import throttle as throttle_module
from elderlock.decisions.throttle import Throttle
from elderlock.state import ThrottlePhase


def overloaded_throttle(rate_per_s: float = 20.0) -> Throttle:
    throttle = Throttle(random.Random(1), 0.0)
    throttle.max_leak_rate_per_s = 100.0
    throttle.update(1.0, 20.0, rate_per_s, 0.0)
    return throttle


def test_throttling_starts_above_the_goal_at_the_entry_rate() -> None:
    throttle = Throttle(random.Random(1), 0.0)
    throttle.update(throttle_module.GOAL_LOAD_LEVEL - 0.01, 20.0, 20.0, 0.0)
    assert throttle.phase is ThrottlePhase.NOT_OVERLOADED
    throttle.update(throttle_module.GOAL_LOAD_LEVEL + 0.01, 20.0, 20.0, 50.0)
    assert (throttle.phase, throttle.leak_rate_per_s) == (ThrottlePhase.OVERLOADED, 20.0)


def test_the_bucket_drains_at_the_leak_rate_and_gains_one_per_attempt() -> None:
    throttle = overloaded_throttle()
    throttle.fill, throttle.fill_at_ms = 5.0, 0.0
    throttle.leak(100.0)
    assert throttle.fill == pytest.approx(3.0)  # 20 a second for 0.1 s
    assert throttle.admits(True, 1.0, 100.0)
    assert throttle.fill == pytest.approx(4.0)
    throttle.leak(10000.0)
    assert throttle.fill == 0.0


def test_thresholds_rise_from_over_quota_to_the_highest_value() -> None:
    throttle = overloaded_throttle()
    depth = 20.0 * throttle_module.BUCKET_DEPTH_MS / 1000.0
    assert throttle.threshold_vector(True, 1.0) == pytest.approx(1.0 + depth)
    assert throttle.threshold_vector(True, 0.0) == pytest.approx(
        1.0 + throttle_module.LOWEST_VALUE_THRESHOLD_FRACTION * depth
    )
    assert throttle.threshold_vector(False, 1.0) == pytest.approx(
        1.0 + throttle_module.OVER_QUOTA_THRESHOLD_FRACTION * depth
    )
    throttle.fill, throttle.fill_at_ms = throttle_module.LOWEST_VALUE_THRESHOLD_FRACTION * depth, 0.0
    assert not throttle.admits(False, 1.0, 0.0)
    assert not throttle.admits(True, 0.0, 0.0)
    assert throttle.admits(True, 1.0, 0.0)


def test_a_new_leak_rate_moves_the_fill_by_one_attempt_at_most() -> None:
    throttle = overloaded_throttle()
    for step in range(200):
        throttle.fill, before = 3.0, 3.0
        throttle.fill_at_ms = float(step)
        throttle.set_leak_rate(20.0, float(step))
        assert abs(throttle.fill - before) <= 1.0
        assert 0.0 <= throttle.fill <= 2.0 * throttle.threshold_vector(True, 1.0)


def test_each_control_period_scales_the_leak_rate_within_bounds() -> None:
    throttle = overloaded_throttle(20.0)
    throttle.update(2 * throttle_module.GOAL_LOAD_LEVEL, 20.0, 20.0, 500.0)
    assert throttle.leak_rate_per_s == 20.0
    throttle.update(2 * throttle_module.GOAL_LOAD_LEVEL, 20.0, 20.0, 1000.0)
    assert throttle.leak_rate_per_s == pytest.approx(20.0 * throttle_module.MIN_RATE_FACTOR)


def test_cuts_stop_at_the_minimum_leak_rate() -> None:
    throttle = overloaded_throttle(20.0)
    throttle.min_leak_rate_per_s = 3.0
    for at in range(1, 60):
        throttle.update(5.0, 20.0, 20.0, at * 1000.0)
    assert throttle.leak_rate_per_s == 3.0


def pending_throttle() -> Throttle:
    throttle = overloaded_throttle(20.0)
    throttle.update(0.1, 20.0, 20.0, 1000.0)
    assert throttle.phase is ThrottlePhase.TERMINATION_PENDING
    return throttle


def test_while_termination_is_pending_the_rate_rises_to_the_maximum_and_reverts_if_admissions_fall() -> None:
    throttle = pending_throttle()
    throttle.update(0.1, 20.0, 20.0, 2000.0)
    assert throttle.leak_rate_per_s == pytest.approx(20.0 * throttle_module.MAX_RATE_FACTOR)
    throttle.update(0.1, 10.0, 20.0, 3000.0)
    assert throttle.leak_rate_per_s == pytest.approx(20.0)
    capped = pending_throttle()
    capped.max_leak_rate_per_s = 21.0
    capped.update(0.1, 20.0, 20.0, 2000.0)
    assert capped.leak_rate_per_s == 21.0


def test_a_load_level_above_the_goal_cancels_the_pending_termination() -> None:
    throttle = pending_throttle()
    throttle.update(1.0, 20.0, 20.0, 1500.0)
    assert throttle.phase is ThrottlePhase.OVERLOADED


def returning_throttle() -> tuple[Throttle, float]:
    throttle, at = pending_throttle(), 1000.0
    while throttle.phase is ThrottlePhase.TERMINATION_PENDING:
        at += 1000.0
        throttle.update(0.1, at, 20.0, at)
    assert throttle.phase is ThrottlePhase.RETURNING_TO_NOT_OVERLOADED
    assert at - 1000.0 >= throttle_module.TERMINATION_PENDING_PERIOD_MS
    return throttle, at


def test_returning_raises_the_rate_by_the_growth_factor_and_ends_at_the_maximum() -> None:
    throttle, at = returning_throttle()
    initial_rate_per_s = throttle.leak_rate_per_s
    throttle.update(0.1, 99999.0, 20.0, at + 1000.0)
    assert throttle.leak_rate_per_s == pytest.approx(
        initial_rate_per_s * (1 + throttle_module.LEAK_RATE_GROWTH_PERCENT / 100)
    )
    for step in range(2, 40):
        throttle.update(0.1, 99999.0 + step, 20.0, at + step * 1000.0)
    assert throttle.phase is ThrottlePhase.NOT_OVERLOADED
    assert throttle.admits(True, 0.0, at + 40000.0)


def test_overload_while_returning_starts_again_at_the_entry_rate() -> None:
    throttle, at = returning_throttle()
    entry_rate_per_s = throttle.leak_rate_per_s
    throttle.update(0.1, 99999.0, 20.0, at + 1000.0)
    assert throttle.leak_rate_per_s > entry_rate_per_s
    throttle.update(1.0, 99999.0, 77.0, at + 1100.0)
    assert (throttle.phase, throttle.leak_rate_per_s) == (ThrottlePhase.OVERLOADED, entry_rate_per_s)
