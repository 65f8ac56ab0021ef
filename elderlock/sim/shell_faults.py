"""Fault injection of the shell-level simulator."""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from elderlock.fleet.client.drain_commands import Order, carry_out
from elderlock.fleet.client.group_client import Group
from elderlock.sim.scenario import Fault, cut_pairs, effective_amount, floor_name
from elderlock.sim.standin_faults import StandinFaults
from elderlock.sim.virtual.loop import START_UNIX_S
from elderlock.sim.virtual.processes import start
from elderlock.sim.virtual.streams import Stream

if TYPE_CHECKING:
    from elderlock.sim.shells import ShellWorld

COMMAND_TIMEOUT_S = 15.0  # of an operator's command


class ShellFaults(StandinFaults):
    """Injects a scenario's faults, each at its time and independently of the others."""

    world: ShellWorld

    def __init__(self, world: ShellWorld) -> None:
        super().__init__(world)
        self._undrain_counts: dict[str, int] = {}

    def silence(self, uid: str) -> Callable[[], object]:
        """Cuts the server off in both directions and returns a function that ends this."""
        pairs = [(uid, "*"), ("*", uid)]
        self.world.ways.add_cuts(pairs)
        return lambda: self.world.ways.remove_cuts(pairs)

    async def _apply(self, fault: Fault) -> None:
        match fault.target_kind():
            case "box":
                uids = list(self.world.listing.boxes)
                for number in fault.target_numbers(len(uids)):
                    await self.server_fault(fault, self.world.listing.boxes.get(uids[number]))
            case "limiter":
                for number in fault.target_numbers(self.world.scenario.limiters):
                    await self._limiter_fault(fault, number)
            case "agent":
                for number in fault.target_numbers(self.world.scenario.agents):
                    await self._agent_fault(fault, number)
            case "floor":
                for number in fault.target_numbers(self.world.scenario.floors):
                    await self._zone_fault(fault, floor_name(number))
            case "counter":
                await self.counter_fault(fault)
            case "discovery":
                await self.discovery_fault(fault)
            case "peers":
                await self._peers_fault(fault)
            case "clients":
                await self.clients_fault(fault)
            case "house":
                await self._power_loss(
                    [machine.name for machine in self.world.machines], list(self.world.listing.boxes)
                )
            case "way":
                self._link_fault(fault)

    async def _power_loss(self, machines: Sequence[str], servers: Sequence[str]) -> None:
        """Kills everything that runs there at once; written data survives, as simulated disks store writes at once."""
        for process in list(self.world.processes.values()):
            if process.alive and process.machine.name in machines:
                self.world.signal(process, signal.SIGKILL)
        restart = Fault(0.0, "restart", "box:0")
        for uid in servers:
            await self.server_fault(restart, self.world.listing.boxes.get(uid))

    def _machine_at(self, end: str) -> str:
        """Returns the machine at an end of a link; everything on that machine shares the link's faults."""
        kind, _, number = end.partition(":")
        match kind:
            case "limiter":
                return self.world.machines[min(int(number), len(self.world.machines) - 1)].name
            case "agent":
                return self.world.agent_machine(min(int(number), self.world.scenario.agents - 1)).name
            case "box":
                uids = list(self.world.listing.boxes)
                return uids[min(int(number), len(uids) - 1)]
            case "tool":
                return self.world.agent_machine(0).name
            case "clients":
                return self.world.network.world.name
        return end

    def _link_fault(self, fault: Fault) -> None:
        ways, amount = self.world.ways, effective_amount(fault)
        source, target = (self._machine_at(end) for end in fault.link_ends())
        link = (source, target)
        match fault.what:
            case "cut":
                ways.add_cuts([link])
                self._end_after(fault, lambda: ways.remove_cuts([link]))
            case "late":
                ways.pair_extra_delay_ms[link] = amount
                self._end_after(fault, lambda: ways.pair_extra_delay_ms.pop(link, None))
            case "loss":
                ways.pair_extra_loss[link] = amount
                self._end_after(fault, lambda: ways.pair_extra_loss.pop(link, None))
            case "reset":
                if "clients" in fault.link_ends():
                    self.world.has_broken_connections = True
                for process in list(self.world.processes.values()):
                    for resource in list(process.resources) if process.alive else ():
                        if isinstance(resource, Stream) and {resource.machine.name, resource.peer.machine.name} == {
                            source,
                            target,
                        }:
                            resource.reset_connection(ConnectionResetError(errno.ECONNRESET, "reset"))

    async def command(self, fault: Fault, kind: Any, target: str) -> None:
        """Runs an operator's command in a process of its own on the first agent's machine."""
        if not self.world.scenario.agents:
            return
        is_drain = fault.what == "op-drain"
        operator = self.world.rng.choice(("an", "binh"))
        if not is_drain:
            self._undrain_counts[target] = self._undrain_counts.get(target, 0) + 1
            self.world.reports.undrained(target)
            self.world.agreed.undrain_started(target, self.world.at())
        undrain_count = self._undrain_counts.get(target, 0)
        process = self.world.process(f"operator-{operator}", self.world.agent_machine(0), {})
        done: asyncio.Future[None] = self.world.loop.create_future()

        async def main() -> int:
            group = Group.read(self.world.folder / "group.toml", self.world.folder / f"token-{operator}")
            force = not self.world.scenario.settings.budget  # with a budget, operators need permits
            order = Order(kind, (target,), is_drain, force=force, give_up_after=COMMAND_TIMEOUT_S)
            result = await carry_out(group, order, lambda *args: None)
            for report in result.reports:
                for row in report.rows():
                    # A drain that ends after another operator's undrain no longer claims anything.
                    is_in_force = is_drain and self._undrain_counts.get(target, 0) == undrain_count
                    if not (is_in_force and row.state == "reached" and row.limiter):
                        continue
                    self.world.agreed.drain_reported(kind, target, self.world.at())
                    if kind == "box":
                        # The time is of the limiter's clock, whose offset is read at its start.
                        since_ms = row.at - START_UNIX_S * 1000.0 - self.world.offsets.get(row.limiter, 0.0)
                        self.world.bench.claimed(self.world.at(), operator, target, row.limiter, since_ms)
            group.close()
            self.world.trace.event(self.world.at(), process.name, f"{fault.what} {target}: {result.exit.name}")
            self.world.commands.append((f"{fault.what} {target}", int(result.exit)))
            return int(result.exit)

        process.on_exit.append(lambda: _resolve(done))
        start(self.world.loop, process, main)
        await done

    async def _limiter_fault(self, fault: Fault, number: int) -> None:
        process = self.world.limiters[number]
        machine, amount = self.world.machines[number], effective_amount(fault)
        match fault.what:
            case "kill" if process is not None:
                self.world.signal(process, signal.SIGKILL)
            case "term" if process is not None:
                self.world.signal(process, signal.SIGTERM)
            case "pause" if process is not None:
                self.world.signal(process, signal.SIGSTOP)
                duration_s = fault.for_s or amount / 1000.0
                self.world.lost.stalled(self.world.at(), f"n{number}", duration_s * 1000.0)
                self.world.loop.call_later(duration_s, self.world.signal, process, signal.SIGCONT)
            case "clock":
                machine.offset += amount
            case "cut" | "cut-to" | "cut-from":
                self._cut(fault, machine.name, [*self.world.scenario.floor_names(), "discovery"])
            case "power" if process is not None:
                self.world.signal(process, signal.SIGKILL)
            case "op-drain" | "op-undrain":
                await self.command(fault, "limiter", f"n{number}")

    def _cut(self, fault: Fault, name: str, others: list[str]) -> None:
        pairs = cut_pairs(fault, name, others)
        self.world.ways.add_cuts(pairs)
        self._end_after(fault, lambda: self.world.ways.remove_cuts(pairs))

    async def _agent_fault(self, fault: Fault, number: int) -> None:
        process = self.world.agent_processes[number]
        machine = self.world.agent_machine(number)
        match fault.what:
            case "kill" | "power":
                self.world.signal(process, signal.SIGKILL)
            case "term":
                self.world.signal(process, signal.SIGTERM)
            case "pause":
                self.world.signal(process, signal.SIGSTOP)
                duration_s = fault.for_s or effective_amount(fault) / 1000.0
                self.world.loop.call_later(duration_s, self.world.signal, process, signal.SIGCONT)
            case "clock":
                machine.offset += effective_amount(fault)
            case "cut":
                self._cut(fault, machine.name, self.world.scenario.floor_names())
            case "disk-full" | "disk-error":
                machine.disk_failure = fault.what
                self._end_after(fault, lambda: setattr(machine, "disk_failure", ""))

    async def _zone_fault(self, fault: Fault, zone: str) -> None:
        match fault.what:
            case "cut" | "cut-to" | "cut-from":
                self._cut(fault, zone, self.world.scenario.floor_names())
            case "loss":
                previous, self.world.ways.loss = self.world.ways.loss, effective_amount(fault)
                self._end_after(fault, lambda: setattr(self.world.ways, "loss", previous))
            case "late":
                self.world.ways.extra_delay_ms[zone] = self.world.ways.extra_delay_ms.get(zone, 0.0) + effective_amount(
                    fault
                )
                self._end_after(fault, lambda: self.world.ways.extra_delay_ms.pop(zone, None))
            case "power":
                machines = [machine.name for machine in self.world.machines if machine.floor == zone]
                servers = [uid for uid, server in self.world.listing.boxes.items() if server.floor == zone]
                await self._power_loss(machines, servers)
            case "restart" | "silent":
                for server in [server for server in self.world.listing.boxes.values() if server.floor == zone]:
                    await self.server_fault(fault, server)

    async def _peers_fault(self, fault: Fault) -> None:
        ways = self.world.ways
        if fault.what == "late":
            for machine in self.world.machines:
                ways.extra_delay_ms[machine.name] = effective_amount(fault)
            self._end_after(
                fault, lambda: [ways.extra_delay_ms.pop(machine.name, None) for machine in self.world.machines]
            )
            return
        previous, ways.datagram_loss = ways.datagram_loss, 1.0 if fault.what == "silent" else effective_amount(fault)
        self._end_after(fault, lambda: setattr(ways, "datagram_loss", previous))


def _resolve(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_result(None)
