"""The status of limiters and agents: what an agent shows, and what agents exchange about one another."""

from __future__ import annotations

from typing import Literal

import msgspec

from elderlock.control.messages import LimiterState
from elderlock.control.records import Record
from elderlock.fleet.messages.base import Message
from elderlock.rollout.canary_analysis import AnswerMetrics
from elderlock.rollout.plan_executor import ExecutionProgress

Phase = Literal["stopped", "starting", "running", "stopping", "backing-off", "gave-up"]


class LimiterStatus(msgspec.Struct):
    """A limiter as its agent supervises it; `state` is what the limiter said of itself `heard_age_ms` ago."""

    name: str
    phase: Phase
    pid: int
    adopted: bool
    restarts: int
    next_start_ms: float  # till the next start while it backs off, else -1
    link: Literal["answering", "silent", "down", "claimed"]
    link_why: str
    heard_age_ms: float
    state: LimiterState | None


class LimiterBrief(msgspec.Struct):
    """Enough of a limiter for others to tell when its agent is gone."""

    name: str
    phase: Phase
    link: str
    open: int
    is_drained: bool = msgspec.field(name="drained")
    boxes_drained: int
    version: str = ""  # that its process runs; empty for the one in its agent's file
    serving: bool = False  # it answers, has its list and takes clients
    restarts: int = 0
    figures: AnswerMetrics = AnswerMetrics()
    progress: ExecutionProgress = msgspec.field(name="said", default=ExecutionProgress())  # of a release


class AgentBrief(msgspec.Struct, frozen=True):
    """An agent of itself. `based`: a base started it, so it can be released. `starts`: of its process on this
    version."""

    version: str = ""
    based: bool = False
    starts: int = 0
    serving: bool = False
    progress: ExecutionProgress = msgspec.field(name="said", default=ExecutionProgress())


class AgentObservation(msgspec.Struct):
    """What the answering agent last heard of another: not what that one says of itself."""

    agent: str
    standing: Literal["alive", "suspect", "unreachable"]
    incarnation: int
    sequence: int
    age_ms: float  # since that one spoke; -1 where it never did
    via: str  # who told, where it was not that one
    limiters: tuple[LimiterBrief, ...]


class Show(Message, tag="show"):
    """`within_ms`: how long the agent waits for its limiters' fresh word."""

    id: int
    accounts: int = 20
    within_ms: float = 400.0


class Shown(Message, tag="shown"):
    id: int
    agent: str
    build: str
    incarnation: int
    uptime_ms: float
    store: str  # in words, empty where all is well
    limiters: tuple[LimiterStatus, ...]
    records: tuple[Record, ...]
    heard: tuple[AgentObservation, ...]


class Exchange(Message, tag="exchange"):
    """One agent to another, and its answer: what it is, holds and last heard of the others."""

    id: int
    agent: str
    incarnation: int
    sequence: int
    limiters: tuple[LimiterBrief, ...]
    digest: str
    records: tuple[Record, ...]  # empty where the last answer's digest was the same
    heard: tuple[AgentObservation, ...]  # of those that the other lacks
    ledger: bytes = b""  # the newest that it knows to be chosen, where the other has an older one
    ledger_version: int = -1
    unheard_agents: tuple[str, ...] | None = msgspec.field(
        name="lacks", default=None
    )  # of whom it has heard nothing lately; None for one that does not say
    halts: tuple[tuple[str, int, str], ...] = ()  # plan, turn and why: in force at once, also where no majority answers
    agent_brief: AgentBrief = msgspec.field(name="itself", default=AgentBrief())
