"""Lists of servers in discovery's form, read into typed values: no I/O."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from math import isfinite
from typing import Any

from elderlock import interface as api
from elderlock.net.config import Address, address_of
from elderlock.settings_reader import SocketSettings

STATES = {
    "up": api.ServerState.RUNNING,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.REMOVED,
}

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Target:
    entry: api.ServerEntry
    address: Address


@dataclass(frozen=True, slots=True)
class TargetList:
    version: int
    complete: bool
    targets: tuple[Target, ...]


def _target_of(raw: Any, settings: SocketSettings) -> Target:
    zone, kind = str(raw.get("az")), str(raw.get("model"))
    weight, started = float(raw.get("capacity_hint", 1.0)), float(raw.get("boot_ms", 0))
    if not (isfinite(weight) and isfinite(started)):
        raise ValueError("a number of a server is not finite")
    entry = api.ServerEntry(
        server_id=str(raw["uid"]),
        zone=settings.zones.index(zone) if zone in settings.zones else -1,
        kind=settings.kinds.index(kind) if kind in settings.kinds else -1,
        cell=int(raw.get("pod_group", 0)),
        state=STATES[raw["state"]],
        weight=weight,
        started_at_ms=started,  # Unix time, as the module's clock counts
    )
    return Target(entry, address_of(raw["endpoint"]))


def parse_list(raw: Any, settings: SocketSettings) -> TargetList:
    """One list or line of changes. An entry that cannot be read spoils only itself, so that one bad
    server in discovery does not blind the limiter to the others."""
    targets = []
    for item in raw["targets"]:
        try:
            targets.append(_target_of(item, settings))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            log.warning("discovery: an entry is dropped: %r", error)
    return TargetList(int(raw["rev"]), bool(raw["all"]), tuple(targets))
