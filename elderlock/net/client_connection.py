"""A client connection, which reads commands and writes the answers in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from enum import Enum
from functools import partial
from typing import cast

from elderlock.net.client_commands import ARGUMENT_COUNTS, CommandError
from elderlock.net.command_queue import CommandQueue, RejectedCommands, WaitingCommand
from elderlock.net.command_scheduler import HANDLE_COST, PARSE_COST
from elderlock.net.connection_owner import CloseReason, ConnectionOwner
from elderlock.net.gateway import BUSY_ANSWER, DUPLICATE_ANSWER
from elderlock.net.pending_answers import PendingAnswer, PendingAnswers
from elderlock.net.unread_input import UnreadInput

PING_VERB = b"PING"
PONG_ANSWER = b"+PONG\r\n"
NO_LIST_ANSWER = b"-LOADING no list of servers yet\r\n"
CORDONED_ANSWER = b"-LOADING drained by an operator\r\n"
# With this many pending answers on a connection, no further command from it is handled.
MAX_PENDING_ANSWERS = 64
# Commands that are parsed and handled in one turn of a connection.
MAX_PARSED_PER_TURN = 32
MAX_HANDLED_PER_TURN = 4
# Consecutive reads that fill the buffer, and the time (s) that they take, after which waiting commands are rejected:
# the client sends faster than it is read, so its end would not be detected in time.
MAX_FULL_READS = 32
MAX_TIME_BEHIND_S = 0.05
# Consecutive errors after which a connection is closed.
MAX_CONSECUTIVE_ERRORS = 16
# How long a client has to read its last answer and to close its side.
LINGER_S = 0.5
# Bytes that are read and discarded within that time before the connection is aborted.
MAX_DISCARDED_BYTES = 1 << 18
MS_PER_S = 1000.0
# The time that a command is queued on its connection is subtracted from its client's wait; a shorter time is ignored.
MIN_COUNTED_WAIT_MS = 1.0

log = logging.getLogger(__name__)


class ConnectionState(Enum):
    """The state of a client connection."""

    OPEN = "open"
    ENDING = "ending"  # no further command is handled; the answers that are ready are still sent
    HALF_CLOSED = "half closed"  # this side is shut down, and received bytes are discarded


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection.

    Commands are handled as they arrive, so that a slow request does not delay the next one; connections that have more
    than a few of them take turns. Answers are sent in the order of their commands. While a client does not read its
    answers, or has too many pending, its commands wait.

    The connection is always read on, as its end is only detected behind all that its client has sent: commands for
    which there is no memory are rejected. A command is handled only once the socket has been read to its end, so that
    it is not forwarded for a client that has gone.

    Attributes:
        has_sent_command: Whether the client has sent a complete command.
        is_queued: Whether the connection waits for its turn to handle commands.
        waiting_since_s: Loop time at which the connection began to wait for a complete command, or for its client to
            read.
    """

    def __init__(self, listener: ConnectionOwner) -> None:
        self._listener = listener
        request_ids = listener.gateway.requests.ids
        self._commands = CommandQueue(request_ids, listener.input_budget)
        self._pending_answers = PendingAnswers(request_ids)
        self._transport: asyncio.Transport | None = None
        self._state = ConnectionState.OPEN
        self._buffer = listener.receive_buffer
        self._is_handling = False
        self._is_read_deferred = False
        # Reads that filled the buffer since the socket was found empty, and the loop time of the first.
        self._full_reads = 0
        self._behind_since_s = 0.0
        self._is_write_blocked = False
        self._consecutive_errors = 0
        self._discarded_bytes = 0
        self._linger_timer: asyncio.TimerHandle | None = None
        self.has_sent_command = False
        self.is_queued = False
        self.waiting_since_s = listener.loop.time()

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection with its listener."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not derive from asyncio's
        self._listener.connection_opened(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Abandon the pending requests, as the client is gone."""
        self._listener.connection_closed(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._abandon_pending()

    def eof_received(self) -> None:
        """Treat the client as disconnected, as a half-close cannot be distinguished from a close.

        The descriptor is released once the written answers are sent, and after `LINGER_S` at the latest: while a client
        does not read, the transport does not report the connection as lost.
        """
        self._abandon_pending()
        if self._linger_timer is None:
            self._linger_timer = self._listener.loop.call_later(LINGER_S, self.abort)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer that all connections share, or a small part of it while memory for input is scarce."""
        listener = self._listener
        budget = listener.input_budget
        is_scarce = budget.used_bytes > budget.scarce_above_bytes
        self._buffer = listener.small_receive_buffer if is_scarce else listener.receive_buffer
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the commands that the received bytes complete."""
        if self._state is not ConnectionState.OPEN:
            # Closing with unread input would reset the connection and lose the last answer, so input is discarded.
            self._discarded_bytes += nbytes
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        now_s = self._listener.loop.time()
        if self._commands.is_empty():
            self.waiting_since_s = now_s
        self._commands.feed(self._buffer[:nbytes], now_s)
        if nbytes == len(self._buffer):
            # The event loop would read on at once, up to many times, before it turns to other connections.
            self._defer_reading(True)
            self._commands.parse(MAX_PARSED_PER_TURN)
            if not self._full_reads:
                self._behind_since_s = now_s
            self._full_reads += 1
            self._listener.scheduler.queue(self)
        elif self._full_reads:
            self._listener.scheduler.queue(self)  # the client's end may be next
        else:
            self._listener.scheduler.run(self)

    def pause_writing(self) -> None:
        """Stop handling commands while the client does not read its answers."""
        self._is_write_blocked = True
        self.waiting_since_s = self._listener.loop.time()

    def resume_writing(self) -> None:
        """Resume handling commands."""
        self._is_write_blocked = False
        self._schedule_turn()

    # Commands

    def _may_handle(self) -> bool:
        """Whether a further command may be handled, rather than wait until answers are sent or more is read."""
        has_too_many_pending = self._is_write_blocked or len(self._pending_answers) >= MAX_PENDING_ANSWERS
        if has_too_many_pending or self._state is not ConnectionState.OPEN:
            return False
        return self._is_read_to_end() or self._commands.has_rejected_first()

    def _is_read_to_end(self) -> bool:
        """Whether neither the socket nor the parser had more when the connection was last read."""
        return not self._full_reads and not self._commands.may_parse

    def run_turn(self) -> int:
        """Parse and handle a few of the received commands; return the cost of it for the scheduler."""
        if self._state is not ConnectionState.OPEN:
            self._defer_reading(False)
            return 0
        cost = PARSE_COST * self._commands.parse(MAX_PARSED_PER_TURN)
        if self._commands.may_parse != self._is_read_deferred:
            self._defer_reading(self._commands.may_parse)
        if self._full_reads and not self._commands.may_parse:
            self._check_if_behind()
        cost += HANDLE_COST * self._handle_commands()
        error = self._commands.error
        if error is not None and not self._commands.waiting:
            self.close_with_error(f"Protocol error: {error}")
        self.close_if_done()
        return cost

    def _check_if_behind(self) -> None:
        """After reads that filled the buffer: find out whether more follows, for too long to let commands wait."""
        behind_s = self._listener.loop.time() - self._behind_since_s
        if not self._has_unread_input():
            self._full_reads = 0
        elif self._full_reads >= MAX_FULL_READS and behind_s >= MAX_TIME_BEHIND_S:
            self._commands.reject_waiting()

    def has_work(self) -> bool:
        """Whether a further turn could parse or handle something now."""
        if self._state is not ConnectionState.OPEN:
            return False
        return self._commands.may_parse or (bool(self._commands.waiting) and self._may_handle())

    def _handle_commands(self) -> int:
        """Handle a few waiting commands while few enough answers are pending; return their number."""
        count = 0
        self._is_handling = True
        try:
            waiting = self._commands.waiting
            while waiting and count < MAX_HANDLED_PER_TURN and self._may_handle():
                self._handle_command(self._commands.next_command())
                count += 1
        finally:
            self._is_handling = False
        return count

    def _handle_command(self, command: WaitingCommand | RejectedCommands) -> None:
        self.has_sent_command = True
        self.waiting_since_s = self._listener.loop.time()
        self._listener.command_received(self)
        if isinstance(command, RejectedCommands):
            self._pending_answers.append(PendingAnswer(BUSY_ANSWER * command.count))
            self._write_ready_answers()
            return
        pending = PendingAnswer(held_id=command.held_id)
        self._pending_answers.append(pending)
        if command.verb in ARGUMENT_COUNTS:
            self._handle_request(pending, command)
        elif command.verb == PING_VERB:
            self._answer(pending, self._ping_answer())
        else:
            self._answer_error(pending, "unknown command")

    def _handle_request(self, pending: PendingAnswer, waiting: WaitingCommand) -> None:
        try:
            command = self._listener.parser.parse(waiting.arguments)
        except CommandError as error:
            self._answer_error(pending, str(error))
            return
        self._consecutive_errors = 0
        if pending.held_id is None:
            self._answer(pending, DUPLICATE_ANSWER)
            return
        # The client's wait is counted from the last byte of its command, and includes the time in the queue.
        waited_ms = (self.waiting_since_s - waiting.arrived_at_s) * MS_PER_S
        if waited_ms >= MIN_COUNTED_WAIT_MS:
            command = replace(command, wait_ms=command.wait_ms - waited_ms)
        pending.request_id = self._listener.gateway.request_arrived(command, partial(self._answer, pending))

    def _ping_answer(self) -> bytes:
        if self._listener.is_cordoned:
            return CORDONED_ANSWER
        return PONG_ANSWER if self._listener.gateway.has_list else NO_LIST_ANSWER

    def _defer_reading(self, is_deferred: bool) -> None:
        """Pause the transport's reading until the connection's next turn, or resume it."""
        if is_deferred == self._is_read_deferred or self._transport is None or self._transport.is_closing():
            return
        self._is_read_deferred = is_deferred
        if is_deferred:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _schedule_turn(self) -> None:
        """Let the connection wait for its turn if it has something to do then."""
        if not self._is_handling and self.has_work():
            self._listener.scheduler.queue(self)

    # Answers

    def _answer(self, pending: PendingAnswer, answer: bytes) -> None:
        pending.answer = answer
        if self._pending_answers.is_first(pending):
            self._write_ready_answers()

    def _answer_error(self, pending: PendingAnswer, text: str) -> None:
        self._answer(pending, b"-ERR %b\r\n" % text.encode())
        self._consecutive_errors += 1
        if self._consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            # Each command has its answer: a further error line would be read as a second answer to the last one.
            self._stop_commands()
            self.close_if_done()

    def _write_ready_answers(self) -> None:
        ready = self._pending_answers.take_ready()
        if ready and self._transport is not None:
            self._transport.write(ready)
        self._schedule_turn()
        self.close_if_done()

    def _abandon_pending(self) -> None:
        """Abandon the pending requests: none of them is forwarded or retried any more."""
        self._stop_commands()
        for request_id in self._pending_answers.abandon():
            self._listener.gateway.client_disconnected(request_id)
        self._commands.clear()

    # Closing

    def _stop_commands(self) -> None:
        if self._state is ConnectionState.OPEN:
            self._state = ConnectionState.ENDING

    def close_with_error(self, text: str) -> None:
        """Send the pending answers and one error line, then close: the bytes that follow cannot be parsed."""
        if self._state is not ConnectionState.OPEN:
            return
        self._state = ConnectionState.ENDING
        self._pending_answers.append(PendingAnswer(b"-ERR %b\r\n" % text.encode()))
        self._write_ready_answers()

    def close_if_done(self) -> None:
        """Close the connection if it is ending or the listener drains, and no answer is pending."""
        is_open = self._state is ConnectionState.OPEN
        if self._pending_answers or self._transport is None or (is_open and not self._listener.is_draining):
            return
        if is_open and (self._is_handling or not self._commands.is_empty() or self._has_unread_input()):
            return  # commands already received, completely or in part, are answered before a drain closes
        self.retire(CloseReason.DRAIN if is_open else CloseReason.ERROR)

    def _has_unread_input(self) -> bool:
        """Whether the client has sent anything that is still in the socket, as after a pause of reading."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and UnreadInput(transport).is_waiting()

    def retire(self, reason: CloseReason) -> None:
        """Shut down this side while no answer is pending; a client whose request crosses the shutdown retries it."""
        if self._transport is None or self._transport.is_closing() or self._state is ConnectionState.HALF_CLOSED:
            return
        if reason is not CloseReason.ERROR:
            self.log_unanswered(reason)
        # Only this side is closed, and further input is discarded: closing with unread input, or while a further
        # request arrives, would reset the connection and lose the last answer.
        self._state = ConnectionState.HALF_CLOSED
        self._listener.connection_half_closed(self)
        self._defer_reading(False)
        self._transport.write_eof()
        self._linger_timer = self._listener.loop.call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        """Close the connection at once; unsent answers are lost."""
        if self._transport is not None:
            self._transport.abort()

    # For the listener

    def reject_commands(self) -> None:
        """Reject the commands that wait to be handled and all further ones, because the process is about to end."""
        self._commands.rejects_all = True
        self._commands.reject_waiting()
        self._schedule_turn()

    def unhandled_bytes(self) -> int:
        """Return the memory of what has been received and not handled."""
        return self._commands.unhandled_bytes()

    def log_unanswered(self, reason: CloseReason) -> None:
        """Log what the client has sent and would get no answer for if the connection closed now."""
        unhandled_bytes = self.unhandled_bytes()
        if self._pending_answers or not self._commands.is_empty():
            log.warning(
                "client connection closes: %s, with %d unanswered commands and %d unhandled bytes",
                reason.value,
                len(self._pending_answers),
                unhandled_bytes,
            )

    def is_answered(self) -> bool:
        """Whether no command that was read is to be handled or answered, and all answers have been sent."""
        has_commands = self._is_handling or bool(self._commands.waiting) or self._commands.may_parse
        is_handling = has_commands or bool(self._pending_answers)
        return not is_handling and self._state is ConnectionState.OPEN and self.is_flushed()

    def is_idle(self) -> bool:
        """Whether it is between requests: all are answered, and no part of a further one has arrived, read or not."""
        return self.is_answered() and self._commands.is_empty() and not self._has_unread_input()

    def is_flushed(self) -> bool:
        """Whether all written answers have been sent; an abort would lose the others."""
        return self._transport is None or not self._transport.get_write_buffer_size()

    def check_timeout(self, limit_s: float) -> None:
        """Close the connection if it has waited since before `limit_s` (loop time).

        It may wait for its first command, for the rest of a command, or for its client to read. A client that sends
        nothing, or half a command, would otherwise hold its descriptor forever.
        """
        if self.waiting_since_s >= limit_s or self._state is ConnectionState.HALF_CLOSED:
            return
        if self._is_write_blocked:
            self.abort()
        elif self._state is ConnectionState.OPEN and not self._pending_answers and self._waits_for_command():
            self.close_with_error("no whole command in time")

    def _waits_for_command(self) -> bool:
        """Whether the connection waits for its first command or for the rest of a command."""
        if self._commands.waiting or self._commands.may_parse or self._has_unread_input():
            return False
        return not self.has_sent_command or self._commands.has_partial_command()
