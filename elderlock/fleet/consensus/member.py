"""Take an agent's part in what its group agrees on by a majority.

An agent votes as an acceptor, proposes changes of the ledger, and grants permits to commands. `elderlock.rollout` makes
the decisions; this module sends the messages and stores the votes.

A vote is decided, then stored, then sent. An agent that has just started votes once enough other voters have said that
they did not see it promise a greater ballot than it has stored. An agent that has lost its votes, because its store is
new or an old copy, first reads the register through the other voters. Until then it answers that it does not vote.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from elderlock import logs
from elderlock.control.records import Key
from elderlock.fleet import messages
from elderlock.fleet.agent_store import StoreError
from elderlock.fleet.consensus.interfaces import Change, ChangeResult, Owner
from elderlock.fleet.consensus.permit_releaser import PermitReleaser
from elderlock.fleet.consensus.proposer import VOTE_TIMEOUT_S, Proposer
from elderlock.fleet.group.peer_link import gather_answers
from elderlock.rollout import permit_ledger
from elderlock.rollout.caspaxos import (
    Acceptor,
    Ballot,
    JoinDecision,
    Phase,
    Vote,
    decide_join,
    recovery_read_count,
)
from elderlock.rollout.disruption_budget import DisruptionBudget, Inventory, budget_status_lines
from elderlock.rollout.permit_ledger import Ledger, LedgerError, Permit, PermitRequest

CHANGE_TIMEOUT_S = 2.0  # for all rounds of a change together
READ_TIMEOUT_S = 1.0  # for all rounds of a read together
READ_ONLY_REASON = "the ledger was only read"
RETRY_DELAY_RANGE_S = (0.004, 0.04)  # drawn at random, so that two proposers do not keep conflicting
JOIN_RETRY_INTERVAL_S = 0.2  # between attempts to become a voter

log = logs.get_logger(__name__)


class ConsensusMember:
    """An agent as a member of its group: an acceptor, if it is one of the voters, and a proposer.

    Invariant: `ledger` was chosen by a majority, and its version never decreases.

    Attributes:
        ledger: The newest ledger that this agent knows to be chosen.
        budget: The disruption budget of the group.
        voters: The names of the agents that vote.
        is_voting: Whether this agent votes.
        not_voting_reason: Why this agent does not vote yet, for people.
    """

    def __init__(
        self, owner: Owner, budget: DisruptionBudget, voters: Sequence[str], rng: random.Random, rank: int = 0
    ) -> None:
        """Read the stored vote.

        Args:
            owner: The agent.
            budget: The disruption budget of the group.
            voters: The names of the agents that vote.
            rng: The source of random delays.
            rank: How many agents are listed before this one in the group's file.

        Raises:
            StoreError: The stored vote cannot be read.
        """
        self._owner, self.budget, self.voters, self._rng = owner, budget, tuple(voters), rng
        self.ledger = Ledger()
        stored_state = owner.store.vote()
        self._acceptor = Acceptor(*stored_state) if stored_state is not None else Acceptor()
        self._has_stored_state = stored_state is not None
        self.is_voting = owner.name in self.voters and len(self.voters) == 1
        self.not_voting_reason = "" if self.is_voting else "it has just started"
        self._proposer = Proposer(owner, self, self._acceptor.promised.number)
        self._change_lock = asyncio.Lock()
        self._permit_releaser = PermitReleaser(owner, self, rng, rank)
        self._encoded: tuple[Ledger, bytes] = (self.ledger, b"")
        self._last_decoded_value = b""
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def quorum(self) -> int:
        """How many voters have to agree."""
        return len(self.voters) // 2 + 1

    def start(self) -> None:
        """Start to join as a voter, and to check permits."""
        loop = asyncio.get_running_loop()
        if self._owner.name in self.voters and not self.is_voting:
            self._tasks.append(loop.create_task(self._join()))
        self._tasks.append(loop.create_task(self._permit_releaser.run()))

    def close(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()

    def learn(self, ledger: Ledger) -> None:
        """Take a ledger that was chosen, whoever sent it, if it is newer than the one known here."""
        if ledger.version > self.ledger.version:
            self.ledger = ledger

    def record_ledger(self, value: bytes) -> None:
        """Take an encoded ledger that another agent knows to be chosen."""
        if value == self._last_decoded_value:
            return
        try:
            self.learn(permit_ledger.decode_ledger(value))
            self._last_decoded_value = value
        except LedgerError as error:
            log.error("the ledger of another agent cannot be decoded", error=str(error))

    def encoded_ledger(self) -> bytes:
        """Return the newest ledger known to be chosen, as it is sent to other agents; empty for the initial one."""
        if self._encoded[0] is not self.ledger:
            self._encoded = (self.ledger, permit_ledger.encode_ledger(self.ledger))
        return self._encoded[1] if self.ledger.version else b""

    def no_quorum_text(self) -> str:
        """Say that too few voters answer, for people."""
        return f"{self.quorum} of {', '.join(self.voters)} have to agree, but too few answer"

    # Votes

    def _cast_vote(self, decide: Callable[[Acceptor], Vote]) -> tuple[bool, Vote]:
        """Decide a vote and store it; a vote that cannot be stored is not given.

        Returns:
            Whether this agent votes, and its vote.
        """
        if not self.is_voting:
            return False, Vote(False, self._acceptor.promised)
        new_state = Acceptor(*self._acceptor.durable_state())
        vote = decide(new_state)
        if vote.ok:
            try:
                self._owner.store.save_vote(*new_state.durable_state())
            except StoreError as error:
                log.error("the vote cannot be stored and is not given", error=str(error))
                return False, Vote(False, self._acceptor.promised)
            self._acceptor, self._has_stored_state = new_state, True
        return True, vote

    def on_prepare(self, request: messages.Prepare) -> messages.Voted:
        """Answer the first phase of another agent's round."""
        ballot = Ballot(request.number, request.proposer)
        return self._vote_message(request.id, *self._cast_vote(lambda acceptor: acceptor.prepare(ballot)))

    def on_accept(self, request: messages.Accept) -> messages.Voted:
        """Answer the second phase of another agent's round."""
        ballot = Ballot(request.number, request.proposer)
        return self._vote_message(request.id, *self._cast_vote(lambda acceptor: acceptor.accept(ballot, request.value)))

    def _vote_message(self, request_id: int, is_voting: bool, vote: Vote) -> messages.Voted:
        self._proposer.observe_ballot(vote.promised.number)
        return messages.Voted(
            request_id, self._owner.name, is_voting, vote.ok, vote.promised, vote.accepted, vote.value
        )

    def on_recall(self, request: messages.Recall) -> messages.Recalled:
        """Tell a voter that has just started the greatest ballot that this agent saw it promise."""
        greatest_promise = self._proposer.greatest_promises.get(request.agent, Ballot())
        return messages.Recalled(request.id, self._owner.name, greatest_promise, self._acceptor.accepted == Ballot())

    # Changes

    async def change(self, change: Change, timeout_s: float = CHANGE_TIMEOUT_S) -> ChangeResult:
        """Propose a change of the ledger, and retry until it is chosen, declined or timed out.

        A change counts as declined only if it is declined for a ledger that a majority has chosen.

        `change` may be called several times, also on a ledger that it has changed already, and has to recognise its own
        result.

        Args:
            change: Returns the changed ledger, or the reasons for which it declines.
            timeout_s: The time after which no further round is started.

        Raises:
            LedgerError: The ledger that a majority holds cannot be decoded.
        """
        deadline_s = time.monotonic() + timeout_s
        refusal_reasons: list[str] | None = None

        def apply_change(value: bytes) -> bytes | None:
            nonlocal refusal_reasons
            ledger = permit_ledger.decode_ledger(value)
            changed = change(ledger)
            if isinstance(changed, Ledger):
                refusal_reasons = None
                return permit_ledger.encode_ledger(changed)
            refusal_reasons = changed
            # A value that is not known to be chosen may have been accepted by a minority and then be lost, and a change
            # that is declined because of it would be declined for nothing. Proposing the value unchanged chooses it.
            is_known_to_be_chosen = ledger.version <= self.ledger.version
            return None if is_known_to_be_chosen else value

        async with self._change_lock:
            while True:
                paxos_round = await self._proposer.run_round(apply_change, self.voters, self.quorum)
                if paxos_round.phase is Phase.CHOSEN:
                    self._on_chosen(paxos_round.value)
                if paxos_round.phase in (Phase.CHOSEN, Phase.DECLINED):
                    return ChangeResult(refusal_reasons is None, self.ledger, tuple(refusal_reasons or ()))
                if time.monotonic() >= deadline_s:
                    return ChangeResult(False, self.ledger)
                await asyncio.sleep(self._rng.uniform(*RETRY_DELAY_RANGE_S))

    def _on_chosen(self, value: bytes) -> None:
        """Take the ledger that this agent's round has chosen, and notify the other agents."""
        self.learn(permit_ledger.decode_ledger(value))
        for peer in self._owner.peers:
            peer.notify()

    async def read(self) -> Ledger | None:
        """Read the ledger through a majority.

        The result was chosen by a majority, and is at least as new as any ledger that was chosen before the call.

        Returns:
            The ledger; None where too few voters answer.

        Raises:
            LedgerError: The ledger that a majority holds cannot be decoded.
        """
        result = await self.change(lambda ledger: [READ_ONLY_REASON], READ_TIMEOUT_S)
        return result.ledger if result.reasons else None

    async def request_permits(
        self, request: messages.RequestPermits, requested_by: str, now_unix_ms: float
    ) -> messages.PermitsAnswer:
        """Grant a command the permits that it requests, or say why not.

        Args:
            request: The request.
            requested_by: The operator.
            now_unix_ms: The time of the request.
        """
        inventory = self._owner.inventory()
        generation = max(request.generation, self._owner.records.greatest_generation())
        name = self._owner.name
        try:
            permit_request = PermitRequest(
                request.targets, request.origin, requested_by, request.reason, generation, now_unix_ms
            )
            result = await self.change(
                lambda ledger: permit_ledger.grant_permits(ledger, permit_request, self.budget, inventory)
            )
        except LedgerError as error:
            return messages.PermitsAnswer(request.id, name, "refused", (), (str(error),))
        answer = self._permits_answer(request, result, inventory)
        self._log_permit_request(request, result, inventory, answer)
        return answer

    def _permits_answer(
        self, request: messages.RequestPermits, result: ChangeResult, inventory: Inventory
    ) -> messages.PermitsAnswer:
        name = self._owner.name
        if result.chosen:
            return messages.PermitsAnswer(request.id, name, "granted", result.ledger.permits_of_origin(request.origin))
        if result.reasons:
            outcome = "away" if inventory.lacks_knowledge_of(request.targets) else "refused"
            return messages.PermitsAnswer(request.id, name, outcome, (), result.reasons)  # type: ignore[arg-type]
        return messages.PermitsAnswer(request.id, name, "away", (), (self.no_quorum_text(),))

    def _log_permit_request(
        self,
        request: messages.RequestPermits,
        result: ChangeResult,
        inventory: Inventory,
        answer: messages.PermitsAnswer,
    ) -> None:
        """Log what a request for permits was decided on: the ledger, and what is out of service without a permit."""
        log.info(
            "permits requested",
            origin=request.origin,
            targets=[name for _, name in request.targets],
            outcome=answer.outcome,
            reasons=list(answer.reasons),
            ledger_version=result.ledger.version,
            chosen_version=self.ledger.version,
            permits=[f"{permit.target} {permit.origin}" for permit in result.ledger.permits],
            out_of_service=[item.name for item in (*inventory.servers, *inventory.limiters) if item.out_reason],
        )

    def drain_refusal(self, permits: Sequence[Permit], key: Key, origin: str, generation: int) -> str:
        """Return why a drain is refused.

        Empty where one of `permits` allows the drain and is in force, as far as this agent knows.
        """
        for permit in permits:
            if permit.key == key and permit.origin == origin and permit.generation == generation:
                return "" if permit_ledger.is_permit_valid(self.ledger, permit) else "its permit was revoked"
        return "no permit: the group has a disruption budget, so a drain needs a permit or --force"

    def budget_status(self, request: messages.ShowBudget) -> messages.BudgetStatus:
        """Describe the budget, the permits and the vote of this agent for people."""
        voting_text = (
            "yes"
            if self.is_voting
            else self.not_voting_reason
            if self._owner.name in self.voters
            else "it is not a voter"
        )
        inventory = self._owner.inventory()
        lines = budget_status_lines(self.budget, inventory, self.ledger.permit_holders())
        lines += [inventory.insufficient_reason] if inventory.insufficient_reason else []
        lines.append(f"voters: {', '.join(self.voters)}; {self.quorum} have to agree")
        return messages.BudgetStatus(
            request.id, self._owner.name, voting_text, self.ledger.version, self.ledger.permits, tuple(lines)
        )

    # Joining as a voter

    async def _join(self) -> None:
        while not await self._try_to_join():
            await asyncio.sleep(JOIN_RETRY_INTERVAL_S)
        self.is_voting, self.not_voting_reason = True, ""
        log.info("agent votes from now on", agent=self._owner.name, remembers=self._has_stored_state)

    async def _try_to_join(self) -> bool:
        """Ask the other voters whether this agent may vote, and recover its votes through them if they are lost.

        Returns:
            Whether this agent votes from now on.
        """
        other_voters = [name for name in self.voters if name != self._owner.name]
        peer_links = {peer.name: peer for peer in self._owner.peers}
        make_message = lambda request_id: messages.Recall(request_id, self._owner.name)  # noqa: E731
        requests = [
            peer_links[name].request(make_message, VOTE_TIMEOUT_S) for name in other_voters if name in peer_links
        ]
        answers = [each for each in await gather_answers(requests) if isinstance(each, messages.Recalled)]
        other_votes = [(Ballot(*each.promised), each.empty) for each in answers]
        decision, self.not_voting_reason = decide_join(
            len(self.voters), self._has_stored_state, self._acceptor.promised, other_votes
        )
        if decision is not JoinDecision.RECOVER:
            return decision is JoinDecision.VOTE
        # The recovered value is written back to the voters that it was read from, under a new ballot, which
        # stops any round in progress.
        paxos_round = await self._proposer.run_round(
            lambda value: value, other_voters, recovery_read_count(len(self.voters))
        )
        if paxos_round.phase is not Phase.CHOSEN:
            return False
        try:
            self._owner.store.save_vote(paxos_round.ballot, paxos_round.ballot, paxos_round.value)
        except StoreError:
            return False
        self._acceptor, self._has_stored_state = (
            Acceptor(paxos_round.ballot, paxos_round.ballot, paxos_round.value),
            True,
        )
        self.record_ledger(paxos_round.value)
        return True
