"""Waits of tests and tools: they end on an event, with a generous timeout that only a hang reaches."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import uvloop

HANG_TIMEOUT_S = 30.0
T = TypeVar("T")


def run(work: Coroutine[Any, Any, T], within: float = HANG_TIMEOUT_S) -> T:
    """Runs a coroutine in a new event loop and returns its result.

    Args:
        work: The coroutine.
        within: The timeout in seconds. It only ends a hang; no test relies on its length.
    """

    async def limited() -> T:
        async with asyncio.timeout(within):
            return await work

    return uvloop.run(limited())


async def until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds; the timeout of the caller ends the wait if it never does."""
    while not condition():
        await asyncio.sleep(0.002)


def unix_ms() -> float:
    """Returns the Unix time in ms."""
    return time.time() * 1000.0
