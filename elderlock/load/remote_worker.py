"""A worker that another machine's agent leases to the run; its messages pass through the agent, which is polled."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

import msgspec

from elderlock.fleet import messages as fleet_messages
from elderlock.fleet.client.answers import Missing, Refusal, failure_reason
from elderlock.fleet.client.group_client import Group
from elderlock.load import messages

POLL_INTERVAL_S = 0.2  # well below the worker's lease of 5 s
POLL_TIMEOUT_S = 2.0
AGENT_SILENCE_TIMEOUT_S = 5.0  # the worker's lease has expired by then, so the worker counts as lost


class RemoteWorkerLink:
    """A link to a worker that an agent of the group runs; see `coordinator.WorkerLink`.

    Attributes:
        name: Name of the worker in messages to the operator.
    """

    def __init__(self, group: Group, agent: str, number: int) -> None:
        self.name = f"worker {number} at {agent}"
        self._group, self._agent = group, agent
        self._job = f"{secrets.token_hex(6)}-{number}"
        self._unconfirmed: list[bytes] = []  # frames that the agent has not confirmed
        self._first_unconfirmed = 0  # the number of the first of them
        self._received = 0  # number of frames received from the worker
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def open(self, on_message: Callable[[messages.FromWorker], None], on_lost: Callable[[str], None]) -> None:
        """Start to poll the agent, which starts the worker; see `WorkerLink.open`."""
        self._task = asyncio.get_running_loop().create_task(self._exchange(on_message, on_lost))

    async def _exchange(
        self, on_message: Callable[[messages.FromWorker], None], on_lost: Callable[[str], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        answered_at = loop.time()
        while True:
            answer = await self._poll(False)
            match answer:
                case fleet_messages.WorkerLeased():
                    answered_at = loop.time()
                    del self._unconfirmed[: answer.taken - self._first_unconfirmed]
                    self._first_unconfirmed = answer.taken
                    try:
                        for body in answer.frames[self._received - answer.first :]:
                            self._received += 1
                            on_message(messages.decode_from_worker(body))
                    except msgspec.DecodeError as error:
                        return on_lost(f"it sent a message that cannot be decoded: {error}")
                    if answer.ended:
                        return on_lost(answer.ended)
                case Refusal():
                    return on_lost(answer.text)
                case Missing():
                    if loop.time() - answered_at > AGENT_SILENCE_TIMEOUT_S:
                        return on_lost(f"its agent {self._agent} does not answer: {failure_reason(answer)}")
            self._wake.clear()
            if not self._unconfirmed or isinstance(answer, Missing):
                try:
                    async with asyncio.timeout(POLL_INTERVAL_S):
                        await self._wake.wait()
                except TimeoutError:
                    pass

    async def _poll(self, end: bool) -> fleet_messages.WorkerLeased | Missing | Refusal:
        frames = tuple(self._unconfirmed)
        return await self._group.ask(
            self._agent,
            lambda id: fleet_messages.LeaseWorker(id, self._job, self._first_unconfirmed, frames, self._received, end),
            fleet_messages.WorkerLeased,
            POLL_TIMEOUT_S,
        )

    def send(self, message: messages.Message) -> None:
        """Queue a message for the worker, and send it with the next poll."""
        self._unconfirmed.append(messages.encode(message))
        self._wake.set()

    async def close(self) -> None:
        """Ask the agent to end the worker, if it may still run."""
        if self._task is not None and not self._task.done():
            self._task.cancel()
            await self._poll(True)
