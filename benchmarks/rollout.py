"""Releases and drains that a group agrees on, on real processes and in simulated time.

    python benchmarks/rollout.py            # within 5 minutes
    python benchmarks/rollout.py --long     # more histories, and 300 limiters under 30 agents

Real: five agents and ten limiters with a relay on every link; versions that are good, that crash at once, refuse all or
do not speak to their agent; agents killed, stopped and cut off meanwhile. Simulated: see
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

from elderlock.fleet import messages as f
from elderlock.fleet.client import plan_commands as operate
from elderlock.fleet.client.group_client import Group
from elderlock.rollout.plans import Plan, RolloutPolicy
from elderlock.sim import agent_releases
from elderlock.sim.agreed import Holding, bounded
from elderlock.sim.limiter_releases import BUILDS, ReleaseCase, ReleaseOutcome, play
from elderlock.sim.scenario import Settings
from elderlock.standins.waiting import run
from elderlock.trial.faults import TrialFaults
from elderlock.trial.ground import Ground
from elderlock.trial.standing import judged, standing

AGENTS, LIMITERS, BOXES, SHARE = 5, 10, 6, 0.4
TERMS = RolloutPolicy(
    drain_timeout_s=2.0,
    start_timeout_s=8.0,
    settle_time_s=1.0,
    bake_time_s=2.0,
    maximum_bake_time_s=4.0,
    wave_pause_s=0.1,
    patience_s=20.0,
)
OUT = "limiters out by our doing"
REAL = [("good", ""), ("bad", "crashes_at_start"), ("bad", "refuses_all"), ("bad", "refuses_its_agent")]


@dataclass
class Real:
    """Of the histories on real processes."""

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
    served: list[float] = field(default_factory=list)
    calm: list[float] = field(default_factory=list)
    drain_ms: list[float] = field(default_factory=list)


async def until_outcome(group: Group, id: str, wanted: set[str], within: float) -> Plan | None:
    ends = time.monotonic() + within
    while time.monotonic() < ends:
        plan = (await operate.list_plans(group, 1.0)).plan(id)
        if plan is not None and plan.outcome() in wanted:
            return plan
        await asyncio.sleep(0.1)
    return None


async def watch_out(ground: Ground, seen: list[Holding], stop: asyncio.Event) -> None:
    """Which limiters are drained, as each says of itself: out by our doing."""
    while not stop.is_set():
        at = ground.at()
        for shown in (await ground.shown(0.5)).values():
            for limiter in shown.limiters:
                here = next((n for n, held in enumerate(seen) if held.holder == limiter.name and held.ended > 1e17), -1)
                down = limiter.state is not None and limiter.link == "answering" and limiter.state.is_drained
                if down and here < 0:
                    seen.append(Holding(OUT, limiter.name, at, at, 1e18))
                elif not down and here >= 0 and limiter.link == "answering":
                    seen[here] = seen[here]._replace(ended=max(at, seen[here].granted))
        await asyncio.sleep(0.05)


async def befall(ground: Ground, rng: random.Random) -> None:
    """A fault of one agent, over a few seconds."""
    number = rng.randrange(AGENTS)
    name, what = f"agent-{number}", rng.choice(["kill", "stop", "cut"])
    if what == "kill":
        ground.signal(name, signal.SIGKILL, "a fault")
    elif what == "stop":
        ground.signal(name, signal.SIGSTOP, "a fault")
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        ground.signal(name, signal.SIGCONT, "a fault")
    else:
        others = [f"agent-{n}" for n in range(AGENTS) if n != number]
        pairs = [(name, other) for other in others] + [(other, name) for other in others][: rng.choice([0, 9])]
        ground.relays.befall("cut", pairs)
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        ground.relays.mend("cut", pairs)


async def served(ground: Ground, seconds: float) -> float:
    """Share of what limiters took that they served, over so many seconds."""

    async def counts() -> tuple[int, int]:
        states = [limiter.state for shown in (await ground.shown()).values() for limiter in shown.limiters]
        kept = [state.counts for state in states if state is not None]
        return sum(c.served for c in kept), sum(c.total() for c in kept)

    before = await counts()
    await asyncio.sleep(seconds)
    after = await counts()
    total = after[1] - before[1]
    return (after[0] - before[0]) / total if total > 0 else 1.0


async def history(found: Real, kind: str, flaw: str, seed: int, faults: int) -> None:
    rng = random.Random(seed)
    async with standing(
        agents=AGENTS, limiters=LIMITERS, boxes=BOXES, load=0.3, settings=Settings(budget=0.5)
    ) as ground:
        text = ground.group_path.read_text()
        assert "[budget.boxes]" in text
        group = Group.read(ground.group_path, ground.token_path("an"))
        tools = TrialFaults(ground)
        ground.lay_version("v2", flaw)
        ground.ask()
        await asyncio.sleep(1.0)
        if kind == "drains":
            await drains(found, group, tools, ground)
        else:
            found.calm.append(await served(ground, 3.0))
            await release(found, group, ground, kind, rng, faults)
        verdict = judged(ground)
        words = [broken.rule for broken in verdict.broken]
        found.lost += sum("answer" in word or "lost" in word for word in words if "twice" not in word)
        found.twice += sum("twice" in word for word in words)
        found.histories += 1
        group.close()


async def release(found: Real, group: Group, ground: Ground, kind: str, rng: random.Random, faults: int) -> None:
    seen: list[Holding] = []
    stop = asyncio.Event()
    watching = asyncio.ensure_future(watch_out(ground, seen, stop))
    id = f"{rng.randrange(1 << 60):032x}"
    terms = replace_terms(TERMS, auto_back=kind == "bad")
    waves = [["n0"], ["n3", "n6"], ["n1", "n4", "n7", "n9"], ["n2", "n5", "n8"]]
    begin = operate.begin(id, "release", "v2", (), waves, terms, "")
    begun = await operate.ask_any(group, begin, f.BeginAnswer, 20.0)
    while begun.plan is None:
        await asyncio.sleep(0.2)
        begun = await operate.ask_any(group, begin, f.BeginAnswer, 20.0)
    troubles = [asyncio.ensure_future(befall(ground, rng)) for _ in range(faults)]
    if kind == "good" and not faults:
        await operate_halt(found, group, ground, id)
    during = asyncio.ensure_future(served(ground, 6.0))
    plan = await until_outcome(group, id, {"done", "taken back", "halted"}, 120.0)
    await asyncio.gather(*troubles)
    found.served.append(await during)
    if plan is None:
        found.stuck += 1
    elif kind == "bad":
        found.bad += 1
        found.back_tried += 1
        first = {unit.target for unit in plan.units if unit.generation}
        found.bad_stopped += plan.outcome() == "taken back" and first <= {"n0"}
        found.back_complete += plan.outcome() == "taken back" and await all_run(group, "")
    else:
        found.good += 1
        found.good_halted += plan.outcome() != "done" and not faults
        if plan.outcome() == "halted" or faults == 0:
            found.back_tried += 1
            await operate.ask_any(group, lambda n: f.SteerPlan(n, id, "back"), f.SteerAnswer, 20.0)
            back = await until_outcome(group, id, {"taken back"}, 60.0)
            found.stuck += back is None
            found.back_complete += back is not None and await all_run(group, "")
    stop.set()
    await watching
    found.over_budget += len(bounded(seen, {OUT: float(int(0.5 * LIMITERS))}))


async def operate_halt(found: Real, group: Group, ground: Ground, id: str) -> None:
    """From the word's reaching an agent until all agents say that it is in force; then it goes on."""
    await asyncio.sleep(1.5)
    began = time.monotonic()
    await operate.ask_any(group, lambda n: f.SteerPlan(n, id, "halt"), f.SteerAnswer, 5.0)
    while True:
        known = await operate.list_plans(group, 1.0)
        told = [next(plan for plan in answer.plans if plan.id == id) for answer in known.answers.values()]
        halts = [any(h[0] == id for h in answer.halts) for answer in known.answers.values()]
        if all(plan.state == "halted" or soft for plan, soft in zip(told, halts, strict=True)):
            break
    found.halt_ms.append((time.monotonic() - began) * 1000.0)
    # in force by word alone it has no turn yet; a go-on of an older one would be refused, as it should be
    while (plan := (await operate.list_plans(group, 1.0)).plan(id)) is None or plan.state != "halted":
        await asyncio.sleep(0.02)
    turn = plan.revision
    await operate.ask_any(group, lambda n: f.SteerPlan(n, id, "go-on", turn), f.SteerAnswer, 5.0)


async def all_run(group: Group, version: str) -> bool:
    for _ in range(100):
        known = await operate.list_plans(group, 1.0)
        runs = [run.version for answer in known.answers.values() for run in answer.running_versions]
        if len(runs) == LIMITERS and set(runs) == {version}:
            return True
        await asyncio.sleep(0.1)
    return False


async def drains(found: Real, group: Group, tools: TrialFaults, ground: Ground) -> None:
    """From the tool's start until a limiter has the drain, which takes a permit first."""
    for turn in range(20):
        box = f"s-{turn % BOXES:02d}"
        began = time.time() * 1000.0
        code = await tools.told("an", "drain", "box", box, within=10.0)
        shown = await ground.shown()
        at = [r.created_at_unix_ms for each in shown.values() for r in each.records if r.target == box and r.is_drained]
        if code == 0 and at:
            found.drain_ms.append(min(at) - began)
        await tools.told("an", "undrain", "box", box, within=10.0)
        while (await operate.list_plans(group, 1.0)).newest.permits:  # type: ignore[union-attr]
            await asyncio.sleep(0.05)


def replace_terms(terms: RolloutPolicy, **changes: Any) -> RolloutPolicy:
    return RolloutPolicy(**{**{name: getattr(terms, name) for name in terms.__struct_fields__}, **changes})


def cases(long: bool) -> list[tuple[ReleaseCase, int]]:
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
    lost = replace(small, automatic_rollback=False)
    found += [(replace(lost, zone_loss_at_s=5.0 + 9.0 * seed), 300 + seed) for seed in range(2 * count)]
    found += [(replace(small, leader_loss_at_s=15.0), 400), (replace(small, suspends_agent=True), 401)]
    found += [(replace(small, operator_commands=3), 402 + seed) for seed in range(2 * count)]
    return found


LARGE = ReleaseCase(
    agents=30,
    limiters=300,
    faults=20,
    share=0.2,
    automatic_rollback=False,
    policy=replace_terms(TERMS, settle_time_s=4.0, bake_time_s=4.0, maximum_bake_time_s=12.0),
)


def one(given: tuple[ReleaseCase, int]) -> tuple[ReleaseCase, ReleaseOutcome]:
    return given[0], play(*given)


def one_renewal(
    given: tuple[agent_releases.AgentReleaseCase, int],
) -> tuple[agent_releases.AgentReleaseCase, ReleaseOutcome]:
    return given[0], agent_releases.play(*given)


def releases_of_agents(long: bool) -> list[tuple[agent_releases.AgentReleaseCase, int]]:
    count = 30 if long else 5
    return [
        (agent_releases.AgentReleaseCase(agents=size, limiters=size, build=build, faults=faults), seed)
        for size in (3, 5)
        for build in agent_releases.BUILDS
        for faults in (0, 10)
        for seed in range(count if faults else 1)
    ]


def simulated(long: bool) -> dict[str, Any]:
    todo = cases(long)
    with ProcessPoolExecutor(7, mp_context=multiprocessing.get_context("spawn")) as pool:
        large = pool.submit(one, (LARGE, 1)) if long else None
        played = list(pool.map(one, todo))
        renewed = list(pool.map(one_renewal, releases_of_agents(long)))
        played += [large.result()] if large is not None else []
    bad = [p for case, p in played if not BUILDS[case.build].good]
    calm = [
        p
        for case, p in played
        if BUILDS[case.build].good
        and not (case.faults or case.operator_commands or case.suspends_agent)
        and case.zone_loss_at_s is None
        and case.leader_loss_at_s is None
    ]
    for given, p in [*played, *renewed]:
        if not p.good():
            print("broken:", given, p.violations[:3], flush=True)
    # with faults the first of the agents may pass its trial before the fault of its version shows
    bad += [p for given, p in renewed if given.build != "good" and not given.faults]
    calm += [p for given, p in renewed if given.build == "good" and not given.faults]
    every = [p for _, p in played] + [p for _, p in renewed]
    return {
        "simulated_histories": len(every),
        "agent_releases": len(renewed),
        "over_budget": sum(p.over_budget for p in every),
        "permits_doubled": sum(p.conflicting_ledgers for p in every),
        "acted_after_fence": sum(p.stale_actions for p in every),
        "plans_stuck": sum(p.stuck_plans for p in every),
        "bad_releases": len(bad),
        "bad_releases_stopped_in_first_wave": sum(p.upgraded <= p.first_wave for p in bad),
        "good": len(calm),
        "good_halted": sum(bool(p.halt_reason) for p in calm),
        "back_tried": sum(p.rollbacks_tried for p in every),
        "back_complete": sum(p.rollbacks_completed for p in every),
        "halt_ms": [ms for _, p in played for ms in p.halt_ms],
        "limiters_simulated": max(case.limiters for case, _ in played),
    }


async def real(long: bool) -> Real:
    found = Real()
    todo = [(kind, flaw, n, 0) for n, (kind, flaw) in enumerate(REAL)]
    todo += [("good", "", 10 + n, 3) for n in range(8 if long else 1)] + [("drains", "", 99, 0)]
    for kind, flaw, seed, faults in todo:
        began = time.monotonic()
        await history(found, kind, flaw, seed, faults)
        print(f"real: {kind} {flaw} {faults} faults, {time.monotonic() - began:.0f} s", flush=True)
    return found


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    options.add_argument("--long", action="store_true", help="more histories of each kind")
    long = options.parse_args().long
    r = run(real(long), within=3000.0 if long else 270.0)
    s = simulated(long)
    starts = sorted(r.drain_ms) or [-1.0]
    halts = [*r.halt_ms, *s["halt_ms"]]
    good, halted = r.good + s["good"], r.good_halted + s["good_halted"]
    print(
        json.dumps(
            {
                "histories": r.histories,
                "simulated_histories": s["simulated_histories"],
                "simulated_agent_releases": s["agent_releases"],
                "over_budget": r.over_budget + s["over_budget"],
                "permits_doubled": s["permits_doubled"],
                "acted_after_fence": s["acted_after_fence"],
                "plans_stuck": r.stuck + s["plans_stuck"],
                "halt_ms_max": round(max(halts, default=-1.0), 1),
                "bad_releases": r.bad + s["bad_releases"],
                "bad_releases_stopped_in_first_wave": r.bad_stopped + s["bad_releases_stopped_in_first_wave"],
                "good_releases": good,
                "good_releases_halted_share": round(halted / good, 4) if good else -1.0,
                "back_tried": r.back_tried + s["back_tried"],
                "back_complete": r.back_complete + s["back_complete"],
                "lost_requests": r.lost,
                "answered_twice": r.twice,
                "drain_start_ms_p99": round(starts[math.ceil(0.99 * len(starts)) - 1], 1),
                "drain_start_ms_p50": round(statistics.median(starts), 1),
                "release_served_ratio": round(statistics.mean(r.served) / statistics.mean(r.calm), 4),
                "limiters_simulated": s["limiters_simulated"],
            }
        )
    )


if __name__ == "__main__":
    main()
