"""Limiters, boxes and what stands between them on the decisions' floor: the modules that ship, without sockets.

A node does what the gateway does (clock, timers, open requests, the one answer), on the schedule of a simulation.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from elderlock import interface as api
from elderlock.control.drain_overlay import DrainOverlay
from elderlock.control.records import Record, Records
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.gossip.options import limiter_class
from elderlock.interface import ListKind, Outcome, ServerState
from elderlock.load.schedule import Arrival
from elderlock.net.endpoint_list import EndpointList, ListedServer
from elderlock.net.gateway import DEADLINE_MARGIN_MS
from elderlock.net.server_pool import CONNECT_OBJECTIVE_FRACTION, IDLE_KEEPALIVE_FRACTION
from elderlock.quota.counted_quotas import CountedCoordinator
from elderlock.quota.counter_parameters import CounterParameters
from elderlock.quota.options import heartbeat_ms
from elderlock.sim.virtual.processes import Machine
from elderlock.standins.model import ServerModel, Word, Work

if TYPE_CHECKING:
    from elderlock.sim.decisions import DecisionWorld

OUTCOMES = {Word.OK: Outcome.OK, Word.ERROR: Outcome.ERROR, Word.BUSY: Outcome.FULL}


@dataclass(slots=True, eq=False)
class Ask:
    """A client's request through all its tries."""

    number: int
    arrival: Arrival
    began: float
    tries: int = 0
    over: bool = False
    reason: str = ""
    at: Node | None = None  # who has it now


@dataclass(slots=True, eq=False)
class Try:
    """One attempt at a box."""

    open: Open
    number: int
    box: SimBox | None
    sent_at: float
    over: bool = False
    arrived: bool = False
    work: Work | None = None


@dataclass(slots=True, eq=False)
class Open:
    """A request as a limiter holds it."""

    name: str  # ours
    ask: Ask
    tag: str  # the client's id of this try
    arrived: float
    answered: bool = False
    tries: list[Try] = field(default_factory=list)
    out: int = 0


class SimBox:
    """A box with its machine; `accepts` is false where nothing listens."""

    def __init__(
        self, world: DecisionWorld, uid: str, machine: Machine, kind: int, model: ServerModel, cell: int
    ) -> None:
        self.world, self.uid, self.machine, self.kind, self.model, self.cell = world, uid, machine, kind, model, cell
        self.state = ServerState.RUNNING
        self.gone = False
        self._entry: api.ServerEntry | None = None

    def entry(self) -> api.ServerEntry:
        """Shared by all who hear it."""
        shape, started = self.model.shape, self.model.started_at
        found = self._entry
        if found is None or found.state is not self.state or found.started_at_ms != started:
            self._entry = found = api.ServerEntry(
                self.uid,
                self.world.floor_number(self.machine),
                self.kind,
                self.cell,
                self.state,
                shape.cores * shape.speed,
                started,
            )
        return found


class Node:
    """One limiter's process, or the next one under its name. Invariant: a request has one answer; events reach the
    module one at a time, in the order in which they happened."""

    def __init__(self, world: DecisionWorld, number: int, machine: Machine, seed: int) -> None:
        self.world, self.number, self.machine = world, number, machine
        self.name = f"n{number}"
        self.alive = True
        self.paused = False
        self.drained = False
        self._held: list[api.Event] = []
        self.requests: dict[str, Open] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._number = 0
        self.idle: dict[str, list[float]] = {}  # when connections that stand were used last
        self.connections = 0
        source: type[QuotaCoordinator] = QuotaCoordinator
        if world.scenario.settings.counter:
            terms = CounterParameters(heartbeat_ms=heartbeat_ms(world.scenario.limiters))
            source = type("Counted", (CountedCoordinator,), {"parameters": terms})
        settings = world.settings(number)
        wanted, peers = world.scenario.settings, settings.capabilities.can_message_peers
        kind = limiter_class(wanted.shared and peers, wanted.shared_ceilings and peers and not wanted.counter)
        self.limiter = kind(settings, seed, self.now(), source)
        self.overlay = DrainOverlay() if world.scenario.agents else None
        self.records: Records = Records()
        self.version = 0

    def now(self) -> float:
        """ms of Unix time by its clock, which is read at the start and goes on evenly."""
        return self.world.schedule.time + self.machine.offset

    def start(self) -> None:
        self._act(self.limiter.start(self.now()))

    def kill(self) -> None:
        """Nothing more comes from it; what it had out runs on at the boxes."""
        self.alive = False
        for held in self.requests.values():
            for each in held.tries:
                each.over = True
        for held in list(self.requests.values()):
            if not held.answered:
                self.world.broken_off(held)
        self.requests.clear()

    # Events

    def happened(self, event: api.Event) -> None:
        if not self.alive:
            return
        if self.paused:
            self._held.append(event)
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self.limiter.handle(event, self.now())
                except Exception as error:  # as the gateway has it: the other requests go on
                    self.world.bench.failure(self.world.at(), self.name, f"on {type(event).__name__}: {error!r}")
                    continue
                self._act(actions)
        finally:
            self._handling = False

    def resume(self) -> None:
        self.paused = False
        held, self._held = self._held, []
        for event in held:
            self.happened(event)

    def listed(self, kind: ListKind, entries: tuple[api.ServerEntry, ...]) -> None:
        if not self.alive:
            return
        self.version += 1
        if self.overlay is not None:
            targets = tuple(ListedServer(entry, ("", 0)) for entry in entries)
            over = self.overlay.apply_to(EndpointList(self.version, kind is ListKind.COMPLETE, targets))
            entries = tuple(target.entry for target in over.servers)
        self.world.heard(self, kind, entries)
        self.happened(api.ServerList(self.version, kind, entries))

    def apply(self, records: list[Record]) -> None:
        """What its agent brings it."""
        if not self.alive or self.paused or self.overlay is None:
            return
        self.records.merge(records)
        drained = self.records.drained_targets("box")
        changes = self.overlay.set_drained(drained)
        mine = self.records.get("limiter", self.name)
        self.drained = mine is not None and mine.is_drained
        if changes.servers:
            entries = tuple(target.entry for target in changes.servers)
            self.world.heard(self, ListKind.CHANGES, entries)
            self.happened(api.ServerList(self.version, ListKind.CHANGES, entries))

    def arrived(self, ask: Ask, tag: str, left: float) -> None:
        """A client's command has come; its patience ends in `left` ms."""
        world, arrival = self.world, ask.arrival
        if not self.alive:
            return world.crossed(ask, tag)
        self._number += 1
        name = f"r{self._number}"
        held = self.requests[name] = Open(name, ask, tag, self.now())
        plan, service = world.plans[arrival.plan], world.services[arrival.class_name]
        wait = max(left - DEADLINE_MARGIN_MS, left / 2.0)
        world.schedule.after(wait, self._overdue, held)
        world.bench.asked(
            world.at(), tag, self.name, world.at() + left, arrival.account, world.scenario.service[service].effect
        )
        self.happened(
            api.RequestArrived(
                name, service, plan, arrival.account, arrival.units, self.now() + wait, arrival.spread, arrival.first
            )
        )

    def _overdue(self, held: Open) -> None:
        if self.alive and not held.answered:
            if self.paused:
                self.world.schedule.after(10.0, self._overdue, held)
                return
            self._answer(held, "failed")
            self.happened(api.ClientDisconnected(held.name))

    def gone(self, held: Open) -> None:
        """Its client has gone away."""
        if self.alive and not held.answered:
            held.answered = True
            self.world.bench.excused(self.world.at(), held.tag, "its client went away")
            self._forget(held)
            self.happened(api.ClientDisconnected(held.name))

    # Actions

    def _act(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SetTimer(wait, token):
                    self.world.schedule.after(wait, self.happened, api.TimerFired(token))
                case api.SendAttempt(name, server, timeout):
                    self._send(self.requests.get(name), server, timeout)
                case api.Reject(name, advice):
                    self._final(name, "refused", advice)
                case api.Fail(name):
                    self._final(name, "failed", 0.0)
                case api.CancelAttempt(name, number):
                    held = self.requests.get(name)
                    if held is not None and number < len(held.tries):
                        self._ended(held.tries[number], Outcome.CANCELLED)
                case api.SendPeerMessage(receiver, data):
                    self.world.tell_peer(self, receiver, data)
                case api.AddToCounter(token, name, amount, life):
                    self.world.counter.call(self, token, name, amount, life)
                case _:
                    pass

    def _final(self, name: str, word: str, advice: float) -> None:
        held = self.requests.get(name)
        if held is not None:
            if held.answered:  # the gateway would drop it; that it was said is the module's fault
                return self.world.bench.failure(self.world.at(), self.name, f"a second final answer for {held.tag}")
            self._answer(held, word, advice)

    def _answer(self, held: Open, word: str, advice: float = 0.0) -> None:
        held.answered = True
        self.world.answer(self, held, word, advice)
        self._forget(held)

    def _forget(self, held: Open) -> None:
        if held.answered and held.out == 0:
            self.requests.pop(held.name, None)

    def _send(self, held: Open | None, uid: str, timeout: float) -> None:
        world, schedule = self.world, self.world.schedule
        if held is None or held.answered:
            return
        box = world.boxes.get(uid)
        each = Try(held, len(held.tries), box, schedule.time)
        held.tries.append(each)
        held.out += 1
        world.let_go(self, each, uid)
        if box is None or world.refuses(box):
            schedule.after(0.5, self._ended, each, Outcome.CONNECT_FAILED)
            return
        there = world.ways.delay(self.machine, box.machine)
        cut = world.ways.cut(self.machine, box.machine) or world.ways.cut(box.machine, self.machine)
        if not self._connected(uid):
            dial = world.scenario.service[0].aim_ms * CONNECT_OBJECTIVE_FRACTION
            if cut or box.model.silent:
                schedule.after(min(dial, timeout), self._ended, each, Outcome.CONNECT_FAILED)
                return
            there += world.ways.delay(self.machine, box.machine) + world.ways.delay(box.machine, self.machine)
            self.connections += 1
        schedule.after(timeout, self._ended, each, Outcome.TIMEOUT)
        if not cut:
            schedule.after(there, self._come, each, box)

    def _connected(self, uid: str) -> bool:
        """Whether a connection stands that may be used; the one used last, as the pools have it."""
        idle = self.idle.get(uid)
        least = self.world.schedule.time - IDLE_KEEPALIVE_FRACTION * self.world.scenario.settings.keepalive_ms
        while idle:
            if idle.pop() >= least:
                return True
            self.connections -= 1 + len(idle)
            idle.clear()
        return False

    def _come(self, each: Try, box: SimBox) -> None:
        """Its last byte is at the box."""
        if box.gone:
            return self._ended(each, Outcome.RESET)
        each.arrived = True
        self.world.bench.ran(self.world.at(), box.uid, each.open.tag)
        each.work = box.model.offer(self._done, each)

    def _done(self, word: Word, work: Work) -> None:
        each = work.keep
        assert isinstance(each, Try) and each.box is not None
        world, machine = self.world, each.box.machine
        if each.over or world.ways.cut(machine, self.machine):
            return
        world.schedule.after(world.ways.delay(machine, self.machine), self._ended, each, OUTCOMES[word])

    def broke(self, each: Try) -> None:
        """Its box ended under it."""
        self._ended(each, Outcome.RESET if each.arrived else Outcome.CONNECT_FAILED)

    def _ended(self, each: Try, outcome: Outcome) -> None:
        if each.over or not self.alive:
            return
        if self.paused:  # the kernel has it; the program comes to it when it goes on
            self.world.schedule.after(10.0, self._ended, each, outcome)
            return
        each.over = True
        held, world = each.open, self.world
        held.out -= 1
        uid = each.box.uid if each.box is not None else ""
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            self.idle.setdefault(uid, []).append(world.schedule.time)
        elif each.arrived:
            self.connections -= 1
        if each.work is not None and outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and each.box is not None:
            each.box.model.forget(each.work)
        if outcome is Outcome.OK and not held.answered:
            self._answer(held, "served")
        took = world.schedule.time - each.sent_at
        self.happened(api.AttemptEnded(held.name, each.number, uid, outcome, took, held.answered))
        self._forget(held)
