"""A customer's quota at this limiter: its bucket, the estimate of the shared quota, and its part of the hard ceiling.

A plan allows `rate_per_s` with a burst of `burst_units` over all limiters. Each limiter keeps two numbers for it:

* an estimate of the units in the shared quota (`Account.shared_units`), corrected by readings of the owner's ledger or
  of a server's meter;
* a local bucket (`Account.bucket_units`), which decides if there is no reading. It fills at this limiter's own rate
  plus its share of the unused rate.

The hard ceiling is split evenly: each limiter has its part of the rate and of the burst, independently of readings.
"""

from __future__ import annotations

import zlib
from math import exp

from elderlock import interface as api
from elderlock.decisions.account_limit import AccountLimit
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.state import Account, OpenRequest
from elderlock.structures.expiry_queue import ExpiryQueue

RATE_AVERAGING_MS = 4000.0  # the minimum time over which rates are averaged
RATE_AVERAGING_SENDS = 4.0  # rates are averaged over at least this number of requests
ACCOUNT_IDLE_MS = 15000.0  # the time without a request after which an account may be removed
CEILING_SLACK_FRACTION = 0.8  # the part of the hard ceiling's slack that is used; the rest is left for rounding errors
MEAN_REQUEST_WEIGHT = 0.1  # the weight of a request in the moving average of units
ROUNDING_UNITS = 1e-6
MIN_READING_INTERVAL_MS = MS_PER_SECOND / 2
CONCURRENCY_ROUNDING = 0.5  # rounds the estimated number of requests in flight at other limiters


class Quotas:
    """The accounts of the customers that this limiter serves.

    Invariant: a bucket never exceeds the estimate of the shared quota, its debt is at most one request, and this
    limiter's part of a hard ceiling never exceeds its share of the burst.

    Attributes:
        context: The state that the limiter's components share.
        accounts: The accounts by customer key.
        idle_accounts: The customer keys in the order of their last request.
        account_limit: Limits the number of accounts.
        mean_latency_ms: The moving average of the latency of successful answers.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Start without accounts."""
        self.context = context
        self.accounts: dict[int, Account] = {}
        self.idle_accounts = ExpiryQueue(ACCOUNT_IDLE_MS)
        self.account_limit = AccountLimit()
        self.mean_latency_ms = 0.0

    def account(self, event: api.RequestArrived) -> Account | None:
        """Return the account of a request's customer, refilled up to now; open it if there is none.

        The result is None if there are too many accounts, and none of a few others is as good as new.
        """
        settings = self.context.settings
        key = zlib.crc32(event.customer_id.encode())
        plan = settings.plans[event.plan_index]
        limiter_count = min(max(1, event.limiter_count), settings.limiter_count)
        account = self.accounts.get(key)
        if account is None:
            if len(self.accounts) >= self.account_limit.max_accounts and not self._close_replaceable():
                return None
            account = self._open_account(key, plan, limiter_count, event.first_limiter)
            self.accounts[key] = account
            self.account_limit.record_opened(key)
        self.idle_accounts.touch(key, self.context.now_ms)
        if account.plan is not plan:
            account.plan = plan
            account.ceiling_units = -CEILING_SLACK_FRACTION * plan.ceiling_slack_units
        # The part of a hard ceiling never grows, as the other limiters may still use their parts.
        account.limiter_count = max(limiter_count, account.limiter_count if plan.ceiling_rate_per_s else 1)
        account.first_limiter = event.first_limiter
        self.refresh(account)
        return account

    def _open_account(self, key: int, plan: api.Plan, limiter_count: int, first_limiter: int) -> Account:
        """Open an account.

        The part of the hard ceiling counts as empty at the start of the process and has filled since, as the previous
        process may have used all of it.
        """
        context = self.context
        uptime_s = (context.now_ms - context.started_at_ms) / MS_PER_SECOND
        filled_units = uptime_s * plan.ceiling_rate_per_s - CEILING_SLACK_FRACTION * plan.ceiling_slack_units
        return Account(
            key=key,
            plan=plan,
            limiter_count=limiter_count,
            first_limiter=first_limiter,
            shared_units=plan.burst_units,
            bucket_units=plan.burst_units / limiter_count,
            ceiling_units=min(filled_units, plan.ceiling_burst_units) / limiter_count,
            refreshed_at_ms=context.now_ms,
            averaging_ms=RATE_AVERAGING_MS,
        )

    def _close_replaceable(self) -> bool:
        """Close an account that is as good as new; return whether there was one."""
        for key in self.account_limit.candidates(self.idle_accounts.recent):
            account = self.accounts.get(key)
            if account is None:
                continue
            self.refresh(account)
            new = self._open_account(key, account.plan, account.limiter_count, account.first_limiter)
            if _allows_as_much(account, new, self.context.now_ms):
                del self.accounts[key]
                self.idle_accounts.forget(key)
                self.account_limit.record_closed(key)
                return True
        return False

    def reading_confidence(self, account: Account) -> float:
        """Return the confidence in the latest reading, from 0 to 1.

        It is 1 until the reading is two intervals old, and falls linearly to 0 at four intervals. The interval is the
        meter's period, or the average interval between the customer's requests if that is longer.
        """
        interval_ms = max(
            self.context.settings.quota_sources.meter_period_ms,
            MIN_READING_INTERVAL_MS,
            account.averaging_ms / RATE_AVERAGING_SENDS,
        )
        age_intervals = (self.context.now_ms - account.reading_at_ms) / (2.0 * interval_ms)
        return min(1.0, max(0.0, 2.0 - age_intervals))

    def bucket_capacity_units(self, account: Account, confidence: float) -> float:
        """Return the capacity of the bucket: the shared quota less the units that others may spend unnoticed.

        Without a reading this is an even share of the quota. With a recent one it is larger, the less the others spend.
        """
        others_use_fraction = min(1.0, account.others_rate_per_s / (account.plan.rate_per_s or 1.0))
        contested_fraction = 1.0 - confidence * (1.0 - others_use_fraction)
        others_share = 1.0 - 1.0 / account.limiter_count
        return (1.0 - contested_fraction * others_share) * max(account.shared_units, 0.0)

    def fill_rate_per_s(self, account: Account, confidence: float) -> float:
        """Return the rate at which the bucket fills.

        With a reading this is the limiter's own rate plus an even share of the plan's unused rate, which may be
        negative. Without one it is an even share of the plan's rate.
        """
        plan_rate_per_s = account.plan.rate_per_s
        remaining_per_s = plan_rate_per_s - account.own_rate_per_s - account.others_rate_per_s
        own_and_share_per_s = account.own_rate_per_s + remaining_per_s / account.limiter_count
        by_reading_per_s = min(max(0.0, own_and_share_per_s), plan_rate_per_s)
        return confidence * by_reading_per_s + (1.0 - confidence) * plan_rate_per_s / account.limiter_count

    def refresh(self, account: Account) -> None:
        """Refill an account up to now."""
        now_ms = self.context.now_ms
        plan = account.plan
        elapsed_s = (now_ms - account.refreshed_at_ms) / MS_PER_SECOND
        account.refreshed_at_ms = now_ms
        confidence = self.reading_confidence(account)
        ceiling_capacity_units = plan.ceiling_burst_units / account.limiter_count
        if elapsed_s == 0.0:  # there is nothing to refill, but a reading may have lowered the capacities
            account.shared_units = min(plan.burst_units, account.shared_units)
            account.bucket_units = min(account.bucket_units, self.bucket_capacity_units(account, confidence))
            account.ceiling_units = min(account.ceiling_units, ceiling_capacity_units)
            return
        # Where their use is unknown, the others are assumed to use all but this limiter's even share.
        unknown_use_per_s = (1.0 - confidence) * (plan.rate_per_s - plan.rate_per_s / account.limiter_count)
        net_fill_per_s = plan.rate_per_s - confidence * account.others_rate_per_s - unknown_use_per_s
        shared_units = account.shared_units + net_fill_per_s * elapsed_s
        account.shared_units = min(plan.burst_units, max(shared_units, min(account.shared_units, 0.0)))
        bucket_units = account.bucket_units + self.fill_rate_per_s(account, confidence) * elapsed_s
        account.bucket_units = min(bucket_units, self.bucket_capacity_units(account, confidence))
        account.own_rate_per_s *= exp(-elapsed_s * MS_PER_SECOND / account.averaging_ms)
        ceiling_units = account.ceiling_units + plan.ceiling_rate_per_s / account.limiter_count * elapsed_s
        account.ceiling_units = min(ceiling_units, ceiling_capacity_units)

    def is_within_quota(self, account: Account, units: float) -> bool:
        """Whether the bucket allows a request of `units`, without a query to the owner.

        The bucket may go into debt by one request, as a request that is larger than the limiter's share of the burst
        could otherwise never pass. For such a request the units that the bucket must hold fall linearly, from the whole
        request at the size of the share to 0 at twice this size.
        """
        plan = account.plan
        twice_share_units = 2.0 * plan.burst_units / account.limiter_count
        needed_units = min(max(0.0, twice_share_units - units), units)
        if plan.rate_per_s > 0 and account.bucket_units < needed_units:
            return False
        # By Little's law: the others' rate of requests times the mean latency.
        in_flight_elsewhere = (
            account.others_rate_per_s / account.mean_request_units * self.mean_latency_ms / MS_PER_SECOND
        )
        in_flight = account.in_flight + in_flight_elsewhere
        return plan.concurrency_limit <= 0 or in_flight <= plan.concurrency_limit - CONCURRENCY_ROUNDING

    def exceeds_hard_ceiling(self, account: Account, units: float) -> bool:
        """Whether `units` exceed the rest of this limiter's part of the customer's hard ceiling.

        The result is False for a plan without a hard ceiling.
        """
        plan = account.plan
        if plan.ceiling_rate_per_s <= 0:
            return False
        slack_units = CEILING_SLACK_FRACTION * plan.ceiling_slack_units / account.limiter_count
        return account.ceiling_units + slack_units < units

    def charge(self, request: OpenRequest) -> None:
        """Charge an admitted request's units, and update the rates of its customer."""
        if self.accounts.get(request.account.key) is not request.account:
            self._replace_closed_account(request)
        account = request.account
        self.account_limit.record_charged(account.key)
        units = request.arrival.units
        now_ms = self.context.now_ms
        account.ceiling_units -= units
        account.in_flight += 1
        gap_ms = min(max(now_ms - account.sent_at_ms, 0.0), 2 * ACCOUNT_IDLE_MS)
        averaging_step_ms = (RATE_AVERAGING_SENDS * gap_ms - account.averaging_ms) / RATE_AVERAGING_SENDS
        account.averaging_ms = max(RATE_AVERAGING_MS, account.averaging_ms + averaging_step_ms)
        account.sent_at_ms = now_ms
        account.own_rate_per_s += units * MS_PER_SECOND / account.averaging_ms
        account.mean_request_units += MEAN_REQUEST_WEIGHT * (units - account.mean_request_units)
        if request.is_within_quota:
            account.shared_units -= units
            account.bucket_units -= units

    def _replace_closed_account(self, request: OpenRequest) -> None:
        """Use the account that took the place of the request's account, or open that one again."""
        key = request.account.key
        request.account = self.accounts.setdefault(key, request.account)
        self.idle_accounts.touch(key, self.context.now_ms)

    def refund(self, request: OpenRequest) -> None:
        """Refund the units of a permit that its client did not use.

        The owner of the quota is not informed, so its ledger may hold too few units but never too many.
        """
        account = request.account
        units = request.arrival.units
        plan = account.plan
        self.refresh(account)
        account.ceiling_units = min(account.ceiling_units + units, plan.ceiling_burst_units / account.limiter_count)
        account.own_rate_per_s = max(0.0, account.own_rate_per_s - units * MS_PER_SECOND / account.averaging_ms)
        quota_units = units if request.is_within_quota else 0.0
        account.shared_units = min(plan.burst_units, account.shared_units + quota_units)
        account.bucket_units = min(account.bucket_units + quota_units, plan.burst_units)

    def settle_units(self, account: Account, additional_units: float) -> None:
        """Charge the units that a request cost beyond its estimate; negative units are refunded."""
        account.shared_units = min(account.plan.burst_units, account.shared_units - additional_units)
        account.bucket_units -= additional_units
        additional_per_s = additional_units * MS_PER_SECOND / account.averaging_ms
        account.own_rate_per_s = max(0.0, account.own_rate_per_s + additional_per_s)

    def apply_meter_reading(self, account: Account, meter: int) -> None:
        """Apply a server's meter reading of the customer's use.

        Args:
            account: The customer's account.
            meter: One more than the rate over all limiters as a percentage of the plan's rate; 0 for no reading.
        """
        if meter <= 0 or not self.context.settings.quota_sources.meter_period_ms:
            return
        self.refresh(account)
        total_per_s = (meter - 1) / 100.0 * account.plan.rate_per_s
        account.others_rate_per_s = max(0.0, total_per_s - account.own_rate_per_s)
        account.reading_at_ms = self.context.now_ms

    def apply_owner_reading(self, account: Account, level_units: float, rate_per_s: float) -> None:
        """Apply a reading of the owner's ledger: its level, and the rate at which all limiters spend."""
        self.refresh(account)
        account.shared_units = level_units
        account.reading_at_ms = self.context.now_ms
        account.others_rate_per_s = max(0.0, rate_per_s - account.own_rate_per_s)
        account.bucket_units = min(account.bucket_units, self.bucket_capacity_units(account, 1.0))

    def expire_accounts(self) -> None:
        """Remove idle accounts that are full again, which limits the memory as new customers keep arriving."""
        now_ms = self.context.now_ms
        for key in self.idle_accounts.pop_expired(now_ms):
            account = self.accounts.get(key)
            if account is None:
                continue
            full_at_ms = _full_at_ms(account)
            if account.in_flight:
                self.idle_accounts.postpone(key, max(full_at_ms, now_ms + ACCOUNT_IDLE_MS) + 1.0)
            elif now_ms <= full_at_ms:
                self.idle_accounts.postpone(key, full_at_ms + 1.0)
            else:
                del self.accounts[key]
                self.account_limit.record_closed(key)


def _allows_as_much(account: Account, new: Account, now_ms: float) -> bool:
    """Whether a new account would not allow its customer more than the present one."""
    has_ceiling = account.plan.ceiling_rate_per_s > 0
    return (
        account.in_flight == 0
        and account.exhausted_until_ms <= now_ms
        and account.shared_units >= new.shared_units - ROUNDING_UNITS
        and account.bucket_units >= new.bucket_units - ROUNDING_UNITS
        and (not has_ceiling or account.ceiling_units >= new.ceiling_units - ROUNDING_UNITS)
    )


def _full_at_ms(account: Account) -> float:
    """Return the time by which the shared quota, the bucket and the part of the hard ceiling are full."""
    plan = account.plan
    bucket_units = plan.burst_units - account.bucket_units * account.limiter_count
    quota_s = max(plan.burst_units, bucket_units) / (plan.rate_per_s or 1.0)
    ceiling_s = plan.ceiling_burst_units / (plan.ceiling_rate_per_s or 1.0)
    return account.refreshed_at_ms + max(quota_s, ceiling_s) * MS_PER_SECOND
