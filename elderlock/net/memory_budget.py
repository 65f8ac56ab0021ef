"""Divides the memory that a process may use among what it holds for others."""

from __future__ import annotations

import resource
from dataclasses import dataclass

BYTES_PER_MB = 1 << 20
BYTES_PER_KB = 1 << 10
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
    """Return the most memory in MB that this process has used so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB / BYTES_PER_MB
