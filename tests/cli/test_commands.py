"""Tests the command line as people and scripts use it: exit codes, tables, pipes, completion and `elderlock up`."""

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


def run_command(*words: str, **environ: str) -> subprocess.CompletedProcess[str]:
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
    with pytest.raises(SystemExit) as raised:
        parser().parse_args([name, "--help"])
    text = capsys.readouterr().out
    assert raised.value.code == 0
    assert f"example:\n  elderlock {name} " in text or f"example:\n  elderlock {name}\n" in text
    assert all(f"\n  {code.value}  " in text for code in Exit)


@pytest.mark.parametrize(
    "words",
    [["drain", "rack", "s"], ["drain", "box"], ["show", "--deadline", "x"], ["show", "--deadline", "-1"], ["none"]],
)
def test_bad_usage_is_exit_2(words: list[str]) -> None:
    with pytest.raises(SystemExit) as raised:
        main(words)
    assert raised.value.code == 2


def test_an_unusable_group_file_is_reported_in_one_line(tmp_path: Path) -> None:
    for words, text in (
        (["show"], "no group: give --group FILE or set ELDERLOCK_GROUP"),
        (["show", "--group", str(tmp_path / "none")], "No such file"),
        (["agent", str(tmp_path / "none")], "No such file"),
    ):
        done = run_command(*words, ELDERLOCK_GROUP="")
        assert done.returncode == 2 and done.stdout == ""
        assert done.stderr.startswith("elderlock: ") and done.stderr.count("\n") == 1 and text in done.stderr


@pytest.mark.parametrize("shell", ["bash", "zsh"])
def test_completion_contains_the_commands_and_flags(shell: str) -> None:
    done = run_command("completion", shell)
    assert done.returncode == 0
    assert "undrain" in done.stdout and "--give-up-after" in done.stdout


def test_agents_are_asked_in_parallel_and_one_without_an_answer_delays_no_other(tmp_path: Path) -> None:
    async def test() -> None:
        agents = SimulatedAgents(60)
        await agents.open()
        write_private_file(tmp_path / "token", "0123456789abcdef")
        group = tmp_path / "group.toml"
        agents.write_group(group, "token")
        silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = silent.sockets[0].getsockname()[1]
        text = group.read_text()
        for name, agent_port in (("mute", port), ("gone", 1)):
            text += f'\n[[agent]]\nname = "{name}"\naddress = "127.0.0.1:{agent_port}"\n'
        group.write_text(text)
        process = await spawn(
            *COMMAND, "show", "--json", "--group", str(group), cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        out, _ = await process.communicate()
        observation = json.loads(out)
        assert process.returncode == Exit.PART
        assert len(observation["agents"]) == 60 and set(observation["missing"]) == {"mute", "gone"}
        assert observation["missing"]["gone"]["why"] == "nothing listens there"
        table = await spawn(*COMMAND, "show", "--group", str(group), cwd=ROOT, stdout=asyncio.subprocess.PIPE)
        out, _ = await table.communicate()
        assert b"\x1b" not in out  # no escape sequences in a pipe
        assert b"agent gone does not answer: nothing listens there" in out
        assert out.splitlines()[0].split()[:4] == [b"LIMITER", b"AGENT", b"PHASE", b"LINK"]
        silent.close()
        await agents.close()

    run(test())


def test_a_closed_pipe_is_not_an_error() -> None:
    line = f"{' '.join(COMMAND)} completion bash | head -1"
    done = subprocess.run(line, cwd=ROOT, shell=True, capture_output=True, text=True, check=False)
    assert done.stdout and done.stderr == ""


def test_a_group_that_cannot_start_is_reported_at_once(tmp_path: Path) -> None:
    long_path = tmp_path / ("x" * 100)
    long_path.mkdir()
    done = run_command("up", TMPDIR=str(long_path))
    assert done.returncode == Exit.NOTHING
    assert "is too long for a socket" in done.stderr
    assert not list(long_path.iterdir())


# elderlock up


class UpProcess:
    """A process of `elderlock up`, with a folder of its own for temporary files."""

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
        atexit.register(self.process.kill)  # after a failed test the guard process removes the group

    def ready(self) -> dict[str, str]:
        """Read its output until the group is running, and return the environment that selects the group."""
        assert self.process.stdout is not None
        found: dict[str, str] = {}
        for line in self.process.stdout:
            if "ELDERLOCK_GROUP=" in line:
                found["ELDERLOCK_GROUP"] = line.partition("ELDERLOCK_GROUP=")[2].strip()
            if "stop:" in line:
                return found
        raise AssertionError("elderlock up ended before the group was running")

    def mark(self) -> str:
        """Return the value that marks the processes of this group in their environment."""
        for pid in self.children():
            for part in Path(f"/proc/{pid}/environ").read_bytes().split(b"\0"):
                if part.startswith(guard.MARK.encode()):
                    return part.decode().partition("=")[2]
        raise AssertionError("no child process has a mark")

    def children(self) -> list[int]:
        pid = self.process.pid
        return [int(n) for n in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]

    def wait_until_removed(self, mark: str) -> None:
        """Wait until no process and no file of the group is left."""
        deadline = time.monotonic() + 30.0  # reached only if something hangs
        while guard.marked_pids(mark) or any(self.tmp.iterdir()):
            assert time.monotonic() < deadline, guard.marked_pids(mark)
            time.sleep(0.02)


def test_up_starts_a_group_that_answers_commands_and_is_removed_afterwards(tmp_path: Path) -> None:
    up = UpProcess(tmp_path / "t", "--traffic", "40")
    environ = up.ready()
    mark = up.mark()
    # without a group option, a command uses the running group
    shown = run_command("show", "--json", TMPDIR=str(tmp_path / "t"))
    assert shown.returncode == Exit.DONE, shown.stderr
    (agent,) = json.loads(shown.stdout)["agents"].values()
    assert [limiter["phase"] for limiter in agent["limiters"]] == ["running", "running"]
    drained: Any = run_command("drain", "limiter", "n1", "--json", "--give-up-after", "20", **environ)
    report = json.loads(drained.stdout)
    assert drained.returncode == report["exit"] == Exit.DONE
    assert [(row["limiter"], row["state"]) for row in report["rows"]] == [("n1", "reached")]
    unsafe = run_command("drain", "limiter", "n0", **environ)
    assert unsafe.returncode == Exit.UNSAFE and "the last limiter in service" in unsafe.stderr
    compared = run_command("compare", **environ)
    assert compared.returncode == Exit.DONE
    audit = run_command("audit", **environ)
    assert "drain limiter n1" in audit.stdout and "n1: reached" in audit.stdout
    up.process.send_signal(signal.SIGINT)
    assert up.process.wait(30) == 0
    up.wait_until_removed(mark)


def test_the_group_is_removed_after_two_interrupts(tmp_path: Path) -> None:
    up = UpProcess(tmp_path / "t", "--traffic", "40")
    up.ready()
    mark = up.mark()
    up.process.send_signal(signal.SIGINT)
    up.process.send_signal(signal.SIGINT)
    up.process.wait(30)
    up.wait_until_removed(mark)


@pytest.mark.parametrize("part", ["up", "agent", "limiter"])
def test_the_group_is_removed_after_one_of_its_processes_is_killed(part: str, tmp_path: Path) -> None:
    up = UpProcess(tmp_path / "t")
    environ = up.ready()
    mark = up.mark()

    def pid_of(word: bytes) -> int:
        return next(p for p in guard.marked_pids(mark) if word in Path(f"/proc/{p}/cmdline").read_bytes().split(b"\0"))

    if part == "up":
        up.process.kill()
    else:
        pid = pid_of(b"agent" if part == "agent" else b"elderlock")
        os.kill(pid, signal.SIGKILL)
        deadline = time.monotonic() + 30.0
        while run_command("show", **environ).returncode != Exit.DONE:  # until it has restarted and all limiters answer
            assert time.monotonic() < deadline
        up.process.send_signal(signal.SIGTERM)
    up.process.wait(30)
    up.wait_until_removed(mark)


def test_a_sweep_ends_only_processes_with_exactly_its_mark() -> None:
    with tempfile.TemporaryDirectory() as folder:
        group_folder = Path(folder) / "x"
        group_folder.mkdir()
        marked = subprocess.Popen(["sleep", "60"], env={**os.environ, guard.MARK: "test-mine"})
        unrelated = subprocess.Popen(["sleep", "60"], env={**os.environ, guard.MARK: "test-mine-too"})
        try:
            guard.sweep("test-mine", group_folder, grace_s=0.0)
            assert marked.wait(10) in (-signal.SIGTERM, -signal.SIGKILL)
            assert unrelated.poll() is None and not group_folder.exists()
        finally:
            unrelated.kill()
            unrelated.wait()
