"""The front's PINGs to one target: a connection for them alone, made anew when it ends."""

from __future__ import annotations

import asyncio

from elderlock.load.targets import TargetSelector


async def run_health_check(
    front: TargetSelector, target: int, address: tuple[str, int], every: float, silent: float
) -> None:
    """Tells `front` of each answer, for ever. `every` s between PINGs; `silent` s that a connection or an answer may
    take."""
    loop = asyncio.get_running_loop()
    while True:
        writer = None
        try:
            async with asyncio.timeout(silent):
                reader, writer = await asyncio.open_connection(*address)
            while True:
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                async with asyncio.timeout(silent):
                    line = await reader.readline()
                if not line:
                    break
                tell = front.record_pong if line == b"+PONG\r\n" else front.record_unavailable
                tell(target, loop.time())
                await asyncio.sleep(every)
        except (OSError, TimeoutError, RuntimeError):
            # uvloop raises RuntimeError at a write on a connection that was reset since the last one; a task that ends
            # there asks its target never again, and the front goes by what it heard last for good
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        front.expire_silent(loop.time())
        await asyncio.sleep(every / 3.0)
