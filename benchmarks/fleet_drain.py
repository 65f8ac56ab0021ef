"""Measures how fast a drain stops the requests to a server, and the CPU cost of the control socket.

It also compares what the command reports with what the server received. Ten real limiters under two agents run in front
of fake servers, under open-loop load. The last line is one JSON object. Run it on an otherwise idle machine:

    python benchmarks/fleet_drain.py [--drains 30] [--rate 450]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import resource
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from elderlock.fleet.agent.agent import Agent
from elderlock.fleet.client.commands import observe_group
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.config import read_agent
from elderlock.spawning import spawn
from elderlock.standins.agents import SimulatedAgents
from elderlock.standins.front import Front
from elderlock.standins.waiting import run, unix_ms
from elderlock.standins.world import ROOT, World, write_private_file

GRACE_MS = 250.0  # after a drain, in which requests may still be sent
WATCH_S = 0.35  # after each drain, in which the load is observed
STOP_S = 1.3  # of a limiter by SIGSTOP: longer than the command's first answer takes, shorter than a request's 3 s
SHOW_COUNT = 15
COMMAND = [sys.executable, "-B", "-m", "elderlock.cli.main"]


async def start_group(folder: Path, limiters: int, servers: int, agent_count: int) -> tuple[World, list[Agent], Group]:
    """Start a group and wait until all its limiters are ready."""
    world = World(folder, limiters, servers, agent_count)
    await world.open()
    agents = []
    for number in range(agent_count):
        path = world.agent_path(number)
        agent = Agent(path, read_agent(path), random.Random(number))
        await agent.start()
        agents.append(agent)
    group = Group.read(world.group_path)
    while len([state for state in (await observe_group(group)).states() if state.ready]) < limiters:
        await asyncio.sleep(0.1)
    return world, agents, group


async def stop_group(world: World, agents: list[Agent], group: Group) -> None:
    """Kill all limiters and close everything else."""
    group.close()
    for agent in agents:
        for limiter in agent.limiters.values():
            limiter.supervisor.wanted = False
            if limiter.process is not None:
                limiter.process.signal(signal.SIGKILL)
    while any(limiter.process is not None for agent in agents for limiter in agent.limiters.values()):
        await asyncio.sleep(0.02)
    for agent in agents:
        agent.close()
    await world.close()


def count_contradicted_claims(rows: list[dict[str, Any]], world: World, uid: str, until: float) -> int:
    """Return how many claims of the command the server's own record contradicts.

    A claim is wrong if the server received a request of a limiter that the command reports as reached, later than the
    grace after the reported time.
    """
    count = 0
    for row in rows:
        limiter = int(row["limiter"][1:])
        late = [
            sent
            for sent in world.boxes[uid].sent
            if sent.port_index == limiter and row["at"] + GRACE_MS < sent.at <= until
        ]
        count += row["state"] == "reached" and bool(late)
    return count


async def run_command(world: World, *arguments: str) -> tuple[float, int, dict[str, Any], str]:
    """Run a command as a process; return its start in Unix ms, its exit code, its JSON and its progress output."""
    began_unix_ms = unix_ms()
    process = await spawn(
        *COMMAND,
        *arguments,
        "--json",
        "--group",
        str(world.group_path),
        "--give-up-after",
        "20",
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    stdout, stderr = await process.communicate()
    assert process.returncode is not None
    return began_unix_ms, process.returncode, json.loads(stdout), stderr.decode()


async def measure_drains(options: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Drain and undrain servers under load; return the figures."""
    world, agents, group = await start_group(folder, 10, 12, 2)
    front = Front(world.listens, options.rate, seed=1, customers=100)
    front.start()
    await asyncio.sleep(3.0)
    rng, late, late_after_claim, reports_wrong, unknown_seen = random.Random(7), 0, 0, 0, 0
    stop_ms: list[float] = []
    in_force_ms: list[float] = []  # from the command's start until all limiters that answer had the drain in force
    in_force_by_tool_ms: list[float] = []  # the same without the start of the Python interpreter
    show_ms = []
    for number in range(options.drains):
        uid = f"s-{number % 12:02d}"
        stopped_limiter = None
        if number % 5 == 4:
            stopped_limiter = f"n{rng.randrange(10)}"
            process = next(
                limiter.process
                for agent in agents
                for name, limiter in agent.limiters.items()
                if name == stopped_limiter
            )
            assert process is not None
            process.signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(STOP_S, process.signal, signal.SIGCONT)
        began_unix_ms, code, report, progress = await run_command(world, "drain", "box", uid, "--no-wait")
        rows = report["rows"]
        if not rows:
            raise SystemExit(f"drain {uid}: {report}")
        unknown_seen += "unknown" in progress
        await asyncio.sleep(WATCH_S)
        until = unix_ms()
        sent = [s for s in world.boxes[uid].sent if began_unix_ms <= s.at <= until]
        # The command cannot reach a stopped limiter. What that limiter sends when it continues, before it learns of the
        # drain, is checked against the command's report (`reports_wrong`) and not against the command's start.
        attributable = [s for s in sent if stopped_limiter is None or f"n{s.port_index}" != stopped_limiter]
        stop_ms.append(max((s.at - began_unix_ms for s in attributable), default=0.0))
        in_force_ms.append(
            max((r["at"] for r in rows if r["limiter"] != stopped_limiter), default=began_unix_ms) - began_unix_ms
        )
        in_force_by_tool_ms.append(in_force_ms[-1] + began_unix_ms - report["began_at"])
        late += sum(s.at > began_unix_ms + GRACE_MS for s in attributable)
        late_after_claim += sum(s.at > max(r["at"] for r in rows) + GRACE_MS for s in sent)
        failures = (
            count_contradicted_claims(rows, world, uid, until)
            + (code != 0)
            + ("unknown" not in progress and stopped_limiter is not None)
        )
        if failures:
            print(f"drain {number} of {uid}: {code}, {report}, {progress}", flush=True)
        reports_wrong += failures
        _, code, report, _ = await run_command(world, "undrain", "box", uid)
        servers = [
            (state.limiter, server) for state in (await observe_group(group)).states() for server in state.servers
        ]
        still_drained_by = [name for name, server in servers if server.uid == uid and server.drained_by]
        if code != 0 or still_drained_by:
            print(f"undrain {number} of {uid}: {code}, {still_drained_by}, {report}", flush=True)
            reports_wrong += 1
        if number < SHOW_COUNT:
            started_s = time.perf_counter()
            await observe_group(group)
            show_ms.append((time.perf_counter() - started_s) * 1000.0)
    ledger = await front.stop()
    show_command_ms, _ = await measure_show(world.group_path)
    await stop_group(world, agents, group)
    return {
        "limiters": 10,
        "drains": options.drains,
        "stop_ms_p50": round(statistics.median(stop_ms), 1),
        "stop_ms_max": round(max(stop_ms), 1),
        "sends_after_250ms": late,
        "sends_after_told_250ms": late_after_claim,
        "tool_in_force_ms_p50": round(statistics.median(in_force_by_tool_ms), 1),
        "tool_in_force_ms_max": round(max(in_force_by_tool_ms), 1),
        "in_force_ms_p50": round(statistics.median(in_force_ms), 1),
        "in_force_ms_max": round(max(in_force_ms), 1),
        "lost_requests": ledger.ends["lost"] + ledger.ends["wrong"] + ledger.ends["nowhere"],
        "answered_twice": ledger.answered_twice,
        "reports_wrong": reports_wrong,
        "show_ms_p50": round(statistics.median(show_ms), 1),
        "show_command_ms": round(show_command_ms, 1),
        "requests": ledger.sent,
        "resent": ledger.resent,
        "refused": ledger.ends["refused"],
        "failed": ledger.ends["failed"],
        "stopped_instances": options.drains // 5,
        "unknown_seen": unknown_seen,
    }


async def measure_show(group: Path) -> tuple[float, float]:
    """Return the duration of `elderlock show` in ms and its peak memory in MB."""
    started_s = time.perf_counter()
    process = await spawn(
        *COMMAND, "show", "--group", str(group), "--deadline", "5", cwd=ROOT, stdout=asyncio.subprocess.DEVNULL
    )
    rss_mb = 0.0
    while process.returncode is None:
        try:
            text = Path(f"/proc/{process.pid}/status").read_text()
            rss_mb = max(
                rss_mb, *(int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith("VmHWM"))
            )
        except (OSError, TypeError):
            pass
        try:
            async with asyncio.timeout(0.02):
                await process.wait()
        except TimeoutError:
            continue
    return (time.perf_counter() - started_s) * 1000.0, rss_mb


async def measure_thousand(folder: Path) -> dict[str, Any]:
    """Measure `elderlock show` with a thousand agents, simulated by another process so that the command has a core."""
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard_limit, 8192), hard_limit))
    write_private_file(folder / "token", "0123456789abcdef")
    server = await spawn(
        sys.executable,
        "-B",
        __file__,
        "--serve-agents",
        str(folder / "thousand.toml"),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    assert server.stdout is not None
    await server.stdout.readline()
    runs = [await measure_show(folder / "thousand.toml") for _ in range(3)]
    server.kill()
    await server.wait()
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))
    return {
        "show_1000_ms": round(statistics.median(duration_ms for duration_ms, _ in runs), 1),
        "cli_rss_mb": round(max(rss_mb for _, rss_mb in runs), 1),
    }


async def serve_agents(group: Path) -> None:
    """Serve a thousand simulated agents, and write their group file."""
    agents = SimulatedAgents(1000)
    await agents.open()
    agents.write_group(group, "token")
    print("ready", flush=True)
    await asyncio.Event().wait()


def cpu_ms(pid: int) -> float:
    """Return the CPU time of a process in ms."""
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / 1e6


async def measure_cost(folder: Path, rate: float, blocks: int, seconds: float) -> dict[str, Any]:
    """Return the CPU time of a limiter with an agent over that of a limiter without one.

    Both get the same load in front of the same servers at the same time. The ratio is the median of several blocks.
    """
    world = World(folder, 2, 6, 1)
    await world.open()
    path = world.agent_path(0)
    text = path.read_text()
    first, second = (number for number, _ in enumerate(text.split("[[limiter]]")) if number)
    parts = text.split("[[limiter]]")
    path.write_text("[[limiter]]".join([parts[0], parts[first]]))
    assert second
    for number in (0, 1):  # without peers, so that both have the same work
        config = json.loads(world.config_path(number).read_text())
        config["settings"].update({"ordinal": 0, "peers-total": 1, "zone": 0})
        config["settings"]["policy-limits"]["peers"] = False
        config["seed"] = "1"
        for key in ("peer_listen", "peers", "peers_all"):
            config.pop(key)
        world.config_path(number).write_text(json.dumps(config))
    agent = Agent(path, read_agent(path), random.Random(1))
    await agent.start()
    limiter_without_agent = await spawn(
        sys.executable,
        "-B",
        "-m",
        "elderlock",
        cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PROXY_CONFIG": str(world.config_path(1))},
    )
    fronts = [Front([listen], rate, seed=3) for listen in world.listens]
    for front in fronts:
        front.start()
    while not all(front.in_rotation[0] for front in fronts):
        await asyncio.sleep(0.05)
    await asyncio.sleep(3.0)
    process = agent.limiters["n0"].process
    assert process is not None
    ratios = []
    for _ in range(blocks):
        before = cpu_ms(process.pid), cpu_ms(limiter_without_agent.pid), *(sum(f.ledger.ends.values()) for f in fronts)
        await asyncio.sleep(seconds)
        after = (cpu_ms(process.pid), cpu_ms(limiter_without_agent.pid), *(sum(f.ledger.ends.values()) for f in fronts))
        cpu_with_ms, cpu_without_ms, count_with, count_without = (b - a for a, b in zip(before, after, strict=True))
        ratios.append((cpu_with_ms / count_with) / (cpu_without_ms / count_without))
    for front in fronts:
        await front.stop()
    limiter_without_agent.terminate()
    await limiter_without_agent.wait()
    limiter = agent.limiters["n0"]
    limiter.supervisor.wanted = False
    process.signal(signal.SIGKILL)
    while limiter.process is not None:
        await asyncio.sleep(0.02)
    agent.close()
    await world.close()
    ratios.sort()
    return {
        "cpu_ratio_control_on_off": round(statistics.median(ratios), 3),
        "cpu_ratio_quartiles": [round(ratios[len(ratios) // 4], 3), round(ratios[3 * len(ratios) // 4], 3)],
    }


def main() -> None:
    """Run the measurements and print the figures as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--drains", type=int, default=30)
    parser.add_argument("--rate", type=float, default=450.0, help="requests a second over all ten")
    parser.add_argument("--blocks", type=int, default=15, help="blocks of the CPU comparison")
    parser.add_argument("--block", type=float, default=3.0, metavar="S")
    parser.add_argument("--only", choices=("drains", "thousand", "cost"))
    parser.add_argument("--serve-agents", type=Path, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.serve_agents:
        _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard_limit, 8192), hard_limit))
        return run(serve_agents(options.serve_agents), within=600.0)
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="el-", dir="/tmp") as folder:
        if options.only in (None, "drains"):
            (Path(folder) / "d").mkdir()
            figures |= run(measure_drains(options, Path(folder) / "d"), within=900.0)
        if options.only in (None, "thousand"):
            figures |= run(measure_thousand(Path(folder)), within=300.0)
        if options.only in (None, "cost"):
            (Path(folder) / "c").mkdir()
            figures |= run(measure_cost(Path(folder) / "c", 60.0, options.blocks, options.block), within=900.0)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
