"""Releases of agents in simulated time: the agents as they ship, each under the base's decisions, over modelled
limiters. Versions that crash at once, crash in their trial, or that no other understands; agents and bases that are
killed, stopped and cut off. What is judged is seen from outside: processes of agents and limiters, and which version
each ran."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from elderlock.fleet import messages as f
from elderlock.fleet.agent import agent as agents
from elderlock.fleet.client import plan_commands as operate
from elderlock.fleet.launcher.launcher_link import LauncherLink, Ready, Settled, Started, SwitchVersion, message_decoder
from elderlock.rollout.agent_launcher import AgentLauncher, LauncherAction, LauncherState
from elderlock.rollout.plans import Plan, RolloutPolicy
from elderlock.sim.exclusive_holdings import Holding, bound_conflicts
from elderlock.sim.limiter_releases import SLACK, VERSION, ReleaseCase, ReleaseOutcome, ReleaseWorld
from elderlock.sim.virtual.host import SimHost
from elderlock.sim.virtual.processes import Process, context_of, start

OUT = "agents that vote, out by our doing"
TERMS = RolloutPolicy(
    start_timeout_s=8.0, settle_time_s=1.0, bake_time_s=6.0, wave_pause_s=0.5, patience_s=60.0, automatic_rollback=True
)
BUILDS = ("good", "crashes at start", "crashes in its trial", "mute")
CRASH_AFTER = 3.0  # s of a start, of the build that crashes in its trial
START_TAKES = 0.4  # s that the interpreter needs
BASE_AWAY = 2.0  # s till the next base runs
SETTLED_WITHIN = 240.0  # s after all is healed, and three times what the waves take


@dataclass(frozen=True, slots=True)
class AgentReleaseCase:
    """`faults`: how many befall agents and bases in the first `fault_window_s`."""

    agents: int = 5
    limiters: int = 10
    build: str = "good"
    faults: int = 0
    fault_window_s: float = 60.0
    policy: RolloutPolicy = TERMS


class _Pipe:
    """The agent's words on their way to its base."""

    def __init__(self, heard: Callable[[bytes], None]) -> None:
        self._heard = heard

    def write(self, data: bytes) -> int:
        context_of(None).run(self._heard, data)  # the base is another process: it lives on where the agent does not
        return len(data)


class AgentReleaseWorld(ReleaseWorld):
    def __init__(self, agent_releases: AgentReleaseCase, seed: int, log: bool = False) -> None:
        self.agent_releases = agent_releases
        super().__init__(
            ReleaseCase(agents=agent_releases.agents, limiters=agent_releases.limiters, policy=agent_releases.policy),
            seed,
            log,
        )
        self._bases: dict[int, AgentLauncher] = {}
        self._kept: dict[int, LauncherState] = {}  # on each machine's disk
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._dark: set[int] = set()  # whose base is away
        self._unsettled: dict[int, set[int]] = {}  # generations that ended in their trial
        self._switching: set[str] = set()

    # The base's shell

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def _start_agent(self, number: int) -> None:
        """The base of that machine begins."""
        self._dark.discard(number)
        base = self._bases[number] = AgentLauncher(
            self._kept.get(number, LauncherState()), random.Random(f"base/{self.seed}/{number}")
        )
        self._do(number, base.begin(self._now()))

    def _do(self, number: int, do: LauncherAction | None) -> None:
        base = self._bases[number]
        if do == "start":
            self._run(number, base)
        elif do is not None:
            self.signal(self.agent_processes[number], signal.SIGKILL if do == "kill" else signal.SIGTERM)
        if (timer := self._timers.pop(number, None)) is not None:
            timer.cancel()
        if base.due_ms is not None:
            wait = max(0.0, base.due_ms - self._now()) / 1000.0
            self._timers[number] = self.loop.call_later(wait, self._due, number, base)

    def _due(self, number: int, base: AgentLauncher) -> None:
        if self._bases[number] is base and number not in self._dark:
            self._do(number, base.on_timer(self._now()))

    def _said(self, number: int, process: Process, data: bytes) -> None:
        self.loop.call_soon(self._heard, number, process, data)

    def _heard(self, number: int, process: Process, data: bytes) -> None:
        base, name = self._bases[number], f"agent-{number}"
        if number in self._dark or self.agent_processes[number] is not process:
            return
        match message_decoder.decode(data):
            case SwitchVersion(to):
                if (held := base.state_after_switch(to)) is not None:
                    self._kept[number] = held
                    self._went(name, held)
                    self._do(number, base.switch(held, self._now()))
            case Ready():
                base.on_ready()
                self._back(name)
                self._do(number, None)
            case Settled(generation):
                if (kept := base.on_settled(generation)) is not None:
                    self._kept[number] = kept

    def _run(self, number: int, base: AgentLauncher) -> None:
        held, name, machine = base.state, f"agent-{number}", self.agent_machine(number)
        version, build = held.current.version, self.agent_releases.build if held.current.version else "good"
        host = SimHost(machine, self.io, self._spawned, self.processes, self.signal)
        process = self.agent_processes[number] = self.process(name, machine, {})
        pipe: Any = _Pipe(lambda data: self._said(number, process, data))
        basis = LauncherLink(Started(held, base.start_count), pipe)
        self.say(f"{name} begins on {version or 'the version of its base'}{', on trial' if held.is_on_trial else ''}")
        if version:
            self.made.upgraded.add(name)
            if held.generation in self._unsettled.get(number, ()):
                self._broken(f"{name} was started on {version} again, which had ended in its trial")
        pairs = [(machine.name, "*"), ("*", machine.name)] if build == "mute" else []
        self.ways.add_cuts(pairs)

        async def main() -> int:
            if build == "crashes at start":
                return 4
            await asyncio.sleep(START_TAKES)
            try:
                await agents.serve(self.folder / f"{name}.toml", host=host, launcher=basis)
            except Exception as error:
                self.trace.event(self.at(), name, f"ends: {error!r}")
                return 2
            return 0

        def over() -> None:
            self.ways.remove_cuts(pairs)
            self._over(number, process)

        process.on_exit.append(over)
        if build == "crashes in its trial":
            self.loop.call_later(CRASH_AFTER, process.end, 3)
        start(self.loop, process, main)

    def _over(self, number: int, process: Process) -> None:
        if number in self._dark or self.agent_processes[number] is not process:
            return
        base, was = self._bases[number], self._bases[number].state
        if was.is_on_trial and base.phase != "stopping":
            self._unsettled.setdefault(number, set()).add(was.generation)
        kept, do = base.on_exit(f"code {process.exit_code}", self._now())
        if kept is not None:
            self._kept[number] = kept
        self._do(number, do)

    # What is seen

    def _broken(self, text: str) -> None:
        self.made.stale_actions += 1
        self.made.violations.append(f"{self.at():.0f} ms: {text}")

    def _went(self, name: str, held: LauncherState) -> None:
        """Its base was told to go: it is out by our doing until it is up again."""
        if name in self.agents[name].consensus_member.voters:  # type: ignore[union-attr]
            self._switching.add(name)
            self._holdings.append(Holding(OUT, name, self.at(), self.at()))
        plan = self._newest()
        self._note(plan)
        if plan is not None and held.current.version and (plan.state == "halted" or plan.direction == "back"):
            late = self.at() - self._turned_at
            if late > SLACK:
                self._broken(
                    f"{name} was taken to {VERSION} {late:.0f} ms after the plan was {plan.state}, {plan.direction}"
                )

    def _back(self, name: str) -> None:
        if name in self._switching:
            self._switching.discard(name)
            last = next(n for n in reversed(range(len(self._holdings))) if self._holdings[n].holder == name)
            self._holdings[last] = self._holdings[last]._replace(ended=self.at())

    def _mark(self, name: str, why: str) -> None:
        """Of limiters nothing goes out here; one that is ended while it serves is told by `_ended`."""

    # The story

    async def _main(self) -> None:
        given, rng = self.agent_releases, random.Random(f"story/{self.seed}")
        await self._open()
        (self.folder / "versions" / VERSION / "version.toml").write_text('agent = ["agent", "{agent}"]\n')
        await self._until(lambda: self._voting() and len(self.modelled) == given.limiters, 60.0, "the group to be up")
        await asyncio.sleep(5.0)
        begun: operate.Answer | None = None
        while begun is None or begun.plan is None:
            begun = await self._asks(
                "an", operate.begin("p" * 32, "agents", VERSION, (), (), given.policy, ""), f.BeginAnswer
            )
            await asyncio.sleep(0.5)
        healed = self.at() + 1000.0 * (given.fault_window_s + 35.0 if given.faults else 0.0)
        for _ in range(given.faults):
            self.loop.call_later(rng.uniform(0.0, given.fault_window_s), self._befall_base, rng.randrange(1 << 30))
        plan = await self._ends(begun.plan.id, healed)
        if plan is None:
            return
        await asyncio.sleep(max(0.0, healed - self.at()) / 1000.0)  # a disk that still fails lets no agent start
        want = VERSION if plan.direction == "to" else ""
        wrong = await self._until_all_run(want)
        if not wrong:
            # what the release left is what each base starts from now on, whatever ends
            await asyncio.sleep(2.0)
            for process in list(self.agent_processes.values()):
                self.signal(process, signal.SIGKILL)
            await asyncio.sleep(1.0)
            wrong = await self._until_all_run(want)
        if plan.direction == "back":
            self.made.rollbacks_tried += 1
            self.made.rollbacks_completed += not wrong
        if wrong:
            self.made.stuck_plans += 1
            self.made.violations.append(f"{self.at():.0f} ms: {plan.outcome()}, but not {', '.join(wrong)}")
        for clash in bound_conflicts(self._holdings, {OUT: 1.0}):
            self.made.over_budget += 1
            self.made.violations.append(f"{clash.at:.0f} ms: {clash.text}")
        self.made.seconds = self.at() / 1000.0

    async def _until_all_run(self, want: str) -> list[str]:
        """Which agents do not, after some time."""
        ends = self.at() + 40_000.0
        while (wrong := self._wrong(want)) and self.at() < ends:
            await asyncio.sleep(0.5)
        return wrong

    def _wrong(self, want: str) -> list[str]:
        return [
            f"agent-{number}"
            for number, base in self._bases.items()
            if number in self._dark or base.state.current.version != want or not self.agent_processes[number].alive
        ]

    async def _ends(self, id: str, healed: float) -> Plan | None:
        """The plan once it is over. An operator takes back what stays halted after all is healed."""
        waves = self.agent_releases.agents * (
            5.0 + self.agent_releases.policy.settle_time_s + self.agent_releases.policy.bake_time_s
        )
        while self.at() < max(healed, 1000.0) + 1000.0 * (SETTLED_WITHIN + 3.0 * waves):
            plan = self._newest()
            self._note(plan)
            if plan is not None and plan.state == "over":
                return plan
            if plan is not None and plan.state == "halted" and self.at() > healed:
                await self._asks("an", lambda n: f.SteerPlan(n, id, "back"), f.SteerAnswer)
            await asyncio.sleep(0.25)
        self.made.stuck_plans += 1
        self.made.violations.append(
            f"{self.at():.0f} ms: the plan is not over: {plan.state if plan else 'there is none'}"
        )
        return None

    def _befall_base(self, seed: int) -> None:
        rng = random.Random(seed)
        number = rng.randrange(self.agent_releases.agents)
        if rng.random() < 0.6:
            self._befall(seed)
        elif number not in self._dark:
            self.say(f"the machine's base {number} is killed, and its agent with it")
            self._dark.add(number)
            base, process = self._bases[number], self.agent_processes[number]
            if base.state.is_on_trial:
                # an end that no base saw: the next one may start it once more
                self._unsettled.get(number, set()).discard(base.state.generation)
            self.signal(process, signal.SIGKILL)
            self.loop.call_later(BASE_AWAY, self._start_agent, number)


def play(agent_releases: AgentReleaseCase, seed: int, log: bool = False) -> ReleaseOutcome:
    return AgentReleaseWorld(agent_releases, seed, log).played()
