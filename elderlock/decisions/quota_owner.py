"""The ledgers of the customers whose quota this limiter owns, and the grants of their units to all limiters."""

from __future__ import annotations

from math import exp

from elderlock import interface as api
from elderlock import peer_messages
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.quotas import ACCOUNT_IDLE_MS, RATE_AVERAGING_MS, Quotas
from elderlock.peer_messages import LevelRow, QuotaAnswer, QuotaLevels, QuotaQuery, UsageReport
from elderlock.state import QuotaLedger
from elderlock.structures.expiry_queue import ExpiryQueue


class QuotaOwner:
    """Manages the ledgers and answers the queries and reports of other limiters.

    Invariant: no unit is granted that the ledger does not hold. Units that another limiter admitted without a query
    are charged once, when they are reported.

    Attributes:
        ledgers: The ledgers by customer key.
    """

    def __init__(self, context: DecisionContext, quotas: Quotas) -> None:
        """Start without ledgers."""
        self._context = context
        self._quotas = quotas
        self.ledgers: dict[int, QuotaLedger] = {}
        self._idle_ledgers = ExpiryQueue(ACCOUNT_IDLE_MS)

    def ledger(self, key: int, plan: api.Plan, last_known_level: float) -> QuotaLedger:
        """Return a customer's ledger; open it if there is none.

        Args:
            key: The customer's key.
            plan: The customer's plan; a ledger of another plan is replaced.
            last_known_level: The level at which a new ledger opens, as encoded by `peer_messages.encode_level`. It is
                the last reading that the sender has, which may come from a previous owner. With `UNKNOWN` a new ledger
                is full.
        """
        ledger = self.ledgers.get(key)
        if ledger is None or ledger.plan is not plan:
            is_unknown = last_known_level == peer_messages.UNKNOWN
            level_fraction = 1.0 if is_unknown else last_known_level / peer_messages.MAX_FRACTION
            ledger = QuotaLedger(plan, plan.burst_units * level_fraction, self._context.now_ms)
            self.ledgers[key] = ledger
        self._idle_ledgers.touch(key, self._context.now_ms)
        return ledger

    def try_spend(self, ledger: QuotaLedger, units: float) -> bool:
        """Take units from a ledger if it holds them and the plan's concurrency limit allows another request.

        Returns:
            Whether the units were taken.
        """
        plan = ledger.plan
        now_ms = self._context.now_ms
        self._refill(ledger)
        # A granted request is assumed to be in flight for the mean latency.
        while ledger.granted_at_ms and now_ms - ledger.granted_at_ms[0] > self._quotas.mean_latency_ms:
            ledger.granted_at_ms.popleft()
        if plan.rate_per_s > 0 and ledger.level_units < units:
            return False
        if 0 < plan.concurrency_limit <= len(ledger.granted_at_ms):
            return False
        ledger.level_units -= units
        ledger.rate_per_s += units * MS_PER_SECOND / RATE_AVERAGING_MS
        if plan.concurrency_limit > 0:
            ledger.granted_at_ms.append(now_ms)
        return True

    def charge(self, ledger: QuotaLedger, units: float) -> None:
        """Charge units that were already admitted.

        The debt is at most the burst. A larger one would block a customer for too long because of late reports.
        """
        self._refill(ledger)
        ledger.level_units = max(ledger.level_units - units, -ledger.plan.burst_units)
        ledger.rate_per_s += units * MS_PER_SECOND / RATE_AVERAGING_MS

    def answer_query(self, query: QuotaQuery) -> QuotaAnswer | None:
        """Grant or deny the units of a query; return None if the settings have no such plan."""
        plans = self._context.settings.plans
        if query.plan_index >= len(plans):
            return None
        ledger = self.ledger(query.key, plans[query.plan_index], query.last_known_level)
        is_granted = self.try_spend(ledger, query.unit_steps / peer_messages.STEPS_PER_UNIT)
        row = _encode_ledger(query.key, ledger)
        return QuotaAnswer(query.key, is_granted, query.plan_index, row.level, row.rate, query.query_id)

    def answer_report(self, report: UsageReport) -> QuotaLevels:
        """Charge the units of a report, and return the levels of its customers."""
        plans = self._context.settings.plans
        levels: list[LevelRow] = []
        for row in report.rows:
            if row.plan_index >= len(plans):
                continue
            ledger = self.ledger(row.key, plans[row.plan_index], row.last_known_level)
            self.charge(ledger, row.unit_steps / peer_messages.STEPS_PER_UNIT)
            levels.append(_encode_ledger(row.key, ledger))
        return QuotaLevels(tuple(levels))

    def expire_ledgers(self) -> None:
        """Remove idle ledgers that are full again."""
        now_ms = self._context.now_ms
        for key in self._idle_ledgers.pop_expired(now_ms):
            ledger = self.ledgers.get(key)
            if ledger is None:
                continue
            full_at_ms = _full_at_ms(ledger)
            if full_at_ms <= now_ms:
                del self.ledgers[key]
            else:
                self._idle_ledgers.postpone(key, full_at_ms)

    def _refill(self, ledger: QuotaLedger) -> None:
        now_ms = self._context.now_ms
        plan = ledger.plan
        elapsed_ms = now_ms - ledger.refreshed_at_ms
        ledger.refreshed_at_ms = now_ms
        refilled_units = ledger.level_units + plan.rate_per_s * elapsed_ms / MS_PER_SECOND
        ledger.level_units = min(plan.burst_units, refilled_units)
        ledger.rate_per_s *= exp(-elapsed_ms / RATE_AVERAGING_MS)


def _encode_ledger(key: int, ledger: QuotaLedger) -> LevelRow:
    plan = ledger.plan
    return LevelRow(
        key,
        peer_messages.encode_level(ledger.level_units, plan.burst_units),
        peer_messages.encode_rate(ledger.rate_per_s, plan.rate_per_s),
    )


def _full_at_ms(ledger: QuotaLedger) -> float:
    plan = ledger.plan
    missing_units = plan.burst_units - ledger.level_units
    return ledger.refreshed_at_ms + missing_units / (plan.rate_per_s or 1.0) * MS_PER_SECOND
