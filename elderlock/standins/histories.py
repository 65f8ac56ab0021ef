"""Histories of events for a group of limiters, from a seed: a small closed world that answers their actions, and a
digest of all that was said. The same decisions give the same history, so one figure tells whether they changed.

No sockets and no clock: a heap of what is due. Boxes turn slow, err, refuse, fall silent, restart and go; lists
come in parts and whole; messages between limiters are late or lost; clients go away and come in rushes.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, is_dataclass, replace
from enum import Enum
from typing import Any, Protocol

from elderlock import interface as api
from elderlock.interface import ListKind, Outcome, ServerState
from elderlock.settings_reader import read_settings
from elderlock.standins.settings import group_settings

HEALTHS = ("good", "good", "slow", "errs", "full", "silent", "refuses", "resets")
MOODS = ("calm", "busy", "rush")
RATES = {"calm": 20.0, "busy": 90.0, "rush": 300.0}  # requests a second at each limiter
WORK = 60.0  # ms, mean of a box that has nothing else to do


class Decides(Protocol):
    def start(self, now_ms: float) -> list[api.Action]: ...

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]: ...


Make = Callable[[api.Settings, int, float], Decides]


# Digests were recorded over the messages' text under these names; a rename of a type or a field adds a line here.
RECORDED_TYPE_NAMES: dict[type, str] = {
    api.AddToCounter: "Tally",
    api.CancelAttempt: "Cancel",
    api.ClientDisconnected: "ClientGone",
    api.FetchServerList: "FetchList",
    api.HealthCheckEnded: "ProbeEnded",
    api.PermitRequested: "PermissionAsked",
    api.Reject: "Refuse",
    api.SendAttempt: "Send",
    api.SendPeerMessage: "TellPeer",
    api.TimerFired: "TimerDue",
}
RECORDED_FIELD_NAMES: dict[str, str] = {
    "attempt_index": "attempt",
    "counter_name": "name",
    "customer_id": "customer",
    "deadline_ms": "give_up_at",
    "delay_ms": "wait",
    "duration_ms": "took",
    "first_limiter": "first",
    "is_answered": "answered",
    "lifetime_ms": "life",
    "limiter_count": "spread",
    "payload": "data",
    "receiver_index": "receiver",
    "request_id": "request",
    "retry_after_ms": "retry_after",
    "sender_index": "sender",
    "server_id": "server",
    "settled_units": "true_units",
    "started_at_ms": "started_at",
    "timeout_ms": "timeout",
}
RECORDED_MEMBER_NAMES: dict[Enum, str] = {
    ListKind.COMPLETE: "ALL",
    ListKind.CACHED: "REMEMBERED",
    Outcome.NOT_FORWARDED: "MOOT",
    ServerState.REMOVED: "GONE",
}


def recorded_text(value: Any) -> str:
    """The `repr` of a message, or of a list of them, under the names of the time when the digests were recorded.

    A digest therefore changes with a decision and not with a rename.
    """
    if isinstance(value, Enum):
        member = RECORDED_MEMBER_NAMES.get(value, value.name)
        return f"<{type(value).__name__}.{member}: {value.value!r}>"
    if isinstance(value, list):
        return f"[{', '.join(recorded_text(each) for each in value)}]"
    if isinstance(value, tuple):
        return f"({', '.join(recorded_text(each) for each in value)}{',' * (len(value) == 1)})"
    if not is_dataclass(value):
        return repr(value)
    name = RECORDED_TYPE_NAMES.get(type(value), type(value).__qualname__)
    shown = (
        f"{_recorded_field(value, each.name)}={recorded_text(getattr(value, each.name))}" for each in fields(value)
    )
    return f"{name}({', '.join(shown)})"


def _recorded_field(message: Any, name: str) -> str:
    if isinstance(message, api.CounterAnswered) and name == "token":
        return "name"
    return RECORDED_FIELD_NAMES.get(name, name)


@dataclass(slots=True)
class _Box:
    uid: str
    zone: int
    kind: int
    health: str = "good"
    state: ServerState = ServerState.RUNNING
    started_at: float = 0.0
    out: int = 0

    def entry(self) -> api.ServerEntry:
        return api.ServerEntry(self.uid, self.zone, self.kind, self.zone, self.state, 1.0 + self.kind, self.started_at)


@dataclass(slots=True)
class _Request:
    limiter: int
    answered: bool = False
    attempts: dict[int, bool] = field(default_factory=dict)  # whether each is over
    permitted: bool = False


def settings(rng: random.Random, number: int, limiters: int) -> api.Settings:
    """Of one limiter; what is drawn must be alike for all of a group, so `rng` is seeded alike for each."""
    raw: dict[str, Any] = group_settings(number, limiters)
    raw["services"] = [
        {"name": "lookup", "goal-time": 300.0, "effect": "free", "credit": 1.0},
        {
            "name": "book",
            "goal-time": 500.0,
            "effect": "guarded",
            "dedup-scope": rng.choice(["all", "zone", "cell"]),
            "memory-span": 4000.0,
            "credit": 3.0,
            "late-worth": 0.5,
        },
        {"name": "pay", "goal-time": 600.0, "effect": "single_shot", "credit": 5.0},
    ]
    raw["plans"] = [
        {"name": "shop", "price": 0.8, "quota-rate": 30.0, "burst": 60.0},
        {
            "name": "enterprise",
            "price": 1.8,
            "quota-rate": 20.0,
            "burst": 40.0,
            "hard-rate": 22.0,
            "never-over-depth": 44.0,
            "hard-slack": 8.0,
        },
        {"name": "few", "price": 1.2, "quota-rate": 2.0, "burst": 5.0, "parallel": 3},
        {"name": "over", "price": 0.5, "quota-rate": 10.0, "burst": 15.0, "beyond-earns": 0.4, "beyond-costs": 0.1},
    ]
    raw["policy-limits"].update({"retry-after": rng.random() < 0.7, "max-retry-after": 1000.0, "peers": limiters > 1})
    raw["family-info"] = {
        "peer-intake": rng.choice([20.0, 100.0]),
        "largest": 4,
        "metering": rng.choice([0, 0, 1000.0]),
        "cost-after": rng.random() < 0.3,
    }
    raw["membership-mode"] = rng.choice(["automatic", "subscribe"])
    raw["rules"]["ask-every"] = 2000.0
    routing = api.Routing(subset_size=rng.choice([0, 5, 30]), cross_zone_penalty=rng.choice([0.0, 0.0, 0.2]))
    return replace(read_settings(raw), routing=routing)


class History:
    """Plays until so many events have been handled; `digest` is of all of them with their actions."""

    def __init__(self, seed: int, make: Make, limiters: int = 3, boxes: int = 12) -> None:
        self.rng = random.Random(f"history/{seed}")
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self.now = 1_000_000.0
        self.events = 0
        self._hash = hashlib.sha256()
        self.boxes = {f"s-{n}": _Box(f"s-{n}", n % 3, n % 2) for n in range(boxes)}
        self._fresh = boxes
        self.requests: dict[str, _Request] = {}
        self.count = limiters
        self.settings = [settings(random.Random(f"settings/{seed}"), n, limiters) for n in range(limiters)]
        self.limiters = [make(self.settings[n], seed * 100 + n, self.now) for n in range(limiters)]
        self.customers = [f"{self.rng.randrange(1 << 33):016x}" for _ in range(60)]
        self.mood = "calm"
        self.version = 0
        for number, limiter in enumerate(self.limiters):
            self._act(number, limiter.start(self.now))
            self._tell(number, ListKind.COMPLETE)
            self._after(self.rng.expovariate(1.0), lambda number=number: self._arrive(number))  # type: ignore[misc]
        self._after(500.0, self._trouble)

    def _after(self, wait: float, do: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._due, (self.now + wait, self._number, do))

    def play(self, events: int) -> str:
        while self.events < events:
            self.now, _, do = heapq.heappop(self._due)
            do()
        return self._hash.hexdigest()[:24]

    def _handle(self, number: int, event: api.Event) -> None:
        self.events += 1
        actions = self.limiters[number].handle(event, self.now)
        line = f"{number} {self.now!r} {recorded_text(event)} {recorded_text(actions)}\n"
        self._hash.update(line.encode())
        self._act(number, actions)

    # What the limiters do

    def _act(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SetTimer(wait, token):
                    self._after(wait, lambda token=token: self._handle(number, api.TimerFired(token)))  # type: ignore[misc]
                case api.SendAttempt(name, server, timeout):
                    self._sent(number, name, server, timeout)
                case api.Permit(name, server, timeout):
                    self.requests[name].answered = self.requests[name].permitted = True
                    self._sent(number, name, server, timeout)
                case api.Reject(name) | api.Fail(name):
                    self._answered(name)
                case api.CancelAttempt(name, attempt):
                    self._ended(number, name, attempt, "", Outcome.CANCELLED, 0.0)
                case api.SendPeerMessage(receiver, data):
                    if self.rng.random() < 0.95 and receiver != number:
                        wait = self.rng.uniform(1.0, 25.0)
                        told = api.PeerMessage(number, data)
                        self._after(wait, lambda receiver=receiver, told=told: self._handle(receiver, told))  # type: ignore[misc]
                case api.FetchServerList():
                    self._after(5.0, lambda: self._tell(number, ListKind.COMPLETE))
                case _:
                    pass

    def _sent(self, number: int, name: str, server: str, timeout: float) -> None:
        request, box, rng = self.requests[name], self.boxes.get(server), self.rng
        attempt = len(request.attempts)
        request.attempts[attempt] = False
        limit = timeout or 3000.0
        took, outcome = rng.expovariate(1.0) * WORK, Outcome.OK
        if box is None or box.state is ServerState.REMOVED or box.health == "refuses":
            took, outcome = rng.uniform(0.1, 3.0), Outcome.CONNECT_FAILED
        else:
            box.out += 1
            took *= 1.0 + box.out / 3.0
            match box.health:
                case "slow":
                    took *= 8.0
                case "errs" if rng.random() < 0.6:
                    outcome = Outcome.ERROR
                case "full" if rng.random() < 0.7:
                    took, outcome = 1.0, Outcome.FULL
                case "silent":
                    took = limit + 1.0
                case "resets" if rng.random() < 0.5:
                    outcome = Outcome.RESET
        if request.permitted and rng.random() < 0.1:
            outcome = Outcome.NOT_FORWARDED
        if took >= limit:
            took, outcome = limit, Outcome.TIMEOUT
        self._after(took, lambda: self._ended(number, name, attempt, server, outcome, took))

    def _ended(self, number: int, name: str, attempt: int, server: str, outcome: Outcome, took: float) -> None:
        request = self.requests.get(name)
        if request is None or request.attempts.get(attempt, True):
            return
        request.attempts[attempt] = True
        if (box := self.boxes.get(server)) is not None:
            box.out = max(0, box.out - 1)
        if outcome is Outcome.OK:
            request.answered = True
        meter = self.rng.randrange(0, 200) if self.settings[0].quota_sources.meter_period_ms else 0
        units = float(self.rng.randrange(0, 4)) if self.settings[0].quota_sources.is_cost_known_at_end else 0.0
        self._handle(number, api.AttemptEnded(name, attempt, server, outcome, took, request.answered, meter, units))
        self._forget(name)

    def _answered(self, name: str) -> None:
        self.requests[name].answered = True
        self._forget(name)

    def _forget(self, name: str) -> None:
        request = self.requests.get(name)
        if request is not None and request.answered and all(request.attempts.values()):
            del self.requests[name]

    # What comes from outside

    def _arrive(self, number: int) -> None:
        rng = self.rng
        self._after(rng.expovariate(RATES[self.mood]) * 1000.0, lambda: self._arrive(number))
        index = min(int(rng.paretovariate(0.5)) - 1, len(self.customers) - 1)
        self._number += 1
        name, kinds = f"r{self._number}", self.settings[number]
        spread = 1 + index % self.count
        kind = api.PermitRequested if rng.random() < 0.05 else api.RequestArrived
        event = kind(
            request_id=name,
            class_index=rng.choice([0, 0, 0, 1, 2]),
            plan_index=index % len(kinds.plans),
            customer_id=self.customers[index],
            units=float(rng.choice([1, 1, 1, 2, 4])),
            deadline_ms=self.now + rng.uniform(300.0, 1500.0),
            limiter_count=spread,
            first_limiter=index % self.count,
        )
        self.requests[name] = _Request(number)
        self._handle(number, event)
        if name in self.requests and rng.random() < 0.02:
            self._after(rng.uniform(1.0, 400.0), lambda: self._gone(number, name))
        if name in self.requests:
            self._after(event.deadline_ms - self.now, lambda: self._gone(number, name))

    def _gone(self, number: int, name: str) -> None:
        request = self.requests.get(name)
        if request is not None and not request.answered:
            request.answered = True
            self._handle(number, api.ClientDisconnected(name))
            self._forget(name)

    def _trouble(self) -> None:
        rng = self.rng
        self._after(rng.uniform(200.0, 1500.0), self._trouble)
        if rng.random() < 0.25:
            self.mood = rng.choice(MOODS)
        box = self.boxes[rng.choice(sorted(self.boxes))]
        match rng.randrange(8):
            case 0:
                box.state = rng.choice([ServerState.DRAINING, ServerState.RUNNING])
            case 1:
                box.started_at, box.health = self.now, "good"
            case 2 if len(self.boxes) > 4:
                box.state = ServerState.REMOVED
                self._tell_all(ListKind.CHANGES, box)
                del self.boxes[box.uid]
                return
            case 3:
                self._fresh += 1
                uid = f"s-{self._fresh}"
                box = self.boxes[uid] = _Box(uid, rng.randrange(3), rng.randrange(2), started_at=self.now)
            case 4:
                return self._tell_all(ListKind.COMPLETE, box)
            case _:
                box.health = rng.choice(HEALTHS)
                return
        self._tell_all(ListKind.CHANGES, box)

    def _tell_all(self, kind: ListKind, box: _Box) -> None:
        self.version += 1
        for number in range(self.count):
            entries = (box.entry(),) if kind is ListKind.CHANGES else tuple(b.entry() for b in self.boxes.values())
            told = api.ServerList(self.version, kind, entries)
            self._after(self.rng.uniform(0.0, 300.0), lambda number=number, told=told: self._handle(number, told))  # type: ignore[misc]

    def _tell(self, number: int, kind: ListKind) -> None:
        self._handle(number, api.ServerList(self.version, kind, tuple(b.entry() for b in self.boxes.values())))


def digests(make: Make, events: int, seeds: Iterator[int]) -> Iterator[tuple[int, str]]:
    """Each seed with a number of limiters of its own: one, two, three or five."""
    for seed in seeds:
        yield seed, History(seed, make, limiters=(1, 2, 3, 5)[seed % 4], boxes=(3, 12, 90)[seed % 3]).play(events)
