"""Permits and the votes of agents on them."""

from __future__ import annotations

from typing import Literal

from elderlock.control.records import Kind
from elderlock.fleet.messages.base import Message
from elderlock.rollout.permit_ledger import Permit


class RequestPermits(Message, tag="ask"):
    """For permits to take these out, all or none. Repeating it under its `origin` finds the same ones. `generation`:
    the greatest that the caller saw in a record."""

    id: int
    origin: str
    targets: tuple[tuple[Kind, str], ...]
    reason: str
    generation: int


class PermitsAnswer(Message, tag="granted"):
    """`outcome`: granted, refused (the budget says no, `reasons` why), or away: another agent may say more. No majority
    answers (nobody can grant anything, or it was not to be learnt whether it did), or this agent knows too little."""

    id: int
    agent: str
    outcome: Literal["granted", "refused", "away"]
    permits: tuple[Permit, ...] = ()
    reasons: tuple[str, ...] = ()


class Prepare(Message, tag="prepare"):
    id: int
    number: int
    by: str


class Accept(Message, tag="accept"):
    id: int
    number: int
    by: str
    value: bytes


class Voted(Message, tag="voted"):
    """An acceptor's answer to either. `voting` is false for one that may have lost its state: it promised nothing."""

    id: int
    agent: str
    voting: bool
    ok: bool
    promised: tuple[int, str]
    accepted: tuple[int, str] = (0, "")
    value: bytes = b""


class Recall(Message, tag="recall"):
    """What the asker has to know before it votes again: whether others saw it promise more than it remembers."""

    id: int
    agent: str


class Recalled(Message, tag="recalled"):
    """`seen`: the greatest ballot that this one saw the asker promise. `empty`: it has never accepted anything."""

    id: int
    agent: str
    seen: tuple[int, str]
    empty: bool


class ShowBudget(Message, tag="standing"):
    id: int


class BudgetStatus(Message, tag="stood"):
    """How the budget stands, as this agent knows it: `lines` for people."""

    id: int
    agent: str
    voting: str  # yes, no, or why not yet
    version: int
    permits: tuple[Permit, ...]
    lines: tuple[str, ...]
