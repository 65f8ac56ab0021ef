"""Starts child processes of a program whose objects must not be collected in a forked copy of it."""

from __future__ import annotations

import asyncio
import gc
from typing import Any

# Children that are being started with the collector off.
_starting_count = 0


async def spawn(*command: str, **options: Any) -> asyncio.subprocess.Process:
    """Start a child process with Python's garbage collector off meanwhile.

    uvloop forks and runs Python in the child before it executes the new program. A collection there may meet a dead
    gRPC channel, whose end waits for a thread that the child does not have: the child would spin for good, and the
    parent, which waits for it within `uv_spawn`, would stand still.

    Args:
        command: The program and its arguments.
        options: As of `asyncio.create_subprocess_exec`.

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
