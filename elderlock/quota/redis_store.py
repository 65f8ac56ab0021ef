"""Redis or Valkey as the counter, one server or a cluster: one script adds, sets a life and returns the total.

The `redis` library speaks the protocol, follows a cluster's redirects and keeps its connections. It is told never to
send a call again by itself: an addition that was sent twice counts twice.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any

from redis.asyncio import Redis, RedisCluster
from redis.asyncio.cluster import ClusterNode
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import (
    BusyLoadingError,
    ClusterDownError,
    ConnectionError,
    MasterDownError,
    NoScriptError,
    RedisError,
    ResponseError,
    TryAgainError,
)

from elderlock.quota.book import Call

# INCRBYFLOAT keeps a life; a name that has none is new, or its life was lost with a failover
SCRIPT = """
local total = redis.call('INCRBYFLOAT', KEYS[1], ARGV[1])
if redis.call('PTTL', KEYS[1]) < 0 then redis.call('PEXPIRE', KEYS[1], ARGV[2]) end
return total
"""
MOST_OUT = 256  # calls under way
STUCK = 4.0  # answer times after which a call is given up by us as well
NOT_NOW = (BusyLoadingError, ClusterDownError, MasterDownError, TryAgainError)
log = logging.getLogger(__name__)


class RedisStore:
    """The same face as `Tally`: each call has one outcome, `off` hears that connections broke. `addresses`: one server,
    or where to ask for a cluster's slots."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        addresses: Sequence[tuple[str, int]],
        cluster: bool,
        prefix: str,
        answer_within: float,
        answered: Callable[[int, float], None],
        unanswered: Callable[[int, bool, bool], None],
        off: Callable[[], None],
    ) -> None:
        self._loop, self._addresses, self._cluster, self._prefix = loop, tuple(addresses), cluster, prefix
        self._within = answer_within / 1000.0
        self._answered, self._unanswered, self._off = answered, unanswered, off
        self._client: Any = None
        self._sha = ""
        self._loading: asyncio.Task[None] | None = None
        self._out: set[asyncio.Task[None]] = set()
        self.broken = 0

    def _open(self) -> Any:
        once = Retry(NoBackoff(), 0)
        common: dict[str, Any] = {
            "socket_connect_timeout": STUCK * self._within,
            "socket_timeout": STUCK * self._within,
            "protocol": 2,
        }
        if self._cluster:
            nodes = [ClusterNode(host, port) for host, port in self._addresses]
            return RedisCluster(startup_nodes=nodes, retry=once, require_full_coverage=False, **common)
        host, port = self._addresses[0]
        return Redis(host=host, port=port, retry=once, single_connection_client=False, **common)

    def follow(self, addresses: Sequence[tuple[str, int]]) -> None:
        """Turns to others; calls under way at the old ones grant nothing any more."""
        if tuple(addresses) == self._addresses:
            return
        self._addresses = tuple(addresses)
        self._forget()
        self._off()

    def _forget(self) -> None:
        client, self._client, self._sha = self._client, None, ""
        if client is not None:
            self._keep(self._loop.create_task(self._close(client)))

    @staticmethod
    async def _close(client: Any) -> None:
        try:
            await client.aclose()
        except RedisError as error:
            log.debug("a connection to the counter did not end well: %s", error)

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._out.add(task)  # a task that nothing holds may be collected
        task.add_done_callback(self._out.discard)

    def send(self, calls: Sequence[Call]) -> None:
        """Never waits; what cannot go now was not made."""
        if self._client is None:
            self._client = self._open()
        if not self._sha and self._loading is None:
            self._loading = self._loop.create_task(self._load(self._client))
        for call in calls:
            if not self._sha or len(self._out) >= MOST_OUT:
                self._unanswered(call.token, False, bool(self._sha))
            else:
                self._keep(self._loop.create_task(self._call(self._client, call)))

    async def _load(self, client: Any) -> None:
        try:
            async with asyncio.timeout(2.0 * STUCK * self._within):
                if self._cluster:
                    await client.initialize()
                    loaded = await client.script_load(SCRIPT)
                else:
                    loaded = await client.script_load(SCRIPT)
            if client is self._client:
                self._sha = loaded if isinstance(loaded, str) else bytes(loaded).decode()
        except (RedisError, OSError, TimeoutError) as error:
            log.debug("the counter takes no script: %s", error)
            if client is self._client:
                self._forget()
        finally:
            self._loading = None

    async def _call(self, client: Any, call: Call) -> None:
        try:
            async with asyncio.timeout(STUCK * self._within):
                total = await client.evalsha(
                    self._sha, 1, f"{self._prefix}{call.name}", f"{call.amount:.9g}", f"{call.life:.0f}"
                )
            self._answered(call.token, float(total))
        except NoScriptError:  # a server that was started anew, or one that has joined: nothing was added
            self._sha = ""
            self._unanswered(call.token, False, False)
        except NOT_NOW:
            self._unanswered(call.token, False, True)
        except (ConnectionError, OSError, TimeoutError) as error:
            self._unanswered(call.token, True, False)
            if client is self._client and not isinstance(error, TimeoutError):
                self.broken += 1
                self._forget()
                self._off()
        except (ResponseError, ValueError, TypeError) as error:
            log.warning("the counter answered %s with %s", call.name, error)
            self._unanswered(call.token, True, False)

    def close(self) -> None:
        if self._loading is not None:
            self._loading.cancel()
        for task in list(self._out):
            task.cancel()
        self._forget()
