"""Kills the processes of `elderlock up` or of a trial and removes their folder, however their starter ended.

The guard's standard input is a pipe that nobody writes to; its end means that the starter is gone. Every process that
the starter starts inherits a mark in its environment, by which the guard finds it, so that a reused pid is never
mistaken for one of them.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

MARK = "ELDERLOCK_UP"  # the environment variable that holds the mark
GRACE_S = 5.0  # between SIGTERM and SIGKILL


def marked_pids(value: str) -> list[int]:
    """Return the pids of the running processes with this mark, except the caller's own."""
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
    """Send a signal to each process with this mark."""
    for pid in marked_pids(value):
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            continue


def sweep(value: str, folder: Path, grace_s: float = GRACE_S, sleep: Callable[[float], None] = time.sleep) -> None:
    """End all processes with a mark and remove their folder.

    Args:
        value: The mark.
        folder: The folder to remove.
        grace_s: How long, in seconds, the processes may take to end after SIGTERM, before they are killed.
        sleep: Waits for a number of seconds.
    """
    signal_all(value, signal.SIGTERM)
    kill_at = time.monotonic() + grace_s
    while marked_pids(value) and time.monotonic() < kill_at:
        sleep(0.05)
    while marked_pids(value):  # an agent may have started another process in the meantime
        signal_all(value, signal.SIGKILL)
        sleep(0.02)
    shutil.rmtree(folder, ignore_errors=True)


def main() -> None:
    """Wait until the starter is gone, then sweep; the arguments are the folder and, optionally, `grace_s`."""
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    sys.stdin.buffer.read()
    sweep(os.environ[MARK], Path(sys.argv[1]), float(sys.argv[2]) if len(sys.argv) > 2 else GRACE_S)


if __name__ == "__main__":
    main()
