"""Whatever happens to messages and processes, no more is sent than one bucket of the ceiling lets through."""

from __future__ import annotations

import pytest
from escrow_histories import FIRST, HISTORIES, RATE, SLACK, WARM, history, nodes

from elderlock.decisions.quotas import Quotas
from elderlock.gossip.escrow_messages import EscrowGrant, EscrowRequest
from elderlock.gossip.quota_escrow import (
    EscrowQuotas,
)


def test_limiters_send_no_more_than_one_bucket_whatever_happens_to_messages_and_processes() -> None:
    found = [history(seed) for seed in range(HISTORIES)]
    assert min(least for least, _ in found) >= -SLACK
    assert sum(moved for _, moved in found) > 5.0 * HISTORIES  # and units do move


class TakesTwice(EscrowQuotas):
    """A grant counts as often as it comes."""

    def _handle_grant(self, sender: int, grant: EscrowGrant) -> None:
        super()._handle_grant(sender, grant)
        if grant.request_id in self._pending:
            self._pending[grant.request_id].asked_peers.add(sender)


class TakesLate(EscrowQuotas):
    """A grant counts however late it comes."""

    def _handle_grant(self, sender: int, grant: EscrowGrant) -> None:
        if grant.request_id in self._pending:
            self._pending[grant.request_id].sent_at_ms = self.context.now_ms
        super()._handle_grant(sender, grant)


class GivesAndKeeps(EscrowQuotas):
    """Who gives does not take it off."""

    def _handle_request(self, sender: int, want: EscrowRequest) -> None:
        super()._handle_request(sender, want)
        for account in self.accounts.values():
            account.ceiling_units += sum(each.units for each in self._in_transit.pop(account.key, []))


@pytest.mark.parametrize("mutant", [TakesTwice, TakesLate, GivesAndKeeps])
def test_random_histories_detect_each_mutant(mutant: type[EscrowQuotas]) -> None:
    assert any(history(seed, mutant)[0] < -SLACK for seed in range(HISTORIES))


def served_by_one(kind: type[Quotas]) -> int:
    """One limiter of three is asked all there is, twice the ceiling's rate; datagrams take 2 ms."""
    group, count, now = nodes(0.0, kind), 0, WARM
    for step in range(2000):
        now += 1000.0 / (2.0 * RATE)
        count += group[FIRST].ask(now)
        for _ in range(2):
            for node in group.values():
                for to, data in node.due():
                    group[to].receive(now + 2.0, node.number, data)
        assert step < 2000
    return count


def test_a_limiter_with_all_requests_serves_nearly_the_entire_ceiling() -> None:
    even, shared = served_by_one(Quotas), served_by_one(EscrowQuotas)
    ceiling_units = 2000 / 2.0
    assert even < 0.4 * ceiling_units and 0.95 * ceiling_units < shared < 1.05 * ceiling_units
