"""Decide how the agent that runs a target carries out a plan: drain, switch the version, undrain, report. No I/O.

Actions that take a target out of service (drain, switch) are carried out only for a unit in the stage `out`, and only
after the caller has read the ledger through a majority, so that an agent that was suspended first learns of the changes
made in the meantime. Actions that bring a target back into service (start, undrain) need no such confirmation.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from elderlock.rollout.plans import Plan, Unit

LimiterAction = Literal["drain", "switch", "undrain"]
AgentAction = Literal["switch", "settle"]
ExecutionStage = Literal["draining", "switching", "starting", "up", "failed", "serving", "halted"]
MS_PER_S = 1000.0


class LimiterObservation(NamedTuple):
    """The state of a limiter, as its agent sees it.

    Attributes:
        version: The version that its process runs, or was last set to.
        phase: The state of its process.
        is_drained: Whether its current record drains it.
        generation: The generation of its record.
        open_requests: The number of requests in flight at it, as it reports since it received the drain record; -1
            before.
        is_up: Whether it answers and has its endpoint list.
        restarts: How often its process was restarted after a crash.
        error: The last error of its process, for operators.
    """

    version: str
    phase: str
    is_drained: bool
    generation: int
    open_requests: int
    is_up: bool
    restarts: int
    error: str = ""


class ExecutionProgress(NamedTuple):
    """The progress of an agent with a unit, as reported to the leader of the plan.

    Attributes:
        generation: The generation of the unit.
        stage: An `ExecutionStage`; empty before the first one. Agents of other versions may send other values.
        reason: Why it is at that stage, for operators.
    """

    generation: int = 0
    stage: str = ""
    reason: str = ""


class _UnitKey(NamedTuple):
    """The unit, stage and version that the executor currently works on."""

    plan_id: str
    generation: int
    stage: str
    version: str


class LimiterPlanExecutor:
    """Carries out a plan for one of the agent's limiters.

    Invariant: while a unit is out, `next_action` does not return a second `switch` to the same version after
    `on_switched`.

    Attributes:
        progress: The progress to report to the leader.
    """

    def __init__(self) -> None:
        self.progress = ExecutionProgress()
        self._unit_key: _UnitKey | None = None
        self._unit_since_ms = 0.0
        self._switched_at_ms: float | None = None
        self._restarts_at_switch = 0

    def on_switched(self, now_ms: float, restarts: int) -> None:
        """Record that the limiter was switched to the version that it has to run."""
        self._switched_at_ms = now_ms
        self._restarts_at_switch = restarts

    def next_action(
        self, plan: Plan, unit: Unit, observation: LimiterObservation, now_ms: float, halted: bool
    ) -> LimiterAction | None:
        """Return the next action, and update `progress`.

        Args:
            plan: The plan in the ledger.
            unit: The plan's unit for the limiter.
            observation: The state of the limiter.
            now_ms: The time on the monotonic clock.
            halted: Whether the plan is halted, in the ledger or by a halt that only this agent has received yet.
        """
        key = _UnitKey(plan.id, unit.generation, unit.stage, plan.target_version(unit))
        if key != self._unit_key:
            self._unit_key = key
            self._unit_since_ms = now_ms
            if unit.stage == "out":
                self._switched_at_ms = None
        if unit.stage == "out":
            return self._out_action(plan, unit, observation, now_ms, halted)
        if unit.stage in ("trial", "done") and unit.generation:
            return self._in_service_action(unit, observation)
        return None

    def _out_action(
        self, plan: Plan, unit: Unit, observation: LimiterObservation, now_ms: float, halted: bool
    ) -> LimiterAction | None:
        """Drain the limiter, switch it, then wait for it to start."""
        if observation.generation > unit.generation and not observation.is_drained:
            self._report(unit, "failed", "its permit was taken back")
            return None
        is_on_version = observation.version == plan.target_version(unit)
        runs_version = is_on_version and (observation.is_up or observation.phase != "running")
        # A second switch while the previous process is still exiting would stop the new process.
        if self._switched_at_ms is not None or runs_version:
            self._report_start(plan, unit, observation, now_ms)
            return None
        if halted:
            self._report(unit, "halted")
            return None
        if observation.generation < unit.generation or not observation.is_drained:
            self._report(unit, "draining")
            return "drain"
        is_alive = observation.phase in ("starting", "running", "stopping")
        drain_timeout_ms = MS_PER_S * plan.policy.drain_timeout_s
        if observation.open_requests != 0 and is_alive and now_ms - self._unit_since_ms < drain_timeout_ms:
            self._report(unit, "draining", _drain_text(observation.open_requests))
            return None
        self._report(unit, "switching")
        return "switch"

    def _report_start(self, plan: Plan, unit: Unit, observation: LimiterObservation, now_ms: float) -> None:
        """Report whether the limiter starts on the version that it was switched to, without crashing."""
        if self._switched_at_ms is None:
            # A previous process of this agent switched it, or it ran that version already.
            self.on_switched(now_ms, observation.restarts)
        assert self._switched_at_ms is not None
        start_timeout_s = plan.policy.start_timeout_s
        # Only an exit counts as a crash. The phase `backing-off` alone does not: a start that is delayed because the
        # socket is still in use after a crash of the previous version has that phase too.
        if observation.phase == "gave-up" or observation.restarts > self._restarts_at_switch:
            self._report(unit, "failed", f"it crashed as it started: {observation.error or observation.phase}")
        elif observation.is_up and observation.version == plan.target_version(unit):
            self._report(unit, "up")
        elif now_ms - self._switched_at_ms > MS_PER_S * start_timeout_s:
            reason = f"it did not answer within {start_timeout_s:g} s of its start"
            self._report(unit, "failed", f"{reason}: {observation.error}" if observation.error else reason)
        else:
            self._report(unit, "starting", observation.error)

    def _in_service_action(self, unit: Unit, observation: LimiterObservation) -> LimiterAction | None:
        """Undrain the limiter, then wait until it serves."""
        if observation.generation < unit.generation:
            return "undrain"
        if observation.is_up and not observation.is_drained:
            self._report(unit, "serving")
        else:
            self._report(unit, "starting", observation.error)
        return None

    def _report(self, unit: Unit, stage: ExecutionStage, reason: str = "") -> None:
        self.progress = ExecutionProgress(unit.generation, stage, reason)


def _drain_text(open_requests: int) -> str:
    if open_requests > 0:
        return f"{open_requests} requests are in flight"
    return "it has not confirmed the drain record yet"


class AgentObservation(NamedTuple):
    """The state of an agent, as it sees itself.

    Attributes:
        version: The version that it runs.
        generation: The generation of the switch request for which its launcher started it.
        is_on_trial: Whether that version is on trial.
        failed_generation: The generation of the switch request whose version failed its trial last.
        failure_reason: Why its launcher fell back from that version.
        has_majority: Whether it has had answers of a majority of the group since its start.
        is_serving: Whether the agent and all its limiters that have to run are in service.
    """

    version: str
    generation: int
    is_on_trial: bool
    failed_generation: int
    failure_reason: str
    has_majority: bool
    is_serving: bool


def next_agent_action(
    plan: Plan, unit: Unit, observation: AgentObservation, halted: bool
) -> tuple[ExecutionProgress, AgentAction | None]:
    """Decide the next action of an agent in a release of agents that includes it.

    Args:
        plan: The plan in the ledger.
        unit: The plan's unit for the agent.
        observation: The state of the agent.
        halted: Whether the plan is halted, in the ledger or by a halt that only this agent has received yet.

    Returns:
        The progress to report to the leader, and the action: `switch`, for which the caller needs the confirmation of a
        majority, or `settle` to end the trial.
    """
    if unit.stage == "out":
        return _agent_out_action(plan, unit, observation, halted)
    if unit.stage in ("trial", "done") and unit.generation:
        return _agent_in_service_action(plan, unit, observation)
    return ExecutionProgress(), None


def _agent_out_action(
    plan: Plan, unit: Unit, observation: AgentObservation, halted: bool
) -> tuple[ExecutionProgress, AgentAction | None]:
    version = plan.target_version(unit)
    if observation.failed_generation == unit.generation:
        return _fell_back(unit, version, observation.failure_reason), None
    is_settled_on_version = observation.version == version and not observation.is_on_trial
    if observation.generation == unit.generation or is_settled_on_version:
        return ExecutionProgress(unit.generation, "up" if observation.has_majority else "starting"), None
    if halted:
        return ExecutionProgress(unit.generation, "halted"), None
    return ExecutionProgress(unit.generation, "switching"), "switch"


def _agent_in_service_action(
    plan: Plan, unit: Unit, observation: AgentObservation
) -> tuple[ExecutionProgress, AgentAction | None]:
    version = plan.target_version(unit)
    if observation.version == version:
        progress = ExecutionProgress(unit.generation, "serving" if observation.is_serving else "starting")
        may_settle = unit.stage == "done" and observation.is_on_trial and observation.is_serving
        return progress, "settle" if may_settle else None
    if unit.stage == "done" and observation.failed_generation < unit.generation:
        # The unit was finished while this agent was suspended, and its launcher fell back before the trial was ended.
        # The agent switches exactly once more: the launcher ignores a request that is not newer than its last failure.
        return ExecutionProgress(unit.generation, "switching"), "switch"
    reason = observation.failure_reason or f"it runs {observation.version or 'the configured version'}"
    return _fell_back(unit, version, reason), None


def _fell_back(unit: Unit, version: str, reason: str) -> ExecutionProgress:
    return ExecutionProgress(unit.generation, "failed", f"its launcher fell back from version {version}: {reason}")
