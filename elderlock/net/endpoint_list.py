"""Server lists in discovery's form, parsed into typed values. No I/O."""

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
    """A server as listed.

    Attributes:
        entry: The server as the limiter knows it.
        address: Where its connections go.
    """

    entry: api.ServerEntry
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list of servers, or changes to it.

    Attributes:
        version: Grows with each change; one agent's versions say nothing of another's.
        is_complete: Whether it names all servers; otherwise only those that changed.
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
        raise ValueError("a number of a server is not finite")
    entry = api.ServerEntry(
        server_id=str(raw["uid"]),
        zone=settings.zones.index(zone) if zone in settings.zones else -1,
        kind=settings.kinds.index(kind) if kind in settings.kinds else -1,
        cell=int(raw.get("pod_group", 0)),
        state=SERVER_STATES[raw["state"]],
        weight=weight,
        started_at_ms=started_at_ms,  # Unix time, as `Clock` gives it
    )
    return ListedServer(entry, parse_address(raw["endpoint"]))


def parse_endpoint_list(raw: Any, settings: SocketSettings) -> EndpointList:
    """Parse one list, or one line of changes.

    An entry that cannot be read is logged and dropped, so that one bad server in discovery does not hide the others.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: The list itself cannot be read.
    """
    servers = []
    for item in raw["targets"]:
        try:
            servers.append(_parse_server(item, settings))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            log.warning("discovery: an entry is dropped: %r", error)
    return EndpointList(int(raw["rev"]), bool(raw["all"]), tuple(servers))
