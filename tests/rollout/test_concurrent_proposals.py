"""Concurrent requests for permits: whatever order their messages take, exactly the budget is granted."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest
from proposal_network import CHANGE_TIMEOUT_S, NAMES, POLL_INTERVAL_S, ProposalNetwork, proposal_network

from elderlock.fleet.consensus import proposer
from elderlock.fleet.messages import Accept, Prepare
from elderlock.standins.waiting import run


@pytest.fixture(autouse=True)
def _without_vote_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(proposer, "VOTE_TIMEOUT_S", CHANGE_TIMEOUT_S)


async def accept_at_one_voter_each(network: ProposalNetwork) -> None:
    """Let a's and b's first ballots for the only place be accepted by one voter each, so that neither is chosen."""
    await network.deliver(Prepare, 1, "a", "c")
    await network.deliver(Accept, 1, "a", "b")  # b has promised its own ballot
    await network.lose(Accept, 1, "a", "c")
    await network.deliver_without_answer(Prepare, 2, "a", "b")
    await network.deliver(Prepare, 1, "b", "c")
    await network.deliver(Accept, 1, "b", "c")
    await network.deliver(Accept, 1, "b", "a")  # a has promised its second ballot


def test_two_requests_that_read_each_others_unchosen_permit_are_not_both_refused(tmp_path: Path) -> None:
    """Both commands exited with 5 though a place was free: each was refused for the other's unchosen permit."""

    async def test() -> None:
        async with proposal_network(tmp_path, places=1, servers=2) as network:
            requests = [network.propose("a", "s-0")]
            await network.arrival(Prepare, 1, "a", "b")
            requests.append(network.propose("b", "s-1"))
            await accept_at_one_voter_each(network)
            await network.deliver(Prepare, 2, "a", "c")  # a reads b's permit
            await network.deliver(Prepare, 3, "b", "a")  # b reads a's permit
            await network.lose_next_step("a", number=2)
            await network.lose_next_step("b", number=3)
            network.deliver_all()
            results = await asyncio.gather(*requests)
            assert sorted(result.chosen for result in results) == [False, True]
            (refused,) = (result for result in results if not result.chosen)
            assert refused.reasons[0] == "2 boxes would be out, 1 are the most"

    run(test(), within=30.0)


def test_a_request_is_refused_only_for_a_permit_that_is_chosen(tmp_path: Path) -> None:
    """An agent that has accepted its own proposal alone dies, and another agent has read that proposal meanwhile."""

    async def test() -> None:
        async with proposal_network(tmp_path, places=1, servers=2) as network:
            dying = network.propose("a", "s-0")
            await network.deliver(Prepare, 1, "a", "c")
            await network.lose(Accept, 1, "a", "b")
            await network.lose(Accept, 1, "a", "c")
            await network.arrival(Prepare, 2, "a", "b")
            dying.cancel()
            request = network.propose("b", "s-1")
            await network.lose(Prepare, 1, "b", "c")
            await network.deliver(Prepare, 1, "b", "a")  # a has promised its second ballot
            await network.deliver(Prepare, 3, "b", "a")  # b reads the permit that a alone has accepted
            await network.lose_next_step("b", number=3)
            network.dead_voters.add("a")
            network.deliver_all()
            result = await request
            ledger = await network.members["c"].read()
            assert ledger is not None
            assert [permit.target for permit in ledger.permits] == ["s-1" if result.chosen else "s-0"]

    run(test(), within=30.0)


@pytest.mark.parametrize("seed", range(12))
def test_six_requests_with_messages_in_any_order_get_exactly_three_permits(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        rng = random.Random(seed)
        async with proposal_network(tmp_path, places=3, servers=6) as network:
            requests = [network.propose(NAMES[number % len(NAMES)], f"s-{number}") for number in range(6)]
            delivery = asyncio.create_task(network.deliver_in_random_order(rng, 120, loss=0.2))
            while not delivery.done() and not all(request.done() for request in requests):
                await asyncio.sleep(POLL_INTERVAL_S)
            network.deliver_all()
            delivery.cancel()
            results = await asyncio.gather(*requests)
            assert sorted(result.chosen for result in results) == [False, False, False, True, True, True]

    run(test(), within=60.0)
