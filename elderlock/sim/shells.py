"""Shell-level simulator: the program that ships, in simulated processes on virtual sockets.

`elderlock.__main__.serve`, the agent's `serve` and the operators' commands run with the stand-ins in one thread and one
simulated time. The world observes the network: what clients write and read, what servers are sent, which server lists
limiters receive.
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
from elderlock.load.resp_client import Request
from elderlock.net import startup
from elderlock.net.config import ConfigError, load_config
from elderlock.net.endpoint_list import EndpointList
from elderlock.net.gateway import Gateway
from elderlock.sim import invariant_checkers
from elderlock.sim.clients import Clients
from elderlock.sim.exclusive_holdings import ExclusiveHoldings
from elderlock.sim.figures import FigureCollector, Result
from elderlock.sim.limiter_settings import (
    budget_toml,
    max_drained,
    operators_toml,
    settings_for_limiter,
    uses_peer_messages,
)
from elderlock.sim.models.link_conditions import LinkConditions
from elderlock.sim.observed_server import ObservedServer
from elderlock.sim.scenario import Fault, Scenario, floor_name
from elderlock.sim.shell_faults import ShellFaults
from elderlock.sim.taps import ClientTap, SendTap
from elderlock.sim.trace import Trace
from elderlock.sim.traffic import arrivals
from elderlock.sim.virtual.host import SimHost
from elderlock.sim.virtual.io_faults import Faults, NoFaults
from elderlock.sim.virtual.loop import (
    START_MONOTONIC_S,
    START_UNIX_S,
    DeadlockError,
    LivelockError,
    SimLoop,
    SimulationEnded,
)
from elderlock.sim.virtual.network import Network
from elderlock.sim.virtual.processes import CURRENT_PROCESS, Machine, Process, start
from elderlock.sim.virtual.streams import Stream
from elderlock.sim.virtual.system import simulated_system
from elderlock.standins.counter import Counter
from elderlock.standins.discovery import Registry
from elderlock.standins.servers import Kind

RESTART_DELAY_S = 0.4  # until the platform restarts an ended agent, or a limiter that no agent manages
START_TIMEOUT_MS = 60_000.0  # of the whole group
CANCEL_ROUNDS = 4  # maximum number of times that remaining tasks are cancelled at the end
SAMPLE_INTERVAL_S = 0.5  # between samples of the group's state
COMMAND_TIMEOUT_S = 15.0  # of an operator's command
STATE_NAMES = {ServerState.RUNNING: "running", ServerState.DRAINING: "draining", ServerState.REMOVED: "gone"}
LEVEL = "shells"
# Replaced by observed subclasses in a run.
OBSERVED_CLASSES: list[tuple[Any, str]] = [(startup, "Gateway"), (agents, "Agent")]
REAL_CLOCK = time.perf_counter  # bound here because a run replaces `time.perf_counter`


class _FailureLog(logging.Handler):
    """Reports failures that simulated processes log."""

    def __init__(self, world: ShellWorld) -> None:
        super().__init__(logging.WARNING)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        """Adds the record to the trace; a record with an exception is a failure."""
        process = CURRENT_PROCESS.get()
        name = process.name if process is not None else "world"
        text = record.getMessage()
        self._world.trace.event(self._world.at(), name, f"log {text}")
        if record.exc_info and record.exc_info[1] is not None:
            self._world.bench.failure(self._world.at(), name, f"{text}: {record.exc_info[1]!r}")


class ShellWorld:
    """One run of the shell-level simulator.

    Attributes:
        scenario: The simulated scenario.
        seed: Seed of all random numbers of the run.
        loop: Event loop in simulated time.
        trace: Trace of the run's events.
        ways: Link conditions between machines.
        io: Injects failures into single I/O steps.
        network: The virtual network.
        bench: All invariant checkers of the run.
        account: Figures of the run.
        processes: All simulated processes by their id.
        gateways: Latest gateway of each limiter by name.
        agents: Latest agent object by name.
        features: States of the group that occurred together, for the search.
        has_broken_connections: Whether faults may break clients' connections.
        limiters: Latest process of each limiter.
        agent_processes: Latest process of each agent.
        clients: The clients; None until the group starts.
        offsets: Clock offset of each limiter at the start of its process, in ms.
        zero: Time of the run at which the traffic started, in ms.
        commands: Operators' commands with their exit codes.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        io: Faults | None = None,
        out: Callable[[str], object] | None = None,
        ties: int | None = None,
        rules: invariant_checkers.CheckerLimits | None = None,
    ) -> None:
        """Prepares a run.

        Args:
            scenario: The scenario to simulate.
            seed: Seed of all random numbers.
            io: Injects failures into single I/O steps; none if None.
            out: Receives each line of the trace.
            ties: Seed of the order of simultaneous events; `seed` if None.
            rules: Tolerances of the invariant checkers; those of the scenario if None.
        """
        self.scenario, self.seed = scenario, seed
        self.loop = SimLoop(seed if ties is None else ties)
        self.trace = Trace(out=out)
        self.rng = random.Random(f"world/{seed}")
        self.ways = LinkConditions(scenario.net.delays(), random.Random(f"ways/{seed}"))
        self.io: Faults = io or NoFaults()
        self.network = Network(self.loop, self.ways, random.Random(f"network/{seed}"), self.io)
        self.network.on_transfer, self.network.on_connect = self._bytes_passed, self._connection_opened
        kind = scenario.kind[0]
        self.rules = rules or invariant_checkers.CheckerLimits(cold_share=kind.cold_share, cold_ms=kind.cold_ms)
        self.lost, self.growth = (
            invariant_checkers.UnansweredRequests(self.rules),
            invariant_checkers.UnboundedGrowth(self.rules),
        )
        self.ceilings, self.reports = (
            invariant_checkers.HardCeilings(self.rules),
            invariant_checkers.DrainReports(self.rules),
        )
        self.agreed = ExclusiveHoldings(self.rules, max_drained(scenario))
        self.bench = invariant_checkers.CheckerSet(
            [
                self.lost,
                invariant_checkers.DrainedServers(self.rules),
                invariant_checkers.ColdServers(self.rules),
                self.ceilings,
                self.reports,
                invariant_checkers.UnhandledErrors(self.rules),
                invariant_checkers.Quiescence(self.rules, self._at_rest),
                self.growth,
                invariant_checkers.RecordAgreement(self.rules, self._digests),
                self.agreed,
            ]
        )
        self.account = FigureCollector(scenario.warm_s * 1000.0, scenario.service[0].aim_ms)
        self.processes: dict[int, Process] = {}
        self.gateways: dict[str, Gateway] = {}
        self.agents: dict[str, agents.Agent] = {}
        self.features: set[str] = set()
        self.has_broken_connections = io is not None
        self._known_accounts: dict[str, str] = {}
        self._next_pid = 1000
        self._limiter_numbers: dict[Any, int] = {}  # by the address that clients connect to
        self.limiters: list[Process | None] = [None] * scenario.limiters
        self.faults = ShellFaults(self)
        self.agent_processes: dict[int, Process] = {}
        self._server_count = 0
        self.clients: Clients | None = None
        self.offsets: dict[str, float] = {}
        self.zero = 0.0
        self.commands: list[tuple[str, int]] = []

    # Time

    def at(self) -> float:
        """Returns the time since the start of the run in ms."""
        return (self.loop.time() - START_MONOTONIC_S) * 1000.0

    def since(self, unix: float) -> float:
        """Converts a Unix time in ms to ms since the start of the run."""
        return unix - START_UNIX_S * 1000.0

    def record_fault(self, number: int, fault: Fault) -> None:
        """Adds the start of a fault to the trace."""
        self.trace.event(self.at(), "fault", f"{number} {fault.target} {fault.what}")

    # Running

    def play(self) -> Result:
        """Runs the scenario and returns its result; failures of the code under test are part of the result."""
        started_at = REAL_CLOCK()
        self.folder = Path(tempfile.mkdtemp(prefix="es-", dir=_short_temp()))
        handler = _FailureLog(self)
        root = logging.getLogger()
        original_logging = root.handlers[:], root.level
        root.handlers[:], root.level = [handler], logging.INFO
        original_classes = [(module, name, getattr(module, name)) for module, name in OBSERVED_CLASSES]
        ended, reason = "finished", ""
        try:
            with simulated_system(self.loop, self.seed):
                for (module, name), observed_class in zip(
                    OBSERVED_CLASSES, (self._gateway_class(), self._agent_class()), strict=True
                ):
                    setattr(module, name, observed_class)
                try:
                    self.loop.run_until_complete(self._main())
                except DeadlockError as error:
                    ended, reason = "deadlock", str(error)
                except LivelockError as error:
                    ended, reason = "livelock", str(error)
                except SimulationEnded as error:
                    ended, reason = "failed", repr(error)
                finally:
                    for module, name, original in original_classes:
                        setattr(module, name, original)
                    result = self._result(ended, reason, started_at)
                    self.network.on_transfer = self.network.on_connect = None
                    self._close()
        finally:
            root.handlers[:], root.level = original_logging[0], original_logging[1]
            shutil.rmtree(self.folder, ignore_errors=True)
        return result

    def _result(self, ended: str, reason: str, started_at: float) -> Result:
        for process_name, error in self.loop.unhandled_errors:
            if process_name == "world":  # a model or a checker failed, not the code under test
                ended, reason = "failed", f"{error!r}"
            else:
                self.bench.failure(self.at(), process_name, repr(error))
        broken = [(each.rule, each.at, each.text) for each in self.bench.violations()]
        return Result(
            self.scenario.name,
            LEVEL,
            self.seed,
            self.account.figures(),
            broken,
            self.bench.total(),
            self.trace.digest(),
            self.trace.events,
            ended,
            reason,
            sorted(self.features),
            REAL_CLOCK() - started_at,
            self.at() / 1000.0,
        )

    def _close(self) -> None:
        """Cancels all remaining tasks, so that none of them acts when it is garbage collected."""
        self.loop.set_exception_handler(lambda loop, context: None)
        logging.getLogger().handlers[:] = [logging.NullHandler()]
        # A task whose timeout expires together with its cancellation treats the cancellation as a timeout and goes on.
        for _ in range(CANCEL_ROUNDS):
            tasks = asyncio.all_tasks(self.loop)
            for task in tasks:
                task.cancel()
            for process in self.processes.values():
                process.revive(self.loop)
            if tasks:
                with contextlib.suppress(SimulationEnded):
                    self.loop.run_until_complete(asyncio.wait(tasks, timeout=30.0))
        for process in self.processes.values():
            for resource in list(process.resources):
                if not isinstance(resource, Stream):
                    resource.killed()
        self.loop.discard_pending()
        self.loop.close()

    async def _main(self) -> None:
        scenario = self.scenario
        await self._start_group()
        request_arrivals = arrivals(scenario, self.seed)
        self.clients = Clients(
            scenario, self._addresses, request_arrivals, random.Random(f"clients/{self.seed}"), self._finished
        )
        while not all(name in self.gateways and self.gateways[name].has_list for name in self._names()):
            await asyncio.sleep(0.05)
            if self.at() > START_TIMEOUT_MS:
                self.bench.failure(self.at(), "the group", f"it did not start within {START_TIMEOUT_MS / 1000.0:g} s")
                return
        self.zero = self.at()
        self.clients.start()
        for number, fault in enumerate(scenario.fault):
            self.loop.call_later(fault.at_s, self.faults.begin, number, fault)
        self.loop.create_task(self._sample())
        await asyncio.sleep(scenario.lasts_s)
        self.clients.arrivals_done = True
        await asyncio.sleep(scenario.longest_deadline() / 1000.0 + scenario.rest_s)
        self.bench.ended(self.at())

    # Group

    def _names(self) -> list[str]:
        return [f"n{n}" for n in range(self.scenario.limiters)]

    def _machine(self, name: str, number: int, subnet: int, zone: str) -> Machine:
        host = f"127.{subnet}.{number // 250}.{number % 250 + 1}"
        machine = Machine(name, zone, host, descriptors=self.scenario.settings.sockets)
        self.network.assign_host(host, machine)
        return machine

    async def _start_group(self) -> None:
        scenario = self.scenario
        self.listing = Registry()
        discovery_machine = self._machine("discovery", 0, 3, "")
        self.listing.discovery.host = discovery_machine.host
        await self.listing.discovery.start(scenario.limiters)
        self.counter = Counter()
        self.counter.host = self._machine("counter", 0, 4, floor_name(0)).host
        await self.counter.open(scenario.limiters)
        self.kinds = [Kind(kind.name, kind.shape()) for kind in scenario.kind]
        for number in range(scenario.boxes):
            await self._add_server(self.kinds[number % len(self.kinds)], number % scenario.floors)
        self.machines = [
            self._machine(f"m{n}", n, 1, floor_name(n % scenario.floors)) for n in range(scenario.limiters)
        ]
        self._addresses = [(machine.host, 7000) for machine in self.machines]
        broadcast_address = ("127.9.0.1", 9)
        self._limiter_numbers = {address: number for number, address in enumerate(self._addresses)}
        self._peers = [(machine.host, 7001) for machine in self.machines]
        self.network.multicast_groups[broadcast_address] = self._peers
        for number in range(scenario.limiters):
            (self.folder / f"n{number}.json").write_text(json.dumps(self._config(number, broadcast_address)))
        if scenario.agents:
            self._write_agents()
            for number in range(scenario.agents):
                self._start_agent(number)
        else:
            for number in range(scenario.limiters):
                self._start_limiter(number)

    async def _add_server(self, kind: Kind, zone: int, started_at: float = 0.0) -> ObservedServer:
        uid = f"s-{self._server_count:02d}"
        machine = self._machine(uid, self._server_count, 2, floor_name(zone))
        self._server_count += 1
        server = ObservedServer(uid, kind, machine.floor, self.rng.randrange(1 << 30), started_at)
        server.world, server.host = self, machine.host
        await server.open(self.scenario.limiters)
        self.listing.boxes[uid] = server
        return server

    def _config(self, number: int, broadcast_address: tuple[str, int]) -> dict[str, Any]:
        scenario, has_peers = self.scenario, uses_peer_messages(self.scenario)
        settings = settings_for_limiter(scenario, number, self.rules)
        machine = self.machines[number]
        peers = ["%s:%d" % address for address in self._peers]
        return {
            "name": f"n{number}",
            "seed": f"{self.rng.randrange(1 << 63):016x}",
            "listen": f"{machine.host}:7000",
            "discovery": self.listing.discovery.ports[number].endpoint,
            "limits": {"cores": 1.0, "memory_mb": scenario.settings.memory_mb, "sockets": scenario.settings.sockets},
            "counter": self.counter.ports[number].endpoint,
            "settings": settings,
            **(
                {"peer_listen": peers[number], "peers": peers, "peers_all": "%s:%d" % broadcast_address}
                if has_peers
                else {}
            ),
        }

    # Processes

    def process(self, name: str, machine: Machine, environ: Mapping[str, str]) -> Process:
        """Creates a simulated process whose exit appears in the trace."""
        self._next_pid += 1
        process = self.processes[self._next_pid] = Process(self._next_pid, name, machine, dict(environ))
        process.on_exit.append(lambda: self.trace.event(self.at(), name, f"exit {process.exit_code}"))
        return process

    def incarnation(self, limiter: int) -> Process | None:
        """Returns the limiter's current process, None before its first start."""
        return self.limiters[limiter]

    def is_alive(self, incarnation: Process | None) -> bool:
        """Returns whether this process of a limiter runs."""
        return incarnation is not None and incarnation.alive

    def _start_limiter(self, number: int) -> None:
        folder = self.folder / f"o{number}"
        folder.mkdir(mode=0o700, exist_ok=True)
        path = folder / "operators.toml"
        path.write_text(operators_toml(self.scenario))
        environ = {"PROXY_CONFIG": str(self.folder / f"n{number}.json"), "ELDERLOCK_OPERATORS": str(path)}
        process = self._run_limiter(self.machines[number], environ)
        process.on_exit.append(lambda: self._schedule_limiter_restart(number))

    def _schedule_limiter_restart(self, number: int) -> None:
        self.loop.call_later(RESTART_DELAY_S, self._start_limiter, number)

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
        scenario, folder = self.scenario, self.folder
        names = [f"agent-{n}" for n in range(scenario.agents)]
        tokens = {name: self.rng.randbytes(16).hex() for name in ("an", "binh", *names)}
        roles = {"an": "operator", "binh": "operator", **dict.fromkeys(names, "agent")}
        _write_private(folder / "tokens", "".join(f"{roles[name]} {name} {token}\n" for name, token in tokens.items()))
        for name, token in tokens.items():
            _write_private(folder / f"token-{name}", token + "\n")
        text = '[group]\ntoken = "token-an"\n'
        for number, name in enumerate(names):
            machine = self.agent_machine(number)
            text += f'[[agent]]\nname = "{name}"\naddress = "{machine.host}:7440"\n'
        (folder / "group.toml").write_text(text + budget_toml(scenario))
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
        scenario = self.scenario
        return range(agent * scenario.limiters // scenario.agents, (agent + 1) * scenario.limiters // scenario.agents)

    def agent_machine(self, agent: int) -> Machine:
        """Returns the machine of the agent with this number."""
        return self.machines[self._share(agent)[0]]

    def _start_agent(self, number: int) -> None:
        name = f"agent-{number}"
        machine = self.agent_machine(number)
        host = SimHost(machine, self.io, self._spawn_limiter, self.processes, self.signal)
        process = self.process(name, machine, {})

        async def main() -> int:
            try:
                await agents.serve(self.folder / f"{name}.toml", host=host)
            except Exception as error:
                self.trace.event(self.at(), name, f"ends: {error!r}")
                return 2
            return 0

        self.agent_processes[number] = process
        process.on_exit.append(lambda: self._schedule_agent_restart(number))
        start(self.loop, process, main)

    def _schedule_agent_restart(self, number: int) -> None:
        self.loop.call_later(RESTART_DELAY_S, self._start_agent, number)

    def _spawn_limiter(self, machine: Machine, environ: Mapping[str, str]) -> Process:
        """Starts an agent's limiter on the machine of its address; every version runs the same program."""
        number = int(Path(environ["PROXY_CONFIG"]).stem[1:])
        operators = Path(environ["ELDERLOCK_OPERATORS"])
        combined = operators.with_name("operators-and-more.toml")
        combined.write_text(operators.read_text() + operators_toml(self.scenario))
        environ = {**environ, "ELDERLOCK_OPERATORS": str(combined)}
        return self._run_limiter(self.machines[number], environ)

    def signal(self, process: Process, number: int) -> None:
        """Sends a signal to a process."""
        process.signal(number, self.loop)

    # Observation

    def _connection_opened(self, client: Stream, server: Stream, address: Any) -> None:
        if address in self._limiter_numbers and client.process is None:
            client.tap = ClientTap(self, self._limiter_numbers[address])
        elif client.process is not None and (uid := self._server_at(address)) is not None:
            client.tap = SendTap(self, client.process.name, uid)

    def _server_at(self, address: Any) -> str | None:
        machine = self.network.machines.get(address[0]) if isinstance(address, tuple) else None
        return machine.name if machine is not None and machine.name.startswith("s-") else None

    def _bytes_passed(self, what: str, sender: Any, data: bytes) -> None:
        name = sender.process.name if sender.process is not None else sender.machine.name
        self.trace.event(self.at(), name, f"{what} {len(data)} {zlib.crc32(data):08x}")
        if what == "datagram" and self.account.is_counted(self.at() - self.zero):
            self.account.questions += 1

    def record_attempt(self, limiter: str, server: str, request: str, account: str, options: bytes) -> None:
        """Tells the checkers and the figures that a limiter sent an attempt to a server.

        Args:
            limiter: Name of the limiter.
            server: Identifier of the server.
            request: The client's identifier of the request.
            account: Account of the request.
            options: Options of the command, `name=value` joined by commas.
        """
        now_ms = self.at()
        self.bench.sent(now_ms, limiter, server, request)
        values = dict(pair.split(b"=", 1) for pair in options.split(b","))
        units = float(values[b"units"])
        self._register_ceiling(account, values[b"t"].decode())
        self.bench.spent(now_ms, account, units)
        plan = next(plan for plan in self.scenario.plan if plan.name == self._known_accounts[account])
        self.account.record_send(now_ms - self.zero, account, units, plan.rate, plan.burst)

    def _register_ceiling(self, account: str, plan_name: str) -> None:
        if account not in self._known_accounts:
            self._known_accounts[account] = plan_name
            for plan in self.scenario.plan:
                if plan.name == plan_name and plan.ceiling_rate > 0:
                    self.ceilings.ceiling(account, plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack)

    def record_execution(self, server: str, request: str) -> None:
        """Tells the checkers that a server executed a request."""
        self.bench.ran(self.at(), server, request)

    def _finished(self, request: Request, outcome: str, elapsed_ms: float) -> None:
        if outcome == "refused":
            arrival = request.arrival
            plan = next(plan for plan in self.scenario.plan if plan.name == arrival.plan)
            self.account.record_refusal(self.at() - self.zero, arrival.account, arrival.units, plan.rate, plan.burst)
        started_at = (request.intended_start_us / 1e6 - START_MONOTONIC_S) * 1000.0 - self.zero
        self.account.record_end(started_at, outcome, elapsed_ms, request.arrival.account)

    def _gateway_class(self) -> type[Gateway]:
        world = self

        class Observed(Gateway):
            """The gateway that ships; the world records the server lists that it receives."""

            def __init__(self, *args: Any) -> None:
                super().__init__(*args)
                process = CURRENT_PROCESS.get()
                self.process_name = process.name if process is not None else ""
                world.gateways[self.process_name] = self

            def server_list_received(self, listed: EndpointList) -> None:
                """Records the list and handles it."""
                # The name must be one that the gateway calls: otherwise the checkers of drains and cold servers get no
                # events.
                world.record_server_list(self.process_name, listed)
                super().server_list_received(listed)

        return Observed

    def _agent_class(self) -> type[agents.Agent]:
        world = self

        class Observed(agents.Agent):
            """The agent that ships; the world records each agent object."""

            def __init__(self, *args: Any) -> None:
                super().__init__(*args)
                world.agents[self.name] = self

        return Observed

    def record_server_list(self, limiter: str, listed: EndpointList) -> None:
        """Tells the checkers which server list reached a limiter."""
        now_ms = self.at()
        listed_ids = set()
        for target in listed.servers:
            entry = target.entry
            listed_ids.add(entry.server_id)
            started_at = entry.started_at_ms - START_UNIX_S * 1000.0 if entry.started_at_ms > 0 else 0.0
            self.bench.told(now_ms, limiter, entry.server_id, STATE_NAMES[entry.state], started_at)
        if listed.is_complete:
            for uid in [*self.listing.boxes, *self.listing.dead]:
                if uid not in listed_ids:
                    self.bench.told(now_ms, limiter, uid, "gone", 0.0)

    def _at_rest(self) -> dict[str, int]:
        """Returns counts of what is open after a period without requests."""
        leftovers = {"requests open at their clients": len(self.clients.open) if self.clients is not None else 0}
        for name, gateway in self.gateways.items():
            process = self.limiters[int(name[1:])]
            if process is not None and process.alive and not process.paused:
                leftovers[f"requests open at {name}"] = gateway.open_request_count
                leftovers[f"request ids held at {name}"] = len(gateway.requests.ids)
                leftovers[f"requests that the limiter module of {name} still holds"] = len(gateway.limiter.requests)
        return leftovers

    def _digests(self) -> dict[str, str]:
        return {
            f"agent-{n}": self.agents[f"agent-{n}"].records.digest()
            for n, process in self.agent_processes.items()
            if process.alive and not process.paused and f"agent-{n}" in self.agents
        }

    async def _sample(self) -> None:
        """Samples states that occur together, for the search, and quantities that must not grow without bound."""
        assert self.clients is not None
        while not self.clients.arrivals_done:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            phases, ejected = set(), 0
            for name, gateway in self.gateways.items():
                process = self.limiters[int(name[1:])]
                if process is None or not process.alive:
                    phases.add("down")
                    continue
                limiter = gateway.limiter
                phases.add(limiter.throttle.phase.name + ("" if not process.paused else " paused"))
                outliers: OutlierDetector = limiter.endpoints.outlier_detector
                ejected = max(ejected, min(3, len(outliers.ejected)))
                self.growth.counted(f"{name}'s descriptors", len(process.resources))
                self.growth.counted(f"{name}'s tasks", len(process.tasks))
                self.growth.counted(f"{name}'s requests", len(limiter.requests))
                self.growth.counted(f"{name}'s timers", len(limiter.context.timers.heap))
            managed = [limiter for agent in self.agents.values() for limiter in agent.limiters.values()]
            links = "+".join(sorted({limiter.link.status for limiter in managed}))
            supervised = "+".join(sorted({limiter.supervisor.phase for limiter in managed}))
            self.features.add(f"{'+'.join(sorted(phases))} out={ejected} links={links} supervised={supervised}")


def _write_private(path: Path, text: str) -> None:
    with open(path, "w", opener=lambda name, flags: os.open(name, flags, 0o600)) as file:
        file.write(text)


def _short_temp() -> str:
    """Returns a short temporary folder: the path of a Unix socket is limited to 108 bytes."""
    folder = tempfile.gettempdir()
    return folder if len(folder) < 40 else "/tmp"


def play(scenario: Scenario, seed: int, **options: Any) -> Result:
    """Runs a scenario at the shell level.

    Args:
        scenario: The scenario to simulate.
        seed: Seed of all random numbers.
        **options: Further arguments of `ShellWorld`.
    """
    return ShellWorld(scenario, seed, **options).play()
