"""Clients send many commands at once: a connection is closed although commands that it brought have no answer."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402 - found by the line above

SERVERS = 9
# With this many descriptors, clients may hold a third: 85 connections.
DESCRIPTORS = 256
USUAL_CLIENTS = 60
PIPELINING_CLIENTS = 8
COMMANDS_AT_ONCE = 80
PLAY_S = 90.0
THINK_S = 0.05
PAUSE_S = 0.15
WAIT_MS = 4000
# Work as in the site's file: the mean of a request's work, which is distributed exponentially, and each kind's speed.
MEAN_WORK_S = 0.135
SPEED_BY_KIND = {"std-2c": 0.97, "old-2c": 0.6}
# A request whose bytes the limiter's machine had for at least this long did not cross the close of its connection.
NOT_CROSSED_MS = 100.0
rng = random.Random(1)


async def serve(connection: rig.Connection, parts: list[bytes]) -> None:
    """Answer a request after its work."""
    await asyncio.sleep(rng.expovariate(1.0 / MEAN_WORK_S) / SPEED_BY_KIND[connection.server.kind])
    connection.writer.write(rig.served(parts[2]))


class Clients:
    """Clients that keep connections; the limiter closes one now and then, as they hold over a sixth of its descriptors.

    Attributes:
        lost: How requests were lost.
        counts: The number of requests of each kind of client, and of those that were answered.
    """

    def __init__(self, group: rig.Group) -> None:
        self.lost: list[str] = []
        self.counts = {"usual": 0, "at once": 0, "answered": 0}
        self._group = group

    async def ask_one_by_one(self, name: str, count: int | None, think_s: float) -> None:
        """Send one request at a time on one connection, and once more on a new one if its close crosses a request."""
        connection = None
        number = 0
        while count is None or number < count:
            number += 1
            self.counts["usual"] += 1
            self._group.record.add(f"client sends {name}-{number}")
            command = rig.encode(b"API.READ", rig.CUSTOMER, f"{name}-{number}".encode(), rig.request_terms(WAIT_MS))
            answer = None
            while answer is None:
                reader, writer = connection = connection or await self._group.limiter.connect()
                writer.write(command)
                answer = await rig.read_answer(reader)
                if answer is None:
                    writer.close()
                    connection = None
            self.counts["answered"] += 1
            self._group.record.add(f"client gets for {name}-{number}: {answer!r}")
            await asyncio.sleep(think_s * rng.uniform(0.5, 1.5))
        if connection is not None:
            connection[1].close()

    async def ask_at_once(self, name: str) -> None:
        """Send many requests at once on a new connection, and check that all are answered."""
        record = self._group.record
        reader, writer = await self._group.limiter.connect()
        for number in range(COMMANDS_AT_ONCE):
            request_id = f"{name}-{number}".encode()
            writer.write(rig.encode(b"API.READ", rig.CUSTOMER, request_id, rig.request_terms(WAIT_MS)))
        await rig.wait_until_arrived(writer)
        arrived_ms = record.now_ms()
        record.add(f"client sends {COMMANDS_AT_ONCE} requests at once, {name}-0 and on; the limiter's machine has them")
        self.counts["at once"] += COMMANDS_AT_ONCE
        for number in range(COMMANDS_AT_ONCE):
            answer = await rig.read_answer(reader)
            if answer is None:
                open_ms = record.now_ms() - arrived_ms
                text = f"{name}-{number} and those after it have no answer, the connection ended after {open_ms:.0f} ms"
                record.add(text)
                if open_ms >= NOT_CROSSED_MS:
                    self.lost.append(text)
                break
            self.counts["answered"] += 1
            record.add(f"client gets for {name}-{number}: {answer!r}")
        writer.close()

    async def pipeline(self, index: int) -> None:
        """Send many requests at once again and again; without the disruption, the same ones one by one."""
        turn = 0
        while True:
            turn += 1
            name = f"p{index}-{turn}"
            if rig.has_trouble():
                await self.ask_at_once(name)
            else:
                await self.ask_one_by_one(name, COMMANDS_AT_ONCE, 0.0)
            await asyncio.sleep(PAUSE_S * rng.uniform(0.0, 2.0))


async def play(group: rig.Group) -> str | None:
    """Let the clients send for a while."""
    clients = Clients(group)
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(clients.ask_one_by_one(f"u{i}", None, THINK_S)) for i in range(USUAL_CLIENTS)]
    tasks += [loop.create_task(clients.pipeline(index)) for index in range(PIPELINING_CLIENTS)]
    await asyncio.wait(tasks, timeout=PLAY_S, return_when=asyncio.FIRST_EXCEPTION)
    for task in tasks:
        if task.done():
            task.result()
        task.cancel()
    print(f"requests: {clients.counts}, connections closed over requests: {len(clients.lost)}")
    return (
        f"{len(clients.lost)} connections were closed over open requests; {clients.lost[0]}" if clients.lost else None
    )


rig.run_case(FOLDER, SERVERS, serve, "free", play, DESCRIPTORS)
