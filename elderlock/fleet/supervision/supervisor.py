"""Whether and when a limiter is started, stopped or left alone. Free of I/O.

Back-off with full jitter between restarts; too many exits within a time end it until an operator starts
it again, as a limiter that cannot run must not eat the machine that others run on.
"""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

import msgspec

from elderlock.fleet.messages import Phase


class Policy(msgspec.Struct, frozen=True):
    """Times in ms. A limiter that ran `backoff_reset_ms` begins again at the first back-off."""

    first_backoff_ms: float = 200.0
    maximum_backoff_ms: float = 30_000.0
    backoff_reset_ms: float = 10_000.0
    maximum_exits: int = 5  # within `exit_window_ms` end the restarts
    exit_window_ms: float = 60_000.0
    stop_timeout_ms: float = 6_000.0  # from the wish to stop to the kill


class Command(Enum):
    SPAWN = "spawn"
    TERMINATE = "terminate"
    KILL = "kill"


class Supervisor:
    """`step` is called with what is known now and returns what is to be done; `due` says when to come
    again. Invariant: at most one process is asked for at a time, none while one is known to live."""

    def __init__(self, policy: Policy, rng: random.Random) -> None:
        self._policy, self._rng = policy, rng
        self.wanted = False
        self.phase: Phase = "stopped"
        self.restarts = 0
        self.due: float | None = None
        self._backoff = policy.first_backoff_ms
        self._started_at = 0.0
        self._exits: deque[float] = deque(maxlen=policy.maximum_exits)
        self._killed = False

    def want(self, wanted: bool, now: float) -> Command | None:
        """An operator's word. A start forgets past crashes."""
        if wanted and (not self.wanted or self.phase == "gave-up"):
            self._exits.clear()
            self._backoff = self._policy.first_backoff_ms
            if self.phase in ("backing-off", "gave-up"):
                self.phase, self.due = "stopped", None
        self.wanted = wanted
        return self.step(now)

    def step(self, now: float) -> Command | None:
        match self.phase:
            case "stopped" if self.wanted:
                return self._spawn(now)
            case "backing-off" if not self.wanted:
                self.phase, self.due = "stopped", None
            case "backing-off" if self.due is not None and now >= self.due:
                return self._spawn(now)
            case "starting" | "running" if not self.wanted:
                self.phase, self.due, self._killed = "stopping", now + self._policy.stop_timeout_ms, False
                return Command.TERMINATE
            case "stopping" if self.due is not None and now >= self.due and not self._killed:
                self._killed = True
                return Command.KILL
        return None

    def _spawn(self, now: float) -> Command:
        self.phase, self.due, self._started_at = "starting", None, now
        return Command.SPAWN

    def hold(self, until: float) -> None:
        """It cannot be started just now, through no fault of its own: no exit is counted."""
        self.phase, self.due = "backing-off", until

    def answered(self) -> None:
        if self.phase == "starting":
            self.phase = "running"

    def adopted(self, now: float) -> None:
        """A process from before was found alive."""
        self.phase, self.due, self._started_at = "running", None, now

    def exited(self, now: float) -> Command | None:
        """The process is gone, or could not be started at all."""
        if self.phase == "stopping" and not self.wanted:
            self.phase, self.due = "stopped", None
            return None
        if not self.wanted:
            self.phase, self.due = "stopped", None
            return None
        if self.phase == "stopping":  # wanted again while it stopped
            return self._spawn(now)
        if now - self._started_at >= self._policy.backoff_reset_ms:
            self._backoff = self._policy.first_backoff_ms
        self._exits.append(now)
        if len(self._exits) == self._policy.maximum_exits and now - self._exits[0] <= self._policy.exit_window_ms:
            self.phase, self.due = "gave-up", None
            return None
        self.restarts += 1
        self.phase = "backing-off"
        self.due = now + self._rng.uniform(0.5, 1.0) * self._backoff
        self._backoff = min(2.0 * self._backoff, self._policy.maximum_backoff_ms)
        return None
