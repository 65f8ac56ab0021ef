"""The calls that the lease book passes to the client of a store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CounterCall:
    """`TALLY name amount lifetime`: adds to a name's total and returns the new total.

    Attributes:
        token: The id under which the outcome of the call is reported.
        name: The name in the counter.
        amount_units: The units to add; may be negative or 0.
        lifetime_ms: The time after which the counter deletes a new name.
    """

    token: int
    name: str
    amount_units: float
    lifetime_ms: float
