"""The choice of the limiter class by the `[shared]` table of the operators' file."""

from __future__ import annotations

from elderlock.decisions.limiter import Limiter
from elderlock.gossip.escrow_limiter import EscrowLimiter
from elderlock.gossip.evidence_limiter import EvidenceLimiter


class EvidenceAndEscrowLimiter(EscrowLimiter, EvidenceLimiter):
    """A limiter that shares health evidence and exchanges units of hard ceilings."""


def limiter_class(shares_evidence: bool, shares_ceilings: bool) -> type[Limiter]:
    """Return the limiter class for the enabled kinds of sharing."""
    if shares_evidence:
        return EvidenceAndEscrowLimiter if shares_ceilings else EvidenceLimiter
    return EscrowLimiter if shares_ceilings else Limiter
