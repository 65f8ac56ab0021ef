"""The datagrams by which limiters move units of a hard ceiling: a request for units, and a grant."""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct

FORMAT = 0x5F
VERSION = 1
REQUEST_TYPE = 0
GRANT_TYPE = 1
HEADER = Struct(">BBB")  # format, version, type
REQUEST = Struct(">IIBHHI")  # request id, customer key, plan, limiters, first limiter, units
GRANT = Struct(">II")  # request id, units
FRACTIONS_PER_UNIT = 256  # in which units are sent
MAX_FRACTIONS = (1 << 32) - 1


@dataclass(frozen=True, slots=True)
class EscrowRequest:
    """A request for units of one customer's hard ceiling.

    Attributes:
        request_id: Number of the request.
        customer_key: The customer.
        plan_index: Number of the customer's plan in the settings.
        limiter_count: Limiters by which the ceiling is split.
        first_limiter: Number of the first of them.
        units: Units that are requested.
    """

    request_id: int
    customer_key: int
    plan_index: int
    limiter_count: int
    first_limiter: int
    units: float


@dataclass(frozen=True, slots=True)
class EscrowGrant:
    """Units that are given for a request.

    Attributes:
        request_id: Number of the request.
        units: Units that are given.
    """

    request_id: int
    units: float


def encode(message: EscrowRequest | EscrowGrant) -> bytes:
    """Return a datagram; units are rounded down."""
    fractions = min(MAX_FRACTIONS, int(message.units * FRACTIONS_PER_UNIT))
    if isinstance(message, EscrowGrant):
        return HEADER.pack(FORMAT, VERSION, GRANT_TYPE) + GRANT.pack(message.request_id, fractions)
    return HEADER.pack(FORMAT, VERSION, REQUEST_TYPE) + REQUEST.pack(
        message.request_id,
        message.customer_key,
        message.plan_index,
        message.limiter_count,
        message.first_limiter,
        fractions,
    )


def is_escrow(datagram: bytes) -> bool:
    """Return whether a datagram is of this format, in whatever version."""
    return datagram[:1] == bytes([FORMAT])


def decode(datagram: bytes) -> EscrowRequest | EscrowGrant | None:
    """Return the message of a datagram; None where it is not of this form or of an unknown version."""
    if datagram[:2] != bytes([FORMAT, VERSION]):
        return None
    message_type = datagram[2:3]
    body = datagram[HEADER.size :]
    if message_type == bytes([REQUEST_TYPE]) and len(body) == REQUEST.size:
        request_id, customer_key, plan_index, limiter_count, first_limiter, fractions = REQUEST.unpack(body)
        units = fractions / FRACTIONS_PER_UNIT
        return EscrowRequest(request_id, customer_key, plan_index, limiter_count, first_limiter, units)
    if message_type == bytes([GRANT_TYPE]) and len(body) == GRANT.size:
        request_id, fractions = GRANT.unpack(body)
        return EscrowGrant(request_id, fractions / FRACTIONS_PER_UNIT)
    return None
