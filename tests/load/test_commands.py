"""`elderlock load` as people meet it: files, reports, a group of its own, exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from elderlock.cli.main import main
from elderlock.cli.running import groups
from elderlock.fleet import messages as f
from elderlock.fleet.agent.worker_leasing import WorkerLeasing
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.config import FileError, read_agent
from elderlock.load import messages as m
from elderlock.load.coordinator import Coordinator
from elderlock.load.remote import RemoteLine
from elderlock.load.report import Exit, Report, decode
from elderlock.load.scenario import parse
from elderlock.spawning import spawn
from elderlock.standins.delays import Target
from elderlock.standins.fault_schedule import FaultError, PlannedFault, check
from elderlock.standins.waiting import run, until
from elderlock.standins.world import ROOT, World

COMMAND = [sys.executable, "-B", "-m", "elderlock.cli.main", "load"]
SCENARIO = """
name = "small"
for_s = 1
fail_if = ["share.served<1%"]
[[stream]]
name = "a"
plan = "shop"
shape = [{ kind = "steady", rate = 80 }]
accounts = { count = 5 }
"""


async def call(*words: str, **environ: str) -> tuple[int, str, str]:
    process = await spawn(*COMMAND, *words, cwd=ROOT, env={**os.environ, **environ}, stdout=-1, stderr=-1)
    out, err = await process.communicate()
    assert process.returncode is not None
    return process.returncode, out.decode(), err.decode()


def fits(code: int, made: Report, otherwise: Exit = Exit.DONE) -> bool:
    """Whether that is the code of such a report: a busy machine holds up the generator too, which then names the seconds
    in which it was late and ends with BEHIND; with nothing to name it ends as it does `otherwise`."""
    return code == made.exit == (Exit.BEHIND if made.behind else otherwise)


def test_a_run_its_report_its_page_its_trace_and_two_compared(tmp_path: Path) -> None:
    async def test() -> None:
        target = await Target({"kind": "constant", "ms": 5}).start()
        file = tmp_path / "small.toml"
        file.write_text(SCENARIO)
        paths = {name: str(tmp_path / name) for name in ("a.json", "b.json", "page.html", "t.jsonl.gz", "r.csv", "key")}
        code, out, err = await call(
            "run",
            str(file),
            "--target",
            target.endpoint,
            "--json",
            paths["a.json"],
            "--html",
            paths["page.html"],
            "--record",
            paths["t.jsonl.gz"],
        )
        first = decode(Path(paths["a.json"]).read_bytes())
        assert fits(code, first), out + err
        assert "answered" in out and "late p99" in err
        assert "<svg" in Path(paths["page.html"]).read_text()
        sent = first.ledger["sent"]
        # what was sent is a trace that can be checked, renamed by a key and played again
        assert (await call("check", paths["t.jsonl.gz"]))[1].startswith(f"{sent} requests of 5 accounts")
        Path(paths["key"]).write_bytes(b"0123456789abcdef")
        assert (await call("rename", paths["t.jsonl.gz"], paths["r.csv"], "--key", paths["key"]))[0] == Exit.DONE
        again = tmp_path / "again.toml"
        again.write_text('name = "small"\n[replay]\npath = "r.csv"\n')
        code, _, err = await call(
            "run", str(again), "--target", target.endpoint, "--json", paths["b.json"], "--fail-if", "p50<1s", "--quiet"
        )
        second = decode(Path(paths["b.json"]).read_bytes())
        assert fits(code, second, Exit.FAILED) and second.failed and err == ""
        assert second.ledger["sent"] == sent
        code, out, _ = await call("compare", paths["a.json"], paths["b.json"], "--json")
        assert code == Exit.DONE and {row["what"] for row in json.loads(out)["differences"]} >= {"p50 ms", "p99 ms"}
        shown = (await call("show", paths["a.json"], "--fail-if", "unanswered>=0"))[0]
        assert shown == (Exit.BEHIND if first.behind else Exit.FAILED)
        await target.close()

    run(test(), within=60.0)


def test_a_full_disk_costs_the_report_and_not_the_figures(tmp_path: Path) -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        file = tmp_path / "small.toml"
        file.write_text(SCENARIO)
        # a bound on what a process may write to one file is met as a full disk is
        command = ["bash", "-c", 'ulimit -f 1; trap "" XFSZ; exec "$@"', "bash", *COMMAND]
        words = ["run", str(file), "--target", target.endpoint, "--quiet", "--json", str(tmp_path / "out.json")]
        process = await spawn(*command, *words, cwd=ROOT, stdout=-1, stderr=-1)
        out, err = await process.communicate()
        assert process.returncode == Exit.INCOMPLETE
        assert b"answered" in out and b"not written" in err
        assert not list(tmp_path.glob("*out.json*"))
        await target.close()

    run(test())


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["run", "no-such"], "there are quiet-day, rainy-flood"),
        (["run", "/no/such.toml"], "No such file"),
        (["run", "quiet-day", "--fail-if", "p99>3"], "a time needs its unit"),
        (["run", "quiet-day", "--target", "nowhere"], "is not an address"),
        (["run", "quiet-day", "--json", "/no/folder/x"], "no such folder"),
        (["run", "quiet-day", "--for", "20", "--set", "stream.0.plan=7"], "stream[0].plan"),
        (["show", "pyproject.toml"], "not a report"),
        (["check", "/no/trace"], "No such file"),
        (["rename", "a", "b", "--key", "/no/key"], "No such file"),
    ],
)
def test_bad_input_gets_one_clear_line(words: list[str], said: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["load", *words]) == Exit.USAGE
    error = capsys.readouterr().err
    assert said in error and error.count("\n") == 1


def test_a_whole_group_with_troubles_in_one_command(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "up.toml"
        file.write_text(
            SCENARIO.replace("for_s = 1", "for_s = 3") + "[group]\nlimiters = 2\nboxes = 3\n"
            '[[trouble]]\nat_s = 0.5\nfor_s = 1\nwhat = "slow"\ntarget = "s-00"\n'
            '[[trouble]]\nat_s = 1\nwhat = "kill"\ntarget = "n1"\n'
        )
        folder = tmp_path / "t"
        folder.mkdir()
        code, out, err = await call("up", str(file), "--json", str(tmp_path / "up.json"), TMPDIR=str(folder))
        made = decode((tmp_path / "up.json").read_bytes())
        assert fits(code, made), out + err
        assert [text for _, text in made.trouble] == ["s-00 slow by 200 ms", "n1 killed", "s-00 mended"]
        assert made.ledger["offered"] == made.ledger["sent"] + made.ledger["unsent"] and made.outcomes["served"] > 100
        assert not list(folder.iterdir())
        code, _, err = await call("up", str(file), "--set", "trouble.0.target='moon'", TMPDIR=str(folder))
        assert code == Exit.USAGE and "there is no 'moon' to break" in err

    run(test(), within=90.0)


def test_the_grpc_door_is_asked_and_lookups_follow(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "up.toml"
        file.write_text(SCENARIO.replace("for_s = 1", "for_s = 2") + "[group]\nlimiters = 2\nboxes = 3\n")
        code, out, err = await call("up", str(file), "--door", "grpc", "--json", str(tmp_path / "up.json"))
        made = decode((tmp_path / "up.json").read_bytes())
        assert fits(code, made), out + err
        assert made.ledger["answered"] == made.ledger["scheduled"] > 100 and "unreported" not in made.counts
        assert made.outcomes["served"] > 0.9 * made.ledger["scheduled"]

    run(test(), within=90.0)


def test_troubles_that_cannot_be_made_are_refused_first(tmp_path: Path) -> None:
    async def test() -> None:
        world = World(tmp_path, limiters=1, boxes=2)
        await world.open()
        for what, target in (("kill", "s-00"), ("drain", "counter"), ("slow", "n0"), ("empty", "discovery")):
            with pytest.raises(FaultError):
                check([PlannedFault(0, 0, what, target)], world)  # type: ignore[arg-type]
        check(
            [PlannedFault(0, 0, "silent", "peers"), PlannedFault(0, 0, "drain", "*"), PlannedFault(0, 0, "kill", "n0")],
            world,
        )
        await world.close()

    run(test())


# Workers that other machines lend


def test_a_lent_worker_loses_no_frame_to_a_lost_answer_and_takes_none_twice() -> None:
    async def test() -> None:
        lending = WorkerLeasing(1)
        clock = [m.encode(m.Clock(n)) for n in range(3)]
        assert lending.is_new_job("a") and not lending.refusal()
        taken, first, _, _ = await lending.exchange_frames("a", 0, clock[:2], 0, False)
        assert (taken, first) == (2, 0) and "are in use" in lending.refusal()
        frames: tuple[bytes, ...] = ()
        while len(frames) < 2:  # asked again and again, as if each answer were lost; the words come twice too
            await asyncio.sleep(0.01)
            taken, first, frames, _ = await lending.exchange_frames("a", 0, clock, 0, False)
        while len(frames) < 3:
            await asyncio.sleep(0.01)
            taken, first, frames, ended = await lending.exchange_frames("a", 3, (), 0, False)
        told = [m.from_worker(frame) for frame in frames]
        assert [message.number for message in told if isinstance(message, m.Told)] == [0, 1, 2] and taken == 3
        _, first, frames, ended = await lending.exchange_frames("a", 3, (), 2, False)
        assert (first, len(frames), ended) == (2, 1, "")
        assert (await lending.exchange_frames("a", 3, (), 3, True))[3] == "ended as asked" and lending.is_new_job("a")
        lending.close()

    run(test())


def test_workers_of_an_agents_machine_share_the_load(tmp_path: Path) -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        world = World(tmp_path, limiters=0, boxes=0, lend=1)
        world.write_files()
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "elderlock.cli.main", "agent", str(world.agent_path(0))],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
        )
        group = Group.read(world.group_path)
        while not isinstance(await group.ask("agent-0", lambda id: f.Audit(id), f.Audited, 1.0), f.Audited):
            await asyncio.sleep(0.02)
        scenario = parse(SCENARIO, "test", [f"targets.addresses=['{target.endpoint}']", "for_s=2"])
        lines = [RemoteLine(group, "agent-0", 0)]
        made = await Coordinator(scenario, lines).run()
        assert fits(made.exit, made) and made.outcomes["served"] == made.ledger["scheduled"] > 100, made
        assert any("clock of worker 0 at agent-0 is known within" in note for note in made.notes)
        audit = await group.ask("agent-0", lambda id: f.Audit(id), f.Audited, 1.0)
        assert isinstance(audit, f.Audited) and any("lent a worker" in line.what for line in audit.lines)
        # an agent that dies takes its worker along: what it was to send is missing, and told
        lines = [RemoteLine(group, "agent-0", 0)]
        long = parse(SCENARIO, "test", [f"targets.addresses=['{target.endpoint}']", "for_s=3"])
        coordinator = Coordinator(long, lines)
        running = asyncio.ensure_future(coordinator.run())
        await until(lambda: bool(coordinator.totals.counts["offered"]))
        process.send_signal(signal.SIGKILL)
        process.wait()
        made = await running
        assert made.exit == Exit.INCOMPLETE and made.ledger["missing"] > 0
        group.close()
        await target.close()

    run(test(), within=60.0)


def test_a_machine_lends_none_unless_its_file_says_so(tmp_path: Path) -> None:
    world = World(tmp_path, limiters=1, lend=65)
    world.write_files()
    with pytest.raises(FileError, match="workers must be between 0 and 64"):
        read_agent(world.agent_path(0))
    assert "lends no workers" in WorkerLeasing(0).refusal()


def test_the_groups_that_are_up_are_found_and_no_one_elses(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    for name, mode in (("elderlock-up-a", 0o700), ("elderlock-up-open", 0o755), ("other", 0o700)):
        (tmp_path / name).mkdir()
        (tmp_path / name / "group.toml").touch()
        (tmp_path / name).chmod(mode)
    (tmp_path / "elderlock-up-empty").mkdir(mode=0o700)
    assert groups() == [str(tmp_path / "elderlock-up-a" / "group.toml")]
