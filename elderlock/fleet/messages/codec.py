"""Encoding and decoding of the messages to and from an agent as MessagePack."""

from __future__ import annotations

from functools import cache

import msgspec

from elderlock.fleet.messages.audit import Audit, Audited
from elderlock.fleet.messages.base import Hello, Message, Refused, Welcome
from elderlock.fleet.messages.consensus import (
    Accept,
    BudgetStatus,
    PermitsAnswer,
    Prepare,
    Recall,
    Recalled,
    RequestPermits,
    ShowBudget,
    Voted,
)
from elderlock.fleet.messages.drains import IntentsAnswer, Order, Ordered, Progress, Progressed, SubmitIntents
from elderlock.fleet.messages.plans import BeginAnswer, BeginPlan, ListPlans, PlansStatus, SteerAnswer, SteerPlan
from elderlock.fleet.messages.status import Exchange, Show, Shown
from elderlock.fleet.messages.worker_leasing import LeaseWorker, WorkerLeased

ToAgent = (
    Hello
    | Show
    | SubmitIntents
    | Progress
    | Order
    | Exchange
    | Audit
    | LeaseWorker
    | RequestPermits
    | Prepare
    | Accept
    | Recall
    | ShowBudget
    | BeginPlan
    | SteerPlan
    | ListPlans
)
FromAgent = (
    Welcome
    | Refused
    | Shown
    | IntentsAnswer
    | Progressed
    | Ordered
    | Exchange
    | Audited
    | WorkerLeased
    | PermitsAnswer
    | Voted
    | Recalled
    | BudgetStatus
    | BeginAnswer
    | SteerAnswer
    | PlansStatus
)
_encoder = msgspec.msgpack.Encoder()


# Each decoder is built on first use: building one takes a while, and a command needs only the decoder of answers, an
# agent mainly the one of requests.
@cache
def _request_decoder() -> msgspec.msgpack.Decoder[ToAgent]:
    return msgspec.msgpack.Decoder(ToAgent)


@cache
def _answer_decoder() -> msgspec.msgpack.Decoder[FromAgent]:
    return msgspec.msgpack.Decoder(FromAgent)


def encode(message: Message) -> bytes:
    """Return the MessagePack encoding of a message."""
    return _encoder.encode(message)


def decode_request(body: bytes) -> ToAgent:
    """Decode a message to an agent.

    Raises:
        msgspec.DecodeError: `body` is not such a message.
    """
    return _request_decoder().decode(body)


def decode_answer(body: bytes) -> FromAgent:
    """Decode a message from an agent.

    Raises:
        msgspec.DecodeError: `body` is not such a message.
    """
    return _answer_decoder().decode(body)
