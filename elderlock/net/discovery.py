"""Follows the list of servers: the whole list at start, then a watch that is renewed when it dies."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
from typing import Any

import aiohttp

from elderlock import interface as api
from elderlock.net.config import Address, address_of
from elderlock.settings import SocketSettings

STATES = {
    "up": api.ServerState.RUNNING,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.GONE,
}
SILENT_AFTER = 3.0  # s: an empty line comes every 2 s; a link that is cut stays open and says nothing
FIRST_BACKOFF, MOST_BACKOFF = 0.1, 2.0  # s between tries
LONGEST_LINE = 1 << 20

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
        server=str(raw["uid"]),
        zone=settings.zones.index(zone) if zone in settings.zones else -1,
        kind=settings.kinds.index(kind) if kind in settings.kinds else -1,
        cell=int(raw.get("pod_group", 0)),
        state=STATES[raw["state"]],
        weight=weight,
        started_at=started,  # Unix time, as the module's clock counts
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


class Discovery:
    """One task for the life of the process; each list goes to `told` in the callback that read it."""

    def __init__(
        self, address: Address, settings: SocketSettings, told: Callable[[TargetList], None]
    ) -> None:
        host, port = address
        self._url = f"http://{host}:{port}/discovery/hosts"
        self._settings, self._told = settings, told
        self._version: int | None = None
        self.silent_after = SILENT_AFTER

    async def run(self) -> None:
        backoff = FIRST_BACKOFF
        silent = self.silent_after
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=silent, sock_read=silent)
        async with aiohttp.ClientSession(timeout=timeout, read_bufsize=LONGEST_LINE) as session:
            while True:
                before = self._version
                try:
                    if self._version is None:
                        await self._fetch(session)
                    await self._watch(session)
                except Exception as error:  # whatever went wrong, the list is followed on
                    log.warning("discovery: %r", error)
                if self._version != before:
                    backoff = FIRST_BACKOFF
                # jittered, so that limiters cut off together do not come back in step
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, MOST_BACKOFF)

    async def _fetch(self, session: aiohttp.ClientSession) -> None:
        async with session.get(self._url) as response:
            response.raise_for_status()
            self._take(await response.read())

    async def _watch(self, session: aiohttp.ClientSession) -> None:
        query = {"watch": "1", "after": str(self._version or 0)}
        async with session.get(self._url, params=query) as response:
            response.raise_for_status()
            while line := await response.content.readline():  # sock_read ends a watch gone silent
                if line.strip():
                    self._take(line)

    def _take(self, text: bytes) -> None:
        try:
            listed = parse_list(json.loads(text), self._settings)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            # what it said is lost, and later changes build on it: ask for the whole list anew
            self._version = None
            raise ValueError(f"a line cannot be read: {error!r}") from None
        self._version = listed.version
        self._told(listed)
