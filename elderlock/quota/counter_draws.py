"""What a ledger draws from the counter, and what it holds of it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Draw:
    """One addition to a counter's total, or a reading of a total.

    `amount_units` = `wanted_units` + `raised_units` + `reported_units` - `returned_units`. All are 0 for a reading.

    Attributes:
        name: The name in the counter.
        amount_units: What is added.
        sent_at_ms: When the call was made.
        window: Number of the window that the ledger was in.
        generation: Generation of the counter (`CounterHealth.generation`) that the call belongs to.
        wanted_units: Units that are to be leased.
        raised_units: Units that move the line's end up to rate x time, where it has fallen behind.
        reported_units: Use that was admitted without a call.
        returned_units: Units of earlier draws that nobody will spend.
        is_read: Whether the call reads the end of the window before and adds nothing.
    """

    name: str
    amount_units: float
    sent_at_ms: float
    window: int
    generation: int
    wanted_units: float = 0.0
    raised_units: float = 0.0
    reported_units: float = 0.0
    returned_units: float = 0.0
    is_read: bool = False


@dataclass(slots=True)
class Lease:
    """Units that were drawn and may be spent once their positions have come due.

    Attributes:
        units: Units that are left.
        start_position: Position of the first of them on the line.
        drawn_at_ms: When the counter's answer came.
    """

    units: float
    start_position: float
    drawn_at_ms: float


@dataclass(frozen=True, slots=True)
class OthersReading:
    """What the other limiters had added to the current name's total.

    Attributes:
        added_units: Their additions.
        read_at_ms: When the total was read.
    """

    added_units: float
    read_at_ms: float
