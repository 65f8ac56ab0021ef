"""What an agent knows of its group: its words to the other agents, theirs to it, and the inventory made of both."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from elderlock.control.records import Record, Records
from elderlock.fleet import messages as f
from elderlock.fleet.agent.clock import now_ms
from elderlock.fleet.consensus.member import ConsensusMember
from elderlock.fleet.group.membership import Membership
from elderlock.fleet.plans.agent_release import AgentRelease
from elderlock.fleet.plans.coordinator import PlanCoordinator
from elderlock.fleet.supervision.managed_limiter import ManagedLimiter
from elderlock.rollout.disruption_budget import Inventory
from elderlock.rollout.inventory import KnownLimiter, build_inventory

LACKED_AFTER = 2500.0  # ms without a word of its own, after which others are asked what they heard of a member


class ObservedAgent(Protocol):
    """The agent, as `GroupView` needs it."""

    name: str
    records: Records
    limiters: dict[str, ManagedLimiter]
    agent_release: AgentRelease
    consensus_member: ConsensusMember | None
    plan_coordinator: PlanCoordinator | None

    def epoch(self) -> int: ...
    def merge_records(self, records: Iterable[Record], via: str) -> None: ...


class GroupView:
    """What an agent knows of its group: membership, the inventory, and the messages to and from the other agents."""

    def __init__(self, agent: ObservedAgent, members: Iterable[str], floors: Mapping[str, str]) -> None:
        """`floors`: of each agent's machine."""
        self._agent, self.membership, self._floors = agent, Membership(agent.name, members), floors
        self._sequence = 0

    @property
    def name(self) -> str:
        return self._agent.name

    @property
    def records(self) -> Records:
        return self._agent.records

    def inventory(self) -> Inventory:
        """What this agent knows of the group, as the budget counts it."""
        states = [
            c.link.state for c in self._agent.limiters.values() if c.link.standing == "answering" and c.link.state
        ]
        here = self._floors.get(self._agent.name, "")
        known = [KnownLimiter(name, here, charge.why_out()) for name, charge in self._agent.limiters.items()]
        drained, unheard = self._agent.records.drained_targets("limiter"), []
        for heard in self.membership.view(now_ms()):
            if heard.age_ms < 0:
                unheard.append(heard.agent)
            for brief in heard.limiters:
                why = f"{brief.phase}, {brief.link}" if (brief.phase, brief.link) != ("running", "answering") else ""
                why = why or ("" if heard.standing == "alive" else f"its agent {heard.agent} is {heard.standing}")
                known.append(KnownLimiter(brief.name, self._floors.get(heard.agent, ""), why))
        known = [
            each._replace(out_reason=each.out_reason or "drained") if each.name in drained else each for each in known
        ]
        return build_inventory(states, known, unheard)

    def usable_limiters(self, names: Iterable[str]) -> set[str]:
        """Of these limiters those that are neither drained nor, as far as is known, silent: our own by their
        own word, others' by what their agents said last. One that nobody speaks of is not held back."""
        drained = self._agent.records.drained_targets("limiter")
        fit = {name for name in names if name not in drained}
        for name, charge in self._agent.limiters.items():
            if charge.link.standing != "answering":
                fit.discard(name)
        for heard in self.membership.view(now_ms()):
            for brief in heard.limiters:
                if heard.standing == "alive" and (brief.drained or brief.link != "answering"):
                    fit.discard(brief.name)
        return fit

    def limiter_zones(self) -> list[tuple[str, str]]:
        """All limiters that are known of, with their floors, in the order of their numbers."""
        return [(item.name, item.zone) for item in self.inventory().limiters]

    def agent_zones(self) -> list[tuple[str, str]]:
        """All agents of the group's file, with their floors."""
        return list(self._floors.items())

    def peer_limiter_briefs(self) -> list[tuple[str, float, f.LimiterBrief]]:
        """Of other agents: whose, how many ms ago, what."""
        return [(h.agent, h.age_ms, brief) for h in self.membership.view(now_ms()) for brief in h.limiters]

    # Words

    def compose_exchange(self, number: int, with_records: bool, told: f.Exchange | None = None) -> f.Exchange:
        """To another agent, which last said `told`: of the ledger and of others it gets what it lacks."""
        agent, keeper, conductor = self._agent, self._agent.consensus_member, self._agent.plan_coordinator
        self._sequence += 1
        view = self.membership.view(now_ms())
        lacks = told.lacks if told is not None else None
        version = keeper.ledger.version if keeper is not None else -1
        newer = keeper is not None and (told is None or told.ledger_version < version)
        return f.Exchange(
            number,
            agent.name,
            agent.epoch(),
            self._sequence,
            tuple(charge.brief(agent.records) for charge in agent.limiters.values()),
            agent.records.digest(),
            tuple(agent.records) if with_records else (),
            view if lacks is None else tuple(heard for heard in view if heard.agent in lacks),
            keeper.encoded_ledger() if keeper is not None and newer else b"",
            version,
            self.membership.without_news(now_ms(), LACKED_AFTER),
            conductor.halts_to_send() if conductor is not None else (),
            agent.agent_release.brief(),
        )

    def apply_exchange(self, exchange: f.Exchange) -> None:
        now = now_ms()
        self.membership.record_direct(exchange.agent, exchange.incarnation, exchange.sequence, exchange.limiters, now)
        self.membership.record_relayed(exchange.heard, exchange.agent, now)
        self._agent.agent_release.record_peer(exchange.agent, exchange.itself)
        if self._agent.consensus_member is not None and exchange.ledger:
            self._agent.consensus_member.record_ledger(exchange.ledger)
        if self._agent.plan_coordinator is not None and exchange.halts:
            self._agent.plan_coordinator.record_halts(exchange.halts)
        self._agent.merge_records(exchange.records, f"agent {exchange.agent}")

    def answer_exchange(self, exchange: f.Exchange) -> f.Message:
        differs = exchange.digest != self._agent.records.digest()
        self.apply_exchange(exchange)
        return self.compose_exchange(exchange.id, differs, exchange)
