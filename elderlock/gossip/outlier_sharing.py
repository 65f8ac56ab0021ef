"""Outlier detection where limiters share health evidence: few of them try an ejected server again first."""

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

FIRST_TRIAL_LIMITERS = 9.0  # that try a server again first, over all zones, on average
LATER_TRIAL_FACTOR = 3.0  # by which the others wait longer, unless evidence comes before
PEERS_HEARD_WITHIN_MS = 3000.0  # in which another limiter must have been heard of for this one to wait longer


@dataclass(frozen=True, slots=True)
class Ejection:
    """Why a server is ejected, for operators.

    Attributes:
        since_ms: When it was ejected.
        origins: The limiters whose failures led to it.
    """

    since_ms: float
    origins: tuple[int, ...]


class SharedOutlierDetector(OutlierDetector):
    """An outlier detector that is also given the failures of other limiters.

    Attributes:
        heard_at_ms: When another limiter was last heard of.
        ejections: Why the ejected servers are ejected.
    """

    def __init__(self, context: DecisionContext, own_failure: Callable[[Server], None]) -> None:
        """Create a detector that has seen no failure and calls `own_failure` at each of this limiter's own."""
        super().__init__(context)
        self._own_failure = own_failure
        self.heard_at_ms = float("-inf")
        self.ejections: dict[Server, Ejection] = {}

    def record_failure(self, server: Server, ready_count: int, ready_weight_milli: int) -> list[Server]:
        """Record a failure of this limiter's own; see `OutlierDetector.record_failure`."""
        self._own_failure(server)
        own_origin = (self.context.settings.limiter_index,)
        return self.record_failure_of(own_origin, server, ready_count, ready_weight_milli)

    def record_failure_of(
        self, origins: tuple[int, ...], server: Server, ready_count: int, ready_weight_milli: int
    ) -> list[Server]:
        """Record a failure that the limiters `origins` saw; see `OutlierDetector.record_failure`."""
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
        """Let a few limiters, drawn at random, try the server again first, if others are heard of."""
        context = self.context
        is_first = context.rng.random() * context.settings.limiter_count < FIRST_TRIAL_LIMITERS
        is_alone = context.now_ms - self.heard_at_ms > PEERS_HEARD_WITHIN_MS
        jitter_factor = context.rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        trial_factor = 1.0 if is_first or is_alone else LATER_TRIAL_FACTOR
        self.schedule_reinstatement(server, ejection_ms(server) * jitter_factor * trial_factor)

    def extend_ejection(self, server: Server) -> None:
        """Begin the ejection anew, as another limiter tried the server in vain; never end it sooner."""
        left_ms = server.reinstate_at_ms - self.context.now_ms
        self.schedule_reinstatement(server, max(ejection_ms(server), left_ms))


def ejection_ms(server: Server) -> float:
    """Return for how long an ejected server is ejected, before jitter."""
    return min(BASE_EJECTION_MS * 2.0 ** (server.consecutive_ejections - 1), MAX_EJECTION_MS)
