"""How far the runner itself falls behind, and how long each process waits for a core: a run on a busy machine says so,
and what it saw late is not held against the program. What is judged here has no I/O; `Watch` reads the clock and
/proc."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import NamedTuple

BEAT = 0.005  # s between looks
LEAST = 15.0  # ms of a stand-still, or of waiting for a core between two samples, that counts
SAMPLE_EVERY = 0.05  # s between looks at how long processes waited
LATE_MOST = 400.0  # ms of one stand-still of the runner, beyond which a run counts as late
LATE_SHARE = 0.15  # of a run's time that it stood still, beyond which it counts as late


class Stall(NamedTuple):
    """From `at` on (ms of the run) for `lasts` ms `who` had no time: the runner (empty), or a process."""

    at: float
    lasts: float
    who: str
    why: str = ""


class Late(NamedTuple):
    """How late a run was: worst stand-still (ms), share of its time; `text` is empty where neither is too much."""

    worst: float
    share: float
    text: str


def summarize(stalls: list[Stall], lasted: float) -> Late:
    """`lasted` ms. Of the runner's own alone: a process that waited is excused by itself."""
    own = [stall.lasts for stall in stalls if not stall.who]
    worst, share = max(own, default=0.0), sum(own) / max(lasted, 1.0)
    text = ""
    if worst > LATE_MOST:
        text = f"the relays stood still for {worst:.0f} ms"
    elif share > LATE_SHARE:
        text = f"the relays stood still for {share:.0%} of the time"
    return Late(worst, share, text)


def waited_ms(pid: int) -> float:
    """In which its main thread was ready and had no core, since its start; 0 where the kernel does not tell."""
    try:
        held = os.open(f"/proc/{pid}/schedstat", os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return 0.0
    try:
        return int(os.read(held, 128).split()[1]) / 1e6
    except (OSError, IndexError, ValueError):
        return 0.0
    finally:
        os.close(held)


class Watch:
    """`pids` gives the processes of this moment by name."""

    def __init__(self, at: Callable[[], float], pids: Callable[[], dict[str, int]]) -> None:
        self._at, self._pids = at, pids
        self.stalls: list[Stall] = []
        self._waited: dict[tuple[str, int], float] = {}
        self._last = time.monotonic()
        self._handles: dict[Callable[[], None], asyncio.TimerHandle] = {}
        self._sampled = self._at()

    def start(self) -> None:
        self._last = time.monotonic()
        self._beat()
        self._sample()

    def _later(self, wait: float, do: Callable[[], None]) -> None:
        self._handles[do] = asyncio.get_running_loop().call_later(wait, do)

    def _beat(self) -> None:
        now = time.monotonic()
        lost = (now - self._last - BEAT) * 1000.0
        if lost > LEAST:
            self.stalls.append(Stall(self._at() - lost, lost, ""))
        self._last = now
        self._later(BEAT, self._beat)

    def _sample(self) -> None:
        at = self._at()
        for name, pid in self._pids().items():
            waited = waited_ms(pid)
            before = self._waited.get((name, pid))
            if before is not None and waited - before > LEAST:
                self.stalls.append(Stall(self._sampled, waited - before, name, "no core was free for it"))
            self._waited[name, pid] = waited
        self._sampled = at
        self._later(SAMPLE_EVERY, self._sample)

    def excuse(self, who: str, lasts: float, why: str) -> None:
        """The runner itself gives it no time from now on for so long (ms)."""
        self.stalls.append(Stall(self._at(), lasts, who, why))

    def stop(self) -> None:
        for handle in self._handles.values():
            handle.cancel()
