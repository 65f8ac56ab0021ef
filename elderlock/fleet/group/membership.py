"""Track which other agents of the group are alive, suspect or unreachable. No I/O.

The design follows SWIM (Das, Gupta, Motivala, 2002): each agent has an incarnation that grows at each of its starts,
and a sequence number within it. A report that came directly replaces a relayed one of the same number, and a greater
(incarnation, sequence) replaces a smaller one, however it came.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from elderlock.fleet.messages import AgentObservation, LimiterBrief

SUSPECT_AFTER_MS = 3000.0  # since the last report of a member
UNREACHABLE_AFTER_MS = 8000.0


@dataclass(slots=True)
class _Member:
    incarnation: int = 0
    sequence: int = 0
    heard_at_ms: float | None = None  # when its newest report was sent, by this agent's clock
    heard_directly_at_ms: float | None = None  # when it last sent a report to this agent itself
    via: str = ""  # which agent relayed the newest report; empty where it came directly
    limiters: tuple[LimiterBrief, ...] = ()


class Membership:
    """What this agent knows of the other agents of its group.

    Invariant: the (incarnation, sequence) of the newest report of a member never decreases.
    """

    def __init__(self, own_name: str, member_names: Iterable[str]) -> None:
        """Start with no report from any member.

        Args:
            own_name: The name of this agent, which is not tracked.
            member_names: The names of the agents of the group.
        """
        self._own_name = own_name
        self._members = {name: _Member() for name in member_names if name != own_name}

    def record_direct(
        self, name: str, incarnation: int, sequence: int, limiters: tuple[LimiterBrief, ...], now_ms: float
    ) -> None:
        """Take a report that a member sent to this agent itself; one of an agent outside the group is ignored."""
        if (member := self._members.get(name)) is not None:
            member.heard_directly_at_ms = now_ms
        self._record(name, incarnation, sequence, limiters, now_ms, "")

    def record_relayed(self, observations: Iterable[AgentObservation], via: str, now_ms: float) -> None:
        """Take what the agent `via` has heard of other members."""
        for observation in observations:
            if observation.age_ms >= 0 and observation.agent != self._own_name:
                heard_at_ms = now_ms - observation.age_ms
                self._record(
                    observation.agent,
                    observation.incarnation,
                    observation.sequence,
                    observation.limiters,
                    heard_at_ms,
                    via,
                )

    def _record(
        self,
        name: str,
        incarnation: int,
        sequence: int,
        limiters: tuple[LimiterBrief, ...],
        heard_at_ms: float,
        via: str,
    ) -> None:
        member = self._members.get(name)
        if member is None or (incarnation, sequence) < (member.incarnation, member.sequence):
            return
        if (incarnation, sequence) == (member.incarnation, member.sequence) and via:
            return  # the same report again, relayed by another agent
        member.incarnation, member.sequence, member.limiters = incarnation, sequence, limiters
        member.heard_at_ms = heard_at_ms if member.heard_at_ms is None else max(member.heard_at_ms, heard_at_ms)
        member.via = via

    def members_not_heard_directly(self, now_ms: float, silence_ms: float) -> tuple[str, ...]:
        """Return the members that sent nothing to this agent itself for `silence_ms`.

        The other agents are asked for what they heard of these members. A member that sends its own reports is left
        out, even if a relayed one came first. When it was asked about, each message carried all other members, again
        and again.
        """
        return tuple(
            name
            for name, member in sorted(self._members.items())
            if member.heard_directly_at_ms is None or now_ms - member.heard_directly_at_ms > silence_ms
        )

    def view(self, now_ms: float) -> tuple[AgentObservation, ...]:
        """Return what is known of each member."""
        return tuple(self._view(name, member, now_ms) for name, member in sorted(self._members.items()))

    def _view(self, name: str, member: _Member, now_ms: float) -> AgentObservation:
        age_ms = -1.0 if member.heard_at_ms is None else now_ms - member.heard_at_ms
        is_unreachable = member.heard_at_ms is None or age_ms >= UNREACHABLE_AFTER_MS
        return AgentObservation(
            name,
            "unreachable" if is_unreachable else "suspect" if age_ms >= SUSPECT_AFTER_MS else "alive",
            member.incarnation,
            member.sequence,
            age_ms,
            member.via,
            member.limiters,
        )
