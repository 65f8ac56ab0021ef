"""Random answer metrics of limiters."""

from __future__ import annotations

import math
import random

from elderlock.rollout.canary_analysis import AnswerMetrics


def random_metrics(
    rng: random.Random, count: int, slower: float = 0.0, bad: float = 0.01, bias: float = 0.0
) -> AnswerMetrics:
    """Metrics of `count` answers: a fraction `bad` refused, log-normal latencies slower by the fraction `slower`."""
    refused = sum(rng.random() < bad for _ in range(count))
    logs = [math.log(20.0 * (1.0 + slower)) + bias + rng.gauss(0.0, 0.9) for _ in range(count - refused)]
    return AnswerMetrics(len(logs), refused, 0, sum(logs), sum(log * log for log in logs))
