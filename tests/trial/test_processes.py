"""Several limiters and agents as real processes, and faults between them: the hard cases of the proving ground."""

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

from elderlock.fleet import messages as f
from elderlock.sim.scenario import Fault, Plan, Scenario, What, of_load
from elderlock.standins.waiting import run, until
from elderlock.standins.world import ROOT
from elderlock.trial.faults import TrialFaults
from elderlock.trial.ground import Ground, TrialError
from elderlock.trial.guard import MARK
from elderlock.trial.processes import guarded, short_temp
from elderlock.trial.standing import PREFIX, judged, standing

QUOTED = (Plan("plain", rate=20.0, burst=30.0),)


def scenario(**changes: Any) -> Scenario:
    given = Scenario("trial", **{"lasts_s": 4.0, "warm_s": 0.5, "rest_s": 1.0, "boxes": 6, "agents": 2, **changes})
    return of_load(0.2, given, 50)


async def answered(ground: Ground, more: int = 20) -> None:
    """So many requests more have got an answer."""
    assert ground.clients is not None
    counts = ground.clients.counts
    goal = counts["served"] + more
    await until(lambda: counts["served"] >= goal)


async def records_of(ground: Ground, count: int) -> dict[str, f.Shown]:
    """Once so many agents answer and hold the same records."""
    while True:
        shown = await ground.shown()
        if len(shown) == count and len(set(ground.digests(shown).values())) == 1:
            return shown
        await asyncio.sleep(0.05)


def test_a_ground_stands_and_is_judged_and_gone(tmp_path: Path) -> None:
    async def test() -> str:
        async with standing() as ground:
            ground.ask()
            await answered(ground)
            assert len(await ground.shown()) == 2
            assert judged(ground).broken == []
            assert {life.process.pid for m in ground.members for life in m.lives} == set(ground._pids().values())
            return ground.mark

    mark = run(test(), within=60.0)
    assert _marked(mark) == []


def _marked(mark: str) -> list[int]:
    from elderlock.trial.guard import marked

    return marked(mark)


def test_datagrams_are_cut_one_way_while_streams_live() -> None:
    """n0's questions do not come to n1 any more; n1's come to n0, and clients are served by both."""

    async def test() -> None:
        async with standing(plan=QUOTED, accounts=6) as ground:
            seen: list[tuple[int, int]] = []
            ground.datagrams.on_delivered = lambda owner, receiver, data: seen.append((owner, receiver))
            ground.ask()
            await until(lambda: {(0, 1), (1, 0)} <= set(seen))
            ground.relays.befall("cut", [("n0", "n1")])
            await asyncio.sleep(0)  # what was under way has its 0.5 ms
            dropped = ground.datagrams.dropped
            await until(lambda: ground.datagrams.dropped > dropped)
            seen.clear()
            await until(lambda: seen.count((1, 0)) >= 3)
            assert (0, 1) not in seen
            await answered(ground)
            assert judged(ground).broken == []

    run(test(), within=60.0)


def test_one_that_is_stopped_for_longer_than_its_claims_finds_out_before_it_acts() -> None:
    """agent-0 is stopped for longer than the 5 s of its claim, while a drain is made and taken back at the other; it wakes
    with its sockets open and with what it believed, and must not bring the old record to life."""

    async def test() -> None:
        async with standing() as ground:
            ground.ask()
            faults = TrialFaults(ground)
            assert await faults.told("an", "drain", "box", "s-00", within=10.0) == 0
            ground.signal("agent-0", signal.SIGSTOP, "")
            stopped = time.monotonic()
            await faults.told("binh", "undrain", "box", "s-00", within=1.0)
            shown = await ground.shown()
            (record,) = (r for r in shown["agent-1"].records if r.target == "s-00")
            assert not record.is_drained
            await until(lambda: time.monotonic() - stopped > 6.0)
            ground.signal("agent-0", signal.SIGCONT, "")
            for each in (await records_of(ground, 2)).values():
                assert [(r.is_drained, r.generation) for r in each.records] == [(False, record.generation)]
            woke = ground.at()
            await until(
                lambda: any(
                    event.what == "ran" and event.args[0] == "s-00" and event.at > woke
                    for event in ground.bench.events[-50:]
                )
            )

    run(test(), within=90.0)


@pytest.mark.parametrize("what", ["kill-write", "kill-sync", "kill-rename"])
def test_an_agent_killed_between_two_steps_of_a_write_and_then_all_without_power(what: What) -> None:
    """A drain that a tool told as done is in force again after the loss; agents agree, and no request is lost."""
    faults = (
        Fault(0.5, what, "agent:0"),
        Fault(0.6, "op-drain", "box:2", by=8.0),
        Fault(3.0, "power", "house", 0.4),
    )
    outcome = run_trial(scenario(fault=faults))
    assert outcome.verdict() != "broken", outcome.text()
    told = dict(outcome.commands)
    ends = [event for event in outcome.events if event.what == "process" and event.args[1:] == ("ends", -9)]
    assert len({event.args[0] for event in ends if event.args[0].startswith("agent")}) == 2
    if told["drain s-02"] == 0:
        heard = [event for event in outcome.events if event.what == "sent" and event.args[1] == "s-02"]
        last = max(event.at for event in outcome.events if event.what == "power")
        assert not [event for event in heard if event.at > last + 1.0]


def test_power_lost_three_times_in_a_row_with_a_torn_write_each_time() -> None:
    faults = tuple(Fault(at, "power", "house", 0.3) for at in (1.0, 2.2, 3.4))
    drain = Fault(0.95, "op-drain", "box:1", by=8.0)
    outcome = run_trial(scenario(fault=(drain, *faults)))
    assert outcome.verdict() != "broken", outcome.text()
    assert sum(event.what == "power" for event in outcome.events) == 6


def test_an_agent_back_from_an_old_state_and_one_from_none_learn_what_holds() -> None:
    faults = (
        Fault(0.5, "op-drain", "box:3", by=8.0),
        Fault(2.0, "old-state", "agent:0"),
        Fault(3.5, "no-state", "agent:1"),
    )
    outcome = run_trial(scenario(fault=faults))
    assert outcome.verdict() != "broken", outcome.text()
    digests = [event.args[0] for event in outcome.events if event.what == "digests"][-1]
    assert dict(outcome.commands)["drain s-03"] == 0 and len(set(json.loads(digests).values())) == 1


def test_wires_that_are_late_trickle_reset_and_half_closed_break_no_rule() -> None:
    ways = (
        "limiter:0>box:1",
        "box:2>limiter:1",
        "clients>limiter:0",
        "discovery>limiter:2",
        "agent:0>agent:1",
        "agent:1>limiter:2",
    )
    whats: list[tuple[What, float]] = [
        ("late", 60.0),
        ("trickle", 3000.0),
        ("reset", 0.0),
        ("half-close", 0.0),
        ("cut", 0.0),
    ]
    faults = []
    for number, way in enumerate(ways):
        for other, (what, by) in enumerate(whats):
            if not (way.startswith("clients") and what in ("late", "trickle", "cut")):
                at = 0.3 + 0.11 * ((number * len(whats) + other * 7) % 30)
                faults.append(
                    Fault(round(at, 3), what, f"way:{way}", 0.0 if what in ("reset", "half-close") else 0.5, by)
                )
    outcome = run_trial(scenario(fault=tuple(faults), plan=QUOTED, lasts_s=4.5))
    assert outcome.verdict() != "broken", outcome.text()
    assert not outcome.unplayed


def test_a_clock_a_day_off_and_one_in_1970_break_no_rule() -> None:
    faults = (
        Fault(0.5, "clock", "limiter:0", by=86_400_000.0),
        Fault(0.6, "clock", "agent:0", by=-1.7e12),
        Fault(1.0, "op-drain", "box:1", by=8.0),
        Fault(2.0, "kill", "limiter:0"),
        Fault(2.2, "kill", "agent:0"),
    )
    outcome = run_trial(scenario(fault=faults, rest_s=2.0))
    assert outcome.verdict() != "broken", outcome.text()


def test_a_port_that_is_taken_is_said_with_the_limiter_and_its_last_words() -> None:
    async def test() -> None:
        with guarded(PREFIX, 0.0, short_temp()) as (folder, mark):
            ground = Ground(scenario(agents=0, limiters=2), folder, mark)
            try:
                await ground.open()
                host, _, port = ground.listens[1].rpartition(":")
                with socket.socket() as taken:
                    taken.bind((host, int(port)))
                    with pytest.raises(TrialError, match=r"n1 did not take clients .* n1: elderlock: .*in use"):
                        await ground.start(within=3.0)
            finally:
                await ground.close()

    run(test(), within=60.0)


# The command, as a process of its own


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


def command(*words: str, **more: Any) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "elderlock.cli.main", "trial", *words],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **more,
    )


def eventually(true: Callable[[], object], within: float = 40.0) -> None:
    ends = time.monotonic() + within  # reached by a hang alone
    while not true():
        assert time.monotonic() < ends
        time.sleep(0.02)


def children_of(pid: int) -> dict[int, list[str]]:
    """Processes whose mark is that of a process started by `pid`, with their command."""
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
    "just begun": lambda words: any("elderlock.trial.guard" in word for each in words for word in each),
    "agents start": lambda words: any("agent" in each for each in words),
    "limiters run": lambda words: sum("limiter" in each for each in words) == 3,
}


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL], ids=["Ctrl-C", "killed"])
@pytest.mark.parametrize("stage", list(STAGES))
def test_a_runner_that_ends_at_any_stage_leaves_nothing_behind(stage: str, number: signal.Signals) -> None:
    runner = command("run", "calm", *SHORT, "--set", "lasts_s=600", "--set", "agents=1")
    eventually(lambda: STAGES[stage](children_of(runner.pid).values()))
    (guard,) = (pid for pid, words in children_of(runner.pid).items() if "elderlock.trial.guard" in words)
    environ = Path(f"/proc/{guard}/environ").read_bytes().split(b"\0")
    mark = next(word for word in environ if word.startswith(MARK.encode())).decode().partition("=")[2]
    folder = Path(Path(f"/proc/{guard}/cmdline").read_text().split("\0")[4])
    assert folder.name.startswith(PREFIX) and folder.is_dir()
    runner.send_signal(number)
    out, err = runner.communicate(timeout=60.0)
    eventually(lambda: not folder.exists() and not _marked(mark) and not Path(f"/proc/{guard}").exists())
    if number is signal.SIGINT:
        assert runner.returncode == 130, err


def test_few_descriptors_are_said_and_nothing_is_left() -> None:
    short = ["bash", "-c", 'ulimit -n 40; exec "$0" "$@"', sys.executable, "-B", "-m", "elderlock.cli.main", "trial"]
    done = subprocess.run(
        [*short, "run", "calm", *SHORT], cwd=ROOT, capture_output=True, text=True, check=False, timeout=60
    )
    assert (
        done.returncode == 2
        and "descriptors for its relays, and may have 40" in done.stderr
        and "Traceback" not in done.stderr
    ), done.stderr


def test_two_trials_at_once_do_not_meet(tmp_path: Path) -> None:
    runs = [command("run", "calm", *SHORT, "--keep", str(tmp_path / str(n)), "--json") for n in range(2)]
    for n, each in enumerate(runs):
        out, err = each.communicate(timeout=90.0)
        assert each.returncode in (0, 8), err
        page = (tmp_path / str(n) / "page.html").read_text()
        assert "<svg" in page and "http" not in page.replace("http://www.w3.org/2000/svg", "")
        assert (tmp_path / str(n) / "history.jsonl").stat().st_size > 1000


def test_ten_processes_start_at_once_on_one_busy_core_and_no_verdict_is_false() -> None:
    core = {min(os.sched_getaffinity(0))}
    busy = subprocess.Popen(
        [sys.executable, "-c", "while True: pass"], preexec_fn=lambda: os.sched_setaffinity(0, core)
    )
    try:
        runner = command(
            "run",
            "calm",
            *SHORT,
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


def test_the_command_says_what_it_cannot_do() -> None:
    for words, said in (
        (["run", "calm", "--set", "limiters=31"], "real processes on one machine are 30 at the most"),
        (["run", "calm", "--flaw", "none"], "there is no flaw 'none'"),
        (["check", "calm", "--set", "boxes=0"], "boxes"),
        (["replay", "/nowhere.toml"], "/nowhere.toml"),
    ):
        done = subprocess.run(
            [sys.executable, "-B", "-m", "elderlock.cli.main", "trial", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2 and said in done.stderr and "Traceback" not in done.stderr, done.stderr
