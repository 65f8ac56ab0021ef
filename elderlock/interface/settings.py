"""The settings of a limiter: fixed at start, read by `elderlock.settings_reader`.

A number carries its unit in its name: `_ms` milliseconds, `_per_s` a second, `_units` quota units. A 0 switches off
what the number limits, unless its docstring says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What executing a request a second time does."""

    IDEMPOTENT = "safe"
    """Nothing."""

    WITH_KEY = "keyed"
    """Nothing, as long as the repeat reaches a server that shares the deduplication memory of the first."""

    NOT_IDEMPOTENT = "unsafe"
    """A second effect."""


class DeduplicationScope(Enum):
    """The servers that share one memory of idempotency keys and drop each other's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests that are treated alike.

    Attributes:
        name: The class's name in the protocol.
        latency_objective_ms: An answer that takes longer counts as late.
        idempotency: What a repeat does.
        deduplication_scope: For `WITH_KEY`: which servers recognise a repeat.
        deduplication_window_ms: For `WITH_KEY`: how long after the first attempt a repeat is recognised.
        priority_weight: What an answer within the objective is worth, relative to other classes.
        late_priority_weight: What a late answer is worth.
        is_streaming: Whether answers are streams that begin before they end.
    """

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
    """The quota that a customer has bought, as a token bucket, and an optional hard ceiling above it.

    Attributes:
        name: The plan's name in the protocol.
        price_weight: Factor on the priority weight of the customer's requests.
        rate_per_s: Units a second that fill the quota's bucket; 0 for a plan without a quota.
        burst_units: Size of the quota's bucket.
        concurrency_limit: Requests that may be open at once; 0 for any number.
        over_quota_value: What an answer to a request over quota is worth, relative to one within it.
        over_quota_cost: What serving a request over quota costs, in the same measure.
        ceiling_rate_per_s: Units a second that fill the hard ceiling's bucket; 0 for a plan without a ceiling.
        ceiling_burst_units: Size of the hard ceiling's bucket.
        ceiling_slack_units: Units by which the ceiling may be exceeded over all limiters.
    """

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
    """The rules of the service that bound how servers are used.

    Attributes:
        warm_up_initial_fraction: Fraction of its capacity that a server has right after its start.
        warm_up_ms: Time over which a started server's capacity grows linearly to the whole.
        overload_multiple: A warming server is overloaded at this multiple of its present capacity.
        overload_window_ms: The window over which that is counted.
        list_refresh_within_ms: Age that a subscribed endpoint list may reach before it has to be fetched again.
    """

    warm_up_initial_fraction: float
    warm_up_ms: float
    overload_multiple: float
    overload_window_ms: float
    list_refresh_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What the limiter may do, and within which limits.

    Attributes:
        max_attempts: Attempts of one request, the first included.
        can_cancel: Whether an attempt can be cancelled.
        can_message_peers: Whether datagrams to other limiters exist.
        can_send_retry_after: Whether a rejection may carry a Retry-After.
        max_retry_after_ms: The longest Retry-After.
        connect_timeout_ms: Longest time until an attempt begins where a connection has to be made first.
    """

    max_attempts: int
    can_cancel: bool = False
    can_message_peers: bool = False
    can_send_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaSources:
    """Where a limiter learns of a customer's use at other limiters.

    Attributes:
        meter_period_ms: Period over which servers meter a customer's use and report it in answers; 0 without a meter.
        peer_messages_per_s: Datagrams a second that a limiter can take in.
        is_cost_known_at_end: Whether the units of a request are only known when it ends.
    """

    meter_period_ms: float = 0.0
    peer_messages_per_s: float = 0.0
    is_cost_known_at_end: bool = False


@dataclass(frozen=True, slots=True)
class Routing:
    """How servers are shared out between limiters where there are many of both.

    Attributes:
        subset_size: Servers that each limiter uses; 0 for all.
        cross_zone_penalty: Cost of leaving the limiter's own zone, in latency objectives; 0 where zones don't matter.
    """

    subset_size: int = 0
    cross_zone_penalty: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one limiter.

    Attributes:
        limiter_index: This limiter's number, from 0.
        limiter_count: Limiters that share the quotas.
        clock_tick_ms: Granularity of the clock and of timers.
        zone: The zone of this limiter.
        request_classes: The classes, by the index that a request names.
        plans: The plans, by the index that a request names.
        rules: The rules of the service.
        capabilities: What the limiter may do.
        quota_sources: Where it learns of use elsewhere.
        subscribes_to_list: Whether the endpoint list has to be subscribed to and fetched, or comes by itself.
        routing: How servers are shared out.
    """

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
