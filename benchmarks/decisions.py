"""Measures the CPU cost and the routing quality of the decision code, for 8 to 1,000 servers.

Costs are ratios within one run, in which small and large cases take turns. Routing is simulated by
`elderlock.standins.tier`. `--weigh` compares cost rules; `--constants` runs with half and twice the value of each
constant; `--split` compares the same histories on two commits; `--program` adds the real program over a bare proxy,
which takes minutes and needs idle cores. The last line is one JSON object.
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
from dataclasses import dataclass
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

COMMIT_BEFORE_SPLIT, COMMIT_OF_SPLIT = "36057d7", "65c6b7d"  # the decision code in one class, and split into files
TIMING_ROUNDS = 5  # in each of which all cases are measured once


def entries(count: int, zones: int = 3) -> tuple[api.ServerEntry, ...]:
    """Return a list of running servers."""
    return tuple(
        api.ServerEntry(f"s-{n}", n % zones, n % 2, n // 4, ServerState.RUNNING, 1.0, 0.0) for n in range(count)
    )


def settings(limiters: int, routing: Routing) -> api.Settings:
    """Return the settings of the first of several limiters."""
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
    """A limiter that gets its events directly, so that only its own CPU time is measured."""

    def __init__(self, servers: int, limiters: int = 1, routing: Routing | None = None) -> None:
        self.limiter = Limiter(settings(limiters, routing or Routing()), 1, 0.0)
        self.now, self.number = 0.0, 0
        self.token = self._token(self.limiter.start(0.0))
        self.limiter.handle(api.ServerList(1, ListKind.COMPLETE, entries(servers)), 0.0)
        self.rng = random.Random(1)

    @staticmethod
    def _token(actions: list[api.Action], previous: int = 0) -> int:
        return next((action.token for action in actions if isinstance(action, api.SetTimer)), previous)

    def tick(self) -> None:
        """Let the maintenance timer fire."""
        self.now += 50.0
        self.token = self._token(self.limiter.handle(api.TimerFired(self.token), self.now + 300.0), self.token)

    def requests(self, count: int, accounts: int, in_flight: int = 12) -> float:
        """Return the CPU time of a request in µs: its arrival, its end and its share of maintenance.

        Args:
            count: How many requests are sent.
            accounts: How many accounts they are from.
            in_flight: How many requests are in flight at a time.
        """
        open_requests: list[tuple[str, str]] = []
        accounts_drawn = [f"{self.rng.randrange(accounts):016x}" for _ in range(count)]
        latencies_ms = [self.rng.uniform(20.0, 60.0) for _ in range(count)]
        handle, began_ns = self.limiter.handle, time.process_time_ns()
        for n in range(count):
            self.now += 1.0
            self.number += 1
            name = f"r{self.number}"
            arrived = api.RequestArrived(name, 0, 0, accounts_drawn[n], 1.0, self.now + 900.0, 1, 0)
            for action in handle(arrived, self.now):
                if type(action) is api.SendAttempt:
                    open_requests.append((name, action.server_id))
                elif type(action) is api.SetTimer:
                    self.token = action.token
            if len(open_requests) > in_flight:
                ended_request, server = open_requests.pop(0)
                self.token = self._token(
                    handle(api.AttemptEnded(ended_request, 0, server, Outcome.OK, latencies_ms[n], True), self.now),
                    self.token,
                )
            if n % 50 == 0:
                self.token = self._token(handle(api.TimerFired(self.token), self.now), self.token)
        spent_ns = time.process_time_ns() - began_ns
        for ended_request, server in open_requests:
            handle(api.AttemptEnded(ended_request, 0, server, Outcome.OK, 40.0, True), self.now)
        return spent_ns / count / 1000.0


def measure_costs() -> dict[str, float]:
    """Return the CPU times of a request by the number of servers and of accounts."""
    cases = {8: Driven(8), 200: Driven(200), 1000: Driven(1000)}
    many_accounts, few_accounts = Driven(8), Driven(8)
    times: dict[str, list[float]] = {}
    for driven in (*cases.values(), many_accounts, few_accounts):
        driven.requests(2000, 1000)
    for _ in range(TIMING_ROUNDS):
        for servers, driven in cases.items():
            times.setdefault(f"us_per_request_{servers}_boxes", []).append(driven.requests(4000, 1000))
        times.setdefault("100k", []).append(many_accounts.requests(20_000, 100_000))
        times.setdefault("100", []).append(few_accounts.requests(20_000, 100))
    figures = {name: statistics.median(values) for name, values in times.items()}
    figures["us_per_request_100k_accounts"] = round(figures.pop("100k") / figures.pop("100"), 3)
    figures["us_1000_over_8_boxes"] = figures["us_per_request_1000_boxes"] / figures["us_per_request_8_boxes"]
    return {**{name: round(us, 3) for name, us in figures.items()}, **measure_idle_ticks()}


def measure_idle_ticks() -> dict[str, float]:
    """Return the CPU time of a maintenance round with 100,000 idle accounts, whose buckets are empty, and with none."""
    full, empty = Driven(8), Driven(8)
    plan = api.Plan("slow", rate_per_s=0.001, burst_units=4.0)
    full.limiter = Limiter(api.Settings(**{**_fields(settings(1, Routing())), "plans": (plan,)}), 1, 0.0)
    full.token = full._token(full.limiter.start(0.0))
    full.limiter.handle(api.ServerList(1, ListKind.COMPLETE, entries(8)), 0.0)
    full.requests(100_000, 1 << 33)
    account_count = len(full.limiter.quotas.accounts)
    assert account_count > 50_000, account_count
    for driven in (full, empty):
        for _ in range(600):  # so that maintenance has visited each account once
            driven.tick()
    tick_us: dict[str, list[float]] = {"tick_us_idle_100k_accounts": [], "tick_us_no_accounts": []}
    for _ in range(TIMING_ROUNDS):
        for name, driven in zip(tick_us, (full, empty), strict=True):
            began_ns = time.process_time_ns()
            for _ in range(400):
                driven.tick()
            tick_us[name].append((time.process_time_ns() - began_ns) / 400 / 1000.0)
    return {name: round(statistics.median(values), 2) for name, values in tick_us.items()}


def _fields(instance: Any) -> dict[str, Any]:
    """Return the fields of a dataclass instance."""
    return {name: getattr(instance, name) for name in instance.__dataclass_fields__}


# Routing at size


def subset_figures(subset: int) -> dict[str, float]:
    """Return how subsets spread the load of 30 limiters over 1,000 servers, and how many connections a change moves.

    Nothing is simulated: the shares are read from the limiters' samplers.

    Args:
        subset: The size of a limiter's subset.
    """
    limiters, servers = 30, 1000

    def make_group(limiters: int) -> list[Limiter]:
        group = []
        for number in range(limiters):
            limiter_settings = api.Settings(**{**_fields(settings(limiters, Routing(subset))), "limiter_index": number})
            group.append(Limiter(limiter_settings, 1, 0.0))
            group[-1].handle(api.ServerList(1, ListKind.COMPLETE, listed), 0.0)
        return group

    def shares(group: list[Limiter]) -> list[dict[str, float]]:
        shares_of_limiters = []
        for limiter in group:
            limiter.endpoints.update_rates(0.0)
            sampler = limiter.endpoints.candidates.all
            weights = {server.entry.server_id: float(sampler.weight(server)) for server in sampler.members()}
            total = sum(weights.values())
            shares_of_limiters.append({name: weight / total for name, weight in weights.items()})
        return shares_of_limiters

    listed = entries(servers)
    group = make_group(limiters)
    before = shares(group)
    load = {entry.server_id: sum(share.get(entry.server_id, 0.0) for share in before) for entry in listed}
    pairs = {(n, name) for n, share in enumerate(before) for name in share}
    for limiter in group:
        limiter.handle(api.ServerList(2, ListKind.COMPLETE, listed[:-20]), 1.0)
    pairs_after_loss = {(n, name) for n, share in enumerate(shares(group)) for name in share}
    pairs_after_addition = {(n, name) for n, share in enumerate(shares(make_group(limiters + 1))) for name in share}
    lost = sum(name in {entry.server_id for entry in listed[-20:]} for _, name in pairs)
    min_moved = len(pairs_after_addition) / (limiters + 1)  # the connections that a new limiter has to take over
    return {
        "connections_1000_boxes_30_limiters": len(pairs),
        "connections_without_subsets": limiters * servers,
        "subset_load_max_over_mean": round(max(load.values()) / (limiters / servers), 3),
        "subset_size_min": min(map(len, before)),
        "subset_size_max": max(map(len, before)),
        "moved_on_20_boxes_lost_over_least": round(len(pairs ^ pairs_after_loss) / lost, 3),
        "moved_share_on_change": round(len(pairs ^ pairs_after_addition) / len(pairs), 4),
        "moved_share_least": round(2 * min_moved / len(pairs), 4),
    }


def summary(tier: Tier) -> dict[str, Any]:
    """Return the figures of a simulated tier."""
    total = sum(tier.sends.values())
    return {
        "served": round(tier.served(), 4),
        "p50": round(tier.quantile(0.5), 1),
        "p99": round(tier.quantile(0.99), 1),
        "away": round(tier.away / max(1, total), 3),
        "pairs": len(tier.pairs),
        "waste": round(total / max(1, sum(tier.outcomes.values())) - 1.0, 4),
    }


def play_slow_server(seed: int) -> dict[str, Any]:
    """One of a thousand servers becomes ten times slower."""
    tier = Tier(Size(limiters=10, boxes=1000, load=0.5), seed).play(2000.0)
    tier.boxes["s-500"].speed /= 10.0
    tier.play(2000.0)
    tier.count_anew()
    tier.play(3000.0)
    return {"share": tier.sends["s-500"] / sum(tier.sends.values()), **summary(tier)}


def play_zone_loss(seed: int) -> dict[str, Any]:
    """A third of the servers stops answering, without notice; later they are back, cold."""
    tier = Tier(Size(limiters=6, boxes=240, load=0.5), seed).play(3000.0)
    tier.count_anew()
    tier.play(3000.0)
    calm = summary(tier)
    lost = [server for server in tier.boxes.values() if server.zone == 0]
    for server in lost:
        server.silent = True
    tier.count_anew()
    tier.play(6000.0)
    during_loss = summary(tier)
    for server in lost:
        server.restart()
    tier.tell_all(lost)
    tier.count_anew()
    tier.play(6000.0)
    return {"calm": calm, "gone": during_loss, "back": summary(tier), "cold_excess": round(tier.cold_excess(), 3)}


def play_cross_zone(load: float) -> dict[str, Any]:
    """Return the share of requests that leave their zone at a load, without and with a cross-zone penalty."""
    figures = {"load": load}
    for penalty in (0.0, 0.1, 0.3):
        tier = Tier(Size(limiters=6, boxes=120, load=load, routing=Routing(cross_zone_penalty=penalty)), 3).play(2000.0)
        tier.count_anew()
        figures[f"away_{penalty}"] = summary(tier.play(3000.0))["away"]
    return figures


# Cost rules


class InFlightOnly(ServerSelector):
    """Prefers the server with the fewest attempts in flight."""

    def cost(self, server: Server, request: OpenRequest, tried: set[str], least: float = 0.0) -> float:
        return (1.0 + len(server.in_flight)) * (1.0 + 0.05 * self.context.rng.random())


class LatencyOnly(ServerSelector):
    """Prefers the server with the lowest latency."""

    def cost(self, server: Server, request: OpenRequest, tried: set[str], least: float = 0.0) -> float:
        return self.endpoints.health.latency_ratio(server) * (1.0 + 0.05 * self.context.rng.random())


class ReportedQueue(ServerSelector):
    """Adds the queue length that servers report, weighted by `part`, if the report is recent."""

    tier: Tier
    part, with_latency = 1.0, False

    def cost(self, server: Server, request: OpenRequest, tried: set[str], least: float = 0.0) -> float:
        reporting_server = self.tier.boxes.get(server.entry.server_id)
        at, queue = reporting_server.report if reporting_server is not None else (0.0, 0)
        is_fresh = self.context.now_ms - at < 2 * self.tier.size.report_every + self.tier.size.report_late
        waiting = 1.0 + len(server.in_flight) + self.part * queue * is_fresh
        if self.with_latency:
            waiting *= self.endpoints.health.latency_ratio(server)
        return waiting * (1.0 + 0.05 * self.context.rng.random())


class LatencyAndReportedQueue(ReportedQueue):
    """Multiplies that by the latency."""

    with_latency = True


class LatencyAndWeightedReportedQueue(LatencyAndReportedQueue):
    """The same with a lower weight of the reported queue."""

    part = 0.3


COST_RULES: dict[str, type[ServerSelector]] = {
    "latency x in flight": ServerSelector,
    "in flight": InFlightOnly,
    "latency": LatencyOnly,
    "in flight + reported queue": ReportedQueue,
    "latency x (in flight + reported)": LatencyAndReportedQueue,
    "latency x (in flight + 0.3 reported)": LatencyAndWeightedReportedQueue,
}
GROUPS = {
    "3 limiters, 30 boxes, load 0.7": Size(3, 30, load=0.7),
    "3, 30, 0.9": Size(3, 30, load=0.9),
    "30, 300, 0.8": Size(30, 300, load=0.8),
    "1, 200, 0.8": Size(1, 200, load=0.8),
}


def compare_cost_rule(case: tuple[str, str, int, bool]) -> dict[str, Any]:
    """Simulate a cost rule in a group; return its figures.

    Args:
        case: The names of the rule and the group, the sample size of the selection, and whether a tenth of the servers
            always reports an empty queue.
    """
    name, group, sample_count, lies = case
    server_selection.SAMPLE_COUNT, server_selection.FULL_SCAN_MAX_SERVERS = sample_count, max(sample_count, 2)
    tier = Tier(GROUPS[group], 5)
    for limiter in tier.limiters:
        selector = COST_RULES[name](limiter.context, limiter.endpoints)
        if isinstance(selector, ReportedQueue):
            selector.tier = tier
        limiter.attempts.server_selector = selector
    for server in list(tier.boxes.values())[::10]:
        server.lies = lies
    tier.play(2000.0)
    tier.count_anew()
    return {"way": name, "field": group, "drawn": sample_count, "lies": lies, **summary(tier.play(4000.0))}


# Constants


CONVERSION_FACTORS = ("MS_PER_SECOND", "WEIGHT_UNIT_MILLI")


def constants() -> list[tuple[str, str, float]]:
    """Return the module, the name and the value of each numeric constant of the decision code."""
    found = []
    for module in pkgutil.iter_modules(decisions.__path__, "elderlock.decisions."):
        for name, value in vars(importlib.import_module(module.name)).items():
            tree = ast.parse(Path(importlib.import_module(module.name).__file__ or "").read_text())
            assigned_names = {
                target.id
                for node in tree.body
                if isinstance(node, ast.Assign)
                for left_side in node.targets
                for target in (left_side.elts if isinstance(left_side, ast.Tuple) else [left_side])
                if isinstance(target, ast.Name)
            }
            if (
                name in assigned_names
                and name.isupper()
                and isinstance(value, int | float)
                and name not in CONVERSION_FACTORS
            ):
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
    """A third of the servers stops answering and one becomes slower; the third comes back, cold."""
    tier = Tier(size, seed).play(2500.0)
    servers = list(tier.boxes.values())
    for server in servers[::3]:
        server.silent = True
    servers[1].speed /= 8.0
    tier.play(3000.0)
    for server in servers[::3]:
        server.restart()
    tier.tell_all(servers[::3])
    return tier.play(4000.0)


def _unreachable(seed: int) -> Tier:
    """Half of the servers does not answer, and the server list does not say so."""
    tier = Tier(Size(3, 24, load=0.35), seed).play(2500.0)
    for server in list(tier.boxes.values())[::2]:
        server.silent = True
    return tier.play(6000.0)


def _with_errors(seed: int) -> Tier:
    """A third of the servers fails 60 % of its requests, and the queues of all servers are short."""
    tier = Tier(Size(3, 12, load=0.7, room=3, plans=(SHOP, FIRM), customers=400), seed)
    for server in list(tier.boxes.values())[::3]:
        server.errs = 0.6
    return tier.play(8000.0)


def _restarted(seed: int) -> Tier:
    """All servers restart at once, twice."""
    tier = Tier(Size(3, 12, load=0.5), seed).play(4000.0)
    for _ in range(2):
        for server in tier.boxes.values():
            server.restart()
        tier.tell_all()
        tier.play(3000.0)
    return tier


PLANS = (SHOP, FIRM, FEW)
DAYS: dict[str, Callable[[int], Tier]] = {  # the scenarios by which constants are compared
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
    """Return the runs of a scenario with different seeds."""
    return [lambda seed=seed: DAYS[day](seed) for seed in range(SEEDS)]  # type: ignore[misc]


def score(tier: Tier) -> float:
    """Return the score of a run: the share served in time, minus penalties for failures and for the p99 latency."""
    total = max(1, sum(tier.outcomes.values()))
    return tier.served() - 0.05 * tier.outcomes["failed"] / total - 0.3 * tier.quantile(0.99) / 3000.0


SEEDS = 3


def score_with_constant(case: tuple[str, str, float, str]) -> tuple[str, str, float, str, float, float]:
    """Run a scenario with another value of a constant; return the case, its mean score and the standard error.

    Args:
        case: The module, the name and the value of the constant, and the scenario; an empty module for no change.
    """
    module, name, value, day = case
    original = getattr(importlib.import_module(module), name) if module else None
    modules = [
        loaded
        for module_name, loaded in sys.modules.items()
        if module and module_name.startswith("elderlock.") and getattr(loaded, name, None) == original
    ]
    try:
        for loaded in modules:
            setattr(loaded, name, type(original)(value))
        scores = [score(play()) for play in days(day)]
    finally:
        for loaded in modules:
            setattr(loaded, name, original)
    return module, name, value, day, statistics.mean(scores), statistics.stdev(scores) / len(scores) ** 0.5


def compare_constants(pool: ProcessPoolExecutor) -> None:
    """Print by how much each constant at half and twice its value changes the score of each scenario."""
    unchanged = [("", "", 0.0, day) for day in DAYS]
    baseline = {day: (mean, error) for _, _, _, day, mean, error in pool.map(score_with_constant, unchanged)}
    print("unchanged", json.dumps({day: [round(x, 4) for x in values] for day, values in baseline.items()}), flush=True)
    cases = [
        (module, name, value * part, day) for module, name, value in constants() for part in (0.5, 2.0) for day in DAYS
    ]
    differences: dict[str, float] = {}
    for module, name, value, day, mean, _ in pool.map(score_with_constant, cases):
        differences[day] = round(mean - baseline[day][0], 4)
        if len(differences) == len(DAYS):
            text = " ".join(f"{day} {difference:+.4f}" for day, difference in differences.items() if difference)
            print(f"{module.rpartition('.')[2]:10} {name:24} {value:10.3f}  {text or 'no difference'}", flush=True)
            differences = {}


# The commit that split the decision code


HISTORY_PLAYER = """
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


def compare_split(events: int = 84_000, seeds: int = 12) -> dict[str, Any]:
    """Play the same histories on the commit before the split and on the one that made it; compare their digests."""
    with tempfile.TemporaryDirectory() as name:
        for commit in (COMMIT_BEFORE_SPLIT, COMMIT_OF_SPLIT):
            archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=True).stdout
            with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
                tar.extractall(Path(name) / commit, filter="data")
        histories = str(Path(name) / COMMIT_OF_SPLIT / "elderlock/standins/histories.py")
        runs = {
            (commit, part): subprocess.Popen(
                [
                    sys.executable,
                    "-P",
                    "-c",
                    HISTORY_PLAYER,
                    str(Path(name) / commit),
                    histories,
                    str(events),
                    json.dumps(list(range(part, seeds, 4))),
                ],
                stdout=subprocess.PIPE,
                cwd=name,
            )
            for commit in (COMMIT_BEFORE_SPLIT, COMMIT_OF_SPLIT)
            for part in range(4)
        }
        digests: dict[str, dict[str, str]] = {COMMIT_BEFORE_SPLIT: {}, COMMIT_OF_SPLIT: {}}
        for (commit, _), process in runs.items():
            digests[commit].update(json.loads(process.communicate()[0]))
    return {"digest_events": events * seeds, "digest_equal": digests[COMMIT_BEFORE_SPLIT] == digests[COMMIT_OF_SPLIT]}


def measure_sizes() -> dict[str, int]:
    """Return the size of the decision code."""
    files = list(Path(decisions.__path__[0]).glob("*.py"))
    classes = [node for file in files for node in ast.walk(ast.parse(file.read_text())) if type(node) is ast.ClassDef]
    return {
        "policy_lines": sum(bool(line.strip()) for file in files for line in file.read_text().splitlines()),
        "largest_class_lines": max((node.end_lineno or 0) - node.lineno + 1 for node in classes),
    }


def measure_program(rounds: int, seconds: float) -> dict[str, float]:
    """Return the CPU time of a request in the real limiter, by the number of servers."""
    import uvloop
    from limiter_cost import measure_case

    figures = {}
    for servers in (8, 100, 400):
        measured = uvloop.run(measure_case(900, 1000, servers, rounds, seconds, False))
        print(json.dumps(measured), flush=True)
        figures[f"limiter_cpu_ratio_{servers}"] = measured["ratio"]
        figures[f"limiter_us_{servers}"] = measured["limiter_us"]
    return figures


@dataclass(frozen=True, slots=True)
class Options:
    """What the command line asks for.

    Attributes:
        weigh: Compare cost rules and sample sizes.
        constants: Run with each constant at half and twice its value.
        split: Play histories on the commits before and after the split.
        program: Measure the real program over a bare proxy.
        rounds: Rounds of the measurements of the real program.
        seconds: Duration of each of them.
        subset: Number of servers in a subset.
    """

    weigh: bool
    constants: bool
    split: bool
    program: bool
    rounds: int
    seconds: float
    subset: int


def parse_options(arguments: list[str]) -> Options:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--weigh", action="store_true", help="compare cost rules and sample sizes")
    parser.add_argument("--constants", action="store_true", help="each constant at half and twice its value")
    parser.add_argument(
        "--split", action="store_true", help="a million events on the commits before and after the split"
    )
    parser.add_argument("--program", action="store_true", help="the real program over a bare proxy")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--subset", type=int, default=100)
    return Options(**vars(parser.parse_args(arguments)))


def main() -> None:
    """Run the measurements that the command line asks for, and print the figures as JSON."""
    options = parse_options(sys.argv[1:])
    figures: dict[str, Any] = {**measure_sizes(), **measure_costs()}
    print(json.dumps(figures), flush=True)
    with ProcessPoolExecutor(6) as pool:
        if options.constants:
            compare_constants(pool)
        if options.weigh:
            rules = [(name, group, 8, False) for group in GROUPS for name in COST_RULES]
            sample_counts = [
                (next(iter(COST_RULES)), group, count, False) for group in GROUPS for count in (2, 4, 16, 60)
            ]
            lies = [(name, "3, 30, 0.9", 8, True) for name in COST_RULES]
            for compared in pool.map(compare_cost_rule, rules + sample_counts + lies):
                print(json.dumps(compared), flush=True)
        for figures_of_load in pool.map(play_cross_zone, (0.3, 0.5, 0.7, 0.8, 0.9, 1.0)):
            print(json.dumps(figures_of_load), flush=True)
        slow_servers, zones = list(pool.map(play_slow_server, (1, 2))), list(pool.map(play_zone_loss, (1, 2, 3)))
    print(json.dumps({"gray": slow_servers, "zones": zones}), flush=True)
    figures.update(subset_figures(options.subset))
    figures["gray_box_share_of_sends"] = max(round(run["share"], 6) for run in slow_servers)
    figures["served_share_zone_loss"] = min(run["gone"]["served"] for run in zones)
    figures["p99_ratio"] = max(round(run["gone"]["p99"] / run["calm"]["p99"], 2) for run in zones)
    figures["served_share_zone_back"] = min(run["back"]["served"] for run in zones)
    figures["cold_excess"] = max(run["cold_excess"] for run in zones)
    if options.split:
        figures.update(compare_split())
    if options.program:
        figures.update(measure_program(options.rounds, options.seconds))
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
