"""The replicated register under any loss, repetition and order of messages and any restart of voters."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elderlock.rollout.caspaxos import Acceptor, Ballot, JoinDecision, Phase, Round, decide_join, recovery_read_count


@dataclass
class Proposer:
    """Appends its mark to the value, and retries until that was chosen; it recognises its own mark."""

    name: str
    mark: bytes
    number: int = 0
    round: Round | None = None
    done: list[bytes] = field(default_factory=list)

    def change(self, value: bytes) -> bytes | None:
        return value if self.mark in value.split(b",") else value + self.mark + b","


def phase_of(round: Round) -> Phase:
    """The phase, read anew: mypy would take the last one compared with for the current one."""
    return round.phase


def run_proposers(
    seed: int, voters: int, proposers: int, loss: float, forgets: bool = False
) -> tuple[list[bytes], int]:
    """Run proposers against acceptors; the chosen values, as their proposers learnt of them, and the number of rounds."""
    rng = random.Random(seed)
    names = [f"a{n}" for n in range(voters)]
    acceptors = {name: Acceptor() for name in names}
    proposing = [Proposer(f"p{n}", b"m%d" % n) for n in range(proposers)]
    wire: list[tuple[str, Proposer, Round, str, Ballot, bytes]] = []
    chosen: list[bytes] = []
    rounds = 0

    def begin(p: Proposer) -> None:
        nonlocal rounds
        rounds += 1
        p.number += 1 + rng.randrange(3)
        p.round = Round(Ballot(p.number, p.name), names, p.change)
        for name in names:
            wire.append((name, p, p.round, "prepare", p.round.ballot, b""))

    for _ in range(60_000):
        if all(p.done for p in proposing):
            break
        for p in proposing:
            if not p.done and (p.round is None or rng.random() < 0.02 or p.round.phase is Phase.FAILED):
                begin(p)
        if not wire:
            continue
        number = rng.randrange(len(wire))  # any order
        name, p, round, kind, ballot, value = wire[number]
        if rng.random() > 0.1:  # else it is delivered again later
            del wire[number]
        if rng.random() < loss:
            continue
        acceptor = acceptors[name] = Acceptor(*acceptors[name].durable_state())  # it restarted from its stored state
        if forgets and rng.random() < 0.2:
            acceptor = acceptors[name] = Acceptor()
        if kind == "prepare":
            vote = acceptor.prepare(ballot)
            if rng.random() >= loss and p.round is round:
                before = round.phase
                round.on_promise(name, vote)
                p.number = max(p.number, round.greatest_ballot.number)
                if before is Phase.PREPARE and round.phase is Phase.ACCEPT:
                    wire += [(other, p, round, "accept", round.ballot, round.value) for other in names]
        else:
            vote = acceptor.accept(ballot, value)
            if rng.random() >= loss and p.round is round and round.phase is Phase.ACCEPT:
                round.on_acceptance(name, vote)
                if phase_of(round) is Phase.CHOSEN:
                    p.done.append(round.value)
                    chosen.append(round.value)
    return chosen, rounds


def is_one_history(values: list[bytes]) -> bool:
    """Whether of any two values one is a prefix of the other, and no value contains a mark twice."""
    ordered = sorted(values, key=len)
    are_prefixes = all(later.startswith(earlier) for earlier, later in itertools.pairwise(ordered))
    marks = [value.split(b",")[:-1] for value in ordered]
    return are_prefixes and all(len(set(each)) == len(each) for each in marks)


@given(st.integers(0, 1 << 30), st.sampled_from([1, 2, 3, 5]), st.integers(1, 4), st.sampled_from([0.0, 0.1, 0.4]))
@settings(max_examples=60)
def test_chosen_values_form_one_history_under_loss_repetition_and_restarts(
    seed: int, voters: int, count: int, loss: float
) -> None:
    chosen, _ = run_proposers(seed, voters, count, loss)
    assert is_one_history(chosen)
    assert len(chosen) == count, "nobody is kept from it for ever"


def test_an_acceptor_that_forgets_its_state_breaks_the_history() -> None:
    assert any(not is_one_history(run_proposers(seed, 3, 4, 0.1, forgets=True)[0]) for seed in range(100))


def test_a_round_fails_as_soon_as_no_majority_can_answer() -> None:
    round = Round(Ballot(1, "p"), "abc", lambda value: value)
    round.on_no_answer("a")
    assert round.phase is Phase.PREPARE
    round.on_no_answer("b")
    assert phase_of(round) is Phase.FAILED


def test_a_started_voter_votes_once_enough_others_confirm_its_stored_promise() -> None:
    mine, more = Ballot(5, "a"), Ballot(6, "b")
    known, newer, new = (mine, False), (more, False), (Ballot(), True)
    assert (
        decide_join(3, True, mine, [])[0] is JoinDecision.WAIT
        and decide_join(3, True, mine, [known])[0] is JoinDecision.VOTE
    )
    assert (
        decide_join(5, True, mine, [known])[0] is JoinDecision.WAIT
        and decide_join(5, True, mine, [known] * 2)[0] is JoinDecision.VOTE
    )
    assert decide_join(3, True, mine, [known, newer])[0] is JoinDecision.RECOVER  # its store is an old copy
    assert (
        decide_join(3, False, Ballot(), [new])[0] is JoinDecision.WAIT
        and decide_join(3, False, Ballot(), [new] * 2)[0] is JoinDecision.VOTE
    )
    assert decide_join(3, False, Ballot(), [new, known])[0] is JoinDecision.RECOVER  # its store is lost


@pytest.mark.parametrize("voters", [2, 3, 4, 5])
def test_a_recovering_voter_reads_through_one_member_of_each_majority(voters: int) -> None:
    others = range(1, voters)
    majority = voters // 2 + 1
    for read in itertools.combinations(others, recovery_read_count(voters)):
        for rest in itertools.combinations(others, majority - 1):  # that it made a majority with
            assert set(read) & set(rest)
