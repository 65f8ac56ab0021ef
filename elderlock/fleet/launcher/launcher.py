"""The launcher (`elderlock base`): starts the agent on the version that it has to run, and falls back to the previous.

It is small, and no release changes it. Its decisions are made in `elderlock.rollout.agent_launcher`.
"""

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
from elderlock.fleet.launcher.launcher_link import (
    ENVIRONMENT_VARIABLE,
    Ready,
    Settled,
    Started,
    SwitchVersion,
    message_decoder,
)
from elderlock.rollout.agent_launcher import AgentLauncher, LauncherAction, LauncherState
from elderlock.spawning import spawn

MAXIMUM_MESSAGE_BYTES = 1 << 16
MS_PER_S = 1000.0

log = logs.get_logger(__name__)


class LauncherProcess:
    """The launcher's process: its files and the agent's process.

    Attributes:
        name: The name of the agent.
        launcher: The launcher's decisions.
        finished: Is set once the launcher was stopped and no agent runs any more.
    """

    def __init__(
        self, path: Path, default_command: Sequence[str], rng: random.Random, host: Host | None = None
    ) -> None:
        """Make a launcher that is not started, and lock its agent's folder.

        Args:
            path: The agent's file.
            default_command: The command that starts the agent unless a version has another, without the argument for
                the agent's file.
            rng: Draws the jitter of the backoff.
            host: The machine; by default the one that this runs on.

        Raises:
            FileError: The agent's file or folder cannot be used, or another launcher holds the folder.
        """
        file = read_agent(path)
        self._path, self._default_command, self._host = path.resolve(), tuple(default_command), host or Host()
        self.name = file.agent.name
        home = path.resolve().parent / file.agent.state
        self._state_path = home / "base"
        try:
            home.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = self._host.lock(home / "base.lock")
        except BlockingIOError:
            raise FileError(f"{home}: another launcher (elderlock base) holds it") from None
        except OSError as error:
            raise FileError(f"{home}: {error.strerror}") from None
        self.launcher = AgentLauncher(self._read_state(), rng)
        self._process: asyncio.subprocess.Process | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.finished = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def _read_state(self) -> LauncherState:
        try:
            return msgspec.json.decode(self._state_path.read_bytes(), type=LauncherState)
        except FileNotFoundError:
            return LauncherState()
        except (OSError, msgspec.DecodeError) as error:
            # The file is written atomically, so the disk is at fault. The launcher's own version can always run.
            log.error("launcher state not readable, the launcher's own version runs", agent=self.name, error=str(error))
            return LauncherState()

    def _write_state(self, state: LauncherState) -> bool:
        try:
            self._host.write_private(self._state_path, msgspec.json.encode(state))
        except OSError as error:
            log.error("launcher state not written", agent=self.name, error=str(error))
            return False
        return True

    @staticmethod
    def _now_ms() -> float:
        return time.monotonic() * MS_PER_S

    def _start_task(self, coroutine: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start(self) -> None:
        """Start the agent for the first time."""
        self._execute(self.launcher.begin(self._now_ms()))

    def _execute(self, action: LauncherAction | None) -> None:
        if action == "start":
            self._start_task(self._run())
        elif action is not None and self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL if action == "kill" else signal.SIGTERM)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.launcher.due_ms is not None:
            delay_s = max(0.0, self.launcher.due_ms - self._now_ms()) / MS_PER_S
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)
        if self.launcher.has_ended:
            self.finished.set()

    def _on_timer(self) -> None:
        self._execute(self.launcher.on_timer(self._now_ms()))

    async def _run(self) -> None:
        """Run the agent's process once, until it exits."""
        state = self.launcher.state
        command = (*(state.current.command or self._default_command), str(self._path))
        started = Started(state, self.launcher.start_count)
        environ = {**os.environ, ENVIRONMENT_VARIABLE: msgspec.json.encode(started).decode()}
        exit_description = ""
        try:
            self._process = await spawn(
                *command,
                env=environ,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=MAXIMUM_MESSAGE_BYTES,
            )
        except OSError as error:
            exit_description = f"no start: {error}"
        if self._process is not None and not exit_description:
            version = state.current.version or "its own"
            log.info("agent started", agent=self.name, pid=self._process.pid, version=version, trial=state.is_on_trial)
            await self._receive_messages(self._process)
            code = await self._process.wait()
            exit_description = f"signal {-code}" if code < 0 else f"code {code}"
        self._process = None
        log.info("agent ended", agent=self.name, how=exit_description)
        state_to_store, action = self.launcher.on_exit(exit_description, self._now_ms())
        if state_to_store is not None:
            log.warning("fall back to the previous version", agent=self.name, why=state_to_store.failure_reason)
            self._write_state(state_to_store)
        self._execute(action)

    async def _receive_messages(self, process: asyncio.subprocess.Process) -> None:
        """Handle the agent's messages until its standard output ends."""
        assert process.stdout is not None
        while True:
            try:
                line = await process.stdout.readline()
            except ValueError:  # the line is longer than any message
                continue
            if not line:
                return
            try:
                message = message_decoder.decode(line)
            except msgspec.DecodeError as error:
                log.error("message from the agent not readable", agent=self.name, error=str(error))
                continue
            match message:
                case SwitchVersion(request):
                    state = self.launcher.state_after_switch(request)
                    if state is not None and self._write_state(state):  # it takes effect only once it is durable
                        self._execute(self.launcher.switch(state, self._now_ms()))
                case Ready():
                    self.launcher.on_ready()
                    self._execute(None)
                case Settled(generation):
                    if (state := self.launcher.on_settled(generation)) is not None:
                        self._write_state(state)

    def stop(self) -> None:
        """Stop the agent, and finish once it has exited."""
        self._execute(self.launcher.stop(self._now_ms()))

    def forward_signal(self, number: int) -> None:
        """Send a signal to the agent, if it runs."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def close(self) -> None:
        """Release the lock on the agent's folder."""
        if self._timer is not None:
            self._timer.cancel()
        self._host.unlock(self._lock)


async def serve(path: Path, default_command: Sequence[str], host: Host | None = None) -> None:
    """Run an agent until SIGTERM or SIGINT; SIGHUP is forwarded to it.

    Args:
        path: The agent's file.
        default_command: The command that starts the agent unless a version has another.
        host: The machine; by default the one that this runs on.

    Raises:
        FileError: The agent's file or folder cannot be used, or another launcher holds the folder.
    """
    launcher_process = LauncherProcess(path, default_command, random.Random(), host)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, launcher_process.stop)
    loop.add_signal_handler(signal.SIGHUP, launcher_process.forward_signal, signal.SIGHUP)
    try:
        launcher_process.start()
        await launcher_process.finished.wait()
    finally:
        launcher_process.close()
