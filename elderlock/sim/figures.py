"""What a run comes to: counts by outcome, times to answer, fairness. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from elderlock.sim.invariant_checkers import Violation

LONGEST_US, DIGITS = 3_600_000_000, 3  # of a time to answer
KEPT_SECONDS = 600


def _share(pair: Sequence[int]) -> float:
    return pair[1] / pair[0]


def jain(shares: Sequence[float]) -> float:
    """Jain's index: 1 where all are equal, 1/n where one has all (Jain, Chiu and Hawe, 1984). 1 of nothing."""
    total, squares = sum(shares), sum(share * share for share in shares)
    return total * total / (len(shares) * squares) if squares > 0 else 1.0


class Figures(msgspec.Struct):
    """Of the requests whose intended start lies after the warm-up. Times are ms; shares of what was offered."""

    offered: int = 0
    outcomes: dict[str, int] = {}
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    served_in_time: float = 0.0
    sends_per_request: float = 0.0
    questions_per_request: float = 0.0
    over_quota_share: float = 0.0
    fairness: float = 1.0
    worst_second: float = 0.0  # the least share served in time of any whole second
    refused_with_room: float = 0.0  # though the account's true bucket held enough
    more: dict[str, float] = {}

    def value(self, name: str) -> float:
        """A figure by its name, `share.OUTCOME` and `more.NAME` among them. Raises `KeyError`."""
        if name.startswith("share."):
            return self.outcomes.get(name[6:], 0) / max(1, self.offered)
        if name.startswith("more."):
            return self.more[name[5:]]
        if name not in FIGURE_NAMES:
            raise KeyError(name)
        return float(getattr(self, name))


FIGURE_NAMES = (
    "offered",
    "p50_ms",
    "p99_ms",
    "served_in_time",
    "sends_per_request",
    "questions_per_request",
    "over_quota_share",
    "fairness",
    "worst_second",
    "refused_with_room",
)


class Result(msgspec.Struct):
    """A run: what it was, what came of it, what was broken. `ended`: finished, deadlock, livelock, or failed where a
    model or a judge itself raised."""

    name: str
    floor: str
    seed: int
    figures: Figures
    broken: list[tuple[str, float, str]] = []
    broken_count: int = 0
    digest: str = ""
    events: int = 0
    ended: str = "finished"
    why: str = ""
    features: list[str] = []
    wall_s: float = 0.0
    sim_s: float = 0.0

    def rules(self) -> list[str]:
        """The names of what was broken."""
        return sorted({rule for rule, _, _ in self.broken} | ({self.ended} if self.ended != "finished" else set()))

    def good(self) -> bool:
        return not self.broken_count and self.ended == "finished"

    def text(self) -> str:
        f = self.figures
        share = ", ".join(f"{n} {how}" for how, n in sorted(f.outcomes.items()))
        lines = [
            f"{self.name}: seed {self.seed}, floor {self.floor}, {self.sim_s:g} s simulated in {self.wall_s:.1f} s",
            f"  {f.offered} requests: {share or 'none'}",
            f"  served in time {f.served_in_time:.3f}, worst second {f.worst_second:.3f}, p50 {f.p50_ms:.1f} ms, "
            f"p99 {f.p99_ms:.1f} ms, fairness {f.fairness:.3f}",
            f"  {f.sends_per_request:.2f} sends and {f.questions_per_request:.2f} questions a request",
            f"  {self.events} events, digest {self.digest[:16]}",
        ]
        if self.ended != "finished":
            lines.append(f"  {self.ended}: {self.why}")
        lines += [f"  BROKEN {Violation(*each).line()}" for each in self.broken[:20]]
        if self.broken_count > len(self.broken[:20]):
            lines.append(f"  and {self.broken_count - len(self.broken[:20])} more")
        if self.good():
            lines.append("  nothing broken")
        return "\n".join(lines)


class FigureCollector:
    """Gathers a run's figures. Times are ms of the run."""

    def __init__(self, warm: float, aim: float) -> None:
        self._warm, self._aim = warm, aim
        self.outcomes: Counter[str] = Counter()
        self._took = HdrHistogram(1, LONGEST_US, DIGITS)
        self.offered = self.in_time = self.sends = self.questions = 0
        self.spent = self.over = 0.0
        self.refused_with_room = 0
        self._buckets: dict[str, tuple[float, float]] = {}
        self._by_account: dict[str, list[int]] = {}
        self._seconds: dict[int, list[int]] = {}
        self._worst = 1.0  # of the seconds that are over
        self.more: dict[str, float] = {}

    def is_counted(self, began: float) -> bool:
        return began >= self._warm

    def record_send(self, at: float, account: str, units: float, rate: float, burst: float) -> None:
        """Work for an account with a quota of so many units a second (and a burst) went to a box. One true bucket over
        all limiters says what of it is over."""
        level = self._level(at, account, rate, burst)
        if self.is_counted(at):
            self.sends += 1
            self.spent += units
            self.over += max(0.0, units - level)
        self._buckets[account] = max(0.0, level - units), at

    def record_refusal(self, at: float, account: str, units: float, rate: float, burst: float) -> None:
        """A limiter refused a request; `refused_with_room` counts those for which the true bucket held enough."""
        if self.is_counted(at) and self._level(at, account, rate, burst) >= units:
            self.refused_with_room += 1

    def _level(self, at: float, account: str, rate: float, burst: float) -> float:
        level, since = self._buckets.get(account, (burst, at))
        return min(burst, level + rate * (at - since) / 1000.0)

    def record_end(self, began: float, outcome: str, took: float, account: str) -> None:
        """`began`: the intended start."""
        if not self.is_counted(began):
            return
        good = outcome == "served" and took <= self._aim
        self.offered += 1
        self.outcomes[outcome] += 1
        self.in_time += good
        if outcome == "served":
            self._took.record_value(min(LONGEST_US, max(1, round(took * 1000.0))))
        second = int(began // 1000.0)
        for pair in (self._by_account.setdefault(account, [0, 0]), self._seconds.setdefault(second, [0, 0])):
            pair[0] += 1
            pair[1] += good
        if len(self._seconds) > 2 * KEPT_SECONDS:  # the early ones hear of no end any more
            for early in sorted(self._seconds)[:KEPT_SECONDS]:
                self._worst = min(self._worst, _share(self._seconds.pop(early)))

    def _quantile(self, percent: float) -> float:
        return float(self._took.get_value_at_percentile(percent)) / 1000.0 if self._took.get_total_count() else 0.0

    def figures(self) -> Figures:
        shares = [good / count for count, good in self._by_account.values() if count >= 5]
        worst = min((_share(self._seconds[second]) for second in sorted(self._seconds)[:-1]), default=1.0)
        offered = max(1, self.offered)
        return Figures(
            self.offered,
            dict(sorted(self.outcomes.items())),
            self._quantile(50.0),
            self._quantile(99.0),
            self.in_time / offered,
            self.sends / offered,
            self.questions / offered,
            self.over / self.spent if self.spent > 0 else 0.0,
            jain(shares),
            min(worst, self._worst) if self.offered else 0.0,
            self.refused_with_room / offered,
            dict(self.more),
        )
