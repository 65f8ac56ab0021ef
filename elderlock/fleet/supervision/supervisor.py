"""Decide when a limiter's process is started and stopped. No I/O.

Restarts are delayed by an exponential backoff with jitter. Too many exits within a time end the restarts until an
operator starts the limiter again: a limiter that cannot run must not use up the machine that others run on.
"""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

import msgspec

from elderlock.fleet.messages import Phase

BACKOFF_JITTER = (0.5, 1.0)  # the fraction of the backoff that is waited, drawn uniformly


class Policy(msgspec.Struct, frozen=True):
    """The settings of a supervisor.

    Attributes:
        first_backoff_ms: The backoff before the first restart.
        maximum_backoff_ms: The longest backoff.
        backoff_reset_ms: How long a process has to run for the next backoff to be the first again.
        maximum_exits: How many exits within `exit_window_ms` end the restarts.
        exit_window_ms: The time within which exits are counted.
        stop_timeout_ms: The time from the request to stop to SIGKILL.
    """

    first_backoff_ms: float = msgspec.field(name="first_backoff", default=200.0)
    maximum_backoff_ms: float = msgspec.field(name="most_backoff", default=30_000.0)
    backoff_reset_ms: float = msgspec.field(name="steady", default=10_000.0)
    maximum_exits: int = msgspec.field(name="crashes", default=5)
    exit_window_ms: float = msgspec.field(name="window", default=60_000.0)
    stop_timeout_ms: float = msgspec.field(name="stop_within", default=6_000.0)


class Command(Enum):
    """What the caller has to do with the process."""

    SPAWN = "spawn"
    TERMINATE = "terminate"
    KILL = "kill"


class Supervisor:
    """Decides about the process of one limiter. All times are in ms on one monotonic clock.

    The methods that return a `Command` return what the caller has to do now. Invariant: at most one process is
    requested at a time, and none while one is known to run.

    Attributes:
        wanted: Whether the limiter has to run.
        phase: The phase of its process.
        restarts: How often it was restarted after it exited.
        due: When `step` has something to do; None while it has not.
    """

    def __init__(self, policy: Policy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self.wanted = False
        self.phase: Phase = "stopped"
        self.restarts = 0
        self.due: float | None = None
        self._backoff_ms = policy.first_backoff_ms
        self._started_at_ms = 0.0
        self._exits_ms: deque[float] = deque(maxlen=policy.maximum_exits)
        self._is_killed = False

    def want(self, wanted: bool, now: float) -> Command | None:
        """Take an operator's order to start or stop the limiter; a start forgets earlier exits."""
        if wanted and (not self.wanted or self.phase == "gave-up"):
            self._exits_ms.clear()
            self._backoff_ms = self._policy.first_backoff_ms
            if self.phase in ("backing-off", "gave-up"):
                self.phase, self.due = "stopped", None
        self.wanted = wanted
        return self.step(now)

    def step(self, now: float) -> Command | None:
        """Do what is due, if anything is."""
        match self.phase:
            case "stopped" if self.wanted:
                return self._spawn(now)
            case "backing-off" if not self.wanted:
                self.phase, self.due = "stopped", None
            case "backing-off" if self.due is not None and now >= self.due:
                return self._spawn(now)
            case "starting" | "running" if not self.wanted:
                self.phase, self.due, self._is_killed = "stopping", now + self._policy.stop_timeout_ms, False
                return Command.TERMINATE
            case "stopping" if self.due is not None and now >= self.due and not self._is_killed:
                self._is_killed = True
                return Command.KILL
        return None

    def _spawn(self, now: float) -> Command:
        self.phase, self.due, self._started_at_ms = "starting", None, now
        return Command.SPAWN

    def hold(self, until: float) -> None:
        """Delay a start that failed for another reason than the limiter itself; this counts as no exit."""
        self.phase, self.due = "backing-off", until

    def answered(self) -> None:
        """Take that the limiter answers on its control socket."""
        if self.phase == "starting":
            self.phase = "running"

    def adopted(self, now: float) -> None:
        """Take that a process that was started earlier still runs."""
        self.phase, self.due, self._started_at_ms = "running", None, now

    def exited(self, now: float) -> Command | None:
        """Take that the process has exited, or could not be started at all."""
        if self.phase == "stopping" and not self.wanted:
            self.phase, self.due = "stopped", None
            return None
        if not self.wanted:
            self.phase, self.due = "stopped", None
            return None
        if self.phase == "stopping":  # it was started again while it stopped
            return self._spawn(now)
        if now - self._started_at_ms >= self._policy.backoff_reset_ms:
            self._backoff_ms = self._policy.first_backoff_ms
        self._exits_ms.append(now)
        is_limit_reached = len(self._exits_ms) == self._policy.maximum_exits
        if is_limit_reached and now - self._exits_ms[0] <= self._policy.exit_window_ms:
            self.phase, self.due = "gave-up", None
            return None
        self.restarts += 1
        self.phase = "backing-off"
        self.due = now + self._rng.uniform(*BACKOFF_JITTER) * self._backoff_ms
        self._backoff_ms = min(2.0 * self._backoff_ms, self._policy.maximum_backoff_ms)
        return None
