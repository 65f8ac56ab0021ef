"""What limiters tell one another, as bytes: questions and answers of one customer, and batches of many.

A datagram holds 256 bytes at most. Each begins with its format and the sender's latest latency (`Load.latest_byte`).
Parts of a burst are in 254ths, rates in 254 / 8ths of the plan's, units in quarters.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct

# A single: format, latest latency, then customer, what, plan, units or level, belief or rate, question.
FORMAT, ENTRY = 0x5C, Struct(">BBIBBBBH")
ASK, GRANTED, DENIED = range(3)
# A batch: format, latest latency, what; of each customer then plan, units and belief, or level and rate.
BATCH, HEAD, USE, LEVEL, MOST_USES = 0x5D, Struct(">BBB"), Struct(">IBBB"), Struct(">IBB"), 36
REPORT, READINGS = range(2)
UNKNOWN = 255  # a latency, or what is believed of a store


def byte(value: float) -> int:
    return min(255, max(0, int(value)))


@dataclass(frozen=True, slots=True)
class Single:
    """`what`: ASK with units and belief, GRANTED or DENIED with level and rate, each as a byte."""

    key: int
    what: int
    plan: int
    a: int
    b: int
    question: int


@dataclass(frozen=True, slots=True)
class Batch:
    """`rows`: of a REPORT customer, plan, units and belief; of READINGS customer, level and rate."""

    what: int
    rows: tuple[tuple[int, ...], ...]


def single(latest: int, key: int, what: int, plan: int, a: float, b: float, question: int) -> bytes:
    return ENTRY.pack(FORMAT, latest, key, what, plan % 256, byte(a), byte(b), question)


def batch(latest: int, what: int, rows: list[tuple[int, ...]]) -> bytes:
    row = USE if what == REPORT else LEVEL
    return HEAD.pack(BATCH, latest, what) + b"".join(row.pack(*fields) for fields in rows)


def read(data: bytes) -> tuple[int, Single | Batch] | None:
    """The sender's latest latency, and what it says; None for what is not of this form."""
    if len(data) < HEAD.size:
        return None
    if data[0] == FORMAT and len(data) == ENTRY.size:
        return data[1], Single(*ENTRY.unpack(data)[2:])
    if data[0] == BATCH and data[2] in (REPORT, READINGS):
        row, body = USE if data[2] == REPORT else LEVEL, data[HEAD.size :]
        if len(body) % row.size == 0:
            return data[1], Batch(data[2], tuple(row.iter_unpack(body)))
    return None
