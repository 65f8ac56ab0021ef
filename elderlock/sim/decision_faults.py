"""Carries out a scenario's faults on the decisions' floor."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from elderlock.interface import ServerState
from elderlock.quota.counted_quotas import CountedCoordinator
from elderlock.sim.scenario import Fault, cut_pairs, effective_amount, floor_name
from elderlock.sim.tellers import Operator

if TYPE_CHECKING:
    from elderlock.sim.decisions import DecisionWorld
    from elderlock.sim.nodes import SimBox


class DecisionFaults:
    """Each begins at its time, whatever became of the one before. A fault of the shells alone is passed over, and
    told in the trace."""

    def __init__(self, world: DecisionWorld) -> None:
        self.world = world

    def begin(self, number: int, fault: Fault) -> None:
        world = self.world
        world.trace.event(world.at(), "fault", f"{number} {fault.target} {fault.what}")
        match fault.target_kind():
            case "box":
                uids = list(world.boxes)
                for each in fault.target_numbers(len(uids)):
                    self._box(fault, world.boxes[uids[each]])
            case "limiter":
                for each in fault.target_numbers(world.scenario.limiters):
                    self._limiter(fault, each)
            case "agent":
                for each in fault.target_numbers(world.scenario.agents):
                    self._agent(fault, each)
            case "floor":
                for each in fault.target_numbers(world.scenario.floors):
                    self._floor(fault, floor_name(each))
            case "counter":
                self._counter(fault)
            case "discovery":
                self._discovery(fault)
            case "peers":
                self._peers(fault)
            case "clients":
                self._clients(fault)
            case "house":
                for each in range(world.scenario.floors):
                    self._power(floor_name(each))

    def _power(self, floor: str) -> None:
        """All that runs on that floor is gone at once; boxes come back cold."""
        world = self.world
        for number, machine in enumerate(world.machines):
            if machine.floor == floor:
                world.kill(number)
        lost = Fault(0.0, "power", "agent:0")
        for number, agent in enumerate(world.agents):
            if agent.machine.floor == floor:
                self._agent(lost, number)
        for box in [box for box in world.boxes.values() if box.machine.floor == floor]:
            self._box(Fault(0.0, "restart", "box:0"), box)

    def _for(self, fault: Fault, end: Callable[..., Any], *args: Any) -> None:
        if fault.for_s > 0:
            self.world.schedule.after(fault.for_s * 1000.0, end, *args)

    def _box(self, fault: Fault, box: SimBox) -> None:
        world, model, by = self.world, box.model, effective_amount(fault)
        match fault.what:
            case "slow":
                model.slow = by
                self._for(fault, setattr, model, "slow", 1.0)
            case "errs":
                model.errs = by
                self._for(fault, setattr, model, "errs", 0.0)
            case "lies":
                model.lies = True
            case "pause":
                model.pause(by)
            case "silent":
                model.silent = True
                pairs = [(box.uid, "*"), ("*", box.uid)]
                world.ways.add_cuts(pairs)
                self._for(fault, self._speak, box, pairs)
            case "refusing":
                world.refusing[box.uid] = None
                world.end_box(box)
                self._for(fault, world.refusing.pop, box.uid, None)
            case "restart":
                world.end_box(box)
                model.restart()
                world.bench.started(world.at(), box.uid, model.shape.bears())
                world.teller.changed(box)
            case "drain":
                box.state = ServerState.DRAINING
                world.teller.changed(box)
                self._for(fault, self._undrain, box)
            case "remove":
                box.state = ServerState.REMOVED
                world.boxes.pop(box.uid, None)
                world.teller.changed(box)
                world.schedule.after(500.0, self._end, box)
            case "op-drain" | "op-undrain":
                self._command(fault, "box", box.uid)

    def _speak(self, box: SimBox, pairs: list[tuple[str, str]]) -> None:
        box.model.silent = False
        self.world.ways.remove_cuts(pairs)

    def _undrain(self, box: SimBox) -> None:
        if box.uid in self.world.boxes:
            box.state = ServerState.RUNNING
            self.world.teller.changed(box)

    def _end(self, box: SimBox) -> None:
        box.gone = True
        self.world.end_box(box)

    def _command(self, fault: Fault, kind: str, target: str) -> None:
        world = self.world
        if world.agents:
            drained = fault.what == "op-drain"
            if not drained:
                world.reports.undrained(target)
            Operator(world, world.rng.choice(("an", "binh")), kind, target, drained, world.rng).step()

    def _limiter(self, fault: Fault, number: int) -> None:
        world, by = self.world, effective_amount(fault)
        machine = world.machines[number]
        match fault.what:
            case "kill" | "term" | "power":
                world.kill(number)
            case "pause":
                world.pause(number, fault.for_s * 1000.0 or by)
            case "clock":
                pass  # the gateway reads the wall clock at its start alone; the shells' floor shows that
            case "cut" | "cut-to" | "cut-from":
                self._cut(fault, machine.name, self.world.scenario.floor_names())
            case "op-drain" | "op-undrain":
                self._command(fault, "limiter", f"n{number}")

    def _cut(self, fault: Fault, name: str, others: list[str]) -> None:
        pairs = cut_pairs(fault, name, others)
        self.world.ways.add_cuts(pairs)
        self._for(fault, self.world.ways.remove_cuts, pairs)

    def _agent(self, fault: Fault, number: int) -> None:
        agent = self.world.agents[number]
        match fault.what:
            case "kill" | "term" | "power":
                agent.alive = False
                self.world.schedule.after(700.0, setattr, agent, "alive", True)
            case "pause":
                agent.paused = True
                lasts = fault.for_s * 1000.0 or effective_amount(fault)
                self.world.schedule.after(lasts, setattr, agent, "paused", False)
            case "cut":
                self._cut(fault, agent.machine.name, self.world.scenario.floor_names())
            case "disk-full" | "disk-error":
                agent.disk_failure = True
                self._for(fault, setattr, agent, "disk_failure", False)

    def _floor(self, fault: Fault, floor: str) -> None:
        ways = self.world.ways
        match fault.what:
            case "cut" | "cut-to" | "cut-from":
                self._cut(fault, floor, self.world.scenario.floor_names())
            case "loss":
                was, ways.loss = ways.loss, effective_amount(fault)
                self._for(fault, setattr, ways, "loss", was)
            case "late":
                ways.extra_delay_ms[floor] = ways.extra_delay_ms.get(floor, 0.0) + effective_amount(fault)
                self._for(fault, ways.extra_delay_ms.pop, floor, None)
            case "power":
                self._power(floor)
            case "restart" | "silent":
                for box in [box for box in self.world.boxes.values() if box.machine.floor == floor]:
                    self._box(fault, box)

    def _counter(self, fault: Fault) -> None:
        counter = self.world.counter
        match fault.what:
            case "silent" | "refusing":
                counter.silent = True
                self._for(fault, setattr, counter, "silent", False)
            case "late":
                counter.late = effective_amount(fault)
                self._for(fault, setattr, counter, "late", 0.0)
            case "busy":
                counter.busy = True
                self._for(fault, setattr, counter, "busy", False)
            case "empty":
                counter.lose()
                self._tell_off()
            case "restored":
                kept = dict(counter.totals)
                self.world.schedule.after(fault.for_s * 1000.0 or 5000.0, self._restore, kept)

    def _restore(self, kept: dict[str, tuple[float, float]]) -> None:
        self.world.counter.lose()
        self.world.counter.totals = kept
        self._tell_off()

    def _tell_off(self) -> None:
        """Its process ended, and each limiter's connections with it."""
        for node in self.world.nodes:
            quotas = node.limiter.quota_coordinator
            if node.alive and isinstance(quotas, CountedCoordinator):
                quotas.book.connection_lost(node.now())

    def _discovery(self, fault: Fault) -> None:
        world, teller = self.world, self.world.teller
        match fault.what:
            case "silent" | "refusing":
                teller.silent = True
                self._for(fault, teller.back)
            case "stale":
                teller.stale = True
                self._for(fault, teller.back)
            case "late":
                teller.late = effective_amount(fault)
                self._for(fault, setattr, teller, "late", 0.0)
            case "flap":
                teller.flap(world.schedule.time + (fault.for_s or 2.0) * 1000.0)
            case "dead":
                for uid in list(world.boxes)[:1]:
                    box = world.boxes.pop(uid)
                    teller.dead[uid] = box
                    self._end(box)
                self._for(fault, self._bury)

    def _bury(self) -> None:
        self.world.teller.dead.clear()
        self.world.teller.back()

    def _peers(self, fault: Fault) -> None:
        ways = self.world.ways
        if fault.what == "late":
            for machine in self.world.machines:
                ways.extra_delay_ms[machine.name] = effective_amount(fault)
            self._for(fault, self._prompt)
            return
        was, ways.datagram_loss = ways.datagram_loss, 1.0 if fault.what == "silent" else effective_amount(fault)
        self._for(fault, setattr, ways, "datagram_loss", was)

    def _prompt(self) -> None:
        for machine in self.world.machines:
            self.world.ways.extra_delay_ms.pop(machine.name, None)

    def _clients(self, fault: Fault) -> None:
        if fault.what == "rush":
            world = self.world
            self._rush(effective_amount(fault), world.schedule.time + (fault.for_s or 2.0) * 1000.0)

    def _rush(self, rate: float, ends: float) -> None:
        world = self.world
        if world.schedule.time >= ends or world.dry:
            return
        if world.last is not None:
            world.launch(world.last)
        world.schedule.after(world.rng.expovariate(rate) * 1000.0, self._rush, rate, ends)
