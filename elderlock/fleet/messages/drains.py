"""Operators' drains and orders, and how far they came at each limiter."""

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
    kind: Kind
    target: str
    is_drained: bool = msgspec.field(name="drained")
    expect: int  # the generation that the operator saw, 0 where there was no record


class SubmitIntents(Message, tag="intend"):
    """`generation` is above all that the caller has seen; `known` are the newest records it saw, so an
    agent that was cut off learns them first. Repeating it under its `origin` changes nothing."""

    id: int
    origin: str
    generation: int
    intents: tuple[DrainIntent, ...] = msgspec.field(name="wishes")
    known: tuple[Record, ...]
    reason: str
    within_ms: float
    permits: tuple[Permit, ...] = ()  # for what is drained, where the group has a budget
    force: bool = False  # without a permit


class Decision(msgspec.Struct):
    outcome: Decided
    record: Record | None
    text: str = ""


class Reach(msgspec.Struct):
    """How far one record came at one limiter. `at`: when the limiter put it in force, for `reached`."""

    limiter: str
    kind: Kind
    target: str
    state: Reached
    at: float
    why: str
    open_requests: int = msgspec.field(
        name="out"
    )  # attempts of this limiter that are still out at the box; of a limiter, its open requests


class IntentsAnswer(Message, tag="intended"):
    id: int
    agent: str
    decisions: tuple[Decision, ...]
    reach: tuple[Reach, ...]


class Progress(Message, tag="progress"):
    id: int
    targets: tuple[tuple[Kind, str], ...]


class Progressed(Message, tag="progressed"):
    id: int
    agent: str
    records: tuple[Record, ...]
    reach: tuple[Reach, ...]


class Order(Message, tag="order"):
    id: int
    action: Literal["start", "stop"]
    limiter: str


class Ordered(Message, tag="ordered"):
    id: int
    agent: str
    phase: Phase
    text: str
