"""The requests that a gateway has accepted, and the limits on their number and memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from elderlock.net.command import Command
from elderlock.net.server_connection import Attempt

BYTES_PER_MB = 1 << 20
# Of the memory, for open requests; the program itself and its connections need the rest, also where the limit is 32 MB.
REQUEST_MEMORY_FRACTION = 0.25
# Memory that one request takes beside its command, answer included.
REQUEST_OVERHEAD_BYTES = 1 << 13


class Authorisation:
    """The asker's side of a request that it forwards itself.

    Attributes:
        on_permitted: Called once with the server, its address and how long (ms) the permit is valid.
        on_ended: Called when the permit has ended, by the asker's report or by its deadline.
        server_id: The server that the request may go to; empty until it is permitted.
        expiry_timer: Ends the permit at its deadline.
    """

    __slots__ = ("expiry_timer", "on_ended", "on_permitted", "server_id")

    def __init__(self, on_permitted: Callable[[str, str, float], None], on_ended: Callable[[], None]) -> None:
        self.on_permitted = on_permitted
        self.on_ended = on_ended
        self.server_id = ""
        self.expiry_timer: asyncio.TimerHandle | None = None


class PendingRequest:
    """A request accepted from a client, until it is answered and none of its attempts is open.

    Attributes:
        request_id: The gateway's id of the request, by which the limiter knows it. The client's own may come again
            while an attempt for the answered request is still open.
        command: The request as parsed.
        reply: Called once with the encoded answer.
        attempts: All attempts so far, by their index.
        open_attempts: Number of attempts that have no outcome yet.
        arrived_at_ms: When it was accepted.
        memory_bytes: Memory that it takes.
        is_answered: Whether it has its final answer, or its client has gone.
        authorisation: Set where the asker forwards the request itself.
        deadline_timer: Fails the request when its client's wait is nearly over.
    """

    __slots__ = (
        "arrived_at_ms",
        "attempts",
        "authorisation",
        "command",
        "deadline_timer",
        "is_answered",
        "memory_bytes",
        "open_attempts",
        "reply",
        "request_id",
    )

    def __init__(
        self,
        request_id: str,
        command: Command,
        reply: Callable[[bytes], None],
        arrived_at_ms: float,
        memory_bytes: int,
    ) -> None:
        self.request_id = request_id
        self.command = command
        self.reply = reply
        self.memory_bytes = memory_bytes
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.arrived_at_ms = arrived_at_ms
        self.is_answered = False
        self.authorisation: Authorisation | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None

    def cancel_deadline(self) -> None:
        """Stop the deadline's timer."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None


class OpenRequests:
    """The accepted requests by their ids, bounded in number and memory.

    Attributes:
        max_count: The most requests held at once.
        free_bytes: Memory left for further requests.
        client_ids: Clients' ids of the requests that are not answered. The same id is not accepted twice.
        get: Returns the request of an id, or None. It is the dictionary's own method, as each request calls it.
    """

    def __init__(self, max_count: int, memory_mb: float) -> None:
        """Initialise an empty table.

        Args:
            max_count: The most requests held at once.
            memory_mb: Memory that the whole process may take.
        """
        self.max_count = max_count
        self.free_bytes = memory_mb * BYTES_PER_MB * REQUEST_MEMORY_FRACTION
        self.client_ids: set[bytes] = set()
        self._requests: dict[str, PendingRequest] = {}
        self._last_number = 0
        self.get = self._requests.get

    def __len__(self) -> int:
        """Return the number of requests held, answered ones with open attempts included."""
        return len(self._requests)

    def add(self, command: Command, reply: Callable[[bytes], None], now_ms: float) -> PendingRequest | None:
        """Accept a request; return None if one more would exceed the limits."""
        # its command as it came, and once more on its way to a server
        memory_bytes = REQUEST_OVERHEAD_BYTES + 2 * command.size_bytes
        free_bytes = self.free_bytes - memory_bytes
        if len(self._requests) >= self.max_count or free_bytes < 0.0:
            return None
        self.free_bytes = free_bytes
        self._last_number += 1
        self.client_ids.add(command.client_request_id)
        request_id = f"r{self._last_number}"
        request = self._requests[request_id] = PendingRequest(request_id, command, reply, now_ms, memory_bytes)
        return request

    def unanswered(self) -> list[PendingRequest]:
        """Return the requests that have no final answer yet."""
        return [request for request in self._requests.values() if not request.is_answered]

    def remove_if_over(self, request: PendingRequest) -> None:
        """Forget a request that is answered and has no attempt open."""
        if not request.is_answered or request.open_attempts != 0:
            return
        if self._requests.pop(request.request_id, None) is not None:
            self.free_bytes += request.memory_bytes
