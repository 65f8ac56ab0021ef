"""Estimates the load of the servers: the load level for the throttle, and the queue pressure for admission."""

from __future__ import annotations

from collections import deque
from math import exp
from statistics import median
from typing import NamedTuple

from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.throttle import GOAL_LOAD_LEVEL
from elderlock.peer_messages import MAX_FRACTION, UNKNOWN
from elderlock.state import NEVER_MS

MIN_COMPLETIONS_PER_OBJECTIVE = 6.0  # attempts per latency objective; fewer in flight do not indicate a queue
ENTRY_ATTEMPTS_PER_SERVER = 3.6  # attempts per latency objective and ready server, over all limiters
MIN_ATTEMPTS_PER_SERVER = 1.2  # in the same unit; without some answers a falling load could not be observed
SAMPLE_LIFETIME_MS = 2000.0
PADDING_SAMPLES = 2  # samples of low load: one slow answer is no overload, and overload ends with few answers too
MAX_SAMPLES = 127
STEPS_PER_RATIO = 64  # latency ratios are encoded in 64ths
MIN_OBSERVED_FRACTION = 0.05  # avoids a division by 0


class LatencySample(NamedTuple):
    """The latency of an answer.

    Attributes:
        at_ms: The time of the answer.
        latency_ratio: The latency divided by the latency objective of the request's class.
    """

    at_ms: float
    latency_ratio: float


class LoadEstimator:
    """Estimates the load of all servers from the latencies that limiters measure and from the attempts in flight.

    Invariant: `in_flight` is the number of attempts without an outcome.

    Attributes:
        samples: The latest samples of this limiter and of other limiters, oldest first.
        latest_sample: The latest sample of this limiter.
        in_flight: The number of attempts without an outcome.
        ready_server_count: The number of servers that accept new attempts.
        completion_rate_per_s: The moving average of answers per second at `completion_rate_at_ms`.
        completion_rate_at_ms: The time at which the completion rate was last updated.
        entry_rate_per_server: The attempts per second and ready server with which this limiter's throttle starts.
        min_rate_per_server: The attempts per second and ready server below which the throttle does not cut.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Start without samples."""
        self._context = context
        self.samples: deque[LatencySample] = deque(maxlen=MAX_SAMPLES)
        self.latest_sample = LatencySample(NEVER_MS, 0.0)
        self.in_flight = 0
        self.ready_server_count = 0
        self.completion_rate_per_s = 0.0
        self.completion_rate_at_ms = context.now_ms
        # Converts attempts of all limiters per latency objective to attempts of this limiter per second.
        own_per_s = MS_PER_SECOND / context.latency_objective_ms / context.settings.limiter_count
        self.entry_rate_per_server = ENTRY_ATTEMPTS_PER_SERVER * own_per_s
        self.min_rate_per_server = MIN_ATTEMPTS_PER_SERVER * own_per_s

    def add_sample(self, latency_ratio: float) -> None:
        """Add the latency of an answer that this limiter got."""
        now_ms = self._context.now_ms
        self.latest_sample = LatencySample(now_ms, latency_ratio)
        self.samples.append(self.latest_sample)
        decay = exp((self.completion_rate_at_ms - now_ms) / SAMPLE_LIFETIME_MS)
        self.completion_rate_per_s = self.completion_rate_per_s * decay + MS_PER_SECOND / SAMPLE_LIFETIME_MS
        self.completion_rate_at_ms = now_ms

    def add_peer_sample(self, encoded_ratio: int) -> None:
        """Add the latest sample of another limiter, as `encoded_latest_sample` gives it."""
        if encoded_ratio != UNKNOWN:
            self.samples.append(LatencySample(self._context.now_ms, encoded_ratio / STEPS_PER_RATIO))

    def encoded_latest_sample(self) -> int:
        """Return the encoded latest sample for other limiters, or `UNKNOWN` if it is too old.

        Every message carries it, so that limiters with few answers can still estimate the load level.
        """
        sample = self.latest_sample
        if self._context.now_ms - sample.at_ms >= SAMPLE_LIFETIME_MS:
            return UNKNOWN
        return min(MAX_FRACTION, int(sample.latency_ratio * STEPS_PER_RATIO))

    def load_level(self) -> float:
        """Return the median latency ratio of the recent samples, to which `PADDING_SAMPLES` of low load are added."""
        while self.samples and self._context.now_ms - self.samples[0].at_ms > SAMPLE_LIFETIME_MS:
            self.samples.popleft()
        ratios = [sample.latency_ratio for sample in self.samples]
        return median(ratios + [GOAL_LOAD_LEVEL / 2] * PADDING_SAMPLES)

    def queue_pressure(self) -> float:
        """Return the attempts in flight divided by those that complete within a latency objective.

        By Little's law this is the duration of an attempt in latency objectives. It shows a queue before the answers
        to the queued requests arrive.
        """
        context = self._context
        observed_fraction = 1.0 - exp((context.started_at_ms - context.now_ms) / SAMPLE_LIFETIME_MS)
        decay = exp((self.completion_rate_at_ms - context.now_ms) / SAMPLE_LIFETIME_MS)
        completions_per_s = self.completion_rate_per_s * decay / max(observed_fraction, MIN_OBSERVED_FRACTION)
        expected_per_s = self.entry_rate_per_server * self.ready_server_count
        per_objective = max(completions_per_s, expected_per_s) * context.latency_objective_ms / MS_PER_SECOND
        return self.in_flight / max(per_objective, MIN_COMPLETIONS_PER_OBJECTIVE)
