"""What the command line and agents say to an agent, and agents to one another: typed and versioned.

A connection begins with `Hello` and its token. Each request has an id that its answer repeats. Times are
ms, `at` fields Unix time; ages are counted by whoever sends them, so clocks need not agree.
"""

from __future__ import annotations

from functools import cache
from typing import Literal

import msgspec

from elderlock.control.messages import State
from elderlock.control.records import Kind, Record
from elderlock.rollout.carrying import Said
from elderlock.rollout.ledger import Permit
from elderlock.rollout.plans import Plan, PlanKind, Terms
from elderlock.rollout.verdict import Figures

VERSION = 1
LONGEST = 16 << 20  # bytes of a message
LONGEST_HELLO = 4096

Role = Literal["viewer", "operator", "agent"]
Reached = Literal["reached", "at-start", "unknown", "not-reached"]
Phase = Literal["stopped", "starting", "running", "stopping", "backing-off", "gave-up"]
Decided = Literal["made", "joined", "stale", "refused"]


class Message(msgspec.Struct, tag_field="type"):
    """The base of all messages: the tag is sent as `type`."""


class Hello(Message, tag="hello"):
    versions: tuple[int, ...]
    token: str
    caller: str = ""  # an agent's name, where another agent calls


class Welcome(Message, tag="welcome"):
    version: int
    agent: str
    who: str
    role: str
    incarnation: int


class Refused(Message, tag="refused"):
    """`code`: version, token, role, bad-message, unknown-message, unknown-limiter, not-kept."""

    code: str
    text: str
    id: int = 0


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
    state: State | None


class LimiterBrief(msgspec.Struct):
    """Enough of a limiter for others to tell when its agent is gone."""

    name: str
    phase: Phase
    link: str
    open: int
    drained: bool
    boxes_drained: int
    version: str = ""  # that its process runs; empty for the one in its agent's file
    serving: bool = False  # it answers, has its list and takes clients
    restarts: int = 0
    figures: Figures = Figures()
    said: Said = Said()  # of a release


class AgentBrief(msgspec.Struct, frozen=True):
    """An agent of itself. `based`: a base started it, so it can be released. `starts`: of its process on this
    version."""

    version: str = ""
    based: bool = False
    starts: int = 0
    serving: bool = False
    said: Said = Said()


class Heard(msgspec.Struct):
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
    heard: tuple[Heard, ...]


class Wish(msgspec.Struct, frozen=True):
    kind: Kind
    target: str
    drained: bool
    expect: int  # the generation that the operator saw, 0 where there was no record


class Intend(Message, tag="intend"):
    """`generation` is above all that the caller has seen; `known` are the newest records it saw, so an
    agent that was cut off learns them first. Repeating it under its `origin` changes nothing."""

    id: int
    origin: str
    generation: int
    wishes: tuple[Wish, ...]
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
    out: int  # attempts of this limiter that are still out at the box; of a limiter, its open requests


class Intended(Message, tag="intended"):
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


class Exchange(Message, tag="exchange"):
    """One agent to another, and its answer: what it is, holds and last heard of the others."""

    id: int
    agent: str
    incarnation: int
    sequence: int
    limiters: tuple[LimiterBrief, ...]
    digest: str
    records: tuple[Record, ...]  # empty where the last answer's digest was the same
    heard: tuple[Heard, ...]  # of those that the other lacks
    ledger: bytes = b""  # the newest that it knows to be chosen, where the other has an older one
    ledger_version: int = -1
    lacks: tuple[str, ...] | None = None  # of whom it has heard nothing lately; None for one that does not say
    halts: tuple[tuple[str, int, str], ...] = ()  # plan, turn and why: in force at once, also where no majority answers
    itself: AgentBrief = AgentBrief()


class AuditLine(msgspec.Struct):
    at: float
    who: str
    role: str
    what: str
    generation: int
    reached: str


class Audit(Message, tag="audit"):
    id: int
    most: int = 50


class Audited(Message, tag="audited"):
    id: int
    agent: str
    lines: tuple[AuditLine, ...]


class Lend(Message, tag="lend"):
    """Words for a worker of load that this agent's machine lends, and the request for what it has said since.
    The first of a `job` starts it. Its frames are its own protocol's: the agent passes them on unread. They are
    numbered from 0 each way, so that asking again after a lost answer loses nothing and says nothing twice:
    `first` is the number of the first of `frames`, `have` how many of the worker's have come."""

    id: int
    job: str
    first: int
    frames: tuple[bytes, ...]
    have: int
    end: bool = False


class Lent(Message, tag="lent"):
    """`ended` says in words how the process ended, and is empty while it lives or has words left. `taken`:
    how many of the caller's frames have come."""

    id: int
    agent: str
    taken: int
    first: int
    frames: tuple[bytes, ...]
    ended: str


class Ask(Message, tag="ask"):
    """For permits to take these out, all or none. Repeating it under its `origin` finds the same ones. `generation`:
    the greatest that the caller saw in a record."""

    id: int
    origin: str
    targets: tuple[tuple[Kind, str], ...]
    reason: str
    generation: int


class Granted(Message, tag="granted"):
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


class Standing(Message, tag="standing"):
    id: int


class Stood(Message, tag="stood"):
    """How the budget stands, as this agent knows it: `lines` for people."""

    id: int
    agent: str
    voting: str  # yes, no, or why not yet
    version: int
    permits: tuple[Permit, ...]
    lines: tuple[str, ...]


class Begin(Message, tag="begin"):
    """A plan that the group carries out. Repeating it under its `origin` finds the same one. `waves` as the asker wants
    them, or empty for the usual ones. `dry`: only says what would be done."""

    id: int
    origin: str
    kind: PlanKind
    version: str
    targets: tuple[str, ...]  # empty: all limiters
    waves: tuple[tuple[str, ...], ...]
    terms: Terms
    reason: str
    dry: bool = False


class Begun(Message, tag="begun"):
    """`outcome`: begun, planned (a dry one), refused (`reasons` why) or away (too few agents answer, or this
    one knows too little)."""

    id: int
    agent: str
    outcome: Literal["begun", "planned", "refused", "away"]
    plan: Plan | None = None
    reasons: tuple[str, ...] = ()
    lines: tuple[str, ...] = ()  # what it would leave, for people


class Steer(Message, tag="steer"):
    """An operator's word on a plan, or on an agent that is gone (`plan` is then the agent's name). `turn`: the one that
    the operator saw, for a go-on."""

    id: int
    plan: str
    action: Literal["halt", "go-on", "back", "give-up", "take-in"]
    turn: int = 0
    reason: str = ""


class Steered(Message, tag="steered"):
    """`outcome` away: no majority answers. A halt is in force all the same wherever it is heard of."""

    id: int
    agent: str
    outcome: Literal["done", "refused", "away"]
    reasons: tuple[str, ...] = ()
    plan: Plan | None = None


class Plans(Message, tag="plans"):
    id: int


class Runs(msgspec.Struct):
    """`version`: of its process; `wanted`: that the group agreed on."""

    limiter: str
    version: str
    wanted: str
    said: Said


class Planned(Message, tag="planned"):
    """What an agent knows of plans. `waits`: of those that it leads; `versions`: with digests, that lie on its disk."""

    id: int
    agent: str
    version: int
    plans: tuple[Plan, ...]
    leads: tuple[str, ...]
    waits: tuple[str, ...]
    runs: tuple[Runs, ...]
    versions: tuple[tuple[str, str], ...]
    given_up: tuple[tuple[str, str], ...]
    halts: tuple[tuple[str, int, str], ...] = ()
    permits: tuple[Permit, ...] = ()
    itself: AgentBrief = AgentBrief()


ToAgent = (
    Hello
    | Show
    | Intend
    | Progress
    | Order
    | Exchange
    | Audit
    | Lend
    | Ask
    | Prepare
    | Accept
    | Recall
    | Standing
    | Begin
    | Steer
    | Plans
)
FromAgent = (
    Welcome
    | Refused
    | Shown
    | Intended
    | Progressed
    | Ordered
    | Exchange
    | Audited
    | Lent
    | Granted
    | Voted
    | Recalled
    | Stood
    | Begun
    | Steered
    | Planned
)

_encoder = msgspec.msgpack.Encoder()


# made when first needed: a command reads the one and an agent the other, and each takes a while to make
@cache
def _to_agent() -> msgspec.msgpack.Decoder[ToAgent]:
    return msgspec.msgpack.Decoder(ToAgent)


@cache
def _from_agent() -> msgspec.msgpack.Decoder[FromAgent]:
    return msgspec.msgpack.Decoder(FromAgent)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def to_agent(body: bytes) -> ToAgent:
    return _to_agent().decode(body)


def from_agent(body: bytes) -> FromAgent:
    return _from_agent().decode(body)
