"""Limiters with escrowed parts of one ceiling, the one bucket that they are checked against, and random histories."""

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

RATE, FULL, SLACK = 12.0, 24.0, 2.0
PLAN = api.Plan(
    "ceiled", 1.0, 1000.0, 1000.0, ceiling_rate_per_s=RATE, ceiling_burst_units=FULL, ceiling_slack_units=SLACK
)
MEMBERS, FIRST, LIMITERS = 3, 4, 6  # limiters 4, 5 and 0
HISTORIES = 100
WARM = 1000.0 * FULL / RATE + 1.0  # ms in which all parts fill


class Node:
    """A limiter's quotas with a clock of their own, which may stand still beside the world's."""

    def __init__(self, number: int, now: float, seed: int, kind: type[Quotas] = EscrowQuotas) -> None:
        given = limiter_settings(LIMITERS, can_message_peers=True)
        self.number, self.core = number, DecisionContext(replace(given, limiter_index=number, plans=(PLAN,)), seed, now)
        self.quotas = kind(self.core)

    def ask(self, now: float, units: float = 1.0, customer: str = "c") -> bool:
        """Whether the ceiling lets it be sent."""
        self.core.now_ms = now
        event = api.RequestArrived("r", 0, 0, customer, units, now + 1000.0, MEMBERS, FIRST)
        account = self.quotas.account(event)
        if self.quotas.exceeds_hard_ceiling(account, units):
            return False
        self.quotas.charge(OpenRequest(event, IDEMPOTENT_CLASS, account, now))
        account.in_flight -= 1
        return True

    def due(self) -> list[tuple[int, bytes]]:
        if not isinstance(self.quotas, EscrowQuotas):
            return []
        return [(datagram.peer_index, datagram.payload) for datagram in self.quotas.due_datagrams()]

    def receive(self, now: float, sender: int, data: bytes) -> None:
        self.core.now_ms = now
        message = decode(data)
        if message is not None and isinstance(self.quotas, EscrowQuotas):
            self.quotas.handle_message(sender, message)

    def level(self) -> float:
        (account,) = self.quotas.accounts.values()
        return account.ceiling_units


class Reference:
    """The one bucket that all together have to keep, as the operators count it."""

    def __init__(self) -> None:
        self.level, self.at, self.least = FULL, 0.0, 0.0

    def spent(self, now: float, units: float) -> None:
        self.level = min(FULL, self.level + RATE * (now - self.at) / MS_PER_SECOND) - units
        self.at, self.least = now, min(self.least, self.level)


def nodes(now: float = 0.0, kind: type[Quotas] = EscrowQuotas) -> dict[int, Node]:
    return {(FIRST + n) % LIMITERS: Node((FIRST + n) % LIMITERS, now, n, kind) for n in range(MEMBERS)}


def history(seed: int, kind: type[Quotas] = EscrowQuotas) -> tuple[float, float]:
    """One with everything that befalls datagrams and processes; the reference's least level, and units that moved."""
    rng, now, moved = random.Random(seed), 0.0, 0.0
    group, reference = nodes(now, kind), Reference()
    asleep: dict[int, float] = {}  # until when
    flying: list[tuple[float, int, int, bytes]] = []
    flown: list[tuple[int, int, bytes]] = []
    busy = rng.choice(list(group))
    now += WARM
    for _ in range(600):
        now += rng.choice((0.0, 1.0, 5.0, 20.0, 60.0, rng.uniform(0.0, 700.0), 3000.0 * (rng.random() < 0.05)))
        number = busy if rng.random() < 0.7 else rng.choice(list(group))
        if rng.random() < 0.02:
            busy = rng.choice(list(group))
        node = group[number]
        if rng.random() < 0.01:
            moved += getattr(node.quotas, "taken_units", 0.0)
            group[number] = node = Node(number, now, rng.randrange(1 << 30), kind)
        if rng.random() < 0.03:
            asleep[number] = now + rng.choice((100.0, REQUEST_LIFETIME_MS, 4000.0, 60_000.0))
        units = rng.choice((1.0, 1.0, 2.5, 4.0))
        for _ in range(rng.choice((1, 1, 3, 12))):
            if now >= asleep.get(number, 0.0) and node.ask(now, units):
                reference.spent(now, units)
        if rng.random() < 0.1:  # all that there is, everywhere
            for member in group.values():
                while now >= asleep.get(member.number, 0.0) and member.ask(now):
                    reference.spent(now, 1.0)
        if rng.random() < 0.02:
            node.core.now_ms = now
            node.quotas.expire_accounts()
        for other in list(group.values()):
            for to, data in other.due():
                for _ in range(rng.choice((0, 1, 1, 1, 1, 2))):  # lost, or twice
                    flying.append(
                        (
                            now + rng.choice((0.0, 1.0, 3.0, REQUEST_LIFETIME_MS - 1.0, REQUEST_LIFETIME_MS, 2500.0)),
                            other.number,
                            to,
                            data,
                        )
                    )
        if flown and rng.random() < 0.1:
            flying.append((now, *rng.choice(flown)))  # played again
        rng.shuffle(flying)
        for each in [each for each in flying if each[0] <= now and now >= asleep.get(each[2], 0.0)]:
            flying.remove(each)
            _, sender, to, data = each
            flown.append((sender, to, data))
            group[to].receive(now, sender, data)
    moved += sum(getattr(node.quotas, "taken_units", 0.0) for node in group.values())
    return reference.least, moved
