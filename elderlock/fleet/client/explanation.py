"""Explains why each limiter uses a server or not, and what limiters share about servers. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from elderlock.control.messages import LimiterState, ServerHealth, ServerStatus
from elderlock.control.records import Record
from elderlock.fleet.client.observation import GroupObservation


class LimiterStatement(msgspec.Struct, frozen=True):
    """What one limiter reports about a server.

    Attributes:
        limiter: The name of the limiter.
        is_listed: Whether the limiter's endpoint list contains the server.
        why: Why the limiter does not use it, for people; empty where it does.
        since_ms: How long the limiter has not used it; -1 where that is not known.
        open_requests: How many attempts the limiter has open at it.
        latency_ms: The latency that the limiter measures; -1 where it has measured none.
        health: The evidence on its health that the limiter has received; None where it shares none.
    """

    limiter: str
    is_listed: bool = msgspec.field(name="listed")
    why: str
    since_ms: float
    open_requests: int = msgspec.field(name="out")
    latency_ms: float
    health: ServerHealth | None

    @property
    def is_used(self) -> bool:
        """Whether the limiter uses the server."""
        return self.is_listed and not self.why


class Explanation(msgspec.Struct, frozen=True):
    """What all limiters report about a server.

    Attributes:
        server: The uid of the server.
        zone: Its zone; empty where it is not listed.
        kind: Its kind; empty where it is not listed.
        weight: Its weight; 0 where it is not listed.
        record: The newest drain record of the server.
        statements: What each limiter that answers reports.
        silent: The limiters and agents that do not answer.
    """

    server: str = msgspec.field(name="box")
    zone: str = msgspec.field(name="floor")
    kind: str
    weight: float
    record: Record | None
    statements: tuple[LimiterStatement, ...] = msgspec.field(name="words")
    silent: tuple[str, ...]

    @property
    def is_known(self) -> bool:
        """Whether any limiter lists the server or an operator has drained it."""
        return any(statement.is_listed for statement in self.statements) or self.record is not None

    def lines(self) -> list[str]:
        """Return a summary for people."""
        limiter_count = len(self.statements)
        used = sum(statement.is_used for statement in self.statements)
        is_listed = any(statement.is_listed for statement in self.statements)
        about = f"{self.zone}, {self.kind}, weight {self.weight:g}" if is_listed else "in no limiter's list"
        lines = [f"{self.server} ({about}) is used by {used} of {limiter_count} limiters"]
        if self.record is not None:
            verb = "drained" if self.record.is_drained else "undrained"
            reason = f": {self.record.reason}" if self.record.reason else ""
            lines.append(f"{verb} by {self.record.requested_by}, generation {self.record.generation}{reason}")
        counts: dict[str, int] = {}
        for statement in self.statements:
            if why := statement.why if statement.is_listed else "its list does not name the box":
                counts[why] = counts.get(why, 0) + 1
        most_frequent_first = sorted(counts.items(), key=lambda item: -item[1])
        lines += [f"{count} of {limiter_count}: {why}" for why, count in most_frequent_first]
        return lines


def explain(observation: GroupObservation, uid: str, now_unix_ms: float) -> Explanation:
    """Explain one server.

    Args:
        observation: The state of the group.
        uid: The uid of the server.
        now_unix_ms: The time.
    """
    record = observation.records.get("box", uid)
    statements, first = [], None
    for state in observation.states():
        server = next((server for server in state.servers if server.uid == uid), None)
        first = first or server
        statements.append(_statement(state, server, record, now_unix_ms))
    answering = {state.limiter for state in observation.states()}
    silent = [name for names in observation.limiters().values() for name in names if name not in answering]
    silent += [f"agent {name}" for name in observation.missing]
    return Explanation(
        uid,
        first.zone if first else "",
        first.kind if first else "",
        first.weight if first else 0.0,
        record,
        tuple(statements),
        tuple(silent),
    )


def _statement(
    state: LimiterState, server: ServerStatus | None, record: Record | None, now_unix_ms: float
) -> LimiterStatement:
    if server is None:
        return LimiterStatement(state.limiter, False, "", -1.0, 0, -1.0, None)
    since_ms = -1.0
    if server.drained_by and record is not None and record.generation == server.generation:
        since_ms = max(0.0, now_unix_ms - record.created_at_unix_ms)
    elif server.health is not None:
        since_ms = server.health.ejected_ms
    return LimiterStatement(
        state.limiter,
        True,
        server.unavailable_reason,
        since_ms,
        server.open_requests,
        server.latency_ms,
        server.health,
    )


class EvidenceSummary(msgspec.Struct, frozen=True):
    """The evidence of failures of one server over all limiters.

    Attributes:
        server: The uid of the server.
        weighed: The greatest weight that the failures have at any limiter.
        enough: The weight from which a limiter ejects the server.
        held_by: How many limiters hold evidence.
        left_out_by: The names of the limiters that have ejected the server.
        failed: For each limiter that saw a failure, its number and the age of the last one in ms, the newest first.
        answered: For each limiter that got an answer, its number and the age of the last one in ms, the newest first.
    """

    server: str = msgspec.field(name="box")
    weighed: float
    enough: float
    held_by: int
    left_out_by: tuple[str, ...]
    failed: tuple[tuple[int, float], ...]
    answered: tuple[tuple[int, float], ...]


def summarize_evidence(states: Iterable[LimiterState]) -> list[EvidenceSummary]:
    """Return the evidence on each server, the greatest weight first."""
    healths: dict[str, list[tuple[str, ServerHealth]]] = {}
    for state in states:
        for server in state.servers:
            if server.health is not None:
                healths.setdefault(server.uid, []).append((state.limiter, server.health))
    summaries = [_summarize_server_evidence(uid, server_healths) for uid, server_healths in healths.items()]
    return sorted(summaries, key=lambda summary: (-summary.weighed, summary.server))


def _summarize_server_evidence(uid: str, healths: list[tuple[str, ServerHealth]]) -> EvidenceSummary:
    failed: dict[int, float] = {}
    answered: dict[int, float] = {}
    for _, health in healths:
        for witness in health.witnesses:
            for ages_ms, age_ms in ((failed, witness.failed_age_ms), (answered, witness.answered_age_ms)):
                if age_ms >= 0.0:
                    ages_ms[witness.limiter] = min(age_ms, ages_ms.get(witness.limiter, age_ms))
    return EvidenceSummary(
        uid,
        max(health.failure_weight for _, health in healths),
        healths[0][1].ejection_weight,
        len(healths),
        tuple(sorted(limiter for limiter, health in healths if health.ejected_ms >= 0.0)),
        tuple(sorted(failed.items(), key=lambda item: item[1])),
        tuple(sorted(answered.items(), key=lambda item: item[1])),
    )
