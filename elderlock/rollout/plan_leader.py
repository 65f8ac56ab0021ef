"""Decide the next action of the agent that leads a plan, from the plan and the reports on its targets. No I/O.

Each action is carried out as one transition of the ledger (`elderlock.rollout.plan_transitions`) under the leader's
term. The state in this module may be lost: a new leader restarts all waiting times, which delays the plan but weakens
none of its checks.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Literal, NamedTuple

from elderlock.rollout.canary_analysis import ComparisonWindow, Verdict, analyze_canary
from elderlock.rollout.metrics_history import MetricsHistory
from elderlock.rollout.plans import Plan, RolloutPolicy, Unit
from elderlock.rollout.target_report import (
    SILENT_AFTER_MS,
    TargetReport,
    is_heard_serving,
    is_silent,
    reports_serving,
    reports_stage,
)

ANALYSIS_INTERVAL_MS = 1000.0
BUDGET_RETRY_MS = 500.0
MS_PER_S = 1000.0
MAXIMUM_REASON_LENGTH = 400

LeaderActionKind = Literal["send", "serve", "pass", "close", "halt"]


class LeaderAction(NamedTuple):
    """An action of the leader.

    Attributes:
        kind: `send` takes targets out of service, `serve` puts one target back into service on trial, `pass` finishes
            targets, `close` ends the plan, `halt` halts it.
        targets: The targets of the action.
        reason: Why the plan halts.
    """

    kind: LeaderActionKind
    targets: tuple[str, ...] = ()
    reason: str = ""


class _StageKey(NamedTuple):
    """A unit at one stage."""

    target: str
    direction: str
    stage: str
    generation: int


class _WaveStart(NamedTuple):
    """The time at which a wave in a direction became due."""

    wave: int
    direction: str
    at_ms: float


class _TrialTiming(NamedTuple):
    """The times of a trial.

    Attributes:
        start_ms: When the last unit on trial began to serve, as the leader saw it.
        settled_ms: When the settling time ends.
        is_due: Whether the bake time is over.
        is_final: Whether the maximum bake time is over.
    """

    start_ms: float
    settled_ms: float
    is_due: bool
    is_final: bool


class PlanLeader:
    """The leader of one plan in one term.

    Invariant: it takes no unit of a wave out of service before all units of the previous wave are done, and none at all
    while a unit that the plan has acted on is known to be faulty. A roll back skips units without a recent report.

    Attributes:
        waiting_for: What the plan waits for, for operators.
    """

    def __init__(self, now_ms: float, history: MetricsHistory) -> None:
        self.waiting_for: tuple[str, ...] = ()
        self._history = history
        self._stage_since_ms: dict[_StageKey, float] = {}
        self._first_restarts: dict[tuple[str, int], int] = {}  # by target and generation
        self._serving_since_ms: dict[tuple[str, int], float] = {}  # on trial, by target and generation
        self._blocked_since_ms: float | None = None  # since when nothing may be taken out while nothing is under way
        self._send_count = 0  # the number of targets to take out at once; 0 for all of the wave
        self._retry_at_ms = 0.0
        self._rotation = 0  # the index of the target to try first, so that a refused target does not block the others
        self._wave_start = _WaveStart(-1, "", now_ms)
        self._analyzed_at_ms = 0.0

    def on_refused(self, reasons: Iterable[str], count: int, now_ms: float) -> None:
        """Handle the refusal of the ledger to take `count` targets out of service at once."""
        self._send_count = max(1, count // 2)
        self._rotation += count == 1
        self._retry_at_ms = now_ms + BUDGET_RETRY_MS
        self.waiting_for = tuple(reasons)

    def on_sent(self) -> None:
        """Handle the confirmation that targets were taken out of service."""
        self._blocked_since_ms = None
        self.waiting_for = ()

    def next_action(self, plan: Plan, reports: Mapping[str, TargetReport], now_ms: float) -> LeaderAction | None:
        """Return the next action; None to wait, with the reason in `waiting_for`.

        Args:
            plan: The plan in the ledger.
            reports: The reports by name, on the targets and on the limiters that the plan does not act on.
            now_ms: The time on the monotonic clock.
        """
        if plan.state != "running":
            self.waiting_for = (f"an operator: {plan.state_reason}",)
            return None
        due_units = _due_units(plan, reports)
        if not due_units:
            return LeaderAction("close")
        for unit in plan.units:
            self._stage_since_ms.setdefault(_stage_key(unit), now_ms)
        if plan.kind == "drain":
            action = self._drain_action(plan, due_units, reports)
        elif fault := self._fault(plan, reports, now_ms):
            return LeaderAction("halt", reason=fault)
        else:
            action = self._release_action(plan, due_units, reports, now_ms)
        return action or self._send_action(plan, due_units, reports, now_ms)

    # Faults

    def _fault(self, plan: Plan, reports: Mapping[str, TargetReport], now_ms: float) -> str:
        """Return the fault for which the plan has to halt; empty where no fault is known."""
        for unit in plan.units:
            is_finished_rollback = unit.direction == "back" and unit.stage == "done"
            if unit.direction != plan.direction or unit.stage == "waiting" or is_finished_rollback:
                continue
            report = reports.get(unit.target)
            if report is None or is_silent(report):
                fault = self._silence_fault(unit, now_ms)
            else:
                fault = self._reported_fault(plan, unit, report)
            if fault:
                return fault
        return ""

    def _silence_fault(self, unit: Unit, now_ms: float) -> str:
        """Check a unit without a recent report.

        A roll back continues, because halting it would leave more units on the faulty version.
        """
        silent_for_ms = now_ms - self._stage_since_ms[_stage_key(unit)]
        if silent_for_ms <= SILENT_AFTER_MS or unit.stage == "done" or unit.direction == "back":
            return ""
        return f"too little is known: no report on {unit.target} for {SILENT_AFTER_MS / MS_PER_S:g} s"

    def _reported_fault(self, plan: Plan, unit: Unit, report: TargetReport) -> str:
        """Check the report on a unit for a failed start or a crash."""
        if report.generation == unit.generation and report.stage == "failed":
            prefix = "during the roll back, " if unit.direction == "back" else ""
            return f"{prefix}{unit.target}: {report.reason}"
        if unit.stage not in ("trial", "done") or unit.direction == "back":
            return ""
        first_restarts = self._first_restarts.setdefault((unit.target, unit.generation), report.restarts)
        if report.restarts > first_restarts or report.phase in ("backing-off", "gave-up"):
            return f"{unit.target} crashed on {plan.version or 'the configured version'}"
        return ""

    # Releases

    def _release_action(
        self, plan: Plan, due_units: list[Unit], reports: Mapping[str, TargetReport], now_ms: float
    ) -> LeaderAction | None:
        for unit in due_units:
            report = reports.get(unit.target)
            if unit.stage == "out" and reports_stage(report, unit, "up"):
                return LeaderAction("serve", (unit.target,))
        on_trial = [unit for unit in due_units if unit.stage == "trial"]
        if not on_trial:
            return None
        if plan.direction == "back":
            serving = tuple(unit.target for unit in on_trial if reports_serving(reports.get(unit.target), unit))
            return LeaderAction("pass", serving) if serving else None
        if now_ms - self._analyzed_at_ms < ANALYSIS_INTERVAL_MS:
            return None
        self._analyzed_at_ms = now_ms
        return self._trial_action(plan, on_trial, reports, now_ms)

    def _trial_action(
        self, plan: Plan, on_trial: list[Unit], reports: Mapping[str, TargetReport], now_ms: float
    ) -> LeaderAction | None:
        """Wait for the units on trial to serve, then for the verdict on their trial."""
        not_serving = [unit for unit in on_trial if not is_heard_serving(reports.get(unit.target))]
        if not_serving:
            return self._await_serving(not_serving, plan.policy.start_timeout_s, now_ms)
        serving_since_ms = {
            unit.target: self._serving_since_ms.setdefault((unit.target, unit.generation), now_ms) for unit in on_trial
        }
        if plan.kind == "agents":
            return self._agents_trial_action(plan.policy, serving_since_ms, now_ms)
        start_ms = max(serving_since_ms.values())
        settled_ms = start_ms + MS_PER_S * plan.policy.settle_time_s
        maximum_bake_s = max(plan.policy.bake_time_s, plan.policy.maximum_bake_time_s)
        timing = _TrialTiming(
            start_ms,
            settled_ms,
            is_due=now_ms >= settled_ms + MS_PER_S * plan.policy.bake_time_s,
            is_final=now_ms >= settled_ms + MS_PER_S * maximum_bake_s,
        )
        names = tuple(unit.target for unit in on_trial)
        verdict = self._verdict(plan, names, reports, timing)
        return self._verdict_action(plan, names, verdict, timing, now_ms)

    def _await_serving(self, not_serving: list[Unit], timeout_s: float, now_ms: float) -> LeaderAction | None:
        names = ", ".join(unit.target for unit in not_serving)
        longest_ms = max(now_ms - self._stage_since_ms[_stage_key(unit)] for unit in not_serving)
        if longest_ms > MS_PER_S * timeout_s:
            return LeaderAction(
                "halt", reason=f"{names} did not serve within {timeout_s:g} s of the start of the trial"
            )
        self.waiting_for = (f"{names} to serve again",)
        return None

    def _agents_trial_action(
        self, policy: RolloutPolicy, serving_since_ms: dict[str, float], now_ms: float
    ) -> LeaderAction | None:
        """Finish the agents that have served long enough; agents have no request metrics to compare."""
        self.waiting_for = (f"{', '.join(serving_since_ms)} on trial",)
        trial_ms = MS_PER_S * (policy.settle_time_s + policy.bake_time_s)
        passed = tuple(name for name, since_ms in serving_since_ms.items() if now_ms - since_ms >= trial_ms)
        return LeaderAction("pass", passed) if passed else None

    def _verdict(
        self, plan: Plan, names: tuple[str, ...], reports: Mapping[str, TargetReport], timing: _TrialTiming
    ) -> Verdict:
        """Compare the limiters on trial with the control group."""
        controls = _control_names(plan, reports)
        released = [window for name in names if (window := self._window(name, timing)) is not None]
        control = [window for name in controls if (window := self._window(name, timing)) is not None]
        if len(released) < len(names) or not control:
            return Verdict("unclear", "no metrics to compare with")
        return analyze_canary(released, control, timing.is_due, timing.is_final)

    def _window(self, name: str, timing: _TrialTiming) -> ComparisonWindow | None:
        return self._history.comparison_window(name, timing.start_ms, timing.settled_ms)

    def _verdict_action(
        self, plan: Plan, names: tuple[str, ...], verdict: Verdict, timing: _TrialTiming, now_ms: float
    ) -> LeaderAction | None:
        if verdict.kind == "bad":
            return LeaderAction("halt", reason=f"{', '.join(names)}: {verdict.text}")
        remaining_s = (timing.settled_ms - now_ms) / MS_PER_S + plan.policy.bake_time_s
        remaining = f", {remaining_s:.0f} s left" if remaining_s > 0 else ""
        self.waiting_for = (f"{', '.join(names)} on trial, {verdict.text}{remaining}",)
        wave = plan.current_wave()
        if any(unit.stage in ("waiting", "out") for unit in plan.units if unit.wave == wave):
            return None
        # A limiter with little traffic never gets a clear verdict. It must not block the plan for ever.
        if (timing.is_due and verdict.kind == "good") or timing.is_final:
            return LeaderAction("pass", names)
        return None

    # Drains

    def _drain_action(
        self, plan: Plan, due_units: list[Unit], reports: Mapping[str, TargetReport]
    ) -> LeaderAction | None:
        waiting = tuple(unit.target for unit in due_units if unit.stage == "waiting")
        if plan.direction == "back" and waiting:
            return LeaderAction("serve", waiting[:1])
        done = []
        for unit in due_units:
            report = reports.get(unit.target)
            is_drained = unit.stage == "out" and reports_stage(report, unit, "up")
            is_undrained = unit.stage == "trial" and reports_serving(report, unit)
            if is_drained or is_undrained:
                done.append(unit.target)
        if done:
            return LeaderAction("pass", tuple(done))
        under_way = [unit.target for unit in due_units if unit.stage in ("out", "trial")]
        if under_way:
            self.waiting_for = (
                f"all limiters to confirm the record, and requests in flight to finish at {', '.join(under_way)}",
            )
        return None

    # Taking out of service

    def _send_action(
        self, plan: Plan, due_units: list[Unit], reports: Mapping[str, TargetReport], now_ms: float
    ) -> LeaderAction | None:
        """Take waiting units out of service, after the pause between waves and as far as the budget allows."""
        waiting = [unit.target for unit in due_units if unit.stage == "waiting"]
        if not waiting:
            return None
        pause_left_ms = self._pause_left_ms(plan, now_ms)
        if pause_left_ms > 0:
            self.waiting_for = (f"the pause between waves, {pause_left_ms / MS_PER_S:.0f} s left",)
            return None
        if now_ms < self._retry_at_ms:
            return self._blocked_action(plan, due_units, now_ms)
        operators = {name: reports[name].drained_by for name in waiting if name in reports}
        drained_by = {name: operator for name, operator in operators.items() if operator}
        free = [name for name in waiting if name not in drained_by]
        if not free:
            self.waiting_for = tuple(f"{name}, drained by {operator}" for name, operator in drained_by.items())
            return self._blocked_action(plan, due_units, now_ms)
        first = self._rotation % len(free)
        rotated = free[first:] + free[:first]
        return LeaderAction("send", tuple(rotated[: self._send_count or len(rotated)]))

    def _pause_left_ms(self, plan: Plan, now_ms: float) -> float:
        """Return the remaining pause before the current wave; a roll back has no pauses."""
        wave = plan.current_wave()
        if (self._wave_start.wave, self._wave_start.direction) != (wave, plan.direction):
            self._wave_start = _WaveStart(wave, plan.direction, now_ms)
            self._send_count = 0
        if wave == 0 or plan.direction == "back":
            return 0.0
        return self._wave_start.at_ms + MS_PER_S * plan.policy.wave_pause_s - now_ms

    def _blocked_action(self, plan: Plan, due_units: list[Unit], now_ms: float) -> LeaderAction | None:
        """Halt a release that for too long could take nothing out of service while nothing was under way."""
        if any(unit.stage in ("out", "trial") for unit in due_units):
            self._blocked_since_ms = None
            return None
        if self._blocked_since_ms is None:
            self._blocked_since_ms = now_ms
        is_too_long = now_ms - self._blocked_since_ms > MS_PER_S * plan.policy.patience_s
        if is_too_long and plan.kind != "drain" and plan.direction == "to":
            self._blocked_since_ms = None
            reason = f"the budget is exhausted: {'; '.join(self.waiting_for)}"
            return LeaderAction("halt", reason=reason[:MAXIMUM_REASON_LENGTH])
        return None


def _due_units(plan: Plan, reports: Mapping[str, TargetReport]) -> list[Unit]:
    """Return the units that are due: those of the current wave, and all that are under way.

    In a roll back a unit without a recent report must not block the others, so the current wave is the earliest wave
    with an unfinished unit that has a recent report. Units that are under way are due whatever their wave. Such a unit
    may have been taken out while an earlier wave had no reports; if it were ignored when that wave reports again, its
    permit would exhaust the budget and the earlier wave would wait for ever.
    """
    wave = plan.current_wave()
    if plan.direction == "back":
        unfinished = [unit for unit in plan.units if unit.stage != "done"]
        wave = min((unit.wave for unit in unfinished if not is_silent(reports.get(unit.target))), default=wave)
    return [
        unit
        for unit in plan.units
        if unit.stage in ("out", "trial") or unit.wave == wave or (unit.wave < wave and unit.stage != "done")
    ]


def _control_names(plan: Plan, reports: Mapping[str, TargetReport]) -> list[str]:
    """Return the control group: the limiters on the previous version, else those that are already released."""
    waiting = [unit.target for unit in plan.units if unit.stage == "waiting"]
    others = [name for name in reports if plan.find_unit(name) is None and reports[name].is_serving]
    return waiting + others or [unit.target for unit in plan.units if unit.stage == "done"]


def _stage_key(unit: Unit) -> _StageKey:
    return _StageKey(unit.target, unit.direction, unit.stage, unit.generation)
