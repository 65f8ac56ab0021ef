"""Which limiter of an account's set a question goes to, and whether it may be asked again. Free of I/O.

Least loaded of two drawn at random (Mitzenmacher, 2001); ejection after failures in a row, longer each time,
with a cap on how many are out at once, so that trouble which all share leaves somebody to ask.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

EJECT_AFTER_FAILURES = 3  # failures in a row
BASE_EJECTION_MS, MAXIMUM_EJECTION_MS = 1000.0, 30_000.0  # ms; doubled at each ejection that follows on the last
MAXIMUM_EJECTED_SHARE = 0.5  # of all limiters


class AttemptResult(Enum):
    """What is known of a try."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"  # it never came up: certain that it took nothing
    UNKNOWN = "unknown"  # sent, and no answer: it may have taken units, or may yet
    LIMITER_DIED = "gone"  # sent, and its limiter has died since: whatever it took died with it


class NextStep(Enum):
    OTHER_LIMITER = "elsewhere"
    SAME_LIMITER = "same"  # the same id at the same limiter: fetches the answer, takes nothing again
    GIVE_UP = "give up"


class _LimiterState(msgspec.Struct):
    number: int
    open: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class LimiterSelector:
    """Limiters by name with their numbers in the settings. Invariants: only members of the account's set are
    chosen, none that is drained or down, none twice for one question but to fetch; `open` counts what is out."""

    def __init__(self, numbers: dict[str, int], rng: random.Random) -> None:
        self._members = {name: _LimiterState(number) for name, number in numbers.items()}
        self._count = max(numbers.values(), default=0) + 1
        self._rng = rng

    def members(self, spread: int, first: int) -> list[str]:
        """The set in its order: `spread` limiters in a row from number `first`, counted round."""
        numbers = [(first + n) % self._count for n in range(spread)]
        names = {member.number: name for name, member in self._members.items()}
        return [names[number] for number in numbers if number in names]

    def choose(self, spread: int, first: int, usable: Iterable[str], tried: Iterable[str], now: float) -> str | None:
        """`usable`: not drained, not silent, as the agent knows. None where nobody of the set is left."""
        able, without = set(usable), set(tried)
        names = [n for n in self.members(spread, first) if n in able and n not in without]
        fit = [n for n in names if self._members[n].ejected_until <= now]
        if not fit:
            return None
        pair = fit if len(fit) <= 2 else self._rng.sample(fit, 2)
        least = min(self._members[n].open for n in pair)
        return self._rng.choice([n for n in pair if self._members[n].open == least])

    def attempt_started(self, name: str) -> None:
        self._members[name].open += 1

    def attempt_ended(self, name: str, fate: AttemptResult, now: float) -> None:
        member = self._members[name]
        member.open -= 1
        if fate is AttemptResult.ANSWERED:
            member.failures = member.ejections = 0
            return
        member.failures += 1
        if member.failures >= EJECT_AFTER_FAILURES and member.ejected_until <= now and self._may_eject(now):
            member.ejected_until = now + min(BASE_EJECTION_MS * 2**member.ejections, MAXIMUM_EJECTION_MS)
            member.ejections += 1
            member.failures = 0

    def _may_eject(self, now: float) -> bool:
        out = sum(member.ejected_until > now for member in self._members.values())
        return out + 1 <= MAXIMUM_EJECTED_SHARE * len(self._members)

    def ejected_limiters(self, now: float) -> list[str]:
        return [name for name, member in self._members.items() if member.ejected_until > now]


def next_step(fates: Sequence[AttemptResult], fetchable: bool, left: float, most: int = 4) -> NextStep:
    """What follows a try that was not answered, `left` ms before the deadline. A try of unknown fate is
    never asked elsewhere: its answer is fetched under the same id, where the question has one."""
    if left <= 0 or len(fates) >= most:
        return NextStep.GIVE_UP
    if fates[-1] in (AttemptResult.NOT_SENT, AttemptResult.LIMITER_DIED):
        # a fetch that finds nobody leaves the try before it as it was
        return (
            NextStep.OTHER_LIMITER
            if AttemptResult.UNKNOWN not in fates or fates[-1] is AttemptResult.LIMITER_DIED
            else NextStep.GIVE_UP
        )
    return NextStep.SAME_LIMITER if fetchable else NextStep.GIVE_UP
