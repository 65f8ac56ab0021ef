"""Clients' connections: commands in, answers out in their order, and the drain before an exit."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import cast

from elderlock import interface as api
from elderlock.net.gateway import Command, Gateway
from elderlock.net.resp import CommandReader, ProtocolError

# Of the descriptors, for client connections that have asked; beyond it the longest idle ends. Clients hold a third at
# most for requests: those that ask once and keep theirs for good would leave no other client a connection.
KEPT_SHARE = 1 / 6
CLIENT_SHARE = 0.45  # of the descriptors; clients hold a third at most for requests, servers have their own
RECEIVE = 1 << 14  # bytes read at once, whatever a client sends: with one command the most kept of it
READ = b"API.READ"
ARGUMENTS = {READ: 4, b"API.WRITE": 5}  # of each request, its verb counted; the fifth is the body
LONGEST_TERMS = 1024
MOST_READ = 256  # lists of names and values kept as read; a flood of new ones costs their reading alone
MOST_OWED = 64  # answers owed on one connection, beyond which no further command of it is taken
MOST_WAITING = 1 << 17  # bytes of commands that wait on one connection; two of the longest find room
MOST_READINGS = 64  # kept times at which waiting bytes came; beyond it those of later ones count as come earlier
MOST_ERRORS = 16  # in a row on one connection: who sends but these is no client of ours
SILENT_FOR = 2.0  # s that a connection may stand without a whole command, or a client not read its answers
LOOK_EVERY = 0.5  # s between looks for such: within 3 s of connecting each has an error or a close
LINGER = 0.5  # s that a client has to read its last answer and close in turn
MOST_DROPPED = 1 << 18  # bytes read and dropped in that time
FRESH_FOR = 0.1  # s from its last command in which a kept connection is not ended for being idle
FLUSH = 0.1  # s that the last answers have to leave before the end
POLL = 0.01  # s in which the loop reads what has come in already, before connections are closed
LONGEST_WAIT = 600_000.0  # ms
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
REQUEST_ID = re.compile(rb"[!-~]{1,128}")
# The protocol's numbers: float() would take 1_0, 1e3, infinity and spaces as well, int() cut 1.7 to 1
WHOLE = re.compile(r"[0-9]{1,9}")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class CommandError(Exception):
    """What the client is told of a command that cannot be taken."""


class Reader:
    """Reads requests against the settings' names. `API.READ` serves the classes that are safe to repeat, `API.WRITE`,
    which carries a body, each class; what a repeat may do is told by the class alone."""

    def __init__(self, settings: api.Settings, largest: float) -> None:
        self._largest = largest
        self._classes = {c.name: i for i, c in enumerate(settings.request_classes)}
        self._effects = [c.idempotency for c in settings.request_classes]
        self._plans = {plan.name: i for i, plan in enumerate(settings.plans)}
        self._limiters = settings.limiter_count
        self._read: dict[bytes, Terms] = {}

    def command(self, parts: list[bytes]) -> Command:
        """Raises `CommandError` with what the client is told."""
        verb, arguments = parts[0].upper(), ARGUMENTS[parts[0].upper()]
        if len(parts) != arguments:
            raise CommandError(f"wrong number of arguments for {verb.decode()}")
        customer, name, terms = parts[1:4]
        if not CUSTOMER.fullmatch(customer) or int(customer, 16) >= 1 << 33:
            raise CommandError("the customer is not 16 hex digits below 2^33")
        if not REQUEST_ID.fullmatch(name):
            raise CommandError("the request's id is empty, too long or not plain text")
        read = self._read.get(terms)
        if read is None:
            if len(self._read) >= MOST_READ:
                self._read.clear()
            read = self._read[terms] = self._terms(terms)
        if verb == READ and self._effects[read.class_index] is not api.Idempotency.IDEMPOTENT:
            raise CommandError("API.READ serves no class that may not simply be repeated")
        return Command(
            name,
            read.class_index,
            read.plan_index,
            customer.decode("ascii").lower(),
            read.wait,
            read.units,
            read.spread,
            read.first,
            _encoder(parts, read.before, read.after),
            sum(map(len, parts)),
        )

    def _terms(self, terms: bytes) -> Terms:
        if len(terms) > LONGEST_TERMS:
            raise CommandError("the list of names and values is too long")
        try:
            text = terms.decode("ascii")
        except UnicodeDecodeError:
            raise CommandError("the list of names and values is not plain text") from None
        pairs = [part.partition("=") for part in text.split(",")]
        values = {key: value for key, _, value in pairs}
        if len(values) != len(pairs) or not all(found for _, found, _ in pairs):
            raise CommandError("the list of names and values is not one of name=value, each name once")
        read = Terms(
            _index(self._classes, values, "c", "class"),
            _index(self._plans, values, "t", "plan"),
            _number(values, "d", DECIMAL, 1.0, LONGEST_WAIT),
            _number(values, "units", DECIMAL, 1e-9, self._largest),
            int(_number(values, "spread", WHOLE, 1, self._limiters)),
            int(_number(values, "first", WHOLE, 0, self._limiters - 1)),
        )
        # it goes on as it came, but for `d`
        at = [key for key, _, _ in pairs].index("d")
        read.before = ("".join(f"{key}={value}," for key, _, value in pairs[:at]) + "d=").encode("ascii")
        read.after = "".join(f",{key}={value}" for key, _, value in pairs[at + 1 :]).encode("ascii")
        return read


@dataclass(slots=True)
class Terms:
    """A list of names and values as read; clients send few different ones, so they are kept."""

    class_index: int
    plan_index: int
    wait: float
    units: float
    spread: int
    first: int
    before: bytes = b""
    after: bytes = b""


def _index(names: dict[str, int], values: dict[str, str], key: str, what: str) -> int:
    index = names.get(values.get(key, ""))
    if index is None:
        raise CommandError(f"unknown {what}")
    return index


def _number(values: dict[str, str], key: str, form: re.Pattern[str], least: float, most: float) -> float:
    text = values.get(key, "")
    if not form.fullmatch(text):
        raise CommandError(f"'{key}' is missing or not a number between {least:g} and {most:g}")
    number = float(text)
    if not least <= number <= most:
        raise CommandError(f"'{key}' is out of range: between {least:g} and {most:g}")
    return number


def _encoder(parts: list[bytes], before: bytes, after: bytes) -> Callable[[float], bytes]:
    """The command goes on as it came, but for `d`, which tells how long we will wait."""
    head = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts[:3])
    tail = b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts[4:])

    def encode(wait: float) -> bytes:
        terms = b"%b%d%b" % (before, max(1, int(wait)), after)
        return b"%b$%d\r\n%b\r\n%b" % (head, len(terms), terms, tail)

    return encode


class Owed:
    """The place of one answer among those of its connection."""

    __slots__ = ("answer", "request")

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer
        self.request: str | None = None


class ClientConnection(asyncio.BufferedProtocol):
    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._reader = CommandReader()
        self._transport: asyncio.Transport | None = None
        self._owed: deque[Owed] = deque()
        self._ending = self._half_closed = self._reading = self._clogged = self._paused = False
        self._errors = self._dropped = self._fed = 0
        self._came: deque[tuple[int, float]] = deque()  # up to which of the bytes fed, when (s); of those that wait
        self._linger: asyncio.TimerHandle | None = None
        self.used = False
        self.since = clients.loop.time()  # when it began to wait for a whole command, or to be read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop has no common base class
        self._clients.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._clients.closed(self)
        if self._linger is not None:
            self._linger.cancel()
        self._gone()

    def eof_received(self) -> None:
        """The client has gone. Its descriptor is free once what was written to it has left, or after `LINGER`:
        one that never reads would keep the transport from telling that the connection is lost."""
        self._gone()
        if self._linger is None:
            self._linger = self._clients.loop.call_later(LINGER, self.abort)

    def _gone(self) -> None:
        """Nobody waits any more: nothing is sent on, or sent again, for what is still owed here."""
        self._ending = True
        owed, self._owed = self._owed, deque()
        for place in owed:
            if place.request is not None and place.answer is None:
                self._clients.gateway.client_gone(place.request)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._clients.received  # one for all: what is read is taken out before the next read

    def buffer_updated(self, nbytes: int) -> None:
        if self._ending:
            # dropped, so that the close does not reset the last answer away; but not for ever
            self._dropped += nbytes
            if self._dropped > MOST_DROPPED:
                self.abort()
            return
        now = self._clients.loop.time()
        if not self._reader.pending():
            self.since = now
        self._reader.feed(self._clients.received[:nbytes])
        self._fed += nbytes
        at = now if len(self._came) < MOST_READINGS else self._came.pop()[1]
        self._came.append((self._fed, at))
        self._read()

    def _full(self) -> bool:
        """Whether no further command is taken for now."""
        return self._clogged or len(self._owed) >= MOST_OWED

    def _read(self) -> None:
        """Takes whole commands while not too much is owed; the rest waits in the reader."""
        self._reading = True
        try:
            while not self._ending and not self._full():
                message = self._reader.next()
                if message is None:
                    break
                self._command(message, self._waited())
        except ProtocolError as error:
            self.broken(f"Protocol error: {error}")
        finally:
            self._reading = False
        self._throttle()
        self.close_if_done()

    def _waited(self) -> float:
        """ms since the last byte of the command read just now came: its client's patience runs from then."""
        used = self._fed - self._reader.pending()
        while self._came[0][0] < used:
            self._came.popleft()
        return (self._clients.loop.time() - self._came[0][1]) * 1000.0

    def _command(self, parts: list[bytes], waited: float) -> None:
        self.used, self.since = True, self._clients.loop.time()
        self._clients.asked(self)
        verb = parts[0].upper()
        place = Owed()
        self._owed.append(place)
        if verb in ARGUMENTS:
            try:
                command = self._clients.reader.command(parts)
                if waited >= 1.0:
                    command = replace(command, wait=command.wait - waited)
                place.request = self._clients.gateway.arrived(command, partial(self._answered, place))
            except CommandError as error:
                self._mistaken(place, str(error))
            else:
                self._errors = 0
        elif verb == b"PING":
            if self._clients.cordoned:
                self._answered(place, b"-LOADING drained by an operator\r\n")
            else:
                ready = self._clients.gateway.has_list
                self._answered(place, b"+PONG\r\n" if ready else b"-LOADING no list of servers yet\r\n")
        else:
            self._mistaken(place, "unknown command")

    def _mistaken(self, place: Owed, text: str) -> None:
        self._answered(place, b"-ERR %b\r\n" % text.encode())
        self._errors += 1
        if self._errors >= MOST_ERRORS:
            # each has its answer: a line more would be read as a second one to the last
            self._ending = True
            self.close_if_done()

    def broken(self, text: str) -> None:
        """Nothing that follows is of use any more: what is owed is answered, then it closes."""
        if self._ending:
            return
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
        self._read_on()
        self.close_if_done()

    def _read_on(self) -> None:
        """What waits in the reader is taken once there is room; on the loop's next step, as this may be one of it."""
        if not self._reading and not self._ending and not self._full() and self._reader.pending():
            self._clients.loop.call_soon(self._read)

    def close_if_done(self) -> None:
        if self._owed or self._transport is None or not (self._ending or self._clients.draining):
            return
        if not self._ending and (self._reading or self._reader.pending()):
            return  # commands that have come in, wholly or in part, are owed an answer before a drain closes
        if not self._transport.is_closing() and not self._half_closed:
            self._half_close()

    def retire(self) -> None:
        """Ends it while nothing is owed on it; a request that crosses that is sent once more by its client."""
        if self._transport is not None and not self._transport.is_closing() and not self._half_closed:
            self._half_close()

    def _half_close(self) -> None:
        # Only our side is closed, and what still comes in is dropped: a close with input unread, or
        # crossing a further request, would reset the connection and take the last answer with it.
        assert self._transport is not None
        self._ending = self._half_closed = True
        self._clients.leaves(self)
        self._transport.resume_reading()
        self._transport.write_eof()
        self._linger = self._clients.loop.call_later(LINGER, self.abort)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def idle(self) -> bool:
        return not self._owed and not self._ending and self.flushed()

    def flushed(self) -> bool:
        """Whether all that was answered has left: an abort would take the rest with it."""
        return self._transport is None or not self._transport.get_write_buffer_size()

    def look(self, before: float) -> None:
        """Ends it where it has waited too long: for a whole command that was begun or never came, or for
        its client to read. A client that sends nothing or half a command would keep its descriptor."""
        if self.since >= before or self._half_closed:
            return
        if self._clogged:
            self.abort()
        elif not self._owed and not self._ending and (not self.used or self._reader.pending()):
            self.broken("no whole command in time")

    # Of a client that does not read its answers, or asks for too many at once, no more commands are taken

    def pause_writing(self) -> None:
        self._clogged, self.since = True, self._clients.loop.time()
        self._throttle()

    def resume_writing(self) -> None:
        self._clogged = False
        self._throttle()
        self._read_on()

    def _throttle(self) -> None:
        # read on as long as it is bearable: the end of a connection that is not read from is not seen either
        pause = self._full() and self._reader.pending() >= MOST_WAITING
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
        self.reader = Reader(gateway.settings, gateway.largest)
        self.received = memoryview(bytearray(RECEIVE))
        self.draining = False
        self.cordoned = False  # by an operator, who may end that again
        self.on_cordon: Callable[[bool], None] | None = None  # another front end, which is cordoned with us
        self._most = int(sockets * CLIENT_SHARE)
        self._kept = int(sockets * KEPT_SHARE)
        # in the order of their last whole command, the longest ago first; those that only wait for their
        # client to close, and those that have not given one yet, go before the others
        self._connections: dict[ClientConnection, None] = {}
        self._unused: dict[ClientConnection, None] = {}
        self._leaving: dict[ClientConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._empty = asyncio.Event()
        self._leaves_for_good = False

    async def listen(self, host: str, port: int) -> int:
        """Listens there and returns the port, which the kernel may have chosen."""
        self._server = await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=1024)
        self._look()
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def _look(self) -> None:
        self.loop.call_later(LOOK_EVERY, self._look)
        before = self.loop.time() - SILENT_FOR
        for connection in [*self._connections, *self._unused]:
            connection.look(before)

    def opened(self, connection: ClientConnection) -> None:
        self._unused[connection] = None
        self._empty.clear()
        if len(self) > self._most:
            victim = self._victim(connection) or connection
            self.closed(victim)  # it no longer counts, so that the next one is spared
            victim.abort()

    def __len__(self) -> int:
        return len(self._connections) + len(self._unused) + len(self._leaving)

    def _victim(self, newest: ClientConnection) -> ClientConnection | None:
        """Whose descriptor is taken where they are few. The first of each kind is nearly always the one,
        so that a flood of connections costs no look at all of them for each."""
        for connection in self._leaving:
            if connection.flushed():
                return connection
        for connection in self._unused:
            if connection is not newest and connection.idle():
                return connection
        # However lately it was used: its client asks once more on a new one if a request crosses the
        # close, while a connection that is turned away nearly always brings a request, which then fails.
        for connection in self._connections:
            if connection.idle():
                return connection
        return None

    def asked(self, connection: ClientConnection) -> None:
        """It has given a whole command: it goes last of all."""
        self._unused.pop(connection, None)
        self._connections.pop(connection, None)
        self._connections[connection] = None
        if len(self._connections) > self._kept:
            self._retire_one()

    def _retire_one(self) -> None:
        """The first is nearly always the one. One that was used just now is in use again and again: to end it would
        cost a connection for each request."""
        before = self.loop.time() - FRESH_FOR
        for connection in self._connections:
            if connection.since > before:
                return
            if connection.idle():
                return connection.retire()

    def leaves(self, connection: ClientConnection) -> None:
        self._unused.pop(connection, None)
        self._connections.pop(connection, None)
        self._leaving[connection] = None

    def closed(self, connection: ClientConnection) -> None:
        for connections in (self._leaving, self._unused, self._connections):
            connections.pop(connection, None)
        if not len(self):
            self._empty.set()

    def cordon(self) -> None:
        """Tells the front to stay away and closes each connection when nothing is owed on it. What still
        comes is served, so that no request is lost to a drain; `uncordon` ends it."""
        if not self.cordoned:
            self.cordoned = True
            self._tell_cordon()
            # as in `drain`: a request that is already here must not meet a closed connection
            self.loop.call_later(POLL, self._close_idle)

    def _close_idle(self) -> None:
        if self.cordoned:
            self.draining = True
            for connection in list(self._connections):
                connection.close_if_done()

    def uncordon(self) -> None:
        if self.cordoned and not self._leaves_for_good:
            self.cordoned = self.draining = False
            self._tell_cordon()

    def _tell_cordon(self) -> None:
        if self.on_cordon is not None:
            self.on_cordon(self.cordoned)

    async def drain(self, accept_for: float, at_most: float) -> None:
        """Goes on accepting for `accept_for` seconds, as the front still sends new connections; closes
        each connection when nothing is owed on it; returns when none is left. What is open after `at_most`
        is failed, and its answer is given the time to leave."""
        # A request that is already here must not meet a closed connection, and one that was never used
        # was opened to carry a request just now: both would look lost to the client.
        self._leaves_for_good = True
        ends = self.loop.time() + at_most
        await asyncio.sleep(POLL)
        self.draining = True
        for connection in list(self._connections):
            connection.close_if_done()
        await asyncio.sleep(min(accept_for, at_most))
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(POLL)
        for connection in [*self._connections, *self._unused]:
            connection.close_if_done()  # those that were opened meanwhile and never used
        if not await self._none_left(ends - self.loop.time()):
            self.gateway.fail_open()
            await self._none_left(FLUSH)

    async def _none_left(self, within: float) -> bool:
        """Waits till no connection is left, `within` seconds at most; whether none is."""
        if len(self):
            self._empty.clear()
            try:
                async with asyncio.timeout(within):
                    await self._empty.wait()
            except TimeoutError:
                return False
        return True
