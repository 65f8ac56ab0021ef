"""Clients' connections: commands in, answers out in their order, and the drain before an exit."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from functools import partial
from math import isfinite
from typing import Any, cast

import hiredis

from elderlock import interface as api
from elderlock.net.gateway import Command, Gateway

CLIENT_SHARE = 0.5  # of the descriptors; servers have their own share
LONGEST_COMMAND = 1 << 17  # bytes buffered for one command; values hold at most 64 KiB
LONGEST_TERMS = 1024
MOST_OWED = 256  # answers owed on one connection, beyond which it is not read from
LINGER = 1.0  # s that a client has to read its last answer and close in turn
POLL = 0.01  # s in which the loop reads what has come in already, before connections are closed
LONGEST_WAIT = 600_000.0  # ms
MISSING = object()
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
# A header that promises far more than any command holds: the reader would set room aside for all of it
OVERSIZED = re.compile(rb"\*(\d{4,}|\d+\r\n\$\d{6,})")
REQUEST_ID = re.compile(rb"[!-~]{1,128}")


class CommandError(Exception):
    """What the client is told of a command that cannot be taken."""


class Reader:
    """Reads API.READ against the settings' names."""

    def __init__(self, settings: api.Settings) -> None:
        self._classes = {c.name: i for i, c in enumerate(settings.classes) if c.effect is api.Effect.SAFE}
        self._plans = {plan.name: i for i, plan in enumerate(settings.plans)}
        self._limiters = settings.limiters

    def command(self, parts: list[Any]) -> Command:
        if len(parts) != 4:
            raise CommandError("wrong number of arguments for API.READ")
        _, customer, name, terms = parts
        if not CUSTOMER.fullmatch(customer) or int(customer, 16) >= 1 << 33:
            raise CommandError("the customer is not 16 hex digits below 2^33")
        if not REQUEST_ID.fullmatch(name):
            raise CommandError("the request's id is empty, too long or not plain text")
        if len(terms) > LONGEST_TERMS:
            raise CommandError("the list of names and values is too long")
        try:
            text = terms.decode("ascii")
            pairs = [part.partition("=") for part in text.split(",")]
            values = {key: value for key, _, value in pairs}
            if len(values) != len(pairs) or not all(found for _, found, _ in pairs):
                raise CommandError("the list of names and values is not one of name=value, each name once")
            return Command(
                class_index=_index(self._classes, values, "c", "class"),
                plan_index=_index(self._plans, values, "t", "plan"),
                customer=customer.decode("ascii").lower(),
                wait=_number(values, "d", 1.0, LONGEST_WAIT),
                units=_number(values, "units", 0.0, 1e6),
                spread=int(_number(values, "spread", 1, self._limiters)),
                first=int(_number(values, "first", 0, self._limiters - 1)),
                encode=_encoder(customer, name, pairs),
            )
        except UnicodeDecodeError:
            raise CommandError("the list of names and values is not plain text") from None


def _index(names: dict[str, int], values: dict[str, str], key: str, what: str) -> int:
    index = names.get(values.get(key, ""))
    if index is None:
        raise CommandError(f"unknown {what}")
    return index


def _number(values: dict[str, str], key: str, least: float, most: float) -> float:
    try:
        number = float(values[key])
    except (KeyError, ValueError):
        raise CommandError(f"'{key}' is missing or not a number") from None
    if not isfinite(number) or not least <= number <= most:
        raise CommandError(f"'{key}' is out of range")
    return number


def _encoder(
    customer: bytes, name: bytes, pairs: list[tuple[str, str, str]]
) -> Callable[[float], bytes]:
    """The command goes on as it came, but for `d`, which tells how long we will wait."""
    head = b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n%b\r\n$%d\r\n%b\r\n" % (customer, len(name), name)
    at = [key for key, _, _ in pairs].index("d")
    before = "".join(f"{key}={value}," for key, _, value in pairs[:at]) + "d="
    after = "".join(f",{key}={value}" for key, _, value in pairs[at + 1 :])

    def encode(wait: float) -> bytes:
        terms = f"{before}{max(1, int(wait))}{after}".encode("ascii")
        return b"%b$%d\r\n%b\r\n" % (head, len(terms), terms)

    return encode


class Owed:
    """The place of one answer among those of its connection."""

    __slots__ = ("answer", "request")

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer
        self.request: str | None = None


class ClientConnection(asyncio.Protocol):
    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._reader = hiredis.Reader(notEnoughData=MISSING)
        self._transport: asyncio.Transport | None = None
        self._owed: deque[Owed] = deque()
        self._buffered = 0
        self._ending = self._half_closed = self._reading = self._clogged = self._paused = False
        self.used = False
        self.used_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop has no common base class
        self.used_at = self._clients.gateway.now()
        self._clients.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._clients.closed(self)
        self._ending = True
        owed, self._owed = self._owed, deque()
        for place in owed:
            if place.request is not None and place.answer is None:
                self._clients.gateway.client_gone(place.request)

    def data_received(self, data: bytes) -> None:
        if self._ending:
            return
        if not self._buffered and OVERSIZED.match(data):
            return self._broken("Protocol error: command too long")
        self._buffered += len(data)
        try:
            self._reader.feed(data)
        except (hiredis.HiredisError, ValueError, MemoryError):
            return self._broken("Protocol error")
        self._read()

    def _read(self) -> None:
        """Takes whole commands while not too much is owed; the rest waits in the reader."""
        self._reading = True
        try:
            self._take()
        finally:
            self._reading = False
        self._throttle()
        self.close_if_done()

    def _take(self) -> None:
        while not self._ending and len(self._owed) < MOST_OWED:
            try:
                message = self._reader.gets()
            except (hiredis.HiredisError, ValueError, MemoryError):
                return self._broken("Protocol error")
            if message is MISSING:
                if self._buffered > LONGEST_COMMAND:
                    self._broken("Protocol error: command too long")
                break
            # what is left belongs to the commands that follow, or a busy connection would come to its bound
            self._buffered = self._reader.len() if self._reader.has_data() else 0
            if not isinstance(message, list) or not message or not all(type(p) is bytes for p in message):
                return self._broken("Protocol error: expected an array of bulk strings")
            self._command(message)

    def _command(self, parts: list[Any]) -> None:
        self.used, self.used_at = True, self._clients.gateway.now()
        verb = parts[0].upper()
        place = Owed()
        self._owed.append(place)
        if verb == b"API.READ":
            try:
                command = self._clients.reader.command(parts)
            except CommandError as error:
                self._answered(place, b"-ERR %b\r\n" % str(error).encode())
            else:
                place.request = self._clients.gateway.arrived(command, partial(self._answered, place))
        elif verb == b"PING":
            ready = self._clients.gateway.has_list
            self._answered(place, b"+PONG\r\n" if ready else b"-LOADING no list of servers yet\r\n")
        else:
            self._answered(place, b"-ERR unknown command\r\n")

    def _broken(self, text: str) -> None:
        """Nothing that follows can be told apart any more: what is owed is answered, then it closes."""
        self._ending = True
        self._owed.append(Owed(b"-ERR %b\r\n" % text.encode()))
        self._flush()

    def _answered(self, place: Owed, answer: bytes) -> None:
        place.answer = answer
        if self._owed and self._owed[0] is place:
            self._flush()

    def _flush(self) -> None:
        ready = []
        while self._owed and (answer := self._owed[0].answer) is not None:
            ready.append(answer)
            self._owed.popleft()
        if ready and self._transport is not None:
            self._transport.write(b"".join(ready))
        if self._paused and not self._ending and len(self._owed) < MOST_OWED:
            self._clients.loop.call_soon(self._read)
        self.close_if_done()

    def close_if_done(self) -> None:
        if self._owed or self._transport is None or not (self._ending or self._clients.draining):
            return
        if not self._ending and (self._reading or self._reader.has_data()):
            return  # commands that have come in, wholly or in part, are owed an answer before a drain closes
        if not self._transport.is_closing() and not self._half_closed:
            # Only our side is closed, and what still comes in is dropped: a close with input unread, or
            # crossing a further request, would reset the connection and take the last answer with it.
            self._ending = self._half_closed = True
            self._transport.resume_reading()
            self._transport.write_eof()
            self._clients.loop.call_later(LINGER, self._transport.abort)

    def retire(self) -> None:
        self._ending = True
        self.close_if_done()

    def idle(self) -> bool:
        return not self._owed and not self._ending

    # A client that does not read its answers, or asks for too many at once, is not read from

    def pause_writing(self) -> None:
        self._clogged = True
        self._throttle()

    def resume_writing(self) -> None:
        self._clogged = False
        self._throttle()

    def _throttle(self) -> None:
        pause = self._clogged or len(self._owed) >= MOST_OWED
        if self._transport is None or self._transport.is_closing() or pause == self._paused:
            return
        self._paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


class Clients:
    """The listener and all client connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, gateway: Gateway, sockets: int) -> None:
        self.loop, self.gateway = loop, gateway
        self.reader = Reader(gateway.settings)
        self.draining = False
        self._most = int(sockets * CLIENT_SHARE)
        self._connections: set[ClientConnection] = set()
        self._server: asyncio.Server | None = None
        self._empty = asyncio.Event()

    async def listen(self, host: str, port: int) -> int:
        """Listens there and returns the port, which the kernel may have chosen."""
        self._server = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=1024
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def opened(self, connection: ClientConnection) -> None:
        self._connections.add(connection)
        self._empty.clear()
        if len(self._connections) > self._most:
            # descriptors are few: the one that nothing is owed on and that was used longest ago goes
            idle = [c for c in self._connections if c.idle() and c is not connection]
            victim = min(idle, key=lambda c: c.used_at, default=connection)
            victim.retire()

    def closed(self, connection: ClientConnection) -> None:
        self._connections.discard(connection)
        if not self._connections:
            self._empty.set()

    async def drain(self, accept_for: float, at_most: float) -> None:
        """Goes on accepting for `accept_for` seconds, as the front still sends new connections; closes
        each connection when nothing is owed on it; returns when none is left, or after `at_most`."""
        # A request that is already here must not meet a closed connection, and one that was never used
        # was opened to carry a request just now: both would look lost to the client.
        await asyncio.sleep(POLL)
        self.draining = True
        for connection in list(self._connections):
            if connection.used:
                connection.close_if_done()
        await asyncio.sleep(accept_for)
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(POLL)
        for connection in list(self._connections):
            connection.close_if_done()  # those that were opened meanwhile and never used
        if not self._connections:
            return
        self._empty.clear()
        try:
            async with asyncio.timeout(at_most - accept_for):
                await self._empty.wait()
        except TimeoutError:
            pass
