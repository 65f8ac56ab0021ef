"""Measures how far quotas are exceeded when the shared counter fails, and compares it with the stated bound.

Three methods are compared: leases, an even split between the limiters, and one call to the counter for each request.
A fixed series of failures is played in simulated time with the product's code, for 3, 50 and 500 limiters. Afterwards
real limiters run against a fake counter. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop

from elderlock.quota.counter_health import CounterMode
from elderlock.quota.counter_parameters import CounterParameters, SharedBucket
from elderlock.quota.error_bound import ExcessMeter, FailureHistory, stated_error_units
from elderlock.quota.lease_book import LeaseBook
from elderlock.standins.counter_simulation import CounterSimulation
from elderlock.standins.listener import Fault
from elderlock.standins.programs import Program, programs

CEILING = SharedBucket(rate_per_s=13.0, burst_units=19.0, limiter_count=3, is_hard_ceiling=True, slack_units=2.0)
QUOTA = SharedBucket(rate_per_s=7.0, burst_units=12.0, limiter_count=3)
RATES_PER_S = (12.0, 9.0, 15.0)
QUOTA_METHODS: dict[str, CounterParameters] = {
    "lease": CounterParameters(),
    "even split": CounterParameters(),
    "one call a request": CounterParameters(
        hold_ms=0.0, prefetch_fraction=0.0, unreported_fraction=0.0, max_calls_per_s=1e6
    ),
}


def play_calm(group: CounterSimulation) -> None:
    """Play without a failure."""
    group.play(20_000.0)


def play_uneven(group: CounterSimulation) -> None:
    """Send nearly all requests to one limiter."""
    group.rates = [sum(group.rates), *[0.3] * (len(group.rates) - 1)]
    group.play(20_000.0)


def play_silence(group: CounterSimulation) -> None:
    """The counter does not answer for 15 s."""
    group.play(7_000.0)
    group.set_down(True)
    group.play(15_000.0)
    group.set_down(False)
    group.play(6_000.0)


def play_silence_and_loss(group: CounterSimulation) -> None:
    """The counter does not answer for 15 s and returns without its data."""
    group.play(7_000.0)
    group.set_down(True)
    group.play(15_000.0)
    group.lose()
    group.set_down(False)
    group.play(6_000.0)


def play_two_losses(group: CounterSimulation) -> None:
    """The counter returns without its data twice."""
    for _ in range(2):
        group.play(5_000.0)
        group.set_down(True)
        group.play(6_300.0)
        group.lose()
        group.set_down(False)
    group.play(5_000.0)


def play_replacement(group: CounterSimulation) -> None:
    """The counter is replaced by an empty one."""
    group.play(8_003.0)
    group.lose()
    group.play(10_000.0)


def play_unnoticed_loss(group: CounterSimulation) -> None:
    """The counter loses its data, and nothing shows it."""
    group.play(9_000.0)
    group.lose(breaks_connections=False)
    group.play(10_000.0)


def play_old_snapshot(group: CounterSimulation) -> None:
    """The counter is restored from a snapshot that is 8 s old."""
    group.play(5_000.0)
    snapshot = group.snapshot()
    group.play(8_000.0)
    group.restore(snapshot)
    group.play(8_000.0)


def play_cut(group: CounterSimulation) -> None:
    """One limiter is cut off from the counter for 10 s."""
    group.play(6_000.0)
    group.cut([len(group.rates) - 1])
    group.play(10_000.0)
    group.heal()
    group.play(6_000.0)


def play_cut_with_load(group: CounterSimulation) -> None:
    """The limiter that gets nearly all requests is cut off from the counter for 10 s."""
    group.play(6_000.0)
    group.cut([0])
    group.rates = [sum(group.rates), *[0.5] * (len(group.rates) - 1)]
    group.play(10_000.0)
    group.heal()
    group.play(6_000.0)


def play_restarts(group: CounterSimulation) -> None:
    """The limiters are restarted in turn."""
    for number in range(6):
        group.play(3_000.0)
        group.restart(number % len(group.rates))
    group.play(3_000.0)


SERIES: dict[str, Callable[[CounterSimulation], None]] = {
    "calm": play_calm,
    "uneven": play_uneven,
    "silence": play_silence,
    "silence, empty": play_silence_and_loss,
    "empty twice": play_two_losses,
    "swapped": play_replacement,
    "unseen loss": play_unnoticed_loss,
    "old snapshot": play_old_snapshot,
    "cut": play_cut,
    "cut, busiest there": play_cut_with_load,
    "restarts": play_restarts,
}


class EvenSplit(LeaseBook):
    """Never calls the counter: it uses only the even split that limiters use until the counter has answered."""

    def admit(self, request: str, key: str, bucket: SharedBucket, units: float, now: float) -> bool | None:
        return self.ledger_for(key, bucket, now)[1].spend_local(units, now)

    def due_calls(self, now: float) -> list[Any]:
        return []


def play(case: tuple[str, str, bool, int, int]) -> dict[str, Any]:
    """Play a series of failures; return its figures.

    Args:
        case: The method, the series, whether the bucket is a hard ceiling, the number of limiters, and the seed.
    """
    method, series, hard, limiters, seed = case
    parameters, bucket = QUOTA_METHODS[method], CEILING if hard else QUOTA
    if limiters != 3:
        factor = limiters / 3
        bucket = replace(
            bucket,
            limiter_count=limiters,
            rate_per_s=bucket.rate_per_s * factor,
            burst_units=bucket.burst_units * factor,
            slack_units=bucket.slack_units * factor,
        )
    rates = [RATES_PER_S[n % 3] for n in range(limiters)]
    group = CounterSimulation(bucket, parameters, seed, rates, per_s=max(500.0, 170.0 * limiters))
    if method == "even split":
        group.books = [EvenSplit(parameters, group.rng, group.clock(n)) for n in range(limiters)]
    began_at = group.now
    SERIES[series](group)
    allowed = bucket.burst_units + bucket.refill_units(group.now - began_at)
    granted, requested = sum(group.granted.values()), sum(group.arrived.values())
    return {
        "way": method,
        "series": series,
        "hard": hard,
        "limiters": limiters,
        "worst": round(group.excess.worst_units, 2),
        "bound": round(stated_error_units(bucket, parameters, group.known_failures()), 2),
        "excess_share": round(max(0.0, granted - allowed) / allowed, 4),
        "unused_share": round(max(0.0, min(requested, allowed) - granted) / allowed, 4),
        "calls_per_request": round(sum(book.calls_made for book in group.books) / max(1, requested), 3),
        "slowest_ms": round(group.slowest, 1),
    }


def recovery_times_ms(seed: int) -> list[float]:
    """Return the times in ms from the counter's return until each limiter draws from it again."""
    group = CounterSimulation(CEILING, CounterParameters(), seed, RATES_PER_S).play(3_000.0)
    group.set_down(True)
    group.play(6_300.0)
    group.set_down(False)
    began_at, recovered_ms = group.now, dict[int, float]()
    while len(recovered_ms) < 3 and group.now - began_at < 10_000.0:
        group.play(10.0)
        for number, book in enumerate(group.books):
            if book.mode is CounterMode.SHARED:
                recovered_ms.setdefault(number, group.now - began_at)
    return list(recovered_ms.values())


def calls_far_from_quota(bucket: SharedBucket, rate: float) -> float:
    """Return the counter calls of a request, without heartbeats, for an account far below its quota."""
    group = CounterSimulation(bucket, CounterParameters(), 5, (rate,) * 3).play(60_000.0)
    calls = sum(book.calls_made for book in group.books) - 3 * 60_000.0 / CounterParameters().heartbeat_ms
    return max(0.0, calls) / sum(group.arrived.values())


def calls_near_quota() -> float:
    """Return the counter calls of a request, without heartbeats, for an account near its quota."""
    group = CounterSimulation(QUOTA, CounterParameters(), 5, (2.4, 2.2, 2.3)).play(60_000.0)
    calls = sum(book.calls_made for book in group.books) - 3 * 60_000.0 / CounterParameters().heartbeat_ms
    return calls / sum(group.arrived.values())


def counter_cpu_ratio() -> float:
    """Return the CPU time of a request with the counter over that with quota owners; only decisions are measured."""
    from decisions import Driven, settings

    from elderlock import interface as api
    from elderlock.decisions.limiter import Limiter
    from elderlock.decisions.quota_coordinator import QuotaCoordinator
    from elderlock.quota.counted_quotas import CountedCoordinator

    def cpu_us(coordinator: type[QuotaCoordinator]) -> float:
        driven = Driven(8)
        driven.limiter = Limiter(settings(3, api.Routing()), 1, 0.0, coordinator)
        driven.token = driven._token(driven.limiter.start(0.0))
        from decisions import entries

        driven.limiter.handle(api.ServerList(1, api.ListKind.COMPLETE, entries(8)), 0.0)
        handle, totals, pending_answers = driven.limiter.handle, dict[str, float](), list[tuple[int, float]]()
        began_ns = 0
        for n in range(6000):
            if n == 1000:  # the first requests are not measured
                began_ns = time.process_time_ns()
            now = driven.now = driven.now + 1.0
            actions = list(handle(api.RequestArrived(f"r{n}", 0, 0, f"{n % 200:016x}", 1.0, now + 900.0, 3, 0), now))
            for token, total in pending_answers:
                actions += handle(api.CounterAnswered(token, api.Outcome.OK, total, 1.0), now)
            pending_answers.clear()
            if n % 5 == 0:
                actions += handle(api.TimerFired(driven.token), now)
            for action in actions:
                if type(action) is api.SendAttempt:
                    handle(api.AttemptEnded(action.request_id, 0, action.server_id, api.Outcome.OK, 30.0, True), now)
                elif type(action) is api.SetTimer:
                    driven.token = action.token
                elif type(action) is api.AddToCounter:
                    totals[action.counter_name] = totals.get(action.counter_name, 0.0) + action.amount
                    pending_answers.append((action.token, totals[action.counter_name]))
        return (time.process_time_ns() - began_ns) / 5000 / 1000.0

    ratios = [cpu_us(CountedCoordinator) / cpu_us(QuotaCoordinator) for _ in range(5)]
    return statistics.median(ratios)


PLAN = {
    "name": "enterprise",
    "price": 1.8,
    "quota-rate": 30.0,
    "burst": 60.0,
    "hard-rate": 45.0,
    "never-over-depth": 80.0,
    "hard-slack": 8.0,
}


async def run_real() -> dict[str, Any]:
    """Run three real limiters, one of which gets most requests, while the counter fails; return the figures.

    The counter does not answer for 4 s and returns without its data, then refuses connections for 2 s and returns
    without its data again.
    """
    bucket, began_s = SharedBucket(30.0, 60.0, 3), time.monotonic()
    served_at: list[float] = []
    requested = 0

    async def send_requests(program: Program, interval_s: float, name: str) -> None:
        nonlocal requested
        client, n = await program.client(), 0
        while True:
            n += 1
            requested += 1
            if isinstance(await client.ask(f"{name}-{n}", t="enterprise", spread=3), bytes):
                served_at.append((time.monotonic() - began_s) * 1000.0)
            await asyncio.sleep(interval_s)

    with tempfile.TemporaryDirectory() as name:
        async with programs(Path(name), 3, boxes=6, plans=[PLAN], operators="[quota]\n") as limiters:
            counter = limiters[0].world.counter
            intervals_s = (0.05, 0.4, 0.6)
            tasks = [
                asyncio.create_task(send_requests(program, intervals_s[number], f"c{number}-{n}"))
                for number, program in enumerate(limiters)
                for n in range(5)
            ]
            await asyncio.sleep(5.0)
            await counter.fail(Fault.SILENT)
            await asyncio.sleep(4.0)
            counter.lose()
            await counter.fail(Fault.NONE)
            await asyncio.sleep(4.0)
            await counter.fail(Fault.REFUSING)
            await asyncio.sleep(2.0)
            counter.lose()
            await counter.fail(Fault.NONE)
            await asyncio.sleep(4.0)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            calls = counter.calls
    excess = ExcessMeter(bucket)
    for at in sorted(served_at):
        excess.record(1.0, at)
    return {
        "real_served": len(served_at),
        "real_asked": requested,
        "real_calls": calls,
        "real_quota_units": round(bucket.burst_units + bucket.refill_units((time.monotonic() - began_s) * 1000.0), 1),
        "real_worst_units": round(excess.worst_units, 2),
        "real_bound_units": round(stated_error_units(bucket, CounterParameters(), FailureHistory(return_count=2)), 2),
    }


def main() -> None:
    """Play all cases and print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    cases = [
        (method, series, hard, 3, seed)
        for method in QUOTA_METHODS
        for series in SERIES
        for hard in (True, False)
        for seed in range(options.seeds)
    ]
    large = [
        ("lease", series, hard, limiters, 1)
        for limiters in (50, 500)
        for series in SERIES
        for hard in (True, False)
        if limiters == 50 or series in ("silence, empty", "cut")
    ]
    with ProcessPoolExecutor(6) as pool:
        results = list(pool.map(play, cases + large))
        recovery_ms = sorted(time_ms for times_ms in pool.map(recovery_times_ms, range(12)) for time_ms in times_ms)
    for result in results:
        print(json.dumps(result))
    lease_results = [result for result in results if result["way"] == "lease" and result["limiters"] == 3]
    worst = max(lease_results, key=lambda result: result["worst"] / result["bound"])

    def shares(method: str, name: str) -> dict[str, float]:
        return {
            series: max(
                result[name]
                for result in results
                if (result["way"], result["series"], result["limiters"]) == (method, series, 3)
            )
            for series in SERIES
        }

    real_figures = uvloop.run(run_real())
    print(
        json.dumps(
            {
                **real_figures,
                "real_bound_broken": int(real_figures["real_worst_units"] > real_figures["real_bound_units"]),
                "scenarios": len(SERIES) * 2,
                "worst_over_ceiling_units": max(result["worst"] for result in lease_results if result["hard"]),
                "worst_over_ceiling_units_uncut": max(
                    result["worst"] for result in lease_results if result["hard"] and "cut" not in result["series"]
                ),
                "stated_bound_units": worst["bound"],
                "worst_over_bound": round(worst["worst"] / worst["bound"], 3),
                "bound_broken": sum(result["worst"] > result["bound"] for result in lease_results),
                "quota_excess_share": shares("lease", "excess_share"),
                "quota_unused_share": shares("lease", "unused_share"),
                "even_split_unused_share": shares("even split", "unused_share"),
                "even_split_excess_share": shares("even split", "excess_share"),
                "call_each_unused_share": shares("one call a request", "unused_share"),
                "call_each_excess_share": shares("one call a request", "excess_share"),
                "calls_per_request": {
                    "far, burst 12": round(calls_far_from_quota(QUOTA, 0.5), 3),
                    "far, burst 400": round(calls_far_from_quota(SharedBucket(200.0, 400.0, 3), 12.0), 3),
                    "near": round(calls_near_quota(), 3),
                    "far beyond": max(
                        result["calls_per_request"] for result in lease_results if result["series"] == "calm"
                    ),
                    "far beyond, one call each": max(
                        result["calls_per_request"]
                        for result in results
                        if (result["way"], result["series"]) == ("one call a request", "calm")
                    ),
                },
                "slowest_decision_ms": max(result["slowest_ms"] for result in lease_results),
                "recover_ms_p99": round(recovery_ms[int(0.99 * (len(recovery_ms) - 1))], 1),
                "simulated_limiters": 500,
                "simulated_bound_broken": sum(
                    result["worst"] > result["bound"] for result in results if result["limiters"] > 3
                ),
                "cpu_ratio_counter_on_off": round(counter_cpu_ratio(), 3),
            }
        )
    )


if __name__ == "__main__":
    main()
