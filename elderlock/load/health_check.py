"""Health checks of one target by PING, on a connection of their own that is reopened when it ends."""

from __future__ import annotations

import asyncio

from elderlock.load.targets import TargetSelector


async def run_health_check(
    selector: TargetSelector, target: int, address: tuple[str, int], interval_s: float, timeout_s: float
) -> None:
    """Check a target until the task is cancelled.

    Args:
        selector: Receives the result of each check.
        target: Number of the target.
        address: Host and port of the target.
        interval_s: Interval between checks.
        timeout_s: Timeout of a connection attempt or an answer.
    """
    loop = asyncio.get_running_loop()
    while True:
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(*address)
            while True:
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                async with asyncio.timeout(timeout_s):
                    line = await reader.readline()
                if not line:
                    break
                record = selector.record_pong if line == b"+PONG\r\n" else selector.record_unavailable
                record(target, loop.time())
                await asyncio.sleep(interval_s)
        except (OSError, TimeoutError, RuntimeError):
            # uvloop raises RuntimeError for a write to a connection that was reset since the last write. If the task
            # ended here, the target would never be checked again and its last result would stand for the rest of the
            # run.
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        selector.expire_silent(loop.time())
        await asyncio.sleep(interval_s / 3.0)
