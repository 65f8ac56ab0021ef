"""The trace of a run and its digest, which is the same for two runs of one seed.

An event is one line of text. The trace keeps a running digest and the last lines only, so that a simulated day of a
large group needs no more memory than a minute. All lines can be passed on to a callback.
"""

from __future__ import annotations

import hashlib
import itertools
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

MARK_INTERVAL = 1000  # events between marks, which show where two long runs diverge without keeping their lines
MAX_MARKS = 4096


class Mark(NamedTuple):
    """The digest of the first events.

    Attributes:
        events: The number of events.
        digest: Their digest.
    """

    events: int
    digest: str


class Trace:
    """The trace of a run.

    Invariant: `digest()` depends only on the lines and their order.

    Attributes:
        last: The last lines.
        marks: The digests of the trace at regular intervals.
        events: The number of events.
    """

    def __init__(self, kept: int = 200, out: Callable[[str], object] | None = None) -> None:
        """Creates an empty trace.

        Args:
            kept: How many of the last lines are kept.
            out: Called with each line.
        """
        self._hash = hashlib.blake2b(digest_size=16)
        self._out = out
        self.last: deque[str] = deque(maxlen=kept)
        self.marks: list[Mark] = []
        self.events = 0
        self._mark_interval = MARK_INTERVAL

    def event(self, at: float, who: str, what: str) -> None:
        """Adds an event.

        Args:
            at: Its time, in ms of the run.
            who: The process or component.
            what: A description.
        """
        line = f"{at:.4f} {who} {what}"
        self._hash.update(line.encode() + b"\n")
        self.last.append(line)
        self.events += 1
        if self.events % self._mark_interval == 0:
            self.marks.append(Mark(self.events, self._hash.hexdigest()))
            if len(self.marks) >= MAX_MARKS:  # drops every other mark, so that long runs need little memory
                self.marks, self._mark_interval = self.marks[1::2], 2 * self._mark_interval
        if self._out is not None:
            self._out(line)

    def digest(self) -> str:
        """Returns the digest of all lines."""
        return self._hash.hexdigest()


class Difference(NamedTuple):
    """The first event at which two runs differ.

    Attributes:
        event: The number of the event, from 1.
        first: The line of the first run; None if it has ended before.
        second: The line of the second run; None if it has ended before.
    """

    event: int
    first: str | None
    second: str | None

    def text(self) -> str:
        """Returns a description for reports."""
        return f"event {self.event}: {self.first or 'the end'!r} in one run, {self.second or 'the end'!r} in the other"


def first_difference(first: Iterable[str], second: Iterable[str]) -> Difference | None:
    """Compares the lines of two runs and returns the first difference, or None."""
    for number, (one, other) in enumerate(itertools.zip_longest(first, second), 1):
        if one != other:
            return Difference(number, one, other)
    return None
