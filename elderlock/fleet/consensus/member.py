"""An agent's part in what its group agrees on: votes, proposes changes, answers who asks for permits, and takes back
what nobody uses. What is decided stands in `elderlock.rollout`; this carries messages and keeps the store.

Order of a vote: decided, kept in the store, answered. An agent that has just begun votes only once enough others have
said that they did not see it promise more than it remembers; one that has lost its votes (a store that is new, or an
old copy) reads the register through the others first. Before that it answers that it does not vote.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import NamedTuple, Protocol

from elderlock import logs
from elderlock.control.records import Key, Record, Records
from elderlock.control.request_client import NoAnswerError, NotSentError
from elderlock.fleet import messages as f
from elderlock.fleet.agent_store import Store, StoreError
from elderlock.fleet.group.peer_link import PeerLink
from elderlock.rollout import permit_ledger as ledgers
from elderlock.rollout.caspaxos import (
    Acceptor,
    Ballot,
    JoinDecision,
    Phase,
    Round,
    Vote,
    decide_join,
    recovery_read_count,
)
from elderlock.rollout.disruption_budget import DisruptionBudget, Inventory, budget_status_lines
from elderlock.rollout.permit_ledger import Ledger, LedgerError, Permit, PermitRequest

VOTE_WITHIN = 0.5  # s that one voter has to answer
CHANGE_WITHIN = 2.0  # s that a change is tried for
READ_WITHIN = 1.0  # s that a read is tried for
READ_ALONE = "it was read alone"
AGAIN = (0.004, 0.04)  # s between tries, drawn: two proposers must not meet again and again
JOIN_EVERY = 0.2  # s between tries to be let to vote
TEND_EVERY = 1.0  # s between looks at permits that may be given back
MOST_ASKED = 200  # records that are asked about in one message
UNUSED_AFTER = 10.0  # s after which a permit without a record is taken back
TEND_APART = 2.0  # s that an agent leaves a permit to each that stands before it in the group's file

log = logs.get_logger(__name__)


class Owner(Protocol):
    """The agent, as `ConsensusMember` needs it."""

    name: str
    store: Store
    records: Records
    peers: list[PeerLink]

    def epoch(self) -> int: ...
    def inventory(self) -> Inventory: ...
    def commit_record(self, record: Record, what: str) -> None:
        """Keeps the record and brings it to all. Raises `StoreError`."""

    async def progressed(self, progress: f.Progress) -> f.Progressed: ...


class ChangeResult(NamedTuple):
    """What became of a change. `chosen`: a majority holds it; else `reasons` why it was declined, or none where too few
    voters answered."""

    chosen: bool
    ledger: Ledger
    reasons: tuple[str, ...] = ()


Change = Callable[[Ledger], "Ledger | list[str]"]


class ConsensusMember:
    """Invariant: `ledger` is one that was chosen, and its version never goes back."""

    def __init__(
        self, owner: Owner, budget: DisruptionBudget, voters: Sequence[str], rng: random.Random, rank: int = 0
    ) -> None:
        """`rank`: how many agents stand before this one. Raises `StoreError`."""
        self._rank = rank
        self._owner, self.budget, self.voters, self._rng = owner, budget, tuple(voters), rng
        self.ledger = Ledger()
        held = owner.store.vote()
        self._acceptor = Acceptor(*held) if held is not None else Acceptor()
        self._remembers = held is not None
        self.is_voting = owner.name in self.voters and len(self.voters) == 1
        self.why = "" if self.is_voting else "it has just begun"
        self._seen: dict[str, Ballot] = {}  # the greatest that each other was seen to promise
        self._number = self._acceptor.promised.number
        self._turn = asyncio.Lock()
        self._unused: dict[Permit, float] = {}
        self._over: dict[Permit, float] = {}  # since when a permit's target has a newer record
        self._told: tuple[Ledger, bytes] = (self.ledger, b"")
        self._read_last = b""
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        if self._owner.name in self.voters and not self.is_voting:
            self._tasks.append(loop.create_task(self._join()))
        self._tasks.append(loop.create_task(self._tend()))

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    def learn(self, ledger: Ledger) -> None:
        """One that was chosen, from wherever."""
        if ledger.version > self.ledger.version:
            self.ledger = ledger

    def record_ledger(self, value: bytes) -> None:
        if value == self._read_last:
            return
        try:
            self.learn(ledgers.decode_ledger(value))
            self._read_last = value
        except LedgerError as error:
            log.error("another agent's ledger is not understood", error=str(error))

    def encoded_ledger(self) -> bytes:
        """The newest ledger that is known to be chosen, as others are told of it."""
        if self._told[0] is not self.ledger:
            self._told = (self.ledger, ledgers.encode_ledger(self.ledger))
        return self._told[1] if self.ledger.version else b""

    def away(self) -> str:
        return f"{self.quorum} of {', '.join(self.voters)} have to agree, and too few answer"

    # Votes

    def _vote(self, decide: Callable[[Acceptor], Vote]) -> tuple[bool, Vote]:
        """Kept before it is told; one that cannot be kept is not given."""
        if not self.is_voting:
            return False, Vote(False, self._acceptor.promised)
        trial = Acceptor(*self._acceptor.durable_state())
        vote = decide(trial)
        if vote.ok:
            try:
                self._owner.store.keep_vote(*trial.durable_state())
            except StoreError as error:
                log.error("a vote could not be kept", error=str(error))
                return False, Vote(False, self._acceptor.promised)
            self._acceptor, self._remembers = trial, True
        return True, vote

    def prepared(self, asked: f.Prepare) -> f.Voted:
        ballot = Ballot(asked.number, asked.by)
        return self._voted(asked.id, *self._vote(lambda acceptor: acceptor.prepare(ballot)))

    def accepted(self, asked: f.Accept) -> f.Voted:
        ballot = Ballot(asked.number, asked.by)
        return self._voted(asked.id, *self._vote(lambda acceptor: acceptor.accept(ballot, asked.value)))

    def _voted(self, id: int, voting: bool, vote: Vote) -> f.Voted:
        self._number = max(self._number, vote.promised.number)
        return f.Voted(id, self._owner.name, voting, vote.ok, vote.promised, vote.accepted, vote.value)

    def recalled(self, asked: f.Recall) -> f.Recalled:
        seen = self._seen.get(asked.agent, Ballot())
        return f.Recalled(asked.id, self._owner.name, seen, self._acceptor.accepted == Ballot())

    # Changes

    def _ballot(self) -> Ballot:
        self._number += 1
        return Ballot(self._number, f"{self._owner.epoch():09d}/{self._owner.name}")

    async def _answers(
        self,
        round: Round,
        make: Callable[[int], f.Message],
        own: Callable[[], f.Voted] | None,
        take: Callable[[str, Vote], None],
    ) -> None:
        """Asks all voters of the round at once, till its phase is over."""
        phase = round.phase
        asked: dict[asyncio.Task[f.FromAgent], str] = {}
        loop = asyncio.get_running_loop()
        ways = {peer.name: peer for peer in self._owner.peers}
        for name in round.voters:
            if name == self._owner.name:
                if own is not None:
                    self._taken(round, name, own(), take)
            elif name in ways:
                asked[loop.create_task(ways[name].ask(make, VOTE_WITHIN))] = name
            else:
                round.on_no_answer(name)
        pending = set(asked)
        try:
            while pending and round.phase is phase:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    error = task.exception()
                    if isinstance(error, NotSentError | NoAnswerError):
                        round.on_no_answer(asked[task])
                    elif error is not None:
                        raise error
                    else:
                        self._taken(round, asked[task], task.result(), take)
        finally:
            for task in pending:
                task.cancel()

    def _taken(self, round: Round, name: str, answer: f.FromAgent, take: Callable[[str, Vote], None]) -> None:
        if not isinstance(answer, f.Voted) or not answer.voting:
            return round.on_no_answer(name)
        vote = Vote(answer.ok, Ballot(*answer.promised), Ballot(*answer.accepted), answer.value)
        if vote.ok:
            self._seen[name] = max(self._seen.get(name, Ballot()), vote.promised)
        take(name, vote)

    async def _round(self, change: Callable[[bytes], bytes | None], voters: Sequence[str], quorum: int) -> Round:
        round = Round(self._ballot(), voters, change, quorum)
        number, by = round.ballot
        prepare = lambda id: f.Prepare(id, number, by)  # noqa: E731
        await self._answers(round, prepare, lambda: self.prepared(f.Prepare(0, number, by)), round.on_promise)
        if round.phase is Phase.ACCEPT:
            value = round.value
            accept = lambda id: f.Accept(id, number, by, value)  # noqa: E731
            own = lambda: self.accepted(f.Accept(0, number, by, value))  # noqa: E731
            await self._answers(round, accept, own, round.on_acceptance)
        self._number = max(self._number, round.greatest_ballot.number)
        return round

    async def change(self, change: Change, within: float = CHANGE_WITHIN) -> ChangeResult:
        """`change` may be called several times and has to know its own work again. Raises `LedgerError`."""
        ends = time.monotonic() + within
        declined: list[str] = []

        def changed(value: bytes) -> bytes | None:
            made = change(ledgers.decode_ledger(value))
            if isinstance(made, list):
                declined[:] = made
                return None
            return ledgers.encode_ledger(made)

        async with self._turn:
            while True:
                round = await self._round(changed, self.voters, self.quorum)
                if round.phase is Phase.CHOSEN:
                    self._chosen(round.value)
                    return ChangeResult(True, self.ledger)
                if round.phase is Phase.DECLINED:
                    read = ledgers.decode_ledger(round.value)
                    if read.version > self.ledger.version:
                        # accepted, perhaps by a proposer that heard too few answers or died, and known to be chosen by
                        # nobody: a plan turned by it would stand still for good, as all who saw it would say that it is
                        # so already. Written once more as it is, it is chosen, and told.
                        again = await self._round(lambda value: value, self.voters, self.quorum)
                        if again.phase is Phase.CHOSEN:
                            self._chosen(again.value)
                    return ChangeResult(False, read, tuple(declined))
                if time.monotonic() >= ends:
                    return ChangeResult(False, self.ledger)
                await asyncio.sleep(self._rng.uniform(*AGAIN))

    def _chosen(self, value: bytes) -> None:
        self.learn(ledgers.decode_ledger(value))
        for peer in self._owner.peers:
            peer.kick()

    async def read(self) -> Ledger | None:
        """The ledger through a majority: at least as new as any that was chosen before this was called. None where too
        few answer. What is read may be on its way still, so it is good to refuse by, not to act on alone. Raises
        `LedgerError`."""
        made = await self.change(lambda ledger: [READ_ALONE], READ_WITHIN)
        return made.ledger if made.reasons else None

    async def ask(self, asked: f.RequestPermits, by: str, now: float) -> f.PermitsAnswer:
        """For permits; `now` Unix ms."""
        inventory = self._owner.inventory()
        generation = max(asked.generation, self._owner.records.greatest_generation())
        name = self._owner.name
        try:
            request = PermitRequest(asked.targets, asked.origin, by, asked.reason, generation, now)
            made = await self.change(lambda ledger: ledgers.grant_permits(ledger, request, self.budget, inventory))
        except LedgerError as error:
            return f.PermitsAnswer(asked.id, name, "refused", (), (str(error),))
        if made.chosen:
            return f.PermitsAnswer(asked.id, name, "granted", made.ledger.permits_of_origin(asked.origin))
        if made.reasons:
            outcome = "away" if inventory.lacks_knowledge_of(asked.targets) else "refused"
            return f.PermitsAnswer(asked.id, name, outcome, (), made.reasons)  # type: ignore[arg-type]
        return f.PermitsAnswer(asked.id, name, "away", (), (self.away(),))

    def allows(self, permits: Sequence[Permit], key: Key, origin: str, generation: int) -> str:
        """Why a drain may not be made; empty where a permit that is in force, as far as is known here, allows it."""
        for permit in permits:
            if permit.key == key and permit.origin == origin and permit.generation == generation:
                return "" if ledgers.is_permit_valid(self.ledger, permit) else "its permit was taken back"
        return "no permit: the group has a budget of what may be out (--force goes without)"

    def stood(self, asked: f.ShowBudget) -> f.BudgetStatus:
        voting = "yes" if self.is_voting else self.why if self._owner.name in self.voters else "it is no voter"
        inventory = self._owner.inventory()
        lines = budget_status_lines(self.budget, inventory, self.ledger.permit_holders())
        lines += [inventory.insufficient_reason] if inventory.insufficient_reason else []
        lines.append(f"voters: {', '.join(self.voters)}; {self.quorum} have to agree")
        return f.BudgetStatus(
            asked.id, self._owner.name, voting, self.ledger.version, self.ledger.permits, tuple(lines)
        )

    # To be let to vote

    async def _join(self) -> None:
        while not await self._joined():
            await asyncio.sleep(JOIN_EVERY)
        self.is_voting, self.why = True, ""
        log.info("votes", agent=self._owner.name, remembers=self._remembers)

    async def _joined(self) -> bool:
        others = [name for name in self.voters if name != self._owner.name]
        ways = {peer.name: peer for peer in self._owner.peers}
        make = lambda id: f.Recall(id, self._owner.name)  # noqa: E731
        asks = [ways[name].ask(make, VOTE_WITHIN) for name in others if name in ways]
        answers = [each for each in await answers_of(asks) if isinstance(each, f.Recalled)]
        told = [(Ballot(*each.seen), each.empty) for each in answers]
        do, self.why = decide_join(len(self.voters), self._remembers, self._acceptor.promised, told)
        if do is not JoinDecision.RECOVER:
            return do is JoinDecision.VOTE
        # written back to those that it is read through, under a ballot that stops whatever is under way
        round = await self._round(lambda value: value, others, recovery_read_count(len(self.voters)))
        if round.phase is not Phase.CHOSEN:
            return False
        try:
            self._owner.store.keep_vote(round.ballot, round.ballot, round.value)
        except StoreError:
            return False
        self._acceptor, self._remembers = Acceptor(round.ballot, round.ballot, round.value), True
        self.record_ledger(round.value)
        return True

    # Permits that may be given back

    async def _tend(self) -> None:
        while True:
            await asyncio.sleep(TEND_EVERY * self._rng.uniform(0.5, 1.0))
            # one that somebody else gave back is forgotten
            alive = set(self.ledger.permits)
            self._unused = {each: since for each, since in self._unused.items() if each in alive}
            self._over = {each: since for each, since in self._over.items() if each in alive}
            try:
                await self._look()
            except (StoreError, LedgerError) as error:
                log.error("a permit could not be given back", error=str(error))

    async def _look(self) -> None:
        """One agent looks after a permit, the next one only where the first does not: else a large group would ask
        itself about each permit as often as it has agents."""
        now, apart = time.monotonic(), TEND_APART * self._rank
        of_plans = tuple(f"{plan.id}/" for plan in self.ledger.active_plans())
        over: dict[Permit, Record] = {}
        for permit in self.ledger.permits:
            record = self._owner.records.get(*permit.key)
            if record is None or record.generation < permit.generation:
                # a permit of an active plan waits for the plan's leader; any other is unused as its command has ended
                if not permit.origin.startswith(of_plans or ("/",)):
                    since = self._unused.setdefault(permit, now)
                    if now - since > UNUSED_AFTER + apart:
                        await self._take_back(permit)
                continue
            self._unused.pop(permit, None)
            undrained = not record.is_drained and record.generation > permit.generation
            if undrained and now - self._over.setdefault(permit, now) >= apart:
                over[permit] = record
        if over:
            fenced = await self._fenced(list(over.values()))
            if fenced:
                await self.change(
                    lambda ledger: ledgers.release_fenced_permits(ledger, fenced) or ["it is given back already"]
                )

    async def _take_back(self, permit: Permit) -> None:
        """Whoever asked for it died before it was used. A newer record that says undrained stops it for good, also
        where it is used this very moment."""

        def above(ledger: Ledger) -> Ledger | list[str]:
            if ledger.find_permit(permit.key) != permit:
                return ["it was given back already"]
            return ledgers.with_new_generation(ledger, self._owner.records.greatest_generation())

        made = await self.change(above)
        if made.chosen:
            record = Record(
                permit.kind,
                permit.target,
                False,
                made.ledger.generation,
                f"{permit.origin}/back",
                self._owner.name,
                time.time() * 1000.0,
                "its permit was never used",
            )
            self._owner.commit_record(
                record, f"took back {permit.kind} {permit.target}: its permit of {permit.requested_by} was not used"
            )
            self._unused.pop(permit, None)

    async def _fenced(self, records: Sequence[Record]) -> dict[Key, int]:
        """Those that all limiters hold, or begin with: none can act on an older one any more. Others' agents that were
        given up are not asked."""
        fenced = {record.key: record.generation for record in records}
        gone = dict(self.ledger.given_up)
        for some in (records[n : n + MOST_ASKED] for n in range(0, len(records), MOST_ASKED)):
            targets = tuple((record.kind, record.target) for record in some)
            make = partial(f.Progress, targets=targets)
            answers: list[f.FromAgent | None] = [await self._owner.progressed(f.Progress(0, targets))]
            asked = [peer for peer in self._owner.peers if peer.name not in gone]
            answers += await answers_of([peer.ask(make, 2 * VOTE_WITHIN) for peer in asked])
            for answer in answers:
                if not isinstance(answer, f.Progressed):
                    return {}
                held = {each.key: each.order for each in answer.records}
                known = ("reached", "at-start")
                late = {(reach.kind, reach.target) for reach in answer.reach if reach.state not in known}
                for record in some:
                    if held.get(record.key, (0, "")) < record.order or record.key in late:
                        fenced.pop(record.key, None)
        return fenced


async def answers_of(asks: Sequence[Awaitable[f.FromAgent]]) -> list[f.FromAgent | None]:
    """None for those that did not answer."""
    found = await asyncio.gather(*asks, return_exceptions=True)
    answers: list[f.FromAgent | None] = []
    for each in found:
        if isinstance(each, BaseException):
            if not isinstance(each, NotSentError | NoAnswerError):
                raise each
            answers.append(None)
        else:
            answers.append(each)
    return answers
