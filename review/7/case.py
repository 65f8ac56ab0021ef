"""Case 7: a bad client sends the id of another client's open request, of a class that is unsafe to repeat."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins2 as rig  # noqa: E402

USUAL, BAD = f"{1:016x}", f"{2:016x}"
COMMANDS = 6
SLOW_S = 1.0
QUICK_S = 0.1
BAD_AFTER_S = 0.5


async def case(record: rig.Record, folder: Path) -> bool:
    """Return whether each id ran at most once and the bad client got no value."""

    async def work(request: rig.Request) -> bytes:
        await asyncio.sleep(SLOW_S if request.request_id == "r0" else QUICK_S)
        return rig.answer_with(f"{request.request_id} for {request.customer}".encode())

    servers = [await rig.Server(f"s-{number}", record, work).start() for number in range(3)]
    discovery = await rig.Discovery(record, [server.target() for server in servers]).start()
    settings = rig.settings()
    settings["services"].append({**settings["services"][0], "name": "ticket-change", "effect": "single_shot"})
    change = rig.terms(c="ticket-change")
    async with rig.limiter(record, folder, discovery.address, settings=settings) as limiter:
        if await limiter.wait_until_ready() is None:
            raise rig.CannotRunError("the limiter isn't ready")
        usual = await rig.Connection.open(limiter.port)
        bad = await rig.Connection.open(limiter.port)
        for number in range(COMMANDS):
            usual.send("API.WRITE", USUAL, f"r{number}", change, "body")
        await asyncio.sleep(BAD_AFTER_S)
        bad_answer = None
        if rig.HAS_TROUBLE:
            record.say("the bad client sends r1, the usual client's open request")
            bad.send("API.WRITE", BAD, "r1", change, "other")
            bad_answer = await bad.answer()
            record.say(f"the bad client got {bad_answer!r}")
        for number in range(COMMANDS):
            record.write(f"the usual client got {await usual.answer()!r} for r{number}")
    held = not isinstance(bad_answer, bytes)
    for number in range(COMMANDS):
        runs = [
            (server.uid, request.customer)
            for server in servers
            for request in server.requests
            if request.request_id == f"r{number}"
        ]
        record.say(f"r{number} ran {len(runs)} times: {runs}")
        held = held and len(runs) <= 1
    return held


rig.run_case(HERE, case)
