"""Reads the settings object, which the simulator's first message and a limiter's configuration share."""

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


def read_number(raw: Any, name: str, default: float | None = None) -> float:
    """The figure of that name, `default` where there is none. Raises `KeyError` for one that is missing, `ValueError`
    for one that is no number, below nought or without end: no setting has any use for it."""
    value = raw[name] if default is None else raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is {value!r}, a number is wanted")
    if not 0.0 <= value < inf:
        raise ValueError(f"{name} is {value}, a number from 0 is wanted")
    return float(value)


def read_positive(raw: Any, name: str) -> float:
    """As `figure`, for what is divided by. Raises `ValueError` for nought."""
    value = read_number(raw, name)
    if not value:
        raise ValueError(f"{name} is {value}, a number above 0 is wanted")
    return value


def read_integer(raw: Any, name: str, default: int | None = None) -> int:
    """As `figure`, and whole. Raises `ValueError` for a fraction."""
    value = read_number(raw, name, default)
    if value != int(value):
        raise ValueError(f"{name} is {value}, a whole number is wanted")
    return int(value)


def _read_idempotency(raw: Any) -> api.Idempotency:
    if raw["effect"] not in IDEMPOTENCY_BY_NAME:
        raise ValueError(f"effect {raw['effect']!r} is not known: it is one of {', '.join(IDEMPOTENCY_BY_NAME)}")
    return IDEMPOTENCY_BY_NAME[raw["effect"]]


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """What the settings say of connections and of the names in use on them; times in milliseconds."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout_ms: float
    keepalive_ms: float
    max_open_requests: int
    largest_request_units: float  # units of one request
    longest_deadline_ms: float  # of all classes


def read_socket_settings(facts: Any) -> SocketSettings:
    limits = facts["policy-limits"]
    return SocketSettings(
        zones=tuple(str(name) for name in facts["zones"]),
        kinds=tuple(str(name) for name in facts["kinds"]),
        connect_timeout_ms=read_number(limits, "dial-timeout"),
        keepalive_ms=read_number(limits, "keepalive"),
        max_open_requests=read_integer(limits, "max-open", 20000),
        largest_request_units=read_number(facts["family-info"], "largest", 1e6),
        longest_deadline_ms=max(
            (read_number(c, "deadline") for c in facts["services"] if "deadline" in c), default=inf
        ),
    )


def read_settings(facts: Any) -> api.Settings:
    """Reads the start-up settings; keys that are not known are ignored. Raises `KeyError` for what is missing,
    `ValueError` or `TypeError` for what cannot be used."""
    rules, limits = facts["rules"], facts["policy-limits"]
    family = facts["family-info"]
    classes = tuple(
        api.RequestClass(
            name=str(c["name"]),
            latency_objective_ms=read_positive(c, "goal-time"),
            idempotency=_read_idempotency(c),
            deduplication_scope=api.DeduplicationScope(c.get("dedup-scope", "all")),
            deduplication_window_ms=read_number(c, "memory-span", 0.0),
            priority_weight=read_number(c, "credit", 1.0),
            late_priority_weight=read_number(c, "late-worth", 0.0),
            is_streaming=bool(c.get("stream", False)),
        )
        for c in facts["services"]
    )
    plans = tuple(
        api.Plan(
            name=str(p["name"]),
            price_weight=read_number(p, "price", 1.0),
            rate_per_s=read_number(p, "quota-rate", 0.0),
            burst_units=read_number(p, "burst", 0.0),
            concurrency_limit=read_integer(p, "parallel", 0),
            over_quota_value=read_number(p, "beyond-earns", 0.0),
            over_quota_cost=read_number(p, "beyond-costs", 0.0),
            ceiling_rate_per_s=read_number(p, "hard-rate", 0.0),
            ceiling_burst_units=read_number(p, "never-over-depth", 0.0),
            ceiling_slack_units=read_number(p, "hard-slack", 0.0),
        )
        for p in facts["plans"]
    )
    number, limiters = read_integer(facts, "ordinal"), read_integer(facts, "peers-total")
    if number >= limiters:
        raise ValueError(f"ordinal is {number} where peers-total is {limiters}")
    return api.Settings(
        limiter_index=number,
        limiter_count=limiters,
        clock_tick_ms=read_number(facts, "quantum"),
        zone=int(facts["zone"]),
        request_classes=classes,
        plans=plans,
        rules=api.ServiceRules(
            warm_up_initial_fraction=read_number(rules, "cold-share"),
            warm_up_ms=read_number(rules, "cold"),
            overload_multiple=read_number(rules, "tip-multiple"),
            overload_window_ms=read_positive(rules, "fall"),
            list_refresh_within_ms=read_number(rules, "ask-every", 0.0),
        ),
        capabilities=api.Capabilities(
            max_attempts=read_integer(limits, "most-tries"),
            can_cancel=bool(limits.get("may-cancel", False)),
            can_message_peers=bool(limits.get("peers", False)),
            can_send_retry_after=bool(limits.get("retry-after", False)),
            max_retry_after_ms=read_number(limits, "max-retry-after", 0.0),
        ),
        quota_sources=api.QuotaSources(
            meter_period_ms=read_number(family, "metering", 0.0),
            peer_messages_per_s=read_number(family, "peer-intake", 0.0),
            cost_known_after=bool(family.get("cost-after", False)),
        ),
        subscribes_to_list=facts["membership-mode"] == "subscribe",
    )
