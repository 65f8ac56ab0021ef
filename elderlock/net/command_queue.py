"""The commands that a client connection has received and not handled yet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from elderlock.net.client_commands import ARGUMENT_COUNTS
from elderlock.net.request_ids import RequestIds
from elderlock.net.resp import CommandReader, ProtocolError

# Index of a request's id among its arguments.
REQUEST_ID_INDEX = 2


@dataclass(slots=True)
class WaitingCommand:
    """A complete command that waits to be handled.

    Attributes:
        verb: The command's name in upper case.
        arguments: The command's arguments, including its name.
        arrived_at_s: Loop time at which its last byte was read.
        held_id: The client's request id that it holds; None if it is no request, or if another request has the id.
        size_bytes: The bytes of its arguments, and one more.
    """

    verb: bytes
    arguments: list[bytes]
    arrived_at_s: float
    held_id: bytes | None
    size_bytes: int


class CommandQueue:
    """Parses received bytes into commands, and keeps the commands until they are handled.

    A request holds its id from here on, so that it is not accepted from another client while it waits.

    Attributes:
        error: Why the bytes behind the waiting commands cannot be parsed; None while they can.
        may_parse: Whether complete commands may remain to be parsed.
    """

    def __init__(self, request_ids: RequestIds) -> None:
        """Initialise an empty queue.

        Args:
            request_ids: The ids of all open requests of the process.
        """
        self._request_ids = request_ids
        self._reader = CommandReader()
        self._waiting: deque[WaitingCommand] = deque()
        self._waiting_bytes = 0
        self._fed_at_s = 0.0
        self.error: ProtocolError | None = None
        self.may_parse = False

    def __len__(self) -> int:
        """Return the number of complete commands that wait."""
        return len(self._waiting)

    def unhandled_bytes(self) -> int:
        """Return the received bytes that are not handled, at least 1 within a command."""
        return self._waiting_bytes + self._reader.pending_bytes()

    def has_partial_command(self) -> bool:
        """Whether a part of a command has arrived."""
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

    def parse(self, max_commands: int) -> int:
        """Parse up to `max_commands` complete commands, and return their number."""
        count = 0
        try:
            while count < max_commands:
                arguments = self._reader.next_message()
                if arguments is None:
                    self.may_parse = False
                    break
                self._append(arguments, self._fed_at_s)
                count += 1
        except ProtocolError as error:
            self.error = error
            self.may_parse = False
            self._reader.clear()
        return count

    def _append(self, arguments: list[bytes], now_s: float) -> None:
        verb = arguments[0].upper()
        held_id = None
        if verb in ARGUMENT_COUNTS and len(arguments) > REQUEST_ID_INDEX:
            request_id = arguments[REQUEST_ID_INDEX]
            if self._request_ids.hold(request_id):
                held_id = request_id
        size_bytes = 1 + sum(map(len, arguments))
        self._waiting.append(WaitingCommand(verb, arguments, now_s, held_id, size_bytes))
        self._waiting_bytes += size_bytes

    def next_command(self) -> WaitingCommand:
        """Remove and return the first waiting command; its held id passes to the caller."""
        command = self._waiting.popleft()
        self._waiting_bytes -= command.size_bytes
        return command

    def clear(self) -> None:
        """Drop everything, and release the ids that the waiting commands hold."""
        while self._waiting:
            held_id = self.next_command().held_id
            if held_id is not None:
                self._request_ids.release(held_id)
        self._reader.clear()
        self.may_parse = False
