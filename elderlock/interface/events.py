"""The events that a frontend passes to `Limiter.handle`.

Times are milliseconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """The outcome of an attempt, a health check or a call to the shared counter."""

    OK = "ok"
    ERROR = "error"
    """The server answered with an error."""
    FULL = "full"
    """The server had no capacity and rejected the request without executing it."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    """The connection was lost after a part of the request had been sent."""
    CANCELLED = "cancelled"
    NOT_FORWARDED = "moot"
    """The client got a permit but did not forward the request."""


class ServerState(Enum):
    """A server's state in the endpoint list."""

    RUNNING = "running"
    DRAINING = "draining"
    REMOVED = "gone"


class ListKind(Enum):
    """The kind of an endpoint list."""

    CHANGES = "changes"
    """The list contains only the entries that changed."""
    COMPLETE = "all"
    """The list contains all entries; a server that is not in it has been removed."""
    CACHED = "remembered"
    """The list contains all entries as they were stored before this process started."""
    REFUSED = "refused"
    """The list is empty because discovery refused the call."""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """An entry of the endpoint list.

    Attributes:
        server_id: The server's unique name.
        zone: The index of its zone.
        kind: The index of its kind of machine.
        cell: The index of its cell; a cell is a group of servers within a zone.
        state: Its state, which tells whether it accepts new requests.
        weight: Its capacity relative to a server of weight 1.
        started_at_ms: The start time of its process; 0 if the process started long ago or the time is unknown.
    """

    server_id: str
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float
    started_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """An endpoint list, complete or with changes only.

    Attributes:
        version: The version that discovery gives the list.
        kind: The kind of the list.
        entries: The entries of the servers.
    """

    version: int
    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request.

    Attributes:
        request_id: An id that is unique among the open requests.
        class_index: The index of its class in `Settings.request_classes`.
        plan_index: The index of its plan in `Settings.plans`.
        customer_id: The customer whose quota it uses.
        units: Its cost in quota units.
        deadline_ms: The time at which the client stops waiting.
        limiter_count: The number of limiters over which the customer's requests are spread.
        first_limiter: The index of the first of these limiters.
    """

    request_id: str
    class_index: int
    plan_index: int
    customer_id: str
    units: float
    deadline_ms: float
    limiter_count: int
    first_limiter: int


@dataclass(frozen=True, slots=True)
class PermitRequested(RequestArrived):
    """A request for a permit: the client forwards the request to the server itself once it is permitted.

    The answer is `Permit`, `Reject` or `Fail`. A permitted request has one attempt, whose outcome arrives as
    `AttemptEnded`. Its outcome is `NOT_FORWARDED` if the client did not forward the request.
    """


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt.

    Attributes:
        request_id: The request.
        attempt_index: The index of the attempt among the attempts of the request, from 0.
        server_id: The server that it was sent to.
        outcome: Its outcome.
        duration_ms: Its duration.
        is_answered: Whether the request has its final answer, through this outcome or before it.
        meter: One more than the customer's use that the server metered, as a percentage of the plan's rate; 0 if the
            answer has no reading of the meter.
        settled_units: The actual cost of the request in units; 0 if it is unknown.
    """

    request_id: str
    attempt_index: int
    server_id: str
    outcome: Outcome
    duration_ms: float
    is_answered: bool
    meter: int = 0
    settled_units: float = 0.0


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed answer was forwarded to the client."""

    request_id: str
    attempt_index: int
    server_id: str
    duration_ms: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of an open request disconnected. The limiter sends no further attempts or answers for the request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The end of a health check of a server."""

    server_id: str
    outcome: Outcome
    duration_ms: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A datagram from another limiter, in the encoding of `elderlock.peer_messages`."""

    sender_index: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """The shared counter's answer to the `AddToCounter` with this token; `total` is valid only with `Outcome.OK`."""

    token: int
    outcome: Outcome
    total: float
    duration_ms: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that was set by the `SetTimer` with this token fired."""

    token: int


Event = (
    ServerList
    | RequestArrived
    | PermitRequested
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | HealthCheckEnded
    | PeerMessage
    | CounterAnswered
    | TimerFired
)
