"""One value that a majority of agents holds, changed by functions of it: CASPaxos (Rystsov, CASPaxos: Replicated State
Machines without Logs, 2018), which is Paxos' synod (Lamport, 1998) with the value read in the first phase. No I/O.

An acceptor keeps its state durably before it answers. A proposer asks all voters to promise a ballot, takes the value
accepted under the greatest one that a majority tells of, changes it, and asks all to accept the change. Whatever a
majority accepted is chosen for good: each later round reads it. There is no leader to be lost, and two proposers at
once cost one of them another try and can do no harm.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import NamedTuple


class Ballot(NamedTuple):
    """Total order; `by` is the proposer with its epoch, so that no two are alike."""

    number: int = 0
    by: str = ""


NONE = Ballot()


class Vote(NamedTuple):
    """An acceptor's answer. `promised` is the greatest ballot that it has promised, also where it refuses."""

    ok: bool
    promised: Ballot
    accepted: Ballot = NONE
    value: bytes = b""


class Acceptor:
    """Invariant: what it promised and accepted never goes back. Whoever holds one keeps `state()` durably before an
    answer leaves; one that may have lost it does not vote, see `keeper`."""

    def __init__(self, promised: Ballot = NONE, accepted: Ballot = NONE, value: bytes = b"") -> None:
        self.promised, self.accepted, self.value = promised, accepted, value

    def state(self) -> tuple[Ballot, Ballot, bytes]:
        return self.promised, self.accepted, self.value

    def prepare(self, ballot: Ballot) -> Vote:
        if ballot <= self.promised:
            return Vote(False, self.promised)
        self.promised = ballot
        return Vote(True, ballot, self.accepted, self.value)

    def accept(self, ballot: Ballot, value: bytes) -> Vote:
        if ballot < self.promised:
            return Vote(False, self.promised)
        self.promised = self.accepted = ballot
        self.value = value
        return Vote(True, ballot)


class Join(Enum):
    """What an agent that does not vote yet has to do."""

    WAIT = "wait"
    VOTE = "vote"
    READ = "read"  # the register through the others first: its votes are lost


def joining(voters: int, remembers: bool, promised: Ballot, answers: Sequence[tuple[Ballot, bool]]) -> tuple[Join, str]:
    """Whether one of so many voters may vote after its start, and why not yet. `answers` of others: the greatest ballot
    that they saw it promise, and whether they never accepted anything."""
    others, needed = voters - 1, voters // 2
    if remembers and all(seen <= promised for seen, _ in answers):
        enough = len(answers) >= needed
        return (Join.VOTE if enough else Join.WAIT), f"{len(answers)} others have answered, {needed} have to"
    if not remembers and all(empty for _, empty in answers):
        # a group that has never agreed on anything: whoever could tell of something has to be asked. To read the
        # register through others meanwhile would make them promise, and all would wait for one another for ever
        said = f"nothing was agreed on yet, as {len(answers)} of {others} others say"
        return (Join.VOTE if len(answers) == others else Join.WAIT), said
    return Join.READ, "it has lost its votes, and reads them through the others"


def to_read(voters: int) -> int:
    """Through how many others a register is read by one that has lost its votes, so that every majority that it was
    part of has one of them."""
    return voters - voters // 2


class Phase(Enum):
    PREPARE = "prepare"
    ACCEPT = "accept"
    CHOSEN = "chosen"
    DECLINED = "declined"  # the change says no to the value that a majority holds
    OUTBID = "outbid"  # somebody has a greater ballot, or too many voters are away


Change = Callable[[bytes], "bytes | None"]


class Round:
    """One try of a proposer. It is told the answers; `phase` and `value` say what comes of it. Invariant: `CHOSEN`
    means that a majority of the voters accepted `value` under `ballot`. An `OUTBID` round in its second phase may have
    been chosen all the same: whoever tries again has to know its own change when it meets it."""

    def __init__(self, ballot: Ballot, voters: Iterable[str], change: Change, quorum: int = 0) -> None:
        """`quorum` in place of a majority, for one that may not count on its own vote."""
        self.ballot, self.voters = ballot, frozenset(voters)
        self.quorum = quorum or len(self.voters) // 2 + 1
        self._change = change
        self.phase = Phase.PREPARE
        self.value = b""
        self.greatest = ballot  # that was heard of
        self._promises: dict[str, Vote] = {}
        self._accepts: set[str] = set()
        self._refusals: set[str] = set()

    def promise(self, who: str, vote: Vote) -> None:
        if self.phase is not Phase.PREPARE or who not in self.voters:
            return
        if self._refused(who, vote):
            return
        self._promises[who] = vote
        if len(self._promises) < self.quorum:
            return
        newest = max(self._promises.values(), key=lambda each: each.accepted)
        changed = self._change(newest.value)
        if changed is None:
            self.phase, self.value = Phase.DECLINED, newest.value
        else:
            self.phase, self.value = Phase.ACCEPT, changed
            self._refusals.clear()

    def acceptance(self, who: str, vote: Vote) -> None:
        if self.phase is not Phase.ACCEPT or who not in self.voters:
            return
        if self._refused(who, vote):
            return
        self._accepts.add(who)
        if len(self._accepts) >= self.quorum:
            self.phase = Phase.CHOSEN

    def away(self, who: str) -> None:
        """No answer comes from that one."""
        if self.phase in (Phase.PREPARE, Phase.ACCEPT) and who in self.voters:
            self._refuse(who)

    def _refused(self, who: str, vote: Vote) -> bool:
        if vote.ok:
            return False
        self.greatest = max(self.greatest, vote.promised)
        self._refuse(who)
        return True

    def _refuse(self, who: str) -> None:
        self._refusals.add(who)
        if len(self.voters) - len(self._refusals) < self.quorum:
            self.phase = Phase.OUTBID
