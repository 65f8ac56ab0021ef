"""Configurations for limiters on loopback: the settings object, entries of endpoint lists, terms of a request."""

from __future__ import annotations

from typing import Any

CUSTOMER = "00000000b4d65521"


def default_settings(**limits: Any) -> dict[str, Any]:
    """Returns the settings object of a single limiter; `limits` are added to its `policy-limits`."""
    return {
        "ordinal": 0,
        "peers-total": 1,
        "quantum": 4.0,
        "zone": 0,
        "zones": ["a", "b"],
        "kinds": ["m1"],
        "membership-mode": "automatic",
        "services": [
            {"name": "lookup", "goal-time": 1200.0, "deadline": 4000.0, "effect": "free"},
            {"name": "pay", "goal-time": 1200.0, "deadline": 4000.0, "effect": "single_shot"},
        ],
        "plans": [
            {"name": "team", "price": 1.0, "quota-rate": 50.0, "burst": 100.0},
            {"name": "tiny", "price": 1.0, "quota-rate": 0.001, "burst": 1.0},
        ],
        "rules": {"drain-grace": 250.0, "cold": 9000.0, "cold-share": 0.2, "tip-multiple": 2.0, "fall": 1000.0},
        "policy-limits": {
            "most-tries": 3,
            "dial-timeout": 250.0,
            "keepalive": 15000.0,
            "max-open": 2000,
            "may-cancel": True,
            "max-retry-after": 500.0,
            **limits,
        },
        "family-info": {"peer-intake": 100.0, "largest": 4},
    }


def raw_config(listen: str = "127.0.0.1:0", discovery: str = "127.0.0.1:1", **limits: Any) -> dict[str, Any]:
    """Returns the configuration of a single limiter as the configuration file holds it.

    Args:
        listen: The address for clients.
        discovery: The address of discovery.
        **limits: Entries of `policy-limits`.
    """
    return {
        "name": "n0",
        "seed": "8c1f30d27a5be964",
        "listen": listen,
        "discovery": discovery,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": default_settings(**limits),
    }


def target(uid: str, endpoint: str, state: str = "up", boot_ms: float = 0.0, **fields: Any) -> dict[str, Any]:
    """Returns the entry of one server in an endpoint list.

    Args:
        uid: The server's id.
        endpoint: The server's address.
        state: The server's state.
        boot_ms: The start time in Unix ms; 0 for a server that is warm.
        **fields: Fields that differ from the defaults or are added.
    """
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": "a",
        "model": "m1",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
        **fields,
    }


def terms(**changes: Any) -> str:
    """Returns the terms of a request as a client sends them; a change to None leaves a term out."""
    values = {"c": "lookup", "t": "team", "d": 3000, "units": 1, "spread": 1, "first": 0, **changes}
    return ",".join(f"{key}={value}" for key, value in values.items() if value is not None)


FLOORS = ("floor-2", "floor-3", "floor-4")
KINDS = ("std-2c", "old-2c")
PLANS: tuple[dict[str, Any], ...] = (
    {"name": "shop", "price": 0.8, "quota-rate": 40.0, "burst": 120.0},
    {
        "name": "enterprise",
        "price": 1.8,
        "quota-rate": 200.0,
        "burst": 400.0,
        "hard-rate": 400.0,
        "never-over-depth": 800.0,
        "hard-slack": 40.0,
    },
)


def group_settings(number: int, limiters: int) -> dict[str, Any]:
    """Returns the settings of one limiter of a group whose members exchange usage reports.

    Args:
        number: The limiter's number.
        limiters: The number of limiters in the group.
    """
    settings = default_settings(peers=limiters > 1)
    position = {"ordinal": number, "peers-total": limiters, "zone": number % len(FLOORS)}
    plans = [dict(plan) for plan in PLANS]
    return {**settings, **position, "zones": list(FLOORS), "kinds": list(KINDS), "plans": plans}
