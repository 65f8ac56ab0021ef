"""Decide which version of an agent runs, and when to fall back to the one before. No I/O.

An agent cannot observe the failure of the version that replaces it. A launcher, a small process that no release
changes, therefore starts the agent and durably stores both the version to run and the previous one. When a version on
trial exits, or does not report within its start timeout that it is up, the launcher starts the previous version again.
The release of the agents decides when the trial is over.
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
BACKOFF_RESET_AFTER_MS = 10_000.0  # a process that ran this long restarts with the first backoff again
BACKOFF_JITTER = (0.5, 1.0)  # the wait is the backoff times a factor that is uniform in this range
STOP_TIMEOUT_MS = 6_000.0  # between SIGTERM and SIGKILL
START_TIMEOUT_MS = 20_000.0  # the default time within which a version has to report that it is up
MS_PER_S = 1000.0


class AgentVersion(msgspec.Struct, frozen=True):
    """A version of the agent.

    Attributes:
        version: The name of the version; empty for the version that the launcher itself was installed with.
        command: The command that starts it; empty for the launcher's own version.
    """

    version: str = ""
    command: tuple[str, ...] = ()


class SwitchRequest(msgspec.Struct, frozen=True):
    """A request to switch to another version.

    Attributes:
        generation: The generation of the plan's unit, greater than that of any earlier request.
        target: The version to switch to.
        start_timeout_ms: How long the version may take to report that it is up.
    """

    generation: int
    target: AgentVersion = msgspec.field(name="which")
    start_timeout_ms: float = msgspec.field(name="start_within", default=START_TIMEOUT_MS)


class LauncherState(msgspec.Struct, frozen=True):
    """What the launcher stores durably.

    Attributes:
        generation: The generation of the request that set `current`; 0 after a fall back.
        current: The version to run.
        previous: The version to fall back to.
        is_on_trial: Whether `current` is on trial.
        start_timeout_ms: How long `current` may take to report that it is up.
        failed_generation: The generation of the request whose version failed its trial last.
        failure_reason: Why the launcher fell back from that version.
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

    Invariants: at most one process is started at a time; a request that is not newer than the last one changes nothing;
    a version that exited during its trial is not started again for the same request.

    Attributes:
        state: The state that is stored, or has to be stored next.
        phase: The state of the agent's process.
        due_ms: When `on_timer` has to be called next; None while no timer is set.
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
        """Return the state to store before `switch`; None for a request that is not newer than the last one."""
        if request.generation <= max(self.state.generation, self.state.failed_generation):
            return None
        # A version that is still on trial is not proven, so the launcher never falls back to it.
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
        """Switch to the current version of `state`, which has been stored."""
        self._set_version(state)
        if self.phase == "down":
            return self._start(now_ms)
        if self.phase != "stopping":
            return self._stop(now_ms)
        return None

    def stop(self, now_ms: float) -> LauncherAction | None:
        """Stop the agent because the launcher shuts down; `has_ended` tells when the launcher may exit."""
        self._is_shutting_down = True
        if self.phase in ("starting", "up"):
            return self._stop(now_ms)
        return None

    @property
    def has_ended(self) -> bool:
        """Whether the launcher is shutting down and the agent's process has exited."""
        return self._is_shutting_down and self.phase == "down"

    def on_ready(self) -> None:
        """Handle the agent's report that it is up and reaches a majority of its group."""
        if self.phase == "starting":
            self.phase = "up"
            self.due_ms = None

    def on_settled(self, generation: int) -> LauncherState | None:
        """End the trial of a generation; return the state to store, or None where no such trial is under way."""
        if generation < self.state.generation or not self.state.is_on_trial:
            return None
        self.state = msgspec.structs.replace(self.state, is_on_trial=False)
        return self.state

    def on_exit(self, description: str, now_ms: float) -> tuple[LauncherState | None, LauncherAction | None]:
        """Handle the exit of the agent's process.

        A failing disk must not prevent the fall back: the state is stored on a best-effort basis, and if that fails,
        the next launcher process falls back from the same trial.

        Args:
            description: The exit code or signal, for operators.
            now_ms: The time.

        Returns:
            The state to store, and the next action.
        """
        was_stopping = self.phase == "stopping"
        self.phase = "down"
        if self._is_shutting_down:
            self.due_ms = None
            return None, None
        if was_stopping:
            return None, self._start(now_ms)
        if self.state.is_on_trial:
            self._set_version(self._state_after_fall_back(self._timeout_reason or f"it ended with {description}"))
            return self.state, self._start(now_ms)
        self._schedule_restart(now_ms)
        return None, None

    def on_timer(self, now_ms: float) -> LauncherAction | None:
        """Return the action that is due, if any."""
        if self.due_ms is None or now_ms < self.due_ms:
            return None
        self.due_ms = None
        if self.phase == "down":
            return self._start(now_ms)
        if self.phase == "starting":
            timeout_s = self.state.start_timeout_ms / MS_PER_S
            self._timeout_reason = f"it did not say within {timeout_s:g} s that it reaches a majority of its group"
            self.phase = "up"  # on_exit then counts the exit as a failed trial, not as a requested stop
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

    def _state_after_fall_back(self, reason: str) -> LauncherState:
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

    Voters are taken out one at a time, and only while the remaining reachable voters form a majority: without a
    majority the group cannot agree on anything, not even on rolling this release back.

    Args:
        voters: The agents that vote on the ledger.
        out_agents: The agents that the release has out of service or on trial.
        silent_agents: The agents without a recent report.
        target: The agent to take out.
    """
    if target not in voters:
        return ""
    voters_out = [name for name in voters if name in out_agents]
    if voters_out:
        return f"agent {voters_out[0]} votes too and is not done yet"
    reachable_voters = [name for name in voters if name != target and name not in silent_agents]
    majority = len(voters) // 2 + 1
    if len(reachable_voters) < majority:
        heard = f"{len(reachable_voters)} of {len(voters)}"
        return f"without agent {target} {heard} that vote would be heard: no majority"
    return ""
