"""Child processes of a program that may hold what must not be collected in a forked copy of it."""

from __future__ import annotations

import asyncio
import gc
from typing import Any

_starting = 0


async def spawn(*command: str, **how: Any) -> asyncio.subprocess.Process:
    """`asyncio.create_subprocess_exec`, with the collector off meanwhile. Raises `OSError`.

    uvloop forks and runs Python in the child before it turns to the new program. A collection there may meet a dead
    gRPC channel, whose end waits for a thread that the child does not have: it span for good, and the parent, which
    waits for the child within `uv_spawn`, stood still with it.
    """
    global _starting
    if _starting == 0 and not gc.isenabled():
        return await asyncio.create_subprocess_exec(*command, **how)
    _starting += 1
    gc.disable()
    try:
        return await asyncio.create_subprocess_exec(*command, **how)
    finally:
        _starting -= 1
        if _starting == 0:
            gc.enable()
