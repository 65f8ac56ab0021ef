"""Random histories: all limiters together send no more than one bucket of the ceiling allows."""

from __future__ import annotations

import pytest
from escrow_histories import (
    FILL_MS,
    FIRST,
    HISTORY_COUNT,
    RATE_PER_S,
    SLACK_UNITS,
    make_nodes,
    run_history,
)

from elderlock.decisions.quotas import Quotas
from elderlock.gossip.escrow_messages import EscrowGrant, EscrowRequest
from elderlock.gossip.quota_escrow import (
    EscrowQuotas,
)


def test_limiters_stay_within_one_bucket_under_any_faults_of_messages_and_processes() -> None:
    results = [run_history(seed) for seed in range(HISTORY_COUNT)]
    assert min(lowest_units for lowest_units, _ in results) >= -SLACK_UNITS
    assert sum(transferred_units for _, transferred_units in results) > 5.0 * HISTORY_COUNT


class AcceptsGrantTwice(EscrowQuotas):
    """A mutant that adds the units of a grant each time it arrives."""

    def _handle_grant(self, sender: int, grant: EscrowGrant) -> None:
        super()._handle_grant(sender, grant)
        if grant.request_id in self._pending:
            self._pending[grant.request_id].asked_peers.add(sender)


class AcceptsLateGrant(EscrowQuotas):
    """A mutant that accepts a grant after the lifetime of its request."""

    def _handle_grant(self, sender: int, grant: EscrowGrant) -> None:
        if grant.request_id in self._pending:
            self._pending[grant.request_id].sent_at_ms = self.context.now_ms
        super()._handle_grant(sender, grant)


class KeepsGrantedUnits(EscrowQuotas):
    """A mutant that does not subtract granted units from its own part."""

    def _handle_request(self, sender: int, request: EscrowRequest) -> None:
        super()._handle_request(sender, request)
        for account in self.accounts.values():
            account.ceiling_units += sum(transfer.units for transfer in self._in_transit.pop(account.key, []))


@pytest.mark.parametrize("mutant", [AcceptsGrantTwice, AcceptsLateGrant, KeepsGrantedUnits])
def test_random_histories_detect_each_mutant(mutant: type[EscrowQuotas]) -> None:
    assert any(run_history(seed, mutant)[0] < -SLACK_UNITS for seed in range(HISTORY_COUNT))


def served_by_one_limiter(quotas_class: type[Quotas]) -> int:
    """Send requests at twice the ceiling's rate to one of three limiters; return how many it serves."""
    nodes, served_count, now_ms = make_nodes(0.0, quotas_class), 0, FILL_MS
    for step in range(2000):
        now_ms += 1000.0 / (2.0 * RATE_PER_S)
        served_count += nodes[FIRST].request(now_ms)
        for _ in range(2):
            for node in nodes.values():
                for receiver, payload in node.due_datagrams():
                    nodes[receiver].receive(now_ms + 2.0, node.number, payload)
        assert step < 2000
    return served_count


def test_a_limiter_with_all_requests_serves_nearly_the_entire_ceiling() -> None:
    even, shared = served_by_one_limiter(Quotas), served_by_one_limiter(EscrowQuotas)
    ceiling_units = 2000 / 2.0
    assert even < 0.4 * ceiling_units and 0.95 * ceiling_units < shared < 1.05 * ceiling_units
