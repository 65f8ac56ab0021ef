"""Verdicts on released limiters, from random metrics."""

from __future__ import annotations

import random

from canary_fixtures import random_metrics
from plan_fixtures import NAMES

from elderlock.rollout.canary_analysis import AnswerMetrics, ComparisonWindow, analyze_canary


def random_windows(
    rng: random.Random, names: list[str], count: int, slower: float = 0.0, bad: float = 0.01
) -> list[ComparisonWindow]:
    """A window of each limiter, whose mean log latencies differ by chance; the baseline has twice as many answers."""
    windows = []
    for name in names:
        bias = rng.gauss(0.0, 0.05)
        after = random_metrics(rng, count, slower, bad, bias)
        windows.append(ComparisonWindow(name, after, after, random_metrics(rng, 2 * count, bias=bias)))
    return windows


def test_the_verdict_tells_a_slow_release_from_noise() -> None:
    """Of 100 good releases none is bad at an early look, of 100 slow ones nearly all are bad at the final one."""
    bad_of_good, bad_of_slow = 0, 0
    for seed in range(100):
        rng = random.Random(seed)
        old = random_windows(rng, NAMES[1:], 900)
        bad_of_good += analyze_canary(random_windows(rng, ["n0"], 900), old, last=False).kind == "bad"
        bad_of_slow += (
            analyze_canary(random_windows(rng, ["n0"], 900, slower=0.2), old, last=True, final=True).kind == "bad"
        )
    assert bad_of_good == 0 and bad_of_slow >= 90


def test_a_load_spike_on_all_is_not_bad_and_refusals_are_bad_at_once() -> None:
    rng = random.Random(3)
    spike = random_windows(rng, NAMES[1:], 900, slower=0.8, bad=0.2)
    assert analyze_canary(random_windows(rng, ["n0"], 900, slower=0.8, bad=0.2), spike, last=True).kind != "bad"
    verdict = analyze_canary(random_windows(rng, ["n0"], 12, bad=1.0), random_windows(rng, NAMES[1:], 12), last=False)
    assert verdict.kind == "bad" and "100% refused or failed" in verdict.text


def test_no_answers_are_bad_only_where_the_control_group_has_traffic() -> None:
    rng = random.Random(4)
    nothing = [ComparisonWindow("n0", AnswerMetrics(), AnswerMetrics())]
    assert (
        analyze_canary(nothing, random_windows(rng, NAMES[1:], 900), last=True).text
        == "n0 answered nothing, the others 900 each"
    )
    assert (
        analyze_canary(nothing, [ComparisonWindow("n1", AnswerMetrics(), AnswerMetrics())], last=True).kind == "unclear"
    )
