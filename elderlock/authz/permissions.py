"""Stores one answer for each open request id, so that a retry gets the same answer. No I/O.

A request id is open from its first request until the permitted request has ended: by the caller's report or at the
deadline. Meanwhile a retry with the same content gets the same answer and takes no units. A request with other content
under the same id is rejected as a duplicate and does not affect the first one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import msgspec

from elderlock.net.command import Command

Kind = Literal["permitted", "refused", "failed", "duplicate", "crowded"]


class Verdict(msgspec.Struct, frozen=True):
    """The answer to a request.

    Attributes:
        kind: The kind of answer. `failed` means that there was no decision in time, and `crowded` that too many
            requests are open.
        retry_after_ms: When a refused request may be retried; 0 if that is not known.
        server: The uid of the server that a permitted request is for.
        endpoint: The address of that server.
        lifetime_ms: How long the permission is valid.
    """

    kind: Kind
    retry_after_ms: float = msgspec.field(name="retry_after", default=0.0)
    server: str = msgspec.field(name="box", default="")
    endpoint: str = ""
    lifetime_ms: float = msgspec.field(name="life", default=0.0)


DUPLICATE, CROWDED = Verdict("duplicate"), Verdict("crowded")
VerdictCallback = Callable[[Verdict], None]


class Entry:
    """The state of one open request id.

    Attributes:
        key: The content of the request; see `request_key`.
        gateway_request_id: The gateway's id of the request; None if the gateway refused it at once.
        verdict: The answer; None while the request is undecided.
        callbacks: The callbacks of the callers that wait for the answer, by their number.
    """

    __slots__ = ("callbacks", "gateway_request_id", "key", "verdict")

    def __init__(self, key: tuple[object, ...]) -> None:
        self.key = key
        self.gateway_request_id: str | None = None
        self.verdict: Verdict | None = None
        self.callbacks: dict[int, VerdictCallback] = {}


def request_key(command: Command) -> tuple[object, ...]:
    """Return the content that a retry must have in common with the first request. Its deadline may differ."""
    return (
        command.customer_id,
        command.class_index,
        command.plan_index,
        command.units,
        command.limiter_count,
        command.first_limiter,
    )


class Permissions:
    """The open request ids and their answers.

    Invariants: each waiting caller gets one verdict; an id has one entry; only undecided requests and permitted ones
    that have not ended are stored, up to the maximum.
    """

    def __init__(self, maximum: int) -> None:
        """Make an empty store for at most `maximum` request ids."""
        self._maximum = maximum
        self._entries: dict[bytes, Entry] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._entries)

    def request(self, command: Command, callback: VerdictCallback) -> tuple[int, Entry | None]:
        """Add a request, or answer a retry.

        Args:
            command: The request.
            callback: Is called with the verdict: at once if it is already known, else by `resolve`.

        Returns:
            The caller's number for `cancel`, and the entry if it is new and the gateway has to decide the request.
        """
        self._last_number += 1
        entry = self._entries.get(command.client_request_id)
        if entry is None:
            if len(self._entries) >= self._maximum:
                callback(CROWDED)
                return self._last_number, None
            entry = self._entries[command.client_request_id] = Entry(request_key(command))
            entry.callbacks[self._last_number] = callback
            return self._last_number, entry
        if entry.key != request_key(command):
            callback(DUPLICATE)
        elif entry.verdict is not None:
            callback(entry.verdict)
        else:
            entry.callbacks[self._last_number] = callback
        return self._last_number, None

    def resolve(self, request_id: bytes, verdict: Verdict) -> None:
        """Give the verdict to all waiting callers. A refusal closes the id, so a retry is a new request."""
        entry = self._entries.get(request_id)
        if entry is None or entry.verdict is not None:
            return
        entry.verdict = verdict
        if verdict.kind != "permitted":
            del self._entries[request_id]
        callbacks, entry.callbacks = entry.callbacks, {}
        for callback in callbacks.values():
            callback(verdict)

    def cancel(self, request_id: bytes, number: int) -> str | None:
        """Remove a caller that no longer waits.

        Args:
            request_id: The id of the request.
            number: The caller's number.

        Returns:
            The gateway's id of the request if the last caller has left before the decision: the request must then be
            cancelled, so that it takes no units for an answer that nobody receives. Else None.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.callbacks.pop(number, None) is None or entry.callbacks or entry.verdict is not None:
            return None
        del self._entries[request_id]
        return entry.gateway_request_id

    def find_in_flight(self, request_id: bytes, customer: str) -> str | None:
        """Return the gateway's id of a permitted request that has not ended; None if it is not this customer's."""
        entry = self._entries.get(request_id)
        if entry is None or entry.verdict is None or entry.key[0] != customer:
            return None
        return entry.gateway_request_id

    def remove(self, request_id: bytes) -> None:
        """Close an id after the permitted request has ended or its deadline has passed."""
        self._entries.pop(request_id, None)
