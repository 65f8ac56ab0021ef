"""Limiters that transfer units of one hard ceiling, a reference bucket to check them against, and random histories."""

from __future__ import annotations

import random
from dataclasses import replace

from helpers import IDEMPOTENT_CLASS, limiter_settings

from elderlock import interface as api
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.quotas import Quotas
from elderlock.gossip.escrow_messages import decode
from elderlock.gossip.quota_escrow import (
    REQUEST_LIFETIME_MS,
    EscrowQuotas,
)
from elderlock.state import OpenRequest

RATE_PER_S, BURST_UNITS, SLACK_UNITS = 12.0, 24.0, 2.0
PLAN = api.Plan(
    "ceiling",
    1.0,
    1000.0,
    1000.0,
    ceiling_rate_per_s=RATE_PER_S,
    ceiling_burst_units=BURST_UNITS,
    ceiling_slack_units=SLACK_UNITS,
)
MEMBER_COUNT, FIRST, LIMITER_COUNT = 3, 4, 6  # limiters 4, 5 and 0 share the ceiling
HISTORY_COUNT = 100
FILL_MS = 1000.0 * BURST_UNITS / RATE_PER_S + 1.0  # the time in which all parts fill


class Node:
    """The quotas of a limiter with its own clock, which may stand still."""

    def __init__(self, number: int, now_ms: float, seed: int, quotas_class: type[Quotas] = EscrowQuotas) -> None:
        settings = replace(limiter_settings(LIMITER_COUNT, can_message_peers=True), limiter_index=number, plans=(PLAN,))
        self.number = number
        self.context = DecisionContext(settings, seed, now_ms)
        self.quotas = quotas_class(self.context)

    def request(self, now_ms: float, units: float = 1.0, customer: str = "c") -> bool:
        """Send a request if the ceiling allows it; return whether it does."""
        self.context.now_ms = now_ms
        event = api.RequestArrived("r", 0, 0, customer, units, now_ms + 1000.0, MEMBER_COUNT, FIRST)
        account = self.quotas.account(event)
        assert account is not None
        if self.quotas.exceeds_hard_ceiling(account, units):
            return False
        self.quotas.charge(OpenRequest(event, IDEMPOTENT_CLASS, account, now_ms))
        account.in_flight -= 1
        return True

    def due_datagrams(self) -> list[tuple[int, bytes]]:
        """Return the receivers and payloads of the datagrams that are due."""
        if not isinstance(self.quotas, EscrowQuotas):
            return []
        return [(datagram.peer_index, datagram.payload) for datagram in self.quotas.due_datagrams()]

    def receive(self, now_ms: float, sender: int, payload: bytes) -> None:
        self.context.now_ms = now_ms
        message = decode(payload)
        if message is not None and isinstance(self.quotas, EscrowQuotas):
            self.quotas.handle_message(sender, message)

    def level_units(self) -> float:
        (account,) = self.quotas.accounts.values()
        return account.ceiling_units


class ReferenceBucket:
    """The single bucket that all limiters together must not exceed."""

    def __init__(self) -> None:
        self.level_units, self.updated_at_ms, self.lowest_units = BURST_UNITS, 0.0, 0.0

    def spend(self, now_ms: float, units: float) -> None:
        refilled_units = RATE_PER_S * (now_ms - self.updated_at_ms) / MS_PER_SECOND
        self.level_units = min(BURST_UNITS, self.level_units + refilled_units) - units
        self.updated_at_ms = now_ms
        self.lowest_units = min(self.lowest_units, self.level_units)


def make_nodes(now_ms: float = 0.0, quotas_class: type[Quotas] = EscrowQuotas) -> dict[int, Node]:
    """Return the limiters that share the ceiling, by their numbers."""
    numbers = [(FIRST + offset) % LIMITER_COUNT for offset in range(MEMBER_COUNT)]
    return {number: Node(number, now_ms, seed, quotas_class) for seed, number in enumerate(numbers)}


def run_history(seed: int, quotas_class: type[Quotas] = EscrowQuotas) -> tuple[float, float]:
    """Run a random history in which datagrams are lost, repeated and delayed, and processes pause and restart.

    Returns:
        The lowest level of the reference bucket, and the units that were transferred.
    """
    rng, now_ms, transferred_units = random.Random(seed), 0.0, 0.0
    nodes, reference = make_nodes(now_ms, quotas_class), ReferenceBucket()
    paused_until_ms: dict[int, float] = {}
    in_flight: list[tuple[float, int, int, bytes]] = []
    delivered: list[tuple[int, int, bytes]] = []
    busy_number = rng.choice(list(nodes))
    now_ms += FILL_MS
    for _ in range(600):
        now_ms += rng.choice((0.0, 1.0, 5.0, 20.0, 60.0, rng.uniform(0.0, 700.0), 3000.0 * (rng.random() < 0.05)))
        number = busy_number if rng.random() < 0.7 else rng.choice(list(nodes))
        if rng.random() < 0.02:
            busy_number = rng.choice(list(nodes))
        node = nodes[number]
        if rng.random() < 0.01:  # the process restarts
            transferred_units += getattr(node.quotas, "received_units", 0.0)
            nodes[number] = node = Node(number, now_ms, rng.randrange(1 << 30), quotas_class)
        if rng.random() < 0.03:
            paused_until_ms[number] = now_ms + rng.choice((100.0, REQUEST_LIFETIME_MS, 4000.0, 60_000.0))
        units = rng.choice((1.0, 1.0, 2.5, 4.0))
        for _ in range(rng.choice((1, 1, 3, 12))):
            if now_ms >= paused_until_ms.get(number, 0.0) and node.request(now_ms, units):
                reference.spend(now_ms, units)
        if rng.random() < 0.1:  # all limiters spend all their units
            for member in nodes.values():
                while now_ms >= paused_until_ms.get(member.number, 0.0) and member.request(now_ms):
                    reference.spend(now_ms, 1.0)
        if rng.random() < 0.02:
            node.context.now_ms = now_ms
            node.quotas.expire_accounts()
        for sender_node in list(nodes.values()):
            for receiver, payload in sender_node.due_datagrams():
                for _ in range(rng.choice((0, 1, 1, 1, 1, 2))):  # 0 for a lost datagram, 2 for a repeated one
                    in_flight.append(
                        (
                            now_ms
                            + rng.choice((0.0, 1.0, 3.0, REQUEST_LIFETIME_MS - 1.0, REQUEST_LIFETIME_MS, 2500.0)),
                            sender_node.number,
                            receiver,
                            payload,
                        )
                    )
        if delivered and rng.random() < 0.1:
            in_flight.append((now_ms, *rng.choice(delivered)))  # a replay
        rng.shuffle(in_flight)
        arriving = [
            datagram
            for datagram in in_flight
            if datagram[0] <= now_ms and now_ms >= paused_until_ms.get(datagram[2], 0.0)
        ]
        for datagram in arriving:
            in_flight.remove(datagram)
            _, sender, receiver, payload = datagram
            delivered.append((sender, receiver, payload))
            nodes[receiver].receive(now_ms, sender, payload)
    transferred_units += sum(getattr(node.quotas, "received_units", 0.0) for node in nodes.values())
    return reference.lowest_units, transferred_units
