"""What a client of a counter's store offers, and what it reports. One store is one module."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from elderlock.quota.counter_call import CounterCall


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """Where a client reports. Each call has one outcome, which may be reported before `send` returns.

    Attributes:
        answered: A call's token and the new total.
        failed: A call's token, whether the store may have added all the same, and whether it refused as it is busy.
        connection_lost: The connections broke or the address changed: what the store held may be gone.
    """

    answered: Callable[[int, float], None]
    failed: Callable[[int, bool, bool], None]
    connection_lost: Callable[[], None]


class StoreClient(Protocol):
    """A client of a counter's store."""

    def send(self, calls: Sequence[CounterCall]) -> None:
        """Send calls without waiting. A call that cannot be sent now fails as not added."""

    def close(self) -> None:
        """Close the connections. Calls that are under way need not have an outcome."""
