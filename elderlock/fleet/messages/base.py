"""The base class of all messages and the messages that open a connection to an agent.

A connection begins with `Hello` and its token. After that each request has an id that its answer repeats. Durations
are in ms and times of day are Unix time in ms. The sender computes the ages in a message, so the clocks of two machines
need not agree.
"""

from __future__ import annotations

from typing import Literal

import msgspec

VERSION = 1  # of the protocol
LONGEST = 16 << 20  # bytes of a message
LONGEST_HELLO = 4096  # bytes of the first message, from a caller that is not identified yet
Role = Literal["viewer", "operator", "agent"]


class Message(msgspec.Struct, tag_field="type"):
    """The base class of all messages: the class's tag is sent as `type`."""


class Hello(Message, tag="hello"):
    """The first message of a connection.

    Attributes:
        versions: The protocol versions that the caller supports.
        token: The caller's token.
        caller: The name of the calling agent; empty where the caller is not an agent.
    """

    versions: tuple[int, ...]
    token: str
    caller: str = ""


class Welcome(Message, tag="welcome"):
    """The answer to a `Hello` that is accepted.

    Attributes:
        version: The protocol version of the connection.
        agent: The name of the answering agent.
        who: The name that the caller's token belongs to.
        role: The role that the caller's token belongs to.
        incarnation: The incarnation of the agent, greater at each of its starts.
    """

    version: int
    agent: str
    who: str
    role: str
    incarnation: int


class Refused(Message, tag="refused"):
    """The answer to a message that the agent does not accept.

    Attributes:
        code: version, token, role, bad-message, unknown-message, unknown-limiter or not-kept (not stored).
        text: The reason, for people.
        id: The id of the request; 0 for a `Hello`.
    """

    code: str
    text: str
    id: int = 0
