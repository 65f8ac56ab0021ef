"""The words between a gateway and its `Limiter`: settings, events and actions.

All times are milliseconds. Settings hold what the operator fixes at start; events tell the limiter what
happened; actions tell the gateway what to do. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What a repeat of a request does: nothing, dropped inside a group of servers, or a second effect."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The servers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_FORWARDED = "moot"


class ServerState(Enum):
    RUNNING = "running"
    DRAINING = "draining"
    REMOVED = "gone"


class ListKind(Enum):
    """How much a list tells: changes, all, what was remembered from before the start, or a refused call."""

    CHANGES = "changes"
    COMPLETE = "all"
    CACHED = "remembered"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    latency_objective_ms: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    is_streaming: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """Quota in units a second with a burst, attempts open at once, and a ceiling; 0 where there is none."""

    name: str
    price_weight: float = 1.0
    rate_per_s: float = 0.0
    burst_units: float = 0.0
    concurrency_limit: int = 0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate_per_s: float = 0.0
    ceiling_burst_units: float = 0.0
    ceiling_slack_units: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceRules:
    warm_up_initial_fraction: float
    warm_up_ms: float
    overload_multiple: float
    overload_window_ms: float
    list_refresh_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Capabilities:
    """`dial`: how long (ms) a send may take to begin, where a connection has to come up first."""

    max_attempts: int
    can_cancel: bool = False
    can_message_peers: bool = False
    can_send_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaSources:
    """What tells of a customer's use elsewhere: messages of peers, a meter in answers."""

    meter_period_ms: float = 0.0
    peer_messages_per_s: float = 0.0
    cost_known_after: bool = False


@dataclass(frozen=True, slots=True)
class Routing:
    """How boxes are shared out where they are many. `subset`: boxes that each limiter holds, 0 for all. `away`: what
    leaving the limiter's own zone counts as, in aims of latency; 0 where all zones are alike."""

    subset_size: int = 0
    cross_zone_penalty: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    limiter_index: int
    limiter_count: int
    clock_tick_ms: float
    zone: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: ServiceRules
    capabilities: Capabilities
    quota_sources: QuotaSources = field(default_factory=QuotaSources)
    subscribes_to_list: bool = False
    routing: Routing = field(default_factory=Routing)


@dataclass(frozen=True, slots=True)
class ServerEntry:
    server_id: str
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float
    started_at_ms: float = 0.0


# Events


@dataclass(frozen=True, slots=True)
class ServerList:
    version: int
    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    request_id: str
    class_index: int
    plan_index: int
    customer_id: str
    units: float
    deadline_ms: float
    limiter_count: int
    first_limiter: int


@dataclass(frozen=True, slots=True)
class PermitRequested(RequestArrived):
    """A request that its asker sends on by itself: the answer to it is `Permit`, `Refuse` or `Fail`, and
    how the one attempt ended comes as `AttemptEnded`, `MOOT` where it was never sent on."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """`answered`: the request has its final answer, through this outcome or before it."""

    request_id: str
    attempt_index: int
    server_id: str
    outcome: Outcome
    duration_ms: float
    is_answered: bool
    meter: int = 0
    settled_units: float = 0.0


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request_id: str
    attempt_index: int
    server_id: str
    duration_ms: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    request_id: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    server_id: str
    outcome: Outcome
    duration_ms: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender_index: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    token: int
    outcome: Outcome
    total: float
    duration_ms: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


Event = (
    ServerList
    | RequestArrived
    | PermitRequested
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | HealthCheckEnded
    | PeerMessage
    | CounterAnswered
    | TimerFired
)


# Actions


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to a server; the time-out 0 means until the client gives up."""

    request_id: str
    server_id: str
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Permit:
    """Final: the asker may send it to that server, and waits that long (ms) at most. It counts as a send."""

    request_id: str
    server_id: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Reject:
    """Final: retrying is harmless."""

    request_id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: promises nothing."""

    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    request_id: str
    attempt_index: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    receiver_index: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add `amount` to the shared counter's `name`, whose life (ms) begins with its first call; `CounterAnswered` comes
    with the token as its `name`, or nothing does."""

    token: int
    counter_name: str
    amount: float
    lifetime_ms: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    active: bool


@dataclass(frozen=True, slots=True)
class FetchServerList:
    pass


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = (
    SendAttempt
    | Permit
    | Reject
    | Fail
    | CancelAttempt
    | SendPeerMessage
    | AddToCounter
    | Subscribe
    | FetchServerList
    | SetTimer
    | Log
)
