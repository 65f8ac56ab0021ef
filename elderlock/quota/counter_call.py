"""What the lease book exchanges with the client of a store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CounterCall:
    """`TALLY name amount lifetime`: adds to a name's total and returns the new total.

    Attributes:
        token: Number under which the answer, or that there is none, is reported.
        name: Name in the counter.
        amount_units: What to add; may be negative or 0.
        lifetime_ms: After which the counter forgets a new name.
    """

    token: int
    name: str
    amount_units: float
    lifetime_ms: float
