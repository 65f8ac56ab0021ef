"""Measures what limiters gain by sharing health evidence and ceilings, and what it costs, in simulated time.

    python benchmarks/shared_state.py           # 3, 30 and 200 limiters
    python benchmarks/shared_state.py --long    # 500 as well

Groups of any size get 800 requests a second for 80 servers. Ten of the servers stop answering, or fail half of the
requests, for 8 s. The last line is one JSON object. `found` is the time from a server's fault until a limiter ejects
it, the median over limiters and servers; it is 8000 for a limiter that did not. Ratios are of runs with the same seed.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from dataclasses import dataclass
from typing import Any

import msgspec

from elderlock.gossip.evidence_limiter import EvidenceLimiter
from elderlock.sim.decisions import DecisionWorld
from elderlock.sim.invariant_checkers import HardCeilings
from elderlock.sim.scenario import Scenario

SERVERS, BAD_SERVERS, RATE = 80, 10, 800.0
FAULT_AT_S, FAULT_FOR_S, DURATION_S = 6.0, 8.0, 20.0
SAMPLE_INTERVAL_MS = 50.0  # between two samples of the servers that each limiter ejects


@dataclass
class Played:
    """The figures of a run.

    Attributes:
        failed: How many requests failed.
        extra_attempts: The attempts of a request beyond the first, on average.
        found_ms: The time from a server's fault until a limiter ejects it, the median.
        good_ejected_fraction: The fraction of limiters, good servers and samples in which a good server was ejected.
        datagrams_per_s: The datagrams with evidence that a limiter received in a second of the fault.
        wall_s: The duration of the run on the wall clock.
        broken: Whether an invariant was violated, as 0 or 1.
    """

    failed: int
    extra_attempts: float
    found_ms: float
    good_ejected_fraction: float
    datagrams_per_s: float
    wall_s: float
    broken: int


def scenario(limiters: int, fault: str, shared: bool) -> Scenario:
    """Return a scenario with a fault of ten servers; no fault if its name is empty."""
    raw: dict[str, Any] = {
        "name": "shared-state",
        "lasts_s": DURATION_S,
        "limiters": limiters,
        "boxes": SERVERS,
        "floors": 4,
        "plan": [{"name": "shop"}],
        "service": [{"name": "lookup", "aim_ms": 300.0}],
        "stream": [
            {
                "name": "lookups",
                "plan": "shop",
                "deadline_ms": 1200.0,
                "spread": 3,
                "accounts": {"count": 500},
                "shape": [{"kind": "steady", "rate": RATE}],
            }
        ],
        "settings": {"shared": shared},
    }
    if fault:
        raw["fault"] = [{"at_s": FAULT_AT_S, "what": fault, "target": f"box:0-{BAD_SERVERS - 1}", "for_s": FAULT_FOR_S}]
    return msgspec.convert(raw, Scenario)


def play(limiters: int, fault: str, shared: bool, seed: int) -> Played:
    """Simulate a scenario; return its figures."""
    world = DecisionWorld(scenario(limiters, fault, shared), seed)
    bad = [f"s-{number:02d}" for number in range(BAD_SERVERS)] if fault else []
    found_ms: dict[tuple[int, str], float] = {}
    samples = good_ejected = 0

    def sample() -> None:
        nonlocal samples, good_ejected
        now = world.at()
        for node in world.nodes:
            ejected_names = [server.entry.server_id for server in node.limiter.endpoints.outlier_detector.ejected]
            for name in ejected_names:
                if name in bad and now <= (FAULT_AT_S + FAULT_FOR_S) * 1000.0:
                    found_ms.setdefault((node.number, name), now - FAULT_AT_S * 1000.0)
            samples += SERVERS - len(bad)
            good_ejected += sum(name not in bad for name in ejected_names)
        world.schedule.after(SAMPLE_INTERVAL_MS, sample)

    world.schedule.after(FAULT_AT_S * 1000.0, sample)
    began_s = time.perf_counter()
    result = world.play()
    wall_s = time.perf_counter() - began_s
    found_times_ms = [found_ms.get((number, name), FAULT_FOR_S * 1000.0) for number in range(limiters) for name in bad]
    received = sum(node.limiter.received_datagrams for node in world.nodes if isinstance(node.limiter, EvidenceLimiter))
    return Played(
        result.figures.outcomes.get("failed", 0),
        result.figures.sends_per_request - 1.0,
        statistics.median(found_times_ms) if found_times_ms else 0.0,
        good_ejected / max(1, samples),
        received / limiters / FAULT_FOR_S,
        wall_s,
        0 if result.good() else 1,
    )


def play_ceilings(shared: bool, seed: int) -> tuple[int, float, int]:
    """Simulate 60 limiters, of which 8 get the requests of each account, near its ceiling.

    Returns:
        How many requests were refused, how many units were over the ceiling, and whether an invariant was violated.
    """
    burst, rate = 30.0, 15.0
    raw: dict[str, Any] = {
        "name": "ceilings",
        "lasts_s": DURATION_S,
        "limiters": 60,
        "boxes": 24,
        "floors": 3,
        "plan": [
            {
                "name": "shop",
                "rate": 14.0,
                "burst": 28.0,
                "ceiling_rate": rate,
                "ceiling_burst": burst,
                "ceiling_slack": 4.0,
                "over_worth": 0.5,
                "over_cost": 0.1,
            }
        ],
        "service": [{"name": "lookup", "aim_ms": 300.0}],
        "stream": [
            {
                "name": "lookups",
                "plan": "shop",
                "deadline_ms": 1200.0,
                "spread": 8,
                "accounts": {"count": 6},
                "shape": [{"kind": "steady", "rate": 80.0}],
            }
        ],
        "settings": {"shared_ceilings": shared},
    }
    world = DecisionWorld(msgspec.convert(raw, Scenario), seed)
    result = world.play()
    worst = max(checker.worst for checker in world.bench.checkers if isinstance(checker, HardCeilings))
    return result.figures.outcomes.get("refused", 0), worst, 0 if result.good() else 1


def main() -> None:
    """Simulate all scenarios and print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--long", action="store_true", help="500 limiters as well")
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    sizes = [3, 30, 200, *([500] if options.long else [])]
    runs: dict[tuple[int, str, bool], list[Played]] = {}
    for limiters in sizes:
        for fault in ("", "silent", "errs"):
            for shared in (False, True):
                results = [play(limiters, fault, shared, seed) for seed in range(1, options.seeds + 1)]
                runs[limiters, fault, shared] = results
                print(
                    f"{limiters:4d} limiters, {fault or 'calm':6s} {'shared' if shared else 'alone ':6s}: "
                    f"failed {sum(p.failed for p in results)}, "
                    f"extra attempts {statistics.mean(p.extra_attempts for p in results):.4f}, "
                    f"found after {statistics.median(p.found_ms for p in results):.0f} ms, "
                    f"datagrams {statistics.mean(p.datagrams_per_s for p in results):.2f}/s",
                    flush=True,
                )

    ceiling_results = {
        shared: [play_ceilings(shared, seed) for seed in range(1, options.seeds + 1)] for shared in (False, True)
    }
    refused = {shared: sum(result[0] for result in ceiling_results[shared]) for shared in ceiling_results}
    print(f"ceilings: refused {refused[False]} with an even split, {refused[True]} with a split by demand", flush=True)

    def mean(limiters: int, fault: str, shared: bool, name: str) -> float:
        values: list[float] = [getattr(played, name) for played in runs[limiters, fault, shared]]
        return statistics.mean(values)

    alone_ms, found_ms = mean(200, "silent", False, "found_ms"), mean(200, "silent", True, "found_ms")
    print(
        json.dumps(
            {
                "histories": sum(map(len, runs.values())) + sum(map(len, ceiling_results.values())),
                "bound_broken": sum(played.broken for results in runs.values() for played in results)
                + sum(result[2] for results in ceiling_results.values() for result in results),
                "ceilings_refused_even": refused[False],
                "ceilings_refused_by_demand": refused[True],
                "worst_over_ceiling_units": round(max(result[1] for result in ceiling_results[True]), 2),
                "stated_bound_units": 4.0,
                "bad_box_found_ms_p50_alone": round(alone_ms),
                "bad_box_found_ms_p50_shared": round(found_ms),
                "found_ratio": round(found_ms / alone_ms, 3),
                "failed_200_alone": mean(200, "silent", False, "failed"),
                "failed_200_shared": mean(200, "silent", True, "failed"),
                "in_vain_200_alone": round(mean(200, "errs", False, "extra_attempts"), 4),
                "in_vain_200_shared": round(mean(200, "errs", True, "extra_attempts"), 4),
                "good_box_left_out_share": round(
                    max(
                        mean(limiters, fault, True, "good_ejected_fraction")
                        for limiters in sizes
                        for fault in ("", "silent", "errs")
                    ),
                    5,
                ),
                "words_per_limiter_s": {
                    limiters: round(mean(limiters, "silent", True, "datagrams_per_s"), 2) for limiters in sizes
                },
                "words_growth": round(
                    mean(sizes[-1], "silent", True, "datagrams_per_s") / mean(30, "silent", True, "datagrams_per_s"), 3
                ),
                "words_growth_at": sizes[-1],
                "words_calm": max(mean(limiters, "", True, "datagrams_per_s") for limiters in sizes),
                "cpu_ratio_on_off_calm": round(mean(200, "", True, "wall_s") / mean(200, "", False, "wall_s"), 3),
            }
        )
    )


if __name__ == "__main__":
    main()
