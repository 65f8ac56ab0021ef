"""elderlock: the decisions of a gateway that holds customers to their quotas."""

from elderlock.limiter import Limiter

__all__ = ["Limiter"]
