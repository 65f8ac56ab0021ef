"""What a client does after each try: done, again, or gone. No I/O; times are ms."""

from __future__ import annotations

import random
from dataclasses import dataclass

from elderlock.load.scenario import Clients

ANSWERS = ("served", "refused", "failed")
UNANSWERED = ("timeout", "lost", "left")
UNSENT = ("nowhere", "refused_connection", "descriptors", "backlog", "ended")
OUTCOMES = (*ANSWERS, *UNANSWERED, *UNSENT)
FINAL = frozenset({"served", "left", "ended"})  # nobody tries again after these
AGAIN_AT_LEAST = 1.0  # ms that must be left of the deadline for a further try


def combined_outcome(before: str, outcome: str, sent: bool, wrote: bool) -> str:
    """What a request counts as, where its latest try ended so: how the last try that was sent ended, or why none
    was. `sent`: any try was; `wrote`: this one was. One that was written, and whose connection ended with no answer
    and could not be had anew, is lost."""
    if outcome not in UNSENT or not sent:
        return outcome
    return "lost" if wrote else before


@dataclass(frozen=True, slots=True)
class Retry:
    """Try once more after `wait` ms."""

    wait_ms: float


class ClientPolicy:
    """The clients of one stream. What one client has tried is in the caller's hands: a count and a flag."""

    def __init__(self, clients: Clients) -> None:
        self._clients = clients

    def attempt_timeout_ms(self, deadline: float, waited: float) -> float:
        """How long a try that begins `waited` ms after the intended start is waited for."""
        return min(self._clients.try_share * deadline, deadline - waited)

    def next_retry(
        self,
        outcome: str,
        advice: float | None,
        tries: int,
        honours: bool,
        waited: float,
        deadline: float,
        rng: random.Random,
    ) -> Retry | None:
        """`advice` is the limiter's "come back" in ms, None where it gave none. A client that honours it
        waits so long, and goes away where that is longer than it may wait or has time for; one that does not
        takes its own back-off as after any failure."""
        clients = self._clients
        if outcome in FINAL or tries > clients.retries:
            return None
        wait = 0.0
        if outcome == "refused" and advice is not None and honours:
            if advice > clients.most_wait_ms:
                return None
            wait = advice
        elif clients.backoff != "none":
            wait = clients.backoff_ms * (2.0 ** (tries - 1) if clients.backoff == "exp" else 1.0)
            if clients.jitter:
                wait *= rng.random()
        return Retry(wait) if waited + wait + AGAIN_AT_LEAST <= deadline else None
