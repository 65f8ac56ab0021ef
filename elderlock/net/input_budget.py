"""The memory for what clients have sent and the limiter has not handled yet, over all connections."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

# A part of a command that has not grown for this time gives way to others.
STALLED_AFTER_S = 0.2


class InputHolder(Protocol):
    """A connection's received input."""

    def discard_partial_command(self) -> None:
        """Free the memory of the incomplete command; the command is rejected once it is complete."""


class InputBudget:
    """Counts the bytes of complete and incomplete commands on all connections, against one limit.

    Each connection may hold a small share in any case. Beyond it, while the limit is reached, a further complete
    command is rejected, and an incomplete one is received without being stored: the longest stalled one if there is
    any, otherwise the one that grows. Nothing that was stored as a complete command is given up.

    Attributes:
        share_bytes: The bytes that each connection may hold in any case.
        scarce_above_bytes: While more bytes than this are held, connections should be read in small pieces.
        used_bytes: The bytes that are held now.
        rejected_count: Number of commands rejected so far.
        discarded_count: Number of incomplete commands discarded so far.
    """

    def __init__(self, max_bytes: int, max_connections: int) -> None:
        """Initialise without input.

        Args:
            max_bytes: The limit of all connections.
            max_connections: Maximum number of connections; their shares together are as much as the limit.
        """
        self._max_bytes = max_bytes
        self.scarce_above_bytes = max_bytes // 2
        self.share_bytes = max_bytes // max_connections
        self.used_bytes = 0
        self.rejected_count = 0
        self.discarded_count = 0
        # Loop time at which the incomplete command of each holder grew, the longest ago first.
        self._incomplete: OrderedDict[InputHolder, float] = OrderedDict()

    def resize(self, old_bytes: int, new_bytes: int) -> None:
        """Count a connection's bytes anew."""
        self.used_bytes += new_bytes - old_bytes

    def has_room(self, connection_bytes: int, additional_bytes: int, now_s: float) -> bool:
        """Whether a connection that holds `connection_bytes` may store `additional_bytes` more.

        Incomplete commands that have stalled are discarded to make room.
        """
        while self.used_bytes + additional_bytes > self._max_bytes:
            if connection_bytes + additional_bytes <= self.share_bytes:
                return True
            if not self._discard_stalled(now_s):
                return False
        return True

    def incomplete_command_grew(self, holder: InputHolder, now_s: float) -> None:
        """Record that an incomplete command beyond its connection's share has grown, and make room if there is none."""
        self._incomplete[holder] = now_s
        self._incomplete.move_to_end(holder)
        while self.used_bytes > self._max_bytes and holder in self._incomplete:
            if not self._discard_stalled(now_s):
                self._discard(holder)

    def _discard_stalled(self, now_s: float) -> bool:
        """Discard the longest stalled command; return whether there was one."""
        for holder, grew_at_s in self._incomplete.items():
            if now_s - grew_at_s >= STALLED_AFTER_S:
                self._discard(holder)
                return True
            break
        return False

    def _discard(self, holder: InputHolder) -> None:
        del self._incomplete[holder]
        self.discarded_count += 1
        holder.discard_partial_command()

    def incomplete_command_ended(self, holder: InputHolder) -> None:
        """Stop counting an incomplete command: it is complete, within the share of its connection, or dropped."""
        self._incomplete.pop(holder, None)
