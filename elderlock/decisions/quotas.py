"""A customer's quota here: the design's bucket, the store as believed, and the part of a hard ceiling."""

from __future__ import annotations

import zlib
from math import exp

from elderlock import interface as api
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.state import Account, OpenRequest
from elderlock.structures.expiry_queue import ExpiryQueue

RATE_AVERAGING_MS, RATE_AVERAGING_SENDS = (
    4000.0,
    4.0,
)  # ms over which send rates are averaged, or so many sends if longer
ACCOUNT_IDLE_MS = 15000.0  # ms without a request until a customer is aged out, if its stores are full by then
CEILING_SLACK_FRACTION = 0.8  # of the ceiling's slack that is used; the rest is for rounding


class Quotas:
    """Invariant: a bucket lies between what one request may owe and the believed store, and a ceiling's part never
    holds more than its share of the burst."""

    def __init__(self, core: DecisionContext) -> None:
        self.context = core
        self.accounts: dict[int, Account] = {}
        self.idle_accounts = ExpiryQueue(ACCOUNT_IDLE_MS)
        self.mean_latency_ms = 0.0  # ms, of good answers, averaged

    def account(self, event: api.RequestArrived) -> Account:
        settings = self.context.settings
        key = zlib.crc32(event.customer_id.encode())
        plan, known = settings.plans[event.plan_index], self.accounts.get(key)
        spread = min(max(1, event.limiter_count), settings.limiter_count)
        account = known or self._open_account(key, plan, spread, event.first_limiter)
        if known is None:
            self.accounts[key] = account
        self.idle_accounts.touch(key, self.context.now_ms)
        if account.plan is not plan:
            account.plan, account.ceiling_units = plan, -CEILING_SLACK_FRACTION * plan.ceiling_slack_units
        account.limiter_count = max(spread, account.limiter_count if plan.ceiling_rate_per_s else 1)
        account.first_limiter = event.first_limiter
        self.refresh(account)
        return account

    def _open_account(self, key: int, plan: api.Plan, spread: int, first: int) -> Account:
        """A ceiling's part fills from our start on: what came before, an earlier self may have used."""
        core = self.context
        filled = (
            core.now_ms - core.started_at_ms
        ) / MS_PER_SECOND * plan.ceiling_rate_per_s - CEILING_SLACK_FRACTION * plan.ceiling_slack_units
        ceiling = min(filled, plan.ceiling_burst_units) / spread
        burst, part = plan.burst_units, plan.burst_units / spread
        return Account(key, plan, spread, first, burst, part, ceiling, core.now_ms, RATE_AVERAGING_MS)

    def reading_confidence(self, account: Account) -> float:
        """How far the latest reading can be relied on, 0 to 1: by time, or by count if requests are few."""
        span = 2.0 * max(
            self.context.settings.quota_sources.meter_period_ms,
            MS_PER_SECOND / 2,
            account.averaging_ms / RATE_AVERAGING_SENDS,
        )
        return min(1.0, max(0.0, 2.0 - (self.context.now_ms - account.reading_at_ms) / span))

    def bucket_capacity_units(self, account: Account, trust: float) -> float:
        """The store as believed, less what others may spend of it before we are told; at least a part."""
        busy = min(1.0, account.others_rate_per_s / (account.plan.rate_per_s or 1.0))
        contested = 1.0 - trust * (1.0 - busy)
        return (1.0 - contested * (1.0 - 1.0 / account.limiter_count)) * max(account.shared_units, 0.0)

    def fill_rate_per_s(self, account: Account, trust: float) -> float:
        """The design's: own rate plus our part of the room or excess; the even split where none is known."""
        rate = account.plan.rate_per_s
        room = rate - account.own_rate_per_s - account.others_rate_per_s
        told = min(max(0.0, account.own_rate_per_s + room / account.limiter_count), rate)
        return trust * told + (1.0 - trust) * rate / account.limiter_count

    def refresh(self, account: Account) -> None:
        now = self.context.now_ms
        elapsed, account.refreshed_at_ms = (now - account.refreshed_at_ms) / MS_PER_SECOND, now
        plan, trust = account.plan, self.reading_confidence(account)
        if elapsed == 0.0:  # again within one event: nothing has filled, what was read is taken in
            account.shared_units = min(plan.burst_units, account.shared_units)
            account.bucket_units = min(account.bucket_units, self.bucket_capacity_units(account, trust))
            account.ceiling_units = min(account.ceiling_units, plan.ceiling_burst_units / account.limiter_count)
            return
        unknown = (1.0 - trust) * (plan.rate_per_s - plan.rate_per_s / account.limiter_count)
        store = account.shared_units + (plan.rate_per_s - trust * account.others_rate_per_s - unknown) * elapsed
        account.shared_units = min(plan.burst_units, max(store, min(account.shared_units, 0.0)))
        filled = account.bucket_units + self.fill_rate_per_s(account, trust) * elapsed
        account.bucket_units = min(filled, self.bucket_capacity_units(account, trust))
        account.own_rate_per_s *= exp(-elapsed * MS_PER_SECOND / account.averaging_ms)
        ceiling = account.ceiling_units + plan.ceiling_rate_per_s / account.limiter_count * elapsed
        account.ceiling_units = min(ceiling, plan.ceiling_burst_units / account.limiter_count)

    def is_within_quota(self, account: Account, units: float) -> bool:
        """By the bucket alone. A part below a request may go into debt by one, else none would ever pass."""
        plan = account.plan
        need = min(max(0.0, 2.0 * plan.burst_units / account.limiter_count - units), units)
        if plan.rate_per_s > 0 and account.bucket_units < need:
            return False
        elsewhere = (
            account.others_rate_per_s / account.mean_request_units * self.mean_latency_ms / MS_PER_SECOND
        )  # Little's law
        return plan.concurrency_limit <= 0 or account.in_flight + elsewhere <= plan.concurrency_limit - 0.5

    def exceeds_hard_ceiling(self, account: Account, units: float) -> bool:
        slack = CEILING_SLACK_FRACTION * account.plan.ceiling_slack_units / account.limiter_count
        return account.plan.ceiling_rate_per_s > 0 and account.ceiling_units + slack < units

    def charge(self, request: OpenRequest) -> None:
        account, units, now = request.account, request.arrival.units, self.context.now_ms
        account.ceiling_units -= units
        account.in_flight += 1
        gap = min(max(now - account.sent_at_ms, 0.0), 2 * ACCOUNT_IDLE_MS)
        account.averaging_ms = max(
            RATE_AVERAGING_MS,
            account.averaging_ms + (RATE_AVERAGING_SENDS * gap - account.averaging_ms) / RATE_AVERAGING_SENDS,
        )
        account.sent_at_ms = now
        account.own_rate_per_s += units * MS_PER_SECOND / account.averaging_ms
        account.mean_request_units += 0.1 * (units - account.mean_request_units)
        account.shared_units -= units * request.is_within_quota
        account.bucket_units -= units * request.is_within_quota

    def refund(self, request: OpenRequest) -> None:
        """What a permission took and its asker did not use. Its keeper is not told: the safe side."""
        account, units, plan = request.account, request.arrival.units, request.account.plan
        self.refresh(account)
        account.ceiling_units = min(account.ceiling_units + units, plan.ceiling_burst_units / account.limiter_count)
        account.own_rate_per_s = max(0.0, account.own_rate_per_s - units * MS_PER_SECOND / account.averaging_ms)
        account.shared_units = min(plan.burst_units, account.shared_units + units * request.is_within_quota)
        account.bucket_units = min(account.bucket_units + units * request.is_within_quota, plan.burst_units)

    def settle_units(self, account: Account, more: float) -> None:
        account.shared_units = min(account.plan.burst_units, account.shared_units - more)
        account.bucket_units -= more
        account.own_rate_per_s = max(0.0, account.own_rate_per_s + more * MS_PER_SECOND / account.averaging_ms)

    def apply_meter_reading(self, account: Account, meter: int) -> None:
        if meter > 0 and self.context.settings.quota_sources.meter_period_ms:
            self.refresh(account)
            account.others_rate_per_s = max(0.0, (meter - 1) / 100.0 * account.plan.rate_per_s - account.own_rate_per_s)
            account.reading_at_ms = self.context.now_ms

    def apply_owner_reading(self, account: Account, level: float, rate: float) -> None:
        """Takes in what a keeper told: the store's level, and the rate of all in units a second."""
        self.refresh(account)
        account.shared_units, account.reading_at_ms = level, self.context.now_ms
        account.others_rate_per_s = max(0.0, rate - account.own_rate_per_s)
        account.bucket_units = min(account.bucket_units, self.bucket_capacity_units(account, 1.0))

    def expire_accounts(self) -> None:
        """Forgets who is full again: new customers come all day."""
        now = self.context.now_ms
        for key in self.idle_accounts.pop_expired(now):
            if (account := self.accounts.get(key)) is None:
                continue
            p = account.plan  # once every store is full again, so that nothing is won by it
            owed = max(p.burst_units, p.burst_units - account.bucket_units * account.limiter_count) / (
                p.rate_per_s or 1.0
            )
            full_at = (
                account.refreshed_at_ms
                + max(owed, p.ceiling_burst_units / (p.ceiling_rate_per_s or 1.0)) * MS_PER_SECOND
            )
            if account.in_flight or now <= full_at:
                self.idle_accounts.postpone(key, max(full_at, now + ACCOUNT_IDLE_MS * bool(account.in_flight)) + 1.0)
            else:
                del self.accounts[key]
