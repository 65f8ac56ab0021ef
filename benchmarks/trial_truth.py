"""Measures how accurate the test harness `elderlock.trial` is.

It measures the latency that a relay adds, what interrupted runs leave behind, which invariant checkers detect their
mutants on real processes, whether a real and a simulated run of a scenario get the same verdict, and how often a
verdict on a busy machine is false. Ratios and counts are valid on any machine, times only on the one that it ran on.

`--long` runs each scenario three times and interrupts 60 runs.
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
from elderlock.sim.experiment import load_scenario
from elderlock.sim.scenario import FAULTS_BY_TARGET, Fault, Scenario, unsupported_faults
from elderlock.spawning import spawn
from elderlock.standins.world import ROOT, random_loopback_host
from elderlock.trial import disk
from elderlock.trial.control_block import ControlBlock
from elderlock.trial.guard import MARK
from elderlock.trial.link_conditions import LinkFaults, Location
from elderlock.trial.mutant_cases import MUTANT_CASES
from elderlock.trial.relay import Relay, Relays
from elderlock.trial.running_harness import PREFIX, running_harness

RATE_PER_S, BLOCKS = 1000.0, 6  # messages a second, in as many blocks with a relay as without
MAX_PARALLEL_TRIALS = 4
BUGS_FOUND = 4  # while the harness was developed; docs/design/trial.md describes each
SCENARIOS = ("calm", "partition", "drain-and-restart", "power-loss", "one-way", "stopped")
SHORT_RUN = [
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


def command(*arguments: str) -> list[str]:
    """Return the command line of `elderlock trial`."""
    return [sys.executable, "-B", "-m", "elderlock.cli.main", "trial", *arguments]


def run_trial(*arguments: str) -> dict[str, Any]:
    """Run `elderlock trial`; return the JSON that it prints."""
    done = subprocess.run(command(*arguments, "--json"), cwd=ROOT, capture_output=True, text=True, check=False)
    if not done.stdout.startswith("{"):
        raise SystemExit(f"trial {' '.join(arguments)}: exit {done.returncode}\n{done.stderr}")
    output: dict[str, Any] = json.loads(done.stdout)
    return output


def run_in_parallel(
    work: Callable[[Any], Any], values: Sequence[Any], max_parallel: int = MAX_PARALLEL_TRIALS
) -> list[Any]:
    """Call `work` with each value in threads; return the results in the order of the values."""
    with concurrent.futures.ThreadPoolExecutor(max_parallel) as pool:
        return list(pool.map(work, values))


def print_progress(text: str) -> None:
    """Print to standard error; standard output is for the JSON."""
    print(text, file=sys.stderr, flush=True)


# The latency that a relay adds


ECHO_SERVER = """
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


class EchoClient(asyncio.Protocol):
    """Sends one message at a time; `latencies_ms` has the time from each `due_s` to the echo."""

    def __init__(self, latencies_ms: list[float]) -> None:
        self.latencies_ms, self.due_s, self.transport = latencies_ms, 0.0, None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.latencies_ms.append((time.perf_counter() - self.due_s) * 1000.0)


async def measure_relay() -> tuple[float, float]:
    """Return the p99 latency in ms with a relay and without: each the median of blocks that take turns."""
    host = random_loopback_host(random.SystemRandom())
    echo = await spawn(sys.executable, "-c", ECHO_SERVER, host, stdout=asyncio.subprocess.PIPE)
    assert echo.stdout is not None
    port = int(await echo.stdout.readline())
    relays = Relays(LinkFaults())
    relay = Relay(relays.link_faults, Location.of("a"), Location.of("b"), (host, port))
    relays.add(relay, (random_loopback_host(random.SystemRandom()), 0))
    loop = asyncio.get_running_loop()
    relay_host, _, relay_port = relay.endpoint.rpartition(":")
    latencies_ms: dict[bool, list[float]] = {True: [], False: []}
    p99_of_blocks: dict[bool, list[float]] = {True: [], False: []}
    clients = {}
    for has_relay, address in ((True, (relay_host, int(relay_port))), (False, (host, port))):
        clients[has_relay] = [
            (await loop.create_connection(lambda has_relay=has_relay: EchoClient(latencies_ms[has_relay]), *address))[1]  # type: ignore[misc]
            for _ in range(40)
        ]
    for block_number in range(2 * BLOCKS):
        has_relay = block_number % 2 == 0
        began_s = time.perf_counter()
        for n in range(int(RATE_PER_S)):
            due_s = began_s + n / RATE_PER_S
            if (wait := due_s - time.perf_counter()) > 0:
                await asyncio.sleep(wait)
            client: Any = clients[has_relay][n % 40]
            client.due_s = time.perf_counter()
            client.transport.write(b"x" * 120)
        await asyncio.sleep(0.1)
        p99_of_blocks[has_relay].append(statistics.quantiles(latencies_ms[has_relay], n=100)[98])
        latencies_ms[has_relay].clear()
    relays.close()
    echo.kill()
    await echo.wait()
    return statistics.median(p99_of_blocks[True]), statistics.median(p99_of_blocks[False])


# What interrupted runs leave behind


def trial_folders() -> set[str]:
    """Return the names of the temporary folders of trials."""
    return {path.name for path in Path(tempfile.gettempdir()).glob(f"{PREFIX}*")}


def new_marked_pids(known_pids: set[int]) -> set[int]:
    """Return the pids of the processes with a trial's mark, except the known ones."""
    found = set()
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal() and int(entry.name) not in known_pids:
            try:
                if f"{MARK}=".encode() in (entry / "environ").read_bytes():
                    found.add(int(entry.name))
            except OSError:
                continue
    return found


def run_and_interrupt(number: int) -> None:
    """Start a trial and end it by a signal at a random time."""
    rng = random.Random(number)
    runner = subprocess.Popen(
        command("run", "calm", *SHORT_RUN, "--set", "lasts_s=60"),
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    time.sleep(rng.uniform(0.4, 4.0))
    runner.send_signal(rng.choice((signal.SIGKILL, signal.SIGINT, signal.SIGTERM)))
    runner.wait()


def count_left_behind(count: int) -> int:
    """Interrupt this many trials; return how many folders and processes they leave behind."""
    known_folders, known_pids = trial_folders(), new_marked_pids(set())
    run_in_parallel(run_and_interrupt, range(count))
    ends_s = time.monotonic() + 20.0
    while time.monotonic() < ends_s and (trial_folders() - known_folders or new_marked_pids(known_pids)):
        time.sleep(0.1)
    return len(trial_folders() - known_folders) + len(new_marked_pids(known_pids))


# Invariant checkers, comparison with the simulation, false verdicts


def detects_mutant(case: tuple[str, Scenario, Any], folder: Path) -> bool:
    """Return whether the checker of a rule detects a violation by its mutant."""
    rule, scenario, mutant = case
    path = folder / f"{mutant.__name__}.toml"
    seeds.write(seeds.Seed(scenario, 5), path)
    outcome = run_trial("replay", str(path), "--flaw", mutant.__name__)
    rules_detected = {violation[0] for violation in (*outcome["result"]["broken"], *outcome["late_rules"])}
    print_progress(f"  {rule}: {'detected' if rule in rules_detected else 'not detected'}")
    return rule in rules_detected


def compare_with_simulation(name: str) -> tuple[str, str, str]:
    """Return the name of a scenario, and its verdicts on real processes and in the simulation."""
    scenario = str(ROOT / "tests" / "sim" / "seeds" / name) if name.endswith(".toml") else name
    verb = "replay" if name.endswith(".toml") else "run"
    simulated = subprocess.run(
        [sys.executable, "-B", "-m", "elderlock.cli.main", "sim", verb, scenario, "--json"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    return name, run_trial(verb, scenario)["verdict"], "good" if simulated.returncode == 0 else "broken"


def count_false_verdicts(count: int) -> tuple[int, int]:
    """Run the unmodified program on busy cores; return how many verdicts are `broken` and how many `late`."""
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(os.cpu_count() or 1)]
    try:
        verdicts = run_in_parallel(
            lambda n: run_trial("run", "calm", *SHORT_RUN, "--seed", str(n))["verdict"], range(count), 6
        )
    finally:
        for process in busy:
            process.kill()
            process.wait()
    return verdicts.count("broken"), verdicts.count("late")


# Power loss


WRITER = """
import os, sys
from pathlib import Path
from elderlock.control.records import Record
from elderlock.fleet.messages import AuditLine
from elderlock.trial.disk import TrialHost
from elderlock.trial.control_block import ControlBlock
home, block_path = Path(sys.argv[1]), Path(sys.argv[2])
block = ControlBlock(block_path)
block.record_start(os.getpid())
host = TrialHost(block, home, block_path.with_suffix(".durable"))
store = host.store(home / "store.db")
print(0, flush=True)
for n in range(1, 400):
    host.write_private(home / "boot", b"%d" % n)
    line = AuditLine(0.0, "an", "operator", "drain", n, "")
    store.save_records([Record("box", f"s-{n}", True, n, "o", "an", 0.0)], line)
    print(n, flush=True)
"""


def survives_power_loss(after: int) -> bool:
    """Return whether all acknowledged records survive a power loss with a torn write after this many write steps."""
    with tempfile.TemporaryDirectory() as folder:
        home, block_path = Path(folder) / "home", Path(folder) / "a.seam"
        home.mkdir()
        block = ControlBlock(block_path, create=True)
        block.kill_after(after)
        done = subprocess.run(
            [sys.executable, "-c", WRITER, str(home), str(block_path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        acknowledged = int((done.stdout.split() or ["0"])[-1])
        disk.lose_power(home, disk.load_durable(block_path.with_suffix(".durable")), random.Random(after))
        store = Store(home / "store.db")
        stored = {record.generation for record in store.records()}
        is_complete = store.damaged_file is None and stored >= set(range(1, acknowledged + 1))
        store.close()
        return is_complete


async def measure_start() -> float:
    """Return how many seconds a group of five processes takes to start."""
    began_s = time.perf_counter()
    async with running_harness():
        return time.perf_counter() - began_s


def main() -> None:
    """Run all measurements and print them as JSON."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--long", action="store_true")
    long = options.parse_args().long
    began_s = time.monotonic()
    starts = [uvloop.run(measure_start()) for _ in range(3)]
    with_relay, without_relay = uvloop.run(measure_relay())
    print_progress(
        f"five processes up in {min(starts):.2f} s; "
        f"p99 {with_relay:.2f} ms with a relay, {without_relay:.2f} ms without"
    )
    large = run_trial(
        "run", "calm", "--set", "limiters=24", "--set", "agents=8", "--set", "boxes=12", "--set", "lasts_s=4"
    )
    print_progress(f"{large['processes']} processes, {large['links']} links: {large['verdict']}")
    points = 60 if long else 30
    survived = run_in_parallel(survives_power_loss, range(points), os.cpu_count() or 1)
    print_progress(f"power losses at {points} steps: all acknowledged records survived {sum(survived)}")
    with tempfile.TemporaryDirectory() as folder:
        detections = run_in_parallel(lambda case: detects_mutant(case, Path(folder)), MUTANT_CASES)
    rules_detected = {rule for (rule, _, _), is_detected in zip(MUTANT_CASES, detections, strict=True) if is_detected}
    seed_files = sorted(path.name for path in (ROOT / "tests" / "sim" / "seeds").glob("*.toml"))
    verdicts = run_in_parallel(compare_with_simulation, [*SCENARIOS, *seed_files] * (3 if long else 1))
    differing = [
        (name, real_verdict, simulated_verdict)
        for name, real_verdict, simulated_verdict in verdicts
        if real_verdict != simulated_verdict and real_verdict != "late"
    ]
    for name, real_verdict, simulated_verdict in verdicts:
        print_progress(f"  {name}: {real_verdict} on real processes, {simulated_verdict} in the simulation")
    left_behind_count = count_left_behind(60 if long else 20)
    false_count, late_count = count_false_verdicts(50)
    print_progress(
        f"{left_behind_count} left behind; "
        f"of 50 runs on a busy machine {false_count} were judged broken and {late_count} late"
    )
    kinds = {(kind, what) for kind, faults in FAULTS_BY_TARGET.items() for what in faults}
    print(
        json.dumps(
            {
                "processes": large["processes"],
                "links": large["links"],
                "faults_kinds": len(kinds) - sum(map(_is_unsupported, kinds)),
                "start_s_5_processes": round(min(starts), 2),
                "relay_added_p99_ms": round(with_relay - without_relay, 2),
                "left_behind": left_behind_count,
                "judges": len({rule for rule, _, _ in MUTANT_CASES}),
                "judges_shown_to_bite": len(rules_detected),
                "schedules": len(verdicts),
                "verdicts_differ": len(differing),
                "false_verdicts": false_count,
                "late_verdicts": late_count,
                "power_loss_points": points,
                "power_loss_points_whole": sum(survived),
                "bugs_found": BUGS_FOUND,
                "took_s": round(time.monotonic() - began_s, 1),
            }
        )
    )


def _is_unsupported(kind: tuple[str, str]) -> bool:
    """Return whether trials do not support a fault; `kind` has the kinds of its target and of the fault."""
    target = {
        "box": "box:0",
        "limiter": "limiter:0",
        "agent": "agent:0",
        "floor": "floor:0",
        "way": "way:limiter:0>box:0",
    }.get(kind[0], kind[0])
    scenario = load_scenario("calm", ROOT)
    fault = msgspec.convert({"at_s": 1.0, "what": kind[1], "target": target}, Fault)
    return bool(unsupported_faults(msgspec.structs.replace(scenario, fault=(fault,)), "trial"))


if __name__ == "__main__":
    main()
