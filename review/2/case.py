"""A limiter is told to end while some servers hang: writes that it took before get no answer, sent on or not."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402 - found by the line above

SERVERS = 9
HANGING_SERVERS = 3
WRITES = 90
WAIT_MS = 4000
WORK_S = 0.1
# An answer that comes up to half a second after the request's time only earns nothing.
LATE_S = 0.5
SIGTERM_AFTER_S = 0.1
# SIGKILL comes no sooner than the longest deadline (3 s at most) and 0.7 s more after SIGTERM.
SIGKILL_AFTER_S = 3.7


async def serve(connection: rig.Connection, parts: list[bytes]) -> None:
    """Answer a write after its work; the hanging servers take it and never answer."""
    if rig.has_trouble() and connection.server.number < HANGING_SERVERS:
        await asyncio.sleep(3600.0)
    await asyncio.sleep(WORK_S)
    connection.server.runs.append(parts[2])
    connection.writer.write(rig.served(parts[2]))


async def read_answers(group: rig.Group, reader: asyncio.StreamReader, request_ids: list[bytes]) -> list[bytes]:
    """Read the answers, which come in the order of the writes; return the ids of those that were answered."""
    answered: list[bytes] = []
    for request_id in request_ids:
        answer = await rig.read_answer(reader)
        if answer is None:
            group.record.add(f"the connection ended with no answer for {request_id.decode()} and those after it")
            break
        group.record.add(f"client gets for {request_id.decode()}: {answer!r}")
        answered.append(request_id)
    return answered


async def play(group: rig.Group) -> str | None:
    """Send all writes at once, then SIGTERM; each write has to get a final answer in time."""
    reader, writer = await group.limiter.connect()
    request_ids = [b"w%03d" % number for number in range(WRITES)]
    for request_id in request_ids:
        writer.write(rig.encode(b"API.WRITE", rig.CUSTOMER, request_id, rig.request_terms(WAIT_MS), b"body"))
    await rig.wait_until_arrived(writer)
    group.record.add(
        f"client has sent {WRITES} writes at once, w000 to w{WRITES - 1:03}; the limiter's machine has them"
    )
    reading = asyncio.get_running_loop().create_task(read_answers(group, reader, request_ids))
    if rig.has_trouble():
        await asyncio.sleep(SIGTERM_AFTER_S)
        group.record.add("limiter gets SIGTERM")
        group.limiter.send_signal(signal.SIGTERM)
    await asyncio.wait({reading}, timeout=WAIT_MS / 1000.0 + LATE_S)
    if not reading.done():
        return "some writes had no answer half a second after their time"
    answered = reading.result()
    if rig.has_trouble():
        await asyncio.sleep(SIGKILL_AFTER_S - WAIT_MS / 1000.0 + LATE_S)
        group.record.add(f"exit status of the limiter: {group.limiter.process.poll()}")
    lost = request_ids[len(answered) :]
    begun = {request_id for server in group.servers for _, request_id in server.begun}
    run = {request_id for server in group.servers for request_id in server.runs}
    for request_id in lost:
        group.record.add(f"lost: {request_id.decode()}, sent on {request_id in begun}, run {request_id in run}")
    print(f"{WRITES} writes, {len(answered)} answers")
    if not lost:
        return None
    sent_on = sum(request_id in begun for request_id in lost)
    return f"{len(lost)} of {WRITES} writes were never answered, {sent_on} of them had been sent to a server"


rig.run_case(FOLDER, SERVERS, serve, "single_shot", play)
