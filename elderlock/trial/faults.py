"""Injects the faults of a scenario into a group of real processes; the simulation has faults of the same names."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from elderlock.sim.exclusive_holdings import ExclusiveHoldings
from elderlock.sim.limiter_settings import max_drained
from elderlock.sim.scenario import Fault, cut_pairs, effective_amount, floor_name
from elderlock.sim.standin_faults import StandinFaults
from elderlock.standins.world import OPERATORS
from elderlock.trial.control_block import ControlBlock, DiskFault, WriteStep
from elderlock.trial.harness import Harness
from elderlock.trial.processes import Child, python

COMMAND_TIMEOUT_S = 15.0  # of an operator's command, if the fault does not say
DEFAULT_OUTAGE_S = 0.5  # of a power loss, if the fault does not say
DISK_FAULTS = {
    "disk-full": DiskFault.FULL,
    "disk-error": DiskFault.ERROR,
    "disk-slow": DiskFault.SLOW,
    "disk-lies": DiskFault.LIES,
}
KILL_STEPS = {"kill-write": WriteStep.WRITTEN, "kill-sync": WriteStep.SYNCED, "kill-rename": WriteStep.RENAMED}


class TrialFaults(StandinFaults):
    """Injects faults; each begins at its time, whatever the one before it did.

    Attributes:
        world: The harness.
        commands: The operators' commands so far, with their exit codes.
        agreed: Checks that the agents' records never go back, and that no more is drained than the budget allows.
    """

    world: Harness

    def __init__(self, world: Harness) -> None:
        super().__init__(world)
        self._undrain_counts: dict[str, int] = {}
        self.commands: list[tuple[str, int]] = []
        self.agreed = ExclusiveHoldings(world.rules, max_drained(world.scenario))

    async def wait_until_done(self) -> None:
        """Wait until all faults that have begun, and all commands, are done."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def _apply(self, fault: Fault) -> None:
        world, s = self.world, self.world.scenario
        match fault.target_kind():
            case "box":
                uids = list(world.listing.boxes)
                for number in fault.target_numbers(len(uids)):
                    await self.server_fault(fault, world.listing.boxes.get(uids[number]))
            case "limiter":
                for number in fault.target_numbers(s.limiters):
                    await self._limiter_fault(fault, number)
            case "agent":
                for number in fault.target_numbers(s.agents):
                    await self._agent_fault(fault, number)
            case "floor":
                for number in fault.target_numbers(s.floors):
                    await self._zone_fault(fault, floor_name(number))
            case "counter":
                await self.counter_fault(fault)
            case "discovery":
                await self.discovery_fault(fault)
            case "peers":
                self._peers_fault(fault)
            case "clients":
                await self.clients_fault(fault)
            case "way":
                self._link_fault(fault)
            case "house":
                world.counter.lose()
                uids = list(world.listing.boxes)
                await self._lose_power(fault, list(range(s.limiters)), list(range(s.agents)), uids)

    # Links

    def _inject(self, fault: Fault, kind: str, pairs: list[tuple[str, str]], by: float = 1.0) -> None:
        self.world.relays.inject(kind, pairs, by)
        self._end_after(fault, lambda: self._clear(kind, pairs, by))

    def _clear(self, kind: str, pairs: list[tuple[str, str]], by: float) -> None:
        self.world.note("mended", kind, *(f"{source}>{target}" for source, target in pairs))
        self.world.relays.clear(kind, pairs, by)

    def silence(self, uid: str) -> Callable[[], object]:
        """Cut all links of a server; return the function that restores them."""
        pairs = [(uid, "*"), ("*", uid)]
        self.world.relays.inject("cut", pairs)
        return lambda: self._clear("cut", pairs, 1.0)

    def _location_name(self, end: str) -> str:
        """Return the location name of a link's end, such as `limiter:0`; a number that is too high is the last one."""
        kind, _, number = end.partition(":")
        match kind:
            case "limiter":
                return f"n{min(int(number), self.world.scenario.limiters - 1)}"
            case "agent":
                return f"agent-{min(int(number), self.world.scenario.agents - 1)}"
            case "box":
                uids = list(self.world.listing.boxes)
                return uids[min(int(number), len(uids) - 1)]
        return end

    def _link_fault(self, fault: Fault) -> None:
        source, target = (self._location_name(end) for end in fault.link_ends())
        match fault.what:
            case "reset":
                for relay, _ in self.world.relays.between([(source, target)]):
                    relay.reset()
            case "half-close":
                for relay, towards_target in self.world.relays.between([(source, target)]):
                    relay.half_close(towards_target)
            case "cut":
                self._inject(fault, "cut", [(source, target)])
            case kind:
                self._inject(fault, kind, [(source, target)], effective_amount(fault))

    def _pairs_with_zones(self, fault: Fault, name: str) -> list[tuple[str, str]]:
        return cut_pairs(fault, name, self.world.scenario.floor_names())

    async def _zone_fault(self, fault: Fault, zone: str) -> None:
        world, s = self.world, self.world.scenario
        uids = [uid for uid, server in world.listing.boxes.items() if server.floor == zone]
        match fault.what:
            case "cut" | "cut-to" | "cut-from":
                self._inject(fault, "cut", self._pairs_with_zones(fault, zone))
            case "late":
                zones = s.floor_names()
                pairs = [(zone, other) for other in zones] + [(other, zone) for other in zones if other != zone]
                self._inject(fault, "late", pairs, effective_amount(fault))
            case "restart" | "silent":
                for uid in uids:
                    await self.server_fault(fault, world.listing.boxes.get(uid))
            case "power":
                limiters = [n for n in range(s.limiters) if zone in world.limiter_locations[n].names]
                agents = [a for a in range(s.agents) if zone in world.agent_locations[a].names]
                await self._lose_power(fault, limiters, agents, uids)

    def _peers_fault(self, fault: Fault) -> None:
        """Inject a fault into the datagram links between limiters."""
        names = self.world.limiter_names
        pairs = [(one, other) for one in names for other in names if one != other]
        match fault.what:
            case "silent":
                self._inject(fault, "loss", pairs, 1.0)
            case kind:
                self._inject(fault, kind, pairs, effective_amount(fault))

    # Processes

    async def _lose_power(self, fault: Fault, limiters: list[int], agents: list[int], uids: list[str]) -> None:
        await self.world.lose_power(limiters, agents, uids, fault.for_s or DEFAULT_OUTAGE_S, torn=True)

    def _pause(self, name: str, duration_s: float) -> None:
        world = self.world
        world.stall_monitor.excuse(name, duration_s * 1000.0, "it was stopped")
        world.signal(name, signal.SIGSTOP, "")
        world.loop.call_later(duration_s, world.signal, name, signal.SIGCONT, "")

    def _process_fault(self, fault: Fault, name: str, block: ControlBlock) -> bool:
        """Inject a fault that limiters and agents have in common; return False if it is not one of those."""
        match fault.what:
            case "kill":
                self.world.signal(name, signal.SIGKILL, "it was killed")
            case "term":
                self.world.signal(name, signal.SIGTERM, "it was asked to end")
            case "pause":
                self._pause(name, fault.for_s or effective_amount(fault) / 1000.0)
            case "clock":
                block.clock_offset_ms += effective_amount(fault)
            case _:
                return False
        return True

    async def _limiter_fault(self, fault: Fault, number: int) -> None:
        world, name = self.world, f"n{number}"
        if self._process_fault(fault, name, world.limiter_processes[number].block):
            return
        match fault.what:
            case "cut" | "cut-to" | "cut-from":
                others = [*world.scenario.floor_names(), "discovery"]
                self._inject(fault, "cut", cut_pairs(fault, f"m{number}", others))
            case "power":
                await self._lose_power(fault, [number], [], [])
            case "op-drain" | "op-undrain":
                await self.command(fault, "limiter", name)

    async def _agent_fault(self, fault: Fault, number: int) -> None:
        world, name = self.world, f"agent-{number}"
        agent = world.agent_processes[number]
        if self._process_fault(fault, name, agent.block):
            return
        match fault.what:
            case "cut":
                self._inject(fault, "cut", self._pairs_with_zones(fault, name))
            case "power":
                await self._lose_power(fault, [], [number], [])
            case "old-state" | "no-state":
                old_home = world.folder / "old" / name if fault.what == "old-state" else None
                await world.restart_agent(number, old_home)
            case "kill-write" | "kill-sync" | "kill-rename":
                agent.is_kill_armed = True
                agent.block.kill_at(KILL_STEPS[fault.what])
            case kind:
                agent.has_disk_lied = agent.has_disk_lied or kind == "disk-lies"
                agent.block.sync_delay_ms = effective_amount(fault)
                agent.block.disk_fault = DISK_FAULTS[kind]
                self._end_after(fault, lambda: setattr(agent.block, "disk_fault", DiskFault.NONE))

    # Operators

    async def command(self, fault: Fault, kind: Any, target: str) -> None:
        """Run the operator's command of a fault, by one of the operators.

        Args:
            fault: A fault `op-drain` or `op-undrain`.
            kind: The kind of the target: `box` or `limiter`.
            target: The target's name.
        """
        if not self.world.scenario.agents:
            return
        is_drain = fault.what == "op-drain"
        operator = self.world.rng.choice(OPERATORS)
        verb = "drain" if is_drain else "undrain"
        # with a budget, no command goes around the permits
        force = ["--force"] if is_drain and not self.world.scenario.settings.budget else []
        await self.run_command(operator, verb, kind, target, *force, within=fault.by or COMMAND_TIMEOUT_S)

    async def run_command(
        self, operator: str, verb: str, kind: str, target: str, *options: str, within: float = COMMAND_TIMEOUT_S
    ) -> int:
        """Run `elderlock drain` or `elderlock undrain` as a process of its own.

        The limiters that it reports to have stopped sending to a server are checked for doing so.

        Args:
            operator: The operator's name.
            verb: `drain` or `undrain`.
            kind: The kind of the target: `box` or `limiter`.
            target: The target's name.
            *options: Further arguments.
            within: The seconds after which the command gives up.

        Returns:
            The exit code.
        """
        world = self.world
        is_drain = verb == "drain"
        if not is_drain:
            self._undrain_counts[target] = self._undrain_counts.get(target, 0) + 1
            world.bench.undrained(world.at(), target)
            self.agreed.undrain_started(target, world.at())
        undrain_count = self._undrain_counts.get(target, 0)
        world.tools_started += 1
        name = f"tool-{world.tools_started}"
        arguments = [
            verb,
            kind,
            target,
            "--json",
            "--give-up-after",
            f"{within:g}",
            *options,
            "--group",
            str(world.group_path),
            "--token-file",
            str(world.token_path(operator)),
        ]
        ended: asyncio.Future[int] = world.loop.create_future()
        log = world.folder / f"{name}.log"
        tool = Child(
            name,
            python("-m", "elderlock.cli.main", *arguments),
            world.mark,
            log,
            ended=lambda code: None if ended.done() else ended.set_result(code),
        )
        world.note("command", name, f"{operator}: {verb} {kind} {target}")
        await tool.start()
        try:
            code = await ended
        finally:
            await tool.end()
        world.note("command", name, f"{verb} {target}: exit {code}")
        self.commands.append((f"{verb} {target}", code))
        if is_drain and self._undrain_counts.get(target, 0) == undrain_count:
            for row in _printed_rows(log):
                if row["state"] != "reached" or not row["limiter"]:
                    continue
                self.agreed.drain_reported(kind, target, world.at())
                if kind == "box":
                    incarnation = world.limiter_processes[int(row["limiter"][1:])].incarnation
                    since = world.since(row["at"] - (incarnation.clock_offset_ms if incarnation is not None else 0.0))
                    world.bench.claimed(world.at(), operator, target, row["limiter"], since)
        return code


def _printed_rows(log: Path) -> list[dict[str, Any]]:
    """Return the rows of the JSON that a command printed."""
    for line in reversed(log.read_text(errors="replace").splitlines()):
        if line.startswith('{"exit"'):
            rows: list[dict[str, Any]] = json.loads(line)["rows"]
            return rows
    return []
