"""Hard ceilings split by demand: a limiter that needs more than its even part requests spare units from others.

The method is known as escrow (O'Neil, "The escrow transactional method", 1986) and as the demarcation protocol (Barbara
and Garcia-Molina, 1994).

Units are transferred and never created: the granting limiter subtracts them from its own part before it sends the
grant, and the receiver adds them once, for a request of its own that is at most `REQUEST_LIFETIME_MS` old by its own
clock. A message that is lost, late, repeated, out of order, or meant for an earlier process may lose units but never
adds any. `docs/design/shared.md` has the proof that all parts together stay within one bucket.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from elderlock import interface as api
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.quotas import Quotas
from elderlock.gossip.escrow_messages import FRACTIONS_PER_UNIT, EscrowGrant, EscrowRequest, encode
from elderlock.state import Account, OpenRequest

REQUEST_LIFETIME_MS = 500.0  # how long a grant for a request is accepted
REQUEST_INTERVAL_MS = 100.0  # between two requests for one customer
PEERS_PER_REQUEST = 2
NEED_MS = MS_PER_SECOND  # a limiter needs the units that it uses in this time, and does not grant them ...
NEED_REQUESTS = 2.0  # ... plus the units of this many requests if it sent any within that time
MIN_GRANT_REQUESTS = 0.5  # a grant smaller than the mean units of this many requests is not sent
SEND_FRACTION = 0.05  # of the peer messages that a limiter can receive
BURST_DATAGRAMS = 8.0
MAX_OPENED_ACCOUNTS = 1024  # of customers that only use other limiters so far
REQUEST_ID_BITS = 32
NEVER_MS = float("-inf")


class PendingRequest:
    """A request that may still be granted.

    Attributes:
        customer_key: The customer.
        sent_at_ms: When it was sent.
        asked_peers: The limiters that received it and have not granted it yet.
    """

    __slots__ = ("asked_peers", "customer_key", "sent_at_ms")

    def __init__(self, customer_key: int, sent_at_ms: float, asked_peers: set[int]) -> None:
        """Create a request that none of `asked_peers` has granted yet."""
        self.customer_key = customer_key
        self.sent_at_ms = sent_at_ms
        self.asked_peers = asked_peers


@dataclass(frozen=True, slots=True)
class UnitsInTransit:
    """Units that were granted and that the receiver may still add to its part.

    Attributes:
        until_ms: When the receiver can no longer accept the grant.
        units: The number of units.
    """

    until_ms: float
    units: float


@dataclass(frozen=True, slots=True)
class EscrowDatagram:
    """A datagram to send.

    Attributes:
        peer_index: The index of the limiter to send to.
        payload: The encoded message.
    """

    peer_index: int
    payload: bytes


class EscrowQuotas(Quotas):
    """Accounts whose parts of a hard ceiling are transferred between limiters.

    Invariant: over all limiters that share a ceiling, the levels of their parts and the units in transit add up to at
    most its burst. All limiters together therefore send no more than one bucket of that rate and burst allows. This
    holds because the capacity of a part is its fraction of the burst, less the units that it granted and that the
    receiver may still add.

    Attributes:
        granted_units: The units granted since the start.
        received_units: The units received since the start.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Create accounts without transferred units."""
        super().__init__(context)
        self.granted_units = 0.0
        self.received_units = 0.0
        self._rng = random.Random(context.rng.random())
        self._latest_request_id = self._rng.getrandbits(REQUEST_ID_BITS)  # random, unlike an earlier process's
        self._pending: dict[int, PendingRequest] = {}  # by request id
        self._requested_at_ms: dict[int, float] = {}  # by customer
        self._next_peer: dict[int, int] = {}  # by customer, the index into its peers
        self._in_transit: dict[int, list[UnitsInTransit]] = {}  # by customer, the oldest first
        self._answered_at_ms: dict[tuple[int, int], float] = {}  # by sender and request id
        self._opened_accounts: set[int] = set()
        self._outbox: list[tuple[int, EscrowRequest | EscrowGrant]] = []
        self._rate_per_s = SEND_FRACTION * context.settings.quota_sources.peer_messages_per_s
        self._available_datagrams = BURST_DATAGRAMS
        self._budget_updated_at_ms = context.now_ms

    # The part

    def refresh(self, account: Account) -> None:
        """Refill an account up to the current time; see `Quotas.refresh`."""
        level_units = account.ceiling_units
        refreshed_at_ms = account.refreshed_at_ms
        super().refresh(account)
        if account.key in self._in_transit:
            account.ceiling_units = self._refilled(account, level_units, refreshed_at_ms)

    def _refilled(self, account: Account, level_units: float, refreshed_at_ms: float) -> float:
        """Return the current level of the part, whose capacity grows as units in transit expire.

        Args:
            account: An account with units in transit.
            level_units: The level at `refreshed_at_ms`.
            refreshed_at_ms: The time of the last refill.
        """
        now_ms = self.context.now_ms
        capacity_units = _part_capacity_units(account)
        rate_per_ms = account.plan.ceiling_rate_per_s / account.limiter_count / MS_PER_SECOND
        in_transit = self._in_transit[account.key]
        while in_transit and in_transit[0].until_ms <= now_ms:
            until_ms = max(in_transit[0].until_ms, refreshed_at_ms)
            refilled_units = level_units + rate_per_ms * (until_ms - refreshed_at_ms)
            level_units = min(refilled_units, capacity_units - _sum_units(in_transit))
            refreshed_at_ms = until_ms
            in_transit.pop(0)
        if not in_transit:
            del self._in_transit[account.key]
        refilled_units = level_units + rate_per_ms * (now_ms - refreshed_at_ms)
        return min(refilled_units, capacity_units - _sum_units(in_transit))

    def refund(self, request: OpenRequest) -> None:
        """Return the units of a request to its account; see `Quotas.refund`."""
        super().refund(request)
        account = request.account
        in_transit_units = _sum_units(self._in_transit.get(account.key, []))
        account.ceiling_units = min(account.ceiling_units, _part_capacity_units(account) - in_transit_units)

    def in_transit_units(self) -> float:
        """Return the units in transit of all customers."""
        now_ms = self.context.now_ms
        return sum(
            transfer.units
            for in_transit in self._in_transit.values()
            for transfer in in_transit
            if transfer.until_ms > now_ms
        )

    # Requests

    def exceeds_hard_ceiling(self, account: Account, units: float) -> bool:
        """Return whether `units` exceed this limiter's part; request more units if they do."""
        is_exceeded = super().exceeds_hard_ceiling(account, units)
        if is_exceeded:
            self._request_units(account)
        return is_exceeded

    def charge(self, request: OpenRequest) -> None:
        """Charge a request that is sent, and request more units if the part runs low."""
        super().charge(request)
        self._request_units(request.account)

    def _needed_units(self, account: Account) -> float:
        """Return the units that the limiter needs: its use over `NEED_MS`, limited by the capacity of its part."""
        has_sent_lately = self.context.now_ms - account.sent_at_ms < NEED_MS
        used_units = account.own_rate_per_s * NEED_MS / MS_PER_SECOND
        needed_units = used_units + NEED_REQUESTS * account.mean_request_units * has_sent_lately
        return min(needed_units, _part_capacity_units(account))

    def _request_units(self, account: Account) -> None:
        """Request the units that the limiter lacks from the next peers in round-robin order."""
        now_ms = self.context.now_ms
        if account.plan.ceiling_rate_per_s <= 0 or account.limiter_count <= 1:
            return
        missing_units = self._needed_units(account) - account.ceiling_units
        requested_at_ms = self._requested_at_ms.get(account.key, NEVER_MS)
        if missing_units < account.mean_request_units or now_ms - requested_at_ms < REQUEST_INTERVAL_MS:
            return
        if not self._may_send():
            return
        asked_peers = self._take_peers(account)
        self._available_datagrams -= len(asked_peers)
        self._requested_at_ms[account.key] = now_ms
        self._latest_request_id = (self._latest_request_id + 1) % (1 << REQUEST_ID_BITS)
        self._pending[self._latest_request_id] = PendingRequest(account.key, now_ms, set(asked_peers))
        request = EscrowRequest(
            request_id=self._latest_request_id,
            customer_key=account.key,
            plan_index=self.context.settings.plans.index(account.plan),
            limiter_count=account.limiter_count,
            first_limiter=account.first_limiter,
            units=missing_units / len(asked_peers),  # if several peers granted all of it, the excess would be lost
        )
        self._outbox += [(peer_index, request) for peer_index in asked_peers]

    def _take_peers(self, account: Account) -> list[int]:
        """Return the next peers to ask, and advance the round-robin index."""
        peers = self._peers(account)
        first = self._next_peer.get(account.key, self._rng.randrange(len(peers)))
        count = min(PEERS_PER_REQUEST, len(peers), int(self._available_datagrams))
        self._next_peer[account.key] = (first + count) % len(peers)
        return [peers[(first + offset) % len(peers)] for offset in range(count)]

    def _peers(self, account: Account) -> list[int]:
        """Return the other limiters that share the account's ceiling."""
        settings = self.context.settings
        members = [(account.first_limiter + offset) % settings.limiter_count for offset in range(account.limiter_count)]
        return [member for member in members if member != settings.limiter_index]

    def _may_send(self) -> bool:
        """Refill the budget of datagrams, and return whether it allows one."""
        now_ms = self.context.now_ms
        refilled_datagrams = self._rate_per_s * (now_ms - self._budget_updated_at_ms) / MS_PER_SECOND
        self._available_datagrams = min(BURST_DATAGRAMS, self._available_datagrams + refilled_datagrams)
        self._budget_updated_at_ms = now_ms
        return self._available_datagrams >= 1

    def due_datagrams(self) -> list[EscrowDatagram]:
        """Return the datagrams to send now."""
        outbox, self._outbox = self._outbox, []
        return [EscrowDatagram(peer_index, encode(message)) for peer_index, message in outbox]

    # Messages of other limiters

    def handle_message(self, sender: int, message: EscrowRequest | EscrowGrant) -> None:
        """Handle a message from the limiter `sender`."""
        if isinstance(message, EscrowGrant):
            self._handle_grant(sender, message)
        else:
            self._handle_request(sender, message)

    def _handle_grant(self, sender: int, grant: EscrowGrant) -> None:
        """Add the units of a grant up to the capacity of the part, once and only while the request is valid."""
        pending = self._pending.get(grant.request_id)
        if pending is None or sender not in pending.asked_peers:
            return
        if self.context.now_ms - pending.sent_at_ms >= REQUEST_LIFETIME_MS:
            return
        pending.asked_peers.discard(sender)
        account = self.accounts.get(pending.customer_key)
        if account is None:
            return
        self.refresh(account)
        in_transit_units = _sum_units(self._in_transit.get(account.key, []))
        headroom_units = _part_capacity_units(account) - in_transit_units - account.ceiling_units
        received_units = max(0.0, min(grant.units, headroom_units))
        account.ceiling_units += received_units
        self.received_units += received_units

    def _handle_request(self, sender: int, request: EscrowRequest) -> None:
        """Grant the units that this limiter does not need, at most once per request."""
        now_ms = self.context.now_ms
        account = self._account_for(sender, request)
        answer_key = (sender, request.request_id)
        if account is None or answer_key in self._answered_at_ms or not self._may_send():
            return
        if now_ms - self._requested_at_ms.get(request.customer_key, NEVER_MS) < REQUEST_LIFETIME_MS:
            return  # this limiter needs units itself
        self.refresh(account)
        spare_units = min(request.units, account.ceiling_units - self._needed_units(account))
        units = int(spare_units * FRACTIONS_PER_UNIT) / FRACTIONS_PER_UNIT
        if units < min(request.units, MIN_GRANT_REQUESTS * account.mean_request_units) or units <= 0.0:
            return
        self._available_datagrams -= 1
        self._answered_at_ms[answer_key] = now_ms
        account.ceiling_units -= units
        in_transit = UnitsInTransit(now_ms + REQUEST_LIFETIME_MS, units)
        self._in_transit.setdefault(request.customer_key, []).append(in_transit)
        self.granted_units += units
        self._outbox.append((sender, EscrowGrant(request.request_id, units)))

    def _account_for(self, sender: int, request: EscrowRequest) -> Account | None:
        """Return this limiter's account for the customer of a request.

        The account is opened if the customer has not used this limiter yet, because this limiter holds a part of the
        ceiling in any case.

        Returns:
            The account; None where the sender's view of the split differs, or one of the two limiters has no part.
        """
        settings = self.context.settings
        if request.plan_index >= len(settings.plans) or not 1 < request.limiter_count <= settings.limiter_count:
            return None
        plan = settings.plans[request.plan_index]
        sender_offset = (sender - request.first_limiter) % settings.limiter_count
        own_offset = (settings.limiter_index - request.first_limiter) % settings.limiter_count
        if plan.ceiling_rate_per_s <= 0 or sender_offset == own_offset:
            return None
        if max(sender_offset, own_offset) >= request.limiter_count:
            return None
        account = self.accounts.get(request.customer_key)
        if account is None and len(self._opened_accounts) < MAX_OPENED_ACCOUNTS:
            account = self._open_for(request, plan)
        is_same_split = account is not None and account.plan is plan and account.limiter_count == request.limiter_count
        return account if is_same_split else None

    def _open_for(self, request: EscrowRequest, plan: api.Plan) -> Account:
        account = self._open_account(request.customer_key, plan, request.limiter_count, request.first_limiter)
        self.accounts[request.customer_key] = account
        self.idle_accounts.touch(request.customer_key, self.context.now_ms)
        self._opened_accounts.add(request.customer_key)
        return account

    # Maintenance

    def expire_accounts(self) -> None:
        """Remove idle accounts and expired requests; see `Quotas.expire_accounts`."""
        super().expire_accounts()
        now_ms = self.context.now_ms
        self._pending = {
            request_id: pending
            for request_id, pending in self._pending.items()
            if now_ms - pending.sent_at_ms < REQUEST_LIFETIME_MS
        }
        self._answered_at_ms = {
            answer_key: at_ms
            for answer_key, at_ms in self._answered_at_ms.items()
            if now_ms - at_ms < 2 * REQUEST_LIFETIME_MS
        }
        self._requested_at_ms = {
            key: at_ms for key, at_ms in self._requested_at_ms.items() if now_ms - at_ms < REQUEST_LIFETIME_MS
        }
        self._next_peer = {key: peer for key, peer in self._next_peer.items() if key in self.accounts}
        self._in_transit = {key: units for key, units in self._in_transit.items() if key in self.accounts}
        self._opened_accounts &= self.accounts.keys()


def _part_capacity_units(account: Account) -> float:
    """Return the capacity of one limiter's part of the account's ceiling."""
    return account.plan.ceiling_burst_units / account.limiter_count


def _sum_units(in_transit: list[UnitsInTransit]) -> float:
    return sum(transfer.units for transfer in in_transit)
