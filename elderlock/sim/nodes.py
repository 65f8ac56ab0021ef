"""Simulated limiters and servers of the decision-level simulator.

A node runs the limiter modules that ship, without sockets. It does what the gateway does (clock, timers, open requests,
one answer per request) on the schedule of a simulation.
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
class ClientRequest:
    """A client's request through all its attempts.

    Attributes:
        number: Number of the request within the run.
        arrival: The arrival that it comes from.
        started_at: Start of its first attempt in ms.
        attempt_count: Number of attempts so far.
        is_over: Whether it has its final outcome.
        reason: Outcome of its last attempts, as `elderlock.load.clientele.reason` merges them.
        node: The limiter that has its current attempt.
    """

    number: int
    arrival: Arrival
    started_at: float
    attempt_count: int = 0
    is_over: bool = False
    reason: str = ""
    node: Node | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a server.

    Attributes:
        request: The request at the limiter.
        number: Number of the attempt within the request.
        server: The server; None if the limiter chose one that does not exist.
        sent_at: Time at which the limiter sent it, in ms.
        is_over: Whether it has its outcome.
        has_arrived: Whether the server has received it.
        work: The server's work on it.
    """

    request: LimiterRequest
    number: int
    server: SimServer | None
    sent_at: float
    is_over: bool = False
    has_arrived: bool = False
    work: Work | None = None


@dataclass(slots=True, eq=False)
class LimiterRequest:
    """A request as a limiter holds it.

    Attributes:
        name: Name that the limiter gave it.
        client_request: The client's request.
        tag: Identifier that the client gave this attempt.
        arrived_at: Time at which it reached the limiter, in ms of the limiter's clock.
        is_answered: Whether the client got its answer.
        attempts: Attempts at servers.
        in_flight: Number of attempts without an outcome.
    """

    name: str
    client_request: ClientRequest
    tag: str
    arrived_at: float
    is_answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0


class SimServer:
    """A server with its machine.

    Attributes:
        uid: Identifier of the server.
        machine: Machine on which it runs.
        kind: Index of its kind in the scenario.
        model: Model of its work.
        cell: Number of its cell.
        state: State that discovery lists.
        has_ended: Whether its process has ended, so that nothing listens.
    """

    def __init__(
        self, world: DecisionWorld, uid: str, machine: Machine, kind: int, model: ServerModel, cell: int
    ) -> None:
        self.world, self.uid, self.machine, self.kind, self.model, self.cell = world, uid, machine, kind, model, cell
        self.state = ServerState.RUNNING
        self.has_ended = False
        self._entry: api.ServerEntry | None = None

    def entry(self) -> api.ServerEntry:
        """Returns its entry in a server list; all recipients share one object."""
        shape, started_at = self.model.shape, self.model.started_at
        entry = self._entry
        if entry is None or entry.state is not self.state or entry.started_at_ms != started_at:
            self._entry = entry = api.ServerEntry(
                self.uid,
                self.world.zone_number(self.machine),
                self.kind,
                self.cell,
                self.state,
                shape.cores * shape.speed,
                started_at,
            )
        return entry


class Node:
    """One process of a limiter.

    Invariant: a request has one answer; the limiter handles events one at a time, in the order in which they occur.

    Attributes:
        number: Number of the limiter.
        name: Name of the limiter.
        is_alive: Whether the process runs.
        is_paused: Whether the process is suspended.
        is_drained: Whether the limiter is drained by an operator.
        requests: Requests that are not finished, by name.
        idle_connections: Times at which idle connections were last used, by server identifier.
        connections: Number of connections to servers.
        limiter: The limiter module.
        overlay: Drains applied to server lists; None without agents.
        records: Drain records that its agent delivered.
        version: Number of server lists received.
    """

    def __init__(self, world: DecisionWorld, number: int, machine: Machine, seed: int) -> None:
        self.world, self.number, self.machine = world, number, machine
        self.name = f"n{number}"
        self.is_alive = True
        self.is_paused = False
        self.is_drained = False
        self._deferred_events: list[api.Event] = []
        self.requests: dict[str, LimiterRequest] = {}
        self._events: deque[api.Event] = deque()
        self._is_handling = False
        self._request_count = 0
        self.idle_connections: dict[str, list[float]] = {}
        self.connections = 0
        coordinator: type[QuotaCoordinator] = QuotaCoordinator
        if world.scenario.settings.counter:
            parameters = CounterParameters(heartbeat_ms=heartbeat_ms(world.scenario.limiters))
            coordinator = type("Counted", (CountedCoordinator,), {"parameters": parameters})
        settings = world.settings(number)
        options, peers = world.scenario.settings, settings.capabilities.can_message_peers
        limiter_type = limiter_class(
            options.shared and peers, options.shared_ceilings and peers and not options.counter
        )
        self.limiter = limiter_type(settings, seed, self.now(), coordinator)
        self.overlay = DrainOverlay() if world.scenario.agents else None
        self.records: Records = Records()
        self.version = 0

    def now(self) -> float:
        """Returns the Unix time of its clock in ms; the clock is read at the start and then advances monotonically."""
        return self.world.schedule.time + self.machine.offset

    def start(self) -> None:
        """Starts the limiter."""
        self._act(self.limiter.start(self.now()))

    def kill(self) -> None:
        """Ends the process; attempts in flight continue at their servers."""
        self.is_alive = False
        for request in self.requests.values():
            for attempt in request.attempts:
                attempt.is_over = True
        for request in list(self.requests.values()):
            if not request.is_answered:
                self.world.connection_lost(request)
        self.requests.clear()

    # Events

    def handle_event(self, event: api.Event) -> None:
        """Passes an event to the limiter and carries out its actions; a suspended process defers it."""
        if not self.is_alive:
            return
        if self.is_paused:
            self._deferred_events.append(event)
            return
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self.limiter.handle(event, self.now())
                except Exception as error:  # like the gateway: other requests are not affected
                    self.world.bench.failure(
                        self.world.at(), self.name, f"while handling {type(event).__name__}: {error!r}"
                    )
                    continue
                self._act(actions)
        finally:
            self._is_handling = False

    def resume(self) -> None:
        """Resumes a suspended process and handles its deferred events."""
        self.is_paused = False
        deferred, self._deferred_events = self._deferred_events, []
        for event in deferred:
            self.handle_event(event)

    def receive_server_list(self, kind: ListKind, entries: tuple[api.ServerEntry, ...]) -> None:
        """Receives a server list or changes of it from discovery."""
        if not self.is_alive:
            return
        self.version += 1
        if self.overlay is not None:
            targets = tuple(ListedServer(entry, ("", 0)) for entry in entries)
            overlaid = self.overlay.apply_to(EndpointList(self.version, kind is ListKind.COMPLETE, targets))
            entries = tuple(target.entry for target in overlaid.servers)
        self.world.record_server_list(self, kind, entries)
        self.handle_event(api.ServerList(self.version, kind, entries))

    def apply_records(self, records: list[Record]) -> None:
        """Applies the drain records that the agent delivers."""
        if not self.is_alive or self.is_paused or self.overlay is None:
            return
        self.records.merge(records)
        drained = self.records.drained_targets("box")
        changes = self.overlay.set_drained(drained)
        own_record = self.records.get("limiter", self.name)
        self.is_drained = own_record is not None and own_record.is_drained
        if changes.servers:
            entries = tuple(target.entry for target in changes.servers)
            self.world.record_server_list(self, ListKind.CHANGES, entries)
            self.handle_event(api.ServerList(self.version, ListKind.CHANGES, entries))

    def request_arrived(self, client_request: ClientRequest, tag: str, remaining_ms: float) -> None:
        """Receives a request whose client waits for another `remaining_ms`."""
        world, arrival = self.world, client_request.arrival
        if not self.is_alive:
            return world.connection_refused(client_request, tag)
        self._request_count += 1
        name = f"r{self._request_count}"
        request = self.requests[name] = LimiterRequest(name, client_request, tag, self.now())
        plan, service = world.plan_numbers[arrival.plan], world.service_numbers[arrival.class_name]
        wait_ms = max(remaining_ms - DEADLINE_MARGIN_MS, remaining_ms / 2.0)
        world.schedule.after(wait_ms, self._deadline_passed, request)
        world.bench.asked(
            world.at(),
            tag,
            self.name,
            world.at() + remaining_ms,
            arrival.account,
            world.scenario.service[service].effect,
        )
        self.handle_event(
            api.RequestArrived(
                name, service, plan, arrival.account, arrival.units, self.now() + wait_ms, arrival.spread, arrival.first
            )
        )

    def _deadline_passed(self, request: LimiterRequest) -> None:
        if self.is_alive and not request.is_answered:
            if self.is_paused:
                self.world.schedule.after(10.0, self._deadline_passed, request)
                return
            self._answer(request, "failed")
            self.handle_event(api.ClientDisconnected(request.name))

    def client_left(self, request: LimiterRequest) -> None:
        """Handles the departure of the client of a request."""
        if self.is_alive and not request.is_answered:
            request.is_answered = True
            self.world.bench.excused(self.world.at(), request.tag, "its client went away")
            self._drop_if_finished(request)
            self.handle_event(api.ClientDisconnected(request.name))

    # Actions

    def _act(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SetTimer(wait_ms, token):
                    self.world.schedule.after(wait_ms, self.handle_event, api.TimerFired(token))
                case api.SendAttempt(name, server, timeout_ms):
                    self._send(self.requests.get(name), server, timeout_ms)
                case api.Reject(name, advice_ms):
                    self._final_answer(name, "refused", advice_ms)
                case api.Fail(name):
                    self._final_answer(name, "failed", 0.0)
                case api.CancelAttempt(name, number):
                    request = self.requests.get(name)
                    if request is not None and number < len(request.attempts):
                        self._attempt_ended(request.attempts[number], Outcome.CANCELLED)
                case api.SendPeerMessage(receiver, data):
                    self.world.tell_peer(self, receiver, data)
                case api.AddToCounter(token, name, amount, lifetime_ms):
                    self.world.counter.call(self, token, name, amount, lifetime_ms)
                case _:
                    pass

    def _final_answer(self, name: str, answer: str, advice_ms: float) -> None:
        request = self.requests.get(name)
        if request is not None:
            if request.is_answered:  # the gateway would drop this answer; the limiter must not produce it
                text = f"second final answer for request {request.tag}"
                return self.world.bench.failure(self.world.at(), self.name, text)
            self._answer(request, answer, advice_ms)

    def _answer(self, request: LimiterRequest, answer: str, advice_ms: float = 0.0) -> None:
        request.is_answered = True
        self.world.send_answer(self, request, answer, advice_ms)
        self._drop_if_finished(request)

    def _drop_if_finished(self, request: LimiterRequest) -> None:
        if request.is_answered and request.in_flight == 0:
            self.requests.pop(request.name, None)

    def _send(self, request: LimiterRequest | None, uid: str, timeout_ms: float) -> None:
        world, schedule = self.world, self.world.schedule
        if request is None or request.is_answered:
            return
        server = world.servers.get(uid)
        attempt = Attempt(request, len(request.attempts), server, schedule.time)
        request.attempts.append(attempt)
        request.in_flight += 1
        world.record_attempt(self, attempt, uid)
        if server is None or world.is_refusing(server):
            schedule.after(0.5, self._attempt_ended, attempt, Outcome.CONNECT_FAILED)
            return
        delay_ms = world.ways.delay(self.machine, server.machine)
        is_cut = world.ways.is_cut(self.machine, server.machine) or world.ways.is_cut(server.machine, self.machine)
        if not self._take_idle_connection(uid):
            connect_wait_ms = world.scenario.service[0].aim_ms * CONNECT_OBJECTIVE_FRACTION
            if is_cut or server.model.silent:
                schedule.after(min(connect_wait_ms, timeout_ms), self._attempt_ended, attempt, Outcome.CONNECT_FAILED)
                return
            delay_ms += world.ways.delay(self.machine, server.machine) + world.ways.delay(server.machine, self.machine)
            self.connections += 1
        schedule.after(timeout_ms, self._attempt_ended, attempt, Outcome.TIMEOUT)
        if not is_cut:
            schedule.after(delay_ms, self._request_delivered, attempt, server)

    def _take_idle_connection(self, uid: str) -> bool:
        """Takes the idle connection that was used last, as the server pools do; returns whether one is usable."""
        idle_connections = self.idle_connections.get(uid)
        oldest_use_ms = self.world.schedule.time - IDLE_KEEPALIVE_FRACTION * self.world.scenario.settings.keepalive_ms
        while idle_connections:
            if idle_connections.pop() >= oldest_use_ms:
                return True
            self.connections -= 1 + len(idle_connections)
            idle_connections.clear()
        return False

    def _request_delivered(self, attempt: Attempt, server: SimServer) -> None:
        """Starts the work at a server that received the whole request."""
        if server.has_ended:
            return self._attempt_ended(attempt, Outcome.RESET)
        attempt.has_arrived = True
        self.world.bench.ran(self.world.at(), server.uid, attempt.request.tag)
        attempt.work = server.model.offer(self._server_done, attempt)

    def _server_done(self, answer: Word, work: Work) -> None:
        attempt = work.keep
        assert isinstance(attempt, Attempt) and attempt.server is not None
        world, machine = self.world, attempt.server.machine
        if attempt.is_over or world.ways.is_cut(machine, self.machine):
            return
        world.schedule.after(world.ways.delay(machine, self.machine), self._attempt_ended, attempt, OUTCOMES[answer])

    def connection_lost(self, attempt: Attempt) -> None:
        """Ends an attempt whose server's process ended."""
        self._attempt_ended(attempt, Outcome.RESET if attempt.has_arrived else Outcome.CONNECT_FAILED)

    def _attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.is_over or not self.is_alive:
            return
        if self.is_paused:  # the kernel buffers it until the process resumes
            self.world.schedule.after(10.0, self._attempt_ended, attempt, outcome)
            return
        attempt.is_over = True
        request, world = attempt.request, self.world
        request.in_flight -= 1
        uid = attempt.server.uid if attempt.server is not None else ""
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            self.idle_connections.setdefault(uid, []).append(world.schedule.time)
        elif attempt.has_arrived:
            self.connections -= 1
        if attempt.work is not None and outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and attempt.server is not None:
            attempt.server.model.forget(attempt.work)
        if outcome is Outcome.OK and not request.is_answered:
            self._answer(request, "served")
        latency_ms = world.schedule.time - attempt.sent_at
        self.handle_event(api.AttemptEnded(request.name, attempt.number, uid, outcome, latency_ms, request.is_answered))
        self._drop_if_finished(request)
