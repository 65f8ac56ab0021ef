"""The processes of limiters, which run independently of the agent and outlive it, watched through pidfds.

A pid may have been reused for another program, so a process is identified by its pid and the kernel's start time, and
signals are sent through a file descriptor that always refers to the same process.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

MAXIMUM_LOG_BYTES = 8 << 20  # a larger log is rotated at the next start; one old log is kept


def process_start_ticks(pid: int) -> int:
    """Return when a process started, in the kernel's clock ticks since boot; 0 if no process with that pid runs."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0
    fields = text.rpartition(")")[2].split()
    return 0 if fields[0] in ("Z", "X") else int(fields[19])


class Process:
    """A running process, started by this agent or adopted.

    Attributes:
        pid: Its process id.
        start_ticks: When it started, in the kernel's clock ticks since boot.
    """

    def __init__(self, pid: int, child: subprocess.Popen[bytes] | None, on_exit: Callable[[], None]) -> None:
        """Start to watch a process.

        Args:
            pid: Its process id.
            child: The process, if this agent started it.
            on_exit: Is called once in the event loop when the process exits.

        Raises:
            ProcessLookupError: The process has exited.
        """
        self.pid, self.start_ticks = pid, process_start_ticks(pid)
        self._child = child
        self._on_exit = on_exit
        self._fd = os.pidfd_open(pid)
        asyncio.get_running_loop().add_reader(self._fd, self._exited)

    def _exited(self) -> None:
        self.forget()
        if self._child is not None:
            self._child.poll()
        self._on_exit()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._fd >= 0:
            with contextlib.suppress(ProcessLookupError):  # it has exited, and `_exited` is about to be called
                signal.pidfd_send_signal(self._fd, number)

    def forget(self) -> None:
        """Stop watching the process, which continues to run."""
        if self._fd >= 0:
            asyncio.get_running_loop().remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1


def adopt(pid: int, start_ticks: int, on_exit: Callable[[], None]) -> Process | None:
    """Watch a process that runs already; return None if the process with that start time does not run any more.

    Args:
        pid: Its process id.
        start_ticks: When it started, in the kernel's clock ticks since boot.
        on_exit: Is called once when the process exits.
    """
    if pid <= 0 or process_start_ticks(pid) != start_ticks or not start_ticks:
        return None
    try:
        process = Process(pid, None, on_exit)
    except OSError:
        return None
    if process.start_ticks != start_ticks:  # the pid was reused between the two reads
        process.forget()
        return None
    return process


def spawn(
    command: Sequence[str], environ: Mapping[str, str], directory: Path, log: Path, on_exit: Callable[[], None]
) -> Process:
    """Start a process in a session of its own.

    Args:
        command: The command line.
        environ: Environment variables to add to the agent's own.
        directory: The working directory.
        log: The file that standard output and standard error are appended to.
        on_exit: Is called once when the process exits.

    Raises:
        OSError: The process cannot be started.
    """
    if log.exists() and log.stat().st_size > MAXIMUM_LOG_BYTES:
        log.replace(log.with_name(log.name + ".1"))
    with log.open("ab") as output:
        child = subprocess.Popen(
            command,
            env={**os.environ, **environ},
            cwd=directory,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            start_new_session=True,
        )
    return Process(child.pid, child, on_exit)
