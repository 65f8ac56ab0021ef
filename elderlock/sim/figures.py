"""The figures of a run: counts by outcome, response times and fairness. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from elderlock.sim.invariant_checkers import Violation

LONGEST_RESPONSE_US, SIGNIFICANT_DIGITS = 3_600_000_000, 3  # of the response time histogram
MAX_TRACKED_SECONDS = 600


def _share(counts: Sequence[int]) -> float:
    """Returns the share of the second count, a part, in the first, the whole."""
    return counts[1] / counts[0]


def jain(shares: Sequence[float]) -> float:
    """Returns Jain's fairness index (Jain, Chiu and Hawe, 1984).

    It is 1 if all shares are equal or there are none, and 1/n if one of n shares is everything.
    """
    total, squares = sum(shares), sum(share * share for share in shares)
    return total * total / (len(shares) * squares) if squares > 0 else 1.0


class Figures(msgspec.Struct):
    """The figures of the requests whose intended start lies after the warm-up.

    Attributes:
        offered: The number of requests.
        outcomes: The number of requests by outcome.
        p50_ms: The median response time of served requests.
        p99_ms: The 99th percentile of their response times.
        served_in_time: The share of requests that were served within the latency objective.
        sends_per_request: Requests sent to servers per request, retries included.
        questions_per_request: Datagrams between limiters per request.
        over_quota_share: The share of the sent units that exceeded the quotas.
        fairness: Jain's index of the accounts' shares of requests served in time.
        worst_second: The least share served in time of any whole second.
        refused_with_room: The share of requests that were refused although the account's quota had enough units left.
        more: Further figures, by name.
    """

    offered: int = 0
    outcomes: dict[str, int] = {}
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    served_in_time: float = 0.0
    sends_per_request: float = 0.0
    questions_per_request: float = 0.0
    over_quota_share: float = 0.0
    fairness: float = 1.0
    worst_second: float = 0.0
    refused_with_room: float = 0.0
    more: dict[str, float] = {}

    def value(self, name: str) -> float:
        """Returns a figure by its name, which may also be `share.OUTCOME` or `more.NAME`.

        Raises:
            KeyError: There is no such figure.
        """
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
    """The result of a run.

    Attributes:
        name: The name of the scenario.
        floor: The level that it ran at.
        seed: The seed.
        figures: The figures.
        broken: The remembered violations: the checker's name, the time in ms, and the text.
        broken_count: The number of all violations.
        digest: The digest of the trace.
        events: The number of events in the trace.
        ended: `finished`, `deadlock`, `livelock`, or `failed` if a model or a checker raised an exception.
        why: Why the run did not finish.
        features: The features of the run that a search looks for.
        wall_s: How long the run took.
        sim_s: How much time was simulated.
    """

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
        """Returns the names of the violated invariants, and `ended` if the run did not finish."""
        return sorted({rule for rule, _, _ in self.broken} | ({self.ended} if self.ended != "finished" else set()))

    def good(self) -> bool:
        """Returns whether the run finished without a violation."""
        return not self.broken_count and self.ended == "finished"

    def text(self) -> str:
        """Returns a report of several lines."""
        f = self.figures
        outcomes = ", ".join(f"{count} {outcome}" for outcome, count in sorted(f.outcomes.items()))
        lines = [
            f"{self.name}: seed {self.seed}, level {self.floor}, {self.sim_s:g} s simulated in {self.wall_s:.1f} s",
            f"  {f.offered} requests: {outcomes or 'none'}",
            f"  served in time {f.served_in_time:.3f}, worst second {f.worst_second:.3f}, p50 {f.p50_ms:.1f} ms, "
            f"p99 {f.p99_ms:.1f} ms, fairness {f.fairness:.3f}",
            f"  {f.sends_per_request:.2f} sends and {f.questions_per_request:.2f} datagrams per request",
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
    """Collects the figures of a run. Times are ms of the run.

    Attributes:
        outcomes: The number of requests by outcome.
        offered: The number of requests.
        in_time: The number of requests served within the latency objective.
        sends: The number of requests sent to servers.
        questions: The number of datagrams between limiters.
        spent: The units sent to servers.
        over: The units among them that exceeded the quotas.
        refused_with_room: The number of refusals although the quota had enough units left.
        more: Further figures, by name.
    """

    def __init__(self, warm: float, aim: float) -> None:
        """Creates the collector.

        Args:
            warm: The end of the warm-up.
            aim: The latency objective.
        """
        self._warm, self._aim = warm, aim
        self.outcomes: Counter[str] = Counter()
        self._response_times_us = HdrHistogram(1, LONGEST_RESPONSE_US, SIGNIFICANT_DIGITS)
        self.offered = self.in_time = self.sends = self.questions = 0
        self.spent = self.over = 0.0
        self.refused_with_room = 0
        self._buckets: dict[str, tuple[float, float]] = {}
        self._by_account: dict[str, list[int]] = {}
        self._seconds: dict[int, list[int]] = {}  # requests, and those served in time, by second
        self._worst_dropped_second = 1.0
        self.more: dict[str, float] = {}

    def is_counted(self, began: float) -> bool:
        """Returns whether a request of that intended start is counted: after the warm-up."""
        return began >= self._warm

    def record_send(self, at: float, account: str, units: float, rate: float, burst: float) -> None:
        """Records that a request was sent to a server.

        A single bucket over all limiters, which real limiters do not have, determines the units over the quota.

        Args:
            at: The time.
            account: The account.
            units: The units of the request.
            rate: The account's quota in units per second.
            burst: The quota's burst in units.
        """
        level = self._level(at, account, rate, burst)
        if self.is_counted(at):
            self.sends += 1
            self.spent += units
            self.over += max(0.0, units - level)
        self._buckets[account] = max(0.0, level - units), at

    def record_refusal(self, at: float, account: str, units: float, rate: float, burst: float) -> None:
        """Records that a limiter refused a request; the arguments are those of `record_send`."""
        if self.is_counted(at) and self._level(at, account, rate, burst) >= units:
            self.refused_with_room += 1

    def _level(self, at: float, account: str, rate: float, burst: float) -> float:
        level, since = self._buckets.get(account, (burst, at))
        return min(burst, level + rate * (at - since) / 1000.0)

    def record_end(self, began: float, outcome: str, took: float, account: str) -> None:
        """Records the end of a request.

        Args:
            began: Its intended start.
            outcome: Its outcome.
            took: The time from its intended start to its end.
            account: The account.
        """
        if not self.is_counted(began):
            return
        in_time = outcome == "served" and took <= self._aim
        self.offered += 1
        self.outcomes[outcome] += 1
        self.in_time += in_time
        if outcome == "served":
            self._response_times_us.record_value(min(LONGEST_RESPONSE_US, max(1, round(took * 1000.0))))
        second = int(began // 1000.0)
        for counts in (self._by_account.setdefault(account, [0, 0]), self._seconds.setdefault(second, [0, 0])):
            counts[0] += 1
            counts[1] += in_time
        if len(self._seconds) > 2 * MAX_TRACKED_SECONDS:  # no request of the earliest seconds is still open
            for early in sorted(self._seconds)[:MAX_TRACKED_SECONDS]:
                self._worst_dropped_second = min(self._worst_dropped_second, _share(self._seconds.pop(early)))

    def _quantile(self, percent: float) -> float:
        times = self._response_times_us
        return float(times.get_value_at_percentile(percent)) / 1000.0 if times.get_total_count() else 0.0

    def figures(self) -> Figures:
        """Returns the figures. The last second is left out of the worst one, as it may not be whole."""
        shares = [in_time / count for count, in_time in self._by_account.values() if count >= 5]
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
            min(worst, self._worst_dropped_second) if self.offered else 0.0,
            self.refused_with_room / offered,
            dict(self.more),
        )
