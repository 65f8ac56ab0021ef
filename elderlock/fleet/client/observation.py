"""A group as its agents told it: what each says of itself, apart from what others heard of it. No I/O."""

from __future__ import annotations

import msgspec

from elderlock.control.messages import LimiterState
from elderlock.control.records import Records
from elderlock.fleet import messages as f
from elderlock.fleet.client.answers import Missing, Refusal


class GroupObservation(msgspec.Struct, frozen=True):
    """The group as its agents told it at one moment."""

    shown: dict[str, f.Shown]
    missing: dict[str, Missing | Refusal]
    records: Records
    heard: dict[str, f.AgentObservation]  # of agents that did not answer: the newest that others heard

    def states(self) -> list[LimiterState]:
        """What limiters say of themselves, fresh ones alone."""
        return [
            limiter.state
            for shown in self.shown.values()
            for limiter in shown.limiters
            if limiter.state is not None and limiter.link == "answering"
        ]

    def limiters(self) -> dict[str, tuple[str, ...]]:
        """By agent; of an agent that did not answer as others last heard it."""
        known = {name: tuple(each.name for each in shown.limiters) for name, shown in self.shown.items()}
        for name, heard in self.heard.items():
            known[name] = tuple(brief.name for brief in heard.limiters)
        return known

    def serving(self) -> list[str]:
        return [state.limiter for state in self.states() if state.ready and not state.is_drained]


def observe(answers: dict[str, f.Shown | Missing | Refusal]) -> GroupObservation:
    shown = {name: a for name, a in answers.items() if isinstance(a, f.Shown)}
    missing = {name: a for name, a in answers.items() if not isinstance(a, f.Shown)}
    records = Records(record for a in shown.values() for record in a.records)
    heard: dict[str, f.AgentObservation] = {}
    for answer in shown.values():
        for each in answer.heard:
            best = heard.get(each.agent)
            newer = best is None or (each.incarnation, each.sequence, -each.age_ms) > (
                best.incarnation,
                best.sequence,
                -best.age_ms,
            )
            if each.agent in missing and each.age_ms >= 0 and newer:
                heard[each.agent] = each
    return GroupObservation(shown, missing, records, heard)
