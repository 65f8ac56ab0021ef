"""The API of an agent: identifies the caller, checks what it may request, and answers.

The decisions are made elsewhere: on drains in `fleet.drain_intents`, on permits in `fleet.consensus.member`, on plans
in `fleet.plans.coordinator`.
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
from elderlock.fleet import messages
from elderlock.fleet.agent.clock import now_ms, unix_ms
from elderlock.fleet.agent.group_view import GroupView, ObservedAgent
from elderlock.fleet.agent.worker_leasing import WorkerLeasing
from elderlock.fleet.agent_store import Store, StoreError
from elderlock.fleet.auth import ALLOWED_MESSAGES, Identity, Tokens
from elderlock.fleet.drain_intents import decide_intent

MAXIMUM_CONNECTIONS = 256
MAXIMUM_PENDING_REQUESTS = 64  # of one connection
MAXIMUM_WAIT_S = 5.0  # for the limiters' answers, whatever the request says

log = logs.get_logger(__name__)


class ServedAgent(ObservedAgent, Protocol):
    """What the API needs of its agent."""

    tokens: Tokens
    store: Store
    store_error: str
    started_at_ms: float
    group_view: GroupView
    worker_leasing: WorkerLeasing

    def store_failed(self, error: StoreError) -> None:
        """Note and log a failure of the store."""

    def commit_records(self, records: list[Record], line: messages.AuditLine, broadcast: bool = True) -> int:
        """Store records with their audit line, put them in force, and return the audit line's number.

        Raises:
            StoreError: The records cannot be stored; nothing was done.
        """

    async def deliver_records(self, timeout_s: float) -> None:
        """Send the records to all limiters, and wait for their answers at most `timeout_s`."""

    def reach(self, records: list[Record]) -> list[messages.Reach]:
        """Return how far each record has come at each limiter that it concerns."""

    async def report_progress(self, progress: messages.Progress) -> messages.Progressed:
        """Report how far the records of some targets have come at this agent's limiters."""

    def audit(self, who: str, role: str, what: str, outcome: str) -> None:
        """Add a line to the audit log.

        Raises:
            StoreError: The line cannot be stored.
        """

    def start_task(self, work: object) -> None:
        """Run a coroutine until it ends or the agent is closed."""


class Session:
    """The state of one connection.

    Attributes:
        identity: Who the caller is; None before hello.
        caller: The calling agent's name; empty for a command.
        pending: How many requests are not answered yet.
    """

    def __init__(self) -> None:
        """Start before hello."""
        self.identity: Identity | None = None
        self.caller = ""
        self.pending = 0


class Api:
    """The API of one agent; each connection has a session, and each request has one answer.

    Attributes:
        server: The server that the connections come in at.
    """

    def __init__(self, agent: ServedAgent) -> None:
        """Prepare the server; the agent makes it listen."""
        self._agent = agent
        limits = ConnectionLimits(messages.LONGEST, messages.LONGEST_HELLO, MAXIMUM_CONNECTIONS)
        self.server: FrameServer[Session] = FrameServer(limits, Session, self._handle, self._malformed_answer)

    @staticmethod
    def _malformed_answer(text: str) -> bytes:
        return messages.encode(messages.Refused("bad-message", text))

    def _handle(self, connection: Connection[Session], body: bytes) -> None:
        session = connection.session
        try:
            message = messages.decode_request(body)
        except msgspec.DecodeError as error:
            return connection.send(messages.encode(messages.Refused("unknown-message", str(error))), last=True)
        if isinstance(message, messages.Hello):
            answer = self._hello(session, message)
            if isinstance(answer, messages.Welcome):
                connection.on_identified()
            return connection.send(messages.encode(answer), last=isinstance(answer, messages.Refused))
        if session.identity is None:
            text = "the first message of a connection has to be hello"
            return connection.send(messages.encode(messages.Refused("bad-message", text, message.id)), last=True)
        if session.pending >= MAXIMUM_PENDING_REQUESTS:
            text = f"{MAXIMUM_PENDING_REQUESTS} requests are pending on this connection"
            return connection.send(messages.encode(messages.Refused("too-many", text, message.id)))
        session.pending += 1
        self._agent.start_task(self._serve(connection, session, session.identity, message))

    def _hello(self, session: Session, hello: messages.Hello) -> messages.Message:
        if messages.VERSION not in hello.versions:
            offered_versions = ", ".join(map(str, hello.versions)) or "none"
            return messages.Refused(
                "version", f"version {offered_versions} is not supported; this agent supports {messages.VERSION}"
            )
        identity = self._agent.tokens.identify(hello.token)
        if identity is None:
            log.warning("connection refused: wrong token", agent=self._agent.name)
            return messages.Refused("token", "the token is unknown")
        session.identity, session.caller = identity, hello.caller
        return messages.Welcome(messages.VERSION, self._agent.name, identity.name, identity.role, self._agent.epoch())

    async def _serve(
        self, connection: Connection[Session], session: Session, identity: Identity, message: messages.ToAgent
    ) -> None:
        try:
            answer = await self._answer(identity, message)
        except StoreError as error:
            answer = messages.Refused(
                "not-kept", f"nothing was done, as it could not be stored: {error}", _request_id(message)
            )
        finally:
            session.pending -= 1
        connection.send(messages.encode(answer))

    async def _answer(self, identity: Identity, message: messages.ToAgent) -> messages.Message:
        kind = str(type(message).__struct_config__.tag)
        if kind not in ALLOWED_MESSAGES[identity.role]:
            what = f"refused: {kind}"
            if kind in ALLOWED_MESSAGES["operator"]:
                line = messages.AuditLine(unix_ms(), identity.name, identity.role, what, 0, "nothing was done")
                self._agent.store.save_records([], line)
            return messages.Refused(
                "role", f"{identity.name} is a {identity.role} and may not {kind}", _request_id(message)
            )
        match message:
            case messages.Show():
                return await self._show(message)
            case messages.SubmitIntents():
                return await self._submit_intents(identity, message)
            case messages.Progress():
                return await self._agent.report_progress(message)
            case messages.Order():
                return self._run_order(identity, message)
            case messages.Exchange():
                return self._agent.group_view.answer_exchange(message)
            case messages.LeaseWorker():
                return await self._lease_worker(identity, message)
            case (
                messages.RequestPermits()
                | messages.Prepare()
                | messages.Accept()
                | messages.Recall()
                | messages.ShowBudget()
            ):
                return await self._answer_consensus(identity, message)
            case messages.BeginPlan() | messages.SteerPlan() | messages.ListPlans():
                return await self._answer_plans(identity, message)
            case messages.Audit():
                lines = self._agent.store.audit(max(0, min(message.maximum_lines, 1000)))
                return messages.Audited(message.id, self._agent.name, lines)
            case _:
                return messages.Refused("bad-message", "hello may be sent only once")

    async def _answer_consensus(
        self,
        identity: Identity,
        message: messages.RequestPermits | messages.Prepare | messages.Accept | messages.Recall | messages.ShowBudget,
    ) -> messages.Message:
        consensus = self._agent.consensus_member
        if consensus is None:
            return messages.Refused("no-budget", f"{self._agent.name}'s group file has no [budget]", message.id)
        match message:
            case messages.RequestPermits():
                permits_answer = await consensus.request_permits(message, identity.name, unix_ms())
                targets = ", ".join(f"{kind} {target}" for kind, target in message.targets)
                text = (
                    f"{permits_answer.outcome}: {'; '.join(permits_answer.reasons)}"
                    if permits_answer.reasons
                    else permits_answer.outcome
                )
                line = messages.AuditLine(
                    unix_ms(), identity.name, identity.role, f"requested permits for {targets}", 0, text[:400]
                )
                self._agent.store.save_records([], line)
                return permits_answer
            case messages.Prepare():
                return consensus.on_prepare(message)
            case messages.Accept():
                return consensus.on_accept(message)
            case messages.Recall():
                return consensus.on_recall(message)
            case messages.ShowBudget():
                return consensus.budget_status(message)

    async def _answer_plans(
        self, identity: Identity, message: messages.BeginPlan | messages.SteerPlan | messages.ListPlans
    ) -> messages.Message:
        coordinator, audit = self._agent.plan_coordinator, self._agent.audit
        if coordinator is None:
            return messages.Refused("no-budget", f"{self._agent.name}'s group file has no [budget]", message.id)
        match message:
            case messages.BeginPlan():
                begin_answer = await coordinator.begin(message, identity.name, unix_ms())
                if not message.dry:
                    what = f"begins {message.kind} {message.origin[:8]} {message.version}".rstrip()
                    audit(
                        identity.name,
                        identity.role,
                        what,
                        "; ".join((begin_answer.outcome, *begin_answer.reasons))[:400],
                    )
                return begin_answer
            case messages.SteerPlan():
                steer_answer = await coordinator.steer(message, identity.name)
                outcome = "; ".join((steer_answer.outcome, *steer_answer.reasons))[:400]
                audit(
                    identity.name,
                    identity.role,
                    f"{message.action} {message.plan[:8]} {message.reason}".rstrip(),
                    outcome,
                )
                return steer_answer
            case messages.ListPlans():
                return coordinator.plans_status(message)

    async def _show(self, show: messages.Show) -> messages.Message:
        agent = self._agent
        accounts = max(0, min(show.accounts, MAXIMUM_ACCOUNTS))
        timeout_s = max(0.0, min(show.within_ms / 1000.0, MAXIMUM_WAIT_S))
        await asyncio.gather(
            *(limiter.link.refresh_state(timeout_s, accounts) for limiter in self._agent.limiters.values())
        )
        return messages.Shown(
            show.id,
            agent.name,
            build_version(),
            agent.epoch(),
            now_ms() - agent.started_at_ms,
            agent.store_error,
            tuple(limiter.status() for limiter in agent.limiters.values()),
            tuple(agent.records),
            agent.group_view.membership.view(now_ms()),
        )

    async def _submit_intents(self, identity: Identity, submission: messages.SubmitIntents) -> messages.Message:
        self._agent.merge_records(submission.known, f"{identity.name}'s command")
        now_unix_ms = unix_ms()
        decisions = [self._decide(intent, submission, identity.name, now_unix_ms) for intent in submission.intents]
        made_records = [
            decision.record for decision in decisions if decision.outcome == "made" and decision.record is not None
        ]
        if any(self._agent.records.check(record) is OfferResult.OLDER for record in made_records):
            return messages.Refused("not-kept", f"{len(self._agent.records)} records are stored already", submission.id)
        new_records = [record for record in made_records if self._agent.records.check(record) is OfferResult.ACCEPTED]
        audit_line_number = 0
        if new_records:
            what = "; ".join(
                f"{'drain' if record.is_drained else 'undrain'} {record.kind} {record.target}" for record in new_records
            )
            if (
                self._agent.consensus_member is not None
                and submission.force
                and any(record.is_drained for record in new_records)
            ):
                what = f"forced without a permit: {what}"
            generation = max(record.generation for record in new_records)
            audit_line_number = self._agent.commit_records(
                new_records,
                messages.AuditLine(now_unix_ms, identity.name, identity.role, what, generation, "under way"),
            )
        delivered_records = [
            decision.record
            for decision in decisions
            if decision.record is not None and decision.outcome in ("made", "joined")
        ]
        await self._agent.deliver_records(max(0.0, min(submission.within_ms / 1000.0, MAXIMUM_WAIT_S)))
        reach = self._agent.reach(delivered_records)
        if audit_line_number:
            try:
                self._agent.store.set_audit_outcome(audit_line_number, _reach_text(reach))
            except StoreError as error:
                self._agent.store_failed(error)
        return messages.IntentsAnswer(submission.id, self._agent.name, tuple(decisions), tuple(reach))

    def _decide(
        self, intent: messages.DrainIntent, submission: messages.SubmitIntents, requested_by: str, now_unix_ms: float
    ) -> messages.Decision:
        decision = decide_intent(self._agent.records, intent, submission, requested_by, now_unix_ms)
        if (
            self._agent.consensus_member is None
            or submission.force
            or not intent.is_drained
            or decision.outcome != "made"
        ):
            return decision
        if decision.record is not None and self._agent.records.check(decision.record) is OfferResult.KNOWN:
            return decision  # the command was repeated
        refusal = self._agent.consensus_member.drain_refusal(
            submission.permits, (intent.kind, intent.target), submission.origin, submission.generation
        )
        return messages.Decision("refused", None, refusal) if refusal else decision

    def _run_order(self, identity: Identity, order: messages.Order) -> messages.Message:
        limiter = self._agent.limiters.get(order.limiter)
        if limiter is None:
            return messages.Refused("unknown-limiter", f"{self._agent.name} has no limiter {order.limiter}", order.id)
        line = messages.AuditLine(unix_ms(), identity.name, identity.role, f"{order.action} {order.limiter}", 0, "")
        audit_line_number = self._agent.store.save_records([], line)
        previous_phase = limiter.supervisor.phase
        limiter.want(order.action == "start")
        phase = limiter.supervisor.phase
        text = f"{previous_phase}, now {phase}" if previous_phase != phase else f"{phase} already"
        self._agent.store.set_audit_outcome(audit_line_number, text)
        return messages.Ordered(order.id, self._agent.name, phase, text)

    async def _lease_worker(self, identity: Identity, lease: messages.LeaseWorker) -> messages.Message:
        leasing = self._agent.worker_leasing
        if leasing.is_new_job(lease.job):
            if refusal := leasing.refusal():
                return messages.Refused("not-lent", refusal, lease.id)
            self._agent.audit(identity.name, identity.role, f"lent a worker: {lease.job}", "")
        received_count, first_number, frames, end_text = await leasing.exchange_frames(
            lease.job, lease.first, lease.frames, lease.have, lease.end
        )
        return messages.WorkerLeased(lease.id, self._agent.name, received_count, first_number, frames, end_text)


def _request_id(message: messages.ToAgent) -> int:
    """Return the id that an answer has to name; 0 for hello, which has none."""
    return 0 if isinstance(message, messages.Hello) else message.id


def _reach_text(reach: Iterable[messages.Reach]) -> str:
    return (
        ", ".join(f"{limiter_reach.limiter}: {limiter_reach.state}" for limiter_reach in reach)
        or "no limiter concerned"
    )
