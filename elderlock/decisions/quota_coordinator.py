"""Coordinates quotas between limiters: one limiter owns a customer's ledger, and the others query it or report to it.

`QuotaCoordinator` combines the owner, the client and the usage reports. A subclass can use a shared counter instead.
"""

from __future__ import annotations

from collections.abc import Callable

from elderlock import interface as api
from elderlock import peer_messages
from elderlock.decisions.context import DecisionContext
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.owner_selection import OwnerSelector
from elderlock.decisions.peer_messenger import PeerMessenger
from elderlock.decisions.quota_client import QuotaClient
from elderlock.decisions.quota_owner import QuotaOwner
from elderlock.decisions.quotas import Quotas
from elderlock.decisions.usage_reports import UsageReports, last_known_level
from elderlock.peer_messages import QuotaAnswer, QuotaLevels, QuotaQuery, UsageReport
from elderlock.state import OpenRequest


class QuotaCoordinator:
    """Decides whether requests are within the quota that all limiters share.

    Invariant: a ledger grants no unit that it does not hold.

    Attributes:
        quotas_class: The class of the accounts of a limiter with this coordinator.
        context: The state that the limiter's components share.
        quotas: The accounts of this limiter's customers.
        requests: The open requests by id.
        decide: The callback for a decision; its arguments are the request and whether it is within its quota.
        messenger: Sends messages to other limiters within a budget.
        owners: Selects the owners of quotas.
        quota_owner: The ledgers that this limiter owns.
        usage_reports: Reports the units that were admitted without a query.
        quota_client: Queries other owners.
    """

    quotas_class: type[Quotas] = Quotas

    def __init__(
        self,
        context: DecisionContext,
        quotas: Quotas,
        load_estimator: LoadEstimator,
        requests: dict[str, OpenRequest],
        decide: Callable[[OpenRequest, bool], None],
    ) -> None:
        """Create the components; this sends no message."""
        self.context = context
        self.quotas = quotas
        self.requests = requests
        self.decide = decide
        self._load_estimator = load_estimator
        self.messenger = PeerMessenger(context, load_estimator)
        self.owners = OwnerSelector(context)
        self.quota_owner = QuotaOwner(context, quotas)
        self.usage_reports = UsageReports(context, quotas, self.owners, self.quota_owner, self.messenger)
        self.quota_client = QuotaClient(context, quotas, self.messenger, self.usage_reports, requests, decide)

    def request_quota_decision(self, request: OpenRequest) -> None:
        """Start the decision whether a request is within its quota; `decide` is called now or after an answer."""
        account = request.account
        owner = self.owners.owner_of(account)
        if owner == self.context.settings.limiter_index:
            self._decide_as_owner(request)
        elif owner is not None and self.quota_client.may_query(account):
            self.quota_client.query(request, owner)
        else:
            self.quota_client.decide_without_reading(request, has_owner=owner is not None)

    def handle_query_timeout(self, query_id: int) -> None:
        """Handle the timeout of a query."""
        self.quota_client.handle_timeout(query_id)

    def handle_counter_answer(self, event: api.CounterAnswered) -> None:
        """Ignore an answer of the shared counter, which only subclasses use."""

    def handle_peer_message(self, event: api.PeerMessage) -> None:
        """Handle a datagram from another limiter; one that cannot be decoded is ignored."""
        sender = event.sender_index
        datagram = peer_messages.decode(event.payload)
        if datagram is None or sender not in range(self.context.settings.limiter_count):
            return
        self.owners.record_message(sender)
        self._load_estimator.add_peer_sample(datagram.latest_latency)
        match datagram.message:
            case QuotaQuery() as query:
                self._answer_query(sender, query)
            case QuotaAnswer() as answer:
                self.quota_client.handle_answer(sender, answer)
            case UsageReport() as report:
                self._answer_report(sender, report)
            case QuotaLevels(rows):
                for row in rows:
                    self.usage_reports.apply_level(row)

    def maintain(self, elapsed_ms: float) -> None:
        """Refill the message budget for `elapsed_ms` and send the reports that are due."""
        self.messenger.refill(elapsed_ms)
        self.usage_reports.report_if_due()

    def expire_ledgers(self) -> None:
        """Remove idle ledgers that are full again."""
        self.quota_owner.expire_ledgers()

    def _decide_as_owner(self, request: OpenRequest) -> None:
        account = request.account
        ledger = self.quota_owner.ledger(account.key, account.plan, last_known_level(account))
        is_granted = self.quota_owner.try_spend(ledger, request.arrival.units)
        self.quota_client.apply_reading(request, is_granted, ledger.level_units, ledger.rate_per_s)

    def _answer_query(self, sender: int, query: QuotaQuery) -> None:
        if not self.messenger.can_send():
            return
        answer = self.quota_owner.answer_query(query)
        if answer is not None:
            self.messenger.send(sender, answer)

    def _answer_report(self, sender: int, report: UsageReport) -> None:
        levels = self.quota_owner.answer_report(report)
        if levels.rows and self.messenger.can_send():
            self.messenger.send(sender, levels)
