"""Reports the health evidence and hard ceilings that a limiter shares with others. Loaded only if it shares them."""

from __future__ import annotations

import math
from collections.abc import Sequence

from elderlock.control import messages
from elderlock.decisions.limiter import Limiter
from elderlock.gossip import quota_escrow
from elderlock.gossip.escrow_limiter import EscrowLimiter
from elderlock.gossip.evidence_limiter import EvidenceLimiter
from elderlock.gossip.evidence_messages import server_key
from elderlock.gossip.health_evidence import EJECTION_WEIGHT, FRESH_MS
from elderlock.gossip.rumours import SEND_FRACTION
from elderlock.state import Server

MAXIMUM_SHOWN_SERVERS = 64  # servers whose evidence is reported, those with the latest evidence first
UNKNOWN_ZONE = "?"


def ceiling_status(limiter: Limiter) -> messages.CeilingStatus | None:
    """Return the status of exchanged hard ceilings; None if the limiter exchanges none."""
    if not isinstance(limiter, EscrowLimiter):
        return None
    quotas = limiter.quotas
    peer_messages_per_s = limiter.context.settings.quota_sources.peer_messages_per_s
    maximum_sent_per_s = quota_escrow.SEND_FRACTION * peer_messages_per_s
    return messages.CeilingStatus(
        quotas.granted_units, quotas.received_units, quotas.in_transit_units(), maximum_sent_per_s
    )


class EvidenceView:
    """Reads the shared health evidence of a limiter, without changing it."""

    def __init__(self, limiter: EvidenceLimiter, zones: Sequence[str]) -> None:
        self._limiter = limiter
        self._zones = zones

    def summary(self, now_ms: float) -> messages.EvidenceStatus:
        """Return the status of the evidence as a whole."""
        limiter = self._limiter
        evidence = limiter.evidence
        received_at_ms = limiter.outlier_detector.heard_at_ms
        return messages.EvidenceStatus(
            received=limiter.received_datagrams,
            refused=limiter.refused_datagrams,
            sent=limiter.sent_datagrams,
            maximum_sent_per_s=SEND_FRACTION * limiter.context.settings.quota_sources.peer_messages_per_s,
            received_age_ms=now_ms - received_at_ms if received_at_ms > -math.inf else -1.0,
            evidence_lifetime_ms=FRESH_MS,
            servers=len(evidence),
            disbelieved=tuple(evidence.distrusted_origins(self._ready_server_count(), now_ms)),
            is_silent=evidence.is_self_distrusted(now_ms),
        )

    def shown_keys(self) -> set[int]:
        """Return the keys of the servers whose evidence is reported."""
        return set(self._limiter.evidence.latest_servers(MAXIMUM_SHOWN_SERVERS))

    def health(self, uid: str, server: Server | None, shown: set[int], now_ms: float) -> messages.ServerHealth | None:
        """Return the evidence on a server; None if there is none.

        Args:
            uid: The server's uid.
            server: The server's state at the limiter; None if the limiter does not have it.
            shown: The keys of the servers whose evidence is reported; an ejection is reported for all.
            now_ms: The current time of the limiter's clock.
        """
        key = server_key(uid)
        ejection = self._limiter.outlier_detector.ejections.get(server) if server is not None else None
        evidence = self._limiter.evidence.witnesses(key, now_ms) if key in shown else []
        if ejection is None and not evidence:
            return None
        return messages.ServerHealth(
            failure_weight=self._limiter.evidence.failure_weight(key, self._ready_server_count(), now_ms),
            ejection_weight=EJECTION_WEIGHT,
            ejected_ms=now_ms - ejection.since_ms if ejection is not None else -1.0,
            ejected_by=ejection.origins if ejection is not None else (),
            witnesses=tuple(
                messages.HealthWitness(
                    witness.origin_index,
                    self._zone_name(witness.zone),
                    witness.failed_age_ms,
                    witness.answered_age_ms,
                )
                for witness in evidence
            ),
        )

    def _ready_server_count(self) -> int:
        return len(self._limiter.endpoints.directory.ready)

    def _zone_name(self, index: int) -> str:
        return self._zones[index] if index < len(self._zones) else UNKNOWN_ZONE
