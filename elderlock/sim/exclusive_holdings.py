"""Checks histories of what must be agreed: that a thing is held by one at a time, that what is held of a budget stays
within its bound, that a newer term is never followed by an older one. No I/O; it knows nothing of what was agreed how.

A history is of operations with their times from outside: when somebody asked for a thing (`asked`), when the answer
came (`granted`), when it was given back or ended (`ended`). Between asking and being told, nobody can say when it
happened. So a holding is *certain* from `granted` to `ended` only, and two holdings clash only where they are certain
at one moment: what is told broken is broken, and what an unlucky order could explain is not told (compare Wing and
Gong, Testing and Verifying Concurrent Objects, 1993).
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from elderlock.sim.invariant_checkers import CheckerLimits, InvariantChecker

DRAINED: dict[str, str] = {"box": "boxes that operators took out", "limiter": "limiters that operators took out"}


class Holding(NamedTuple):
    """`what` is held by `holder`. Times are ms of one clock; `granted` is inf for one that was never told of it, and
    `ended` inf for one that holds it still. `term`: of who granted it, 0 where there are none. `units` of a budget."""

    what: str
    holder: str
    asked: float
    granted: float
    ended: float = math.inf
    term: int = 0
    units: float = 1.0

    def text(self) -> str:
        end = "on" if self.ended == math.inf else f"{self.ended:.0f} ms"
        term = f" in term {self.term}" if self.term else ""
        return f"{self.holder} held {self.units:g} of {self.what}{term} from {self.granted:.0f} ms to {end}"


class FencedAction(NamedTuple):
    """`who` acted on `what` with the right of that term, and it took effect (a limiter drained, a budget was spent)."""

    what: str
    who: str
    at: float
    term: int


class Conflict(NamedTuple):
    """`at` a moment at which it shows, and the fewest facts that show it."""

    at: float
    text: str
    facts: tuple[Holding | FencedAction, ...]


def exclusivity_conflicts(holdings: Iterable[Holding]) -> list[Conflict]:
    """Each thing is held by one at a time: the pairs of holdings of two holders that were certain at one moment."""
    by: dict[str, list[Holding]] = defaultdict(list)
    for holding in holdings:
        if holding.granted < holding.ended:
            by[holding.what].append(holding)
    clashes = []
    for held in by.values():
        held.sort(key=lambda h: h.granted)
        live: list[Holding] = []
        for holding in held:
            live = [other for other in live if other.ended > holding.granted]
            for other in live:
                if other.holder != holding.holder:
                    text = f"{other.text()}, while {holding.text()}"
                    clashes.append(Conflict(holding.granted, text, (other, holding)))
            live.append(holding)
    return sorted(clashes, key=lambda clash: clash.at)


def bound_conflicts(holdings: Iterable[Holding], bounds: dict[str, float]) -> list[Conflict]:
    """What is held of each thing stays within its bound at every moment; one clash for each rise over it, with the
    fewest holdings that pass it (the largest first)."""
    by: dict[str, list[Holding]] = defaultdict(list)
    for holding in holdings:
        if holding.what in bounds and holding.granted < holding.ended:
            by[holding.what].append(holding)
    clashes = []
    for what, held in by.items():
        held.sort(key=lambda h: h.granted)
        live: list[Holding] = []
        for holding in held:
            live = [other for other in live if other.ended > holding.granted]
            live.append(holding)
            total = sum(each.units for each in live)
            if total <= bounds[what] + 1e-9:
                continue
            fewest: list[Holding] = []
            for each in sorted(live, key=lambda h: -h.units):
                fewest.append(each)
                if sum(h.units for h in fewest) > bounds[what] + 1e-9:
                    break
            text = f"{total:g} of {what} were held, {bounds[what]:g} are the most: "
            clashes.append(Conflict(holding.granted, text + "; ".join(h.text() for h in fewest), tuple(fewest)))
    return sorted(clashes, key=lambda clash: clash.at)


def fencing_conflicts(acts: Iterable[FencedAction], slack: float = 0.0) -> list[Conflict]:
    """Once a thing was acted on in a term, nobody acts on it in an older one, but within `slack` ms."""
    newest: dict[str, FencedAction] = {}
    clashes = []
    for act in sorted(acts, key=lambda a: a.at):
        last = newest.get(act.what)
        if last is None or act.term >= last.term:
            if last is None or act.term > last.term:
                newest[act.what] = act
        elif act.at > last.at + slack:
            text = (
                f"{act.who} acted on {act.what} in term {act.term} at {act.at:.0f} ms, after {last.who} had done so in "
                f"term {last.term} at {last.at:.0f} ms"
            )
            clashes.append(Conflict(act.at, text, (last, act)))
    return clashes


def generation_regressions(seen: Iterable[tuple[float, str, str, int]]) -> list[Conflict]:
    """`seen`: at, by whom, what, its generation. What one has shown never goes back to an older generation."""
    last: dict[tuple[str, str], tuple[float, int]] = {}
    clashes = []
    for at, who, what, generation in sorted(seen):
        before = last.get((who, what))
        if before is not None and generation < before[1]:
            text = f"{who} showed {what} in generation {generation} at {at:.0f} ms, and before that in {before[1]}"
            clashes.append(Conflict(at, text, ()))
        else:
            last[who, what] = at, generation
    return clashes


class ExclusiveHoldings(InvariantChecker):
    """The checks above as a judge of a run: rules are given as functions that look into what it was told."""

    name = "what is agreed is held by one"

    def __init__(self, rules: CheckerLimits, bounds: dict[str, float] | None = None) -> None:
        super().__init__()
        self.bounds = bounds or {}
        self.holdings: list[Holding] = []
        self.acts: list[FencedAction] = []
        self.shown: list[tuple[float, str, str, int]] = []

    def drain_reported(self, kind: str, target: str, at: float) -> None:
        """A tool told its operator that a limiter sends nothing to the box any more, or that the limiter is drained."""
        if not any(held.holder == target and held.ended == math.inf for held in self.holdings):
            self.holdings.append(Holding(DRAINED[kind], target, at, at))

    def undrain_started(self, target: str, at: float) -> None:
        """An operator's command to bring it back begins."""
        self.holdings = [
            held._replace(ended=max(at, held.granted)) if held.holder == target and held.ended == math.inf else held
            for held in self.holdings
        ]

    def ended(self, at: float) -> None:
        budgets = DRAINED.values()
        single = [held for held in self.holdings if held.what not in self.bounds and held.what not in budgets]
        within = bound_conflicts(self.holdings, {what: most for what, most in self.bounds.items() if most > 0})
        for clash in (
            *exclusivity_conflicts(single),
            *within,
            *fencing_conflicts(self.acts),
            *generation_regressions(self.shown),
        ):
            self.report(clash.at, clash.text)
