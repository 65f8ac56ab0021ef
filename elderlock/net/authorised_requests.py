"""Requests that the caller forwards itself: the limiter permits them, and the caller reports how they ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from elderlock import interface as api
from elderlock.interface import Outcome
from elderlock.net.open_requests import OpenRequests, PendingRequest
from elderlock.net.request_observer import RequestObserver
from elderlock.net.server_pool import ServerPools

# The answer that the observer gets for a permit, which counts as served.
PERMITTED_ANSWER = b"$permitted"


class AuthorisedRequests:
    """The open permits.

    A permit ends with its caller's report or at its deadline. Until then the client's request id counts as open.

    Attributes:
        observer: Notified of each permit, if set.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        requests: OpenRequests,
        server_pools: ServerPools,
        now_ms: Callable[[], float],
        submit: Callable[[api.Event], None],
    ) -> None:
        """Initialise without permits.

        Args:
            loop: Runs the permits' timers.
            requests: The gateway's requests.
            server_pools: Has the servers' addresses and the callback for their load reports.
            now_ms: Returns the current time.
            submit: Passes an event to the limiter.
        """
        self._loop = loop
        self._requests = requests
        self._server_pools = server_pools
        self._now_ms = now_ms
        self._submit = submit
        self.observer: RequestObserver | None = None

    def permit(self, request_id: str, server_id: str, timeout_ms: float) -> None:
        """Tell the caller that it may forward its request to a server.

        A permit whose end is not reported expires at its deadline. Its outcome is then unknown, so it does not change
        the server's statistics.
        """
        request = self._requests.get(request_id)
        if request is None or request.is_answered or request.authorisation is None:
            return  # already answered by the gateway, because the limiter raised an exception on an event
        authorisation = request.authorisation
        authorisation.server_id = server_id
        request.is_answered = True
        request.open_attempts = 1
        request.cancel_deadline()
        authorisation.expiry_timer = self._loop.call_later(
            timeout_ms / 1000.0, self._end, request, Outcome.CANCELLED, timeout_ms
        )
        if self.observer is not None:
            self.observer.on_answer(request.command, self._now_ms() - request.arrived_at_ms, PERMITTED_ANSWER)
        address, _ = self._server_pools.endpoints().get(server_id, ("", 0))
        authorisation.on_permitted(server_id, address, timeout_ms)

    def record_end(self, request_id: str, outcome: Outcome, duration_ms: float, load_report: bytes) -> bool:
        """Record the caller's report on a permitted request; return False if the permit has already ended.

        Args:
            request_id: The gateway's id of the request.
            outcome: How the request ended at the server.
            duration_ms: How long it took; 0 if the caller does not report it.
            load_report: The server's load report, or empty.
        """
        request = self._requests.get(request_id)
        if request is None or request.authorisation is None or not request.authorisation.server_id:
            return False
        if load_report and self._server_pools.on_load_report is not None:
            self._server_pools.on_load_report(request.authorisation.server_id, load_report)
        self._end(request, outcome, duration_ms or self._now_ms() - request.arrived_at_ms)
        return True

    def _end(self, request: PendingRequest, outcome: Outcome, duration_ms: float) -> None:
        authorisation = request.authorisation
        assert authorisation is not None
        if authorisation.expiry_timer is not None:
            authorisation.expiry_timer.cancel()
            authorisation.expiry_timer = None
        request.open_attempts = 0
        self._requests.remove_if_finished(request)
        self._submit(api.AttemptEnded(request.request_id, 0, authorisation.server_id, outcome, duration_ms, True))
        authorisation.on_ended()
