"""Sweeps up after `elderlock up` or a trial, however that ended: kills what it started and removes its folder.

Its standard input is a pipe that nobody writes to; its end means that the starter is gone. What belongs to it is
known by a mark in the environment, which every process started from it inherits: no pid can be confused.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

MARK = "ELDERLOCK_UP"
ORDERLY = 5.0  # s between SIGTERM and SIGKILL


def marked_pids(value: str) -> list[int]:
    """The pids of live processes with that mark, but our own."""
    wanted, found = f"{MARK}={value}".encode(), []
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal() and int(entry.name) != os.getpid():
            try:
                environ = (entry / "environ").read_bytes().split(b"\0")
                state = (entry / "stat").read_text().rpartition(")")[2].split()[0]
            except OSError:
                continue
            if wanted in environ and state not in ("Z", "X"):
                found.append(int(entry.name))
    return found


def signal_all(value: str, number: signal.Signals) -> None:
    for pid in marked_pids(value):
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            continue


def sweep(value: str, folder: Path, grace_s: float = ORDERLY, sleep: Callable[[float], None] = time.sleep) -> None:
    signal_all(value, signal.SIGTERM)
    ends = time.monotonic() + grace_s
    while marked_pids(value) and time.monotonic() < ends:
        sleep(0.05)
    while marked_pids(value):  # an agent may have started one more in the meantime
        signal_all(value, signal.SIGKILL)
        sleep(0.02)
    shutil.rmtree(folder, ignore_errors=True)


def main() -> None:
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    sys.stdin.buffer.read()
    sweep(os.environ[MARK], Path(sys.argv[1]), float(sys.argv[2]) if len(sys.argv) > 2 else ORDERLY)


if __name__ == "__main__":
    main()
