"""The graceful shutdown of a limiter, on SIGTERM, SIGINT or an operator's command.

For a while connections are still accepted, as the load balancer goes on sending them. What comes is served. Each
connection closes once it has no answer pending. Requests that are open near the time of SIGKILL are failed, so that
each has its answer.
"""

from __future__ import annotations

import asyncio
import logging

from elderlock.net.config import Config
from elderlock.net.startup import RunningLimiter

# The load balancer may send new connections for 0.4 s after SIGTERM.
ACCEPT_AFTER_SIGTERM_S = 0.5
# SIGKILL comes this long after the longest deadline of a request, at the soonest.
KILL_DELAY_S = 0.7
# Of a longer deadline, only this much is waited for.
MAX_DEADLINE_S = 3.0
# Before SIGKILL: what is still open is failed, and the answers leave.
FINAL_ANSWERS_S = 0.3

log = logging.getLogger(__name__)


def drain_time_limit_s(config: Config) -> float:
    """Return the time from SIGTERM until open requests are failed; SIGKILL would cut them off soon after."""
    longest_deadline_s = min(config.socket_settings.longest_deadline_ms / 1000.0, MAX_DEADLINE_S)
    return longest_deadline_s + KILL_DELAY_S - FINAL_ANSWERS_S


async def shut_down(running: RunningLimiter) -> None:
    """Drain a limiter and close its parts."""
    log.info("%s stops", running.config.name)
    drain = running.listener.drain(ACCEPT_AFTER_SIGTERM_S, drain_time_limit_s(running.config))
    if running.features is None:
        await drain
    else:
        await asyncio.gather(drain, running.features.stop_authz())
    running.discovery.stop()
    running.gateway.server_pools.close()
    if running.peers is not None:
        running.peers.close()
    if running.features is not None:
        running.features.close()
