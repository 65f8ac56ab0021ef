"""Test harness: a group of real limiter and agent processes on loopback, with a relay on every link.

The processes run the program as it ships, against fake servers, discovery and counter. The harness observes them from
outside: at the relays, at the fake servers, in the output of tools and in the control blocks. It reads no internal
state of the code under test except what the program shows to an operator (`Show`), which the simulation reads as well.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from elderlock.control.records import Records
from elderlock.fleet import messages
from elderlock.fleet.client.group_client import Group
from elderlock.load.resp_client import Request
from elderlock.sim import invariant_checkers
from elderlock.sim.clients import Clients
from elderlock.sim.figures import FigureCollector
from elderlock.sim.limiter_settings import budget_toml, operators_toml, settings_for_limiter, uses_peer_messages
from elderlock.sim.observed_server import ObservedServer
from elderlock.sim.scenario import Fault, Scenario, floor_name
from elderlock.sim.traffic import arrivals
from elderlock.standins.discovery import Registry
from elderlock.standins.servers import Kind
from elderlock.standins.waiting import unix_ms
from elderlock.standins.world import World, random_loopback_host
from elderlock.trial import child, disk
from elderlock.trial.control_block import STILL_RUNNING, ControlBlock
from elderlock.trial.guard import marked_pids
from elderlock.trial.history import DRAIN_GRACE_MS, REQUEST_GRACE_MS, WRITE_DELAY_MS, Recorder
from elderlock.trial.link_conditions import LinkFaults, Location
from elderlock.trial.observers import ClientObserver, ListObserver, SendObserver
from elderlock.trial.processes import Child, ObservedProcess, python
from elderlock.trial.relay import DatagramRelay, Relay, Relays, listening_tcp_addresses
from elderlock.trial.stalls import StallMonitor

POLL_INTERVAL_S = 0.01  # between two readings of the control blocks
AGENT_RESTART_DELAY_S = 0.4  # after which a process that ended is started again, as in the simulation
STARTUP_TIMEOUT_S = 30.0  # for the group to come up; only a hang takes that long
CLOSE_REPORT_DELAY_S = 0.1  # after which a limiter whose connection closed is known to have ended, if it has
LIST_STATES = {"up": "running", "draining": "draining", "removed": "gone"}  # discovery's state -> the checkers' state
# Of supervision. Injected faults must not count as a crash loop, so many crashes are allowed.
SUPERVISION_SETTINGS = "first_backoff = 0.2\nmost_backoff = 1.0\ncrashes = 1000\n"


class TrialError(Exception):
    """The run could not begin or continue; the text says which process was waited for and for what."""


class TrialServer(ObservedServer):
    """A fake server that discovery lists at the addresses of its relays, one for each limiter.

    Attributes:
        relays: The relay in front of the server, by limiter number.
    """

    relays: dict[int, Relay]

    def target(self, port_index: int) -> dict[str, Any]:
        """Return discovery's entry of this server for one limiter."""
        return {**super().target(port_index), "endpoint": self.relays[port_index].endpoint}


@dataclass(eq=False)
class Incarnation:
    """One process of a limiter, from its start to its end.

    Attributes:
        name: The limiter's name.
        process: The process.
        clock_offset_ms: How far its wall clock was ahead when it started; a limiter reads the wall clock only then.
        expected_end: Why the harness ended it; empty if it did not.
    """

    name: str
    process: ObservedProcess
    clock_offset_ms: float = 0.0
    expected_end: str = ""


@dataclass(eq=False)
class LimiterProcess:
    """A limiter and its processes, one after the other.

    Attributes:
        number: The limiter's number.
        block: Its control block.
        incarnation: The process that runs now, if any.
        starts_seen: How many of its starts the harness has noticed.
        killed_unseen: The pids that the harness killed before it noticed their start.
        child: The child process, if the harness starts the limiter because there are no agents.
        incarnations: All its processes.
    """

    number: int
    block: ControlBlock
    incarnation: Incarnation | None = None
    starts_seen: int = 0
    killed_unseen: set[int] = field(default_factory=set)
    child: Child | None = None
    incarnations: list[Incarnation] = field(default_factory=list)


@dataclass(eq=False)
class AgentProcess:
    """An agent and its process.

    Attributes:
        number: The agent's number.
        block: Its control block.
        child: The child process: the agent, or the launcher that starts it.
        expected_end: Why the harness ended the process; empty if it did not.
        has_disk_lied: Whether its disk has had the fault `DiskFault.LIES`.
        is_kill_armed: Whether it is to be killed at a write step, in this incarnation or a later one.
        is_held_down: Whether its restart is left to whoever set this.
        power_outages: How many power losses it has not recovered from; a second one may begin during the first.
        state_replacements: How often the harness removed or replaced its stored state.
    """

    number: int
    block: ControlBlock
    child: Child
    expected_end: str = ""
    has_disk_lied: bool = False
    is_kill_armed: bool = False
    is_held_down: bool = False
    power_outages: int = 0
    state_replacements: int = 0


class Harness(World):
    """A group of real processes under test.

    Attributes:
        scenario: What is run.
        seed: The seed of all random choices.
        mark: The mark of all processes that the harness starts; see `guard`.
        mutant: The name of the mutant that the processes run, of `mutants.MUTANTS`; empty for none.
        with_launchers: Whether a launcher starts each agent.
        rules: The tolerances of the invariant checkers.
        link_faults: The faults of all links.
        relays: All relays.
        limiter_locations: The limiters' locations, by number.
        agent_locations: The agents' locations, by number.
        clients_location: The location of the clients.
        tool_location: The location of operators' tools.
        discovery_location: The location of discovery.
        counter_location: The location of the counter.
        datagrams: The datagram links between limiters.
        bench: The recorder of all events.
        account: The figures of the run.
        limiter_processes: The limiters, by number.
        agent_processes: The agents, by number.
        has_broken_connections: Whether connections break without their limiter's doing; a relay reports each such break
            itself, so it is always false here.
        clients: The clients, once they have started.
        schedule_start_ms: When the scenario's schedule began, in ms of the run.
        harness_errors: The exceptions of the harness itself: of a fake or a relay.
        epoch_ms: When the run began, in Unix ms.
        stall_monitor: Records the stalls of the runner and of the processes.
        tools_started: How many operator commands were started.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        mark: str,
        seed: int = 1,
        mutant: str = "",
        rules: invariant_checkers.CheckerLimits | None = None,
        with_launchers: bool = False,
    ) -> None:
        """Prepare the group; nothing is opened or started.

        Args:
            scenario: What is run.
            folder: An empty folder for all files of the run.
            mark: The mark of all processes that the harness starts; see `guard`.
            seed: The seed of all random choices.
            mutant: The name of the mutant that the processes run; empty for none.
            rules: The tolerances of the invariant checkers; None for those of real processes.
            with_launchers: Whether a launcher starts each agent.
        """
        self.scenario, self.seed, self.mark = scenario, seed, mark
        self.mutant, self.with_launchers = mutant, with_launchers
        s, kind = scenario, scenario.kind[0]
        self.rules = rules or invariant_checkers.CheckerLimits(
            grace=REQUEST_GRACE_MS,
            drain=DRAIN_GRACE_MS,
            instant=WRITE_DELAY_MS,
            cold_share=kind.cold_share,
            cold_ms=kind.cold_ms,
        )
        super().__init__(folder, s.limiters, s.boxes, agents=s.agents, seed=seed)
        self.loop = asyncio.get_running_loop()
        self.link_faults = LinkFaults()
        self.relays = Relays(self.link_faults)
        self.limiter_locations = [Location.of(f"n{n}", f"m{n}", floor_name(n % s.floors)) for n in range(s.limiters)]
        self.agent_locations = [Location.of(f"agent-{a}", *self._machine_and_zone(a)) for a in range(s.agents)]
        self.clients_location, self.tool_location = Location.of("clients"), Location.of("tool")
        self.discovery_location, self.counter_location = (
            Location.of("discovery"),
            Location.of("counter", floor_name(0)),
        )
        self.datagrams = DatagramRelay(self.link_faults, self.limiter_locations, random.Random(f"datagrams/{seed}"))
        self.network = self.datagrams
        self.bench = Recorder()
        self.account = FigureCollector(s.warm_s * 1000.0, s.service[0].aim_ms)
        self.limiter_processes: list[LimiterProcess] = []
        self.agent_processes: list[AgentProcess] = []
        self.has_broken_connections = False
        self.clients: Clients | None = None
        self.schedule_start_ms = 0.0
        self.harness_errors: list[str] = []
        self._started_s = time.monotonic()
        self.epoch_ms = unix_ms()
        self._discovery_relays: list[Relay] = []
        self._counter_relays: list[Relay] = []
        self._client_relays: list[Relay] = []
        self._agent_relays: dict[tuple[str, int], Relay] = {}
        self._plan_names: dict[str, str] = {}
        self._servers_created = 0
        self.stall_monitor = StallMonitor(self.at, self._pids)
        self._timers: list[asyncio.TimerHandle] = []
        self._is_closed = False
        self.tools_started = 0

    # Time

    def at(self) -> float:
        """Return the time in ms of the run."""
        return (time.monotonic() - self._started_s) * 1000.0

    def since(self, unix: float) -> float:
        """Convert Unix ms to ms of the run."""
        return unix - self.epoch_ms

    # The addresses and files that the processes are given

    @property
    def listing(self) -> Registry:
        """The servers that discovery lists."""
        return self.registry

    def _machine_and_zone(self, agent: int) -> tuple[str, str]:
        """Return the names of an agent's machine and zone: those of the first of its limiters."""
        first_limiter = self.share(agent)[0]
        return f"m{first_limiter}", floor_name(first_limiter % self.scenario.floors)

    def discovery_endpoint(self, limiter: int) -> str:
        """Return the address at which a limiter reaches discovery."""
        return self._discovery_relays[limiter].endpoint

    def counter_endpoint(self, limiter: int) -> str:
        """Return the address at which a limiter reaches the counter."""
        return self._counter_relays[limiter].endpoint

    def agent_address(self, asker: str, agent: int) -> str:
        """Return the address at which an agent is reached.

        Args:
            asker: The name of the agent that connects; empty for a tool.
            agent: The number of the agent that is reached.
        """
        if asker == self.agent_names[agent]:
            return self.agent_listens[agent]
        return self._agent_relays[asker, agent].endpoint

    def settings_of(self, limiter: int) -> dict[str, Any]:
        """Return the settings of a limiter."""
        return settings_for_limiter(self.scenario, limiter, self.rules)

    def limiter_command(self, limiter: int) -> list[str]:
        """Return the command line of a limiter."""
        return python("-m", "elderlock.trial.child", "limiter", str(self.control_block_path(f"n{limiter}")))

    def config(self, number: int) -> dict[str, Any]:
        """Return the configuration of a limiter."""
        s = self.scenario.settings
        config = {**super().config(number), "limits": {"cores": 1.0, "memory_mb": s.memory_mb, "sockets": s.sockets}}
        if not uses_peer_messages(self.scenario):
            for name in ("peer_listen", "peers", "peers_all"):
                config.pop(name, None)
        return config

    def control_block_path(self, name: str) -> Path:
        """Return the file of the control block of a limiter or an agent, by its name."""
        return self.folder / "seams" / f"{name}.seam"

    def home(self, agent: int) -> Path:
        """Return the state folder of an agent."""
        return self.folder / self.agent_names[agent]

    @property
    def direct_group_path(self) -> Path:
        """The group file for observers, with which they reach the agents without a relay."""
        return self.folder / "direct.toml"

    def _relay_address(self) -> tuple[str, int]:
        return random_loopback_host(self._hosts), 0

    def _add_relay(
        self,
        source: Location,
        destination: Location,
        target: Any,
        observe: Callable[[], Any] = lambda: None,
        listens: bool = True,
    ) -> Relay:
        return self.relays.add(
            Relay(self.link_faults, source, destination, target, observe), self._relay_address(), listens
        )

    def _reserve_descriptors(self) -> None:
        """Raise the limit of open descriptors to what the relays and connections need.

        Raises:
            TrialError: The machine does not allow as many.
        """
        s = self.scenario
        needed = 150 + s.limiters * (4 * s.boxes + 3 * s.limiters + 20) + 4 * s.agents * s.agents
        soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft_limit < needed <= hard_limit or hard_limit == resource.RLIM_INFINITY:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft_limit, needed), hard_limit))
        elif hard_limit < needed:
            raise TrialError(
                f"the trial needs about {needed} descriptors for its relays, and may have {hard_limit} (ulimit -n)"
            )

    async def open(self) -> None:
        """Open the fakes and the relays and write the files; no process is started.

        Raises:
            TrialError: The machine does not allow enough open descriptors.
        """
        s = self.scenario
        self._reserve_descriptors()
        (self.folder / "seams").mkdir(mode=0o700)
        await self.registry.discovery.start(s.limiters)
        await self.counter.open(s.limiters)
        await self.datagrams.open()
        for number, location in enumerate(self.limiter_locations):
            discovery_door, counter_door = self.registry.discovery.ports[number], self.counter.ports[number]
            self._discovery_relays.append(
                self._add_relay(
                    location,
                    self.discovery_location,
                    (discovery_door.owner.host, discovery_door.port),
                    lambda number=number: ListObserver(lambda raw: self._list_received(number, raw)),  # type: ignore[misc]
                )
            )
            self._counter_relays.append(
                self._add_relay(location, self.counter_location, (counter_door.owner.host, counter_door.port))
            )
            self._client_relays.append(
                self._add_relay(
                    self.clients_location,
                    location,
                    _parse_address(self.listens[number]),
                    lambda number=number: ClientObserver(self, number, self._call_after_close),  # type: ignore[misc]
                    listens=False,
                )
            )
            self.limiter_processes.append(
                LimiterProcess(number, ControlBlock(self.control_block_path(f"n{number}"), create=True))
            )
        kinds = [Kind(kind.name, kind.shape()) for kind in s.kind]
        for number in range(s.boxes):
            await self.add_trial_server(kinds[number % len(kinds)], floor_name(number % s.floors))
        for agent, location in enumerate(self.agent_locations):
            address = _parse_address(self.agent_listens[agent])
            for other in range(s.agents):
                if other != agent:
                    self._agent_relays[self.agent_names[other], agent] = self._add_relay(
                        self.agent_locations[other], location, address, listens=False
                    )
            self._agent_relays["", agent] = self._add_relay(self.tool_location, location, address, listens=False)
        for number in range(s.limiters):
            self.config_path(number).write_text(json.dumps(self.config(number)))
            (self.folder / f"more-n{number}.toml").write_text(operators_toml(s))
        self.write_files()
        for agent in range(s.agents):
            self._prepare_agent(agent)
        self.relays.watch()

    def write_agent(self, agent: int, command: Any = (), supervise: str = "") -> Path:
        """Write the configuration of an agent; return its path."""
        path = super().write_agent(agent, command, supervise or SUPERVISION_SETTINGS)
        text = path.read_text()
        for number in self.share(agent):
            text = text.replace(
                f'config = "n{number}.json"\n', f'config = "n{number}.json"\nauthz = "more-n{number}.toml"\n'
            )
        path.write_text(text + '[versions]\nfolder = "versions"\n')
        return path

    def install_limiter_version(self, name: str, mutant: str = "", **environ: str) -> None:
        """Install a version of the limiter on every agent's disk: the present program.

        Args:
            name: The version's name.
            mutant: The name of the mutant that it runs; empty for none.
            **environ: Environment variables to start it with.
        """
        self._install_version(name, "command", "limiter", mutant, environ)

    def install_agent_version(self, name: str, mutant: str = "", **environ: str) -> None:
        """Install a version of the agent; see `install_limiter_version`."""
        self._install_version(name, "agent", "agent", mutant, environ)

    def _install_version(self, name: str, key: str, role: str, mutant: str, environ: Mapping[str, str]) -> None:
        variables = [
            f"{k}={value}" for k, value in ({child.MUTANT_VARIABLE: mutant, **environ} if mutant else environ).items()
        ]
        block_path = str(self.control_block_path("{" + role + "}"))
        command = ["env", *variables, *python("-m", "elderlock.trial.child", role, block_path)]
        path = self.folder / "versions" / name / "version.toml"
        path.parent.mkdir(parents=True)
        path.write_text(f"{key} = {json.dumps(command)}\n")

    def agent_zone(self, agent: int) -> str:
        """Return the zone of an agent."""
        return self._machine_and_zone(agent)[1]

    def _prepare_agent(self, agent: int) -> None:
        """Add the relays to the agent's limiters, and prepare its process."""
        name = self.agent_names[agent]
        for number in self.share(agent):
            path = str(self.home(agent) / f"n{number}" / "control.sock")
            self.relays.add(
                Relay(
                    self.link_faults,
                    self.agent_locations[agent],
                    self.limiter_locations[number],
                    path + child.LIMITER_SOCKET_SUFFIX,
                ),
                path,
                listens=False,
            )
        block = ControlBlock(self.control_block_path(name), create=True)
        block_path, config_path = str(self.control_block_path(name)), str(self.agent_path(agent))
        command = python(
            "-m", "elderlock.trial.child", "base" if self.with_launchers else "agent", block_path, config_path
        )
        environ = {child.MUTANT_VARIABLE: self.mutant} if self.mutant else {}
        agent_child = Child(name, command, self.mark, self.folder / f"{name}.log", environ)
        process = AgentProcess(agent, block, agent_child)
        agent_child._ended = lambda code: self._agent_ended(process, code)
        self.agent_processes.append(process)

    def write_files(self) -> None:
        """Write the files of the agents, the group and the tokens."""
        super().write_files()
        for asker in ("", *self.agent_names):
            path = self.group_file(asker)
            path.write_text(path.read_text() + budget_toml(self.scenario))
        lines = ['[group]\ntoken = "token-viewer"\n']
        for name, listen in zip(self.agent_names, self.agent_listens, strict=True):
            lines.append(f'[[agent]]\nname = "{name}"\naddress = "{listen}"\n')
        self.direct_group_path.write_text("\n".join(lines))

    async def add_trial_server(self, kind: Kind, floor: str, started: float = 0.0) -> TrialServer:
        """Add a fake server with a relay for each limiter.

        Args:
            kind: Its kind.
            floor: Its zone.
            started: When it started, in Unix ms; 0 if discovery does not say.
        """
        uid = f"s-{self._servers_created:02d}"
        self._servers_created += 1
        server = TrialServer(uid, kind, floor, self.rng.randrange(1 << 30), started)
        server.world = self
        await server.open(self.limiters)
        location = Location.of(uid, floor)
        server.relays = {
            number: self._add_relay(
                limiter_location,
                location,
                (server.host, server.ports[number].port),
                lambda number=number: SendObserver(self, f"n{number}", uid),  # type: ignore[misc]
            )
            for number, limiter_location in enumerate(self.limiter_locations)
        }
        self.registry.boxes[uid] = server
        return server

    # Processes

    async def start(self, within: float = STARTUP_TIMEOUT_S) -> None:
        """Start all processes and wait until all limiters accept clients and the agents know them.

        Args:
            within: The timeout in seconds.

        Raises:
            TrialError: A limiter is not up in time; the text has the last lines of the logs.
        """
        self.stall_monitor.start()
        self._poll_control_blocks()
        if self.agents:
            for agent in self.agent_processes:
                await self._start_agent(agent)
        else:
            for limiter in self.limiter_processes:
                await self._start_limiter(limiter)
        await self.wait_until_up(within)
        await self._wait_until_agents_connected(within)

    async def _wait_until_agents_connected(self, within: float) -> None:
        """Wait until each limiter has a server list and its agent is connected to it.

        Before that, agents show a tool no servers.
        """
        ends_s = time.monotonic() + within
        while self.agents:
            agent_status = await self.show_agents()
            limiters = [
                limiter
                for status in agent_status.values()
                for limiter in status.limiters
                if limiter.link == "answering"
            ]
            connected = {
                limiter.name for limiter in limiters if limiter.state is not None and limiter.state.list_age_ms >= 0
            }
            missing = [name for name in self.limiter_names if name not in connected]
            if not missing:
                return
            if time.monotonic() > ends_s:
                raise TrialError(
                    f"no agent was connected to {', '.join(missing)} within {within:g} s; {self._last_log_lines()}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_up(self, within: float = STARTUP_TIMEOUT_S) -> None:
        """Wait until all limiters accept clients.

        Args:
            within: The timeout in seconds.

        Raises:
            TrialError: A limiter does not accept clients in time; the text has the last lines of the logs.
        """
        ends_s = time.monotonic() + within
        while True:
            listening = listening_tcp_addresses()
            missing = [n for n, listen in enumerate(self.listens) if _parse_address(listen) not in listening]
            if not missing and all(relay.listening for relay in self._client_relays):
                return
            if time.monotonic() > ends_s:
                names = ", ".join(f"n{n}" for n in missing)
                raise TrialError(f"{names} did not accept clients within {within:g} s; {self._last_log_lines()}")
            await asyncio.sleep(POLL_INTERVAL_S)

    def _agent_of(self, limiter: int) -> int:
        return next(agent for agent in range(self.agents) if limiter in self.share(agent))

    @staticmethod
    def _last_agent_log_line(log: Path) -> str:
        lines = log.read_text(errors="replace").splitlines() if log.exists() else []
        return f"; the last line of the agent's log: {lines[-1][:300]}" if lines else ""

    def _last_log_lines(self) -> str:
        found = []
        for path in self.logs():
            lines = path.read_text(errors="replace").splitlines()
            if lines:
                found.append(f"{path.stem or path.name}: {lines[-1][:200]}")
        return "the last line of each log: " + ("; ".join(found) or "none")

    def logs(self) -> list[Path]:
        """Return the log files of all processes that exist."""
        found = [self.folder / f"{name}.log" for name in (*self.agent_names, *self.limiter_names)]
        found += [self.home(agent) / f"n{n}" / "log" for agent in range(self.agents) for n in self.share(agent)]
        return [path for path in found if path.exists()]

    async def _start_agent(self, agent: AgentProcess) -> None:
        if self._is_closed or agent.child.alive:
            return
        agent.expected_end, agent.is_held_down = "", False
        await agent.child.start()
        self.note("process", agent.child.name, "begins", agent.child.pid)

    def _agent_ended(self, agent: AgentProcess, code: int) -> None:
        self.note("process", agent.child.name, "ends", code)
        if self._is_closed:
            return
        if agent.is_kill_armed and code == -signal.SIGKILL and not agent.block.is_kill_armed:
            agent.is_kill_armed = False
        elif not agent.expected_end and code != 0:
            last_line = self._last_agent_log_line(agent.child.log)
            self.bench.failure(
                self.at(), agent.child.name, f"it ended with {code}, and the harness had not ended it{last_line}"
            )
        if not agent.is_held_down:
            self._timers.append(self.loop.call_later(AGENT_RESTART_DELAY_S, self._restart_agent_unless_held, agent))

    def _restart_agent_unless_held(self, agent: AgentProcess) -> None:
        # A power loss since its end holds the agent down: if it were started now, the power loss would kill it, and
        # that end would not be recorded as expected.
        if not agent.is_held_down:
            self._restart(self._start_agent, agent)

    def _restart(self, start: Callable[[Any], Any], process: Any) -> None:
        if not self._is_closed:
            self.loop.create_task(start(process))

    async def _start_limiter(self, limiter: LimiterProcess) -> None:
        """Start a limiter that no agent starts."""
        if self._is_closed:
            return
        name = f"n{limiter.number}"
        if limiter.child is None:
            operators_path = self.folder / f"more-{name}.toml"
            environ = {
                "PROXY_CONFIG": str(self.config_path(limiter.number)),
                "ELDERLOCK_OPERATORS": str(operators_path),
                **({child.MUTANT_VARIABLE: self.mutant} if self.mutant else {}),
            }
            command = self.limiter_command(limiter.number)
            log = self.folder / f"{name}.log"
            limiter.child = Child(
                name, command, self.mark, log, environ, lambda code: self._limiter_child_ended(limiter)
            )
        await limiter.child.start()

    def _limiter_child_ended(self, limiter: LimiterProcess) -> None:
        if not self._is_closed:
            self._timers.append(
                self.loop.call_later(AGENT_RESTART_DELAY_S, self._restart, self._start_limiter, limiter)
            )

    def _poll_control_blocks(self) -> None:
        """Detect which limiters have started, and repeat this until the harness is closed."""
        if self._is_closed:
            return
        self._timers = [timer for timer in self._timers if not timer.cancelled() and timer.when() > self.loop.time()]
        self._timers.append(self.loop.call_later(POLL_INTERVAL_S, self._poll_control_blocks))
        for limiter in self.limiter_processes:
            if limiter.block.start_count == limiter.starts_seen:
                continue
            limiter.starts_seen = limiter.block.start_count
            name = f"n{limiter.number}"
            try:
                process = ObservedProcess(
                    limiter.block.pid,
                    lambda limiter=limiter: self._limiter_ended(limiter),  # type: ignore[misc]
                )
            except ProcessLookupError:  # it started and ended between two polls
                self._record_limiter_end(limiter, limiter.block.pid in limiter.killed_unseen)
                continue
            limiter.incarnation = Incarnation(name, process, limiter.block.clock_offset_ms)
            limiter.incarnations.append(limiter.incarnation)
            self.bench.limiter_began(self.at(), name)
            self.note("process", name, "begins", process.pid)

    def _limiter_ended(self, limiter: LimiterProcess) -> None:
        incarnation, limiter.incarnation = limiter.incarnation, None
        self._record_limiter_end(
            limiter,
            incarnation is None or bool(incarnation.expected_end) or incarnation.process.pid in limiter.killed_unseen,
        )

    def _record_limiter_end(self, limiter: LimiterProcess, is_expected: bool) -> None:
        code, name = limiter.block.exit_code, f"n{limiter.number}"
        self.note("process", name, "ends", "killed" if code == STILL_RUNNING else code)
        if not is_expected and code != 0 and not self._is_closed:
            how = "without an exit code" if code == STILL_RUNNING else f"with {code}"
            last_line = (
                self._last_agent_log_line(self.home(self._agent_of(limiter.number)).with_suffix(".log"))
                if self.agents
                else ""
            )
            self.bench.failure(self.at(), name, f"it ended {how}, and the harness had not ended it{last_line}")

    def _pids(self) -> dict[str, int]:
        return {
            incarnation.name: incarnation.process.pid
            for limiter in self.limiter_processes
            if (incarnation := limiter.incarnation) is not None
        }

    def signal(self, name: str, number: int, why: str) -> None:
        """Send a signal to a limiter or an agent.

        Args:
            name: The name of the limiter or agent.
            number: The signal.
            why: Why the process is expected to end, for SIGKILL and SIGTERM.
        """
        self.note("signal", name, signal.Signals(number).name)
        ends_process = number in (signal.SIGKILL, signal.SIGTERM)
        if name.startswith("n"):
            incarnation = self.limiter_processes[int(name[1:])].incarnation
            if incarnation is not None:
                incarnation.expected_end = why if ends_process else incarnation.expected_end
                incarnation.process.signal(number)
        else:
            agent = self.agent_processes[int(name[6:])]
            agent.expected_end = why if ends_process else agent.expected_end
            agent.child.signal(number)

    # Observations

    def note(self, what: str, *args: Any) -> None:
        """Record an event now that no checker handles."""
        self.bench.note(self.at(), what, *args)

    def record_fault(self, number: int, fault: Fault) -> None:
        """Record that a fault of the scenario begins.

        Args:
            number: Its index in the scenario.
            fault: The fault.
        """
        self.note("fault", number, fault.target, fault.what, fault.for_s, fault.by)

    def incarnation(self, limiter: int) -> Incarnation | None:
        """Return the process of a limiter that runs now, if any."""
        return self.limiter_processes[limiter].incarnation

    def is_alive(self, incarnation: Incarnation | None) -> bool:
        """Return whether a limiter's process runs and was not ended by the harness."""
        return incarnation is not None and not incarnation.expected_end and incarnation.process.alive

    def _call_after_close(self, callback: Callable[[], None]) -> None:
        self.loop.call_later(CLOSE_REPORT_DELAY_S, callback)

    def record_attempt(self, limiter: str, box: str, request: str, account: str, terms: bytes) -> None:
        """Record that a limiter sent a request to a server.

        Args:
            limiter: The limiter's name.
            box: The server's id.
            request: The request's id.
            account: The account that the request is charged to.
            terms: The request's parameters, as `key=value` pairs that are separated by commas.
        """
        at = self.at()
        self.bench.sent(at, limiter, box, request)
        values = dict(pair.split(b"=", 1) for pair in terms.split(b","))
        units = float(values[b"units"])
        if account not in self._plan_names:
            self._plan_names[account] = values[b"t"].decode()
            for plan in self.scenario.plan:
                if plan.name == self._plan_names[account] and plan.ceiling_rate > 0:
                    slack = plan.ceiling_slack + 0.15 * plan.ceiling_rate  # real sockets need the additional 15 %
                    self.bench.ceiling(at, account, plan.ceiling_rate, plan.ceiling_burst, slack)
        self.bench.spent(at, account, units)
        plan = next(plan for plan in self.scenario.plan if plan.name == self._plan_names[account])
        self.account.record_send(at - self.schedule_start_ms, account, units, plan.rate, plan.burst)

    def record_execution(self, box: str, request: str) -> None:
        """Record that a server ran a request."""
        self.bench.ran(self.at(), box, request)

    def _list_received(self, limiter: int, raw: Mapping[str, Any]) -> None:
        """Record a server list that a limiter received."""
        at, name, listed_uids = self.at(), f"n{limiter}", set()
        for target in raw["targets"]:
            listed_uids.add(target["uid"])
            started_at = self.since(target["boot_ms"]) if target["boot_ms"] > 0 else -1e15
            self.bench.told(at, name, target["uid"], LIST_STATES[target["state"]], started_at)
        if raw["all"]:
            for uid in (*self.registry.boxes, *self.registry.dead):
                if uid not in listed_uids:
                    self.bench.told(at, name, uid, "gone", 0.0)

    def _request_finished(self, request: Request, outcome: str, took_ms: float) -> None:
        """Add a client's completed request to the figures."""
        arrival = request.arrival
        if outcome == "refused":
            plan = next(plan for plan in self.scenario.plan if plan.name == arrival.plan)
            self.account.record_refusal(
                self.at() - self.schedule_start_ms, arrival.account, arrival.units, plan.rate, plan.burst
            )
        began_ms = request.intended_start_us / 1000.0 - self._started_s * 1000.0 - self.schedule_start_ms
        self.account.record_end(began_ms, outcome, took_ms, arrival.account)

    def start_clients(self) -> Clients:
        """Start the clients and the scenario's schedule."""
        schedule = arrivals(self.scenario, self.seed)
        addresses = [_parse_address(relay.endpoint) for relay in self._client_relays]
        self.clients = Clients(
            self.scenario, addresses, schedule, random.Random(f"clients/{self.seed}"), self._request_finished
        )
        self.schedule_start_ms = self.at()
        self.clients.start()
        return self.clients

    async def show_agents(self, within: float = 1.0) -> dict[str, messages.Shown]:
        """Return what each agent that answers shows to an operator, by agent name; no relay is in between.

        Args:
            within: The timeout in seconds.
        """
        if not self.agents:
            return {}
        group = Group.read(self.direct_group_path)
        try:
            answers = await group.ask_all(lambda id: messages.Show(id, 0, 200.0), messages.Shown, within)
        finally:
            group.close()
        return {name: answer for name, answer in answers.items() if isinstance(answer, messages.Shown)}

    def digests(self, agent_status: Mapping[str, messages.Shown]) -> dict[str, str]:
        """Return the digest of each agent's records, by agent name."""
        return {name: Records(status.records).digest() for name, status in agent_status.items()}

    def sample(self) -> None:
        """Record the descriptors and the memory of each limiter, which must not grow without bound."""
        for limiter in self.limiter_processes:
            if limiter.incarnation is None:
                continue
            pid, name = limiter.incarnation.process.pid, f"n{limiter.number}, life {len(limiter.incarnations)}"
            with contextlib.suppress(OSError, IndexError, ValueError):
                descriptors = len(os.listdir(f"/proc/{pid}/fd"))
                pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                if pages:  # a process that is ending has none left
                    self.bench.counted(self.at(), f"{name}: descriptors", descriptors)
                    self.bench.counted(self.at(), f"{name}: memory in 64 KiB", pages // 16)

    # Power

    async def lose_power(
        self, limiters: list[int], agents: list[int], boxes: list[str], outage_s: float, torn: bool
    ) -> None:
        """End processes at once, with the data that they had not synced, and restart them later.

        Connections to them stay silent until they are back.

        Args:
            limiters: The numbers of the limiters.
            agents: The numbers of the agents.
            boxes: The ids of the servers.
            outage_s: The seconds after which they are started again.
            torn: Whether a part of the last write may survive.
        """
        names = [f"n{n}" for n in limiters] + [self.agent_names[a] for a in agents] + boxes
        pairs = [(name, "*") for name in names] + [("*", name) for name in names]
        self.relays.inject("cut", pairs)
        for agent in agents:
            self.agent_processes[agent].is_held_down = True
            self.agent_processes[agent].power_outages += 1
        for name in names[len(limiters) : len(limiters) + len(agents)] + names[: len(limiters)]:
            self.signal(name, signal.SIGKILL, "its power was lost")
        for agent in agents:
            await self.agent_processes[agent].child.end()
        await self._kill_unseen(limiters, agents)
        for agent in agents:
            durable = disk.load_durable(self.control_block_path(self.agent_names[agent]).with_suffix(".durable"))
            if self.agent_processes[agent].has_disk_lied:
                self.agent_processes[agent].state_replacements += 1
            lost = disk.lose_power(self.home(agent), durable, self.rng if torn else None)
            self.note("power", self.agent_names[agent], f"lost data of {', '.join(lost) or 'no file'}")
        for uid in boxes:
            if (server := self.registry.boxes.get(uid)) is not None:
                await server.restart()
                self.bench.started(self.since(server.boot_ms), uid, server.kind.shape.bears())
        await asyncio.sleep(outage_s)
        self.relays.clear("cut", pairs)
        for uid in boxes:
            if (server := self.registry.boxes.get(uid)) is not None:
                self.registry.announce(server)
        for agent in agents:
            process = self.agent_processes[agent]
            process.power_outages -= 1
            if not process.power_outages:
                await self._start_agent(process)

    async def _kill_unseen(self, limiters: list[int], agents: list[int]) -> None:
        """Kill the processes of these limiters and agents that the harness has not noticed yet.

        An agent may have started a limiter a moment ago whose control block was not polled since, or that is between
        its fork and its exec and still has the agent's command line. So this repeats until two scans in a row find
        none.
        """
        limiter_blocks = {str(self.control_block_path(f"n{n}")): self.limiter_processes[n] for n in limiters}
        agent_blocks = {str(self.control_block_path(self.agent_names[a])) for a in agents}
        clean_scans = 0
        while clean_scans < 2:
            clean_scans += 1
            for pid in marked_pids(self.mark):
                with contextlib.suppress(OSError):
                    arguments = set(Path(f"/proc/{pid}/cmdline").read_text().split("\0"))
                    limiter = next(
                        (limiter for block_path, limiter in limiter_blocks.items() if block_path in arguments), None
                    )
                    if limiter is not None or arguments & agent_blocks:
                        clean_scans = 0
                        os.kill(pid, signal.SIGKILL)
                        if limiter is not None:
                            limiter.killed_unseen.add(pid)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def restart_agent(self, agent: int, old_home: Path | None) -> None:
        """Kill an agent and restart it with another state.

        Args:
            agent: Its number.
            old_home: A copy of its state folder; None for an empty one.
        """
        process = self.agent_processes[agent]
        process.is_held_down = True
        self.signal(process.child.name, signal.SIGKILL, "its state was replaced")
        await process.child.end()
        disk.replace_home(self.home(agent), old_home)
        process.state_replacements += 1
        self.control_block_path(process.child.name).with_suffix(".durable").unlink(missing_ok=True)
        await asyncio.sleep(AGENT_RESTART_DELAY_S)
        await self._start_agent(process)

    # The end

    async def close(self) -> None:
        """End all processes, relays and fakes."""
        self._is_closed = True
        self.stall_monitor.stop()
        for timer in self._timers:
            timer.cancel()
        if self.clients is not None:
            self.clients.close()
        for agent in self.agent_processes:
            await agent.child.end()
        for limiter in self.limiter_processes:
            if limiter.incarnation is not None:
                limiter.incarnation.process.signal(signal.SIGKILL)
                limiter.incarnation.process.forget()
            if limiter.child is not None:
                await limiter.child.end()
        self.relays.close()
        await super().close()
        for block in [limiter.block for limiter in self.limiter_processes] + [
            agent.block for agent in self.agent_processes
        ]:
            block.close()


def _parse_address(endpoint: str) -> tuple[str, int]:
    host, _, port = endpoint.rpartition(":")
    return host, int(port)
