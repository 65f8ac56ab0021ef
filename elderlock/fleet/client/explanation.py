"""Why a box is used or not, by each limiter's own word, and what limiters share about boxes. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from elderlock.control.messages import LimiterState, ServerHealth, ServerStatus
from elderlock.control.records import Record
from elderlock.fleet.client.observation import GroupObservation


class LimiterStatement(msgspec.Struct, frozen=True):
    """What one limiter says of a box. `why` is empty where it is used as any other; `since_ms` is how long it has been
    out, -1 where that is not known. `listed` is False where its list does not name the box."""

    limiter: str
    is_listed: bool = msgspec.field(name="listed")
    why: str
    since_ms: float
    open_requests: int = msgspec.field(name="out")
    latency_ms: float
    health: ServerHealth | None

    @property
    def is_used(self) -> bool:
        return self.is_listed and not self.why


class Explanation(msgspec.Struct, frozen=True):
    """`record` is the newest drain or undrain of an operator. `silent`: limiters and agents that say nothing."""

    box: str
    floor: str
    kind: str
    weight: float
    record: Record | None
    statements: tuple[LimiterStatement, ...] = msgspec.field(name="words")
    silent: tuple[str, ...]

    @property
    def is_known(self) -> bool:
        return any(word.is_listed for word in self.statements) or self.record is not None

    def lines(self) -> list[str]:
        """In short: what most need to know."""
        used = sum(word.is_used for word in self.statements)
        named = [word for word in self.statements if word.is_listed]
        about = f"{self.floor}, {self.kind}, weight {self.weight:g}" if named else "in no limiter's list"
        lines = [f"{self.box} ({about}) is used by {used} of {len(self.statements)} limiters"]
        if self.record is not None:
            verb = "drained" if self.record.is_drained else "undrained"
            reason = f": {self.record.reason}" if self.record.reason else ""
            lines.append(f"{verb} by {self.record.requested_by}, generation {self.record.generation}{reason}")
        reasons: dict[str, int] = {}
        for word in self.statements:
            if why := word.why if word.is_listed else "its list does not name the box":
                reasons[why] = reasons.get(why, 0) + 1
        lines += [
            f"{count} of {len(self.statements)}: {why}" for why, count in sorted(reasons.items(), key=lambda r: -r[1])
        ]
        return lines


def explain(seen: GroupObservation, uid: str, now: float) -> Explanation:
    """`now` Unix ms."""
    record = seen.records.get("box", uid)
    words, first = [], None
    for state in seen.states():
        box = next((box for box in state.servers if box.uid == uid), None)
        first = first or box
        words.append(_word(state, box, record, now))
    told = {state.limiter for state in seen.states()}
    silent = [name for names in seen.limiters().values() for name in names if name not in told]
    silent += [f"agent {name}" for name in seen.missing]
    return Explanation(
        uid,
        first.zone if first else "",
        first.kind if first else "",
        first.weight if first else 0.0,
        record,
        tuple(words),
        tuple(silent),
    )


def _word(state: LimiterState, box: ServerStatus | None, record: Record | None, now: float) -> LimiterStatement:
    if box is None:
        return LimiterStatement(state.limiter, False, "", -1.0, 0, -1.0, None)
    since = -1.0
    if box.drained_by and record is not None and record.generation == box.generation:
        since = max(0.0, now - record.created_at_unix_ms)
    elif box.health is not None:
        since = box.health.ejected_ms
    return LimiterStatement(
        state.limiter, True, box.unavailable_reason, since, box.open_requests, box.latency_ms, box.health
    )


class EvidenceSummary(msgspec.Struct, frozen=True):
    """Evidence on one box, over all limiters: how much it weighs where it weighs most, and the freshest that each
    limiter that saw something told (its number, and the age in ms)."""

    server: str = msgspec.field(name="box")
    weighed: float
    enough: float
    held_by: int
    left_out_by: tuple[str, ...]
    failed: tuple[tuple[int, float], ...]
    answered: tuple[tuple[int, float], ...]


def summarize_evidence(states: Iterable[LimiterState]) -> list[EvidenceSummary]:
    """The heaviest first."""
    found: dict[str, list[tuple[str, ServerHealth]]] = {}
    for state in states:
        for box in state.servers:
            if box.health is not None:
                found.setdefault(box.uid, []).append((state.limiter, box.health))
    made = [_entry(uid, healths) for uid, healths in found.items()]
    return sorted(made, key=lambda entry: (-entry.weighed, entry.server))


def _entry(uid: str, healths: list[tuple[str, ServerHealth]]) -> EvidenceSummary:
    failed: dict[int, float] = {}
    answered: dict[int, float] = {}
    for _, health in healths:
        for witness in health.witnesses:
            for ages, age in ((failed, witness.failed_age_ms), (answered, witness.answered_age_ms)):
                if age >= 0.0:
                    ages[witness.limiter] = min(age, ages.get(witness.limiter, age))
    return EvidenceSummary(
        uid,
        max(health.failure_weight for _, health in healths),
        healths[0][1].ejection_weight,
        len(healths),
        tuple(sorted(limiter for limiter, health in healths if health.ejected_ms >= 0.0)),
        tuple(sorted(failed.items(), key=lambda each: each[1])),
        tuple(sorted(answered.items(), key=lambda each: each[1])),
    )
