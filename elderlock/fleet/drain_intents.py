"""What becomes of an operator's wish, and how far a record came at a limiter. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable

from elderlock.control.records import Key, Record, Records
from elderlock.fleet.messages import Decision, DrainIntent, Reach, Reached, SubmitIntents


def decide_intent(records: Records, wish: DrainIntent, intend: SubmitIntents, by: str, now: float) -> Decision:
    """One record, one outcome: a wish that already holds joins its record, whoever made it; one that acts
    on what was before another's change is stale. Nothing is changed here; `now` is Unix ms."""
    held = records.get(wish.kind, wish.target)
    if held is not None and held.origin == intend.origin:
        return Decision("made", held)  # repeated after a lost answer
    if held is not None and held.is_drained == wish.is_drained:
        return Decision("joined", held, f"{describe_record(held)} already")
    if held is None and not wish.is_drained:
        return Decision("joined", None, "was not drained")
    generation = held.generation if held is not None else 0
    if generation != wish.expect:
        seen = f"generation {wish.expect}" if wish.expect else "no record"
        return Decision("stale", held, f"you acted on {seen}, but it is {describe_record(held)} since")
    if intend.generation <= generation:
        return Decision("refused", held, f"generation {intend.generation} is not above {generation}")
    record = Record(wish.kind, wish.target, wish.is_drained, intend.generation, intend.origin, by, now, intend.reason)
    return Decision("made", record)


def describe_record(record: Record | None) -> str:
    if record is None:
        return "without a record"
    verb = "drained" if record.is_drained else "undrained"
    return f"{verb} by {record.requested_by} (generation {record.generation})"


class RecordProgress:
    """What is known of the records at one limiter: sent there, or told by it to be in force.

    A limiter that answers has reached what it names. What was sent and not answered may be in force or
    may not: that is `unknown`, and never counted as one of the other two.
    """

    def __init__(self) -> None:
        self._sent: dict[Key, tuple[int, str]] = {}
        self._held: dict[Key, tuple[tuple[int, str], float]] = {}
        self.out: dict[str, int] = {}
        self.open = 0

    def record_sent(self, records: Iterable[Record]) -> None:
        for record in records:
            self._sent[record.key] = max(record.order, self._sent.get(record.key, record.order))

    def record_applied(self, records: Iterable[Record], at: float, out: dict[str, int], open: int) -> None:
        """The limiter's own word. `at` is kept from when it first named a record."""
        for record in records:
            held = self._held.get(record.key)
            if held is None or held[0] != record.order:
                self._held[record.key] = (record.order, at)
        self.out, self.open = out, open

    def reset(self) -> None:
        """The process has ended or is another: what it held says nothing of the next."""
        self._sent.clear()
        self._held.clear()
        self.out, self.open = {}, 0

    def reach(self, limiter: str, record: Record, runs: bool, why: str) -> Reach:
        held, sent = self._held.get(record.key), self._sent.get(record.key)
        state: Reached
        if held is not None and held[0] >= record.order:
            state, at, why = "reached", held[1], ""
        elif sent is not None and sent >= record.order:  # whatever its socket says since: it may live on
            state, at = "unknown", 0.0
            why = why or "sent, no answer: it may be in force"
        elif not runs:
            state, at, why = "at-start", 0.0, "not running; in force before its first request"
        else:
            state, at, why = "not-reached", 0.0, why or "not sent yet"
        left = self.open if record.kind == "limiter" else self.out.get(record.target, 0)
        return Reach(limiter, record.kind, record.target, state, at, why, left if runs else 0)


def concerns(record: Record, limiter: str) -> bool:
    """Whether a limiter has to act on it: a box's drain concerns all, a limiter's that one alone."""
    return record.kind == "box" or record.target == limiter
