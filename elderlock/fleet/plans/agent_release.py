"""An agent's part in a release of agents: what it says of itself, what it hears of others, and its own turn."""

from __future__ import annotations

import time
from collections.abc import Mapping

from elderlock.fleet import messages as f
from elderlock.fleet.config import FileError
from elderlock.fleet.launcher.launcher_link import LauncherLink
from elderlock.fleet.supervision.managed_limiter import ManagedLimiter
from elderlock.fleet.supervision.versions import Versions
from elderlock.rollout.agent_launcher import AgentVersion, SwitchRequest
from elderlock.rollout.plan_executor import AgentAction, AgentObservation, ExecutionProgress, next_agent_action
from elderlock.rollout.plans import Plan, Unit
from elderlock.rollout.target_report import TargetReport


class AgentRelease:
    def __init__(
        self, name: str, launcher: LauncherLink | None, versions: Versions, charges: Mapping[str, ManagedLimiter]
    ) -> None:
        self.name, self.launcher = name, launcher
        self._versions, self._charges = versions, charges
        self._said = ExecutionProgress()
        self.heard_by_majority = False
        self._others: dict[str, tuple[float, f.AgentBrief]] = {}  # when each was heard last, and what it said

    @property
    def version(self) -> str:
        return self.launcher.held.current.version if self.launcher is not None else ""

    def on_majority_answer(self) -> None:
        """A majority answered: the group hears this version. The base needs no more to know that it started."""
        self.heard_by_majority = True
        if self.launcher is not None:
            self.launcher.ready()

    def brief(self) -> f.AgentBrief:
        launcher = self.launcher
        return f.AgentBrief(
            self.version,
            launcher is not None,
            launcher.starts if launcher is not None else 0,
            self._serving(),
            self._said,
        )

    def _serving(self) -> bool:
        return self.heard_by_majority and all(
            not charge.supervisor.wanted or charge.why_out() == "" for charge in self._charges.values()
        )

    def record_peer(self, name: str, brief: f.AgentBrief) -> None:
        self._others[name] = time.monotonic() * 1000.0, brief

    def briefs(self) -> dict[str, tuple[float, f.AgentBrief]]:
        """Of all agents that ever spoke: ms since they did."""
        now = time.monotonic() * 1000.0
        found = {name: (now - at, brief) for name, (at, brief) in self._others.items()}
        found[self.name] = 0.0, self.brief()
        return found

    def told(self) -> dict[str, TargetReport]:
        return {
            name: TargetReport(name, *brief.said, is_serving=brief.serving, restarts=brief.starts, age_ms=age)
            for name, (age, brief) in self.briefs().items()
        }

    def see(self, plan: Plan, unit: Unit, halted: bool) -> tuple[AgentAction | None, bool]:
        """What is to be done, and whether what it says of itself has changed."""
        held = self.launcher.held if self.launcher is not None else None
        if held is None:
            look = AgentObservation("", 0, False, 0, "no base started it", self.heard_by_majority, self._serving())
        else:
            look = AgentObservation(
                held.current.version,
                held.generation,
                held.is_on_trial,
                held.failed_generation,
                held.failure_reason,
                self.heard_by_majority,
                self._serving(),
            )
        before = self._said
        self._said, act = next_agent_action(plan, unit, look, halted)
        return act, self._said != before

    def go(self, plan: Plan, unit: Unit) -> None:
        """Asks the base for the other version; this process is ended by it. Raises `FileError`."""
        if self.launcher is None:
            raise FileError("no base started this agent")
        version = plan.target_version(unit)
        which = AgentVersion(version, self._versions.agent(version, self.name))
        self.launcher.go(SwitchRequest(unit.generation, which, 1000.0 * plan.policy.start_timeout_s))

    def settle(self) -> None:
        if self.launcher is not None:
            self.launcher.settled()
