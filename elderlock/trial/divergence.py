"""Where a real run and the simulation of the same schedule part: what happened in each, lane by lane, told in words
that do not hang on time, and the first event at which two lanes differ. No I/O.

A lane is one concern: what a limiter heard of a box, the faults as they began, the rules broken. A real machine and a
simulated one never send the same bytes at the same microsecond; that lists, faults and verdicts come in the same order,
lane by lane, is what can be held against each other.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from elderlock.trial.history import Event


class Step(NamedTuple):
    at: float
    what: str


class Parting(NamedTuple):
    """The first difference, by the time of whichever run has it; a step is None where its run's lane had ended."""

    lane: str
    number: int
    real: Step | None
    simulated: Step | None

    @property
    def at(self) -> float:
        return min(step.at for step in (self.real, self.simulated) if step is not None)

    def text(self) -> str:
        def said(step: Step | None) -> str:
            return f"{step.what!r} at {step.at / 1000.0:.3f} s" if step is not None else "nothing more"

        both = f"{said(self.real)} in the real run, {said(self.simulated)} in the simulation"
        return f"{self.lane}, step {self.number}: {both}"


def event_sequences(
    events: Iterable[Event], broken: Iterable[tuple[str, float, str]], zero: float
) -> dict[str, list[Step]]:
    """By lane, in order; times count from the schedule's start."""
    made: dict[str, list[Step]] = defaultdict(list)
    states: dict[tuple[str, str], str] = {}
    for event in events:
        at, args = event.at - zero, event.args
        if event.what == "told":
            limiter, box, state = str(args[0]), str(args[1]), str(args[2])
            if states.get((limiter, box)) != state and not (state == "gone" and (limiter, box) not in states):
                states[limiter, box] = state
                made[f"lists {limiter} {box}"].append(Step(at, state))
        elif event.what == "limiter_began":
            for key in [key for key in states if key[0] == args[0]]:
                del states[key]
        elif event.what == "fault":
            made["faults"].append(Step(at, f"{args[1]} {args[2]}"))
    seen = set()
    for rule, at, _ in broken:
        if rule not in seen:
            seen.add(rule)
            made["rules"].append(Step(at - zero, rule))
    for lane in ("faults", "rules"):
        made[lane].sort(key=lambda step: (step.at, step.what) if lane == "rules" else (step.at, ""))
    return dict(made)


def first_differences(real: dict[str, list[Step]], simulated: dict[str, list[Step]]) -> list[Parting]:
    """One for each lane that differs, the earliest first. A list that a restarted limiter heard anew is one step, so a
    limiter that began once more often than the other shows as a longer lane."""
    found = []
    for lane in sorted(set(real) | set(simulated)):
        one: Sequence[Step] = real.get(lane, ())
        other: Sequence[Step] = simulated.get(lane, ())
        for number in range(max(len(one), len(other))):
            here = one[number] if number < len(one) else None
            there = other[number] if number < len(other) else None
            if here is None or there is None or here.what != there.what:
                found.append(Parting(lane, number + 1, here, there))
                break
    return sorted(found, key=lambda parting: parting.at)
