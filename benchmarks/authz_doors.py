"""Measures external authorization: the ceiling over gRPC and RESP2, the CPU cost of a check, and checks after a kill.

It runs real limiters with real `grpc.aio` and RESP2 clients under open-loop load. The last line is one JSON object:

    python benchmarks/authz_doors.py [--seconds 6]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import grpc
from envoy.service.auth.v3 import external_auth_pb2 as auth
from envoy.service.auth.v3 import external_auth_pb2_grpc as auth_grpc

from elderlock.authz.routing_server import RoutingServer
from elderlock.spawning import spawn
from elderlock.standins.clients import Client
from elderlock.standins.front import Front
from elderlock.standins.gateways import GatewayClient
from elderlock.standins.programs import ACCOUNT, ENTERPRISE, Program, programs, terms_of
from elderlock.standins.settings import terms
from elderlock.standins.waiting import run, unix_ms
from elderlock.standins.world import ROOT

UNITS = 4.0
TIMEOUT_S = 2.0  # of a check
LARGE_PLAN = {"name": "enterprise", "price": 1.8, "quota-rate": 1e5, "burst": 1e5}
SHOP_PLAN = {"name": "shop", "price": 0.8, "quota-rate": 1e5, "burst": 1e5}


async def open_loop(rate: float, seconds: float, rng: random.Random, one: Callable[[int], Awaitable[None]]) -> int:
    """Start `one` at Poisson times, independent of the answers; return how many were started, once all have ended."""
    loop = asyncio.get_running_loop()
    at, ends = loop.time(), loop.time() + seconds
    tasks: list[asyncio.Future[None]] = []
    while (at := at + rng.expovariate(rate)) < ends:
        if (wait := at - loop.time()) > 0:
            await asyncio.sleep(wait)
        tasks.append(asyncio.ensure_future(one(len(tasks))))
    await asyncio.gather(*tasks)
    return len(tasks)


def units_over_slack(times: list[float], plan: dict[str, Any]) -> float:
    """Return how many units more than the ceiling and its slack were sent.

    The ceiling is a bucket that all limiters share. The slack is wider by what the rate gives in 150 ms, because of the
    delays of real sockets.
    """
    bucket, at, lowest = float(plan["never-over-depth"]), min(times, default=0.0), 0.0
    for now in sorted(times):
        bucket = min(plan["never-over-depth"], bucket + plan["hard-rate"] * (now - at) / 1000.0) - UNITS
        at, lowest = now, min(lowest, bucket)
    return max(0.0, -lowest - float(plan["hard-slack"]) - 0.15 * float(plan["hard-rate"]))


async def measure_ceiling(folder: Path, seconds: float) -> dict[str, Any]:
    """Return how far three limiters exceed one ceiling under checks and reads, and the latencies of both."""
    rng = random.Random(5)
    async with programs(folder, count=3, boxes=6, plans=[ENTERPRISE]) as limiters:
        gateways = [program.asking() for program in limiters]
        permitted_at: list[float] = []
        answer_counts: Counter[str] = Counter()
        check_ms: list[float] = []
        read_ms: list[float] = []
        late_count = 0

        async def check(n: int) -> None:
            nonlocal late_count
            began_s, gateway = time.perf_counter(), gateways[n % 3]
            status = await gateway.check_status(f"g{n}", timeout=TIMEOUT_S, **terms_of(0, 3, units=4))
            took_ms = (time.perf_counter() - began_s) * 1000.0
            answer_counts[f"g{n}"] += 1
            check_ms.append(took_ms)
            late_count += took_ms > TIMEOUT_S * 1000.0
            if status == 200:
                permitted_at.append(unix_ms())
                await gateway.report(f"g{n}", account=ACCOUNT)

        connections = [[await program.client() for _ in range(8)] for program in limiters]
        idle_clients: list[list[Client]] = [list(clients) for clients in connections]

        async def read(n: int) -> None:
            nonlocal late_count
            began_s, pool = time.perf_counter(), idle_clients[n % 3]
            client = pool.pop() if pool else await limiters[n % 3].client()
            client.send("API.READ", ACCOUNT, f"r{n}", terms(t="enterprise", units=4, spread=3, first=0))
            if await client.answer() is not None:
                answer_counts[f"r{n}"] += 1
            took_ms = (time.perf_counter() - began_s) * 1000.0
            read_ms.append(took_ms)
            late_count += took_ms > 3000.0
            pool.append(client)

        await asyncio.gather(open_loop(150.0, seconds, rng, check), open_loop(150.0, seconds, random.Random(6), read))
        first_sent_at: dict[bytes, float] = {}
        for server in limiters[0].world.boxes.values():
            for sent in server.sent:
                first_sent_at[sent.request] = min(sent.at, first_sent_at.get(sent.request, sent.at))
        sent_at = [*permitted_at, *first_sent_at.values()]
        duration_s = (max(sent_at) - min(sent_at)) / 1000.0
        for gateway in gateways:
            await gateway.channel.close()
        return {
            "ceiling_units": round(ENTERPRISE["never-over-depth"] + ENTERPRISE["hard-rate"] * duration_s, 1),
            "slack_units": ENTERPRISE["hard-slack"],
            "sent_units_both_doors": UNITS * len(sent_at),
            "permitted": len(permitted_at),
            "read": len(first_sent_at),
            "over_slack_units": round(units_over_slack(sent_at, ENTERPRISE), 2),
            "questions": len(check_ms) + len(read_ms),
            "answers_per_question_min": min(answer_counts.values())
            if len(answer_counts) == len(check_ms) + len(read_ms)
            else 0,
            "answers_per_question_max": max(answer_counts.values()),
            "late_answers": late_count,
            **quantiles("check_ms", check_ms),
            **quantiles("read_ms", read_ms),
        }


def quantiles(name: str, values: list[float]) -> dict[str, float]:
    """Return the p50 and the p99 of values under their JSON keys."""
    cuts = statistics.quantiles(values, n=100)
    return {f"{name}_p50": round(cuts[49], 2), f"{name}_p99": round(cuts[98], 2)}


def cpu_us(pid: int) -> float:
    """Return the CPU time in µs of all threads of a process; gRPC has some of its own."""
    total_us = 0.0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total_us += int((task / "schedstat").read_text().split()[0]) / 1000.0
    return total_us


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    text = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith("VmRSS"))


async def serve_bare_handler(port_file: Path) -> None:
    """Serve a gRPC handler that answers each check with OK at once; write its port to a file."""

    class Ok:
        async def Check(self, request: auth.CheckRequest, context: Any) -> auth.CheckResponse:  # noqa: N802
            return auth.CheckResponse()

    server = grpc.aio.server()
    auth_grpc.add_AuthorizationServicer_to_server(Ok(), server)
    port_file.write_text(str(server.add_insecure_port("127.0.0.1:0")))
    await server.start()
    await asyncio.Event().wait()


async def measure_cost(folder: Path, seconds: float) -> dict[str, Any]:
    """Return the CPU time of a check and of a read in the limiter, and of a check in a bare handler.

    The three are measured in blocks that take turns within one run; each figure is the median of its blocks. Reports
    are not part of a measured block.
    """
    rng = random.Random(9)
    async with programs(folder / "on", count=1, boxes=12, plans=[LARGE_PLAN, SHOP_PLAN]) as limiters:
        (program,) = limiters
        assert program.process is not None
        without_door = Program(program.world, 0, False)
        without_door.operators.write_text(f'[control]\nsocket = "{folder}/off/c.sock"\n')
        raw = json.loads(program.world.config_path(0).read_text())
        raw["listen"] = "127.0.0.1:0"
        (folder / "off.json").write_text(json.dumps(raw))
        limiter_without_door = await spawn(
            sys.executable,
            "-B",
            "-m",
            "elderlock",
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
            env={
                **os.environ,
                "PROXY_CONFIG": str(folder / "off.json"),
                "ELDERLOCK_OPERATORS": str(without_door.operators),
            },
        )
        port_file = folder / "port"
        bare_process = await spawn(sys.executable, "-B", __file__, "--bare", str(port_file))
        while not port_file.exists() or not port_file.read_text():
            await asyncio.sleep(0.02)
        asking, bare_handler = program.asking(), GatewayClient(int(port_file.read_text()))
        front = Front(program.world.listens, 200.0, seed=2, plans=("enterprise",))
        costs: dict[str, list[float]] = {"check": [], "bare": [], "read": []}

        async def measure_block(name: str, pid: int, work: Awaitable[int]) -> None:
            before = cpu_us(pid)
            count = await work
            costs[name].append((cpu_us(pid) - before) / count)

        answers: Counter[int | str] = Counter()
        for round_number in range(5):

            async def check(n: int, round_number: int = round_number) -> None:
                answers[
                    await asking.check_status(f"c{round_number}-{n}", **terms_of(0, 1, account=f"{n % 500:016x}"))
                ] += 1

            async def ask_bare_handler(n: int) -> None:
                await bare_handler.check(f"c{n}", **terms_of(0, 1, account=f"{n % 500:016x}"))

            async def reads(round_number: int = round_number) -> int:
                sent_before = front.ledger.sent
                front.start() if round_number == 0 else front.go_on()
                await asyncio.sleep(seconds)
                front.pause()
                while front.ledger.open():
                    await asyncio.sleep(0.01)
                return front.ledger.sent - sent_before

            await measure_block("check", program.process.pid, open_loop(200.0, seconds, rng, check))
            await asyncio.sleep(1.3)  # the permitted requests end by their timeout
            await measure_block("bare", bare_process.pid, open_loop(200.0, seconds, rng, ask_bare_handler))
            await measure_block("read", program.process.pid, reads())
        figures = {f"cpu_us_{name}": round(statistics.median(values[1:]), 1) for name, values in costs.items()}
        figures["cpu_us_bare_grpc"] = figures.pop("cpu_us_bare")
        ratios = [check_us / bare_us for check_us, bare_us in zip(costs["check"], costs["bare"], strict=True)]
        rss_with_door_mb, rss_without_door_mb = rss_mb(program.process.pid), rss_mb(limiter_without_door.pid)
        for process in (limiter_without_door, bare_process):
            process.kill()
            await process.wait()
        await front.stop()
        for client in (asking, bare_handler):
            await client.channel.close()
        return {
            **figures,
            "check_over_bare": round(statistics.median(ratios[1:]), 2),
            "cost_permitted": answers[200],
            "cost_asked": answers.total(),
            "rss_mb_door_on": round(rss_with_door_mb, 1),
            "rss_mb_door_off": round(rss_without_door_mb, 1),
        }


async def measure_after_kill(folder: Path) -> dict[str, Any]:
    """Return the share of checks through an agent that get a decision in time, for 3 s after a limiter is killed."""
    async with programs(folder, count=3, boxes=9, plans=[LARGE_PLAN]) as limiters:
        raw = {
            "door": {"listen": "127.0.0.1:0", "askers": [{"accounts": ["*"]}]},
            "config": "n0.json",
            "limiter": [{"name": f"n{p.number}", "number": p.number, "address": p.address} for p in limiters],
        }
        door = RoutingServer(raw, folder, set, random.Random(1))
        await door.start()
        asking = GatewayClient(door.port)
        killed_at_s, asked_count, decided_count = 0.0, 0, 0

        async def ask(n: int) -> None:
            nonlocal asked_count, decided_count
            began_s = time.perf_counter()
            status = await asking.check_status(f"q{n}", timeout=TIMEOUT_S, **terms_of(0, 3, account=f"{n % 300:016x}"))
            is_in_time = time.perf_counter() - began_s <= TIMEOUT_S
            if killed_at_s and began_s >= killed_at_s:
                asked_count += 1
                decided_count += status in (200, 429) and is_in_time
            if status == 200:
                try:
                    await asking.report(f"q{n}", account=f"{n % 300:016x}")
                except grpc.aio.AioRpcError:
                    return  # the limiter that permitted the request was killed

        async def kill() -> None:
            nonlocal killed_at_s
            await asyncio.sleep(2.0)
            assert limiters[1].process is not None
            killed_at_s = time.perf_counter()
            limiters[1].process.kill()

        await asyncio.gather(kill(), open_loop(100.0, 5.0, random.Random(3), ask))
        await asking.channel.close()
        await door.stop()
        return {"routed_share_after_kill": round(decided_count / asked_count, 4), "routed_asked": asked_count}


def main() -> None:
    """Run all measurements and print them as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=6.0, help="of each measurement")
    parser.add_argument("--bare", type=Path, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.bare:
        return asyncio.run(serve_bare_handler(options.bare))
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="el-", dir="/tmp") as name:
        folder = Path(name)
        for part in ("a", "b", "c", "b/on"):
            (folder / part).mkdir()
        figures |= run(measure_ceiling(folder / "a", options.seconds), within=300.0)
        figures |= run(measure_cost(folder / "b", options.seconds / 2), within=600.0)
        figures |= run(measure_after_kill(folder / "c"), within=300.0)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
