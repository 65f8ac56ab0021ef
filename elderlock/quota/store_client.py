"""The interface of a client of a counter's store, and the events that it reports."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from elderlock.quota.counter_call import CounterCall


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """The callbacks of a client. Each call has one outcome, which may be reported before `send` returns.

    Attributes:
        answered: Called with a call's token and the new total.
        failed: Called with a call's token, whether the store may have added the amount nevertheless, and whether it
            refused the call because it is busy.
        connection_lost: Called when the connections broke or the address changed; the store's counts may be lost.
    """

    answered: Callable[[int, float], None]
    failed: Callable[[int, bool, bool], None]
    connection_lost: Callable[[], None]


class StoreClient(Protocol):
    """A client of a counter's store."""

    def send(self, calls: Sequence[CounterCall]) -> None:
        """Send calls without waiting. A call that cannot be sent now fails, and the store adds nothing for it."""

    def close(self) -> None:
        """Close the connections. The outcomes of calls under way may not be reported."""
