"""Decides about operators' intents, and tracks how far each record got at a limiter. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from elderlock.control.records import Key, Record, Records
from elderlock.fleet.messages import Decision, DrainIntent, Reach, Reached, SubmitIntents


def decide_intent(
    records: Records, intent: DrainIntent, request: SubmitIntents, requested_by: str, now_unix_ms: float
) -> Decision:
    """Decide about one intent; nothing is changed.

    An intent that the target's record already fulfils joins that record, whoever made it. An intent that was based on
    an older record than the target's is stale.

    Args:
        records: The records that the agent holds.
        intent: The intent.
        request: The request that the intent is part of.
        requested_by: The operator.
        now_unix_ms: The time.
    """
    current = records.get(intent.kind, intent.target)
    if current is not None and current.origin == request.origin:
        return Decision("made", current)  # the request was repeated after a lost answer
    if current is not None and current.is_drained == intent.is_drained:
        return Decision("joined", current, f"{describe_record(current)} already")
    if current is None and not intent.is_drained:
        return Decision("joined", None, "was not drained")
    generation = current.generation if current is not None else 0
    if generation != intent.expected_generation:
        expected = f"generation {intent.expected_generation}" if intent.expected_generation else "no record"
        return Decision("stale", current, f"you acted on {expected}, but it is {describe_record(current)} since")
    if request.generation <= generation:
        return Decision("refused", current, f"generation {request.generation} is not above {generation}")
    record = Record(
        intent.kind,
        intent.target,
        intent.is_drained,
        request.generation,
        request.origin,
        requested_by,
        now_unix_ms,
        request.reason,
    )
    return Decision("made", record)


def describe_record(record: Record | None) -> str:
    """Return what a record says, for people."""
    if record is None:
        return "without a record"
    verb = "drained" if record.is_drained else "undrained"
    return f"{verb} by {record.requested_by} (generation {record.generation})"


class RecordProgress:
    """How far records got at one limiter: whether they were sent, and whether the limiter reported them in force.

    A record is `reached` only by the limiter's own report. One that was sent but not answered may be in force or not:
    it is `unknown`, and never counts as reached or as not reached.

    Attributes:
        open_attempts: How many attempts of the limiter are open at each drained server, by the server's uid.
        open_requests: How many requests the limiter has open.
    """

    def __init__(self) -> None:
        self._sent: dict[Key, tuple[int, str]] = {}
        self._in_force: dict[Key, tuple[tuple[int, str], float]] = {}  # order and time in Unix ms
        self.open_attempts: dict[str, int] = {}
        self.open_requests = 0

    def record_sent(self, records: Iterable[Record]) -> None:
        """Note that records were sent to the limiter."""
        for record in records:
            self._sent[record.key] = max(record.order, self._sent.get(record.key, record.order))

    def record_applied(
        self,
        records: Iterable[Record],
        at_unix_ms: float,
        open_attempts: dict[str, int],
        open_requests: int,
    ) -> None:
        """Take the limiter's report of the records that it has in force.

        Args:
            records: The records.
            at_unix_ms: When the limiter applied them. The time of the first report of a record is kept.
            open_attempts: How many attempts of the limiter are open at each drained server, by the server's uid.
            open_requests: How many requests the limiter has open.
        """
        for record in records:
            known = self._in_force.get(record.key)
            if known is None or known[0] != record.order:
                self._in_force[record.key] = (record.order, at_unix_ms)
        self.open_attempts, self.open_requests = open_attempts, open_requests

    def reset(self) -> None:
        """Forget everything, as the process has exited or is another one."""
        self._sent.clear()
        self._in_force.clear()
        self.open_attempts, self.open_requests = {}, 0

    def reach(self, limiter: str, record: Record, is_running: bool, link_reason: str) -> Reach:
        """Return how far a record got.

        Args:
            limiter: The name of the limiter.
            record: The record.
            is_running: Whether a process of the limiter runs.
            link_reason: Why the limiter does not answer, for people; empty where it does.
        """
        in_force, sent = self._in_force.get(record.key), self._sent.get(record.key)
        state: Reached
        if in_force is not None and in_force[0] >= record.order:
            state, at_unix_ms, why = "reached", in_force[1], ""
        elif sent is not None and sent >= record.order:  # even if its socket is down: the process may still run
            state, at_unix_ms, why = "unknown", 0.0, link_reason or "sent, no answer: it may be in force"
        elif not is_running:
            state, at_unix_ms, why = "at-start", 0.0, "not running; in force before its first request"
        else:
            state, at_unix_ms, why = "not-reached", 0.0, link_reason or "not sent yet"
        is_limiter = record.kind == "limiter"
        open_requests = self.open_requests if is_limiter else self.open_attempts.get(record.target, 0)
        return Reach(limiter, record.kind, record.target, state, at_unix_ms, why, open_requests if is_running else 0)


def concerns(record: Record, limiter: str) -> bool:
    """Return whether a limiter has to act on a record: on all records of servers, and on its own."""
    return record.kind == "box" or record.target == limiter
