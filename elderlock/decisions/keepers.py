"""Keepers: one of a customer's limiters keeps its store for all of them, and tells it to those that ask.

What is let in without asking is reported a little later; who is silent is passed over for the next in the row."""

from __future__ import annotations

from collections.abc import Callable
from math import exp

from elderlock import interface as api
from elderlock import peer_messages as words
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.quotas import FORGET_AFTER, RATE_SPAN, Quotas
from elderlock.state import NEVER_MS, Account, OpenRequest, QuotaLedger
from elderlock.structures.expiry_queue import ExpiryQueue
from elderlock.structures.timer_queue import Timer

ASK_AIMS, LEAST_ASK = 0.1, 40.0  # aims, but ms at least, that a keeper has to answer: there and back take 24
MAIL_PART = 0.75  # of what one takes in that each sends, so that intakes hold on average at any count
ANSWER_PART = 0.25  # of the room for mail that own questions leave to answers and reports
CALM_PART = 0.8  # of that room below which none is asked for customers far from their quota
REPORT_EVERY = 250.0  # ms between reports to keepers of what was let in without asking
COMFORT = 0.5  # of the burst: with more believed in the store, mail is left to those near their quota
MOST_MISSED, SILENT_FOR = 2, 2000.0  # questions in a row left open; ms that a keeper is passed over then


class Keepers:
    """Invariant: a ledger grants no unit that it does not hold, and what is let in without its word reaches it with a
    report once. `decide` hears of each request whether it is inside its quota."""

    quotas_of: type[Quotas] = Quotas

    def __init__(
        self,
        core: DecisionContext,
        quotas: Quotas,
        load: LoadEstimator,
        requests: dict[str, OpenRequest],
        decide: Callable[[OpenRequest, bool], None],
    ) -> None:
        self.context, self.quotas, self.load_estimator, self.requests, self.decide = (
            core,
            quotas,
            load,
            requests,
            decide,
        )
        self.ledgers: dict[int, QuotaLedger] = {}
        self.aging = ExpiryQueue(FORGET_AFTER)
        self.questions: dict[int, tuple[str, int, int, bool, Timer]] = {}  # request, keeper, belief, again
        self.missed: dict[int, int] = {}  # questions in a row that a keeper left open
        self.silent: dict[int, float] = {}  # keepers passed over, until when
        self.unreported: dict[int, float] = {}  # units let in by customer that its keeper has not been told
        self.reported_at = core.now_ms
        self.asked = 0  # the number of the last question
        self.mail_room = core.settings.quota_sources.peer_messages_per_s / 4

    # Our own customers

    def read(self, request: OpenRequest) -> None:
        """Gets the latest reading of the customer's use, at the request itself where it can be had."""
        account, event, keeper = request.account, request.arrival, self.keeper(request.account)
        belief = self._belief(account)
        if keeper == self.context.settings.limiter_index:
            ledger = self._ledger(account.key, account.plan, belief)
            granted = self._grants(ledger, event.units)
            self._reading(request, granted, ledger.level_units, ledger.rate_per_s)
        elif keeper is not None and self._may_ask(account):
            self._ask(request, keeper, belief, False)
        else:
            self._decide_alone(request, keeper is not None)

    def _belief(self, account: Account) -> int:
        """A store that another keeper takes over opens as last heard of."""
        part = account.shared_units / (account.plan.burst_units or 1.0)
        return min(254, words.byte(part * 254)) if account.reading_at_ms > NEVER_MS else words.UNKNOWN

    def _may_ask(self, account: Account) -> bool:
        """Mail is short where requests are many: then most of it is for customers near their quota. The
        others are let in by the last reading, and their use is reported a little later."""
        most = self.context.settings.quota_sources.peer_messages_per_s / 4
        return self.mail_room >= max(1.0, (CALM_PART if self._calm(account) else ANSWER_PART) * most)

    def _calm(self, account: Account) -> bool:
        """Whether much is left also if each of its other limiters let in unseen as much as we did."""
        unseen = self.unreported.get(account.key, 0.0) * (account.limiter_count - 1)
        return (
            account.plan.concurrency_limit <= 0 and account.shared_units - unseen > COMFORT * account.plan.burst_units
        )

    def _ask(self, request: OpenRequest, keeper: int, belief: int, again: bool) -> None:
        core, event = self.context, request.arrival
        self.asked = number = (self.asked + 1) % (1 << 16)
        left = event.deadline_ms - core.now_ms - 2 * core.settings.clock_tick_ms  # an answer comes after it
        timer = core.schedule_timer(min(max(ASK_AIMS * core.latency_objective_ms, LEAST_ASK), left), number)
        self.questions[number] = (event.request_id, keeper, belief, again, timer)
        told = request.account.key, words.ASK, event.plan_index, event.units * 4, belief, number
        self._post(keeper, words.single(self.load_estimator.latest_byte(), *told))

    def keeper(self, account: Account) -> int | None:
        """By the customer, so that all its limiters agree; the next in the row while that is silent."""
        settings = self.context.settings
        count, number = settings.limiter_count, settings.limiter_index
        if account.limiter_count <= 1:
            return number
        for turn in range(2 * settings.capabilities.can_message_peers):
            keeper = (account.first_limiter + (account.key + turn) % account.limiter_count) % count
            if keeper == number or self.context.now_ms >= self.silent.get(keeper, NEVER_MS):
                return keeper
        return None

    def unanswered(self, number: int) -> None:
        """Asks once more, as messages are lost; then the bucket decides, and the keeper is passed over."""
        if number not in self.questions:
            return
        name, keeper, belief, again, _ = self.questions.pop(number)
        self.missed[keeper] = self.missed.get(keeper, 0) + 1
        if self.missed[keeper] >= MOST_MISSED:
            self.silent[keeper] = self.context.now_ms + SILENT_FOR
        request = self.requests.get(name)
        if request and not again and self.mail_room >= 1.0:
            self._ask(request, keeper, belief, True)
        elif request:
            self._decide_alone(request, True)

    def _decide_alone(self, request: OpenRequest, kept: bool) -> None:
        """Without a reading of this moment. What is let in reaches the keeper with the next report: it
        left a question open where it had no mail for an answer, and has counted nothing then."""
        account, units = request.account, request.arrival.units
        inside = (kept and self._calm(account)) or self.quotas.is_within_quota(account, units)
        if inside and kept:
            self.unreported[account.key] = self.unreported.get(account.key, 0.0) + units
        self.decide(request, inside)

    def _reading(self, request: OpenRequest, granted: bool, level: float, rate: float) -> None:
        """Takes in a reading; the units it grants fill the bucket, as nobody else may spend them."""
        account, units = request.account, request.arrival.units
        self.quotas.read_level(account, level, rate)
        if granted:
            account.shared_units, account.bucket_units = level + units, max(account.bucket_units, 0.0) + units
        elif account.plan.rate_per_s > 0:
            # until our share of what comes in is enough for this: were all its limiters to ask as soon as
            # one request's worth has come in, most would ask in vain and take up the keeper's mail
            both = account.own_rate_per_s + account.others_rate_per_s
            share = max(account.own_rate_per_s / both if both > 0 else 1.0, 1.0 / account.limiter_count)
            account.exhausted_until_ms = (
                self.context.now_ms + (units - level) / (account.plan.rate_per_s * share) * MS_PER_SECOND
            )
        self.decide(request, granted)

    def counted(self, event: api.CounterAnswered) -> None: ...  # for what takes the keepers' place

    # Reports

    def report_if_due(self) -> None:
        if self.unreported and self.context.now_ms - self.reported_at >= REPORT_EVERY:
            self._report()

    def fill_mail(self, elapsed: float) -> None:
        """`elapsed` in ms."""
        intake = self.context.settings.quota_sources.peer_messages_per_s
        self.mail_room = min(self.mail_room + MAIL_PART * intake * elapsed / MS_PER_SECOND, intake / 4)

    def _report(self) -> None:
        """Tells keepers in few messages what was let in without asking; each answers with the levels."""
        core = self.context
        self.reported_at, unreported, self.unreported = core.now_ms, self.unreported, {}
        uses: dict[int, list[tuple[int, ...]]] = {}
        for key, units in unreported.items():
            account = self.quotas.accounts.get(key)
            keeper = self.keeper(account) if account else None
            if account is None or keeper is None:
                continue
            if keeper == core.settings.limiter_index:
                self._spend(self._ledger(key, account.plan, words.UNKNOWN), units)
                continue
            belief, plan = self._belief(account), core.settings.plans.index(account.plan) % 256
            uses.setdefault(keeper, []).append((key, plan, words.byte(units * 4), belief))
        for keeper, rows in uses.items():
            for at in range(0, len(rows), words.MOST_USES):
                part = rows[at : at + words.MOST_USES]
                if self.mail_room >= 1.0:
                    self._post(keeper, words.batch(self.load_estimator.latest_byte(), words.REPORT, part))
                else:  # it goes with the next ones
                    self.unreported.update((row[0], unreported[row[0]]) for row in part)

    # What others say

    def told(self, event: api.PeerMessage) -> None:
        sender, said = event.sender_index, words.read(event.payload)
        if said is None or sender not in range(self.context.settings.limiter_count):
            return
        self.missed.pop(sender, None)
        self.silent.pop(sender, None)
        self.load_estimator.add_peer_sample(said[0])
        match said[1]:
            case words.Single(what=words.ASK) as question:
                self._asked(sender, question)
            case words.Single(what=words.GRANTED | words.DENIED) as answer:
                self._told_answer(sender, answer)
            case words.Batch(what=words.REPORT, rows=rows):
                self._told_uses(sender, rows)
            case words.Batch(what=words.READINGS, rows=rows):
                for key, level, rate in rows:
                    if (account := self.quotas.accounts.get(key)) is not None:
                        plan, since = account.plan, self.unreported.get(key, 0.0)
                        self.quotas.read_level(
                            account, level / 254 * plan.burst_units - since, rate / 254 * 8 * plan.rate_per_s
                        )

    def _asked(self, sender: int, question: words.Single) -> None:
        plans = self.context.settings.plans
        if question.plan < len(plans) and self.mail_room >= 1.0:
            ledger = self._ledger(question.key, plans[question.plan], question.b)
            answer = words.GRANTED if self._grants(ledger, question.a / 4) else words.DENIED
            told = question.key, answer, question.plan, *self._level(ledger), question.question
            self._post(sender, words.single(self.load_estimator.latest_byte(), *told))

    @staticmethod
    def _level(ledger: QuotaLedger) -> tuple[int, int]:
        """Level and rate as bytes."""
        level, rate = (
            ledger.level_units / (ledger.plan.burst_units or 1.0),
            ledger.rate_per_s / (ledger.plan.rate_per_s or 1.0),
        )
        return words.byte(level * 254), words.byte(rate * 254 / 8)

    def _told_answer(self, sender: int, answer: words.Single) -> None:
        if (question := self.questions.pop(answer.question, None)) is None:
            return
        question[4].is_live = False
        request = self.requests.get(question[0])
        if request and question[1] == sender and request.account.key == answer.key:
            plan = request.account.plan
            level, rate = answer.a / 254 * plan.burst_units, answer.b / 254 * 8 * plan.rate_per_s
            self._reading(request, answer.what == words.GRANTED, level, rate)

    def _told_uses(self, sender: int, rows: tuple[tuple[int, ...], ...]) -> None:
        levels: list[tuple[int, ...]] = []
        for key, index, units, belief in rows:
            if index < len(self.context.settings.plans):
                ledger = self._ledger(key, self.context.settings.plans[index], belief)
                self._spend(ledger, units / 4)
                levels.append((key, *self._level(ledger)))
        if levels and self.mail_room >= 1.0:
            self._post(sender, words.batch(self.load_estimator.latest_byte(), words.READINGS, levels))

    def _post(self, to: int, data: bytes) -> None:
        self.mail_room -= 1.0
        self.context.actions.append(api.SendPeerMessage(to, data))

    # Stores that are kept here

    def _ledger(self, key: int, plan: api.Plan, belief: int) -> QuotaLedger:
        """Opened full, or as the asking limiter last heard of it from a keeper that is gone."""
        ledger = self.ledgers.get(key)
        if ledger is None or ledger.plan is not plan:
            level = plan.burst_units * (1.0 if belief == words.UNKNOWN else belief / 254)
            ledger = self.ledgers[key] = QuotaLedger(plan, level, self.context.now_ms)
        self.aging.touch(key, self.context.now_ms)
        return ledger

    def _fill(self, ledger: QuotaLedger) -> None:
        now = self.context.now_ms
        plan, elapsed, ledger.refreshed_at_ms = ledger.plan, now - ledger.refreshed_at_ms, now
        ledger.level_units = min(plan.burst_units, ledger.level_units + plan.rate_per_s * elapsed / MS_PER_SECOND)
        ledger.rate_per_s *= exp(-elapsed / RATE_SPAN)

    def _spend(self, ledger: QuotaLedger, units: float) -> None:
        """Takes what was let in already; a store is in debt by the burst at most, as one that went on
        longer would hold back a customer for what nobody knew."""
        self._fill(ledger)
        ledger.level_units = max(ledger.level_units - units, -ledger.plan.burst_units)
        ledger.rate_per_s += units * MS_PER_SECOND / RATE_SPAN

    def _grants(self, ledger: QuotaLedger, units: float) -> bool:
        plan, now = ledger.plan, self.context.now_ms
        self._fill(ledger)
        while ledger.granted_at_ms and now - ledger.granted_at_ms[0] > self.quotas.latency:
            ledger.granted_at_ms.popleft()  # attempts are taken to be out as long as they usually are
        if (plan.rate_per_s > 0 and ledger.level_units < units) or 0 < plan.concurrency_limit <= len(
            ledger.granted_at_ms
        ):
            return False
        ledger.level_units -= units
        ledger.rate_per_s += units * MS_PER_SECOND / RATE_SPAN
        if plan.concurrency_limit > 0:
            ledger.granted_at_ms.append(now)
        return True

    def age_out(self) -> None:
        now = self.context.now_ms
        for key in self.aging.pop_expired(now):
            if (ledger := self.ledgers.get(key)) is not None:
                plan = ledger.plan
                full_at = (
                    ledger.refreshed_at_ms
                    + (plan.burst_units - ledger.level_units) / (plan.rate_per_s or 1.0) * MS_PER_SECOND
                )
                if full_at <= now:
                    del self.ledgers[key]
                else:
                    self.aging.postpone(key, full_at)
