"""Outlier detection: servers that fail repeatedly are ejected for a time, but never too many of them."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from elderlock.decisions.context import DecisionContext
from elderlock.state import Server

FAILURES_BEFORE_EJECTION = 3  # consecutive ones
BASE_EJECTION_MS = 2000.0  # doubled by each further ejection in a row
MAX_EJECTION_MS = 30_000.0
MIN_JITTER_FACTOR = 0.8
MAX_JITTER_FACTOR = 1.2
MAX_EJECTION_COUNT = 8  # consecutive ejections that are counted
MAX_EJECTED_WEIGHT_FRACTION = 0.5  # of the weight of all ready servers
PANIC_THRESHOLD_FRACTION = 0.75  # of the ready servers; if more fail, this limiter's own network is the likelier cause


class _Reinstatement(NamedTuple):
    """The end of an ejection; `sequence_number` keeps ends at the same time in the order in which they were set."""

    due_at_ms: float
    sequence_number: int
    server: Server


class OutlierDetector:
    """Ejects servers after consecutive failures, and reinstates them.

    A server whose ejection has ended is on probation: it gets one request at a time until it has answered one.

    Invariant: the ejected servers weigh at most `MAX_EJECTED_WEIGHT_FRACTION` of the ready ones, and none is ejected in
    panic mode.

    Attributes:
        ejected: The ejected servers with their weight in thousandths, the one ejected first in front.
        ejected_weight_milli: The sum of these weights.
        failing_server_ids: The servers that have failed often enough to be ejected, whether or not they are.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Create a detector that has seen no failure."""
        self.context = context
        self.ejected: dict[Server, int] = {}
        self.ejected_weight_milli = 0
        self.failing_server_ids: set[str] = set()
        self._reinstatements: list[_Reinstatement] = []  # a heap, which also holds entries that are outdated
        self._sequence_number = 0

    def is_panicking(self, ready_count: int) -> bool:
        """Return whether so many of the ready servers fail that none may be ejected."""
        return len(self.failing_server_ids) > PANIC_THRESHOLD_FRACTION * ready_count

    def record_success(self, server: Server) -> None:
        """Record that a server has answered, which ends its ejection and its probation."""
        server.consecutive_failures = 0
        server.consecutive_ejections = 0
        server.is_on_probation = False
        self.failing_server_ids.discard(server.entry.server_id)
        self._reinstate(server)

    def record_failure(self, server: Server, ready_count: int, ready_weight_milli: int) -> list[Server]:
        """Record that a server did not answer, and eject it if that is due and allowed.

        Args:
            server: The server.
            ready_count: How many servers are ready.
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
        """Let the ejection of a server end `delay_ms` from now; an end that was set before no longer counts."""
        self._sequence_number += 1
        server.reinstate_at_ms = self.context.now_ms + delay_ms
        heapq.heappush(self._reinstatements, _Reinstatement(server.reinstate_at_ms, self._sequence_number, server))

    def reinstate_excess(self, ready_weight_milli: int) -> list[Server]:
        """Reinstate servers, the one ejected first in front, until the others weigh no more than is allowed.

        Args:
            ready_weight_milli: The weight of all ready servers in thousandths; with 0 all are reinstated.

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
            if server.is_ejected and server.reinstate_at_ms == due_at_ms:  # otherwise another end was set since
                self._reinstate(server)
                server.is_on_probation = True
                reinstated.append(server)
        return reinstated

    def forget(self, server: Server) -> None:
        """Drop what is held against a server that is no longer ready."""
        self.failing_server_ids.discard(server.entry.server_id)
        self._reinstate(server)

    def _reinstate(self, server: Server) -> None:
        if server.is_ejected:
            server.is_ejected = False
            self.ejected_weight_milli -= self.ejected.pop(server)
