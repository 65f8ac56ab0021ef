"""elderlock: a rate limiter and load balancer that enforces customers' quotas in front of servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from elderlock.decisions.limiter import Limiter

__all__ = ["Limiter"]


def __getattr__(name: str) -> Any:
    """Import `Limiter` on first access, so that the command line, which does not use it, starts faster."""
    if name == "Limiter":
        from elderlock.decisions.limiter import Limiter

        return Limiter
    raise AttributeError(f"module 'elderlock' has no attribute {name!r}")
