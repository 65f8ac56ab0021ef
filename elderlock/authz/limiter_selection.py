"""Selects the limiter that an authorisation request is sent to, and decides whether to retry it. No I/O.

Selection is power of two choices (Mitzenmacher, 2001): the less loaded of two limiters drawn at random. A limiter is
ejected after consecutive failures, for longer each time. The ejected share of all limiters is capped, so that some
limiters remain usable when a fault affects all of them.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

EJECT_AFTER_FAILURES = 3  # consecutive
BASE_EJECTION_MS, MAXIMUM_EJECTION_MS = 1000.0, 30_000.0  # doubled at each ejection without an answer in between
MAXIMUM_EJECTED_SHARE = 0.5  # of all limiters


class AttemptResult(Enum):
    """The result of one attempt, as far as it is known."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"  # there was no connection, so it certainly took no units
    UNKNOWN = "unknown"  # sent without an answer: it may have taken units, or may still take them
    LIMITER_DIED = "gone"  # sent, and the limiter died afterwards: the units it took were lost with the limiter's state


class NextStep(Enum):
    """What to do after an attempt that was not answered."""

    OTHER_LIMITER = "elsewhere"
    SAME_LIMITER = "same"  # the same request id at the same limiter: returns the first answer and takes no more units
    GIVE_UP = "give up"


class _LimiterState(msgspec.Struct):
    """The state of one limiter.

    Attributes:
        number: Its number in the settings.
        open: The number of attempts in flight at it.
        failures: Its consecutive failures since the last answer or ejection.
        ejections: Its consecutive ejections since the last answer.
        ejected_until: When its last ejection ends, in ms.
    """

    number: int
    open: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class LimiterSelector:
    """Selects limiters and keeps track of their failures.

    Invariants: only usable limiters of the account's set are chosen; a request is sent to a limiter again only to
    fetch its answer; `open` is the number of attempts in flight.
    """

    def __init__(self, numbers: dict[str, int], rng: random.Random) -> None:
        """Make a selector for which no limiter is ejected.

        Args:
            numbers: The limiters' numbers in the settings, by name.
            rng: Draws the two candidates.
        """
        self._members = {name: _LimiterState(number) for name, number in numbers.items()}
        self._count = max(numbers.values(), default=0) + 1
        self._rng = rng

    def members(self, spread: int, first: int) -> list[str]:
        """Return an account's set in its order: consecutive numbers, with 0 after the last one.

        Args:
            spread: The number of limiters in the set.
            first: The number of the first one.
        """
        numbers = [(first + offset) % self._count for offset in range(spread)]
        names = {member.number: name for name, member in self._members.items()}
        return [names[number] for number in numbers if number in names]

    def choose(self, spread: int, first: int, usable: Iterable[str], tried: Iterable[str], now: float) -> str | None:
        """Return the limiter for the next attempt.

        Args:
            spread: The number of limiters in the account's set.
            first: The number of the first one.
            usable: The limiters that are neither drained nor silent, as far as the agent knows.
            tried: The limiters of earlier attempts, which are not chosen again.
            now: The time in ms.

        Returns:
            The name of the limiter; None if none of the set is left.
        """
        usable_names, tried_names = set(usable), set(tried)
        names = [name for name in self.members(spread, first) if name in usable_names and name not in tried_names]
        candidates = [name for name in names if self._members[name].ejected_until <= now]
        if not candidates:
            return None
        pair = candidates if len(candidates) <= 2 else self._rng.sample(candidates, 2)
        least = min(self._members[name].open for name in pair)
        return self._rng.choice([name for name in pair if self._members[name].open == least])

    def attempt_started(self, name: str) -> None:
        """Count an attempt in flight at a limiter."""
        self._members[name].open += 1

    def attempt_ended(self, name: str, result: AttemptResult, now: float) -> None:
        """Record the result of an attempt, and eject its limiter after too many consecutive failures.

        Args:
            name: The limiter.
            result: The result of the attempt.
            now: The time in ms.
        """
        member = self._members[name]
        member.open -= 1
        if result is AttemptResult.ANSWERED:
            member.failures = member.ejections = 0
            return
        member.failures += 1
        if member.failures >= EJECT_AFTER_FAILURES and member.ejected_until <= now and self._may_eject(now):
            member.ejected_until = now + min(BASE_EJECTION_MS * 2**member.ejections, MAXIMUM_EJECTION_MS)
            member.ejections += 1
            member.failures = 0

    def _may_eject(self, now: float) -> bool:
        ejected = sum(member.ejected_until > now for member in self._members.values())
        return ejected + 1 <= MAXIMUM_EJECTED_SHARE * len(self._members)

    def ejected_limiters(self, now: float) -> list[str]:
        """Return the names of the limiters that are ejected at a time in ms."""
        return [name for name, member in self._members.items() if member.ejected_until > now]


def next_step(
    results: Sequence[AttemptResult], fetchable: bool, remaining_ms: float, maximum_attempts: int = 4
) -> NextStep:
    """Decide what follows an attempt that was not answered.

    After an attempt of unknown result the request is never sent to another limiter, which could take its units a second
    time. If the request has an id, its answer is fetched from the same limiter under that id.

    Args:
        results: The results of all attempts of the request, the last one at the end.
        fetchable: Whether the request has an id.
        remaining_ms: The time to the request's deadline.
        maximum_attempts: The maximum number of attempts.
    """
    if remaining_ms <= 0 or len(results) >= maximum_attempts:
        return NextStep.GIVE_UP
    if results[-1] in (AttemptResult.NOT_SENT, AttemptResult.LIMITER_DIED):
        # a fetch that was not sent says nothing about the earlier attempt of unknown result
        has_no_open_attempt = AttemptResult.UNKNOWN not in results or results[-1] is AttemptResult.LIMITER_DIED
        return NextStep.OTHER_LIMITER if has_no_open_attempt else NextStep.GIVE_UP
    return NextStep.SAME_LIMITER if fetchable else NextStep.GIVE_UP
