"""Divides the memory that a process may use among what it holds for others."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_MB = 1 << 20
# The sizes of this process in pages, and the index of the resident one.
MEMORY_PATH = Path("/proc/self/statm")
RESIDENT_INDEX = 1
# Memory that the program needs before it holds anything, unless it was measured.
DEFAULT_PROGRAM_MB = 20.0
# Part of the limit that is divided even if the program leaves less.
MIN_USABLE_FRACTION = 1 / 8
# Fractions of the memory that the program leaves. The rest is for connections and for what the allocator loses.
REQUEST_FRACTION = 0.3
INPUT_FRACTION = 0.1
REMEMBERED_ID_FRACTION = 0.02
ACCOUNT_FRACTION = 0.15


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The limits of the parts, in bytes.

    Attributes:
        requests: For open requests.
        input: For what clients have sent and is not handled yet, beyond a small share of each connection.
        remembered_ids: For the ids of requests that have ended.
        accounts: For customers' accounts.
    """

    requests: int
    input: int
    remembered_ids: int
    accounts: int

    @classmethod
    def of(cls, memory_mb: float, program_mb: float = DEFAULT_PROGRAM_MB) -> MemoryBudget:
        """Divide a limit.

        Args:
            memory_mb: Maximum memory of the whole process in MB.
            program_mb: Memory in MB that the program needs by itself.
        """
        usable_mb = max(memory_mb - program_mb, memory_mb * MIN_USABLE_FRACTION)
        usable_bytes = usable_mb * BYTES_PER_MB
        return cls(
            requests=int(usable_bytes * REQUEST_FRACTION),
            input=int(usable_bytes * INPUT_FRACTION),
            remembered_ids=int(usable_bytes * REMEMBERED_ID_FRACTION),
            accounts=int(usable_bytes * ACCOUNT_FRACTION),
        )


def measured_program_mb() -> float:
    """Return the memory in MB that this process uses now; 0 if the system does not tell.

    The peak that `getrusage` returns is that of the process that started this one, if that was larger.
    """
    try:
        resident_pages = int(MEMORY_PATH.read_text(encoding="ascii").split()[RESIDENT_INDEX])
    except (OSError, ValueError, IndexError):
        return 0.0
    return resident_pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
