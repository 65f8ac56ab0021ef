"""Canary analysis of random metrics."""

from __future__ import annotations

import random

from canary_fixtures import random_metrics
from plan_fixtures import NAMES

from elderlock.rollout.canary_analysis import AnswerMetrics, ComparisonWindow, analyze_canary


def random_windows(
    rng: random.Random, names: list[str], count: int, slowdown: float = 0.0, refused_fraction: float = 0.01
) -> list[ComparisonWindow]:
    """Return a window of each limiter, with random differences of mean log latency and a baseline of twice as many answers."""
    windows = []
    for name in names:
        bias = rng.gauss(0.0, 0.05)
        trial = random_metrics(rng, count, slowdown, refused_fraction, bias)
        windows.append(ComparisonWindow(name, trial, trial, random_metrics(rng, 2 * count, bias=bias)))
    return windows


def test_the_verdict_distinguishes_a_slow_release_from_noise() -> None:
    """Of 100 good releases none is judged bad at an early test; of 100 slow ones at least 90 are at the final one."""
    false_alarms, detected = 0, 0
    for seed in range(100):
        rng = random.Random(seed)
        control = random_windows(rng, NAMES[1:], 900)
        false_alarms += analyze_canary(random_windows(rng, ["n0"], 900), control, is_due=False).kind == "bad"
        released = random_windows(rng, ["n0"], 900, slowdown=0.2)
        detected += analyze_canary(released, control, is_due=True, is_final=True).kind == "bad"
    assert false_alarms == 0 and detected >= 90


def test_a_load_spike_on_all_limiters_is_not_bad_and_refusals_are_bad_at_once() -> None:
    rng = random.Random(3)
    control = random_windows(rng, NAMES[1:], 900, slowdown=0.8, refused_fraction=0.2)
    released = random_windows(rng, ["n0"], 900, slowdown=0.8, refused_fraction=0.2)
    assert analyze_canary(released, control, is_due=True).kind != "bad"
    released = random_windows(rng, ["n0"], 12, refused_fraction=1.0)
    verdict = analyze_canary(released, random_windows(rng, NAMES[1:], 12), is_due=False)
    assert verdict.kind == "bad" and "100% refused or failed" in verdict.text


def test_no_answers_are_bad_only_where_the_control_group_has_traffic() -> None:
    rng = random.Random(4)
    no_answers = [ComparisonWindow("n0", AnswerMetrics(), AnswerMetrics())]
    assert (
        analyze_canary(no_answers, random_windows(rng, NAMES[1:], 900), is_due=True).text
        == "n0 answered no request, the control group 900 each in the median"
    )
    assert (
        analyze_canary(no_answers, [ComparisonWindow("n1", AnswerMetrics(), AnswerMetrics())], is_due=True).kind
        == "unclear"
    )
