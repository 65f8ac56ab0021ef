"""The shells' floor: the program that ships (`elderlock.__main__.serve`, the agent's `serve`, the tool's commands) in
simulated processes, on virtual sockets, with the stand-ins round it, in one thread and one simulated time.

The world looks on at the wire: what a client wrote and read, what a box was sent, what a limiter heard of a list.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import random
import shutil
import tempfile
import time
import zlib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import elderlock.__main__ as program
from elderlock.decisions.outlier_detection import OutlierDetector
from elderlock.fleet.agent import agent as agents
from elderlock.interface import ServerState
from elderlock.load.wire import Request
from elderlock.net import startup
from elderlock.net.config import ConfigError, load_config
from elderlock.net.endpoint_list import EndpointList
from elderlock.net.gateway import Gateway
from elderlock.sim import judges as j
from elderlock.sim.agreed import Agreed
from elderlock.sim.clients import Clients
from elderlock.sim.facts import budget_of, most_out, operators_of, settings_of, talks
from elderlock.sim.figures import Account, Result
from elderlock.sim.models.ways import Ways
from elderlock.sim.scenario import Fault, Scenario, floor_name
from elderlock.sim.shell_faults import ShellFaults
from elderlock.sim.surroundings import ShellBox
from elderlock.sim.taps import ClientTap, SendTap
from elderlock.sim.trace import Trace
from elderlock.sim.traffic import arrivals
from elderlock.sim.virtual.host import SimHost
from elderlock.sim.virtual.loop import EPOCH, START, DeadlockError, LivelockError, SimLoop, SimulationEnded
from elderlock.sim.virtual.network import Faults, Network, NoFaults, Stream
from elderlock.sim.virtual.processes import CURRENT, Machine, Process, start
from elderlock.sim.virtual.system import simulated
from elderlock.standins.counter import Counter
from elderlock.standins.discovery import Registry
from elderlock.standins.servers import Kind

RESTART_AFTER = 0.4  # s after which the platform starts a limiter that has ended, where no agent does
UP_WITHIN = 60_000.0  # ms that the whole group may take to start
FOLDS = 4  # times that what is left at the end is cancelled
SAMPLE_EVERY = 0.5  # s between looks at what the group has come to
COMMAND_WITHIN = 15.0  # s that an operator's command may take
STATES = {ServerState.RUNNING: "running", ServerState.DRAINING: "draining", ServerState.REMOVED: "gone"}
FLOOR = "shells"
CLASSES: list[tuple[Any, str]] = [(startup, "Gateway"), (agents, "Agent")]  # watched while a run lasts
REAL_CLOCK = time.perf_counter  # bound before any run takes its place


class _Log(logging.Handler):
    """What simulated processes log as having failed."""

    def __init__(self, world: ShellWorld) -> None:
        super().__init__(logging.WARNING)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        process = CURRENT.get()
        name = process.name if process is not None else "world"
        text = record.getMessage()
        self._world.trace.event(self._world.at(), name, f"log {text}")
        if record.exc_info and record.exc_info[1] is not None:
            self._world.bench.failure(self._world.at(), name, f"{text}: {record.exc_info[1]!r}")


class ShellWorld:
    """One run. `io` fails single steps of input and output; `out` gets every line of the trace."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        io: Faults | None = None,
        out: Callable[[str], object] | None = None,
        ties: int | None = None,
        rules: j.Rules | None = None,
    ) -> None:
        self.scenario, self.seed = scenario, seed
        self.loop = SimLoop(seed if ties is None else ties)
        self.trace = Trace(out=out)
        self.rng = random.Random(f"world/{seed}")
        self.ways = Ways(scenario.net.delays(), random.Random(f"ways/{seed}"))
        self.io: Faults = io or NoFaults()
        self.network = Network(self.loop, self.ways, random.Random(f"network/{seed}"), self.io)
        self.network.heard, self.network.opened = self._passed, self._opened
        kind = scenario.kind[0]
        self.rules = rules or j.Rules(cold_share=kind.cold_share, cold_ms=kind.cold_ms)
        self.lost, self.growth = j.Lost(self.rules), j.Growth(self.rules)
        self.ceilings, self.reports = j.Ceilings(self.rules), j.Reports(self.rules)
        self.agreed = Agreed(self.rules, most_out(scenario))
        self.bench = j.Bench(
            [
                self.lost,
                j.Drains(self.rules),
                j.Cold(self.rules),
                self.ceilings,
                self.reports,
                j.Failures(self.rules),
                j.Rest(self.rules, self._at_rest),
                self.growth,
                j.Agreement(self.rules, self._digests),
                self.agreed,
            ]
        )
        self.account = Account(scenario.warm_s * 1000.0, scenario.service[0].aim_ms)
        self.processes: dict[int, Process] = {}
        self.gateways: dict[str, Gateway] = {}
        self.agents: dict[str, agents.Agent] = {}
        self.features: set[str] = set()
        self.broke_streams = io is not None
        self._told: dict[str, str] = {}
        self._next_pid = 1000
        self._limiter_at: dict[Any, int] = {}  # where clients find each
        self.limiters: list[Process | None] = [None] * scenario.limiters
        self.faults = ShellFaults(self)
        self.agent_processes: dict[int, Process] = {}
        self._uid = 0
        self.clients: Clients | None = None
        self.offsets: dict[str, float] = {}  # ms, of the clock of each limiter as its process began
        self.zero = 0.0  # ms of the run at which the schedule began
        self.commands: list[tuple[str, int]] = []  # an operator's, with its exit code

    # Time

    def at(self) -> float:
        """ms of the run."""
        return (self.loop.time() - START) * 1000.0

    def since(self, unix: float) -> float:
        return unix - EPOCH * 1000.0

    def began_fault(self, number: int, fault: Fault) -> None:
        self.trace.event(self.at(), "fault", f"{number} {fault.target} {fault.what}")

    # A run

    def play(self) -> Result:
        """Raises nothing of the code under test: what it did wrong stands in the result."""
        began = REAL_CLOCK()
        self.folder = Path(tempfile.mkdtemp(prefix="es-", dir=_short_temp()))
        handler = _Log(self)
        root = logging.getLogger()
        before = root.handlers[:], root.level
        root.handlers[:], root.level = [handler], logging.INFO
        before_classes = [(module, name, getattr(module, name)) for module, name in CLASSES]
        ended, why = "finished", ""
        try:
            with simulated(self.loop, self.seed):
                for (module, name), ours in zip(CLASSES, (self._gateway_class(), self._agent_class()), strict=True):
                    setattr(module, name, ours)
                try:
                    self.loop.run_until_complete(self._main())
                except DeadlockError as error:
                    ended, why = "deadlock", str(error)
                except LivelockError as error:
                    ended, why = "livelock", str(error)
                except SimulationEnded as error:
                    ended, why = "failed", repr(error)
                finally:
                    for module, name, was in before_classes:
                        setattr(module, name, was)
                    result = self._result(ended, why, began)
                    self.network.heard = self.network.opened = None
                    self._fold()
        finally:
            root.handlers[:], root.level = before[0], before[1]
            shutil.rmtree(self.folder, ignore_errors=True)
        return result

    def _result(self, ended: str, why: str, began: float) -> Result:
        for where, error in self.loop.failed:
            if where == "world":  # a model or a judge, not the code under test
                ended, why = "failed", f"{error!r}"
            else:
                self.bench.failure(self.at(), where, repr(error))
        broken = [(each.rule, each.at, each.text) for each in self.bench.broken()]
        return Result(
            self.scenario.name,
            FLOOR,
            self.seed,
            self.account.figures(),
            broken,
            self.bench.total(),
            self.trace.digest(),
            self.trace.events,
            ended,
            why,
            sorted(self.features),
            REAL_CLOCK() - began,
            self.at() / 1000.0,
        )

    def _fold(self) -> None:
        """All that still waits is cancelled, so that nothing of it is left to act when it is collected."""
        self.loop.set_exception_handler(lambda loop, context: None)
        logging.getLogger().handlers[:] = [logging.NullHandler()]
        for _ in range(FOLDS):  # one whose time-out comes together with its cancellation takes that for a time-out
            tasks = asyncio.all_tasks(self.loop)
            for task in tasks:
                task.cancel()
            for process in self.processes.values():
                process.revive(self.loop)
            if tasks:
                with contextlib.suppress(SimulationEnded):
                    self.loop.run_until_complete(asyncio.wait(tasks, timeout=30.0))
        for process in self.processes.values():
            for held in list(process.holds):
                if not isinstance(held, Stream):
                    held.killed()
        self.loop.let_go()
        self.loop.close()

    async def _main(self) -> None:
        s = self.scenario
        await self._open()
        asked = arrivals(s, self.seed)
        self.clients = Clients(s, self._addresses, asked, random.Random(f"clients/{self.seed}"), self._finished)
        while not all(name in self.gateways and self.gateways[name].has_list for name in self._names()):
            await asyncio.sleep(0.05)
            if self.at() > UP_WITHIN:
                self.bench.failure(self.at(), "the group", f"it did not come up within {UP_WITHIN / 1000.0:g} s")
                return
        self.zero = self.at()
        self.clients.start()
        for number, fault in enumerate(s.fault):
            self.loop.call_later(fault.at_s, self.faults.begin, number, fault)
        self.loop.create_task(self._sample())
        await asyncio.sleep(s.lasts_s)
        self.clients.dry = True
        await asyncio.sleep(s.longest_deadline() / 1000.0 + s.rest_s)
        self.bench.ended(self.at())

    # The world

    def _names(self) -> list[str]:
        return [f"n{n}" for n in range(self.scenario.limiters)]

    def _machine(self, name: str, number: int, net: int, floor: str) -> Machine:
        host = f"127.{net}.{number // 250}.{number % 250 + 1}"
        machine = Machine(name, floor, host, descriptors=self.scenario.settings.sockets)
        self.network.move(host, machine)
        return machine

    async def _open(self) -> None:
        s = self.scenario
        self.listing = Registry()
        where = self._machine("discovery", 0, 3, "")
        self.listing.discovery.host = where.host
        await self.listing.discovery.start(s.limiters)
        self.counter = Counter()
        self.counter.host = self._machine("counter", 0, 4, floor_name(0)).host
        await self.counter.open(s.limiters)
        self.kinds = [Kind(kind.name, kind.shape()) for kind in s.kind]
        for number in range(s.boxes):
            await self._add_box(self.kinds[number % len(self.kinds)], number % s.floors)
        self.machines = [self._machine(f"m{n}", n, 1, floor_name(n % s.floors)) for n in range(s.limiters)]
        self._addresses = [(machine.host, 7000) for machine in self.machines]
        everyone = ("127.9.0.1", 9)
        self._limiter_at = {at: number for number, at in enumerate(self._addresses)}
        self._peers = [(machine.host, 7001) for machine in self.machines]
        self.network.groups[everyone] = self._peers
        for number in range(s.limiters):
            (self.folder / f"n{number}.json").write_text(json.dumps(self._config(number, everyone)))
        if s.agents:
            self._write_agents()
            for number in range(s.agents):
                self._start_agent(number)
        else:
            for number in range(s.limiters):
                self._start_limiter(number)

    async def _add_box(self, kind: Kind, floor: int, started: float = 0.0) -> ShellBox:
        uid = f"s-{self._uid:02d}"
        machine = self._machine(uid, self._uid, 2, floor_name(floor))
        self._uid += 1
        box = ShellBox(uid, kind, machine.floor, self.rng.randrange(1 << 30), started)
        box.world, box.host = self, machine.host
        await box.open(self.scenario.limiters)
        self.listing.boxes[uid] = box
        return box

    def _config(self, number: int, everyone: tuple[str, int]) -> dict[str, Any]:
        s, several = self.scenario, talks(self.scenario)
        own = settings_of(s, number, self.rules)
        machine = self.machines[number]
        peers = ["%s:%d" % at for at in self._peers]
        return {
            "name": f"n{number}",
            "seed": f"{self.rng.randrange(1 << 63):016x}",
            "listen": f"{machine.host}:7000",
            "discovery": self.listing.discovery.ports[number].endpoint,
            "limits": {"cores": 1.0, "memory_mb": s.settings.memory_mb, "sockets": s.settings.sockets},
            "counter": self.counter.ports[number].endpoint,
            "settings": own,
            **({"peer_listen": peers[number], "peers": peers, "peers_all": "%s:%d" % everyone} if several else {}),
        }

    # Processes

    def process(self, name: str, machine: Machine, environ: Mapping[str, str]) -> Process:
        self._next_pid += 1
        process = self.processes[self._next_pid] = Process(self._next_pid, name, machine, dict(environ))
        process.on_exit.append(lambda: self.trace.event(self.at(), name, f"exit {process.exit_code}"))
        return process

    def incarnation(self, limiter: int) -> Process | None:
        return self.limiters[limiter]

    def lives(self, incarnation: Process | None) -> bool:
        return incarnation is not None and incarnation.alive

    def _start_limiter(self, number: int) -> None:
        folder = self.folder / f"o{number}"
        folder.mkdir(mode=0o700, exist_ok=True)
        path = folder / "operators.toml"
        path.write_text(operators_of(self.scenario))
        environ = {"PROXY_CONFIG": str(self.folder / f"n{number}.json"), "ELDERLOCK_OPERATORS": str(path)}
        process = self._run_limiter(self.machines[number], environ)
        process.on_exit.append(lambda: self._again(number))

    def _again(self, number: int) -> None:
        self.loop.call_later(RESTART_AFTER, self._start_limiter, number)

    def _run_limiter(self, machine: Machine, environ: Mapping[str, str]) -> Process:
        name = Path(environ["PROXY_CONFIG"]).stem
        number = int(name[1:])
        process = self.limiters[number] = self.process(name, machine, environ)
        self.trace.event(self.at(), name, "begins")
        self.bench.limiter_began(self.at(), name)
        self.offsets[name] = machine.offset

        async def main() -> int:
            try:
                await program.serve(load_config(os.environ))
            except (OSError, ConfigError) as error:
                self.trace.event(self.at(), name, f"ends: {type(error).__name__}")
                return 2
            return 0

        start(self.loop, process, main)
        return process

    def _write_agents(self) -> None:
        s, folder = self.scenario, self.folder
        names = [f"agent-{n}" for n in range(s.agents)]
        tokens = {name: self.rng.randbytes(16).hex() for name in ("an", "binh", *names)}
        roles = {"an": "operator", "binh": "operator", **dict.fromkeys(names, "agent")}
        _private(folder / "tokens", "".join(f"{roles[n]} {n} {t}\n" for n, t in tokens.items()))
        for name, token in tokens.items():
            _private(folder / f"token-{name}", token + "\n")
        text = '[group]\ntoken = "token-an"\n'
        for number, name in enumerate(names):
            machine = self.agent_machine(number)
            text += f'[[agent]]\nname = "{name}"\naddress = "{machine.host}:7440"\n'
        (folder / "group.toml").write_text(text + budget_of(s))
        for number, name in enumerate(names):
            machine = self.agent_machine(number)
            text = (
                f'[agent]\nname = "{name}"\nlisten = "{machine.host}:7440"\nstate = "{name}"\ntokens = "tokens"\n'
                f'group = "group.toml"\npeer_token = "token-{name}"\n'
            )
            for limiter in self._share(number):
                text += f'[[limiter]]\nname = "n{limiter}"\ncommand = ["limiter"]\nconfig = "n{limiter}.json"\n'
            (folder / f"{name}.toml").write_text(text)

    def _share(self, agent: int) -> range:
        s = self.scenario
        return range(agent * s.limiters // s.agents, (agent + 1) * s.limiters // s.agents)

    def agent_machine(self, agent: int) -> Machine:
        return self.machines[self._share(agent)[0]]

    def _start_agent(self, number: int) -> None:
        name = f"agent-{number}"
        machine = self.agent_machine(number)
        host = SimHost(machine, self.io, self._spawned, self.processes, self.signal)
        process = self.process(name, machine, {})

        async def main() -> int:
            try:
                await agents.serve(self.folder / f"{name}.toml", host=host)
            except Exception as error:
                self.trace.event(self.at(), name, f"ends: {error!r}")
                return 2
            return 0

        self.agent_processes[number] = process
        process.on_exit.append(lambda: self._again_agent(number))
        start(self.loop, process, main)

    def _again_agent(self, number: int) -> None:
        self.loop.call_later(RESTART_AFTER, self._start_agent, number)

    def _spawned(self, machine: Machine, environ: Mapping[str, str]) -> Process:
        """An agent's limiter, on the machine where it has its address. Its version, if any, is the program as it is."""
        number = int(Path(environ["PROXY_CONFIG"]).stem[1:])
        operators = Path(environ["ELDERLOCK_OPERATORS"])
        beside = operators.with_name("operators-and-more.toml")
        beside.write_text(operators.read_text() + operators_of(self.scenario))
        environ = {**environ, "ELDERLOCK_OPERATORS": str(beside)}
        return self._run_limiter(self.machines[number], environ)

    def signal(self, process: Process, number: int) -> None:
        process.signal(number, self.loop)

    # What is seen from outside

    def _opened(self, client: Stream, server: Stream, at: Any) -> None:
        if at in self._limiter_at and client.process is None:
            client.tap = ClientTap(self, self._limiter_at[at])
        elif client.process is not None and (uid := self._box_at(at)) is not None:
            client.tap = SendTap(self, client.process.name, uid)

    def _box_at(self, at: Any) -> str | None:
        machine = self.network.machines.get(at[0]) if isinstance(at, tuple) else None
        return machine.name if machine is not None and machine.name.startswith("s-") else None

    def _passed(self, what: str, by: Any, data: bytes) -> None:
        name = by.process.name if by.process is not None else by.machine.name
        self.trace.event(self.at(), name, f"{what} {len(data)} {zlib.crc32(data):08x}")
        if what == "datagram" and self.account.counts(self.at() - self.zero):
            self.account.questions += 1

    def let_go(self, limiter: str, box: str, request: str, account: str, terms: bytes) -> None:
        at = self.at()
        self.bench.sent(at, limiter, box, request)
        values = dict(pair.split(b"=", 1) for pair in terms.split(b","))
        units = float(values[b"units"])
        self._ceiling_of(account, values[b"t"].decode())
        self.bench.spent(at, account, units)
        plan = next(plan for plan in self.scenario.plan if plan.name == self._told[account])
        self.account.let_go(at - self.zero, account, units, plan.rate, plan.burst)

    def _ceiling_of(self, account: str, plan_name: str) -> None:
        if account not in self._told:
            self._told[account] = plan_name
            for plan in self.scenario.plan:
                if plan.name == plan_name and plan.ceiling_rate > 0:
                    self.ceilings.ceiling(account, plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack)

    def reached(self, box: str, request: str) -> None:
        self.bench.ran(self.at(), box, request)

    def _finished(self, request: Request, outcome: str, took: float) -> None:
        if outcome == "refused":
            arrival = request.arrival
            plan = next(plan for plan in self.scenario.plan if plan.name == arrival.plan)
            self.account.refused(self.at() - self.zero, arrival.account, arrival.units, plan.rate, plan.burst)
        began = (request.began / 1e6 - START) * 1000.0 - self.zero
        self.account.finished(began, outcome, took, request.arrival.account)

    def _gateway_class(self) -> type[Gateway]:
        world = self

        class Seen(Gateway):
            """The program's own, and the world hears what lists it is told."""

            def __init__(self, *given: Any) -> None:
                super().__init__(*given)
                process = CURRENT.get()
                self.process_name = process.name if process is not None else ""
                world.gateways[self.process_name] = self

            def server_list_received(self, listed: EndpointList) -> None:
                # under a name that the gateway does not call, the judges of drains and cold boxes heard nothing here
                world.heard_list(self.process_name, listed)
                super().server_list_received(listed)

        return Seen

    def _agent_class(self) -> type[agents.Agent]:
        world = self

        class Seen(agents.Agent):
            def __init__(self, *given: Any) -> None:
                super().__init__(*given)
                world.agents[self.name] = self

        return Seen

    def heard_list(self, limiter: str, listed: EndpointList) -> None:
        at = self.at()
        named = set()
        for target in listed.servers:
            entry = target.entry
            named.add(entry.server_id)
            started = entry.started_at_ms - EPOCH * 1000.0 if entry.started_at_ms > 0 else 0.0
            self.bench.told(at, limiter, entry.server_id, STATES[entry.state], started)
        if listed.is_complete:
            for uid in [*self.listing.boxes, *self.listing.dead]:
                if uid not in named:
                    self.bench.told(at, limiter, uid, "gone", 0.0)

    def _at_rest(self) -> dict[str, int]:
        """What is left when nothing has been asked for a while."""
        left = {"requests open at their clients": len(self.clients.open) if self.clients is not None else 0}
        for name, gateway in self.gateways.items():
            process = self.limiters[int(name[1:])]
            if process is not None and process.alive and not process.paused:
                left[f"requests open at {name}"] = gateway.open_request_count
                left[f"requests that {name}'s module has not let go"] = len(gateway.limiter.requests)
        return left

    def _digests(self) -> dict[str, str]:
        return {
            f"agent-{n}": self.agents[f"agent-{n}"].records.digest()
            for n, process in self.agent_processes.items()
            if process.alive and not process.paused and f"agent-{n}" in self.agents
        }

    async def _sample(self) -> None:
        """The states that came together, for the search, and what could grow."""
        assert self.clients is not None
        while not self.clients.dry:
            await asyncio.sleep(SAMPLE_EVERY)
            phases, out = set(), 0
            for name, gateway in self.gateways.items():
                process = self.limiters[int(name[1:])]
                if process is None or not process.alive:
                    phases.add("down")
                    continue
                limiter = gateway.limiter
                phases.add(limiter.throttle.phase.name + ("" if not process.paused else " paused"))
                outliers: OutlierDetector = limiter.endpoints.outlier_detector
                out = max(out, min(3, len(outliers.ejected)))
                self.growth.counted(f"{name}'s descriptors", len(process.holds))
                self.growth.counted(f"{name}'s tasks", len(process.tasks))
                self.growth.counted(f"{name}'s requests", len(limiter.requests))
                self.growth.counted(f"{name}'s timers", len(limiter.context.timers.heap))
            links = sorted({c.link.status for a in self.agents.values() for c in a.limiters.values()})
            phases_of = sorted({c.supervisor.phase for a in self.agents.values() for c in a.limiters.values()})
            self.features.add(
                f"{'+'.join(sorted(phases))} out={out} links={'+'.join(links)} supervised={'+'.join(phases_of)}"
            )


def _private(path: Path, text: str) -> None:
    with open(path, "w", opener=lambda name, flags: os.open(name, flags, 0o600)) as file:
        file.write(text)


def _short_temp() -> str:
    """A Unix socket's name has 108 bytes, whatever TMPDIR says."""
    found = tempfile.gettempdir()
    return found if len(found) < 40 else "/tmp"


def play(scenario: Scenario, seed: int, **more: Any) -> Result:
    return ShellWorld(scenario, seed, **more).play()
