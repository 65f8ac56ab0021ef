"""Measures stalls: periods in which the test runner, or a process under test, did not run.

A run on a busy machine reports its stalls, and what they delayed is not counted as a failure of the program.
`StallMonitor` reads the clock and /proc; the rest has no I/O.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import NamedTuple

HEARTBEAT_S = 0.005  # between two checks of whether the runner was delayed
MIN_STALL_MS = 15.0  # of a delay of the runner, or of waiting for a core between two samples, that is recorded
SAMPLE_INTERVAL_S = 0.05  # between two readings of how long the processes waited for a core
MAX_STALL_MS = 400.0  # of one stall of the runner; a run with a longer one counts as late
MAX_STALLED_SHARE = 0.15  # of a run's time; a run whose runner stalled for more counts as late


class Stall(NamedTuple):
    """A period in which a process did not run.

    Attributes:
        at: When it began, in ms of the run.
        duration_ms: How long it lasted.
        process: The name of the process; empty for the runner.
        reason: Why the process did not run, if that is known.
    """

    at: float
    duration_ms: float
    process: str
    reason: str = ""


class StallSummary(NamedTuple):
    """The stalls of a run's runner.

    Attributes:
        worst_ms: The longest stall.
        share: The share of the run's time in stalls.
        text: Why the run counts as late; empty if it does not.
    """

    worst_ms: float
    share: float
    text: str


def summarize(stalls: list[Stall], run_ms: float) -> StallSummary:
    """Summarize the stalls of the runner; those of a process under test excuse only that process.

    Args:
        stalls: All stalls of the run.
        run_ms: How long the run took.
    """
    durations_ms = [stall.duration_ms for stall in stalls if not stall.process]
    worst_ms, share = max(durations_ms, default=0.0), sum(durations_ms) / max(run_ms, 1.0)
    text = ""
    if worst_ms > MAX_STALL_MS:
        text = f"the relays stalled for {worst_ms:.0f} ms"
    elif share > MAX_STALLED_SHARE:
        text = f"the relays were stalled for {share:.0%} of the time"
    return StallSummary(worst_ms, share, text)


def core_wait_ms(pid: int) -> float:
    """Return how many ms a process' main thread has waited for a core since its start; 0 if the kernel does not say."""
    try:
        descriptor = os.open(f"/proc/{pid}/schedstat", os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return 0.0
    try:
        return int(os.read(descriptor, 128).split()[1]) / 1e6
    except (OSError, IndexError, ValueError):
        return 0.0
    finally:
        os.close(descriptor)


class StallMonitor:
    """Records the stalls of the runner and of the processes under test.

    Attributes:
        stalls: All stalls so far.
    """

    def __init__(self, at: Callable[[], float], pids: Callable[[], dict[str, int]]) -> None:
        """Prepare the monitor.

        Args:
            at: Returns the time in ms of the run.
            pids: Returns the pids of the processes that run now, by name.
        """
        self._at, self._pids = at, pids
        self.stalls: list[Stall] = []
        self._core_waits_ms: dict[tuple[str, int], float] = {}
        self._last_heartbeat_s = time.monotonic()
        self._timers: dict[Callable[[], None], asyncio.TimerHandle] = {}
        self._last_sample_at = self._at()

    def start(self) -> None:
        """Begin to record."""
        self._last_heartbeat_s = time.monotonic()
        self._heartbeat()
        self._sample()

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._timers[callback] = asyncio.get_running_loop().call_later(delay_s, callback)

    def _heartbeat(self) -> None:
        now_s = time.monotonic()
        delayed_ms = (now_s - self._last_heartbeat_s - HEARTBEAT_S) * 1000.0
        if delayed_ms > MIN_STALL_MS:
            self.stalls.append(Stall(self._at() - delayed_ms, delayed_ms, ""))
        self._last_heartbeat_s = now_s
        self._schedule(HEARTBEAT_S, self._heartbeat)

    def _sample(self) -> None:
        at = self._at()
        for name, pid in self._pids().items():
            waited_ms = core_wait_ms(pid)
            previous_ms = self._core_waits_ms.get((name, pid))
            if previous_ms is not None and waited_ms - previous_ms > MIN_STALL_MS:
                self.stalls.append(
                    Stall(self._last_sample_at, waited_ms - previous_ms, name, "it waited for a free core")
                )
            self._core_waits_ms[name, pid] = waited_ms
        self._last_sample_at = at
        self._schedule(SAMPLE_INTERVAL_S, self._sample)

    def excuse(self, process: str, duration_ms: float, reason: str) -> None:
        """Record a stall that the runner itself causes from now on.

        Args:
            process: The name of the process that does not run.
            duration_ms: How long it does not run.
            reason: Why it does not run.
        """
        self.stalls.append(Stall(self._at(), duration_ms, process, reason))

    def stop(self) -> None:
        """End recording."""
        for timer in self._timers.values():
            timer.cancel()
