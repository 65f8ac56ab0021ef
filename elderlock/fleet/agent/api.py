"""The API of an agent: who is on a connection, what that one may request, and the answer.

It decides nothing: drains are decided in `fleet.drain_intents`, permits in `fleet.consensus.member`, plans in
`fleet.plans.coordinator`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Protocol

import msgspec

from elderlock import logs
from elderlock.control.attach import build_version
from elderlock.control.records import OfferResult, Record
from elderlock.control.request_metrics import MAXIMUM_ACCOUNTS
from elderlock.control.transport import Connection, ConnectionLimits, FrameServer
from elderlock.fleet import messages as f
from elderlock.fleet.agent.clock import now_ms, unix_ms
from elderlock.fleet.agent.group_view import GroupView, ObservedAgent
from elderlock.fleet.agent.worker_leasing import WorkerLeasing
from elderlock.fleet.agent_store import Store, StoreError
from elderlock.fleet.auth import MAY, Identity, Tokens
from elderlock.fleet.drain_intents import decide

CONNECTIONS = 256
MOST_PENDING = 64  # requests of one connection in work at once
MOST_WITHIN = 5.0  # s that a command may ask limiters to be waited for

log = logs.get_logger(__name__)


class ServedAgent(ObservedAgent, Protocol):
    """The agent, as its API needs it."""

    tokens: Tokens
    store: Store
    store_error: str
    started_at_ms: float
    group_view: GroupView
    worker_leasing: WorkerLeasing

    def store_failed(self, error: StoreError) -> None: ...
    def commit_records(self, records: list[Record], line: f.AuditLine, ours: bool = True) -> int: ...
    async def deliver_records(self, within: float) -> None: ...
    def reach(self, records: list[Record]) -> list[f.Reach]: ...
    async def progressed(self, progress: f.Progress) -> f.Progressed: ...
    def audit(self, who: str, role: str, what: str, outcome: str) -> None: ...
    def start_task(self, work: object) -> None: ...


class Session:
    """Who is on a connection, and how many of its requests are in work."""

    def __init__(self) -> None:
        self.identity: Identity | None = None
        self.caller = ""
        self.pending = 0


class Api:
    """The API of one agent: one session a connection, one answer a request."""

    def __init__(self, agent: ServedAgent) -> None:
        self._agent = agent
        bounds = ConnectionLimits(f.LONGEST, f.LONGEST_HELLO, CONNECTIONS)
        self.server: FrameServer[Session] = FrameServer(bounds, Session, self._handle, self._broken)

    @staticmethod
    def _broken(text: str) -> bytes:
        return f.encode(f.Refused("bad-message", text))

    def _handle(self, connection: Connection[Session], body: bytes) -> None:
        visitor = connection.session
        try:
            message = f.to_agent(body)
        except msgspec.DecodeError as error:
            return connection.send(f.encode(f.Refused("unknown-message", str(error))), last=True)
        if isinstance(message, f.Hello):
            answer = self._hello(visitor, message)
            if isinstance(answer, f.Welcome):
                connection.on_identified()
            return connection.send(f.encode(answer), last=isinstance(answer, f.Refused))
        if visitor.identity is None:
            text = "a connection begins with hello"
            return connection.send(f.encode(f.Refused("bad-message", text, message.id)), last=True)
        if visitor.pending >= MOST_PENDING:
            text = f"{MOST_PENDING} requests are in work on this connection"
            return connection.send(f.encode(f.Refused("too-many", text, message.id)))
        visitor.pending += 1
        self._agent.start_task(self._serve(connection, visitor, visitor.identity, message))

    def _hello(self, visitor: Session, hello: f.Hello) -> f.Message:
        if f.VERSION not in hello.versions:
            told = ", ".join(map(str, hello.versions)) or "none"
            return f.Refused("version", f"version {told} is not known; this agent speaks {f.VERSION}")
        identity = self._agent.tokens.who(hello.token)
        if identity is None:
            log.warning("connection refused: wrong token", agent=self._agent.name)
            return f.Refused("token", "the token is not known here")
        visitor.identity, visitor.caller = identity, hello.caller
        return f.Welcome(f.VERSION, self._agent.name, identity.name, identity.role, self._agent.epoch())

    async def _serve(
        self, connection: Connection[Session], visitor: Session, who: Identity, message: f.ToAgent
    ) -> None:
        try:
            answer = await self._answer(who, message)
        except StoreError as error:
            answer = f.Refused("not-kept", f"nothing was done, it could not be kept: {error}", _id(message))
        finally:
            visitor.pending -= 1
        connection.send(f.encode(answer))

    async def _answer(self, who: Identity, message: f.ToAgent) -> f.Message:
        kind = str(type(message).__struct_config__.tag)
        if kind not in MAY[who.role]:
            what = f"refused: {kind}"
            if kind in MAY["operator"]:
                line = f.AuditLine(unix_ms(), who.name, who.role, what, 0, "nothing was done")
                self._agent.store.keep([], line)
            return f.Refused("role", f"{who.name} is a {who.role} and may not {kind}", _id(message))
        match message:
            case f.Show():
                return await self._show(message)
            case f.SubmitIntents():
                return await self._intend(who, message)
            case f.Progress():
                return await self._agent.progressed(message)
            case f.Order():
                return self._order(who, message)
            case f.Exchange():
                return self._agent.group_view.answer_exchange(message)
            case f.LeaseWorker():
                return await self._lend(who, message)
            case f.RequestPermits() | f.Prepare() | f.Accept() | f.Recall() | f.ShowBudget():
                return await self._agreed(who, message)
            case f.BeginPlan() | f.SteerPlan() | f.ListPlans():
                return await self._planned(who, message)
            case f.Audit():
                lines = self._agent.store.audit(max(0, min(message.most, 1000)))
                return f.Audited(message.id, self._agent.name, lines)
            case _:
                return f.Refused("bad-message", "hello comes once")

    async def _agreed(
        self, who: Identity, message: f.RequestPermits | f.Prepare | f.Accept | f.Recall | f.ShowBudget
    ) -> f.Message:
        keeper = self._agent.consensus_member
        if keeper is None:
            return f.Refused("no-budget", f"{self._agent.name}'s group file has no [budget]", message.id)
        match message:
            case f.RequestPermits():
                granted = await keeper.ask(message, who.name, unix_ms())
                targets = ", ".join(f"{kind} {target}" for kind, target in message.targets)
                text = f"{granted.outcome}: {'; '.join(granted.reasons)}" if granted.reasons else granted.outcome
                line = f.AuditLine(unix_ms(), who.name, who.role, f"asked to take out {targets}", 0, text[:400])
                self._agent.store.keep([], line)
                return granted
            case f.Prepare():
                return keeper.prepared(message)
            case f.Accept():
                return keeper.accepted(message)
            case f.Recall():
                return keeper.recalled(message)
            case f.ShowBudget():
                return keeper.stood(message)

    async def _planned(self, who: Identity, message: f.BeginPlan | f.SteerPlan | f.ListPlans) -> f.Message:
        conductor, audited = self._agent.plan_coordinator, self._agent.audit
        if conductor is None:
            return f.Refused("no-budget", f"{self._agent.name}'s group file has no [budget]", message.id)
        match message:
            case f.BeginPlan():
                begun = await conductor.begin(message, who.name, unix_ms())
                if not message.dry:
                    what = f"begins {message.kind} {message.origin[:8]} {message.version}".rstrip()
                    audited(who.name, who.role, what, "; ".join((begun.outcome, *begun.reasons))[:400])
                return begun
            case f.SteerPlan():
                steered = await conductor.steer(message, who.name)
                outcome = "; ".join((steered.outcome, *steered.reasons))[:400]
                audited(who.name, who.role, f"{message.action} {message.plan[:8]} {message.reason}".rstrip(), outcome)
                return steered
            case f.ListPlans():
                return conductor.planned(message)

    async def _show(self, show: f.Show) -> f.Message:
        agent = self._agent
        accounts = max(0, min(show.accounts, MAXIMUM_ACCOUNTS))
        within = max(0.0, min(show.within_ms / 1000.0, MOST_WITHIN))
        await asyncio.gather(*(c.link.look(within, accounts) for c in self._agent.limiters.values()))
        return f.Shown(
            show.id,
            agent.name,
            build_version(),
            agent.epoch(),
            now_ms() - agent.started_at_ms,
            agent.store_error,
            tuple(c.status() for c in agent.limiters.values()),
            tuple(agent.records),
            agent.group_view.membership.view(now_ms()),
        )

    async def _intend(self, who: Identity, intend: f.SubmitIntents) -> f.Message:
        self._agent.merge_records(intend.known, f"{who.name}'s command")
        now = unix_ms()
        decisions = [self._decide(wish, intend, who.name, now) for wish in intend.wishes]
        made = [d.record for d in decisions if d.outcome == "made" and d.record is not None]
        if any(self._agent.records.check(record) is OfferResult.OLDER for record in made):
            return f.Refused("not-kept", f"{len(self._agent.records)} records are held already", intend.id)
        news = [record for record in made if self._agent.records.check(record) is OfferResult.ACCEPTED]
        number = 0
        if news:
            what = "; ".join(f"{'drain' if r.is_drained else 'undrain'} {r.kind} {r.target}" for r in news)
            if self._agent.consensus_member is not None and intend.force and any(record.is_drained for record in news):
                what = f"forced without a permit: {what}"
            generation = max(record.generation for record in news)
            number = self._agent.commit_records(
                news, f.AuditLine(now, who.name, who.role, what, generation, "under way")
            )
        concerned = [d.record for d in decisions if d.record is not None and d.outcome in ("made", "joined")]
        await self._agent.deliver_records(max(0.0, min(intend.within_ms / 1000.0, MOST_WITHIN)))
        reach = self._agent.reach(concerned)
        if number:
            try:
                self._agent.store.reached(number, _reached(reach))
            except StoreError as error:
                self._agent.store_failed(error)
        return f.IntentsAnswer(intend.id, self._agent.name, tuple(decisions), tuple(reach))

    def _decide(self, wish: f.DrainIntent, intend: f.SubmitIntents, by: str, now: float) -> f.Decision:
        decision = decide(self._agent.records, wish, intend, by, now)
        if self._agent.consensus_member is None or intend.force or not wish.drained or decision.outcome != "made":
            return decision
        if decision.record is not None and self._agent.records.check(decision.record) is OfferResult.KNOWN:
            return decision  # asked again for what was made
        why = self._agent.consensus_member.allows(
            intend.permits, (wish.kind, wish.target), intend.origin, intend.generation
        )
        return f.Decision("refused", None, why) if why else decision

    def _order(self, who: Identity, order: f.Order) -> f.Message:
        charge = self._agent.limiters.get(order.limiter)
        if charge is None:
            return f.Refused("unknown-limiter", f"{self._agent.name} has no limiter {order.limiter}", order.id)
        line = f.AuditLine(unix_ms(), who.name, who.role, f"{order.action} {order.limiter}", 0, "")
        number = self._agent.store.keep([], line)
        before = charge.supervisor.phase
        charge.want(order.action == "start")
        after = charge.supervisor.phase
        text = f"{before}, now {after}" if before != after else f"{after} already"
        self._agent.store.reached(number, text)
        return f.Ordered(order.id, self._agent.name, after, text)

    async def _lend(self, who: Identity, lend: f.LeaseWorker) -> f.Message:
        lending = self._agent.worker_leasing
        if lending.is_new_job(lend.job):
            if refused := lending.refusal():
                return f.Refused("not-lent", refused, lend.id)
            self._agent.audit(who.name, who.role, f"lent a worker: {lend.job}", "")
        taken, first, frames, ended = await lending.exchange_frames(
            lend.job, lend.first, lend.frames, lend.have, lend.end
        )
        return f.WorkerLeased(lend.id, self._agent.name, taken, first, frames, ended)


def _id(message: f.ToAgent) -> int:
    return 0 if isinstance(message, f.Hello) else message.id


def _reached(reach: Iterable[f.Reach]) -> str:
    return ", ".join(f"{r.limiter}: {r.state}" for r in reach) or "no limiter concerned"
