"""The operators' commands that drain targets.

A command reads the state of the group, plans its steps, sends its intents to all agents, and repeats this until all
limiters are reached.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable, Iterable, Sequence

import msgspec

from elderlock.control.records import Key, Kind, Record
from elderlock.fleet import messages
from elderlock.fleet.client import plan_commands
from elderlock.fleet.client.answers import Refusal, failure_reason
from elderlock.fleet.client.commands import RETRY_INTERVAL_S, Result, observe_group
from elderlock.fleet.client.drain_plan import Plan, limiter_drain_risks, plan_server_drain, summarize_servers
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.observation import GroupObservation
from elderlock.fleet.client.report import CommandReport, Exit
from elderlock.rollout.plans import RolloutPolicy

PLAN_FRESH_TIMEOUT_MS = 30.0  # that agents wait for fresh states: one silent limiter must not delay the drain
LIMITERS_TIMEOUT_MS = 200.0  # that agents wait for their limiters to apply the records
PERMIT_TIMEOUT_S = 3.0  # includes the time that the agent needs to ask the other agents
FINAL_REFUSAL_CODES = frozenset({"role", "token", "version", "name"})  # a repeated request would be refused again


class Order(msgspec.Struct, frozen=True):
    """The options of a drain or undrain command.

    Attributes:
        kind: The kind of the targets.
        targets: The uids of the servers or the names of the limiters.
        drained: Whether to drain or to undrain them.
        reason: The operator's reason, for people.
        expect: The generation of the targets' records that the operator acted on; None for the one observed now.
        force: Whether to do it without a permit and although it is unsafe.
        deadline: The timeout for each request to an agent (s).
        give_up_after: How long to repeat the command (s); None for no limit.
        wait_finished: Whether to wait until no request is open at the drained targets.
    """

    kind: Kind
    targets: tuple[str, ...]
    drained: bool
    reason: str = ""
    expect: int | None = None
    force: bool = False
    deadline: float = 1.0
    give_up_after: float | None = None
    wait_finished: bool = True


ProgressCallback = Callable[[str, CommandReport], None]


async def carry_out(
    group: Group,
    order: Order,
    on_progress: ProgressCallback,
    on_plan_change: Callable[[list[str]], None] = lambda lines: None,
) -> Result:
    """Drain or undrain targets.

    Args:
        group: The group.
        order: What to do.
        on_progress: Is called with the title and report of a step whenever the report has changed.
        on_plan_change: Is called with the state of the group's plan, for people, whenever it has changed, if the group
            carries out the drain.
    """
    loop = asyncio.get_running_loop()
    deadline_s = None if order.give_up_after is None else loop.time() + order.give_up_after
    observation = await _observe_until_answered(group, order, deadline_s)
    if not observation.shown:
        lines = [f"agent {name}: {failure_reason(failure)}" for name, failure in observation.missing.items()]
        return Result(Exit.NOTHING, None, (), [], [*lines, "no agent answers: nothing was done"])
    plan, unsafe, steps = _plan(observation, order, group.budget)
    unknown = _unknown_targets(observation, order, plan)
    if unknown:
        return Result(Exit.NOTHING, plan, (), [], [f"{order.kind} {name} is not known" for name in unknown])
    if unsafe and not order.force:
        return Result(Exit.UNSAFE, plan, unsafe, [], [])
    reports: list[CommandReport] = []
    if group.budget and order.drained and not order.force and len(steps) > 1 and order.expect is None:
        return await _drain_by_plan(group, order, plan, steps, deadline_s, on_plan_change)
    for number, step in enumerate(steps, 1):
        report, refusals = await _begin_step(group, order, step, observation, deadline_s)
        if refusals:
            remaining = [target for later in steps[number - 1 :] for target in later]
            lines = [*refusals, f"not begun: {', '.join(remaining)}"]
            exit = Exit.PART if reports else Exit.UNSAFE
            return Result(exit, plan, unsafe, reports, lines)
        title = f"step {number} of {len(steps)}"
        await _execute_step(group, order, report, observation, deadline_s, title, on_progress)
        reports.append(report)
        if report.outcome() is not Exit.DONE and number < len(steps):
            remaining = [target for later in steps[number:] for target in later]
            lines = [f"not begun, as an earlier step was not done: {', '.join(remaining)}"]
            return Result(max(_combined_exit(reports), Exit.PART), plan, unsafe, reports, lines)
    return Result(_combined_exit(reports), plan, unsafe, reports, [])


async def _observe_until_answered(group: Group, order: Order, deadline_s: float | None) -> GroupObservation:
    """Request the state of the group, again until an agent answers or the deadline has passed.

    Without a deadline it is requested once: a command that has begun nothing does not wait for a group that is down.
    """
    while True:
        observation = await observe_group(
            group, accounts=0, timeout_s=order.deadline, fresh_timeout_ms=PLAN_FRESH_TIMEOUT_MS
        )
        if observation.shown or deadline_s is None or asyncio.get_running_loop().time() >= deadline_s:
            return observation
        await asyncio.sleep(RETRY_INTERVAL_S)


def _combined_exit(reports: Iterable[CommandReport]) -> Exit:
    """Return the exit code of several steps."""
    outcomes = {report.outcome() for report in reports}
    for exit in (Exit.OVERTAKEN, Exit.PART):
        if exit in outcomes:
            return exit
    if outcomes == {Exit.DONE}:
        return Exit.DONE
    return Exit.PART if Exit.DONE in outcomes else Exit.NOTHING


def _plan(
    observation: GroupObservation, order: Order, has_budget: bool
) -> tuple[Plan | None, tuple[str, ...], tuple[tuple[str, ...], ...]]:
    """Return the plan of a drain of servers, why the command is unsafe, and its steps.

    A group with a budget decides itself how much may be out of service, from what it knows when it grants the permits.
    Only a drain of several steps is checked here too, as its permits are requested step by step.
    """
    if not order.drained:
        return None, (), (order.targets,)
    if order.kind == "limiter":
        risks = () if has_budget else limiter_drain_risks(observation.serving(), order.targets)
        return None, risks, (order.targets,)
    servers = summarize_servers(observation.states())
    plan = plan_server_drain(servers, order.targets)
    planned = {uid for step in plan.steps for uid in step}
    # Targets that are out of service already get their record at once: it remains in force when discovery reports
    # them as running again.
    others = tuple(uid for uid in order.targets if uid not in planned)
    steps = ((others,) if others else ()) + plan.steps
    if has_budget and len(steps) == 1:
        plan = plan_server_drain(servers, order.targets, checks_capacity=False)
    return plan, plan.unsafe, steps


def server_drain_steps(observation: GroupObservation, targets: Sequence[str]) -> tuple[tuple[str, ...], ...]:
    """Return the steps in which servers would be drained.

    Args:
        observation: The state of the group.
        targets: The uids of the servers.
    """
    return _plan(observation, Order("box", tuple(targets), True), has_budget=False)[2]


async def _drain_by_plan(
    group: Group,
    order: Order,
    plan: Plan | None,
    steps: tuple[tuple[str, ...], ...],
    deadline_s: float | None,
    on_plan_change: Callable[[list[str]], None],
) -> Result:
    """Have the group carry out a drain of several steps as a plan, and watch the plan."""
    make_request = plan_commands.begin(
        os.urandom(16).hex(), "drain", "", order.targets, steps, RolloutPolicy(wave_pause_s=0.0), order.reason
    )
    remaining_s = None if deadline_s is None else max(0.0, deadline_s - asyncio.get_running_loop().time())
    begun = await plan_commands.ask_any(group, make_request, messages.BeginAnswer, remaining_s)
    if begun.plan is None or begun.exit is not Exit.DONE:
        return Result(begun.exit, plan, (), [], begun.lines)
    answer = await plan_commands.watch(group, begun.plan.id, order.deadline, on_plan_change, remaining_s)
    return Result(answer.exit, plan, (), [], answer.lines)


def _unknown_targets(observation: GroupObservation, order: Order, plan: Plan | None) -> list[str]:
    """Return the targets that no agent knows and that have no record."""
    if order.kind == "limiter":
        known = {name for names in observation.limiters().values() for name in names}
    else:
        known = {server.uid for state in observation.states() for server in state.servers}
    with_record = {record.target for record in observation.records if record.kind == order.kind}
    return [target for target in order.targets if target not in known | with_record]


async def _begin_step(
    group: Group, order: Order, targets: Sequence[str], observation: GroupObservation, deadline_s: float | None
) -> tuple[CommandReport, list[str]]:
    """Make the report of a step and request its permits, where the group has a budget.

    Any agent can be asked. One that did not answer may have granted the permits; the next one finds them by the
    origin.

    Returns:
        The report, and why there are no permits, for people; empty where the step may begin.
    """
    keys: list[Key] = [(order.kind, target) for target in targets]
    report = CommandReport(
        os.urandom(16).hex(), {key: order.drained for key in keys}, known_limiters=observation.limiters()
    )
    drained = observation.records.drained_targets(order.kind)
    permit_targets = tuple((order.kind, target) for target in targets if target not in drained)
    if not group.budget or not order.drained or order.force or not permit_targets:
        return report, []

    def make_request(id: int) -> messages.RequestPermits:
        generation = observation.records.greatest_generation()
        return messages.RequestPermits(id, report.origin, permit_targets, order.reason, generation)

    loop, failures = asyncio.get_running_loop(), ["no agent answers"]
    while True:
        for name in random.sample(list(observation.shown), len(observation.shown)):
            answer = await group.ask(name, make_request, messages.PermitsAnswer, PERMIT_TIMEOUT_S)
            if isinstance(answer, messages.PermitsAnswer) and answer.outcome == "granted":
                report.permits = answer.permits
                return report, []
            if isinstance(answer, messages.PermitsAnswer) and answer.outcome == "refused":
                return report, [f"no permit: {reason}" for reason in answer.reasons]
            if isinstance(answer, messages.PermitsAnswer):
                failures = list(answer.reasons)
            else:
                failures = [f"agent {name}: {failure_reason(answer)}"]
        if deadline_s is None or loop.time() >= deadline_s:
            return report, [f"no permit: {text}" for text in failures]
        await asyncio.sleep(RETRY_INTERVAL_S)


async def _execute_step(
    group: Group,
    order: Order,
    report: CommandReport,
    observation: GroupObservation,
    deadline_s: float | None,
    title: str,
    on_progress: ProgressCallback,
) -> CommandReport:
    """Send a step's intents to all agents, and repeat it until the step is done or the deadline has passed."""
    loop = asyncio.get_running_loop()
    keys = list(report.wanted)
    records = {key: observation.records.get(*key) for key in keys}
    intents = tuple(
        messages.DrainIntent(order.kind, key[1], order.drained, _expected_generation(order, records[key]))
        for key in keys
    )
    known = tuple(record for record in records.values() if record is not None)
    next_generation = observation.records.greatest_generation() + 1
    generation = max((permit.generation for permit in report.permits), default=next_generation)

    def make_request(id: int) -> messages.Message:
        return messages.SubmitIntents(
            id,
            report.origin,
            generation,
            intents,
            known,
            order.reason,
            LIMITERS_TIMEOUT_MS,
            report.permits,
            order.force,
        )

    pending, last_progress = set(group.names), ""
    while True:
        asked = sorted(pending)
        intents_answers, progress_answers = await asyncio.gather(
            group.ask_all(make_request, messages.IntentsAnswer, order.deadline, asked),
            group.ask_all(
                lambda id: messages.Progress(id, tuple((order.kind, key[1]) for key in keys)),
                messages.Progressed,
                order.deadline,
                [name for name in group.names if name not in pending],
            ),
        )
        for name, answer in intents_answers.items():
            report.add_answer(name, answer)
            is_final_refusal = isinstance(answer, Refusal) and answer.code in FINAL_REFUSAL_CODES
            if isinstance(answer, messages.IntentsAnswer) or is_final_refusal:
                pending.discard(name)
        for name, progress in progress_answers.items():
            if name in report.decisions or isinstance(progress, messages.Progressed):
                report.add_answer(name, progress)
        current_progress = repr((report.rows(), report.text()))
        if current_progress != last_progress:
            on_progress(title, report)
            last_progress = current_progress
        if _is_step_over(report, order) or (deadline_s is not None and loop.time() >= deadline_s):
            return report
        await asyncio.sleep(RETRY_INTERVAL_S)


def _is_step_over(report: CommandReport, order: Order) -> bool:
    """Return whether repeating a step would change nothing."""
    if report.overtaking_records():
        return True
    if not report.is_accepted() and not report.sent and _is_refused_by_all(report):
        return True
    return report.is_finished() if order.wait_finished and order.drained else report.is_complete()


def _is_refused_by_all(report: CommandReport) -> bool:
    """Return whether at least one agent refused the step, and none accepted it."""
    refusing = {name for name, failure in report.missing.items() if isinstance(failure, Refusal)}
    stale = {
        name
        for name, decisions in report.decisions.items()
        if all(decision.outcome in ("stale", "refused") for decision in decisions)
    }
    return bool(refusing | stale) and not set(report.decisions) - stale


def _expected_generation(order: Order, record: Record | None) -> int:
    if order.expect is not None:
        return order.expect
    return record.generation if record is not None else 0
