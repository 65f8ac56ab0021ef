"""Conditions of the links between processes: cuts, delay, loss, duplication, reordering and limited bandwidth. No I/O.

A process is addressed by each of its names: its own, its machine's and its zone's. A fault on a pair of names applies
to every link from a process with the first name to one with the second; `*` matches any process. Each direction has
its own conditions, so a cut is one-way.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

THROTTLE_INTERVAL_S = 0.01  # between the pieces of a stream with limited bandwidth


class Location(NamedTuple):
    """The names that a process is addressed by.

    Attributes:
        name: The name of the process.
        names: That name, and the names of the machine and the zone that the process is in.
    """

    name: str
    names: frozenset[str]

    @classmethod
    def of(cls, name: str, *enclosing_names: str) -> Location:
        """Return the location of a process by its name and the names of its machine and its zone."""
        return cls(name, frozenset((name, *enclosing_names)))


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """The conditions of one direction of a link.

    Attributes:
        is_cut: Whether nothing passes.
        delay_ms: The delay of what passes, in ms.
        loss_share: The share of the datagrams that are lost.
        duplicate_share: The share of the datagrams that arrive twice.
        reorder_ms: The longest additional random delay of a datagram, in ms.
        bytes_per_s: The bandwidth of a stream in bytes a second; 0 for no limit.
    """

    is_cut: bool = False
    delay_ms: float = 0.0
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    reorder_ms: float = 0.0
    bytes_per_s: float = 0.0


NORMAL = LinkConditions()


@dataclass(slots=True)
class LinkFaults:
    """The faults that are active on pairs of names.

    Invariant: a fault that was cleared leaves nothing behind, whichever other faults overlapped with it.
    """

    _active: dict[tuple[str, str], Counter[tuple[str, float]]] = field(default_factory=dict)

    def inject(self, kind: str, pairs: Iterable[tuple[str, str]], by: float = 1.0) -> None:
        """Begin a fault.

        Args:
            kind: `cut`, `late`, `loss`, `duplicate`, `reorder` or `trickle`.
            pairs: The sources and targets, by name.
            by: Its size in the unit of the matching attribute of `LinkConditions`.
        """
        for pair in pairs:
            self._active.setdefault(pair, Counter())[kind, by] += 1

    def clear(self, kind: str, pairs: Iterable[tuple[str, str]], by: float = 1.0) -> None:
        """End a fault that `inject` began with the same arguments."""
        for pair in pairs:
            faults = self._active.get(pair)
            if faults is None:
                continue
            faults[kind, by] -= 1
            if faults[kind, by] <= 0:
                del faults[kind, by]
            if not faults:
                del self._active[pair]

    def conditions(self, source: Location, target: Location) -> LinkConditions:
        """Return the conditions of a link under all its faults.

        Delays and shares add up; of several bandwidths the lowest counts.
        """
        if not self._active:
            return NORMAL
        totals: dict[str, float] = {}
        for (source_name, target_name), faults in self._active.items():
            if (source_name == "*" or source_name in source.names) and (
                target_name == "*" or target_name in target.names
            ):
                for (kind, by), count in faults.items():
                    if kind == "trickle":
                        totals[kind] = min(totals.get(kind, by), by)
                    else:
                        totals[kind] = totals.get(kind, 0.0) + by * count
        if not totals:
            return NORMAL
        return LinkConditions(
            totals.get("cut", 0.0) > 0,
            totals.get("late", 0.0),
            min(1.0, totals.get("loss", 0.0)),
            min(1.0, totals.get("duplicate", 0.0)),
            totals.get("reorder", 0.0),
            totals.get("trickle", 0.0),
        )


def datagram_delays(conditions: LinkConditions, rng: random.Random) -> list[float]:
    """Return the delays in seconds after which the copies of a datagram arrive; none if it is lost."""
    if conditions.is_cut or rng.random() < conditions.loss_share:
        return []
    delays_s = [conditions.delay_ms / 1000.0]
    if rng.random() < conditions.duplicate_share:
        delays_s.append(delays_s[0] + rng.random() * max(conditions.reorder_ms, 1.0) / 1000.0)
    if conditions.reorder_ms:
        delays_s[0] += rng.random() * conditions.reorder_ms / 1000.0
    return delays_s


class Stream:
    """One direction of a connection, whose bytes are held back until they are due. All times are in seconds.

    Invariant: all bytes that are put in come out once and in order, and none while the link is cut; the end of the
    stream comes after all of them.

    Attributes:
        is_ended: Whether the sender has ended the stream.
        size: How many bytes are held back.
    """

    def __init__(self) -> None:
        self._pending: list[tuple[float, bytes]] = []
        self._last_due_at = 0.0
        self.is_ended = False
        self.size = 0

    def put(self, data: bytes, now: float, conditions: LinkConditions) -> None:
        """Add bytes that arrive now."""
        self._last_due_at = max(self._last_due_at, now + conditions.delay_ms / 1000.0)
        self._pending.append((self._last_due_at, data))
        self.size += len(data)

    def end(self) -> None:
        """End the stream; no bytes follow."""
        self.is_ended = True

    def take_due(self, now: float, conditions: LinkConditions) -> bytes:
        """Remove and return the bytes that may pass now."""
        if conditions.is_cut or not self._pending:
            return b""
        due_pieces = []
        count = 0
        for due_at, data in self._pending:
            if due_at > now:
                break
            due_pieces.append(data)
            count += 1
        if not due_pieces:
            return b""
        del self._pending[:count]
        passed = b"".join(due_pieces)
        if conditions.bytes_per_s:
            size_limit = max(1, int(conditions.bytes_per_s * THROTTLE_INTERVAL_S))
            if len(passed) > size_limit:
                passed, rest = passed[:size_limit], passed[size_limit:]
                self._pending.insert(0, (now + THROTTLE_INTERVAL_S, rest))
        self.size -= len(passed)
        return passed

    def next_due(self) -> float | None:
        """Return when the next bytes are due, also if the link is cut; None if none are held back."""
        return self._pending[0][0] if self._pending else None

    def is_finished(self) -> bool:
        """Return whether the stream has ended and all its bytes have come out."""
        return self.is_ended and not self._pending
