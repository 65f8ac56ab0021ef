"""Starts and watches the real processes of a group, and ends them however the run ends.

`elderlock up`, `elderlock load up` and trials use this module. Tests of a single limiter start it by themselves.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Coroutine, Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import uvloop

from elderlock.fleet.supervision.limiter_process import process_start_ticks
from elderlock.spawning import spawn
from elderlock.standins.world import ROOT
from elderlock.trial.guard import MARK

AGENT_COMMAND = ("-m", "elderlock.cli.main", "agent")


def python(*arguments: str) -> list[str]:
    """Return the command line of this Python interpreter with these arguments."""
    return [sys.executable, "-B", *arguments]


@contextmanager
def guarded_folder(prefix: str, grace_s: float | None = None, base: str | None = None) -> Iterator[tuple[Path, str]]:
    """Provide a temporary folder and a mark for processes that a guard ends, however this process ends.

    The guard is another process. It waits until this one is gone or leaves the context, then ends the processes whose
    environment has the mark and removes the folder.

    Args:
        prefix: The start of the folder's name.
        grace_s: The seconds between SIGTERM and SIGKILL; None for the guard's default.
        base: Where the folder is made; None for the system's folder for temporary files.

    Yields:
        The folder and the mark.
    """
    folder = Path(tempfile.mkdtemp(prefix=prefix, dir=base))
    mark = secrets.token_hex(8)
    arguments = [str(folder), *([] if grace_s is None else [str(grace_s)])]
    guard = subprocess.Popen(
        python("-m", "elderlock.trial.guard", *arguments),
        stdin=subprocess.PIPE,
        cwd=ROOT,
        env={**os.environ, MARK: mark},
        start_new_session=True,
    )
    try:
        yield folder, mark
    finally:
        assert guard.stdin is not None
        guard.stdin.close()  # the guard sweeps now, also after an error
        previous_handlers = {}
        with contextlib.suppress(ValueError):  # not the main thread, which alone receives signals
            for number in (signal.SIGINT, signal.SIGTERM):
                previous_handlers[number] = signal.signal(number, signal.SIG_IGN)
        guard.wait()
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)


def run_guarded(
    prefix: str,
    work: Callable[[Path, str], Coroutine[Any, Any, int]],
    grace_s: float | None = None,
    base: str | None = None,
) -> int:
    """Run a coroutine in an event loop of its own within `guarded_folder`.

    Args:
        prefix: See `guarded_folder`.
        work: Is called with the folder and the mark, and returns an exit code.
        grace_s: See `guarded_folder`.
        base: See `guarded_folder`.

    Returns:
        The exit code of `work`; 130 if it was interrupted.
    """
    try:
        with guarded_folder(prefix, grace_s, base) as (folder, mark):
            return uvloop.run(work(folder, mark))
    except KeyboardInterrupt:
        return 130


def short_temp_folder() -> str:
    """Return a folder for temporary files with a short path: the path of a Unix socket has at most 108 bytes."""
    found = tempfile.gettempdir()
    return found if len(found) < 40 else "/tmp"


class Child:
    """A child process under a name, which can be started again after its end.

    Attributes:
        name: Its name.
        command: Its command line.
        log: The file that its standard output and standard error are appended to.
        process: The process that was started last, if any.
    """

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        mark: str,
        log: Path,
        environ: Mapping[str, str] | None = None,
        ended: Callable[[int], None] = lambda code: None,
    ) -> None:
        """Prepare the process; it is not started.

        Args:
            name: Its name.
            command: Its command line.
            mark: The mark by which a guard finds it.
            log: The file that its standard output and standard error are appended to.
            environ: Environment variables to add to the runner's own.
            ended: Is called with the exit code at each end; the code is negative for a signal.
        """
        self.name, self.command, self.log = name, list(command), log
        self._environ = {**os.environ, **(environ or {}), MARK: mark}
        self._ended = ended
        self.process: asyncio.subprocess.Process | None = None
        self._wait_task: asyncio.Task[None] | None = None

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    @property
    def pid(self) -> int:
        """Its pid; 0 if it does not run."""
        return self.process.pid if self.process is not None and self.process.returncode is None else 0

    async def start(self) -> None:
        """Start the process.

        Raises:
            OSError: It cannot be started.
        """
        with self.log.open("ab") as log_file:
            self.process = await spawn(
                *self.command,
                cwd=ROOT,
                env=self._environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                start_new_session=True,
            )
        self._wait_task = asyncio.get_running_loop().create_task(self._wait(self.process))

    async def _wait(self, process: asyncio.subprocess.Process) -> None:
        self._ended(await process.wait())

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, even if it is stopped, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        if self._wait_task is not None:
            await self._wait_task


class ObservedProcess:
    """A process that another process started.

    A pidfd refers to it, so a signal never reaches another process that got the same pid, and its end is reported at
    once.

    Attributes:
        pid: Its pid.
    """

    def __init__(self, pid: int, ended: Callable[[], None]) -> None:
        """Begin to watch the process.

        Args:
            pid: Its pid.
            ended: Is called once when it ends.

        Raises:
            ProcessLookupError: It does not run any more.
        """
        self.pid, self._ended = pid, ended
        self._pidfd = os.pidfd_open(pid)
        if not process_start_ticks(pid):
            os.close(self._pidfd)
            raise ProcessLookupError(pid)
        asyncio.get_running_loop().add_reader(self._pidfd, self._exited)

    @property
    def alive(self) -> bool:
        """Whether the process runs and is watched."""
        return self._pidfd >= 0 and process_start_ticks(self.pid) != 0

    def _exited(self) -> None:
        self.forget()
        self._ended()

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self._pidfd >= 0:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._pidfd, number)

    def forget(self) -> None:
        """Stop watching the process."""
        if self._pidfd >= 0:
            asyncio.get_running_loop().remove_reader(self._pidfd)
            os.close(self._pidfd)
            self._pidfd = -1
