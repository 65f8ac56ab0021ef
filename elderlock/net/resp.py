"""Strict RESP2 as bytes come: commands of clients, answers of servers.

A client library would be lenient here: one that takes any array, sets room aside for what a header
promises, or skips the line end behind a string lets one wrong length stop the process or shift what
follows, so that one request gets what belongs to another. Whatever is not of the protocol's shape is
a `ProtocolError`, as soon as it can be told and before the bytes that it announces are taken in.
"""

from __future__ import annotations

import re

LONGEST_VALUE = 1 << 16  # bytes, the protocol's bound
LONGEST_FIGURE = 256  # bytes of a figure on use or a load report
LONGEST_ERROR = 512  # bytes of an error line
LONGEST_HEADER = 12  # bytes of a line that tells a length
MOST_ARGUMENTS = 16
LONGEST_ARGUMENT = 1 << 12  # bytes; a list of terms is far shorter
BODY_AT = 4  # where a command carries its body, which may have the length of a value
LENGTH = re.compile(rb"0|[1-9][0-9]{0,9}")
INTEGER = re.compile(rb"-?[0-9]{1,19}")
NULL = b"$-1"
# four arguments within `LONGEST_ARGUMENT`; their lengths are held against what they announce
PLAIN = re.compile(rb"\*4\r\n" + rb"\$(0|[1-9][0-9]{0,3})\r\n([^\r\n]{0,4096}+)\r\n" * 4)
# an answer with a value, no figure on use and a load report of a plain line
SERVED = re.compile(rb"\*3\r\n\$(0|[1-9][0-9]{0,4})\r\n")
FIGURES = re.compile(rb"\r\n\$-1\r\n(?:\$-1|\$(0|[1-9][0-9]{0,2})\r\n([^\r\n]{0,256}+))\r\n")


class ProtocolError(Exception):
    """What came follows no form that is known here; where the next message begins cannot be told."""


class Reader:
    """The bytes that have come and are not used up. A message is read item by item, so that one that
    comes in pieces is not read from its start at each of them."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._at = 0
        self._wanted: int | None = None  # items of the array begun; None between messages
        self._length: int | None = None  # of the bulk string begun
        self._items: list[bytes | None] = []

    def feed(self, data: bytes | bytearray | memoryview) -> None:
        if self._at:
            del self._data[: self._at]
            self._at = 0
        self._data += data

    def pending(self) -> int:
        """Bytes not used up, with those of a message of which some items are read."""
        return len(self._data) - self._at + (self._wanted is not None)

    def _line(self, longest: int) -> bytes | None:
        """The next line without its end, None while that has not come."""
        end = self._data.find(b"\r\n", self._at, self._at + longest + 2)
        if end < 0:
            if len(self._data) - self._at > longest + 1:
                raise ProtocolError("a line is too long")
            return None
        line = bytes(self._data[self._at : end])
        self._at = end + 2
        return line

    def _array(self, most: int) -> bool:
        """Reads the header of an array where none is begun; whether one is."""
        if self._wanted is None and (line := self._line(LONGEST_HEADER)) is not None:
            self._wanted = _length_of(line, b"*", most)
        return self._wanted is not None

    def _bulk(self, longest: int) -> bytes | None:
        """The next bulk string, None while it has not come."""
        if self._length is None:
            line = self._line(LONGEST_HEADER)
            if line is None:
                return None
            self._length = _length_of(line, b"$", longest)
        end = self._at + self._length
        if len(self._data) <= end:
            return None
        if not b"\r\n".startswith(self._data[end : end + 2]):  # the length was wrong
            raise ProtocolError("a string does not end where its length says")
        if len(self._data) < end + 2:
            return None
        value = bytes(self._data[self._at : end])
        self._at, self._length = end + 2, None
        return value

    def _whole(self) -> list[bytes | None]:
        items, self._items, self._wanted = self._items, [], None
        return items


class CommandReader(Reader):
    """Reads one command after another."""

    def next(self) -> list[bytes] | None:
        """The next whole command: an array of one bulk string or more; None while there is none."""
        if self._wanted is None:
            if self._at == len(self._data):
                return None
            if (plain := self._plain()) is not None:
                return plain
            if self._data[self._at] != ord("*"):
                raise ProtocolError("expected an array of bulk strings")
        if not self._array(MOST_ARGUMENTS):
            return None
        if not self._wanted:
            raise ProtocolError("expected an array of bulk strings")
        while len(self._items) < self._wanted:
            item = self._bulk(LONGEST_VALUE if len(self._items) == BODY_AT else LONGEST_ARGUMENT)
            if item is None:
                return None
            self._items.append(item)
        return [item for item in self._whole() if item is not None]

    def _plain(self) -> list[bytes] | None:
        """A whole command of four strings that hold no line end, as nearly all are, in one match; None is for
        whatever else came, which is read item by item and judged there."""
        found = PLAIN.match(self._data, self._at)
        if found is None:
            return None
        first, a, second, b, third, c, fourth, d = found.groups()
        if len(a) != int(first) or len(b) != int(second) or len(c) != int(third) or len(d) != int(fourth):
            return None
        self._at = found.end()
        return [a, b, c, d]


class AnswerReader(Reader):
    """Reads the one answer that a server gives to one request."""

    def next(self) -> tuple[bytes | None, bytes] | None:
        """The value and the load report of a good answer, or None and the text of an error line; None
        while it has not come whole. The figures behind the value may be unreadable: that spoils just
        them, so they are checked for form alone."""
        if self._wanted is None and (plain := self._plain()) is not None:
            return plain
        if self._wanted is None and self._data[self._at : self._at + 1] == b"-":
            line = self._line(LONGEST_ERROR)
            return None if line is None else (None, line[1:])
        if self._at < len(self._data) and self._wanted is None and self._data[self._at] != ord("*"):
            raise ProtocolError("neither an array nor an error line")
        if not self._array(3):
            return None
        if self._wanted != 3:
            raise ProtocolError("an array of another shape")
        while len(self._items) < 3:
            if not self._items:
                item = self._bulk(LONGEST_VALUE)
                if item is None:
                    return None
            elif (figure := self._figure()) is not None:
                item = figure[0]
            else:
                return None
            self._items.append(item)
        value, _, report = self._whole()
        return value, report or b""

    def _plain(self) -> tuple[bytes, bytes] | None:
        """A whole answer of the usual shape in two matches; None is for whatever else came."""
        data = self._data
        head = SERVED.match(data, self._at)
        if head is None:
            return None
        length = int(head[1])
        end = head.end() + length
        if length > LONGEST_VALUE or (tail := FIGURES.match(data, end)) is None:
            return None
        report = tail[2] or b""
        if tail[1] is not None and len(report) != int(tail[1]):
            return None
        value = bytes(data[head.end() : end])
        self._at = tail.end()
        return value, bytes(report)

    def _figure(self) -> tuple[bytes | None] | None:
        """A bulk string, null or integer, in a tuple; None while it has not come."""
        if self._length is None:
            before, line = self._at, self._line(LONGEST_HEADER * 2)
            if line is None:
                return None
            if line == NULL or line[:1] == b":" and INTEGER.fullmatch(line, 1):
                return (None if line == NULL else line[1:],)
            self._at = before  # the header of a bulk string
        item = self._bulk(LONGEST_FIGURE)
        return None if item is None else (item,)


def _length_of(line: bytes, mark: bytes, most: int) -> int:
    if line[:1] != mark or not LENGTH.fullmatch(line, 1):
        raise ProtocolError("a header that cannot be read")
    length = int(line[1:])
    if length > most:
        raise ProtocolError("a length is out of range")
    return length
