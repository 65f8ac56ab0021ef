"""Wakes the loop at a microsecond. Timers of asyncio and uvloop are of whole milliseconds, which would make a
quick target look up to one slower than it is."""

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
    """µs of CLOCK_MONOTONIC: no step of the system's clock moves it."""
    return time.monotonic_ns() // 1000


class _Itimerspec(ctypes.Structure):
    _fields_ = (
        ("interval_s", ctypes.c_long),
        ("interval_ns", ctypes.c_long),
        ("value_s", ctypes.c_long),
        ("value_ns", ctypes.c_long),
    )


class OneShotTimer:
    """Calls `due` at the time last set, once; a time that has passed is due at once (timerfd_create(2))."""

    def __init__(self, loop: asyncio.AbstractEventLoop, due: Callable[[], None]) -> None:
        """Raises `OSError`."""
        self._loop, self._due = loop, due
        self._libc = ctypes.CDLL(None, use_errno=True)
        self._fd = self._libc.timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create failed")
        self._spec = _Itimerspec()
        self._at = ctypes.byref(self._spec)
        loop.add_reader(self._fd, self._fired)

    def set(self, us: int) -> None:
        spec = self._spec
        spec.value_s, rest = divmod(max(us, 1), 1_000_000)
        spec.value_ns = rest * 1000
        if self._libc.timerfd_settime(self._fd, TFD_TIMER_ABSTIME, self._at, None) < 0:
            raise OSError(ctypes.get_errno(), "timerfd_settime failed")

    def _fired(self) -> None:
        try:
            os.read(self._fd, 8)
        except BlockingIOError:
            return  # it was set anew in the meantime
        self._due()

    def close(self) -> None:
        if self._fd >= 0:
            self._loop.remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1


class ProcessMonitor:
    """What this process did and waited for since the last look: the facts behind its lateness."""

    def __init__(self) -> None:
        try:
            self._schedstat = os.open("/proc/self/schedstat", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._schedstat = -1  # a kernel without it, as one that keeps it at nought
        # held open: a worker that is out of descriptors has to tell of it all the same
        self._statm = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)
        self._page = os.sysconf("SC_PAGE_SIZE") // 1024

    def cpu_ms(self) -> float:
        return time.process_time_ns() / 1e6

    def wait_ms(self) -> float:
        """In which the main thread was ready and no core was free."""
        if self._schedstat < 0:
            return 0.0
        return int(os.pread(self._schedstat, 128, 0).split()[1]) / 1e6

    def preempted(self) -> int:
        return resource.getrusage(resource.RUSAGE_SELF).ru_nivcsw

    def rss_kb(self) -> int:
        return int(os.pread(self._statm, 128, 0).split()[1]) * self._page
