"""Replaces clocks, random numbers, process ids and the environment with those of simulated processes.

The shells use `time`, `random`, `os` and `signal` through their modules, so attributes of these modules are replaced
for the duration of a run. Some sources of nondeterminism are not covered: names that are imported directly, C
extensions, and the order of sets. The tests that compare two runs of one seed find those.
"""

from __future__ import annotations

import contextlib
import gc
import os
import random
import secrets
import select
import time
from collections.abc import Iterator, Mapping
from typing import Any

from elderlock.sim.virtual.loop import START_MONOTONIC_S, START_UNIX_S, SimLoop
from elderlock.sim.virtual.polling import SimulatedPoller
from elderlock.sim.virtual.processes import CURRENT_PROCESS


class RealTimeError(BaseException):
    """Simulated code tried to wait for the real clock."""


class _Environ(Mapping[str, str]):
    """Replaces `os.environ`: the environment of the current process, or the real one outside of any process."""

    def __init__(self, real: Mapping[str, str]) -> None:
        self._real = real

    def _current(self) -> Mapping[str, str]:
        process = CURRENT_PROCESS.get()
        return self._real if process is None else process.environ

    def __getitem__(self, key: str) -> str:
        return self._current()[key]

    def __iter__(self) -> Iterator[str]:
        return iter(self._current())

    def __len__(self) -> int:
        return len(self._current())

    def __setitem__(self, key: str, value: str) -> None:
        current: Any = self._current()
        current[key] = value

    def copy(self) -> dict[str, str]:
        return dict(self._current())


class Clocks:
    """The clocks of the current process's machine. Times are s."""

    def __init__(self, loop: SimLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Returns the monotonic clock, which may run too fast or too slow."""
        process = CURRENT_PROCESS.get()
        now = self._loop.time()
        return now if process is None else now + process.machine.drift * (now - START_MONOTONIC_S)

    def wall(self) -> float:
        """Returns the Unix time by the machine's own clock, which may be wrong."""
        process = CURRENT_PROCESS.get()
        offset = 0.0 if process is None else process.machine.offset / 1000.0
        return START_UNIX_S + (self.monotonic() - START_MONOTONIC_S) + offset

    def true(self) -> float:
        """Returns the Unix time of the simulation, without a machine's error."""
        return START_UNIX_S + (self._loop.time() - START_MONOTONIC_S)


def _reject_sleep(seconds: float) -> None:
    raise RealTimeError(f"time.sleep({seconds}) in simulated code")


@contextlib.contextmanager
def simulated_system(loop: SimLoop, seed: int) -> Iterator[Clocks]:
    """Replaces this Python process's time, randomness and poll with simulated ones inside the context."""
    clocks, rng = Clocks(loop), random.Random(f"system/{seed}")
    real_random, real_state = random.Random, random.getstate()

    class SeededRandom(real_random):  # type: ignore[misc,valid-type]
        """Replaces `random.Random`: without a seed it takes one from the simulation."""

        def __new__(cls, *seeds: Any) -> Any:
            return super().__new__(cls, *(seeds or (rng.getrandbits(64),)))

        def __init__(self, seed: Any = None) -> None:
            super().__init__(rng.getrandbits(64) if seed is None else seed)

    class SeededSystemRandom(SeededRandom):
        def __init__(self, seed: Any = None) -> None:
            super().__init__(rng.getrandbits(64))

    def urandom(count: int) -> bytes:
        return rng.randbytes(count)

    def current_pid() -> int:
        process = CURRENT_PROCESS.get()
        return real_pid() if process is None else process.pid

    real_pid = os.getpid
    replacements: list[tuple[Any, str, Any]] = [
        (time, "time", clocks.wall),
        (time, "monotonic", clocks.monotonic),
        (time, "perf_counter", clocks.monotonic),
        (time, "time_ns", lambda: round(clocks.wall() * 1e9)),
        (time, "monotonic_ns", lambda: round(clocks.monotonic() * 1e9)),
        (time, "perf_counter_ns", lambda: round(clocks.monotonic() * 1e9)),
        (time, "sleep", _reject_sleep),
        (random, "Random", SeededRandom),
        (random, "SystemRandom", SeededSystemRandom),
        (select, "poll", SimulatedPoller),
        (os, "urandom", urandom),
        (os, "getpid", current_pid),
        (random, "_urandom", urandom),
        (secrets, "token_bytes", lambda n=32: urandom(n)),
        (secrets, "token_hex", lambda n=32: urandom(n).hex()),
        (os, "environ", _Environ(os.environ)),
        (gc, "freeze", lambda: None),
        (gc, "collect", lambda *generation: 0),
    ]
    originals = [(module, name, getattr(module, name)) for module, name, _ in replacements]
    try:
        for module, name, replacement in replacements:
            setattr(module, name, replacement)
        random.seed(rng.getrandbits(64))
        yield clocks
    finally:
        for module, name, original in originals:
            setattr(module, name, original)
        random.setstate(real_state)
