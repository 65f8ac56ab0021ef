"""Selects the limiter that owns a customer's quota, and skips owners that do not answer."""

from __future__ import annotations

from elderlock.decisions.context import DecisionContext
from elderlock.state import NEVER_MS, Account

MAX_MISSED_QUERIES = 2  # in a row, after which an owner is skipped
SILENT_OWNER_PAUSE_MS = 2000.0
OWNER_CANDIDATE_COUNT = 2  # the owner by the customer's key, and the next limiter while that owner is silent


class OwnerSelector:
    """Chooses the owner of each customer's quota by the customer's key, so that all limiters choose the same owner.

    Invariant: limiters that consider none of the candidates silent choose the same owner.

    Attributes:
        missed_queries: The number of queries in a row that an owner did not answer, by limiter index.
        silent_until_ms: The time until which an owner is skipped, by limiter index.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Start without skipped owners."""
        self._context = context
        self.missed_queries: dict[int, int] = {}
        self.silent_until_ms: dict[int, float] = {}

    def owner_of(self, account: Account) -> int | None:
        """Return the index of the limiter that owns the customer's quota; None if no owner can be queried."""
        settings = self._context.settings
        this_limiter = settings.limiter_index
        if account.limiter_count <= 1:
            return this_limiter
        if not settings.capabilities.can_message_peers:
            return None
        for candidate in range(OWNER_CANDIDATE_COUNT):
            offset = (account.key + candidate) % account.limiter_count
            owner = (account.first_limiter + offset) % settings.limiter_count
            if owner == this_limiter or self._context.now_ms >= self.silent_until_ms.get(owner, NEVER_MS):
                return owner
        return None

    def record_message(self, sender: int) -> None:
        """Record that a limiter sent a message, so that it is no longer skipped."""
        self.missed_queries.pop(sender, None)
        self.silent_until_ms.pop(sender, None)

    def record_missed_query(self, owner: int) -> None:
        """Record that an owner did not answer a query; it is skipped after `MAX_MISSED_QUERIES` in a row."""
        self.missed_queries[owner] = self.missed_queries.get(owner, 0) + 1
        if self.missed_queries[owner] >= MAX_MISSED_QUERIES:
            self.silent_until_ms[owner] = self._context.now_ms + SILENT_OWNER_PAUSE_MS
