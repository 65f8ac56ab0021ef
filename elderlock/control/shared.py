"""What a limiter shows of what it shares. Loaded only where it does."""

from __future__ import annotations

from collections.abc import Sequence

from elderlock.control import messages as m
from elderlock.decisions.limiter import Limiter
from elderlock.gossip import quota_escrow
from elderlock.gossip.escrow_limiter import EscrowLimiter
from elderlock.gossip.evidence_limiter import EvidenceLimiter
from elderlock.gossip.evidence_messages import server_key
from elderlock.gossip.health_evidence import EJECTION_WEIGHT, FRESH_MS
from elderlock.gossip.rumours import SEND_FRACTION
from elderlock.state import Server

MOST_SHOWN = 64  # servers whose evidence is shown at a look, those that most was heard of lately first


def ceilings_of(limiter: Limiter) -> m.Ceilings | None:
    if not isinstance(limiter, EscrowLimiter):
        return None
    quotas = limiter.quotas
    most = quota_escrow.SEND_FRACTION * limiter.context.settings.quota_sources.peer_messages_per_s
    return m.Ceilings(quotas.given_units, quotas.taken_units, quotas.in_transit_units(), most)


class SharedView:
    """Of evidence. Reads, and changes nothing."""

    def __init__(self, limiter: EvidenceLimiter, zones: Sequence[str]) -> None:
        self._limiter, self._zones = limiter, zones

    def summary(self, now: float) -> m.Shared:
        limiter, evidence = self._limiter, self._limiter.evidence
        heard_at = limiter.outlier_detector.heard_at_ms
        return m.Shared(
            heard=limiter.received_datagrams,
            refused=limiter.refused_datagrams,
            told=limiter.sent_datagrams,
            told_most=SEND_FRACTION * limiter.context.settings.quota_sources.peer_messages_per_s,
            heard_age_ms=now - heard_at if heard_at > float("-inf") else -1.0,
            counts_ms=FRESH_MS,
            servers=len(evidence),
            disbelieved=tuple(evidence.distrusted_origins(len(limiter.endpoints.directory.ready), now)),
            silent=evidence.distrusts_itself(now),
        )

    def shown(self) -> set[int]:
        """Keys of the servers whose evidence is shown."""
        return set(self._limiter.evidence.latest_servers(MOST_SHOWN))

    def health(self, uid: str, server: Server | None, shown: set[int], now: float) -> m.Health | None:
        held = self._limiter.outlier_detector.ejections.get(server) if server is not None else None
        rows = self._limiter.evidence.witnesses(server_key(uid), now) if server_key(uid) in shown else []
        if held is None and not rows:
            return None
        ready = len(self._limiter.endpoints.directory.ready)
        return m.Health(
            self._limiter.evidence.failure_weight(server_key(uid), ready, now),
            EJECTION_WEIGHT,
            now - held.since_ms if held is not None else -1.0,
            held.origins if held is not None else (),
            tuple(
                m.Witness(each.origin_index, self._zone(each.zone), each.failed_age_ms, each.answered_age_ms)
                for each in rows
            ),
        )

    def _zone(self, number: int) -> str:
        return self._zones[number] if number < len(self._zones) else "?"
