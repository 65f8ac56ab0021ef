"""Fault injection of the decision-level simulator."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from elderlock.interface import ServerState
from elderlock.quota.counted_quotas import CountedCoordinator
from elderlock.sim.control_plane import OperatorCommand
from elderlock.sim.scenario import Fault, cut_pairs, effective_amount, floor_name

if TYPE_CHECKING:
    from elderlock.sim.decisions import DecisionWorld
    from elderlock.sim.nodes import SimServer


class DecisionFaults:
    """Injects a scenario's faults, each at its time and independently of the others.

    Faults that only exist at the shell level have no effect and appear in the trace.
    """

    def __init__(self, world: DecisionWorld) -> None:
        self.world = world

    def begin(self, number: int, fault: Fault) -> None:
        """Starts a fault.

        Args:
            number: Index of the fault in the scenario.
            fault: The fault.
        """
        world = self.world
        world.trace.event(world.at(), "fault", f"{number} {fault.target} {fault.what}")
        match fault.target_kind():
            case "box":
                uids = list(world.servers)
                for index in fault.target_numbers(len(uids)):
                    self._server_fault(fault, world.servers[uids[index]])
            case "limiter":
                for index in fault.target_numbers(world.scenario.limiters):
                    self._limiter_fault(fault, index)
            case "agent":
                for index in fault.target_numbers(world.scenario.agents):
                    self._agent_fault(fault, index)
            case "floor":
                for index in fault.target_numbers(world.scenario.floors):
                    self._zone_fault(fault, floor_name(index))
            case "counter":
                self._counter_fault(fault)
            case "discovery":
                self._discovery_fault(fault)
            case "peers":
                self._peers_fault(fault)
            case "clients":
                self._clients_fault(fault)
            case "house":
                for index in range(world.scenario.floors):
                    self._power_loss(floor_name(index))

    def _power_loss(self, zone: str) -> None:
        """Ends everything that runs in the zone at once; its servers restart cold."""
        world = self.world
        for number, machine in enumerate(world.machines):
            if machine.floor == zone:
                world.kill(number)
        power_loss = Fault(0.0, "power", "agent:0")
        for number, agent in enumerate(world.agents):
            if agent.machine.floor == zone:
                self._agent_fault(power_loss, number)
        for server in [server for server in world.servers.values() if server.machine.floor == zone]:
            self._server_fault(Fault(0.0, "restart", "box:0"), server)

    def _end_after(self, fault: Fault, end: Callable[..., Any], *args: Any) -> None:
        if fault.for_s > 0:
            self.world.schedule.after(fault.for_s * 1000.0, end, *args)

    def _server_fault(self, fault: Fault, server: SimServer) -> None:
        world, model, amount = self.world, server.model, effective_amount(fault)
        match fault.what:
            case "slow":
                model.slow = amount
                self._end_after(fault, setattr, model, "slow", 1.0)
            case "errs":
                model.errs = amount
                self._end_after(fault, setattr, model, "errs", 0.0)
            case "lies":
                model.lies = True
            case "pause":
                model.pause(amount)
            case "silent":
                model.silent = True
                pairs = [(server.uid, "*"), ("*", server.uid)]
                world.ways.add_cuts(pairs)
                self._end_after(fault, self._end_silence, server, pairs)
            case "refusing":
                world.refusing_servers[server.uid] = None
                world.end_server(server)
                self._end_after(fault, world.refusing_servers.pop, server.uid, None)
            case "restart":
                world.end_server(server)
                model.restart()
                world.bench.started(world.at(), server.uid, model.shape.bears())
                world.discovery.send_changes(server)
            case "drain":
                server.state = ServerState.DRAINING
                world.discovery.send_changes(server)
                self._end_after(fault, self._undrain, server)
            case "remove":
                server.state = ServerState.REMOVED
                world.servers.pop(server.uid, None)
                world.discovery.send_changes(server)
                world.schedule.after(500.0, self._end_server, server)
            case "op-drain" | "op-undrain":
                self._operator_command(fault, "box", server.uid)

    def _end_silence(self, server: SimServer, pairs: list[tuple[str, str]]) -> None:
        server.model.silent = False
        self.world.ways.remove_cuts(pairs)

    def _undrain(self, server: SimServer) -> None:
        if server.uid in self.world.servers:
            server.state = ServerState.RUNNING
            self.world.discovery.send_changes(server)

    def _end_server(self, server: SimServer) -> None:
        server.has_ended = True
        self.world.end_server(server)

    def _operator_command(self, fault: Fault, kind: str, target: str) -> None:
        world = self.world
        if world.agents:
            is_drained = fault.what == "op-drain"
            if not is_drained:
                world.reports.undrained(target)
            OperatorCommand(world, world.rng.choice(("an", "binh")), kind, target, is_drained, world.rng).step()

    def _limiter_fault(self, fault: Fault, number: int) -> None:
        world, amount = self.world, effective_amount(fault)
        machine = world.machines[number]
        match fault.what:
            case "kill" | "term" | "power":
                world.kill(number)
            case "pause":
                world.pause(number, fault.for_s * 1000.0 or amount)
            case "clock":
                pass  # the gateway reads the wall clock only at its start; the shell-level simulator covers that
            case "cut" | "cut-to" | "cut-from":
                self._cut(fault, machine.name, self.world.scenario.floor_names())
            case "op-drain" | "op-undrain":
                self._operator_command(fault, "limiter", f"n{number}")

    def _cut(self, fault: Fault, name: str, others: list[str]) -> None:
        pairs = cut_pairs(fault, name, others)
        self.world.ways.add_cuts(pairs)
        self._end_after(fault, self.world.ways.remove_cuts, pairs)

    def _agent_fault(self, fault: Fault, number: int) -> None:
        agent = self.world.agents[number]
        match fault.what:
            case "kill" | "term" | "power":
                agent.is_alive = False
                self.world.schedule.after(700.0, setattr, agent, "is_alive", True)
            case "pause":
                agent.is_paused = True
                duration_ms = fault.for_s * 1000.0 or effective_amount(fault)
                self.world.schedule.after(duration_ms, setattr, agent, "is_paused", False)
            case "cut":
                self._cut(fault, agent.machine.name, self.world.scenario.floor_names())
            case "disk-full" | "disk-error":
                agent.has_disk_failure = True
                self._end_after(fault, setattr, agent, "has_disk_failure", False)

    def _zone_fault(self, fault: Fault, zone: str) -> None:
        ways = self.world.ways
        match fault.what:
            case "cut" | "cut-to" | "cut-from":
                self._cut(fault, zone, self.world.scenario.floor_names())
            case "loss":
                previous, ways.loss = ways.loss, effective_amount(fault)
                self._end_after(fault, setattr, ways, "loss", previous)
            case "late":
                ways.extra_delay_ms[zone] = ways.extra_delay_ms.get(zone, 0.0) + effective_amount(fault)
                self._end_after(fault, ways.extra_delay_ms.pop, zone, None)
            case "power":
                self._power_loss(zone)
            case "restart" | "silent":
                for server in [server for server in self.world.servers.values() if server.machine.floor == zone]:
                    self._server_fault(fault, server)

    def _counter_fault(self, fault: Fault) -> None:
        counter = self.world.counter
        match fault.what:
            case "silent" | "refusing":
                counter.silent = True
                self._end_after(fault, setattr, counter, "silent", False)
            case "late":
                counter.late = effective_amount(fault)
                self._end_after(fault, setattr, counter, "late", 0.0)
            case "busy":
                counter.busy = True
                self._end_after(fault, setattr, counter, "busy", False)
            case "empty":
                counter.lose()
                self._close_counter_connections()
            case "restored":
                totals = dict(counter.totals)
                self.world.schedule.after(fault.for_s * 1000.0 or 5000.0, self._restore, totals)

    def _restore(self, totals: dict[str, tuple[float, float]]) -> None:
        self.world.counter.lose()
        self.world.counter.totals = totals
        self._close_counter_connections()

    def _close_counter_connections(self) -> None:
        """Closes each limiter's connection to the counter, whose process ended."""
        for node in self.world.nodes:
            quotas = node.limiter.quota_coordinator
            if node.is_alive and isinstance(quotas, CountedCoordinator):
                quotas.book.connection_lost(node.now())

    def _discovery_fault(self, fault: Fault) -> None:
        world, discovery = self.world, self.world.discovery
        match fault.what:
            case "silent" | "refusing":
                discovery.is_silent = True
                self._end_after(fault, discovery.recover)
            case "stale":
                discovery.is_stale = True
                self._end_after(fault, discovery.recover)
            case "late":
                discovery.extra_delay_ms = effective_amount(fault)
                self._end_after(fault, setattr, discovery, "extra_delay_ms", 0.0)
            case "flap":
                discovery.flap(world.schedule.time + (fault.for_s or 2.0) * 1000.0)
            case "dead":
                for uid in list(world.servers)[:1]:
                    server = world.servers.pop(uid)
                    discovery.dead_servers[uid] = server
                    self._end_server(server)
                self._end_after(fault, self._forget_dead_servers)

    def _forget_dead_servers(self) -> None:
        self.world.discovery.dead_servers.clear()
        self.world.discovery.recover()

    def _peers_fault(self, fault: Fault) -> None:
        ways = self.world.ways
        if fault.what == "late":
            for machine in self.world.machines:
                ways.extra_delay_ms[machine.name] = effective_amount(fault)
            self._end_after(fault, self._end_peer_delay)
            return
        previous, ways.datagram_loss = ways.datagram_loss, 1.0 if fault.what == "silent" else effective_amount(fault)
        self._end_after(fault, setattr, ways, "datagram_loss", previous)

    def _end_peer_delay(self) -> None:
        for machine in self.world.machines:
            self.world.ways.extra_delay_ms.pop(machine.name, None)

    def _clients_fault(self, fault: Fault) -> None:
        if fault.what == "rush":
            world = self.world
            self._load_spike(effective_amount(fault), world.schedule.time + (fault.for_s or 2.0) * 1000.0)

    def _load_spike(self, rate: float, end_ms: float) -> None:
        world = self.world
        if world.schedule.time >= end_ms or world.is_traffic_over:
            return
        if world.last_arrival is not None:
            world.launch(world.last_arrival)
        world.schedule.after(world.rng.expovariate(rate) * 1000.0, self._load_spike, rate, end_ms)
