"""The settings of a limiter. They are fixed at the start and read by `elderlock.settings_reader`.

The name of a number ends with its unit: `_ms` for milliseconds, `_per_s` for a rate per second, `_units` for quota
units. The value 0 disables the limit, unless the docstring says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """The effect of executing a request a second time."""

    IDEMPOTENT = "safe"
    """A repeat has no further effect."""

    WITH_KEY = "keyed"
    """A repeat has no further effect if its server shares the deduplication memory of the first server."""

    NOT_IDEMPOTENT = "unsafe"
    """A repeat has its effect a second time."""


class DeduplicationScope(Enum):
    """The group of servers that share a store of idempotency keys and therefore recognise each other's requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests that are handled alike.

    Attributes:
        name: The class's name in the protocol.
        latency_objective_ms: The latency objective; an answer that takes longer counts as late.
        idempotency: The effect of a repeat.
        deduplication_scope: For `WITH_KEY`: the servers that recognise a repeat.
        deduplication_window_ms: For `WITH_KEY`: the time after the first attempt in which a repeat is recognised.
        priority_weight: The value of an answer within the latency objective, relative to other classes.
        late_priority_weight: The value of a late answer.
        is_streaming: Whether answers are streams, whose first part is sent before the last part is known.
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
        price_weight: The factor for the priority weight of the customer's requests.
        rate_per_s: The units per second that fill the quota's bucket; 0 for a plan without a quota.
        burst_units: The size of the quota's bucket.
        concurrency_limit: The maximum number of the customer's open requests; 0 for no limit.
        over_quota_value: The value of an answer to a request over quota, relative to one within the quota.
        over_quota_cost: The cost of serving a request over quota, on the same scale as `over_quota_value`.
        ceiling_rate_per_s: The units per second that fill the hard ceiling's bucket; 0 for a plan without a ceiling.
        ceiling_burst_units: The size of the hard ceiling's bucket.
        ceiling_slack_units: The units by which all limiters together may exceed the ceiling.
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
    """The service's rules for the use of its servers.

    Attributes:
        warm_up_initial_fraction: The fraction of its full capacity that a server has right after its start.
        warm_up_ms: The time after its start in which a server's capacity grows linearly to the full capacity.
        overload_multiple: The multiple of its current capacity at which a server that is warming up is overloaded.
        overload_window_ms: The time window over which the work for that comparison is counted.
        list_refresh_within_ms: The maximum age of a subscribed endpoint list, after which it has to be fetched again.
    """

    warm_up_initial_fraction: float
    warm_up_ms: float
    overload_multiple: float
    overload_window_ms: float
    list_refresh_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Capabilities:
    """The capabilities of the limiter's environment, and their limits.

    Attributes:
        max_attempts: The maximum number of attempts of one request, the first included.
        can_cancel: Whether an attempt can be cancelled.
        can_message_peers: Whether the limiter can exchange datagrams with other limiters.
        can_send_retry_after: Whether a rejection may carry a Retry-After.
        max_retry_after_ms: The longest Retry-After.
        connect_timeout_ms: The longest time that an attempt may wait for a new connection before it starts.
    """

    max_attempts: int
    can_cancel: bool = False
    can_message_peers: bool = False
    can_send_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaSources:
    """The sources from which a limiter learns how much of its quota a customer uses.

    Attributes:
        meter_period_ms: The period over which servers meter a customer's use and report it in answers; 0 if they
            have no meter.
        peer_messages_per_s: The datagrams per second that a limiter can receive.
        is_cost_known_at_end: Whether a request's cost in units is known only when the request ends.
    """

    meter_period_ms: float = 0.0
    peer_messages_per_s: float = 0.0
    is_cost_known_at_end: bool = False


@dataclass(frozen=True, slots=True)
class Routing:
    """How a large number of servers is distributed over a large number of limiters.

    Attributes:
        subset_size: The number of servers that each limiter uses; 0 for all.
        cross_zone_penalty: The cost of choosing a server outside the limiter's zone, as a multiple of the latency
            objective; 0 to ignore zones.
    """

    subset_size: int = 0
    cross_zone_penalty: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one limiter.

    Attributes:
        limiter_index: The index of this limiter in the group, from 0.
        limiter_count: The number of limiters that share the quotas.
        clock_tick_ms: The resolution of the clock and of timers.
        zone: The index of this limiter's zone.
        request_classes: The request classes; `RequestArrived.class_index` refers to this list.
        plans: The plans; `RequestArrived.plan_index` refers to this list.
        rules: The rules of the service.
        capabilities: The capabilities of the limiter's environment.
        quota_sources: The sources from which the limiter learns of a customer's use.
        subscribes_to_list: Whether the limiter subscribes to the endpoint list and fetches it; otherwise the frontend
            delivers the list unasked.
        routing: How the servers are distributed over the limiters.
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
