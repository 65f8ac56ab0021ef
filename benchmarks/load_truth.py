"""Whether the load generator tells the truth: known delays found again, a stall seen whole, lateness admitted.

The last line is one JSON object. `--quick` takes a minute and leaves out the cost of the limiter and the long run.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import heapq
import json
import os
import signal
import statistics
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import limiter_cost
import uvloop

from elderlock.load.coordinator import Coordinator, LocalLine
from elderlock.load.figures import decoded
from elderlock.load.report import Report
from elderlock.load.scenario import parse
from elderlock.spawning import spawn
from elderlock.standins.delays import quantile_of, run_targets

SHARES = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "p99.9": 0.999}
ROUNDS = 3  # of each kind, of which the median counts: a machine's hiccup is not the generator's error
SCENARIO = """
name = "truth"
for_s = {lasts}
seed = {seed}
workers = {workers}
[clients]
most_connections = {connections}
[truth]
verify = true
[[stream]]
name = "all"
plan = "shop"
arrivals = "{arrivals}"
deadline_ms = {deadline}
shape = [{{ kind = "steady", rate = {rate} }}]
accounts = {{ count = 100 }}
"""
Meddle = Callable[[list[LocalLine]], Awaitable[None]]


async def run(
    targets: list[str],
    rate: float,
    lasts: float,
    workers: int = 1,
    arrivals: str = "poisson",
    seed: int = 1,
    connections: int = 2000,
    deadline: float = 20_000.0,
    meddle: Meddle | None = None,
    changes: tuple[str, ...] = (),
) -> Report:
    text = SCENARIO.format(
        lasts=lasts,
        seed=seed,
        workers=workers,
        rate=rate,
        arrivals=arrivals,
        connections=connections,
        deadline=deadline,
    )
    read = parse(text, "truth", [f"targets.addresses={json.dumps(targets)}", *changes])
    lines = [LocalLine(number) for number in range(workers)]

    async def began(at: float) -> list[tuple[float, str]]:
        if meddle is not None:
            await meddle(lines)
        return []

    return await Coordinator(read, lines, began=began).run()


def found(made: Report, share: float, service: bool = False) -> float:
    lines = made.by["all"]["all"]
    histogram = decoded(lines.service_hdr if service else lines.latency_hdr).hdr()
    return float(histogram.get_value_at_percentile(100 * share)) / 1000.0


async def percentiles(lasts: float) -> dict[str, Any]:
    kinds: list[dict[str, Any]] = [
        {"kind": "constant", "ms": 50},
        {"kind": "exponential", "ms": 50},
        {"kind": "bimodal", "ms": 20, "slow_ms": 200, "slow_share": 0.1},
    ]
    rounds: dict[str, list[float]] = {}
    nominal: dict[str, list[float]] = {}
    rate_error, behind, runs = 0.0, 0, 0
    for number in range(ROUNDS):
        for spec in kinds:
            truth: dict[float, float] = {}
            async with run_targets(truth, **spec) as targets:
                made = await run(targets, 500.0, lasts, arrivals="even", seed=number + 1)
            rate_error = max(rate_error, made.rate_error, abs(made.ledger["sent"] / (500.0 * lasts) - 1.0))
            runs, behind = runs + 1, behind + bool(made.behind)
            for name, share in SHARES.items():
                key = f"{spec['kind']} {name}"
                rounds.setdefault(key, []).append(abs(found(made, share) / truth[share] - 1.0))
                nominal.setdefault(key, []).append(abs(found(made, share) / quantile_of(spec, share) - 1.0))
    return {
        "percentile_errors": {key: statistics.median(errors) for key, errors in rounds.items()},
        "percentile_errors_nominal": {key: statistics.median(errors) for key, errors in nominal.items()},
        "rate_error": rate_error,
        "runs": runs,
        "behind": behind,
    }


def stalled(rate: float, lasts: float, connections: int, delay: float, at: float, stall: float) -> list[float]:
    """What a patient client sees (ms): requests in line for so many connections, first come first served, in
    front of a target that takes `delay` s each and gives no answer between `at` and `at + stall` s after the
    first one came."""
    free = [0.0] * connections
    first = 0.5 / rate
    seen = []
    for number in range(round(rate * lasts)):
        arrives = (number + 0.5) / rate
        begins = max(arrives, heapq.heappop(free))
        ends = begins + delay
        if first + at <= ends < first + at + stall:
            ends = first + at + stall
        heapq.heappush(free, ends)
        seen.append((ends - arrives) * 1000.0)
    return sorted(seen)


async def stall(lasts: float) -> dict[str, Any]:
    rate, connections = 100.0, 4
    async with run_targets(kind="constant", ms=20, stall_at=lasts / 3, stall_s=2.0) as targets:
        made = await run(targets, rate, lasts, arrivals="even", connections=connections)
    known = stalled(rate, lasts, connections, 0.020, lasts / 3, 2.0)
    errors: dict[str, float] = {}
    for name, share in SHARES.items():
        expected = known[max(0, -int(-share * len(known) // 1) - 1)]
        errors[name] = abs(found(made, share) / expected - 1.0)
    return {
        "stall_percentile_errors": errors,
        "stall_latency_p99": found(made, 0.99),
        "stall_service_p99": found(made, 0.99, True),
    }


async def most(rates: list[float], lasts: float) -> dict[str, Any]:
    """The highest rate that is kept to against two targets that answer at once."""
    best: dict[str, Any] = {"max_rate": 0, "lateness_ms_p99": 0.0}
    tried = {}
    async with run_targets(kind="none") as one, run_targets(kind="none") as two:
        for rate in rates:
            made = await run([*one, *two], rate, lasts, workers=1 if rate < 3000 else 3 if rate <= 10_000 else 5)
            kept = not made.behind and made.rate_error < 0.01
            tried[f"{rate:g}"] = {"late_p99": made.late["p99"], "late_max": made.late["max"], "kept": kept}
            if kept:
                best = {"max_rate": rate, "lateness_ms_p99": made.late["p99"]}
            elif rate > 2 * max(best["max_rate"], 1):
                break
    return {**best, "rates": tried}


async def growth(lasts: float) -> dict[str, Any]:
    async with run_targets(kind="constant", ms=10) as targets:
        made = await run(targets, 1000.0, lasts)
    # the first seconds hold what any run needs once
    grown = (made.rss_kb["last"] - made.rss_kb["first"]) / 1024.0
    return {"rss_growth_mb": grown, "rss_growth_mb_10min_equivalent": grown * 600.0 / lasts}


async def busy(core: int, count: int, stop: asyncio.Event) -> None:
    code = f"import os\nos.sched_setaffinity(0, {{{core}}})\nwhile True: pass"
    busy = [await spawn(sys.executable, "-c", code) for _ in range(count)]
    try:
        await stop.wait()
    finally:
        for process in busy:
            process.kill()
            await process.wait()


async def late_runs() -> dict[str, Any]:
    """Runs that are made late on purpose, each of which has to be told, with its cause."""

    def pid(lines: list[LocalLine]) -> int:
        process = lines[0].process
        assert process is not None
        return process.pid

    async def stopped(lines: list[LocalLine]) -> None:
        await asyncio.sleep(1.5)
        os.kill(pid(lines), signal.SIGSTOP)
        await asyncio.sleep(1.0)
        os.kill(pid(lines), signal.SIGCONT)

    def beside(count: int) -> Meddle:
        async def meddle(lines: list[LocalLine]) -> None:
            core = max(os.sched_getaffinity(0))
            os.sched_setaffinity(pid(lines), {core})
            stop = asyncio.Event()
            asyncio.get_running_loop().call_later(4.0, stop.set)
            await busy(core, count, stop)

        return meddle

    async def few_descriptors(lines: list[LocalLine]) -> None:
        import resource

        resource.prlimit(pid(lines), resource.RLIMIT_NOFILE, (24, 24))

    told: dict[str, str] = {}
    late = {}
    async with run_targets(kind="constant", ms=50) as targets:
        for name, rate, meddle, wanted in (
            ("stopped", 300.0, stopped, {"stopped"}),
            ("busy core", 5000.0, beside(8), {"core", "cpu"}),
            ("descriptors", 600.0, few_descriptors, {"descriptors"}),
            ("too fast", 30_000.0, None, {"cpu", "core"}),
        ):
            made = await run(targets, rate, 5.0, meddle=meddle, seed=9)
            late[name] = made.late.get("max", 0.0)
            causes = {span.why for span in made.behind}
            told[name] = "told" if causes & wanted else f"told as {sorted(causes)}" if causes else "not told"
    detected = sum(word.startswith("told") for word in told.values()) / len(told)
    return {"late_runs": told, "late_max_ms": late, "detected": detected}


async def main(quick: bool) -> dict[str, Any]:
    told = await percentiles(4.0 if quick else 12.0)
    stall_told = await stall(12.0)
    rates = [5000.0, 20_000.0] if quick else [5000.0, 10_000.0, 15_000.0, 20_000.0, 25_000.0, 30_000.0]
    max_told = await most(rates, 5.0)
    late_told = await late_runs()
    grown = await growth(15.0 if quick else 60.0)
    cost: dict[str, Any] = {}
    if not quick:
        cost = await limiter_cost.run(argparse.Namespace(rounds=3, seconds=6.0, profile=False, small=False))
    return {
        "percentile_error_max": max(told["percentile_errors"].values()),
        "percentile_error_nominal_max": max(told["percentile_errors_nominal"].values()),
        "stall_percentile_error_max": max(stall_told["stall_percentile_errors"].values()),
        "rate_error": told["rate_error"],
        "max_rate": max_told["max_rate"],
        "lateness_ms_p99": max_told["lateness_ms_p99"],
        "rss_growth_mb_10min_equivalent": grown["rss_growth_mb_10min_equivalent"],
        "behind_detected": late_told["detected"],
        "behind_false": told["behind"],
        **{key: cost[key] for key in cost if key.startswith("cost_")},
        "details": {**told, **stall_told, **max_told, **late_told, **grown, "cost": cost},
    }


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--quick", action="store_true")
    with contextlib.suppress(KeyboardInterrupt):
        print(json.dumps(uvloop.run(main(options.parse_args().quick))))
