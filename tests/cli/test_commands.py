"""The command as a person or a script meets it: exit codes, tables, pipes, completion, `up`."""

import asyncio
import atexit
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import pytest

from elderlock.cli.main import main, parser
from elderlock.fleet.client.report import Exit
from elderlock.spawning import spawn
from elderlock.standins.agents import SimulatedAgents
from elderlock.standins.waiting import run
from elderlock.standins.world import ROOT, write_private_file
from elderlock.trial import guard

COMMAND = [sys.executable, "-B", "-m", "elderlock.cli.main"]


def call(*words: str, **environ: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [*COMMAND, *words],
        cwd=ROOT,
        env={**os.environ, **environ},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


@pytest.mark.parametrize("name", ["show", "compare", "drain", "undrain", "start", "stop", "audit", "agent", "up"])
def test_help_shows_an_example_and_the_exit_codes(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        parser().parse_args([name, "--help"])
    text = capsys.readouterr().out
    assert ended.value.code == 0
    assert f"example:\n  elderlock {name} " in text or f"example:\n  elderlock {name}\n" in text
    assert all(f"\n  {code.value}  " in text for code in Exit)


@pytest.mark.parametrize(
    "words",
    [["drain", "rack", "s"], ["drain", "box"], ["show", "--deadline", "x"], ["show", "--deadline", "-1"], ["none"]],
)
def test_bad_usage_is_exit_2(words: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(words)
    assert ended.value.code == 2


def test_a_group_that_cannot_be_used_is_one_plain_line(tmp_path: Path) -> None:
    for words, text in (
        (["show"], "no group: give --group FILE or set ELDERLOCK_GROUP"),
        (["show", "--group", str(tmp_path / "none")], "No such file"),
        (["agent", str(tmp_path / "none")], "No such file"),
    ):
        done = call(*words, ELDERLOCK_GROUP="")
        assert done.returncode == 2 and done.stdout == ""
        assert done.stderr.startswith("elderlock: ") and done.stderr.count("\n") == 1 and text in done.stderr


@pytest.mark.parametrize("shell", ["bash", "zsh"])
def test_completion_knows_the_commands(shell: str) -> None:
    done = call("completion", shell)
    assert done.returncode == 0
    assert "undrain" in done.stdout and "--give-up-after" in done.stdout


def test_all_agents_are_asked_at_once_and_one_that_is_gone_costs_only_its_own_deadline(tmp_path: Path) -> None:
    async def test() -> None:
        agents = SimulatedAgents(60)
        await agents.open()
        write_private_file(tmp_path / "token", "0123456789abcdef")
        group = tmp_path / "group.toml"
        agents.write_group(group, "token")
        silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = silent.sockets[0].getsockname()[1]
        text = group.read_text()
        for name, at in (("mute", port), ("gone", 1)):
            text += f'\n[[agent]]\nname = "{name}"\naddress = "127.0.0.1:{at}"\n'
        group.write_text(text)
        process = await spawn(
            *COMMAND, "show", "--json", "--group", str(group), cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        out, _ = await process.communicate()
        seen = json.loads(out)
        assert process.returncode == Exit.PART
        assert len(seen["agents"]) == 60 and set(seen["missing"]) == {"mute", "gone"}
        assert seen["missing"]["gone"]["why"] == "nothing listens there"
        table = await spawn(*COMMAND, "show", "--group", str(group), cwd=ROOT, stdout=asyncio.subprocess.PIPE)
        out, _ = await table.communicate()
        assert b"\x1b" not in out  # no colour into a pipe
        assert b"agent gone does not answer: nothing listens there" in out
        assert out.splitlines()[0].split()[:4] == [b"LIMITER", b"AGENT", b"PHASE", b"LINK"]
        silent.close()
        await agents.close()

    run(test())


def test_a_closed_pipe_is_no_error() -> None:
    line = f"{' '.join(COMMAND)} completion bash | head -1"
    done = subprocess.run(line, cwd=ROOT, shell=True, capture_output=True, text=True, check=False)
    assert done.stdout and done.stderr == ""


def test_a_group_that_cannot_come_up_is_said_at_once(tmp_path: Path) -> None:
    long = tmp_path / ("x" * 100)
    long.mkdir()
    done = call("up", TMPDIR=str(long))
    assert done.returncode == Exit.NOTHING
    assert "is too long for a socket" in done.stderr
    assert not list(long.iterdir())


# up


class Up:
    def __init__(self, tmp: Path, *words: str) -> None:
        tmp.mkdir(exist_ok=True)
        self.tmp = tmp
        self.process = subprocess.Popen(
            [*COMMAND, "up", "--limiters", "2", "--boxes", "3", *words],
            cwd=ROOT,
            text=True,
            env={**os.environ, "TMPDIR": str(tmp)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        atexit.register(self.process.kill)  # a test that fails leaves no group behind: its guard sweeps

    def ready(self) -> dict[str, str]:
        """Reads until it says how to stop; what it said of where to ask."""
        assert self.process.stdout is not None
        found: dict[str, str] = {}
        for line in self.process.stdout:
            if "ELDERLOCK_GROUP=" in line:
                found["ELDERLOCK_GROUP"] = line.partition("ELDERLOCK_GROUP=")[2].strip()
            if "stop:" in line:
                return found
        raise AssertionError("it ended before it was ready")

    def mark(self) -> str:
        """Of a live process that belongs to it."""
        for pid in self.children():
            for part in Path(f"/proc/{pid}/environ").read_bytes().split(b"\0"):
                if part.startswith(guard.MARK.encode()):
                    return part.decode().partition("=")[2]
        raise AssertionError("no process of it has a mark")

    def children(self) -> list[int]:
        pid = self.process.pid
        return [int(n) for n in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]

    def leaves_nothing(self, mark: str) -> None:
        ends = time.monotonic() + 30.0  # reached by a hang alone
        while guard.marked(mark) or any(self.tmp.iterdir()):
            assert time.monotonic() < ends, guard.marked(mark)
            time.sleep(0.02)


def test_up_starts_a_group_that_can_be_asked_and_drained_and_leaves_nothing(tmp_path: Path) -> None:
    up = Up(tmp_path / "t", "--traffic", "40")
    environ = up.ready()
    mark = up.mark()
    # told of no group, a command finds the one that is up
    shown = call("show", "--json", TMPDIR=str(tmp_path / "t"))
    assert shown.returncode == Exit.DONE, shown.stderr
    (agent,) = json.loads(shown.stdout)["agents"].values()
    assert [limiter["phase"] for limiter in agent["limiters"]] == ["running", "running"]
    drained: Any = call("drain", "limiter", "n1", "--json", "--give-up-after", "20", **environ)
    account = json.loads(drained.stdout)
    assert drained.returncode == account["exit"] == Exit.DONE
    assert [(row["limiter"], row["state"]) for row in account["rows"]] == [("n1", "reached")]
    unsafe = call("drain", "limiter", "n0", **environ)
    assert unsafe.returncode == Exit.UNSAFE and "the last limiter in service" in unsafe.stderr
    different = call("compare", **environ)
    assert different.returncode == Exit.DONE
    audit = call("audit", **environ)
    assert "drain limiter n1" in audit.stdout and "n1: reached" in audit.stdout
    up.process.send_signal(signal.SIGINT)
    assert up.process.wait(30) == 0
    up.leaves_nothing(mark)


def test_up_leaves_nothing_after_ctrl_c_twice(tmp_path: Path) -> None:
    up = Up(tmp_path / "t", "--traffic", "40")
    up.ready()
    mark = up.mark()
    up.process.send_signal(signal.SIGINT)
    up.process.send_signal(signal.SIGINT)
    up.process.wait(30)
    up.leaves_nothing(mark)


@pytest.mark.parametrize("part", ["up", "agent", "limiter"])
def test_up_leaves_nothing_after_a_part_of_it_is_killed(part: str, tmp_path: Path) -> None:
    up = Up(tmp_path / "t")
    environ = up.ready()
    mark = up.mark()

    def pid_of(word: bytes) -> int:
        return next(p for p in guard.marked(mark) if word in Path(f"/proc/{p}/cmdline").read_bytes().split(b"\0"))

    if part == "up":
        up.process.kill()
    else:
        before = pid_of(b"agent" if part == "agent" else b"elderlock")
        os.kill(before, signal.SIGKILL)
        ends = time.monotonic() + 30.0
        while call("show", **environ).returncode != Exit.DONE:  # it is started again, and all is seen
            assert time.monotonic() < ends
        up.process.send_signal(signal.SIGTERM)
    up.process.wait(30)
    up.leaves_nothing(mark)


def test_a_sweep_knows_its_own_by_the_mark_alone() -> None:
    with tempfile.TemporaryDirectory() as folder:
        here = Path(folder) / "x"
        here.mkdir()
        mine = subprocess.Popen(["sleep", "60"], env={**os.environ, guard.MARK: "test-mine"})
        other = subprocess.Popen(["sleep", "60"], env={**os.environ, guard.MARK: "test-mine-too"})
        try:
            guard.sweep("test-mine", here, orderly=0.0)
            assert mine.wait(10) in (-signal.SIGTERM, -signal.SIGKILL)
            assert other.poll() is None and not here.exists()
        finally:
            other.kill()
            other.wait()
