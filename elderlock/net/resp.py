"""A strict incremental parser of RESP2, for clients' commands and servers' answers.

Source: the Redis serialisation protocol, version 2. Client libraries are too lenient: they may accept any array,
allocate the memory that a header announces, or skip the line end after a string. A single wrong length could then stop
the process, or shift the following bytes so that a request gets another request's answer. Input that violates the
protocol raises `ProtocolError` as soon as that can be detected, before the announced bytes are buffered.
"""

from __future__ import annotations

import re

from elderlock.net.errors import NetError

# Maximum size of a value and of a command's body in the protocol.
MAX_VALUE_BYTES = 1 << 16
# Maximum size of a usage figure or a load report.
MAX_FIGURE_BYTES = 256
MAX_ERROR_BYTES = 512
# Maximum size of a line that announces a length.
MAX_HEADER_BYTES = 12
MAX_ARGUMENTS = 16
# Maximum size of an argument other than the body.
MAX_ARGUMENT_BYTES = 1 << 12
# Index of a command's body, if it has one.
BODY_INDEX = 4
# Number of items of a successful answer: the value, a usage figure and the load report.
ANSWER_ITEMS = 3
LENGTH_PATTERN = re.compile(rb"0|[1-9][0-9]{0,9}")
INTEGER_PATTERN = re.compile(rb"-?[0-9]{1,19}")
NULL_BULK_STRING = b"$-1"
ARRAY_MARK = b"*"
BULK_STRING_MARK = b"$"
LINE_END = b"\r\n"
# A command of four arguments up to `MAX_ARGUMENT_BYTES`; the announced lengths are checked after a match.
FOUR_ARGUMENT_COMMAND_PATTERN = re.compile(rb"\*4\r\n" + rb"\$(0|[1-9][0-9]{0,3})\r\n([^\r\n]{0,4096}+)\r\n" * 4)
# The usual answer: a value, no usage figure, and a load report without line ends.
ANSWER_HEAD_PATTERN = re.compile(rb"\*3\r\n\$(0|[1-9][0-9]{0,4})\r\n")
ANSWER_TAIL_PATTERN = re.compile(rb"\r\n\$-1\r\n(?:\$-1|\$(0|[1-9][0-9]{0,2})\r\n([^\r\n]{0,256}+))\r\n")


class ProtocolError(NetError):
    """The input violates the protocol, so the start of the next message cannot be found."""


class MessageReader:
    """Buffers received bytes that are not parsed yet.

    A message is parsed item by item, so that a message received in pieces is not parsed from its start each time.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0
        self._array_length: int | None = None  # length of the incomplete array; None between messages
        self._string_length: int | None = None  # length of the incomplete bulk string
        self._items: list[bytes | None] = []

    def feed(self, data: bytes | bytearray | memoryview) -> None:
        """Append received bytes."""
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def pending_bytes(self) -> int:
        """Return the number of unparsed bytes, which is at least 1 within a message."""
        return len(self._buffer) - self._position + (self._array_length is not None)

    def held_bytes(self) -> int:
        """Return the bytes that the incomplete message holds, parsed or not."""
        return len(self._buffer) - self._position + sum(len(item) for item in self._items if item is not None)

    def clear(self) -> None:
        """Drop all unparsed bytes, and free their memory."""
        self._buffer = bytearray()
        self._position = 0
        self._string_length = None
        self._take_items()

    def _read_line(self, max_bytes: int) -> bytes | None:
        """Read the next line without its line end; return None until it is complete."""
        end = self._buffer.find(LINE_END, self._position, self._position + max_bytes + 2)
        if end < 0:
            if len(self._buffer) - self._position > max_bytes + 1:
                raise ProtocolError("a line is too long")
            return None
        line = bytes(self._buffer[self._position : end])
        self._position = end + 2
        return line

    def _read_array_header(self, max_items: int) -> bool:
        """Read the header of an array unless it is already read; return whether it is."""
        if self._array_length is None and (line := self._read_line(MAX_HEADER_BYTES)) is not None:
            self._array_length = _parse_length(line, ARRAY_MARK, max_items)
        return self._array_length is not None

    def _read_bulk_string(self, max_bytes: int) -> bytes | None:
        """Read the next bulk string; return None until it is complete."""
        if self._string_length is None:
            line = self._read_line(MAX_HEADER_BYTES)
            if line is None:
                return None
            self._string_length = _parse_length(line, BULK_STRING_MARK, max_bytes)
        end = self._position + self._string_length
        if len(self._buffer) <= end:
            return None
        if not LINE_END.startswith(self._buffer[end : end + 2]):
            raise ProtocolError("a string does not end where its length says")
        if len(self._buffer) < end + 2:
            return None
        value = bytes(self._buffer[self._position : end])
        self._position = end + 2
        self._string_length = None
        return value

    def _take_items(self) -> list[bytes | None]:
        """Return the items of the complete array, and reset the state for the next message."""
        items = self._items
        self._items = []
        self._array_length = None
        return items


class CommandReader(MessageReader):
    """Reads one command after another.

    Attributes:
        is_discarding: Whether the arguments of the incomplete command are dropped as they arrive.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_discarding = False

    def clear(self) -> None:
        """Drop all unparsed bytes, and free their memory."""
        super().clear()
        self.is_discarding = False

    def discard_message(self) -> None:
        """Drop what has arrived of the incomplete command, and what will; `next_message` returns it without arguments.

        Without effect if the command's first line is not complete.
        """
        if self._array_length is None:
            return
        self.is_discarding = True
        self._items = [b""] * len(self._items)
        self._discard_content()
        self._buffer = self._buffer[self._position :]
        self._position = 0

    def _discard_content(self) -> None:
        """Drop the part of the current argument that has arrived."""
        if self._string_length is not None:
            discarded = min(len(self._buffer) - self._position, self._string_length)
            self._position += discarded
            self._string_length -= discarded

    def next_message(self) -> list[bytes] | None:
        """Read the next command, an array of one or more bulk strings; return None until it is complete.

        Returns:
            The arguments; none for a command that was discarded.

        Raises:
            ProtocolError: The input is not a command.
        """
        if self._array_length is None:
            if self._position == len(self._buffer):
                return None
            if (arguments := self._match_four_arguments()) is not None:
                return arguments
            if self._buffer[self._position] != ARRAY_MARK[0]:
                raise ProtocolError("expected an array of bulk strings")
        if not self._read_array_header(MAX_ARGUMENTS):
            return None
        if not self._array_length:
            raise ProtocolError("expected an array of bulk strings")
        if not self._read_arguments(self._array_length):
            return None
        arguments = [item for item in self._take_items() if item is not None]
        if self.is_discarding:
            self.is_discarding = False
            return []
        return arguments

    def _read_arguments(self, count: int) -> bool:
        """Read the arguments that have arrived; return whether all `count` have."""
        while len(self._items) < count:
            item = self._read_bulk_string(MAX_VALUE_BYTES if len(self._items) == BODY_INDEX else MAX_ARGUMENT_BYTES)
            if item is None:
                if self.is_discarding:
                    self._discard_content()
                return False
            self._items.append(b"" if self.is_discarding else item)
        return True

    def _match_four_arguments(self) -> list[bytes] | None:
        """Read a complete command of four strings without line ends in one match; nearly all commands have this form.

        Any other input is left for parsing item by item.
        """
        match = FOUR_ARGUMENT_COMMAND_PATTERN.match(self._buffer, self._position)
        if match is None:
            return None
        length_1, verb, length_2, customer, length_3, request_id, length_4, terms = match.groups()
        if (
            len(verb) != int(length_1)
            or len(customer) != int(length_2)
            or len(request_id) != int(length_3)
            or len(terms) != int(length_4)
        ):
            return None
        self._position = match.end()
        return [verb, customer, request_id, terms]


class AnswerReader(MessageReader):
    """Reads a server's answer to a request."""

    def next_message(self) -> tuple[bytes | None, bytes] | None:
        """Read the answer; return None until it is complete.

        An unusable load report does not invalidate the value, so only its encoding is checked.

        Returns:
            The value and the load report of a successful answer, or None and the text of an error line.

        Raises:
            ProtocolError: The input is not an answer.
        """
        if self._array_length is None:
            if (usual := self._match_usual_answer()) is not None:
                return usual
            if self._buffer[self._position : self._position + 1] == b"-":
                line = self._read_line(MAX_ERROR_BYTES)
                return None if line is None else (None, line[1:])
            if self._position < len(self._buffer) and self._buffer[self._position] != ARRAY_MARK[0]:
                raise ProtocolError("neither an array nor an error line")
        if not self._read_array_header(ANSWER_ITEMS):
            return None
        if self._array_length != ANSWER_ITEMS:
            raise ProtocolError("an array of another shape")
        if not self._read_items():
            return None
        value, _, load_report = self._take_items()
        return value, load_report or b""

    def _read_items(self) -> bool:
        """Read the items of the array that have arrived; return whether it is complete."""
        while len(self._items) < ANSWER_ITEMS:
            item: bytes | None
            if not self._items:
                item = self._read_bulk_string(MAX_VALUE_BYTES)
                if item is None:
                    return False
            elif (figure := self._read_figure()) is not None:
                item = figure[0]
            else:
                return False
            self._items.append(item)
        return True

    def _match_usual_answer(self) -> tuple[bytes, bytes] | None:
        """Read a complete answer of the usual form in two matches; any other input is left unchanged."""
        head = ANSWER_HEAD_PATTERN.match(self._buffer, self._position)
        if head is None:
            return None
        length = int(head[1])
        end = head.end() + length
        if length > MAX_VALUE_BYTES or (tail := ANSWER_TAIL_PATTERN.match(self._buffer, end)) is None:
            return None
        load_report = tail[2] or b""
        if tail[1] is not None and len(load_report) != int(tail[1]):
            return None
        value = bytes(self._buffer[head.end() : end])
        self._position = tail.end()
        return value, bytes(load_report)

    def _read_figure(self) -> tuple[bytes | None] | None:
        """Read a bulk string, null or integer into a tuple; return None until it is complete."""
        if self._string_length is None:
            start = self._position
            line = self._read_line(MAX_HEADER_BYTES * 2)
            if line is None:
                return None
            if line == NULL_BULK_STRING:
                return (None,)
            if line[:1] == b":" and INTEGER_PATTERN.fullmatch(line, 1):
                return (line[1:],)
            self._position = start  # the header of a bulk string
        item = self._read_bulk_string(MAX_FIGURE_BYTES)
        return None if item is None else (item,)


def _parse_length(line: bytes, mark: bytes, maximum: int) -> int:
    if line[:1] != mark or not LENGTH_PATTERN.fullmatch(line, 1):
        raise ProtocolError("a header that cannot be read")
    length = int(line[1:])
    if length > maximum:
        raise ProtocolError("a length is out of range")
    return length
