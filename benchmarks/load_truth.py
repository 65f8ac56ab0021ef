"""Measures the accuracy of the load generator.

It checks that known delays are measured as they are, that a stall of the target is part of the latencies, and that a
run in which the generator itself fell behind says so. The last line is one JSON object. `--quick` takes a minute and
leaves out the cost of the limiter and the long run.
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

from elderlock.load.coordinator import Coordinator, LocalWorkerLink
from elderlock.load.metrics import decode_histogram
from elderlock.load.report import Report
from elderlock.load.scenario import parse
from elderlock.spawning import spawn
from elderlock.standins.delays import quantile_of, run_targets

QUANTILES = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "p99.9": 0.999}
ROUNDS = 3  # of each kind; the median is reported, because a short stall of the machine is no error of the generator
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
Disturbance = Callable[[list[LocalWorkerLink]], Awaitable[None]]


async def run(
    targets: list[str],
    rate: float,
    duration_s: float,
    workers: int = 1,
    arrivals: str = "poisson",
    seed: int = 1,
    connections: int = 2000,
    deadline: float = 20_000.0,
    disturb: Disturbance | None = None,
    changes: tuple[str, ...] = (),
) -> Report:
    """Generate load; return the report.

    Args:
        targets: The addresses of the targets.
        rate: Requests a second.
        duration_s: The duration of the load.
        workers: How many worker processes generate it.
        arrivals: The distribution of the arrivals.
        seed: The seed of all random choices.
        connections: The maximum number of connections.
        deadline: The deadline of a request in ms.
        disturb: Disturbs the workers once the load has started.
        changes: Fields of the scenario with other values, as `name=value`.
    """
    text = SCENARIO.format(
        lasts=duration_s,
        seed=seed,
        workers=workers,
        rate=rate,
        arrivals=arrivals,
        connections=connections,
        deadline=deadline,
    )
    scenario = parse(text, "truth", [f"targets.addresses={json.dumps(targets)}", *changes])
    lines = [LocalWorkerLink(number) for number in range(workers)]

    async def on_start(at: float) -> list[tuple[float, str]]:
        if disturb is not None:
            await disturb(lines)
        return []

    return await Coordinator(scenario, lines, began=on_start).run()


def latency_ms(report: Report, share: float, of_service_time: bool = False) -> float:
    """Return a quantile of the latencies, or of the service times, in ms."""
    lines = report.by["all"]["all"]
    histogram = decode_histogram(lines.service_hdr if of_service_time else lines.latency_hdr).hdr()
    return float(histogram.get_value_at_percentile(100 * share)) / 1000.0


async def measure_percentiles(duration_s: float) -> dict[str, Any]:
    """Compare measured quantiles with the targets' delays, as they were and as they were asked for."""
    kinds: list[dict[str, Any]] = [
        {"kind": "constant", "ms": 50},
        {"kind": "exponential", "ms": 50},
        {"kind": "bimodal", "ms": 20, "slow_ms": 200, "slow_share": 0.1},
    ]
    errors: dict[str, list[float]] = {}
    nominal_errors: dict[str, list[float]] = {}
    rate_error, behind, runs = 0.0, 0, 0
    for number in range(ROUNDS):
        for spec in kinds:
            actual_ms: dict[float, float] = {}
            async with run_targets(actual_ms, **spec) as targets:
                report = await run(targets, 500.0, duration_s, arrivals="even", seed=number + 1)
            rate_error = max(rate_error, report.rate_error, abs(report.ledger["sent"] / (500.0 * duration_s) - 1.0))
            runs, behind = runs + 1, behind + bool(report.behind)
            for name, share in QUANTILES.items():
                key = f"{spec['kind']} {name}"
                errors.setdefault(key, []).append(abs(latency_ms(report, share) / actual_ms[share] - 1.0))
                nominal_errors.setdefault(key, []).append(
                    abs(latency_ms(report, share) / quantile_of(spec, share) - 1.0)
                )
    return {
        "percentile_errors": {key: statistics.median(values) for key, values in errors.items()},
        "percentile_errors_nominal": {key: statistics.median(values) for key, values in nominal_errors.items()},
        "rate_error": rate_error,
        "runs": runs,
        "behind": behind,
    }


def expected_stalled_latencies(
    rate: float, duration_s: float, connections: int, delay_s: float, stall_at_s: float, stall_s: float
) -> list[float]:
    """Return the sorted latencies in ms of requests to a target that stalls once.

    The requests queue for the connections, first come first served.

    Args:
        rate: Requests a second, evenly spaced.
        duration_s: The duration of the load.
        connections: The number of connections.
        delay_s: The target's delay of each request.
        stall_at_s: When the target stops answering, after the first arrival.
        stall_s: How long it does not answer.
    """
    free_at_s = [0.0] * connections
    first_arrival_s = 0.5 / rate
    latencies_ms = []
    for number in range(round(rate * duration_s)):
        arrives_s = (number + 0.5) / rate
        begins_s = max(arrives_s, heapq.heappop(free_at_s))
        ends_s = begins_s + delay_s
        if first_arrival_s + stall_at_s <= ends_s < first_arrival_s + stall_at_s + stall_s:
            ends_s = first_arrival_s + stall_at_s + stall_s
        heapq.heappush(free_at_s, ends_s)
        latencies_ms.append((ends_s - arrives_s) * 1000.0)
    return sorted(latencies_ms)


async def measure_stall(duration_s: float) -> dict[str, Any]:
    """Compare the measured latencies of a target that stalls for 2 s with the expected ones."""
    rate, connections = 100.0, 4
    async with run_targets(kind="constant", ms=20, stall_at=duration_s / 3, stall_s=2.0) as targets:
        report = await run(targets, rate, duration_s, arrivals="even", connections=connections)
    known_ms = expected_stalled_latencies(rate, duration_s, connections, 0.020, duration_s / 3, 2.0)
    errors: dict[str, float] = {}
    for name, share in QUANTILES.items():
        expected = known_ms[max(0, -int(-share * len(known_ms) // 1) - 1)]
        errors[name] = abs(latency_ms(report, share) / expected - 1.0)
    return {
        "stall_percentile_errors": errors,
        "stall_latency_p99": latency_ms(report, 0.99),
        "stall_service_p99": latency_ms(report, 0.99, True),
    }


async def measure_max_rate(rates: list[float], duration_s: float) -> dict[str, Any]:
    """Return the highest rate that the generator keeps, against two targets that answer at once."""
    best: dict[str, Any] = {"max_rate": 0, "lateness_ms_p99": 0.0}
    rates_tried = {}
    async with run_targets(kind="none") as first_targets, run_targets(kind="none") as second_targets:
        for rate in rates:
            report = await run(
                [*first_targets, *second_targets],
                rate,
                duration_s,
                workers=1 if rate < 3000 else 3 if rate <= 10_000 else 5,
            )
            is_kept = not report.behind and report.rate_error < 0.01
            rates_tried[f"{rate:g}"] = {"late_p99": report.late["p99"], "late_max": report.late["max"], "kept": is_kept}
            if is_kept:
                best = {"max_rate": rate, "lateness_ms_p99": report.late["p99"]}
            elif rate > 2 * max(best["max_rate"], 1):
                break
    return {**best, "rates": rates_tried}


async def measure_growth(duration_s: float) -> dict[str, Any]:
    """Return by how much the workers' memory grows, in MB."""
    async with run_targets(kind="constant", ms=10) as targets:
        report = await run(targets, 1000.0, duration_s)
    # `first` is read after one second, so it includes the memory that any run needs once
    growth_mb = (report.rss_kb["last"] - report.rss_kb["first"]) / 1024.0
    return {"rss_growth_mb": growth_mb, "rss_growth_mb_10min_equivalent": growth_mb * 600.0 / duration_s}


async def keep_core_busy(core: int, count: int, stop: asyncio.Event) -> None:
    """Run busy loops on a core until `stop` is set."""
    source = f"import os\nos.sched_setaffinity(0, {{{core}}})\nwhile True: pass"
    processes = [await spawn(sys.executable, "-c", source) for _ in range(count)]
    try:
        await stop.wait()
    finally:
        for process in processes:
            process.kill()
            await process.wait()


async def measure_late_runs() -> dict[str, Any]:
    """Delay the generator on purpose in several ways; each run has to report that it was late, and the cause."""

    def worker_pid(lines: list[LocalWorkerLink]) -> int:
        process = lines[0].process
        assert process is not None
        return process.pid

    async def stop_worker(lines: list[LocalWorkerLink]) -> None:
        await asyncio.sleep(1.5)
        os.kill(worker_pid(lines), signal.SIGSTOP)
        await asyncio.sleep(1.0)
        os.kill(worker_pid(lines), signal.SIGCONT)

    def busy_core(count: int) -> Disturbance:
        async def disturb(lines: list[LocalWorkerLink]) -> None:
            core = max(os.sched_getaffinity(0))
            os.sched_setaffinity(worker_pid(lines), {core})
            stop = asyncio.Event()
            asyncio.get_running_loop().call_later(4.0, stop.set)
            await keep_core_busy(core, count, stop)

        return disturb

    async def limit_descriptors(lines: list[LocalWorkerLink]) -> None:
        import resource

        resource.prlimit(worker_pid(lines), resource.RLIMIT_NOFILE, (24, 24))

    results: dict[str, str] = {}
    late_max_ms = {}
    async with run_targets(kind="constant", ms=50) as targets:
        for name, rate, disturb, expected_causes in (
            ("stopped", 300.0, stop_worker, {"stopped"}),
            ("busy core", 5000.0, busy_core(8), {"core", "cpu"}),
            ("descriptors", 600.0, limit_descriptors, {"descriptors"}),
            ("too fast", 30_000.0, None, {"cpu", "core"}),
        ):
            report = await run(targets, rate, 5.0, disturb=disturb, seed=9)
            late_max_ms[name] = report.late.get("max", 0.0)
            causes = {span.why for span in report.behind}
            results[name] = (
                "told" if causes & expected_causes else f"told as {sorted(causes)}" if causes else "not told"
            )
    detected = sum(result.startswith("told") for result in results.values()) / len(results)
    return {"late_runs": results, "late_max_ms": late_max_ms, "detected": detected}


async def main(quick: bool) -> dict[str, Any]:
    """Run all measurements; return the figures."""
    percentile_figures = await measure_percentiles(4.0 if quick else 12.0)
    stall_figures = await measure_stall(12.0)
    rates = [5000.0, 20_000.0] if quick else [5000.0, 10_000.0, 15_000.0, 20_000.0, 25_000.0, 30_000.0]
    rate_figures = await measure_max_rate(rates, 5.0)
    late_figures = await measure_late_runs()
    growth_figures = await measure_growth(15.0 if quick else 60.0)
    cost: dict[str, Any] = {}
    if not quick:
        cost = await limiter_cost.run(limiter_cost.Options())
    return {
        "percentile_error_max": max(percentile_figures["percentile_errors"].values()),
        "percentile_error_nominal_max": max(percentile_figures["percentile_errors_nominal"].values()),
        "stall_percentile_error_max": max(stall_figures["stall_percentile_errors"].values()),
        "rate_error": percentile_figures["rate_error"],
        "max_rate": rate_figures["max_rate"],
        "lateness_ms_p99": rate_figures["lateness_ms_p99"],
        "rss_growth_mb_10min_equivalent": growth_figures["rss_growth_mb_10min_equivalent"],
        "behind_detected": late_figures["detected"],
        "behind_false": percentile_figures["behind"],
        **{key: cost[key] for key in cost if key.startswith("cost_")},
        "details": {
            **percentile_figures,
            **stall_figures,
            **rate_figures,
            **late_figures,
            **growth_figures,
            "cost": cost,
        },
    }


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--quick", action="store_true")
    with contextlib.suppress(KeyboardInterrupt):
        print(json.dumps(uvloop.run(main(options.parse_args().quick))))
