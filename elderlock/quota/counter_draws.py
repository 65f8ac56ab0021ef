"""Draws of a ledger from the counter, and the leases that result."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Draw:
    """An addition to a counter's total, or a read of a total.

    `amount_units` = `wanted_units` + `raised_units` + `reported_units` - `returned_units`. All are 0 for a read.

    Attributes:
        name: The name in the counter.
        amount_units: The units that are added.
        sent_at_ms: When the call was made.
        window: The number of the window that the ledger was in.
        generation: The generation of the counter (`CounterHealth.generation`) that the call belongs to.
        wanted_units: The units to lease.
        raised_units: The units that move the end of the line up to rate x time, if it has fallen behind.
        reported_units: The units that were admitted without a call.
        returned_units: The units of earlier draws that this limiter will not spend.
        is_read: Whether the call reads the end of the previous window and adds nothing.
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
    """Units that were drawn and may be spent once their positions are due.

    Attributes:
        units: The remaining units.
        start_position: The position of the first of them on the line.
        drawn_at_ms: When the counter's answer arrived.
    """

    units: float
    start_position: float
    drawn_at_ms: float


@dataclass(frozen=True, slots=True)
class OthersReading:
    """The units that the other limiters had added to the total of the current name.

    Attributes:
        added_units: The sum of their additions.
        read_at_ms: When the total was read.
    """

    added_units: float
    read_at_ms: float
