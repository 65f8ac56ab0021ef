"""The replicated register under loss, repetition and reordering of messages and restarts of voters."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elderlock.rollout.caspaxos import Acceptor, Ballot, JoinDecision, Phase, Round, decide_join, recovery_read_count


@dataclass
class Proposer:
    """Appends its mark to the value, and retries until a value with its mark is chosen."""

    name: str
    mark: bytes
    number: int = 0
    round: Round | None = None
    chosen_values: list[bytes] = field(default_factory=list)

    def change(self, value: bytes) -> bytes | None:
        return value if self.mark in value.split(b",") else value + self.mark + b","


class Request(NamedTuple):
    """A prepare or accept request in flight."""

    acceptor: str
    proposer: Proposer
    round: Round
    phase: Phase
    ballot: Ballot
    value: bytes = b""


def phase_of(round: Round) -> Phase:
    """Return the phase; mypy would otherwise narrow it to the value of an earlier comparison."""
    return round.phase


def run_proposers(
    seed: int, voter_count: int, proposer_count: int, loss: float, forgets_state: bool = False
) -> tuple[list[bytes], int]:
    """Run proposers against acceptors over a network that loses, repeats and reorders messages.

    Returns:
        The chosen values in the order in which their proposers learnt of them, and the number of rounds.
    """
    rng = random.Random(seed)
    names = [f"a{n}" for n in range(voter_count)]
    acceptors = {name: Acceptor() for name in names}
    proposers = [Proposer(f"p{n}", b"m%d" % n) for n in range(proposer_count)]
    in_flight: list[Request] = []
    chosen: list[bytes] = []
    round_count = 0

    def begin_round(proposer: Proposer) -> None:
        nonlocal round_count
        round_count += 1
        proposer.number += 1 + rng.randrange(3)
        round = proposer.round = Round(Ballot(proposer.number, proposer.name), names, proposer.change)
        for name in names:
            in_flight.append(Request(name, proposer, round, Phase.PREPARE, round.ballot))

    for _ in range(60_000):
        if all(proposer.chosen_values for proposer in proposers):
            break
        for proposer in proposers:
            if not proposer.chosen_values and (
                proposer.round is None or rng.random() < 0.02 or proposer.round.phase is Phase.FAILED
            ):
                begin_round(proposer)
        if not in_flight:
            continue
        index = rng.randrange(len(in_flight))  # requests arrive in any order
        request = in_flight[index]
        name, proposer, round = request.acceptor, request.proposer, request.round
        if rng.random() > 0.1:  # otherwise it is delivered again later
            del in_flight[index]
        if rng.random() < loss:
            continue
        acceptor = acceptors[name] = Acceptor(*acceptors[name].durable_state())  # a restart from the stored state
        if forgets_state and rng.random() < 0.2:
            acceptor = acceptors[name] = Acceptor()
        if request.phase is Phase.PREPARE:
            vote = acceptor.prepare(request.ballot)
            if rng.random() >= loss and proposer.round is round:
                phase_before = round.phase
                round.on_promise(name, vote)
                proposer.number = max(proposer.number, round.greatest_ballot.number)
                if phase_before is Phase.PREPARE and round.phase is Phase.ACCEPT:
                    in_flight += [
                        Request(other, proposer, round, Phase.ACCEPT, round.ballot, round.value) for other in names
                    ]
        else:
            vote = acceptor.accept(request.ballot, request.value)
            if rng.random() >= loss and proposer.round is round and round.phase is Phase.ACCEPT:
                round.on_acceptance(name, vote)
                if phase_of(round) is Phase.CHOSEN:
                    proposer.chosen_values.append(round.value)
                    chosen.append(round.value)
    return chosen, round_count


def is_one_history(values: list[bytes]) -> bool:
    """Whether of any two values one is a prefix of the other, and no value contains a mark twice."""
    ordered = sorted(values, key=len)
    are_prefixes = all(later.startswith(earlier) for earlier, later in itertools.pairwise(ordered))
    marks_by_value = [value.split(b",")[:-1] for value in ordered]
    return are_prefixes and all(len(set(marks)) == len(marks) for marks in marks_by_value)


@given(st.integers(0, 1 << 30), st.sampled_from([1, 2, 3, 5]), st.integers(1, 4), st.sampled_from([0.0, 0.1, 0.4]))
@settings(max_examples=60)
def test_chosen_values_form_one_history_under_loss_repetition_and_restarts(
    seed: int, voter_count: int, proposer_count: int, loss: float
) -> None:
    chosen, _ = run_proposers(seed, voter_count, proposer_count, loss)
    assert is_one_history(chosen)
    assert len(chosen) == proposer_count, "a proposer never succeeded"


def test_an_acceptor_that_forgets_its_state_breaks_the_history() -> None:
    assert any(not is_one_history(run_proposers(seed, 3, 4, 0.1, forgets_state=True)[0]) for seed in range(100))


def test_a_round_fails_as_soon_as_no_majority_can_answer() -> None:
    round = Round(Ballot(1, "p"), "abc", lambda value: value)
    round.on_no_answer("a")
    assert round.phase is Phase.PREPARE
    round.on_no_answer("b")
    assert phase_of(round) is Phase.FAILED


def test_a_started_voter_votes_once_enough_others_confirm_its_stored_promise() -> None:
    stored, greater = Ballot(5, "a"), Ballot(6, "b")
    same_promise, greater_promise, empty = (stored, False), (greater, False), (Ballot(), True)
    assert (
        decide_join(3, True, stored, [])[0] is JoinDecision.WAIT
        and decide_join(3, True, stored, [same_promise])[0] is JoinDecision.VOTE
    )
    assert (
        decide_join(5, True, stored, [same_promise])[0] is JoinDecision.WAIT
        and decide_join(5, True, stored, [same_promise] * 2)[0] is JoinDecision.VOTE
    )
    assert decide_join(3, True, stored, [same_promise, greater_promise])[0] is JoinDecision.RECOVER  # an outdated store
    assert (
        decide_join(3, False, Ballot(), [empty])[0] is JoinDecision.WAIT
        and decide_join(3, False, Ballot(), [empty] * 2)[0] is JoinDecision.VOTE
    )
    assert decide_join(3, False, Ballot(), [empty, same_promise])[0] is JoinDecision.RECOVER  # a lost store


@pytest.mark.parametrize("voter_count", [2, 3, 4, 5])
def test_a_recovering_voter_reads_from_a_member_of_each_majority(voter_count: int) -> None:
    others = range(1, voter_count)
    majority = voter_count // 2 + 1
    for readers in itertools.combinations(others, recovery_read_count(voter_count)):
        for rest in itertools.combinations(others, majority - 1):  # the others in a majority with the voter itself
            assert set(readers) & set(rest)
