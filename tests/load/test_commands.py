"""The commands of `elderlock load`: files, reports, a temporary group, leased workers, exit codes."""

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
from elderlock.cli.running_groups import running_group_files
from elderlock.fleet import messages as fleet_messages
from elderlock.fleet.agent.worker_leasing import WorkerLeasing
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.config import FileError, read_agent
from elderlock.load import messages
from elderlock.load.coordinator import Coordinator
from elderlock.load.remote_worker import RemoteWorkerLink
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


async def call(*arguments: str, **environ: str) -> tuple[int, str, str]:
    process = await spawn(*COMMAND, *arguments, cwd=ROOT, env={**os.environ, **environ}, stdout=-1, stderr=-1)
    out, err = await process.communicate()
    assert process.returncode is not None
    return process.returncode, out.decode(), err.decode()


def has_exit_code(code: int, report: Report, otherwise: Exit = Exit.DONE) -> bool:
    """Return whether an exit code matches the report.

    On a busy machine the generator may fall behind. The report then lists the late seconds, and the code is BEHIND;
    without late seconds it is `otherwise`.
    """
    return code == report.exit == (Exit.BEHIND if report.behind else otherwise)


def test_a_run_writes_a_report_a_page_and_a_trace_that_can_be_replayed_and_compared(tmp_path: Path) -> None:
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
        assert has_exit_code(code, first), out + err
        assert "answered" in out and "late p99" in err
        assert "<svg" in Path(paths["page.html"]).read_text()
        sent = first.ledger["sent"]
        # The recorded trace can be checked, renamed by a key and replayed.
        assert (await call("check", paths["t.jsonl.gz"]))[1].startswith(f"{sent} requests of 5 accounts")
        Path(paths["key"]).write_bytes(b"0123456789abcdef")
        assert (await call("rename", paths["t.jsonl.gz"], paths["r.csv"], "--key", paths["key"]))[0] == Exit.DONE
        replay = tmp_path / "replay.toml"
        replay.write_text('name = "small"\n[replay]\npath = "r.csv"\n')
        code, _, err = await call(
            "run", str(replay), "--target", target.endpoint, "--json", paths["b.json"], "--fail-if", "p50<1s", "--quiet"
        )
        second = decode(Path(paths["b.json"]).read_bytes())
        assert has_exit_code(code, second, Exit.FAILED) and second.failed and err == ""
        assert second.ledger["sent"] == sent
        code, out, _ = await call("compare", paths["a.json"], paths["b.json"], "--json")
        assert code == Exit.DONE and {row["what"] for row in json.loads(out)["differences"]} >= {"p50 ms", "p99 ms"}
        code = (await call("show", paths["a.json"], "--fail-if", "unanswered>=0"))[0]
        assert code == (Exit.BEHIND if first.behind else Exit.FAILED)
        await target.close()

    run(test(), within=60.0)


def test_on_a_full_disk_the_summary_is_still_printed(tmp_path: Path) -> None:
    async def test() -> None:
        target = await Target({"kind": "none"}).start()
        file = tmp_path / "small.toml"
        file.write_text(SCENARIO)
        # A limit on the size of files causes write errors as a full disk does.
        command = ["bash", "-c", 'ulimit -f 1; trap "" XFSZ; exec "$@"', "bash", *COMMAND]
        arguments = ["run", str(file), "--target", target.endpoint, "--quiet", "--json", str(tmp_path / "out.json")]
        process = await spawn(*command, *arguments, cwd=ROOT, stdout=-1, stderr=-1)
        out, err = await process.communicate()
        assert process.returncode == Exit.INCOMPLETE
        assert b"answered" in out and b"not written" in err
        assert not list(tmp_path.glob("*out.json*"))
        await target.close()

    run(test())


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["run", "no-such"], "there is no shipped scenario 'no-such'; use one of quiet-day, rainy-flood"),
        (["run", "/no/such.toml"], "No such file"),
        (["run", "quiet-day", "--fail-if", "p99>3"], "a time needs its unit"),
        (["run", "quiet-day", "--target", "nowhere"], "is not an address"),
        (["run", "quiet-day", "--json", "/no/folder/x"], "no such folder"),
        (["run", "quiet-day", "--for", "20", "--set", "stream.0.plan=7"], "stream[0].plan"),
        (["show", "pyproject.toml"], "not a report of a load run"),
        (["check", "/no/trace"], "No such file"),
        (["rename", "a", "b", "--key", "/no/key"], "No such file"),
    ],
)
def test_invalid_input_gives_one_line_of_error(
    arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["load", *arguments]) == Exit.USAGE
    error = capsys.readouterr().err
    assert message in error and error.count("\n") == 1


def test_one_command_starts_a_group_and_injects_faults(tmp_path: Path) -> None:
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
        report = decode((tmp_path / "up.json").read_bytes())
        assert has_exit_code(code, report), out + err
        assert [text for _, text in report.trouble] == ["s-00 slow by 200 ms", "n1 killed", "s-00 mended"]
        assert (
            report.ledger["offered"] == report.ledger["sent"] + report.ledger["unsent"]
            and report.outcomes["served"] > 100
        )
        assert not list(folder.iterdir())
        code, _, err = await call("up", str(file), "--set", "trouble.0.target='moon'", TMPDIR=str(folder))
        assert code == Exit.USAGE and "there is no 'moon' to break" in err

    run(test(), within=90.0)


def test_grpc_requests_are_followed_by_their_lookups(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "up.toml"
        file.write_text(SCENARIO.replace("for_s = 1", "for_s = 2") + "[group]\nlimiters = 2\nboxes = 3\n")
        code, out, err = await call("up", str(file), "--door", "grpc", "--json", str(tmp_path / "up.json"))
        report = decode((tmp_path / "up.json").read_bytes())
        assert has_exit_code(code, report), out + err
        assert report.ledger["answered"] == report.ledger["scheduled"] > 100 and "unreported" not in report.counts
        assert report.outcomes["served"] > 0.9 * report.ledger["scheduled"]

    run(test(), within=90.0)


def test_impossible_faults_are_rejected_before_the_run(tmp_path: Path) -> None:
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


# Workers that are leased from other machines


def test_lost_answers_of_a_leased_worker_neither_lose_nor_duplicate_frames() -> None:
    async def test() -> None:
        leasing = WorkerLeasing(1)
        requests = [messages.encode(messages.ReadClock(n)) for n in range(3)]
        assert leasing.is_new_job("a") and not leasing.refusal()
        taken, first, _, _ = await leasing.exchange_frames("a", 0, requests[:2], 0, False)
        assert (taken, first) == (2, 0) and "are in use" in leasing.refusal()
        frames: tuple[bytes, ...] = ()
        # Each poll repeats the first one, as if its answer were lost, and sends all frames again.
        while len(frames) < 2:
            await asyncio.sleep(0.01)
            taken, first, frames, _ = await leasing.exchange_frames("a", 0, requests, 0, False)
        while len(frames) < 3:
            await asyncio.sleep(0.01)
            taken, first, frames, ended = await leasing.exchange_frames("a", 3, (), 0, False)
        received = [messages.decode_from_worker(frame) for frame in frames]
        numbers = [message.number for message in received if isinstance(message, messages.ClockReading)]
        assert numbers == [0, 1, 2] and taken == 3
        _, first, frames, ended = await leasing.exchange_frames("a", 3, (), 2, False)
        assert (first, len(frames), ended) == (2, 1, "")
        assert (await leasing.exchange_frames("a", 3, (), 3, True))[3] == "ended as asked" and leasing.is_new_job("a")
        leasing.close()

    run(test())


def test_a_worker_leased_from_an_agent_runs_the_load(tmp_path: Path) -> None:
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
        while not isinstance(
            await group.ask("agent-0", lambda id: fleet_messages.Audit(id), fleet_messages.Audited, 1.0),
            fleet_messages.Audited,
        ):
            await asyncio.sleep(0.02)
        scenario = parse(SCENARIO, "test", [f"targets.addresses=['{target.endpoint}']", "for_s=2"])
        links = [RemoteWorkerLink(group, "agent-0", 0)]
        report = await Coordinator(scenario, links).run()
        assert (
            has_exit_code(report.exit, report) and report.outcomes["served"] == report.ledger["scheduled"] > 100
        ), report
        assert any("clock of worker 0 at agent-0 is known within" in note for note in report.notes)
        audit = await group.ask("agent-0", lambda id: fleet_messages.Audit(id), fleet_messages.Audited, 1.0)
        assert isinstance(audit, fleet_messages.Audited) and any("lent a worker" in line.what for line in audit.lines)
        # If the agent dies, its worker dies too, and the requests that it should have sent are reported as missing.
        links = [RemoteWorkerLink(group, "agent-0", 0)]
        long_scenario = parse(SCENARIO, "test", [f"targets.addresses=['{target.endpoint}']", "for_s=3"])
        coordinator = Coordinator(long_scenario, links)
        running = asyncio.ensure_future(coordinator.run())
        await until(lambda: bool(coordinator.totals.counts["offered"]))
        process.send_signal(signal.SIGKILL)
        process.wait()
        report = await running
        assert report.exit == Exit.INCOMPLETE and report.ledger["missing"] > 0
        group.close()
        await target.close()

    run(test(), within=60.0)


def test_an_agent_leases_no_workers_unless_configured(tmp_path: Path) -> None:
    world = World(tmp_path, limiters=1, lend=65)
    world.write_files()
    with pytest.raises(FileError, match="workers must be between 0 and 64"):
        read_agent(world.agent_path(0))
    assert "lends no workers" in WorkerLeasing(0).refusal()


def test_only_private_groups_of_this_user_are_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    for name, mode in (("elderlock-up-a", 0o700), ("elderlock-up-open", 0o755), ("other", 0o700)):
        (tmp_path / name).mkdir()
        (tmp_path / name / "group.toml").touch()
        (tmp_path / name).chmod(mode)
    (tmp_path / "elderlock-up-empty").mkdir(mode=0o700)
    assert running_group_files() == [str(tmp_path / "elderlock-up-a" / "group.toml")]
