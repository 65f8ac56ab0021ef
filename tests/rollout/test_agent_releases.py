"""Releases of agents: the base that starts them, its fall back, and whole releases among real agents."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from elderlock.fleet import messages as f
from elderlock.fleet.client import plan_commands as operate
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
from elderlock.trial.ground import Ground
from elderlock.trial.standing import judged, standing

TERMS = RolloutPolicy(
    start_timeout_s=6.0, settle_time_s=0.2, bake_time_s=1.5, wave_pause_s=0.1, patience_s=20.0, automatic_rollback=True
)
V2 = AgentVersion("v2", ("two",))


def to_v2(base: AgentLauncher, generation: int = 5) -> None:
    held = base.state_after_switch(SwitchRequest(generation, V2))
    assert held is not None
    assert base.switch(held, 0.0) == "terminate"
    assert base.on_exit("code 0", 10.0) == (None, "start")


def test_a_version_that_ends_on_trial_is_followed_by_the_one_before() -> None:
    base = AgentLauncher(LauncherState(), random.Random(1))
    assert base.begin(0.0) == "start"
    base.on_ready()
    to_v2(base)
    assert base.state.current == V2 and base.state.is_on_trial
    base.on_ready()
    kept, do = base.on_exit("code 3", 20.0)
    assert kept is not None and do == "start"
    assert (kept.current, kept.failed_generation, kept.is_on_trial) == (
        AgentVersion(),
        5,
        False,
    ) and kept.failure_reason == "it ended with code 3"
    assert base.state_after_switch(SwitchRequest(5, V2)) is None  # the same word again
    assert base.state_after_switch(SwitchRequest(6, V2)) is not None


def test_a_version_that_says_nothing_is_killed_and_followed_by_the_one_before() -> None:
    base = AgentLauncher(LauncherState(), random.Random(1))
    base.begin(0.0)
    to_v2(base)
    assert base.on_timer(START_TIMEOUT_MS) is None and base.on_timer(10.0 + START_TIMEOUT_MS) == "kill"
    kept, do = base.on_exit("signal 9", 10.0 + START_TIMEOUT_MS)
    assert kept is not None and do == "start" and "did not say within 20 s" in kept.failure_reason


def test_a_settled_version_that_ends_is_started_again_later_and_later() -> None:
    base = AgentLauncher(LauncherState(), random.Random(1))
    base.begin(0.0)
    to_v2(base)
    base.on_ready()
    assert base.on_settled(4) is None
    held = base.on_settled(5)
    assert held is not None and not held.is_on_trial
    now, waits = 20.0, []
    for _ in range(4):
        assert base.on_exit("code 1", now) == (None, None) and base.due_ms is not None
        waits.append(base.due_ms - now)
        now = base.due_ms
        assert base.on_timer(now) == "start"
    assert base.state.current == V2 and all(100.0 <= w <= 1600.0 for w in waits) and waits[3] > waits[0]


def test_a_power_loss_on_trial_falls_back_in_the_next_life_too() -> None:
    base = AgentLauncher(LauncherState(), random.Random(1))
    base.begin(0.0)
    to_v2(base)
    again = AgentLauncher(base.state, random.Random(2))
    assert again.begin(0.0) == "start" and again.state.current == V2
    kept, do = again.on_exit("code 2", 10.0)
    assert kept is not None and kept.current == AgentVersion() and do == "start"


class Bases(RuleBasedStateMachine):
    """Against any order of words, ends and waits: one process at most, never an unsettled version again after its end,
    and something always runs or is due."""

    @initialize()
    def begin(self) -> None:
        self.base, self.now, self.lives = AgentLauncher(LauncherState(), random.Random(1)), 0.0, 0
        self.ended_on_trial: set[int] = set()
        self.good = AgentVersion()
        self.generation = 0
        self.do(self.base.begin(0.0))

    def do(self, do: str | None) -> None:
        if do == "start":
            self.lives += 1
            assert self.base.state.generation not in self.ended_on_trial
        elif do == "kill":
            self.end()

    def end(self) -> None:
        if self.lives:
            self.lives -= 1
            if self.base.state.is_on_trial and self.base.phase != "stopping":
                self.ended_on_trial.add(self.base.state.generation)
            _, do = self.base.on_exit("code 1", self.now)
            self.do(do)

    @rule(back=st.integers(0, 3), name=st.sampled_from(["a", "b", "c"]))
    def word(self, back: int, name: str) -> None:
        self.generation += 1
        held = self.base.state_after_switch(SwitchRequest(self.generation - back, AgentVersion(name)))
        assert (held is not None) <= (self.generation - back > self.base.state.generation)
        if held is not None:
            assert held.previous == self.good
            self.do(self.base.switch(held, self.now))

    @rule()
    def ready(self) -> None:
        if self.lives:
            self.base.on_ready()

    @rule(old=st.booleans())
    def settled(self, old: bool) -> None:
        if (
            self.lives
            and self.base.phase == "up"
            and self.base.on_settled(self.base.state.generation - old) is not None
        ):
            self.good = self.base.state.current

    @rule()
    def ends(self) -> None:
        self.end()

    @rule(ms=st.floats(1.0, 40_000.0))
    def wait(self, ms: float) -> None:
        self.now += ms
        self.do(self.base.on_timer(self.now))

    @rule()
    def power(self) -> None:
        self.lives = 0
        self.base = AgentLauncher(self.base.state, random.Random(2))
        self.do(self.base.begin(self.now))

    @invariant()
    def one_lives_or_is_due(self) -> None:
        if hasattr(self, "base"):
            assert self.lives <= 1
            assert self.lives == 1 or self.base.due_ms is not None


TestBases = Bases.TestCase


def test_one_that_votes_goes_at_a_time_and_a_majority_stays() -> None:
    voters = ["a", "b", "c"]
    assert agent_removal_refusal(voters, [], [], "a") == "" and agent_removal_refusal(voters, ["d"], [], "a") == ""
    assert agent_removal_refusal(voters, ["a"], [], "b") == "agent a votes too and is not done yet"
    assert (
        agent_removal_refusal(voters, [], ["c"], "a") == "without agent a 1 of 3 that vote would be heard: no majority"
    )
    assert agent_removal_refusal(voters, ["a"], ["b"], "d") == ""
    plan = new_release_plan("p" * 32, "v2", [["a", "b", "d", "e"]], {}, "an", "", 0.0, TERMS, "agents")
    begun = plan_transitions.begin_plan(Ledger(), plan)
    assert isinstance(begun, Ledger)
    led = plan_transitions.take_lead(begun, plan.id, "a", 0)
    assert isinstance(led, Ledger)
    sent = plan_transitions.transition_agents_waiting_to_out(led, plan.id, "a", 1, ["a", "b", "d", "e"], voters, [], 7)
    assert isinstance(sent, Ledger)
    held = sent.plans[0]
    assert [unit.stage for unit in held.units] == ["out", "waiting", "out", "out"]
    assert len({unit.generation for unit in held.units if unit.stage == "out"}) == 3 and sent.generation == 10
    assert plan_transitions.transition_agents_waiting_to_out(sent, plan.id, "a", 1, ["b"], voters, [], 7) == [
        "agent a votes too and is not done yet"
    ]
    other = plan_transitions.begin_plan(sent, new_release_plan("q" * 32, "v3", [["n0"]], {}, "an", "", 0.0, TERMS))
    assert other == ["release of agents v2 pppppppp of an is running: go on with it, or take it back first"]


# Real agents


class Here:
    def __init__(self, ground: Ground) -> None:
        self.ground, self.group = ground, Group.read(ground.group_path, ground.token_path("an"))

    async def begin(self, version: str) -> Plan:
        make = operate.begin("r" * 32, "agents", version, (), (), TERMS, "")
        while True:
            said = await operate.ask_any(self.group, make, f.BeginAnswer, None)
            if said.plan is not None:
                return said.plan
            assert "base" not in " ".join(said.lines), said.lines
            await asyncio.sleep(0.1)

    async def plan(self) -> Plan | None:
        return (await operate.list_plans(self.group, 1.0)).plan("r" * 32)

    async def until(self, *outcomes: str) -> Plan:
        while (plan := await self.plan()) is None or plan.outcome() not in outcomes:
            await asyncio.sleep(0.1)
        return plan

    async def versions(self) -> dict[str, str]:
        now = await operate.list_plans(self.group, 1.0)
        return {name: answer.agent_brief.version for name, answer in now.answers.items()}

    async def until_all_run(self, version: str) -> None:
        while sorted((await self.versions()).items()) != [(f"agent-{n}", version) for n in range(3)]:
            await asyncio.sleep(0.1)

    def limiter_pids(self) -> set[int]:
        return {member.life.process.pid for member in self.ground.members if member.life is not None}


@asynccontextmanager
async def three(based: bool = True) -> AsyncIterator[Here]:
    async with standing(agents=3, limiters=3, load=0.1, settings=Settings(budget=0.5), based=based) as ground:
        here = Here(ground)
        try:
            yield here
        finally:
            here.group.close()


def test_agents_go_to_a_good_version_one_by_one_and_their_limiters_run_on() -> None:
    async def test() -> None:
        async with three() as here:
            here.ground.lay_agent_version("v2")
            here.ground.ask()
            before = here.limiter_pids()
            begun = await here.begin("v2")
            assert [unit.wave for unit in begun.units] == [0, 1, 1]
            await here.until("done")
            await here.until_all_run("v2")
            assert here.limiter_pids() == before  # adopted by each new agent
            assert (
                await operate.ask_any(here.group, lambda id: f.SteerPlan(id, "r" * 32, "back"), f.SteerAnswer, 5.0)
            ).exit == 0
            await here.until("taken back")
            await here.until_all_run("")
            assert judged(here.ground).broken == []

    run(test(), within=120.0)


@pytest.mark.parametrize("flaw", ["agent_crashes_at_start", "agent_crashes_later", "agent_is_of_another_protocol"])
def test_a_bad_version_of_agents_stays_with_the_first_and_is_taken_back(flaw: str) -> None:
    async def test() -> None:
        async with three() as here:
            here.ground.lay_agent_version("v2", flaw)
            here.ground.ask()
            before = here.limiter_pids()
            await here.begin("v2")
            plan = await here.until("taken back")
            assert [unit.target for unit in plan.units if unit.generation] == ["agent-0"]
            await here.until_all_run("")
            assert here.limiter_pids() == before
            assert judged(here.ground).broken == []

    run(test(), within=120.0)


def test_a_base_that_is_killed_in_the_trial_and_its_successor_end_the_release_well() -> None:
    async def test() -> None:
        async with three() as here:
            here.ground.lay_agent_version("v2")
            await here.begin("v2")
            while (plan := await here.plan()) is None or plan.units[0].stage == "waiting":
                await asyncio.sleep(0.02)
            here.ground.signal("agent-0", signal.SIGKILL, "its base")  # the agent under it ends with it
            plan = await here.until("done", "taken back", "halted")
            if plan.outcome() == "halted":
                while (
                    await operate.ask_any(here.group, lambda id: f.SteerPlan(id, "r" * 32, "back"), f.SteerAnswer, 5.0)
                ).exit != 0:
                    await asyncio.sleep(0.1)
                plan = await here.until("taken back")
            await here.until_all_run("v2" if plan.outcome() == "done" else "")

    run(test(), within=120.0)


def test_agents_that_no_base_started_are_not_released() -> None:
    async def test() -> None:
        async with three(based=False) as here:
            here.ground.lay_agent_version("v2")
            make = operate.begin("r" * 32, "agents", "v2", (), (), TERMS, "")
            while True:
                said = await operate.ask_any(here.group, make, f.BeginAnswer, None)
                if "was not heard" not in " ".join(said.lines) and "yet" not in " ".join(said.lines):
                    break
                await asyncio.sleep(0.1)
            assert said.plan is None and "agent agent-0 was not started by a base (elderlock base FILE)" in said.lines

    run(test(), within=60.0)
