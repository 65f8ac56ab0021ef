"""Decides which agent may command a limiter, and holds the drain records in force. No I/O.

One agent owns a limiter at a time. It claims the limiter with an epoch that increases at each start of the agent (a
fencing token). A claim is a lease: each message from the owner renews it for `LEASE_MS`. An agent with a lower epoch
under the owner's name, or another agent while the claim is valid, may read the state but change nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from elderlock.control import messages
from elderlock.control.records import Record, Records

LEASE_MS = 5000.0


class ControlledLimiter(Protocol):
    """The interface that the authority uses of the limiter.

    Attributes:
        name: The limiter's name.
        build: The version of its program.
        pid: Its process id.
        started_at: When it started, in ms of Unix time.
    """

    name: str
    build: str
    pid: int
    started_at: float

    def state(self, request_id: int, maximum_accounts: int, /) -> messages.LimiterState:
        """Return the answer to the request `request_id`, with the counts of at most `maximum_accounts` customers."""

    def drain(self, servers: dict[str, Record], drain_limiter: bool, /) -> None:
        """Drain exactly these servers, by uid, and the limiter itself if `drain_limiter`."""

    def open_requests_at(self, servers: Iterable[str], /) -> dict[str, int]:
        """Return the number of open requests at each of these servers, by uid."""

    def open_requests(self) -> int:
        """Return the number of all open requests."""

    def stop(self) -> None:
        """Shut down."""


@dataclass(slots=True)
class Session:
    """The state of one connection.

    Attributes:
        agent: The agent's name, as given in its `Hello`.
        epoch: The epoch that it claimed the limiter with; 0 for read-only access.
        is_greeted: Whether its `Hello` was accepted.
    """

    agent: str = ""
    epoch: int = 0
    is_greeted: bool = False


class CommandAuthority:
    """The owner of a limiter and the drain records in force.

    Invariants: the limiter drains exactly the targets that `records` marks as drained, and no record is replaced by an
    older one.

    Attributes:
        records: The drain records in force.
        owner: The agent that holds the claim, or held it last; empty before the first claim.
        owner_epoch: The epoch of that claim.
    """

    def __init__(self, limiter: ControlledLimiter, records: Iterable[Record] = ()) -> None:
        self._limiter = limiter
        self.records = Records(records)
        self.owner = ""
        self.owner_epoch = 0
        self._renewed_at_ms = -LEASE_MS
        self._enforce()

    def handle(self, session: Session, message: messages.ToLimiter, now_ms: float) -> messages.Message:
        """Return the answer to a message.

        Args:
            session: The connection that it arrived on.
            message: The message.
            now_ms: The current Unix time in ms.
        """
        if isinstance(message, messages.Hello):
            return self._hello(session, message, now_ms)
        if not session.is_greeted:
            return messages.Refused("bad-message", "a connection begins with hello", message.id)
        if isinstance(message, messages.GetState):
            self._renew(session, now_ms)
            return self._limiter.state(message.id, message.maximum_accounts)
        if not self._is_owner(session):
            return self._refused(message.id, "not-owner")
        self._renew(session, now_ms)
        if isinstance(message, messages.Stop):
            self._limiter.stop()
            return messages.Stopping(message.id)
        return self._apply(message, now_ms)

    def _hello(self, session: Session, hello: messages.Hello, now_ms: float) -> messages.Message:
        if messages.PROTOCOL_VERSION not in hello.versions:
            versions = ", ".join(map(str, hello.versions)) or "none"
            text = f"version {versions} is not known; this limiter speaks {messages.PROTOCOL_VERSION}"
            return messages.Refused("version", text)
        if hello.epoch > 0:
            if not self._may_claim(hello, now_ms):
                return self._refused(0, "claimed")
            self.owner = hello.agent
            self.owner_epoch = hello.epoch
            self._renewed_at_ms = now_ms
        session.agent = hello.agent
        session.epoch = hello.epoch
        session.is_greeted = True
        limiter = self._limiter
        return messages.Welcome(
            version=messages.PROTOCOL_VERSION,
            limiter=limiter.name,
            build=limiter.build,
            pid=limiter.pid,
            started_at=limiter.started_at,
            owner=self.owner,
            owner_epoch=self.owner_epoch,
        )

    def _may_claim(self, hello: messages.Hello, now_ms: float) -> bool:
        """Whether a claim is accepted.

        Epochs of different agents are not compared. An agent that lost its lapsed claim to another is sent the new
        owner's name.
        """
        if hello.agent == self.owner:
            return hello.epoch >= self.owner_epoch
        return now_ms - self._renewed_at_ms >= LEASE_MS

    def _apply(self, request: messages.ApplyRecords, now_ms: float) -> messages.RecordsApplied:
        if self.records.merge(request.records):
            self._enforce()
        return messages.RecordsApplied(
            id=request.id,
            records=tuple(self.records),
            applied_at_unix_ms=now_ms,
            drained_open_requests=self._limiter.open_requests_at(self.records.drained_targets("box")),
            open_requests=self._limiter.open_requests(),
        )

    def _enforce(self) -> None:
        """Make the limiter drain exactly the targets that the records mark as drained."""
        record = self.records.get("limiter", self._limiter.name)
        self._limiter.drain(self.records.drained_targets("box"), record is not None and record.is_drained)

    def _is_owner(self, session: Session) -> bool:
        return session.epoch > 0 and (session.agent, session.epoch) == (self.owner, self.owner_epoch)

    def _renew(self, session: Session, now_ms: float) -> None:
        if self._is_owner(session):
            self._renewed_at_ms = now_ms

    def _refused(self, request_id: int, code: str) -> messages.Refused:
        text = f"agent {self.owner or 'nobody'} holds this limiter with epoch {self.owner_epoch}"
        return messages.Refused(code, text, request_id, self.owner, self.owner_epoch)
