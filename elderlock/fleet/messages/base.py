"""The opening of a connection to an agent, and the base of all messages.

A connection begins with `Hello` and its token. Each request has an id that its answer repeats. Times are
milliseconds, `at` fields Unix time; ages are counted by whoever sends them, so clocks need not agree.
"""

from __future__ import annotations

from typing import Literal

import msgspec

VERSION = 1
LONGEST = 16 << 20  # bytes of a message
LONGEST_HELLO = 4096
Role = Literal["viewer", "operator", "agent"]


class Message(msgspec.Struct, tag_field="type"):
    """The base of all messages: the tag is sent as `type`."""


class Hello(Message, tag="hello"):
    versions: tuple[int, ...]
    token: str
    caller: str = ""  # an agent's name, where another agent calls


class Welcome(Message, tag="welcome"):
    version: int
    agent: str
    who: str
    role: str
    incarnation: int


class Refused(Message, tag="refused"):
    """`code`: version, token, role, bad-message, unknown-message, unknown-limiter, not-kept."""

    code: str
    text: str
    id: int = 0
