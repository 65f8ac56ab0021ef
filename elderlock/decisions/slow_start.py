"""Slow start: limits the attempts to a server while it is warming up after its start."""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

from elderlock.decisions.context import MS_PER_SECOND, DecisionContext
from elderlock.decisions.load_estimator import LoadEstimator
from elderlock.decisions.subsetting import Subsetting
from elderlock.decisions.throttle import CONTROL_PERIOD_MS
from elderlock.state import Server

MARGIN_STANDARD_DEVIATIONS = 2.5  # the mean stays this far below the budget, as the limiters' attempts vary at random
USABLE_BUDGET_FRACTION = 0.65  # the fraction of the budget after that margin that the limiters use
CARRY_OVER_FRACTION = 0.5  # the fraction of a window's attempts that a limiter may save up
MIN_REVIEW_MS = 10.0
MIN_ATTEMPTS_PER_WINDOW = 1e-6
ROUNDING_ATTEMPTS = 1e-9  # the rounding error of sums of fractions of an attempt


@dataclass(frozen=True, slots=True)
class BudgetStatus:
    """Whether a server's warm-up budget allows an attempt now.

    Attributes:
        allows_attempt: Whether an attempt may be sent now.
        review_after_ms: The time after which the budget has to be checked again.
    """

    allows_attempt: bool
    review_after_ms: float


UNLIMITED = BudgetStatus(allows_attempt=True, review_after_ms=MIN_REVIEW_MS)


class SlowStart:
    """Computes the warm-up budget: the number of attempts that a server may get while it is warming up.

    The rule: within each overload window, all limiters together send a server that is warming up at most
    `overload_multiple` times the work that its capacity fraction can handle. The limiters do not coordinate, so each
    one uses its share of this budget less a margin for random variation. A limiter may save up the unused part of its
    share, but only half of the share of one window. Otherwise all limiters could have a saved attempt ready when
    traffic resumes after a pause.

    Invariant: the `warm_up_budget` of a server never exceeds the larger of the share of one window and one attempt plus
    half of that share.

    Attributes:
        context: The state that the limiter's components share.
        load_estimator: Gives the minimum rate of attempts per server.
        subsetting: Gives the number of limiters that may send to a server.
        warm_answers_per_s: The successful answers per second that this limiter gets from a warmed up server of weight
            1.
    """

    def __init__(self, context: DecisionContext, load_estimator: LoadEstimator, subsetting: Subsetting) -> None:
        """Start without knowledge of the rate of answers."""
        self.context = context
        self.load_estimator = load_estimator
        self.subsetting = subsetting
        self.warm_answers_per_s = 0.0

    def capacity_fraction(self, server: Server) -> float:
        """Return the minimum fraction of its full capacity that a server has now; 1 if it has warmed up."""
        rules = self.context.settings.rules
        age_ms = self.context.now_ms - server.entry.started_at_ms
        if server.entry.started_at_ms <= 0 or age_ms >= rules.warm_up_ms:
            return 1.0
        initial_fraction = rules.warm_up_initial_fraction
        return initial_fraction + (1.0 - initial_fraction) * max(0.0, age_ms) / rules.warm_up_ms

    def record_attempt(self, server: Server) -> None:
        """Take an attempt from the server's budget; the budget of a server that has warmed up is never read."""
        server.warm_up_budget -= 1.0

    def check_budget(self, server: Server) -> BudgetStatus:
        """Refill this limiter's share of a server's budget for the elapsed time, and return its status."""
        fraction = self.capacity_fraction(server)
        if fraction >= 1.0:
            return UNLIMITED
        now_ms = self.context.now_ms
        window_ms = self.context.settings.rules.overload_window_ms
        attempts_per_window = self._attempts_per_window(server, fraction)
        max_budget = max(1.0 + CARRY_OVER_FRACTION * attempts_per_window, attempts_per_window)
        budget = server.warm_up_budget + attempts_per_window / window_ms * (now_ms - server.warm_up_budget_at_ms)
        if budget > max_budget:
            budget = self._cap_budget(budget, max_budget, attempts_per_window)
        server.warm_up_budget = budget
        server.warm_up_budget_at_ms = now_ms
        # If an attempt is allowed, the next review is due when the budget is full and has to be capped.
        target_budget = max_budget if budget >= 1.0 - ROUNDING_ATTEMPTS else 1.0
        refill_ms = (target_budget - budget) / attempts_per_window * window_ms
        review_after_ms = min(max(refill_ms, MIN_REVIEW_MS), CONTROL_PERIOD_MS / 4)
        return BudgetStatus(budget > 1.0 - ROUNDING_ATTEMPTS, review_after_ms)

    def _attempts_per_window(self, server: Server, capacity_fraction: float) -> float:
        """Return the attempts per overload window that this limiter may send to a server that is warming up."""
        rules = self.context.settings.rules
        limiter_count = self.context.settings.limiter_count
        # The attempts per second that all limiters would send to the server if it had warmed up.
        warm_per_s = max(
            self.warm_answers_per_s * server.entry.weight * limiter_count,
            self.load_estimator.min_rate_per_server * limiter_count,
        )
        budget = warm_per_s * capacity_fraction * rules.overload_multiple * rules.overload_window_ms / MS_PER_SECOND
        sender_count = self.subsetting.potential_sender_count()
        # With few limiters, each sends at even intervals. The phases of their windows are uniform, with variance 1/12.
        even_mean = budget - MARGIN_STANDARD_DEVIATIONS * sqrt(sender_count / 12.0)
        # With many limiters, the attempts form a Poisson process, whose mean m is the solution of
        # m + MARGIN_STANDARD_DEVIATIONS * sqrt(m) = budget.
        random_mean = (sqrt(MARGIN_STANDARD_DEVIATIONS**2 / 4.0 + budget) - MARGIN_STANDARD_DEVIATIONS / 2.0) ** 2
        usable = USABLE_BUDGET_FRACTION * max(even_mean, random_mean)
        return max(usable / sender_count, MIN_ATTEMPTS_PER_WINDOW)

    @staticmethod
    def _cap_budget(budget: float, max_budget: float, attempts_per_window: float) -> float:
        """Cap a budget that has grown above its maximum during a pause.

        If the share of one window is less than one attempt, whole attempts are dropped and the fraction is kept, so
        that only few limiters have a whole attempt at the same time.
        """
        if attempts_per_window >= 1.0:
            return max_budget
        fraction = budget % 1.0
        return fraction + (fraction < CARRY_OVER_FRACTION * attempts_per_window)
