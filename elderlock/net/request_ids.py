"""The clients' ids of open requests: none of them is accepted a second time."""

from __future__ import annotations


class RequestIds:
    """Counts the holders of each client's request id.

    A command holds its id from when it is read until its answer has left on its connection, and an accepted request
    until none of its attempts is open.
    """

    def __init__(self) -> None:
        self._holders: dict[bytes, int] = {}

    def __len__(self) -> int:
        """Return the number of ids that are held."""
        return len(self._holders)

    def hold(self, request_id: bytes) -> bool:
        """Hold an id as its first holder; return False if it is already held."""
        if request_id in self._holders:
            return False
        self._holders[request_id] = 1
        return True

    def share(self, request_id: bytes) -> None:
        """Hold an id as a further holder of the same request."""
        self._holders[request_id] = self._holders.get(request_id, 0) + 1

    def release(self, request_id: bytes) -> None:
        """Stop holding an id."""
        holders = self._holders[request_id] - 1
        if holders:
            self._holders[request_id] = holders
        else:
            del self._holders[request_id]
