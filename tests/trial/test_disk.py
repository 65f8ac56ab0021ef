"""An agent's disk under test: kills between any two write steps, power losses, full and failing disks, torn writes."""

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
from elderlock.trial.control_block import STILL_RUNNING, ControlBlock, DiskFault, WriteStep

AUDIT_LINE = AuditLine(0.0, "an", "operator", "drain", 1, "")

WRITER = """
import sys
from pathlib import Path
from elderlock.control.records import Record
from elderlock.fleet.messages import AuditLine
from elderlock.trial.disk import TrialHost
from elderlock.trial.control_block import ControlBlock

home, block_path = Path(sys.argv[1]), Path(sys.argv[2])
block = ControlBlock(block_path)
block.record_start(__import__("os").getpid())
host = TrialHost(block, home, block_path.with_suffix(".durable"))
store = host.store(home / "store.db")
print("ready", flush=True)
for n in range(1, 200):
    host.write_private(home / "boot", b"%d" % n)
    record = Record("box", f"s-{n}", True, n, "o", "an", 0.0)
    store.save_records([record], AuditLine(0.0, "an", "operator", "drain", n, ""))
    print(n, flush=True)  # the record is acknowledged: from here on it must survive
"""


def acknowledged_before_kill(home: Path, block_path: Path) -> int:
    """Run the writer until it is killed; return the number of the last record that it acknowledged."""
    done = subprocess.run(
        [sys.executable, "-c", WRITER, str(home), str(block_path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == -signal.SIGKILL, done.stderr
    return int(done.stdout.split()[-1].replace("ready", "0"))


def make_home(tmp_path: Path) -> tuple[Path, Path, ControlBlock]:
    home, block_path = tmp_path / "home", tmp_path / "a.seam"
    home.mkdir()
    return home, block_path, ControlBlock(block_path, create=True)


@pytest.mark.parametrize("lost", ["power", "process"])
@pytest.mark.parametrize("after", [0, 1, 2, 3, 4, 5, 6, 7, 23])
def test_acknowledged_records_survive_a_kill_at_any_step(after: int, lost: str, tmp_path: Path) -> None:
    home, block_path, block = make_home(tmp_path)
    block.kill_after(after)
    acknowledged = acknowledged_before_kill(home, block_path)
    assert block.exit_code == STILL_RUNNING and block.step_count == after + 1 and not block.is_kill_armed
    if lost == "power":
        disk.lose_power(home, disk.load_durable(block_path.with_suffix(".durable")), random.Random(after))
    store = Store(home / "store.db")
    assert store.damaged_file is None
    stored = {record.generation for record in store.records()}
    assert stored >= set(range(1, acknowledged + 1)) and len(stored) <= acknowledged + 1
    boot = home / "boot"
    if boot.exists():  # it is complete, and not newer than the write that had begun
        assert 0 < int(boot.read_bytes()) <= acknowledged + 1
    store.close()


@pytest.mark.parametrize("step", [WriteStep.BEGINS, WriteStep.WRITTEN, WriteStep.SYNCED, WriteStep.RENAMED])
def test_a_file_has_its_old_or_its_new_content_at_each_step(step: WriteStep, tmp_path: Path) -> None:
    home, block_path, block = make_home(tmp_path)
    block.kill_at(step)
    assert acknowledged_before_kill(home, block_path) == 0
    boot = home / "boot"
    assert boot.exists() == (step is WriteStep.RENAMED)
    if step is WriteStep.RENAMED:
        assert boot.read_bytes() == b"1"
        disk.lose_power(home, disk.load_durable(block_path.with_suffix(".durable")))
        assert not boot.exists()  # the folder was never synced, so the power loss undid the rename


def test_a_disk_that_lies_about_a_sync_loses_the_data_and_a_good_one_does_not(tmp_path: Path) -> None:
    home, block_path, block = make_home(tmp_path)
    host = disk.TrialHost(block, home, block_path.with_suffix(".durable"))
    store = host.store(home / "store.db")
    store.save_records([Record("box", "s-1", True, 1, "o", "an", 0.0)], AUDIT_LINE)
    block.disk_fault = DiskFault.LIES
    store.save_records([Record("box", "s-2", True, 2, "o", "an", 0.0)], AUDIT_LINE)
    store.close()
    lost = disk.lose_power(home, disk.load_durable(block_path.with_suffix(".durable")))
    assert any(name.startswith("store.db") for name in lost)
    reopened = Store(home / "store.db")
    assert [record.target for record in reopened.records()] == ["s-1"]
    reopened.close()


def test_writes_to_a_full_or_failing_disk_raise_and_change_nothing(tmp_path: Path) -> None:
    home, block_path, block = make_home(tmp_path)
    host = disk.TrialHost(block, home, block_path.with_suffix(".durable"))
    store = host.store(home / "store.db")
    for fault, message in ((DiskFault.FULL, "full"), (DiskFault.ERROR, "I/O error")):
        block.disk_fault = fault
        with pytest.raises(StoreError, match=message):
            store.save_records([Record("box", "s-1", True, 1, "o", "an", 0.0)], AUDIT_LINE)
        with pytest.raises(OSError):
            host.write_private(home / "boot", b"x")
    block.disk_fault = DiskFault.NONE
    assert store.records() == () and not (home / "boot").exists()
    store.save_records([Record("box", "s-1", True, 1, "o", "an", 0.0)], AUDIT_LINE)
    store.close()


def test_a_state_folder_is_replaced_or_emptied_and_its_sockets_stay(tmp_path: Path) -> None:
    import socket

    home, old_home = tmp_path / "home", tmp_path / "old"
    (home / "n0").mkdir(parents=True)
    (home / "store.db").write_text("old")
    disk.copy_home(home, old_home)
    (home / "store.db").write_text("new")
    (home / "n0" / "records").write_text("new")
    with socket.socket(socket.AF_UNIX) as bound:
        bound.bind(str(home / "n0" / "c.sock"))
        disk.replace_home(home, old_home)
        assert (home / "store.db").read_text() == "old" and not (home / "n0" / "records").exists()
        disk.replace_home(home, None)
        assert not (home / "store.db").exists() and (home / "n0" / "c.sock").exists()


def test_a_control_block_without_the_magic_number_is_refused(tmp_path: Path) -> None:
    (tmp_path / "x.seam").write_bytes(b"\0" * 4096)
    with pytest.raises(ValueError, match="not a control block"):
        ControlBlock(tmp_path / "x.seam")
