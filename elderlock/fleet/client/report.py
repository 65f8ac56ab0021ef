"""What a command over a group did and did not reach: the whole account, and one outcome. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Literal

import msgspec

from elderlock.control.records import Key, Record
from elderlock.fleet import messages as f
from elderlock.fleet.client.answers import Missing, Refusal, failure_reason
from elderlock.fleet.drain_intents import describe_record
from elderlock.rollout.permit_ledger import Permit


class Exit(IntEnum):
    """The command's exit codes, as documented for scripts."""

    DONE = 0  # done everywhere
    USAGE = 2  # bad usage, or a file that cannot be used
    PART = 3  # done in part: some not reached, or it is not known
    NOTHING = 4  # nothing was done
    UNSAFE = 5  # refused as unsafe
    OVERTAKEN = 6  # another operator's change holds instead


State = Literal["reached", "at-start", "unknown", "not-reached"]
ORDER: tuple[State, ...] = ("reached", "at-start", "unknown", "not-reached")


class Row(msgspec.Struct, frozen=True):
    """One limiter, or an agent whose limiters are not known, for one target."""

    agent: str
    limiter: str  # empty where only the agent is known
    key: Key
    state: State
    at: float  # Unix ms, for `reached`
    why: str
    open_requests: int


class CommandReport(msgspec.Struct):
    """Gathers what all agents answered to one command, and goes on gathering while it is tried again.

    Invariant: a limiter counts as reached by its own word alone; what was sent and not answered is
    `unknown`, whatever others say of it.
    """

    origin: str
    wanted: dict[Key, bool]
    records: dict[Key, Record] = msgspec.field(default_factory=dict)  # the greatest that anyone holds
    decisions: dict[str, tuple[f.Decision, ...]] = msgspec.field(default_factory=dict)
    missing: dict[str, Missing | Refusal] = msgspec.field(default_factory=dict)
    sent: set[str] = msgspec.field(default_factory=set)  # agents to which the command was written
    reach: dict[str, tuple[f.Reach, ...]] = msgspec.field(default_factory=dict)
    known_limiters: dict[str, tuple[str, ...]] = msgspec.field(
        name="known", default_factory=dict
    )  # limiters by agent, as last heard
    permits: tuple[Permit, ...] = ()  # that its records are made under, where the group has a budget

    def add_answer(self, agent: str, answer: f.IntentsAnswer | f.Progressed | Missing | Refusal) -> None:
        if isinstance(answer, Missing | Refusal):
            self.missing[agent] = answer
            if isinstance(answer, Missing) and answer.sent and agent not in self.decisions:
                self.sent.add(agent)
            return
        self.missing.pop(agent, None)
        self.reach[agent] = answer.reach
        if isinstance(answer, f.IntentsAnswer):
            self.decisions[agent] = answer.decisions
            records = [d.record for d in answer.decisions if d.record is not None]
        else:
            records = list(answer.records)
        for record in records:
            held = self.records.get(record.key)
            if held is None or record.order > held.order:
                self.records[record.key] = record

    def taken(self) -> bool:
        """Whether any agent took the command, for itself or joining another's."""
        return any(d.outcome in ("made", "joined") for ds in self.decisions.values() for d in ds)

    def overtaken(self) -> list[Record]:
        """Records of others that say the contrary of what was wanted."""
        return [r for key, r in self.records.items() if r.is_drained != self.wanted[key]]

    def joined(self) -> list[Record]:
        """Records of others that say the same as was wanted: one record, and whose it is."""
        mine = [r for r in self.records.values() if r.origin == self.origin]
        return [r for key, r in self.records.items() if r.is_drained == self.wanted[key] and r not in mine]

    def rows(self) -> list[Row]:
        rows = [
            Row(agent, r.limiter, (r.kind, r.target), r.state, r.at, r.why, r.open_requests)
            for agent, reaches in self.reach.items()
            if agent not in self.missing
            for r in reaches
        ]
        for agent, missing in self.missing.items():
            rows += self._missing(agent, missing)
        return sorted(rows, key=lambda row: (row.key, row.agent, row.limiter))

    def _missing(self, agent: str, missing: Missing | Refusal) -> list[Row]:
        """An agent that does not answer now. What its limiters told through it before still holds: a
        limiter that had put a record in force does not lose it while its agent is away."""
        before: dict[tuple[str, Key], f.Reach] = {(r.limiter, (r.kind, r.target)): r for r in self.reach.get(agent, ())}
        reason = failure_reason(missing)
        rows = []
        for key in self.wanted:
            limiters = [""] if not self.known_limiters.get(agent) else list(self.known_limiters[agent])
            if key[0] == "limiter":
                limiters = [name for name in limiters if name in ("", key[1])]
            for limiter in limiters:
                told = before.get((limiter, key))
                if told is not None and told.state == "reached":
                    rows.append(
                        Row(agent, limiter, key, "reached", told.at, f"since then: {reason}", told.open_requests)
                    )
                    continue
                sent = agent in self.sent or told is not None and told.state == "unknown"
                state: State = "unknown" if sent else "not-reached"
                text = f"agent {agent}: {reason}" + ("; it may be in force" if sent else "")
                rows.append(Row(agent, limiter, key, state, 0.0, text, 0))
        return rows

    def is_complete(self) -> bool:
        """Nothing is left to reach."""
        return not self.missing and all(row.state in ("reached", "at-start") for row in self.rows())

    def is_finished(self) -> bool:
        """Nothing is left in work at what was drained, as far as limiters say."""
        return self.is_complete() and not any(
            row.open_requests for row in self.rows() if self.wanted[row.key] and row.state == "reached"
        )

    def outcome(self) -> Exit:
        if self.overtaken():
            return Exit.OVERTAKEN
        if not self.taken():
            refused = any(isinstance(m, Refusal) for m in self.missing.values())
            return Exit.PART if self.sent and not refused else Exit.NOTHING
        return Exit.DONE if self.is_complete() else Exit.PART

    def text(self) -> list[str]:
        """What people have to know beside the rows."""
        lines = []
        for record in self.overtaken():
            lines.append(f"{record.kind} {record.target}: not done, it is {describe_record(record)}")
        for record in self.joined():
            lines.append(f"{record.kind} {record.target}: {describe_record(record)}; yours joins that record")
        for agent, missing in sorted(self.missing.items()):
            if isinstance(missing, Refusal):
                lines.append(f"agent {agent} refuses: {missing.text}")
        told = {
            (agent, d.text)
            for agent, decisions in self.decisions.items()
            for d in decisions
            if d.outcome in ("stale", "refused")
        }
        lines += [f"agent {agent}: {text}" for agent, text in sorted(told)]
        return lines


def states(rows: Iterable[Row]) -> str:
    counts = {state: 0 for state in ORDER}
    for row in rows:
        counts[row.state] += 1
    return ", ".join(f"{count} {state.replace('-', ' ')}" for state, count in counts.items() if count)
