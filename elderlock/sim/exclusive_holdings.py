"""Checks histories of leases, permits and terms for conflicts.

Three properties are checked: an exclusive resource has one holder at a time, what is held of a budget stays within its
bound, and no action in an older term follows one in a newer term. The module does no I/O and does not depend on the
protocol by which the holders agreed.

A history consists of operations with their times as seen from outside: when a holder asked for a resource (`asked`),
when the answer came (`granted`), and when the resource was given back or expired (`ended`). The grant takes effect at
an unknown time between the request and its answer. A holding is therefore *certain* only from `granted` to `ended`,
and two holdings conflict only where both are certain at one moment. Every reported conflict is real; a history that
some order of the operations can explain is not reported (compare Wing and Gong, Testing and Verifying Concurrent
Objects, 1993).
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from elderlock.sim.invariant_checkers import CheckerLimits, InvariantChecker

# The budget that counts the drained targets of each kind
DRAINED: dict[str, str] = {"box": "boxes that operators took out", "limiter": "limiters that operators took out"}


class Holding(NamedTuple):
    """A resource, or a part of a budget, that is held for some time.

    Attributes:
        what: The resource or budget.
        holder: Its holder.
        asked: When the holder asked for it; all times are ms of one clock.
        granted: When the holder received the grant; infinite if it never did.
        ended: When the holding ended; infinite if it has not.
        term: The term of the leader that granted it, 0 where there are no terms.
        units: How much of a budget is held.
    """

    what: str
    holder: str
    asked: float
    granted: float
    ended: float = math.inf
    term: int = 0
    units: float = 1.0

    def text(self) -> str:
        """Returns a description for reports."""
        end = "on" if self.ended == math.inf else f"{self.ended:.0f} ms"
        term = f" in term {self.term}" if self.term else ""
        return f"{self.holder} held {self.units:g} of {self.what}{term} from {self.granted:.0f} ms to {end}"


class FencedAction(NamedTuple):
    """An action on a resource that took effect, such as a limiter's drain.

    Attributes:
        what: The resource.
        who: Who acted.
        at: When, in ms.
        term: The term that authorized the action.
    """

    what: str
    who: str
    at: float
    term: int


class Conflict(NamedTuple):
    """A conflict in a history.

    Attributes:
        at: A moment at which the conflict exists, in ms.
        text: A description for reports.
        facts: The smallest set of operations that proves it.
    """

    at: float
    text: str
    facts: tuple[Holding | FencedAction, ...]


def exclusivity_conflicts(holdings: Iterable[Holding]) -> list[Conflict]:
    """Returns each pair of holdings of one resource by two holders that were certain at one moment."""
    holdings_by_resource: dict[str, list[Holding]] = defaultdict(list)
    for holding in holdings:
        if holding.granted < holding.ended:
            holdings_by_resource[holding.what].append(holding)
    conflicts = []
    for resource_holdings in holdings_by_resource.values():
        resource_holdings.sort(key=lambda each: each.granted)
        live: list[Holding] = []
        for holding in resource_holdings:
            live = [other for other in live if other.ended > holding.granted]
            for other in live:
                if other.holder != holding.holder:
                    text = f"{other.text()}, while {holding.text()}"
                    conflicts.append(Conflict(holding.granted, text, (other, holding)))
            live.append(holding)
    return sorted(conflicts, key=lambda conflict: conflict.at)


def bound_conflicts(holdings: Iterable[Holding], bounds: dict[str, float]) -> list[Conflict]:
    """Returns a conflict for each time at which the holdings of a budget rise over its bound.

    A conflict names the fewest holdings that exceed the bound, the largest first.

    Args:
        holdings: The history.
        bounds: The most units that may be held at once of each budget; others are not checked.
    """
    holdings_by_budget: dict[str, list[Holding]] = defaultdict(list)
    for holding in holdings:
        if holding.what in bounds and holding.granted < holding.ended:
            holdings_by_budget[holding.what].append(holding)
    conflicts = []
    for budget, budget_holdings in holdings_by_budget.items():
        budget_holdings.sort(key=lambda each: each.granted)
        live: list[Holding] = []
        for holding in budget_holdings:
            live = [other for other in live if other.ended > holding.granted]
            live.append(holding)
            total = sum(each.units for each in live)
            if total <= bounds[budget] + 1e-9:
                continue
            fewest: list[Holding] = []
            for largest in sorted(live, key=lambda each: -each.units):
                fewest.append(largest)
                if sum(each.units for each in fewest) > bounds[budget] + 1e-9:
                    break
            text = f"{total:g} of {budget} were held, at most {bounds[budget]:g} are allowed: "
            text += "; ".join(each.text() for each in fewest)
            conflicts.append(Conflict(holding.granted, text, tuple(fewest)))
    return sorted(conflicts, key=lambda conflict: conflict.at)


def fencing_conflicts(actions: Iterable[FencedAction], slack: float = 0.0) -> list[Conflict]:
    """Returns each action on a resource that follows an action in a newer term by more than `slack` ms."""
    newest: dict[str, FencedAction] = {}
    conflicts = []
    for action in sorted(actions, key=lambda each: each.at):
        last = newest.get(action.what)
        if last is None or action.term >= last.term:
            if last is None or action.term > last.term:
                newest[action.what] = action
        elif action.at > last.at + slack:
            text = (
                f"{action.who} acted on {action.what} in term {action.term} at {action.at:.0f} ms, after "
                f"{last.who} had done so in term {last.term} at {last.at:.0f} ms"
            )
            conflicts.append(Conflict(action.at, text, (last, action)))
    return conflicts


def generation_regressions(observations: Iterable[tuple[float, str, str, int]]) -> list[Conflict]:
    """Returns each observation in which an observer shows an older generation than it showed before.

    Args:
        observations: The time in ms, the observer, what it showed, and the generation of that.
    """
    newest: dict[tuple[str, str], tuple[float, int]] = {}
    conflicts = []
    for at, who, what, generation in sorted(observations):
        before = newest.get((who, what))
        if before is not None and generation < before[1]:
            text = f"{who} showed {what} in generation {generation} at {at:.0f} ms, after generation {before[1]}"
            conflicts.append(Conflict(at, text, ()))
        else:
            newest[who, what] = at, generation
    return conflicts


class ExclusiveHoldings(InvariantChecker):
    """Runs the checks of this module on the history of a run, when it has ended.

    Attributes:
        bounds: The most units of each budget that may be held at once; 0 for no bound.
        holdings: What is or was held.
        acts: The actions that a term authorized.
        shown: The generations that were observed: time in ms, observer, object, generation.
    """

    name = "what is agreed is held by one"

    def __init__(self, rules: CheckerLimits, bounds: dict[str, float] | None = None) -> None:
        super().__init__()
        self.bounds = bounds or {}
        self.holdings: list[Holding] = []
        self.acts: list[FencedAction] = []
        self.shown: list[tuple[float, str, str, int]] = []

    def drain_reported(self, kind: str, target: str, at: float) -> None:
        """Counts a target as drained from now on, as a tool reports to its operator.

        The report says that a limiter sends nothing to the server any more, or that the limiter itself is drained.

        Args:
            kind: `box` or `limiter`.
            target: The server or limiter.
            at: The time in ms.
        """
        if not any(held.holder == target and held.ended == math.inf for held in self.holdings):
            self.holdings.append(Holding(DRAINED[kind], target, at, at))

    def undrain_started(self, target: str, at: float) -> None:
        """Stops counting the target as drained, because an operator starts a command to reinstate it."""
        self.holdings = [
            held._replace(ended=max(at, held.granted)) if held.holder == target and held.ended == math.inf else held
            for held in self.holdings
        ]

    def ended(self, at: float) -> None:
        """Checks the history and reports each conflict."""
        budgets = DRAINED.values()
        exclusive = [held for held in self.holdings if held.what not in self.bounds and held.what not in budgets]
        over_bound = bound_conflicts(self.holdings, {what: most for what, most in self.bounds.items() if most > 0})
        for conflict in (
            *exclusivity_conflicts(exclusive),
            *over_bound,
            *fencing_conflicts(self.acts),
            *generation_regressions(self.shown),
        ):
            self.report(conflict.at, conflict.text)
