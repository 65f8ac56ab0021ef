"""Releases in simulated time: the agents as they ship, in hundreds, over modelled limiters that speak the real control
socket. Versions of limiters that crash, refuse, are slow or mute; agents that are killed, stopped and cut off;
operators who halt, go on and take back. What is judged is seen from outside: at the limiters' desks and processes.
"""

from __future__ import annotations

import asyncio
import math
import random
import signal
import tomllib
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from elderlock.control import messages as m
from elderlock.control.attach import ControlSocket, read_records_file
from elderlock.control.command_authority import CommandAuthority
from elderlock.control.records import Record
from elderlock.fleet import messages as f
from elderlock.fleet.client import plan_commands as operate
from elderlock.fleet.client.group_client import Group
from elderlock.rollout.plans import Plan, RolloutPolicy
from elderlock.sim.agreed import Act, Holding, bounded, fenced, never_back
from elderlock.sim.scenario import Scenario, Settings
from elderlock.sim.shells import ShellWorld
from elderlock.sim.virtual.processes import CURRENT, Machine, Process, context_of, start
from elderlock.standins.limiters import limiter_state, server_status
from elderlock.standins.waiting import unix_ms

OUT = "limiters out by our doing"
TERMS = RolloutPolicy(
    drain_timeout_s=4.0,
    start_timeout_s=8.0,
    settle_time_s=15.0,
    bake_time_s=15.0,
    maximum_bake_time_s=60.0,
    wave_pause_s=1.0,
    patience_s=20.0,
)
TIME_SD = 0.9  # of the logarithm of a time to answer
BIAS_SD = 0.03  # by which limiters differ for good
SETTLED_WITHIN = 240.0  # s after all is healed, for a plan to be over or halted, and again for the way back
FLOOR_AWAY = 40.0  # s
GONE_FOR = 150.0  # s
ASLEEP, AND_CUT = 40.0, 20.0  # s that a sleeper sleeps, and hears nothing once it is awake
TAKEN_OVER_WITHIN = 20.0  # s
SLACK = 1000.0  # ms after a halt or a turn in which what was under way may still begin
VERSION = "v2"


@dataclass(frozen=True, slots=True)
class Build:
    """A version of limiters. `crash_after` s of each process, 0 for one that does not start; `refuses` and `slower` by
    shares; `mute`: it refuses its agent's greeting."""

    name: str
    crash_after: float | None = None
    refuses: float = 0.0
    slower: float = 0.0
    mute: bool = False

    @property
    def good(self) -> bool:
        return self.crash_after is None and not (self.refuses or self.slower or self.mute)


BUILDS = {
    build.name: build
    for build in (
        Build("good"),
        Build("crashes-at-start", crash_after=0.0),
        Build("crashes-after-10-s", crash_after=10.0),
        Build("refuses-all", refuses=1.0),
        Build("slower-by-a-fifth", slower=0.2),
        Build("mute", mute=True),
    )
}


@dataclass(frozen=True, slots=True)
class Case:
    """What is played. `rate` of requests a second at each limiter; `rush`: from when on, for 40 s, all of them are
    asked for three times as much, answer slower and refuse some. `faults`: how many befall agents and limiters in the
    first `faulty_s`. `words`: how many an operator says besides. `lone_floor_at`: a whole floor's agents and limiters
    die. `leader_gone`: s after which the agent that leads dies and does
    not come back for a long time. `sleeper`: the first agent that is to take something out is stopped at that moment
    and wakes 40 s later, when the plan has been taken back, and hears nothing for some time more. `one_wave`: all are
    to go at once, as far as the budget lets."""

    agents: int = 5
    limiters: int = 10
    floors: int = 3
    build: str = "good"
    rate: float = 40.0
    rush: float | None = None
    faults: int = 0
    faulty_s: float = 90.0
    words: int = 0
    two_operators: bool = False
    auto_back: bool = True
    share: float = 0.34
    terms: RolloutPolicy = TERMS
    lone_floor_at: float | None = None
    leader_gone: float | None = None
    one_wave: bool = False
    sleeper: bool = False


@dataclass
class Played:
    """`broken` in words; the counts are moments. `plan` as it ended, `ran` which limiters ever ran the new version."""

    broken: list[str] = field(default_factory=list)
    over_budget: int = 0
    doubled: int = 0
    after_fence: int = 0
    stuck: int = 0
    plan: Plan | None = None
    ran: set[str] = field(default_factory=set)
    first_wave: set[str] = field(default_factory=set)
    halted_why: str = ""
    halt_ms: list[float] = field(default_factory=list)
    back_tried: int = 0
    back_complete: int = 0
    took_over: int = 0
    seconds: float = 0.0
    log: list[str] = field(default_factory=list)

    def good(self) -> bool:
        return not (self.broken or self.over_budget or self.doubled or self.after_fence or self.stuck)


class Modelled:
    """A limiter as its agent meets it: the real desk, and figures drawn from a model of its build."""

    def __init__(self, world: ReleaseWorld, name: str, version: str, build: Build) -> None:
        process = CURRENT.get()
        assert process is not None
        self.world, self.name, self.version, self.make, self.pid = world, name, version, build, process.pid
        self.build, self.started_at = version or "1", unix_ms()
        self.stopping = asyncio.Event()
        self.down = False
        self._rng = random.Random(f"{world.seed}/{name}/{self.pid}")
        self._counts, self._sums = m.AnswerCounts(), (0.0, 0.0)
        self._began = self._counted = world.loop.time()
        self.desk: CommandAuthority | None = None

    def state(self, id: int, accounts: int) -> m.LimiterState:
        self._count()
        assert self.desk is not None
        return limiter_state(
            self.name,
            self.world.boxes,
            id=id,
            pid=self.pid,
            records=tuple(self.desk.records),
            is_drained=self.down,
            ready=not self.down,
            records_digest=self.desk.records.digest(),
            owner=self.desk.owner,
            owner_epoch=self.desk.owner_epoch,
            counts=self._counts,
            log_time_sum=self._sums[0],
            log_time_square_sum=self._sums[1],
        )

    def _count(self) -> None:
        """What it answered since it was looked at last, drawn in one go."""
        now, rng, case = self.world.loop.time(), self._rng, self.world.case
        rush = case.rush is not None and case.rush <= self.world.at() / 1000.0 < case.rush + 40.0
        mean = (now - self._counted) * case.rate * (3.0 if rush else 1.0) * (0.0 if self.down else 1.0)
        self._counted = now
        count = max(0, round(rng.gauss(mean, math.sqrt(mean)))) if mean > 0 else 0
        share = min(1.0, self.make.refuses + (0.15 if rush else 0.002))
        refused = min(count, max(0, round(rng.gauss(count * share, math.sqrt(count * share * (1 - share))))))
        served = count - refused
        # one that has just begun learns its boxes: slower by half, as was measured on real processes
        fresh = 0.5 * math.exp(-(now - self._began) / 7.0)
        log = math.log(25.0 * (1.0 + self.make.slower) * (1.5 if rush else 1.0)) + self.world.bias[self.name] + fresh
        total = served * log + math.sqrt(served) * TIME_SD * rng.gauss(0.0, 1.0)
        squares = served * (TIME_SD**2) + (total * total / served if served else 0.0)
        self._sums = (self._sums[0] + total, self._sums[1] + squares)
        before = self._counts
        self._counts = m.AnswerCounts(before.served + served, before.refused + refused, before.failed, 0)

    def drain(self, boxes: dict[str, Record], limiter: bool) -> None:
        if limiter != self.down:
            self._count()
        self.down = limiter
        if self.desk is not None:
            self.world.limiter_changed(self)

    def open_requests_at(self, boxes: Iterable[str]) -> dict[str, int]:
        return dict.fromkeys(boxes, 0)

    def open_requests(self) -> int:
        return 0

    def stop(self) -> None:
        self.stopping.set()


class ReleaseWorld(ShellWorld):
    """One history. Judges look at desks and processes of limiters, and at which ledgers agents hold to be chosen."""

    def __init__(self, case: Case, seed: int, log: bool = False) -> None:
        scenario = Scenario(
            "releases",
            limiters=case.limiters,
            agents=case.agents,
            floors=case.floors,
            boxes=3,
            settings=Settings(budget=0.5),
            lasts_s=3600.0,
        )
        super().__init__(scenario, seed)
        self.case, self.made, self._log_on = case, Played(), log
        self.most = int(case.share * case.limiters)
        draw = random.Random(f"bias/{seed}")
        self.bias = {name: draw.gauss(0.0, BIAS_SD) for name in self._names()}
        self.boxes = [server_status(f"s-{n}") for n in range(3)]
        self.modelled: dict[str, Modelled] = {}
        self._doomed: set[int] = set()  # pids that the world ends
        self._out: dict[str, str] = {}
        self._holdings: list[Holding] = []
        self._acts: list[Act] = []
        self._shown: list[tuple[float, str, str, int]] = []
        self._ledgers: dict[int, object] = {}
        self._turned_at = 0.0  # when the plan was seen to be halted or turned
        self._slept = not case.sleeper
        self._gone: set[int] = set()  # agents that are held down

    def say(self, text: str) -> None:
        if self._log_on:
            self.made.log.append(f"{self.at() / 1000.0:8.2f} {text}")

    # Files, agents and limiters

    async def _open(self) -> None:
        s = self.scenario
        self.machines = [self._machine(f"m{n}", n, 1, f"floor-{n % s.floors + 1}") for n in range(s.limiters)]
        for number in range(s.limiters):
            (self.folder / f"n{number}.json").write_text("{}")
        here = self.folder / "versions" / VERSION
        here.mkdir(parents=True)
        (here / "version.toml").write_text('command = ["limiter", "{limiter}"]\n')
        self._write_agents()
        for path in self.folder.glob("agent-*.toml"):
            path.write_text(path.read_text() + '[versions]\nfolder = "versions"\n[supervise]\nmost_backoff = 2.0\n')
        group = self.folder / "group.toml"
        budget = f"[budget.limiters]\nshare = {self.case.share}\n"
        group.write_text(group.read_text().partition("[budget")[0] + budget)
        for number in range(s.agents):
            self._start_agent(number)

    def _spawned(self, machine: Machine, environ: Mapping[str, str]) -> Process:
        name = Path(environ["PROXY_CONFIG"]).stem
        version = environ["ELDERLOCK_VERSION"]
        build = BUILDS[self.case.build] if version else BUILDS["good"]
        process = self.limiters[int(name[1:])] = self.process(name, self.machines[int(name[1:])], environ)
        if version and name not in self.made.ran:
            self.made.ran.add(name)
            self._first_start(name)
        self.say(f"{name} begins on {version or 'the version of the files'}")

        async def main() -> int:
            if build.crash_after == 0.0:
                return 4
            operators = tomllib.loads(Path(environ["ELDERLOCK_OPERATORS"]).read_text())["control"]
            limiter = Modelled(self, name, version, build)
            limiter.desk = CommandAuthority(limiter, read_records_file(Path(operators["records"])))
            if build.mute:
                limiter.desk._hello = lambda *given: m.Refused("version", "it speaks version 99 alone")  # type: ignore[method-assign]
            control = ControlSocket(limiter.desk, Path(operators["socket"]), unix_ms)
            await control.listen()
            self.modelled[name] = limiter
            self.limiter_changed(limiter)
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, limiter.stopping.set)
            if build.crash_after is not None:
                loop.call_later(build.crash_after, self._crash, process)
            await limiter.stopping.wait()
            await asyncio.sleep(0.05)
            control.close()
            return 0

        process.on_exit.append(lambda: self._ended(name, process))
        start(self.loop, process, main)
        return process

    def _first_start(self, name: str) -> None:
        """On the new version. Whoever takes it there after the plan was halted or turned acts on what does not
        stand."""
        plan = self._newest()
        self._note(plan)
        if plan is not None and (plan.state != "running" or plan.direction == "back"):
            late = self.at() - self._turned_at
            if late > SLACK:
                self.made.after_fence += 1
                what = f"{name} was taken to {VERSION} {late:.0f} ms after the plan was {plan.state}, {plan.direction}"
                self.made.broken.append(f"{self.at():.0f} ms: {what}")

    def _crash(self, process: Process) -> None:
        if process.alive:
            self._doomed.add(process.pid)
            process.end(3)

    # What is seen

    def _mark(self, name: str, why: str) -> None:
        """`why` it is out by our doing; empty where it is not."""
        if bool(self._out.get(name)) == bool(why):
            return
        if why:
            self._out[name] = why
            self._holdings.append(Holding(OUT, name, self.at(), self.at()))
        else:
            del self._out[name]
            last = next(n for n in reversed(range(len(self._holdings))) if self._holdings[n].holder == name)
            self._holdings[last] = self._holdings[last]._replace(ended=self.at())

    def limiter_changed(self, limiter: Modelled) -> None:
        """A process of it began, or its own drain changed."""
        assert limiter.desk is not None
        record = limiter.desk.records.get("limiter", limiter.name)
        if record is not None:
            self._shown.append((self.at(), limiter.name, "its drain", record.generation))
            if limiter.down:
                self._acts.append(Act(limiter.name, record.origin, self.at(), record.generation))
        self.say(f"{limiter.name} {'drained' if limiter.down else 'serves'}")
        self._mark(limiter.name, "drained" if limiter.down else "")

    def _ended(self, name: str, process: Process) -> None:
        limiter = self.modelled.pop(name, None)
        ours = process.pid not in self._doomed and process.exit_code in (0, -signal.SIGKILL, -signal.SIGTERM)
        self.say(f"{name} ended with {process.exit_code}{'' if ours else ', not by us'}")
        if ours:
            if limiter is not None and not limiter.down and not limiter.make.mute:
                # whoever ended it acted on what does not stand: a plan drains first
                self.made.after_fence += 1
                self.made.broken.append(f"{self.at():.0f} ms: {name} was ended while it served")
            self._mark(name, "ended")
        else:
            self._mark(name, "")  # against our will

    def _agent_class(self) -> type[Any]:
        base, world = super()._agent_class(), self

        class Seen(base):  # type: ignore[misc,valid-type]
            def __init__(self, *given: Any) -> None:
                super().__init__(*given)
                keeper, name = self.consensus_member, self.name
                learn = keeper.learn

                def learnt(ledger: Any) -> None:
                    held = world._ledgers.setdefault(ledger.version, ledger)
                    if held != ledger:
                        world.made.doubled += 1
                        text = f"two ledgers of version {ledger.version}, the second at {name}"
                        world.made.broken.append(f"{world.at():.0f} ms: {text}")
                    learn(ledger)
                    if not world._slept and ledger.plans:
                        # outside of the agent, as what it schedules sleeps with it
                        context_of(None).run(world._put_to_sleep, name, ledger.plans[-1])

                keeper.learn = learnt

        return Seen

    # The story

    async def _main(self) -> None:
        case, rng = self.case, random.Random(f"story/{self.seed}")
        await self._open()
        await self._until(lambda: self._voting() and len(self.modelled) == case.limiters, 60.0, "the group to be up")
        await asyncio.sleep(25.0)  # figures from before
        began = self.at()
        terms = case.terms
        ids = [f"{self.seed:08x}{n}" for n in range(2)]
        waves = [self._names()] if case.one_wave else []
        make = operate.begin(ids[0], "release", VERSION, (), waves, _with_back(terms, case.auto_back), "")
        asks: list[Awaitable[Any]] = [self._asks("an", make, f.BeginAnswer)]
        if case.two_operators:
            other = operate.begin(ids[1], "release", VERSION, (), (), _with_back(terms, case.auto_back), "")
            asks.append(self._asks("binh", other, f.BeginAnswer))
        for _ in range(case.faults):
            self.loop.call_later(rng.uniform(0.0, case.faulty_s), self._befall, rng.randrange(1 << 30))
        if case.leader_gone is not None:
            self.loop.call_later(case.leader_gone, self._leader_goes)
        if case.lone_floor_at is not None:
            self.loop.call_later(case.lone_floor_at, self._lose_floor)
        await asyncio.gather(*asks)
        for _ in range(case.words):
            self.loop.call_later(rng.uniform(1.0, case.faulty_s), self._word, rng.randrange(1 << 30))
        plan = await self._settled(began)
        if plan is None:
            return
        if plan.state == "halted":
            self.made.halted_why = plan.state_reason
            self.made.back_tried += 1
            halted = plan.id
            await self._asks("an", lambda id: f.SteerPlan(id, halted, "back"), f.SteerAnswer)
            plan = await self._settled(self.at())
        elif plan.direction == "back":
            self.made.back_tried += 1
            self.made.halted_why = plan.state_reason
        if plan is None:
            return
        if plan.state != "over":
            self.made.stuck += 1
            self.made.broken.append(f"{self.at():.0f} ms: it is {plan.state} after all was healed: {plan.state_reason}")
        want = VERSION if plan.direction == "to" else ""
        await asyncio.sleep(15.0)
        runs = {name: each.version for name, each in self.modelled.items()}
        wrong = [n for n in self._names() if runs.get(n) != want or self.modelled[n].down]
        if plan.state == "over" and plan.direction == "back":
            self.made.back_complete += not wrong
        if plan.state == "over" and wrong:
            self.made.stuck += 1
            self.made.broken.append(f"{self.at():.0f} ms: {plan.outcome()}, but not {', '.join(wrong)}")
        self._judge()

    def _judge(self) -> None:
        made = self.made
        made.seconds = self.at() / 1000.0
        over = bounded(self._holdings, {OUT: float(self.most)})
        made.over_budget += len(over)
        back = [*fenced(self._acts), *never_back(self._shown)]
        made.after_fence += len(back)
        made.broken += [f"{clash.at:.0f} ms: {clash.text}" for clash in (*over, *back)]

    async def _until(self, done: Callable[[], bool], within: float, what: str) -> bool:
        ends = self.loop.time() + within
        while not done():
            if self.loop.time() > ends:
                self.made.stuck += 1
                self.made.broken.append(f"{self.at():.0f} ms: {within:g} s waited for {what}")
                return False
            await asyncio.sleep(0.1)
        return True

    def _voting(self) -> bool:
        keepers = [agent.consensus_member for agent in self.agents.values() if agent.consensus_member is not None]
        voters = [keeper for keeper in keepers if keeper.is_voting]
        return len(self.agents) == self.case.agents and len(voters) >= len(keepers[0].voters)

    def _newest(self) -> Plan | None:
        ledgers = [
            self.agents[f"agent-{n}"].consensus_member.ledger  # type: ignore[union-attr]
            for n, process in self.agent_processes.items()
            if process.alive and f"agent-{n}" in self.agents
        ]
        newest = max(ledgers, key=lambda ledger: ledger.version, default=None)
        return newest.plans[-1] if newest is not None and newest.plans else None

    async def _settled(self, began: float) -> Plan | None:
        """The plan once it is over, or halted after all is healed."""
        case = self.case
        heals = began / 1000.0 + (case.faulty_s if case.faults or case.words else 0.0) + 35.0
        if case.leader_gone is not None:
            heals += case.leader_gone + GONE_FOR
        if case.sleeper:
            heals += ASLEEP + AND_CUT
        waves = 1 + self.case.limiters // max(1, self.most // 2)
        ends = heals + SETTLED_WITHIN + 70.0 * waves
        while True:
            plan = self._newest()
            self._note(plan)
            if plan is not None and (plan.state == "over" or (plan.state == "halted" and self.at() / 1000.0 > heals)):
                return plan
            if self.at() / 1000.0 > ends:
                self.made.stuck += 1
                said = (
                    f"{plan.state} in wave {plan.current_wave() + 1}, {plan.state_reason}" if plan else "there is none"
                )
                self.made.broken.append(f"{self.at():.0f} ms: the plan is not over: {said}")
                return None
            await asyncio.sleep(0.25)

    def _note(self, plan: Plan | None) -> None:
        if plan is None:
            return
        if not self.made.first_wave and plan.direction == "to":
            self.made.first_wave = {unit.target for unit in plan.units if unit.wave == 0}
        before_it = self.made.plan
        if before_it is None or (before_it.state, before_it.direction) != (plan.state, plan.direction):
            self._turned_at = self.at()
        if self.made.plan is None or self.made.plan.term != plan.term:
            self.made.took_over = max(0, plan.term - 1)
        if self.made.plan != plan:
            before = self.made.plan.state_reason if self.made.plan else ""
            self.say(
                f"plan {plan.state} {plan.direction} wave {plan.current_wave()} term {plan.term}"
                + (f": {plan.state_reason}" if plan.state_reason != before else "")
            )
        if (
            plan.state_reason
            and not self.made.halted_why
            and (plan.state == "halted" or "by itself" in plan.state_reason)
        ):
            self.made.halted_why = plan.state_reason
        self.made.plan = plan

    async def _asks(self, who: str, make: Callable[[int], f.Message], answer: Any) -> Any:
        """An operator's command, in a process of its own."""
        process = self.process(f"operator-{who}", self.agent_machine(0), {})
        done: asyncio.Future[Any] = self.loop.create_future()

        async def main() -> int:
            group = Group.read(self.folder / "group.toml", self.folder / f"token-{who}")
            got = await operate.ask_any(group, make, answer, 60.0)
            group.close()
            self.say(f"{who}: {got.exit.name} {'; '.join(got.lines)}")
            if not done.done():
                done.set_result(got)
            return 0

        def over() -> None:
            if not done.done():
                done.set_result(None)

        process.on_exit.append(over)
        start(self.loop, process, main)
        return await done

    def _word(self, seed: int) -> None:
        """Of an operator who does not know what the others say."""
        plan = self._newest()
        rng = random.Random(seed)
        if plan is None or plan.state == "over":
            return
        action = rng.choice(["halt", "halt", "go-on", "go-on", "back"])
        turn = plan.revision if rng.random() < 0.8 else plan.revision - 1
        self.loop.create_task(self._says(plan, action, turn, rng.choice(("an", "binh"))))

    async def _says(self, plan: Plan, action: str, turn: int, who: str) -> None:
        began = self.at()
        self.say(f"{who} says {action}")
        asked = self._asks(who, lambda id: f.SteerPlan(id, plan.id, action, turn), f.SteerAnswer)  # type: ignore[arg-type]
        if action == "halt" and plan.state == "running" and not self.case.faults:
            task: asyncio.Future[Any] = asyncio.ensure_future(asked)
            while not all(
                a.plan_coordinator.is_halted(p)  # type: ignore[union-attr]
                for a in self.agents.values()
                if (p := a.consensus_member.ledger.find_plan(plan.id))  # type: ignore[union-attr]
            ):
                await asyncio.sleep(0.01)
                if self.at() - began > 5000.0:
                    break
            self.made.halt_ms.append(self.at() - began)
            await task
        else:
            await asked

    # Faults

    def _befall(self, seed: int) -> None:
        rng = random.Random(seed)
        number = rng.randrange(self.case.agents)
        process, machine = self.agent_processes[number], self.agent_machine(number)
        what = rng.choice(["kill", "pause", "pause", "cut", "cut", "one-way", "crash", "disk", "clock"])
        lasts = rng.choice([0.5, 3.0, 9.0, 30.0])
        self.say(f"agent-{number} {what} {lasts:g} s")
        if what == "kill":
            self.signal(process, signal.SIGKILL)
        elif what == "pause":
            self.signal(process, signal.SIGSTOP)
            self.loop.call_later(lasts, self.signal, process, signal.SIGCONT)
        elif what == "disk":
            machine.disk_fails = rng.choice(["full", "error"])
            self.loop.call_later(lasts, setattr, machine, "disk_fails", "")
        elif what == "clock":
            machine.offset += rng.choice([-86_400_000.0, 3_600_000.0])
        elif what == "crash":
            limiter = self.limiters[rng.randrange(self.case.limiters)]
            if limiter is not None and limiter.alive:
                self._doomed.add(limiter.pid)
                self.signal(limiter, signal.SIGKILL)
        else:
            others = [self.agent_machine(n).name for n in range(self.case.agents) if n != number]
            pairs = [(machine.name, other) for other in others]
            if what == "cut":
                pairs += [(other, machine.name) for other in others]
            elif rng.random() < 0.5:
                pairs = [(other, machine.name) for other in others]
            self.ways.separate(pairs)
            self.loop.call_later(lasts, self.ways.join, pairs)

    def _put_to_sleep(self, name: str, plan: Plan) -> None:
        """The agent of that name has just learnt of the plan as it stands."""
        number = int(name[6:])
        mine = [unit for unit in plan.units if unit.stage == "out" and int(unit.target[1:]) in self._share(number)]
        if mine and name != plan.leader:
            self._slept = True
            self.say(f"{name} sleeps")
            process = self.agent_processes[number]
            self.signal(process, signal.SIGSTOP)
            self.loop.call_later(ASLEEP, self.signal, process, signal.SIGCONT)
            here = self.agent_machine(number).name
            pairs = [(other, here) for n in range(self.case.agents) if (other := self.agent_machine(n).name) != here]
            pairs += [(here, other) for other, _ in pairs]
            self.ways.separate(pairs)
            self.loop.call_later(ASLEEP + AND_CUT, self.ways.join, pairs)
            self.loop.call_later(2.0, lambda: self.loop.create_task(self._says(plan, "back", plan.revision, "an")))

    def _leader_goes(self) -> None:
        plan = self._newest()
        if plan is None or plan.state == "over":
            return
        number = int(plan.leader[6:])
        self.say(f"{plan.leader}, which leads, is gone")
        self._gone.add(number)
        self.signal(self.agent_processes[number], signal.SIGKILL)
        self.loop.call_later(GONE_FOR, self._comes_back, number)
        self.loop.call_later(TAKEN_OVER_WITHIN, self._taken_over, plan)

    def _taken_over(self, before: Plan) -> None:
        plan = self._newest()
        if plan is not None and plan.state == "running" and plan.term == before.term:
            self.made.stuck += 1
            self.made.broken.append(f"{self.at():.0f} ms: nobody leads in place of {before.leader}")

    def _comes_back(self, number: int) -> None:
        self._gone.discard(number)
        self._start_agent(number)

    def _again_agent(self, number: int) -> None:
        if number not in self._gone:
            super()._again_agent(number)

    def _lose_floor(self) -> None:
        """All that runs on the first floor is gone, and nothing is heard of it for a while."""
        floor = self.machines[0].floor
        pairs = [(floor, "*"), ("*", floor)]
        self.ways.separate(pairs)
        self.loop.call_later(FLOOR_AWAY, self.ways.join, pairs)
        self.say(f"{floor} is lost")
        for number, process in self.agent_processes.items():
            if self.agent_machine(number).floor == floor:
                self.signal(process, signal.SIGKILL)
        for limiter in self.limiters:
            if limiter is not None and limiter.alive and limiter.machine.floor == floor:
                self._doomed.add(limiter.pid)
                self.signal(limiter, signal.SIGKILL)

    def played(self) -> Played:
        """Plays it. What the code under test raised stands in `broken`."""
        result = self.play()
        self.made.broken += [text for rule, _, text in result.broken]
        if result.ended != "finished":
            self.made.broken.append(f"{result.ended}: {result.why}")
        return self.made


def _with_back(terms: RolloutPolicy, auto_back: bool) -> RolloutPolicy:
    return msgspec.structs.replace(terms, automatic_rollback=auto_back)


def play(case: Case, seed: int, log: bool = False) -> Played:
    return ReleaseWorld(case, seed, log).played()
