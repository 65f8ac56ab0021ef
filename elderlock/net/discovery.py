"""Follows the list of servers: the whole list at start, then a watch that is renewed when it dies or falls silent."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

import h11

from elderlock.net.config import Address
from elderlock.net.targets import TargetList, parse_list
from elderlock.settings_reader import SocketSettings

# What discovery tells counts 6 s later, whatever became of a watch or a call. An empty line comes every 2 s; a link
# that is cut stays open and says nothing, and so may the first watch that follows it: twice this and a call are 6 s.
SILENT_AFTER = 2.5  # s
CALL_AFTER = 0.5  # s that a call is waited for alone; then another begins beside it, as the first may never be answered
MOST_CALLS = 4  # at once; the oldest gives way, which has then been waited for all this time
FIRST_BACKOFF, MOST_BACKOFF = 0.1, 0.5  # s after a call that failed
LONGEST_LIST = 1 << 20  # bytes of one list or line; a longer one would take the memory of requests

log = logging.getLogger(__name__)


def _goes_on(line: bytes) -> bool:
    """Whether an object that begins with this line may be indented: then its own brackets alone stand at the margin."""
    return line.startswith(b"{") and not line.rstrip().endswith(b"}")


class Lines:
    """Cuts a watch into its JSON objects, also where one comes indented and spans lines."""

    def __init__(self) -> None:
        self._rest = b""
        self._object: list[bytes] = []  # lines of one that has begun

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that are whole by now. Raises `ValueError` for one that is too long."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        whole = []
        for line in lines:
            if not line.strip() or (self._object and line.startswith(b"{")):
                whole += self._take()  # no object spans an empty line, nor one the next object's start
            if line.strip():
                self._object.append(line)
                if line.startswith(b"}") or (len(self._object) == 1 and not _goes_on(line)):
                    whole += self._take()
        if len(self._rest) + sum(map(len, self._object)) > LONGEST_LIST:
            raise ValueError("a line is too long")
        return whole

    def _take(self) -> list[bytes]:
        lines, self._object = self._object, []
        return [b"\n".join(lines)] if lines else []


class Call:
    """One call to discovery; a watch lasts until its connection ends."""

    def __init__(self, follower: Follower, now: float) -> None:
        self.heard_at = now
        self.task = asyncio.get_running_loop().create_task(follower.call(self))


class Follower:
    """Follows one address until it is stopped; each list goes to `told` in the step that read it.

    Invariant: `_lead` is the latest call that was answered. While it speaks it is the only one; once it is silent, or
    where there is none, calls begin one beside the other until one is answered."""

    def __init__(
        self,
        address: Address,
        settings: SocketSettings,
        silent_after: float,
        told: Callable[[Follower, TargetList], None],
    ) -> None:
        self._address, self._settings, self._told = address, settings, told
        self._silent_after = silent_after
        self._version: int | None = None  # of this address alone: another agent may count its own
        self._loop = asyncio.get_running_loop()
        self._calls: list[Call] = []  # the oldest first
        self._lead: Call | None = None
        self._task = self._loop.create_task(self._run())

    def stop(self) -> None:
        self._task.cancel()
        self._drop(self._calls)

    def _drop(self, calls: list[Call]) -> None:
        for call in list(calls):
            call.task.cancel()
            self._calls.remove(call)

    async def _run(self) -> None:
        backoff = FIRST_BACKOFF
        while True:
            if self._lead is not None:
                backoff = FIRST_BACKOFF
                left = self._lead.heard_at + self._silent_after - self._loop.time()
                if left > 0:
                    self._drop([call for call in self._calls if call is not self._lead])
                    await asyncio.wait({self._lead.task}, timeout=left)
                    continue
            call = Call(self, self._loop.time())
            self._calls.append(call)
            if len(self._calls) > MOST_CALLS:
                self._drop([call for call in self._calls if call is not self._lead][:1])
            # jittered, so that limiters cut off together do not come back in step
            await asyncio.wait({call.task}, timeout=CALL_AFTER * random.uniform(0.75, 1.0))
            if call.task.done() and call is not self._lead:
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, MOST_BACKOFF)

    async def call(self, call: Call) -> None:
        """Asks for the whole list where none is known, then for a watch."""
        try:
            if self._version is None:
                await self._fetch(call)
            await self._watch(call)
        except Exception as error:  # whatever went wrong, the list is followed on
            log.warning("discovery at %s:%d: %r", *self._address, error)
        finally:
            if call is self._lead:
                self._lead = None
            if call in self._calls:
                self._calls.remove(call)

    def _answered(self, call: Call) -> None:
        call.heard_at = self._loop.time()
        self._lead = call

    async def _fetch(self, call: Call) -> None:
        body = bytearray()
        async with aclosing(self._get("/discovery/hosts")) as parts:
            async for part in parts:
                body += part
                if len(body) > LONGEST_LIST:
                    raise ValueError("the list is too long")
        self._take(bytes(body))
        self._answered(call)

    async def _watch(self, call: Call) -> None:
        lines = Lines()
        async with aclosing(self._get(f"/discovery/hosts?watch=1&after={self._version or 0}")) as parts:
            async for part in parts:
                self._answered(call)
                for line in lines.feed(part):
                    self._take(line)

    async def _get(self, target: str) -> AsyncGenerator[bytes, None]:
        """The body of an answer as it comes, after an empty part once the answer has begun."""
        host, port = self._address
        reader, writer = await asyncio.open_connection(host, port)
        try:
            http = h11.Connection(h11.CLIENT)
            request = h11.Request(method="GET", target=target, headers=[("Host", f"{host}:{port}")])
            writer.write((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(1 << 16))
                elif isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise ValueError(f"status {event.status_code}")
                    yield b""
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    return
        finally:
            writer.transport.abort()

    def _take(self, text: bytes) -> None:
        try:
            listed = parse_list(json.loads(text), self._settings)
        except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
            # what it said is lost, and later changes build on it: ask for the whole list anew
            self._version = None
            raise ValueError(f"a line cannot be read: {error!r}") from None
        if not listed.complete and self._version is not None and listed.version <= self._version:
            return  # a call that was answered late: what it tells came by another, and later changes with it
        self._version = listed.version
        self._told(self, listed)


class Discovery:
    """The list as told by the agent at the address of the configuration, which a reload may change."""

    def __init__(self, settings: SocketSettings, told: Callable[[TargetList], None]) -> None:
        self._settings, self._told = settings, told
        self._address: Address | None = None
        self._current: Follower | None = None  # whose list is in
        self._coming: Follower | None = None  # at a new address, whose list is not in yet
        self.silent_after = SILENT_AFTER

    def address(self) -> str:
        return "%s:%d" % self._address if self._address is not None else ""

    def follow(self, address: Address) -> None:
        """Turns to `address` at once. The old watch stays till the new list is in, as the old agent goes
        on telling for a while and a drain may be told just then; one that has told nothing yet is
        dropped, so that reloads close together leave only the last address."""
        if address == self._address:
            return
        self._address = address
        if self._coming is not None:
            self._coming.stop()
        self._coming = Follower(address, self._settings, self.silent_after, self._heard)

    def _heard(self, follower: Follower, listed: TargetList) -> None:
        if follower is self._coming:
            if self._current is not None:
                self._current.stop()
            self._current, self._coming = follower, None
        if follower is self._current:
            self._told(listed)

    def stop(self) -> None:
        for follower in (self._current, self._coming):
            if follower is not None:
                follower.stop()
