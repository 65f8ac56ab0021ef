"""An agent's view of its group: the exchanges with the other agents, and the inventory that results."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from elderlock.control.records import Record, Records
from elderlock.fleet import messages
from elderlock.fleet.agent.clock import now_ms
from elderlock.fleet.consensus.member import ConsensusMember
from elderlock.fleet.group.membership import Membership
from elderlock.fleet.plans.agent_release import AgentRelease
from elderlock.fleet.plans.coordinator import PlanCoordinator
from elderlock.fleet.supervision.managed_limiter import ManagedLimiter
from elderlock.rollout.disruption_budget import Inventory
from elderlock.rollout.inventory import KnownLimiter, build_inventory

DIRECT_SILENCE_MS = 2500.0  # after which the other agents are asked what they heard of a member


class ObservedAgent(Protocol):
    """What `GroupView` needs of its agent."""

    name: str
    records: Records
    limiters: dict[str, ManagedLimiter]
    agent_release: AgentRelease
    consensus_member: ConsensusMember | None
    plan_coordinator: PlanCoordinator | None

    def epoch(self) -> int:
        """Return the agent's epoch, which grows at each start."""

    def merge_records(self, records: Iterable[Record], source: str) -> None:
        """Take the records of another agent that this one lacks."""


class GroupView:
    """What an agent knows of its group: membership, the inventory, and the exchanges with the other agents.

    Attributes:
        membership: What is known of the other agents.
    """

    def __init__(self, agent: ObservedAgent, members: Iterable[str], zones: Mapping[str, str]) -> None:
        """Start with no report from any other agent.

        Args:
            agent: This agent.
            members: The names of all agents of the group.
            zones: The zone of each agent's machine, by agent name.
        """
        self._agent, self.membership, self._zones = agent, Membership(agent.name, members), zones
        self._sequence = 0

    @property
    def name(self) -> str:
        """The name of this agent."""
        return self._agent.name

    @property
    def records(self) -> Records:
        """The records of this agent."""
        return self._agent.records

    def inventory(self) -> Inventory:
        """Return what this agent knows of the group, in the form that the budget takes."""
        states = [
            limiter.link.state
            for limiter in self._agent.limiters.values()
            if limiter.link.status == "answering" and limiter.link.state
        ]
        own_zone = self._zones.get(self._agent.name, "")
        known_limiters = [
            KnownLimiter(name, own_zone, limiter.unavailable_reason()) for name, limiter in self._agent.limiters.items()
        ]
        drained, agents_never_heard = self._agent.records.drained_targets("limiter"), []
        for observation in self.membership.view(now_ms()):
            if observation.age_ms < 0:
                agents_never_heard.append(observation.agent)
            for brief in observation.limiters:
                out_reason = (
                    f"{brief.phase}, {brief.link}" if (brief.phase, brief.link) != ("running", "answering") else ""
                )
                out_reason = out_reason or (
                    ""
                    if observation.standing == "alive"
                    else f"its agent {observation.agent} is {observation.standing}"
                )
                known_limiters.append(KnownLimiter(brief.name, self._zones.get(observation.agent, ""), out_reason))
        known_limiters = [
            known_limiter._replace(out_reason=known_limiter.out_reason or "drained")
            if known_limiter.name in drained
            else known_limiter
            for known_limiter in known_limiters
        ]
        return build_inventory(states, known_limiters, agents_never_heard)

    def usable_limiters(self, names: Iterable[str]) -> set[str]:
        """Return those of the named limiters that are neither drained nor known to be silent.

        This agent's own limiters answer for themselves; the others are judged by their agents' last reports. A limiter
        that no agent reports on counts as usable.
        """
        drained = self._agent.records.drained_targets("limiter")
        usable = {name for name in names if name not in drained}
        for name, limiter in self._agent.limiters.items():
            if limiter.link.status != "answering":
                usable.discard(name)
        for observation in self.membership.view(now_ms()):
            for brief in observation.limiters:
                if observation.standing == "alive" and (brief.is_drained or brief.link != "answering"):
                    usable.discard(brief.name)
        return usable

    def limiter_zones(self) -> list[tuple[str, str]]:
        """Return all limiters that are known, with their zones, in the order of their numbers."""
        return [(item.name, item.zone) for item in self.inventory().limiters]

    def agent_zones(self) -> list[tuple[str, str]]:
        """Return all agents of the group's file, with their zones."""
        return list(self._zones.items())

    def peer_limiter_briefs(self) -> list[tuple[str, float, messages.LimiterBrief]]:
        """Return other agents' reports on their limiters: the agent, the report's age in ms, and the report."""
        return [
            (observation.agent, observation.age_ms, brief)
            for observation in self.membership.view(now_ms())
            for brief in observation.limiters
        ]

    # Exchanges with the other agents

    def compose_exchange(
        self, request_id: int, with_records: bool, last_answer: messages.Exchange | None = None
    ) -> messages.Exchange:
        """Return an exchange for another agent, with what that agent lacks.

        Args:
            request_id: The id of the message.
            with_records: Whether to send the records.
            last_answer: The other agent's last exchange, which says what it lacks; None before the first.
        """
        agent, consensus, coordinator = self._agent, self._agent.consensus_member, self._agent.plan_coordinator
        self._sequence += 1
        view = self.membership.view(now_ms())
        wanted_agents = last_answer.unheard_agents if last_answer is not None else None
        own_ledger_version = consensus.ledger.version if consensus is not None else -1
        has_newer_ledger = consensus is not None and (
            last_answer is None or last_answer.ledger_version < own_ledger_version
        )
        return messages.Exchange(
            request_id,
            agent.name,
            agent.epoch(),
            self._sequence,
            tuple(limiter.brief(agent.records) for limiter in agent.limiters.values()),
            agent.records.digest(),
            tuple(agent.records) if with_records else (),
            view
            if wanted_agents is None
            else tuple(observation for observation in view if observation.agent in wanted_agents),
            consensus.encoded_ledger() if consensus is not None and has_newer_ledger else b"",
            own_ledger_version,
            self.membership.members_not_heard_directly(now_ms(), DIRECT_SILENCE_MS),
            coordinator.halts_to_send() if coordinator is not None else (),
            agent.agent_release.brief(),
        )

    def apply_exchange(self, exchange: messages.Exchange) -> None:
        """Take what another agent sent."""
        received_at_ms = now_ms()
        self.membership.record_direct(
            exchange.agent, exchange.incarnation, exchange.sequence, exchange.limiters, received_at_ms
        )
        self.membership.record_relayed(exchange.observations, exchange.agent, received_at_ms)
        self._agent.agent_release.record_peer(exchange.agent, exchange.agent_brief)
        if self._agent.consensus_member is not None and exchange.ledger:
            self._agent.consensus_member.record_ledger(exchange.ledger)
        if self._agent.plan_coordinator is not None and exchange.halts:
            self._agent.plan_coordinator.record_halts(exchange.halts)
        self._agent.merge_records(exchange.records, f"agent {exchange.agent}")

    def answer_exchange(self, exchange: messages.Exchange) -> messages.Message:
        """Take what another agent sent, and return the exchange that answers it."""
        has_different_records = exchange.digest != self._agent.records.digest()
        self.apply_exchange(exchange)
        return self.compose_exchange(exchange.id, has_different_records, exchange)
