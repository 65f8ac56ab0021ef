"""The actions that `Limiter.handle` returns. The frontend carries them out in the order of the list.

Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a server; the attempt times out after `timeout_ms`, which is greater than 0."""

    request_id: str
    server_id: str
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Permit:
    """Final answer: the client may forward the request to this server and wait at most `timeout_ms` for the answer.

    The limiter counts the permit as an attempt.
    """

    request_id: str
    server_id: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was not executed and a retry is harmless.

    Attributes:
        request_id: The request.
        retry_after_ms: The time after which a retry may succeed; 0 if the rejection carries no such hint.
    """

    request_id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed and may have been executed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request_id: str
    attempt_index: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a datagram to another limiter."""

    receiver_index: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a counter in the store that all limiters share.

    The answer is a `CounterAnswered` event with the same token. It may never arrive.

    Attributes:
        token: Identifies this call.
        counter_name: The counter's name in the store.
        amount: The amount to add.
        lifetime_ms: The time after the first addition at which the store deletes the counter.
    """

    token: int
    counter_name: str
    amount: float
    lifetime_ms: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Start or end the subscription to changes of the endpoint list."""

    active: bool


@dataclass(frozen=True, slots=True)
class FetchServerList:
    """Fetch the complete endpoint list."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `TimerFired` with this token after the delay. This replaces the timer that was set before."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | Permit
    | Reject
    | Fail
    | CancelAttempt
    | SendPeerMessage
    | AddToCounter
    | Subscribe
    | FetchServerList
    | SetTimer
    | Log
)
