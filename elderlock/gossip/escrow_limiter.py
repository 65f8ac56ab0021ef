"""A limiter that exchanges units of hard ceilings with its peers according to demand."""

from __future__ import annotations

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.gossip.escrow_messages import decode, is_escrow
from elderlock.gossip.quota_escrow import EscrowQuotas


class EscrowLimiter(Limiter):
    """A limiter that keeps its accounts in `EscrowQuotas` and carries its datagrams.

    Attributes:
        quotas: The accounts of all customers.
    """

    quotas: EscrowQuotas

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now_ms: float,
        coordinator_class: type[QuotaCoordinator] = QuotaCoordinator,
    ) -> None:
        """Create a limiter whose coordinator uses `EscrowQuotas`; see `Limiter`."""
        super().__init__(settings, seed, now_ms, type("Escrow", (coordinator_class,), {"quotas_class": EscrowQuotas}))
        self._handle_other_message = self.handlers[api.PeerMessage]
        self.handlers[api.PeerMessage] = self._handle_escrow_message

    def _handle_escrow_message(self, event: api.PeerMessage) -> None:
        message = decode(event.payload)
        if message is not None:
            self.quotas.handle_message(event.sender_index, message)
        elif not is_escrow(event.payload):
            self._handle_other_message(event)

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Handle an event; the returned actions include the datagrams that are due."""
        actions = super().handle(event, now_ms)
        actions += [
            api.SendPeerMessage(datagram.peer_index, datagram.payload) for datagram in self.quotas.due_datagrams()
        ]
        return actions
