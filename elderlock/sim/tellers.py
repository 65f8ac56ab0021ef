"""Who tells limiters what: discovery with its troubles, and the agents with an operator's drains. The records and what
becomes of a wish are the code that ships; between them stand ways that delay, lose and cut."""

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
    from elderlock.sim.nodes import Node, SimBox

EXCHANGE_EVERY = 1000.0  # ms between words of agents, as `fleet.agent` has it
TOLD_WITHIN = 60.0  # ms that a change takes to a limiter, at most


class Teller:
    """Discovery: a change reaches each limiter by itself, at a time of its own. `silent` says nothing, and the whole
    list comes when it ends; `stale` tells the list as it was; `late` ms more to each; `dead` are listed and gone."""

    def __init__(self, world: DecisionWorld, rng: random.Random) -> None:
        self._world, self._rng = world, rng
        self.silent = self.stale = False
        self.late = 0.0
        self.dead: dict[str, SimBox] = {}

    def whole(self, node: Node) -> None:
        """The whole list, to a limiter that asks."""
        if self.silent:
            return
        world = self._world
        entries = tuple(box.entry() for box in (*world.boxes.values(), *self.dead.values()))
        node.listed(ListKind.COMPLETE, entries)

    def changed(self, *boxes: SimBox) -> None:
        if self.silent or self.stale:
            return
        entries = tuple(box.entry() for box in boxes)
        for node in self._world.nodes:
            wait = self.late + self._rng.uniform(0.5, TOLD_WITHIN)
            self._world.schedule.after(wait, self._tell, node.number, entries)

    def _tell(self, number: int, entries: tuple[object, ...]) -> None:
        node = self._world.nodes[number]
        if node.alive and not self.silent:
            node.listed(ListKind.CHANGES, entries)  # type: ignore[arg-type]

    def back(self) -> None:
        """After a silence all watches are begun anew, each at its own time."""
        self.silent = self.stale = False
        for node in self._world.nodes:
            self._world.schedule.after(self._rng.uniform(0.0, 1000.0), self._whole_to, node.number)

    def _whole_to(self, number: int) -> None:
        node = self._world.nodes[number]
        if node.alive:
            self.whole(node)

    def flap(self, ends: float) -> None:
        world = self._world
        boxes = list(world.boxes.values())
        if world.schedule.time >= ends or not boxes:
            for box in boxes:
                if box.state is ServerState.DRAINING:
                    box.state = ServerState.RUNNING
                    self.changed(box)
            return
        box = self._rng.choice(boxes)
        box.state = ServerState.DRAINING if box.state is ServerState.RUNNING else ServerState.RUNNING
        self.changed(box)
        world.schedule.after(100.0, self.flap, ends)


class SimAgent:
    """Holds records, brings them to its limiters, exchanges them with all others. Invariant: what it holds survives
    its death, as its store does."""

    def __init__(self, world: DecisionWorld, number: int, machine: Machine, limiters: range) -> None:
        self.world, self.number, self.machine, self.limiters = world, number, machine, limiters
        self.name = f"agent-{number}"
        self.records: Records = Records()
        self.alive = True
        self.paused = False
        self.disk_failure = False

    def start(self) -> None:
        self.world.schedule.after(self.world.rng.uniform(0.0, EXCHANGE_EVERY), self._round)

    def _works(self) -> bool:
        return self.alive and not self.paused

    def _round(self) -> None:
        world = self.world
        world.schedule.after(EXCHANGE_EVERY * world.rng.uniform(0.75, 1.0), self._round)
        if not self._works():
            return
        self.bring()
        for other in world.agents:
            if other is not self:
                self._say(other)

    def _say(self, other: SimAgent) -> None:
        ways = self.world.ways
        if not (ways.is_cut(self.machine, other.machine) or ways.is_cut(other.machine, self.machine)):
            way = ways.delay(self.machine, other.machine)
            self.world.schedule.after(way, other.heard, tuple(self.records), self.records.digest())

    def heard(self, records: tuple[Record, ...], digest: str) -> None:
        if self._works() and digest != self.records.digest():
            self.learn(records)

    def learn(self, records: tuple[Record, ...]) -> None:
        if self.disk_failure:
            return  # what cannot be kept is not taken: it is offered again
        if self.records.merge(records):
            self.bring()
            for other in self.world.agents:
                if other is not self:
                    self._say(other)

    def bring(self) -> None:
        """To its limiters, which are on machines of its own side."""
        held = list(self.records)
        if held:
            for number in self.limiters:
                node = self.world.nodes[number]
                way = self.world.ways.delay(self.machine, node.machine)
                self.world.schedule.after(way, node.apply, held)

    def intend(self, wish: DrainIntent, order: SubmitIntents, by: str) -> str:
        """What the agent makes of an operator's wish: made, joined, stale, refused, or not-kept."""
        if not self._works():
            return "missing"
        if self.disk_failure:
            return "not-kept"
        self.records.merge(order.known)
        decision = decide_intent(self.records, wish, order, by, self.world.at())
        if decision.outcome == "made" and decision.record is not None:
            self.learn((decision.record,))
        return decision.outcome


class Operator:
    """A command of one operator: asks all agents, and again those that did not take it, until all did or 15 s passed.
    A limiter counts as reached by what it holds, seen through its agent."""

    GIVE_UP, AGAIN = 15_000.0, 200.0

    def __init__(self, world: DecisionWorld, name: str, kind: str, target: str, drained: bool, rng: random.Random):
        self.world, self.name, self.kind, self.target, self.drained = world, name, kind, target, drained
        known = Records()
        for agent in world.agents:
            if agent.alive and not agent.paused:
                known.merge(agent.records)
        held = known.get(kind, target)
        wish = DrainIntent(kind, target, drained, held.generation if held else 0)  # type: ignore[arg-type]
        self._wish, self._ends = wish, world.schedule.time + self.GIVE_UP
        self._order = SubmitIntents(
            1,
            f"{rng.getrandbits(64):016x}",
            known.greatest_generation() + 1,
            (wish,),
            (held,) if held else (),
            "",
            200.0,
        )
        self._claimed: set[str] = set()
        self._pending = set(range(len(world.agents)))

    def step(self) -> None:
        world = self.world
        for number in sorted(self._pending):
            agent = world.agents[number]
            if not world.ways.is_cut(world.operator, agent.machine):
                said = agent.intend(self._wish, self._order, self.name)
                if said in ("made", "joined", "stale", "refused"):
                    self._pending.discard(number)
        if self.drained and self.kind == "box":
            for agent in world.agents:
                for number in agent.limiters if agent.alive and not agent.paused else ():
                    node = world.nodes[number]
                    record = node.records.get("box", self.target)
                    if node.alive and record is not None and record.is_drained and node.name not in self._claimed:
                        self._claimed.add(node.name)
                        world.bench.claimed(world.at(), self.name, self.target, node.name, world.at())
        if world.schedule.time < self._ends and (self._pending or len(self._claimed) < len(world.nodes)):
            world.schedule.after(self.AGAIN, self.step)
