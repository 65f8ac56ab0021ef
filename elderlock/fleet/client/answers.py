"""The results that replace an agent's answer when a request fails. No I/O."""

from __future__ import annotations

import msgspec


class Missing(msgspec.Struct, frozen=True):
    """The agent did not answer.

    Attributes:
        agent: The name of the agent.
        why: The reason, for people.
        sent: Whether the request was written, so that it may have been executed.
    """

    agent: str
    why: str
    sent: bool


class Refusal(msgspec.Struct, frozen=True):
    """The agent refused the request.

    Attributes:
        agent: The name of the agent.
        code: The code of the refusal; see `messages.Refused`.
        text: The reason, for people.
    """

    agent: str
    code: str
    text: str


def failure_reason(failure: Missing | Refusal) -> str:
    """Return why there is no answer, for people."""
    return failure.why if isinstance(failure, Missing) else failure.text
