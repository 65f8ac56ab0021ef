"""A whole group of real processes with a relay on every link: the program as it ships, on loopback, over stand-ins.

The ground looks on from outside: at the relays, at what a box got, at what a tool told, at seams. It reads no state of
the code under test, but for what the code shows of itself to an operator (`Show`), where the simulation has the like.
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
from elderlock.fleet import messages as f
from elderlock.fleet.client.group_client import Group
from elderlock.load.wire import Request
from elderlock.sim import judges as j
from elderlock.sim.clients import Clients
from elderlock.sim.facts import budget_of, operators_of, settings_of, talks
from elderlock.sim.figures import Account
from elderlock.sim.scenario import Fault, Scenario, floor_name
from elderlock.sim.surroundings import ShellBox
from elderlock.sim.traffic import arrivals
from elderlock.standins.discovery import Registry
from elderlock.standins.servers import Kind
from elderlock.standins.waiting import unix_ms
from elderlock.standins.world import World, random_loopback_host
from elderlock.trial import child as children
from elderlock.trial import disk
from elderlock.trial.guard import marked
from elderlock.trial.history import DRAIN, GRACE, INSTANT, Recorder
from elderlock.trial.lateness import Watch
from elderlock.trial.processes import Child, Stranger, python
from elderlock.trial.relay import Datagrams, Relay, Relays, listening_tcp
from elderlock.trial.seam import RUNS, Block
from elderlock.trial.taps import ClientEyes, ListEyes, SendEyes
from elderlock.trial.weather import Place, Ways

LOOK = 0.01  # s between looks at the seams
AGENT_AGAIN = 0.4  # s after which an agent that ended is started again, as in the simulation
UP_WITHIN = 30.0  # s that the group may take to come up; reached by a hang alone
CLOSED_LATER = 0.1  # s after which a closed connection's limiter is known to have died with it
STATES = {"up": "running", "draining": "draining", "removed": "gone"}
QUICK = "first_backoff = 0.2\nmost_backoff = 1.0\ncrashes = 1000\n"  # of supervision: faults are no crash loop


class TrialError(Exception):
    """The run could not begin or go on; the text says who waited for what."""


class TrialBox(ShellBox):
    """Discovery lists it at its relays, one for each limiter."""

    ways_in: dict[int, Relay]

    def target(self, port_index: int) -> dict[str, Any]:
        return {**super().target(port_index), "endpoint": self.ways_in[port_index].endpoint}


@dataclass(eq=False)
class Life:
    """One process of a limiter, from its start to its end."""

    name: str
    process: Stranger
    clock_ms: float = 0.0  # by which its wall clock was ahead as it began: a limiter reads it then alone
    doomed: str = ""  # why its end is no fault of its own


@dataclass(eq=False)
class Limiter:
    number: int
    block: Block
    life: Life | None = None
    begun: int = 0
    unseen: set[int] = field(default_factory=set)  # pids that were killed before they were seen to begin
    own: Child | None = None  # where no agent starts it
    lives: list[Life] = field(default_factory=list)


@dataclass(eq=False)
class AgentProcess:
    number: int
    block: Block
    child: Child
    doomed: str = ""
    lied: bool = False  # its disk said of a sync that it was done, and it was not
    armed: bool = False  # to be killed at a step of its disk, in this life or a later one
    held_down: bool = False  # started again by whoever holds it down
    dark: int = 0  # losses of power that it has not come back from: one may begin before the last is over
    states: int = 0  # how often what it had kept was taken away by us


class Ground(World):
    """`mark` is on all that it starts, see `guard`. `flaw` names one of `flaws.FLAWS` that its processes have.
    `based`: a base starts each agent."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        mark: str,
        seed: int = 1,
        flaw: str = "",
        rules: j.Rules | None = None,
        based: bool = False,
    ) -> None:
        self.scenario, self.seed, self.mark = scenario, seed, mark
        self.flaw, self.based = flaw, based
        s, kind = scenario, scenario.kind[0]
        self.rules = rules or j.Rules(
            grace=GRACE, drain=DRAIN, instant=INSTANT, cold_share=kind.cold_share, cold_ms=kind.cold_ms
        )
        super().__init__(folder, s.limiters, s.boxes, agents=s.agents, seed=seed)
        self.loop = asyncio.get_running_loop()
        self.ways = Ways()
        self.relays = Relays(self.ways)
        self.limiter_places = [Place.of(f"n{n}", f"m{n}", floor_name(n % s.floors)) for n in range(s.limiters)]
        self.agent_places = [Place.of(f"agent-{a}", *self._machine(a)) for a in range(s.agents)]
        self.clients_place, self.tool_place = Place.of("clients"), Place.of("tool")
        self.discovery_place, self.counter_place = Place.of("discovery"), Place.of("counter", floor_name(0))
        self.datagrams = Datagrams(self.ways, self.limiter_places, random.Random(f"datagrams/{seed}"))
        self.network = self.datagrams
        self.bench = Recorder()
        self.account = Account(s.warm_s * 1000.0, s.service[0].aim_ms)
        self.members: list[Limiter] = []
        self.agent_processes: list[AgentProcess] = []
        self.broke_streams = False
        self.clients: Clients | None = None
        self.zero = 0.0  # ms of the run at which the schedule began
        self.failed: list[str] = []  # of the ground itself: a stand-in or a relay that raised
        self._began = time.monotonic()
        self.epoch = unix_ms()
        self._lists: list[Relay] = []
        self._counts: list[Relay] = []
        self._fronts: list[Relay] = []
        self._to_agents: dict[tuple[str, int], Relay] = {}
        self._known_plans: dict[str, str] = {}
        self._uids = 0
        self.watch = Watch(self.at, self._pids)
        self._timers: list[asyncio.TimerHandle] = []
        self._closed = False
        self.tools = 0

    # Time

    def at(self) -> float:
        """ms of the run."""
        return (time.monotonic() - self._began) * 1000.0

    def since(self, unix: float) -> float:
        return unix - self.epoch

    # The world as its processes find it

    @property
    def listing(self) -> Registry:
        return self.registry

    def _machine(self, agent: int) -> tuple[str, str]:
        """An agent runs on the machine of the first of its limiters."""
        first = self.share(agent)[0]
        return f"m{first}", floor_name(first % self.scenario.floors)

    def discovery_endpoint(self, limiter: int) -> str:
        return self._lists[limiter].endpoint

    def counter_endpoint(self, limiter: int) -> str:
        return self._counts[limiter].endpoint

    def agent_address(self, asker: str, agent: int) -> str:
        if asker == self.agent_names[agent]:
            return self.agent_listens[agent]
        return self._to_agents[asker, agent].endpoint

    def settings_of(self, limiter: int) -> dict[str, Any]:
        return settings_of(self.scenario, limiter, self.rules)

    def limiter_command(self, limiter: int) -> list[str]:
        return python("-m", "elderlock.trial.child", "limiter", str(self.seam_path(f"n{limiter}")))

    def config(self, number: int) -> dict[str, Any]:
        s = self.scenario.settings
        made = {**super().config(number), "limits": {"cores": 1.0, "memory_mb": s.memory_mb, "sockets": s.sockets}}
        if not talks(self.scenario):
            for name in ("peer_listen", "peers", "peers_all"):
                made.pop(name, None)
        return made

    def seam_path(self, name: str) -> Path:
        return self.folder / "seams" / f"{name}.seam"

    def home(self, agent: int) -> Path:
        return self.folder / self.agent_names[agent]

    @property
    def direct_path(self) -> Path:
        """The group's file for whoever looks on: no relay lies between."""
        return self.folder / "direct.toml"

    def _own(self) -> tuple[str, int]:
        return random_loopback_host(self._hosts), 0

    def _relay(
        self, here: Place, there: Place, target: Any, look: Callable[[], Any] = lambda: None, listens: bool = True
    ) -> Relay:
        return self.relays.add(Relay(self.ways, here, there, target, look), self._own(), listens)

    def _room(self) -> None:
        """Raises `TrialError` where the machine allows too few descriptors for all relays and connections."""
        s = self.scenario
        needed = 150 + s.limiters * (4 * s.boxes + 3 * s.limiters + 20) + 4 * s.agents * s.agents
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < needed <= hard or hard == resource.RLIM_INFINITY:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, needed), hard))
        elif hard < needed:
            raise TrialError(f"it needs some {needed} descriptors for its relays, and may have {hard} (ulimit -n)")

    async def open(self) -> None:
        """Stand-ins, relays, files; no process yet. Raises `TrialError`."""
        s = self.scenario
        self._room()
        (self.folder / "seams").mkdir(mode=0o700)
        await self.registry.discovery.start(s.limiters)
        await self.counter.open(s.limiters)
        await self.datagrams.open()
        for number, place in enumerate(self.limiter_places):
            lists, counts = self.registry.discovery.ports[number], self.counter.ports[number]
            self._lists.append(
                self._relay(
                    place,
                    self.discovery_place,
                    (lists.owner.host, lists.port),
                    lambda number=number: ListEyes(lambda raw: self._heard(number, raw)),  # type: ignore[misc]
                )
            )
            self._counts.append(self._relay(place, self.counter_place, (counts.owner.host, counts.port)))
            self._fronts.append(
                self._relay(
                    self.clients_place,
                    place,
                    _address(self.listens[number]),
                    lambda number=number: ClientEyes(self, number, self._later),  # type: ignore[misc]
                    listens=False,
                )
            )
            self.members.append(Limiter(number, Block(self.seam_path(f"n{number}"), make=True)))
        kinds = [Kind(kind.name, kind.shape()) for kind in s.kind]
        for number in range(s.boxes):
            await self.add_trial_box(kinds[number % len(kinds)], floor_name(number % s.floors))
        for agent, place in enumerate(self.agent_places):
            at = _address(self.agent_listens[agent])
            for other in range(s.agents):
                if other != agent:
                    self._to_agents[self.agent_names[other], agent] = self._relay(
                        self.agent_places[other], place, at, listens=False
                    )
            self._to_agents["", agent] = self._relay(self.tool_place, place, at, listens=False)
        for number in range(s.limiters):
            self.config_path(number).write_text(json.dumps(self.config(number)))
            (self.folder / f"more-n{number}.toml").write_text(operators_of(s))
        self.write_files()
        for agent in range(s.agents):
            self._lay_agent(agent)
        self.relays.watch()

    def write_agent(self, agent: int, command: Any = (), supervise: str = "") -> Path:
        path = super().write_agent(agent, command, supervise or QUICK)
        text = path.read_text()
        for number in self.share(agent):
            text = text.replace(
                f'config = "n{number}.json"\n', f'config = "n{number}.json"\nauthz = "more-n{number}.toml"\n'
            )
        path.write_text(text + '[versions]\nfolder = "versions"\n')
        return path

    def lay_version(self, name: str, flaw: str = "", **environ: str) -> None:
        """A version of limiters on every agent's disk: the program as it is, with that flaw."""
        self._lay_version(name, "command", "limiter", flaw, environ)

    def lay_agent_version(self, name: str, flaw: str = "", **environ: str) -> None:
        """The same of agents."""
        self._lay_version(name, "agent", "agent", flaw, environ)

    def _lay_version(self, name: str, key: str, role: str, flaw: str, environ: Mapping[str, str]) -> None:
        words = [f"{k}={value}" for k, value in ({children.FLAW: flaw, **environ} if flaw else environ).items()]
        seam = str(self.seam_path("{" + role + "}"))
        command = ["env", *words, *python("-m", "elderlock.trial.child", role, seam)]
        path = self.folder / "versions" / name / "version.toml"
        path.parent.mkdir(parents=True)
        path.write_text(f"{key} = {json.dumps(command)}\n")

    def agent_zone(self, agent: int) -> str:
        return self._machine(agent)[1]

    def _lay_agent(self, agent: int) -> None:
        name = self.agent_names[agent]
        for number in self.share(agent):
            path = str(self.home(agent) / f"n{number}" / "control.sock")
            self.relays.add(
                Relay(self.ways, self.agent_places[agent], self.limiter_places[number], path + children.OWN),
                path,
                listens=False,
            )
        block = Block(self.seam_path(name), make=True)
        seam, file = str(self.seam_path(name)), str(self.agent_path(agent))
        command = python("-m", "elderlock.trial.child", "base" if self.based else "agent", seam, file)
        environ = {children.FLAW: self.flaw} if self.flaw else {}
        made = Child(name, command, self.mark, self.folder / f"{name}.log", environ)
        process = AgentProcess(agent, block, made)
        made._ended = lambda code: self._agent_ended(process, code)
        self.agent_processes.append(process)

    def write_files(self) -> None:
        super().write_files()
        for asker in ("", *self.agent_names):
            path = self.group_file(asker)
            path.write_text(path.read_text() + budget_of(self.scenario))
        lines = ['[group]\ntoken = "token-viewer"\n']
        for name, listen in zip(self.agent_names, self.agent_listens, strict=True):
            lines.append(f'[[agent]]\nname = "{name}"\naddress = "{listen}"\n')
        self.direct_path.write_text("\n".join(lines))

    async def add_trial_box(self, kind: Kind, floor: str, started: float = 0.0) -> TrialBox:
        uid = f"s-{self._uids:02d}"
        self._uids += 1
        box = TrialBox(uid, kind, floor, self.rng.randrange(1 << 30), started)
        box.world = self
        await box.open(self.limiters)
        place = Place.of(uid, floor)
        box.ways_in = {
            number: self._relay(
                here,
                place,
                (box.host, box.ports[number].port),
                lambda number=number: SendEyes(self, f"n{number}", uid),  # type: ignore[misc]
            )
            for number, here in enumerate(self.limiter_places)
        }
        self.registry.boxes[uid] = box
        return box

    # Its processes

    async def start(self, within: float = UP_WITHIN) -> None:
        """Until all limiters take clients. Raises `TrialError` with who does not, and its log's last words."""
        self.watch.start()
        self._look()
        if self.agents:
            for agent in self.agent_processes:
                await self._start_agent(agent)
        else:
            for member in self.members:
                await self._start_limiter(member)
        await self.up(within)
        await self._met(within)

    async def _met(self, within: float) -> None:
        """Until each agent has met its limiters, and these have a list: before that a tool is told of no box."""
        ends = time.monotonic() + within
        while self.agents:
            shown = await self.shown()
            limiters = [each for agent in shown.values() for each in agent.limiters if each.link == "answering"]
            met = {each.name for each in limiters if each.state is not None and each.state.list_age_ms >= 0}
            away = [name for name in self.limiter_names if name not in met]
            if not away:
                return
            if time.monotonic() > ends:
                raise TrialError(f"no agent met {', '.join(away)} within {within:g} s; {self._last_words()}")
            await asyncio.sleep(LOOK)

    async def up(self, within: float = UP_WITHIN) -> None:
        """Until all limiters take clients. Raises `TrialError`."""
        ends = time.monotonic() + within
        while True:
            here = listening_tcp()
            away = [n for n, listen in enumerate(self.listens) if _address(listen) not in here]
            if not away and all(relay.listening for relay in self._fronts):
                return
            if time.monotonic() > ends:
                who = ", ".join(f"n{n}" for n in away)
                raise TrialError(f"{who} did not take clients within {within:g} s; {self._last_words()}")
            await asyncio.sleep(LOOK)

    def _agent_of(self, limiter: int) -> int:
        return next(agent for agent in range(self.agents) if limiter in self.share(agent))

    @staticmethod
    def _last_line(log: Path) -> str:
        lines = log.read_text(errors="replace").splitlines() if log.exists() else []
        return f"; the agent's last words: {lines[-1][:300]}" if lines else ""

    def _last_words(self) -> str:
        found = []
        for path in self.logs():
            lines = path.read_text(errors="replace").splitlines()
            if lines:
                found.append(f"{path.stem or path.name}: {lines[-1][:200]}")
        return "the last words of each: " + ("; ".join(found) or "none")

    def logs(self) -> list[Path]:
        found = [self.folder / f"{name}.log" for name in (*self.agent_names, *self.limiter_names)]
        found += [self.home(agent) / f"n{n}" / "log" for agent in range(self.agents) for n in self.share(agent)]
        return [path for path in found if path.exists()]

    async def _start_agent(self, agent: AgentProcess) -> None:
        if self._closed or agent.child.alive:
            return
        agent.doomed, agent.held_down = "", False
        await agent.child.start()
        self.note("process", agent.child.name, "begins", agent.child.pid)

    def _agent_ended(self, agent: AgentProcess, code: int) -> None:
        self.note("process", agent.child.name, "ends", code)
        if self._closed:
            return
        if agent.armed and code == -signal.SIGKILL and not agent.block.armed:
            agent.armed = False
        elif not agent.doomed and code != 0:
            said = self._last_line(agent.child.log)
            self.bench.failure(self.at(), agent.child.name, f"it ended with {code}, and nobody had ended it{said}")
        if not agent.held_down:
            self._timers.append(self.loop.call_later(AGENT_AGAIN, self._again_agent, agent))

    def _again_agent(self, agent: AgentProcess) -> None:
        # power that was lost since holds it down: started in the dark it was killed by us with nobody to say so
        if not agent.held_down:
            self._again(self._start_agent, agent)

    def _again(self, start: Callable[[Any], Any], which: Any) -> None:
        if not self._closed:
            self.loop.create_task(start(which))

    async def _start_limiter(self, member: Limiter) -> None:
        """Where no agent does."""
        if self._closed:
            return
        name = f"n{member.number}"
        if member.own is None:
            operators = self.folder / f"more-{name}.toml"
            environ = {
                "PROXY_CONFIG": str(self.config_path(member.number)),
                "ELDERLOCK_OPERATORS": str(operators),
                **({children.FLAW: self.flaw} if self.flaw else {}),
            }
            command = self.limiter_command(member.number)
            log = self.folder / f"{name}.log"
            member.own = Child(name, command, self.mark, log, environ, lambda code: self._ended(member))
        await member.own.start()

    def _ended(self, member: Limiter) -> None:
        if not self._closed:
            self._timers.append(self.loop.call_later(AGENT_AGAIN, self._again, self._start_limiter, member))

    def _look(self) -> None:
        """At the seams: which limiters began."""
        if self._closed:
            return
        self._timers = [timer for timer in self._timers if not timer.cancelled() and timer.when() > self.loop.time()]
        self._timers.append(self.loop.call_later(LOOK, self._look))
        for member in self.members:
            if member.block.begun == member.begun:
                continue
            member.begun = member.block.begun
            name = f"n{member.number}"
            try:
                process = Stranger(member.block.pid, lambda member=member: self._limiter_ended(member))  # type: ignore[misc]
            except ProcessLookupError:  # it began and ended between two looks
                self._judge_end(member, member.block.pid in member.unseen)
                continue
            member.life = Life(name, process, member.block.clock_ms)
            member.lives.append(member.life)
            self.bench.limiter_began(self.at(), name)
            self.note("process", name, "begins", process.pid)

    def _limiter_ended(self, member: Limiter) -> None:
        life, member.life = member.life, None
        self._judge_end(member, life is None or bool(life.doomed) or life.process.pid in member.unseen)

    def _judge_end(self, member: Limiter, doomed: bool) -> None:
        code, name = member.block.exit, f"n{member.number}"
        self.note("process", name, "ends", "killed" if code == RUNS else code)
        if not doomed and code != 0 and not self._closed:
            how = "without a word" if code == RUNS else f"with {code}"
            said = self._last_line(self.home(self._agent_of(member.number)).with_suffix(".log")) if self.agents else ""
            self.bench.failure(self.at(), name, f"it ended {how}, and nobody had ended it{said}")

    def _pids(self) -> dict[str, int]:
        return {life.name: life.process.pid for member in self.members if (life := member.life) is not None}

    def signal(self, name: str, number: int, why: str) -> None:
        """To a limiter or an agent, by its name."""
        self.note("signal", name, signal.Signals(number).name)
        ends = number in (signal.SIGKILL, signal.SIGTERM)
        if name.startswith("n"):
            life = self.members[int(name[1:])].life
            if life is not None:
                life.doomed = why if ends else life.doomed
                life.process.signal(number)
        else:
            agent = self.agent_processes[int(name[6:])]
            agent.doomed = why if ends else agent.doomed
            agent.child.signal(number)

    # What is seen

    def note(self, what: str, *args: Any) -> None:
        self.bench.note(self.at(), what, *args)

    def began_fault(self, number: int, fault: Fault) -> None:
        self.note("fault", number, fault.target, fault.what, fault.for_s, fault.by)

    def incarnation(self, limiter: int) -> Life | None:
        return self.members[limiter].life

    def lives(self, incarnation: Life | None) -> bool:
        return incarnation is not None and not incarnation.doomed and incarnation.process.alive

    def _later(self, do: Callable[[], None]) -> None:
        self.loop.call_later(CLOSED_LATER, do)

    def let_go(self, limiter: str, box: str, request: str, account: str, terms: bytes) -> None:
        at = self.at()
        self.bench.sent(at, limiter, box, request)
        values = dict(pair.split(b"=", 1) for pair in terms.split(b","))
        units = float(values[b"units"])
        if account not in self._known_plans:
            self._known_plans[account] = values[b"t"].decode()
            for plan in self.scenario.plan:
                if plan.name == self._known_plans[account] and plan.ceiling_rate > 0:
                    slack = plan.ceiling_slack + 0.15 * plan.ceiling_rate  # the platform's, on sockets
                    self.bench.ceiling(at, account, plan.ceiling_rate, plan.ceiling_burst, slack)
        self.bench.spent(at, account, units)
        plan = next(plan for plan in self.scenario.plan if plan.name == self._known_plans[account])
        self.account.let_go(at - self.zero, account, units, plan.rate, plan.burst)

    def reached(self, box: str, request: str) -> None:
        self.bench.ran(self.at(), box, request)

    def _heard(self, limiter: int, raw: Mapping[str, Any]) -> None:
        at, name, named = self.at(), f"n{limiter}", set()
        for target in raw["targets"]:
            named.add(target["uid"])
            started = self.since(target["boot_ms"]) if target["boot_ms"] > 0 else -1e15
            self.bench.told(at, name, target["uid"], STATES[target["state"]], started)
        if raw["all"]:
            for uid in (*self.registry.boxes, *self.registry.dead):
                if uid not in named:
                    self.bench.told(at, name, uid, "gone", 0.0)

    def finished(self, request: Request, outcome: str, took: float) -> None:
        """A client's request has come to its end."""
        arrival = request.arrival
        if outcome == "refused":
            plan = next(plan for plan in self.scenario.plan if plan.name == arrival.plan)
            self.account.refused(self.at() - self.zero, arrival.account, arrival.units, plan.rate, plan.burst)
        began = request.began / 1000.0 - self._began * 1000.0 - self.zero
        self.account.finished(began, outcome, took, arrival.account)

    def ask(self) -> Clients:
        """Clients begin with the scenario's schedule, now."""
        asked = arrivals(self.scenario, self.seed)
        addresses = [_address(relay.endpoint) for relay in self._fronts]
        self.clients = Clients(self.scenario, addresses, asked, random.Random(f"clients/{self.seed}"), self.finished)
        self.zero = self.at()
        self.clients.start()
        return self.clients

    async def shown(self, within: float = 1.0) -> dict[str, f.Shown]:
        """What each agent that answers shows, by no relay."""
        if not self.agents:
            return {}
        group = Group.read(self.direct_path)
        try:
            found = await group.ask_all(lambda id: f.Show(id, 0, 200.0), f.Shown, within)
        finally:
            group.close()
        return {name: answer for name, answer in found.items() if isinstance(answer, f.Shown)}

    def digests(self, shown: Mapping[str, f.Shown]) -> dict[str, str]:
        return {name: Records(each.records).digest() for name, each in shown.items()}

    def sample(self) -> None:
        """What could grow, as the kernel has it."""
        for member in self.members:
            if member.life is None:
                continue
            pid, name = member.life.process.pid, f"n{member.number}, life {len(member.lives)}"
            with contextlib.suppress(OSError, IndexError, ValueError):
                descriptors = len(os.listdir(f"/proc/{pid}/fd"))
                pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                if pages:  # none are left of one that is just ending
                    self.bench.counted(self.at(), f"{name}: descriptors", descriptors)
                    self.bench.counted(self.at(), f"{name}: memory in 64 KiB", pages // 16)

    # Power

    async def lose_power(
        self, limiters: list[int], agents: list[int], boxes: list[str], dark: float, torn: bool
    ) -> None:
        """All of these are gone at once, with what they had not synced; connections to them stay silent till they are
        back after `dark` s."""
        names = [f"n{n}" for n in limiters] + [self.agent_names[a] for a in agents] + boxes
        pairs = [(name, "*") for name in names] + [("*", name) for name in names]
        self.relays.befall("cut", pairs)
        for agent in agents:
            self.agent_processes[agent].held_down = True
            self.agent_processes[agent].dark += 1
        for name in names[len(limiters) : len(limiters) + len(agents)] + names[: len(limiters)]:
            self.signal(name, signal.SIGKILL, "its power was lost")
        for agent in agents:
            await self.agent_processes[agent].child.end()
        await self._kill_unseen(limiters, agents)
        for agent in agents:
            durable = disk.load(self.seam_path(self.agent_names[agent]).with_suffix(".durable"))
            if self.agent_processes[agent].lied:
                self.agent_processes[agent].states += 1
            lost = disk.lose_power(self.home(agent), durable, self.rng if torn else None)
            self.note("power", self.agent_names[agent], f"lost of {', '.join(lost) or 'nothing'}")
        for uid in boxes:
            if (box := self.registry.boxes.get(uid)) is not None:
                await box.restart()
                self.bench.started(self.since(box.boot_ms), uid, box.kind.shape.bears())
        await asyncio.sleep(dark)
        self.relays.mend("cut", pairs)
        for uid in boxes:
            if (box := self.registry.boxes.get(uid)) is not None:
                self.registry.announce(box)
        for agent in agents:
            process = self.agent_processes[agent]
            process.dark -= 1
            if not process.dark:
                await self._start_agent(process)

    async def _kill_unseen(self, limiters: list[int], agents: list[int]) -> None:
        """An agent may have started one a moment ago, which no look at its seam has seen yet, or which is between its
        fork and its exec and still goes by the agent's name: until two looks in a row find none."""
        seams = {str(self.seam_path(f"n{n}")): self.members[n] for n in limiters}
        dead = {str(self.seam_path(self.agent_names[a])) for a in agents}
        clean = 0
        while clean < 2:
            clean += 1
            for pid in marked(self.mark):
                with contextlib.suppress(OSError):
                    words = set(Path(f"/proc/{pid}/cmdline").read_text().split("\0"))
                    member = next((member for seam, member in seams.items() if seam in words), None)
                    if member is not None or words & dead:
                        clean = 0
                        os.kill(pid, signal.SIGKILL)
                        if member is not None:
                            member.unseen.add(pid)
            await asyncio.sleep(LOOK)

    async def restart_agent(self, agent: int, state: Path | None) -> None:
        """From another state of its folder: an old one, or none."""
        process = self.agent_processes[agent]
        process.held_down = True
        self.signal(process.child.name, signal.SIGKILL, "its state was replaced")
        await process.child.end()
        disk.put_home(self.home(agent), state)
        process.states += 1
        self.seam_path(process.child.name).with_suffix(".durable").unlink(missing_ok=True)
        await asyncio.sleep(AGENT_AGAIN)
        await self._start_agent(process)

    # The end

    async def close(self) -> None:
        self._closed = True
        self.watch.stop()
        for timer in self._timers:
            timer.cancel()
        if self.clients is not None:
            self.clients.close()
        for agent in self.agent_processes:
            await agent.child.end()
        for member in self.members:
            if member.life is not None:
                member.life.process.signal(signal.SIGKILL)
                member.life.process.forget()
            if member.own is not None:
                await member.own.end()
        self.relays.close()
        await super().close()
        for block in [member.block for member in self.members] + [agent.block for agent in self.agent_processes]:
            block.close()


def _address(endpoint: str) -> tuple[str, int]:
    host, _, port = endpoint.rpartition(":")
    return host, int(port)
