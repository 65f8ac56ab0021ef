"""Case 8: bad clients send hundreds of commands at once, and the same again as soon as they are turned away."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins2 as rig  # noqa: E402

BAD_PROCESSES = 2
BAD_CLIENTS = 50  # in each process
COMMANDS_AT_ONCE = 300
FLOOD_S = 10.0
USUAL_CLIENTS = 5
WAIT_MS = 2000
LATE_S = 0.5  # an answer that comes later than this after the client's wait is lost
LAG_LIMIT_S = 0.2


async def measure_lag(lags_s: list[float]) -> None:
    """Measure how late this process itself is."""
    while True:
        started_s = time.monotonic()
        await asyncio.sleep(0.01)
        lags_s.append(time.monotonic() - started_s - 0.01)


async def start_floods(port: int) -> list[asyncio.subprocess.Process]:
    """Start the processes of the bad clients."""
    arguments = [str(port), str(BAD_CLIENTS), str(COMMANDS_AT_ONCE), str(FLOOD_S - 1.0)]
    return [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            str(HERE / "flood.py"),
            *arguments,
            f"b{process}",
            env={**os.environ, "PYTHONPATH": str(HERE.parent)},
            stdout=asyncio.subprocess.PIPE,
        )
        for process in range(BAD_PROCESSES)
    ]


async def case(record: rig.Record, folder: Path) -> bool:
    """Return whether each request of the usual clients got its answer in time."""

    async def work(request: rig.Request) -> bytes:
        await asyncio.sleep(0.1)
        return rig.answer_with(request.request_id.encode())

    servers = [await rig.Server(f"s-{number}", record, work).start() for number in range(3)]
    discovery = await rig.Discovery(record, [server.target() for server in servers]).start()
    settings = rig.settings()
    settings["plans"].append({**settings["plans"][0], "name": "basic", "quota-rate": 0.84, "burst": 4.0})
    took_s: list[float] = []
    lags_s: list[float] = []

    async def usual_client(port: int, client: int) -> None:
        connection = await rig.Connection.open(port)
        ends_s = time.monotonic() + FLOOD_S
        number = 0
        while time.monotonic() < ends_s:
            number += 1
            request_id = f"u{client}-{number}"
            started_s = time.monotonic()
            connection.send("API.READ", f"{client + 10:016x}", request_id, rig.terms(d=WAIT_MS))
            record.write(f"sent {request_id}")
            answer = await connection.answer(60.0)
            took_s.append(time.monotonic() - started_s)
            record.write(f"answered {request_id} after {took_s[-1]:.3f} s: {answer!r}")
            await asyncio.sleep(0.2)

    async with rig.limiter(record, folder, discovery.address, settings=settings) as limiter:
        if await limiter.wait_until_ready() is None:
            raise rig.CannotRunError("the limiter isn't ready")
        lag = asyncio.create_task(measure_lag(lags_s))
        floods = await start_floods(limiter.port) if rig.HAS_TROUBLE else []
        try:
            await asyncio.gather(*(usual_client(limiter.port, client) for client in range(USUAL_CLIENTS)))
            lag.cancel()
            for flood in floods:
                output, _ = await flood.communicate()
                record.say(f"bad clients got {int(output)} answers")
        finally:
            for flood in floods:
                if flood.returncode is None:
                    flood.kill()
    if max(lags_s) > LAG_LIMIT_S:
        raise rig.CannotRunError(f"the clients themselves were late by {max(lags_s):.2f} s")
    limit_s = WAIT_MS / 1000.0 + LATE_S
    lost = [seconds for seconds in took_s if seconds > limit_s]
    record.say(
        f"{len(took_s)} requests of usual clients, {len(lost)} answered later than {limit_s} s after they were sent"
    )
    record.say(
        f"the latest answer came after {max(took_s):.2f} s; the clients were late by {max(lags_s):.3f} s at most"
    )
    return not lost


rig.run_case(HERE, case)
