"""How loaded the boxes are, by what comes back: the load level that steers the throttle, and the crowding."""

from __future__ import annotations

from collections import deque
from math import exp
from statistics import median

from elderlock.decisions.core import SECOND, Core
from elderlock.decisions.throttle import GOAL_LOAD_LEVEL
from elderlock.peerwords import UNKNOWN
from elderlock.state import NEVER_MS

LEAST_BACK = 6.0  # attempts an aim taken to come back at least: with fewer, one or two out say nothing
ENTRY_PER_SERVER = 3.6  # attempts an aim per ready server over all limiters, where fewer were answered
LEAST_PER_SERVER = 1.2  # the same below which no cut goes: answers must come to see the load fall
FRESH_FOR = 2000.0  # ms that an answer counts as a signal of load
CALM_ANSWERS, MOST_ANSWERS = 2, 127  # answers of which the level is the median


class Load:
    """Invariant: `out` is the number of attempts that have no outcome yet. `ready` is set to how many servers
    take new work."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.levels: deque[tuple[float, float]] = deque(maxlen=MOST_ANSWERS)  # when answered, latency in aims
        self.latest = (NEVER_MS, 0.0)  # of our own
        self.out, self.ready = 0, 0
        self.back, self.back_at = 0.0, core.now
        part = SECOND / core.aim / core.settings.limiter_count  # from attempts an aim at a server to ours a second
        self.entry_rate, self.least_rate = ENTRY_PER_SERVER * part, LEAST_PER_SERVER * part

    def sample(self, stretch: float) -> None:
        core = self.core
        self.latest = (core.now, stretch)
        self.levels.append(self.latest)
        self.back = self.back * exp((self.back_at - core.now) / FRESH_FOR) + SECOND / FRESH_FOR
        self.back_at = core.now

    def told(self, level: int) -> None:
        """A peer's latest latency."""
        if level != UNKNOWN:
            self.levels.append((self.core.now, level / 64))

    def latest_byte(self) -> int:
        """Our latest latency, told with every message so that few samples each still make a level."""
        at, latest = self.latest
        return min(254, int(latest * 64)) if self.core.now - at < FRESH_FOR else UNKNOWN

    def load_level(self) -> float:
        """The median of fresh answers, ours and those that peers told, with a few calm ones added, so that
        few neither alarm nor latch."""
        while self.levels and self.core.now - self.levels[0][0] > FRESH_FOR:
            self.levels.popleft()
        return median([level for _, level in self.levels] + [GOAL_LOAD_LEVEL / 2] * CALM_ANSWERS)

    def crowding(self) -> float:
        """Little's law: what is out over what comes back in an aim. It sees a queue before its answers do."""
        core = self.core
        seen = 1.0 - exp((core.started - core.now) / FRESH_FOR)
        back = self.back * exp((self.back_at - core.now) / FRESH_FOR) / max(seen, 0.05)
        least = self.entry_rate * self.ready
        return self.out / max(max(back, least) * core.aim / SECOND, LEAST_BACK)
