"""The monotonic clock and timers with microsecond resolution.

Timers of asyncio and uvloop have a resolution of a millisecond, which would add up to that much to the measured latency
of a fast target.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import resource
import time
from collections.abc import Callable

CLOCK_MONOTONIC = 1
TFD_NONBLOCK, TFD_CLOEXEC, TFD_TIMER_ABSTIME = os.O_NONBLOCK, os.O_CLOEXEC, 1


def now_us() -> int:
    """Return CLOCK_MONOTONIC in µs, which adjustments of the system clock do not change."""
    return time.monotonic_ns() // 1000


class _Itimerspec(ctypes.Structure):
    _fields_ = (
        ("interval_s", ctypes.c_long),
        ("interval_ns", ctypes.c_long),
        ("value_s", ctypes.c_long),
        ("value_ns", ctypes.c_long),
    )


class OneShotTimer:
    """Calls `due` once at the time that was set last, and at once if that time has passed (timerfd_create(2))."""

    def __init__(self, loop: asyncio.AbstractEventLoop, due: Callable[[], None]) -> None:
        """Create the timer, not yet set.

        Raises:
            OSError: The kernel refuses the timer.
        """
        self._loop, self._due = loop, due
        self._libc = ctypes.CDLL(None, use_errno=True)
        self._fd = self._libc.timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create failed")
        self._spec = _Itimerspec()
        self._spec_reference = ctypes.byref(self._spec)
        loop.add_reader(self._fd, self._fired)

    def set(self, us: int) -> None:
        """Set the timer to a time of `now_us`, in place of the time set before."""
        spec = self._spec
        spec.value_s, rest_us = divmod(max(us, 1), 1_000_000)
        spec.value_ns = rest_us * 1000
        if self._libc.timerfd_settime(self._fd, TFD_TIMER_ABSTIME, self._spec_reference, None) < 0:
            raise OSError(ctypes.get_errno(), "timerfd_settime failed")

    def _fired(self) -> None:
        try:
            os.read(self._fd, 8)
        except BlockingIOError:
            return  # the timer was set again after it had fired
        self._due()

    def close(self) -> None:
        """Release the timer."""
        if self._fd >= 0:
            self._loop.remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1


class ProcessMonitor:
    """Reads the resource usage of this process, which explains its lateness."""

    def __init__(self) -> None:
        try:
            self._schedstat = os.open("/proc/self/schedstat", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._schedstat = -1  # some kernels do not have the file; others have it and report only zeros
        # The file stays open, because a worker that has run out of descriptors still has to report.
        self._statm = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)
        self._page_kb = os.sysconf("SC_PAGE_SIZE") // 1024

    def cpu_ms(self) -> float:
        """Return the CPU time of the process."""
        return time.process_time_ns() / 1e6

    def wait_ms(self) -> float:
        """Return how long the main thread was runnable without a core; 0 if the kernel does not report it."""
        if self._schedstat < 0:
            return 0.0
        return int(os.pread(self._schedstat, 128, 0).split()[1]) / 1e6

    def preempted(self) -> int:
        """Return the number of involuntary context switches."""
        return resource.getrusage(resource.RUSAGE_SELF).ru_nivcsw

    def rss_kb(self) -> int:
        """Return the resident memory in KiB."""
        return int(os.pread(self._statm, 128, 0).split()[1]) * self._page_kb
