"""What was seen from outside, event by event, on one clock: kept, written as lines, and given to the judges of
`elderlock.sim.invariant_checkers` when the run is over. No I/O but `write` and `read`.

The judges are the simulation's, unchanged. A real machine is shared, so what a judge hears of times is put right first:
where the runner stood still, or a process had no core or was stopped by us, so much time counts as not gone by for it.
A rule of rates (cold boxes, ceilings) that is broken close to such a stand-still is told as late, not as broken.
"""

from __future__ import annotations

import json
from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from elderlock.sim import invariant_checkers as j
from elderlock.trial.stalls import Stall

EVENT_NAMES = (
    "asked",
    "answered",
    "excused",
    "sent",
    "ran",
    "told",
    "started",
    "spent",
    "limiter_began",
    "claimed",
    "failure",
    "undrained",
    "ceiling",
    "counted",
)
NEAR = 1500.0  # ms after a stand-still in which what it held up may still come in a heap
HEAP = 50.0  # ms of stand-still within that, from which on the heap may explain a broken rate; less is in the slack
INSTANT = 30.0  # ms between a limiter's write and its being seen at the relay, on a machine with time
GRACE = 150.0  # ms after a client's deadline: the rule's 50, the relays and the clients' own way
DRAIN = 300.0  # ms: the rule's 250 and the relays


class Event(NamedTuple):
    """`at` ms of the run; `what` is a judge's word, or another that is for the time line alone."""

    at: float
    what: str
    args: tuple[Any, ...]

    def line(self) -> str:
        return json.dumps([round(self.at, 3), self.what, *self.args])

    def text(self) -> str:
        return f"{self.at / 1000.0:9.3f} s  {self.what:<14} {' '.join(str(each) for each in self.args)}"


class Recorder(j.CheckerEvents):
    """Hears what judges hear, in the same words, and keeps it."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        for name in EVENT_NAMES:
            setattr(self, name, self._hears(name))

    def _hears(self, name: str) -> Callable[..., None]:
        def hear(at: float, *args: Any) -> None:
            self.events.append(Event(at, name, args))

        return hear

    def note(self, at: float, what: str, *args: Any) -> None:
        """For the time line: faults, processes, commands."""
        self.events.append(Event(at, what, args))

    def in_order(self) -> list[Event]:
        return sorted(self.events, key=lambda event: event.at)

    undrained: Callable[..., None]
    ceiling: Callable[..., None]
    counted: Callable[..., None]


def write(events: Iterable[Event], path: Path) -> None:
    path.write_text("".join(event.line() + "\n" for event in events), encoding="utf-8")


def read(path: Path) -> list[Event]:
    """Raises `OSError` or `ValueError`."""
    made = []
    for line in path.read_text(encoding="utf-8").splitlines():
        at, what, *args = json.loads(line)
        made.append(Event(float(at), str(what), tuple(args)))
    return made


class Even:
    """Time without stand-stills. Invariant: `even` never goes back, and is never ahead of the time given."""

    def __init__(self, stalls: Iterable[Stall]) -> None:
        spans: list[list[float]] = []
        for stall in sorted(stalls):
            ends = stall.at + stall.lasts
            if spans and stall.at <= spans[-1][1]:
                spans[-1][1] = max(spans[-1][1], ends)  # those that overlap are one
            else:
                spans.append([stall.at, ends])
        self._starts = [start for start, _ in spans]
        self._spans = spans
        self._before = [0.0]
        for start, ends in spans:
            self._before.append(self._before[-1] + ends - start)

    def even(self, at: float) -> float:
        number = bisect_right(self._starts, at)
        if not number:
            return at
        start, ends = self._spans[number - 1]
        return at - self._before[number - 1] - (min(at, ends) - start)

    def stood(self, at: float, within: float) -> float:
        """For how long (ms) it stood still in so long before."""
        return within - (self.even(at) - self.even(at - within))


class Verdict(NamedTuple):
    """`broken` counts against the program; `late` was broken as well, and where the machine had no time for it."""

    broken: list[j.Violation]
    late: list[j.Violation]

    def rules(self) -> list[str]:
        return sorted({each.rule for each in self.broken})


class Court:
    """All judges of a real run: those of times by time without stand-stills, those of rates by the clock."""

    def __init__(self, rules: j.CheckerLimits, stalls: Sequence[Stall]) -> None:
        own = [stall for stall in stalls if not stall.who]
        self._evens: dict[str, Even] = {"": Even(own)}
        for who in {stall.who for stall in stalls if stall.who}:
            self._evens[who] = Even([*own, *(stall for stall in stalls if stall.who == who)])
        self.lost, self.drains, self.reports = (
            j.UnansweredRequests(rules),
            j.DrainedServers(rules),
            j.DrainReports(rules),
        )
        self.cold, self.ceilings = j.ColdServers(rules), j.HardCeilings(rules)
        self.twice, self.failures, self.growth = (
            j.RepeatedEffects(rules),
            j.UnhandledErrors(rules),
            j.UnboundedGrowth(rules),
        )
        self.bench = j.CheckerSet(
            [self.lost, self.twice, self.drains, self.cold, self.ceilings, self.reports, self.failures, self.growth]
        )
        self._limiters: dict[str, str] = {}  # of each request, the one that took it

    def _even(self, at: float, who: str) -> float:
        return self._evens.get(who, self._evens[""]).even(at)

    def hear(self, event: Event) -> None:
        at, args = event.at, event.args
        match event.what:
            case "asked":
                request, limiter, deadline = args[0], args[1], args[2]
                self._limiters[request] = limiter
                now = self._even(at, limiter)
                self.lost.asked(now, request, limiter, now + deadline - at, *args[3:])
                self.twice.asked(at, *args)
            case "answered" | "excused":
                getattr(self.lost, event.what)(self._even(at, self._limiters.get(args[0], "")), *args)
            case "told":
                limiter = args[0]
                self.drains.told(self._even(at, limiter), *args)
                self.cold.told(at, *args)
            case "sent":
                limiter = args[0]
                self.drains.sent(self._even(at, limiter), *args)
                self.reports.sent(self._even(at, limiter), *args)
                self.cold.sent(at, *args)
            case "claimed":
                operator, target, limiter, since = args
                self.reports.claimed(at, operator, target, limiter, self._even(since, limiter))
            case "undrained":
                self.reports.undrained(*args)
            case "ceiling":
                self.ceilings.ceiling(*args)
            case "counted":
                self.growth.counted(*args)
            case "started" | "spent" | "ran" | "limiter_began" | "failure":
                getattr(self.bench, event.what)(at, *args)

    def ended(self, at: float, more: Iterable[j.InvariantChecker] = ()) -> Verdict:
        """`at`: when the run was over and had come to rest. `more`: judges that were told of it by themselves."""
        for limiter in {was.limiter for was in self.lost.open.values()}:
            for was in self.lost.open.values():
                if was.limiter == limiter:  # what is open now is held against the run's end by the clock
                    was.deadline += at - self._even(at, limiter)
        for judge in (*self.bench.checkers, *more):
            judge.ended(at)
        broken: list[j.Violation] = []
        late: list[j.Violation] = []
        for judge in (*self.bench.checkers, *more):
            rate = judge in (self.cold, self.ceilings)
            for each in judge.violations:
                held_up = rate and self._near(each.at)
                (late if held_up else broken).append(each)
        return Verdict(sorted(broken, key=_at), sorted(late, key=_at))

    def _near(self, at: float) -> bool:
        return any(even.stood(at, NEAR) >= HEAP for even in self._evens.values())


def _at(broken: j.Violation) -> float:
    return broken.at


def check_history(
    events: Sequence[Event],
    stalls: Sequence[Stall],
    rules: j.CheckerLimits,
    ends: float,
    more: Iterable[j.InvariantChecker] = (),
) -> Verdict:
    """`events` in their order."""
    court = Court(rules, stalls)
    for event in events:
        court.hear(event)
    return court.ended(ends, more)
