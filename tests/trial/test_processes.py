"""Several limiters and agents as real processes, with faults between them; and the command `elderlock trial`."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import pytest
from trial_runs import run_trial

from elderlock.fleet import messages
from elderlock.sim.scenario import Fault, FaultKind, Plan, Scenario, with_load
from elderlock.standins.waiting import run, until
from elderlock.standins.world import ROOT
from elderlock.trial.faults import TrialFaults
from elderlock.trial.guard import MARK
from elderlock.trial.harness import Harness, TrialError
from elderlock.trial.processes import guarded_folder, short_temp_folder
from elderlock.trial.running_harness import PREFIX, check_invariants, running_harness

WITH_QUOTA = (Plan("plain", rate=20.0, burst=30.0),)


def scenario(**changes: Any) -> Scenario:
    defaults = Scenario("trial", **{"lasts_s": 4.0, "warm_s": 0.5, "rest_s": 1.0, "boxes": 6, "agents": 2, **changes})
    return with_load(0.2, defaults, 50)


async def wait_for_answers(harness: Harness, count: int = 20) -> None:
    """Wait until this many more requests were served."""
    assert harness.clients is not None
    counts = harness.clients.counts
    goal = counts["served"] + count
    await until(lambda: counts["served"] >= goal)


async def records_of(harness: Harness, count: int) -> dict[str, messages.Shown]:
    """Wait until this many agents answer and have the same records; return what they show."""
    while True:
        agent_status = await harness.show_agents()
        if len(agent_status) == count and len(set(harness.digests(agent_status).values())) == 1:
            return agent_status
        await asyncio.sleep(0.05)


def test_a_harness_starts_is_checked_and_leaves_no_process(tmp_path: Path) -> None:
    async def test() -> str:
        async with running_harness() as harness:
            harness.start_clients()
            await wait_for_answers(harness)
            assert len(await harness.show_agents()) == 2
            assert check_invariants(harness).broken == []
            assert {
                incarnation.process.pid for limiter in harness.limiter_processes for incarnation in limiter.incarnations
            } == set(harness._pids().values())
            return harness.mark

    mark = run(test(), within=60.0)
    assert marked(mark) == []


def marked(mark: str) -> list[int]:
    from elderlock.trial.guard import marked_pids

    return marked_pids(mark)


def test_datagrams_are_cut_in_one_direction_while_connections_work() -> None:
    """Datagrams of n0 do not reach n1, while those of n1 reach n0 and both limiters serve clients."""

    async def test() -> None:
        async with running_harness(plan=WITH_QUOTA, accounts=6) as harness:
            seen: list[tuple[int, int]] = []
            harness.datagrams.on_delivered = lambda owner, receiver, data: seen.append((owner, receiver))
            harness.start_clients()
            await until(lambda: {(0, 1), (1, 0)} <= set(seen))
            harness.relays.inject("cut", [("n0", "n1")])
            await asyncio.sleep(0)  # datagrams that are under way arrive within 0.5 ms
            dropped = harness.datagrams.dropped
            await until(lambda: harness.datagrams.dropped > dropped)
            seen.clear()
            await until(lambda: seen.count((1, 0)) >= 3)
            assert (0, 1) not in seen
            await wait_for_answers(harness)
            assert check_invariants(harness).broken == []

    run(test(), within=60.0)


def test_an_agent_stopped_for_longer_than_its_lease_does_not_restore_an_old_record() -> None:
    """Guards against a drain that comes back after its undrain.

    agent-0 is stopped for longer than the 5 s of its lease, and a drain that it knows is undone at agent-1 meanwhile. It
    continues with open sockets and the old record, which must not replace the newer one.
    """

    async def test() -> None:
        async with running_harness() as harness:
            harness.start_clients()
            faults = TrialFaults(harness)
            assert await faults.run_command("an", "drain", "box", "s-00", within=10.0) == 0
            harness.signal("agent-0", signal.SIGSTOP, "")
            stopped_at_s = time.monotonic()
            await faults.run_command("binh", "undrain", "box", "s-00", within=1.0)
            agent_status = await harness.show_agents()
            (record,) = (record for record in agent_status["agent-1"].records if record.target == "s-00")
            assert not record.is_drained
            await until(lambda: time.monotonic() - stopped_at_s > 6.0)
            harness.signal("agent-0", signal.SIGCONT, "")
            for status in (await records_of(harness, 2)).values():
                assert [(r.is_drained, r.generation) for r in status.records] == [(False, record.generation)]
            continued_at = harness.at()
            await until(
                lambda: any(
                    event.name == "ran" and event.args[0] == "s-00" and event.at > continued_at
                    for event in harness.bench.events[-50:]
                )
            )

    run(test(), within=90.0)


@pytest.mark.parametrize("what", ["kill-write", "kill-sync", "kill-rename"])
def test_a_confirmed_drain_survives_a_kill_during_a_write_and_a_power_loss_of_all(what: FaultKind) -> None:
    """A drain that the command confirmed is in force again afterwards, agents agree, and no request is lost."""
    faults = (Fault(0.5, what, "agent:0"), Fault(0.6, "op-drain", "box:2", by=8.0), Fault(3.0, "power", "house", 0.4))
    outcome = run_trial(scenario(fault=faults))
    assert outcome.verdict() != "broken", outcome.text()
    exit_codes = dict(outcome.commands)
    ends = [event for event in outcome.events if event.name == "process" and event.args[1:] == ("ends", -9)]
    assert len({event.args[0] for event in ends if event.args[0].startswith("agent")}) == 2
    if exit_codes["drain s-02"] == 0:
        sent = [event for event in outcome.events if event.name == "sent" and event.args[1] == "s-02"]
        last_power_loss = max(event.at for event in outcome.events if event.name == "power")
        assert not [event for event in sent if event.at > last_power_loss + 1.0]


def test_three_power_losses_in_a_row_with_torn_writes_break_no_rule() -> None:
    faults = tuple(Fault(at, "power", "house", 0.3) for at in (1.0, 2.2, 3.4))
    drain = Fault(0.95, "op-drain", "box:1", by=8.0)
    outcome = run_trial(scenario(fault=(drain, *faults)))
    assert outcome.verdict() != "broken", outcome.text()
    assert sum(event.name == "power" for event in outcome.events) == 6


def test_agents_restarted_from_an_old_state_and_from_none_get_the_present_records() -> None:
    faults = (
        Fault(0.5, "op-drain", "box:3", by=8.0),
        Fault(2.0, "old-state", "agent:0"),
        Fault(3.5, "no-state", "agent:1"),
    )
    outcome = run_trial(scenario(fault=faults))
    assert outcome.verdict() != "broken", outcome.text()
    digests = [event.args[0] for event in outcome.events if event.name == "digests"][-1]
    assert dict(outcome.commands)["drain s-03"] == 0 and len(set(json.loads(digests).values())) == 1


def test_slow_reset_and_half_closed_links_break_no_rule() -> None:
    links = (
        "limiter:0>box:1",
        "box:2>limiter:1",
        "clients>limiter:0",
        "discovery>limiter:2",
        "agent:0>agent:1",
        "agent:1>limiter:2",
    )
    kinds: list[tuple[FaultKind, float]] = [
        ("late", 60.0),
        ("trickle", 3000.0),
        ("reset", 0.0),
        ("half-close", 0.0),
        ("cut", 0.0),
    ]
    faults = []
    for number, link in enumerate(links):
        for kind_number, (kind, by) in enumerate(kinds):
            if not (link.startswith("clients") and kind in ("late", "trickle", "cut")):
                at = 0.3 + 0.11 * ((number * len(kinds) + kind_number * 7) % 30)
                faults.append(
                    Fault(round(at, 3), kind, f"way:{link}", 0.0 if kind in ("reset", "half-close") else 0.5, by)
                )
    outcome = run_trial(scenario(fault=tuple(faults), plan=WITH_QUOTA, lasts_s=4.5))
    assert outcome.verdict() != "broken", outcome.text()
    assert not outcome.unplayed


def test_a_clock_a_day_ahead_and_one_in_1970_break_no_rule() -> None:
    faults = (
        Fault(0.5, "clock", "limiter:0", by=86_400_000.0),
        Fault(0.6, "clock", "agent:0", by=-1.7e12),
        Fault(1.0, "op-drain", "box:1", by=8.0),
        Fault(2.0, "kill", "limiter:0"),
        Fault(2.2, "kill", "agent:0"),
    )
    outcome = run_trial(scenario(fault=faults, rest_s=2.0))
    assert outcome.verdict() != "broken", outcome.text()


def test_the_error_for_a_port_in_use_names_the_limiter_and_its_last_log_line() -> None:
    async def test() -> None:
        with guarded_folder(PREFIX, 0.0, short_temp_folder()) as (folder, mark):
            harness = Harness(scenario(agents=0, limiters=2), folder, mark)
            try:
                await harness.open()
                host, _, port = harness.listens[1].rpartition(":")
                with socket.socket() as taken:
                    taken.bind((host, int(port)))
                    with pytest.raises(TrialError, match=r"n1 did not accept clients .* n1: elderlock: .*in use"):
                        await harness.start(within=3.0)
            finally:
                await harness.close()

    run(test(), within=60.0)


# The command, as a separate process


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


def start_trial(*arguments: str, **options: Any) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "elderlock.cli.main", "trial", *arguments],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **options,
    )


def eventually(condition: Callable[[], object], within: float = 40.0) -> None:
    ends_s = time.monotonic() + within  # only a hang takes that long
    while not condition():
        assert time.monotonic() < ends_s
        time.sleep(0.02)


def children_of(pid: int) -> dict[int, list[str]]:
    """Return the command lines of the processes that have the same mark as a child of `pid`, by pid."""
    found: dict[int, list[str]] = {}
    marks = set()
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal():
            with contextlib.suppress(OSError):
                environ = (entry / "environ").read_bytes().split(b"\0")
                mark = next((word for word in environ if word.startswith(MARK.encode() + b"=")), None)
                parent = int((entry / "stat").read_text().rpartition(")")[2].split()[1])
                if mark is not None and parent == pid:
                    marks.add(mark)
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal():
            with contextlib.suppress(OSError):
                if marks & set((entry / "environ").read_bytes().split(b"\0")):
                    found[int(entry.name)] = (entry / "cmdline").read_text().split("\0")
    return found


STAGES: dict[str, Callable[[Iterable[list[str]]], bool]] = {
    "guard runs": lambda commands: any("elderlock.trial.guard" in word for command in commands for word in command),
    "agents start": lambda commands: any("agent" in command for command in commands),
    "limiters run": lambda commands: sum("limiter" in command for command in commands) == 3,
}


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL], ids=["Ctrl-C", "killed"])
@pytest.mark.parametrize("stage", list(STAGES))
def test_a_runner_that_ends_at_any_stage_leaves_nothing_behind(stage: str, number: signal.Signals) -> None:
    runner = start_trial("run", "calm", *SHORT_RUN, "--set", "lasts_s=600", "--set", "agents=1")
    eventually(lambda: STAGES[stage](children_of(runner.pid).values()))
    (guard,) = (pid for pid, command in children_of(runner.pid).items() if "elderlock.trial.guard" in command)
    environ = Path(f"/proc/{guard}/environ").read_bytes().split(b"\0")
    mark = next(word for word in environ if word.startswith(MARK.encode())).decode().partition("=")[2]
    folder = Path(Path(f"/proc/{guard}/cmdline").read_text().split("\0")[4])
    assert folder.name.startswith(PREFIX) and folder.is_dir()
    runner.send_signal(number)
    out, err = runner.communicate(timeout=60.0)
    eventually(lambda: not folder.exists() and not marked(mark) and not Path(f"/proc/{guard}").exists())
    if number is signal.SIGINT:
        assert runner.returncode == 130, err


def test_too_few_descriptors_are_reported_and_nothing_is_left_behind() -> None:
    limited = ["bash", "-c", 'ulimit -n 40; exec "$0" "$@"', sys.executable, "-B", "-m", "elderlock.cli.main", "trial"]
    done = subprocess.run(
        [*limited, "run", "calm", *SHORT_RUN], cwd=ROOT, capture_output=True, text=True, check=False, timeout=60
    )
    assert (
        done.returncode == 2
        and "descriptors for its relays, and may have 40" in done.stderr
        and "Traceback" not in done.stderr
    ), done.stderr


def test_two_concurrent_trials_do_not_interfere(tmp_path: Path) -> None:
    runs = [start_trial("run", "calm", *SHORT_RUN, "--keep", str(tmp_path / str(n)), "--json") for n in range(2)]
    for n, runner in enumerate(runs):
        out, err = runner.communicate(timeout=90.0)
        assert runner.returncode in (0, 8), err
        page = (tmp_path / str(n) / "page.html").read_text()
        assert "<svg" in page and "http" not in page.replace("http://www.w3.org/2000/svg", "")
        assert (tmp_path / str(n) / "history.jsonl").stat().st_size > 1000


def test_ten_processes_on_one_busy_core_get_no_false_verdict() -> None:
    core = {min(os.sched_getaffinity(0))}
    busy = subprocess.Popen(
        [sys.executable, "-c", "while True: pass"], preexec_fn=lambda: os.sched_setaffinity(0, core)
    )
    try:
        runner = start_trial(
            "run",
            "calm",
            *SHORT_RUN,
            "--set",
            "limiters=8",
            "--set",
            "agents=2",
            "--set",
            "floors=2",
            preexec_fn=lambda: os.sched_setaffinity(0, core),
        )
        out, err = runner.communicate(timeout=150.0)
        assert runner.returncode in (0, 8), out + err
    finally:
        busy.kill()
        busy.wait()


def test_the_command_reports_invalid_arguments() -> None:
    for arguments, message in (
        (["run", "calm", "--set", "limiters=31"], "real processes on one machine are 30 at the most"),
        (["run", "calm", "--flaw", "none"], "there is no flaw 'none'"),
        (["check", "calm", "--set", "boxes=0"], "boxes"),
        (["replay", "/nowhere.toml"], "/nowhere.toml"),
    ):
        done = subprocess.run(
            [sys.executable, "-B", "-m", "elderlock.cli.main", "trial", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2 and message in done.stderr and "Traceback" not in done.stderr, done.stderr
