"""Releases and planned drains among real agents and limiters, with tools, leaders and links that go."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import msgspec
import pytest

from elderlock.fleet import messages as f
from elderlock.fleet.client import plan_commands as operate
from elderlock.fleet.client.group_client import Group
from elderlock.rollout.plans import Plan, RolloutPolicy
from elderlock.sim.scenario import Fault, Settings
from elderlock.standins.waiting import run
from elderlock.trial.faults import TrialFaults
from elderlock.trial.ground import Ground
from elderlock.trial.processes import Child, python
from elderlock.trial.standing import judged, standing

TERMS = RolloutPolicy(
    drain_timeout_s=2.0,
    start_timeout_s=8.0,
    settle_time_s=0.5,
    bake_time_s=2.0,
    maximum_bake_time_s=4.0,
    wave_pause_s=0.2,
    automatic_rollback=True,
)
BOXES = [f"s-{n:02d}" for n in range(6)]


class Here:
    def __init__(self, ground: Ground) -> None:
        self.ground, self.group = ground, Group.read(ground.group_path, ground.token_path("an"))

    async def known(self) -> operate.PlanAnswers:
        return await operate.list_plans(self.group, 1.0)

    async def begin(
        self, version: str, id: str = "r" * 32, agent: str = "", terms: RolloutPolicy = TERMS
    ) -> f.BeginAnswer:
        make = operate.begin(id, "release", version, (), (), terms, "")
        while True:
            for name in [agent] if agent else self.group.names:
                said = await self.group.ask(name, make, f.BeginAnswer, 5.0)
                if (
                    isinstance(said, f.BeginAnswer)
                    and said.outcome != "away"
                    and not any("yet" in r for r in said.reasons)
                ):
                    return said
            await asyncio.sleep(0.1)

    async def until(self, what: str, id: str = "r" * 32) -> Plan:
        """Until the plan's outcome is that."""
        while (plan := (await self.known()).plan(id)) is None or plan.outcome() != what:
            await asyncio.sleep(0.1)
        return plan

    async def runs(self) -> dict[str, str]:
        return {
            run.limiter: run.version
            for answer in (await self.known()).answers.values()
            for run in answer.running_versions
        }

    async def tool(self, *words: str) -> Child:
        ground = self.ground
        ground.tools += 1
        name = f"tool-{ground.tools}"
        whole = [*words, "--group", str(ground.group_path), "--token-file", str(ground.token_path("an"))]
        child = Child(name, python("-m", "elderlock.cli.main", *whole), ground.mark, ground.folder / f"{name}.log")
        await child.start()
        return child


@asynccontextmanager
async def three(**changes: object) -> AsyncIterator[Here]:
    more = {"agents": 3, "limiters": 3, "load": 0.1, "settings": Settings(budget=0.5), **changes}
    async with standing(**more) as ground:  # type: ignore[arg-type]
        here = Here(ground)
        try:
            yield here
        finally:
            here.group.close()


@pytest.mark.parametrize("flaw", ["crashes_at_start", "refuses_its_agent"])
def test_a_version_that_does_not_come_up_is_taken_back_from_its_first_wave(flaw: str) -> None:
    async def test() -> None:
        async with three() as here:
            here.ground.lay_version("v2", flaw)
            begun = await here.begin("v2")
            assert begun.outcome == "begun", begun.reasons
            plan = await here.until("taken back")
            assert [unit.target for unit in plan.units if unit.generation] == ["n0"]
            assert set((await here.runs()).values()) == {""}

    run(test(), within=90.0)


def test_a_good_version_goes_out_though_its_tool_and_its_leader_are_killed() -> None:
    async def test() -> None:
        async with three() as here:
            here.ground.lay_version("v2")
            here.ground.ask()
            await here.begin("v2", id="x" * 32, terms=TERMS)  # begun by this one, found again by the tool
            plan = (await here.known()).plan("x" * 32)
            assert plan is not None
            tool = await here.tool("release", "status", "--watch")
            here.ground.signal(plan.leader, signal.SIGKILL, "it leads")
            here.ground.agent_processes[int(plan.leader[6:])].held_down = True
            await tool.end()
            while (now := (await here.known()).plan("x" * 32)) is None or now.term == plan.term:
                if now is not None and now.state == "halted":  # halted, it needs no leader
                    on = partial(f.SteerPlan, plan="x" * 32, action="go-on", revision=now.revision)
                    await operate.ask_any(here.group, on, f.SteerAnswer, 5.0)
                await asyncio.sleep(0.1)
            assert now.leader != plan.leader
            here.ground.agent_processes[int(plan.leader[6:])].held_down = False
            await here.ground._start_agent(here.ground.agent_processes[int(plan.leader[6:])])
            while (now := (await here.known()).plan("x" * 32)) is None or now.state != "over":
                if now is not None and now.state == "halted":  # it was silent for too long: an operator goes on
                    on = partial(f.SteerPlan, plan="x" * 32, action="go-on", revision=now.revision)
                    await operate.ask_any(here.group, on, f.SteerAnswer, 5.0)
                await asyncio.sleep(0.1)
            want = "v2" if now.direction == "to" else ""
            while set((await here.runs()).values()) != {want}:
                await asyncio.sleep(0.1)
            assert judged(here.ground).broken == []

    run(test(), within=120.0)


def test_two_operators_at_two_agents_at_once_and_a_halt_that_crosses_a_go_on() -> None:
    async def test() -> None:
        async with three() as here:
            here.ground.lay_version("v2")
            here.ground.lay_version("v3")
            await here.begin("none", agent="agent-0")  # all agents know of one another
            said = await asyncio.gather(here.begin("v2", "a" * 32, "agent-0"), here.begin("v3", "b" * 32, "agent-1"))
            assert sorted(each.outcome for each in said) == ["begun", "refused"]
            plan = next(each.plan for each in said if each.plan is not None)

            async def steer(agent: str, action: str, turn: int) -> f.SteerAnswer:
                got = await here.group.ask(agent, lambda id: f.SteerPlan(id, plan.id, action, turn), f.SteerAnswer, 5.0)  # type: ignore[arg-type]
                assert isinstance(got, f.SteerAnswer), got
                return got

            assert (await steer("agent-1", "halt", 0)).outcome == "done"
            crossing = await asyncio.gather(steer("agent-0", "go-on", 1), steer("agent-2", "halt", 1))
            assert all(each.outcome == "done" for each in crossing)
            late = await steer("agent-1", "go-on", 0)
            assert late.outcome == "refused" and ("halted again" in late.reasons[0] or "it runs" in late.reasons[0])
            assert (await steer("agent-0", "back", 0)).outcome == "done"
            assert (await steer("agent-1", "back", 0)).outcome == "done"
            await here.until("taken back", plan.id)

    run(test(), within=90.0)


def test_a_halt_on_the_lesser_side_of_a_cut_is_in_force_there_and_everywhere_once_it_heals() -> None:
    async def test() -> None:
        async with three() as here:
            here.ground.lay_version("v2")
            begun = await here.begin("v2", agent="agent-1")
            assert begun.plan is not None, begun.reasons
            cut = [pair for other in ("agent-1", "agent-2") for pair in (("agent-0", other), (other, "agent-0"))]
            here.ground.relays.befall("cut", cut)
            said = await here.group.ask("agent-0", lambda id: f.SteerPlan(id, "r" * 32, "halt", 0), f.SteerAnswer, 5.0)
            assert isinstance(said, f.SteerAnswer) and said.outcome == "away"
            there = (await here.known()).answers["agent-0"]
            assert [halt[:2] for halt in there.halts] == [("r" * 32, 0)]
            here.ground.relays.mend("cut", cut)
            plan = await here.until("halted")
            assert plan.state_reason == "halt of an"

    run(test(), within=90.0)


@pytest.mark.parametrize("what", ["drain", "errs"])
def test_a_plan_waits_at_the_budgets_edge_for_boxes_that_fail_or_that_discovery_drains(what: Any) -> None:
    """Three of six may be out, and the plan wants three. Two others go meanwhile by no doing of ours: it waits with what
    it has, says why, and ends once they are back."""

    async def test() -> None:
        async with three(load=0.4) as here:
            ground, faults = here.ground, TrialFaults(here.ground)
            ground.ask()
            terms = msgspec.structs.replace(TERMS, wave_pause_s=3.0)
            make = operate.begin("d" * 32, "drain", "", (), [BOXES[:1], BOXES[1:2], BOXES[2:3]], terms, "")
            while (said := await operate.ask_any(here.group, make, f.BeginAnswer, None)).plan is None:
                assert any("yet" in line or "does not" in line or "few" in line for line in said.lines), said.lines
                await asyncio.sleep(0.1)
            for uid in BOXES[4:]:
                await faults.server_fault(Fault(0.0, what, f"box:{uid[3:]}", by=1.0), ground.listing.boxes[uid])

            def waits(known: operate.PlanAnswers) -> bool:
                return any(
                    "would be out" in text for answer in known.answers.values() for text in answer.waiting_reasons
                )

            while not waits(known := await here.known()):
                await asyncio.sleep(0.05)
            plan = known.plan("d" * 32)
            assert plan is not None and plan.state == "running"
            assert any(unit.stage == "waiting" for unit in plan.units) and len(known.newest.permits) <= 2  # type: ignore[union-attr]
            for uid in BOXES[4:]:
                box = ground.listing.boxes[uid]
                if what == "drain":
                    faults._undrain(box)
                else:
                    box.model.errs = 0.0
            await here.until("done", "d" * 32)
            assert judged(ground).broken == []

    run(test(), within=90.0)


def test_a_drain_of_many_goes_on_without_its_tool_and_its_leader() -> None:
    async def test() -> None:
        async with three() as here:
            await here.begin("none", agent="agent-0")  # all agents know of one another
            tool = await here.tool("drain", "box", *BOXES[:2])
            while (plan := (await here.known()).plan("")) is None:
                await asyncio.sleep(0.02)
            await tool.end()
            here.ground.signal(plan.leader, signal.SIGKILL, "it leads")
            await here.until("done", plan.id)
            for shown in (await here.ground.shown()).values():
                assert {r.target for r in shown.records if r.is_drained} == set(BOXES[:2])
            status = await here.tool("plan", "status", "--json")
            while status.alive:
                await asyncio.sleep(0.05)
            told = json.loads((here.ground.folder / f"{status.name}.log").read_text())
            assert [unit[4] for unit in told["plans"][-1]["units"]] == ["done"] * 2
            assert (
                await operate.ask_any(here.group, lambda id: f.SteerPlan(id, plan.id, "back"), f.SteerAnswer, 5.0)
            ).exit == 0
            await here.until("taken back", plan.id)
            for shown in (await here.ground.shown()).values():
                assert not [r.target for r in shown.records if r.is_drained]

    run(test(), within=90.0)
