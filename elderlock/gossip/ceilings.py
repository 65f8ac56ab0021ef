"""Hard ceilings by demand: a limiter that needs more than its even part of a customer's ceiling is given what others
can spare that it is split with (escrow, O'Neil 1986; demarcation, Barbara and Garcia-Molina 1994). No I/O.

Units move, and none is made: who gives takes them off its own bucket before it says so, and who is given takes them
once, for a want of its own that is `LIFE` old at most by its own clock. A message that is lost, late, repeated or
out of order, or meant for a process before this one, costs units and never adds any.
"""

from __future__ import annotations

import random
from struct import Struct
from typing import NamedTuple

from elderlock import interface as api
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.decisions.quotas import Quotas
from elderlock.state import Account, OpenRequest

FORMAT, VERSION = 0x5F, 1
HEAD, WANT, GRANT = Struct(">BBB"), Struct(">IIBHHI"), Struct(">II")
WANTED, GRANTED = range(2)
PARTS = 256  # of a unit, in which units are told; rounded down by who gives
MOST_TOLD = (1 << 32) - 1

LIFE = 500.0  # ms from a want in which it may be granted
AGAIN = 100.0  # ms between two wants of one customer
ASKED = 2  # of the others by each want, in turn
NEED_FOR = MS_PER_SECOND  # ms of its own use that a limiter wants to hold, and keeps when it gives ...
NEED_MORE = 2.0  # ... and so many requests' units, where it sent any within as long
LEAST_PART = 0.5  # of a request's units, that are worth a datagram
INTAKE_PART, BURST = 0.05, 8.0  # of what one takes in that each sends, a second, and datagrams at once
MOST_OPENED = 1024  # customers whose part is opened because others want it


class Want(NamedTuple):
    """Of the customer `key`, whose ceiling is split by `spread` limiters from `first` on."""

    id: int
    key: int
    plan: int
    spread: int
    first: int
    units: float


class Grant(NamedTuple):
    id: int
    units: float


def encode(message: Want | Grant) -> bytes:
    """Units are rounded down."""
    told = min(MOST_TOLD, int(message.units * PARTS))
    if isinstance(message, Grant):
        return HEAD.pack(FORMAT, VERSION, GRANTED) + GRANT.pack(message.id, told)
    return HEAD.pack(FORMAT, VERSION, WANTED) + WANT.pack(*message[:5], told)


def decode(data: bytes) -> Want | Grant | None:
    """None for what is not of this form, or of a version that is not known."""
    if data[:2] != bytes([FORMAT, VERSION]):
        return None
    body = data[HEAD.size :]
    if data[2:3] == bytes([WANTED]) and len(body) == WANT.size:
        id, key, plan, spread, first, told = WANT.unpack(body)
        return Want(id, key, plan, spread, first, told / PARTS)
    if data[2:3] == bytes([GRANTED]) and len(body) == GRANT.size:
        id, told = GRANT.unpack(body)
        return Grant(id, told / PARTS)
    return None


class Pending:
    """A want that may still be granted."""

    __slots__ = ("asked", "at", "key")

    def __init__(self, key: int, at: float, asked: set[int]) -> None:
        self.key, self.at, self.asked = key, at, asked


class EscrowQuotas(Quotas):
    """Invariant: over all limiters that a ceiling is split by, what their buckets hold and what is on its way is its
    burst at most. So they send on no more than one bucket of that rate and burst would let through: a bucket holds its
    part of the burst at most, and what it gave away counts against that part until nobody can take it any more."""

    def __init__(self, core: DecisionContext) -> None:
        super().__init__(core)
        self._rng = random.Random(core.rng.random())
        self._id = self._rng.getrandbits(32)  # no want of a process before this one has such a number
        self._pending: dict[int, Pending] = {}
        self._wanted_at: dict[int, float] = {}  # by customer
        self._turn: dict[int, int] = {}  # by customer, whom to ask next
        self._away: dict[int, list[tuple[float, float]]] = {}  # by customer: until when, units that are on their way
        self._answered: dict[tuple[int, int], float] = {}  # wants that were answered, and when
        self._opened: set[int] = set()
        self._out: list[tuple[int, Want | Grant]] = []
        self._rate = INTAKE_PART * core.settings.quota_sources.peer_messages_per_s
        self._room, self._room_at = BURST, core.now_ms
        self.given = self.taken = 0.0  # units

    # The bucket

    def refresh(self, account: Account) -> None:
        level, at = account.ceiling_units, account.refreshed_at_ms
        super().refresh(account)
        if account.key in self._away:
            account.ceiling_units = self._filled(account, level, at)

    def _filled(self, account: Account, level: float, at: float) -> float:
        """The level now, of a bucket that held `level` at `at`, under a bound that rises as what is away lapses."""
        now, plan = self.context.now_ms, account.plan
        part, fill = (
            plan.ceiling_burst_units / account.limiter_count,
            plan.ceiling_rate_per_s / account.limiter_count / MS_PER_SECOND,
        )
        away = self._away[account.key]
        while away and away[0][0] <= now:
            until = max(away[0][0], at)
            level, at = min(level + fill * (until - at), part - sum(units for _, units in away)), until
            away.pop(0)
        if not away:
            del self._away[account.key]
        return min(level + fill * (now - at), part - sum(units for _, units in away))

    def refund(self, request: OpenRequest) -> None:
        super().refund(request)
        account = request.account
        away = sum(units for _, units in self._away.get(account.key, ()))
        account.ceiling_units = min(
            account.ceiling_units, account.plan.ceiling_burst_units / account.limiter_count - away
        )

    # Wants

    def exceeds_hard_ceiling(self, account: Account, units: float) -> bool:
        capped = super().exceeds_hard_ceiling(account, units)
        if capped:
            self._want(account)
        return capped

    def charge(self, request: OpenRequest) -> None:
        super().charge(request)
        self._want(request.account)

    def _need(self, account: Account) -> float:
        """Units that it wants to hold here: what it uses, and never more than its part may hold."""
        lately = self.context.now_ms - account.sent_at_ms < NEED_FOR
        need = account.own_rate_per_s * NEED_FOR / MS_PER_SECOND + NEED_MORE * account.mean_request_units * lately
        return min(need, account.plan.ceiling_burst_units / account.limiter_count)

    def _want(self, account: Account) -> None:
        now, plan = self.context.now_ms, account.plan
        if plan.ceiling_rate_per_s <= 0 or account.limiter_count <= 1:
            return
        lacks = self._need(account) - account.ceiling_units
        if lacks < account.mean_request_units or now - self._wanted_at.get(account.key, float("-inf")) < AGAIN:
            return
        if not self._may_send(1):
            return
        others = self._others(account)
        turn = self._turn.get(account.key, self._rng.randrange(len(others)))
        asked = [others[(turn + n) % len(others)] for n in range(min(ASKED, len(others), int(self._room)))]
        self._room -= len(asked)
        self._wanted_at[account.key], self._turn[account.key] = now, (turn + len(asked)) % len(others)
        self._id = (self._id + 1) % (1 << 32)
        self._pending[self._id] = Pending(account.key, now, set(asked))
        # of each its share: what two give for the same lack is lost
        index, units = self.context.settings.plans.index(plan), lacks / len(asked)
        want = Want(self._id, account.key, index, account.limiter_count, account.first_limiter, units)
        self._out += [(other, want) for other in asked]

    def _others(self, account: Account) -> list[int]:
        settings = self.context.settings
        members = [(account.first_limiter + n) % settings.limiter_count for n in range(account.limiter_count)]
        return [member for member in members if member != settings.limiter_index]

    def _may_send(self, datagrams: int) -> bool:
        now = self.context.now_ms
        self._room = min(BURST, self._room + self._rate * (now - self._room_at) / MS_PER_SECOND)
        self._room_at = now
        return self._room >= datagrams

    def due(self) -> list[tuple[int, bytes]]:
        """What is to be sent now, and to whom."""
        out, self._out = [(to, encode(message)) for to, message in self._out], []
        return out

    def away(self) -> float:
        """Units that were given and may still be taken, over all customers."""
        now = self.context.now_ms
        return sum(units for away in self._away.values() for until, units in away if until > now)

    # What others say

    def told(self, sender: int, message: Want | Grant) -> None:
        if isinstance(message, Grant):
            self._granted(sender, message)
        else:
            self._wanted(sender, message)

    def _granted(self, sender: int, grant: Grant) -> None:
        pending = self._pending.get(grant.id)
        if pending is None or sender not in pending.asked or self.context.now_ms - pending.at >= LIFE:
            return
        pending.asked.discard(sender)
        account = self.accounts.get(pending.key)
        if account is None:
            return
        self.refresh(account)
        away = sum(units for _, units in self._away.get(account.key, ()))
        room = account.plan.ceiling_burst_units / account.limiter_count - away - account.ceiling_units
        taken = max(0.0, min(grant.units, room))
        account.ceiling_units += taken
        self.taken += taken

    def _wanted(self, sender: int, want: Want) -> None:
        now = self.context.now_ms
        account = self._part_of(sender, want)
        if account is None or (sender, want.id) in self._answered or not self._may_send(1):
            return
        if now - self._wanted_at.get(want.key, float("-inf")) < LIFE:
            return  # we want some ourselves
        self.refresh(account)
        units = int(min(want.units, account.ceiling_units - self._need(account)) * PARTS) / PARTS
        if units < min(want.units, LEAST_PART * account.mean_request_units) or units <= 0.0:
            return  # not worth a datagram
        self._room -= 1
        self._answered[sender, want.id] = now
        account.ceiling_units -= units
        self._away.setdefault(want.key, []).append((now + LIFE, units))
        self.given += units
        self._out.append((sender, Grant(want.id, units)))

    def _part_of(self, sender: int, want: Want) -> Account | None:
        """Our part of that ceiling, if it is split as the sender says and both hold one. A customer that nobody asked
        us about yet has a part here all the same."""
        settings = self.context.settings
        if want.plan >= len(settings.plans) or not 1 < want.spread <= settings.limiter_count:
            return None
        plan = settings.plans[want.plan]
        places = [(number - want.first) % settings.limiter_count for number in (sender, settings.limiter_index)]
        if plan.ceiling_rate_per_s <= 0 or max(places) >= want.spread or places[0] == places[1]:
            return None
        account = self.accounts.get(want.key)
        if account is None and len(self._opened) < MOST_OPENED:
            account = self.accounts[want.key] = self._open_account(want.key, plan, want.spread, want.first)
            self.idle_accounts.touch(want.key, self.context.now_ms)
            self._opened.add(want.key)
        alike = account is not None and account.plan is plan and account.limiter_count == want.spread
        return account if alike else None

    # Upkeep

    def expire_accounts(self) -> None:
        super().expire_accounts()
        now, accounts = self.context.now_ms, self.accounts
        self._pending = {id: want for id, want in self._pending.items() if now - want.at < LIFE}
        self._answered = {want: at for want, at in self._answered.items() if now - at < 2 * LIFE}
        self._wanted_at = {key: at for key, at in self._wanted_at.items() if now - at < LIFE}
        self._turn = {key: turn for key, turn in self._turn.items() if key in accounts}
        self._away = {key: away for key, away in self._away.items() if key in accounts}
        self._opened &= accounts.keys()


class CeilingLimiter(Limiter):
    """A limiter whose ceilings go by demand."""

    quotas: EscrowQuotas

    def __init__(
        self, settings: api.Settings, seed: int, now: float, source: type[QuotaCoordinator] = QuotaCoordinator
    ) -> None:
        super().__init__(settings, seed, now, type("Escrow", (source,), {"quotas_class": EscrowQuotas}))
        self._others_messages = self.handlers[api.PeerMessage]
        self.handlers[api.PeerMessage] = self._peer_message

    def _peer_message(self, event: api.PeerMessage) -> None:
        message = decode(event.payload)
        if message is not None:
            self.quotas.told(event.sender_index, message)
        elif event.payload[:1] != bytes([FORMAT]):
            self._others_messages(event)

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        actions = super().handle(event, now)
        actions += [api.SendPeerMessage(to, data) for to, data in self.quotas.due()]
        return actions
