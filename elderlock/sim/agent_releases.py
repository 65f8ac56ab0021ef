"""Simulated releases of agents: the agents that ship, each under the decisions of its launcher, with modelled limiters.

New versions crash at once, crash in their trial, or cannot talk to other agents; agents and launchers are killed,
suspended and cut off. The invariants are checked from outside, on the processes of agents and limiters and the version
that each runs.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from elderlock.fleet import messages as fleet_messages
from elderlock.fleet.agent import agent as agents
from elderlock.fleet.client import plan_commands
from elderlock.fleet.launcher.launcher_link import LauncherLink, Ready, Settled, Started, SwitchVersion, message_decoder
from elderlock.rollout.agent_launcher import AgentLauncher, LauncherAction, LauncherState
from elderlock.rollout.plans import Plan, RolloutPolicy
from elderlock.sim.exclusive_holdings import Holding, bound_conflicts
from elderlock.sim.limiter_releases import STALE_ACTION_GRACE_MS, VERSION, ReleaseCase, ReleaseOutcome, ReleaseWorld
from elderlock.sim.virtual.host import SimHost
from elderlock.sim.virtual.processes import Process, context_of, start

UNAVAILABLE = "voting agents taken out by the release"
POLICY = RolloutPolicy(
    start_timeout_s=8.0, settle_time_s=1.0, bake_time_s=6.0, wave_pause_s=0.5, patience_s=60.0, automatic_rollback=True
)
BUILDS = ("good", "crashes at start", "crashes in its trial", "mute")
CRASH_AFTER_S = 3.0  # lifetime of the version that crashes in its trial
START_DURATION_S = 0.4  # of the interpreter
LAUNCHER_RESTART_S = 2.0  # until a killed launcher runs again
# Time in s after the end of all faults within which a plan must be over, added to three times its regular duration.
SETTLED_WITHIN = 240.0


@dataclass(frozen=True, slots=True)
class AgentReleaseCase:
    """A simulated release of agents and its faults.

    Attributes:
        agents: Number of agents.
        limiters: Number of limiters.
        build: Behaviour of the released version, one of `BUILDS`.
        faults: Number of faults of agents and launchers within `fault_window_s`.
        fault_window_s: Length of the period in which faults occur, in s.
        policy: Timing of the release.
    """

    agents: int = 5
    limiters: int = 10
    build: str = "good"
    faults: int = 0
    fault_window_s: float = 60.0
    policy: RolloutPolicy = POLICY


class _LauncherPipe:
    """Carries the agent's messages to its launcher."""

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self._on_data = on_data

    def write(self, data: bytes) -> int:
        """Passes the data on and returns its length."""
        # Outside the agent's process: the launcher is another process and survives the agent.
        context_of(None).run(self._on_data, data)
        return len(data)


class AgentReleaseWorld(ReleaseWorld):
    """One simulated release of agents."""

    def __init__(self, release_case: AgentReleaseCase, seed: int, log: bool = False) -> None:
        self.release_case = release_case
        super().__init__(
            ReleaseCase(agents=release_case.agents, limiters=release_case.limiters, policy=release_case.policy),
            seed,
            log,
        )
        self._launchers: dict[int, AgentLauncher] = {}
        self._stored_states: dict[int, LauncherState] = {}  # as stored on each machine's disk
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._down_launchers: set[int] = set()
        self._failed_trials: dict[int, set[int]] = {}  # generations whose agent exited during its trial
        self._switching: set[str] = set()

    # Launcher

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def _start_agent(self, number: int) -> None:
        """Starts the launcher of that machine, which starts the agent."""
        self._down_launchers.discard(number)
        launcher = self._launchers[number] = AgentLauncher(
            self._stored_states.get(number, LauncherState()), random.Random(f"base/{self.seed}/{number}")
        )
        self._carry_out(number, launcher.begin(self._now()))

    def _carry_out(self, number: int, action: LauncherAction | None) -> None:
        launcher = self._launchers[number]
        if action == "start":
            self._run(number, launcher)
        elif action is not None:
            self.signal(self.agent_processes[number], signal.SIGKILL if action == "kill" else signal.SIGTERM)
        if (timer := self._timers.pop(number, None)) is not None:
            timer.cancel()
        if launcher.due_ms is not None:
            wait_s = max(0.0, launcher.due_ms - self._now()) / 1000.0
            self._timers[number] = self.loop.call_later(wait_s, self._on_timer, number, launcher)

    def _on_timer(self, number: int, launcher: AgentLauncher) -> None:
        if self._launchers[number] is launcher and number not in self._down_launchers:
            self._carry_out(number, launcher.on_timer(self._now()))

    def _defer_message(self, number: int, process: Process, data: bytes) -> None:
        self.loop.call_soon(self._on_data, number, process, data)

    def _on_data(self, number: int, process: Process, data: bytes) -> None:
        launcher, name = self._launchers[number], f"agent-{number}"
        if number in self._down_launchers or self.agent_processes[number] is not process:
            return
        match message_decoder.decode(data):
            case SwitchVersion(to):
                if (state := launcher.state_after_switch(to)) is not None:
                    self._stored_states[number] = state
                    self._record_switch(name, state)
                    self._carry_out(number, launcher.switch(state, self._now()))
            case Ready():
                launcher.on_ready()
                self._record_ready(name)
                self._carry_out(number, None)
            case Settled(generation):
                if (stored_state := launcher.on_settled(generation)) is not None:
                    self._stored_states[number] = stored_state

    def _run(self, number: int, launcher: AgentLauncher) -> None:
        state, name, machine = launcher.state, f"agent-{number}", self.agent_machine(number)
        version, build = state.current.version, self.release_case.build if state.current.version else "good"
        host = SimHost(machine, self.io, self._spawn_limiter, self.processes, self.signal)
        process = self.agent_processes[number] = self.process(name, machine, {})
        pipe: Any = _LauncherPipe(lambda data: self._defer_message(number, process, data))
        launcher_link = LauncherLink(Started(state, launcher.start_count), pipe)
        self._log(
            f"{name} starts on {version or 'the version of its launcher'}{', on trial' if state.is_on_trial else ''}"
        )
        if version:
            self.outcome.upgraded.add(name)
            if state.generation in self._failed_trials.get(number, ()):
                self._add_violation(f"{name} was started again on {version}, which had failed its trial")
        pairs = [(machine.name, "*"), ("*", machine.name)] if build == "mute" else []
        self.ways.add_cuts(pairs)

        async def main() -> int:
            if build == "crashes at start":
                return 4
            await asyncio.sleep(START_DURATION_S)
            try:
                await agents.serve(self.folder / f"{name}.toml", host=host, launcher=launcher_link)
            except Exception as error:
                self.trace.event(self.at(), name, f"ends: {error!r}")
                return 2
            return 0

        def exited() -> None:
            self.ways.remove_cuts(pairs)
            self._agent_exited(number, process)

        process.on_exit.append(exited)
        if build == "crashes in its trial":
            self.loop.call_later(CRASH_AFTER_S, process.end, 3)
        start(self.loop, process, main)

    def _agent_exited(self, number: int, process: Process) -> None:
        if number in self._down_launchers or self.agent_processes[number] is not process:
            return
        launcher, state_before = self._launchers[number], self._launchers[number].state
        if state_before.is_on_trial and launcher.phase != "stopping":
            self._failed_trials.setdefault(number, set()).add(state_before.generation)
        stored_state, action = launcher.on_exit(f"code {process.exit_code}", self._now())
        if stored_state is not None:
            self._stored_states[number] = stored_state
        self._carry_out(number, action)

    # Observation

    def _add_violation(self, text: str) -> None:
        self.outcome.stale_actions += 1
        self.outcome.violations.append(f"{self.at():.0f} ms: {text}")

    def _record_switch(self, name: str, state: LauncherState) -> None:
        """Records that a launcher was told to switch; its agent is out until it is ready again."""
        if name in self.agents[name].consensus_member.voters:  # type: ignore[union-attr]
            self._switching.add(name)
            self._holdings.append(Holding(UNAVAILABLE, name, self.at(), self.at()))
        plan = self._newest_plan()
        self._record_plan(plan)
        if plan is not None and state.current.version and (plan.state == "halted" or plan.direction == "back"):
            delay_ms = self.at() - self._plan_changed_at
            if delay_ms > STALE_ACTION_GRACE_MS:
                state_text = f"{plan.state}, {plan.direction}"
                self._add_violation(
                    f"{name} was switched to {VERSION} {delay_ms:.0f} ms after the plan was {state_text}"
                )

    def _record_ready(self, name: str) -> None:
        if name in self._switching:
            self._switching.discard(name)
            last = next(n for n in reversed(range(len(self._holdings))) if self._holdings[n].holder == name)
            self._holdings[last] = self._holdings[last]._replace(ended=self.at())

    def _mark_out(self, name: str, reason: str) -> None:
        """Does nothing: this release takes out no limiters, and `_limiter_ended` reports those ended while serving."""

    # Scenario

    async def _main(self) -> None:
        case, rng = self.release_case, random.Random(f"story/{self.seed}")
        await self._start_group()
        (self.folder / "versions" / VERSION / "version.toml").write_text('agent = ["agent", "{agent}"]\n')
        await self._wait_until(
            lambda: self._are_voters_ready() and len(self.limiter_models) == case.limiters, 60.0, "the group to start"
        )
        await asyncio.sleep(5.0)
        answer: plan_commands.Answer | None = None
        while answer is None or answer.plan is None:
            answer = await self._run_command(
                "an",
                plan_commands.begin("p" * 32, "agents", VERSION, (), (), case.policy, ""),
                fleet_messages.BeginAnswer,
            )
            await asyncio.sleep(0.5)
        healed_ms = self.at() + 1000.0 * (case.fault_window_s + 35.0 if case.faults else 0.0)
        for _ in range(case.faults):
            self.loop.call_later(
                rng.uniform(0.0, case.fault_window_s), self._inject_launcher_fault, rng.randrange(1 << 30)
            )
        plan = await self._wait_for_end(answer.plan.id, healed_ms)
        if plan is None:
            return
        await asyncio.sleep(max(0.0, healed_ms - self.at()) / 1000.0)  # agents cannot start while their disk fails
        expected_version = VERSION if plan.direction == "to" else ""
        mismatched = await self._wait_for_version(expected_version)
        if not mismatched:
            # Each launcher must restart its agent on the version that the release left.
            await asyncio.sleep(2.0)
            for process in list(self.agent_processes.values()):
                self.signal(process, signal.SIGKILL)
            await asyncio.sleep(1.0)
            mismatched = await self._wait_for_version(expected_version)
        if plan.direction == "back":
            self.outcome.rollbacks_tried += 1
            self.outcome.rollbacks_completed += not mismatched
        if mismatched:
            self.outcome.stuck_plans += 1
            self.outcome.violations.append(f"{self.at():.0f} ms: {plan.outcome()}, but not at {', '.join(mismatched)}")
        for clash in bound_conflicts(self._holdings, {UNAVAILABLE: 1.0}):
            self.outcome.over_budget += 1
            self.outcome.violations.append(f"{clash.at:.0f} ms: {clash.text}")
        self.outcome.seconds = self.at() / 1000.0

    async def _wait_for_version(self, expected_version: str) -> list[str]:
        """Waits until all agents run this version and returns those that do not."""
        deadline_ms = self.at() + 40_000.0
        while (mismatched := self._agents_on_other_versions(expected_version)) and self.at() < deadline_ms:
            await asyncio.sleep(0.5)
        return mismatched

    def _agents_on_other_versions(self, expected_version: str) -> list[str]:
        return [
            f"agent-{number}"
            for number, launcher in self._launchers.items()
            if number in self._down_launchers
            or launcher.state.current.version != expected_version
            or not self.agent_processes[number].alive
        ]

    async def _wait_for_end(self, id: str, healed_ms: float) -> Plan | None:
        """Waits until the plan is over.

        An operator rolls a plan back that is still halted after the end of all faults.
        """
        waves = self.release_case.agents * (
            5.0 + self.release_case.policy.settle_time_s + self.release_case.policy.bake_time_s
        )
        while self.at() < max(healed_ms, 1000.0) + 1000.0 * (SETTLED_WITHIN + 3.0 * waves):
            plan = self._newest_plan()
            self._record_plan(plan)
            if plan is not None and plan.state == "over":
                return plan
            if plan is not None and plan.state == "halted" and self.at() > healed_ms:
                await self._run_command(
                    "an", lambda n: fleet_messages.SteerPlan(n, id, "back"), fleet_messages.SteerAnswer
                )
            await asyncio.sleep(0.25)
        self.outcome.stuck_plans += 1
        self.outcome.violations.append(
            f"{self.at():.0f} ms: the plan is not over: {plan.state if plan else 'there is no plan'}"
        )
        return None

    def _inject_launcher_fault(self, seed: int) -> None:
        rng = random.Random(seed)
        number = rng.randrange(self.release_case.agents)
        if rng.random() < 0.6:
            self._inject_fault(seed)
        elif number not in self._down_launchers:
            self._log(f"launcher {number} and its agent are killed")
            self._down_launchers.add(number)
            launcher, process = self._launchers[number], self.agent_processes[number]
            if launcher.state.is_on_trial:
                # No launcher observed this exit, so the next one may start the version again.
                self._failed_trials.get(number, set()).discard(launcher.state.generation)
            self.signal(process, signal.SIGKILL)
            self.loop.call_later(LAUNCHER_RESTART_S, self._start_agent, number)


def play(release_case: AgentReleaseCase, seed: int, log: bool = False) -> ReleaseOutcome:
    """Simulates a release of agents.

    Args:
        release_case: The case to simulate.
        seed: Seed of all random numbers.
        log: Whether the outcome contains log lines.
    """
    return AgentReleaseWorld(release_case, seed, log).run()
