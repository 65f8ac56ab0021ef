"""What the agent in charge of a target reports on it to the leader of a plan. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from elderlock.rollout.canary_analysis import AnswerMetrics
from elderlock.rollout.plans import Unit

SILENT_AFTER_MS = 10_000.0  # without a report on a target under way, after which too little is known


class TargetReport(NamedTuple):
    """What the agent in charge of a target reports on it.

    Attributes:
        name: The target.
        generation: The generation of the unit that `stage` and `reason` are about.
        stage: How far the agent is with the unit (`elderlock.rollout.plan_executor.ExecutionProgress`). For a server,
            `up` says that no limiter sends to it and no request is open at it.
        reason: Why it is at that stage, for people.
        phase: The state of the limiter's process.
        is_serving: Whether a limiter serves, or all limiters have undrained a server.
        restarts: How often the limiter's process was restarted after a crash.
        drained_by: The operator that drained the target; empty where nobody but the plan did.
        metrics: The limiter's counters.
        age_ms: How long ago the agent was heard; negative where it never was.
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
    """Whether too little is known of a target, as nothing was heard of it lately."""
    return report is None or report.age_ms < 0 or report.age_ms > SILENT_AFTER_MS


def is_heard_serving(report: TargetReport | None) -> bool:
    """Whether a target serves, by a report that is recent enough."""
    return report is not None and report.is_serving and not is_silent(report)


def reports_stage(report: TargetReport | None, unit: Unit, stage: str) -> bool:
    """Whether a report says that the unit, in its current generation, is at a stage."""
    return report is not None and report.generation == unit.generation and report.stage == stage


def reports_serving(report: TargetReport | None, unit: Unit) -> bool:
    """Whether a report says that the unit, in its current generation, serves."""
    return report is not None and report.generation == unit.generation and report.is_serving
