"""What a request costs: CPU of the real limiter over that of a bare proxy, in one run, by rate, accounts and boxes.

Both stand behind the same load, in front of the same boxes, one after the other in each round; the figure is the ratio
of their CPU a request in the same round, so a slower machine changes both. The last line is one JSON object.
`--profile` prints where the limiter's time goes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import uvloop

from elderlock.load.coordinator import Coordinator, local_lines
from elderlock.load.report import Report
from elderlock.load.scenario import parse
from elderlock.spawning import spawn
from elderlock.standins.delays import run_targets
from elderlock.standins.discovery import Discovery
from elderlock.standins.settings import raw_config
from elderlock.standins.world import ROOT, free_address

TICKS = os.sysconf("SC_CLK_TCK")
WARM_S = 1.5  # of each measurement, not counted: connections, and what the module learns first
SCENARIO = """
name = "cost"
for_s = {lasts}
seed = {seed}
workers = {workers}
[[stream]]
name = "cost"
plan = "team"
deadline_ms = 3000
spread = 1
shape = [{{ kind = "steady", rate = {rate} }}]
accounts = {{ count = {accounts}, skew = 0.6 }}
"""


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Subject:
    """A process under load."""

    def __init__(self, command: Sequence[str], listen: str, environ: dict[str, str]) -> None:
        self._command, self.listen, self._environ = command, listen, environ
        self.process: asyncio.subprocess.Process | None = None

    async def __aenter__(self) -> Subject:
        self.process = await spawn(
            sys.executable,
            "-B",
            *self._command,
            cwd=ROOT,
            env={**os.environ, **self._environ},
            stderr=asyncio.subprocess.DEVNULL,
        )
        host, _, port = self.listen.rpartition(":")
        for _ in range(1000):
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.01)
                continue
            writer.close()
            return self
        raise SystemExit(f"{self._command} does not come up")

    async def __aexit__(self, *_: object) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.terminate()
        await self.process.wait()


async def load(subject: Subject, rate: float, accounts: int, lasts: float, seed: int) -> tuple[float, Report]:
    """µs of CPU a request, of those after the warm-up."""
    assert subject.process is not None
    workers = 1 if rate <= 1500 else 2
    text = SCENARIO.format(lasts=lasts, seed=seed, workers=workers, rate=rate, accounts=accounts)
    read = parse(text, "cost", [f'targets.addresses=["{subject.listen}"]'])
    marks: list[tuple[float, int]] = []
    ended = 0

    def live(second: Any) -> None:
        nonlocal ended
        ended += sum(second.outcomes.values())
        if second.at in (0, 1):
            marks.append((cpu_s(subject.process.pid), ended))  # type: ignore[union-attr]

    made = await Coordinator(read, local_lines(workers), live).run()
    total = cpu_s(subject.process.pid)
    begun, before = marks[-1]
    return (total - begun) / max(1, ended - before) * 1e6, made


def config(folder: Path, listen: str, discovery: Discovery) -> Path:
    made = raw_config(listen=listen, discovery=discovery.ports[0].endpoint)
    made["settings"]["plans"][0].update({"quota-rate": 1e6, "burst": 1e6})
    path = folder / "limiter.json"
    path.write_text(json.dumps(made))
    return path


async def case(rate: float, accounts: int, count: int, rounds: int, lasts: float, profile: bool) -> dict[str, Any]:
    ratios, limiter_us, floor_us, served = [], [], [], []
    with tempfile.TemporaryDirectory() as name:
        async with run_targets(kind="none", box=True, ports=count) as endpoints:
            rows = [
                {
                    "uid": f"s-{n:03d}",
                    "endpoint": endpoint,
                    "az": "a",
                    "model": "m1",
                    "pod_group": 0,
                    "state": "up",
                    "capacity_hint": 1.0,
                    "boot_ms": 0.0,
                }
                for n, endpoint in enumerate(endpoints)
            ]
            discovery = await Discovery(rows=lambda port_index: rows).start()
            try:
                for number in range(rounds):
                    listens = free_address(), free_address()
                    path = config(Path(name), listens[0], discovery)
                    command = ["-m", "elderlock"]
                    if profile:
                        command = ["-c", PROFILED]
                    async with Subject(command, listens[0], {"PROXY_CONFIG": str(path)}) as subject:
                        us, made = await load(subject, rate, accounts, lasts, number + 1)
                    floor = ["-m", "elderlock.standins.minimal_proxy", listens[1], *endpoints]
                    async with Subject(floor, listens[1], {}) as subject:
                        bare, _ = await load(subject, rate, accounts, lasts, number + 1)
                    limiter_us.append(us)
                    floor_us.append(bare)
                    ratios.append(us / bare)
                    served.append(made.outcomes.get("served", 0) / made.ledger["scheduled"])
            finally:
                await discovery.close()
    return {
        "rate": rate,
        "accounts": accounts,
        "boxes": count,
        "limiter_us": round(statistics.median(limiter_us), 1),
        "floor_us": round(statistics.median(floor_us), 1),
        "ratio": round(statistics.median(ratios), 2),
        "ratios": [round(ratio, 2) for ratio in ratios],
        "served": round(min(served), 4),
    }


PROFILED = """
import cProfile, pstats, sys
from elderlock.__main__ import main
profile = cProfile.Profile()
profile.runcall(main)
stats = pstats.Stats(profile, stream=sys.stdout)
stats.sort_stats("tottime").print_stats(45)
sys.stdout.flush()
"""


async def run(options: argparse.Namespace) -> dict[str, Any]:
    rounds, lasts = options.rounds, options.seconds
    small = await case(900, 1000, 8, rounds, lasts, options.profile)
    print(json.dumps(small), flush=True)
    if options.profile or options.small:
        return {"small": small}
    cases = [
        await case(300, 1000, 8, rounds, lasts, False),
        await case(1800, 1000, 8, rounds, lasts, False),
        await case(900, 100_000, 8, rounds, lasts, False),
        await case(900, 1000, 50, rounds, lasts, False),
        await case(900, 1000, 200, rounds, lasts, False),
    ]
    for each in cases:
        print(json.dumps(each), flush=True)
    return {
        "cost_ratio_limiter_over_floor": small["ratio"],
        "cost_ratio_100k_accounts": round(cases[2]["limiter_us"] / small["limiter_us"], 2),
        "cost_ratio_200_boxes": round(cases[4]["limiter_us"] / small["limiter_us"], 2),
        "limiter_us": small["limiter_us"],
        "floor_us": small["floor_us"],
        "ratio_by_rate": {str(c["rate"]): c["ratio"] for c in (cases[0], small, cases[1])},
        "us_by_boxes": {str(c["boxes"]): c["limiter_us"] for c in (small, cases[3], cases[4])},
        "cases": [small, *cases],
    }


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--rounds", type=int, default=3)
    options.add_argument("--seconds", type=float, default=6.0)
    options.add_argument("--small", action="store_true", help="the small case alone")
    options.add_argument("--profile", action="store_true", help="where the limiter's time goes, in the small case")
    print(json.dumps(uvloop.run(run(options.parse_args()))))


if __name__ == "__main__":
    main()
