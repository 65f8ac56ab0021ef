"""A worker that another machine's agent lends: its frames go through the agent, asked for again and again."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

import msgspec

from elderlock.fleet import messages as f
from elderlock.fleet.client.answers import Missing, Refusal, failure_reason
from elderlock.fleet.client.group_client import Group
from elderlock.load import messages as m

ASK_EVERY = 0.2  # s; its lease is 5
ASK_WITHIN = 2.0  # s
MOST_MISSED = 5.0  # s of an agent's silence after which its worker counts as lost: its lease has run out


class RemoteWorkerLink:
    """A line to a worker at that agent of the group."""

    def __init__(self, group: Group, agent: str, number: int) -> None:
        self.name = f"worker {number} at {agent}"
        self._group, self._agent = group, agent
        self._job = f"{secrets.token_hex(6)}-{number}"
        self._out: list[bytes] = []  # that the agent has not confirmed
        self._first = 0  # the number of the first of them
        self._have = 0  # of the worker's frames
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def open(self, heard: Callable[[m.FromWorker], None], gone: Callable[[str], None]) -> None:
        self._task = asyncio.get_running_loop().create_task(self._talk(heard, gone))

    async def _talk(self, heard: Callable[[m.FromWorker], None], gone: Callable[[str], None]) -> None:
        loop = asyncio.get_running_loop()
        answered_at = loop.time()
        while True:
            answer = await self._ask(False)
            match answer:
                case f.WorkerLeased():
                    answered_at = loop.time()
                    del self._out[: answer.taken - self._first]
                    self._first = answer.taken
                    try:
                        for body in answer.frames[self._have - answer.first :]:
                            self._have += 1
                            heard(m.from_worker(body))
                    except msgspec.DecodeError as error:
                        return gone(f"it says what cannot be read: {error}")
                    if answer.ended:
                        return gone(answer.ended)
                case Refusal():
                    return gone(answer.text)
                case Missing():
                    if loop.time() - answered_at > MOST_MISSED:
                        return gone(f"its agent is silent: {failure_reason(answer)}")
            self._wake.clear()
            if not self._out or isinstance(answer, Missing):
                try:
                    async with asyncio.timeout(ASK_EVERY):
                        await self._wake.wait()
                except TimeoutError:
                    pass

    async def _ask(self, end: bool) -> f.WorkerLeased | Missing | Refusal:
        frames = tuple(self._out)
        return await self._group.ask(
            self._agent,
            lambda id: f.LeaseWorker(id, self._job, self._first, frames, self._have, end),
            f.WorkerLeased,
            ASK_WITHIN,
        )

    def say(self, message: m.Message) -> None:
        self._out.append(m.encode(message))
        self._wake.set()

    async def close(self) -> None:
        if self._task is not None and not self._task.done():
            self._task.cancel()
            await self._ask(True)
