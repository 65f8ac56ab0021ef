"""Quotas through a counter that is lost in a fixed series of ways: what is let in over the bucket and the stated error.

Three ways beside each other: by lease, by the even split alone, and by one call a request. The series is played in
simulated time with the code that ships, at 3, 50 and 500 limiters; then a real limiter meets a stand-in counter. The
last line is one JSON object.
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
BUSY = (12.0, 9.0, 15.0)
QUOTA_METHODS: dict[str, CounterParameters] = {
    "lease": CounterParameters(),
    "even split": CounterParameters(),
    "one call a request": CounterParameters(
        hold_ms=0.0, prefetch_fraction=0.0, unreported_fraction=0.0, max_calls_per_s=1e6
    ),
}


def calm(group: CounterSimulation) -> None:
    group.play(20_000.0)


def uneven(group: CounterSimulation) -> None:
    """Nearly all comes through one limiter."""
    group.rates = [sum(group.rates), *[0.3] * (len(group.rates) - 1)]
    group.play(20_000.0)


def silence(group: CounterSimulation) -> None:
    group.play(7_000.0)
    group.set_down(True)
    group.play(15_000.0)
    group.set_down(False)
    group.play(6_000.0)


def silence_empty(group: CounterSimulation) -> None:
    group.play(7_000.0)
    group.set_down(True)
    group.play(15_000.0)
    group.lose()
    group.set_down(False)
    group.play(6_000.0)


def empty_twice(group: CounterSimulation) -> None:
    for _ in range(2):
        group.play(5_000.0)
        group.set_down(True)
        group.play(6_300.0)
        group.lose()
        group.set_down(False)
    group.play(5_000.0)


def swapped(group: CounterSimulation) -> None:
    group.play(8_003.0)
    group.lose()
    group.play(10_000.0)


def unseen(group: CounterSimulation) -> None:
    group.play(9_000.0)
    group.lose(breaks_connections=False)
    group.play(10_000.0)


def snapshot(group: CounterSimulation) -> None:
    group.play(5_000.0)
    saved = group.snapshot()
    group.play(8_000.0)
    group.restore(saved)
    group.play(8_000.0)


def cut(group: CounterSimulation) -> None:
    group.play(6_000.0)
    group.cut([len(group.rates) - 1])
    group.play(10_000.0)
    group.heal()
    group.play(6_000.0)


def cut_busiest(group: CounterSimulation) -> None:
    group.play(6_000.0)
    group.cut([0])
    group.rates = [sum(group.rates), *[0.5] * (len(group.rates) - 1)]
    group.play(10_000.0)
    group.heal()
    group.play(6_000.0)


def restarts(group: CounterSimulation) -> None:
    for turn in range(6):
        group.play(3_000.0)
        group.restart(turn % len(group.rates))
    group.play(3_000.0)


SERIES: dict[str, Callable[[CounterSimulation], None]] = {
    "calm": calm,
    "uneven": uneven,
    "silence": silence,
    "silence, empty": silence_empty,
    "empty twice": empty_twice,
    "swapped": swapped,
    "unseen loss": unseen,
    "old snapshot": snapshot,
    "cut": cut,
    "cut, busiest there": cut_busiest,
    "restarts": restarts,
}


class Even(LeaseBook):
    """Never asks the counter: the split that stands in until there is a reading."""

    def admit(self, request: str, key: str, store: SharedBucket, units: float, now: float) -> bool | None:
        return self.ledger_for(key, store, now)[1].spend_local(units, now)

    def due_calls(self, now: float) -> list[Any]:
        return []


def play(case: tuple[str, str, bool, int, int]) -> dict[str, Any]:
    """One of the series, by one of the ways, for a hard store or not, at a number of limiters."""
    way, series, hard, limiters, seed = case
    terms, store = QUOTA_METHODS[way], CEILING if hard else QUOTA
    if limiters != 3:
        grown = limiters / 3
        store = replace(
            store,
            limiter_count=limiters,
            rate_per_s=store.rate_per_s * grown,
            burst_units=store.burst_units * grown,
            slack_units=store.slack_units * grown,
        )
    rates = [BUSY[n % 3] for n in range(limiters)]
    group = CounterSimulation(store, terms, seed, rates, per_s=max(500.0, 170.0 * limiters))
    if way == "even split":
        group.books = [Even(terms, group.rng, group.clock(n)) for n in range(limiters)]
    begun = group.now
    SERIES[series](group)
    allowed = store.burst_units + store.refill_units(group.now - begun)
    granted, requested = sum(group.granted.values()), sum(group.arrived.values())
    return {
        "way": way,
        "series": series,
        "hard": hard,
        "limiters": limiters,
        "worst": round(group.excess.worst_units, 2),
        "bound": round(stated_error_units(store, terms, group.known_failures()), 2),
        "excess_share": round(max(0.0, granted - allowed) / allowed, 4),
        "unused_share": round(max(0.0, min(requested, allowed) - granted) / allowed, 4),
        "calls_per_request": round(sum(book.calls_made for book in group.books) / max(1, requested), 3),
        "slowest_ms": round(group.slowest, 1),
    }


def recovery(seed: int) -> list[float]:
    """ms from the counter's return until each limiter draws again."""
    group = CounterSimulation(CEILING, CounterParameters(), seed, BUSY).play(3_000.0)
    group.set_down(True)
    group.play(6_300.0)
    group.set_down(False)
    begun, found = group.now, dict[int, float]()
    while len(found) < 3 and group.now - begun < 10_000.0:
        group.play(10.0)
        for number, book in enumerate(group.books):
            if book.mode is CounterMode.SHARED:
                found.setdefault(number, group.now - begun)
    return list(found.values())


def light(store: SharedBucket, rate: float) -> float:
    """Calls a request, but the sentinels', for customers far from their quota."""
    group = CounterSimulation(store, CounterParameters(), 5, (rate,) * 3).play(60_000.0)
    made = sum(book.calls_made for book in group.books) - 3 * 60_000.0 / CounterParameters().heartbeat_ms
    return max(0.0, made) / sum(group.arrived.values())


def near() -> float:
    group = CounterSimulation(QUOTA, CounterParameters(), 5, (2.4, 2.2, 2.3)).play(60_000.0)
    made = sum(book.calls_made for book in group.books) - 3 * 60_000.0 / CounterParameters().heartbeat_ms
    return made / sum(group.arrived.values())


def decision_cost() -> float:
    """CPU of a request with the counter over that with keepers of one's own, the decision module alone."""
    from decisions import Driven, settings

    from elderlock import interface as api
    from elderlock.decisions.limiter import Limiter
    from elderlock.decisions.quota_coordinator import QuotaCoordinator
    from elderlock.quota.counted_quotas import CountedCoordinator

    def cost(source: type[QuotaCoordinator]) -> float:
        driven = Driven(8)
        driven.limiter = Limiter(settings(3, api.Routing()), 1, 0.0, source)
        driven.token = driven._token(driven.limiter.start(0.0))
        from decisions import entries

        driven.limiter.handle(api.ServerList(1, api.ListKind.COMPLETE, entries(8)), 0.0)
        handle, totals, coming = driven.limiter.handle, dict[str, float](), list[tuple[int, float]]()
        begun = 0
        for n in range(6000):
            if n == 1000:
                begun = time.process_time_ns()
            now = driven.now = driven.now + 1.0
            made = list(handle(api.RequestArrived(f"r{n}", 0, 0, f"{n % 200:016x}", 1.0, now + 900.0, 3, 0), now))
            for token, total in coming:
                made += handle(api.CounterAnswered(token, api.Outcome.OK, total, 1.0), now)
            coming.clear()
            if n % 5 == 0:
                made += handle(api.TimerFired(driven.token), now)
            for action in made:
                if type(action) is api.SendAttempt:
                    handle(api.AttemptEnded(action.request_id, 0, action.server_id, api.Outcome.OK, 30.0, True), now)
                elif type(action) is api.SetTimer:
                    driven.token = action.token
                elif type(action) is api.AddToCounter:
                    totals[action.counter_name] = totals.get(action.counter_name, 0.0) + action.amount
                    coming.append((action.token, totals[action.counter_name]))
        return (time.process_time_ns() - begun) / 5000 / 1000.0

    ratios = [cost(CountedCoordinator) / cost(QuotaCoordinator) for _ in range(5)]
    return statistics.median(ratios)


CUSTOMER = {
    "name": "enterprise",
    "price": 1.8,
    "quota-rate": 30.0,
    "burst": 60.0,
    "hard-rate": 45.0,
    "never-over-depth": 80.0,
    "hard-slack": 8.0,
}


async def real() -> dict[str, Any]:
    """Three real limiters, most of the requests at one, through calm, a silence, an empty return and a counter that
    refuses and is started anew."""
    store, begun = SharedBucket(30.0, 60.0, 3), time.monotonic()
    served: list[float] = []
    requested = 0

    async def asks(program: Program, every: float, name: str) -> None:
        nonlocal requested
        client, n = await program.client(), 0
        while True:
            n += 1
            requested += 1
            if isinstance(await client.ask(f"{name}-{n}", t="enterprise", spread=3), bytes):
                served.append((time.monotonic() - begun) * 1000.0)
            await asyncio.sleep(every)

    with tempfile.TemporaryDirectory() as name:
        async with programs(Path(name), 3, boxes=6, plans=[CUSTOMER], operators="[quota]\n") as made:
            counter = made[0].world.counter
            waits = (0.05, 0.4, 0.6)
            tasks = [
                asyncio.create_task(asks(program, waits[number], f"c{number}-{n}"))
                for number, program in enumerate(made)
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
    excess = ExcessMeter(store)
    for at in sorted(served):
        excess.record(1.0, at)
    return {
        "real_served": len(served),
        "real_asked": requested,
        "real_calls": calls,
        "real_quota_units": round(store.burst_units + store.refill_units((time.monotonic() - begun) * 1000.0), 1),
        "real_worst_units": round(excess.worst_units, 2),
        "real_bound_units": round(stated_error_units(store, CounterParameters(), FailureHistory(return_count=2)), 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    cases = [
        (way, series, hard, 3, seed)
        for way in QUOTA_METHODS
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
        made = list(pool.map(play, cases + large))
        waits = sorted(wait for found in pool.map(recovery, range(12)) for wait in found)
    for one in made:
        print(json.dumps(one))
    lease = [one for one in made if one["way"] == "lease" and one["limiters"] == 3]
    worst = max(lease, key=lambda one: one["worst"] / one["bound"])

    def shares(way: str, name: str) -> dict[str, float]:
        return {
            series: max(one[name] for one in made if (one["way"], one["series"], one["limiters"]) == (way, series, 3))
            for series in SERIES
        }

    met = uvloop.run(real())
    print(
        json.dumps(
            {
                **met,
                "real_bound_broken": int(met["real_worst_units"] > met["real_bound_units"]),
                "scenarios": len(SERIES) * 2,
                "worst_over_ceiling_units": max(one["worst"] for one in lease if one["hard"]),
                "worst_over_ceiling_units_uncut": max(
                    one["worst"] for one in lease if one["hard"] and "cut" not in one["series"]
                ),
                "stated_bound_units": worst["bound"],
                "worst_over_bound": round(worst["worst"] / worst["bound"], 3),
                "bound_broken": sum(one["worst"] > one["bound"] for one in lease),
                "quota_excess_share": shares("lease", "excess_share"),
                "quota_unused_share": shares("lease", "unused_share"),
                "even_split_unused_share": shares("even split", "unused_share"),
                "even_split_excess_share": shares("even split", "excess_share"),
                "call_each_unused_share": shares("one call a request", "unused_share"),
                "call_each_excess_share": shares("one call a request", "excess_share"),
                "calls_per_request": {
                    "far, burst 12": round(light(QUOTA, 0.5), 3),
                    "far, burst 400": round(light(SharedBucket(200.0, 400.0, 3), 12.0), 3),
                    "near": round(near(), 3),
                    "far beyond": max(one["calls_per_request"] for one in lease if one["series"] == "calm"),
                    "far beyond, one call each": max(
                        one["calls_per_request"]
                        for one in made
                        if (one["way"], one["series"]) == ("one call a request", "calm")
                    ),
                },
                "slowest_decision_ms": max(one["slowest_ms"] for one in lease),
                "recover_ms_p99": round(waits[int(0.99 * (len(waits) - 1))], 1),
                "simulated_limiters": 500,
                "simulated_bound_broken": sum(one["worst"] > one["bound"] for one in made if one["limiters"] > 3),
                "cpu_ratio_counter_on_off": round(decision_cost(), 3),
            }
        )
    )


if __name__ == "__main__":
    main()
