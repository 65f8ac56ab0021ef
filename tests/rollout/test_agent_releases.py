"""Releases of agents: the launcher that starts them, its fallback, and whole releases with real agents."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from elderlock.fleet import messages
from elderlock.fleet.client import plan_commands
from elderlock.fleet.client.group_client import Group
from elderlock.rollout import plan_transitions
from elderlock.rollout.agent_launcher import (
    START_TIMEOUT_MS,
    AgentLauncher,
    AgentVersion,
    LauncherState,
    SwitchRequest,
    agent_removal_refusal,
)
from elderlock.rollout.permit_ledger import Ledger
from elderlock.rollout.plans import Plan, RolloutPolicy, new_release_plan
from elderlock.sim.scenario import Settings
from elderlock.standins.waiting import run
from elderlock.trial.harness import Harness
from elderlock.trial.running_harness import check_invariants, running_harness

POLICY = RolloutPolicy(
    start_timeout_s=6.0, settle_time_s=0.2, bake_time_s=1.5, wave_pause_s=0.1, patience_s=20.0, automatic_rollback=True
)
V2 = AgentVersion("v2", ("two",))


def switch_to_v2(launcher: AgentLauncher, generation: int = 5) -> None:
    state = launcher.state_after_switch(SwitchRequest(generation, V2))
    assert state is not None
    assert launcher.switch(state, 0.0) == "terminate"
    assert launcher.on_exit("code 0", 10.0) == (None, "start")


def test_a_version_that_exits_on_trial_is_replaced_by_the_previous_one() -> None:
    launcher = AgentLauncher(LauncherState(), random.Random(1))
    assert launcher.begin(0.0) == "start"
    launcher.on_ready()
    switch_to_v2(launcher)
    assert launcher.state.current == V2 and launcher.state.is_on_trial
    launcher.on_ready()
    state, action = launcher.on_exit("code 3", 20.0)
    assert state is not None and action == "start"
    assert (state.current, state.failed_generation, state.is_on_trial) == (
        AgentVersion(),
        5,
        False,
    ) and state.failure_reason == "it ended with code 3"
    assert launcher.state_after_switch(SwitchRequest(5, V2)) is None  # the same request again
    assert launcher.state_after_switch(SwitchRequest(6, V2)) is not None


def test_a_version_that_reports_nothing_is_killed_and_replaced_by_the_previous_one() -> None:
    launcher = AgentLauncher(LauncherState(), random.Random(1))
    launcher.begin(0.0)
    switch_to_v2(launcher)
    assert launcher.on_timer(START_TIMEOUT_MS) is None and launcher.on_timer(10.0 + START_TIMEOUT_MS) == "kill"
    state, action = launcher.on_exit("signal 9", 10.0 + START_TIMEOUT_MS)
    assert state is not None and action == "start" and "did not say within 20 s" in state.failure_reason


def test_a_settled_version_that_exits_is_restarted_with_growing_delays() -> None:
    launcher = AgentLauncher(LauncherState(), random.Random(1))
    launcher.begin(0.0)
    switch_to_v2(launcher)
    launcher.on_ready()
    assert launcher.on_settled(4) is None
    state = launcher.on_settled(5)
    assert state is not None and not state.is_on_trial
    now_ms, delays_ms = 20.0, []
    for _ in range(4):
        assert launcher.on_exit("code 1", now_ms) == (None, None) and launcher.due_ms is not None
        delays_ms.append(launcher.due_ms - now_ms)
        now_ms = launcher.due_ms
        assert launcher.on_timer(now_ms) == "start"
    assert (
        launcher.state.current == V2
        and all(100.0 <= delay_ms <= 1600.0 for delay_ms in delays_ms)
        and delays_ms[3] > delays_ms[0]
    )


def test_a_version_on_trial_still_falls_back_after_a_power_loss() -> None:
    launcher = AgentLauncher(LauncherState(), random.Random(1))
    launcher.begin(0.0)
    switch_to_v2(launcher)
    restarted = AgentLauncher(launcher.state, random.Random(2))
    assert restarted.begin(0.0) == "start" and restarted.state.current == V2
    state, action = restarted.on_exit("code 2", 10.0)
    assert state is not None and state.current == AgentVersion() and action == "start"


class LauncherMachine(RuleBasedStateMachine):
    """Requests, exits and timers in any order.

    At most one process runs, an unsettled version is not started again after its exit, and a process always runs or is
    due to be started.
    """

    @initialize()
    def begin(self) -> None:
        self.launcher, self.now_ms, self.process_count = AgentLauncher(LauncherState(), random.Random(1)), 0.0, 0
        self.ended_on_trial: set[int] = set()
        self.settled_version = AgentVersion()
        self.generation = 0
        self.check_action(self.launcher.begin(0.0))

    def check_action(self, action: str | None) -> None:
        if action == "start":
            self.process_count += 1
            assert self.launcher.state.generation not in self.ended_on_trial
        elif action == "kill":
            self.end_process()

    def end_process(self) -> None:
        if self.process_count:
            self.process_count -= 1
            if self.launcher.state.is_on_trial and self.launcher.phase != "stopping":
                self.ended_on_trial.add(self.launcher.state.generation)
            _, action = self.launcher.on_exit("code 1", self.now_ms)
            self.check_action(action)

    @rule(generation_lag=st.integers(0, 3), name=st.sampled_from(["a", "b", "c"]))
    def switch_request(self, generation_lag: int, name: str) -> None:
        self.generation += 1
        state = self.launcher.state_after_switch(SwitchRequest(self.generation - generation_lag, AgentVersion(name)))
        assert (state is not None) <= (self.generation - generation_lag > self.launcher.state.generation)
        if state is not None:
            assert state.previous == self.settled_version
            self.check_action(self.launcher.switch(state, self.now_ms))

    @rule()
    def ready(self) -> None:
        if self.process_count:
            self.launcher.on_ready()

    @rule(is_outdated=st.booleans())
    def settled(self, is_outdated: bool) -> None:
        if (
            self.process_count
            and self.launcher.phase == "up"
            and self.launcher.on_settled(self.launcher.state.generation - is_outdated) is not None
        ):
            self.settled_version = self.launcher.state.current

    @rule()
    def process_ends(self) -> None:
        self.end_process()

    @rule(ms=st.floats(1.0, 40_000.0))
    def wait(self, ms: float) -> None:
        self.now_ms += ms
        self.check_action(self.launcher.on_timer(self.now_ms))

    @rule()
    def power_loss(self) -> None:
        self.process_count = 0
        self.launcher = AgentLauncher(self.launcher.state, random.Random(2))
        self.check_action(self.launcher.begin(self.now_ms))

    @invariant()
    def one_process_runs_or_is_due(self) -> None:
        if hasattr(self, "launcher"):
            assert self.process_count <= 1
            assert self.process_count == 1 or self.launcher.due_ms is not None


TestLauncher = LauncherMachine.TestCase


def test_voters_are_taken_out_one_at_a_time_and_a_majority_stays() -> None:
    voters = ["a", "b", "c"]
    assert agent_removal_refusal(voters, [], [], "a") == "" and agent_removal_refusal(voters, ["d"], [], "a") == ""
    assert agent_removal_refusal(voters, ["a"], [], "b") == "agent a votes too and is not done yet"
    assert (
        agent_removal_refusal(voters, [], ["c"], "a") == "without agent a 1 of 3 that vote would be heard: no majority"
    )
    assert agent_removal_refusal(voters, ["a"], ["b"], "d") == ""
    plan = new_release_plan("p" * 32, "v2", [["a", "b", "d", "e"]], {}, "an", "", 0.0, POLICY, "agents")
    with_plan = plan_transitions.begin_plan(Ledger(), plan)
    assert isinstance(with_plan, Ledger)
    with_leader = plan_transitions.take_lead(with_plan, plan.id, "a", 0)
    assert isinstance(with_leader, Ledger)
    after_step = plan_transitions.transition_agents_waiting_to_out(
        with_leader, plan.id, "a", 1, ["a", "b", "d", "e"], voters, [], 7
    )
    assert isinstance(after_step, Ledger)
    plan_after_step = after_step.plans[0]
    assert [unit.stage for unit in plan_after_step.units] == ["out", "waiting", "out", "out"]
    assert (
        len({unit.generation for unit in plan_after_step.units if unit.stage == "out"}) == 3
        and after_step.generation == 10
    )
    assert plan_transitions.transition_agents_waiting_to_out(after_step, plan.id, "a", 1, ["b"], voters, [], 7) == [
        "agent a votes too and is not done yet"
    ]
    other_plan = plan_transitions.begin_plan(
        after_step, new_release_plan("q" * 32, "v3", [["n0"]], {}, "an", "", 0.0, POLICY)
    )
    assert other_plan == ["release of agents v2 pppppppp of an is running: go on with it, or take it back first"]


# Real agents


class RunningGroup:
    def __init__(self, ground: Harness) -> None:
        self.ground, self.group = ground, Group.read(ground.group_path, ground.token_path("an"))

    async def begin(self, version: str) -> Plan:
        make_message = plan_commands.begin("r" * 32, "agents", version, (), (), POLICY, "")
        while True:
            answer = await plan_commands.ask_any(self.group, make_message, messages.BeginAnswer, None)
            if answer.plan is not None:
                return answer.plan
            assert "base" not in " ".join(answer.lines), answer.lines
            await asyncio.sleep(0.1)

    async def plan(self) -> Plan | None:
        return (await plan_commands.list_plans(self.group, 1.0)).plan("r" * 32)

    async def until(self, *outcomes: str) -> Plan:
        while (plan := await self.plan()) is None or plan.outcome() not in outcomes:
            await asyncio.sleep(0.1)
        return plan

    async def versions(self) -> dict[str, str]:
        known = await plan_commands.list_plans(self.group, 1.0)
        return {name: answer.agent_brief.version for name, answer in known.answers.items()}

    async def until_all_run(self, version: str) -> None:
        while sorted((await self.versions()).items()) != [(f"agent-{n}", version) for n in range(3)]:
            await asyncio.sleep(0.1)

    def limiter_pids(self) -> set[int]:
        return {
            member.incarnation.process.pid for member in self.ground.limiter_processes if member.incarnation is not None
        }


@asynccontextmanager
async def three_agents(with_launchers: bool = True) -> AsyncIterator[RunningGroup]:
    async with running_harness(
        agents=3, limiters=3, load=0.1, settings=Settings(budget=0.5), with_launchers=with_launchers
    ) as ground:
        running = RunningGroup(ground)
        try:
            yield running
        finally:
            running.group.close()


def test_a_good_version_is_released_agent_by_agent_while_limiters_keep_running() -> None:
    async def test() -> None:
        async with three_agents() as running:
            running.ground.install_agent_version("v2")
            running.ground.start_clients()
            pids_before = running.limiter_pids()
            plan = await running.begin("v2")
            assert [unit.wave for unit in plan.units] == [0, 1, 1]
            await running.until("done")
            await running.until_all_run("v2")
            assert running.limiter_pids() == pids_before  # adopted by each new agent
            assert (
                await plan_commands.ask_any(
                    running.group,
                    lambda request_id: messages.SteerPlan(request_id, "r" * 32, "back"),
                    messages.SteerAnswer,
                    5.0,
                )
            ).exit == 0
            await running.until("taken back")
            await running.until_all_run("")
            assert check_invariants(running.ground).broken == []

    run(test(), within=120.0)


@pytest.mark.parametrize("flaw", ["agent_crashes_at_start", "agent_crashes_later", "agent_is_of_another_protocol"])
def test_a_bad_version_of_agents_reaches_only_the_first_agent_and_is_rolled_back(flaw: str) -> None:
    async def test() -> None:
        async with three_agents() as running:
            running.ground.install_agent_version("v2", flaw)
            running.ground.start_clients()
            pids_before = running.limiter_pids()
            await running.begin("v2")
            plan = await running.until("taken back")
            assert [unit.target for unit in plan.units if unit.generation] == ["agent-0"]
            await running.until_all_run("")
            assert running.limiter_pids() == pids_before
            assert check_invariants(running.ground).broken == []

    run(test(), within=120.0)


def test_a_release_ends_in_one_version_after_a_launcher_was_killed_in_the_trial() -> None:
    async def test() -> None:
        async with three_agents() as running:
            running.ground.install_agent_version("v2")
            await running.begin("v2")
            while (plan := await running.plan()) is None or plan.units[0].stage == "waiting":
                await asyncio.sleep(0.02)
            running.ground.signal("agent-0", signal.SIGKILL, "its base")  # its agent ends with it
            plan = await running.until("done", "taken back", "halted")
            if plan.outcome() == "halted":
                while (
                    await plan_commands.ask_any(
                        running.group,
                        lambda request_id: messages.SteerPlan(request_id, "r" * 32, "back"),
                        messages.SteerAnswer,
                        5.0,
                    )
                ).exit != 0:
                    await asyncio.sleep(0.1)
                plan = await running.until("taken back")
            await running.until_all_run("v2" if plan.outcome() == "done" else "")

    run(test(), within=120.0)


def test_agents_without_a_launcher_are_not_released() -> None:
    async def test() -> None:
        async with three_agents(with_launchers=False) as running:
            running.ground.install_agent_version("v2")
            make_message = plan_commands.begin("r" * 32, "agents", "v2", (), (), POLICY, "")
            while True:
                answer = await plan_commands.ask_any(running.group, make_message, messages.BeginAnswer, None)
                if "was not heard" not in " ".join(answer.lines) and "yet" not in " ".join(answer.lines):
                    break
                await asyncio.sleep(0.1)
            assert (
                answer.plan is None and "agent agent-0 was not started by a base (elderlock base FILE)" in answer.lines
            )

    run(test(), within=60.0)
