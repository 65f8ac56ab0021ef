"""Starts child processes with the garbage collector disabled, which is unsafe to run in a forked child."""

from __future__ import annotations

import asyncio
import gc
from typing import Any

# Number of children being started with the garbage collector disabled.
_starting_count = 0


async def spawn(*command: str, **options: Any) -> asyncio.subprocess.Process:
    """Start a child process while Python's garbage collector is disabled.

    uvloop forks and runs Python code in the child before it executes the new program. A garbage collection there may
    finalise an unreferenced gRPC channel, which waits for a thread that does not exist in the child. The child would
    then loop forever, and the parent would block, as it waits for the child within `uv_spawn`.

    Args:
        command: The program and its arguments.
        options: Keyword arguments of `asyncio.create_subprocess_exec`.

    Raises:
        OSError: The program cannot be started.
    """
    global _starting_count
    if _starting_count == 0 and not gc.isenabled():
        return await asyncio.create_subprocess_exec(*command, **options)
    _starting_count += 1
    gc.disable()
    try:
        return await asyncio.create_subprocess_exec(*command, **options)
    finally:
        _starting_count -= 1
        if _starting_count == 0:
            gc.enable()
