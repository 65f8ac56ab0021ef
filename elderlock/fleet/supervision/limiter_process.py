"""The processes of limiters: started apart from the agent so that they outlive it, watched by pidfd.

A pid alone may by now be another program's, so a process is known by its pid and the kernel's start time,
and signalled through a descriptor that stays its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

LONGEST_LOG = 8 << 20  # bytes; then it is put aside, one generation deep


def process_start_ticks(pid: int) -> int:
    """When the process started, in the kernel's ticks since boot; 0 where none lives under that pid."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0
    fields = text.rpartition(")")[2].split()
    return 0 if fields[0] in ("Z", "X") else int(fields[19])


class Process:
    """A live process, ours or adopted. `ended` is called once, in the loop."""

    def __init__(self, pid: int, child: subprocess.Popen[bytes] | None, ended: Callable[[], None]) -> None:
        """Raises `ProcessLookupError` where it is gone already."""
        self.pid, self.start_ticks = pid, process_start_ticks(pid)
        self._child, self._ended = child, ended
        self._fd = os.pidfd_open(pid)
        asyncio.get_running_loop().add_reader(self._fd, self._exited)

    def _exited(self) -> None:
        self.forget()
        if self._child is not None:
            self._child.poll()
        self._ended()

    def signal(self, number: signal.Signals) -> None:
        if self._fd >= 0:
            with contextlib.suppress(ProcessLookupError):  # `_exited` is on its way
                signal.pidfd_send_signal(self._fd, number)

    def forget(self) -> None:
        """Watches it no more; it lives on."""
        if self._fd >= 0:
            asyncio.get_running_loop().remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1


def adopt(pid: int, started: int, ended: Callable[[], None]) -> Process | None:
    """The process that was born then, or None where it is gone."""
    if pid <= 0 or process_start_ticks(pid) != started or not started:
        return None
    try:
        process = Process(pid, None, ended)
    except OSError:
        return None
    if process.start_ticks != started:  # replaced between the two looks
        process.forget()
        return None
    return process


def spawn(
    command: Sequence[str], environ: Mapping[str, str], directory: Path, log: Path, ended: Callable[[], None]
) -> Process:
    """Raises `OSError`."""
    if log.exists() and log.stat().st_size > LONGEST_LOG:
        log.replace(log.with_name(log.name + ".1"))
    with log.open("ab") as out:
        child = subprocess.Popen(
            command,
            env={**os.environ, **environ},
            cwd=directory,
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=out,
            start_new_session=True,
        )
    return Process(child.pid, child, ended)
