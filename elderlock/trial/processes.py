"""Real processes of a group: started apart, watched to their end, swept up however the run ends. So start what they
need `elderlock up`, `elderlock load up` and trials; tests of a lone limiter start that by themselves."""

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


def python(*words: str) -> list[str]:
    return [sys.executable, "-B", *words]


@contextmanager
def guarded_folder(prefix: str, grace_s: float | None = None, base: str | None = None) -> Iterator[tuple[Path, str]]:
    """A folder of its own (in `base`) and a mark for what is started; both are swept up however this process ends, by
    another one that waits for its end. `grace_s` s between SIGTERM and SIGKILL, in place of the guard's own."""
    folder = Path(tempfile.mkdtemp(prefix=prefix, dir=base))
    mark = secrets.token_hex(8)
    words = [str(folder), *([] if grace_s is None else [str(grace_s)])]
    guard = subprocess.Popen(
        python("-m", "elderlock.trial.guard", *words),
        stdin=subprocess.PIPE,
        cwd=ROOT,
        env={**os.environ, MARK: mark},
        start_new_session=True,
    )
    try:
        yield folder, mark
    finally:
        assert guard.stdin is not None
        guard.stdin.close()  # whatever happened, the guard sweeps now
        before = {}
        with contextlib.suppress(ValueError):  # not the main thread: nobody's signals reach it
            for number in (signal.SIGINT, signal.SIGTERM):
                before[number] = signal.signal(number, signal.SIG_IGN)
        guard.wait()
        for number, handler in before.items():
            signal.signal(number, handler)


def run_guarded(
    prefix: str,
    work: Callable[[Path, str], Coroutine[Any, Any, int]],
    grace_s: float | None = None,
    base: str | None = None,
) -> int:
    """Runs it in a loop of its own under `guarded_folder`; 130 where it was interrupted."""
    try:
        with guarded_folder(prefix, grace_s, base) as (folder, mark):
            return uvloop.run(work(folder, mark))
    except KeyboardInterrupt:
        return 130


def short_temp_folder() -> str:
    """A Unix socket's name has 108 bytes, whatever TMPDIR says."""
    found = tempfile.gettempdir()
    return found if len(found) < 40 else "/tmp"


class Child:
    """One process under a name, which may be started again. `ended` hears of each end with its code, negative for a
    signal."""

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        mark: str,
        log: Path,
        environ: Mapping[str, str] | None = None,
        ended: Callable[[int], None] = lambda code: None,
    ) -> None:
        self.name, self.command, self.log = name, list(command), log
        self._environ = {**os.environ, **(environ or {}), MARK: mark}
        self._ended = ended
        self.process: asyncio.subprocess.Process | None = None
        self._waits: asyncio.Task[None] | None = None

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def pid(self) -> int:
        """0 where it does not live."""
        return self.process.pid if self.process is not None and self.process.returncode is None else 0

    async def start(self) -> None:
        """Raises `OSError`."""
        with self.log.open("ab") as out:
            self.process = await spawn(
                *self.command,
                cwd=ROOT,
                env=self._environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                start_new_session=True,
            )
        self._waits = asyncio.get_running_loop().create_task(self._wait(self.process))

    async def _wait(self, process: asyncio.subprocess.Process) -> None:
        self._ended(await process.wait())

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self) -> None:
        """At once, also where it is stopped."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        if self._waits is not None:
            await self._waits


class Stranger:
    """A process that somebody else started, by its pid: signalled only while it is the one that was meant, and heard of
    as soon as it ends."""

    def __init__(self, pid: int, ended: Callable[[], None]) -> None:
        """Raises `ProcessLookupError` where it is gone."""
        self.pid, self._ended = pid, ended
        self._fd = os.pidfd_open(pid)
        if not process_start_ticks(pid):
            os.close(self._fd)
            raise ProcessLookupError(pid)
        asyncio.get_running_loop().add_reader(self._fd, self._exited)

    @property
    def alive(self) -> bool:
        return self._fd >= 0 and process_start_ticks(self.pid) != 0

    def _exited(self) -> None:
        self.forget()
        self._ended()

    def signal(self, number: int) -> None:
        if self._fd >= 0:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._fd, number)

    def forget(self) -> None:
        if self._fd >= 0:
            asyncio.get_running_loop().remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1
