"""Outlier detection for limiters that share health evidence: only a few of them retry an ejected server first."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from elderlock.decisions.context import DecisionContext
from elderlock.decisions.outlier_detection import (
    BASE_EJECTION_MS,
    MAX_EJECTION_MS,
    MAX_JITTER_FACTOR,
    MIN_JITTER_FACTOR,
    OutlierDetector,
)
from elderlock.state import Server

FIRST_TRIAL_LIMITERS = 9.0  # the average number, over all zones, that retry an ejected server first
LATER_TRIAL_FACTOR = 3.0  # by which the others wait longer, unless evidence reinstates the server earlier
PEERS_HEARD_WITHIN_MS = 3000.0  # a limiter that received no evidence for this long does not wait longer


@dataclass(frozen=True, slots=True)
class Ejection:
    """The cause of an ejection, for display to operators.

    Attributes:
        since_ms: When the server was ejected.
        origins: The limiters whose failures led to it.
    """

    since_ms: float
    origins: tuple[int, ...]


class SharedOutlierDetector(OutlierDetector):
    """An outlier detector that also counts the failures at other limiters.

    Attributes:
        heard_at_ms: When evidence of another limiter was last received.
        ejections: The causes of the current ejections.
    """

    def __init__(self, context: DecisionContext, on_own_failure: Callable[[Server], None]) -> None:
        """Create a detector without failures that calls `on_own_failure` at each failure at this limiter."""
        super().__init__(context)
        self._on_own_failure = on_own_failure
        self.heard_at_ms = float("-inf")
        self.ejections: dict[Server, Ejection] = {}

    def record_failure(self, server: Server, ready_count: int, ready_weight_milli: int) -> list[Server]:
        """Record a failure at this limiter; see `OutlierDetector.record_failure`."""
        self._on_own_failure(server)
        own_origin = (self.context.settings.limiter_index,)
        return self.record_failure_of(own_origin, server, ready_count, ready_weight_milli)

    def record_failure_of(
        self, origins: tuple[int, ...], server: Server, ready_count: int, ready_weight_milli: int
    ) -> list[Server]:
        """Record a failure that the limiters `origins` observed; see `OutlierDetector.record_failure`."""
        was_ejected = server.is_ejected
        reinstated = super().record_failure(server, ready_count, ready_weight_milli)
        if server.is_ejected and not was_ejected:
            self.ejections[server] = Ejection(self.context.now_ms, origins)
            self._schedule_trial(server)
        return reinstated

    def _reinstate(self, server: Server) -> None:
        super()._reinstate(server)
        self.ejections.pop(server, None)

    def _schedule_trial(self, server: Server) -> None:
        """Schedule the next trial: early at a few randomly chosen limiters, and at a limiter that hears no other."""
        context = self.context
        is_first = context.rng.random() * context.settings.limiter_count < FIRST_TRIAL_LIMITERS
        is_alone = context.now_ms - self.heard_at_ms > PEERS_HEARD_WITHIN_MS
        jitter_factor = context.rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        trial_factor = 1.0 if is_first or is_alone else LATER_TRIAL_FACTOR
        self.schedule_reinstatement(server, ejection_ms(server) * jitter_factor * trial_factor)

    def extend_ejection(self, server: Server) -> None:
        """Restart the ejection because another limiter's trial failed; never shorten it."""
        remaining_ms = server.reinstate_at_ms - self.context.now_ms
        self.schedule_reinstatement(server, max(ejection_ms(server), remaining_ms))


def ejection_ms(server: Server) -> float:
    """Return the duration of an ejected server's ejection, before jitter."""
    return min(BASE_EJECTION_MS * 2.0 ** (server.consecutive_ejections - 1), MAX_EJECTION_MS)
