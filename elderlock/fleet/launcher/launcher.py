"""`elderlock base`: starts the agent on the version that it is to run, and falls back to the one before. It is small,
no release changes it, and what it decides stands in `elderlock.rollout.agent_launcher`."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from elderlock import logs
from elderlock.fleet.config import FileError, read_agent
from elderlock.fleet.host import Host
from elderlock.fleet.launcher.launcher_link import ENVIRON, Ready, Settled, Started, SwitchVersion, message_decoder
from elderlock.rollout.agent_launcher import AgentLauncher, LauncherAction, LauncherState
from elderlock.spawning import spawn

LONGEST = 1 << 16  # bytes of a word

log = logs.get_logger(__name__)


class LauncherProcess:
    def __init__(self, path: Path, own: Sequence[str], rng: random.Random, host: Host | None = None) -> None:
        """`own`: the command that starts the agent of `path` where no version says another. Raises `FileError`."""
        file = read_agent(path)
        self._path, self._own, self._host = path.resolve(), tuple(own), host or Host()
        self.name = file.agent.name
        home = path.resolve().parent / file.agent.state
        self._kept = home / "base"
        try:
            home.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = self._host.lock(home / "base.lock")
        except BlockingIOError:
            raise FileError(f"{home}: another base holds it") from None
        except OSError as error:
            raise FileError(f"{home}: {error.strerror}") from None
        self.launcher = AgentLauncher(self._read(), rng)
        self._process: asyncio.subprocess.Process | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.over = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def _read(self) -> LauncherState:
        try:
            return msgspec.json.decode(self._kept.read_bytes(), type=LauncherState)
        except FileNotFoundError:
            return LauncherState()
        except (OSError, msgspec.DecodeError) as error:
            # written whole or not at all: a file that cannot be read is a disk's fault, and the own version always runs
            log.error("what ran before is not known, the base's own version runs", agent=self.name, error=str(error))
            return LauncherState()

    def _keep(self, held: LauncherState) -> bool:
        try:
            self._host.write_private(self._kept, msgspec.json.encode(held))
        except OSError as error:
            log.error("the base's file could not be written", agent=self.name, error=str(error))
            return False
        return True

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    def _task(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start(self) -> None:
        self._do(self.launcher.begin(self._now()))

    def _do(self, do: LauncherAction | None) -> None:
        if do == "start":
            self._task(self._run())
        elif do is not None and self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL if do == "kill" else signal.SIGTERM)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.launcher.due_ms is not None:
            wait = max(0.0, self.launcher.due_ms - self._now()) / 1000.0
            self._timer = asyncio.get_running_loop().call_later(wait, self._due)
        if self.launcher.has_ended:
            self.over.set()

    def _due(self) -> None:
        self._do(self.launcher.on_timer(self._now()))

    async def _run(self) -> None:
        held = self.launcher.state
        command = (*(held.current.command or self._own), str(self._path))
        environ = {**os.environ, ENVIRON: msgspec.json.encode(Started(held, self.launcher.start_count)).decode()}
        how = ""
        try:
            self._process = await spawn(
                *command, env=environ, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=LONGEST
            )
        except OSError as error:
            how = f"no start: {error}"
        if self._process is not None and not how:
            version = held.current.version or "its own"
            log.info("agent started", agent=self.name, pid=self._process.pid, version=version, trial=held.is_on_trial)
            await self._hear(self._process)
            code = await self._process.wait()
            how = f"signal {-code}" if code < 0 else f"code {code}"
        self._process = None
        log.info("agent ended", agent=self.name, how=how)
        kept, do = self.launcher.on_exit(how, self._now())
        if kept is not None:
            log.warning("falls back to the version before", agent=self.name, why=kept.failure_reason)
            self._keep(kept)
        self._do(do)

    async def _hear(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while True:
            try:
                line = await process.stdout.readline()
            except ValueError:  # longer than any word: not ours to understand
                continue
            if not line:
                return
            try:
                word = message_decoder.decode(line)
            except msgspec.DecodeError as error:
                log.error("a word that cannot be read", agent=self.name, error=str(error))
                continue
            match word:
                case SwitchVersion(to):
                    held = self.launcher.state_after_switch(to)
                    if held is not None and self._keep(held):  # durable before it counts
                        self._do(self.launcher.switch(held, self._now()))
                case Ready():
                    self.launcher.on_ready()
                    self._do(None)
                case Settled(generation):
                    if (held := self.launcher.on_settled(generation)) is not None:
                        self._keep(held)

    def stop(self) -> None:
        self._do(self.launcher.stop(self._now()))

    def pass_on(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._host.unlock(self._lock)


async def serve(path: Path, own: Sequence[str], host: Host | None = None) -> None:
    """Runs the agent of that file till SIGTERM or SIGINT; SIGHUP is passed on to it. Raises `FileError`."""
    running = LauncherProcess(path, own, random.Random(), host)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, running.stop)
    loop.add_signal_handler(signal.SIGHUP, running.pass_on, signal.SIGHUP)
    try:
        running.start()
        await running.over.wait()
    finally:
        running.close()
