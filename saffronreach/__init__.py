"""saffronreach: the decisions of a gateway that holds customers to their quotas."""

from saffronreach.limiter import Limiter

__all__ = ["Limiter"]
