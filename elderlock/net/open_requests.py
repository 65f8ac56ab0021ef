"""The requests that a gateway has accepted, limited in number and memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from elderlock import interface as api
from elderlock.net.command import Command
from elderlock.net.memory_budget import MemoryBudget
from elderlock.net.request_ids import RequestIds
from elderlock.net.server_connection import Attempt
from elderlock.settings_reader import SocketSettings

# Memory that a request uses in addition to its command, including the answer.
REQUEST_OVERHEAD_BYTES = 1 << 13
# Memory that a remembered id uses.
REMEMBERED_ID_BYTES = 128
# How long at least an id is remembered, unless there are too many.
MIN_ID_MEMORY_MS = 10_000.0


class Authorisation:
    """The callbacks and permit of a request that its caller forwards itself.

    Attributes:
        on_permitted: Called once with the server, its address and how long (ms) the permit is valid.
        on_ended: Called when the permit has ended, by the caller's report or at its deadline.
        server_id: The server that the request may be sent to; empty until it is permitted.
        expiry_timer: Ends the permit at its deadline.
    """

    __slots__ = ("expiry_timer", "on_ended", "on_permitted", "server_id")

    def __init__(self, on_permitted: Callable[[str, str, float], None], on_ended: Callable[[], None]) -> None:
        self.on_permitted = on_permitted
        self.on_ended = on_ended
        self.server_id = ""
        self.expiry_timer: asyncio.TimerHandle | None = None


class PendingRequest:
    """An accepted request, until it is answered and none of its attempts is open.

    Attributes:
        request_id: The gateway's id of the request, also used by the limiter. The client's id cannot be used, as the
            client may reuse it while an attempt for the answered request is still open.
        command: The parsed request.
        reply: Called once with the encoded answer.
        attempts: All attempts so far, by index.
        open_attempts: Number of attempts that have no outcome yet.
        arrived_at_ms: When it was accepted.
        memory_bytes: Memory that it uses.
        is_answered: Whether it has its final answer, or its client has disconnected.
        is_abandoned: Whether its client has disconnected.
        authorisation: Set if the caller forwards the request itself.
        deadline_timer: Fails the request shortly before its client's wait ends.
    """

    __slots__ = (
        "arrived_at_ms",
        "attempts",
        "authorisation",
        "command",
        "deadline_timer",
        "is_abandoned",
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
        self.is_abandoned = False
        self.authorisation: Authorisation | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None

    def was_forwarded(self) -> bool:
        """Whether an attempt was written to a server, which may have executed it."""
        return any(attempt.is_sent for attempt in self.attempts)

    def cancel_deadline(self) -> None:
        """Stop the deadline's timer."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None


class OpenRequests:
    """The accepted requests by id, limited in number and memory.

    Attributes:
        max_count: Maximum number of requests held at once.
        free_bytes: Memory left for further requests.
        ids: The clients' ids of these requests and of commands that wait or whose answer waits.
        get: Returns the request with an id, or None. It is the dictionary's method, without a wrapper, because it is
            called several times for each request.
    """

    def __init__(
        self, settings: SocketSettings, request_classes: tuple[api.RequestClass, ...], memory: MemoryBudget
    ) -> None:
        """Initialise an empty table.

        Args:
            settings: Maximum number of open requests, and the longest deadline.
            request_classes: The request classes, by index.
            memory: The process's memory, of which it has a part.
        """
        self.max_count = settings.max_open_requests
        self.free_bytes = float(memory.requests)
        self.ids = RequestIds(
            memory.remembered_ids // (2 * REMEMBERED_ID_BYTES), max(MIN_ID_MEMORY_MS, settings.longest_deadline_ms)
        )
        self._is_repeatable = [
            request_class.idempotency is api.Idempotency.IDEMPOTENT for request_class in request_classes
        ]
        self._requests: dict[str, PendingRequest] = {}
        self._last_number = 0
        self.get = self._requests.get

    def __len__(self) -> int:
        """Return the number of requests held, including answered ones with open attempts."""
        return len(self._requests)

    def add(self, command: Command, reply: Callable[[bytes], None], now_ms: float) -> PendingRequest | None:
        """Accept a request, which then holds its client's id; return None if one more would exceed the limits."""
        # The command is held twice: as received, and as encoded for a server.
        memory_bytes = REQUEST_OVERHEAD_BYTES + 2 * command.size_bytes
        free_bytes = self.free_bytes - memory_bytes
        if len(self._requests) >= self.max_count or free_bytes < 0.0:
            return None
        self.free_bytes = free_bytes
        self._last_number += 1
        self.ids.share(command.client_request_id)
        request_id = f"r{self._last_number}"
        request = self._requests[request_id] = PendingRequest(request_id, command, reply, now_ms, memory_bytes)
        return request

    def unanswered(self) -> list[PendingRequest]:
        """Return the requests that have no final answer yet."""
        return [request for request in self._requests.values() if not request.is_answered]

    def unfinished_count(self) -> int:
        """Return the number of requests without a final answer, and of permits that have not ended."""
        return sum(
            1 for request in self._requests.values() if not request.is_answered or request.authorisation is not None
        )

    def remove_if_finished(self, request: PendingRequest) -> None:
        """Remove a request if it is answered and has no open attempt.

        The id of a forwarded request is remembered if its client has left, or if it must not be executed again.
        """
        if not request.is_answered or request.open_attempts != 0:
            return
        if self._requests.pop(request.request_id, None) is None:
            return
        self.free_bytes += request.memory_bytes
        client_request_id = request.command.client_request_id
        must_remember = request.is_abandoned or not self._is_repeatable[request.command.class_index]
        if must_remember and request.was_forwarded():
            self.ids.remember(client_request_id)
        self.ids.release(client_request_id)
