"""Measures the size and the speed of the simulation, and how close it is to real processes.

It simulates the largest group, both environments with 3 limiters and more, and a whole day. It checks determinism, the
invariant checkers, failures of each step of input and output, a search for violations, and that a sweep that was killed
loses no recorded run. `--quick` simulates 50 instead of 500 limiters as the largest group and makes the other runs
shorter. The last line is one JSON object.
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

from elderlock.cli.running_groups import GROUP_FOLDER_PREFIX
from elderlock.cli.up import running_group
from elderlock.load import scenario as load
from elderlock.load.accounts import AccountMix
from elderlock.load.coordinator import Coordinator, local_worker_links
from elderlock.sim import decisions, search, shells
from elderlock.sim.experiment import load_scenario
from elderlock.sim.scenario import Net, Plan, Scenario, ServerKind, Service, Settings, with_load
from elderlock.sim.seeds import Level
from elderlock.standins.servers import OLD, STD
from elderlock.trial.processes import run_guarded

HERE = Path(__file__).parent
ROOT = HERE.parent
COMMAND = [sys.executable, "-B", "-m", "elderlock.cli.main"]
LARGEST_PROGRAM = """
import json, resource, sys, msgspec
from elderlock.sim import decisions
from elderlock.sim.scenario import Scenario
world = decisions.DecisionWorld(msgspec.json.decode(sys.stdin.read(), type=Scenario), 1)
result = world.play()
rss = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
print(json.dumps({"good": result.good(), "sim_s": result.sim_s, "wall_s": result.wall_s, "rss_mb": rss,
                  "offered": result.figures.offered, "served": result.figures.served_in_time}))
"""


def measure_largest(quick: bool) -> dict[str, Any]:
    """Simulate the largest group in a separate process, whose memory is measured."""
    limiters, boxes, accounts = (50, 1000, 10_000) if quick else (500, 10_000, 100_000)
    kinds = (ServerKind(work_ms=2000.0, room=8, cold_ms=20_000.0),)
    scenario = Scenario(
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
    raw = msgspec.json.encode(with_load(0.3, scenario, accounts=accounts))
    done = subprocess.run(
        [sys.executable, "-B", "-c", LARGEST_PROGRAM], input=raw, capture_output=True, check=True, cwd=ROOT
    )
    figures: dict[str, Any] = json.loads(done.stdout)
    return {"limiters": limiters, "boxes": boxes, "accounts": accounts, **figures}


def measure_pace(limiters: int, floor: str, duration_s: float) -> float:
    """Return how many seconds are simulated in a real second, at 100 requests a second in all."""
    scenario = Scenario(
        "pace", lasts_s=duration_s, warm_s=0.5, rest_s=0.5, limiters=limiters, boxes=12, settings=Settings(subset=8)
    )
    result = search.play(with_load(100.0 / scenario.capacity(), scenario), 1, floor)
    assert result.good(), result.text()
    return result.sim_s / result.wall_s


DIGEST_PROGRAM = """
import sys, msgspec
from elderlock.sim import search
from elderlock.sim.scenario import Scenario
print(search.play(msgspec.json.decode(sys.stdin.read(), type=Scenario), 3, sys.argv[1]).digest)
"""


def count_deterministic(runs: int) -> int:
    """Return how many of this many pairs of runs, with different hash seeds, have the same digest."""
    equal_count = 0
    for number in range(runs):
        floor = ENVIRONMENTS[number % 2]
        scenario = msgspec.structs.replace(load_scenario("partition", HERE), lasts_s=10.0 + number)
        digests = set()
        for hash_seed in ("1", "2"):
            env = {**os.environ, "PYTHONHASHSEED": hash_seed}
            command = [sys.executable, "-B", "-c", DIGEST_PROGRAM, floor]
            done = subprocess.run(
                command, input=msgspec.json.encode(scenario), capture_output=True, cwd=ROOT, env=env, check=True
            )
            digests.add(done.stdout)
        equal_count += len(digests) == 1
    return equal_count


ENVIRONMENTS: tuple[Level, ...] = ("shells", "decisions")


def count_checkers() -> tuple[int, int]:
    """Return the number of invariant checkers, and of those that the tests show to detect a violation."""
    scenario = with_load(0.2, Scenario("judges"))
    names = {
        checker.name
        for world in (shells.ShellWorld(scenario, 1), decisions.DecisionWorld(scenario, 1))
        for checker in world.bench.checkers
    }
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-vv",
        "-n",
        "4",
        "tests/sim/test_invariant_checkers.py",
        "-k",
        "test_checker_detects_flaw",
    ]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    detected = {name for name in names if f"[{name.replace(' ', '_')}-" in done.stdout and "failed" not in done.stdout}
    return len(names), len(detected)


def count_lost_runs() -> int:
    """Interrupt a sweep twice and complete it; return how many recorded runs were lost."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "e.toml"
        path.write_text(
            'name = "resume"\nseeds = 20\n[[scenario]]\nname = "calm"\nfile = "calm"\n'
            'set = ["lasts_s=2.0", "rest_s=0.5", "agents=0"]\n'
        )
        command = [*COMMAND, "experiment", "run", str(path), "--workers", "2", "--json"]
        lost = 0
        for number in (signal.SIGKILL, signal.SIGINT):
            runs_at_start = recorded_runs(path.with_suffix(".db"))
            sweep = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
            while recorded_runs(path.with_suffix(".db")) < runs_at_start + 4 and sweep.poll() is None:
                time.sleep(0.05)
            runs_before_kill = recorded_runs(path.with_suffix(".db"))
            sweep.send_signal(number)
            sweep.wait()
            lost += max(0, runs_before_kill - recorded_runs(path.with_suffix(".db")))
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        assert json.loads(done.stdout)["runs"] == 20, done.stderr
        return lost


def recorded_runs(path: Path) -> int:
    """Return how many runs a sweep has recorded."""
    import sqlite3

    try:
        with sqlite3.connect(f"file:{path}?mode=ro", uri=True) as db:
            return int(db.execute("SELECT count(*) FROM runs").fetchone()[0])
    except sqlite3.Error:
        return 0


def measure_day(quick: bool) -> tuple[float, float]:
    """Simulate a day of three limiters, or two hours if `quick`.

    Returns:
        The MB of memory that it adds after its first twelfth, and how many seconds are simulated in a real second.
    """
    duration_s = 7200.0 if quick else 86_400.0
    scenario = with_load(0.003, Scenario("day", lasts_s=duration_s, boxes=6, rest_s=1.0))
    world = decisions.DecisionWorld(scenario, 1)
    rss_mb_samples: list[float] = []
    for part in (1.0, 12.0):
        world.schedule.after(duration_s * 1000.0 * part / 12.0, lambda: rss_mb_samples.append(rss_mb()))
    result = world.play()
    assert result.good(), result.text()
    return rss_mb_samples[1] - rss_mb_samples[0], result.sim_s / result.wall_s


def rss_mb() -> float:
    """Return the resident memory of this process in MB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1048576.0


def compare_with_real(duration_s: float, rate: float) -> tuple[float, float, dict[str, float]]:
    """Run the same group, load and accounts on real processes and in the simulation.

    Returns:
        The error of the simulated share of served requests, the relative error of the p99, and all four figures.
    """
    shape = (load.Steady(rate=rate),)
    stream = load.Stream(
        name="main",
        plan="shop",
        shape=shape,
        accounts=AccountMix(count=200, skew=0.6),
        deadline_ms=3000.0,
        clients=load.Clients(),
        class_name="lookup",
    )
    real = load.Scenario(name="beside", for_s=duration_s, stream=(stream,), group=load.Group(3, 9))
    measured: dict[str, float] = {}

    async def run_real(folder: Path, mark: str) -> int:
        stop = asyncio.Event()
        async with running_group(folder, mark, 3, 9, 1, stop) as (world, _):
            load_scenario = msgspec.structs.replace(real, targets=load.Targets(addresses=tuple(world.listens)))
            coordinator = Coordinator(load_scenario, local_worker_links(1))
            report = await coordinator.run()
            measured["served"] = report.outcomes.get("served", 0) / max(1, sum(report.outcomes.values()))
            measured["p99"] = report.by["outcome"]["served"].latency["p99"]
            return 0

    run_guarded(GROUP_FOLDER_PREFIX, run_real)
    kinds = tuple(
        ServerKind(
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
    scenario = Scenario(
        "beside",
        lasts_s=duration_s,
        warm_s=0.0,
        boxes=9,
        agents=1,
        kind=kinds,
        stream=(stream,),
        plan=(Plan("shop", 0.8, 40.0, 120.0),),
        service=(Service(aim_ms=1200.0),),
        net=Net(same_ms=0.1, cross_ms=0.1, datagram_loss=0.0),
    )
    runs = [shells.play(scenario, seed).figures for seed in (1, 2, 3)]
    served = statistics.mean(run.value("share.served") for run in runs)
    p99 = statistics.mean(run.p99_ms for run in runs)
    figures = {"real_served": measured["served"], "sim_served": served, "real_p99": measured["p99"], "sim_p99": p99}
    return abs(served - measured["served"]), abs(p99 - measured["p99"]) / measured["p99"], figures


def main() -> None:
    """Run all measurements and print the figures as JSON."""
    options = argparse.ArgumentParser()
    options.add_argument("--quick", action="store_true")
    options.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 2) - 2))
    options.add_argument("--without-life", action="store_true", help="leave out the runs on real processes")
    arguments = options.parse_args()
    quick = arguments.quick
    figures: dict[str, Any] = {}

    def report_figures(**new_figures: Any) -> None:
        figures.update(new_figures)
        print(json.dumps(new_figures), flush=True)

    if not arguments.without_life:
        served, p99, comparison = compare_with_real(15.0 if quick else 40.0, 60.0)
        report_figures(
            real_vs_sim_served_share_error=round(served, 4),
            real_vs_sim_p99_error=round(p99, 4),
            **{name: round(value, 4) for name, value in comparison.items()},
        )
    report_figures(
        sim_seconds_per_second={
            f"{limiters}-{floor}": round(measure_pace(limiters, floor, duration_s), 2)
            for limiters, floor, duration_s in (
                (3, "shells", 20.0),
                (3, "decisions", 20.0),
                (30, "shells", 5.0),
                (500, "decisions", 4.0),
                *(() if quick else ((500, "shells", 1.0),)),
            )
        }
    )
    runs = 2 if quick else 6
    report_figures(deterministic_runs=count_deterministic(runs), runs=runs)
    checkers, detected = count_checkers()
    report_figures(judges=checkers, judges_shown_to_bite=detected)
    systematic_report = search.systematic(
        load_scenario("drain-and-restart", HERE), 1, arguments.workers, each=4 if quick else 60
    )
    report_figures(
        io_steps=systematic_report.steps,
        io_failures_tried=systematic_report.failed,
        io_broken=len(systematic_report.broken),
    )
    found: list[search.ShrunkFailure] = []
    tried = 0
    for floor in ENVIRONMENTS:
        base = with_load(0.5, Scenario("search", lasts_s=12.0, agents=2, boxes=6, rest_s=8.0))
        report = search.Search(base, floor, 7).run(12 if quick else 150, 1e6, arguments.workers)
        tried, found = tried + report.tried, found + report.found
    lengths = [shrunk.faults_after for shrunk in found]
    report_figures(
        seeds_tried=tried, bugs_found=len(found), shrunk_events_median=statistics.median(lengths) if lengths else 0
    )
    for shrunk in found:
        print(shrunk.seed.text(), flush=True)
    report_figures(resume_lost_runs=count_lost_runs())
    growth_mb, speed = measure_day(quick)
    report_figures(day_growth_mb=round(growth_mb, 2), day_sim_seconds_per_second=round(speed))
    large = measure_largest(quick)
    report_figures(
        limiters=large["limiters"],
        boxes=large["boxes"],
        accounts=large["accounts"],
        largest_good=large["good"],
        rss_mb_largest=round(large["rss_mb"]),
        largest_wall_s=round(large["wall_s"], 1),
    )
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
