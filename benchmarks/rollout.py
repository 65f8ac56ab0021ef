"""Plays releases and drains by a group of agents, on real processes and in simulated time.

    python benchmarks/rollout.py            # within 5 minutes
    python benchmarks/rollout.py --long     # more histories, and 300 limiters under 30 agents

On real processes, five agents and ten limiters have a relay on every link. The released versions are good, crash at
their start, refuse every request, or do not speak their agent's protocol; meanwhile agents are killed, stopped and cut
off. For the simulation see
`elderlock.sim.limiter_releases`. The last line is one JSON object; ratios are within this run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import multiprocessing
import random
import signal
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from typing import Any

from elderlock.fleet import messages
from elderlock.fleet.client import plan_commands
from elderlock.fleet.client.group_client import Group
from elderlock.rollout.plans import Plan, RolloutPolicy
from elderlock.sim import agent_releases
from elderlock.sim.exclusive_holdings import Holding, bound_conflicts
from elderlock.sim.limiter_releases import BUILDS, ReleaseCase, ReleaseOutcome, play
from elderlock.sim.scenario import Settings
from elderlock.standins.waiting import run
from elderlock.trial.faults import TrialFaults
from elderlock.trial.harness import Harness
from elderlock.trial.running_harness import check_invariants, running_harness

AGENT_COUNT, LIMITER_COUNT, SERVER_COUNT, SHARE = 5, 10, 6, 0.4
POLICY = RolloutPolicy(
    drain_timeout_s=2.0,
    start_timeout_s=8.0,
    settle_time_s=1.0,
    bake_time_s=2.0,
    maximum_bake_time_s=4.0,
    wave_pause_s=0.1,
    patience_s=20.0,
)
DRAINED_LIMITERS = "limiters that operators or releases drained"
REAL_CASES = [("good", ""), ("bad", "crashes_at_start"), ("bad", "refuses_all"), ("bad", "refuses_its_agent")]


@dataclass
class RealFigures:
    """The figures of the histories on real processes.

    Attributes:
        histories: How many histories were played.
        over_budget: How often more limiters were drained than the budget allows.
        stuck: How many plans did not end.
        bad: The releases of mutants.
        bad_stopped: Those of them that were rolled back before the second wave.
        good: The releases of good versions.
        good_halted: Those of them that halted although no fault was injected.
        back_tried: The rollbacks that were tried.
        back_complete: Those of them after which all limiters ran the old version.
        halt_ms: The times from a halt command until all agents had it in force.
        lost: The violations of "no request lost".
        twice: The violations of "no effect twice".
        served_share: The share of the requests that were served during each release.
        calm: The same share before each release.
        drain_ms: The times from the start of a drain command until a limiter had the drain.
    """

    histories: int = 0
    over_budget: int = 0
    stuck: int = 0
    bad: int = 0
    bad_stopped: int = 0
    good: int = 0
    good_halted: int = 0
    back_tried: int = 0
    back_complete: int = 0
    halt_ms: list[float] = field(default_factory=list)
    lost: int = 0
    twice: int = 0
    served_share: list[float] = field(default_factory=list)
    calm: list[float] = field(default_factory=list)
    drain_ms: list[float] = field(default_factory=list)


async def until_outcome(group: Group, id: str, wanted: set[str], within: float) -> Plan | None:
    """Wait until a plan has one of these outcomes; return None after `within` seconds."""
    ends_s = time.monotonic() + within
    while time.monotonic() < ends_s:
        plan = (await plan_commands.list_plans(group, 1.0)).plan(id)
        if plan is not None and plan.outcome() in wanted:
            return plan
        await asyncio.sleep(0.1)
    return None


async def record_drained_limiters(harness: Harness, holdings: list[Holding], stop: asyncio.Event) -> None:
    """Record from when to when each limiter reports that it is drained."""
    while not stop.is_set():
        at = harness.at()
        for status in (await harness.show_agents(0.5)).values():
            for limiter in status.limiters:
                current = next(
                    (n for n, held in enumerate(holdings) if held.holder == limiter.name and held.ended > 1e17), -1
                )
                is_drained = limiter.state is not None and limiter.link == "answering" and limiter.state.is_drained
                if is_drained and current < 0:
                    holdings.append(Holding(DRAINED_LIMITERS, limiter.name, at, at, 1e18))
                elif not is_drained and current >= 0 and limiter.link == "answering":
                    holdings[current] = holdings[current]._replace(ended=max(at, holdings[current].granted))
        await asyncio.sleep(0.05)


async def inject_agent_fault(harness: Harness, rng: random.Random) -> None:
    """Kill one agent, or stop it or cut it off for up to three seconds."""
    number = rng.randrange(AGENT_COUNT)
    name, kind = f"agent-{number}", rng.choice(["kill", "stop", "cut"])
    if kind == "kill":
        harness.signal(name, signal.SIGKILL, "a fault")
    elif kind == "stop":
        harness.signal(name, signal.SIGSTOP, "a fault")
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        harness.signal(name, signal.SIGCONT, "a fault")
    else:
        others = [f"agent-{n}" for n in range(AGENT_COUNT) if n != number]
        pairs = [(name, other) for other in others] + [(other, name) for other in others][: rng.choice([0, 9])]
        harness.relays.inject("cut", pairs)
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        harness.relays.clear("cut", pairs)


async def served_share(harness: Harness, seconds: float) -> float:
    """Return the share of the requests that the limiters served, over this many seconds."""

    async def counts() -> tuple[int, int]:
        states = [limiter.state for status in (await harness.show_agents()).values() for limiter in status.limiters]
        request_counts = [state.counts for state in states if state is not None]
        return sum(count.served for count in request_counts), sum(count.total() for count in request_counts)

    before = await counts()
    await asyncio.sleep(seconds)
    after = await counts()
    total = after[1] - before[1]
    return (after[0] - before[0]) / total if total > 0 else 1.0


async def run_history(figures: RealFigures, kind: str, mutant: str, seed: int, faults: int) -> None:
    """Play one history and add to the figures.

    Args:
        figures: The figures.
        kind: `good` or `bad` for a release, or `drains`.
        mutant: The mutant that is released; empty for a good version.
        seed: The seed of all random choices.
        faults: How many faults of agents are injected.
    """
    rng = random.Random(seed)
    async with running_harness(
        agents=AGENT_COUNT, limiters=LIMITER_COUNT, boxes=SERVER_COUNT, load=0.3, settings=Settings(budget=0.5)
    ) as harness:
        text = harness.group_path.read_text()
        assert "[budget.boxes]" in text
        group = Group.read(harness.group_path, harness.token_path("an"))
        commands = TrialFaults(harness)
        harness.install_limiter_version("v2", mutant)
        harness.start_clients()
        await asyncio.sleep(1.0)
        if kind == "drains":
            await drains(figures, group, commands, harness)
        else:
            figures.calm.append(await served_share(harness, 3.0))
            await release(figures, group, harness, kind, rng, faults)
        verdict = check_invariants(harness)
        rules = [violation.rule for violation in verdict.broken]
        figures.lost += sum("answer" in rule or "lost" in rule for rule in rules if "twice" not in rule)
        figures.twice += sum("twice" in rule for rule in rules)
        figures.histories += 1
        group.close()


async def release(
    figures: RealFigures, group: Group, harness: Harness, kind: str, rng: random.Random, faults: int
) -> None:
    """Play a release in four waves; see `run_history` for the arguments."""
    holdings: list[Holding] = []
    stop = asyncio.Event()
    recording = asyncio.ensure_future(record_drained_limiters(harness, holdings, stop))
    id = f"{rng.randrange(1 << 60):032x}"
    policy = replace_policy_fields(POLICY, automatic_rollback=kind == "bad")
    waves = [["n0"], ["n3", "n6"], ["n1", "n4", "n7", "n9"], ["n2", "n5", "n8"]]
    begin = plan_commands.begin(id, "release", "v2", (), waves, policy, "")
    answer = await plan_commands.ask_any(group, begin, messages.BeginAnswer, 20.0)
    while answer.plan is None:
        await asyncio.sleep(0.2)
        answer = await plan_commands.ask_any(group, begin, messages.BeginAnswer, 20.0)
    faults_under_way = [asyncio.ensure_future(inject_agent_fault(harness, rng)) for _ in range(faults)]
    if kind == "good" and not faults:
        await halt_and_continue(figures, group, harness, id)
    share_during_release = asyncio.ensure_future(served_share(harness, 6.0))
    plan = await until_outcome(group, id, {"done", "taken back", "halted"}, 120.0)
    await asyncio.gather(*faults_under_way)
    figures.served_share.append(await share_during_release)
    if plan is None:
        figures.stuck += 1
    elif kind == "bad":
        figures.bad += 1
        figures.back_tried += 1
        changed = {unit.target for unit in plan.units if unit.generation}
        figures.bad_stopped += plan.outcome() == "taken back" and changed <= {"n0"}
        figures.back_complete += plan.outcome() == "taken back" and await wait_until_all_run(group, "")
    else:
        figures.good += 1
        figures.good_halted += plan.outcome() != "done" and not faults
        if plan.outcome() == "halted" or faults == 0:
            figures.back_tried += 1
            await plan_commands.ask_any(group, lambda n: messages.SteerPlan(n, id, "back"), messages.SteerAnswer, 20.0)
            rolled_back = await until_outcome(group, id, {"taken back"}, 60.0)
            figures.stuck += rolled_back is None
            figures.back_complete += rolled_back is not None and await wait_until_all_run(group, "")
    stop.set()
    await recording
    figures.over_budget += len(bound_conflicts(holdings, {DRAINED_LIMITERS: float(int(0.5 * LIMITER_COUNT))}))


async def halt_and_continue(figures: RealFigures, group: Group, harness: Harness, id: str) -> None:
    """Halt a release, measure the time until all agents have the halt in force, and continue the release."""
    await asyncio.sleep(1.5)
    began_s = time.monotonic()
    await plan_commands.ask_any(group, lambda n: messages.SteerPlan(n, id, "halt"), messages.SteerAnswer, 5.0)
    while True:
        known = await plan_commands.list_plans(group, 1.0)
        plans = [next(plan for plan in answer.plans if plan.id == id) for answer in known.answers.values()]
        halts = [any(halt[0] == id for halt in answer.halts) for answer in known.answers.values()]
        if all(plan.state == "halted" or has_halt for plan, has_halt in zip(plans, halts, strict=True)):
            break
    figures.halt_ms.append((time.monotonic() - began_s) * 1000.0)
    # Agents hold the release as soon as they know the halt, before the plan records it in a new revision. A `go-on` for
    # an older revision is refused, as it has to be.
    while (plan := (await plan_commands.list_plans(group, 1.0)).plan(id)) is None or plan.state != "halted":
        await asyncio.sleep(0.02)
    revision = plan.revision
    await plan_commands.ask_any(
        group, lambda n: messages.SteerPlan(n, id, "go-on", revision), messages.SteerAnswer, 5.0
    )


async def wait_until_all_run(group: Group, version: str) -> bool:
    """Return whether all limiters run this version within about 10 s."""
    for _ in range(100):
        known = await plan_commands.list_plans(group, 1.0)
        versions = [running.version for answer in known.answers.values() for running in answer.running_versions]
        if len(versions) == LIMITER_COUNT and set(versions) == {version}:
            return True
        await asyncio.sleep(0.1)
    return False


async def drains(figures: RealFigures, group: Group, commands: TrialFaults, harness: Harness) -> None:
    """Measure the time from a drain command's start until a limiter has the drain, which needs a permit first."""
    for number in range(20):
        server = f"s-{number % SERVER_COUNT:02d}"
        began_unix_ms = time.time() * 1000.0
        code = await commands.run_command("an", "drain", "box", server, within=10.0)
        agent_status = await harness.show_agents()
        created_at_unix_ms = [
            record.created_at_unix_ms
            for status in agent_status.values()
            for record in status.records
            if record.target == server and record.is_drained
        ]
        if code == 0 and created_at_unix_ms:
            figures.drain_ms.append(min(created_at_unix_ms) - began_unix_ms)
        await commands.run_command("an", "undrain", "box", server, within=10.0)
        while (await plan_commands.list_plans(group, 1.0)).newest.permits:  # type: ignore[union-attr]
            await asyncio.sleep(0.05)


def replace_policy_fields(policy: RolloutPolicy, **changes: Any) -> RolloutPolicy:
    """Return a copy of a policy with other values of some fields."""
    return RolloutPolicy(**{**{name: getattr(policy, name) for name in policy.__struct_fields__}, **changes})


def cases(long: bool) -> list[tuple[ReleaseCase, int]]:
    """Return the simulated releases of limiters, with their seeds."""
    small, count = ReleaseCase(), 4 if long else 1
    found = [(replace(small, build=name), seed) for name in BUILDS for seed in range(3 * count)]
    found += [(replace(small, load_spike_at_s=25.0 + 5.0 * seed), 100 + seed) for seed in range(5 * count)]
    found += [
        (
            replace(
                small,
                faults=10,
                operator_commands=seed % 4,
                two_operators=bool(seed % 2),
                automatic_rollback=bool(seed % 3),
            ),
            200 + seed,
        )
        for seed in range(12 * count)
    ]
    without_rollback = replace(small, automatic_rollback=False)
    found += [(replace(without_rollback, zone_loss_at_s=5.0 + 9.0 * seed), 300 + seed) for seed in range(2 * count)]
    found += [(replace(small, leader_loss_at_s=15.0), 400), (replace(small, suspends_agent=True), 401)]
    found += [(replace(small, operator_commands=3), 402 + seed) for seed in range(2 * count)]
    return found


LARGE = ReleaseCase(
    agents=30,
    limiters=300,
    faults=20,
    share=0.2,
    automatic_rollback=False,
    policy=replace_policy_fields(POLICY, settle_time_s=4.0, bake_time_s=4.0, maximum_bake_time_s=12.0),
)


def play_one(case: tuple[ReleaseCase, int]) -> tuple[ReleaseCase, ReleaseOutcome]:
    """Play a release of limiters; return it with its result."""
    return case[0], play(*case)


def play_one_agent_release(
    case: tuple[agent_releases.AgentReleaseCase, int],
) -> tuple[agent_releases.AgentReleaseCase, ReleaseOutcome]:
    """Play a release of agents; return it with its result."""
    return case[0], agent_releases.play(*case)


def releases_of_agents(long: bool) -> list[tuple[agent_releases.AgentReleaseCase, int]]:
    """Return the simulated releases of agents, with their seeds."""
    count = 30 if long else 5
    return [
        (agent_releases.AgentReleaseCase(agents=size, limiters=size, build=build, faults=faults), seed)
        for size in (3, 5)
        for build in agent_releases.BUILDS
        for faults in (0, 10)
        for seed in range(count if faults else 1)
    ]


def run_simulated(long: bool) -> dict[str, Any]:
    """Play all simulated releases; return their figures."""
    tasks = cases(long)
    with ProcessPoolExecutor(7, mp_context=multiprocessing.get_context("spawn")) as pool:
        large = pool.submit(play_one, (LARGE, 1)) if long else None
        played = list(pool.map(play_one, tasks))
        agent_releases = list(pool.map(play_one_agent_release, releases_of_agents(long)))
        played += [large.result()] if large is not None else []
    bad_releases = [p for case, p in played if not BUILDS[case.build].good]
    good_releases = [
        p
        for case, p in played
        if BUILDS[case.build].good
        and not (case.faults or case.operator_commands or case.suspends_agent)
        and case.zone_loss_at_s is None
        and case.leader_loss_at_s is None
    ]
    for case, p in [*played, *agent_releases]:
        if not p.good():
            print("broken:", case, p.violations[:3], flush=True)
    # With injected faults, the first agent may pass its trial before the fault of its version shows.
    bad_releases += [p for case, p in agent_releases if case.build != "good" and not case.faults]
    good_releases += [p for case, p in agent_releases if case.build == "good" and not case.faults]
    all_played = [p for _, p in played] + [p for _, p in agent_releases]
    return {
        "simulated_histories": len(all_played),
        "agent_releases": len(agent_releases),
        "over_budget": sum(p.over_budget for p in all_played),
        "permits_doubled": sum(p.conflicting_ledgers for p in all_played),
        "acted_after_fence": sum(p.stale_actions for p in all_played),
        "plans_stuck": sum(p.stuck_plans for p in all_played),
        "bad_releases": len(bad_releases),
        "bad_releases_stopped_in_first_wave": sum(p.upgraded <= p.first_wave for p in bad_releases),
        "good": len(good_releases),
        "good_halted": sum(bool(p.halt_reason) for p in good_releases),
        "back_tried": sum(p.rollbacks_tried for p in all_played),
        "back_complete": sum(p.rollbacks_completed for p in all_played),
        "halt_ms": [ms for _, p in played for ms in p.halt_ms],
        "limiters_simulated": max(case.limiters for case, _ in played),
    }


async def run_real(long: bool) -> RealFigures:
    """Play all histories on real processes; return their figures."""
    figures = RealFigures()
    tasks = [(kind, mutant, n, 0) for n, (kind, mutant) in enumerate(REAL_CASES)]
    tasks += [("good", "", 10 + n, 3) for n in range(8 if long else 1)] + [("drains", "", 99, 0)]
    for kind, mutant, seed, faults in tasks:
        began_s = time.monotonic()
        await run_history(figures, kind, mutant, seed, faults)
        print(f"real: {kind} {mutant} {faults} faults, {time.monotonic() - began_s:.0f} s", flush=True)
    return figures


def main() -> None:
    """Play all histories and print the figures as JSON."""
    options = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    options.add_argument("--long", action="store_true", help="more histories of each kind")
    long = options.parse_args().long
    real = run(run_real(long), within=3000.0 if long else 270.0)
    simulated = run_simulated(long)
    drain_ms = sorted(real.drain_ms) or [-1.0]
    halt_ms = [*real.halt_ms, *simulated["halt_ms"]]
    good, halted = real.good + simulated["good"], real.good_halted + simulated["good_halted"]
    print(
        json.dumps(
            {
                "histories": real.histories,
                "simulated_histories": simulated["simulated_histories"],
                "simulated_agent_releases": simulated["agent_releases"],
                "over_budget": real.over_budget + simulated["over_budget"],
                "permits_doubled": simulated["permits_doubled"],
                "acted_after_fence": simulated["acted_after_fence"],
                "plans_stuck": real.stuck + simulated["plans_stuck"],
                "halt_ms_max": round(max(halt_ms, default=-1.0), 1),
                "bad_releases": real.bad + simulated["bad_releases"],
                "bad_releases_stopped_in_first_wave": real.bad_stopped
                + simulated["bad_releases_stopped_in_first_wave"],
                "good_releases": good,
                "good_releases_halted_share": round(halted / good, 4) if good else -1.0,
                "back_tried": real.back_tried + simulated["back_tried"],
                "back_complete": real.back_complete + simulated["back_complete"],
                "lost_requests": real.lost,
                "answered_twice": real.twice,
                "drain_start_ms_p99": round(drain_ms[math.ceil(0.99 * len(drain_ms)) - 1], 1),
                "drain_start_ms_p50": round(statistics.median(drain_ms), 1),
                "release_served_ratio": round(statistics.mean(real.served_share) / statistics.mean(real.calm), 4),
                "limiters_simulated": simulated["limiters_simulated"],
            }
        )
    )


if __name__ == "__main__":
    main()
