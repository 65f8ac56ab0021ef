"""Redis or Valkey as the counter, one server or a cluster: one script adds, sets a lifetime and returns the total.

The `redis` library implements the protocol, follows the redirects of a cluster and manages the connections. Its retries
are disabled, because an addition that is sent twice would count twice.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from redis.asyncio import Redis, RedisCluster
from redis.asyncio.cluster import ClusterNode
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import (
    BusyLoadingError,
    ClusterDownError,
    MasterDownError,
    NoScriptError,
    RedisError,
    ResponseError,
    TryAgainError,
)
from redis.exceptions import ConnectionError as RedisConnectionError

from elderlock.quota.counter_call import CounterCall
from elderlock.quota.store_client import StoreEvents

# INCRBYFLOAT preserves a name's lifetime. A name without one is new, or lost its lifetime in a failover.
SCRIPT = """
local total = redis.call('INCRBYFLOAT', KEYS[1], ARGV[1])
if redis.call('PTTL', KEYS[1]) < 0 then redis.call('PEXPIRE', KEYS[1], ARGV[2]) end
return total
"""
MS_PER_SECOND = 1000.0
MAX_CALLS_UNDER_WAY = 256
CALL_ANSWER_TIMEOUTS = 4.0  # the timeout of a call, in answer timeouts
LOAD_CALL_TIMEOUTS = 2.0  # the timeout for loading the script, in call timeouts
BUSY_ERRORS = (BusyLoadingError, ClusterDownError, MasterDownError, TryAgainError)
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RedisOptions:
    """The location of a counter in Redis or Valkey.

    Attributes:
        addresses: The host and port of one server, or of the startup nodes of a cluster.
        is_cluster: Whether the addresses belong to a cluster.
        name_prefix: The prefix of each name.
    """

    addresses: tuple[tuple[str, int], ...]
    is_cluster: bool
    name_prefix: str


class RedisClient:
    """A client of one Redis server or of a cluster.

    Attributes:
        broken_connections: The number of times that a call ended with a broken connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        options: RedisOptions,
        answer_timeout_ms: float,
        events: StoreEvents,
    ) -> None:
        """Create a client without a connection; the first call opens one."""
        self.broken_connections = 0
        self._loop = loop
        self._options = options
        self._events = events
        self._call_timeout_s = CALL_ANSWER_TIMEOUTS * (answer_timeout_ms / MS_PER_SECOND)
        self._client: Any = None
        self._script_hash = ""
        self._loading: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def _open(self) -> Any:
        no_retry = Retry(NoBackoff(), 0)
        common: dict[str, Any] = {
            "socket_connect_timeout": self._call_timeout_s,
            "socket_timeout": self._call_timeout_s,
            "protocol": 2,
        }
        if self._options.is_cluster:
            nodes = [ClusterNode(host, port) for host, port in self._options.addresses]
            return RedisCluster(startup_nodes=nodes, retry=no_retry, require_full_coverage=False, **common)
        host, port = self._options.addresses[0]
        return Redis(host=host, port=port, retry=no_retry, single_connection_client=False, **common)

    def follow(self, addresses: Sequence[tuple[str, int]]) -> None:
        """Switch to other addresses. Answers from the old addresses no longer grant anything."""
        if tuple(addresses) == self._options.addresses:
            return
        self._options = replace(self._options, addresses=tuple(addresses))
        self._drop_client()
        self._events.connection_lost()

    def _drop_client(self) -> None:
        client = self._client
        self._client = None
        self._script_hash = ""
        if client is not None:
            self._keep_task(self._loop.create_task(self._close_client(client)))

    @staticmethod
    async def _close_client(client: Any) -> None:
        try:
            await client.aclose()
        except RedisError as error:
            log.debug("closing a connection to the counter failed: %s", error)

    def _keep_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)  # a task without a reference may be garbage-collected
        task.add_done_callback(self._tasks.discard)

    def send(self, calls: Sequence[CounterCall]) -> None:
        """Send calls without waiting. A call that cannot be sent now fails, and the counter adds nothing for it."""
        if self._client is None:
            self._client = self._open()
        if not self._script_hash and self._loading is None:
            self._loading = self._loop.create_task(self._load_script(self._client))
        for call in calls:
            if not self._script_hash or len(self._tasks) >= MAX_CALLS_UNDER_WAY:
                self._events.failed(call.token, False, bool(self._script_hash))
            else:
                self._keep_task(self._loop.create_task(self._call(self._client, call)))

    async def _load_script(self, client: Any) -> None:
        try:
            async with asyncio.timeout(LOAD_CALL_TIMEOUTS * self._call_timeout_s):
                if self._options.is_cluster:
                    await client.initialize()
                script_hash = await client.script_load(SCRIPT)
            if client is self._client:
                self._script_hash = script_hash if isinstance(script_hash, str) else bytes(script_hash).decode()
        except (RedisError, OSError, TimeoutError) as error:
            log.debug("loading the script into the counter failed: %s", error)
            if client is self._client:
                self._drop_client()
        finally:
            self._loading = None

    async def _call(self, client: Any, call: CounterCall) -> None:
        name = f"{self._options.name_prefix}{call.name}"
        try:
            async with asyncio.timeout(self._call_timeout_s):
                total = await client.evalsha(
                    self._script_hash, 1, name, f"{call.amount_units:.9g}", f"{call.lifetime_ms:.0f}"
                )
            self._events.answered(call.token, float(total))
        except NoScriptError:  # a server that restarted or joined the cluster; nothing was added
            self._script_hash = ""
            self._events.failed(call.token, False, False)
        except BUSY_ERRORS:
            self._events.failed(call.token, False, True)
        except (RedisConnectionError, OSError, TimeoutError) as error:
            self._events.failed(call.token, True, False)
            if client is self._client and not isinstance(error, TimeoutError):
                self.broken_connections += 1
                self._drop_client()
                self._events.connection_lost()
        except (ResponseError, ValueError, TypeError) as error:
            log.warning("unexpected answer of the counter for %s: %s", call.name, error)
            self._events.failed(call.token, True, False)

    def close(self) -> None:
        """Cancel all calls and close the connections."""
        if self._loading is not None:
            self._loading.cancel()
        for task in list(self._tasks):
            task.cancel()
        self._drop_client()
