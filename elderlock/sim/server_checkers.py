"""Check what servers receive: none while drained, no more than a cold one can handle, and the hard ceilings."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from elderlock.sim.checker_base import CheckerLimits, InvariantChecker


class DrainedServers(InvariantChecker):
    """Invariant 3: a limiter sends nothing later than `drain` after it learns that a server drains or is gone."""

    name = "drains kept"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._rules = rules
        self._drained_since: dict[tuple[str, str], float] = {}

    def limiter_began(self, at: float, limiter: str) -> None:
        """Forgets what the limiter's previous process had learned."""
        for key in [key for key in self._drained_since if key[0] == limiter]:
            del self._drained_since[key]

    def told(self, at: float, limiter: str, box: str, state: str, started_at: float) -> None:
        """Records when the limiter first learned that the server does not run."""
        if state == "running":
            self._drained_since.pop((limiter, box), None)
        else:
            self._drained_since.setdefault((limiter, box), at)

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        """Checks that the server is not drained for this limiter."""
        since = self._drained_since.get((limiter, box))
        if since is not None and at > since + self._rules.drain:
            self.report(at, f"{limiter} sent {request} to {box} {at - since:.0f} ms after it learned of its drain")


@dataclass(slots=True)
class _ColdServer:
    """A server that is still warming up.

    Attributes:
        started_at: When its process started.
        capacity: Its capacity when warm, in requests per ms.
        informed: The limiters that have learned of the start, with the time at which they did.
        sends: The requests within the window: the time, and whether the limiter knew of the start.
    """

    started_at: float
    capacity: float
    informed: dict[str, float] = field(default_factory=dict)
    sends: deque[tuple[float, bool]] = field(default_factory=deque)


class ColdServers(InvariantChecker):
    """Invariant 4: in any `window`, a cold server receives at most `multiple` times its present capacity.

    Two standard deviations and three requests are allowed on top for chance. An excess counts only if two thirds of the
    requests (`informed_share`) came from limiters that knew of the server's start.

    Attributes:
        worst: The largest ratio of the requests in a window to the allowed number.
    """

    name = "no cold box pushed over"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._rules = rules
        self._cold: dict[str, _ColdServer] = {}
        self.worst = 0.0

    def started(self, at: float, box: str, capacity: float) -> None:
        """Starts to watch the server."""
        self._cold[box] = _ColdServer(at, capacity)

    def told(self, at: float, limiter: str, box: str, state: str, started_at: float) -> None:
        """Records that the limiter knows of the present process of the server."""
        cold = self._cold.get(box)
        if cold is not None and abs(started_at - cold.started_at) < 2.0:
            cold.informed.setdefault(limiter, at)

    def limiter_began(self, at: float, limiter: str) -> None:
        """Forgets what the limiter's previous process had learned."""
        for cold in self._cold.values():
            cold.informed.pop(limiter, None)

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        """Checks the number of requests that the server received within the window."""
        cold = self._cold.get(box)
        if cold is None:
            return
        rules, sends = self._rules, cold.sends
        age = at - cold.started_at
        if age >= rules.cold_ms:
            del self._cold[box]
            return
        sends.append((at, limiter in cold.informed))
        while sends and at - sends[0][0] > rules.window:
            sends.popleft()
        share = rules.cold_share + (1.0 - rules.cold_share) * max(0.0, age) / rules.cold_ms
        mean = cold.capacity * share * rules.multiple * rules.window
        allowed = mean + 2.0 * mean**0.5 + 3.0
        informed = sum(is_informed for _, is_informed in sends)
        self.worst = max(self.worst, len(sends) / allowed)
        if len(sends) > allowed and informed >= rules.informed_share * len(sends):
            self.report(
                at,
                f"{box} received {len(sends)} requests within {rules.window:.0f} ms, at most {allowed:.0f} are allowed",
            )


class HardCeilings(InvariantChecker):
    """Invariant 5: over any span, an account's work stays within ceiling burst + rate x time + slack.

    Attributes:
        worst: The most units by which an account exceeded burst + rate x time.
    """

    name = "ceilings kept"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._plans: dict[str, tuple[float, float, float]] = {}
        self._levels: dict[str, tuple[float, float]] = {}
        self.worst = 0.0

    def ceiling(self, account: str, rate: float, burst: float, slack: float) -> None:
        """Sets the account's ceiling.

        Args:
            account: The account.
            rate: Units per second.
            burst: Units.
            slack: Units by which the ceiling may be exceeded.
        """
        self._plans[account] = (rate / 1000.0, burst, slack)

    def spent(self, at: float, account: str, units: float) -> None:
        """Adds the units to the account's bucket and checks its level."""
        plan = self._plans.get(account)
        if plan is None:
            return
        rate, burst, slack = plan
        level, since = self._levels.get(account, (0.0, at))
        level = max(0.0, level - rate * max(0.0, at - since)) + units
        self._levels[account] = (level, max(at, since))
        self.worst = max(self.worst, level - burst)
        if level > burst + slack + 1e-6:
            self.report(at, f"account {account}: {level - burst:.2f} units over its ceiling, its slack is {slack:g}")
