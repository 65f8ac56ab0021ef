"""Releases and planned drains with real agents and limiters, while commands, leaders and links fail."""

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

from elderlock.fleet import messages
from elderlock.fleet.client import plan_commands
from elderlock.fleet.client.group_client import Group
from elderlock.rollout.plans import Plan, RolloutPolicy
from elderlock.sim.scenario import Fault, Settings
from elderlock.standins.waiting import run
from elderlock.trial.faults import TrialFaults
from elderlock.trial.harness import Harness
from elderlock.trial.processes import Child, python
from elderlock.trial.running_harness import check_invariants, running_harness

POLICY = RolloutPolicy(
    drain_timeout_s=2.0,
    start_timeout_s=8.0,
    settle_time_s=0.5,
    bake_time_s=2.0,
    maximum_bake_time_s=4.0,
    wave_pause_s=0.2,
    automatic_rollback=True,
)
SERVER_IDS = [f"s-{n:02d}" for n in range(6)]


class RunningGroup:
    def __init__(self, ground: Harness) -> None:
        self.ground, self.group = ground, Group.read(ground.group_path, ground.token_path("an"))

    async def known(self) -> plan_commands.PlanAnswers:
        return await plan_commands.list_plans(self.group, 1.0)

    async def begin(
        self, version: str, plan_id: str = "r" * 32, agent: str = "", policy: RolloutPolicy = POLICY
    ) -> messages.BeginAnswer:
        make_message = plan_commands.begin(plan_id, "release", version, (), (), policy, "")
        while True:
            for name in [agent] if agent else self.group.names:
                answer = await self.group.ask(name, make_message, messages.BeginAnswer, 5.0)
                if (
                    isinstance(answer, messages.BeginAnswer)
                    and answer.outcome != "away"
                    and not any("yet" in reason for reason in answer.reasons)
                ):
                    return answer
            await asyncio.sleep(0.1)

    async def until(self, outcome: str, plan_id: str = "r" * 32) -> Plan:
        """Wait until the plan has this outcome."""
        while (plan := (await self.known()).plan(plan_id)) is None or plan.outcome() != outcome:
            await asyncio.sleep(0.1)
        return plan

    async def running_versions(self) -> dict[str, str]:
        return {
            run.limiter: run.version
            for answer in (await self.known()).answers.values()
            for run in answer.running_versions
        }

    async def run_command(self, *arguments: str) -> Child:
        ground = self.ground
        ground.tools_started += 1
        name = f"tool-{ground.tools_started}"
        command = [*arguments, "--group", str(ground.group_path), "--token-file", str(ground.token_path("an"))]
        process = Child(name, python("-m", "elderlock.cli.main", *command), ground.mark, ground.folder / f"{name}.log")
        await process.start()
        return process


@asynccontextmanager
async def three_agents(**changes: object) -> AsyncIterator[RunningGroup]:
    arguments = {"agents": 3, "limiters": 3, "load": 0.1, "settings": Settings(budget=0.5), **changes}
    async with running_harness(**arguments) as ground:  # type: ignore[arg-type]
        running = RunningGroup(ground)
        try:
            yield running
        finally:
            running.group.close()


@pytest.mark.parametrize("flaw", ["crashes_at_start", "refuses_its_agent"])
def test_a_version_that_does_not_start_is_rolled_back_in_its_first_wave(flaw: str) -> None:
    async def test() -> None:
        async with three_agents() as running:
            running.ground.install_limiter_version("v2", flaw)
            begin_answer = await running.begin("v2")
            assert begin_answer.outcome == "begun", begin_answer.reasons
            plan = await running.until("taken back")
            assert [unit.target for unit in plan.units if unit.generation] == ["n0"]
            assert set((await running.running_versions()).values()) == {""}

    run(test(), within=90.0)


def test_a_good_version_is_released_although_its_command_and_its_leader_are_killed() -> None:
    async def test() -> None:
        async with three_agents() as running:
            running.ground.install_limiter_version("v2")
            running.ground.start_clients()
            await running.begin("v2", plan_id="x" * 32, policy=POLICY)  # begun here and found by the command
            plan = (await running.known()).plan("x" * 32)
            assert plan is not None
            assert plan.state != "over"
            # On a busy machine the command starts so slowly that the leader would finish the plan meanwhile.
            running.ground.signal(plan.leader, signal.SIGSTOP, "it leads")
            command = await running.run_command("release", "status", "--watch")
            running.ground.signal(plan.leader, signal.SIGKILL, "it leads")
            running.ground.agent_processes[int(plan.leader[6:])].is_held_down = True
            await command.end()
            while (current := (await running.known()).plan("x" * 32)) is None or current.term == plan.term:
                if current is not None and current.state == "halted":  # a halted plan needs no leader
                    resume = partial(messages.SteerPlan, plan="x" * 32, action="go-on", revision=current.revision)
                    await plan_commands.ask_any(running.group, resume, messages.SteerAnswer, 5.0)
                await asyncio.sleep(0.1)
            assert current.leader != plan.leader
            running.ground.agent_processes[int(plan.leader[6:])].is_held_down = False
            await running.ground._start_agent(running.ground.agent_processes[int(plan.leader[6:])])
            while (current := (await running.known()).plan("x" * 32)) is None or current.state != "over":
                if current is not None and current.state == "halted":
                    # a target was silent for too long, so an operator has to resume the plan
                    resume = partial(messages.SteerPlan, plan="x" * 32, action="go-on", revision=current.revision)
                    await plan_commands.ask_any(running.group, resume, messages.SteerAnswer, 5.0)
                await asyncio.sleep(0.1)
            expected_version = "v2" if current.direction == "to" else ""
            while set((await running.running_versions()).values()) != {expected_version}:
                await asyncio.sleep(0.1)
            assert check_invariants(running.ground).broken == []

    run(test(), within=120.0)


def test_two_operators_begin_at_once_and_a_halt_crosses_a_resume() -> None:
    async def test() -> None:
        async with three_agents() as running:
            running.ground.install_limiter_version("v2")
            running.ground.install_limiter_version("v3")
            await running.begin("none", agent="agent-0")  # answers once all agents have heard of each other
            answers = await asyncio.gather(
                running.begin("v2", "a" * 32, "agent-0"), running.begin("v3", "b" * 32, "agent-1")
            )
            assert sorted(each.outcome for each in answers) == ["begun", "refused"]
            plan = next(each.plan for each in answers if each.plan is not None)

            async def steer(agent: str, action: str, turn: int) -> messages.SteerAnswer:
                answer = await running.group.ask(
                    agent,
                    lambda request_id: messages.SteerPlan(request_id, plan.id, action, turn),  # type: ignore[arg-type]
                    messages.SteerAnswer,
                    5.0,
                )
                assert isinstance(answer, messages.SteerAnswer), answer
                return answer

            assert (await steer("agent-1", "halt", 0)).outcome == "done"
            crossing_answers = await asyncio.gather(steer("agent-0", "go-on", 1), steer("agent-2", "halt", 1))
            assert all(each.outcome == "done" for each in crossing_answers)
            late_answer = await steer("agent-1", "go-on", 0)
            assert late_answer.outcome == "refused" and (
                "halted again" in late_answer.reasons[0] or "it runs" in late_answer.reasons[0]
            )
            assert (await steer("agent-0", "back", 0)).outcome == "done"
            assert (await steer("agent-1", "back", 0)).outcome == "done"
            await running.until("taken back", plan.id)

    run(test(), within=90.0)


def test_a_halt_in_a_minority_partition_is_in_force_there_and_everywhere_after_the_partition() -> None:
    async def test() -> None:
        async with three_agents() as running:
            running.ground.install_limiter_version("v2")
            begin_answer = await running.begin("v2", agent="agent-1")
            assert begin_answer.plan is not None, begin_answer.reasons
            cut = [pair for other in ("agent-1", "agent-2") for pair in (("agent-0", other), (other, "agent-0"))]
            running.ground.relays.inject("cut", cut)
            answer = await running.group.ask(
                "agent-0",
                lambda request_id: messages.SteerPlan(request_id, "r" * 32, "halt", 0),
                messages.SteerAnswer,
                5.0,
            )
            assert isinstance(answer, messages.SteerAnswer) and answer.outcome == "away"
            status = (await running.known()).answers["agent-0"]
            assert [halt[:2] for halt in status.halts] == [("r" * 32, 0)]
            running.ground.relays.clear("cut", cut)
            plan = await running.until("halted")
            assert plan.state_reason == "halted by an"

    run(test(), within=90.0)


@pytest.mark.parametrize("fault_kind", ["drain", "errs"])
def test_a_plan_waits_for_the_budget_while_servers_fail_or_discovery_drains_them(fault_kind: Any) -> None:
    """Three of six servers may be out, and the plan needs three. Two other servers fail or are drained by discovery.

    The plan then waits with the permits that it has, reports why, and finishes once the two servers are back.
    """

    async def test() -> None:
        async with three_agents(load=0.4) as running:
            ground, faults = running.ground, TrialFaults(running.ground)
            ground.start_clients()
            policy = msgspec.structs.replace(POLICY, wave_pause_s=3.0)
            make_message = plan_commands.begin(
                "d" * 32, "drain", "", (), [SERVER_IDS[:1], SERVER_IDS[1:2], SERVER_IDS[2:3]], policy, ""
            )
            while (
                answer := await plan_commands.ask_any(running.group, make_message, messages.BeginAnswer, None)
            ).plan is None:
                assert any("yet" in line or "does not" in line or "few" in line for line in answer.lines), answer.lines
                await asyncio.sleep(0.1)
            for uid in SERVER_IDS[4:]:
                await faults.server_fault(Fault(0.0, fault_kind, f"box:{uid[3:]}", by=1.0), ground.listing.boxes[uid])

            def waits_for_budget(known: plan_commands.PlanAnswers) -> bool:
                return any(
                    "would be out" in text for answer in known.answers.values() for text in answer.waiting_reasons
                )

            while not waits_for_budget(known := await running.known()):
                await asyncio.sleep(0.05)
            plan = known.plan("d" * 32)
            assert plan is not None and plan.state == "running"
            assert any(unit.stage == "waiting" for unit in plan.units) and len(known.newest.permits) <= 2  # type: ignore[union-attr]
            for uid in SERVER_IDS[4:]:
                server = ground.listing.boxes[uid]
                if fault_kind == "drain":
                    faults._undrain(server)
                else:
                    server.model.errs = 0.0
            await running.until("done", "d" * 32)
            assert check_invariants(ground).broken == []

    run(test(), within=90.0)


def test_a_drain_of_several_servers_continues_without_its_command_and_its_leader() -> None:
    async def test() -> None:
        async with three_agents() as running:
            await running.begin("none", agent="agent-0")  # answers once all agents have heard of each other
            command = await running.run_command("drain", "box", *SERVER_IDS[:2])
            while (plan := (await running.known()).plan("")) is None:
                await asyncio.sleep(0.02)
            await command.end()
            running.ground.signal(plan.leader, signal.SIGKILL, "it leads")
            await running.until("done", plan.id)
            for agent_status in (await running.ground.show_agents()).values():
                assert {record.target for record in agent_status.records if record.is_drained} == set(SERVER_IDS[:2])
            status = await running.run_command("plan", "status", "--json")
            while status.alive:
                await asyncio.sleep(0.05)
            printed = json.loads((running.ground.folder / f"{status.name}.log").read_text())
            assert [unit[4] for unit in printed["plans"][-1]["units"]] == ["done"] * 2
            assert (
                await plan_commands.ask_any(
                    running.group,
                    lambda request_id: messages.SteerPlan(request_id, plan.id, "back"),
                    messages.SteerAnswer,
                    5.0,
                )
            ).exit == 0
            await running.until("taken back", plan.id)
            for agent_status in (await running.ground.show_agents()).values():
                assert not [record.target for record in agent_status.records if record.is_drained]

    run(test(), within=90.0)
