"""A child's disk: killed between any two steps of a write, out of power, full, lying, torn."""

from __future__ import annotations

import random
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from elderlock.control.records import Record
from elderlock.fleet.agent_store import Store, StoreError
from elderlock.fleet.messages import AuditLine
from elderlock.standins.world import ROOT
from elderlock.trial import disk
from elderlock.trial.control_block import RUNS, Block, Disk, Step

LINE = AuditLine(0.0, "an", "operator", "drain", 1, "")

CHILD = """
import sys
from pathlib import Path
from elderlock.control.records import Record
from elderlock.fleet.messages import AuditLine
from elderlock.trial.disk import TrialHost
from elderlock.trial.control_block import Block

home, seam = Path(sys.argv[1]), Path(sys.argv[2])
block = Block(seam)
block.begins(__import__("os").getpid())
host = TrialHost(block, home, seam.with_suffix(".durable"))
store = host.store(home / "store.db")
print("ready", flush=True)
for n in range(1, 200):
    host.write_private(home / "boot", b"%d" % n)
    record = Record("box", f"s-{n}", True, n, "o", "an", 0.0)
    store.save_records([record], AuditLine(0.0, "an", "operator", "drain", n, ""))
    print(n, flush=True)  # told: from here on it must be there
"""


def told_before_it_died(home: Path, seam: Path) -> int:
    done = subprocess.run(
        [sys.executable, "-c", CHILD, str(home), str(seam)], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == -signal.SIGKILL, done.stderr
    return int(done.stdout.split()[-1].replace("ready", "0"))


def grounds(tmp_path: Path) -> tuple[Path, Path, Block]:
    home, seam = tmp_path / "home", tmp_path / "a.seam"
    home.mkdir()
    return home, seam, Block(seam, make=True)


@pytest.mark.parametrize("lost", ["power", "process"])
@pytest.mark.parametrize("after", [0, 1, 2, 3, 4, 5, 6, 7, 23])
def test_what_was_told_is_there_whichever_step_the_death_came_after(after: int, lost: str, tmp_path: Path) -> None:
    home, seam, block = grounds(tmp_path)
    block.kill_after(after)
    told = told_before_it_died(home, seam)
    assert block.exit == RUNS and block.steps == after + 1 and not block.armed
    if lost == "power":
        disk.lose_power(home, disk.load(seam.with_suffix(".durable")), random.Random(after))
    store = Store(home / "store.db")
    assert store.damaged_file is None
    held = {record.generation for record in store.records()}
    assert held >= set(range(1, told + 1)) and len(held) <= told + 1
    boot = home / "boot"
    if boot.exists():  # whole, and never newer than what was begun
        assert 0 < int(boot.read_bytes()) <= told + 1
    store.close()


@pytest.mark.parametrize("step", [Step.BEGINS, Step.WRITTEN, Step.SYNCED, Step.RENAMED])
def test_a_file_is_the_old_or_the_new_one_at_each_step(step: Step, tmp_path: Path) -> None:
    home, seam, block = grounds(tmp_path)
    block.kill_at(step)
    assert told_before_it_died(home, seam) == 0
    boot = home / "boot"
    assert boot.exists() == (step is Step.RENAMED)
    if step is Step.RENAMED:
        assert boot.read_bytes() == b"1"
        disk.lose_power(home, disk.load(seam.with_suffix(".durable")))
        assert not boot.exists()  # its folder was never synced: the power took the name


def test_a_lying_disk_loses_what_it_said_was_kept_and_a_good_one_does_not(tmp_path: Path) -> None:
    home, seam, block = grounds(tmp_path)
    host = disk.TrialHost(block, home, seam.with_suffix(".durable"))
    store = host.store(home / "store.db")
    store.save_records([Record("box", "s-1", True, 1, "o", "an", 0.0)], LINE)
    block.disk = Disk.LIES
    store.save_records([Record("box", "s-2", True, 2, "o", "an", 0.0)], LINE)
    store.close()
    lost = disk.lose_power(home, disk.load(seam.with_suffix(".durable")))
    assert any(name.startswith("store.db") for name in lost)
    again = Store(home / "store.db")
    assert [record.target for record in again.records()] == ["s-1"]
    again.close()


def test_a_full_disk_and_one_that_errs_are_told_and_change_nothing(tmp_path: Path) -> None:
    home, seam, block = grounds(tmp_path)
    host = disk.TrialHost(block, home, seam.with_suffix(".durable"))
    store = host.store(home / "store.db")
    for fails, words in ((Disk.FULL, "full"), (Disk.ERROR, "I/O error")):
        block.disk = fails
        with pytest.raises(StoreError, match=words):
            store.save_records([Record("box", "s-1", True, 1, "o", "an", 0.0)], LINE)
        with pytest.raises(OSError):
            host.write_private(home / "boot", b"x")
    block.disk = Disk.GOOD
    assert store.records() == () and not (home / "boot").exists()
    store.save_records([Record("box", "s-1", True, 1, "o", "an", 0.0)], LINE)
    store.close()


def test_an_old_state_and_none_are_put_in_place_and_sockets_stay(tmp_path: Path) -> None:
    import socket

    home, old = tmp_path / "home", tmp_path / "old"
    (home / "n0").mkdir(parents=True)
    (home / "store.db").write_text("old")
    disk.copy_home(home, old)
    (home / "store.db").write_text("new")
    (home / "n0" / "records").write_text("new")
    with socket.socket(socket.AF_UNIX) as bound:
        bound.bind(str(home / "n0" / "c.sock"))
        disk.put_home(home, old)
        assert (home / "store.db").read_text() == "old" and not (home / "n0" / "records").exists()
        disk.put_home(home, None)
        assert not (home / "store.db").exists() and (home / "n0" / "c.sock").exists()


def test_a_seam_of_another_making_is_refused(tmp_path: Path) -> None:
    (tmp_path / "x.seam").write_bytes(b"\0" * 4096)
    with pytest.raises(ValueError, match="not a seam"):
        Block(tmp_path / "x.seam")
