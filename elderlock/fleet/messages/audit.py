"""The audit of an agent."""

from __future__ import annotations

import msgspec

from elderlock.fleet.messages.base import Message


class AuditLine(msgspec.Struct):
    at: float
    who: str
    role: str
    what: str
    generation: int
    reached: str


class Audit(Message, tag="audit"):
    id: int
    most: int = 50


class Audited(Message, tag="audited"):
    id: int
    agent: str
    lines: tuple[AuditLine, ...]
