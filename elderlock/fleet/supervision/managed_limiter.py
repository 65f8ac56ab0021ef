"""One limiter in an agent's charge: its process, its supervision, its link and the drains it starts with."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from elderlock import logs
from elderlock.control import messages as m
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

STOP_ANSWER_WITHIN = 0.5  # s; then SIGTERM says the same
HELD_BACK = 1.0  # s between tries to start one whose drains could not be written

log = logs.get_logger(__name__)


class ManagedLimiter:
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
        changed: Callable[[], None],
        told: Callable[[str, tuple[Record, ...]], None],
        host: Host,
        versions: Versions,
    ) -> None:
        """`told` hears which records the limiter of that name holds, `changed` that it came or went. Raises
        `StoreError`."""
        self.part, self._folder, self._home, self._host = part, folder, home, host
        self.name = part.name
        self._control, self._owner, self._store, self._changed = control, owner, store, changed
        self.supervisor = Supervisor(policy, rng)
        self.link = LimiterLink(control, owner, self._welcomed, lambda said: told(part.name, said.records))
        self.process: HostProcess | None = None
        self.is_adopted = False
        self.boot_error = ""  # why the drains could not be written for its next start
        self._versions = versions
        # the version it is to run, and by which generation; the one that its process was started on
        self.wanted_version, self.wanted_generation, self.runs_on = store.version(part.name)
        self.progress = ExecutionProgress()
        self._timer: asyncio.TimerHandle | None = None

    # Start-up of the agent

    def begin(self) -> None:
        """Finds the process that an agent before this one left running, and the word whether it shall run."""
        kept = self._store.limiter(self.name)
        self.supervisor.wanted = kept[0] if kept is not None else self.part.start
        if kept is not None and (process := self._host.adopt(kept[1], kept[2], self._exited)) is not None:
            self._take(process)
        self.link.start()

    def start_if_wanted(self) -> None:
        """What may start now starts: called once the agent has learnt what it could of drains."""
        self._do(self.supervisor.step(self._now()))

    def _take(self, process: HostProcess) -> None:
        self.process, self.is_adopted = process, True
        self.supervisor.adopted(self._now())
        log.info("limiter adopted", limiter=self.name, pid=process.pid)

    def _welcomed(self, welcome: m.Welcome, anew: bool) -> None:
        """It answers on its socket. One that nobody here started, by hand or by an agent whose store is
        lost, is adopted rather than doubled."""
        if self.process is None and (started := self._host.process_start_ticks(welcome.pid)):
            process = self._host.adopt(welcome.pid, started, self._exited)
            if process is not None:
                self._take(process)
                self._remember()
        if self.process is not None and self.process.pid == welcome.pid:
            self.supervisor.answered()
        if anew:
            self._changed()

    # Supervision

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    def want(self, wanted: bool) -> None:
        """Raises `StoreError`, and then nothing is done."""
        process = self.process
        self._store.set_limiter(self.name, wanted, process.pid if process else 0, process.start_ticks if process else 0)
        self._do(self.supervisor.want(wanted, self._now()))

    def set_wanted_version(self, version: str, generation: int) -> bool:
        """What the group agreed on for its next start; whether that was news. Raises `StoreError`."""
        if generation <= self.wanted_generation:
            return False
        self._store.set_version(self.name, version, generation, self.runs_on)
        self.wanted_version, self.wanted_generation = version, generation
        return True

    def switch(self) -> None:
        """Ends its process, if there is one, and starts it on the version that it is to run. Raises `StoreError`."""
        if self.supervisor.wanted:
            self._do(self.supervisor.want(False, self._now()))
        self.want(True)

    def version(self) -> str:
        return self.runs_on if self.process is not None else self.wanted_version

    def observe(self, record: Record | None) -> LimiterObservation:
        """As its plan sees it; `record` is its own drain's."""
        state = self.link.state if self.link.status == "answering" else None
        fresh = state is not None and self.process is not None and state.pid == self.process.pid
        return LimiterObservation(
            self.version(),
            self.supervisor.phase,
            record is not None and record.is_drained,
            record.generation if record is not None else 0,
            state.open_requests if state is not None and fresh and state.is_drained else -1,
            fresh and state is not None and self.supervisor.phase == "running" and state.list_age_ms >= 0,
            self.supervisor.restarts,
            self.boot_error or self.link.status_reason,
        )

    def _remember(self) -> None:
        process = self.process
        pid, started = (process.pid, process.start_ticks) if process is not None else (0, 0)
        try:
            self._store.set_limiter(self.name, self.supervisor.wanted, pid, started)
        except StoreError as error:  # it is met again by its socket
            log.error("process could not be noted", limiter=self.name, error=str(error))

    def _do(self, do: Command | None) -> None:
        match do:
            case Command.SPAWN:
                self._spawn()
            case Command.TERMINATE:
                asyncio.get_running_loop().create_task(self._terminate())
            case Command.KILL if self.process is not None:
                log.warning("limiter killed, as it did not end in time", limiter=self.name)
                self.process.signal(signal.SIGKILL)
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.supervisor.due is not None:
            wait = max(0.0, self.supervisor.due - self._now()) / 1000.0
            self._timer = asyncio.get_running_loop().call_later(wait, self._due)

    def _due(self) -> None:
        self._do(self.supervisor.step(self._now()))

    def _spawn(self) -> None:
        if self.process is not None:
            return
        if self.link.is_listening:
            # something serves on its socket: a second one would fight it for its addresses
            log.warning("limiter not started, its socket is in use", limiter=self.name, why=self.link.status_reason)
            return self.supervisor.hold(self._now() + HELD_BACK * 1000.0)
        if not self.write_start_files():
            # a start without its drains would send work to a box that an operator took out
            return self.supervisor.hold(self._now() + HELD_BACK * 1000.0)
        try:
            launch = self._versions.launch(self.part, self.wanted_version)
            if self.runs_on != self.wanted_version:
                # kept before it runs: an agent that dies now must not take the process for one of the version before
                self._store.set_version(self.name, self.wanted_version, self.wanted_generation, self.wanted_version)
                self.runs_on = self.wanted_version
            environ = {
                "PROXY_CONFIG": str(self._folder / launch.config),
                "ELDERLOCK_OPERATORS": str(self._home / "operators.toml"),
                "ELDERLOCK_VERSION": self.wanted_version,
            }
            self.process = self._host.spawn(
                launch.command, environ, self._folder / launch.directory, self._home / "log", self._exited
            )
        except StoreError as error:
            self.boot_error = f"its version could not be kept: {error}"
            return self.supervisor.hold(self._now() + HELD_BACK * 1000.0)
        except (OSError, FileError) as error:
            self.boot_error = f"it cannot be started: {error}"
            log.error("limiter cannot be started", limiter=self.name, error=str(error))
            self._do(self.supervisor.exited(self._now()))
            return
        self.is_adopted = False
        log.info(
            "limiter started", limiter=self.name, pid=self.process.pid, version=self.wanted_version or "of the file"
        )
        self._remember()
        self.link.wake()

    def _exited(self) -> None:
        process, self.process = self.process, None
        log.info("limiter ended", limiter=self.name, pid=process.pid if process else None)
        self.link.ended()
        self._do(self.supervisor.exited(self._now()))
        self._remember()
        self._changed()

    async def _terminate(self) -> None:
        """One that ends without an answer may have a successor by now, which is not meant."""
        process = self.process
        if not await self.link.stop(STOP_ANSWER_WITHIN) and process is not None and process is self.process:
            process.signal(signal.SIGTERM)

    def write_start_files(self) -> bool:
        """The drains and the control socket that its next start begins with."""
        try:
            quoted = msgspec.json.encode(str(self._control)).decode()
            records = msgspec.json.encode(str(self._home / "records")).decode()
            self._host.write_private(self._home / "records", msgspec.msgpack.encode(tuple(self._owner.records)))
            text = f"[control]\nsocket = {quoted}\nrecords = {records}\n"
            if self.part.authz:
                text += (self._folder / self.part.authz).read_text(encoding="utf-8")
            self._host.write_private(self._home / "operators.toml", text.encode())
        except (OSError, UnicodeDecodeError) as error:
            self.boot_error = f"its drains could not be written for its next start: {error}"
            log.error("boot files not written", limiter=self.name, error=self.boot_error)
            return False
        self.boot_error = ""
        return True

    # What it looks like

    def runs(self) -> bool:
        return self.process is not None or self.link.is_listening

    def reach(self, records: list[Record]) -> list[Reach]:
        why = "" if self.link.status == "answering" else f"{self.link.status}: {self.link.status_reason}"
        return [
            self.link.record_progress.reach(self.name, record, self.runs(), why)
            for record in records
            if concerns(record, self.name)
        ]

    def unavailable_reason(self) -> str:
        """Why it does not serve; empty where it does, as far as is known."""
        phase, standing = self.supervisor.phase, self.link.status
        return "" if (phase, standing) == ("running", "answering") else f"{phase}, {standing}"

    def status(self) -> LimiterStatus:
        supervisor, link = self.supervisor, self.link
        age = (time.monotonic() - link.state_at_s) * 1000.0 if link.state is not None else -1.0
        next_start = -1.0
        if supervisor.phase == "backing-off" and supervisor.due is not None:
            next_start = max(0.0, supervisor.due - self._now())
        return LimiterStatus(
            self.name,
            supervisor.phase,
            self.process.pid if self.process else 0,
            self.is_adopted,
            supervisor.restarts,
            next_start,
            link.status,
            "; ".join(why for why in (link.status_reason, self.boot_error) if why),
            age,
            link.state,
        )

    def brief(self, records: Records) -> LimiterBrief:
        state, drained = self.link.state, records.get("limiter", self.name)
        return LimiterBrief(
            self.name,
            self.supervisor.phase,
            self.link.status,
            state.open_requests if state else 0,
            drained is not None and drained.is_drained,
            len(records.drained_targets("box")),
            self.version(),
            state is not None and state.ready and self.unavailable_reason() == "",
            self.supervisor.restarts,
            self.figures(),
            self.progress,
        )

    def figures(self) -> AnswerMetrics:
        state = self.link.state
        if state is None:
            return AnswerMetrics()
        counts = state.counts
        return AnswerMetrics(
            counts.served, counts.refused, counts.failed, state.log_time_sum, state.log_time_square_sum
        )

    def close(self) -> None:
        """The agent goes; the limiter stays."""
        if self._timer is not None:
            self._timer.cancel()
        self.link.close()
        if self.process is not None:
            self.process.forget()
