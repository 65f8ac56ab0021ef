"""Random answer metrics of limiters, for tests of the canary analysis."""

from __future__ import annotations

import math
import random

from elderlock.rollout.canary_analysis import AnswerMetrics


def random_metrics(
    rng: random.Random, count: int, slowdown: float = 0.0, refused_fraction: float = 0.01, bias: float = 0.0
) -> AnswerMetrics:
    """Return metrics of `count` requests with log-normal latencies.

    A request is refused with probability `refused_fraction`. Latencies are longer by the fraction `slowdown`, and their
    logarithms by `bias`.
    """
    refused = sum(rng.random() < refused_fraction for _ in range(count))
    log_latencies = [math.log(20.0 * (1.0 + slowdown)) + bias + rng.gauss(0.0, 0.9) for _ in range(count - refused)]
    return AnswerMetrics(len(log_latencies), refused, 0, sum(log_latencies), sum(log * log for log in log_latencies))
