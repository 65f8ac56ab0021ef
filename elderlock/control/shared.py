"""What a limiter shows of what it shares. Loaded only where it does."""

from __future__ import annotations

from collections.abc import Sequence

from elderlock.control import messages as m
from elderlock.decisions.limiter import Limiter
from elderlock.gossip import ceilings
from elderlock.gossip.evidence import ENOUGH, FRESH
from elderlock.gossip.limiter import SharedLimiter
from elderlock.gossip.rumours import INTAKE_PART
from elderlock.gossip.wire import key
from elderlock.state import Server

MAXIMUM_SHOWN_SERVERS = 64  # servers whose evidence is shown at a look, those that most was heard of lately first


def ceiling_status(limiter: Limiter) -> m.CeilingStatus | None:
    if not isinstance(limiter, ceilings.CeilingLimiter):
        return None
    quotas = limiter.quotas
    most = ceilings.INTAKE_PART * limiter.context.settings.quota_sources.peer_messages_per_s
    return m.CeilingStatus(quotas.given, quotas.taken, quotas.away(), most)


class EvidenceView:
    """Of evidence. Reads, and changes nothing."""

    def __init__(self, limiter: SharedLimiter, zones: Sequence[str]) -> None:
        self._limiter, self._zones = limiter, zones

    def summary(self, now: float) -> m.EvidenceStatus:
        limiter, evidence = self._limiter, self._limiter.evidence
        heard_at = limiter.outliers.heard_at
        return m.EvidenceStatus(
            received=limiter.heard,
            refused=limiter.refused,
            sent=limiter.told,
            maximum_sent_per_s=INTAKE_PART * limiter.context.settings.quota_sources.peer_messages_per_s,
            received_age_ms=now - heard_at if heard_at > float("-inf") else -1.0,
            evidence_lifetime_ms=FRESH,
            servers=len(evidence),
            disbelieved=tuple(evidence.disbelieved(len(limiter.endpoints.directory.ready), now)),
            is_silent=evidence.doubts_itself(now),
        )

    def shown_keys(self) -> set[int]:
        """Keys of the servers whose evidence is shown."""
        return set(self._limiter.evidence.latest(MAXIMUM_SHOWN_SERVERS))

    def health(self, uid: str, server: Server | None, shown: set[int], now: float) -> m.ServerHealth | None:
        held = self._limiter.outliers.held.get(server) if server is not None else None
        rows = self._limiter.evidence.who(key(uid), now) if key(uid) in shown else []
        if held is None and not rows:
            return None
        ready = len(self._limiter.endpoints.directory.ready)
        return m.ServerHealth(
            self._limiter.evidence.failures(key(uid), ready, now),
            ENOUGH,
            now - held.since if held is not None else -1.0,
            held.origins if held is not None else (),
            tuple(m.HealthWitness(each.origin, self._zone(each.zone), each.failed_age, each.good_age) for each in rows),
        )

    def _zone(self, number: int) -> str:
        return self._zones[number] if number < len(self._zones) else "?"
