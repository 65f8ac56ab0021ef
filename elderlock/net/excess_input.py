"""The memory for commands that wait on client connections, beyond what each connection may hold by itself."""

from __future__ import annotations


class ExcessInput:
    """Counts the bytes of all connections that wait beyond their own share, against one limit.

    The end of a connection is only detected behind all that its client has sent, so reading goes on while there is
    memory: a request must not be forwarded for a client that has gone.

    Attributes:
        used_bytes: The bytes that are waiting now.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.used_bytes = 0

    def resize(self, old_bytes: int, new_bytes: int) -> None:
        """Count a connection's waiting bytes anew."""
        self.used_bytes += new_bytes - old_bytes

    def is_full(self) -> bool:
        """Whether connections beyond their own share must not be read."""
        return self.used_bytes >= self._max_bytes
