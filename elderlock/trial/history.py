"""The history of a run: what was observed from outside, event by event, on one clock.

It is recorded, written as lines, and passed to the invariant checkers of `elderlock.sim.invariant_checkers` when the
run is over. Only `write` and `read` do I/O.

The checkers are the simulation's, unchanged. A real machine is shared, so the times that a checker gets are corrected
first: while the runner was stalled, or a process waited for a core or was stopped by the harness, no time counts as
passed for it. A violated rule about rates (cold servers, ceilings) shortly after such a stall is reported as late
instead of broken.
"""

from __future__ import annotations

import json
from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from elderlock.sim import invariant_checkers
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
BURST_WINDOW_MS = 1500.0  # after a stall, in which the events that it delayed may still arrive in a burst
# The total of the stalls within that window from which on a burst may explain a violated rate. The slack of the rules
# covers less.
MIN_BURST_STALL_MS = 50.0
WRITE_DELAY_MS = 30.0  # between a limiter's write and its observation at the relay, on a machine that is not overloaded
REQUEST_GRACE_MS = 150.0  # after a client's deadline: the rule's 50, and the time in the relays and the clients
DRAIN_GRACE_MS = 300.0  # the rule's 250, and the time in the relays


class Event(NamedTuple):
    """One observed event.

    Attributes:
        at: When it was observed, in ms of the run.
        name: One of `EVENT_NAMES`, or another name, which only the timeline shows.
        args: Its arguments, as the method of that name of `invariant_checkers.Judge` takes them.
    """

    at: float
    name: str
    args: tuple[Any, ...]

    def line(self) -> str:
        """Return the event as JSON."""
        return json.dumps([round(self.at, 3), self.name, *self.args])

    def text(self) -> str:
        """Return the event as text for people."""
        return f"{self.at / 1000.0:9.3f} s  {self.name:<14} {' '.join(str(each) for each in self.args)}"


class Recorder(invariant_checkers.CheckerEvents):
    """Records events; it has the methods of the invariant checkers.

    Attributes:
        events: All events, in the order in which they were recorded.
    """

    def __init__(self) -> None:
        self.events: list[Event] = []
        for name in EVENT_NAMES:
            setattr(self, name, self._recording_method(name))

    def _recording_method(self, name: str) -> Callable[..., None]:
        def record(at: float, *args: Any) -> None:
            self.events.append(Event(at, name, args))

        return record

    def note(self, at: float, name: str, *args: Any) -> None:
        """Record an event that only the timeline shows: a fault, a process or a command."""
        self.events.append(Event(at, name, args))

    def in_order(self) -> list[Event]:
        """Return all events, sorted by time."""
        return sorted(self.events, key=lambda event: event.at)

    undrained: Callable[..., None]
    ceiling: Callable[..., None]
    counted: Callable[..., None]


def write(events: Iterable[Event], path: Path) -> None:
    """Write events to a file, one a line."""
    path.write_text("".join(event.line() + "\n" for event in events), encoding="utf-8")


def read(path: Path) -> list[Event]:
    """Read events from a file.

    Raises:
        OSError: The file cannot be read.
        ValueError: A line is not an event.
    """
    events = []
    for line in path.read_text(encoding="utf-8").splitlines():
        at, name, *args = json.loads(line)
        events.append(Event(float(at), str(name), tuple(args)))
    return events


class StallFreeClock:
    """A clock that stands still during stalls.

    Invariant: its time never goes back and is never ahead of the time of the run.
    """

    def __init__(self, stalls: Iterable[Stall]) -> None:
        spans: list[list[float]] = []
        for stall in sorted(stalls):
            ends_at = stall.at + stall.duration_ms
            if spans and stall.at <= spans[-1][1]:
                spans[-1][1] = max(spans[-1][1], ends_at)  # merges overlapping stalls
            else:
                spans.append([stall.at, ends_at])
        self._starts = [start for start, _ in spans]
        self._spans = spans
        self._stalled_before_ms = [0.0]
        for start, ends_at in spans:
            self._stalled_before_ms.append(self._stalled_before_ms[-1] + ends_at - start)

    def convert(self, at: float) -> float:
        """Convert ms of the run to ms of this clock."""
        count = bisect_right(self._starts, at)
        if not count:
            return at
        start, ends_at = self._spans[count - 1]
        return at - self._stalled_before_ms[count - 1] - (min(at, ends_at) - start)

    def stalled_ms(self, at: float, window_ms: float) -> float:
        """Return for how many ms this clock stood still in the window that ends at `at`."""
        return window_ms - (self.convert(at) - self.convert(at - window_ms))


class Verdict(NamedTuple):
    """The violations that the invariant checkers found.

    Attributes:
        broken: The violations that count against the program.
        late: The violations that a stall of the machine may explain.
    """

    broken: list[invariant_checkers.Violation]
    late: list[invariant_checkers.Violation]

    def rules(self) -> list[str]:
        """Return the names of the rules in `broken`, sorted."""
        return sorted({violation.rule for violation in self.broken})


class InvariantCheckers:
    """The invariant checkers of a run of real processes.

    Rules about times are checked on a clock without stalls, those about rates on the wall clock.
    """

    def __init__(self, rules: invariant_checkers.CheckerLimits, stalls: Sequence[Stall]) -> None:
        """Prepare the checkers.

        Args:
            rules: Their tolerances.
            stalls: The stalls of the runner and of the processes.
        """
        runner_stalls = [stall for stall in stalls if not stall.process]
        self._clocks: dict[str, StallFreeClock] = {"": StallFreeClock(runner_stalls)}
        for process in {stall.process for stall in stalls if stall.process}:
            self._clocks[process] = StallFreeClock(
                [*runner_stalls, *(stall for stall in stalls if stall.process == process)]
            )
        self.lost, self.drains, self.reports = (
            invariant_checkers.UnansweredRequests(rules),
            invariant_checkers.DrainedServers(rules),
            invariant_checkers.DrainReports(rules),
        )
        self.cold, self.ceilings = invariant_checkers.ColdServers(rules), invariant_checkers.HardCeilings(rules)
        self.twice, self.failures, self.growth = (
            invariant_checkers.RepeatedEffects(rules),
            invariant_checkers.UnhandledErrors(rules),
            invariant_checkers.UnboundedGrowth(rules),
        )
        self.bench = invariant_checkers.CheckerSet(
            [self.lost, self.twice, self.drains, self.cold, self.ceilings, self.reports, self.failures, self.growth]
        )
        self._limiter_of: dict[str, str] = {}  # the limiter that received each request

    def _stall_free(self, at: float, process: str) -> float:
        return self._clocks.get(process, self._clocks[""]).convert(at)

    def handle(self, event: Event) -> None:
        """Pass an event to the checkers."""
        at, args = event.at, event.args
        match event.name:
            case "asked":
                request, limiter, deadline = args[0], args[1], args[2]
                self._limiter_of[request] = limiter
                now = self._stall_free(at, limiter)
                self.lost.asked(now, request, limiter, now + deadline - at, *args[3:])
                self.twice.asked(at, *args)
            case "answered" | "excused":
                getattr(self.lost, event.name)(self._stall_free(at, self._limiter_of.get(args[0], "")), *args)
            case "told":
                limiter = args[0]
                self.drains.told(self._stall_free(at, limiter), *args)
                self.cold.told(at, *args)
            case "sent":
                limiter = args[0]
                self.drains.sent(self._stall_free(at, limiter), *args)
                self.reports.sent(self._stall_free(at, limiter), *args)
                self.cold.sent(at, *args)
            case "claimed":
                operator, target, limiter, since = args
                self.reports.claimed(at, operator, target, limiter, self._stall_free(since, limiter))
            case "undrained":
                self.reports.undrained(*args)
            case "ceiling":
                self.ceilings.ceiling(*args)
            case "counted":
                self.growth.counted(*args)
            case "started" | "spent" | "ran" | "limiter_began" | "failure":
                getattr(self.bench, event.name)(at, *args)

    def finish(self, at: float, additional: Iterable[invariant_checkers.InvariantChecker] = ()) -> Verdict:
        """End the run and return the violations.

        Args:
            at: When the run was over and the group idle, in ms of the run.
            additional: Checkers that were given their observations elsewhere.
        """
        for limiter in {request.limiter for request in self.lost.open.values()}:
            for request in self.lost.open.values():
                if request.limiter == limiter:  # at the end, open requests are checked on the wall clock
                    request.deadline += at - self._stall_free(at, limiter)
        for checker in (*self.bench.checkers, *additional):
            checker.ended(at)
        broken: list[invariant_checkers.Violation] = []
        late: list[invariant_checkers.Violation] = []
        for checker in (*self.bench.checkers, *additional):
            checks_rate = checker in (self.cold, self.ceilings)
            for violation in checker.violations:
                is_late = checks_rate and self._follows_stall(violation.at)
                (late if is_late else broken).append(violation)
        return Verdict(sorted(broken, key=_violated_at), sorted(late, key=_violated_at))

    def _follows_stall(self, at: float) -> bool:
        return any(clock.stalled_ms(at, BURST_WINDOW_MS) >= MIN_BURST_STALL_MS for clock in self._clocks.values())


def _violated_at(violation: invariant_checkers.Violation) -> float:
    return violation.at


def check_history(
    events: Sequence[Event],
    stalls: Sequence[Stall],
    rules: invariant_checkers.CheckerLimits,
    ends_at: float,
    additional: Iterable[invariant_checkers.InvariantChecker] = (),
) -> Verdict:
    """Check a whole history.

    Args:
        events: All events, sorted by time.
        stalls: The stalls of the runner and of the processes.
        rules: The tolerances of the checkers.
        ends_at: When the run was over, in ms of the run.
        additional: Checkers that were given their observations elsewhere.
    """
    checkers = InvariantCheckers(rules, stalls)
    for event in events:
        checkers.handle(event)
    return checkers.finish(ends_at, additional)
