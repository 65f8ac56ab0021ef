"""What the decisions cost and how well they route, at sizes from 8 boxes to 1,000: the last line is one JSON object.

Costs are ratios within one run, small and large cases in turn. Routing is played in `elderlock.standins.tier`.
`--weigh` compares cost rules; `--constants` plays each constant at half and twice its value; `--split` plays the
histories on two commits; `--program` adds the real program over a bare proxy (minutes, and it wants its cores).
"""

from __future__ import annotations

import argparse
import ast
import importlib
import io
import json
import pkgutil
import random
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from elderlock import decisions
from elderlock import interface as api
from elderlock.decisions import server_selection
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.server_selection import ServerSelector
from elderlock.interface import ListKind, Outcome, Routing, ServerState
from elderlock.standins.tier import Size, Tier
from elderlock.standins.world import ROOT
from elderlock.state import OpenRequest, Server

BEFORE, SPLIT = "36057d7", "65c6b7d"  # the decisions in one class, and split into files
TRIES = 5  # of each timing, in turn


def entries(count: int, zones: int = 3) -> tuple[api.ServerEntry, ...]:
    return tuple(
        api.ServerEntry(f"s-{n}", n % zones, n % 2, n // 4, ServerState.RUNNING, 1.0, 0.0) for n in range(count)
    )


def settings(limiters: int, routing: Routing) -> api.Settings:
    return api.Settings(
        limiter_index=0,
        limiter_count=limiters,
        clock_tick_ms=1.0,
        zone=0,
        request_classes=(api.RequestClass("lookup", 300.0),),
        plans=(api.Plan("plain", rate_per_s=1e6, burst_units=1e6),),
        rules=api.ServiceRules(0.3, 10_000.0, 2.0, 1000.0),
        capabilities=api.Capabilities(max_attempts=4),
        routing=routing,
    )


class Driven:
    """A limiter fed by hand, without a world, so that only its own time counts."""

    def __init__(self, boxes: int, limiters: int = 1, routing: Routing | None = None) -> None:
        self.limiter = Limiter(settings(limiters, routing or Routing()), 1, 0.0)
        self.now, self.number = 0.0, 0
        self.token = self._token(self.limiter.start(0.0))
        self.limiter.handle(api.ServerList(1, ListKind.COMPLETE, entries(boxes)), 0.0)
        self.rng = random.Random(1)

    @staticmethod
    def _token(actions: list[api.Action], before: int = 0) -> int:
        return next((a.token for a in actions if isinstance(a, api.SetTimer)), before)

    def tick(self) -> None:
        self.now += 50.0
        self.token = self._token(self.limiter.handle(api.TimerFired(self.token), self.now + 300.0), self.token)

    def requests(self, count: int, accounts: int, out: int = 12) -> float:
        """µs of CPU a request: its arrival, its end and its part of upkeep, with `out` others under way."""
        waiting: list[tuple[str, str]] = []
        names = [f"{self.rng.randrange(accounts):016x}" for _ in range(count)]
        took = [self.rng.uniform(20.0, 60.0) for _ in range(count)]
        handle, begun = self.limiter.handle, time.process_time_ns()
        for n in range(count):
            self.now += 1.0
            self.number += 1
            name = f"r{self.number}"
            arrived = api.RequestArrived(name, 0, 0, names[n], 1.0, self.now + 900.0, 1, 0)
            for action in handle(arrived, self.now):
                if type(action) is api.SendAttempt:
                    waiting.append((name, action.server_id))
                elif type(action) is api.SetTimer:
                    self.token = action.token
            if len(waiting) > out:
                over, server = waiting.pop(0)
                self.token = self._token(
                    handle(api.AttemptEnded(over, 0, server, Outcome.OK, took[n], True), self.now), self.token
                )
            if n % 50 == 0:
                self.token = self._token(handle(api.TimerFired(self.token), self.now), self.token)
        spent = time.process_time_ns() - begun
        for over, server in waiting:
            handle(api.AttemptEnded(over, 0, server, Outcome.OK, 40.0, True), self.now)
        return spent / count / 1000.0


def costs() -> dict[str, float]:
    cases = {8: Driven(8), 200: Driven(200), 1000: Driven(1000)}
    many, few = Driven(8), Driven(8)
    times: dict[str, list[float]] = {}
    for driven in (*cases.values(), many, few):
        driven.requests(2000, 1000)
    for _ in range(TRIES):
        for boxes, driven in cases.items():
            times.setdefault(f"us_per_request_{boxes}_boxes", []).append(driven.requests(4000, 1000))
        times.setdefault("100k", []).append(many.requests(20_000, 100_000))
        times.setdefault("100", []).append(few.requests(20_000, 100))
    figures = {name: statistics.median(found) for name, found in times.items()}
    figures["us_per_request_100k_accounts"] = round(figures.pop("100k") / figures.pop("100"), 3)
    figures["us_1000_over_8_boxes"] = figures["us_per_request_1000_boxes"] / figures["us_per_request_8_boxes"]
    return {**{name: round(us, 3) for name, us in figures.items()}, **idle_ticks()}


def idle_ticks() -> dict[str, float]:
    """A round of upkeep with 100,000 accounts that rest with empty stores, over one with none."""
    full, empty = Driven(8), Driven(8)
    plan = api.Plan("slow", rate_per_s=0.001, burst_units=4.0)
    full.limiter = Limiter(api.Settings(**{**_fields(settings(1, Routing())), "plans": (plan,)}), 1, 0.0)
    full.token = full._token(full.limiter.start(0.0))
    full.limiter.handle(api.ServerList(1, ListKind.COMPLETE, entries(8)), 0.0)
    full.requests(100_000, 1 << 33)
    kept = len(full.limiter.quotas.accounts)
    assert kept > 50_000, kept
    for driven in (full, empty):
        for _ in range(600):  # all have been looked at once
            driven.tick()
    spent: dict[str, list[float]] = {"tick_us_idle_100k_accounts": [], "tick_us_no_accounts": []}
    for _ in range(TRIES):
        for name, driven in zip(spent, (full, empty), strict=True):
            begun = time.process_time_ns()
            for _ in range(400):
                driven.tick()
            spent[name].append((time.process_time_ns() - begun) / 400 / 1000.0)
    return {name: round(statistics.median(found), 2) for name, found in spent.items()}


def _fields(made: Any) -> dict[str, Any]:
    return {name: getattr(made, name) for name in made.__dataclass_fields__}


# Routing at size


def subset_figures(subset: int) -> dict[str, float]:
    """Without a world: what each of 30 limiters would send to each of 1,000 boxes, and what a change moves."""
    limiters, boxes = 30, 1000

    def group(limiters: int) -> list[Limiter]:
        made = []
        for number in range(limiters):
            one = api.Settings(**{**_fields(settings(limiters, Routing(subset))), "limiter_index": number})
            made.append(Limiter(one, 1, 0.0))
            made[-1].handle(api.ServerList(1, ListKind.COMPLETE, listed), 0.0)
        return made

    def shares(group: list[Limiter]) -> list[dict[str, float]]:
        made = []
        for limiter in group:
            limiter.endpoints.update_rates(0.0)
            drawing = limiter.endpoints.candidates.all
            held = {server.entry.server_id: float(drawing.weight(server)) for server in drawing.members()}
            whole = sum(held.values())
            made.append({name: weight / whole for name, weight in held.items()})
        return made

    listed = entries(boxes)
    first = group(limiters)
    before = shares(first)
    load = {entry.server_id: sum(share.get(entry.server_id, 0.0) for share in before) for entry in listed}
    pairs = {(n, name) for n, share in enumerate(before) for name in share}
    for limiter in first:
        limiter.handle(api.ServerList(2, ListKind.COMPLETE, listed[:-20]), 1.0)
    fewer = {(n, name) for n, share in enumerate(shares(first)) for name in share}
    more = {(n, name) for n, share in enumerate(shares(group(limiters + 1))) for name in share}
    lost = sum(name in {entry.server_id for entry in listed[-20:]} for _, name in pairs)
    least = len(more) / (limiters + 1)  # what the new one must hold, taken over from others
    return {
        "connections_1000_boxes_30_limiters": len(pairs),
        "connections_without_subsets": limiters * boxes,
        "subset_load_max_over_mean": round(max(load.values()) / (limiters / boxes), 3),
        "subset_size_min": min(map(len, before)),
        "subset_size_max": max(map(len, before)),
        "moved_on_20_boxes_lost_over_least": round(len(pairs ^ fewer) / lost, 3),
        "moved_share_on_change": round(len(pairs ^ more) / len(pairs), 4),
        "moved_share_least": round(2 * least / len(pairs), 4),
    }


def summary(tier: Tier) -> dict[str, Any]:
    total = sum(tier.sends.values())
    return {
        "served": round(tier.served(), 4),
        "p50": round(tier.quantile(0.5), 1),
        "p99": round(tier.quantile(0.99), 1),
        "away": round(tier.away / max(1, total), 3),
        "pairs": len(tier.pairs),
        "waste": round(total / max(1, sum(tier.outcomes.values())) - 1.0, 4),
    }


def gray(seed: int) -> dict[str, Any]:
    """One of a thousand boxes turns ten times slower."""
    tier = Tier(Size(limiters=10, boxes=1000, load=0.5), seed).play(2000.0)
    tier.boxes["s-500"].speed /= 10.0
    tier.play(2000.0)
    tier.count_anew()
    tier.play(3000.0)
    return {"share": tier.sends["s-500"] / sum(tier.sends.values()), **summary(tier)}


def zone_loss(seed: int) -> dict[str, Any]:
    """A third of the boxes vanishes without a word; later all of it is back, cold."""
    tier = Tier(Size(limiters=6, boxes=240, load=0.5), seed).play(3000.0)
    tier.count_anew()
    tier.play(3000.0)
    calm = summary(tier)
    lost = [box for box in tier.boxes.values() if box.zone == 0]
    for box in lost:
        box.silent = True
    tier.count_anew()
    tier.play(6000.0)
    gone = summary(tier)
    for box in lost:
        box.restart()
    tier.tell_all(lost)
    tier.count_anew()
    tier.play(6000.0)
    return {"calm": calm, "gone": gone, "back": summary(tier), "cold_excess": round(tier.cold_excess(), 3)}


def spill(load: float) -> dict[str, Any]:
    """What leaves home at a load, with zones alike and with a price on leaving."""
    found = {"load": load}
    for away in (0.0, 0.1, 0.3):
        tier = Tier(Size(limiters=6, boxes=120, load=load, routing=Routing(cross_zone_penalty=away)), 3).play(2000.0)
        tier.count_anew()
        found[f"away_{away}"] = summary(tier.play(3000.0))["away"]
    return found


# Costs to compare


class ByInFlight(ServerSelector):
    """The least attempts in flight alone."""

    def cost(self, server: Server, request: OpenRequest, tried: set[str], least: float = 0.0) -> float:
        return (1.0 + len(server.in_flight)) * (1.0 + 0.05 * self.context.rng.random())


class ByLatency(ServerSelector):
    """The least latency alone."""

    def cost(self, server: Server, request: OpenRequest, tried: set[str], least: float = 0.0) -> float:
        return self.endpoints.health.latency_ratio(server) * (1.0 + 0.05 * self.context.rng.random())


class Reports(ServerSelector):
    """With the queue length that servers report, as old as reports are; `part` of it is added."""

    tier: Tier
    part, latency = 1.0, False

    def cost(self, server: Server, request: OpenRequest, tried: set[str], least: float = 0.0) -> float:
        box = self.tier.boxes.get(server.entry.server_id)
        at, queue = box.report if box is not None else (0.0, 0)
        fresh = self.context.now_ms - at < 2 * self.tier.size.report_every + self.tier.size.report_late
        waiting = 1.0 + len(server.in_flight) + self.part * queue * fresh
        if self.latency:
            waiting *= self.endpoints.health.latency_ratio(server)
        return waiting * (1.0 + 0.05 * self.context.rng.random())


class Mixed(Reports):
    latency = True


class MixedLess(Mixed):
    part = 0.3


COST_RULES: dict[str, type[ServerSelector]] = {
    "latency x in flight": ServerSelector,
    "in flight": ByInFlight,
    "latency": ByLatency,
    "in flight + reported queue": Reports,
    "latency x (in flight + reported)": Mixed,
    "latency x (in flight + 0.3 reported)": MixedLess,
}
FIELDS = {
    "3 limiters, 30 boxes, load 0.7": Size(3, 30, load=0.7),
    "3, 30, 0.9": Size(3, 30, load=0.9),
    "30, 300, 0.8": Size(30, 300, load=0.8),
    "1, 200, 0.8": Size(1, 200, load=0.8),
}


def compare_cost_rule(named: tuple[str, str, int, bool]) -> dict[str, Any]:
    """Play a cost rule with a sample size in a field; with `lies` a tenth of the servers always reports 0."""
    name, where, drawn, lies = named
    server_selection.SAMPLE_COUNT, server_selection.FULL_SCAN_MAX_SERVERS = drawn, max(drawn, 2)
    tier = Tier(FIELDS[where], 5)
    for limiter in tier.limiters:
        made = COST_RULES[name](limiter.context, limiter.endpoints)
        if isinstance(made, Reports):
            made.tier = tier
        limiter.attempts.server_selector = made
    for box in list(tier.boxes.values())[::10]:
        box.lies = lies
    tier.play(2000.0)
    tier.count_anew()
    return {"way": name, "field": where, "drawn": drawn, "lies": lies, **summary(tier.play(4000.0))}


# Constants


UNITS = ("MS_PER_SECOND", "WEIGHT_UNIT_MILLI")


def constants() -> list[tuple[str, str, float]]:
    """Each number that a file of the decisions sets, with its file."""
    found = []
    for module in pkgutil.iter_modules(decisions.__path__, "elderlock.decisions."):
        for name, value in vars(importlib.import_module(module.name)).items():
            tree = ast.parse(Path(importlib.import_module(module.name).__file__ or "").read_text())
            own = {
                target.id
                for node in tree.body
                if isinstance(node, ast.Assign)
                for at in node.targets
                for target in (at.elts if isinstance(at, ast.Tuple) else [at])
                if isinstance(target, ast.Name)
            }
            if name in own and name.isupper() and isinstance(value, int | float) and name not in UNITS:
                found.append((module.name, name, float(value)))
    return found


SHOP = api.Plan("shop", price_weight=0.8, rate_per_s=2.0, burst_units=6.0, over_quota_value=0.2)
FIRM = api.Plan(
    "enterprise",
    price_weight=1.8,
    rate_per_s=3.0,
    burst_units=8.0,
    ceiling_rate_per_s=6.0,
    ceiling_burst_units=16.0,
    ceiling_slack_units=2.0,
)
FEW = api.Plan("few", rate_per_s=2.0, burst_units=5.0, concurrency_limit=3, over_quota_cost=0.5)


def _with_faults(size: Size, seed: int) -> Tier:
    tier = Tier(size, seed).play(2500.0)
    boxes = list(tier.boxes.values())
    for box in boxes[::3]:
        box.silent = True
    boxes[1].speed /= 8.0
    tier.play(3000.0)
    for box in boxes[::3]:
        box.restart()
    tier.tell_all(boxes[::3])
    return tier.play(4000.0)


def _unreachable(seed: int) -> Tier:
    """Half of the boxes is gone, and the list does not say so."""
    tier = Tier(Size(3, 24, load=0.35), seed).play(2500.0)
    for box in list(tier.boxes.values())[::2]:
        box.silent = True
    return tier.play(6000.0)


def _with_errors(seed: int) -> Tier:
    """Errors, and waiting rooms that are soon full."""
    tier = Tier(Size(3, 12, load=0.7, room=3, plans=(SHOP, FIRM), customers=400), seed)
    for box in list(tier.boxes.values())[::3]:
        box.errs = 0.6
    return tier.play(8000.0)


def _restarted(seed: int) -> Tier:
    """Every box is new at once, twice."""
    tier = Tier(Size(3, 12, load=0.5), seed).play(4000.0)
    for _ in range(2):
        for box in tier.boxes.values():
            box.restart()
        tier.tell_all()
        tier.play(3000.0)
    return tier


PLANS = (SHOP, FIRM, FEW)
DAYS: dict[str, Callable[[int], Tier]] = {  # the other days of the constants
    "calm": lambda seed: Tier(Size(3, 12, load=0.6), seed).play(6000.0),
    "overload": lambda seed: Tier(Size(3, 12, load=1.6), seed).play(9000.0),
    "quota": lambda seed: Tier(Size(3, 24, load=0.6, plans=PLANS, peers=True, customers=60), seed).play(9000.0),
    "faults": lambda seed: _with_faults(Size(3, 24, load=0.5), seed),
    "large": lambda seed: _with_faults(Size(8, 64, load=0.6, routing=Routing(subset_size=24)), seed),
    "unreachable": _unreachable,
    "errors": _with_errors,
    "restart": _restarted,
    "few": lambda seed: Tier(Size(3, 3, load=0.9, work=150.0), seed).play(15_000.0),
    "pressed": lambda seed: _with_faults(Size(3, 12, load=0.9, plans=PLANS, peers=True, customers=200), seed),
}


def days(day: str) -> list[Callable[[], Tier]]:
    """The scenarios for the constants: calm, more load than the servers carry, quotas, faults."""
    return [lambda seed=seed: DAYS[day](seed) for seed in range(SEEDS)]  # type: ignore[misc]


def figure_of(tier: Tier) -> float:
    """What the days are compared by: the share served in time, less what was lost without a word."""
    total = max(1, sum(tier.outcomes.values()))
    return tier.served() - 0.05 * tier.outcomes["failed"] / total - 0.3 * tier.quantile(0.99) / 3000.0


SEEDS = 3


def varied(which: tuple[str, str, float, str]) -> tuple[str, str, float, str, float, float]:
    """The mean figure of a day over some seeds, and how far these lie apart, with one constant set otherwise."""
    module, name, value, day = which
    before = getattr(importlib.import_module(module), name) if module else None
    places = [
        found
        for title, found in sys.modules.items()
        if module and title.startswith("elderlock.") and getattr(found, name, None) == before
    ]
    try:
        for place in places:
            setattr(place, name, type(before)(value))
        found = [figure_of(play()) for play in days(day)]
    finally:
        for place in places:
            setattr(place, name, before)
    return module, name, value, day, statistics.mean(found), statistics.stdev(found) / len(found) ** 0.5


def vary(pool: ProcessPoolExecutor) -> None:
    as_is = {day: (mean, error) for _, _, _, day, mean, error in pool.map(varied, [("", "", 0.0, d) for d in DAYS])}
    print("as they are", json.dumps({day: [round(x, 4) for x in found] for day, found in as_is.items()}), flush=True)
    cases = [
        (module, name, value * part, day) for module, name, value in constants() for part in (0.5, 2.0) for day in DAYS
    ]
    row: dict[str, float] = {}
    for module, name, value, day, mean, _ in pool.map(varied, cases):
        row[day] = round(mean - as_is[day][0], 4)
        if len(row) == len(DAYS):
            told = " ".join(f"{day} {moved:+.4f}" for day, moved in row.items() if moved)
            print(f"{module.rpartition('.')[2]:10} {name:24} {value:10.3f}  {told or 'no difference'}", flush=True)
            row = {}


# The split


PLAYED = """
import importlib.util, json, sys
root, file, events, seeds = sys.argv[1], sys.argv[2], int(sys.argv[3]), json.loads(sys.argv[4])
sys.path.insert(0, root)
spec = importlib.util.spec_from_file_location("elderlock.standins.played", file)
played = importlib.util.module_from_spec(spec)
sys.modules[spec.name] = played
spec.loader.exec_module(played)
try:
    from elderlock.decisions.limiter import Limiter
except ModuleNotFoundError:
    from elderlock.limiter import Limiter
print(json.dumps(dict(played.digests(Limiter, events, iter(seeds)))))
"""


def split(events: int = 84_000, seeds: int = 12) -> dict[str, Any]:
    """The same histories on the commit before the split and on the one that made it."""
    with tempfile.TemporaryDirectory() as name:
        for commit in (BEFORE, SPLIT):
            packed = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=True).stdout
            with tarfile.open(fileobj=io.BytesIO(packed)) as tar:
                tar.extractall(Path(name) / commit, filter="data")
        histories = str(Path(name) / SPLIT / "elderlock/standins/histories.py")
        runs = {
            (commit, part): subprocess.Popen(
                [
                    sys.executable,
                    "-P",
                    "-c",
                    PLAYED,
                    str(Path(name) / commit),
                    histories,
                    str(events),
                    json.dumps(list(range(part, seeds, 4))),
                ],
                stdout=subprocess.PIPE,
                cwd=name,
            )
            for commit in (BEFORE, SPLIT)
            for part in range(4)
        }
        found: dict[str, dict[str, str]] = {BEFORE: {}, SPLIT: {}}
        for (commit, _), process in runs.items():
            found[commit].update(json.loads(process.communicate()[0]))
    return {"digest_events": events * seeds, "digest_equal": found[BEFORE] == found[SPLIT]}


def sizes() -> dict[str, int]:
    files = list(Path(decisions.__path__[0]).glob("*.py"))
    classes = [node for file in files for node in ast.walk(ast.parse(file.read_text())) if type(node) is ast.ClassDef]
    return {
        "policy_lines": sum(bool(line.strip()) for file in files for line in file.read_text().splitlines()),
        "largest_class_lines": max((node.end_lineno or 0) - node.lineno + 1 for node in classes),
    }


def program(rounds: int, seconds: float) -> dict[str, float]:
    import uvloop
    from limiter_cost import case

    figures = {}
    for boxes in (8, 100, 400):
        made = uvloop.run(case(900, 1000, boxes, rounds, seconds, False))
        print(json.dumps(made), flush=True)
        figures[f"limiter_cpu_ratio_{boxes}"] = made["ratio"]
        figures[f"limiter_us_{boxes}"] = made["limiter_us"]
    return figures


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--weigh", action="store_true", help="cost rules and sample sizes")
    parser.add_argument("--constants", action="store_true", help="each constant at half and twice its value")
    parser.add_argument("--split", action="store_true", help="a million events on the commits round the split")
    parser.add_argument("--program", action="store_true", help="the real program over a bare proxy")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--subset", type=int, default=100)
    options = parser.parse_args()
    figures: dict[str, Any] = {**sizes(), **costs()}
    print(json.dumps(figures), flush=True)
    with ProcessPoolExecutor(6) as pool:
        if options.constants:
            vary(pool)
        if options.weigh:
            fields = [(name, where, 8, False) for where in FIELDS for name in COST_RULES]
            drawn = [(next(iter(COST_RULES)), where, count, False) for where in FIELDS for count in (2, 4, 16, 60)]
            lies = [(name, "3, 30, 0.9", 8, True) for name in COST_RULES]
            for made in pool.map(compare_cost_rule, fields + drawn + lies):
                print(json.dumps(made), flush=True)
        for spilled in pool.map(spill, (0.3, 0.5, 0.7, 0.8, 0.9, 1.0)):
            print(json.dumps(spilled), flush=True)
        grays, zones = list(pool.map(gray, (1, 2))), list(pool.map(zone_loss, (1, 2, 3)))
    print(json.dumps({"gray": grays, "zones": zones}), flush=True)
    figures.update(subset_figures(options.subset))
    figures["gray_box_share_of_sends"] = max(round(found["share"], 6) for found in grays)
    figures["served_share_zone_loss"] = min(found["gone"]["served"] for found in zones)
    figures["p99_ratio"] = max(round(found["gone"]["p99"] / found["calm"]["p99"], 2) for found in zones)
    figures["served_share_zone_back"] = min(found["back"]["served"] for found in zones)
    figures["cold_excess"] = max(found["cold_excess"] for found in zones)
    if options.split:
        figures.update(split())
    if options.program:
        figures.update(program(options.rounds, options.seconds))
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
