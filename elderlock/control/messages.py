"""The messages between an agent and a limiter on the control socket, typed and versioned.

A connection begins with the agent's `Hello`, which the limiter answers with `Welcome` or `Refused`. After that each
request has an id that its answer repeats; answers may come in any order. Unknown fields are ignored, unknown messages
are refused. Each message is a MessagePack map whose `type` names it; fields keep their names on the wire (`name=`).

Durations are in ms and end in `_ms`; times of day are Unix time in ms.
"""

from __future__ import annotations

from functools import cache

import msgspec

from elderlock.control.records import Record

PROTOCOL_VERSION = 1
MAXIMUM_MESSAGE_BYTES = 4 << 20  # ten thousand records take less
MAXIMUM_HELLO_BYTES = 4096  # of the first message, from a peer that is not identified yet


class Message(msgspec.Struct, tag_field="type"):
    """The base of all messages: the class's tag is sent as `type`."""


class Hello(Message, tag="hello"):
    """The first message of a connection.

    Attributes:
        versions: The protocol versions that the sender speaks.
        agent: The name of the agent.
        epoch: The epoch that the agent claims the limiter with, greater at each start of the agent; 0 to only look on.
    """

    versions: tuple[int, ...]
    agent: str
    epoch: int = 0


class Welcome(Message, tag="welcome"):
    """The answer to a `Hello` that is accepted.

    Attributes:
        version: The protocol version of the limiter.
        limiter: The name of the limiter.
        build: The version of its program.
        pid: Its process id.
        started_at: When it started, in ms of Unix time.
        owner: The agent that holds the claim on it; empty where none does.
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
    """The answer to what the limiter does not accept.

    Attributes:
        code: version, claimed, bad-message, unknown-message, not-owner or too-many.
        text: Why, for people.
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
        maximum_accounts: Of how many customers to return the counts, the busiest first.
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
        records: All records that the limiter holds now.
        applied_at_unix_ms: Since when they are in force.
        drained_open_requests: The count of open requests at each drained server, by uid.
        open_requests: The count of open requests in all.
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


class AnswerCounts(msgspec.Struct):
    """Counts of requests by how they ended, since the limiter started.

    Attributes:
        served: A server's answer was passed on.
        refused: The limiter refused the request.
        failed: The request failed.
        abandoned: The client disconnected before the answer.
    """

    served: int = 0
    refused: int = 0
    failed: int = 0
    abandoned: int = msgspec.field(name="gone", default=0)

    def total(self) -> int:
        """Return the count of all requests."""
        return self.served + self.refused + self.failed + self.abandoned


class HealthWitness(msgspec.Struct, frozen=True):
    """The health evidence on a server that came from one limiter, as another limiter holds it.

    Attributes:
        limiter: The number of the limiter that the evidence is from.
        zone: The zone of that limiter.
        failed_age_ms: How long ago its last failed attempt began; -1 for none.
        answered_age_ms: How long ago its last answered attempt began; -1 for none.
    """

    limiter: int
    zone: str
    failed_age_ms: float
    answered_age_ms: float


class ServerHealth(msgspec.Struct, frozen=True):
    """What limiters that share health evidence know of a server.

    Attributes:
        failure_weight: The weighted sum of the failures.
        ejection_weight: The sum from which the server is ejected.
        ejected_ms: For how long the server has been ejected; -1 where it is not.
        ejected_by: The numbers of the limiters whose failures led to the ejection.
        witnesses: The evidence, by limiter.
    """

    failure_weight: float = msgspec.field(name="weighed")
    ejection_weight: float = msgspec.field(name="enough")
    ejected_ms: float = msgspec.field(name="left_out_ms")
    ejected_by: tuple[int, ...] = msgspec.field(name="left_out_by")
    witnesses: tuple[HealthWitness, ...]


class ServerStatus(msgspec.Struct, frozen=True):
    """A server as one limiter sees it; -1 stands for what is not known, as there was no answer or no report yet.

    Attributes:
        uid: The server's uid.
        endpoint: Its address, `host:port`.
        zone: Its zone.
        kind: Its hardware kind.
        weight: Its capacity weight.
        state: Its state as discovery reports it.
        open_requests: The count of the limiter's open requests at it.
        connections: The count of the limiter's connections to it.
        latency_ms: The limiter's estimate of its latency.
        latency_age_ms: How long ago that estimate was last updated.
        queue: The queue length of its last load report.
        report_age_ms: How long ago that report came.
        unavailable_reason: Why it gets no new requests, or fewer than its weight; empty where it gets them.
        drained_by: The operator that drained it; empty where none did.
        generation: The generation of its drain record; 0 where there is none.
        health: The shared health evidence on it; None where there is none.
    """

    uid: str
    endpoint: str
    zone: str = msgspec.field(name="floor")
    kind: str
    weight: float
    state: str
    open_requests: int = msgspec.field(name="out")
    connections: int
    latency_ms: float
    latency_age_ms: float
    queue: int
    report_age_ms: float
    unavailable_reason: str = msgspec.field(name="left_out")
    drained_by: str
    generation: int
    health: ServerHealth | None = None


class ThrottleStatus(msgspec.Struct, frozen=True):
    """The limiter's overload throttle; the phases have the names of its paper.

    Attributes:
        phase: The phase.
        leak_rate: The leak rate, per second.
        admit_rate: Admitted requests, per second.
        answer_rate: Answers, per second.
    """

    phase: str
    leak_rate: float
    admit_rate: float
    answer_rate: float


class PeerStatus(msgspec.Struct, frozen=True):
    """Another limiter as this one sees it.

    Attributes:
        number: Its number.
        is_skipped: Whether it is skipped as a quota owner, as it did not answer.
        missed_answers: How many questions in a row it left unanswered.
    """

    number: int
    is_skipped: bool = msgspec.field(name="passed_over")
    missed_answers: int = msgspec.field(name="missed")


class LeaseStatus(msgspec.Struct, frozen=True):
    """A customer's token bucket at a limiter that uses a shared counter; all figures in units.

    Attributes:
        account: The customer.
        stored_units: What the bucket holds, by the latest total of the counter.
        burst_units: What the bucket holds at most.
        drawn_units: What was drawn and is not spent yet.
        unreported_units: What was admitted and is not reported to the counter yet.
    """

    account: str
    stored_units: float = msgspec.field(name="level")
    burst_units: float = msgspec.field(name="burst")
    drawn_units: float = msgspec.field(name="drawn")
    unreported_units: float = msgspec.field(name="owed")


class CounterStatus(msgspec.Struct, frozen=True):
    """A shared counter as a limiter sees it.

    Attributes:
        mode: shared, local or recovering.
        since_ms: For how long it has been in that mode.
        generation: The generation of the counter.
        accounts: How many customers the limiter holds leases for.
        calls: How many calls it has made.
        calls_per_s: How many calls it makes per second.
        error_units: The stated error bound in force now, of the plan for which it is largest.
        leases: The leases of the customers that use most.
    """

    mode: str
    since_ms: float
    generation: int
    accounts: int
    calls: int
    calls_per_s: float
    error_units: float
    leases: tuple[LeaseStatus, ...] = ()


class EvidenceStatus(msgspec.Struct, frozen=True):
    """The health evidence that a limiter shares.

    Attributes:
        received: How many datagrams it received.
        refused: How many of them it refused.
        sent: How many datagrams it sent.
        maximum_sent_per_s: How many it may send per second.
        received_age_ms: How long ago the last one came; -1 for never.
        evidence_lifetime_ms: For how long evidence counts.
        servers: On how many servers it holds evidence.
        disbelieved: The numbers of the limiters that report failures of too many servers to be believed.
        is_silent: Whether it reports no failures, as most of its own attempts failed.
    """

    received: int = msgspec.field(name="heard")
    refused: int
    sent: int = msgspec.field(name="told")
    maximum_sent_per_s: float = msgspec.field(name="told_most")
    received_age_ms: float = msgspec.field(name="heard_age_ms")
    evidence_lifetime_ms: float = msgspec.field(name="counts_ms")
    servers: int
    disbelieved: tuple[int, ...]
    is_silent: bool = msgspec.field(name="silent")


class CeilingStatus(msgspec.Struct, frozen=True):
    """The units of hard ceilings that a limiter exchanged with others since its start.

    Attributes:
        given: The units that went to others.
        taken: The units that came from others.
        offered: The units that were given and may still be taken.
        maximum_sent_per_s: How many datagrams it may send per second.
    """

    given: float
    taken: float
    offered: float = msgspec.field(name="away")
    maximum_sent_per_s: float = msgspec.field(name="told_most")


class LimiterState(Message, tag="state"):
    """The answer to `GetState`: the state of a limiter.

    Attributes:
        id: The id of the request.
        limiter: The name of the limiter.
        build: The version of its program.
        pid: Its process id.
        uptime_ms: How long it has run.
        config_digest: The digest of its configuration.
        config_parts: The digests of the parts that all limiters of a group should have in common, by name.
        listen: The address that it listens on.
        discovery: The state of its connection to discovery, for people.
        list_version: The version of its endpoint list.
        list_age_ms: How long ago that list came; -1 where none has come.
        ready: Whether it has a list and accepts clients.
        is_drained: Whether an operator drained it.
        open_requests: The count of open requests.
        clients: The count of client connections.
        counts: The requests by how they ended.
        plans: The same by plan.
        accounts: The same for the busiest customers.
        accounts_known: How many customers it counts.
        answer_p50_ms: The median of the recent latencies; -1 before any answer.
        answer_p99_ms: The 99th percentile of the recent latencies; -1 before any answer.
        servers: The servers, as the limiter sees them.
        throttle: Its overload throttle.
        peers: The other limiters.
        records: The drain records that it holds.
        records_digest: Their digest.
        owner: The agent that holds the claim on it.
        owner_epoch: The epoch of that claim.
        counter: The shared counter, where there is one.
        shared: The shared health evidence, where limiters share it.
        ceilings: The exchanged units of hard ceilings, where limiters exchange them.
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


# Decoders are made when first needed: a limiter decodes requests, its agent answers, and a command neither.
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
