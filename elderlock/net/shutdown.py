"""The graceful shutdown of a limiter, on SIGTERM, SIGINT or an operator's command.

Connections are still accepted for a while, because the load balancer keeps sending them, and their requests are served.
Each connection closes once it has no pending answer. Requests that are still open shortly before SIGKILL are failed, so
that each of them gets an answer.
"""

from __future__ import annotations

import asyncio
import logging

from elderlock.net.config import Config
from elderlock.net.startup import RunningLimiter

# The load balancer may send new connections for 0.4 s after SIGTERM.
ACCEPT_AFTER_SIGTERM_S = 0.5
# SIGKILL is sent no sooner than this time after the longest deadline of a request.
KILL_DELAY_S = 0.7
# Upper limit of the deadline that is waited for.
MAX_DEADLINE_S = 3.0
# Time reserved before SIGKILL for failing open requests and sending their answers.
FINAL_ANSWERS_S = 0.3

log = logging.getLogger(__name__)


def drain_time_limit_s(config: Config) -> float:
    """Return the time from SIGTERM until open requests are failed, which is shortly before SIGKILL."""
    longest_deadline_s = min(config.socket_settings.longest_deadline_ms / 1000.0, MAX_DEADLINE_S)
    return longest_deadline_s + KILL_DELAY_S - FINAL_ANSWERS_S


async def shut_down(running: RunningLimiter) -> None:
    """Drain a limiter and close its parts."""
    log.info("%s is shutting down", running.config.name)
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
