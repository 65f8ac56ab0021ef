"""Reads the settings object of the simulator's first message and of a limiter's configuration file.

The keys of the object are part of an external format. Only this module maps them to the names of
`elderlock.interface`.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from elderlock import interface as api

IDEMPOTENCY_BY_NAME = {
    "free": api.Idempotency.IDEMPOTENT,
    "guarded": api.Idempotency.WITH_KEY,
    "single_shot": api.Idempotency.NOT_IDEMPOTENT,
}


DEFAULT_MAX_OPEN_REQUESTS = 20000
DEFAULT_LARGEST_REQUEST_UNITS = 1e6


def read_number(raw: Any, name: str, default: float | None = None) -> float:
    """Return the number under a key.

    Args:
        raw: The object that holds the key.
        name: The key.
        default: The result if the key is missing; without a default the key is required.

    Raises:
        KeyError: The key is missing and there is no default.
        ValueError: The value is not a number, or is negative, infinite or NaN.
    """
    value = raw[name] if default is None else raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is {value!r}, a number is wanted")  # noqa: TRY004
    if not 0.0 <= value < inf:
        raise ValueError(f"{name} is {value}, a number from 0 is wanted")
    return float(value)


def read_positive(raw: Any, name: str) -> float:
    """Return the number under a required key, which must not be 0.

    Raises:
        KeyError: The key is missing.
        ValueError: As with `read_number`, and for 0.
    """
    value = read_number(raw, name)
    if not value:
        raise ValueError(f"{name} is {value}, a number above 0 is wanted")
    return value


def read_integer(raw: Any, name: str, default: int | None = None) -> int:
    """Return the integer under a key, or `default` if the key is missing.

    Raises:
        KeyError: The key is missing and there is no default.
        ValueError: As with `read_number`, and for a fraction.
    """
    value = read_number(raw, name, default)
    if value != int(value):
        raise ValueError(f"{name} is {value}, a whole number is wanted")
    return int(value)


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """The settings of connections, and the names that the protocols use on them.

    Attributes:
        zones: The names of the zones, by their index.
        kinds: The names of the kinds of servers, by their index.
        connect_timeout_ms: The longest time that establishing a connection to a server may take.
        keepalive_ms: The longest time for which a connection may be idle.
        max_open_requests: The maximum number of open requests.
        largest_request_units: The maximum cost of one request in units.
        longest_deadline_ms: The longest deadline of all classes; infinite if no class has a deadline.
    """

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout_ms: float
    keepalive_ms: float
    max_open_requests: int
    largest_request_units: float
    longest_deadline_ms: float


def read_socket_settings(facts: Any) -> SocketSettings:
    """Read the settings of connections; unknown keys are ignored.

    Raises:
        KeyError: A required key is missing.
        ValueError: A value is invalid.
    """
    limits = facts["policy-limits"]
    return SocketSettings(
        zones=tuple(str(name) for name in facts["zones"]),
        kinds=tuple(str(name) for name in facts["kinds"]),
        connect_timeout_ms=read_number(limits, "dial-timeout"),
        keepalive_ms=read_number(limits, "keepalive"),
        max_open_requests=read_integer(limits, "max-open", DEFAULT_MAX_OPEN_REQUESTS),
        largest_request_units=read_number(facts["family-info"], "largest", DEFAULT_LARGEST_REQUEST_UNITS),
        longest_deadline_ms=max(
            (read_number(raw, "deadline") for raw in facts["services"] if "deadline" in raw), default=inf
        ),
    )


def read_settings(facts: Any) -> api.Settings:
    """Read the settings of a limiter; unknown keys are ignored.

    Raises:
        KeyError: A required key is missing.
        ValueError: A value is invalid.
        TypeError: A value has the wrong type.
    """
    rules = facts["rules"]
    limits = facts["policy-limits"]
    family = facts["family-info"]
    request_classes = tuple(_read_request_class(raw) for raw in facts["services"])
    plans = tuple(_read_plan(raw) for raw in facts["plans"])
    limiter_index = read_integer(facts, "ordinal")
    limiter_count = read_integer(facts, "peers-total")
    if limiter_index >= limiter_count:
        raise ValueError(f"ordinal is {limiter_index} where peers-total is {limiter_count}, a lower ordinal is wanted")
    return api.Settings(
        limiter_index=limiter_index,
        limiter_count=limiter_count,
        clock_tick_ms=read_number(facts, "quantum"),
        zone=int(facts["zone"]),
        request_classes=request_classes,
        plans=plans,
        rules=_read_rules(rules),
        capabilities=_read_capabilities(limits),
        quota_sources=_read_quota_sources(family),
        subscribes_to_list=facts["membership-mode"] == "subscribe",
    )


def _read_request_class(raw: Any) -> api.RequestClass:
    return api.RequestClass(
        name=str(raw["name"]),
        latency_objective_ms=read_positive(raw, "goal-time"),
        idempotency=_read_idempotency(raw),
        deduplication_scope=api.DeduplicationScope(raw.get("dedup-scope", "all")),
        deduplication_window_ms=read_number(raw, "memory-span", 0.0),
        priority_weight=read_number(raw, "credit", 1.0),
        late_priority_weight=read_number(raw, "late-worth", 0.0),
        is_streaming=bool(raw.get("stream", False)),
    )


def _read_idempotency(raw: Any) -> api.Idempotency:
    name = raw["effect"]
    if name not in IDEMPOTENCY_BY_NAME:
        raise ValueError(f"effect {name!r} is not known, one of {', '.join(IDEMPOTENCY_BY_NAME)} is wanted")
    return IDEMPOTENCY_BY_NAME[name]


def _read_plan(raw: Any) -> api.Plan:
    return api.Plan(
        name=str(raw["name"]),
        price_weight=read_number(raw, "price", 1.0),
        rate_per_s=read_number(raw, "quota-rate", 0.0),
        burst_units=read_number(raw, "burst", 0.0),
        concurrency_limit=read_integer(raw, "parallel", 0),
        over_quota_value=read_number(raw, "beyond-earns", 0.0),
        over_quota_cost=read_number(raw, "beyond-costs", 0.0),
        ceiling_rate_per_s=read_number(raw, "hard-rate", 0.0),
        ceiling_burst_units=read_number(raw, "never-over-depth", 0.0),
        ceiling_slack_units=read_number(raw, "hard-slack", 0.0),
    )


def _read_rules(raw: Any) -> api.ServiceRules:
    return api.ServiceRules(
        warm_up_initial_fraction=read_number(raw, "cold-share"),
        warm_up_ms=read_number(raw, "cold"),
        overload_multiple=read_number(raw, "tip-multiple"),
        overload_window_ms=read_positive(raw, "fall"),
        list_refresh_within_ms=read_number(raw, "ask-every", 0.0),
    )


def _read_capabilities(raw: Any) -> api.Capabilities:
    return api.Capabilities(
        max_attempts=read_integer(raw, "most-tries"),
        can_cancel=bool(raw.get("may-cancel", False)),
        can_message_peers=bool(raw.get("peers", False)),
        can_send_retry_after=bool(raw.get("retry-after", False)),
        max_retry_after_ms=read_number(raw, "max-retry-after", 0.0),
    )


def _read_quota_sources(raw: Any) -> api.QuotaSources:
    return api.QuotaSources(
        meter_period_ms=read_number(raw, "metering", 0.0),
        peer_messages_per_s=read_number(raw, "peer-intake", 0.0),
        is_cost_known_at_end=bool(raw.get("cost-after", False)),
    )
