"""The events that a frontend hands to `Limiter.handle`: what happened, as typed messages.

Times are milliseconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How an attempt, a health check or a call of the counter ended."""

    OK = "ok"
    ERROR = "error"
    """The server answered with an error."""
    FULL = "full"
    """The server rejected the request for want of capacity, without executing it."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    """The connection broke after the request had begun to leave."""
    CANCELLED = "cancelled"
    NOT_FORWARDED = "moot"
    """A permitted attempt that the client never made."""


class ServerState(Enum):
    """A server's state in the endpoint list."""

    RUNNING = "running"
    DRAINING = "draining"
    REMOVED = "gone"


class ListKind(Enum):
    """What an endpoint list contains."""

    CHANGES = "changes"
    """The entries that changed."""
    COMPLETE = "all"
    """All entries: a server that isn't named has been removed."""
    CACHED = "remembered"
    """All entries as stored before this process started."""
    REFUSED = "refused"
    """Nothing: the call was refused."""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A server as the endpoint list describes it.

    Attributes:
        server_id: The server's unique name.
        zone: Index of its zone.
        kind: Index of its kind of machine.
        cell: Index of its cell, a group inside a zone.
        state: Whether it takes new requests.
        weight: Its capacity relative to a server of weight 1.
        started_at_ms: When its process started; 0 where that is long ago or unknown.
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
    """An endpoint list, complete or in part.

    Attributes:
        version: Discovery's version of the list.
        kind: What it contains.
        entries: The servers.
    """

    version: int
    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request.

    Attributes:
        request_id: Unique among the open requests.
        class_index: Its class in `Settings.request_classes`.
        plan_index: Its plan in `Settings.plans`.
        customer_id: Whose quota it uses.
        units: Quota units it costs.
        deadline_ms: When the client stops waiting.
        limiter_count: Limiters over which the customer's requests are spread.
        first_limiter: The first of these limiters.
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
    """A request that the client itself forwards once it is permitted.

    It is answered by `Permit`, `Reject` or `Fail`. How its one attempt ended comes as `AttemptEnded`, with
    `NOT_FORWARDED` where the client never made it.
    """


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt.

    Attributes:
        request_id: The request.
        attempt_index: The attempt's number in the request, from 0.
        server_id: Where it went.
        outcome: How it ended.
        duration_ms: How long it took.
        is_answered: Whether the request has its final answer, by this outcome or before it.
        meter: The server's meter of the customer's use in hundredths of the plan's rate, plus 1; 0 where there is none.
        settled_units: What the request really cost; 0 where that isn't told.
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
    """The first part of a streamed answer has been passed to the client."""

    request_id: str
    attempt_index: int
    server_id: str
    duration_ms: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of an open request has gone; nothing more may be done for it."""

    request_id: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The end of a health check of a server."""

    server_id: str
    outcome: Outcome
    duration_ms: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A datagram of another limiter, as `elderlock.peer_messages` reads it."""

    sender_index: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """The shared counter's answer to the `AddToCounter` with this token; `total` counts only with `Outcome.OK`."""

    token: int
    outcome: Outcome
    total: float
    duration_ms: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that a `SetTimer` with this token asked for."""

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
