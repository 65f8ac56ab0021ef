"""Drain records: the drain state that operators requested for servers and limiters. No I/O.

A drain is a record rather than a call: each process applies the newest record of a target, from whatever source it was
received. Of two records of a target, the one with the greater (generation, origin) wins, so all processes that have
received both agree, independently of the order (a last-writer-wins register per target).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Literal

import msgspec

Kind = Literal["box", "limiter"]  # a server is `box` on the wire and in stores
Key = tuple[str, str]  # kind and target
MAXIMUM_RECORDS = 10_000  # a record takes about 300 bytes, and a single message carries all records
DIGEST_LENGTH = 16


class Record(msgspec.Struct, frozen=True):
    """The drain state that an operator requested for one target.

    Attributes:
        kind: Whether the target is a server (`box`) or a limiter.
        target: A server's uid (never its address) or a limiter's name.
        is_drained: Whether the target has to be drained.
        generation: The generation; the record with the greater one wins.
        origin: The unique id of the command that created the record.
        requested_by: The operator.
        created_at_unix_ms: When it was created, for display and for `Records.forget_obsolete`.
        reason: The operator's reason, for display.
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
        """The key by which two records of one target are compared."""
        return self.generation, self.origin


class OfferResult(Enum):
    """The result of offering a record."""

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
        """Return the record of a target, or None."""
        return self._by_key.get((kind, target))

    def check(self, record: Record) -> OfferResult:
        """Return the result that `offer` would return, without changing anything."""
        current = self._by_key.get(record.key)
        if current is None:
            # Above the maximum a new target is not accepted; the sender sees that the record is missing in the answer.
            return OfferResult.ACCEPTED if len(self._by_key) < MAXIMUM_RECORDS else OfferResult.OLDER
        if current.order == record.order:
            return OfferResult.KNOWN
        return OfferResult.OLDER if current.order > record.order else OfferResult.ACCEPTED

    def offer(self, record: Record) -> OfferResult:
        """Store a record if it is newer than the stored one of the same target."""
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
        """Return the greatest generation of all records; 0 if there are none."""
        return max((record.generation for record in self._by_key.values()), default=0)

    def digest(self) -> str:
        """Return a digest that is equal for equal sets of records."""
        lines = [
            f"{kind}/{target}/{record.generation}/{record.origin}"
            for (kind, target), record in sorted(self._by_key.items())
        ]
        return hashlib.sha256("\n".join(lines).encode()).hexdigest()[:DIGEST_LENGTH]

    def forget_obsolete(self, before_unix_ms: float, listed_uids: Iterable[str]) -> list[Record]:
        """Forget the records that no longer have an effect; return them.

        Those are records of undrained targets, and of drained servers that are in no endpoint list.

        Args:
            before_unix_ms: Only records created before this time are forgotten.
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
