"""How fast work stops at a drained box, what the tool says against what the boxes saw, and what control costs.

Ten real limiters under two agents, over stand-in boxes, under open-loop load. The last line is one JSON
object. Run with nothing else on the machine:

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
from elderlock.fleet.client.drain_commands import observe_group
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.config import read_agent
from elderlock.spawning import spawn
from elderlock.standins.agents import SimulatedAgents
from elderlock.standins.front import Front
from elderlock.standins.waiting import run, unix_ms
from elderlock.standins.world import ROOT, World, write_private_file

GRACE = 250.0  # ms
AFTER = 0.35  # s of load watched after each drain
STOPPED_FOR = 1.3  # s that an instance is stopped by signal: past the tool's first answer, below a request's 3 s
SHOWS = 15
COMMAND = [sys.executable, "-B", "-m", "elderlock.cli.main"]


async def up(folder: Path, limiters: int, boxes: int, agents: int) -> tuple[World, list[Agent], Group]:
    world = World(folder, limiters, boxes, agents)
    await world.open()
    made = []
    for number in range(agents):
        path = world.agent_path(number)
        agent = Agent(path, read_agent(path), random.Random(number))
        await agent.start()
        made.append(agent)
    group = Group.read(world.group_path)
    while len([s for s in (await observe_group(group)).states() if s.ready]) < limiters:
        await asyncio.sleep(0.1)
    return world, made, group


async def down(world: World, agents: list[Agent], group: Group) -> None:
    group.close()
    for agent in agents:
        for charge in agent.limiters.values():
            charge.supervisor.wanted = False
            if charge.process is not None:
                charge.process.signal(signal.SIGKILL)
    while any(c.process is not None for a in agents for c in a.limiters.values()):
        await asyncio.sleep(0.02)
    for agent in agents:
        agent.close()
    await world.close()


def wrong(rows: list[dict[str, Any]], world: World, uid: str, until: float) -> int:
    """Claims of the tool that the boxes' own records contradict: a limiter told as reached whose work came
    after the grace from the moment that the tool gave."""
    count = 0
    for row in rows:
        door = int(row["limiter"][1:])
        late = [s for s in world.boxes[uid].sent if s.port_index == door and row["at"] + GRACE < s.at <= until]
        count += row["state"] == "reached" and bool(late)
    return count


async def command(world: World, *words: str) -> tuple[float, int, dict[str, Any], str]:
    """The command as a process: when it was started (Unix ms), its exit code, its account, its progress."""
    began = unix_ms()
    process = await spawn(
        *COMMAND,
        *words,
        "--json",
        "--group",
        str(world.group_path),
        "--give-up-after",
        "20",
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, error = await process.communicate()
    assert process.returncode is not None
    return began, process.returncode, json.loads(out), error.decode()


async def drains(options: argparse.Namespace, folder: Path) -> dict[str, Any]:
    world, agents, group = await up(folder, 10, 12, 2)
    front = Front(world.listens, options.rate, seed=1, customers=100)
    front.start()
    await asyncio.sleep(3.0)
    rng, late, after, reports_wrong, unknown_seen = random.Random(7), 0, 0, 0, 0
    stops: list[float] = []
    told: list[float] = []  # from the process's start until all answering limiters had it in force
    tool: list[float] = []  # the same from when the interpreter had started and the tool began
    shows = []
    for number in range(options.drains):
        uid = f"s-{number % 12:02d}"
        stopped = None
        if number % 5 == 4:
            stopped = f"n{rng.randrange(10)}"
            process = next(c.process for a in agents for n, c in a.limiters.items() if n == stopped)
            assert process is not None
            process.signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(STOPPED_FOR, process.signal, signal.SIGCONT)
        began, code, account, progress = await command(world, "drain", "box", uid, "--no-wait")
        rows = account["rows"]
        if not rows:
            raise SystemExit(f"drain {uid}: {account}")
        unknown_seen += "unknown" in progress
        await asyncio.sleep(AFTER)
        until = unix_ms()
        sent = [s for s in world.boxes[uid].sent if began <= s.at <= until]
        # a stopped instance is out of the command's reach: what it sends once it goes on, before it could
        # know, is judged by what the tool says of it (`reports_wrong`) and not by the command's start
        judged = [s for s in sent if stopped is None or f"n{s.port_index}" != stopped]
        stops.append(max((s.at - began for s in judged), default=0.0))
        told.append(max((r["at"] for r in rows if r["limiter"] != stopped), default=began) - began)
        tool.append(told[-1] + began - account["began_at"])
        late += sum(s.at > began + GRACE for s in judged)
        after += sum(s.at > max(r["at"] for r in rows) + GRACE for s in sent)
        false = wrong(rows, world, uid, until) + (code != 0) + ("unknown" not in progress and stopped is not None)
        if false:
            print(f"drain {number} of {uid}: {code}, {account}, {progress}", flush=True)
        reports_wrong += false
        _, code, account, _ = await command(world, "undrain", "box", uid)
        views = [(s.limiter, b) for s in (await observe_group(group)).states() for b in s.servers]
        drained_still = [name for name, b in views if b.uid == uid and b.drained_by]
        if code != 0 or drained_still:
            print(f"undrain {number} of {uid}: {code}, {drained_still}, {account}", flush=True)
            reports_wrong += 1
        if number < SHOWS:
            started = time.perf_counter()
            await observe_group(group)
            shows.append((time.perf_counter() - started) * 1000.0)
    ledger = await front.stop()
    shown = await timed_show(world.group_path)
    await down(world, agents, group)
    return {
        "limiters": 10,
        "drains": options.drains,
        "stop_ms_p50": round(statistics.median(stops), 1),
        "stop_ms_max": round(max(stops), 1),
        "sends_after_250ms": late,
        "sends_after_told_250ms": after,
        "tool_in_force_ms_p50": round(statistics.median(tool), 1),
        "tool_in_force_ms_max": round(max(tool), 1),
        "in_force_ms_p50": round(statistics.median(told), 1),
        "in_force_ms_max": round(max(told), 1),
        "lost_requests": ledger.ends["lost"] + ledger.ends["wrong"] + ledger.ends["nowhere"],
        "answered_twice": ledger.answered_twice,
        "reports_wrong": reports_wrong,
        "show_ms_p50": round(statistics.median(shows), 1),
        "show_command_ms": round(shown[0], 1),
        "requests": ledger.sent,
        "resent": ledger.resent,
        "refused": ledger.ends["refused"],
        "failed": ledger.ends["failed"],
        "stopped_instances": options.drains // 5,
        "unknown_seen": unknown_seen,
    }


async def timed_show(group: Path) -> tuple[float, float]:
    """Of the whole command as a process: ms, and MB at its peak."""
    started = time.perf_counter()
    process = await spawn(
        *COMMAND, "show", "--group", str(group), "--deadline", "5", cwd=ROOT, stdout=asyncio.subprocess.DEVNULL
    )
    rss = 0.0
    while process.returncode is None:
        try:
            text = Path(f"/proc/{process.pid}/status").read_text()
            rss = max(rss, *(int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith("VmHWM")))
        except (OSError, TypeError):
            pass
        try:
            async with asyncio.timeout(0.02):
                await process.wait()
        except TimeoutError:
            continue
    return (time.perf_counter() - started) * 1000.0, rss


async def thousand(folder: Path) -> dict[str, Any]:
    """The simulated agents serve from another process, so that the tool has its core to itself."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
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
    runs = [await timed_show(folder / "thousand.toml") for _ in range(3)]
    server.kill()
    await server.wait()
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return {
        "show_1000_ms": round(statistics.median(r[0] for r in runs), 1),
        "cli_rss_mb": round(max(r[1] for r in runs), 1),
    }


async def serve_agents(group: Path) -> None:
    agents = SimulatedAgents(1000)
    await agents.open()
    agents.write_group(group, "token")
    print("ready", flush=True)
    await asyncio.Event().wait()


def cpu_ms(pid: int) -> float:
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / 1e6


async def cost(folder: Path, rate: float, blocks: int, seconds: float) -> dict[str, Any]:
    """CPU of a limiter with an agent on its control socket over that of its twin with none, in one run:
    both serve the same load from the same boxes at the same time, in blocks; the median of the ratios."""
    world = World(folder, 2, 6, 1)
    await world.open()
    path = world.agent_path(0)
    text = path.read_text()
    first, second = (i for i, part in enumerate(text.split("[[limiter]]")) if i)
    parts = text.split("[[limiter]]")
    path.write_text("[[limiter]]".join([parts[0], parts[first]]))
    assert second
    for number in (0, 1):  # alone each, so that both have the same to do
        raw = json.loads(world.config_path(number).read_text())
        raw["settings"].update({"ordinal": 0, "peers-total": 1, "zone": 0})
        raw["settings"]["policy-limits"]["peers"] = False
        raw["seed"] = "1"
        for key in ("peer_listen", "peers", "peers_all"):
            raw.pop(key)
        world.config_path(number).write_text(json.dumps(raw))
    agent = Agent(path, read_agent(path), random.Random(1))
    await agent.start()
    plain = await spawn(
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
        before = cpu_ms(process.pid), cpu_ms(plain.pid), *(sum(f.ledger.ends.values()) for f in fronts)
        await asyncio.sleep(seconds)
        after = cpu_ms(process.pid), cpu_ms(plain.pid), *(sum(f.ledger.ends.values()) for f in fronts)
        on, off, on_count, off_count = (b - a for a, b in zip(before, after, strict=True))
        ratios.append((on / on_count) / (off / off_count))
    for front in fronts:
        await front.stop()
    plain.terminate()
    await plain.wait()
    charge = agent.limiters["n0"]
    charge.supervisor.wanted = False
    process.signal(signal.SIGKILL)
    while charge.process is not None:
        await asyncio.sleep(0.02)
    agent.close()
    await world.close()
    ratios.sort()
    return {
        "cpu_ratio_control_on_off": round(statistics.median(ratios), 3),
        "cpu_ratio_quartiles": [round(ratios[len(ratios) // 4], 3), round(ratios[3 * len(ratios) // 4], 3)],
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--drains", type=int, default=30)
    parser.add_argument("--rate", type=float, default=450.0, help="requests a second over all ten")
    parser.add_argument("--blocks", type=int, default=15, help="of the CPU comparison")
    parser.add_argument("--block", type=float, default=3.0, metavar="S")
    parser.add_argument("--only", choices=("drains", "thousand", "cost"))
    parser.add_argument("--serve-agents", type=Path, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.serve_agents:
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
        return run(serve_agents(options.serve_agents), within=600.0)
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="el-", dir="/tmp") as folder:
        if options.only in (None, "drains"):
            (Path(folder) / "d").mkdir()
            figures |= run(drains(options, Path(folder) / "d"), within=900.0)
        if options.only in (None, "thousand"):
            figures |= run(thousand(Path(folder)), within=300.0)
        if options.only in (None, "cost"):
            (Path(folder) / "c").mkdir()
            figures |= run(cost(Path(folder) / "c", 60.0, options.blocks, options.block), within=900.0)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
