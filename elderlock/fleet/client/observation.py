"""The state of a group as its agents reported it, with what they report about agents that do not answer. No I/O."""

from __future__ import annotations

import msgspec

from elderlock.control.messages import LimiterState
from elderlock.control.records import Records
from elderlock.fleet import messages
from elderlock.fleet.client.answers import Missing, Refusal


class GroupObservation(msgspec.Struct, frozen=True):
    """The group as its agents reported it at one time.

    Attributes:
        shown: The reports of the agents that answered, by agent.
        missing: Why the other agents did not answer, by agent.
        records: The newest drain records of all agents.
        observations: The newest observation that others have of an agent that did not answer, by agent.
    """

    shown: dict[str, messages.Shown]
    missing: dict[str, Missing | Refusal]
    records: Records
    observations: dict[str, messages.AgentObservation]

    def states(self) -> list[LimiterState]:
        """Return the states of the limiters that answer their agent."""
        return [
            limiter.state
            for shown in self.shown.values()
            for limiter in shown.limiters
            if limiter.state is not None and limiter.link == "answering"
        ]

    def limiters(self) -> dict[str, tuple[str, ...]]:
        """Return the names of the limiters by agent; for an agent that did not answer, as others observed it."""
        names = {agent: tuple(limiter.name for limiter in shown.limiters) for agent, shown in self.shown.items()}
        for agent, observation in self.observations.items():
            names[agent] = tuple(brief.name for brief in observation.limiters)
        return names

    def serving(self) -> list[str]:
        """Return the names of the limiters that are in service."""
        return [state.limiter for state in self.states() if state.ready and not state.is_drained]


def observe(answers: dict[str, messages.Shown | Missing | Refusal]) -> GroupObservation:
    """Combine the agents' answers to `Show`.

    Args:
        answers: The answers by agent.
    """
    shown = {name: answer for name, answer in answers.items() if isinstance(answer, messages.Shown)}
    missing = {name: answer for name, answer in answers.items() if not isinstance(answer, messages.Shown)}
    records = Records(record for answer in shown.values() for record in answer.records)
    observations: dict[str, messages.AgentObservation] = {}
    for answer in shown.values():
        for observation in answer.observations:
            newest = observations.get(observation.agent)
            is_newer = newest is None or (observation.incarnation, observation.sequence, -observation.age_ms) > (
                newest.incarnation,
                newest.sequence,
                -newest.age_ms,
            )
            if observation.agent in missing and observation.age_ms >= 0 and is_newer:
                observations[observation.agent] = observation
    return GroupObservation(shown, missing, records, observations)
