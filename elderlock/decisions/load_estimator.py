"""How loaded the boxes are, by what comes back: the load level that steers the throttle, and the crowding."""

from __future__ import annotations

from collections import deque
from math import exp
from statistics import median

from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.throttle import GOAL_LOAD_LEVEL
from elderlock.peer_messages import UNKNOWN
from elderlock.state import NEVER_MS

LEAST_BACK = 6.0  # attempts an aim taken to come back at least: with fewer, one or two out say nothing
ENTRY_PER_SERVER = 3.6  # attempts an aim per ready server over all limiters, where fewer were answered
LEAST_PER_SERVER = 1.2  # the same below which no cut goes: answers must come to see the load fall
FRESH_FOR = 2000.0  # ms that an answer counts as a signal of load
CALM_ANSWERS, MOST_ANSWERS = 2, 127  # answers of which the level is the median


class LoadEstimator:
    """Invariant: `out` is the number of attempts that have no outcome yet. `ready` is set to how many servers
    take new work."""

    def __init__(self, core: DecisionContext) -> None:
        self.context = core
        self.levels: deque[tuple[float, float]] = deque(maxlen=MOST_ANSWERS)  # when answered, latency in aims
        self.latest = (NEVER_MS, 0.0)  # of our own
        self.in_flight, self.ready_server_count = 0, 0
        self.back, self.back_at = 0.0, core.now_ms
        part = (
            MS_PER_SECOND / core.latency_objective_ms / core.settings.limiter_count
        )  # from attempts an aim at a server to ours a second
        self.entry_rate, self.least_rate = ENTRY_PER_SERVER * part, LEAST_PER_SERVER * part

    def add_sample(self, stretch: float) -> None:
        core = self.context
        self.latest = (core.now_ms, stretch)
        self.levels.append(self.latest)
        self.back = self.back * exp((self.back_at - core.now_ms) / FRESH_FOR) + MS_PER_SECOND / FRESH_FOR
        self.back_at = core.now_ms

    def add_peer_sample(self, level: int) -> None:
        """A peer's latest latency."""
        if level != UNKNOWN:
            self.levels.append((self.context.now_ms, level / 64))

    def latest_byte(self) -> int:
        """Our latest latency, told with every message so that few samples each still make a level."""
        at, latest = self.latest
        return min(254, int(latest * 64)) if self.context.now_ms - at < FRESH_FOR else UNKNOWN

    def load_level(self) -> float:
        """The median of fresh answers, ours and those that peers told, with a few calm ones added, so that
        few neither alarm nor latch."""
        while self.levels and self.context.now_ms - self.levels[0][0] > FRESH_FOR:
            self.levels.popleft()
        return median([level for _, level in self.levels] + [GOAL_LOAD_LEVEL / 2] * CALM_ANSWERS)

    def queue_pressure(self) -> float:
        """Little's law: what is out over what comes back in an aim. It sees a queue before its answers do."""
        core = self.context
        seen = 1.0 - exp((core.started_at_ms - core.now_ms) / FRESH_FOR)
        back = self.back * exp((self.back_at - core.now_ms) / FRESH_FOR) / max(seen, 0.05)
        least = self.entry_rate * self.ready_server_count
        return self.in_flight / max(max(back, least) * core.latency_objective_ms / MS_PER_SECOND, LEAST_BACK)
