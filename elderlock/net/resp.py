"""Strict RESP2 as bytes come: commands of clients, answers of servers.

A client library would be lenient here: one that takes any array, sets room aside for what a header
promises, or skips the line end behind a string lets one wrong length stop the process or shift what
follows, so that one request gets what belongs to another. Whatever is not of the protocol's shape is
a `ProtocolError`, as soon as it can be told and before the bytes that it announces are taken in.
"""

from __future__ import annotations

import re

MAX_VALUE_BYTES = 1 << 16  # bytes, the protocol's bound
MAX_FIGURE_BYTES = 256  # bytes of a figure on use or a load report
MAX_ERROR_BYTES = 512  # bytes of an error line
MAX_HEADER_BYTES = 12  # bytes of a line that tells a length
MAX_ARGUMENTS = 16
MAX_ARGUMENT_BYTES = 1 << 12  # bytes; a list of terms is far shorter
BODY_INDEX = 4  # where a command carries its body, which may have the length of a value
LENGTH_PATTERN = re.compile(rb"0|[1-9][0-9]{0,9}")
INTEGER_PATTERN = re.compile(rb"-?[0-9]{1,19}")
NULL_BULK_STRING = b"$-1"
# four arguments within `LONGEST_ARGUMENT`; their lengths are held against what they announce
FOUR_ARGUMENT_COMMAND_PATTERN = re.compile(rb"\*4\r\n" + rb"\$(0|[1-9][0-9]{0,3})\r\n([^\r\n]{0,4096}+)\r\n" * 4)
# an answer with a value, no figure on use and a load report of a plain line
ANSWER_HEAD_PATTERN = re.compile(rb"\*3\r\n\$(0|[1-9][0-9]{0,4})\r\n")
ANSWER_TAIL_PATTERN = re.compile(rb"\r\n\$-1\r\n(?:\$-1|\$(0|[1-9][0-9]{0,2})\r\n([^\r\n]{0,256}+))\r\n")


class ProtocolError(Exception):
    """What came follows no form that is known here; where the next message begins cannot be told."""


class MessageReader:
    """The bytes that have come and are not used up. A message is read item by item, so that one that
    comes in pieces is not read from its start at each of them."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0
        self._array_length: int | None = None  # items of the array begun; None between messages
        self._string_length: int | None = None  # of the bulk string begun
        self._items: list[bytes | None] = []

    def feed(self, data: bytes | bytearray | memoryview) -> None:
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def pending_bytes(self) -> int:
        """Bytes not used up, with those of a message of which some items are read."""
        return len(self._buffer) - self._position + (self._array_length is not None)

    def _read_line(self, longest: int) -> bytes | None:
        """The next line without its end, None while that has not come."""
        end = self._buffer.find(b"\r\n", self._position, self._position + longest + 2)
        if end < 0:
            if len(self._buffer) - self._position > longest + 1:
                raise ProtocolError("a line is too long")
            return None
        line = bytes(self._buffer[self._position : end])
        self._position = end + 2
        return line

    def _read_array_header(self, most: int) -> bool:
        """Reads the header of an array where none is begun; whether one is."""
        if self._array_length is None and (line := self._read_line(MAX_HEADER_BYTES)) is not None:
            self._array_length = _parse_length(line, b"*", most)
        return self._array_length is not None

    def _read_bulk_string(self, longest: int) -> bytes | None:
        """The next bulk string, None while it has not come."""
        if self._string_length is None:
            line = self._read_line(MAX_HEADER_BYTES)
            if line is None:
                return None
            self._string_length = _parse_length(line, b"$", longest)
        end = self._position + self._string_length
        if len(self._buffer) <= end:
            return None
        if not b"\r\n".startswith(self._buffer[end : end + 2]):  # the length was wrong
            raise ProtocolError("a string does not end where its length says")
        if len(self._buffer) < end + 2:
            return None
        value = bytes(self._buffer[self._position : end])
        self._position, self._string_length = end + 2, None
        return value

    def _take_items(self) -> list[bytes | None]:
        items, self._items, self._array_length = self._items, [], None
        return items


class CommandReader(MessageReader):
    """Reads one command after another."""

    def next_message(self) -> list[bytes] | None:
        """The next whole command: an array of one bulk string or more; None while there is none."""
        if self._array_length is None:
            if self._position == len(self._buffer):
                return None
            if (plain := self._match_four_arguments()) is not None:
                return plain
            if self._buffer[self._position] != ord("*"):
                raise ProtocolError("expected an array of bulk strings")
        if not self._read_array_header(MAX_ARGUMENTS):
            return None
        if not self._array_length:
            raise ProtocolError("expected an array of bulk strings")
        while len(self._items) < self._array_length:
            item = self._read_bulk_string(MAX_VALUE_BYTES if len(self._items) == BODY_INDEX else MAX_ARGUMENT_BYTES)
            if item is None:
                return None
            self._items.append(item)
        return [item for item in self._take_items() if item is not None]

    def _match_four_arguments(self) -> list[bytes] | None:
        """A whole command of four strings that hold no line end, as nearly all are, in one match; None is for
        whatever else came, which is read item by item and judged there."""
        found = FOUR_ARGUMENT_COMMAND_PATTERN.match(self._buffer, self._position)
        if found is None:
            return None
        first, a, second, b, third, c, fourth, d = found.groups()
        if len(a) != int(first) or len(b) != int(second) or len(c) != int(third) or len(d) != int(fourth):
            return None
        self._position = found.end()
        return [a, b, c, d]


class AnswerReader(MessageReader):
    """Reads the one answer that a server gives to one request."""

    def next_message(self) -> tuple[bytes | None, bytes] | None:
        """The value and the load report of a good answer, or None and the text of an error line; None
        while it has not come whole. The figures behind the value may be unreadable: that spoils just
        them, so they are checked for form alone."""
        if self._array_length is None and (plain := self._match_usual_answer()) is not None:
            return plain
        if self._array_length is None and self._buffer[self._position : self._position + 1] == b"-":
            line = self._read_line(MAX_ERROR_BYTES)
            return None if line is None else (None, line[1:])
        if (
            self._position < len(self._buffer)
            and self._array_length is None
            and self._buffer[self._position] != ord("*")
        ):
            raise ProtocolError("neither an array nor an error line")
        if not self._read_array_header(3):
            return None
        if self._array_length != 3:
            raise ProtocolError("an array of another shape")
        while len(self._items) < 3:
            if not self._items:
                item = self._read_bulk_string(MAX_VALUE_BYTES)
                if item is None:
                    return None
            elif (figure := self._read_figure()) is not None:
                item = figure[0]
            else:
                return None
            self._items.append(item)
        value, _, report = self._take_items()
        return value, report or b""

    def _match_usual_answer(self) -> tuple[bytes, bytes] | None:
        """A whole answer of the usual shape in two matches; None is for whatever else came."""
        data = self._buffer
        head = ANSWER_HEAD_PATTERN.match(data, self._position)
        if head is None:
            return None
        length = int(head[1])
        end = head.end() + length
        if length > MAX_VALUE_BYTES or (tail := ANSWER_TAIL_PATTERN.match(data, end)) is None:
            return None
        report = tail[2] or b""
        if tail[1] is not None and len(report) != int(tail[1]):
            return None
        value = bytes(data[head.end() : end])
        self._position = tail.end()
        return value, bytes(report)

    def _read_figure(self) -> tuple[bytes | None] | None:
        """A bulk string, null or integer, in a tuple; None while it has not come."""
        if self._string_length is None:
            before, line = self._position, self._read_line(MAX_HEADER_BYTES * 2)
            if line is None:
                return None
            if line == NULL_BULK_STRING or line[:1] == b":" and INTEGER_PATTERN.fullmatch(line, 1):
                return (None if line == NULL_BULK_STRING else line[1:],)
            self._position = before  # the header of a bulk string
        item = self._read_bulk_string(MAX_FIGURE_BYTES)
        return None if item is None else (item,)


def _parse_length(line: bytes, mark: bytes, most: int) -> int:
    if line[:1] != mark or not LENGTH_PATTERN.fullmatch(line, 1):
        raise ProtocolError("a header that cannot be read")
    length = int(line[1:])
    if length > most:
        raise ProtocolError("a length is out of range")
    return length
