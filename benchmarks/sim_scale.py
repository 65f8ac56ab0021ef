"""What the simulation holds, and how fast: the largest group, both floors at 3 limiters and more, determinism, judges,
failed steps of input and output, a search, a sweep that is killed, and real processes beside the same run simulated.

`--quick` leaves out the largest group's size (50 limiters for 500) and makes the others shorter. The last line is one
JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from elderlock.cli.running import PREFIX
from elderlock.cli.up import running
from elderlock.load import scenario as load
from elderlock.load.accounts import Mix
from elderlock.load.coordinator import Coordinator, local_lines
from elderlock.sim import decisions, search, shells
from elderlock.sim.experiment import scenario_of
from elderlock.sim.scenario import BoxKind, Net, Plan, Scenario, Service, Settings, of_load
from elderlock.sim.seeds import Floor
from elderlock.standins.servers import OLD, STD
from elderlock.trial.processes import swept

HERE = Path(__file__).parent
ROOT = HERE.parent
COMMAND = [sys.executable, "-B", "-m", "elderlock.cli.main"]
LARGEST = """
import json, resource, sys, msgspec
from elderlock.sim import decisions
from elderlock.sim.scenario import Scenario
world = decisions.DecisionWorld(msgspec.json.decode(sys.stdin.read(), type=Scenario), 1)
result = world.play()
rss = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
print(json.dumps({"good": result.good(), "sim_s": result.sim_s, "wall_s": result.wall_s, "rss_mb": rss,
                  "offered": result.figures.offered, "served": result.figures.served_in_time}))
"""


def largest(quick: bool) -> dict[str, Any]:
    """In a process of its own, for its memory."""
    limiters, boxes, accounts = (50, 1000, 10_000) if quick else (500, 10_000, 100_000)
    kinds = (BoxKind(work_ms=2000.0, room=8, cold_ms=20_000.0),)
    given = Scenario(
        "largest",
        lasts_s=5.0,
        warm_s=1.0,
        rest_s=2.0,
        limiters=limiters,
        boxes=boxes,
        floors=5,
        kind=kinds,
        service=(Service(aim_ms=20_000.0),),
        settings=Settings(subset=100),
    )
    raw = msgspec.json.encode(of_load(0.3, given, accounts=accounts))
    done = subprocess.run([sys.executable, "-B", "-c", LARGEST], input=raw, capture_output=True, check=True, cwd=ROOT)
    found: dict[str, Any] = json.loads(done.stdout)
    return {"limiters": limiters, "boxes": boxes, "accounts": accounts, **found}


def pace(limiters: int, floor: str, lasts: float) -> float:
    """Simulated seconds in one of life, 100 requests a second in all."""
    given = Scenario(
        "pace",
        lasts_s=lasts,
        warm_s=0.5,
        rest_s=0.5,
        limiters=limiters,
        boxes=12,
        settings=Settings(subset=8),
    )
    result = search.play(of_load(100.0 / given.capacity(), given), 1, floor)
    assert result.good(), result.text()
    return result.sim_s / result.wall_s


ONCE = """
import sys, msgspec
from elderlock.sim import search
from elderlock.sim.scenario import Scenario
print(search.play(msgspec.json.decode(sys.stdin.read(), type=Scenario), 3, sys.argv[1]).digest)
"""


def deterministic(runs: int) -> int:
    """Of so many pairs of runs, each with another order of sets, how many were alike."""
    alike = 0
    for number in range(runs):
        floor = search_floors[number % 2]
        given = msgspec.structs.replace(scenario_of("partition", HERE), lasts_s=10.0 + number)
        digests = set()
        for hashes in ("1", "2"):
            env = {**os.environ, "PYTHONHASHSEED": hashes}
            command = [sys.executable, "-B", "-c", ONCE, floor]
            done = subprocess.run(
                command, input=msgspec.json.encode(given), capture_output=True, cwd=ROOT, env=env, check=True
            )
            digests.add(done.stdout)
        alike += len(digests) == 1
    return alike


search_floors: tuple[Floor, ...] = ("shells", "decisions")


def bites() -> tuple[int, int]:
    """Judges of both floors, and those of which the tests show that they bite."""
    given = of_load(0.2, Scenario("judges"))
    names = {
        judge.name
        for world in (shells.ShellWorld(given, 1), decisions.DecisionWorld(given, 1))
        for judge in world.bench.judges
    }
    command = [sys.executable, "-m", "pytest", "-vv", "-n", "4", "tests/sim/test_judges.py", "-k", "test_a_judge_bites"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    shown = {name for name in names if f"[{name.replace(' ', '_')}-" in done.stdout and "failed" not in done.stdout}
    return len(names), len(shown)


def resume() -> int:
    """Recorded runs that were lost when a sweep was killed twice; the same call ends it."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "e.toml"
        path.write_text(
            'name = "resume"\nseeds = 20\n[[scenario]]\nname = "calm"\nfile = "calm"\n'
            'set = ["lasts_s=2.0", "rest_s=0.5", "agents=0"]\n'
        )
        command = [*COMMAND, "experiment", "run", str(path), "--workers", "2", "--json"]
        lost = 0
        for number in (signal.SIGKILL, signal.SIGINT):
            before = recorded(path.with_suffix(".db"))
            sweep = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
            while recorded(path.with_suffix(".db")) < before + 4 and sweep.poll() is None:
                time.sleep(0.05)
            seen = recorded(path.with_suffix(".db"))
            sweep.send_signal(number)
            sweep.wait()
            lost += max(0, seen - recorded(path.with_suffix(".db")))
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        assert json.loads(done.stdout)["runs"] == 20, done.stderr
        return lost


def recorded(path: Path) -> int:
    import sqlite3

    try:
        with sqlite3.connect(f"file:{path}?mode=ro", uri=True) as db:
            return int(db.execute("SELECT count(*) FROM runs").fetchone()[0])
    except sqlite3.Error:
        return 0


def day(quick: bool) -> tuple[float, float]:
    """MB that a day of 24 h (two hours with `--quick`) of three limiters adds after its first twelfth, and how fast it
    is played."""
    lasts = 7200.0 if quick else 86_400.0
    given = of_load(0.003, Scenario("day", lasts_s=lasts, boxes=6, rest_s=1.0))
    world = decisions.DecisionWorld(given, 1)
    held: list[float] = []
    for part in (1.0, 12.0):
        world.schedule.after(lasts * 1000.0 * part / 12.0, lambda: held.append(rss_mb()))
    result = world.play()
    assert result.good(), result.text()
    return held[1] - held[0], result.sim_s / result.wall_s


def rss_mb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1048576.0


def beside_life(lasts: float, rate: float) -> tuple[float, float, dict[str, float]]:
    """The same group, traffic and accounts on real processes and simulated: errors of served share and of p99."""
    shape = (load.Steady(rate=rate),)
    stream = load.Stream(
        name="main",
        plan="shop",
        shape=shape,
        accounts=Mix(count=200, skew=0.6),
        deadline_ms=3000.0,
        clients=load.Clients(),
        class_name="lookup",
    )
    real = load.Scenario(name="beside", for_s=lasts, stream=(stream,), group=load.Group(3, 9))
    found: dict[str, float] = {}

    async def life(folder: Path, mark: str) -> int:
        stop = asyncio.Event()
        async with running(folder, mark, 3, 9, 1, stop) as (world, _):
            at = msgspec.structs.replace(real, targets=load.Targets(addresses=tuple(world.listens)))
            coordinator = Coordinator(at, local_lines(1))
            report = await coordinator.run()
            found["served"] = report.outcomes.get("served", 0) / max(1, sum(report.outcomes.values()))
            found["p99"] = report.by["outcome"]["served"].latency["p99"]
            return 0

    swept(PREFIX, life)
    kinds = tuple(
        BoxKind(
            kind.name,
            kind.cores,
            kind.speed,
            kind.shape.room,
            kind.shape.work,
            kind.shape.cold_share,
            kind.shape.cold_ms,
        )
        for kind in (STD, OLD)
    )
    given = Scenario(
        "beside",
        lasts_s=lasts,
        warm_s=0.0,
        boxes=9,
        agents=1,
        kind=kinds,
        stream=(stream,),
        plan=(Plan("shop", 0.8, 40.0, 120.0),),
        service=(Service(aim_ms=1200.0),),
        net=Net(same_ms=0.1, cross_ms=0.1, datagram_loss=0.0),
    )
    runs = [shells.play(given, seed).figures for seed in (1, 2, 3)]
    served = statistics.mean(run.value("share.served") for run in runs)
    p99 = statistics.mean(run.p99_ms for run in runs)
    figures = {"real_served": found["served"], "sim_served": served, "real_p99": found["p99"], "sim_p99": p99}
    return abs(served - found["served"]), abs(p99 - found["p99"]) / found["p99"], figures


def main() -> None:
    options = argparse.ArgumentParser()
    options.add_argument("--quick", action="store_true")
    options.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 2) - 2))
    options.add_argument("--without-life", action="store_true", help="without real processes")
    given = options.parse_args()
    quick = given.quick
    told: dict[str, Any] = {}

    def tell(**more: Any) -> None:
        told.update(more)
        print(json.dumps(more), flush=True)

    if not given.without_life:
        served, p99, figures = beside_life(15.0 if quick else 40.0, 60.0)
        tell(
            real_vs_sim_served_share_error=round(served, 4),
            real_vs_sim_p99_error=round(p99, 4),
            **{name: round(value, 4) for name, value in figures.items()},
        )
    tell(
        sim_seconds_per_second={
            f"{limiters}-{floor}": round(pace(limiters, floor, lasts), 2)
            for limiters, floor, lasts in (
                (3, "shells", 20.0),
                (3, "decisions", 20.0),
                (30, "shells", 5.0),
                (500, "decisions", 4.0),
                *(() if quick else ((500, "shells", 1.0),)),
            )
        }
    )
    runs = 2 if quick else 6
    tell(deterministic_runs=deterministic(runs), runs=runs)
    judges, shown = bites()
    tell(judges=judges, judges_shown_to_bite=shown)
    steps = search.systematic(scenario_of("drain-and-restart", HERE), 1, given.workers, each=4 if quick else 60)
    tell(io_steps=steps.steps, io_failures_tried=steps.failed, io_broken=len(steps.broken))
    found: list[search.Found] = []
    tried = 0
    for floor in search_floors:
        base = of_load(0.5, Scenario("search", lasts_s=12.0, agents=2, boxes=6, rest_s=8.0))
        report = search.Search(base, floor, 7).run(12 if quick else 150, 1e6, given.workers)
        tried, found = tried + report.tried, found + report.found
    lengths = [each.after for each in found]
    tell(seeds_tried=tried, bugs_found=len(found), shrunk_events_median=statistics.median(lengths) if lengths else 0)
    for each in found:
        print(each.seed.text(), flush=True)
    tell(resume_lost_runs=resume())
    grown, speed = day(quick)
    tell(day_growth_mb=round(grown, 2), day_sim_seconds_per_second=round(speed))
    large = largest(quick)
    tell(
        limiters=large["limiters"],
        boxes=large["boxes"],
        accounts=large["accounts"],
        largest_good=large["good"],
        rss_mb_largest=round(large["rss_mb"]),
        largest_wall_s=round(large["wall_s"], 1),
    )
    print(json.dumps(told))


if __name__ == "__main__":
    main()
