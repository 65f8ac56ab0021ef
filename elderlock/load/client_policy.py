"""The retry policy of clients: after each attempt a client finishes, retries or gives up. No I/O; times are ms."""

from __future__ import annotations

import random
from dataclasses import dataclass

from elderlock.load.scenario import Clients

ANSWERS = ("served", "refused", "failed")
UNANSWERED = ("timeout", "lost", "left")
UNSENT = ("nowhere", "refused_connection", "descriptors", "backlog", "ended")
OUTCOMES = (*ANSWERS, *UNANSWERED, *UNSENT)
FINAL = frozenset({"served", "left", "ended"})  # outcomes that are never retried
MINIMUM_REMAINING_MS = 1.0  # time before the deadline that a retry needs at least


def combined_outcome(previous: str, outcome: str, was_sent: bool, was_written: bool) -> str:
    """Return the outcome of a request after its latest attempt.

    It is the outcome of the last attempt that was sent. If none was sent, it is the reason of the latest attempt. An
    attempt that was written counts as lost if its connection ended without an answer and no new one could be opened.

    Args:
        previous: Outcome of the request before the latest attempt.
        outcome: Outcome of the latest attempt.
        was_sent: Any attempt was sent.
        was_written: The latest attempt was sent.
    """
    if outcome not in UNSENT or not was_sent:
        return outcome
    return "lost" if was_written else previous


@dataclass(frozen=True, slots=True)
class Retry:
    """A retry after `wait_ms`."""

    wait_ms: float


class ClientPolicy:
    """The retry policy of the clients of one stream. The caller stores the state of each client."""

    def __init__(self, clients: Clients) -> None:
        self._clients = clients

    def attempt_timeout_ms(self, deadline: float, elapsed: float) -> float:
        """Return the timeout of an attempt.

        Args:
            deadline: Deadline of the request, from its intended start.
            elapsed: Time from the intended start to the start of the attempt.
        """
        return min(self._clients.try_share * deadline, deadline - elapsed)

    def next_retry(
        self,
        outcome: str,
        advice: float | None,
        attempts: int,
        honours_retry_after: bool,
        elapsed: float,
        deadline: float,
        rng: random.Random,
    ) -> Retry | None:
        """Return the retry after an attempt, or None if the client does not retry.

        A client that honours the advised wait waits that long, and gives up if its policy or the deadline does not
        allow the wait. A client that ignores it uses its own backoff, as after any other failure.

        Args:
            outcome: Outcome of the attempt.
            advice: Wait that the limiter advised with a refusal, or None.
            attempts: Number of attempts so far.
            honours_retry_after: This client honours the advised wait.
            elapsed: Time since the intended start of the request.
            deadline: Deadline of the request, from its intended start.
            rng: Source of the jitter.
        """
        clients = self._clients
        if outcome in FINAL or attempts > clients.retries:
            return None
        wait_ms = 0.0
        if outcome == "refused" and advice is not None and honours_retry_after:
            if advice > clients.most_wait_ms:
                return None
            wait_ms = advice
        elif clients.backoff != "none":
            wait_ms = clients.backoff_ms * (2.0 ** (attempts - 1) if clients.backoff == "exp" else 1.0)
            if clients.jitter:
                wait_ms *= rng.random()
        return Retry(wait_ms) if elapsed + wait_ms + MINIMUM_REMAINING_MS <= deadline else None
