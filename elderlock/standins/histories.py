"""Generates event histories for a group of limiters from a seed and computes a digest of all events and actions.

A small simulation answers the actions of the limiters. The same decisions give the same history, so the digest shows
whether decisions have changed.

There are no sockets and no clock, only a heap of scheduled calls. Servers become slow, return errors, refuse
connections, fall silent, restart and are removed. Endpoint lists are complete or hold changes only. Messages between
limiters are late or lost. Clients disconnect, and the request rate changes.
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
RATES = {"calm": 20.0, "busy": 90.0, "rush": 300.0}  # requests per second at each limiter
MEAN_WORK_MS = 60.0  # of a request on an idle server


class DecisionMaker(Protocol):
    """The decisions of one limiter."""

    def start(self, now_ms: float) -> list[api.Action]:
        """Returns the actions at the start."""
        ...

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Returns the actions that an event causes."""
        ...


Make = Callable[[api.Settings, int, float], DecisionMaker]


# Digests were recorded over the text of messages with these names. A rename of a type or a field adds a line here.
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
    """Returns the `repr` of a message or a list of messages, with the names at the time when digests were recorded.

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
    field_texts = (
        f"{_recorded_field(value, each.name)}={recorded_text(getattr(value, each.name))}" for each in fields(value)
    )
    return f"{name}({', '.join(field_texts)})"


def _recorded_field(message: Any, name: str) -> str:
    if isinstance(message, api.CounterAnswered) and name == "token":
        return "name"
    return RECORDED_FIELD_NAMES.get(name, name)


@dataclass(slots=True)
class _Server:
    uid: str
    zone: int
    kind: int
    health: str = "good"
    state: ServerState = ServerState.RUNNING
    started_at: float = 0.0
    in_flight: int = 0

    def entry(self) -> api.ServerEntry:
        return api.ServerEntry(self.uid, self.zone, self.kind, self.zone, self.state, 1.0 + self.kind, self.started_at)


@dataclass(slots=True)
class _Request:
    limiter: int
    answered: bool = False
    attempts: dict[int, bool] = field(default_factory=dict)  # whether each attempt has ended
    permitted: bool = False


def settings(rng: random.Random, number: int, limiters: int) -> api.Settings:
    """Returns the settings of one limiter.

    Args:
        rng: Random numbers, with the same seed for all limiters of a group because their settings have to agree.
        number: The limiter's number.
        limiters: The number of limiters.
    """
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
    """A simulation of one group of limiters.

    Attributes:
        rng: The random numbers of the history.
        now: The simulated time in ms.
        events: The number of events handled so far.
        boxes: The servers by id.
        requests: The open requests by id.
        count: The number of limiters.
        settings: The settings of each limiter.
        limiters: The limiters.
        customers: The ids of all customers.
        mood: The load level, a key of `RATES`.
        version: The version of the endpoint list.
    """

    def __init__(self, seed: int, make: Make, limiters: int = 3, boxes: int = 12) -> None:
        self.rng = random.Random(f"history/{seed}")
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self.now = 1_000_000.0
        self.events = 0
        self._hash = hashlib.sha256()
        self.boxes = {f"s-{index}": _Server(f"s-{index}", index % 3, index % 2) for index in range(boxes)}
        self._last_server_number = boxes
        self.requests: dict[str, _Request] = {}
        self.count = limiters
        self.settings = [settings(random.Random(f"settings/{seed}"), number, limiters) for number in range(limiters)]
        self.limiters = [make(self.settings[number], seed * 100 + number, self.now) for number in range(limiters)]
        self.customers = [f"{self.rng.randrange(1 << 33):016x}" for _ in range(60)]
        self.mood = "calm"
        self.version = 0
        for number, limiter in enumerate(self.limiters):
            self._act(number, limiter.start(self.now))
            self._send_list(number, ListKind.COMPLETE)
            self._after(self.rng.expovariate(1.0), lambda number=number: self._arrive(number))  # type: ignore[misc]
        self._after(500.0, self._inject_fault)

    def _after(self, wait: float, do: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._due, (self.now + wait, self._number, do))

    def play(self, events: int) -> str:
        """Runs until `events` events have been handled and returns the digest of all events and their actions."""
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

    # Actions of the limiters

    def _act(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SetTimer(wait, token):
                    self._after(wait, lambda token=token: self._handle(number, api.TimerFired(token)))  # type: ignore[misc]
                case api.SendAttempt(name, server, timeout):
                    self._send(number, name, server, timeout)
                case api.Permit(name, server, timeout):
                    self.requests[name].answered = self.requests[name].permitted = True
                    self._send(number, name, server, timeout)
                case api.Reject(name) | api.Fail(name):
                    self._answered(name)
                case api.CancelAttempt(name, attempt):
                    self._ended(number, name, attempt, "", Outcome.CANCELLED, 0.0)
                case api.SendPeerMessage(receiver, data):
                    if self.rng.random() < 0.95 and receiver != number:
                        wait = self.rng.uniform(1.0, 25.0)
                        message = api.PeerMessage(number, data)
                        self._after(wait, lambda receiver=receiver, message=message: self._handle(receiver, message))  # type: ignore[misc]
                case api.FetchServerList():
                    self._after(5.0, lambda: self._send_list(number, ListKind.COMPLETE))
                case _:
                    pass

    def _send(self, number: int, name: str, uid: str, timeout: float) -> None:
        request, server, rng = self.requests[name], self.boxes.get(uid), self.rng
        attempt = len(request.attempts)
        request.attempts[attempt] = False
        timeout_ms = timeout or 3000.0
        duration_ms, outcome = rng.expovariate(1.0) * MEAN_WORK_MS, Outcome.OK
        if server is None or server.state is ServerState.REMOVED or server.health == "refuses":
            duration_ms, outcome = rng.uniform(0.1, 3.0), Outcome.CONNECT_FAILED
        else:
            server.in_flight += 1
            duration_ms *= 1.0 + server.in_flight / 3.0
            match server.health:
                case "slow":
                    duration_ms *= 8.0
                case "errs" if rng.random() < 0.6:
                    outcome = Outcome.ERROR
                case "full" if rng.random() < 0.7:
                    duration_ms, outcome = 1.0, Outcome.FULL
                case "silent":
                    duration_ms = timeout_ms + 1.0
                case "resets" if rng.random() < 0.5:
                    outcome = Outcome.RESET
        if request.permitted and rng.random() < 0.1:
            outcome = Outcome.NOT_FORWARDED
        if duration_ms >= timeout_ms:
            duration_ms, outcome = timeout_ms, Outcome.TIMEOUT
        self._after(duration_ms, lambda: self._ended(number, name, attempt, uid, outcome, duration_ms))

    def _ended(self, number: int, name: str, attempt: int, uid: str, outcome: Outcome, duration_ms: float) -> None:
        request = self.requests.get(name)
        if request is None or request.attempts.get(attempt, True):
            return
        request.attempts[attempt] = True
        if (server := self.boxes.get(uid)) is not None:
            server.in_flight = max(0, server.in_flight - 1)
        if outcome is Outcome.OK:
            request.answered = True
        meter_reading = self.rng.randrange(0, 200) if self.settings[0].quota_sources.meter_period_ms else 0
        units = float(self.rng.randrange(0, 4)) if self.settings[0].quota_sources.is_cost_known_at_end else 0.0
        is_answered = request.answered
        event = api.AttemptEnded(name, attempt, uid, outcome, duration_ms, is_answered, meter_reading, units)
        self._handle(number, event)
        self._forget(name)

    def _answered(self, name: str) -> None:
        self.requests[name].answered = True
        self._forget(name)

    def _forget(self, name: str) -> None:
        request = self.requests.get(name)
        if request is not None and request.answered and all(request.attempts.values()):
            del self.requests[name]

    # External events

    def _arrive(self, number: int) -> None:
        rng = self.rng
        self._after(rng.expovariate(RATES[self.mood]) * 1000.0, lambda: self._arrive(number))
        index = min(int(rng.paretovariate(0.5)) - 1, len(self.customers) - 1)
        self._number += 1
        name, settings_of_limiter = f"r{self._number}", self.settings[number]
        spread = 1 + index % self.count
        event_type = api.PermitRequested if rng.random() < 0.05 else api.RequestArrived
        event = event_type(
            request_id=name,
            class_index=rng.choice([0, 0, 0, 1, 2]),
            plan_index=index % len(settings_of_limiter.plans),
            customer_id=self.customers[index],
            units=float(rng.choice([1, 1, 1, 2, 4])),
            deadline_ms=self.now + rng.uniform(300.0, 1500.0),
            limiter_count=spread,
            first_limiter=index % self.count,
        )
        self.requests[name] = _Request(number)
        self._handle(number, event)
        if name in self.requests and rng.random() < 0.02:
            self._after(rng.uniform(1.0, 400.0), lambda: self._client_disconnected(number, name))
        if name in self.requests:
            self._after(event.deadline_ms - self.now, lambda: self._client_disconnected(number, name))

    def _client_disconnected(self, number: int, name: str) -> None:
        request = self.requests.get(name)
        if request is not None and not request.answered:
            request.answered = True
            self._handle(number, api.ClientDisconnected(name))
            self._forget(name)

    def _inject_fault(self) -> None:
        rng = self.rng
        self._after(rng.uniform(200.0, 1500.0), self._inject_fault)
        if rng.random() < 0.25:
            self.mood = rng.choice(MOODS)
        server = self.boxes[rng.choice(sorted(self.boxes))]
        match rng.randrange(8):
            case 0:
                server.state = rng.choice([ServerState.DRAINING, ServerState.RUNNING])
            case 1:
                server.started_at, server.health = self.now, "good"
            case 2 if len(self.boxes) > 4:
                server.state = ServerState.REMOVED
                self._send_list_to_all(ListKind.CHANGES, server)
                del self.boxes[server.uid]
                return
            case 3:
                self._last_server_number += 1
                uid = f"s-{self._last_server_number}"
                server = self.boxes[uid] = _Server(uid, rng.randrange(3), rng.randrange(2), started_at=self.now)
            case 4:
                return self._send_list_to_all(ListKind.COMPLETE, server)
            case _:
                server.health = rng.choice(HEALTHS)
                return
        self._send_list_to_all(ListKind.CHANGES, server)

    def _send_list_to_all(self, kind: ListKind, changed: _Server) -> None:
        self.version += 1
        for number in range(self.count):
            listed = (changed,) if kind is ListKind.CHANGES else tuple(self.boxes.values())
            event = api.ServerList(self.version, kind, tuple(server.entry() for server in listed))
            self._after(self.rng.uniform(0.0, 300.0), lambda number=number, event=event: self._handle(number, event))  # type: ignore[misc]

    def _send_list(self, number: int, kind: ListKind) -> None:
        entries = tuple(server.entry() for server in self.boxes.values())
        self._handle(number, api.ServerList(self.version, kind, entries))


def digests(make: Make, events: int, seeds: Iterator[int]) -> Iterator[tuple[int, str]]:
    """Computes the digests of several histories with 1, 2, 3 or 5 limiters, depending on the seed.

    Yields:
        Each seed with the digest of its history.
    """
    for seed in seeds:
        yield seed, History(seed, make, limiters=(1, 2, 3, 5)[seed % 4], boxes=(3, 12, 90)[seed % 3]).play(events)
