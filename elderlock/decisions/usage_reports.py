"""Reports to the quota owners the units that were admitted without a query.

The message budget is too small for a query per request when there are many requests. Requests of customers far from
their quota are then admitted by the last reading, and their use is reported a little later, many customers per message.
"""

from __future__ import annotations

from elderlock import peer_messages
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.owner_selection import OwnerSelector
from elderlock.decisions.peer_messenger import PeerMessenger
from elderlock.decisions.quota_owner import QuotaOwner
from elderlock.decisions.quotas import Quotas
from elderlock.peer_messages import LevelRow, UsageReport, UsageRow
from elderlock.state import NEVER_MS, Account

REPORT_INTERVAL_MS = 250.0
FAR_FROM_QUOTA_BURST_FRACTION = 0.5  # a customer with more than this fraction of its burst left is far from its quota


class UsageReports:
    """Collects units that were admitted without a query, and reports them to the owners.

    Invariant: units that were admitted without a query reach an owner's ledger at most once. They are lost if the
    datagram is lost, if the account has been removed, if no owner can be selected, and as far as they exceed the
    maximum of one row.

    Attributes:
        owners: Selects the limiter to which a customer's use is reported.
        unreported_units: The units that have not been reported to the owner, by customer key.
    """

    def __init__(
        self,
        context: DecisionContext,
        quotas: Quotas,
        owners: OwnerSelector,
        quota_owner: QuotaOwner,
        messenger: PeerMessenger,
    ) -> None:
        """Start without unreported units."""
        self._context = context
        self._quotas = quotas
        self.owners = owners
        self._quota_owner = quota_owner
        self._messenger = messenger
        self.unreported_units: dict[int, float] = {}
        self._reported_at_ms = context.now_ms

    def add(self, account: Account, units: float) -> None:
        """Record units that were admitted without a query."""
        self.unreported_units[account.key] = self.unreported_units.get(account.key, 0.0) + units

    def is_far_from_quota(self, account: Account) -> bool:
        """Whether much of the quota is left even if each other limiter has as many unreported units as this one.

        With a concurrency limit the result is False, as a reading contains no number of requests in flight.
        """
        plan = account.plan
        others_unreported_units = self.unreported_units.get(account.key, 0.0) * (account.limiter_count - 1)
        remaining_units = account.shared_units - others_unreported_units
        return plan.concurrency_limit <= 0 and remaining_units > FAR_FROM_QUOTA_BURST_FRACTION * plan.burst_units

    def report_if_due(self) -> None:
        """Report to the owners if the last report was sent `REPORT_INTERVAL_MS` ago or earlier."""
        if self.unreported_units and self._context.now_ms - self._reported_at_ms >= REPORT_INTERVAL_MS:
            self._report()

    def apply_level(self, row: LevelRow) -> None:
        """Apply an owner's answer to a report, less the units that were admitted since the report."""
        account = self._quotas.accounts.get(row.key)
        if account is None:
            return
        plan = account.plan
        unreported_units = self.unreported_units.get(row.key, 0.0)
        level_units = peer_messages.decode_level(row.level, plan.burst_units) - unreported_units
        rate_per_s = peer_messages.decode_rate(row.rate, plan.rate_per_s)
        self._quotas.apply_owner_reading(account, level_units, rate_per_s)

    def _report(self) -> None:
        self._reported_at_ms = self._context.now_ms
        unreported_units = self.unreported_units
        self.unreported_units = {}
        for owner, rows in self._rows_by_owner(unreported_units).items():
            for start in range(0, len(rows), peer_messages.MAX_USAGE_ROWS):
                batch = rows[start : start + peer_messages.MAX_USAGE_ROWS]
                if self._messenger.can_send():
                    self._messenger.send(owner, UsageReport(tuple(batch)))
                else:  # the rows are sent with the next report
                    self.unreported_units.update((row.key, unreported_units[row.key]) for row in batch)

    def _rows_by_owner(self, unreported_units: dict[int, float]) -> dict[int, list[UsageRow]]:
        """Return the rows for other owners, and charge the units of the ledgers that this limiter owns."""
        settings = self._context.settings
        rows: dict[int, list[UsageRow]] = {}
        for key, units in unreported_units.items():
            account = self._quotas.accounts.get(key)
            owner = self.owners.owner_of(account) if account else None
            if account is None or owner is None:
                continue
            if owner == settings.limiter_index:
                ledger = self._quota_owner.ledger(key, account.plan, peer_messages.UNKNOWN)
                self._quota_owner.charge(ledger, units)
                continue
            plan_index = settings.plans.index(account.plan) % 256
            unit_steps = peer_messages.clamp_byte(units * peer_messages.STEPS_PER_UNIT)
            rows.setdefault(owner, []).append(UsageRow(key, plan_index, unit_steps, last_known_level(account)))
        return rows


def last_known_level(account: Account) -> int:
    """Return the encoded level of the last reading of a customer's ledger, or `UNKNOWN`.

    A limiter that becomes the owner opens its ledger at this level.
    """
    if account.reading_at_ms <= NEVER_MS:
        return peer_messages.UNKNOWN
    level = peer_messages.encode_level(account.shared_units, account.plan.burst_units)
    return min(peer_messages.MAX_FRACTION, level)
