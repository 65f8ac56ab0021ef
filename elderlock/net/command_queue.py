"""The commands that a client connection has received and not handled yet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from elderlock.net.client_commands import ARGUMENT_COUNTS
from elderlock.net.input_budget import InputBudget
from elderlock.net.request_ids import RequestIds
from elderlock.net.resp import CommandReader, ProtocolError

# Index of a request's id among its arguments.
REQUEST_ID_INDEX = 2
# Memory that a waiting command uses in addition to the bytes of its arguments.
COMMAND_OVERHEAD_BYTES = 512
# Rejected commands that are handled at once: their answers are written together.
MAX_REJECTED_AT_ONCE = 1024


@dataclass(slots=True)
class WaitingCommand:
    """A complete command that waits to be handled.

    Attributes:
        verb: The command's name in upper case.
        arguments: The command's arguments, including its name.
        arrived_at_s: Loop time at which its last byte was read.
        held_id: The client's request id that it holds; None if it is no request, or if another request has the id.
        size_bytes: The memory that it uses.
    """

    verb: bytes
    arguments: list[bytes]
    arrived_at_s: float
    held_id: bytes | None
    size_bytes: int


@dataclass(slots=True)
class RejectedCommands:
    """Consecutive commands that were not stored; each of them is answered when its turn comes.

    Attributes:
        count: Their number.
    """

    count: int


class CommandQueue:
    """Parses received bytes into commands, and keeps the commands until they are handled.

    A request holds its id from here on, so that it is not accepted from another client while it waits. A command for
    which there is no memory is rejected, so that its connection can be read on: only then is the client's end detected.

    Attributes:
        waiting: The commands that wait to be handled, the oldest first.
        error: Why the bytes behind the waiting commands cannot be parsed; None while they can.
        may_parse: Whether complete commands may remain to be parsed.
        rejects_all: Whether further commands are rejected as they are parsed.
    """

    def __init__(self, request_ids: RequestIds, budget: InputBudget) -> None:
        """Initialise an empty queue.

        Args:
            request_ids: The ids of all open requests of the process.
            budget: Limits the memory of all queues.
        """
        self._request_ids = request_ids
        self._budget = budget
        self._reader = CommandReader()
        self.waiting: deque[WaitingCommand | RejectedCommands] = deque()
        self._waiting_bytes = 0
        self._incomplete_bytes = 0
        self._is_listed_as_incomplete = False
        self._fed_at_s = 0.0
        self.error: ProtocolError | None = None
        self.may_parse = False
        self.rejects_all = False

    def has_rejected_first(self) -> bool:
        """Whether the next commands to be handled were rejected."""
        return bool(self.waiting) and isinstance(self.waiting[0], RejectedCommands)

    def is_empty(self) -> bool:
        """Whether nothing has been received that is not handled."""
        return not self.waiting and not self.has_partial_command()

    def unhandled_bytes(self) -> int:
        """Return the memory of what is received and not handled."""
        return self._waiting_bytes + self._reader.held_bytes()

    def has_partial_command(self) -> bool:
        """Whether a part of a command, or bytes that are not parsed, have arrived."""
        return bool(self._reader.pending_bytes())

    def feed(self, data: memoryview, now_s: float) -> None:
        """Add received bytes.

        Args:
            data: The bytes, which are copied.
            now_s: Loop time at which they were read.
        """
        if self.error is None:
            self._reader.feed(data)
            self._fed_at_s = now_s
            self.may_parse = True
            self._incomplete_bytes += len(data)
            self._budget.used_bytes += len(data)

    def parse(self, max_commands: int) -> int:
        """Parse up to `max_commands` complete commands, and return their number."""
        if not self.may_parse:
            return 0
        count = 0
        self._budget.used_bytes -= self._incomplete_bytes  # a command that is complete now is counted as such
        self._incomplete_bytes = 0
        try:
            while count < max_commands:
                arguments = self._reader.next_message()
                if arguments is None:
                    self.may_parse = False
                    break
                self._append(arguments)
                count += 1
        except ProtocolError as error:
            self.error = error
            self.may_parse = False
            self._reader.clear()
        if self._reader.pending_bytes():
            self._count_incomplete()
        elif self._is_listed_as_incomplete:
            self._end_incomplete()
        return count

    def _append(self, arguments: list[bytes]) -> None:
        size_bytes = COMMAND_OVERHEAD_BYTES + sum(map(len, arguments))
        is_rejected = not arguments or self.rejects_all
        if is_rejected or not self._budget.has_room(self._waiting_bytes, size_bytes, self._fed_at_s):
            self._append_rejected()
            return
        verb = arguments[0].upper()
        held_id = None
        if verb in ARGUMENT_COUNTS and len(arguments) > REQUEST_ID_INDEX:
            request_id = arguments[REQUEST_ID_INDEX]
            if self._request_ids.hold(request_id):
                held_id = request_id
        self.waiting.append(WaitingCommand(verb, arguments, self._fed_at_s, held_id, size_bytes))
        self._waiting_bytes += size_bytes
        self._budget.used_bytes += size_bytes

    def _append_rejected(self) -> None:
        self._budget.rejected_count += 1
        last = self.waiting[-1] if self.waiting else None
        if isinstance(last, RejectedCommands):
            last.count += 1
        else:
            self.waiting.append(RejectedCommands(1))

    def _count_incomplete(self) -> None:
        """Count the bytes of the incomplete command, and make room if they are too many."""
        self._set_incomplete_bytes(self._reader.held_bytes())
        if self.may_parse or self._waiting_bytes + self._incomplete_bytes <= self._budget.share_bytes:
            self._end_incomplete()
        elif not self._reader.is_discarding:
            self._is_listed_as_incomplete = True
            self._budget.incomplete_command_grew(self, self._fed_at_s)

    def _end_incomplete(self) -> None:
        self._is_listed_as_incomplete = False
        self._budget.incomplete_command_ended(self)

    def _set_incomplete_bytes(self, incomplete_bytes: int) -> None:
        self._budget.resize(self._incomplete_bytes, incomplete_bytes)
        self._incomplete_bytes = incomplete_bytes

    def discard_partial_command(self) -> None:
        """Free the memory of the incomplete command; the command is rejected once it is complete."""
        self._reader.discard_message()
        self._set_incomplete_bytes(self._reader.held_bytes())

    def next_command(self) -> WaitingCommand | RejectedCommands:
        """Remove and return the first waiting command, or a number of rejected ones; a held id passes to the caller."""
        first = self.waiting[0]
        if isinstance(first, RejectedCommands) and first.count > MAX_REJECTED_AT_ONCE:
            first.count -= MAX_REJECTED_AT_ONCE
            return RejectedCommands(MAX_REJECTED_AT_ONCE)
        self.waiting.popleft()
        if isinstance(first, WaitingCommand):
            self._waiting_bytes -= first.size_bytes
            self._budget.used_bytes -= first.size_bytes
        return first

    def reject_waiting(self) -> None:
        """Reject all waiting commands; they are still answered in their order."""
        rejected = RejectedCommands(0)
        for command in self.waiting:
            if isinstance(command, RejectedCommands):
                rejected.count += command.count
            else:
                self._release(command)
                self._budget.rejected_count += 1
                rejected.count += 1
        self.waiting.clear()
        if rejected.count:
            self.waiting.append(rejected)

    def _release(self, command: WaitingCommand) -> None:
        self._waiting_bytes -= command.size_bytes
        self._budget.used_bytes -= command.size_bytes
        if command.held_id is not None:
            self._request_ids.release(command.held_id)

    def clear(self) -> None:
        """Drop everything, and release the ids that the waiting commands hold."""
        for command in self.waiting:
            if isinstance(command, WaitingCommand):
                self._release(command)
        self.waiting.clear()
        self._reader.clear()
        self.may_parse = False
        self._set_incomplete_bytes(0)
        self._end_incomplete()
