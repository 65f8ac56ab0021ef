"""Messages between limiters about customers' quotas, and their encoding as datagrams.

A datagram has at most 256 bytes. It starts with a format byte and the sender's latest latency sample
(`LoadEstimator.encoded_latest_sample`), so that every message also carries a load signal. A level is encoded in 254ths
of the plan's burst, a rate in 254ths of eight times the plan's rate, and an amount of units in quarters of a unit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from struct import Struct

SINGLE_FORMAT = 0x5C
"""First byte of a datagram about one customer."""
SINGLE = Struct(">BBIBBBBH")
"""Format, latest latency, customer key, kind, plan, units or level, last known level or rate, query id."""

BATCH_FORMAT = 0x5D
"""First byte of a datagram about many customers."""
BATCH_HEADER = Struct(">BBB")
"""Format, latest latency, kind."""
USAGE_ROW = Struct(">IBBB")
"""Customer key, plan, units, last known level."""
LEVEL_ROW = Struct(">IBB")
"""Customer key, level, rate."""
MAX_USAGE_ROWS = 36
"""The maximum number of rows of a usage report, limited by the size of a datagram."""

UNKNOWN = 255
"""The byte for a latency sample or a last known level that the sender does not have."""
MAX_FRACTION = 254
"""The byte for a level that equals the burst."""
MAX_RATE_RATIO = 8
"""The multiple of the plan's rate that `MAX_FRACTION` encodes."""
STEPS_PER_UNIT = 4
"""Units are encoded in quarters."""


class SingleKind(IntEnum):
    """The kind of a datagram about one customer."""

    QUERY = 0
    GRANTED = 1
    DENIED = 2


class BatchKind(IntEnum):
    """The kind of a datagram about many customers."""

    USAGE_REPORT = 0
    QUOTA_LEVELS = 1


@dataclass(frozen=True, slots=True)
class QuotaQuery:
    """A query that asks the owner of a customer's quota for units.

    Attributes:
        key: The customer's key.
        plan_index: The index of the customer's plan in the settings.
        unit_steps: The requested units, in quarters.
        last_known_level: The sender's last reading of the ledger, or `UNKNOWN`; a new owner opens its ledger at this
            level.
        query_id: An id that the answer repeats.
    """

    key: int
    plan_index: int
    unit_steps: float
    last_known_level: float
    query_id: int


@dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """The owner's answer to a `QuotaQuery`.

    Attributes:
        key: The customer's key.
        is_granted: Whether the owner took the units from the ledger for the limiter that asked.
        plan_index: The index of the customer's plan in the settings.
        level: The ledger's level after the query, encoded by `encode_level`.
        rate: The rate at which all limiters spend, encoded by `encode_rate`.
        query_id: The id of the query.
    """

    key: int
    is_granted: bool
    plan_index: int
    level: float
    rate: float
    query_id: int


@dataclass(frozen=True, slots=True)
class UsageRow:
    """Units that a limiter admitted for one customer without a query.

    Attributes:
        key: The customer's key.
        plan_index: The index of the customer's plan in the settings.
        unit_steps: The units, in quarters.
        last_known_level: The sender's last reading of the ledger, or `UNKNOWN`.
    """

    key: int
    plan_index: int
    unit_steps: int
    last_known_level: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The units that a limiter admitted without queries since its last report.

    Attributes:
        rows: One row per customer, at most `MAX_USAGE_ROWS`.
    """

    rows: tuple[UsageRow, ...]


@dataclass(frozen=True, slots=True)
class LevelRow:
    """The state of one customer's ledger.

    Attributes:
        key: The customer's key.
        level: The ledger's level, encoded by `encode_level`.
        rate: The rate at which all limiters spend, encoded by `encode_rate`.
    """

    key: int
    level: int
    rate: int


@dataclass(frozen=True, slots=True)
class QuotaLevels:
    """The owner's answer to a `UsageReport`.

    Attributes:
        rows: One row per customer of the report.
    """

    rows: tuple[LevelRow, ...]


Message = QuotaQuery | QuotaAnswer | UsageReport | QuotaLevels


@dataclass(frozen=True, slots=True)
class Datagram:
    """A decoded datagram.

    Attributes:
        latest_latency: The sender's latest latency sample in 64ths of the latency objective, or `UNKNOWN`.
        message: The message; None if its kind is unknown to this version.
    """

    latest_latency: int
    message: Message | None


def clamp_byte(value: float) -> int:
    """Truncate a number to an integer and limit it to the range of a byte."""
    return min(255, max(0, int(value)))


def encode_level(level_units: float, burst_units: float) -> int:
    """Encode a ledger's level as a fraction of the burst."""
    return clamp_byte(level_units / (burst_units or 1.0) * MAX_FRACTION)


def decode_level(level: float, burst_units: float) -> float:
    """Return the units of an encoded level."""
    return level / MAX_FRACTION * burst_units


def encode_rate(rate_per_s: float, plan_rate_per_s: float) -> int:
    """Encode a rate as a multiple of the plan's rate."""
    return clamp_byte(rate_per_s / (plan_rate_per_s or 1.0) * MAX_FRACTION / MAX_RATE_RATIO)


def decode_rate(rate: float, plan_rate_per_s: float) -> float:
    """Return the units per second of an encoded rate."""
    return rate / MAX_FRACTION * MAX_RATE_RATIO * plan_rate_per_s


def encode(latest_latency: int, message: Message) -> bytes:
    """Encode a message and the sender's latest latency sample as a datagram."""
    match message:
        case QuotaQuery(unit_steps=unit_steps, last_known_level=last_known_level):
            return _encode_single(latest_latency, SingleKind.QUERY, message, unit_steps, last_known_level)
        case QuotaAnswer(level=level, rate=rate):
            kind = SingleKind.GRANTED if message.is_granted else SingleKind.DENIED
            return _encode_single(latest_latency, kind, message, level, rate)
        case UsageReport(rows):
            return BATCH_HEADER.pack(BATCH_FORMAT, latest_latency, BatchKind.USAGE_REPORT) + b"".join(
                USAGE_ROW.pack(row.key, row.plan_index, row.unit_steps, row.last_known_level) for row in rows
            )
        case QuotaLevels(levels):
            return BATCH_HEADER.pack(BATCH_FORMAT, latest_latency, BatchKind.QUOTA_LEVELS) + b"".join(
                LEVEL_ROW.pack(row.key, row.level, row.rate) for row in levels
            )


def _encode_single(
    latest_latency: int, kind: SingleKind, message: QuotaQuery | QuotaAnswer, first: float, second: float
) -> bytes:
    return SINGLE.pack(
        SINGLE_FORMAT,
        latest_latency,
        message.key,
        kind,
        message.plan_index % 256,
        clamp_byte(first),
        clamp_byte(second),
        message.query_id,
    )


def decode(payload: bytes) -> Datagram | None:
    """Decode a datagram; return None if its format or its length is invalid."""
    if len(payload) < BATCH_HEADER.size:
        return None
    if payload[0] == SINGLE_FORMAT and len(payload) == SINGLE.size:
        return _decode_single(payload)
    if payload[0] == BATCH_FORMAT:
        return _decode_batch(payload)
    return None


def _decode_single(payload: bytes) -> Datagram:
    _, latest_latency, key, kind, plan_index, first, second, query_id = SINGLE.unpack(payload)
    match kind:
        case SingleKind.QUERY:
            return Datagram(latest_latency, QuotaQuery(key, plan_index, first, second, query_id))
        case SingleKind.GRANTED | SingleKind.DENIED:
            is_granted = kind == SingleKind.GRANTED
            return Datagram(latest_latency, QuotaAnswer(key, is_granted, plan_index, first, second, query_id))
        case _:
            return Datagram(latest_latency, None)


def _decode_batch(payload: bytes) -> Datagram | None:
    _, latest_latency, kind = BATCH_HEADER.unpack_from(payload)
    body = payload[BATCH_HEADER.size :]
    if kind == BatchKind.USAGE_REPORT and len(body) % USAGE_ROW.size == 0:
        return Datagram(latest_latency, UsageReport(tuple(UsageRow(*row) for row in USAGE_ROW.iter_unpack(body))))
    if kind == BatchKind.QUOTA_LEVELS and len(body) % LEVEL_ROW.size == 0:
        return Datagram(latest_latency, QuotaLevels(tuple(LevelRow(*row) for row in LEVEL_ROW.iter_unpack(body))))
    return None
