"""Both doors of three limiters under one ceiling, what a question costs, and questions after a death.

Real limiters, real `grpc.aio` and RESP2 clients, open loop. The last line is one JSON object:

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

from elderlock.authz.router import RoutingDoor
from elderlock.spawning import spawn
from elderlock.standins.clients import Client
from elderlock.standins.front import Front
from elderlock.standins.gateways import GatewayClient
from elderlock.standins.programs import ACCOUNT, ENTERPRISE, Program, programs, terms_of
from elderlock.standins.settings import terms
from elderlock.standins.waiting import run, unix_ms
from elderlock.standins.world import ROOT

UNITS = 4.0
DEADLINE = 2.0  # s
ROOMY = {"name": "enterprise", "price": 1.8, "quota-rate": 1e5, "burst": 1e5}
SHOP = {"name": "shop", "price": 0.8, "quota-rate": 1e5, "burst": 1e5}


async def open_loop(rate: float, seconds: float, rng: random.Random, one: Callable[[int], Awaitable[None]]) -> int:
    """Starts `one` at Poisson times, whatever the answers do; waits for all to end."""
    loop = asyncio.get_running_loop()
    at, ends = loop.time(), loop.time() + seconds
    tasks: list[asyncio.Future[None]] = []
    while (at := at + rng.expovariate(rate)) < ends:
        if (wait := at - loop.time()) > 0:
            await asyncio.sleep(wait)
        tasks.append(asyncio.ensure_future(one(len(tasks))))
    await asyncio.gather(*tasks)
    return len(tasks)


def over_slack(times: list[float], plan: dict[str, Any]) -> float:
    """How far the store that all limiters share fell below its slack, from the sends as they were seen; the
    slack is wider by what the rate gives in 150 ms, as on sockets."""
    store, at, worst = float(plan["never-over-depth"]), min(times, default=0.0), 0.0
    for now in sorted(times):
        store = min(plan["never-over-depth"], store + plan["hard-rate"] * (now - at) / 1000.0) - UNITS
        at, worst = now, min(worst, store)
    return max(0.0, -worst - float(plan["hard-slack"]) - 0.15 * float(plan["hard-rate"]))


async def ceiling(folder: Path, seconds: float) -> dict[str, Any]:
    rng = random.Random(5)
    async with programs(folder, count=3, boxes=6, plans=[ENTERPRISE]) as made:
        askings = [program.asking() for program in made]
        permits: list[float] = []
        answers: Counter[str] = Counter()
        check_ms: list[float] = []
        read_ms: list[float] = []
        late = 0

        async def check(n: int) -> None:
            nonlocal late
            began, asking = time.perf_counter(), askings[n % 3]
            word = await asking.check_status(f"g{n}", timeout=DEADLINE, **terms_of(0, 3, units=4))
            took = (time.perf_counter() - began) * 1000.0
            answers[f"g{n}"] += 1
            check_ms.append(took)
            late += took > DEADLINE * 1000.0
            if word == 200:
                permits.append(unix_ms())
                await asking.report(f"g{n}", account=ACCOUNT)

        lanes = [[await program.client() for _ in range(8)] for program in made]
        idle: list[list[Client]] = [list(clients) for clients in lanes]

        async def read(n: int) -> None:
            nonlocal late
            began, pool = time.perf_counter(), idle[n % 3]
            client = pool.pop() if pool else await made[n % 3].client()
            client.send("API.READ", ACCOUNT, f"r{n}", terms(t="enterprise", units=4, spread=3, first=0))
            if await client.answer() is not None:
                answers[f"r{n}"] += 1
            took = (time.perf_counter() - began) * 1000.0
            read_ms.append(took)
            late += took > 3000.0
            pool.append(client)

        await asyncio.gather(open_loop(150.0, seconds, rng, check), open_loop(150.0, seconds, random.Random(6), read))
        first_send: dict[bytes, float] = {}
        for box in made[0].world.boxes.values():
            for sent in box.sent:
                first_send[sent.request] = min(sent.at, first_send.get(sent.request, sent.at))
        times = [*permits, *first_send.values()]
        span = (max(times) - min(times)) / 1000.0
        for asking in askings:
            await asking.channel.close()
        return {
            "ceiling_units": round(ENTERPRISE["never-over-depth"] + ENTERPRISE["hard-rate"] * span, 1),
            "slack_units": ENTERPRISE["hard-slack"],
            "sent_units_both_doors": UNITS * len(times),
            "permitted": len(permits),
            "read": len(first_send),
            "over_slack_units": round(over_slack(times, ENTERPRISE), 2),
            "questions": len(check_ms) + len(read_ms),
            "answers_per_question_min": min(answers.values()) if len(answers) == len(check_ms) + len(read_ms) else 0,
            "answers_per_question_max": max(answers.values()),
            "late_answers": late,
            **quantiles("check_ms", check_ms),
            **quantiles("read_ms", read_ms),
        }


def quantiles(name: str, values: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(values, n=100)
    return {f"{name}_p50": round(cuts[49], 2), f"{name}_p99": round(cuts[98], 2)}


def cpu_us(pid: int) -> float:
    """All threads: grpc has some of its own."""
    total = 0.0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0]) / 1000.0
    return total


def rss_mb(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith("VmRSS"))


async def bare(port_file: Path) -> None:
    """A handler that answers OK at once."""

    class Ok:
        async def Check(self, request: auth.CheckRequest, context: Any) -> auth.CheckResponse:  # noqa: N802
            return auth.CheckResponse()

    server = grpc.aio.server()
    auth_grpc.add_AuthorizationServicer_to_server(Ok(), server)
    port_file.write_text(str(server.add_insecure_port("127.0.0.1:0")))
    await server.start()
    await asyncio.Event().wait()


async def cost(folder: Path, seconds: float) -> dict[str, Any]:
    """CPU of the limiter's process for a question, for a read, and of a bare handler, in blocks that take
    turns within one run; reports are sent after the measured block, and the median of the blocks counts."""
    rng = random.Random(9)
    async with programs(folder / "on", count=1, boxes=12, plans=[ROOMY, SHOP]) as made:
        (program,) = made
        assert program.process is not None
        off = Program(program.world, 0, False)
        off.operators.write_text(f'[control]\nsocket = "{folder}/off/c.sock"\n')
        raw = json.loads(program.world.config_path(0).read_text())
        raw["listen"] = "127.0.0.1:0"
        (folder / "off.json").write_text(json.dumps(raw))
        plain = await spawn(
            sys.executable,
            "-B",
            "-m",
            "elderlock",
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PROXY_CONFIG": str(folder / "off.json"), "ELDERLOCK_OPERATORS": str(off.operators)},
        )
        port_file = folder / "port"
        bare_process = await spawn(sys.executable, "-B", __file__, "--bare", str(port_file))
        while not port_file.exists() or not port_file.read_text():
            await asyncio.sleep(0.02)
        asking, empty = program.asking(), GatewayClient(int(port_file.read_text()))
        front = Front(program.world.listens, 200.0, seed=2, plans=("enterprise",))
        costs: dict[str, list[float]] = {"check": [], "bare": [], "read": []}

        async def block(name: str, pid: int, work: Awaitable[int]) -> None:
            before = cpu_us(pid)
            count = await work
            costs[name].append((cpu_us(pid) - before) / count)

        words: Counter[int | str] = Counter()
        for turn in range(5):

            async def check(n: int, turn: int = turn) -> None:
                words[await asking.check_status(f"c{turn}-{n}", **terms_of(0, 1, account=f"{n % 500:016x}"))] += 1

            async def at_once(n: int) -> None:
                await empty.check(f"c{n}", **terms_of(0, 1, account=f"{n % 500:016x}"))

            async def reads(turn: int = turn) -> int:
                front_before = front.ledger.sent
                front.start() if turn == 0 else front.go_on()
                await asyncio.sleep(seconds)
                front.pause()
                while front.ledger.open():
                    await asyncio.sleep(0.01)
                return front.ledger.sent - front_before

            await block("check", program.process.pid, open_loop(200.0, seconds, rng, check))
            await asyncio.sleep(1.3)  # what was permitted ends by its time
            await block("bare", bare_process.pid, open_loop(200.0, seconds, rng, at_once))
            await block("read", program.process.pid, reads())
        figures = {f"cpu_us_{name}": round(statistics.median(values[1:]), 1) for name, values in costs.items()}
        figures["cpu_us_bare_grpc"] = figures.pop("cpu_us_bare")
        ratios = [c / b for c, b in zip(costs["check"], costs["bare"], strict=True)]
        on, off_mb = rss_mb(program.process.pid), rss_mb(plain.pid)
        for process in (plain, bare_process):
            process.kill()
            await process.wait()
        await front.stop()
        for each in (asking, empty):
            await each.channel.close()
        return {
            **figures,
            "check_over_bare": round(statistics.median(ratios[1:]), 2),
            "cost_permitted": words[200],
            "cost_asked": words.total(),
            "rss_mb_door_on": round(on, 1),
            "rss_mb_door_off": round(off_mb, 1),
        }


async def after_a_death(folder: Path) -> dict[str, Any]:
    """Over the agent's door: the share of the questions in the 3 s after a death that got a decision in time."""
    async with programs(folder, count=3, boxes=9, plans=[ROOMY]) as made:
        raw = {
            "door": {"listen": "127.0.0.1:0", "askers": [{"accounts": ["*"]}]},
            "config": "n0.json",
            "limiter": [{"name": f"n{p.number}", "number": p.number, "address": p.address} for p in made],
        }
        door = RoutingDoor(raw, folder, set, random.Random(1))
        await door.start()
        asking = GatewayClient(door.port)
        killed_at, asked, right = 0.0, 0, 0

        async def ask(n: int) -> None:
            nonlocal asked, right
            began = time.perf_counter()
            word = await asking.check_status(f"q{n}", timeout=DEADLINE, **terms_of(0, 3, account=f"{n % 300:016x}"))
            in_time = time.perf_counter() - began <= DEADLINE
            if killed_at and began >= killed_at:
                asked += 1
                right += word in (200, 429) and in_time
            if word == 200:
                try:
                    await asking.report(f"q{n}", account=f"{n % 300:016x}")
                except grpc.aio.AioRpcError:
                    return  # whoever permitted it is dead

        async def kill() -> None:
            nonlocal killed_at
            await asyncio.sleep(2.0)
            assert made[1].process is not None
            killed_at = time.perf_counter()
            made[1].process.kill()

        await asyncio.gather(kill(), open_loop(100.0, 5.0, random.Random(3), ask))
        await asking.channel.close()
        await door.stop()
        return {"routed_share_after_kill": round(right / asked, 4), "routed_asked": asked}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=6.0, help="of each stretch")
    parser.add_argument("--bare", type=Path, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.bare:
        return asyncio.run(bare(options.bare))
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="el-", dir="/tmp") as name:
        folder = Path(name)
        for part in ("a", "b", "c", "b/on"):
            (folder / part).mkdir()
        figures |= run(ceiling(folder / "a", options.seconds), within=300.0)
        figures |= run(cost(folder / "b", options.seconds / 2), within=600.0)
        figures |= run(after_a_death(folder / "c"), within=300.0)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
