"""How true the proving ground is: what a relay adds, what is left behind by runs that were broken off, which judges
bite on real processes, whether real runs and simulated ones of one schedule come to one verdict, and how often one
beside a busy machine is false. Ratios and counts hold on any machine; times are of the one that it ran on.

`--long` plays each schedule three times and breaks off 60 runs.
"""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from elderlock.fleet.agent_store import Store
from elderlock.sim import seeds
from elderlock.sim.experiment import scenario_of
from elderlock.sim.scenario import ABLE, Fault, Scenario, unplayable
from elderlock.spawning import spawn
from elderlock.standins.world import ROOT, random_loopback_host
from elderlock.trial import disk
from elderlock.trial.bites import BITES
from elderlock.trial.guard import MARK
from elderlock.trial.relay import Relay, Relays
from elderlock.trial.seam import Block
from elderlock.trial.standing import PREFIX, standing
from elderlock.trial.weather import Place, Ways

RATE, SECONDS = 1000.0, 6  # requests a second through a relay, and as many without
AT_ONCE = 4  # trials side by side
BUGS_FOUND = 4  # while it was built; docs/design/trial.md tells of each
BOTH = ("calm", "partition", "drain-and-restart", "power-loss", "one-way", "stopped")
SHORT = [
    "--set",
    "lasts_s=2",
    "--set",
    "warm_s=0",
    "--set",
    "rest_s=0",
    "--set",
    "agents=1",
    "--set",
    "stream.0.shape.0.rate=60",
]


def command(*words: str) -> list[str]:
    return [sys.executable, "-B", "-m", "elderlock.cli.main", "trial", *words]


def trial(*words: str) -> dict[str, Any]:
    done = subprocess.run(command(*words, "--json"), cwd=ROOT, capture_output=True, text=True, check=False)
    if not done.stdout.startswith("{"):
        raise SystemExit(f"trial {' '.join(words)}: exit {done.returncode}\n{done.stderr}")
    made: dict[str, Any] = json.loads(done.stdout)
    return made


def many(work: Callable[[Any], Any], given: Sequence[Any], at_once: int = AT_ONCE) -> list[Any]:
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        return list(pool.map(work, given))


def say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


# What a relay adds


ECHO = """
import asyncio, sys, uvloop
class Echo(asyncio.Protocol):
    def connection_made(self, transport): self.transport = transport
    def data_received(self, data): self.transport.write(data)
async def main():
    server = await asyncio.get_running_loop().create_server(Echo, sys.argv[1], 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().create_future()
uvloop.run(main())
"""


class Asker(asyncio.Protocol):
    """One message at a time; `took` in ms from the moment at which it was due."""

    def __init__(self, took: list[float]) -> None:
        self.took, self.due, self.transport = took, 0.0, None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.took.append((time.perf_counter() - self.due) * 1000.0)


async def relay_added() -> tuple[float, float]:
    """p99 with a relay and without: the median over seconds, of each in turn."""
    host = random_loopback_host(random.SystemRandom())
    echo = await spawn(sys.executable, "-c", ECHO, host, stdout=asyncio.subprocess.PIPE)
    assert echo.stdout is not None
    port = int(await echo.stdout.readline())
    relays = Relays(Ways())
    relay = Relay(relays.ways, Place.of("a"), Place.of("b"), (host, port))
    relays.add(relay, (random_loopback_host(random.SystemRandom()), 0))
    loop = asyncio.get_running_loop()
    via_host, _, via_port = relay.endpoint.rpartition(":")
    found: dict[bool, list[float]] = {True: [], False: []}
    seconds: dict[bool, list[float]] = {True: [], False: []}
    askers = {}
    for via, at in ((True, (via_host, int(via_port))), (False, (host, port))):
        askers[via] = [(await loop.create_connection(lambda via=via: Asker(found[via]), *at))[1] for _ in range(40)]  # type: ignore[misc]
    for second in range(2 * SECONDS):
        via = second % 2 == 0
        began = time.perf_counter()
        for n in range(int(RATE)):
            due = began + n / RATE
            if (wait := due - time.perf_counter()) > 0:
                await asyncio.sleep(wait)
            asker: Any = askers[via][n % 40]
            asker.due = time.perf_counter()
            asker.transport.write(b"x" * 120)
        await asyncio.sleep(0.1)
        seconds[via].append(statistics.quantiles(found[via], n=100)[98])
        found[via].clear()
    relays.close()
    echo.kill()
    await echo.wait()
    return statistics.median(seconds[True]), statistics.median(seconds[False])


# What is left behind


def folders() -> set[str]:
    return {path.name for path in Path(tempfile.gettempdir()).glob(f"{PREFIX}*")}


def marked_by(known: set[int]) -> set[int]:
    """Processes with a trial's mark that were not there before."""
    found = set()
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal() and int(entry.name) not in known:
            try:
                if f"{MARK}=".encode() in (entry / "environ").read_bytes():
                    found.add(int(entry.name))
            except OSError:
                continue
    return found


def broken_off(number: int) -> None:
    rng = random.Random(number)
    runner = subprocess.Popen(
        command("run", "calm", *SHORT, "--set", "lasts_s=60"),
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    time.sleep(rng.uniform(0.4, 4.0))
    runner.send_signal(rng.choice((signal.SIGKILL, signal.SIGINT, signal.SIGTERM)))
    runner.wait()


def left_behind(count: int) -> int:
    before, known = folders(), marked_by(set())
    many(broken_off, range(count))
    ends = time.monotonic() + 20.0
    while time.monotonic() < ends and (folders() - before or marked_by(known)):
        time.sleep(0.1)
    return len(folders() - before) + len(marked_by(known))


# Judges, floors, false verdicts


def bites(given: tuple[str, Scenario, Any], folder: Path) -> bool:
    rule, scenario, flaw = given
    path = folder / f"{flaw.__name__}.toml"
    seeds.write(seeds.Seed(scenario, 5), path)
    bad = trial("replay", str(path), "--flaw", flaw.__name__)
    seen = {each[0] for each in (*bad["result"]["broken"], *bad["late_rules"])}
    say(f"  {rule}: {'bites' if rule in seen else 'does not bite'}")
    return rule in seen


def on_both(name: str) -> tuple[str, str, str]:
    """The schedule, the real verdict, the simulated one."""
    given = str(ROOT / "tests" / "sim" / "seeds" / name) if name.endswith(".toml") else name
    verb = "replay" if name.endswith(".toml") else "run"
    simulated = subprocess.run(
        [sys.executable, "-B", "-m", "elderlock.cli.main", "sim", verb, given, "--json"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    return name, trial(verb, given)["verdict"], "good" if simulated.returncode == 0 else "broken"


def false_verdicts(count: int) -> tuple[int, int]:
    """Runs of a good build that are told broken beside as many busy loops as there are cores, and those told late."""
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(os.cpu_count() or 1)]
    try:
        found = many(lambda n: trial("run", "calm", *SHORT, "--seed", str(n))["verdict"], range(count), 6)
    finally:
        for each in busy:
            each.kill()
            each.wait()
    return found.count("broken"), found.count("late")


# Power


WRITER = """
import os, sys
from pathlib import Path
from elderlock.control.records import Record
from elderlock.fleet.messages import AuditLine
from elderlock.trial.disk import TrialHost
from elderlock.trial.seam import Block
home, seam = Path(sys.argv[1]), Path(sys.argv[2])
block = Block(seam)
block.begins(os.getpid())
host = TrialHost(block, home, seam.with_suffix(".durable"))
store = host.store(home / "store.db")
print(0, flush=True)
for n in range(1, 400):
    host.write_private(home / "boot", b"%d" % n)
    line = AuditLine(0.0, "an", "operator", "drain", n, "")
    store.save_records([Record("box", f"s-{n}", True, n, "o", "an", 0.0)], line)
    print(n, flush=True)
"""


def power_point(after: int) -> bool:
    """Power is lost after so many steps of the disk, the last write torn: whether all that was told is there."""
    with tempfile.TemporaryDirectory() as folder:
        home, seam = Path(folder) / "home", Path(folder) / "a.seam"
        home.mkdir()
        block = Block(seam, make=True)
        block.kill_after(after)
        done = subprocess.run(
            [sys.executable, "-c", WRITER, str(home), str(seam)], cwd=ROOT, capture_output=True, text=True, check=False
        )
        told = int((done.stdout.split() or ["0"])[-1])
        disk.lose_power(home, disk.load(seam.with_suffix(".durable")), random.Random(after))
        store = Store(home / "store.db")
        held = {record.generation for record in store.records()}
        whole = store.damaged_file is None and held >= set(range(1, told + 1))
        store.close()
        return whole


async def start_of_five() -> float:
    began = time.perf_counter()
    async with standing():
        return time.perf_counter() - began


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--long", action="store_true")
    long = options.parse_args().long
    began = time.monotonic()
    starts = [uvloop.run(start_of_five()) for _ in range(3)]
    with_relay, without = uvloop.run(relay_added())
    say(f"five processes up in {min(starts):.2f} s; p99 {with_relay:.2f} ms with a relay, {without:.2f} without")
    large = trial("run", "calm", "--set", "limiters=24", "--set", "agents=8", "--set", "boxes=12", "--set", "lasts_s=4")
    say(f"{large['processes']} processes, {large['links']} links: {large['verdict']}")
    points = 60 if long else 30
    whole = many(power_point, range(points), os.cpu_count() or 1)
    say(f"power lost at {points} steps: all that was told is there after {sum(whole)}")
    with tempfile.TemporaryDirectory() as folder:
        bitten = many(lambda given: bites(given, Path(folder)), BITES)
    seen = {rule for (rule, _, _), bit in zip(BITES, bitten, strict=True) if bit}
    kept = sorted(path.name for path in (ROOT / "tests" / "sim" / "seeds").glob("*.toml"))
    played = many(on_both, [*BOTH, *kept] * (3 if long else 1))
    differ = [(name, real, other) for name, real, other in played if real != other and real != "late"]
    for name, real, other in played:
        say(f"  {name}: {real} on real processes, {other} in the simulation")
    left = left_behind(60 if long else 20)
    false, late = false_verdicts(50)
    say(f"{left} left behind; of 50 runs beside a busy machine {false} told broken and {late} late")
    kinds = {(kind, what) for kind, able in ABLE.items() for what in able}
    print(
        json.dumps(
            {
                "processes": large["processes"],
                "links": large["links"],
                "faults_kinds": len(kinds) - sum(map(_unplayed, kinds)),
                "start_s_5_processes": round(min(starts), 2),
                "relay_added_p99_ms": round(with_relay - without, 2),
                "left_behind": left,
                "judges": len({rule for rule, _, _ in BITES}),
                "judges_shown_to_bite": len(seen),
                "schedules": len(played),
                "verdicts_differ": len(differ),
                "false_verdicts": false,
                "late_verdicts": late,
                "power_loss_points": points,
                "power_loss_points_whole": sum(whole),
                "bugs_found": BUGS_FOUND,
                "took_s": round(time.monotonic() - began, 1),
            }
        )
    )


def _unplayed(kind: tuple[str, str]) -> bool:
    target = {
        "box": "box:0",
        "limiter": "limiter:0",
        "agent": "agent:0",
        "floor": "floor:0",
        "way": "way:limiter:0>box:0",
    }.get(kind[0], kind[0])
    scenario = scenario_of("calm", ROOT)
    fault = msgspec.convert({"at_s": 1.0, "what": kind[1], "target": target}, Fault)
    return bool(unplayable(msgspec.structs.replace(scenario, fault=(fault,)), "trial"))


if __name__ == "__main__":
    main()
