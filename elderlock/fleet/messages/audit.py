"""The messages that read an agent's audit log."""

from __future__ import annotations

import msgspec

from elderlock.fleet.messages.base import Message


class AuditLine(msgspec.Struct):
    """One entry of the audit log.

    Attributes:
        at: When the command was received, in ms of Unix time.
        who: The name of the caller.
        role: The caller's role.
        what: The command, for people.
        generation: The generation of the command's records; 0 where it has none.
        reached: The outcome of the command, for people.
    """

    at: float
    who: str
    role: str
    what: str
    generation: int
    reached: str


class Audit(Message, tag="audit"):
    """Requests the newest entries of the audit log.

    Attributes:
        id: The id of the request.
        maximum_lines: The maximum number of entries.
    """

    id: int
    maximum_lines: int = msgspec.field(name="most", default=50)


class Audited(Message, tag="audited"):
    """The answer to `Audit`.

    Attributes:
        id: The id of the request.
        agent: The name of the answering agent.
        lines: The entries, the oldest first.
    """

    id: int
    agent: str
    lines: tuple[AuditLine, ...]
