"""Check what limiters and agents say and keep: drain reports, errors, what remains at the end, and their records."""

from __future__ import annotations

from collections.abc import Callable

from elderlock.sim.checker_base import CheckerLimits, InvariantChecker

MAX_SAMPLES = 600


class DrainReports(InvariantChecker):
    """Checks that a drain report is true.

    Once a tool has reported that a limiter sends nothing to a server any more, the limiter sends nothing more. Only a
    request that was being written may still arrive, within `instant`.
    """

    name = "drain reported as it is"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._instant = rules.instant
        self._claims: dict[tuple[str, str], float] = {}
        self._last_sent: dict[tuple[str, str], float] = {}

    def claimed(self, at: float, operator: str, target: str, limiter: str, since: float) -> None:
        """Checks the report against the limiter's last request to the server."""
        key = (limiter, target)
        self._claims.setdefault(key, since)
        if self._last_sent.get(key, -1e18) > since + self._instant:
            late = self._last_sent[key] - since
            self.report(
                at,
                f"{operator} was told that {limiter} sends nothing to {target} any more, but it sent a request "
                f"{late:.0f} ms after the time in the report",
            )

    def undrained(self, target: str) -> None:
        """Withdraws the reports on the server, because an operator reinstates it."""
        for key in [key for key in self._claims if key[1] == target]:
            del self._claims[key]

    def sent(self, at: float, limiter: str, box: str, request: str) -> None:
        """Checks that the server was not reported as drained at this limiter."""
        key = (limiter, box)
        self._last_sent[key] = at
        since = self._claims.get(key)
        if since is not None and at > since + self._instant:
            self.report(
                at, f"{limiter} sent {request} to {box}, although its operator was told that it is drained there"
            )


class UnhandledErrors(InvariantChecker):
    """Checks that the code raises no unhandled exception and receives no event that it cannot handle."""

    name = "nothing raised"

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()

    def failure(self, at: float, where: str, text: str) -> None:
        """Reports the error."""
        self.report(at, f"{where}: {text}")


class Quiescence(InvariantChecker):
    """Checks that nothing is left over when the group is idle at the end of a run."""

    name = "all comes to rest"

    def __init__(self, rules: CheckerLimits, count_leftovers: Callable[[], dict[str, int]] = dict) -> None:
        """Creates the checker.

        Args:
            rules: The tolerances.
            count_leftovers: Returns the counts that have to be zero at the end of the run, by name.
        """
        super().__init__()
        self._count_leftovers = count_leftovers

    def ended(self, at: float) -> None:
        """Reports each count that is not zero."""
        for name, left in self._count_leftovers().items():
            if left:
                self.report(at, f"{left} {name}")


class UnboundedGrowth(InvariantChecker):
    """Checks that no sampled count grows with time.

    The samples are taken from time to time while requests come, and passed to `counted`. The least sample of the last
    third of the run may be at most `MAX_RATIO` times that of the middle third, plus `MAX_INCREASE`. A count that grows
    evenly from zero doubles between the two; a traffic spike does not change the least sample of a third.
    """

    name = "no unbounded growth"
    MAX_RATIO, MAX_INCREASE = 1.5, 200

    def __init__(self, rules: CheckerLimits) -> None:
        super().__init__()
        self._samples: dict[str, list[int]] = {}

    def counted(self, what: str, number: int) -> None:
        """Adds a sample of the count of that name."""
        samples = self._samples.setdefault(what, [])
        samples.append(number)
        if len(samples) >= MAX_SAMPLES:  # keeps the lesser of each two, as the least samples are compared
            samples[:] = [min(pair) for pair in zip(samples[::2], samples[1::2], strict=True)]

    def ended(self, at: float) -> None:
        """Compares the last third of each count with the middle third."""
        for what, samples in self._samples.items():
            third = len(samples) // 3
            if third < 3:
                continue
            middle, last = min(samples[third : 2 * third]), min(samples[-third:])
            if last > self.MAX_RATIO * middle + self.MAX_INCREASE:
                self.report(at, f"{what} grew from {middle} to {last}")


class RecordAgreement(InvariantChecker):
    """Checks that agents that can reach one another hold the same records at the end of a run.

    Attributes:
        within: How long after the last change or the end of the last partition they may differ, in ms.
    """

    name = "records agree"
    within = 3000.0

    def __init__(self, rules: CheckerLimits, digests: Callable[[], dict[str, str]] = dict) -> None:
        """Creates the checker.

        Args:
            rules: The tolerances.
            digests: Returns the digest of the records of each agent, by the agent's name.
        """
        super().__init__()
        self._digests = digests

    def ended(self, at: float) -> None:
        """Compares the digests."""
        digests = self._digests()
        if len(set(digests.values())) > 1:
            listing = ", ".join(f"{name} {digest[:8]}" for name, digest in sorted(digests.items()))
            self.report(at, f"the agents hold different records at the end of the run: {listing}")
