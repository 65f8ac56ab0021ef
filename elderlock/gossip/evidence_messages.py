"""Health evidence as bytes. A datagram is a header and rows of observations, 256 bytes at most.

An observation tells how old it is, so that no clock but its hearer's places it in time. The stamp in the header tells
when the datagram was made: one that was held up, or played again later, is too old to be taken.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct

FORMAT, VERSION = 0x5E, 1
HEADER, ROW = Struct(">BBI"), Struct(">IHBBH")  # format, version, stamp; server, origin, zone, kind, age
MAX_DATAGRAM_BYTES = 256  # bytes, the limit between limiters
MAX_ROWS = (MAX_DATAGRAM_BYTES - HEADER.size) // ROW.size
UNKNOWN_ZONE = 255
MAX_AGE_MS = 65_535  # ms that an age can tell
STAMP_PERIOD_MS = 1 << 32  # ms after which stamps begin again
MAX_DATAGRAM_AGE_MS = 2000.0  # ms between the making of a datagram and its arrival, beyond which it is old news


class ObservationKind(IntEnum):
    """What an attempt told of its server: it failed (silence, a reset, no connection), an error or an answer came."""

    FAILED = 0
    ERROR = 1
    ANSWERED = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """What the limiter `origin` saw of a server by an attempt that began at `at` (ms, the holder's clock): what ran
    under the server's id then is what it tells of. `server` is the key of the id, `zone` the origin's."""

    server_key: int
    origin_index: int
    origin_zone: int
    kind: ObservationKind
    began_at_ms: float


class EvidenceMessageError(Exception):
    """Not of this form; the text says why."""


def server_key(server: str) -> int:
    """By which datagrams name a server. Two servers may share one, which costs either an observation of the other."""
    return zlib.crc32(server.encode())


def encode(observations: list[Observation], now: float) -> bytes:
    """`MOST_ROWS` at most."""
    rows = [
        ROW.pack(
            o.server_key, o.origin_index, o.origin_zone, o.kind, min(MAX_AGE_MS, max(0, round(now - o.began_at_ms)))
        )
        for o in observations[:MAX_ROWS]
    ]
    return HEADER.pack(FORMAT, VERSION, int(now) % STAMP_PERIOD_MS) + b"".join(rows)


def is_evidence(data: bytes) -> bool:
    return data[:1] == bytes([FORMAT])


def decode(data: bytes, now: float, limiters: int) -> list[Observation]:
    """Raises `WireError`; nothing of a datagram that is wrong in one place is taken."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES or (len(data) - HEADER.size) % ROW.size:
        raise EvidenceMessageError(f"{len(data)} bytes hold no whole rows")
    form, version, stamp = HEADER.unpack_from(data)
    if (form, version) != (FORMAT, VERSION):
        raise EvidenceMessageError(f"format {form}, version {version}: not known")
    late = (int(now) - stamp + STAMP_PERIOD_MS // 2) % STAMP_PERIOD_MS - STAMP_PERIOD_MS // 2
    if abs(late) > MAX_DATAGRAM_AGE_MS:
        raise EvidenceMessageError(f"made {late} ms ago by its sender's clock")
    observations = []
    for server, origin, zone, kind, age in ROW.iter_unpack(data[HEADER.size :]):
        if origin >= limiters or kind > ObservationKind.ANSWERED:
            raise EvidenceMessageError(f"origin {origin}, kind {kind}: not known")
        observations.append(Observation(server, origin, zone, ObservationKind(kind), now - age))
    return observations
