"""Run rounds of the consensus: send the messages of both phases to the voters, and take their votes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from elderlock.control.request_client import NoAnswerError, NotSentError
from elderlock.fleet import messages
from elderlock.fleet.consensus.interfaces import Owner
from elderlock.rollout.caspaxos import Ballot, Phase, Round, Vote

VOTE_TIMEOUT_S = 0.5  # for the answer of one voter


class LocalAcceptor(Protocol):
    """This agent's own vote."""

    def on_prepare(self, request: messages.Prepare) -> messages.Voted:
        """Answer the first phase of a round."""

    def on_accept(self, request: messages.Accept) -> messages.Voted:
        """Answer the second phase of a round."""


class Proposer:
    """Runs the rounds that this agent proposes.

    Attributes:
        greatest_promises: The greatest ballot that each voter promised, as far as seen here.
        greatest_ballot_number: The greatest number of a ballot that was seen here.
    """

    def __init__(self, owner: Owner, local_acceptor: LocalAcceptor, greatest_ballot_number: int) -> None:
        """Initialise a proposer that has seen no ballot above `greatest_ballot_number`."""
        self._owner = owner
        self._local_acceptor = local_acceptor
        self.greatest_promises: dict[str, Ballot] = {}
        self.greatest_ballot_number = greatest_ballot_number

    def observe_ballot(self, number: int) -> None:
        """Use only greater numbers from now on."""
        self.greatest_ballot_number = max(self.greatest_ballot_number, number)

    def _ballot(self) -> Ballot:
        """Return a ballot that was never used before."""
        self.greatest_ballot_number += 1
        return Ballot(self.greatest_ballot_number, f"{self._owner.epoch():09d}/{self._owner.name}")

    async def _run_phase(
        self,
        paxos_round: Round,
        make_message: Callable[[int], messages.Message],
        vote_locally: Callable[[], messages.Voted] | None,
        on_vote: Callable[[str, Vote], None],
    ) -> None:
        """Send the phase's message to all voters at once, and take their answers until the phase ends.

        Args:
            paxos_round: The round.
            make_message: Makes the phase's message with a request id.
            vote_locally: Casts this agent's own vote.
            on_vote: Takes the vote of a voter.
        """
        phase = paxos_round.phase
        voter_of_task: dict[asyncio.Task[messages.FromAgent], str] = {}
        loop = asyncio.get_running_loop()
        peer_links = {peer.name: peer for peer in self._owner.peers}
        for name in paxos_round.voters:
            if name == self._owner.name:
                if vote_locally is not None:
                    self._take_answer(paxos_round, name, vote_locally(), on_vote)
            elif name in peer_links:
                voter_of_task[loop.create_task(peer_links[name].request(make_message, VOTE_TIMEOUT_S))] = name
            else:
                paxos_round.on_no_answer(name)
        pending = set(voter_of_task)
        try:
            while pending and paxos_round.phase is phase:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    error = task.exception()
                    if isinstance(error, NotSentError | NoAnswerError):
                        paxos_round.on_no_answer(voter_of_task[task])
                    elif error is not None:
                        raise error
                    else:
                        self._take_answer(paxos_round, voter_of_task[task], task.result(), on_vote)
        finally:
            for task in pending:
                task.cancel()

    def _take_answer(
        self, paxos_round: Round, name: str, answer: messages.FromAgent, on_vote: Callable[[str, Vote], None]
    ) -> None:
        if not isinstance(answer, messages.Voted) or not answer.voting:
            return paxos_round.on_no_answer(name)
        vote = Vote(answer.ok, Ballot(*answer.promised), Ballot(*answer.accepted), answer.value)
        if vote.ok:
            self.greatest_promises[name] = max(self.greatest_promises.get(name, Ballot()), vote.promised)
        on_vote(name, vote)

    async def run_round(self, change: Callable[[bytes], bytes | None], voters: Sequence[str], quorum: int) -> Round:
        """Run one round; return it once it has ended.

        Args:
            change: Returns the new value for the current one, or None to leave the register unchanged.
            voters: The names of the acceptors.
            quorum: How many of them have to answer each phase.
        """
        paxos_round = Round(self._ballot(), voters, change, quorum)
        number, proposer = paxos_round.ballot
        prepare = lambda request_id: messages.Prepare(request_id, number, proposer)  # noqa: E731
        await self._run_phase(
            paxos_round,
            prepare,
            lambda: self._local_acceptor.on_prepare(messages.Prepare(0, number, proposer)),
            paxos_round.on_promise,
        )
        if paxos_round.phase is Phase.ACCEPT:
            value = paxos_round.value
            accept = lambda request_id: messages.Accept(request_id, number, proposer, value)  # noqa: E731
            vote_locally = lambda: self._local_acceptor.on_accept(messages.Accept(0, number, proposer, value))  # noqa: E731
            await self._run_phase(paxos_round, accept, vote_locally, paxos_round.on_acceptance)
        self.observe_ballot(paxos_round.greatest_ballot.number)
        return paxos_round
