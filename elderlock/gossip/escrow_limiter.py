"""A limiter whose parts of hard ceilings move by demand."""

from __future__ import annotations

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.gossip.escrow_messages import decode, is_escrow
from elderlock.gossip.quota_escrow import EscrowQuotas


class EscrowLimiter(Limiter):
    """A limiter with `EscrowQuotas`, whose datagrams it sends and receives.

    Attributes:
        quotas: The accounts.
    """

    quotas: EscrowQuotas

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now_ms: float,
        coordinator_class: type[QuotaCoordinator] = QuotaCoordinator,
    ) -> None:
        """Put `EscrowQuotas` in the place of the coordinator's accounts; see `Limiter`."""
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
        """Handle an event; the actions include the datagrams that are due."""
        actions = super().handle(event, now_ms)
        actions += [
            api.SendPeerMessage(datagram.peer_index, datagram.payload) for datagram in self.quotas.due_datagrams()
        ]
        return actions
