"""A small file that the test runner and one child process both map into memory.

The runner sets the offset of the child's wall clock and the fault of its disk. The child records its pid, each of its
starts and its exit code. Shared memory also works while the child is stopped, needs no protocol, and keeps its content
when the child is killed.
"""

from __future__ import annotations

import mmap
import os
import struct
from enum import IntEnum
from pathlib import Path

SIZE_BYTES = 4096
MAGIC = b"ELSEAM1\0"
STILL_RUNNING = -(1 << 40)  # in place of the exit code of a process that runs or was killed
_PID, _STARTS, _EXIT, _CLOCK, _DISK, _SYNC_DELAY, _KILL_AT, _KILL_AFTER, _STEPS = range(8, 8 + 9 * 8, 8)


class DiskFault(IntEnum):
    """The fault of a child's disk.

    Attributes:
        NONE: The disk works.
        FULL: Each write fails with ENOSPC.
        ERROR: Each write fails with EIO.
        SLOW: Each sync takes `ControlBlock.sync_delay_ms` longer.
        LIES: A sync reports success, but its data is lost on a power loss.
    """

    NONE = 0
    FULL = 1
    ERROR = 2
    SLOW = 3
    LIES = 4


class WriteStep(IntEnum):
    """The steps of writing a file or of a transaction, at each of which a child can be killed.

    Attributes:
        NONE: No step.
        BEGINS: Before anything is written.
        WRITTEN: The data is written, but not synced.
        SYNCED: A file is synced, but not renamed; a transaction is committed, but nobody has been told.
        RENAMED: A file has its final name.
    """

    NONE = 0
    BEGINS = 1
    WRITTEN = 2
    SYNCED = 3
    RENAMED = 4


class ControlBlock:
    """The mapped file of one child process.

    Invariant: `start_count` grows by one at each start of a process under this name.
    """

    def __init__(self, path: Path, create: bool = False) -> None:
        """Map the file.

        Args:
            path: The file.
            create: Whether to create and initialise it.

        Raises:
            OSError: The file cannot be opened or mapped.
            ValueError: The file is not a control block of this version.
        """
        flags = os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT if create else 0)
        descriptor = os.open(path, flags, 0o600)
        try:
            if create:
                os.ftruncate(descriptor, SIZE_BYTES)
            self._map = mmap.mmap(descriptor, SIZE_BYTES)
        finally:
            os.close(descriptor)
        if create:
            self._map[:8] = MAGIC
            self._set("q", _EXIT, STILL_RUNNING)
            self._set("q", _KILL_AFTER, -1)
        elif self._map[:8] != MAGIC:
            raise ValueError(f"{path}: not a control block of this version")

    def _get(self, struct_format: str, offset: int) -> int | float:
        value: int | float = struct.unpack_from(struct_format, self._map, offset)[0]
        return value

    def _set(self, struct_format: str, offset: int, value: float) -> None:
        struct.pack_into(struct_format, self._map, offset, value)

    # Set by the child

    @property
    def pid(self) -> int:
        """The pid of the process that started last."""
        return int(self._get("q", _PID))

    @property
    def start_count(self) -> int:
        """How many processes have started under this name."""
        return int(self._get("q", _STARTS))

    @property
    def exit_code(self) -> int:
        """The exit code; `STILL_RUNNING` while the process runs and after it was killed."""
        return int(self._get("q", _EXIT))

    def record_start(self, pid: int) -> None:
        """Record that a process with this pid has started."""
        self._set("q", _EXIT, STILL_RUNNING)
        self._set("q", _PID, pid)
        self._set("q", _STARTS, self.start_count + 1)

    def record_exit(self, code: int) -> None:
        """Record that the process is about to exit with this code."""
        self._set("q", _EXIT, code)

    @property
    def step_count(self) -> int:
        """How many write steps all processes under this name have taken."""
        return int(self._get("q", _STEPS))

    def take_step(self, step: WriteStep) -> bool:
        """Count a write step; return whether the child has to be killed at it."""
        self._set("q", _STEPS, self.step_count + 1)
        if int(self._get("q", _KILL_AT)) == step:
            self._set("q", _KILL_AT, WriteStep.NONE)
            return True
        steps_left = int(self._get("q", _KILL_AFTER))
        if steps_left >= 0:
            self._set("q", _KILL_AFTER, steps_left - 1)
        return steps_left == 0

    # Set by the runner

    @property
    def clock_offset_ms(self) -> float:
        """How many ms the child's wall clock is ahead of the machine's."""
        return float(self._get("d", _CLOCK))

    @clock_offset_ms.setter
    def clock_offset_ms(self, value: float) -> None:
        self._set("d", _CLOCK, value)

    @property
    def disk_fault(self) -> DiskFault:
        """The present fault of the child's disk."""
        return DiskFault(int(self._get("q", _DISK)))

    @disk_fault.setter
    def disk_fault(self, value: DiskFault) -> None:
        self._set("q", _DISK, value)

    @property
    def sync_delay_ms(self) -> float:
        """How many ms longer each sync takes under `DiskFault.SLOW`."""
        return float(self._get("d", _SYNC_DELAY))

    @sync_delay_ms.setter
    def sync_delay_ms(self, value: float) -> None:
        self._set("d", _SYNC_DELAY, value)

    def kill_at(self, step: WriteStep) -> None:
        """Have the child killed at its next write step of this kind."""
        self._set("q", _KILL_AT, step)

    @property
    def is_kill_armed(self) -> bool:
        """Whether a kill was requested by `kill_at` or `kill_after` and has not happened yet."""
        return int(self._get("q", _KILL_AT)) != WriteStep.NONE or int(self._get("q", _KILL_AFTER)) >= 0

    def kill_after(self, steps: int) -> None:
        """Have the child killed after this many more write steps of any kind; -1 for never."""
        self._set("q", _KILL_AFTER, steps)

    def close(self) -> None:
        """Unmap the file."""
        self._map.close()
