"""Carries out a scenario's faults on real processes: the same words as on the simulated floors."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from elderlock.sim.agreed import Agreed
from elderlock.sim.facts import most_out
from elderlock.sim.scenario import Fault, by_of, cut_pairs, floor_name
from elderlock.sim.standin_faults import StandinFaults
from elderlock.standins.world import OPERATORS
from elderlock.trial.ground import Ground
from elderlock.trial.processes import Child, python
from elderlock.trial.seam import Block, Disk, Step

COMMAND_WITHIN = 15.0  # s that an operator's command may take
DARK = 0.5  # s that a lost power stays away, where the fault does not say
DISKS = {"disk-full": Disk.FULL, "disk-error": Disk.ERROR, "disk-slow": Disk.SLOW, "disk-lies": Disk.LIES}
STEPS = {"kill-write": Step.WRITTEN, "kill-sync": Step.SYNCED, "kill-rename": Step.RENAMED}


class TrialFaults(StandinFaults):
    """Each begins at its time, whatever became of the one before."""

    world: Ground

    def __init__(self, world: Ground) -> None:
        super().__init__(world)
        self._undrains: dict[str, int] = {}
        self.commands: list[tuple[str, int]] = []  # an operator's, with its exit code
        self.agreed = Agreed(world.rules, most_out(world.scenario))

    async def settled(self) -> None:
        """Until all that was begun is done."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def _apply(self, fault: Fault) -> None:
        world, s = self.world, self.world.scenario
        match fault.kind():
            case "box":
                uids = list(world.listing.boxes)
                for number in fault.numbers(len(uids)):
                    await self.server_fault(fault, world.listing.boxes.get(uids[number]))
            case "limiter":
                for number in fault.numbers(s.limiters):
                    await self._limiter_fault(fault, number)
            case "agent":
                for number in fault.numbers(s.agents):
                    await self._agent_fault(fault, number)
            case "floor":
                for number in fault.numbers(s.floors):
                    await self._floor_fault(fault, floor_name(number))
            case "counter":
                await self.counter_fault(fault)
            case "discovery":
                await self.discovery_fault(fault)
            case "peers":
                self._peers_fault(fault)
            case "clients":
                await self.clients_fault(fault)
            case "way":
                self._way_fault(fault)
            case "house":
                world.counter.lose()
                boxes = list(world.listing.boxes)
                await self._power(fault, list(range(s.limiters)), list(range(s.agents)), boxes)

    # Ways

    def _befall(self, fault: Fault, kind: str, pairs: list[tuple[str, str]], by: float = 1.0) -> None:
        self.world.relays.befall(kind, pairs, by)
        self._end_after(fault, lambda: self._mended(kind, pairs, by))

    def _mended(self, kind: str, pairs: list[tuple[str, str]], by: float) -> None:
        self.world.note("mended", kind, *(f"{source}>{target}" for source, target in pairs))
        self.world.relays.mend(kind, pairs, by)

    def silence(self, uid: str) -> Callable[[], object]:
        pairs = [(uid, "*"), ("*", uid)]
        self.world.relays.befall("cut", pairs)
        return lambda: self._mended("cut", pairs, 1.0)

    def _name(self, end: str) -> str:
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

    def _way_fault(self, fault: Fault) -> None:
        source, target = (self._name(end) for end in fault.ends())
        match fault.what:
            case "reset":
                for relay, _ in self.world.relays.between([(source, target)]):
                    relay.reset()
            case "half-close":
                for relay, towards_target in self.world.relays.between([(source, target)]):
                    relay.half_close(towards_target)
            case "cut":
                self._befall(fault, "cut", [(source, target)])
            case what:
                self._befall(fault, what, [(source, target)], by_of(fault))

    def _from_floors(self, fault: Fault, name: str) -> list[tuple[str, str]]:
        return cut_pairs(fault, name, self.world.scenario.floor_names())

    async def _floor_fault(self, fault: Fault, floor: str) -> None:
        world, s = self.world, self.world.scenario
        boxes = [uid for uid, box in world.listing.boxes.items() if box.floor == floor]
        match fault.what:
            case "cut" | "cut-to" | "cut-from":
                self._befall(fault, "cut", self._from_floors(fault, floor))
            case "late":
                floors = s.floor_names()
                pairs = [(floor, other) for other in floors] + [(other, floor) for other in floors if other != floor]
                self._befall(fault, "late", pairs, by_of(fault))
            case "restart" | "silent":
                for uid in boxes:
                    await self.server_fault(fault, world.listing.boxes.get(uid))
            case "power":
                limiters = [n for n in range(s.limiters) if floor in world.limiter_places[n].names]
                agents = [a for a in range(s.agents) if floor in world.agent_places[a].names]
                await self._power(fault, limiters, agents, boxes)

    def _peers_fault(self, fault: Fault) -> None:
        """Datagrams between limiters alone."""
        names = self.world.limiter_names
        pairs = [(one, other) for one in names for other in names if one != other]
        match fault.what:
            case "silent":
                self._befall(fault, "loss", pairs, 1.0)
            case what:
                self._befall(fault, what, pairs, by_of(fault))

    # Processes

    async def _power(self, fault: Fault, limiters: list[int], agents: list[int], boxes: list[str]) -> None:
        await self.world.lose_power(limiters, agents, boxes, fault.for_s or DARK, torn=True)

    def _paused(self, name: str, lasts: float) -> None:
        world = self.world
        world.watch.excuse(name, lasts * 1000.0, "it was stopped")
        world.signal(name, signal.SIGSTOP, "")
        world.loop.call_later(lasts, world.signal, name, signal.SIGCONT, "")

    def _process_fault(self, fault: Fault, name: str, block: Block) -> bool:
        """What befalls limiters and agents alike; False for what does not."""
        match fault.what:
            case "kill":
                self.world.signal(name, signal.SIGKILL, "it was killed")
            case "term":
                self.world.signal(name, signal.SIGTERM, "it was asked to end")
            case "pause":
                self._paused(name, fault.for_s or by_of(fault) / 1000.0)
            case "clock":
                block.clock_ms += by_of(fault)
            case _:
                return False
        return True

    async def _limiter_fault(self, fault: Fault, number: int) -> None:
        world, name = self.world, f"n{number}"
        if self._process_fault(fault, name, world.members[number].block):
            return
        match fault.what:
            case "cut" | "cut-to" | "cut-from":
                others = [*world.scenario.floor_names(), "discovery"]
                self._befall(fault, "cut", cut_pairs(fault, f"m{number}", others))
            case "power":
                await self._power(fault, [number], [], [])
            case "op-drain" | "op-undrain":
                await self.command(fault, "limiter", name)

    async def _agent_fault(self, fault: Fault, number: int) -> None:
        world, name = self.world, f"agent-{number}"
        agent = world.agent_processes[number]
        if self._process_fault(fault, name, agent.block):
            return
        match fault.what:
            case "cut":
                self._befall(fault, "cut", self._from_floors(fault, name))
            case "power":
                await self._power(fault, [], [number], [])
            case "old-state" | "no-state":
                old = world.folder / "old" / name if fault.what == "old-state" else None
                await world.restart_agent(number, old)
            case "kill-write" | "kill-sync" | "kill-rename":
                agent.armed = True
                agent.block.kill_at(STEPS[fault.what])
            case what:
                agent.lied = agent.lied or what == "disk-lies"
                agent.block.slow_ms = by_of(fault)
                agent.block.disk = DISKS[what]
                self._end_after(fault, lambda: setattr(agent.block, "disk", Disk.GOOD))

    # Operators

    async def command(self, fault: Fault, kind: Any, target: str) -> None:
        if not self.world.scenario.agents:
            return
        drained = fault.what == "op-drain"
        operator = self.world.rng.choice(OPERATORS)
        verb = "drain" if drained else "undrain"
        # where permits are asked for, nobody goes without
        forced = ["--force"] if drained and not self.world.scenario.settings.budget else []
        await self.told(operator, verb, kind, target, *forced, within=fault.by or COMMAND_WITHIN)

    async def told(
        self, operator: str, verb: str, kind: str, target: str, *more: str, within: float = COMMAND_WITHIN
    ) -> int:
        """A tool's whole life, as a process of its own; returns its exit code. What it told of limiters that send a box
        nothing any more is held against them."""
        world = self.world
        drained = verb == "drain"
        if not drained:
            self._undrains[target] = self._undrains.get(target, 0) + 1
            world.bench.undrained(world.at(), target)
            self.agreed.brings_back(target, world.at())
        undrains = self._undrains.get(target, 0)
        world.tools += 1
        name = f"tool-{world.tools}"
        words = [
            verb,
            kind,
            target,
            "--json",
            "--give-up-after",
            f"{within:g}",
            *more,
            "--group",
            str(world.group_path),
            "--token-file",
            str(world.token_path(operator)),
        ]
        done: asyncio.Future[int] = world.loop.create_future()
        log = world.folder / f"{name}.log"
        tool = Child(
            name,
            python("-m", "elderlock.cli.main", *words),
            world.mark,
            log,
            ended=lambda code: None if done.done() else done.set_result(code),
        )
        world.note("command", name, f"{operator}: {verb} {kind} {target}")
        await tool.start()
        try:
            code = await done
        finally:
            await tool.end()
        world.note("command", name, f"{verb} {target}: exit {code}")
        self.commands.append((f"{verb} {target}", code))
        if drained and self._undrains.get(target, 0) == undrains:
            for row in _rows(log):
                if row["state"] != "reached" or not row["limiter"]:
                    continue
                self.agreed.took_out(kind, target, world.at())
                if kind == "box":
                    life = world.members[int(row["limiter"][1:])].life
                    since = world.since(row["at"] - (life.clock_ms if life is not None else 0.0))
                    world.bench.claimed(world.at(), operator, target, row["limiter"], since)
        return code


def _rows(log: Path) -> list[dict[str, Any]]:
    for line in reversed(log.read_text(errors="replace").splitlines()):
        if line.startswith('{"exit"'):
            rows: list[dict[str, Any]] = json.loads(line)["rows"]
            return rows
    return []
