"""The base of an agent: which version of the agent runs, and the fall back to the one before. No I/O.

An agent cannot see its own successor fail. So a small process that no release changes starts it, holds durably what it
is to run and what ran before, and starts the latter again when a version on trial ends, or does not say in time that it
is up. The agents' own plan says when the trial is over (`settled`).
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Literal

import msgspec

Do = Literal["start", "terminate", "kill"]
FIRST_BACKOFF, MOST_BACKOFF, STEADY = 200.0, 30_000.0, 10_000.0  # ms; one that ran so long begins at the first again
STOP_WITHIN = 6_000.0  # ms from SIGTERM to SIGKILL
START_WITHIN = 20_000.0  # ms that a version has to say that it is up, where nobody says else


class Which(msgspec.Struct, frozen=True):
    """A version of the agent. An empty command is the base's own."""

    version: str = ""
    command: tuple[str, ...] = ()


class To(msgspec.Struct, frozen=True):
    """The word to go to another version. `generation`: of the plan's unit, greater than of any word before."""

    generation: int
    which: Which
    start_within: float = START_WITHIN  # ms


class Held(msgspec.Struct, frozen=True):
    """What the base keeps on disk. `trial`: `which` has not settled yet, `before` runs again if it ends. `failed`: the
    generation whose version was fallen back from last, with why."""

    generation: int = 0
    which: Which = Which()
    before: Which = Which()
    trial: bool = False
    start_within: float = START_WITHIN
    failed: int = 0
    why: str = ""


class Base:
    """Times in ms. Invariants: at most one process is asked for at a time; a word that is not newer than the last
    changes nothing; a version that ended before it settled is not started again by the same word."""

    def __init__(self, held: Held, rng: random.Random) -> None:
        self.held, self._rng = held, rng
        self.phase: Literal["down", "starting", "up", "stopping"] = "down"
        self.due: float | None = None
        self.starts = 0  # of this version
        self._backoff = FIRST_BACKOFF
        self._began = 0.0
        self._late = ""
        self._end = False

    def begin(self, now: float) -> Do:
        return self._start(now)

    def _start(self, now: float) -> Do:
        self.phase, self._began, self._late = "starting", now, ""
        self.starts += 1
        self.due = now + self.held.start_within if self.held.trial else None
        return "start"

    def weigh(self, to: To) -> Held | None:
        """What is to be kept before `take`; None for a word that is not newer."""
        if to.generation <= max(self.held.generation, self.held.failed):
            return None
        # a version that has not settled is nothing to fall back to
        before = self.held.before if self.held.trial else self.held.which
        return Held(to.generation, to.which, before, True, to.start_within, self.held.failed, self.held.why)

    def take(self, held: Held, now: float) -> Do | None:
        self.held, self.starts, self._backoff = held, 0, FIRST_BACKOFF
        if self.phase == "down":
            return self._start(now)
        if self.phase != "stopping":
            return self._stop(now)
        return None

    def _stop(self, now: float) -> Do:
        self.phase, self.due = "stopping", now + STOP_WITHIN
        return "terminate"

    def stop(self, now: float) -> Do | None:
        """The base itself is to end; `ended` says when it may."""
        self._end = True
        if self.phase in ("starting", "up"):
            return self._stop(now)
        return None

    @property
    def ended(self) -> bool:
        return self._end and self.phase == "down"

    def ready(self) -> None:
        """The agent says that it is up, and that its group hears it."""
        if self.phase == "starting":
            self.phase, self.due = "up", None

    def settled(self, generation: int) -> Held | None:
        """What is to be kept: the trial of that generation is over."""
        if generation < self.held.generation or not self.held.trial:
            return None
        self.held = msgspec.structs.replace(self.held, trial=False)
        return self.held

    def exited(self, how: str, now: float) -> tuple[Held | None, Do | None]:
        """`how`: its end in words. What is to be kept, as well as it can be, and what is to be done. A disk that fails
        must not keep the version before from running: the next base falls back from the same trial."""
        stopping, self.phase = self.phase == "stopping", "down"
        if self._end:
            self.due = None
            return None, None
        if stopping:  # for another version: what was on trial is over with it
            return None, self._start(now)
        if self.held.trial:
            back = self.held.before
            why = self._late or f"it ended with {how}"
            self.held = Held(0, back, back, False, self.held.start_within, self.held.generation, why)
            self.starts, self._backoff = 0, FIRST_BACKOFF
            return self.held, self._start(now)
        if now - self._began >= STEADY:
            self._backoff = FIRST_BACKOFF
        self.due = now + self._rng.uniform(0.5, 1.0) * self._backoff
        self._backoff = min(2.0 * self._backoff, MOST_BACKOFF)
        return None, None

    def step(self, now: float) -> Do | None:
        if self.due is None or now < self.due:
            return None
        self.due = None
        if self.phase == "down":
            return self._start(now)
        if self.phase == "starting":
            self._late = f"it did not say within {self.held.start_within / 1000.0:g} s that its group hears it"
            self.phase = "up"  # on its way out: its end is a failed trial
            return "kill"
        return "kill" if self.phase == "stopping" else None


def may_go(voters: Sequence[str], out: Sequence[str], silent: Sequence[str], target: str) -> str:
    """Why the agent may not be taken out now; empty where it may. One voter at a time, and never so that those left
    that are heard of are no majority: nothing could be agreed on, this plan's own way back included."""
    if target not in voters:
        return ""
    away = [name for name in voters if name in out]
    if away:
        return f"agent {away[0]} votes too and is not done yet"
    left = [name for name in voters if name != target and name not in silent]
    if len(left) < len(voters) // 2 + 1:
        return f"without agent {target} {len(left)} of {len(voters)} that vote would be heard: no majority"
    return ""
