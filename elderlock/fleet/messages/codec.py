"""The messages to and from an agent, and their encoding as MessagePack."""

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


# made when first needed: a command reads the one and an agent the other, and each takes a while to make
@cache
def _request_decoder() -> msgspec.msgpack.Decoder[ToAgent]:
    return msgspec.msgpack.Decoder(ToAgent)


@cache
def _answer_decoder() -> msgspec.msgpack.Decoder[FromAgent]:
    return msgspec.msgpack.Decoder(FromAgent)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def decode_request(body: bytes) -> ToAgent:
    return _request_decoder().decode(body)


def decode_answer(body: bytes) -> FromAgent:
    return _answer_decoder().decode(body)
