"""What limiters gain and pay by sharing health evidence and ceilings, in simulated time.

    python benchmarks/shared_state.py           # 3, 30 and 200 limiters
    python benchmarks/shared_state.py --long    # 500 as well

80 boxes, 800 requests a second over the fleet whatever its size; ten boxes fall silent, or err half the time, for 8 s.
The last line is one JSON object. `found` is the time from a box's fall to the step in which a limiter leaves it out,
the median over limiters and boxes, 8000 where it did not till the end; ratios are of runs with the same seed.
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
AT_S, FOR_S, LASTS_S = 6.0, 8.0, 20.0
LOOK_INTERVAL_MS = 50.0  # ms between looks at who ejects what


@dataclass
class Played:
    failed: int
    extra_attempts: float  # a request, above one
    found_ms: float
    good_ejected_fraction: float  # of limiters, good servers and looks
    datagrams_per_s: float  # of evidence, by limiter, while servers are bad
    wall_s: float
    broken: int


def scenario(limiters: int, what: str, shared: bool) -> Scenario:
    raw: dict[str, Any] = {
        "name": "shared-state",
        "lasts_s": LASTS_S,
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
    if what:
        raw["fault"] = [{"at_s": AT_S, "what": what, "target": f"box:0-{BAD_SERVERS - 1}", "for_s": FOR_S}]
    return msgspec.convert(raw, Scenario)


def play(limiters: int, what: str, shared: bool, seed: int) -> Played:
    world = DecisionWorld(scenario(limiters, what, shared), seed)
    bad = [f"s-{number:02d}" for number in range(BAD_SERVERS)] if what else []
    found: dict[tuple[int, str], float] = {}
    looks = ejected = 0

    def look() -> None:
        nonlocal looks, ejected
        now = world.at()
        for node in world.nodes:
            out = [server.entry.server_id for server in node.limiter.endpoints.outlier_detector.ejected]
            for name in out:
                if name in bad and now <= (AT_S + FOR_S) * 1000.0:
                    found.setdefault((node.number, name), now - AT_S * 1000.0)
            looks += SERVERS - len(bad)
            ejected += sum(name not in bad for name in out)
        world.schedule.after(LOOK_INTERVAL_MS, look)

    world.schedule.after(AT_S * 1000.0, look)
    began = time.perf_counter()
    result = world.play()
    wall = time.perf_counter() - began
    times = [found.get((number, name), FOR_S * 1000.0) for number in range(limiters) for name in bad]
    received = sum(node.limiter.received_datagrams for node in world.nodes if isinstance(node.limiter, EvidenceLimiter))
    return Played(
        result.figures.outcomes.get("failed", 0),
        result.figures.sends_per_request - 1.0,
        statistics.median(times) if times else 0.0,
        ejected / max(1, looks),
        received / limiters / FOR_S,
        wall,
        0 if result.good() else 1,
    )


def ceilings(shared: bool, seed: int) -> tuple[int, float, int]:
    """60 limiters, each customer asked at 8 of them near its ceiling: refused, units over the bound, broken."""
    burst, rate = 30.0, 15.0
    raw: dict[str, Any] = {
        "name": "ceilings",
        "lasts_s": LASTS_S,
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
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--long", action="store_true", help="500 limiters as well")
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    sizes = [3, 30, 200, *([500] if options.long else [])]
    runs: dict[tuple[int, str, bool], list[Played]] = {}
    for limiters in sizes:
        for what in ("", "silent", "errs"):
            for shared in (False, True):
                made = [play(limiters, what, shared, seed) for seed in range(1, options.seeds + 1)]
                runs[limiters, what, shared] = made
                print(
                    f"{limiters:4d} limiters, {what or 'calm':6s} {'shared' if shared else 'alone ':6s}: "
                    f"failed {sum(p.failed for p in made)}, "
                    f"in vain {statistics.mean(p.extra_attempts for p in made):.4f}, "
                    f"found after {statistics.median(p.found_ms for p in made):.0f} ms, "
                    f"words {statistics.mean(p.datagrams_per_s for p in made):.2f}/s",
                    flush=True,
                )

    split = {shared: [ceilings(shared, seed) for seed in range(1, options.seeds + 1)] for shared in (False, True)}
    refused = {shared: sum(each[0] for each in split[shared]) for shared in split}
    print(f"ceilings: refused {refused[False]} by even parts, {refused[True]} by demand", flush=True)

    def mean(limiters: int, what: str, shared: bool, name: str) -> float:
        values: list[float] = [getattr(played, name) for played in runs[limiters, what, shared]]
        return statistics.mean(values)

    alone, found = mean(200, "silent", False, "found_ms"), mean(200, "silent", True, "found_ms")
    print(
        json.dumps(
            {
                "histories": sum(map(len, runs.values())) + sum(map(len, split.values())),
                "bound_broken": sum(played.broken for made in runs.values() for played in made)
                + sum(each[2] for made in split.values() for each in made),
                "ceilings_refused_even": refused[False],
                "ceilings_refused_by_demand": refused[True],
                "worst_over_ceiling_units": round(max(each[1] for each in split[True]), 2),
                "stated_bound_units": 4.0,
                "bad_box_found_ms_p50_alone": round(alone),
                "bad_box_found_ms_p50_shared": round(found),
                "found_ratio": round(found / alone, 3),
                "failed_200_alone": mean(200, "silent", False, "failed"),
                "failed_200_shared": mean(200, "silent", True, "failed"),
                "in_vain_200_alone": round(mean(200, "errs", False, "extra_attempts"), 4),
                "in_vain_200_shared": round(mean(200, "errs", True, "extra_attempts"), 4),
                "good_box_left_out_share": round(
                    max(
                        mean(limiters, what, True, "good_ejected_fraction")
                        for limiters in sizes
                        for what in ("", "silent", "errs")
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
