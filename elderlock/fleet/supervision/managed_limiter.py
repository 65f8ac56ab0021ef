"""One limiter that an agent manages: its process, supervisor, control connection and start files."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from elderlock import logs
from elderlock.control import messages
from elderlock.control.records import Record, Records
from elderlock.fleet.agent_store import Store, StoreError
from elderlock.fleet.config import FileError, LimiterPart
from elderlock.fleet.drain_intents import concerns
from elderlock.fleet.host import Host, HostProcess
from elderlock.fleet.messages import LimiterBrief, LimiterStatus, Reach
from elderlock.fleet.supervision.limiter_link import LimiterLink, Owner
from elderlock.fleet.supervision.supervisor import Command, Policy, Supervisor
from elderlock.fleet.supervision.versions import Versions
from elderlock.rollout.canary_analysis import AnswerMetrics
from elderlock.rollout.plan_executor import ExecutionProgress, LimiterObservation

STOP_ANSWER_TIMEOUT_S = 0.5  # for the answer to a stop message, after which SIGTERM is sent
HOLD_TIME_S = 1.0  # between attempts to start a limiter whose start files or version could not be written
MS_PER_S = 1000.0

log = logs.get_logger(__name__)


class ManagedLimiter:
    """One limiter and its process.

    Attributes:
        part: The limiter's section in the agent's file.
        name: The name of the limiter.
        supervisor: Decides when the process is started and stopped.
        link: The connection to the limiter.
        process: The running process; None where there is none.
        is_adopted: Whether the process was found running instead of started by this agent.
        boot_error: Why the next start has to wait, for people; empty where it does not.
        wanted_version: The version that the limiter has to run; empty for the one in the agent's file.
        wanted_generation: The generation of the decision on that version.
        running_version: The version that the process was started on.
        progress: How far this agent is with the limiter's unit of a release.
    """

    def __init__(
        self,
        part: LimiterPart,
        folder: Path,
        home: Path,
        control: Path,
        owner: Owner,
        store: Store,
        policy: Policy,
        rng: random.Random,
        on_change: Callable[[], None],
        on_records: Callable[[str, tuple[Record, ...]], None],
        host: Host,
        versions: Versions,
    ) -> None:
        """Make a managed limiter; `begin` starts to manage it.

        Args:
            part: The limiter's section in the agent's file.
            folder: The folder of the agent's file.
            home: The folder for the limiter's log and start files.
            control: The path of its control socket.
            owner: The agent.
            store: The agent's store.
            policy: The settings of the supervisor.
            rng: Draws the jitter of the backoff.
            on_change: Is called when the process has started or exited.
            on_records: Is called with the limiter's name and the records that the limiter holds, as it reports them.
            host: The machine.
            versions: The versions on the agent's disk.

        Raises:
            StoreError: The store cannot be read.
        """
        self.part, self._folder, self._home, self._host = part, folder, home, host
        self.name = part.name
        self._control, self._owner, self._store, self._on_change = control, owner, store, on_change
        self.supervisor = Supervisor(policy, rng)
        self.link = LimiterLink(
            control, owner, self._handle_welcome, lambda report: on_records(part.name, report.records)
        )
        self.process: HostProcess | None = None
        self.is_adopted = False
        self.boot_error = ""
        self._versions = versions
        self.wanted_version, self.wanted_generation, self.running_version = store.version(part.name)
        self.progress = ExecutionProgress()
        self._timer: asyncio.TimerHandle | None = None

    # Start of the agent

    def begin(self) -> None:
        """Adopt the process that an earlier agent left running, and restore whether the limiter has to run."""
        stored = self._store.limiter(self.name)
        self.supervisor.wanted = stored[0] if stored is not None else self.part.start
        if stored is not None and (process := self._host.adopt(stored[1], stored[2], self._exited)) is not None:
            self._adopt(process)
        self.link.start()

    def start_if_wanted(self) -> None:
        """Start the limiter if it has to run; called once the agent has learned the group's drains as far as it can."""
        self._execute(self.supervisor.step(self._now_ms()))

    def _adopt(self, process: HostProcess) -> None:
        self.process, self.is_adopted = process, True
        self.supervisor.adopted(self._now_ms())
        log.info("limiter adopted", limiter=self.name, pid=process.pid)

    def _handle_welcome(self, welcome: messages.Welcome, is_new_process: bool) -> None:
        """Take that the limiter answers on its socket.

        A process that this agent does not know of was started by hand, or by an agent whose store is lost. It is
        adopted, as a second process would conflict with it.
        """
        if self.process is None and (start_ticks := self._host.process_start_ticks(welcome.pid)):
            process = self._host.adopt(welcome.pid, start_ticks, self._exited)
            if process is not None:
                self._adopt(process)
                self._store_process()
        if self.process is not None and self.process.pid == welcome.pid:
            self.supervisor.answered()
        if is_new_process:
            self._on_change()

    # Supervision

    @staticmethod
    def _now_ms() -> float:
        return time.monotonic() * MS_PER_S

    def want(self, wanted: bool) -> None:
        """Start or stop the limiter.

        Raises:
            StoreError: The order could not be stored, and nothing was done.
        """
        process = self.process
        pid, start_ticks = (process.pid, process.start_ticks) if process else (0, 0)
        self._store.set_limiter(self.name, wanted, pid, start_ticks)
        self._execute(self.supervisor.want(wanted, self._now_ms()))

    def set_wanted_version(self, version: str, generation: int) -> bool:
        """Set the version that the group agreed on for the next start; return whether it is newer than the last one.

        Raises:
            StoreError: It could not be stored.
        """
        if generation <= self.wanted_generation:
            return False
        self._store.set_version(self.name, version, generation, self.running_version)
        self.wanted_version, self.wanted_generation = version, generation
        return True

    def switch(self) -> None:
        """Stop the process, if one runs, and start it on the wanted version.

        Raises:
            StoreError: The order could not be stored.
        """
        if self.supervisor.wanted:
            self._execute(self.supervisor.want(False, self._now_ms()))
        self.want(True)

    def version(self) -> str:
        """Return the version that the process runs, or that the next start is on."""
        return self.running_version if self.process is not None else self.wanted_version

    def observe(self, record: Record | None) -> LimiterObservation:
        """Return what the plan of a release needs to know of the limiter.

        Args:
            record: The limiter's own drain record.
        """
        state = self.link.state if self.link.status == "answering" else None
        is_current = state is not None and self.process is not None and state.pid == self.process.pid
        return LimiterObservation(
            self.version(),
            self.supervisor.phase,
            record is not None and record.is_drained,
            record.generation if record is not None else 0,
            state.open_requests if state is not None and is_current and state.is_drained else -1,
            is_current and state is not None and self.supervisor.phase == "running" and state.list_age_ms >= 0,
            self.supervisor.restarts,
            self.boot_error or self.link.status_reason,
        )

    def _store_process(self) -> None:
        process = self.process
        pid, start_ticks = (process.pid, process.start_ticks) if process is not None else (0, 0)
        try:
            self._store.set_limiter(self.name, self.supervisor.wanted, pid, start_ticks)
        except StoreError as error:  # the next agent finds the process by its control socket
            log.error("limiter process not stored", limiter=self.name, error=str(error))

    def _execute(self, command: Command | None) -> None:
        match command:
            case Command.SPAWN:
                self._spawn()
            case Command.TERMINATE:
                asyncio.get_running_loop().create_task(self._terminate())
            case Command.KILL if self.process is not None:
                log.warning("limiter killed, as it did not stop in time", limiter=self.name)
                self.process.signal(signal.SIGKILL)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.supervisor.due is not None:
            delay_s = max(0.0, self.supervisor.due - self._now_ms()) / MS_PER_S
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._execute(self.supervisor.step(self._now_ms()))

    def _spawn(self) -> None:
        if self.process is not None:
            return
        if self.link.is_listening:
            # A process listens on the socket; a second one would compete with it for its addresses.
            log.warning("limiter not started, as its socket is in use", limiter=self.name, why=self.link.status_reason)
            return self.supervisor.hold(self._now_ms() + HOLD_TIME_S * MS_PER_S)
        if not self.write_start_files():
            # Without its drains the limiter would send requests to servers that an operator drained.
            return self.supervisor.hold(self._now_ms() + HOLD_TIME_S * MS_PER_S)
        try:
            launch = self._versions.launch(self.part, self.wanted_version)
            if self.running_version != self.wanted_version:
                # Stored before the start, so that an agent that dies now does not take the new process for one of the
                # previous version.
                self._store.set_version(self.name, self.wanted_version, self.wanted_generation, self.wanted_version)
                self.running_version = self.wanted_version
            environ = {
                "PROXY_CONFIG": str(self._folder / launch.config),
                "ELDERLOCK_OPERATORS": str(self._home / "operators.toml"),
                "ELDERLOCK_VERSION": self.wanted_version,
            }
            self.process = self._host.spawn(
                launch.command, environ, self._folder / launch.directory, self._home / "log", self._exited
            )
        except StoreError as error:
            self.boot_error = f"its version could not be stored: {error}"
            return self.supervisor.hold(self._now_ms() + HOLD_TIME_S * MS_PER_S)
        except (OSError, FileError) as error:
            self.boot_error = f"it cannot be started: {error}"
            log.error("limiter cannot be started", limiter=self.name, error=str(error))
            self._execute(self.supervisor.exited(self._now_ms()))
            return
        self.is_adopted = False
        version = self.wanted_version or "of the file"
        log.info("limiter started", limiter=self.name, pid=self.process.pid, version=version)
        self._store_process()
        self.link.wake()

    def _exited(self) -> None:
        process, self.process = self.process, None
        log.info("limiter ended", limiter=self.name, pid=process.pid if process else None)
        self.link.ended()
        self._execute(self.supervisor.exited(self._now_ms()))
        self._store_process()
        self._on_change()

    async def _terminate(self) -> None:
        """Stop the process by a message, or by SIGTERM if the limiter does not confirm.

        By the time that the message fails the process may have exited and the next one may run, which must not be sent
        the signal.
        """
        process = self.process
        if not await self.link.stop(STOP_ANSWER_TIMEOUT_S) and process is not None and process is self.process:
            process.signal(signal.SIGTERM)

    def write_start_files(self) -> bool:
        """Write the records and the operators' file that the next start reads; return whether that succeeded."""
        try:
            socket = msgspec.json.encode(str(self._control)).decode()
            records = msgspec.json.encode(str(self._home / "records")).decode()
            self._host.write_private(self._home / "records", msgspec.msgpack.encode(tuple(self._owner.records)))
            text = f"[control]\nsocket = {socket}\nrecords = {records}\n"
            if self.part.authz:
                text += (self._folder / self.part.authz).read_text(encoding="utf-8")
            self._host.write_private(self._home / "operators.toml", text.encode())
        except (OSError, UnicodeDecodeError) as error:
            self.boot_error = f"its drains could not be written for its next start: {error}"
            log.error("limiter start files not written", limiter=self.name, error=self.boot_error)
            return False
        self.boot_error = ""
        return True

    # Status

    def runs(self) -> bool:
        """Return whether a process of the limiter runs."""
        return self.process is not None or self.link.is_listening

    def reach(self, records: list[Record]) -> list[Reach]:
        """Return how far those of the records that concern this limiter got at it."""
        is_answering = self.link.status == "answering"
        reason = "" if is_answering else f"{self.link.status}: {self.link.status_reason}"
        return [
            self.link.record_progress.reach(self.name, record, self.runs(), reason)
            for record in records
            if concerns(record, self.name)
        ]

    def unavailable_reason(self) -> str:
        """Return why the limiter does not serve; empty where it does, as far as is known."""
        phase, link_status = self.supervisor.phase, self.link.status
        return "" if (phase, link_status) == ("running", "answering") else f"{phase}, {link_status}"

    def status(self) -> LimiterStatus:
        """Return the status for operators."""
        supervisor, link = self.supervisor, self.link
        age_ms = (time.monotonic() - link.state_at_s) * MS_PER_S if link.state is not None else -1.0
        next_start_ms = -1.0
        if supervisor.phase == "backing-off" and supervisor.due is not None:
            next_start_ms = max(0.0, supervisor.due - self._now_ms())
        return LimiterStatus(
            self.name,
            supervisor.phase,
            self.process.pid if self.process else 0,
            self.is_adopted,
            supervisor.restarts,
            next_start_ms,
            link.status,
            "; ".join(reason for reason in (link.status_reason, self.boot_error) if reason),
            age_ms,
            link.state,
        )

    def brief(self, records: Records) -> LimiterBrief:
        """Return the short status for other agents.

        Args:
            records: The drain records that the agent holds.
        """
        state, drain_record = self.link.state, records.get("limiter", self.name)
        return LimiterBrief(
            self.name,
            self.supervisor.phase,
            self.link.status,
            state.open_requests if state else 0,
            drain_record is not None and drain_record.is_drained,
            len(records.drained_targets("box")),
            self.version(),
            state is not None and state.ready and self.unavailable_reason() == "",
            self.supervisor.restarts,
            self.answer_metrics(),
            self.progress,
        )

    def answer_metrics(self) -> AnswerMetrics:
        """Return the metrics of the limiter's answers, as it last reported them."""
        state = self.link.state
        if state is None:
            return AnswerMetrics()
        counts = state.counts
        return AnswerMetrics(
            counts.served, counts.refused, counts.failed, state.log_time_sum, state.log_time_square_sum
        )

    def close(self) -> None:
        """Stop managing the limiter, which continues to run."""
        if self._timer is not None:
            self._timer.cancel()
        self.link.close()
        if self.process is not None:
            self.process.forget()
