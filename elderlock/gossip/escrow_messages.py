"""The datagrams with which limiters transfer units of a hard ceiling: a request for units, and a grant."""

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
FRACTIONS_PER_UNIT = 256  # units are encoded as multiples of 1/256
MAX_FRACTIONS = (1 << 32) - 1


@dataclass(frozen=True, slots=True)
class EscrowRequest:
    """A request for units of one customer's hard ceiling.

    Attributes:
        request_id: The id of the request, unique for the sender.
        customer_key: The customer.
        plan_index: The index of the customer's plan in the settings.
        limiter_count: The number of limiters among which the ceiling is split.
        first_limiter: The index of the first of them.
        units: The requested units.
    """

    request_id: int
    customer_key: int
    plan_index: int
    limiter_count: int
    first_limiter: int
    units: float


@dataclass(frozen=True, slots=True)
class EscrowGrant:
    """Units that are granted for a request.

    Attributes:
        request_id: The id of the request.
        units: The granted units.
    """

    request_id: int
    units: float


def encode(message: EscrowRequest | EscrowGrant) -> bytes:
    """Encode a message as a datagram; units are rounded down."""
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
    """Return whether a datagram has this format, in any version."""
    return datagram[:1] == bytes([FORMAT])


def decode(datagram: bytes) -> EscrowRequest | EscrowGrant | None:
    """Decode a datagram; return None where it is malformed or has another format or version."""
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
