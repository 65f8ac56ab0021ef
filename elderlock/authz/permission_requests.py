"""Passes each new request id to the gateway once, and each verdict to all callers that wait for it."""

from __future__ import annotations

import asyncio

from elderlock.authz.permissions import Permissions, Verdict, VerdictCallback
from elderlock.interface import Outcome
from elderlock.net.command import Command
from elderlock.net.gateway import Gateway


class PermissionRequests:
    """The requests for permissions at one limiter.

    Attributes:
        pending: The number of undecided requests.
        received: The number of requests received so far, including retries.
        verdict_counts: The number of verdicts so far, by kind. `left` counts requests that all callers cancelled.
    """

    def __init__(self, gateway: Gateway, maximum_permissions: int, maximum_pending: int) -> None:
        """Make an object without requests.

        Args:
            gateway: The limiter's gateway, which decides requests.
            maximum_permissions: The maximum number of open request ids.
            maximum_pending: The maximum number of undecided requests; others are rejected at once.
        """
        self._gateway, self._maximum_pending = gateway, maximum_pending
        self._permissions = Permissions(maximum_permissions)
        self.pending = 0
        self.received = 0
        self.verdict_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._permissions)

    def submit(self, command: Command, callback: VerdictCallback) -> int:
        """Submit a request.

        Args:
            command: The request.
            callback: Is called once with the verdict, possibly before this method returns.

        Returns:
            The caller's number, for `cancel`.
        """
        self.received += 1
        if self.pending >= self._maximum_pending:
            self._count("crowded")
            callback(Verdict("crowded"))
            return 0
        number, entry = self._permissions.request(command, callback)
        if entry is not None:
            request_id = command.client_request_id
            self.pending += 1
            entry.gateway_request_id = self._gateway.permit_requested(
                command,
                on_refused=lambda line: self._on_verdict(request_id, verdict_of_error_line(line)),
                on_permitted=lambda server, endpoint, lifetime_ms: self._on_verdict(
                    request_id, Verdict("permitted", 0.0, server, endpoint, lifetime_ms)
                ),
                on_ended=lambda: self._permissions.remove(request_id),
            )
        return number

    def _on_verdict(self, request_id: bytes, verdict: Verdict) -> None:
        self.pending -= 1
        self._count(verdict.kind)
        self._permissions.resolve(request_id, verdict)

    def _count(self, kind: str) -> None:
        self.verdict_counts[kind] = self.verdict_counts.get(kind, 0) + 1

    def cancel(self, request_id: bytes, number: int) -> None:
        """Remove a caller that no longer waits. Without callers an undecided request is cancelled and takes no units.

        Args:
            request_id: The id of the request.
            number: The caller's number.
        """
        gateway_request_id = self._permissions.cancel(request_id, number)
        if gateway_request_id is not None:
            self.pending -= 1
            self._count("left")
            self._gateway.client_disconnected(gateway_request_id)

    async def request(self, command: Command) -> Verdict:
        """Return the verdict on a request. If the wait is cancelled, so is this caller's request."""
        future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()

        def set_verdict(verdict: Verdict) -> None:
            if not future.done():
                future.set_result(verdict)

        number = self.submit(command, set_verdict)
        if future.done():
            return future.result()
        try:
            return await future
        finally:
            if not future.done() or future.cancelled():
                self.cancel(command.client_request_id, number)

    def report_end(
        self, request_id: bytes, customer: str, outcome: Outcome, duration_ms: float, load_report: bytes
    ) -> bool:
        """Record how a permitted request ended at the server.

        Args:
            request_id: The id of the request.
            customer: The account that it was permitted for.
            outcome: How it ended.
            duration_ms: How long it took; 0 if that is not known.
            load_report: The server's load report, or empty.

        Returns:
            Whether the report counts; False if the request was not permitted or has already ended.
        """
        gateway_request_id = self._permissions.find_in_flight(request_id, customer)
        return gateway_request_id is not None and self._gateway.permitted_request_ended(
            gateway_request_id, outcome, duration_ms, load_report
        )


def verdict_of_error_line(line: bytes) -> Verdict:
    """Return the verdict of an error line of RESP2, the only encoding in which the gateway gives a final answer."""
    if line.startswith(b"-BUSY"):
        retry_after = line[5:].strip()
        return Verdict("refused", float(retry_after) if retry_after.isdigit() else 0.0)
    return Verdict("duplicate" if line.startswith(b"-ERR a request of this id") else "failed")
