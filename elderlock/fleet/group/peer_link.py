"""The ways to the other agents: a word each second and at once when there is news, and questions in between."""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Callable
from typing import Protocol

from elderlock import logs
from elderlock.control.records import Records
from elderlock.control.request_client import NoAnswerError, NotSentError, RequestClient
from elderlock.fleet import messages as f

EXCHANGE_EVERY = 1.0  # s between words to each other agent
PEER_WITHIN = 1.0  # s that another agent has to answer

log = logs.get_logger(__name__)


class MessageSource(Protocol):
    """The agent, as a way to another needs it."""

    @property
    def name(self) -> str: ...
    @property
    def records(self) -> Records: ...
    def compose_exchange(self, number: int, with_records: bool, told: f.Exchange | None = None) -> f.Exchange: ...
    def apply_exchange(self, exchange: f.Exchange) -> None: ...


class PeerLink:
    """The way to one other agent."""

    def __init__(
        self, agent: MessageSource, name: str, at: tuple[str, int], token: str, tls: ssl.SSLContext | None
    ) -> None:
        self._agent, self.name, self._at, self._token, self._tls = agent, name, at, token, tls
        self.met = asyncio.Event()  # it has told us its records
        self._news = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._caller: RequestClient[f.FromAgent] | None = None  # once it has taken our greeting

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def kick(self) -> None:
        self._news.set()

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def ask(self, make: Callable[[int], f.Message], within: float) -> f.FromAgent:
        """`make` is given an id. Raises `NotSentError` or `NoAnswerError`."""
        if self._caller is None:
            raise NotSentError(f"no connection to {self.name}")
        return await self._caller.request(make(self._caller.next_request_id()), within)

    async def _run(self) -> None:
        while True:
            caller: RequestClient[f.FromAgent] = RequestClient(f.decode_answer, f.LONGEST)
            try:
                async with asyncio.timeout(PEER_WITHIN):
                    await caller.connect_tcp(*self._at, self._tls)
                await self._talk(caller)
            except (OSError, TimeoutError, NotSentError, NoAnswerError) as error:
                log.debug("other agent not reached", other=self.name, error=repr(error))
            finally:
                self._caller = None
                caller.close()
            await asyncio.sleep(EXCHANGE_EVERY * random.uniform(0.5, 1.0))

    async def _talk(self, caller: RequestClient[f.FromAgent]) -> None:
        hello = f.Hello((f.VERSION,), self._token, self._agent.name)
        answer = await caller.request(hello, PEER_WITHIN)
        if isinstance(answer, f.Refused):
            log.error("other agent refuses us", other=self.name, why=answer.text)
            await asyncio.sleep(PEER_WITHIN)
            return
        self._caller = caller
        told: f.Exchange | None = None  # its last word; the records go along while their digest differs from ours
        while True:
            self._news.clear()
            differs = told is None or told.digest != self._agent.records.digest()
            word = self._agent.compose_exchange(caller.next_request_id(), differs, told)
            answer = await caller.request(word, PEER_WITHIN)
            if not isinstance(answer, f.Exchange) or answer.agent != self.name:
                log.error("another agent answers at its address", other=self.name)
                return
            told = answer
            self._agent.apply_exchange(answer)
            if answer.records or answer.digest == self._agent.records.digest():
                self.met.set()
            try:
                async with asyncio.timeout(EXCHANGE_EVERY):
                    await self._news.wait()
            except TimeoutError:
                pass
