"""Decide which version of an agent runs, and when to fall back to the one before. No I/O.

An agent cannot watch its own successor fail. So a launcher, a small process that no release changes, starts the agent
and durably stores the version that it has to run with the one before it. When a version on trial exits, or does not
report in time that it is up, the launcher starts the previous version again. The release of the agents decides when the
trial is over.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Literal

import msgspec

LauncherAction = Literal["start", "terminate", "kill"]
LauncherPhase = Literal["down", "starting", "up", "stopping"]
FIRST_BACKOFF_MS = 200.0
MAXIMUM_BACKOFF_MS = 30_000.0
BACKOFF_RESET_AFTER_MS = 10_000.0  # of running, after which the next backoff is the first again
BACKOFF_JITTER = (0.5, 1.0)  # the fraction of the backoff that is waited, drawn uniformly
STOP_TIMEOUT_MS = 6_000.0  # from SIGTERM to SIGKILL
START_TIMEOUT_MS = 20_000.0  # for a version to report that it is up, unless the request says otherwise
MS_PER_S = 1000.0


class AgentVersion(msgspec.Struct, frozen=True):
    """A version of the agent.

    Attributes:
        version: The name of the version; empty for the launcher's own.
        command: The command that starts it; empty for the launcher's own.
    """

    version: str = ""
    command: tuple[str, ...] = ()


class SwitchRequest(msgspec.Struct, frozen=True):
    """The request to switch to another version.

    Attributes:
        generation: The generation of the plan's unit, greater than that of any request before.
        target: The version to switch to.
        start_timeout_ms: How long the version may take to report that it is up.
    """

    generation: int
    target: AgentVersion = msgspec.field(name="which")
    start_timeout_ms: float = msgspec.field(name="start_within", default=START_TIMEOUT_MS)


class LauncherState(msgspec.Struct, frozen=True):
    """What the launcher stores durably.

    Attributes:
        generation: The generation of the request that `current` is from; 0 after a fall back.
        current: The version that has to run.
        previous: The version to fall back to.
        is_on_trial: Whether `current` is on trial.
        start_timeout_ms: How long `current` may take to report that it is up.
        failed_generation: The generation of the request whose version the launcher last fell back from.
        failure_reason: Why it fell back.
    """

    generation: int = 0
    current: AgentVersion = msgspec.field(name="which", default=AgentVersion())
    previous: AgentVersion = msgspec.field(name="before", default=AgentVersion())
    is_on_trial: bool = msgspec.field(name="trial", default=False)
    start_timeout_ms: float = msgspec.field(name="start_within", default=START_TIMEOUT_MS)
    failed_generation: int = msgspec.field(name="failed", default=0)
    failure_reason: str = msgspec.field(name="why", default="")


class AgentLauncher:
    """The launcher's decisions. All times are in ms on the monotonic clock.

    Invariants: at most one process is asked for at a time; a request that is not newer than the last changes nothing; a
    version that exited during its trial is not started again for the same request.

    Attributes:
        state: What is stored, or has to be.
        phase: What the agent's process does.
        due_ms: When `on_timer` has something to do; None while it has not.
        start_count: How often the current version was started.
    """

    def __init__(self, state: LauncherState, rng: random.Random) -> None:
        self.state = state
        self.phase: LauncherPhase = "down"
        self.due_ms: float | None = None
        self.start_count = 0
        self._rng = rng
        self._backoff_ms = FIRST_BACKOFF_MS
        self._started_at_ms = 0.0
        self._timeout_reason = ""
        self._is_shutting_down = False

    def begin(self, now_ms: float) -> LauncherAction:
        """Start the agent for the first time."""
        return self._start(now_ms)

    def state_after_switch(self, request: SwitchRequest) -> LauncherState | None:
        """Return what has to be stored before `switch`; None for a request that is not newer than the last."""
        if request.generation <= max(self.state.generation, self.state.failed_generation):
            return None
        # A version that is still on trial is nothing to fall back to.
        previous = self.state.previous if self.state.is_on_trial else self.state.current
        return LauncherState(
            request.generation,
            request.target,
            previous,
            True,
            request.start_timeout_ms,
            self.state.failed_generation,
            self.state.failure_reason,
        )

    def switch(self, state: LauncherState, now_ms: float) -> LauncherAction | None:
        """Switch to the version of a state that has been stored."""
        self._set_version(state)
        if self.phase == "down":
            return self._start(now_ms)
        if self.phase != "stopping":
            return self._stop(now_ms)
        return None

    def stop(self, now_ms: float) -> LauncherAction | None:
        """Shut down, as the launcher itself has to end; `has_ended` says when it may."""
        self._is_shutting_down = True
        if self.phase in ("starting", "up"):
            return self._stop(now_ms)
        return None

    @property
    def has_ended(self) -> bool:
        """Whether the launcher was shut down and no process runs any more."""
        return self._is_shutting_down and self.phase == "down"

    def on_ready(self) -> None:
        """Take the agent's report that it is up and that a majority of its group hears it."""
        if self.phase == "starting":
            self.phase = "up"
            self.due_ms = None

    def on_settled(self, generation: int) -> LauncherState | None:
        """End the trial of a generation; return what has to be stored."""
        if generation < self.state.generation or not self.state.is_on_trial:
            return None
        self.state = msgspec.structs.replace(self.state, is_on_trial=False)
        return self.state

    def on_exit(self, description: str, now_ms: float) -> tuple[LauncherState | None, LauncherAction | None]:
        """Take the end of the process.

        A disk that fails must not prevent the fall back: the state is stored on a best effort, and the next launcher
        falls back from the same trial.

        Args:
            description: How it ended, for people.
            now_ms: The time.

        Returns:
            What has to be stored, and what to do next.
        """
        was_stopping = self.phase == "stopping"
        self.phase = "down"
        if self._is_shutting_down:
            self.due_ms = None
            return None, None
        if was_stopping:
            return None, self._start(now_ms)
        if self.state.is_on_trial:
            self._set_version(self._fallen_back(self._timeout_reason or f"it ended with {description}"))
            return self.state, self._start(now_ms)
        self._schedule_restart(now_ms)
        return None, None

    def on_timer(self, now_ms: float) -> LauncherAction | None:
        """Do what is due, if anything is."""
        if self.due_ms is None or now_ms < self.due_ms:
            return None
        self.due_ms = None
        if self.phase == "down":
            return self._start(now_ms)
        if self.phase == "starting":
            timeout_s = self.state.start_timeout_ms / MS_PER_S
            self._timeout_reason = f"it did not say within {timeout_s:g} s that its group hears it"
            self.phase = "up"  # so that its exit counts as a failed trial
            return "kill"
        return "kill" if self.phase == "stopping" else None

    def _set_version(self, state: LauncherState) -> None:
        self.state = state
        self.start_count = 0
        self._backoff_ms = FIRST_BACKOFF_MS

    def _start(self, now_ms: float) -> LauncherAction:
        self.phase = "starting"
        self._started_at_ms = now_ms
        self._timeout_reason = ""
        self.start_count += 1
        self.due_ms = now_ms + self.state.start_timeout_ms if self.state.is_on_trial else None
        return "start"

    def _stop(self, now_ms: float) -> LauncherAction:
        self.phase = "stopping"
        self.due_ms = now_ms + STOP_TIMEOUT_MS
        return "terminate"

    def _fallen_back(self, reason: str) -> LauncherState:
        """Return the state after a failed trial."""
        return LauncherState(
            generation=0,
            current=self.state.previous,
            previous=self.state.previous,
            is_on_trial=False,
            start_timeout_ms=self.state.start_timeout_ms,
            failed_generation=self.state.generation,
            failure_reason=reason,
        )

    def _schedule_restart(self, now_ms: float) -> None:
        """Schedule the next start after an exponential backoff with jitter."""
        if now_ms - self._started_at_ms >= BACKOFF_RESET_AFTER_MS:
            self._backoff_ms = FIRST_BACKOFF_MS
        self.due_ms = now_ms + self._rng.uniform(*BACKOFF_JITTER) * self._backoff_ms
        self._backoff_ms = min(2.0 * self._backoff_ms, MAXIMUM_BACKOFF_MS)


def agent_removal_refusal(
    voters: Sequence[str], out_agents: Sequence[str], silent_agents: Sequence[str], target: str
) -> str:
    """Return why an agent may not be taken out of service now; empty where it may.

    One voter goes at a time, and only if the remaining voters that are heard of form a majority: without one nothing
    could be agreed on, the roll back of this release included.
    """
    if target not in voters:
        return ""
    out_voters = [name for name in voters if name in out_agents]
    if out_voters:
        return f"agent {out_voters[0]} votes too and is not done yet"
    heard_voters = [name for name in voters if name != target and name not in silent_agents]
    majority = len(voters) // 2 + 1
    if len(heard_voters) < majority:
        heard = f"{len(heard_voters)} of {len(voters)}"
        return f"without agent {target} {heard} that vote would be heard: no majority"
    return ""
