"""Health evidence as datagrams: a header and rows of observations, 256 bytes at most.

An observation carries its age, so that the receiver computes its time from its own clock alone. The header carries the
time at which the datagram was encoded, so that delayed or replayed datagrams can be refused as too old.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct

FORMAT = 0x5E
VERSION = 1
HEADER = Struct(">BBI")  # format, version, timestamp
ROW = Struct(">IHBBH")  # server key, origin, zone, kind, age in ms
MAX_DATAGRAM_BYTES = 256
MAX_ROWS = (MAX_DATAGRAM_BYTES - HEADER.size) // ROW.size
UNKNOWN_ZONE = 255
MAX_AGE_MS = 65_535
TIMESTAMP_PERIOD_MS = 1 << 32
MAX_DATAGRAM_AGE_MS = 2000.0


class ObservationKind(IntEnum):
    """The outcome of an attempt: FAILED for a timeout, a reset or no connection; ERROR; ANSWERED for success."""

    FAILED = 0
    ERROR = 1
    ANSWERED = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """The outcome of one attempt by one limiter at one server.

    Attributes:
        server_key: The key of the server's id (`server_key`).
        origin_index: The index of the limiter that made the attempt.
        origin_zone: The zone of that limiter, or `UNKNOWN_ZONE`.
        kind: The outcome.
        began_at_ms: When the attempt began, by the clock of the limiter that stores the observation. The observation
            refers to the process that ran under the server's id at that time.
    """

    server_key: int
    origin_index: int
    origin_zone: int
    kind: ObservationKind
    began_at_ms: float


class EvidenceMessageError(Exception):
    """A datagram is malformed or too old; the text gives the actual and the expected value."""


def server_key(server_id: str) -> int:
    """Return the number that identifies a server in datagrams.

    If two server ids have the same key, observations of one server count for the other as well.
    """
    return zlib.crc32(server_id.encode())


def encode(observations: list[Observation], now_ms: float) -> bytes:
    """Encode the first `MAX_ROWS` observations as a datagram with the timestamp `now_ms`."""
    rows = [_encode_row(observation, now_ms) for observation in observations[:MAX_ROWS]]
    return HEADER.pack(FORMAT, VERSION, int(now_ms) % TIMESTAMP_PERIOD_MS) + b"".join(rows)


def _encode_row(observation: Observation, now_ms: float) -> bytes:
    age_ms = min(MAX_AGE_MS, max(0, round(now_ms - observation.began_at_ms)))
    return ROW.pack(observation.server_key, observation.origin_index, observation.origin_zone, observation.kind, age_ms)


def is_evidence(datagram: bytes) -> bool:
    """Return whether a datagram has this format, in any version."""
    return datagram[:1] == bytes([FORMAT])


def decode(datagram: bytes, now_ms: float, limiter_count: int) -> list[Observation]:
    """Decode a datagram.

    Raises:
        EvidenceMessageError: Any part of the datagram is malformed, or it is too old; none of its observations is used.
    """
    if not HEADER.size <= len(datagram) <= MAX_DATAGRAM_BYTES or (len(datagram) - HEADER.size) % ROW.size:
        raise EvidenceMessageError(
            f"datagram of {len(datagram)} bytes: expected a header of {HEADER.size} bytes and rows of {ROW.size}, "
            f"{MAX_DATAGRAM_BYTES} at most"
        )
    message_format, version, timestamp_ms = HEADER.unpack_from(datagram)
    if (message_format, version) != (FORMAT, VERSION):
        raise EvidenceMessageError(
            f"datagram of format {message_format}, version {version}: expected {FORMAT}, {VERSION}"
        )
    age_ms = _datagram_age_ms(timestamp_ms, now_ms)
    if abs(age_ms) > MAX_DATAGRAM_AGE_MS:
        raise EvidenceMessageError(
            f"datagram sent {age_ms} ms ago by its sender's clock: expected {MAX_DATAGRAM_AGE_MS:g} ms at most"
        )
    return [_decode_row(row, now_ms, limiter_count) for row in ROW.iter_unpack(datagram[HEADER.size :])]


def _datagram_age_ms(timestamp_ms: int, now_ms: float) -> int:
    """Return the age for a timestamp that wraps around; negative ages are timestamps ahead of this clock."""
    half_period_ms = TIMESTAMP_PERIOD_MS // 2
    return (int(now_ms) - timestamp_ms + half_period_ms) % TIMESTAMP_PERIOD_MS - half_period_ms


def _decode_row(row: tuple[int, int, int, int, int], now_ms: float, limiter_count: int) -> Observation:
    key, origin_index, origin_zone, kind, age_ms = row
    if origin_index >= limiter_count:
        raise EvidenceMessageError(f"origin {origin_index}: expected a limiter index below {limiter_count}")
    if kind > ObservationKind.ANSWERED:
        raise EvidenceMessageError(f"observation kind {kind}: expected {ObservationKind.ANSWERED.value} at most")
    return Observation(key, origin_index, origin_zone, ObservationKind(kind), now_ms - age_ms)
