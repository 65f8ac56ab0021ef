"""The typed and versioned messages between an agent and a limiter on the control socket.

A connection begins with the agent's `Hello`, which the limiter answers with `Welcome` or `Refused`. After that each
request has an id that its answer repeats; answers may arrive in any order. Unknown fields are ignored, unknown messages
are refused. Each message is a MessagePack map with its tag as `type`; `name=` gives a field's name on the wire where it
differs from the attribute.

Durations are in ms and end in `_ms`; times of day are Unix time in ms.
"""

from __future__ import annotations

from functools import cache

import msgspec

from elderlock.control.records import Record
from elderlock.control.status_messages import (
    AnswerCounts,
    CeilingStatus,
    CounterStatus,
    EvidenceStatus,
    HealthWitness,
    LeaseStatus,
    PeerStatus,
    ServerHealth,
    ServerStatus,
    ThrottleStatus,
)

__all__ = [
    "AnswerCounts",
    "ApplyRecords",
    "CeilingStatus",
    "CounterStatus",
    "EvidenceStatus",
    "FromLimiter",
    "GetState",
    "HealthWitness",
    "Hello",
    "LeaseStatus",
    "LimiterState",
    "MAXIMUM_HELLO_BYTES",
    "MAXIMUM_MESSAGE_BYTES",
    "Message",
    "PROTOCOL_VERSION",
    "PeerStatus",
    "RecordsApplied",
    "Refused",
    "ServerHealth",
    "ServerStatus",
    "Stop",
    "Stopping",
    "ThrottleStatus",
    "ToLimiter",
    "Welcome",
    "decode_answer",
    "decode_request",
    "encode_message",
]

PROTOCOL_VERSION = 1
MAXIMUM_MESSAGE_BYTES = 4 << 20  # ten thousand drain records fit
MAXIMUM_HELLO_BYTES = 4096  # for the first message, as the peer is not identified yet


class Message(msgspec.Struct, tag_field="type"):
    """The base class of all messages; the class's tag is sent as `type`."""


class Hello(Message, tag="hello"):
    """The first message of a connection.

    Attributes:
        versions: The protocol versions that the sender speaks.
        agent: The name of the agent.
        epoch: The epoch that the agent claims the limiter with, which increases at each start of the agent; 0 for
            read-only access.
    """

    versions: tuple[int, ...]
    agent: str
    epoch: int = 0


class Welcome(Message, tag="welcome"):
    """The answer to an accepted `Hello`.

    Attributes:
        version: The protocol version of the limiter.
        limiter: The name of the limiter.
        build: The version of its program.
        pid: Its process id.
        started_at: When it started, as Unix time in ms.
        owner: The agent that holds the claim on it; empty if there is none.
        owner_epoch: The epoch of that claim.
    """

    version: int
    limiter: str
    build: str
    pid: int
    started_at: float
    owner: str
    owner_epoch: int


class Refused(Message, tag="refused"):
    """The answer to a message that the limiter does not accept.

    Attributes:
        code: version, claimed, bad-message, unknown-message, not-owner or too-many.
        text: The reason, for display.
        id: The id of the request; 0 for a `Hello`.
        owner: The agent that holds the claim.
        owner_epoch: The epoch of that claim.
    """

    code: str
    text: str
    id: int = 0
    owner: str = ""
    owner_epoch: int = 0


class GetState(Message, tag="look"):
    """The request for the limiter's state.

    Attributes:
        id: The id of the request.
        maximum_accounts: The maximum number of customers whose counts are returned, the busiest first.
    """

    id: int
    maximum_accounts: int = msgspec.field(name="accounts", default=20)


class ApplyRecords(Message, tag="apply"):
    """The request to merge drain records into those that the limiter holds; repeating it changes nothing.

    Attributes:
        id: The id of the request.
        records: The records.
    """

    id: int
    records: tuple[Record, ...]


class RecordsApplied(Message, tag="applied"):
    """The answer to `ApplyRecords`.

    Attributes:
        id: The id of the request.
        records: All records that the limiter holds after the merge.
        applied_at_unix_ms: When they were applied.
        drained_open_requests: The number of open requests at each drained server, by uid.
        open_requests: The total number of open requests.
    """

    id: int
    records: tuple[Record, ...]
    applied_at_unix_ms: float = msgspec.field(name="at")
    drained_open_requests: dict[str, int] = msgspec.field(name="out")
    open_requests: int = msgspec.field(name="open")


class Stop(Message, tag="stop"):
    """The request to shut down."""

    id: int


class Stopping(Message, tag="stopping"):
    """The answer to `Stop`."""

    id: int


class LimiterState(Message, tag="state"):
    """The answer to `GetState`: the state of a limiter.

    Attributes:
        id: The id of the request.
        limiter: The name of the limiter.
        build: The version of its program.
        pid: Its process id.
        uptime_ms: How long it has run.
        config_digest: The digest of its configuration.
        config_parts: The digests of the parts that should be the same at all limiters of a group, by name.
        listen: The address that it listens on.
        discovery: The address of discovery, for display.
        list_version: The version of its endpoint list.
        list_age_ms: How long ago that list was received; -1 before the first.
        ready: Whether it has a list and accepts clients.
        is_drained: Whether an operator drained it.
        open_requests: The number of open requests.
        clients: The number of client connections.
        counts: The number of requests by outcome.
        plans: The same for each plan.
        accounts: The same for each of the busiest customers.
        accounts_known: The number of customers that are counted separately.
        answer_p50_ms: The median of the recent latencies; -1 before any answer.
        answer_p99_ms: The 99th percentile of the recent latencies; -1 before any answer.
        servers: The status of each server at this limiter.
        throttle: Its overload throttle.
        peers: The other limiters.
        records: The drain records that it holds.
        records_digest: Their digest.
        owner: The agent that holds the claim on it.
        owner_epoch: The epoch of that claim.
        counter: The shared counter; None without one.
        shared: The shared health evidence; None where limiters do not share it.
        ceilings: The exchanged units of hard ceilings; None where limiters do not exchange them.
        log_time_sum: The sum of the natural logarithms of the served requests' latencies in ms. With the sum of the
            squares and the count, the mean and variance of any period can be computed.
        log_time_square_sum: The sum of the squares of those logarithms.
    """

    id: int
    limiter: str
    build: str
    pid: int
    uptime_ms: float
    config_digest: str
    config_parts: dict[str, str]
    listen: str
    discovery: str
    list_version: int
    list_age_ms: float
    ready: bool
    is_drained: bool = msgspec.field(name="drained")
    open_requests: int = msgspec.field(name="open")
    clients: int
    counts: AnswerCounts
    plans: dict[str, AnswerCounts]
    accounts: dict[str, AnswerCounts]
    accounts_known: int
    answer_p50_ms: float
    answer_p99_ms: float
    servers: tuple[ServerStatus, ...] = msgspec.field(name="boxes")
    throttle: ThrottleStatus
    peers: tuple[PeerStatus, ...]
    records: tuple[Record, ...]
    records_digest: str
    owner: str
    owner_epoch: int
    counter: CounterStatus | None = None
    shared: EvidenceStatus | None = None
    ceilings: CeilingStatus | None = None
    log_time_sum: float = msgspec.field(name="log_sum", default=0.0)
    log_time_square_sum: float = msgspec.field(name="log_squares", default=0.0)


ToLimiter = Hello | GetState | ApplyRecords | Stop
FromLimiter = Welcome | Refused | RecordsApplied | LimiterState | Stopping

_encoder = msgspec.msgpack.Encoder()


# Decoders are created on first use: a limiter decodes only requests, its agent only answers, a command neither.
@cache
def _request_decoder() -> msgspec.msgpack.Decoder[ToLimiter]:
    return msgspec.msgpack.Decoder(ToLimiter)


@cache
def _answer_decoder() -> msgspec.msgpack.Decoder[FromLimiter]:
    return msgspec.msgpack.Decoder(FromLimiter)


def encode_message(message: Message) -> bytes:
    """Encode a message, without its frame."""
    return _encoder.encode(message)


def decode_request(body: bytes) -> ToLimiter:
    """Decode a message to a limiter.

    Raises:
        msgspec.DecodeError: It is malformed or of an unknown type; the text says what is wrong.
    """
    return _request_decoder().decode(body)


def decode_answer(body: bytes) -> FromLimiter:
    """Decode a message from a limiter.

    Raises:
        msgspec.DecodeError: It is malformed or of an unknown type; the text says what is wrong.
    """
    return _answer_decoder().decode(body)
