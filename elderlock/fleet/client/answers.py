"""What stands in place of an agent's answer. Free of I/O."""

from __future__ import annotations

import msgspec


class Missing(msgspec.Struct, frozen=True):
    """No answer from that agent. `sent`: the question was written, so it may have been carried out."""

    agent: str
    why: str
    sent: bool


class Refusal(msgspec.Struct, frozen=True):
    agent: str
    code: str
    text: str


def failure_reason(missing: Missing | Refusal) -> str:
    return missing.why if isinstance(missing, Missing) else missing.text
