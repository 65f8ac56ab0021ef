"""The links to the other agents: an exchange each second and whenever there is news, and requests in between."""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from elderlock import logs
from elderlock.control.records import Records
from elderlock.control.request_client import NoAnswerError, NotSentError, RequestClient
from elderlock.fleet import messages

EXCHANGE_INTERVAL_S = 1.0  # between exchanges with each other agent
PEER_TIMEOUT_S = 1.0  # for the answer of another agent

log = logs.get_logger(__name__)


class MessageSource(Protocol):
    """What a link needs of its agent."""

    @property
    def name(self) -> str:
        """The agent's name."""

    @property
    def records(self) -> Records:
        """The agent's records."""

    def compose_exchange(
        self, request_id: int, with_records: bool, last_answer: messages.Exchange | None = None
    ) -> messages.Exchange:
        """Return the exchange to send to an agent whose last exchange was `last_answer`."""

    def apply_exchange(self, exchange: messages.Exchange) -> None:
        """Take what the other agent sent."""


class PeerLink:
    """The link to one other agent.

    Attributes:
        name: The other agent's name.
        records_received: Set once this agent holds all records of the other.
    """

    def __init__(
        self, agent: MessageSource, name: str, address: tuple[str, int], token: str, tls: ssl.SSLContext | None
    ) -> None:
        """Prepare the link; `start` opens it.

        Args:
            agent: This agent.
            name: The other agent's name.
            address: The other agent's host and port.
            token: The token that this agent authenticates with.
            tls: The TLS context; None for a connection without TLS.
        """
        self._agent, self.name, self._address, self._token, self._tls = agent, name, address, token, tls
        self.records_received = asyncio.Event()
        self._has_news = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._client: RequestClient[messages.FromAgent] | None = None  # set once the other agent has answered hello

    def start(self) -> None:
        """Connect, and keep reconnecting."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def notify(self) -> None:
        """Start an exchange at once, as there is news."""
        self._has_news.set()

    def close(self) -> None:
        """Stop the task and close the connection."""
        if self._task is not None:
            self._task.cancel()

    async def request(self, make_message: Callable[[int], messages.Message], timeout_s: float) -> messages.FromAgent:
        """Send a request and return its answer.

        Args:
            make_message: Makes the message with a request id.
            timeout_s: The time for the answer.

        Raises:
            NotSentError: There is no connection.
            NoAnswerError: No answer came in time.
        """
        if self._client is None:
            raise NotSentError(f"no connection to {self.name}")
        return await self._client.request(make_message(self._client.next_request_id()), timeout_s)

    async def _run(self) -> None:
        while True:
            client: RequestClient[messages.FromAgent] = RequestClient(messages.decode_answer, messages.LONGEST)
            try:
                async with asyncio.timeout(PEER_TIMEOUT_S):
                    await client.connect_tcp(*self._address, self._tls)
                await self._exchange_messages(client)
            except (OSError, TimeoutError, NotSentError, NoAnswerError) as error:
                log.debug("another agent cannot be reached", other=self.name, error=repr(error))
            finally:
                self._client = None
                client.close()
            await asyncio.sleep(EXCHANGE_INTERVAL_S * random.uniform(0.5, 1.0))

    async def _exchange_messages(self, client: RequestClient[messages.FromAgent]) -> None:
        hello = messages.Hello((messages.VERSION,), self._token, self._agent.name)
        answer = await client.request(hello, PEER_TIMEOUT_S)
        if isinstance(answer, messages.Refused):
            log.error("another agent refuses the connection", other=self.name, why=answer.text)
            await asyncio.sleep(PEER_TIMEOUT_S)
            return
        self._client = client
        last_answer: messages.Exchange | None = None  # records are sent while the other agent's digest of them differs
        while True:
            self._has_news.clear()
            differs = last_answer is None or last_answer.digest != self._agent.records.digest()
            exchange = self._agent.compose_exchange(client.next_request_id(), differs, last_answer)
            answer = await client.request(exchange, PEER_TIMEOUT_S)
            if not isinstance(answer, messages.Exchange) or answer.agent != self.name:
                log.error("an unexpected agent answers at this address", other=self.name)
                return
            last_answer = answer
            self._agent.apply_exchange(answer)
            if answer.records or answer.digest == self._agent.records.digest():
                self.records_received.set()
            try:
                async with asyncio.timeout(EXCHANGE_INTERVAL_S):
                    await self._has_news.wait()
            except TimeoutError:
                pass


async def gather_answers(requests: Sequence[Awaitable[messages.FromAgent]]) -> list[messages.FromAgent | None]:
    """Wait for all requests; the answer is None for each that was not answered."""
    results = await asyncio.gather(*requests, return_exceptions=True)
    answers: list[messages.FromAgent | None] = []
    for each in results:
        if isinstance(each, BaseException):
            if not isinstance(each, NotSentError | NoAnswerError):
                raise each
            answers.append(None)
        else:
            answers.append(each)
    return answers
