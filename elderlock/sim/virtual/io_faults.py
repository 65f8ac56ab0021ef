"""The interfaces through which a run disturbs and observes the streams of the simulated network."""

from __future__ import annotations

from typing import Protocol

from elderlock.sim.virtual.processes import Process


class Faults(Protocol):
    """Injects faults into single steps of input and output."""

    def at(self, kind: str, process: Process | None) -> str:
        """Returns the fault of this step of that kind, or an empty string."""


class Tap(Protocol):
    """Observes one end of a stream."""

    def wrote(self, data: bytes) -> None:
        """This end wrote the data."""

    def read(self, data: bytes) -> None:
        """This end read the data."""

    def closed(self, by_us: bool) -> None:
        """This end is closed; `by_us` is whether it closed first."""


class NoFaults:
    """Injects no faults."""

    def at(self, kind: str, process: Process | None) -> str:
        """Returns an empty string."""
        return ""
