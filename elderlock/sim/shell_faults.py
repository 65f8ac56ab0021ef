"""Carries out a scenario's faults on the shells' floor."""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import Callable, Coroutine, Sequence
from typing import TYPE_CHECKING, Any

from elderlock.fleet.client import Group
from elderlock.fleet.operate import Order, carry_out
from elderlock.sim.scenario import Fault, by_of, cut_pairs, floor_name
from elderlock.sim.surroundings import ShellBox
from elderlock.sim.virtual.loop import EPOCH
from elderlock.sim.virtual.network import Stream
from elderlock.sim.virtual.processes import start
from elderlock.standins.listener import Fault as Breaks

if TYPE_CHECKING:
    from elderlock.sim.shells import ShellWorld

COMMAND_WITHIN = 15.0  # s that an operator's command may take


class ShellFaults:
    """Each begins at its time, whatever became of the one before."""

    def __init__(self, world: ShellWorld) -> None:
        self.world = world
        self._undrains: dict[str, int] = {}
        self._kept: dict[asyncio.Task[None], None] = {}  # a task that nothing holds may be collected

    def begin(self, number: int, fault: Fault) -> None:
        self.world.trace.event(self.world.at(), "fault", f"{number} {fault.target} {fault.what}")
        self._keep(self._fault(fault))

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.world.loop.create_task(work)
        self._kept[task] = None
        task.add_done_callback(self._kept.pop)

    async def _fault(self, fault: Fault) -> None:
        match fault.kind():
            case "box":
                uids = list(self.world.listing.boxes)
                for number in fault.numbers(len(uids)):
                    await self._box_fault(fault, self.world.listing.boxes.get(uids[number]))
            case "limiter":
                for number in fault.numbers(self.world.scenario.limiters):
                    await self._limiter_fault(fault, number)
            case "agent":
                for number in fault.numbers(self.world.scenario.agents):
                    await self._agent_fault(fault, number)
            case "floor":
                for number in fault.numbers(self.world.scenario.floors):
                    await self._floor_fault(fault, floor_name(number))
            case "counter":
                await self._counter_fault(fault)
            case "discovery":
                await self._discovery_fault(fault)
            case "peers":
                await self._peers_fault(fault)
            case "clients":
                await self._clients_fault(fault)
            case "house":
                await self._power([machine.name for machine in self.world.machines], list(self.world.listing.boxes))
            case "way":
                self._way_fault(fault)

    async def _power(self, machines: Sequence[str], boxes: Sequence[str]) -> None:
        """All that runs there is gone at once. What was written stays: this floor's disks take each write at once."""
        for process in list(self.world.processes.values()):
            if process.alive and process.machine.name in machines:
                self.world.signal(process, signal.SIGKILL)
        restart = Fault(0.0, "restart", "box:0")
        for uid in boxes:
            await self._box_fault(restart, self.world.listing.boxes.get(uid))

    def _machine_of(self, end: str) -> str:
        """The machine at that end of a way; all that runs on it shares what befalls the way."""
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

    def _way_fault(self, fault: Fault) -> None:
        ways, by = self.world.ways, by_of(fault)
        source, target = (self._machine_of(end) for end in fault.ends())
        pair = (source, target)
        match fault.what:
            case "cut":
                ways.separate([pair])
                self._for(fault, lambda: ways.join([pair]))
            case "late":
                ways.slower[pair] = by
                self._for(fault, lambda: ways.slower.pop(pair, None))
            case "loss":
                ways.lossy[pair] = by
                self._for(fault, lambda: ways.lossy.pop(pair, None))
            case "reset":
                if "clients" in fault.ends():
                    self.world.broke_streams = True
                for process in list(self.world.processes.values()):
                    for held in list(process.holds) if process.alive else ():
                        if isinstance(held, Stream) and {held.machine.name, held.peer.machine.name} == {source, target}:
                            held._break(ConnectionResetError(errno.ECONNRESET, "reset"))

    def _for(self, fault: Fault, end: Callable[[], Any]) -> None:
        if fault.for_s > 0:
            self.world.loop.call_later(fault.for_s, end)

    async def _box_fault(self, fault: Fault, box: ShellBox | None) -> None:
        if box is None:
            return
        model, by = box.model, by_of(fault)
        match fault.what:
            case "slow":
                model.slow = by
                self._for(fault, lambda: setattr(model, "slow", 1.0))
            case "errs":
                model.errs = by
                self._for(fault, lambda: setattr(model, "errs", 0.0))
            case "lies":
                model.lies = True
            case "pause":
                model.pause(by)
            case "silent":
                pairs = [(box.uid, "*"), ("*", box.uid)]
                self.world.ways.separate(pairs)
                self._for(fault, lambda: self.world.ways.join(pairs))
            case "refusing":
                await box.fail(Breaks.REFUSING)
                if fault.for_s > 0:
                    await asyncio.sleep(fault.for_s)
                    await box.fail(Breaks.NONE)
            case "restart":
                await box.restart()
                self.world.bench.started(box.boot_ms - EPOCH * 1000.0, box.uid, box.kind.shape.bears())
                self.world.listing.changed(box)
            case "drain":
                box.state = "draining"
                self.world.listing.changed(box)
                self._for(fault, lambda: self._undrain(box))
            case "remove":
                self.world.listing.boxes.pop(box.uid, None)
                box.state = "removed"
                self.world.listing.changed(box)
                await asyncio.sleep(0.5)
                await box.close()
            case "op-drain" | "op-undrain":
                await self._command(fault, "box", box.uid)

    def _undrain(self, box: ShellBox) -> None:
        if box.uid in self.world.listing.boxes:
            box.state = "up"
            self.world.listing.changed(box)

    async def _command(self, fault: Fault, kind: Any, target: str) -> None:
        """An operator's command, in a process of its own on the first floor."""
        if not self.world.scenario.agents:
            return
        drained = fault.what == "op-drain"
        operator = self.world.rng.choice(("an", "binh"))
        if not drained:
            self._undrains[target] = self._undrains.get(target, 0) + 1
            self.world.reports.undrained(target)
        undrains = self._undrains.get(target, 0)
        process = self.world.process(f"operator-{operator}", self.world.agent_machine(0), {})
        done: asyncio.Future[None] = self.world.loop.create_future()

        async def main() -> int:
            group = Group.read(self.world.folder / "group.toml", self.world.folder / f"token-{operator}")
            order = Order(kind, (target,), drained, force=True, give_up_after=COMMAND_WITHIN)
            result = await carry_out(group, order, lambda *told: None)
            for account in result.accounts:
                for row in account.rows():
                    # one that ends only once another operator has undrained it claims nothing any more
                    holds = drained and self._undrains.get(target, 0) == undrains
                    if holds and kind == "box" and row.state == "reached" and row.limiter:
                        # by the limiter's own clock, which is read at its start
                        since = row.at - EPOCH * 1000.0 - self.world.offsets.get(row.limiter, 0.0)
                        self.world.bench.claimed(self.world.at(), operator, target, row.limiter, since)
            group.close()
            self.world.trace.event(self.world.at(), process.name, f"{fault.what} {target}: {result.exit.name}")
            self.world.commands.append((f"{fault.what} {target}", int(result.exit)))
            return int(result.exit)

        process.on_exit.append(lambda: _settle(done))
        start(self.world.loop, process, main)
        await done

    async def _limiter_fault(self, fault: Fault, number: int) -> None:
        process = self.world.limiters[number]
        machine, by = self.world.machines[number], by_of(fault)
        match fault.what:
            case "kill" if process is not None:
                self.world.signal(process, signal.SIGKILL)
            case "term" if process is not None:
                self.world.signal(process, signal.SIGTERM)
            case "pause" if process is not None:
                self.world.signal(process, signal.SIGSTOP)
                lasts = fault.for_s or by / 1000.0
                self.world.lost.stalled(self.world.at(), f"n{number}", lasts * 1000.0)
                self.world.loop.call_later(lasts, self.world.signal, process, signal.SIGCONT)
            case "clock":
                machine.offset += by
            case "cut" | "cut-to" | "cut-from":
                self._cut(fault, machine.name, [*self.world.scenario.floor_names(), "discovery"])
            case "power" if process is not None:
                self.world.signal(process, signal.SIGKILL)
            case "op-drain" | "op-undrain":
                await self._command(fault, "limiter", f"n{number}")

    def _cut(self, fault: Fault, name: str, others: list[str]) -> None:
        pairs = cut_pairs(fault, name, others)
        self.world.ways.separate(pairs)
        self._for(fault, lambda: self.world.ways.join(pairs))

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
                lasts = fault.for_s or by_of(fault) / 1000.0
                self.world.loop.call_later(lasts, self.world.signal, process, signal.SIGCONT)
            case "clock":
                machine.offset += by_of(fault)
            case "cut":
                self._cut(fault, machine.name, self.world.scenario.floor_names())
            case "disk-full" | "disk-error":
                machine.disk_fails = fault.what
                self._for(fault, lambda: setattr(machine, "disk_fails", ""))

    async def _floor_fault(self, fault: Fault, floor: str) -> None:
        match fault.what:
            case "cut" | "cut-to" | "cut-from":
                self._cut(fault, floor, self.world.scenario.floor_names())
            case "loss":
                was, self.world.ways.loss = self.world.ways.loss, by_of(fault)
                self._for(fault, lambda: setattr(self.world.ways, "loss", was))
            case "late":
                self.world.ways.slow[floor] = self.world.ways.slow.get(floor, 0.0) + by_of(fault)
                self._for(fault, lambda: self.world.ways.slow.pop(floor, None))
            case "power":
                machines = [machine.name for machine in self.world.machines if machine.floor == floor]
                boxes = [uid for uid, box in self.world.listing.boxes.items() if box.floor == floor]
                await self._power(machines, boxes)
            case "restart" | "silent":
                for box in [box for box in self.world.listing.boxes.values() if box.floor == floor]:
                    await self._box_fault(fault, box)

    async def _counter_fault(self, fault: Fault) -> None:
        counter = self.world.counter
        match fault.what:
            case "silent":
                await counter.fail(Breaks.SILENT)
                self._for(fault, lambda: self._keep(counter.fail(Breaks.NONE)))
            case "refusing":
                await counter.fail(Breaks.REFUSING)
                self._for(fault, lambda: self._keep(counter.fail(Breaks.NONE)))
            case "late":
                await counter.fail(Breaks.SLOW, delay=by_of(fault) / 1000.0)
                self._for(fault, lambda: self._keep(counter.fail(Breaks.NONE)))
            case "empty":
                counter.lose()
                counter.reset()
            case "restored":
                snapshot = counter.snapshot()
                self.world.loop.call_later(fault.for_s or 5.0, counter.restore, snapshot)
            case "busy":
                counter.busy = True
                self._for(fault, lambda: setattr(counter, "busy", False))

    async def _discovery_fault(self, fault: Fault) -> None:
        listing, discovery = self.world.listing, self.world.listing.discovery
        match fault.what:
            case "silent" | "refusing":
                await discovery.fail(Breaks.SILENT if fault.what == "silent" else Breaks.REFUSING)
                self._for(fault, lambda: self._keep(self._discovery_back()))
            case "stale":
                listing.stale = listing.rows(0)
                self._for(fault, self._fresh)
            case "late":
                listing.late = by_of(fault) / 1000.0
                self._for(fault, lambda: setattr(listing, "late", 0.0))
            case "flap":
                ends = self.world.loop.time() + (fault.for_s or 2.0)
                boxes = list(listing.boxes.values())
                while self.world.loop.time() < ends and boxes:
                    box = self.world.rng.choice(boxes)
                    box.state = "draining" if box.state == "up" else "up"
                    listing.changed(box)
                    await asyncio.sleep(0.1)
                for box in boxes:
                    self._undrain(box)
            case "dead":
                for uid in list(listing.boxes)[:1]:
                    box = listing.boxes.pop(uid)
                    listing.dead[uid] = box
                    await box.close()
                self._for(fault, self._bury)

    async def _discovery_back(self) -> None:
        await self.world.listing.discovery.fail(Breaks.NONE)
        self.world.listing.discovery.reset()  # watches that were silent are begun anew

    def _fresh(self) -> None:
        self.world.listing.stale = None
        self.world.listing.whole()

    def _bury(self) -> None:
        self.world.listing.dead.clear()
        self.world.listing.whole()

    async def _peers_fault(self, fault: Fault) -> None:
        ways = self.world.ways
        if fault.what == "late":
            for machine in self.world.machines:
                ways.slow[machine.name] = by_of(fault)
            self._for(fault, lambda: [ways.slow.pop(machine.name, None) for machine in self.world.machines])
            return
        was, ways.datagram_loss = ways.datagram_loss, 1.0 if fault.what == "silent" else by_of(fault)
        self._for(fault, lambda: setattr(ways, "datagram_loss", was))

    async def _clients_fault(self, fault: Fault) -> None:
        assert self.world.clients is not None
        lasts = fault.for_s or 2.0
        if fault.what == "hoard":
            clients = self.world.clients
            clients.hoard = by_of(fault)
            self._for(fault, lambda: setattr(clients, "hoard", 0.0))
        elif fault.what == "rush":
            await self.world.clients.rush(by_of(fault), lasts)
        else:
            await self.world.clients.silent_crowd(by_of(fault), lasts)


def _settle(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_result(None)
