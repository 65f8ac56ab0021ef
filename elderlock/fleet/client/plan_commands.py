"""The operators' commands on plans that a group carries out: begin a plan, watch it, steer it.

A command stores nothing: the group carries out the plan without it, and any agent can answer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec

from elderlock.fleet import messages
from elderlock.fleet.client.answers import Missing, Refusal, failure_reason
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.report import Exit
from elderlock.rollout.plans import Plan, RolloutPolicy, Unit

ANSWER_TIMEOUT_S = 6.0  # includes the time that the agent needs to have a majority agree
RETRY_INTERVAL_S = 0.25  # between requests for the state of a plan, and between attempts


class PlanAnswers(msgspec.Struct, frozen=True):
    """What the agents report about plans. The report with the newest ledger counts.

    Attributes:
        answers: The reports by agent.
        missing: Why the other agents did not answer, by agent.
    """

    answers: dict[str, messages.PlansStatus]
    missing: dict[str, str]

    @property
    def newest(self) -> messages.PlansStatus | None:
        """The report with the newest ledger; None where no agent answered."""
        answers = list(self.answers.values())
        return max(answers, key=lambda answer: answer.version) if answers else None

    def plan(self, id: str) -> Plan | None:
        """Return a plan.

        Args:
            id: The id of the plan or the beginning of it; empty for the only active plan, or the last one if none is
                active.

        Returns:
            The plan; None if there is none, or more than one.
        """
        plans = self.newest.plans if self.newest is not None else ()
        if id:
            matches = [plan for plan in plans if plan.id.startswith(id)]
            return matches[0] if len(matches) == 1 else None
        active = [plan for plan in plans if plan.state != "over"]
        if len(active) > 1:
            return None
        return active[0] if active else plans[-1] if plans else None

    def lines(self, plan: Plan) -> list[str]:
        """Return the state of a plan for people: its units, permits and leader, and what it waits for."""
        title = f"{plan.title()} ({plan.id[:8]}) of {plan.requested_by}: {plan.outcome()}"
        if plan.state != "over":
            direction = "rolling back, " if plan.direction == "back" else ""
            title += f", {direction}wave {plan.current_wave() + 1} of {plan.wave_count()}"
        lines = [title + (f"; {plan.reason}" if plan.reason else "")]
        if plan.state_reason:
            lines.append(f"  {'halted' if plan.state == 'halted' else 'last change'}: {plan.state_reason}")
        versions = {run.limiter: run for answer in self.answers.values() for run in answer.running_versions}
        if plan.kind == "agents":
            versions = {
                name: messages.RunningVersion(
                    name, answer.agent_brief.version, answer.agent_brief.version, answer.agent_brief.progress
                )
                for name, answer in self.answers.items()
            }
        for unit in sorted(plan.units, key=lambda unit: (unit.wave, unit.target)):
            description = _describe_unit(plan, unit, versions.get(unit.target))
            lines.append(f"  wave {unit.wave + 1}  {unit.target}: {description}")
        newest = self.newest
        for permit in newest.permits if newest is not None else ():
            if permit.origin.startswith(f"{plan.id}/"):
                lines.append(f"  permit for {permit.kind} {permit.target}, generation {permit.generation}")
        if plan.state != "over":
            lines.append(f"  led by {plan.leader or 'no agent yet'} (term {plan.term})")
            leaders = [answer for answer in self.answers.values() if plan.id in answer.led_plan_ids]
            lines += [f"  {text}" for answer in leaders for text in answer.waiting_reasons]
            for id, revision, text in {halt for answer in self.answers.values() for halt in answer.halts}:
                if id == plan.id and revision == plan.revision and plan.state == "running":
                    lines.append(f"  {text}: in force where agents received it, not yet agreed on by a majority")
        lines += [f"  agent {name} does not answer: {text}" for name, text in sorted(self.missing.items())]
        return lines


def _describe_unit(plan: Plan, unit: Unit, running: messages.RunningVersion | None) -> str:
    """Return the state of one unit of a plan, for people."""
    if unit.stage == "waiting":
        return "waits" if unit.direction == "to" else "waits to roll back"
    if plan.kind == "drain":
        texts = {
            "out": "being drained",
            "trial": "being undrained",
            "done": "drained" if unit.direction == "to" else "undrained",
        }
        return texts[unit.stage]
    if unit.direction == "back" and unit.stage == "done" and not unit.generation:
        return "was never changed"
    texts = {"out": "out of service", "trial": "on trial", "done": "done"}
    description = f"{texts[unit.stage]}{', rolling back' if unit.direction == 'back' else ''}"
    if running is None:
        return f"{description}; its running version is not known"
    description += f", runs {running.version or 'the version of the files'}"
    if running.progress.stage and unit.stage != "done":
        reason = f": {running.progress.reason}" if running.progress.reason else ""
        description += f" ({running.progress.stage}{reason})"
    if running.version != running.wanted and unit.stage != "out":
        description += f", will run {running.wanted or 'the version of the files'} from its next start on"
    return description


async def list_plans(group: Group, timeout_s: float) -> PlanAnswers:
    """Request the plans from all agents.

    Args:
        group: The group.
        timeout_s: The timeout for each agent.
    """
    answers = await group.ask_all(messages.ListPlans, messages.PlansStatus, timeout_s)
    return PlanAnswers(
        {name: answer for name, answer in answers.items() if isinstance(answer, messages.PlansStatus)},
        {name: failure_reason(answer) for name, answer in answers.items() if isinstance(answer, Missing | Refusal)},
    )


class Answer(msgspec.Struct):
    """The result of a command on a plan.

    Attributes:
        exit: The exit code.
        plan: The plan; None where there is none.
        lines: The result for people; why there is no plan, where there is none.
    """

    exit: Exit
    plan: Plan | None
    lines: list[str]


EXIT_OF_OUTCOME = {
    "begun": Exit.DONE,
    "planned": Exit.DONE,
    "done": Exit.DONE,
    "refused": Exit.UNSAFE,
    "away": Exit.NOTHING,
}


async def ask_any(
    group: Group,
    make_request: Callable[[int], messages.Message],
    answer_type: type[messages.BeginAnswer | messages.SteerAnswer],
    give_up_after_s: float | None,
) -> Answer:
    """Send a request to one agent after another until one can answer it.

    An agent that did not answer may have executed the request, so it is repeated under the same origin. An agent that
    reaches no majority is passed over.

    Args:
        group: The group.
        make_request: Makes the request from its id.
        answer_type: The class of the answer.
        give_up_after_s: How long to repeat the request; None to send it to each agent once.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + (give_up_after_s or 0.0)
    failures: list[str] = ["no agent answers"]
    while True:
        for name in random.sample(group.names, len(group.names)):
            answer: object = await group.ask(name, make_request, answer_type, ANSWER_TIMEOUT_S)
            if isinstance(answer, Missing | Refusal):
                failures = [f"agent {name}: {failure_reason(answer)}"]
            elif not isinstance(answer, messages.BeginAnswer | messages.SteerAnswer):
                continue
            elif answer.outcome == "away":
                failures = [f"agent {name}: {reason}" for reason in answer.reasons]
            else:
                lines = answer.lines if isinstance(answer, messages.BeginAnswer) else ()
                return Answer(EXIT_OF_OUTCOME[answer.outcome], answer.plan, [*answer.reasons, *lines])
        if loop.time() >= deadline_s:
            return Answer(Exit.NOTHING, None, failures)
        await asyncio.sleep(RETRY_INTERVAL_S)


async def watch(
    group: Group,
    id: str,
    timeout_s: float,
    on_change: Callable[[list[str]], None],
    give_up_after_s: float | None = None,
) -> Answer:
    """Wait until a plan is over or halted.

    Args:
        group: The group.
        id: The id of the plan.
        timeout_s: The timeout for each request to an agent.
        on_change: Is called with the state of the plan, for people, whenever it has changed.
        give_up_after_s: How long to wait; None for no limit.
    """
    loop = asyncio.get_running_loop()
    deadline_s = None if give_up_after_s is None else loop.time() + give_up_after_s
    last_lines: list[str] = []
    while True:
        answers = await list_plans(group, timeout_s)
        plan = answers.plan(id)
        if plan is not None:
            lines = answers.lines(plan)
            if lines != last_lines:
                on_change(lines)
                last_lines = lines
            if plan.state != "running":
                return Answer(exit_of(plan), plan, [])
        if deadline_s is not None and loop.time() >= deadline_s:
            return Answer(Exit.PART, plan, ["the plan continues in the group"])
        await asyncio.sleep(RETRY_INTERVAL_S)


def exit_of(plan: Plan) -> Exit:
    """Return the exit code for a plan that is over or halted."""
    if plan.state == "over":
        return Exit.DONE if plan.direction == "to" else Exit.NOTHING
    return Exit.PART


def begin(
    origin: str,
    kind: str,
    version: str,
    targets: Sequence[str],
    waves: Sequence[Sequence[str]],
    policy: RolloutPolicy,
    reason: str,
    dry: bool = False,
) -> Callable[[int], messages.Message]:
    """Return a function that makes the request to begin a plan from the request's id.

    Args:
        origin: The unique id of the command.
        kind: The kind of the plan.
        version: The version to release; empty for a drain.
        targets: The targets of the plan; empty for all limiters.
        waves: The targets of each wave; empty for the default waves.
        policy: The policy of the rollout.
        reason: The operator's reason, for people.
        dry: Whether to only report what the plan would do.
    """

    def make_request(id: int) -> messages.Message:
        return messages.BeginPlan(
            id,
            origin,
            kind,  # type: ignore[arg-type]
            version,
            tuple(targets),
            tuple(tuple(wave) for wave in waves),
            policy,
            reason,
            dry,
        )

    return make_request
