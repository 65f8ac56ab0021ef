"""Compares a run of real processes with the simulation of the same schedule. No I/O.

Each run is reduced to sequences of entries that do not depend on exact times, and the first difference between two
sequences is reported. A sequence has one subject: the states of a server in a limiter's lists, the faults as they
began, or the violated rules. A real machine and a simulated one never send the same bytes at the same microsecond, but
within each sequence lists, faults and violations have to come in the same order.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from elderlock.trial.history import Event


class Entry(NamedTuple):
    """An entry of a sequence.

    Attributes:
        at: When it happened, in ms of the schedule.
        text: What is compared.
    """

    at: float
    text: str


class Divergence(NamedTuple):
    """The first difference between two sequences with the same subject.

    Attributes:
        subject: Their subject.
        number: The number of the entry, from 1.
        real: The entry of the real run; None if its sequence is shorter.
        simulated: The entry of the simulation; None if its sequence is shorter.
    """

    subject: str
    number: int
    real: Entry | None
    simulated: Entry | None

    @property
    def at(self) -> float:
        """When the runs differ: the time of the earlier of both entries."""
        return min(entry.at for entry in (self.real, self.simulated) if entry is not None)

    def text(self) -> str:
        """Return the difference as text."""

        def describe(entry: Entry | None) -> str:
            return f"{entry.text!r} at {entry.at / 1000.0:.3f} s" if entry is not None else "nothing more"

        both = f"{describe(self.real)} in the real run, {describe(self.simulated)} in the simulation"
        return f"{self.subject}, step {self.number}: {both}"


def event_sequences(
    events: Iterable[Event], broken: Iterable[tuple[str, float, str]], schedule_start_ms: float
) -> dict[str, list[Entry]]:
    """Reduce a run to sequences.

    Args:
        events: The events of the run, sorted by time.
        broken: The rule, time in ms of the run and text of each violation.
        schedule_start_ms: When the schedule began, in ms of the run.

    Returns:
        The sequences by subject; the times of their entries count from the start of the schedule.
    """
    sequences: dict[str, list[Entry]] = defaultdict(list)
    states: dict[tuple[str, str], str] = {}
    for event in events:
        at, args = event.at - schedule_start_ms, event.args
        if event.name == "told":
            limiter, server, state = str(args[0]), str(args[1]), str(args[2])
            if states.get((limiter, server)) != state and not (state == "gone" and (limiter, server) not in states):
                states[limiter, server] = state
                sequences[f"lists {limiter} {server}"].append(Entry(at, state))
        elif event.name == "limiter_began":
            for key in [key for key in states if key[0] == args[0]]:
                del states[key]
        elif event.name == "fault":
            sequences["faults"].append(Entry(at, f"{args[1]} {args[2]}"))
    rules_seen = set()
    for rule, at, _ in broken:
        if rule not in rules_seen:
            rules_seen.add(rule)
            sequences["rules"].append(Entry(at - schedule_start_ms, rule))
    for subject in ("faults", "rules"):
        sequences[subject].sort(key=lambda entry: (entry.at, entry.text) if subject == "rules" else (entry.at, ""))
    return dict(sequences)


def first_differences(real: dict[str, list[Entry]], simulated: dict[str, list[Entry]]) -> list[Divergence]:
    """Return the first difference of each subject on which two runs differ, the earliest first.

    The list that a restarted limiter receives again adds an entry, so a limiter that started once more often than in
    the other run has a longer sequence.
    """
    found = []
    for subject in sorted(set(real) | set(simulated)):
        real_entries: Sequence[Entry] = real.get(subject, ())
        simulated_entries: Sequence[Entry] = simulated.get(subject, ())
        for index in range(max(len(real_entries), len(simulated_entries))):
            real_entry = real_entries[index] if index < len(real_entries) else None
            simulated_entry = simulated_entries[index] if index < len(simulated_entries) else None
            if real_entry is None or simulated_entry is None or real_entry.text != simulated_entry.text:
                found.append(Divergence(subject, index + 1, real_entry, simulated_entry))
                break
    return sorted(found, key=lambda divergence: divergence.at)
