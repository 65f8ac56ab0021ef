"""Asks all agents of a group at once, each with its own deadline; any of them can be gone."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TypeVar

from elderlock.control.request_client import NoAnswerError, NotSentError, RequestClient
from elderlock.fleet import messages as f
from elderlock.fleet.auth import client_tls, read_token
from elderlock.fleet.client.answers import Missing, Refusal
from elderlock.fleet.config import GroupFile, address, read_group

MOST_AT_ONCE = 256  # connections that are being opened or asked at once
KEPT = 128  # connections kept open between questions; the others are made anew
T = TypeVar("T", bound=f.Message)


class Group:
    """The agents that a group file names."""

    def __init__(self, file: GroupFile, token: str, tls: ssl.SSLContext | None) -> None:
        self._addresses = {member.name: address(member.address) for member in file.agent}
        self._token, self._tls = token, tls
        self.budget = file.budget is not None  # drains need permits
        self._callers: dict[str, RequestClient[f.FromAgent]] = {}
        self._slots = asyncio.Semaphore(MOST_AT_ONCE)

    @classmethod
    def read(cls, path: Path, token_file: Path | None = None) -> Group:
        """Raises `FileError`. Paths in the file count from its folder."""
        file = read_group(path)
        folder = path.resolve().parent
        token = read_token(token_file or folder / file.group.token)
        return cls(file, token, client_tls(file.group.tls, folder) if file.group.tls else None)

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(self._addresses)

    async def ask_all(
        self,
        make: Callable[[int], f.Message],
        answer: type[T],
        within: float,
        agents: Iterable[str] | None = None,
    ) -> dict[str, T | Missing | Refusal]:
        """`make` is given an id. `within` seconds for each agent, its connection included."""
        names = list(self._addresses if agents is None else agents)
        found = await asyncio.gather(*(self.ask(name, make, answer, within) for name in names))
        return dict(zip(names, found, strict=True))

    async def ask(
        self, agent: str, make: Callable[[int], f.Message], answer: type[T], within: float
    ) -> T | Missing | Refusal:
        async with self._slots:
            loop = asyncio.get_running_loop()
            ends = loop.time() + within
            try:
                async with asyncio.timeout_at(ends):
                    caller = await self._caller(agent, within)
            except TimeoutError:
                return Missing(agent, f"no connection within {within:g} s", False)
            except RefusedError as error:
                return Refusal(agent, error.code, str(error))
            except (OSError, ssl.SSLError, NotSentError, NoAnswerError) as error:
                return Missing(agent, _plain(error), False)
            try:
                said = await caller.request(make(caller.next_request_id()), max(0.0, ends - loop.time()))
            except NotSentError as error:
                return Missing(agent, str(error), False)
            except NoAnswerError as error:
                return Missing(agent, str(error), True)
            finally:
                if len(self._addresses) > KEPT:
                    self._callers.pop(agent, caller).close()
        if isinstance(said, f.Refused):
            return Refusal(agent, said.code, said.text)
        if not isinstance(said, answer):
            return Missing(agent, f"it answers with {type(said).__name__}", True)
        return said

    async def _caller(self, agent: str, within: float) -> RequestClient[f.FromAgent]:
        caller = self._callers.get(agent)
        if caller is not None and not caller.disconnected.is_set():
            return caller
        caller = RequestClient(f.decode_answer, f.LONGEST)
        try:
            await caller.connect_tcp(*self._addresses[agent], self._tls)
            said = await caller.request(f.Hello((f.VERSION,), self._token), within)
        except BaseException:
            caller.close()
            raise
        if isinstance(said, f.Refused):
            caller.close()
            raise RefusedError(said.code, said.text)
        if isinstance(said, f.Welcome) and said.agent != agent:
            caller.close()
            raise RefusedError("name", f"at its address agent {said.agent} answers")
        self._callers[agent] = caller
        return caller

    def close(self) -> None:
        for caller in self._callers.values():
            caller.close()
        self._callers.clear()


class RefusedError(Exception):
    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


def _plain(error: BaseException) -> str:
    if isinstance(error, ConnectionRefusedError):
        return "nothing listens there"
    if isinstance(error, ConnectionResetError):
        return "the connection was reset"
    if isinstance(error, ssl.SSLError):
        return f"tls: {error.reason or error}"
    return str(error) or type(error).__name__
