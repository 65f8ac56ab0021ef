"""The clock, randomness, process ids and the environment of simulated processes, in place of this machine's.

The shells read `time`, `random`, `os` and `signal` through their modules, so these are changed there for as long as a
run lasts. Whatever escapes this (a name imported directly, a C extension, the order of a set) is found by the tests
that hold two runs of a seed against one another.
"""

from __future__ import annotations

import contextlib
import gc
import os
import random
import secrets
import time
from collections.abc import Iterator, Mapping
from typing import Any

from elderlock.sim.virtual.loop import START_MONOTONIC_S, START_UNIX_S, SimLoop
from elderlock.sim.virtual.processes import CURRENT_PROCESS


class RealTimeError(BaseException):
    """Simulated code waited for this machine's clock."""


class _Environ(Mapping[str, str]):
    """`os.environ`: the current process' own, this machine's outside of any."""

    def __init__(self, real: Mapping[str, str]) -> None:
        self._real = real

    def _now(self) -> Mapping[str, str]:
        process = CURRENT_PROCESS.get()
        return self._real if process is None else process.environ

    def __getitem__(self, key: str) -> str:
        return self._now()[key]

    def __iter__(self) -> Iterator[str]:
        return iter(self._now())

    def __len__(self) -> int:
        return len(self._now())

    def __setitem__(self, key: str, value: str) -> None:
        now: Any = self._now()
        now[key] = value

    def copy(self) -> dict[str, str]:
        return dict(self._now())


class Clocks:
    """What a simulated process reads off its machine's clocks; s."""

    def __init__(self, loop: SimLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        process = CURRENT_PROCESS.get()
        now = self._loop.time()
        return now if process is None else now + process.machine.drift * (now - START_MONOTONIC_S)

    def wall(self) -> float:
        """Unix time by the machine's own clock, which may be off."""
        process = CURRENT_PROCESS.get()
        offset = 0.0 if process is None else process.machine.offset / 1000.0
        return START_UNIX_S + (self.monotonic() - START_MONOTONIC_S) + offset

    def true(self) -> float:
        return START_UNIX_S + (self._loop.time() - START_MONOTONIC_S)


def _no_sleep(seconds: float) -> None:
    raise RealTimeError(f"time.sleep({seconds}) in simulated code")


@contextlib.contextmanager
def simulated_system(loop: SimLoop, seed: int) -> Iterator[Clocks]:
    """Within it the process wide sources of time and chance are the simulation's."""
    clocks, rng = Clocks(loop), random.Random(f"system/{seed}")
    real_random, kept = random.Random, random.getstate()

    class Drawn(real_random):  # type: ignore[misc,valid-type]
        """`random.Random()` with no seed takes one of ours."""

        def __new__(cls, *given: Any) -> Any:
            return super().__new__(cls, *(given or (rng.getrandbits(64),)))

        def __init__(self, given: Any = None) -> None:
            super().__init__(rng.getrandbits(64) if given is None else given)

    class System(Drawn):
        def __init__(self, given: Any = None) -> None:
            super().__init__(rng.getrandbits(64))

    def urandom(count: int) -> bytes:
        return rng.randbytes(count)

    def pid() -> int:
        process = CURRENT_PROCESS.get()
        return real_pid() if process is None else process.pid

    real_pid = os.getpid
    names: list[tuple[Any, str, Any]] = [
        (time, "time", clocks.wall),
        (time, "monotonic", clocks.monotonic),
        (time, "perf_counter", clocks.monotonic),
        (time, "time_ns", lambda: round(clocks.wall() * 1e9)),
        (time, "monotonic_ns", lambda: round(clocks.monotonic() * 1e9)),
        (time, "perf_counter_ns", lambda: round(clocks.monotonic() * 1e9)),
        (time, "sleep", _no_sleep),
        (random, "Random", Drawn),
        (random, "SystemRandom", System),
        (os, "urandom", urandom),
        (os, "getpid", pid),
        (random, "_urandom", urandom),
        (secrets, "token_bytes", lambda n=32: urandom(n)),
        (secrets, "token_hex", lambda n=32: urandom(n).hex()),
        (os, "environ", _Environ(os.environ)),
        (gc, "freeze", lambda: None),
        (gc, "collect", lambda *given: 0),
    ]
    before = [(module, name, getattr(module, name)) for module, name, _ in names]
    try:
        for module, name, ours in names:
            setattr(module, name, ours)
        random.seed(rng.getrandbits(64))
        yield clocks
    finally:
        for module, name, was in before:
            setattr(module, name, was)
        random.setstate(kept)
