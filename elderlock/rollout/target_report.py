"""The report on a target by the agent that runs it, for the leader of a plan. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from elderlock.rollout.canary_analysis import AnswerMetrics
from elderlock.rollout.plans import Unit

SILENT_AFTER_MS = 10_000.0  # a report that is older counts as missing


class TargetReport(NamedTuple):
    """The report on a target by the agent that runs it.

    Attributes:
        name: The target.
        generation: The generation of the unit that `stage` and `reason` refer to.
        stage: The progress of the agent with the unit (`elderlock.rollout.plan_executor.ExecutionProgress`). For a
            server, `up` means that no limiter sends requests to it and none is in flight at it.
        reason: Why it is at that stage, for operators.
        phase: The state of the limiter's process.
        is_serving: For a limiter, whether it serves; for a server, whether all limiters have undrained it.
        restarts: How often the limiter's process was restarted after a crash.
        drained_by: The operator that drained the target; empty where it is not drained, or only by the plan.
        metrics: The limiter's counters.
        age_ms: The time since the agent was last heard from; negative where it never was.
    """

    name: str
    generation: int = 0
    stage: str = ""
    reason: str = ""
    phase: str = "running"
    is_serving: bool = True
    restarts: int = 0
    drained_by: str = ""
    metrics: AnswerMetrics = AnswerMetrics()
    age_ms: float = 0.0


def is_silent(report: TargetReport | None) -> bool:
    """Whether there is no recent report on a target."""
    return report is None or report.age_ms < 0 or report.age_ms > SILENT_AFTER_MS


def is_heard_serving(report: TargetReport | None) -> bool:
    """Whether a recent report says that a target serves."""
    return report is not None and report.is_serving and not is_silent(report)


def reports_stage(report: TargetReport | None, unit: Unit, stage: str) -> bool:
    """Whether a report says that the current generation of a unit is at a stage."""
    return report is not None and report.generation == unit.generation and report.stage == stage


def reports_serving(report: TargetReport | None, unit: Unit) -> bool:
    """Whether a report says that the current generation of a unit serves."""
    return report is not None and report.generation == unit.generation and report.is_serving
