"""The limit on the number of customers' accounts, and the choice of an account that can be closed for a new one."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from itertools import islice

DEFAULT_MAX_ACCOUNTS = 1 << 20
MAX_UNCHARGED_CANDIDATES = 16
MAX_IDLE_CANDIDATES = 4
LOG_INTERVAL_MS = 10_000.0


class AccountLimit:
    """Limits the accounts, so that requests under ever new names do not use up the memory.

    Invariant: the uncharged keys are those of open accounts that were never charged and never found to hold anything,
    the oldest first.

    Attributes:
        max_accounts: The maximum number of accounts.
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self.max_accounts = DEFAULT_MAX_ACCOUNTS
        self._uncharged: OrderedDict[int, None] = OrderedDict()
        self._logged_at_ms = -LOG_INTERVAL_MS

    def record_opened(self, key: int) -> None:
        """Record a new account."""
        self._uncharged[key] = None

    def record_charged(self, key: int) -> None:
        """Record that an account was charged: closing it would forget that."""
        self._uncharged.pop(key, None)

    def record_closed(self, key: int) -> None:
        """Record that an account was closed."""
        self._uncharged.pop(key, None)

    def candidates(self, idle_keys: Iterable[int]) -> Iterator[int]:
        """Return the keys of a few accounts that may be as good as new: uncharged ones, then the longest idle.

        Args:
            idle_keys: The keys of all accounts, the longest idle first.
        """
        for _ in range(min(MAX_UNCHARGED_CANDIDATES, len(self._uncharged))):
            yield self._uncharged.popitem(last=False)[0]
        yield from list(islice(idle_keys, MAX_IDLE_CANDIDATES))

    def should_log(self, now_ms: float) -> bool:
        """Whether a rejection for want of an account should be logged, as none was for a while."""
        if now_ms - self._logged_at_ms < LOG_INTERVAL_MS:
            return False
        self._logged_at_ms = now_ms
        return True
