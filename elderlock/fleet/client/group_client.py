"""A client that sends requests to the agents of a group, each with its own deadline; any agent may be down."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TypeVar

from elderlock.control.request_client import NoAnswerError, NotSentError, RequestClient
from elderlock.fleet import messages
from elderlock.fleet.auth import client_tls, read_token
from elderlock.fleet.client.answers import Missing, Refusal
from elderlock.fleet.config import GroupFile, address, read_group

MAXIMUM_CONCURRENT_REQUESTS = 256  # including those whose connection is being opened
MAXIMUM_IDLE_CONNECTIONS = 128  # in a larger group, each connection is closed after its request
AnswerType = TypeVar("AnswerType", bound=messages.Message)


class Group:
    """The agents that a group file lists.

    Attributes:
        budget: Whether the group has a disruption budget, so that drains need permits.
    """

    def __init__(self, file: GroupFile, token: str, tls: ssl.SSLContext | None) -> None:
        """Make a client without connections.

        Args:
            file: The group's file.
            token: The caller's token.
            tls: The TLS context for connections; None for no TLS.
        """
        self._addresses = {member.name: address(member.address) for member in file.agent}
        self._token, self._tls = token, tls
        self.budget = file.budget is not None
        self._clients: dict[str, RequestClient[messages.FromAgent]] = {}
        self._slots = asyncio.Semaphore(MAXIMUM_CONCURRENT_REQUESTS)

    @classmethod
    def read(cls, path: Path, token_file: Path | None = None) -> Group:
        """Make a client from a group's file. Relative paths in it start at the file's folder.

        Args:
            path: The group's file.
            token_file: The file with the caller's token; by default the one that the group's file names.

        Raises:
            FileError: A file cannot be used.
        """
        file = read_group(path)
        folder = path.resolve().parent
        token = read_token(token_file or folder / file.group.token)
        return cls(file, token, client_tls(file.group.tls, folder) if file.group.tls else None)

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the agents."""
        return tuple(self._addresses)

    async def ask_all(
        self,
        make_request: Callable[[int], messages.Message],
        answer_type: type[AnswerType],
        timeout_s: float,
        agents: Iterable[str] | None = None,
    ) -> dict[str, AnswerType | Missing | Refusal]:
        """Send a request to several agents at once.

        Args:
            make_request: Makes the request from its id.
            answer_type: The class of the answer.
            timeout_s: The timeout for each agent, including the time to connect.
            agents: The names of the agents; by default all of the group.

        Returns:
            The answer of each agent, by its name.
        """
        names = list(self._addresses if agents is None else agents)
        answers = await asyncio.gather(*(self.ask(name, make_request, answer_type, timeout_s) for name in names))
        return dict(zip(names, answers, strict=True))

    async def ask(
        self,
        agent: str,
        make_request: Callable[[int], messages.Message],
        answer_type: type[AnswerType],
        timeout_s: float,
    ) -> AnswerType | Missing | Refusal:
        """Send a request to one agent and return its answer.

        Args:
            agent: The name of the agent.
            make_request: Makes the request from its id.
            answer_type: The class of the answer.
            timeout_s: The timeout, including the time to connect.
        """
        async with self._slots:
            loop = asyncio.get_running_loop()
            deadline_s = loop.time() + timeout_s
            try:
                async with asyncio.timeout_at(deadline_s):
                    client = await self._connect(agent, timeout_s)
            except TimeoutError:
                return Missing(agent, f"no connection within {timeout_s:g} s", False)
            except RefusedError as error:
                return Refusal(agent, error.code, str(error))
            except (OSError, ssl.SSLError, NotSentError, NoAnswerError) as error:
                return Missing(agent, _describe_error(error), False)
            try:
                request = make_request(client.next_request_id())
                answer = await client.request(request, max(0.0, deadline_s - loop.time()))
            except NotSentError as error:
                return Missing(agent, str(error), False)
            except NoAnswerError as error:
                return Missing(agent, str(error), True)
            finally:
                if len(self._addresses) > MAXIMUM_IDLE_CONNECTIONS:
                    self._clients.pop(agent, client).close()
        if isinstance(answer, messages.Refused):
            return Refusal(agent, answer.code, answer.text)
        if not isinstance(answer, answer_type):
            return Missing(agent, f"it answers with {type(answer).__name__}", True)
        return answer

    async def _connect(self, agent: str, timeout_s: float) -> RequestClient[messages.FromAgent]:
        """Return the open connection to an agent, or open one."""
        client = self._clients.get(agent)
        if client is not None and not client.disconnected.is_set():
            return client
        client = RequestClient(messages.decode_answer, messages.LONGEST)
        try:
            await client.connect_tcp(*self._addresses[agent], self._tls)
            answer = await client.request(messages.Hello((messages.VERSION,), self._token), timeout_s)
        except BaseException:
            client.close()
            raise
        if isinstance(answer, messages.Refused):
            client.close()
            raise RefusedError(answer.code, answer.text)
        if isinstance(answer, messages.Welcome) and answer.agent != agent:
            client.close()
            raise RefusedError("name", f"at its address agent {answer.agent} answers")
        self._clients[agent] = client
        return client

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()


class RefusedError(Exception):
    """An agent refused the connection.

    Attributes:
        code: The code of the refusal; see `messages.Refused`, or `name` where another agent answered.
    """

    def __init__(self, code: str, text: str) -> None:
        """Make the error with its code and the reason for people."""
        super().__init__(text)
        self.code = code


def _describe_error(error: BaseException) -> str:
    """Return an error that prevented a connection, for people."""
    if isinstance(error, ConnectionRefusedError):
        return "nothing listens there"
    if isinstance(error, ConnectionResetError):
        return "the connection was reset"
    if isinstance(error, ssl.SSLError):
        return f"tls: {error.reason or error}"
    return str(error) or type(error).__name__
