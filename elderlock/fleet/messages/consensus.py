"""Messages about permits and about the votes of agents on them."""

from __future__ import annotations

from typing import Literal

import msgspec

from elderlock.control.records import Kind
from elderlock.fleet.messages.base import Message
from elderlock.rollout.permit_ledger import Permit


class RequestPermits(Message, tag="ask"):
    """Requests permits to take targets out of service: for all of them or none.

    A repeated request with the same `origin` returns the permits that were granted before.

    Attributes:
        id: The id of the request.
        origin: The unique id of the command.
        targets: The kind and name of each target.
        reason: The operator's reason, for people.
        generation: The greatest generation of any record that the caller has received.
    """

    id: int
    origin: str
    targets: tuple[tuple[Kind, str], ...]
    reason: str
    generation: int


class PermitsAnswer(Message, tag="granted"):
    """The answer to `RequestPermits`.

    The outcome is `away` where another agent may give a better answer: this agent knows too little, or it reaches no
    majority, so that either nobody can grant anything or it is unknown whether the permits were granted.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        outcome: granted, refused (the budget does not allow it) or away.
        permits: The granted permits.
        reasons: Why nothing was granted, for people.
    """

    id: int
    agent: str
    outcome: Literal["granted", "refused", "away"]
    permits: tuple[Permit, ...] = ()
    reasons: tuple[str, ...] = ()


class Prepare(Message, tag="prepare"):
    """The first phase of a consensus round: requests the promise of a ballot.

    Attributes:
        id: The id of the request.
        number: The number of the ballot.
        proposer: The proposer of the ballot.
    """

    id: int
    number: int
    proposer: str = msgspec.field(name="by")


class Accept(Message, tag="accept"):
    """The second phase of a consensus round: requests that a value is accepted.

    Attributes:
        id: The id of the request.
        number: The number of the ballot.
        proposer: The proposer of the ballot.
        value: The encoded ledger.
    """

    id: int
    number: int
    proposer: str = msgspec.field(name="by")
    value: bytes


class Voted(Message, tag="voted"):
    """An acceptor's answer to `Prepare` or `Accept`.

    Attributes:
        id: The id of the request.
        agent: The name of the acceptor.
        voting: Whether the acceptor votes. One that may have lost its state does not: it has promised nothing.
        ok: Whether it promised the ballot or accepted the value.
        promised: The greatest ballot that it promised, as number and proposer.
        accepted: The ballot of the value that it accepted last, as number and proposer.
        value: The value that it accepted last.
    """

    id: int
    agent: str
    voting: bool
    ok: bool
    promised: tuple[int, str]
    accepted: tuple[int, str] = (0, "")
    value: bytes = b""


class Recall(Message, tag="recall"):
    """Asks which promises of the calling agent the receiver has observed.

    The caller needs the answers before it votes again: they show whether it promised more than its store holds.

    Attributes:
        id: The id of the request.
        agent: The name of the calling agent.
    """

    id: int
    agent: str


class Recalled(Message, tag="recalled"):
    """The answer to `Recall`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        promised: The greatest ballot that the answering agent observed the caller promise, as number and proposer.
        empty: Whether the answering agent has never accepted anything.
    """

    id: int
    agent: str
    promised: tuple[int, str] = msgspec.field(name="seen")
    empty: bool


class ShowBudget(Message, tag="standing"):
    """Requests the state of the disruption budget.

    Attributes:
        id: The id of the request.
    """

    id: int


class BudgetStatus(Message, tag="stood"):
    """The state of the disruption budget, as the answering agent knows it.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        voting: `yes`, `no`, or why the agent does not vote yet.
        version: The version of the agent's ledger.
        permits: The permits that are in use.
        lines: The state of the budget, for people.
    """

    id: int
    agent: str
    voting: str
    version: int
    permits: tuple[Permit, ...]
    lines: tuple[str, ...]
