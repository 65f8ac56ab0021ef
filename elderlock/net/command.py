"""A client's request as a typed message, independent of the protocol that it was received on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Command:
    """A client's request, parsed and validated.

    Attributes:
        client_request_id: The client's id of the request.
        class_index: Index of the request class in the settings.
        plan_index: Index of the customer's plan in the settings.
        customer_id: The customer whose quota the request counts against, as 16 lower-case hex digits.
        wait_ms: How long the client still waits for its answer.
        units: Units of quota that the request costs.
        limiter_count: Number of limiters among which the client spreads this customer's requests.
        first_limiter: Index of the first of those limiters.
        encode: Encodes the command for a server, given how long (ms) this limiter waits for the answer.
        size_bytes: Bytes that the client sent, kept in memory until the request has ended.
    """

    client_request_id: bytes
    class_index: int
    plan_index: int
    customer_id: str
    wait_ms: float
    units: float
    limiter_count: int
    first_limiter: int
    encode: Callable[[float], bytes]
    size_bytes: int = 0
