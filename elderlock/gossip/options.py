"""Which limiter decides, by what the operators' file says is shared."""

from __future__ import annotations

from elderlock.decisions.limiter import Limiter
from elderlock.gossip.escrow_limiter import EscrowLimiter
from elderlock.gossip.evidence_limiter import EvidenceLimiter


class EvidenceAndEscrowLimiter(EscrowLimiter, EvidenceLimiter):
    """A limiter that shares health evidence and whose parts of hard ceilings move by demand."""


def limiter_class(shares_evidence: bool, shares_ceilings: bool) -> type[Limiter]:
    """Return the class of the limiter that shares what is switched on."""
    if shares_evidence:
        return EvidenceAndEscrowLimiter if shares_ceilings else EvidenceLimiter
    return EscrowLimiter if shares_ceilings else Limiter
