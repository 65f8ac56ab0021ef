"""Drain records: what operators want of servers and limiters. No I/O.

A drain is a record, not a call: whoever holds the newest record of a target acts on it, however it came. Of two records
of one target the one with the greater (generation, origin) wins everywhere, so all who have received both agree, in
whatever order they came (a last-writer-wins register per target).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Literal

import msgspec

Kind = Literal["box", "limiter"]  # a server is `box` on the wire and in stores
Key = tuple[str, str]  # kind and target
MAXIMUM_RECORDS = 10_000  # each takes some 300 bytes, and one message carries all
DIGEST_LENGTH = 16


class Record(msgspec.Struct, frozen=True):
    """What an operator wants of one target.

    Attributes:
        kind: Whether the target is a server (`box`) or a limiter.
        target: A server's uid (never its address) or a limiter's name.
        is_drained: Whether the target has to be drained.
        generation: The generation; a greater one wins.
        origin: The unique id of the command that made the record.
        requested_by: The operator.
        created_at_unix_ms: When it was made, for people.
        reason: The operator's reason, for people.
    """

    kind: Kind
    target: str
    is_drained: bool = msgspec.field(name="drained")
    generation: int
    origin: str
    requested_by: str = msgspec.field(name="by")
    created_at_unix_ms: float = msgspec.field(name="at")
    reason: str = ""

    @property
    def key(self) -> Key:
        """The kind and name of the target."""
        return self.kind, self.target

    @property
    def order(self) -> tuple[int, str]:
        """What two records of one target are compared by."""
        return self.generation, self.origin


class OfferResult(Enum):
    """What became of a record that was offered."""

    ACCEPTED = "taken"
    KNOWN = "known"
    OLDER = "older"


class Records:
    """The newest record of each target.

    Invariant: a record is replaced only by a greater one of the same target.
    """

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self._by_key: dict[Key, Record] = {}
        self.merge(records)

    def __iter__(self) -> Iterator[Record]:
        return iter(self._by_key.values())

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, kind: str, target: str) -> Record | None:
        """Return the record of a target, if there is one."""
        return self._by_key.get((kind, target))

    def check(self, record: Record) -> OfferResult:
        """Return what `offer` would return, and change nothing."""
        current = self._by_key.get(record.key)
        if current is None:
            # Beyond the maximum a new target is not accepted; whoever offers it sees that it is not held.
            return OfferResult.ACCEPTED if len(self._by_key) < MAXIMUM_RECORDS else OfferResult.OLDER
        if current.order == record.order:
            return OfferResult.KNOWN
        return OfferResult.OLDER if current.order > record.order else OfferResult.ACCEPTED

    def offer(self, record: Record) -> OfferResult:
        """Take a record if it is newer than the one of the same target."""
        result = self.check(record)
        if result is OfferResult.ACCEPTED:
            self._by_key[record.key] = record
        return result

    def merge(self, records: Iterable[Record]) -> list[Record]:
        """Offer all records; return those that were accepted."""
        return [record for record in records if self.offer(record) is OfferResult.ACCEPTED]

    def drained_targets(self, kind: str) -> dict[str, Record]:
        """Return the records of the drained targets of a kind, by target."""
        return {record.target: record for record in self._by_key.values() if record.kind == kind and record.is_drained}

    def greatest_generation(self) -> int:
        """Return the greatest generation of any record; 0 where there is none."""
        return max((record.generation for record in self._by_key.values()), default=0)

    def digest(self) -> str:
        """Return a digest that is the same for all who hold the same records."""
        lines = [
            f"{kind}/{target}/{record.generation}/{record.origin}"
            for (kind, target), record in sorted(self._by_key.items())
        ]
        return hashlib.sha256("\n".join(lines).encode()).hexdigest()[:DIGEST_LENGTH]

    def forget_obsolete(self, before_unix_ms: float, listed_uids: Iterable[str]) -> list[Record]:
        """Forget the records that have no effect any more; return them.

        Those are undrained targets, and drained servers that no endpoint list has.

        Args:
            before_unix_ms: Only records made before this time are forgotten.
            listed_uids: The uids of all servers in the endpoint lists.
        """
        listed = set(listed_uids)
        obsolete = [
            record
            for record in self._by_key.values()
            if record.created_at_unix_ms < before_unix_ms and _has_no_effect(record, listed)
        ]
        for record in obsolete:
            del self._by_key[record.key]
        return obsolete


def _has_no_effect(record: Record, listed: set[str]) -> bool:
    if not record.is_drained:
        return True
    return record.kind == "box" and record.target not in listed
