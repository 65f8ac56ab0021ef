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
from elderlock.net.endpoint_list import EndpointList, parse_endpoint_list
from elderlock.settings_reader import SocketSettings

# What discovery tells counts 6 s later, whatever became of a watch or a call. An empty line comes every 2 s; a link
# that is cut stays open and says nothing, and so may the first watch that follows it: twice this and a call are 6 s.
SILENCE_LIMIT_S = 2.5  # s
CALL_INTERVAL_S = (
    0.5  # s that a call is waited for alone; then another begins beside it, as the first may never be answered
)
MAX_CONCURRENT_CALLS = 4  # at once; the oldest gives way, which has then been waited for all this time
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.5  # s after a call that failed
MAX_LIST_BYTES = 1 << 20  # bytes of one list or line; a longer one would take the memory of requests

log = logging.getLogger(__name__)


def _starts_indented_object(line: bytes) -> bool:
    """Whether an object that begins with this line may be indented: then its own brackets alone stand at the margin."""
    return line.startswith(b"{") and not line.rstrip().endswith(b"}")


class JsonObjectSplitter:
    """Cuts a watch into its JSON objects, also where one comes indented and spans lines."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._object_lines: list[bytes] = []  # lines of one that has begun

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that are whole by now. Raises `ValueError` for one that is too long."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        whole = []
        for line in lines:
            if not line.strip() or (self._object_lines and line.startswith(b"{")):
                whole += self._take_object()  # no object spans an empty line, nor one the next object's start
            if line.strip():
                self._object_lines.append(line)
                if line.startswith(b"}") or (len(self._object_lines) == 1 and not _starts_indented_object(line)):
                    whole += self._take_object()
        if len(self._partial_line) + sum(map(len, self._object_lines)) > MAX_LIST_BYTES:
            raise ValueError("a line is too long")
        return whole

    def _take_object(self) -> list[bytes]:
        lines, self._object_lines = self._object_lines, []
        return [b"\n".join(lines)] if lines else []


class DiscoveryCall:
    """One call to discovery; a watch lasts until its connection ends."""

    def __init__(self, follower: ListFollower, now: float) -> None:
        self.last_received_s = now
        self.task = asyncio.get_running_loop().create_task(follower.run_call(self))


class ListFollower:
    """Follows one address until it is stopped; each list goes to `told` in the step that read it.

    Invariant: `_lead` is the latest call that was answered. While it speaks it is the only one; once it is silent, or
    where there is none, calls begin one beside the other until one is answered."""

    def __init__(
        self,
        address: Address,
        settings: SocketSettings,
        silent_after: float,
        told: Callable[[ListFollower, EndpointList], None],
    ) -> None:
        self._address, self._settings, self._on_list = address, settings, told
        self._silence_limit_s = silent_after
        self._version: int | None = None  # of this address alone: another agent may count its own
        self._loop = asyncio.get_running_loop()
        self._calls: list[DiscoveryCall] = []  # the oldest first
        self._active_call: DiscoveryCall | None = None
        self._task = self._loop.create_task(self._run())

    def stop(self) -> None:
        self._task.cancel()
        self._cancel_calls(self._calls)

    def _cancel_calls(self, calls: list[DiscoveryCall]) -> None:
        for call in list(calls):
            call.task.cancel()
            self._calls.remove(call)

    async def _run(self) -> None:
        backoff = INITIAL_BACKOFF_S
        while True:
            if self._active_call is not None:
                backoff = INITIAL_BACKOFF_S
                left = self._active_call.last_received_s + self._silence_limit_s - self._loop.time()
                if left > 0:
                    self._cancel_calls([call for call in self._calls if call is not self._active_call])
                    await asyncio.wait({self._active_call.task}, timeout=left)
                    continue
            call = DiscoveryCall(self, self._loop.time())
            self._calls.append(call)
            if len(self._calls) > MAX_CONCURRENT_CALLS:
                self._cancel_calls([call for call in self._calls if call is not self._active_call][:1])
            # jittered, so that limiters cut off together do not come back in step
            await asyncio.wait({call.task}, timeout=CALL_INTERVAL_S * random.uniform(0.75, 1.0))
            if call.task.done() and call is not self._active_call:
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, MAX_BACKOFF_S)

    async def run_call(self, call: DiscoveryCall) -> None:
        """Asks for the whole list where none is known, then for a watch."""
        try:
            if self._version is None:
                await self._fetch(call)
            await self._watch(call)
        except Exception as error:  # whatever went wrong, the list is followed on
            log.warning("discovery at %s:%d: %r", *self._address, error)
        finally:
            if call is self._active_call:
                self._active_call = None
            if call in self._calls:
                self._calls.remove(call)

    def _record_answer(self, call: DiscoveryCall) -> None:
        call.last_received_s = self._loop.time()
        self._active_call = call

    async def _fetch(self, call: DiscoveryCall) -> None:
        body = bytearray()
        async with aclosing(self._get("/discovery/hosts")) as parts:
            async for part in parts:
                body += part
                if len(body) > MAX_LIST_BYTES:
                    raise ValueError("the list is too long")
        self._apply_list(bytes(body))
        self._record_answer(call)

    async def _watch(self, call: DiscoveryCall) -> None:
        lines = JsonObjectSplitter()
        async with aclosing(self._get(f"/discovery/hosts?watch=1&after={self._version or 0}")) as parts:
            async for part in parts:
                self._record_answer(call)
                for line in lines.feed(part):
                    self._apply_list(line)

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

    def _apply_list(self, text: bytes) -> None:
        try:
            listed = parse_endpoint_list(json.loads(text), self._settings)
        except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
            # what it said is lost, and later changes build on it: ask for the whole list anew
            self._version = None
            raise ValueError(f"a line cannot be read: {error!r}") from None
        if not listed.is_complete and self._version is not None and listed.version <= self._version:
            return  # a call that was answered late: what it tells came by another, and later changes with it
        self._version = listed.version
        self._on_list(self, listed)


class Discovery:
    """The list as told by the agent at the address of the configuration, which a reload may change."""

    def __init__(self, settings: SocketSettings, told: Callable[[EndpointList], None]) -> None:
        self._settings, self._on_list = settings, told
        self._address: Address | None = None
        self._current: ListFollower | None = None  # whose list is in
        self._next: ListFollower | None = None  # at a new address, whose list is not in yet
        self.silence_limit_s = SILENCE_LIMIT_S

    def address(self) -> str:
        return "%s:%d" % self._address if self._address is not None else ""

    def follow(self, address: Address) -> None:
        """Turns to `address` at once. The old watch stays till the new list is in, as the old agent goes
        on telling for a while and a drain may be told just then; one that has told nothing yet is
        dropped, so that reloads close together leave only the last address."""
        if address == self._address:
            return
        self._address = address
        if self._next is not None:
            self._next.stop()
        self._next = ListFollower(address, self._settings, self.silence_limit_s, self._list_received)

    def _list_received(self, follower: ListFollower, listed: EndpointList) -> None:
        if follower is self._next:
            if self._current is not None:
                self._current.stop()
            self._current, self._next = follower, None
        if follower is self._current:
            self._on_list(listed)

    def stop(self) -> None:
        for follower in (self._current, self._next):
            if follower is not None:
                follower.stop()
