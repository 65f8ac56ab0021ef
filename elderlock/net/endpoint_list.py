"""Lists of servers in discovery's form, read into typed values: no I/O."""

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
    entry: api.ServerEntry
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    version: int
    is_complete: bool
    servers: tuple[ListedServer, ...]


def _parse_server(raw: Any, settings: SocketSettings) -> ListedServer:
    zone, kind = str(raw.get("az")), str(raw.get("model"))
    weight, started = float(raw.get("capacity_hint", 1.0)), float(raw.get("boot_ms", 0))
    if not (isfinite(weight) and isfinite(started)):
        raise ValueError("a number of a server is not finite")
    entry = api.ServerEntry(
        server_id=str(raw["uid"]),
        zone=settings.zones.index(zone) if zone in settings.zones else -1,
        kind=settings.kinds.index(kind) if kind in settings.kinds else -1,
        cell=int(raw.get("pod_group", 0)),
        state=SERVER_STATES[raw["state"]],
        weight=weight,
        started_at_ms=started,  # Unix time, as the module's clock counts
    )
    return ListedServer(entry, parse_address(raw["endpoint"]))


def parse_endpoint_list(raw: Any, settings: SocketSettings) -> EndpointList:
    """One list or line of changes. An entry that cannot be read spoils only itself, so that one bad
    server in discovery does not blind the limiter to the others."""
    targets = []
    for item in raw["targets"]:
        try:
            targets.append(_parse_server(item, settings))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            log.warning("discovery: an entry is dropped: %r", error)
    return EndpointList(int(raw["rev"]), bool(raw["all"]), tuple(targets))
