"""Build the inventory for the disruption budget from the state that one agent knows of its group. No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from elderlock.control.messages import LimiterState, ServerStatus
from elderlock.rollout.disruption_budget import Inventory, InventoryItem


class KnownLimiter(NamedTuple):
    """A limiter, as reported by the agent that runs it or by another agent.

    Attributes:
        name: The limiter's name.
        zone: The zone of its agent; empty where unknown.
        out_reason: Why it is out of service; empty while it serves.
    """

    name: str
    zone: str
    out_reason: str


def build_inventory(
    states: Sequence[LimiterState], limiters: Iterable[KnownLimiter], unheard_agents: Iterable[str]
) -> Inventory:
    """Combine the reports of the limiters into one inventory.

    Args:
        states: The states of this agent's own limiters, each of which sees all servers. A limiter that has received no
            endpoint list yet (`list_age_ms` below 0) knows no servers and is ignored.
        limiters: All limiters of the group, as far as known.
        unheard_agents: The agents from which this agent has received nothing since it started.
    """
    insufficient_reason = ""
    if unheard := sorted(unheard_agents):
        insufficient_reason = f"no report of {', '.join(unheard)} yet: the state of their limiters is not known"
    states_with_list = [state for state in states if state.list_age_ms >= 0]
    if not states_with_list:
        missing = "has a list" if states else "answers"
        insufficient_reason = f"no limiter of this agent {missing}: what the boxes do is not known"
    views_by_uid: dict[str, list[ServerStatus]] = {}
    for state in states_with_list:
        for server in state.servers:
            views_by_uid.setdefault(server.uid, []).append(server)
    servers = tuple(_server_item(uid, views) for uid, views in sorted(views_by_uid.items()))
    limiter_items = tuple(
        InventoryItem(limiter.name, limiter.zone, out_reason=limiter.out_reason)
        for limiter in sorted(limiters, key=_number_order)
    )
    return Inventory(servers, limiter_items, insufficient_reason)


def _server_item(uid: str, views: Sequence[ServerStatus]) -> InventoryItem:
    """Combine several limiters' views of one server into an item."""
    weight = max(view.weight for view in views)
    return InventoryItem(uid, views[0].zone, views[0].kind, weight, _server_out_reason(views))


def _server_out_reason(views: Sequence[ServerStatus]) -> str:
    """Return why a server is out of service; empty where it serves.

    A drain counts as soon as one limiter knows of it, as the record may not have reached the others yet. An ejection
    counts once more than half of the limiters have ejected the server.
    """
    for view in views:
        if view.state != "running":
            return f"{view.state} in discovery"
        if view.drained_by:
            return f"drained by {view.drained_by}"
    ejection_reasons = [view.unavailable_reason for view in views if view.unavailable_reason]
    if 2 * len(ejection_reasons) > len(views):
        return f"ejected: {ejection_reasons[0]}"
    return ""


def _number_order(limiter: KnownLimiter) -> tuple[str, int, str]:
    """Return the sort key that puts n2 before n10."""
    match = re.fullmatch(r"(.*?)(\d+)", limiter.name)
    if match is None:
        return limiter.name, -1, limiter.name
    return match[1], int(match[2]), ""
