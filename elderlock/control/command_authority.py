"""Who may command a limiter and what it holds: the decisions behind the control socket, free of I/O.

One agent owns a limiter at a time. It claims with an epoch that grows at each of its starts; a claim holds
while the owner is heard from, and `LEASE` ms longer. Whoever comes with a lesser epoch under the owner's
name, or under another name while the claim holds, may look and not touch.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from elderlock.control import messages as m
from elderlock.control.records import Record, Records

LEASE_MS = 5000.0  # ms


class ControlledLimiter(Protocol):
    """The limiter as the desk needs it."""

    name: str
    build: str
    pid: int
    started_at: float  # Unix ms

    def state(self, id: int, accounts: int) -> m.LimiterState: ...
    def drain(self, boxes: dict[str, Record], limiter: bool) -> None: ...
    def out(self, boxes: Iterable[str]) -> dict[str, int]: ...
    def open_requests(self) -> int: ...
    def stop(self) -> None: ...


@dataclass(slots=True)
class Session:
    """One connection: whom it says to be once it has said so."""

    agent: str = ""
    epoch: int = 0
    is_greeted: bool = False


class CommandAuthority:
    """Invariant: what is in force is what `records` holds, and `records` never goes back."""

    def __init__(self, face: ControlledLimiter, records: Iterable[Record] = ()) -> None:
        self._face = face
        self.records = Records(records)
        self.owner, self.owner_epoch, self._heard = "", 0, -LEASE_MS
        self._enforce()

    def _enforce(self) -> None:
        limiter = self.records.get("limiter", self._face.name)
        self._face.drain(self.records.drained_targets("box"), limiter is not None and limiter.is_drained)

    def handle(self, visitor: Session, message: m.ToLimiter, now: float) -> m.Message:
        """`now` in ms of Unix time."""
        if isinstance(message, m.Hello):
            return self._hello(visitor, message, now)
        if not visitor.is_greeted:
            return m.Refused("bad-message", "a connection begins with hello", message.id)
        if isinstance(message, m.GetState):
            self._renew(visitor, now)
            return self._face.state(message.id, message.maximum_accounts)
        if not self._owns(visitor):
            return self._not_owner(message.id)
        self._renew(visitor, now)
        if isinstance(message, m.Stop):
            self._face.stop()
            return m.Stopping(message.id)
        if self.records.merge(message.records):
            self._enforce()
        return m.RecordsApplied(
            message.id,
            tuple(self.records),
            now,
            self._face.out(self.records.drained_targets("box")),
            self._face.open_requests(),
        )

    def _hello(self, visitor: Session, hello: m.Hello, now: float) -> m.Message:
        if m.PROTOCOL_VERSION not in hello.versions:
            told = ", ".join(map(str, hello.versions)) or "none"
            return m.Refused("version", f"version {told} is not known; this limiter speaks {m.PROTOCOL_VERSION}")
        if hello.epoch > 0:
            same, lapsed = hello.agent == self.owner, now - self._heard >= LEASE_MS
            if (not same and not lapsed) or (same and hello.epoch < self.owner_epoch):
                return self._not_owner(0, "claimed")
            # another agent's epochs are its own; a claim that lapsed is outbid, so the old owner sees it
            self.owner, self.owner_epoch, self._heard = hello.agent, hello.epoch, now
        visitor.agent, visitor.epoch, visitor.is_greeted = hello.agent, hello.epoch, True
        face = self._face
        return m.Welcome(
            m.PROTOCOL_VERSION, face.name, face.build, face.pid, face.started_at, self.owner, self.owner_epoch
        )

    def _owns(self, visitor: Session) -> bool:
        return visitor.epoch > 0 and (visitor.agent, visitor.epoch) == (self.owner, self.owner_epoch)

    def _renew(self, visitor: Session, now: float) -> None:
        if self._owns(visitor):
            self._heard = now

    def _not_owner(self, id: int, code: str = "not-owner") -> m.Refused:
        text = f"agent {self.owner or 'nobody'} holds this limiter with epoch {self.owner_epoch}"
        return m.Refused(code, text, id, self.owner, self.owner_epoch)
