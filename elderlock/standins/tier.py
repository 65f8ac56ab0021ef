"""A tier in simulated time: limiters that decide as the program does, and boxes with slots, a waiting room and a
warm-up, to see what choice, subsets and outliers do at sizes that no machine here holds.

Times are ms, rates a second. Everything comes from one seed: the same seed plays the same run.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.interface import ListKind, Outcome, ServerState
from elderlock.standins.simulation import Simulation

AIM = 300.0
DIAL = 45.0  # that a dial to a silent box may take
PLAIN = api.Plan("plain", rate_per_s=1e6, burst_units=1e6)
RULES = api.ServiceRules(
    warm_up_initial_fraction=0.3, warm_up_ms=10_000.0, overload_multiple=2.0, overload_window_ms=1000.0
)
Make = Callable[[api.Settings, int, float], Limiter]


@dataclass(frozen=True, slots=True)
class Size:
    """What is played. `work` is a request's mean at a box of speed one; `load` the share of all slots that is asked
    for; `same` and `cross` are one-way delays inside a zone and between two."""

    limiters: int = 3
    boxes: int = 30
    zones: int = 3
    slots: int = 2
    room: int = 40
    work: float = 40.0
    load: float = 0.6
    same: float = 0.25
    cross: float = 2.0
    customers: int = 200
    speeds: tuple[float, ...] = (1.0, 0.65)  # by kind
    routing: api.Routing = field(default_factory=api.Routing)
    plans: tuple[api.Plan, ...] = (PLAIN,)
    peers: bool = False
    report_every: float = 400.0  # a box's report is that old at the most
    report_late: float = 100.0


class Box:
    """Serves in turn; what it holds when it fails is never answered."""

    def __init__(self, tier: Tier, uid: str, zone: int, kind: int, speed: float) -> None:
        self.tier, self.uid, self.zone, self.kind, self.speed = tier, uid, zone, kind, speed
        self.state, self.started_at = ServerState.RUNNING, 0.0
        self.silent = False
        self.errs = 0.0  # share of its answers that are errors
        self.busy = 0
        self.waiting: deque[Attempt] = deque()
        self.report: tuple[float, int] = (0.0, 0)  # when taken, and the length of its queue then
        self.lies = False
        self.cold_sends: list[float] = []

    def entry(self) -> api.ServerEntry:
        return api.ServerEntry(
            self.uid, self.zone, self.kind, int(self.uid[2:]) // 4, self.state, self.speed, self.started_at
        )

    def pace(self) -> float:
        """Its speed now: cold, it rises evenly."""
        age = self.tier.now - self.started_at
        if self.started_at <= 0 or age >= RULES.warm_up_ms:
            return self.speed
        return self.speed * (
            RULES.warm_up_initial_fraction + (1.0 - RULES.warm_up_initial_fraction) * age / RULES.warm_up_ms
        )

    def come(self, attempt: Attempt) -> None:
        if self.silent:
            return
        if self.tier.now - self.report[0] >= self.tier.size.report_every:
            self.report = self.tier.now, 0 if self.lies else len(self.waiting)
        if self.busy < self.tier.size.slots:
            self._begin(attempt)
        elif len(self.waiting) < self.tier.size.room:
            self.waiting.append(attempt)
        else:
            self.tier.answer(attempt, Outcome.FULL)

    def _begin(self, attempt: Attempt) -> None:
        self.busy += 1
        took = self.tier.rng.expovariate(1.0) * self.tier.size.work / self.pace()
        self.tier.after(took, self._done, attempt)

    def _done(self, attempt: Attempt) -> None:
        self.busy -= 1
        if not self.silent:
            wrong = self.errs > 0.0 and self.tier.rng.random() < self.errs
            self.tier.answer(attempt, Outcome.ERROR if wrong else Outcome.OK)
        while self.waiting and self.busy < self.tier.size.slots:
            following = self.waiting.popleft()
            if not following.over:
                self._begin(following)

    def restart(self) -> None:
        """Comes up cold, with nothing of what it held."""
        self.silent, self.started_at = False, self.tier.now
        self.waiting.clear()


@dataclass(slots=True, eq=False)
class Attempt:
    request: Request
    number: int
    box: Box
    sent_at: float
    over: bool = False


@dataclass(slots=True, eq=False)
class Request:
    name: str
    limiter: int
    arrived: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False


class Tier(Simulation):
    """`play` runs it; `outcomes`, `took`, `sends` and `pairs` count from `count_from` on."""

    def __init__(self, size: Size, seed: int, make: Make = Limiter) -> None:
        super().__init__(1_000_000.0)
        self.size, self.rng = size, random.Random(f"tier/{seed}")
        self.boxes = {}
        for n in range(size.boxes):
            kind = (n // size.zones) % len(size.speeds)
            self.boxes[f"s-{n}"] = Box(self, f"s-{n}", n % size.zones, kind, size.speeds[kind])
        self._fresh = size.boxes
        self.requests: dict[str, Request] = {}
        self.count_from = 0.0
        self.outcomes: Counter[str] = Counter()
        self.took: list[float] = []
        self.sends: Counter[str] = Counter()
        self.pairs: set[tuple[int, str]] = set()
        self.away = 0  # sends that left the limiter's zone
        self.slots_mass = size.slots * sum(box.speed for box in self.boxes.values())
        self.rate = size.load * self.slots_mass / size.work * 1000.0 / size.limiters  # at each limiter
        self._weights = list(accumulate(1.0 / (n + 1) ** 0.6 for n in range(size.customers)))
        self.limiters = [make(self._settings(n), seed * 1000 + n, self.now) for n in range(size.limiters)]
        for number, limiter in enumerate(self.limiters):
            self._act(number, limiter.start(self.now))
            self.tell(number)
            self.after(self.rng.expovariate(self.rate) * 1000.0, self._arrive, number)

    def _settings(self, number: int) -> api.Settings:
        size = self.size
        return api.Settings(
            limiter_index=number,
            limiter_count=size.limiters,
            clock_tick_ms=1.0,
            zone=number % size.zones,
            request_classes=(api.RequestClass("lookup", AIM),),
            plans=size.plans,
            rules=RULES,
            capabilities=api.Capabilities(max_attempts=4, can_cancel=True, can_message_peers=size.peers),
            quota_sources=api.QuotaSources(peer_messages_per_s=100.0),
            routing=size.routing,
        )

    def count_anew(self) -> None:
        """What is counted starts here."""
        self.count_from = self.now
        self.outcomes.clear()
        self.took.clear()
        self.sends.clear()
        self.pairs.clear()
        self.away = 0

    # Lists

    def tell(self, number: int, boxes: list[Box] | None = None) -> None:
        kind = ListKind.COMPLETE if boxes is None else ListKind.CHANGES
        entries = tuple(box.entry() for box in (self.boxes.values() if boxes is None else boxes))
        self.handle(number, api.ServerList(1, kind, entries))

    def tell_all(self, boxes: list[Box] | None = None, late: float = 200.0) -> None:
        for number in range(self.size.limiters):
            self.after(self.rng.uniform(0.0, late), self.tell, number, boxes)

    def replace(self, uids: list[str]) -> list[Box]:
        """Fresh machines, cold, in the place of those."""
        fresh = []
        for uid in uids:
            old = self.boxes.pop(uid)
            old.state, old.silent = ServerState.REMOVED, True
            box = Box(self, f"s-{self._fresh}", old.zone, old.kind, old.speed)
            self._fresh += 1
            box.started_at = self.now
            self.boxes[box.uid] = box
            fresh.append(box)
        return fresh

    # Limiters

    def _arrive(self, number: int) -> None:
        rng = self.rng
        self.after(rng.expovariate(self.rate) * 1000.0, self._arrive, number)
        self._number += 1
        name = f"r{self._number}"
        customer = rng.choices(range(self.size.customers), cum_weights=self._weights)[0]
        plans = len(self.size.plans)
        request = self.requests[name] = Request(name, number, self.now)
        give_up = self.now + 3 * AIM
        spread = min(3, self.size.limiters) if self.size.peers else 1
        self.handle(number, api.RequestArrived(name, 0, customer % plans, str(customer), 1.0, give_up, spread, number))
        if not request.answered:
            self.after(3 * AIM, self._gone, request)

    def handle(self, number: int, event: api.Event) -> None:
        self._act(number, self.limiters[number].handle(event, self.now))

    def _act(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SetTimer(wait, token):
                    self.after(wait, self.handle, number, api.TimerFired(token))
                case api.SendAttempt(name, server, timeout):
                    self._send(number, self.requests[name], server, timeout)
                case api.Reject(name):
                    self._final(self.requests[name], "refused")
                case api.Fail(name):
                    self._final(self.requests[name], "failed")
                case api.CancelAttempt(name, attempt):
                    self._ended(self.requests[name].attempts[attempt], Outcome.CANCELLED)
                case api.SendPeerMessage(receiver, data) if receiver != number and self.rng.random() > 0.03:
                    self.after(self.rng.uniform(2.0, 12.0), self.handle, receiver, api.PeerMessage(number, data))
                case _:
                    pass

    def _send(self, number: int, request: Request, uid: str, timeout: float) -> None:
        box = self.boxes.get(uid)
        if box is None:
            box = Box(self, uid, 0, 0, 1.0)
            box.silent = True
        attempt = Attempt(request, len(request.attempts), box, self.now)
        request.attempts.append(attempt)
        if self.now >= self.count_from:
            self.sends[uid] += 1
            self.pairs.add((number, uid))
            self.away += box.zone != number % self.size.zones
        if box.started_at > 0 and self.now - box.started_at < RULES.warm_up_ms:
            box.cold_sends.append(self.now)
        if box.silent:  # a machine that vanished: its dial never comes up
            self.after(min(DIAL, timeout), self._ended, attempt, Outcome.CONNECT_FAILED)
        else:
            self.after(self._way(number, box), box.come, attempt)
            self.after(timeout, self._ended, attempt, Outcome.TIMEOUT)

    def _way(self, number: int, box: Box) -> float:
        way = self.size.same if box.zone == number % self.size.zones else self.size.cross
        return way * self.rng.uniform(0.8, 1.3)

    def answer(self, attempt: Attempt, outcome: Outcome) -> None:
        self.after(self._way(attempt.request.limiter, attempt.box), self._ended, attempt, outcome)

    def _ended(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.over:
            return
        attempt.over = True
        request = attempt.request
        if outcome is Outcome.OK:
            self._final(request, "served" if self.now - request.arrived <= AIM else "late")
        took = self.now - attempt.sent_at
        ended = api.AttemptEnded(request.name, attempt.number, attempt.box.uid, outcome, took, request.answered)
        self.handle(request.limiter, ended)
        if request.answered and all(a.over for a in request.attempts):
            self.requests.pop(request.name, None)

    def _gone(self, request: Request) -> None:
        if not request.answered:
            self._final(request, "unanswered")
            self.handle(request.limiter, api.ClientDisconnected(request.name))

    def _final(self, request: Request, word: str) -> None:
        """The one answer; a second is a broken rule."""
        if request.answered:
            if word in ("served", "late"):
                return  # a copy that came after it
            raise AssertionError(f"{request.name} was answered twice")
        request.answered = True
        if request.arrived >= self.count_from:
            self.outcomes[word] += 1
            if word in ("served", "late"):
                self.took.append(self.now - request.arrived)

    # Figures

    def quantile(self, part: float) -> float:
        took = sorted(self.took)
        return took[min(len(took) - 1, int(part * len(took)))] if took else 0.0

    def served(self) -> float:
        return self.outcomes["served"] / max(1, sum(self.outcomes.values()))

    def cold_excess(self) -> float:
        """The most that was sent to a cold box within the rule's window over what the rule lets go there; the rule's
        fall comes from what a warm one bears."""
        worst = 0.0
        bears = self.size.slots / self.size.work * 1000.0
        for box in self.boxes.values():
            sends = box.cold_sends
            first = 0
            for last, at in enumerate(sends):
                while at - sends[first] > RULES.overload_window_ms:
                    first += 1
                age = sends[first] - box.started_at
                share = (
                    RULES.warm_up_initial_fraction
                    + (1.0 - RULES.warm_up_initial_fraction) * max(0.0, age) / RULES.warm_up_ms
                )
                allowed = bears * box.speed * share * RULES.overload_multiple * RULES.overload_window_ms / 1000.0
                worst = max(worst, (last - first + 1) / allowed)
        return worst
