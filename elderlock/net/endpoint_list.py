"""Parses discovery's server lists into typed values. No I/O."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from math import isfinite
from typing import Any

from elderlock import interface as api
from elderlock.net.config import Address, parse_address
from elderlock.settings_reader import SocketSettings

SERVER_STATES = {
    "up": api.ServerState.RUNNING,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.REMOVED,
}

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server in discovery's list.

    Attributes:
        entry: The entry that is passed to the limiter.
        address: The server's address.
    """

    entry: api.ServerEntry
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list of servers, or changes to it.

    Attributes:
        version: Increases with each change; versions of different agents cannot be compared.
        is_complete: Whether it has all servers; otherwise it has only those that changed.
        servers: The servers, in the list's order.
    """

    version: int
    is_complete: bool
    servers: tuple[ListedServer, ...]


def _parse_server(raw: Any, settings: SocketSettings) -> ListedServer:
    zone = str(raw.get("az"))
    kind = str(raw.get("model"))
    weight = float(raw.get("capacity_hint", 1.0))
    started_at_ms = float(raw.get("boot_ms", 0))
    if not (isfinite(weight) and isfinite(started_at_ms)):
        raise ValueError(f"capacity_hint {weight} and boot_ms {started_at_ms} must be finite")
    entry = api.ServerEntry(
        server_id=str(raw["uid"]),
        zone=settings.zones.index(zone) if zone in settings.zones else -1,
        kind=settings.kinds.index(kind) if kind in settings.kinds else -1,
        cell=int(raw.get("pod_group", 0)),
        state=SERVER_STATES[raw["state"]],
        weight=weight,
        started_at_ms=started_at_ms,  # Unix time, like `Clock.now_ms`
    )
    return ListedServer(entry, parse_address(raw["endpoint"]))


def parse_endpoint_list(raw: Any, settings: SocketSettings) -> EndpointList:
    """Parse one list, or one line of changes.

    An entry that cannot be parsed is logged and skipped, so that one bad server in discovery does not hide the others.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: The list itself cannot be parsed.
    """
    servers = []
    for item in raw["targets"]:
        try:
            servers.append(_parse_server(item, settings))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            log.warning("discovery: skipped a server that cannot be parsed: %r", error)
    return EndpointList(int(raw["rev"]), bool(raw["all"]), tuple(servers))
