"""The counter in place of the keepers: where a request's reading comes from, as the decision module asks for it."""

from __future__ import annotations

import random
from collections.abc import Callable

from elderlock import interface as api
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.decisions.quotas import CEILING_SLACK_FRACTION, Quotas
from elderlock.interface import Outcome
from elderlock.quota.book import Book
from elderlock.quota.terms import Store, Terms
from elderlock.state import Account, OpenRequest

STEP = 5.0  # ms between looks while anything waits
IDLE_STEP = 50.0
EMPTY_MOST = 600.0  # ms that a customer is held for empty: a line that others raised in vain falls again sooner


def drawn(account: Account) -> bool:
    """Whether a customer's ceiling is drawn from the counter too. Where work beyond the quota is worth sending on, it
    goes without a reading, and the ceiling stays split evenly."""
    plan = account.plan
    return (
        plan.ceiling_rate_per_s > 0
        and account.limiter_count > 1
        and plan.rate_per_s > 0
        and plan.over_quota_value <= plan.over_quota_cost
    )


class CountedQuotas(Quotas):
    """Invariant: a ceiling that is drawn is held by its ledger at the reading, which comes before each first send."""

    def exceeds_hard_ceiling(self, account: Account, units: float) -> bool:
        return not drawn(account) and super().exceeds_hard_ceiling(account, units)


class Counted(QuotaCoordinator):
    """Invariant: every request that is read is decided once, by what was drawn for its customer, or by the even part
    while the counter is off. No more than the stated error (`bound.stated`) passes a ceiling that is drawn."""

    terms = Terms()
    quotas_class = CountedQuotas

    def __init__(
        self,
        core: DecisionContext,
        quotas: Quotas,
        load: LoadEstimator,
        requests: dict[str, OpenRequest],
        decide: Callable[[OpenRequest, bool], None],
    ) -> None:
        super().__init__(core, quotas, load, requests, decide)
        self.book = Book(self.terms, random.Random(core.rng.random()), core.now_ms)
        self._stores: dict[tuple[str, int, bool], Store] = {}
        core.schedule_timer(STEP, self._look_again())

    @staticmethod
    def _look_again() -> int:
        return -1  # a question's number that no question has

    def store(self, plan: api.Plan, spread: int, hard: bool = False) -> Store:
        found = self._stores.get((plan.name, spread, hard))
        if found is None:
            found = self._stores[plan.name, spread, hard] = (
                Store(
                    plan.ceiling_rate_per_s,
                    plan.ceiling_burst_units,
                    spread,
                    True,
                    CEILING_SLACK_FRACTION * plan.ceiling_slack_units,
                )
                if hard
                else Store(plan.rate_per_s, plan.burst_units, spread)
            )
        return found

    def request_reading(self, request: OpenRequest) -> None:
        account, plan = request.account, request.account.plan
        if plan.rate_per_s <= 0 or account.limiter_count <= 1:
            return super().request_reading(request)
        self._ask_book(request, hard=False)
        self._work()

    def _ask_book(self, request: OpenRequest, hard: bool) -> None:
        account, event = request.account, request.arrival
        store, key = self.store(account.plan, account.limiter_count, hard), f"{account.key:x}{'!' * hard}"
        said = self.book.ask(f"{event.request_id}{'!' * hard}", key, store, event.units, self.context.now_ms)
        if said is not None:
            self._said(request, hard, said, 0.0)

    def _said(self, request: OpenRequest, hard: bool, granted: bool, wait: float) -> None:
        """The quota first: what is beyond it takes nothing of a ceiling that is drawn."""
        if granted and not hard and drawn(request.account):
            return self._ask_book(request, hard=True)
        self._decided(request, granted, wait)

    def _decided(self, request: OpenRequest, granted: bool, wait: float) -> None:
        account, units = request.account, request.arrival.units
        self._reading_of(account)
        if granted:  # nobody else may spend it
            account.shared_units, account.bucket_units = (
                max(account.shared_units, units),
                max(account.bucket_units, units),
            )
        elif wait > 0.0:
            account.exhausted_until_ms = self.context.now_ms + min(wait, EMPTY_MOST)
        self.decide(request, granted)

    def _reading_of(self, account: Account) -> None:
        """The design's bucket is fed by the latest total."""
        key = f"{account.key:x}"
        _, ledger = self.book.ledger(key, self.store(account.plan, account.limiter_count), self.context.now_ms)
        if ledger.told is not None:
            self.quotas.apply_owner_reading(
                account, ledger.level(self.context.now_ms), ledger.others + account.own_rate_per_s
            )

    def handle_query_timeout(self, number: int) -> None:
        if number >= 0:
            return super().handle_query_timeout(number)
        busy = self.book.waiting
        self.book.tick(self.context.now_ms)
        self._work()
        self.context.schedule_timer(STEP if busy else IDLE_STEP, self._look_again())

    def handle_counter_answer(self, event: api.CounterAnswered) -> None:
        if event.outcome is Outcome.OK:
            self.book.answered(event.token, event.total, self.context.now_ms)
        else:
            never = event.outcome in (Outcome.FULL, Outcome.CONNECT_FAILED)
            self.book.unanswered(event.token, not never, event.outcome is Outcome.FULL, self.context.now_ms)
        self._work()

    def _work(self) -> None:
        for call in self.book.calls(self.context.now_ms):
            self.context.actions.append(api.AddToCounter(call.token, call.name, call.amount, call.life))
        decided, self.book.decided = self.book.decided, []
        for one in decided:
            hard = one.request.endswith("!")
            if (request := self.requests.get(one.request.removesuffix("!"))) is not None:
                self._said(request, hard, one.granted, one.wait)
        if decided:  # a quota's answer may have led to a question about a ceiling
            self._work()
