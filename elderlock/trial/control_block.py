"""What the runner and one child process share: a small file that both map. The runner sets the child's wall clock and
what its disk does wrong; the child says that it began, under which pid, and how it ended. It works while the child is
stopped, needs no protocol, and stays when the child is killed.
"""

from __future__ import annotations

import mmap
import os
import struct
from enum import IntEnum
from pathlib import Path

SIZE = 4096
MAGIC = b"ELSEAM1\0"
RUNS = -(1 << 40)  # in place of an exit code while a process lives, or was killed
_PID, _BEGUN, _EXIT, _CLOCK, _DISK, _SLOW, _KILL_AT, _KILL_AFTER, _STEPS = range(8, 8 + 9 * 8, 8)


class Disk(IntEnum):
    """What a child's disk does wrong."""

    GOOD = 0
    FULL = 1
    ERROR = 2
    SLOW = 3  # each sync takes `slow_ms` more
    LIES = 4  # a sync says that it is done, and a power loss shows that it was not


class Step(IntEnum):
    """The steps of one write of a file or of one transaction, at which a child can be killed."""

    NONE = 0
    BEGINS = 1
    WRITTEN = 2  # and not synced
    SYNCED = 3  # and not renamed; of a transaction: committed, and nobody told
    RENAMED = 4


class Block:
    """Invariant: `begun` grows by one at each start of a process under this name."""

    def __init__(self, path: Path, make: bool = False) -> None:
        """Raises `OSError`, or `ValueError` where the file is none of ours."""
        flags = os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT if make else 0)
        held = os.open(path, flags, 0o600)
        try:
            if make:
                os.ftruncate(held, SIZE)
            self._map = mmap.mmap(held, SIZE)
        finally:
            os.close(held)
        if make:
            self._map[:8] = MAGIC
            self._set("q", _EXIT, RUNS)
            self._set("q", _KILL_AFTER, -1)
        elif self._map[:8] != MAGIC:
            raise ValueError(f"{path}: not a seam of this version")

    def _get(self, form: str, at: int) -> int | float:
        value: int | float = struct.unpack_from(form, self._map, at)[0]
        return value

    def _set(self, form: str, at: int, value: float) -> None:
        struct.pack_into(form, self._map, at, value)

    # Of the child

    @property
    def pid(self) -> int:
        return int(self._get("q", _PID))

    @property
    def begun(self) -> int:
        return int(self._get("q", _BEGUN))

    @property
    def exit(self) -> int:
        """`RUNS` while it lives; it stays so for one that was killed."""
        return int(self._get("q", _EXIT))

    def begins(self, pid: int) -> None:
        self._set("q", _EXIT, RUNS)
        self._set("q", _PID, pid)
        self._set("q", _BEGUN, self.begun + 1)

    def ends(self, code: int) -> None:
        self._set("q", _EXIT, code)

    @property
    def steps(self) -> int:
        """Steps of its disk so far, over all its processes."""
        return int(self._get("q", _STEPS))

    def stepped(self, step: Step) -> bool:
        """Counts one; True where the child shall be killed here."""
        self._set("q", _STEPS, self.steps + 1)
        if int(self._get("q", _KILL_AT)) == step:
            self._set("q", _KILL_AT, Step.NONE)
            return True
        left = int(self._get("q", _KILL_AFTER))
        if left >= 0:
            self._set("q", _KILL_AFTER, left - 1)
        return left == 0

    # Of the runner

    @property
    def clock_ms(self) -> float:
        """By which the child's wall clock is ahead."""
        return float(self._get("d", _CLOCK))

    @clock_ms.setter
    def clock_ms(self, value: float) -> None:
        self._set("d", _CLOCK, value)

    @property
    def disk(self) -> Disk:
        return Disk(int(self._get("q", _DISK)))

    @disk.setter
    def disk(self, value: Disk) -> None:
        self._set("q", _DISK, value)

    @property
    def slow_ms(self) -> float:
        return float(self._get("d", _SLOW))

    @slow_ms.setter
    def slow_ms(self, value: float) -> None:
        self._set("d", _SLOW, value)

    def kill_at(self, step: Step) -> None:
        """At the next such step of its disk."""
        self._set("q", _KILL_AT, step)

    @property
    def armed(self) -> bool:
        """`kill_at` or `kill_after` was told, and has not come yet."""
        return int(self._get("q", _KILL_AT)) != Step.NONE or int(self._get("q", _KILL_AFTER)) >= 0

    def kill_after(self, steps: int) -> None:
        """After so many more steps of its disk, of whatever kind; -1 for never."""
        self._set("q", _KILL_AFTER, steps)

    def close(self) -> None:
        self._map.close()
