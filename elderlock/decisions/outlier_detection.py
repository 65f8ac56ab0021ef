"""Outlier detection: ejects servers that fail repeatedly, up to a limit, and reinstates them after a time."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from elderlock.decisions.context import DecisionContext
from elderlock.state import Server

FAILURES_BEFORE_EJECTION = 3  # in a row
BASE_EJECTION_MS = 2000.0  # doubled by each further ejection in a row
MAX_EJECTION_MS = 30_000.0
MIN_JITTER_FACTOR = 0.8
MAX_JITTER_FACTOR = 1.2
MAX_EJECTION_COUNT = 8  # the maximum of the counter of ejections in a row
MAX_EJECTED_WEIGHT_FRACTION = 0.5  # of the weight of all ready servers
PANIC_THRESHOLD_FRACTION = 0.75  # of the ready servers; if more fail, the cause is probably this limiter's network


class _Reinstatement(NamedTuple):
    """A scheduled end of an ejection; `sequence_number` keeps ends at the same time in the order of scheduling."""

    due_at_ms: float
    sequence_number: int
    server: Server


class OutlierDetector:
    """Ejects servers after consecutive failures, and reinstates them.

    A server whose ejection has ended is on probation: it gets one request at a time until it has answered one.

    Invariant: the weight of the ejected servers is at most `MAX_EJECTED_WEIGHT_FRACTION` of that of the ready servers,
    and no server is ejected in panic mode.

    Attributes:
        context: The state that the limiter's components share.
        ejected: The ejected servers with their weight in thousandths, in the order of their ejection.
        ejected_weight_milli: The sum of these weights.
        failing_server_ids: The ids of the servers that have failed often enough to be ejected, ejected or not.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Start without failures."""
        self.context = context
        self.ejected: dict[Server, int] = {}
        self.ejected_weight_milli = 0
        self.failing_server_ids: set[str] = set()
        self._reinstatements: list[_Reinstatement] = []  # a heap, which may contain outdated entries
        self._sequence_number = 0

    def is_panicking(self, ready_count: int) -> bool:
        """Return whether panic mode is active: so many of the ready servers fail that none may be ejected."""
        return len(self.failing_server_ids) > PANIC_THRESHOLD_FRACTION * ready_count

    def record_success(self, server: Server) -> None:
        """Record that a server has answered, which ends its ejection and its probation."""
        server.consecutive_failures = 0
        server.consecutive_ejections = 0
        server.is_on_probation = False
        self.failing_server_ids.discard(server.entry.server_id)
        self._reinstate(server)

    def record_failure(self, server: Server, ready_count: int, ready_weight_milli: int) -> list[Server]:
        """Record a failure of a server, and eject the server if it failed often enough and the limits allow it.

        Args:
            server: The server.
            ready_count: The number of ready servers.
            ready_weight_milli: Their weight in thousandths.

        Returns:
            The servers that panic mode reinstates.
        """
        server.consecutive_failures += 1
        if server.consecutive_failures < FAILURES_BEFORE_EJECTION or server.is_ejected:
            return []
        self.failing_server_ids.add(server.entry.server_id)
        if self.is_panicking(ready_count):
            return self.reinstate_excess(0)
        if self.ejected_weight_milli + server.weight_milli <= MAX_EJECTED_WEIGHT_FRACTION * ready_weight_milli:
            self._eject(server)
        return []

    def _eject(self, server: Server) -> None:
        ejection_ms = min(BASE_EJECTION_MS * 2.0**server.consecutive_ejections, MAX_EJECTION_MS)
        jitter_factor = self.context.rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        server.is_ejected = True
        server.is_on_probation = False
        server.consecutive_ejections = min(server.consecutive_ejections + 1, MAX_EJECTION_COUNT)
        self.ejected[server] = server.weight_milli
        self.ejected_weight_milli += server.weight_milli
        self.schedule_reinstatement(server, ejection_ms * jitter_factor)

    def schedule_reinstatement(self, server: Server, delay_ms: float) -> None:
        """Schedule the end of a server's ejection `delay_ms` from now; this replaces an end that was set before."""
        self._sequence_number += 1
        server.reinstate_at_ms = self.context.now_ms + delay_ms
        heapq.heappush(self._reinstatements, _Reinstatement(server.reinstate_at_ms, self._sequence_number, server))

    def reinstate_excess(self, ready_weight_milli: int) -> list[Server]:
        """Reinstate servers in the order of their ejection until the weight of the others is within the limit.

        Args:
            ready_weight_milli: The weight of all ready servers in thousandths; 0 reinstates all servers.

        Returns:
            The reinstated servers.
        """
        reinstated = []
        while self.ejected_weight_milli > MAX_EJECTED_WEIGHT_FRACTION * ready_weight_milli:
            server = next(iter(self.ejected))
            self._reinstate(server)
            reinstated.append(server)
        return reinstated

    def reinstate_due(self) -> list[Server]:
        """Reinstate the servers whose ejection has ended, on probation, and return them."""
        reinstated = []
        while self._reinstatements and self._reinstatements[0].due_at_ms <= self.context.now_ms:
            due_at_ms, _, server = heapq.heappop(self._reinstatements)
            if server.is_ejected and server.reinstate_at_ms == due_at_ms:  # otherwise the entry is outdated
                self._reinstate(server)
                server.is_on_probation = True
                reinstated.append(server)
        return reinstated

    def forget(self, server: Server) -> None:
        """Remove the failure and the ejection of a server that is no longer ready."""
        self.failing_server_ids.discard(server.entry.server_id)
        self._reinstate(server)

    def _reinstate(self, server: Server) -> None:
        if server.is_ejected:
            server.is_ejected = False
            self.ejected_weight_milli -= self.ejected.pop(server)
