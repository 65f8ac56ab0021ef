"""The report of a command on a group: which targets it reached at which limiters, and its outcome. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Literal

import msgspec

from elderlock.control.records import Key, Record
from elderlock.fleet import messages
from elderlock.fleet.client.answers import Missing, Refusal, failure_reason
from elderlock.fleet.drain_intents import describe_record
from elderlock.rollout.permit_ledger import Permit


class Exit(IntEnum):
    """The exit codes of commands, as documented for scripts."""

    DONE = 0  # done everywhere
    USAGE = 2  # wrong usage, or a file that cannot be used
    PART = 3  # done in part: some limiters were not reached, or that is unknown
    NOTHING = 4  # nothing was done
    UNSAFE = 5  # refused as unsafe
    OVERTAKEN = 6  # another operator's change is in force instead


State = Literal["reached", "at-start", "unknown", "not-reached"]
STATE_ORDER: tuple[State, ...] = ("reached", "at-start", "unknown", "not-reached")


class Row(msgspec.Struct, frozen=True):
    """How far one target's record got at one limiter, or at an agent whose limiters are not known.

    Attributes:
        agent: The name of the agent.
        limiter: The name of the limiter; empty where only the agent is known.
        key: The kind and name of the target.
        state: How far the record got; see `messages.Reach`.
        at: When the limiter put the record in force, in ms of Unix time; 0 unless `state` is reached.
        why: Why it was not reached, for people.
        open_requests: How many requests are open at the target; see `messages.Reach`.
    """

    agent: str
    limiter: str
    key: Key
    state: State
    at: float
    why: str
    open_requests: int


class CommandReport(msgspec.Struct):
    """Collects the answers of all agents to one command, also while the command is repeated.

    Invariant: a limiter counts as reached only by its own report. What was sent and not answered is `unknown`, whatever
    others report about it.

    Attributes:
        origin: The unique id of the command.
        wanted: Whether each target has to be drained, by kind and name.
        records: The newest record of each target that any agent holds.
        decisions: The decisions of each agent.
        missing: Why agents did not answer the last request, by agent.
        sent: The agents that the command was written to at least once without an answer. It may be in force there.
        reach: How far the records got, by agent.
        known_limiters: The names of the limiters of each agent, as last observed.
        permits: The permits for the targets, where the group has a budget.
    """

    origin: str
    wanted: dict[Key, bool]
    records: dict[Key, Record] = msgspec.field(default_factory=dict)
    decisions: dict[str, tuple[messages.Decision, ...]] = msgspec.field(default_factory=dict)
    missing: dict[str, Missing | Refusal] = msgspec.field(default_factory=dict)
    sent: set[str] = msgspec.field(default_factory=set)
    reach: dict[str, tuple[messages.Reach, ...]] = msgspec.field(default_factory=dict)
    known_limiters: dict[str, tuple[str, ...]] = msgspec.field(name="known", default_factory=dict)
    permits: tuple[Permit, ...] = ()

    def add_answer(self, agent: str, answer: messages.IntentsAnswer | messages.Progressed | Missing | Refusal) -> None:
        """Add an agent's answer to the command or to a question about its progress."""
        if isinstance(answer, Missing | Refusal):
            self.missing[agent] = answer
            if isinstance(answer, Missing) and answer.sent and agent not in self.decisions:
                self.sent.add(agent)
            return
        self.missing.pop(agent, None)
        self.reach[agent] = answer.reach
        if isinstance(answer, messages.IntentsAnswer):
            self.decisions[agent] = answer.decisions
            records = [decision.record for decision in answer.decisions if decision.record is not None]
        else:
            records = list(answer.records)
        for record in records:
            newest = self.records.get(record.key)
            if newest is None or record.order > newest.order:
                self.records[record.key] = record

    def is_accepted(self) -> bool:
        """Return whether any agent accepted the command, with a new record or by joining another's."""
        return any(
            decision.outcome in ("made", "joined") for decisions in self.decisions.values() for decision in decisions
        )

    def overtaking_records(self) -> list[Record]:
        """Return the records of other commands that contradict this one."""
        return [record for key, record in self.records.items() if record.is_drained != self.wanted[key]]

    def joined_records(self) -> list[Record]:
        """Return the records of other commands that say the same as this one."""
        return [
            record
            for key, record in self.records.items()
            if record.is_drained == self.wanted[key] and record.origin != self.origin
        ]

    def rows(self) -> list[Row]:
        """Return how far each target's record got at each limiter, sorted by target, agent and limiter."""
        rows = [
            Row(
                agent,
                reach.limiter,
                (reach.kind, reach.target),
                reach.state,
                reach.at,
                reach.why,
                reach.open_requests,
            )
            for agent, reaches in self.reach.items()
            if agent not in self.missing
            for reach in reaches
        ]
        for agent, failure in self.missing.items():
            rows += self._rows_of_missing_agent(agent, failure)
        return sorted(rows, key=lambda row: (row.key, row.agent, row.limiter))

    def _rows_of_missing_agent(self, agent: str, failure: Missing | Refusal) -> list[Row]:
        """Return the rows of an agent that does not answer now.

        What its limiters reported through it before still holds: a limiter does not lose a record in force while its
        agent is down.
        """
        earlier: dict[tuple[str, Key], messages.Reach] = {
            (reach.limiter, (reach.kind, reach.target)): reach for reach in self.reach.get(agent, ())
        }
        reason = failure_reason(failure)
        rows = []
        for key in self.wanted:
            limiters = [""] if not self.known_limiters.get(agent) else list(self.known_limiters[agent])
            if key[0] == "limiter":
                limiters = [name for name in limiters if name in ("", key[1])]
            for limiter in limiters:
                reach = earlier.get((limiter, key))
                if reach is not None and reach.state == "reached":
                    text = f"since then: {reason}"
                    rows.append(Row(agent, limiter, key, "reached", reach.at, text, reach.open_requests))
                    continue
                was_sent = agent in self.sent or (reach is not None and reach.state == "unknown")
                state: State = "unknown" if was_sent else "not-reached"
                text = f"agent {agent}: {reason}" + ("; it may be in force" if was_sent else "")
                rows.append(Row(agent, limiter, key, state, 0.0, text, 0))
        return rows

    def is_complete(self) -> bool:
        """Return whether every limiter was reached, or will be at its start."""
        return not self.missing and all(row.state in ("reached", "at-start") for row in self.rows())

    def is_finished(self) -> bool:
        """Return whether the command is complete and the limiters report no open request at a drained target."""
        return self.is_complete() and not any(
            row.open_requests for row in self.rows() if self.wanted[row.key] and row.state == "reached"
        )

    def outcome(self) -> Exit:
        """Return the exit code."""
        if self.overtaking_records():
            return Exit.OVERTAKEN
        if not self.is_accepted():
            is_refused = any(isinstance(failure, Refusal) for failure in self.missing.values())
            return Exit.PART if self.sent and not is_refused else Exit.NOTHING
        return Exit.DONE if self.is_complete() else Exit.PART

    def text(self) -> list[str]:
        """Return what people have to know beyond the rows, in lines."""
        lines = []
        for record in self.overtaking_records():
            lines.append(f"{record.kind} {record.target}: not done, it is {describe_record(record)}")
        for record in self.joined_records():
            lines.append(f"{record.kind} {record.target}: {describe_record(record)}; yours joins that record")
        for agent, failure in sorted(self.missing.items()):
            if isinstance(failure, Refusal):
                lines.append(f"agent {agent} refuses: {failure.text}")
        refusals = {
            (agent, decision.text)
            for agent, decisions in self.decisions.items()
            for decision in decisions
            if decision.outcome in ("stale", "refused")
        }
        lines += [f"agent {agent}: {text}" for agent, text in sorted(refusals)]
        return lines


def states(rows: Iterable[Row]) -> str:
    """Return how many rows have each state, for people."""
    counts = {state: 0 for state in STATE_ORDER}
    for row in rows:
        counts[row.state] += 1
    return ", ".join(f"{count} {state.replace('-', ' ')}" for state, count in counts.items() if count)
