"""The parts of the `LimiterState` message on the control socket.

`msgspec.field(name=...)` gives a field's name on the wire where it differs from the attribute.
"""

from __future__ import annotations

import msgspec


class AnswerCounts(msgspec.Struct):
    """The number of requests by outcome since the limiter started.

    Attributes:
        served: Requests answered with a server's value.
        refused: Requests that the limiter refused.
        failed: Requests that failed.
        abandoned: Requests whose client disconnected before the answer.
    """

    served: int = 0
    refused: int = 0
    failed: int = 0
    abandoned: int = msgspec.field(name="gone", default=0)

    def total(self) -> int:
        """Return the number of all requests."""
        return self.served + self.refused + self.failed + self.abandoned


class HealthWitness(msgspec.Struct, frozen=True):
    """One limiter's health evidence on a server, as held by another limiter.

    Attributes:
        limiter: The index of the limiter that the evidence is from.
        zone: The zone of that limiter.
        failed_age_ms: How long ago its last failed attempt began; -1 if there is none.
        answered_age_ms: How long ago its last answered attempt began; -1 if there is none.
    """

    limiter: int
    zone: str
    failed_age_ms: float
    answered_age_ms: float


class ServerHealth(msgspec.Struct, frozen=True):
    """The shared health evidence on a server.

    Attributes:
        failure_weight: The weighted sum of the failures.
        ejection_weight: The sum from which on the server is ejected.
        ejected_ms: How long the server has been ejected; -1 if it is not.
        ejected_by: The indices of the limiters whose failures led to the ejection.
        witnesses: The evidence, by limiter.
    """

    failure_weight: float = msgspec.field(name="weighed")
    ejection_weight: float = msgspec.field(name="enough")
    ejected_ms: float = msgspec.field(name="left_out_ms")
    ejected_by: tuple[int, ...] = msgspec.field(name="left_out_by")
    witnesses: tuple[HealthWitness, ...]


class ServerStatus(msgspec.Struct, frozen=True):
    """One limiter's view of a server; figures are -1 as long as there was no answer or no load report.

    Attributes:
        uid: The server's uid.
        endpoint: Its address, `host:port`.
        zone: Its zone.
        kind: Its hardware kind.
        weight: Its capacity weight.
        state: Its state as discovery reports it.
        open_requests: The number of the limiter's open requests at it.
        connections: The number of the limiter's connections to it.
        latency_ms: The limiter's estimate of its latency.
        latency_age_ms: How long ago that estimate was last updated.
        queue: The queue length in its last load report.
        report_age_ms: How long ago that report was received.
        unavailable_reason: Why it gets no new requests, or fewer than its weight; empty if there is no such reason.
        drained_by: The operator that drained it; empty if none did.
        generation: The generation of its drain record; 0 if there is none.
        health: The shared health evidence on it; None if there is none.
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
    """The limiter's overload throttle; the phases are named as in the paper that describes it.

    Attributes:
        phase: The phase.
        leak_rate: The leak rate per second.
        admit_rate: Admitted requests per second.
        answer_rate: Answers per second.
    """

    phase: str
    leak_rate: float
    admit_rate: float
    answer_rate: float


class PeerStatus(msgspec.Struct, frozen=True):
    """One limiter's view of another.

    Attributes:
        number: The index of the other limiter.
        is_skipped: Whether it is skipped as a quota owner because it did not answer.
        missed_answers: How many consecutive queries it did not answer.
    """

    number: int
    is_skipped: bool = msgspec.field(name="passed_over")
    missed_answers: int = msgspec.field(name="missed")


class LeaseStatus(msgspec.Struct, frozen=True):
    """A customer's token bucket at a limiter that uses a shared counter.

    Attributes:
        account: The customer.
        stored_units: The bucket's level, according to the latest total of the counter.
        burst_units: The bucket's capacity.
        drawn_units: Units that were drawn and are not spent yet.
        unreported_units: Units that were admitted and are not reported to the counter yet.
    """

    account: str
    stored_units: float = msgspec.field(name="level")
    burst_units: float = msgspec.field(name="burst")
    drawn_units: float = msgspec.field(name="drawn")
    unreported_units: float = msgspec.field(name="owed")


class CounterStatus(msgspec.Struct, frozen=True):
    """One limiter's view of the shared counter.

    Attributes:
        mode: shared, local or recovering.
        since_ms: How long it has been in that mode.
        generation: The generation of the counter.
        accounts: The number of customers that the limiter holds leases for.
        calls: The number of calls it has made.
        calls_per_s: The number of calls it makes per second.
        error_units: The current error bound, for the plan with the largest one.
        leases: The leases of the customers with the highest usage.
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
    """The state of health evidence sharing at a limiter.

    Attributes:
        received: The number of datagrams it received.
        refused: The number of received datagrams that it refused.
        sent: The number of datagrams it sent.
        maximum_sent_per_s: The maximum number of datagrams it may send per second.
        received_age_ms: How long ago the last one was received; -1 if none was.
        evidence_lifetime_ms: How long evidence is valid.
        servers: The number of servers it holds evidence on.
        disbelieved: The indices of limiters that are ignored because they report failures of too many servers.
        is_silent: Whether it reports no failures because most of its own attempts failed.
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
    """The units of hard ceilings that a limiter has exchanged with others since its start.

    Attributes:
        given_units: Units given to others.
        taken_units: Units taken over from others.
        offered_units: Units given to others that may not have arrived yet.
        maximum_sent_per_s: The maximum number of datagrams it may send per second.
    """

    given_units: float = msgspec.field(name="given")
    taken_units: float = msgspec.field(name="taken")
    offered_units: float = msgspec.field(name="away")
    maximum_sent_per_s: float = msgspec.field(name="told_most")
