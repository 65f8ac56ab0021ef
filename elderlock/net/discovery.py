"""Follows discovery's server list: fetches the complete list, then watches its changes and renews the watch."""

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
from elderlock.net.errors import NetError
from elderlock.settings_reader import SocketSettings

# A change that discovery sends must be applied within 6 s, even if a watch or a call is lost. A watch sends an empty
# line every 2 s. A watch whose link is cut stays open and silent, and the watch that replaces it may do the same: twice
# this limit plus one call is less than 6 s.
SILENCE_LIMIT_S = 2.5
# After this time without an answer a further call starts in parallel, as the first may never be answered.
CALL_INTERVAL_S = 0.5
CALL_INTERVAL_JITTER = (0.75, 1.0)
# Above this number the oldest call is cancelled, after it has waited for as many intervals.
MAX_CONCURRENT_CALLS = 4
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
BACKOFF_JITTER = (0.5, 1.0)
# Maximum size of one list or line; a longer one would use memory reserved for requests.
MAX_LIST_BYTES = 1 << 20
READ_BYTES = 1 << 16
HTTP_OK = 200
LIST_PATH = "/discovery/hosts"

log = logging.getLogger(__name__)


class DiscoveryError(NetError, ValueError):
    """An answer from discovery cannot be used."""


def _starts_indented_object(line: bytes) -> bool:
    """Whether the object that begins with this line may span several lines, of which only its braces are unindented."""
    return line.startswith(b"{") and not line.rstrip().endswith(b"}")


class JsonObjectSplitter:
    """Splits the body of a watch into its JSON objects, which may be indented over several lines."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._object_lines: list[bytes] = []  # lines of the incomplete object

    def feed(self, data: bytes) -> list[bytes]:
        """Return the objects that `data` completes.

        Raises:
            DiscoveryError: An object is too long.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        objects: list[bytes] = []
        for line in lines:
            is_blank = not line.strip()
            if is_blank or (self._object_lines and line.startswith(b"{")):
                objects += self._take_object()  # a blank line or the start of the next object ends an object
            if not is_blank:
                self._object_lines.append(line)
                is_single_line = len(self._object_lines) == 1 and not _starts_indented_object(line)
                if line.startswith(b"}") or is_single_line:
                    objects += self._take_object()
        if len(self._partial_line) + sum(map(len, self._object_lines)) > MAX_LIST_BYTES:
            raise DiscoveryError("a line is too long")
        return objects

    def _take_object(self) -> list[bytes]:
        lines = self._object_lines
        self._object_lines = []
        return [b"\n".join(lines)] if lines else []


class DiscoveryCall:
    """One call to discovery, which becomes a watch that lasts until its connection ends.

    Attributes:
        last_received_s: Loop time at which the last bytes arrived, or the call started.
        known_version: The version that had been applied when the call started; None if there was none.
        task: Runs the call.
    """

    def __init__(self, follower: ListFollower, now_s: float, known_version: int | None) -> None:
        self.last_received_s = now_s
        self.known_version = known_version
        self.task = asyncio.get_running_loop().create_task(follower.run_call(self))


class ListFollower:
    """Follows the list at one address until it is stopped.

    Invariant: `_active_call` is the latest call that was answered. While it receives data, it is the only call. While
    it is silent, or there is no active call, further calls are started in parallel until one is answered.
    """

    def __init__(
        self,
        address: Address,
        settings: SocketSettings,
        silence_limit_s: float,
        on_list: Callable[[ListFollower, EndpointList], None],
    ) -> None:
        """Start following.

        Args:
            address: The address of discovery.
            settings: Names of zones and kinds.
            silence_limit_s: A watch that receives nothing for this time counts as lost.
            on_list: Called with each list as soon as it is read.
        """
        self._address = address
        self._settings = settings
        self._on_list = on_list
        self._silence_limit_s = silence_limit_s
        self._version: int | None = None  # valid for this address only: another agent may number versions differently
        self._version_call: DiscoveryCall | None = None  # the call that brought it
        self._loop = asyncio.get_running_loop()
        self._calls: list[DiscoveryCall] = []  # the oldest first
        self._active_call: DiscoveryCall | None = None
        self._task = self._loop.create_task(self._run())

    def stop(self) -> None:
        """Cancel the watch and all calls."""
        self._task.cancel()
        self._cancel_calls(self._calls)

    def _cancel_calls(self, calls: list[DiscoveryCall]) -> None:
        for call in list(calls):
            call.task.cancel()
            self._calls.remove(call)

    def _inactive_calls(self) -> list[DiscoveryCall]:
        return [call for call in self._calls if call is not self._active_call]

    async def _run(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if self._active_call is not None:
                backoff_s = INITIAL_BACKOFF_S
                remaining_s = self._active_call.last_received_s + self._silence_limit_s - self._loop.time()
                if remaining_s > 0:
                    self._cancel_calls(self._inactive_calls())
                    await asyncio.wait({self._active_call.task}, timeout=remaining_s)
                    continue
            call = DiscoveryCall(self, self._loop.time(), self._version)
            self._calls.append(call)
            if len(self._calls) > MAX_CONCURRENT_CALLS:
                self._cancel_calls(self._inactive_calls()[:1])
            # The jitter keeps limiters that lost discovery together from retrying at the same time.
            await asyncio.wait({call.task}, timeout=CALL_INTERVAL_S * random.uniform(*CALL_INTERVAL_JITTER))
            if call.task.done() and call is not self._active_call:
                await asyncio.sleep(backoff_s * random.uniform(*BACKOFF_JITTER))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def run_call(self, call: DiscoveryCall) -> None:
        """Fetch the complete list if there is none yet, then watch its changes."""
        try:
            if self._version is None:
                await self._fetch(call)
            await self._watch(call)
        except Exception as error:  # any failure ends only this call; `_run` starts another  # noqa: BLE001
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
        async with aclosing(self._get(LIST_PATH)) as parts:
            async for part in parts:
                body += part
                if len(body) > MAX_LIST_BYTES:
                    raise DiscoveryError("the list is too long")
        self._apply_list(call, bytes(body))
        self._record_answer(call)

    async def _watch(self, call: DiscoveryCall) -> None:
        splitter = JsonObjectSplitter()
        async with aclosing(self._get(f"{LIST_PATH}?watch=1&after={self._version or 0}")) as parts:
            async for part in parts:
                self._record_answer(call)
                for text in splitter.feed(part):
                    self._apply_list(call, text)

    async def _get(self, target: str) -> AsyncGenerator[bytes, None]:
        """Yield an empty part once the response has begun, then the parts of its body as they arrive."""
        host, port = self._address
        reader, writer = await asyncio.open_connection(host, port)
        try:
            http = h11.Connection(h11.CLIENT)
            request = h11.Request(method="GET", target=target, headers=[("Host", f"{host}:{port}")])
            writer.write((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(READ_BYTES))
                elif isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.Response):
                    if event.status_code != HTTP_OK:
                        raise DiscoveryError(f"{target}: HTTP status {event.status_code}, expected {HTTP_OK}")
                    yield b""
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    return
        finally:
            writer.transport.abort()

    def _apply_list(self, call: DiscoveryCall, text: bytes) -> None:
        try:
            listed = parse_endpoint_list(json.loads(text), self._settings)
        except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
            # Later changes build on the unreadable one, so the complete list has to be fetched again.
            self._version = None
            raise DiscoveryError(f"a line cannot be read: {error!r}") from None
        if listed.is_complete:
            if self._is_outdated(call, listed.version):
                return
        elif self._version is not None and listed.version <= self._version:
            if call.known_version is not None and listed.version < call.known_version:
                # A watch brings only later changes, so discovery has restarted and counts versions anew.
                self._version = None
                raise DiscoveryError(f"version {listed.version} after {call.known_version}: the versions start anew")
            return  # from a call that was answered late: another call has already applied these and later changes
        self._version = listed.version
        self._version_call = call
        self._on_list(self, listed)

    def _is_outdated(self, call: DiscoveryCall, version: int) -> bool:
        """Whether a complete list is older than what another call has brought since this one started.

        A version below the one that was known when the call started is not older: discovery has restarted, and counts
        versions anew.
        """
        if self._version is None or version >= self._version or call is self._version_call:
            return False
        return call.known_version is None or version >= call.known_version


class Discovery:
    """Follows the server list at the configured address, which a reload may change.

    Attributes:
        silence_limit_s: A watch that receives nothing for this time counts as lost.
    """

    def __init__(self, settings: SocketSettings, on_list: Callable[[EndpointList], None]) -> None:
        """Initialise without an address; `follow` sets one.

        Args:
            settings: Names of zones and kinds.
            on_list: Called with each list.
        """
        self._settings = settings
        self._on_list = on_list
        self._address: Address | None = None
        self._current: ListFollower | None = None  # has received a list
        self._next: ListFollower | None = None  # follows a new address and has not received a list yet
        self.silence_limit_s = SILENCE_LIMIT_S

    def address(self) -> str:
        """Return the address that is followed, as text; empty before the first call of `follow`."""
        return "%s:%d" % self._address if self._address is not None else ""

    def follow(self, address: Address) -> None:
        """Start following `address` at once.

        The old watch stays open until the new address sends its first list: the old agent keeps sending for a while,
        and a drain may arrive through it. A follower that has received nothing yet is stopped, so that after several
        reloads only the last address is followed.
        """
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
            self._current = follower
            self._next = None
        if follower is self._current:
            self._on_list(listed)

    def stop(self) -> None:
        """Stop following."""
        for follower in (self._current, self._next):
            if follower is not None:
                follower.stop()
