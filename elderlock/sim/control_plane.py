"""Control plane of the decision-level simulator: discovery, agents, and operators' drain commands.

Drain records and decisions on drain intents are the code that ships. The links between them delay, lose and cut
messages.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from elderlock.control.records import Record, Records
from elderlock.fleet.drain_intents import decide_intent
from elderlock.fleet.messages import DrainIntent, SubmitIntents
from elderlock.interface import ListKind, ServerState
from elderlock.sim.virtual.processes import Machine

if TYPE_CHECKING:
    from elderlock.sim.decisions import DecisionWorld
    from elderlock.sim.nodes import Node, SimServer

EXCHANGE_INTERVAL_MS = 1000.0  # between exchanges of agents, as in `elderlock.fleet.agent`
MAX_DELIVERY_DELAY_MS = 60.0  # of a change on its way from discovery to a limiter


class DiscoveryModel:
    """Model of discovery: each change reaches each limiter after a delay of its own.

    Attributes:
        is_silent: Whether it sends nothing; limiters get the complete list when that ends.
        is_stale: Whether it keeps the old list and sends no changes.
        extra_delay_ms: Additional delay of each change.
        dead_servers: Servers that are listed although they have ended.
    """

    def __init__(self, world: DecisionWorld, rng: random.Random) -> None:
        self._world, self._rng = world, rng
        self.is_silent = self.is_stale = False
        self.extra_delay_ms = 0.0
        self.dead_servers: dict[str, SimServer] = {}

    def send_complete_list(self, node: Node) -> None:
        """Sends the complete list to a limiter that asks for it."""
        if self.is_silent:
            return
        world = self._world
        entries = tuple(server.entry() for server in (*world.servers.values(), *self.dead_servers.values()))
        node.receive_server_list(ListKind.COMPLETE, entries)

    def send_changes(self, *servers: SimServer) -> None:
        """Sends changed servers to all limiters."""
        if self.is_silent or self.is_stale:
            return
        entries = tuple(server.entry() for server in servers)
        for node in self._world.nodes:
            wait_ms = self.extra_delay_ms + self._rng.uniform(0.5, MAX_DELIVERY_DELAY_MS)
            self._world.schedule.after(wait_ms, self._deliver_changes, node.number, entries)

    def _deliver_changes(self, number: int, entries: tuple[object, ...]) -> None:
        node = self._world.nodes[number]
        if node.is_alive and not self.is_silent:
            node.receive_server_list(ListKind.CHANGES, entries)  # type: ignore[arg-type]

    def recover(self) -> None:
        """Ends a silence or staleness: each limiter starts a new watch at a time of its own."""
        self.is_silent = self.is_stale = False
        for node in self._world.nodes:
            self._world.schedule.after(self._rng.uniform(0.0, 1000.0), self._deliver_complete_list, node.number)

    def _deliver_complete_list(self, number: int) -> None:
        node = self._world.nodes[number]
        if node.is_alive:
            self.send_complete_list(node)

    def flap(self, end_ms: float) -> None:
        """Toggles random servers between running and draining until `end_ms`, then lists all as running.

        Args:
            end_ms: End of the fault, as a time of the schedule.
        """
        world = self._world
        servers = list(world.servers.values())
        if world.schedule.time >= end_ms or not servers:
            for server in servers:
                if server.state is ServerState.DRAINING:
                    server.state = ServerState.RUNNING
                    self.send_changes(server)
            return
        server = self._rng.choice(servers)
        server.state = ServerState.DRAINING if server.state is ServerState.RUNNING else ServerState.RUNNING
        self.send_changes(server)
        world.schedule.after(100.0, self.flap, end_ms)


class SimAgent:
    """An agent that holds records, delivers them to its limiters and exchanges them with all other agents.

    Invariant: its records survive its death, as they do in the agent's store.

    Attributes:
        name: Name of the agent.
        limiters: Numbers of its limiters.
        records: The drain records that it holds.
        is_alive: Whether its process runs.
        is_paused: Whether its process is suspended.
        has_disk_failure: Whether its disk fails all writes.
    """

    def __init__(self, world: DecisionWorld, number: int, machine: Machine, limiters: range) -> None:
        self.world, self.number, self.machine, self.limiters = world, number, machine, limiters
        self.name = f"agent-{number}"
        self.records: Records = Records()
        self.is_alive = True
        self.is_paused = False
        self.has_disk_failure = False

    def start(self) -> None:
        """Starts the periodic exchange of records."""
        self.world.schedule.after(self.world.rng.uniform(0.0, EXCHANGE_INTERVAL_MS), self._exchange)

    def _is_running(self) -> bool:
        return self.is_alive and not self.is_paused

    def _exchange(self) -> None:
        world = self.world
        world.schedule.after(EXCHANGE_INTERVAL_MS * world.rng.uniform(0.75, 1.0), self._exchange)
        if not self._is_running():
            return
        self.deliver_records()
        for other in world.agents:
            if other is not self:
                self._send_records(other)

    def _send_records(self, other: SimAgent) -> None:
        ways = self.world.ways
        if not (ways.is_cut(self.machine, other.machine) or ways.is_cut(other.machine, self.machine)):
            delay_ms = ways.delay(self.machine, other.machine)
            self.world.schedule.after(delay_ms, other.receive_records, tuple(self.records), self.records.digest())

    def receive_records(self, records: tuple[Record, ...], digest: str) -> None:
        """Receives another agent's records."""
        if self._is_running() and digest != self.records.digest():
            self.merge_records(records)

    def merge_records(self, records: tuple[Record, ...]) -> None:
        """Merges records; changed records go to its limiters and to the other agents."""
        if self.has_disk_failure:
            return  # records that cannot be stored are not accepted; the other agents send them again
        if self.records.merge(records):
            self.deliver_records()
            for other in self.world.agents:
                if other is not self:
                    self._send_records(other)

    def deliver_records(self) -> None:
        """Delivers its records to its limiters, which run on the machines assigned to it."""
        records = list(self.records)
        if records:
            for number in self.limiters:
                node = self.world.nodes[number]
                delay_ms = self.world.ways.delay(self.machine, node.machine)
                self.world.schedule.after(delay_ms, node.apply_records, records)

    def submit_intent(self, intent: DrainIntent, submission: SubmitIntents, operator: str) -> str:
        """Decides on an operator's drain intent.

        Returns:
            `made`, `joined`, `stale`, `refused`, or `not-kept`; `missing` if the agent does not run.
        """
        if not self._is_running():
            return "missing"
        if self.has_disk_failure:
            return "not-kept"
        self.records.merge(submission.known)
        decision = decide_intent(self.records, intent, submission, operator, self.world.at())
        if decision.outcome == "made" and decision.record is not None:
            self.merge_records((decision.record,))
        return decision.outcome


class OperatorCommand:
    """A drain or undrain command of an operator.

    It submits the intent to all agents, and again to those that did not accept it, until all did or 15 s have passed. A
    limiter counts as reached by the records that it holds, as its agent sees them.
    """

    TIMEOUT_MS = 15_000.0
    RETRY_INTERVAL_MS = 200.0

    def __init__(self, world: DecisionWorld, name: str, kind: str, target: str, is_drained: bool, rng: random.Random):
        self.world, self.name, self.kind, self.target, self.is_drained = world, name, kind, target, is_drained
        known = Records()
        for agent in world.agents:
            if agent.is_alive and not agent.is_paused:
                known.merge(agent.records)
        current_record = known.get(kind, target)
        intent = DrainIntent(kind, target, is_drained, current_record.generation if current_record else 0)  # type: ignore[arg-type]
        self._intent, self._deadline_ms = intent, world.schedule.time + self.TIMEOUT_MS
        self._submission = SubmitIntents(
            1,
            f"{rng.getrandbits(64):016x}",
            known.greatest_generation() + 1,
            (intent,),
            (current_record,) if current_record else (),
            "",
            200.0,
        )
        self._claimed: set[str] = set()
        self._pending = set(range(len(world.agents)))

    def step(self) -> None:
        """Submits the intent once more and reports the limiters reached."""
        world = self.world
        for number in sorted(self._pending):
            agent = world.agents[number]
            if not world.ways.is_cut(world.operator, agent.machine):
                outcome = agent.submit_intent(self._intent, self._submission, self.name)
                if outcome in ("made", "joined", "stale", "refused"):
                    self._pending.discard(number)
        if self.is_drained and self.kind == "box":
            for agent in world.agents:
                for number in agent.limiters if agent.is_alive and not agent.is_paused else ():
                    node = world.nodes[number]
                    record = node.records.get("box", self.target)
                    if node.is_alive and record is not None and record.is_drained and node.name not in self._claimed:
                        self._claimed.add(node.name)
                        world.bench.claimed(world.at(), self.name, self.target, node.name, world.at())
        if world.schedule.time < self._deadline_ms and (self._pending or len(self._claimed) < len(world.nodes)):
            world.schedule.after(self.RETRY_INTERVAL_MS, self.step)
