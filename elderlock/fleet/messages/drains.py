"""Messages about drains and about orders to limiters, and how far each got at every limiter."""

from __future__ import annotations

from typing import Literal

import msgspec

from elderlock.control.records import Kind, Record
from elderlock.fleet.messages.base import Message
from elderlock.fleet.messages.status import Phase
from elderlock.rollout.permit_ledger import Permit

Reached = Literal["reached", "at-start", "unknown", "not-reached"]
Decided = Literal["made", "joined", "stale", "refused"]


class DrainIntent(msgspec.Struct, frozen=True):
    """What an operator wants of one target.

    Attributes:
        kind: Whether the target is a server (`box`) or a limiter.
        target: The uid of the server or the name of the limiter.
        is_drained: Whether the target has to be drained.
        expected_generation: The generation of the target's record that the operator acted on; 0 where it had no record.
    """

    kind: Kind
    target: str
    is_drained: bool = msgspec.field(name="drained")
    expected_generation: int = msgspec.field(name="expect")


class SubmitIntents(Message, tag="intend"):
    """Submits an operator's intents. A repeated request with the same `origin` changes nothing.

    Attributes:
        id: The id of the request.
        origin: The unique id of the command.
        generation: The generation of the records to make, greater than any that the caller has received.
        intents: The intents.
        known: The newest records of the targets that the caller has received, so that an agent that was cut off from
            the group applies them first.
        reason: The operator's reason, for people.
        within_ms: How long the agent waits for its limiters before it answers.
        permits: The permits for the targets to drain, where the group has a budget.
        force: Whether to drain without a permit.
    """

    id: int
    origin: str
    generation: int
    intents: tuple[DrainIntent, ...] = msgspec.field(name="wishes")
    known: tuple[Record, ...]
    reason: str
    within_ms: float
    permits: tuple[Permit, ...] = ()
    force: bool = False


class Decision(msgspec.Struct):
    """What an agent decided about one intent.

    Attributes:
        outcome: made (a record was made), joined (a record already says the same), stale (another operator changed the
            target since) or refused.
        record: The newest record of the target, if it has one.
        text: The reason, for people.
    """

    outcome: Decided
    record: Record | None
    text: str = ""


class Reach(msgspec.Struct):
    """How far one record got at one limiter.

    Attributes:
        limiter: The name of the limiter.
        kind: The kind of the record's target.
        target: The record's target.
        state: reached (in force), at-start (in force before the limiter serves its first request), unknown (sent but
            not answered) or not-reached.
        at: When the limiter put the record in force, in ms of Unix time; 0 unless `state` is reached.
        why: Why it was not reached, for people.
        open_requests: For a server, how many attempts of this limiter are open at it; for a limiter, how many requests
            it has open.
    """

    limiter: str
    kind: Kind
    target: str
    state: Reached
    at: float
    why: str
    open_requests: int = msgspec.field(name="out")


class IntentsAnswer(Message, tag="intended"):
    """The answer to `SubmitIntents`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        decisions: One decision for each intent, in the same order.
        reach: How far the records got at the agent's limiters.
    """

    id: int
    agent: str
    decisions: tuple[Decision, ...]
    reach: tuple[Reach, ...]


class Progress(Message, tag="progress"):
    """Asks how far the newest records of some targets got.

    Attributes:
        id: The id of the request.
        targets: The kind and name of each target.
    """

    id: int
    targets: tuple[tuple[Kind, str], ...]


class Progressed(Message, tag="progressed"):
    """The answer to `Progress`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        records: The newest records of the targets.
        reach: How far they got at the agent's limiters.
    """

    id: int
    agent: str
    records: tuple[Record, ...]
    reach: tuple[Reach, ...]


class Order(Message, tag="order"):
    """Orders an agent to start or stop one of its limiters.

    Attributes:
        id: The id of the request.
        action: What to do.
        limiter: The name of the limiter.
    """

    id: int
    action: Literal["start", "stop"]
    limiter: str


class Ordered(Message, tag="ordered"):
    """The answer to `Order`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        phase: The phase of the limiter's process after the order.
        text: The outcome, for people.
    """

    id: int
    agent: str
    phase: Phase
    text: str
