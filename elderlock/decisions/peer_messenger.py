"""Sends messages to other limiters within a budget."""

from __future__ import annotations

from elderlock import interface as api
from elderlock import peer_messages
from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.load_estimator import LoadEstimator

SEND_FRACTION = 0.75  # of the rate that a limiter may receive, so that the receivers' limits hold on average
CAPACITY_PER_RATE = 4  # the budget holds the messages of a quarter of a second


class PeerMessenger:
    """A token bucket of messages to other limiters.

    Invariant: `available_messages` is never above `capacity_messages`.

    Attributes:
        capacity_messages: The maximum number of messages in the budget.
        available_messages: The number of messages that may be sent now.
    """

    def __init__(self, context: DecisionContext, load_estimator: LoadEstimator) -> None:
        """Start with a full budget."""
        self._context = context
        self._load_estimator = load_estimator
        self._received_per_s = context.settings.quota_sources.peer_messages_per_s
        self.capacity_messages = self._received_per_s / CAPACITY_PER_RATE
        self.available_messages = self.capacity_messages

    def can_send(self) -> bool:
        """Whether the budget holds a message."""
        return self.available_messages >= 1.0

    def send(self, receiver: int, message: peer_messages.Message) -> None:
        """Send a message and this limiter's latest latency sample to the limiter with index `receiver`."""
        self.available_messages -= 1.0
        payload = peer_messages.encode(self._load_estimator.encoded_latest_sample(), message)
        self._context.actions.append(api.SendPeerMessage(receiver, payload))

    def refill(self, elapsed_ms: float) -> None:
        """Refill the budget for `elapsed_ms`."""
        earned = SEND_FRACTION * self._received_per_s * elapsed_ms / MS_PER_SECOND
        self.available_messages = min(self.available_messages + earned, self.capacity_messages)
