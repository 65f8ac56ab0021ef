"""Take an agent's part in a release of agents: its own report, the other agents' reports, and its own switch.

The process that starts an agent, `elderlock.fleet.launcher`, is called the base in commands and texts.
"""

from __future__ import annotations

import time
from collections.abc import Mapping

from elderlock.fleet import messages
from elderlock.fleet.config import FileError
from elderlock.fleet.launcher.launcher_link import LauncherLink
from elderlock.fleet.supervision.managed_limiter import ManagedLimiter
from elderlock.fleet.supervision.versions import Versions
from elderlock.rollout.agent_launcher import AgentVersion, SwitchRequest
from elderlock.rollout.plan_executor import AgentAction, AgentObservation, ExecutionProgress, next_agent_action
from elderlock.rollout.plans import Plan, Unit
from elderlock.rollout.target_report import TargetReport


class AgentRelease:
    """What an agent reports on itself, what the others report, and its switch to another version.

    Attributes:
        name: The name of the agent.
        launcher: The link to the launcher that started the agent; None where none did.
        has_majority: Whether a majority of the group has answered since the start.
    """

    def __init__(
        self, name: str, launcher: LauncherLink | None, versions: Versions, limiters: Mapping[str, ManagedLimiter]
    ) -> None:
        """Start with no report from any other agent.

        Args:
            name: The name of the agent.
            launcher: The link to the launcher that started the agent, if one did.
            versions: The version folders.
            limiters: The limiters that the agent supervises, by name.
        """
        self.name, self.launcher = name, launcher
        self._versions, self._limiters = versions, limiters
        self._progress = ExecutionProgress()
        self.has_majority = False
        self._peer_briefs: dict[str, tuple[float, messages.AgentBrief]] = {}  # with the time of receipt in ms

    @property
    def version(self) -> str:
        """The version that the agent runs; empty for the one that its launcher starts by default."""
        return self.launcher.state.current.version if self.launcher is not None else ""

    def on_majority_answer(self) -> None:
        """Note that a majority has answered, and tell the launcher that the start has succeeded."""
        self.has_majority = True
        if self.launcher is not None:
            self.launcher.report_ready()

    def brief(self) -> messages.AgentBrief:
        """Return this agent's report on itself."""
        launcher = self.launcher
        return messages.AgentBrief(
            self.version,
            launcher is not None,
            launcher.start_count if launcher is not None else 0,
            self._is_serving(),
            self._progress,
        )

    def _is_serving(self) -> bool:
        return self.has_majority and all(
            not limiter.supervisor.wanted or limiter.unavailable_reason() == "" for limiter in self._limiters.values()
        )

    def record_peer(self, name: str, brief: messages.AgentBrief) -> None:
        """Take another agent's report on itself."""
        self._peer_briefs[name] = time.monotonic() * 1000.0, brief

    def briefs(self) -> dict[str, tuple[float, messages.AgentBrief]]:
        """Return the last report of each agent that ever sent one, with its age in ms."""
        now_ms = time.monotonic() * 1000.0
        result = {name: (now_ms - received_at_ms, brief) for name, (received_at_ms, brief) in self._peer_briefs.items()}
        result[self.name] = 0.0, self.brief()
        return result

    def target_reports(self) -> dict[str, TargetReport]:
        """Return the reports in the form that the leader of a plan takes."""
        return {
            name: TargetReport(
                name, *brief.progress, is_serving=brief.is_serving, restarts=brief.start_count, age_ms=age_ms
            )
            for name, (age_ms, brief) in self.briefs().items()
        }

    def next_action(self, plan: Plan, unit: Unit, is_halted: bool) -> tuple[AgentAction | None, bool]:
        """Decide what this agent does for a release of agents that includes it.

        Args:
            plan: The plan as the ledger has it.
            unit: The plan's unit for this agent.
            is_halted: Whether the plan is halted.

        Returns:
            What to do, and whether this agent's report on itself has changed.
        """
        state = self.launcher.state if self.launcher is not None else None
        if state is None:
            observation = AgentObservation("", 0, False, 0, "no base started it", self.has_majority, self._is_serving())
        else:
            observation = AgentObservation(
                state.current.version,
                state.generation,
                state.is_on_trial,
                state.failed_generation,
                state.failure_reason,
                self.has_majority,
                self._is_serving(),
            )
        previous_progress = self._progress
        self._progress, action = next_agent_action(plan, unit, observation, is_halted)
        return action, self._progress != previous_progress

    def request_switch(self, plan: Plan, unit: Unit) -> None:
        """Ask the launcher for the unit's version; the launcher then ends this process.

        Raises:
            FileError: No launcher started this agent, or the version cannot be read.
        """
        if self.launcher is None:
            raise FileError(f"agent {self.name} cannot switch versions: no base started it")
        version = plan.target_version(unit)
        agent_version = AgentVersion(version, self._versions.agent(version, self.name))
        self.launcher.request_switch(
            SwitchRequest(unit.generation, agent_version, 1000.0 * plan.policy.start_timeout_s)
        )

    def settle(self) -> None:
        """Tell the launcher that the trial of this version is over."""
        if self.launcher is not None:
            self.launcher.report_settled()
