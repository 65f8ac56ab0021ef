"""Replicate one value over a majority of agents with CASPaxos. No I/O.

CASPaxos is a replicated register without a log and without a leader (Denis Rystsov, "CASPaxos: Replicated State
Machines without Logs", 2018). It is single-decree Paxos (Leslie Lamport, "The Part-Time Parliament", 1998) in which the
proposer reads the register in the first phase and writes a function of its value in the second:

1. prepare(ballot): an acceptor that has promised no greater ballot promises to accept no smaller one, and returns the
   value that it accepted last with that value's ballot. Any other acceptor answers with a conflict.
2. Once a majority has promised, the proposer takes the value with the greatest accepted ballot and applies its change
   function.
3. accept(ballot, value): an acceptor that has not promised a greater ballot stores the new value. Once a majority has
   accepted it, the value is chosen, and every later round reads it.

If two proposers run concurrently, one of them has to retry; a chosen value is never lost. An acceptor stores its state
durably before it answers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import NamedTuple


class Ballot(NamedTuple):
    """A ballot number; totally ordered and unique.

    Attributes:
        number: A counter that the proposer increases with each round.
        proposer: The proposer's name with its epoch, so that no two proposers use the same ballot.
    """

    number: int = 0
    proposer: str = ""


NO_BALLOT = Ballot()


class Vote(NamedTuple):
    """An acceptor's answer to prepare or accept.

    Attributes:
        ok: Whether the acceptor promised or accepted; False for a conflict.
        promised: The greatest ballot that the acceptor has promised, also in a conflict.
        accepted: The ballot of `value`; only in a promise.
        value: The value that the acceptor accepted last; only in a promise.
    """

    ok: bool
    promised: Ballot
    accepted: Ballot = NO_BALLOT
    value: bytes = b""


class AcceptorState(NamedTuple):
    """The state that an acceptor stores durably; see `Acceptor` for the attributes."""

    promised: Ballot
    accepted: Ballot
    value: bytes


class Acceptor:
    """The acceptor's side of a round.

    The caller has to store `durable_state()` before it sends an answer. An agent that may have lost that state must not
    vote until `decide_join` allows it.

    Invariant: neither ballot ever decreases.

    Attributes:
        promised: The greatest ballot that this acceptor has promised.
        accepted: The ballot of `value`.
        value: The value that was accepted last.
    """

    def __init__(self, promised: Ballot = NO_BALLOT, accepted: Ballot = NO_BALLOT, value: bytes = b"") -> None:
        self.promised = promised
        self.accepted = accepted
        self.value = value

    def durable_state(self) -> AcceptorState:
        """Return the state to store before an answer is sent."""
        return AcceptorState(self.promised, self.accepted, self.value)

    def prepare(self, ballot: Ballot) -> Vote:
        """Answer the first phase: promise the ballot if it is greater than any before."""
        if ballot <= self.promised:
            return Vote(False, self.promised)
        self.promised = ballot
        return Vote(True, ballot, self.accepted, self.value)

    def accept(self, ballot: Ballot, value: bytes) -> Vote:
        """Answer the second phase: accept the value unless a greater ballot was promised."""
        if ballot < self.promised:
            return Vote(False, self.promised)
        self.promised = ballot
        self.accepted = ballot
        self.value = value
        return Vote(True, ballot)


class JoinDecision(Enum):
    """The next step of a voter that has just started."""

    WAIT = "wait"
    VOTE = "vote"
    RECOVER = "recover"  # its stored state is lost or outdated: it has to read the register from the other voters first


def decide_join(
    voter_count: int, has_stored_state: bool, promised: Ballot, answers: Sequence[tuple[Ballot, bool]]
) -> tuple[JoinDecision, str]:
    """Decide whether a voter that has just started may vote.

    Args:
        voter_count: How many voters the group has, this one included.
        has_stored_state: Whether this voter found a stored acceptor state.
        promised: The greatest ballot that this voter has promised, as stored.
        answers: The answers of the other voters. Each holds the greatest ballot that the other voter saw this voter
            promise, and whether the other voter has never accepted a value.

    Returns:
        The decision, and the reason why the voter may not vote yet.
    """
    other_count = voter_count - 1
    needed_count = voter_count // 2
    if has_stored_state and all(observed <= promised for observed, _ in answers):
        decision = JoinDecision.VOTE if len(answers) >= needed_count else JoinDecision.WAIT
        return decision, f"{len(answers)} other voters have answered, {needed_count} are needed"
    if not has_stored_state and all(is_empty for _, is_empty in answers):
        # In a group that has never chosen a value, each new voter needs an answer of every other voter. If it recovered
        # instead, the others would have to promise and would no longer be empty, and all would wait for one another.
        decision = JoinDecision.VOTE if len(answers) == other_count else JoinDecision.WAIT
        return (
            decision,
            f"no value is chosen yet according to {len(answers)} of {other_count} other voters, all have to answer",
        )
    return JoinDecision.RECOVER, "it has lost its stored votes and is reading the register from the other voters"


def recovery_read_count(voter_count: int) -> int:
    """Return from how many other voters a voter that lost its state has to read the register.

    This many intersect every majority that the voter was part of.
    """
    return voter_count - voter_count // 2


class Phase(Enum):
    """The progress of a round."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    CHOSEN = "chosen"
    DECLINED = "declined"  # the change function left the value that a majority holds unchanged
    FAILED = "failed"  # too few voters are left that can answer: the others have a greater ballot or do not answer


ChangeFunction = Callable[[bytes], "bytes | None"]


class Round:
    """The proposer's side of one round.

    Invariant: `Phase.CHOSEN` means that a quorum accepted `value` under `ballot`. The value of a round that failed in
    its second phase may be chosen nevertheless, so a change function that is retried must recognise its own change.

    Attributes:
        ballot: The ballot of the round.
        voters: The names of the acceptors.
        quorum: How many acceptors have to answer each phase.
        phase: The progress of the round.
        value: The new value from the second phase on; the value that was read where the change was declined.
        greatest_ballot: The greatest ballot in any answer.
    """

    def __init__(self, ballot: Ballot, voters: Iterable[str], change: ChangeFunction, quorum: int = 0) -> None:
        """Start a round in the prepare phase.

        Args:
            ballot: A ballot that was never used before.
            voters: The names of the acceptors.
            change: Returns the new value for the current one, or None to leave the register unchanged.
            quorum: How many answers a phase needs; 0 for a majority. A recovering voter may not count its own vote and
                passes `recovery_read_count`.
        """
        self.ballot = ballot
        self.voters = frozenset(voters)
        self.quorum = quorum or len(self.voters) // 2 + 1
        self.phase = Phase.PREPARE
        self.value = b""
        self.greatest_ballot = ballot
        self._change = change
        self._promises: dict[str, Vote] = {}
        self._accepted_by: set[str] = set()
        self._failed_voters: set[str] = set()

    def on_promise(self, voter: str, vote: Vote) -> None:
        """Handle an answer to prepare; the promise that completes the quorum starts the second phase."""
        if self.phase is not Phase.PREPARE or voter not in self.voters:
            return
        if not vote.ok:
            self._on_conflict(voter, vote)
            return
        self._promises[voter] = vote
        if len(self._promises) < self.quorum:
            return
        newest = max(self._promises.values(), key=lambda promise: promise.accepted)
        changed = self._change(newest.value)
        if changed is None:
            self.phase = Phase.DECLINED
            self.value = newest.value
        else:
            self.phase = Phase.ACCEPT
            self.value = changed
            self._failed_voters.clear()

    def on_acceptance(self, voter: str, vote: Vote) -> None:
        """Handle an answer to accept; the acceptance that completes the quorum chooses the value."""
        if self.phase is not Phase.ACCEPT or voter not in self.voters:
            return
        if not vote.ok:
            self._on_conflict(voter, vote)
            return
        self._accepted_by.add(voter)
        if len(self._accepted_by) >= self.quorum:
            self.phase = Phase.CHOSEN

    def on_no_answer(self, voter: str) -> None:
        """Record that a voter will not answer this phase."""
        if self.phase in (Phase.PREPARE, Phase.ACCEPT) and voter in self.voters:
            self._add_failed_voter(voter)

    def _on_conflict(self, voter: str, vote: Vote) -> None:
        self.greatest_ballot = max(self.greatest_ballot, vote.promised)
        self._add_failed_voter(voter)

    def _add_failed_voter(self, voter: str) -> None:
        self._failed_voters.add(voter)
        if len(self.voters) - len(self._failed_voters) < self.quorum:
            self.phase = Phase.FAILED
