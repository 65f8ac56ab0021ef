"""Permissions by id: one answer for each, and the same again for a repeated question. Free of I/O.

An id lives from its question until its lookup has ended: by the asker's report or by its deadline. Within
that life the same question gets the same answer and takes nothing; another question under that id is a
duplicate and leaves the first unharmed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import msgspec

from elderlock.net.command import Command

Kind = Literal["permitted", "refused", "failed", "duplicate", "crowded"]


class Verdict(msgspec.Struct, frozen=True):
    """`retry_after` and `life` in ms; `box` and `endpoint` of a permission."""

    kind: Kind
    retry_after: float = 0.0
    box: str = ""
    endpoint: str = ""
    life: float = 0.0


DUPLICATE, CROWDED = Verdict("duplicate"), Verdict("crowded")
Answer = Callable[[Verdict], None]


class Entry:
    """One id: the question that it stands for, who waits for its verdict, and the verdict once there is one."""

    __slots__ = ("key", "name", "verdict", "waiting")

    def __init__(self, key: tuple[object, ...]) -> None:
        self.key = key
        self.name: str | None = None  # the gateway's, while it is undecided or its lookup is out
        self.verdict: Verdict | None = None
        self.waiting: dict[int, Answer] = {}


def request_key(command: Command) -> tuple[object, ...]:
    """What must be the same in a repeated question; how long it waits may differ."""
    c = command
    return c.customer_id, c.class_index, c.plan_index, c.units, c.limiter_count, c.first_limiter


class Permissions:
    """Invariants: a verdict is given once to each who waits; an id has one entry; only what is undecided
    or out is held, and of that no more than `most`."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._entries: dict[bytes, Entry] = {}
        self._last = 0

    def __len__(self) -> int:
        return len(self._entries)

    def ask(self, command: Command, answer: Answer) -> tuple[int, Entry | None]:
        """A number for `leave`, and the entry where it is new and has to be put to the module. What is known
        already is answered at once."""
        self._last += 1
        entry = self._entries.get(command.client_request_id)
        if entry is None:
            if len(self._entries) >= self._most:
                answer(CROWDED)
                return self._last, None
            entry = self._entries[command.client_request_id] = Entry(request_key(command))
            entry.waiting[self._last] = answer
            return self._last, entry
        if entry.key != request_key(command):
            answer(DUPLICATE)
        elif entry.verdict is not None:
            answer(entry.verdict)
        else:
            entry.waiting[self._last] = answer
        return self._last, None

    def decided(self, id: bytes, verdict: Verdict) -> None:
        """The module's one answer. A refusal ends the id's life at once: to ask again is a new question."""
        entry = self._entries.get(id)
        if entry is None or entry.verdict is not None:
            return
        entry.verdict = verdict
        if verdict.kind != "permitted":
            del self._entries[id]
        waiting, entry.waiting = entry.waiting, {}
        for answer in waiting.values():
            answer(verdict)

    def leave(self, id: bytes, number: int) -> str | None:
        """One who waited has gone. The gateway's name of the question where it was the last and nothing is
        decided: nobody is left to hear it, so it must not take units any more."""
        entry = self._entries.get(id)
        if entry is None or entry.waiting.pop(number, None) is None or entry.waiting or entry.verdict is not None:
            return None
        del self._entries[id]
        return entry.name

    def out(self, id: bytes, customer: str) -> str | None:
        """The gateway's name of a permitted lookup that is out, where it is that customer's."""
        entry = self._entries.get(id)
        if entry is None or entry.verdict is None or entry.key[0] != customer:
            return None
        return entry.name

    def over(self, id: bytes) -> None:
        """Its lookup has ended, or its deadline has come."""
        self._entries.pop(id, None)
