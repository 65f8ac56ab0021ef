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
IDLE_DESCRIPTOR_FRACTION = 1 / 6
CLIENT_DESCRIPTOR_FRACTION = (
    0.45  # of the descriptors; clients hold a third at most for requests, servers have their own
)
RECEIVE_BUFFER_BYTES = 1 << 14  # bytes read at once, whatever a client sends: with one command the most kept of it
READ_VERB = b"API.READ"
ARGUMENT_COUNTS = {READ_VERB: 4, b"API.WRITE": 5}  # of each request, its verb counted; the fifth is the body
MAX_TERMS_BYTES = 1024
MAX_CACHED_TERMS = 256  # lists of names and values kept as read; a flood of new ones costs their reading alone
MAX_PENDING_ANSWERS = 64  # answers owed on one connection, beyond which no further command of it is taken
MAX_UNREAD_BYTES = 1 << 17  # bytes of commands that wait on one connection; two of the longest find room
MAX_ARRIVAL_TIMES = 64  # kept times at which waiting bytes came; beyond it those of later ones count as come earlier
MAX_CONSECUTIVE_ERRORS = 16  # in a row on one connection: who sends but these is no client of ours
SILENCE_LIMIT_S = 2.0  # s that a connection may stand without a whole command, or a client not read its answers
TIMEOUT_CHECK_INTERVAL_S = 0.5  # s between looks for such: within 3 s of connecting each has an error or a close
LINGER_S = 0.5  # s that a client has to read its last answer and close in turn
MAX_DISCARDED_BYTES = 1 << 18  # bytes read and dropped in that time
RECENT_USE_S = 0.1  # s from its last command in which a kept connection is not ended for being idle
FLUSH_TIMEOUT_S = 0.1  # s that the last answers have to leave before the end
PENDING_INPUT_DELAY_S = 0.01  # s in which the loop reads what has come in already, before connections are closed
MAX_WAIT_MS = 600_000.0  # ms
CUSTOMER_ID_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
# The protocol's numbers: float() would take 1_0, 1e3, infinity and spaces as well, int() cut 1.7 to 1
INTEGER_PATTERN = re.compile(r"[0-9]{1,9}")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class CommandError(Exception):
    """What the client is told of a command that cannot be taken."""


class CommandParser:
    """Reads requests against the settings' names. `API.READ` serves the classes that are safe to repeat, `API.WRITE`,
    which carries a body, each class; what a repeat may do is told by the class alone."""

    def __init__(self, settings: api.Settings, largest: float) -> None:
        self._max_units = largest
        self._classes = {c.name: i for i, c in enumerate(settings.request_classes)}
        self._idempotency = [c.idempotency for c in settings.request_classes]
        self._plans = {plan.name: i for i, plan in enumerate(settings.plans)}
        self._limiters = settings.limiter_count
        self._cached_terms: dict[bytes, RequestTerms] = {}

    def parse(self, parts: list[bytes]) -> Command:
        """Raises `CommandError` with what the client is told."""
        verb, arguments = parts[0].upper(), ARGUMENT_COUNTS[parts[0].upper()]
        if len(parts) != arguments:
            raise CommandError(f"wrong number of arguments for {verb.decode()}")
        customer, name, terms = parts[1:4]
        if not CUSTOMER_ID_PATTERN.fullmatch(customer) or int(customer, 16) >= 1 << 33:
            raise CommandError("the customer is not 16 hex digits below 2^33")
        if not REQUEST_ID_PATTERN.fullmatch(name):
            raise CommandError("the request's id is empty, too long or not plain text")
        read = self._cached_terms.get(terms)
        if read is None:
            if len(self._cached_terms) >= MAX_CACHED_TERMS:
                self._cached_terms.clear()
            read = self._cached_terms[terms] = self._parse_terms(terms)
        if verb == READ_VERB and self._idempotency[read.class_index] is not api.Idempotency.IDEMPOTENT:
            raise CommandError("API.READ serves no class that may not simply be repeated")
        return Command(
            name,
            read.class_index,
            read.plan_index,
            customer.decode("ascii").lower(),
            read.wait_ms,
            read.units,
            read.limiter_count,
            read.first_limiter,
            _encoder_for(parts, read.text_before_wait, read.text_after_wait),
            sum(map(len, parts)),
        )

    def _parse_terms(self, terms: bytes) -> RequestTerms:
        if len(terms) > MAX_TERMS_BYTES:
            raise CommandError("the list of names and values is too long")
        try:
            text = terms.decode("ascii")
        except UnicodeDecodeError:
            raise CommandError("the list of names and values is not plain text") from None
        pairs = [part.partition("=") for part in text.split(",")]
        values = {key: value for key, _, value in pairs}
        if len(values) != len(pairs) or not all(found for _, found, _ in pairs):
            raise CommandError("the list of names and values is not one of name=value, each name once")
        read = RequestTerms(
            _index_of(self._classes, values, "c", "class"),
            _index_of(self._plans, values, "t", "plan"),
            _parse_number(values, "d", DECIMAL_PATTERN, 1.0, MAX_WAIT_MS),
            _parse_number(values, "units", DECIMAL_PATTERN, 1e-9, self._max_units),
            int(_parse_number(values, "spread", INTEGER_PATTERN, 1, self._limiters)),
            int(_parse_number(values, "first", INTEGER_PATTERN, 0, self._limiters - 1)),
        )
        # it goes on as it came, but for `d`
        at = [key for key, _, _ in pairs].index("d")
        read.text_before_wait = ("".join(f"{key}={value}," for key, _, value in pairs[:at]) + "d=").encode("ascii")
        read.text_after_wait = "".join(f",{key}={value}" for key, _, value in pairs[at + 1 :]).encode("ascii")
        return read


@dataclass(slots=True)
class RequestTerms:
    """A list of names and values as read; clients send few different ones, so they are kept."""

    class_index: int
    plan_index: int
    wait_ms: float
    units: float
    limiter_count: int
    first_limiter: int
    text_before_wait: bytes = b""
    text_after_wait: bytes = b""


def _index_of(names: dict[str, int], values: dict[str, str], key: str, what: str) -> int:
    index = names.get(values.get(key, ""))
    if index is None:
        raise CommandError(f"unknown {what}")
    return index


def _parse_number(values: dict[str, str], key: str, form: re.Pattern[str], least: float, most: float) -> float:
    text = values.get(key, "")
    if not form.fullmatch(text):
        raise CommandError(f"'{key}' is missing or not a number between {least:g} and {most:g}")
    number = float(text)
    if not least <= number <= most:
        raise CommandError(f"'{key}' is out of range: between {least:g} and {most:g}")
    return number


def _encoder_for(parts: list[bytes], before: bytes, after: bytes) -> Callable[[float], bytes]:
    """The command goes on as it came, but for `d`, which tells how long we will wait."""
    head = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts[:3])
    tail = b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts[4:])

    def encode(wait: float) -> bytes:
        terms = b"%b%d%b" % (before, max(1, int(wait)), after)
        return b"%b$%d\r\n%b\r\n%b" % (head, len(terms), terms, tail)

    return encode


class PendingAnswer:
    """The place of one answer among those of its connection."""

    __slots__ = ("answer", "request_id")

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer
        self.request_id: str | None = None


class ClientConnection(asyncio.BufferedProtocol):
    def __init__(self, clients: ClientListener) -> None:
        self._listener = clients
        self._reader = CommandReader()
        self._transport: asyncio.Transport | None = None
        self._pending_answers: deque[PendingAnswer] = deque()
        self._is_ending = self._is_half_closed = self._is_reading = self._is_write_blocked = self._is_read_paused = (
            False
        )
        self._consecutive_errors = self._discarded_bytes = self._fed_bytes = 0
        self._arrival_times: deque[tuple[int, float]] = (
            deque()
        )  # up to which of the bytes fed, when (s); of those that wait
        self._linger_timer: asyncio.TimerHandle | None = None
        self.has_sent_command = False
        self.waiting_since_s = clients.loop.time()  # when it began to wait for a whole command, or to be read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop has no common base class
        self._listener.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.connection_closed(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._abandon_pending()

    def eof_received(self) -> None:
        """The client has gone. Its descriptor is free once what was written to it has left, or after `LINGER`:
        one that never reads would keep the transport from telling that the connection is lost."""
        self._abandon_pending()
        if self._linger_timer is None:
            self._linger_timer = self._listener.loop.call_later(LINGER_S, self.abort)

    def _abandon_pending(self) -> None:
        """Nobody waits any more: nothing is sent on, or sent again, for what is still owed here."""
        self._is_ending = True
        owed, self._pending_answers = self._pending_answers, deque()
        for place in owed:
            if place.request_id is not None and place.answer is None:
                self._listener.gateway.client_disconnected(place.request_id)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._listener.receive_buffer  # one for all: what is read is taken out before the next read

    def buffer_updated(self, nbytes: int) -> None:
        if self._is_ending:
            # dropped, so that the close does not reset the last answer away; but not for ever
            self._discarded_bytes += nbytes
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        now = self._listener.loop.time()
        if not self._reader.pending_bytes():
            self.waiting_since_s = now
        self._reader.feed(self._listener.receive_buffer[:nbytes])
        self._fed_bytes += nbytes
        at = now if len(self._arrival_times) < MAX_ARRIVAL_TIMES else self._arrival_times.pop()[1]
        self._arrival_times.append((self._fed_bytes, at))
        self._read_commands()

    def _has_too_many_pending(self) -> bool:
        """Whether no further command is taken for now."""
        return self._is_write_blocked or len(self._pending_answers) >= MAX_PENDING_ANSWERS

    def _read_commands(self) -> None:
        """Takes whole commands while not too much is owed; the rest waits in the reader."""
        self._is_reading = True
        try:
            while not self._is_ending and not self._has_too_many_pending():
                message = self._reader.next_message()
                if message is None:
                    break
                self._handle_command(message, self._waited_ms())
        except ProtocolError as error:
            self.close_with_error(f"Protocol error: {error}")
        finally:
            self._is_reading = False
        self._update_reading()
        self.close_if_done()

    def _waited_ms(self) -> float:
        """ms since the last byte of the command read just now came: its client's patience runs from then."""
        used = self._fed_bytes - self._reader.pending_bytes()
        while self._arrival_times[0][0] < used:
            self._arrival_times.popleft()
        return (self._listener.loop.time() - self._arrival_times[0][1]) * 1000.0

    def _handle_command(self, parts: list[bytes], waited: float) -> None:
        self.has_sent_command, self.waiting_since_s = True, self._listener.loop.time()
        self._listener.command_received(self)
        verb = parts[0].upper()
        place = PendingAnswer()
        self._pending_answers.append(place)
        if verb in ARGUMENT_COUNTS:
            try:
                command = self._listener.parser.parse(parts)
                if waited >= 1.0:
                    command = replace(command, wait_ms=command.wait_ms - waited)
                place.request_id = self._listener.gateway.request_arrived(command, partial(self._answer, place))
            except CommandError as error:
                self._answer_error(place, str(error))
            else:
                self._consecutive_errors = 0
        elif verb == b"PING":
            if self._listener.is_cordoned:
                self._answer(place, b"-LOADING drained by an operator\r\n")
            else:
                ready = self._listener.gateway.has_list
                self._answer(place, b"+PONG\r\n" if ready else b"-LOADING no list of servers yet\r\n")
        else:
            self._answer_error(place, "unknown command")

    def _answer_error(self, place: PendingAnswer, text: str) -> None:
        self._answer(place, b"-ERR %b\r\n" % text.encode())
        self._consecutive_errors += 1
        if self._consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            # each has its answer: a line more would be read as a second one to the last
            self._is_ending = True
            self.close_if_done()

    def close_with_error(self, text: str) -> None:
        """Nothing that follows is of use any more: what is owed is answered, then it closes."""
        if self._is_ending:
            return
        self._is_ending = True
        self._pending_answers.append(PendingAnswer(b"-ERR %b\r\n" % text.encode()))
        self._write_ready_answers()

    def _answer(self, place: PendingAnswer, answer: bytes) -> None:
        place.answer = answer
        if self._pending_answers and self._pending_answers[0] is place:
            self._write_ready_answers()

    def _write_ready_answers(self) -> None:
        ready = []
        while self._pending_answers and (answer := self._pending_answers[0].answer) is not None:
            ready.append(answer)
            self._pending_answers.popleft()
        if ready and self._transport is not None:
            self._transport.write(b"".join(ready))
        self._schedule_read()
        self.close_if_done()

    def _schedule_read(self) -> None:
        """What waits in the reader is taken once there is room; on the loop's next step, as this may be one of it."""
        if (
            not self._is_reading
            and not self._is_ending
            and not self._has_too_many_pending()
            and self._reader.pending_bytes()
        ):
            self._listener.loop.call_soon(self._read_commands)

    def close_if_done(self) -> None:
        if self._pending_answers or self._transport is None or not (self._is_ending or self._listener.is_draining):
            return
        if not self._is_ending and (self._is_reading or self._reader.pending_bytes()):
            return  # commands that have come in, wholly or in part, are owed an answer before a drain closes
        if not self._transport.is_closing() and not self._is_half_closed:
            self._half_close()

    def retire(self) -> None:
        """Ends it while nothing is owed on it; a request that crosses that is sent once more by its client."""
        if self._transport is not None and not self._transport.is_closing() and not self._is_half_closed:
            self._half_close()

    def _half_close(self) -> None:
        # Only our side is closed, and what still comes in is dropped: a close with input unread, or
        # crossing a further request, would reset the connection and take the last answer with it.
        assert self._transport is not None
        self._is_ending = self._is_half_closed = True
        self._listener.connection_half_closed(self)
        self._transport.resume_reading()
        self._transport.write_eof()
        self._linger_timer = self._listener.loop.call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def is_idle(self) -> bool:
        return not self._pending_answers and not self._is_ending and self.is_flushed()

    def is_flushed(self) -> bool:
        """Whether all that was answered has left: an abort would take the rest with it."""
        return self._transport is None or not self._transport.get_write_buffer_size()

    def check_timeout(self, before: float) -> None:
        """Ends it where it has waited too long: for a whole command that was begun or never came, or for
        its client to read. A client that sends nothing or half a command would keep its descriptor."""
        if self.waiting_since_s >= before or self._is_half_closed:
            return
        if self._is_write_blocked:
            self.abort()
        elif (
            not self._pending_answers
            and not self._is_ending
            and (not self.has_sent_command or self._reader.pending_bytes())
        ):
            self.close_with_error("no whole command in time")

    # Of a client that does not read its answers, or asks for too many at once, no more commands are taken

    def pause_writing(self) -> None:
        self._is_write_blocked, self.waiting_since_s = True, self._listener.loop.time()
        self._update_reading()

    def resume_writing(self) -> None:
        self._is_write_blocked = False
        self._update_reading()
        self._schedule_read()

    def _update_reading(self) -> None:
        # read on as long as it is bearable: the end of a connection that is not read from is not seen either
        pause = self._has_too_many_pending() and self._reader.pending_bytes() >= MAX_UNREAD_BYTES
        if self._transport is None or self._transport.is_closing() or pause == self._is_read_paused:
            return
        self._is_read_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


class ClientListener:
    """The listener and all client connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, gateway: Gateway, sockets: int) -> None:
        self.loop, self.gateway = loop, gateway
        self.parser = CommandParser(gateway.settings, gateway.max_request_units)
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.is_draining = False
        self.is_cordoned = False  # by an operator, who may end that again
        self.on_cordon: Callable[[bool], None] | None = None  # another front end, which is cordoned with us
        self._max_connections = int(sockets * CLIENT_DESCRIPTOR_FRACTION)
        self._max_idle = int(sockets * IDLE_DESCRIPTOR_FRACTION)
        # in the order of their last whole command, the longest ago first; those that only wait for their
        # client to close, and those that have not given one yet, go before the others
        self._used: dict[ClientConnection, None] = {}
        self._unused: dict[ClientConnection, None] = {}
        self._leaving: dict[ClientConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._empty = asyncio.Event()
        self._is_shutting_down = False

    async def listen(self, host: str, port: int) -> int:
        """Listens there and returns the port, which the kernel may have chosen."""
        self._server = await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=1024)
        self._check_timeouts()
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def _check_timeouts(self) -> None:
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        before = self.loop.time() - SILENCE_LIMIT_S
        for connection in [*self._used, *self._unused]:
            connection.check_timeout(before)

    def connection_opened(self, connection: ClientConnection) -> None:
        self._unused[connection] = None
        self._empty.clear()
        if len(self) > self._max_connections:
            victim = self._eviction_candidate(connection) or connection
            self.connection_closed(victim)  # it no longer counts, so that the next one is spared
            victim.abort()

    def __len__(self) -> int:
        return len(self._used) + len(self._unused) + len(self._leaving)

    def _eviction_candidate(self, newest: ClientConnection) -> ClientConnection | None:
        """Whose descriptor is taken where they are few. The first of each kind is nearly always the one,
        so that a flood of connections costs no look at all of them for each."""
        for connection in self._leaving:
            if connection.is_flushed():
                return connection
        for connection in self._unused:
            if connection is not newest and connection.is_idle():
                return connection
        # However lately it was used: its client asks once more on a new one if a request crosses the
        # close, while a connection that is turned away nearly always brings a request, which then fails.
        for connection in self._used:
            if connection.is_idle():
                return connection
        return None

    def command_received(self, connection: ClientConnection) -> None:
        """It has given a whole command: it goes last of all."""
        self._unused.pop(connection, None)
        self._used.pop(connection, None)
        self._used[connection] = None
        if len(self._used) > self._max_idle:
            self._retire_oldest_idle()

    def _retire_oldest_idle(self) -> None:
        """The first is nearly always the one. One that was used just now is in use again and again: to end it would
        cost a connection for each request."""
        before = self.loop.time() - RECENT_USE_S
        for connection in self._used:
            if connection.waiting_since_s > before:
                return
            if connection.is_idle():
                return connection.retire()

    def connection_half_closed(self, connection: ClientConnection) -> None:
        self._unused.pop(connection, None)
        self._used.pop(connection, None)
        self._leaving[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        for connections in (self._leaving, self._unused, self._used):
            connections.pop(connection, None)
        if not len(self):
            self._empty.set()

    def cordon(self) -> None:
        """Tells the front to stay away and closes each connection when nothing is owed on it. What still
        comes is served, so that no request is lost to a drain; `uncordon` ends it."""
        if not self.is_cordoned:
            self.is_cordoned = True
            self._notify_cordon()
            # as in `drain`: a request that is already here must not meet a closed connection
            self.loop.call_later(PENDING_INPUT_DELAY_S, self._close_idle)

    def _close_idle(self) -> None:
        if self.is_cordoned:
            self.is_draining = True
            for connection in list(self._used):
                connection.close_if_done()

    def uncordon(self) -> None:
        if self.is_cordoned and not self._is_shutting_down:
            self.is_cordoned = self.is_draining = False
            self._notify_cordon()

    def _notify_cordon(self) -> None:
        if self.on_cordon is not None:
            self.on_cordon(self.is_cordoned)

    async def drain(self, accept_for: float, at_most: float) -> None:
        """Goes on accepting for `accept_for` seconds, as the front still sends new connections; closes
        each connection when nothing is owed on it; returns when none is left. What is open after `at_most`
        is failed, and its answer is given the time to leave."""
        # A request that is already here must not meet a closed connection, and one that was never used
        # was opened to carry a request just now: both would look lost to the client.
        self._is_shutting_down = True
        ends = self.loop.time() + at_most
        await asyncio.sleep(PENDING_INPUT_DELAY_S)
        self.is_draining = True
        for connection in list(self._used):
            connection.close_if_done()
        await asyncio.sleep(min(accept_for, at_most))
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(PENDING_INPUT_DELAY_S)
        for connection in [*self._used, *self._unused]:
            connection.close_if_done()  # those that were opened meanwhile and never used
        if not await self._wait_until_empty(ends - self.loop.time()):
            self.gateway.fail_open_requests()
            await self._wait_until_empty(FLUSH_TIMEOUT_S)

    async def _wait_until_empty(self, within: float) -> bool:
        """Waits till no connection is left, `within` seconds at most; whether none is."""
        if len(self):
            self._empty.clear()
            try:
                async with asyncio.timeout(within):
                    await self._empty.wait()
            except TimeoutError:
                return False
        return True
