"""The messages to and from an agent, and their encoding as MessagePack."""

from __future__ import annotations

from functools import cache

import msgspec

from elderlock.fleet.messages.audit import Audit, Audited
from elderlock.fleet.messages.base import Hello, Message, Refused, Welcome
from elderlock.fleet.messages.consensus import Accept, Ask, Granted, Prepare, Recall, Recalled, Standing, Stood, Voted
from elderlock.fleet.messages.drains import Intend, Intended, Order, Ordered, Progress, Progressed
from elderlock.fleet.messages.plans import Begin, Begun, Planned, Plans, Steer, Steered
from elderlock.fleet.messages.status import Exchange, Show, Shown
from elderlock.fleet.messages.worker_leasing import Lend, Lent

ToAgent = (
    Hello
    | Show
    | Intend
    | Progress
    | Order
    | Exchange
    | Audit
    | Lend
    | Ask
    | Prepare
    | Accept
    | Recall
    | Standing
    | Begin
    | Steer
    | Plans
)
FromAgent = (
    Welcome
    | Refused
    | Shown
    | Intended
    | Progressed
    | Ordered
    | Exchange
    | Audited
    | Lent
    | Granted
    | Voted
    | Recalled
    | Stood
    | Begun
    | Steered
    | Planned
)
_encoder = msgspec.msgpack.Encoder()


# made when first needed: a command reads the one and an agent the other, and each takes a while to make
@cache
def _to_agent() -> msgspec.msgpack.Decoder[ToAgent]:
    return msgspec.msgpack.Decoder(ToAgent)


@cache
def _from_agent() -> msgspec.msgpack.Decoder[FromAgent]:
    return msgspec.msgpack.Decoder(FromAgent)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def to_agent(body: bytes) -> ToAgent:
    return _to_agent().decode(body)


def from_agent(body: bytes) -> FromAgent:
    return _from_agent().decode(body)
