"""The parts of a limiter's state, as its control socket reports them.

Field names on the wire that differ from the attributes are given by `msgspec.field(name=...)`.
"""

from __future__ import annotations

import msgspec


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
        given_units: The units that went to others.
        taken_units: The units that came from others.
        offered_units: The units that were given and may still be taken.
        maximum_sent_per_s: How many datagrams it may send per second.
    """

    given_units: float = msgspec.field(name="given")
    taken_units: float = msgspec.field(name="taken")
    offered_units: float = msgspec.field(name="away")
    maximum_sent_per_s: float = msgspec.field(name="told_most")
