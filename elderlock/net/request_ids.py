"""The clients' ids of requests that are open or may still take effect: none of them is accepted a second time."""

from __future__ import annotations


class RequestIds:
    """Counts the holders of each client's request id, and remembers ids that must not be accepted again.

    A command holds its id from when it is read until its answer has left on its connection, and an accepted request
    until none of its attempts is open. The id of a request that may have been executed is remembered for one to two
    generations if its client left before its answer, or if its class is not idempotent.
    """

    def __init__(self, max_remembered: int, generation_ms: float) -> None:
        """Initialise without ids.

        Args:
            max_remembered: Maximum number of ids that one generation remembers. A full one ends early.
            generation_ms: How long a generation lasts.
        """
        self._max_remembered = max_remembered
        self._generation_ms = generation_ms
        self._generation_ends_at_ms = 0.0
        self._holders: dict[bytes, int] = {}
        # Hashes, so that the memory does not depend on the length of the ids.
        self._generation: set[int] = set()
        self._previous_generation: set[int] = set()

    def __len__(self) -> int:
        """Return the number of ids that are held."""
        return len(self._holders)

    @property
    def remembered_count(self) -> int:
        """The number of ids that are remembered without a holder."""
        return len(self._generation) + len(self._previous_generation)

    def hold(self, request_id: bytes) -> bool:
        """Hold an id as its first holder; return False, without holding it, if it is held or remembered."""
        if request_id in self._holders:
            return False
        key = hash(request_id)
        if key in self._generation or key in self._previous_generation:
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

    def remember(self, request_id: bytes) -> None:
        """Remember the id of a request that may have been executed."""
        if len(self._generation) >= self._max_remembered:
            self._start_generation()
        self._generation.add(hash(request_id))

    def expire(self, now_ms: float) -> None:
        """Start a new generation if the current one is over; called regularly."""
        if now_ms >= self._generation_ends_at_ms:
            self._generation_ends_at_ms = now_ms + self._generation_ms
            self._start_generation()

    def _start_generation(self) -> None:
        """Forget the ids of the generation before the current one."""
        self._previous_generation = self._generation
        self._generation = set()
