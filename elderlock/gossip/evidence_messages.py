"""Health evidence as datagrams: a header and rows of observations, 256 bytes at most.

An observation carries its age, so that it is placed in time by its receiver's clock alone. The stamp in the header says
when the datagram was made: one that was delayed or is replayed is too old to be accepted.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct

FORMAT = 0x5E
VERSION = 1
HEADER = Struct(">BBI")  # format, version, stamp
ROW = Struct(">IHBBH")  # server key, origin, zone, kind, age in ms
MAX_DATAGRAM_BYTES = 256
MAX_ROWS = (MAX_DATAGRAM_BYTES - HEADER.size) // ROW.size
UNKNOWN_ZONE = 255
MAX_AGE_MS = 65_535
STAMP_PERIOD_MS = 1 << 32
MAX_DATAGRAM_AGE_MS = 2000.0


class ObservationKind(IntEnum):
    """What came of an attempt: silence, a reset or no connection; an error; a good answer."""

    FAILED = 0
    ERROR = 1
    ANSWERED = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """What one limiter saw of one server by one attempt.

    Attributes:
        server_key: Key of the server's id (`server_key`).
        origin_index: Number of the limiter that made the attempt.
        origin_zone: Zone of that limiter, or `UNKNOWN_ZONE`.
        kind: What came of the attempt.
        began_at_ms: When the attempt began, by the clock of the limiter that holds this. The observation is of the
            process that ran under the server's id then.
    """

    server_key: int
    origin_index: int
    origin_zone: int
    kind: ObservationKind
    began_at_ms: float


class EvidenceMessageError(Exception):
    """A datagram that is not of this form, or too old; the text says what was found and what was wanted."""


def server_key(server_id: str) -> int:
    """Return the number by which datagrams name a server.

    Two servers may share one; each is then taken for the other.
    """
    return zlib.crc32(server_id.encode())


def encode(observations: list[Observation], now_ms: float) -> bytes:
    """Return a datagram of the first `MAX_ROWS` observations, made at `now_ms`."""
    rows = [_encode_row(observation, now_ms) for observation in observations[:MAX_ROWS]]
    return HEADER.pack(FORMAT, VERSION, int(now_ms) % STAMP_PERIOD_MS) + b"".join(rows)


def _encode_row(observation: Observation, now_ms: float) -> bytes:
    age_ms = min(MAX_AGE_MS, max(0, round(now_ms - observation.began_at_ms)))
    return ROW.pack(observation.server_key, observation.origin_index, observation.origin_zone, observation.kind, age_ms)


def is_evidence(datagram: bytes) -> bool:
    """Return whether a datagram is of this format, in whatever version."""
    return datagram[:1] == bytes([FORMAT])


def decode(datagram: bytes, now_ms: float, limiter_count: int) -> list[Observation]:
    """Return the observations of a datagram.

    Raises:
        EvidenceMessageError: The datagram is wrong in one place at least; nothing of it is accepted.
    """
    if not HEADER.size <= len(datagram) <= MAX_DATAGRAM_BYTES or (len(datagram) - HEADER.size) % ROW.size:
        raise EvidenceMessageError(
            f"{len(datagram)} bytes: wanted a header of {HEADER.size}, rows of {ROW.size} and "
            f"{MAX_DATAGRAM_BYTES} at most"
        )
    form, version, stamp = HEADER.unpack_from(datagram)
    if (form, version) != (FORMAT, VERSION):
        raise EvidenceMessageError(f"format {form}, version {version}: wanted {FORMAT}, {VERSION}")
    age_ms = _age_of_stamp(stamp, now_ms)
    if abs(age_ms) > MAX_DATAGRAM_AGE_MS:
        raise EvidenceMessageError(
            f"made {age_ms} ms ago by its sender's clock: wanted {MAX_DATAGRAM_AGE_MS:g} ms at most"
        )
    return [_decode_row(row, now_ms, limiter_count) for row in ROW.iter_unpack(datagram[HEADER.size :])]


def _age_of_stamp(stamp: int, now_ms: float) -> int:
    """Return the age of a stamp in ms, within half of the stamps' period."""
    half_period_ms = STAMP_PERIOD_MS // 2
    return (int(now_ms) - stamp + half_period_ms) % STAMP_PERIOD_MS - half_period_ms


def _decode_row(row: tuple[int, int, int, int, int], now_ms: float, limiter_count: int) -> Observation:
    key, origin_index, origin_zone, kind, age_ms = row
    if origin_index >= limiter_count:
        raise EvidenceMessageError(f"origin {origin_index}: wanted a number below {limiter_count}")
    if kind > ObservationKind.ANSWERED:
        raise EvidenceMessageError(f"kind {kind}: wanted {ObservationKind.ANSWERED.value} at most")
    return Observation(key, origin_index, origin_zone, ObservationKind(kind), now_ms - age_ms)
