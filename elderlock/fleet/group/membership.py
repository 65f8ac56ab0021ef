"""What an agent knows of the others: alive, suspect, unreachable. Free of I/O.

After SWIM (Das, Gupta, Motivala, 2002): each agent has an incarnation that grows at each of its starts, and
a sequence within it. What an agent says of itself beats what others say, and news of a greater
(incarnation, sequence) beats older news, whichever way it came.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from elderlock.fleet.messages import AgentObservation, LimiterBrief

SUSPECT_AFTER = 3000.0  # ms without a word
UNREACHABLE_AFTER = 8000.0


@dataclass(slots=True)
class _Member:
    incarnation: int = 0
    sequence: int = 0
    spoke_at: float | None = None  # by this agent's clock
    direct_at: float | None = None  # the same, of words that it spoke to us itself
    via: str = ""
    limiters: tuple[LimiterBrief, ...] = ()


class Membership:
    """Invariant: the news held of a member never goes back to a lesser (incarnation, sequence)."""

    def __init__(self, own: str, others: Iterable[str]) -> None:
        self._own = own
        self._members = {name: _Member() for name in others if name != own}

    def record_direct(
        self, name: str, incarnation: int, sequence: int, limiters: tuple[LimiterBrief, ...], now: float
    ) -> None:
        """It spoke itself. A stranger, who is in no group file, is not kept."""
        if (member := self._members.get(name)) is not None:
            member.direct_at = now
        self._news(name, incarnation, sequence, limiters, now, "")

    def record_relayed(self, heard: Iterable[AgentObservation], via: str, now: float) -> None:
        for each in heard:
            if each.age_ms >= 0 and each.agent != self._own:
                at = now - each.age_ms
                self._news(each.agent, each.incarnation, each.sequence, each.limiters, at, via)

    def _news(
        self,
        name: str,
        incarnation: int,
        sequence: int,
        limiters: tuple[LimiterBrief, ...],
        at: float,
        via: str,
    ) -> None:
        member = self._members.get(name)
        if member is None or (incarnation, sequence) < (member.incarnation, member.sequence):
            return
        if (incarnation, sequence) == (member.incarnation, member.sequence) and via:
            return  # the same news again, by a longer way
        member.incarnation, member.sequence, member.limiters = incarnation, sequence, limiters
        member.spoke_at = at if member.spoke_at is None else max(member.spoke_at, at)
        member.via = via

    def without_news(self, now: float, after: float) -> tuple[str, ...]:
        """Of whom others are asked: who has said nothing himself for `after` ms. One whose news came by a longer way
        first is not among them while he speaks: to ask for him made each word carry all others, again and again."""
        return tuple(
            name
            for name, member in sorted(self._members.items())
            if member.direct_at is None or now - member.direct_at > after
        )

    def view(self, now: float) -> tuple[AgentObservation, ...]:
        return tuple(self._view(name, member, now) for name, member in sorted(self._members.items()))

    def _view(self, name: str, member: _Member, now: float) -> AgentObservation:
        age = -1.0 if member.spoke_at is None else now - member.spoke_at
        silent = member.spoke_at is None or age >= UNREACHABLE_AFTER
        return AgentObservation(
            name,
            "unreachable" if silent else "suspect" if age >= SUSPECT_AFTER else "alive",
            member.incarnation,
            member.sequence,
            age,
            member.via,
            member.limiters,
        )
