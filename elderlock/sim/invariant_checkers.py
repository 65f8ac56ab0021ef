"""What must hold in every run, whatever befalls the group. Judges hear what a world sees from outside, and say what was
broken, when and by whom. No judge reads the state of the code that it judges.

Times are ms of the world's own clock; names are of requests, boxes and limiters.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

KEPT_NAMES = 4000  # of requests that are over: a second answer comes soon, or the run is longer than memory
MOST_SAMPLES = 600
MOST_KEPT = 50  # broken rules that are kept in words, of each judge; all are counted


class Violation(NamedTuple):
    rule: str
    at: float
    text: str

    def line(self) -> str:
        return f"{self.at / 1000.0:.3f} s: {self.rule}: {self.text}"


@dataclass(frozen=True, slots=True)
class CheckerLimits:
    """The slack of each rule, in ms but for `multiple` and shares. `grace`: after a client's deadline. `drain`: in
    which sends to a box that drains must cease. `multiple` of a cold box's present capacity within `window`."""

    grace: float = 50.0
    drain: float = 250.0
    multiple: float = 2.0
    window: float = 1000.0
    cold_share: float = 0.24
    cold_ms: float = 4000.0
    instant: float = 5.0  # in which a box may still get what was being written when its drain came into force
    told_share: float = 2.0 / 3.0  # of a cold box's work that must come from limiters that had heard of its start


class InvariantChecker:
    """Hears all; each judge overrides what it needs. `at` is ms of the run."""

    name = ""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.count = 0

    def report(self, at: float, text: str) -> None:
        self.count += 1
        if len(self.violations) < MOST_KEPT:
            self.violations.append(Violation(self.name, at, text))

    def asked(self, at: float, request: str, limiter: str, deadline: float, account: str, effect: str) -> None:
        """A limiter took it from a client that waits until `deadline`."""

    def answered(self, at: float, request: str, word: str) -> None:
        """Its client got an answer: served, refused, failed, or wrong (another's)."""

    def excused(self, at: float, request: str, why: str) -> None:
        """No answer is owed: its client went away, or the limiter was killed or cut off from it."""

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        """A box got it, whole, from that limiter; `at` is when the limiter let it go."""

    def ran(self, at: float, box: str, request: str) -> None:
        """Its effect took place."""

    def told(self, at: float, limiter: str, box: str, state: str, started_at: float) -> None:
        """The limiter has heard of the box: running, draining or gone; `started_at` in ms of the run."""

    def started(self, at: float, box: str, bears: float) -> None:
        """A process of that box began, cold; warm it bears so many requests a ms."""

    def spent(self, at: float, account: str, units: float) -> None:
        """Work of that many units for the account was let go to a box."""

    def limiter_began(self, at: float, limiter: str) -> None:
        """A process of that limiter: what one before it had heard is lost."""

    def claimed(self, at: float, operator: str, target: str, limiter: str, since: float) -> None:
        """A tool told its operator that this limiter sends nothing to the box any more, from `since` on."""

    def failure(self, at: float, where: str, text: str) -> None:
        """Code raised what nobody handled, or logged that it failed."""

    def ended(self, at: float) -> None:
        """The run is over and has come to rest."""


@dataclass(slots=True)
class _Open:
    limiter: str
    deadline: float


class UnansweredRequests(InvariantChecker):
    """Rule 1: each request that was taken gets one final answer, no later than `grace` after its client's deadline."""

    name = "no request lost"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._rules = rules
        self.open: dict[str, _Open] = {}
        self._answered: dict[str, str] = {}
        self._order: deque[str] = deque()
        self._stalled: dict[str, float] = {}

    def stalled(self, at: float, limiter: str, lasts: float) -> None:
        """The limiter's machine gives it no time for so long (ms): what it owes is owed that much later."""
        self._stalled[limiter] = max(self._stalled.get(limiter, 0.0), at + lasts)
        for was in self.open.values():
            if was.limiter == limiter:
                was.deadline += lasts

    def asked(self, at: float, request: str, limiter: str, deadline: float, account: str, effect: str) -> None:
        self.open[request] = _Open(limiter, deadline + max(0.0, self._stalled.get(limiter, 0.0) - at))

    def answered(self, at: float, request: str, word: str) -> None:
        if request in self._answered:
            return self.report(at, f"{request} was answered {word} after {self._answered[request]}")
        self._answered[request] = word
        self._order.append(request)
        if len(self._order) > KEPT_NAMES:
            del self._answered[self._order.popleft()]
        was = self.open.pop(request, None)
        if was is None:
            return
        if word == "wrong":
            self.report(at, f"{request} got another's answer from {was.limiter}")
        elif at > was.deadline + self._rules.grace:
            self.report(at, f"{request} was answered {word} {at - was.deadline:.0f} ms late by {was.limiter}")

    def excused(self, at: float, request: str, why: str) -> None:
        was = self.open.pop(request, None)
        if was is not None and at > was.deadline + self._rules.grace:  # it comes after the answer was owed
            self.report(at, f"{request} was never answered by {was.limiter}")

    def ended(self, at: float) -> None:
        for request, was in self.open.items():
            if at > was.deadline + self._rules.grace:
                self.report(at, f"{request} was never answered by {was.limiter}")


class RepeatedEffects(InvariantChecker):
    """Rule 2: a request whose repeat would have a second effect runs once."""

    name = "no effect twice"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._effects: dict[str, str] = {}
        self._ran: dict[str, str] = {}
        self._order: deque[str] = deque()

    def asked(self, at: float, request: str, limiter: str, deadline: float, account: str, effect: str) -> None:
        if effect != "free":
            self._effects[request] = effect
            self._order.append(request)
            if len(self._order) > KEPT_NAMES:
                old = self._order.popleft()
                self._effects.pop(old, None)
                self._ran.pop(old, None)

    def ran(self, at: float, box: str, request: str) -> None:
        if request not in self._effects:
            return
        if request in self._ran:
            self.report(at, f"{request} ({self._effects[request]}) ran on {self._ran[request]} and on {box}")
        self._ran[request] = box


class DrainedServers(InvariantChecker):
    """Rule 3: no work goes to a box later than `drain` after the limiter heard that it drains or is gone."""

    name = "drains kept"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._rules = rules
        self._since: dict[tuple[str, str], float] = {}

    def limiter_began(self, at: float, limiter: str) -> None:
        for key in [key for key in self._since if key[0] == limiter]:
            del self._since[key]

    def told(self, at: float, limiter: str, box: str, state: str, started_at: float) -> None:
        if state == "running":
            self._since.pop((limiter, box), None)
        else:
            self._since.setdefault((limiter, box), at)

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        since = self._since.get((limiter, box))
        if since is not None and at > since + self._rules.drain:
            self.report(at, f"{limiter} sent {request} to {box} {at - since:.0f} ms after it heard of its drain")


@dataclass(slots=True)
class _Cold:
    began: float
    bears: float
    told: dict[str, float] = field(default_factory=dict)
    work: deque[tuple[float, bool]] = field(default_factory=deque)  # when, and from one that had heard of the start


class ColdServers(InvariantChecker):
    """Rule 4: within any `window`, a cold box gets no more than `multiple` times its present capacity, and a little for
    chance (two deviations and three), where two thirds of that came from limiters that had heard of its start."""

    name = "no cold box pushed over"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._rules = rules
        self._cold: dict[str, _Cold] = {}
        self.worst = 0.0  # the most that a window held, over what it may

    def started(self, at: float, box: str, bears: float) -> None:
        self._cold[box] = _Cold(at, bears)

    def told(self, at: float, limiter: str, box: str, state: str, started_at: float) -> None:
        cold = self._cold.get(box)
        if cold is not None and abs(started_at - cold.began) < 2.0:
            cold.told.setdefault(limiter, at)

    def limiter_began(self, at: float, limiter: str) -> None:
        for cold in self._cold.values():
            cold.told.pop(limiter, None)

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        cold = self._cold.get(box)
        if cold is None:
            return
        rules, work = self._rules, cold.work
        age = at - cold.began
        if age >= rules.cold_ms:
            del self._cold[box]
            return
        work.append((at, limiter in cold.told))
        while work and at - work[0][0] > rules.window:
            work.popleft()
        share = rules.cold_share + (1.0 - rules.cold_share) * max(0.0, age) / rules.cold_ms
        mean = cold.bears * share * rules.multiple * rules.window
        allowed = mean + 2.0 * mean**0.5 + 3.0
        told = sum(known for _, known in work)
        self.worst = max(self.worst, len(work) / allowed)
        if len(work) > allowed and told >= rules.told_share * len(work):
            self.report(at, f"{box} got {len(work)} within {rules.window:.0f} ms, {allowed:.0f} are the most")


class HardCeilings(InvariantChecker):
    """Rule 5: what is let go for an account stays under ceiling burst + rate x time, and its slack, in any span."""

    name = "ceilings kept"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._plans: dict[str, tuple[float, float, float]] = {}
        self._levels: dict[str, tuple[float, float]] = {}
        self.worst = 0.0  # units over burst + rate x time

    def ceiling(self, account: str, rate: float, burst: float, slack: float) -> None:
        """The account has one: units a second, units, units."""
        self._plans[account] = (rate / 1000.0, burst, slack)

    def spent(self, at: float, account: str, units: float) -> None:
        plan = self._plans.get(account)
        if plan is None:
            return
        rate, burst, slack = plan
        level, since = self._levels.get(account, (0.0, at))
        level = max(0.0, level - rate * max(0.0, at - since)) + units
        self._levels[account] = (level, max(at, since))
        self.worst = max(self.worst, level - burst)
        if level > burst + slack + 1e-6:
            self.report(at, f"account {account}: {level - burst:.2f} units over its ceiling, {slack:g} are its slack")


class DrainReports(InvariantChecker):
    """A drain's report is honest: once a tool has said that a limiter sends a box no more, it does not; what was being
    written in that `instant` is the last."""

    name = "drain reported as it is"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._instant = rules.instant
        self._claims: dict[tuple[str, str], float] = {}
        self._last: dict[tuple[str, str], float] = {}

    def claimed(self, at: float, operator: str, target: str, limiter: str, since: float) -> None:
        key = (limiter, target)
        self._claims.setdefault(key, since)
        if self._last.get(key, -1e18) > since + self._instant:
            late = self._last[key] - since
            self.report(at, f"{operator} was told that {limiter} sends {target} no more, {late:.0f} ms before it did")

    def undrained(self, target: str) -> None:
        for key in [key for key in self._claims if key[1] == target]:
            del self._claims[key]

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        key = (limiter, box)
        self._last[key] = at
        since = self._claims.get(key)
        if since is not None and at > since + self._instant:
            self.report(at, f"{limiter} sent {request} to {box}, which its operator was told is drained there")


class UnhandledErrors(InvariantChecker):
    """Nothing fails in the code itself: no exception that nobody handles, no event that the module cannot take."""

    name = "nothing raised"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()

    def failure(self, at: float, where: str, text: str) -> None:
        self.report(at, f"{where}: {text}")


class Quiescence(InvariantChecker):
    """What a run leaves behind: `look` gives, at its end, what should be nought by then, by name."""

    name = "all comes to rest"

    def __init__(self, rules: CheckerLimits, look: Callable[[], dict[str, int]] = dict) -> None:
        super().__init__()
        self._look = look

    def ended(self, at: float) -> None:
        for what, left in self._look().items():
            if left:
                self.report(at, f"{left} {what}")


class UnboundedGrowth(InvariantChecker):
    """Nothing grows with time: of what is counted now and then while requests come, the least of the last third is no
    more than `TIMES` that of the middle one, and `MORE`. What grows evenly from nothing has twice as much there; a rush
    leaves the least of a third alone. Told by the world through `counted`."""

    name = "no unbounded growth"
    TIMES, MORE = 1.5, 200

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._seen: dict[str, list[int]] = {}

    def counted(self, what: str, number: int) -> None:
        seen = self._seen.setdefault(what, [])
        seen.append(number)
        if len(seen) >= MOST_SAMPLES:  # of each two the lesser: it is the least that is compared
            seen[:] = [min(pair) for pair in zip(seen[::2], seen[1::2], strict=True)]

    def ended(self, at: float) -> None:
        for what, seen in self._seen.items():
            third = len(seen) // 3
            if third < 3:
                continue
            middle, last = min(seen[third : 2 * third]), min(seen[-third:])
            if last > self.TIMES * middle + self.MORE:
                self.report(at, f"{what} grew from {middle} to {last}")


class RecordAgreement(InvariantChecker):
    """Agents that reach one another hold the same records within `within` ms of the last change or heal."""

    name = "records agree"
    within = 3000.0

    def __init__(self, rules: CheckerLimits, digests: Callable[[], dict[str, str]] = dict) -> None:
        super().__init__()
        self._digests = digests

    def ended(self, at: float) -> None:
        digests = self._digests()
        if len(set(digests.values())) > 1:
            held = ", ".join(f"{name} {digest[:8]}" for name, digest in sorted(digests.items()))
            self.report(at, f"after a rest they hold different records: {held}")


class CheckerEvents:
    """What judges hear, each taking what the `InvariantChecker` of that name does."""

    asked: Callable[..., None]
    answered: Callable[..., None]
    excused: Callable[..., None]
    sent: Callable[..., None]
    ran: Callable[..., None]
    told: Callable[..., None]
    started: Callable[..., None]
    spent: Callable[..., None]
    limiter_began: Callable[..., None]
    claimed: Callable[..., None]
    failure: Callable[..., None]


class CheckerSet(CheckerEvents):
    """All judges of a run, told as one."""

    ended: Callable[..., None]

    def __init__(self, judges: list[InvariantChecker]) -> None:
        self.checkers = judges
        self.counts: Counter[str] = Counter()
        for name in (
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
            "ended",
        ):
            base = getattr(InvariantChecker, name)
            hears = [getattr(judge, name) for judge in judges if getattr(type(judge), name) is not base]
            setattr(self, name, _all(hears))

    def violations(self) -> list[Violation]:
        return sorted((each for judge in self.checkers for each in judge.violations), key=lambda broken: broken.at)

    def total(self) -> int:
        return sum(judge.count for judge in self.checkers)


def _all(hears: list[Callable[..., None]]) -> Callable[..., None]:
    def tell(*args: object) -> None:
        for hear in hears:
            hear(*args)

    return tell
