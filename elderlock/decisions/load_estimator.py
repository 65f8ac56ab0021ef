"""How loaded the boxes are, by what comes back: the load level that steers the throttle, and the crowding."""

from __future__ import annotations

from collections import deque
from math import exp
from statistics import median

from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.throttle import GOAL_LOAD_LEVEL
from elderlock.peer_messages import UNKNOWN
from elderlock.state import NEVER_MS

MIN_COMPLETIONS_PER_OBJECTIVE = (
    6.0  # attempts an aim taken to come back at least: with fewer, one or two out say nothing
)
ENTRY_ATTEMPTS_PER_SERVER = 3.6  # attempts an aim per ready server over all limiters, where fewer were answered
MIN_ATTEMPTS_PER_SERVER = 1.2  # the same below which no cut goes: answers must come to see the load fall
SAMPLE_LIFETIME_MS = 2000.0  # ms that an answer counts as a signal of load
PADDING_SAMPLES, MAX_SAMPLES = 2, 127  # answers of which the level is the median


class LoadEstimator:
    """Invariant: `out` is the number of attempts that have no outcome yet. `ready` is set to how many servers
    take new work."""

    def __init__(self, core: DecisionContext) -> None:
        self.context = core
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)  # when answered, latency in aims
        self.latest_sample = (NEVER_MS, 0.0)  # of our own
        self.in_flight, self.ready_server_count = 0, 0
        self.completion_rate_per_s, self.completion_rate_at_ms = 0.0, core.now_ms
        part = (
            MS_PER_SECOND / core.latency_objective_ms / core.settings.limiter_count
        )  # from attempts an aim at a server to ours a second
        self.entry_rate_per_server, self.min_rate_per_server = (
            ENTRY_ATTEMPTS_PER_SERVER * part,
            MIN_ATTEMPTS_PER_SERVER * part,
        )

    def add_sample(self, stretch: float) -> None:
        core = self.context
        self.latest_sample = (core.now_ms, stretch)
        self.samples.append(self.latest_sample)
        self.completion_rate_per_s = (
            self.completion_rate_per_s * exp((self.completion_rate_at_ms - core.now_ms) / SAMPLE_LIFETIME_MS)
            + MS_PER_SECOND / SAMPLE_LIFETIME_MS
        )
        self.completion_rate_at_ms = core.now_ms

    def add_peer_sample(self, level: int) -> None:
        """A peer's latest latency."""
        if level != UNKNOWN:
            self.samples.append((self.context.now_ms, level / 64))

    def encoded_latest_sample(self) -> int:
        """Our latest latency, told with every message so that few samples each still make a level."""
        at, latest = self.latest_sample
        return min(254, int(latest * 64)) if self.context.now_ms - at < SAMPLE_LIFETIME_MS else UNKNOWN

    def load_level(self) -> float:
        """The median of fresh answers, ours and those that peers told, with a few calm ones added, so that
        few neither alarm nor latch."""
        while self.samples and self.context.now_ms - self.samples[0][0] > SAMPLE_LIFETIME_MS:
            self.samples.popleft()
        return median([level for _, level in self.samples] + [GOAL_LOAD_LEVEL / 2] * PADDING_SAMPLES)

    def queue_pressure(self) -> float:
        """Little's law: what is out over what comes back in an aim. It sees a queue before its answers do."""
        core = self.context
        seen = 1.0 - exp((core.started_at_ms - core.now_ms) / SAMPLE_LIFETIME_MS)
        back = (
            self.completion_rate_per_s
            * exp((self.completion_rate_at_ms - core.now_ms) / SAMPLE_LIFETIME_MS)
            / max(seen, 0.05)
        )
        least = self.entry_rate_per_server * self.ready_server_count
        return self.in_flight / max(
            max(back, least) * core.latency_objective_ms / MS_PER_SECOND, MIN_COMPLETIONS_PER_OBJECTIVE
        )
