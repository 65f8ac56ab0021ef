"""A simulation of a large tier: limiters with the real decision code, and servers with slots, a queue and a warm-up.

It shows the effects of server selection, subsetting and outlier detection at sizes that do not fit on one machine.

Times are in ms and rates per second. The same seed gives the same run.
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

LATENCY_OBJECTIVE_MS = 300.0
CONNECT_TIMEOUT_MS = 45.0  # of a connection attempt to a silent server
UNLIMITED_PLAN = api.Plan("plain", rate_per_s=1e6, burst_units=1e6)
RULES = api.ServiceRules(
    warm_up_initial_fraction=0.3, warm_up_ms=10_000.0, overload_multiple=2.0, overload_window_ms=1000.0
)
Make = Callable[[api.Settings, int, float], Limiter]


@dataclass(frozen=True, slots=True)
class Size:
    """The parameters of a simulation.

    Attributes:
        limiters: The number of limiters.
        boxes: The number of servers.
        zones: The number of zones.
        slots: The number of requests that a server processes at once.
        room: The capacity of a server's queue.
        work: The mean duration of a request in ms on a server of speed 1.
        load: The offered load as a share of the capacity of all servers.
        same: The one-way delay in ms within a zone.
        cross: The one-way delay in ms between two zones.
        customers: The number of customers.
        speeds: The speed of each kind of server.
        routing: The routing settings of the limiters.
        plans: The plans of the customers.
        peers: Whether limiters exchange messages.
        report_every: The greatest age of a load report in ms.
        report_late: How long in ms a load report counts as fresh beyond twice `report_every`.
    """

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
    speeds: tuple[float, ...] = (1.0, 0.65)
    routing: api.Routing = field(default_factory=api.Routing)
    plans: tuple[api.Plan, ...] = (UNLIMITED_PLAN,)
    peers: bool = False
    report_every: float = 400.0
    report_late: float = 100.0


class Box:
    """A server that processes requests in order of arrival; a failure loses all requests that it holds.

    Attributes:
        tier: The simulation.
        uid: The server's id.
        zone: The zone's number.
        kind: The number of the hardware kind.
        speed: The speed of the warm server.
        state: The state in endpoint lists.
        started_at: When the process started; 0 for a server that is warm from the beginning.
        silent: Whether the server never answers.
        errs: The share of answers that are errors.
        busy: The number of requests being processed.
        waiting: The queue.
        report: When the newest load report was taken, and the queue length that it gives.
        lies: Whether load reports always give an empty queue.
        cold_sends: When each request was sent to the server during its warm-up.
    """

    def __init__(self, tier: Tier, uid: str, zone: int, kind: int, speed: float) -> None:
        self.tier, self.uid, self.zone, self.kind, self.speed = tier, uid, zone, kind, speed
        self.state, self.started_at = ServerState.RUNNING, 0.0
        self.silent = False
        self.errs = 0.0
        self.busy = 0
        self.waiting: deque[Attempt] = deque()
        self.report: tuple[float, int] = (0.0, 0)
        self.lies = False
        self.cold_sends: list[float] = []

    def entry(self) -> api.ServerEntry:
        """Returns the server's entry in endpoint lists."""
        return api.ServerEntry(
            self.uid, self.zone, self.kind, int(self.uid[2:]) // 4, self.state, self.speed, self.started_at
        )

    def pace(self) -> float:
        """Returns the current speed, which rises linearly during the warm-up."""
        age = self.tier.now - self.started_at
        if self.started_at <= 0 or age >= RULES.warm_up_ms:
            return self.speed
        return self.speed * (
            RULES.warm_up_initial_fraction + (1.0 - RULES.warm_up_initial_fraction) * age / RULES.warm_up_ms
        )

    def receive(self, attempt: Attempt) -> None:
        """Starts, queues or refuses an attempt."""
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
        duration_ms = self.tier.rng.expovariate(1.0) * self.tier.size.work / self.pace()
        self.tier.after(duration_ms, self._done, attempt)

    def _done(self, attempt: Attempt) -> None:
        self.busy -= 1
        if not self.silent:
            is_error = self.errs > 0.0 and self.tier.rng.random() < self.errs
            self.tier.answer(attempt, Outcome.ERROR if is_error else Outcome.OK)
        while self.waiting and self.busy < self.tier.size.slots:
            next_attempt = self.waiting.popleft()
            if not next_attempt.over:
                self._begin(next_attempt)

    def restart(self) -> None:
        """Simulates a restart: the server is cold and its queue is lost."""
        self.silent, self.started_at = False, self.tier.now
        self.waiting.clear()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        request: The request.
        number: The number of the attempt within the request.
        box: The server.
        sent_at: When the attempt was sent.
        over: Whether the limiter knows the outcome.
    """

    request: Request
    number: int
    box: Box
    sent_at: float
    over: bool = False


@dataclass(slots=True, eq=False)
class Request:
    """A client's request.

    Attributes:
        name: The id of the request.
        limiter: The number of the limiter that received it.
        arrived: When it arrived.
        attempts: Its attempts so far.
        answered: Whether the client has an answer.
    """

    name: str
    limiter: int
    arrived: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False


class Tier(Simulation):
    """The simulation of a tier, which `play` runs.

    Attributes:
        size: The parameters.
        rng: The random numbers of the run.
        boxes: The servers by id.
        requests: The open requests by id.
        count_from: The time from which the figures below count.
        outcomes: The number of requests by outcome.
        took: The latencies of the served requests.
        sends: The number of attempts to each server.
        pairs: The pairs of a limiter and a server between which attempts were sent.
        away: The number of attempts that left the limiter's zone.
        slots_mass: The capacity of all warm servers, in slots of speed 1.
        rate: The requests per second at each limiter.
        limiters: The limiters.
    """

    def __init__(self, size: Size, seed: int, make: Make = Limiter) -> None:
        super().__init__(1_000_000.0)
        self.size, self.rng = size, random.Random(f"tier/{seed}")
        self.boxes = {}
        for number in range(size.boxes):
            kind = (number // size.zones) % len(size.speeds)
            self.boxes[f"s-{number}"] = Box(self, f"s-{number}", number % size.zones, kind, size.speeds[kind])
        self._next_server_number = size.boxes
        self.requests: dict[str, Request] = {}
        self.count_from = 0.0
        self.outcomes: Counter[str] = Counter()
        self.took: list[float] = []
        self.sends: Counter[str] = Counter()
        self.pairs: set[tuple[int, str]] = set()
        self.away = 0
        self.slots_mass = size.slots * sum(box.speed for box in self.boxes.values())
        self.rate = size.load * self.slots_mass / size.work * 1000.0 / size.limiters
        self._weights = list(accumulate(1.0 / (rank + 1) ** 0.6 for rank in range(size.customers)))
        self.limiters = [
            make(self._settings(number), seed * 1000 + number, self.now) for number in range(size.limiters)
        ]
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
            request_classes=(api.RequestClass("lookup", LATENCY_OBJECTIVE_MS),),
            plans=size.plans,
            rules=RULES,
            capabilities=api.Capabilities(max_attempts=4, can_cancel=True, can_message_peers=size.peers),
            quota_sources=api.QuotaSources(peer_messages_per_s=100.0),
            routing=size.routing,
        )

    def count_anew(self) -> None:
        """Resets all figures and counts from now on."""
        self.count_from = self.now
        self.outcomes.clear()
        self.took.clear()
        self.sends.clear()
        self.pairs.clear()
        self.away = 0

    # Endpoint lists

    def tell(self, number: int, boxes: list[Box] | None = None) -> None:
        """Sends a limiter the entries of the given servers, or the complete list."""
        kind = ListKind.COMPLETE if boxes is None else ListKind.CHANGES
        entries = tuple(box.entry() for box in (self.boxes.values() if boxes is None else boxes))
        self.handle(number, api.ServerList(1, kind, entries))

    def tell_all(self, boxes: list[Box] | None = None, late: float = 200.0) -> None:
        """Sends all limiters the entries of the given servers, or the complete list, each within `late` ms."""
        for number in range(self.size.limiters):
            self.after(self.rng.uniform(0.0, late), self.tell, number, boxes)

    def replace(self, uids: list[str]) -> list[Box]:
        """Replaces servers by cold ones of the same kind in the same zone and returns the new servers."""
        new_servers = []
        for uid in uids:
            old = self.boxes.pop(uid)
            old.state, old.silent = ServerState.REMOVED, True
            server = Box(self, f"s-{self._next_server_number}", old.zone, old.kind, old.speed)
            self._next_server_number += 1
            server.started_at = self.now
            self.boxes[server.uid] = server
            new_servers.append(server)
        return new_servers

    # Limiters

    def _arrive(self, number: int) -> None:
        rng = self.rng
        self.after(rng.expovariate(self.rate) * 1000.0, self._arrive, number)
        self._number += 1
        name = f"r{self._number}"
        customer = rng.choices(range(self.size.customers), cum_weights=self._weights)[0]
        plan_count = len(self.size.plans)
        request = self.requests[name] = Request(name, number, self.now)
        deadline_ms = self.now + 3 * LATENCY_OBJECTIVE_MS
        spread = min(3, self.size.limiters) if self.size.peers else 1
        plan_index = customer % plan_count
        event = api.RequestArrived(name, 0, plan_index, str(customer), 1.0, deadline_ms, spread, number)
        self.handle(number, event)
        if not request.answered:
            self.after(3 * LATENCY_OBJECTIVE_MS, self._deadline_passed, request)

    def handle(self, number: int, event: api.Event) -> None:
        """Passes an event to a limiter and carries out its actions."""
        self._act(number, self.limiters[number].handle(event, self.now))

    def _act(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SetTimer(wait, token):
                    self.after(wait, self.handle, number, api.TimerFired(token))
                case api.SendAttempt(name, server, timeout):
                    self._send(number, self.requests[name], server, timeout)
                case api.Reject(name):
                    self._finish(self.requests[name], "refused")
                case api.Fail(name):
                    self._finish(self.requests[name], "failed")
                case api.CancelAttempt(name, attempt):
                    self._ended(self.requests[name].attempts[attempt], Outcome.CANCELLED)
                case api.SendPeerMessage(receiver, data) if receiver != number and self.rng.random() > 0.03:
                    self.after(self.rng.uniform(2.0, 12.0), self.handle, receiver, api.PeerMessage(number, data))
                case _:
                    pass

    def _send(self, number: int, request: Request, uid: str, timeout: float) -> None:
        server = self.boxes.get(uid)
        if server is None:
            server = Box(self, uid, 0, 0, 1.0)
            server.silent = True
        attempt = Attempt(request, len(request.attempts), server, self.now)
        request.attempts.append(attempt)
        if self.now >= self.count_from:
            self.sends[uid] += 1
            self.pairs.add((number, uid))
            self.away += server.zone != number % self.size.zones
        if server.started_at > 0 and self.now - server.started_at < RULES.warm_up_ms:
            server.cold_sends.append(self.now)
        if server.silent:  # the machine has vanished, so the connection is never established
            self.after(min(CONNECT_TIMEOUT_MS, timeout), self._ended, attempt, Outcome.CONNECT_FAILED)
        else:
            self.after(self._one_way_delay(number, server), server.receive, attempt)
            self.after(timeout, self._ended, attempt, Outcome.TIMEOUT)

    def _one_way_delay(self, number: int, server: Box) -> float:
        delay_ms = self.size.same if server.zone == number % self.size.zones else self.size.cross
        return delay_ms * self.rng.uniform(0.8, 1.3)

    def answer(self, attempt: Attempt, outcome: Outcome) -> None:
        """Sends a server's answer to the limiter."""
        self.after(self._one_way_delay(attempt.request.limiter, attempt.box), self._ended, attempt, outcome)

    def _ended(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.over:
            return
        attempt.over = True
        request = attempt.request
        if outcome is Outcome.OK:
            self._finish(request, "served" if self.now - request.arrived <= LATENCY_OBJECTIVE_MS else "late")
        duration_ms = self.now - attempt.sent_at
        event = api.AttemptEnded(request.name, attempt.number, attempt.box.uid, outcome, duration_ms, request.answered)
        self.handle(request.limiter, event)
        if request.answered and all(sent.over for sent in request.attempts):
            self.requests.pop(request.name, None)

    def _deadline_passed(self, request: Request) -> None:
        if not request.answered:
            self._finish(request, "unanswered")
            self.handle(request.limiter, api.ClientDisconnected(request.name))

    def _finish(self, request: Request, outcome: str) -> None:
        """Records the outcome of a request; a limiter must not answer a request twice."""
        if request.answered:
            if outcome in ("served", "late"):
                return  # the answer of another attempt has arrived earlier
            raise AssertionError(f"{request.name} was answered twice: now {outcome}")
        request.answered = True
        if request.arrived >= self.count_from:
            self.outcomes[outcome] += 1
            if outcome in ("served", "late"):
                self.took.append(self.now - request.arrived)

    # Figures

    def quantile(self, share: float) -> float:
        """Returns a quantile of the latencies in ms, or 0 if no request was served."""
        latencies = sorted(self.took)
        return latencies[min(len(latencies) - 1, int(share * len(latencies)))] if latencies else 0.0

    def served(self) -> float:
        """Returns the share of requests served within the latency objective."""
        return self.outcomes["served"] / max(1, sum(self.outcomes.values()))

    def cold_excess(self) -> float:
        """Returns how far the rule for the warm-up was used up at worst.

        This is the greatest ratio of the requests sent to a cold server within the window of the rule to the requests
        that the rule allows, which follow from the capacity of a warm server.
        """
        worst = 0.0
        capacity_per_s = self.size.slots / self.size.work * 1000.0
        for server in self.boxes.values():
            sends = server.cold_sends
            first = 0
            for last, at in enumerate(sends):
                while at - sends[first] > RULES.overload_window_ms:
                    first += 1
                age = sends[first] - server.started_at
                share = (
                    RULES.warm_up_initial_fraction
                    + (1.0 - RULES.warm_up_initial_fraction) * max(0.0, age) / RULES.warm_up_ms
                )
                allowed = (
                    capacity_per_s * server.speed * share * RULES.overload_multiple * RULES.overload_window_ms / 1000.0
                )
                worst = max(worst, (last - first + 1) / allowed)
        return worst
