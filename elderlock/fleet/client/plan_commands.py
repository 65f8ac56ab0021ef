"""An operator's commands over plans that live in the group: begins one, looks on, steers it. Whoever asks holds
nothing: the plan goes on without the tool, and any agent may be asked."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec

from elderlock.fleet import messages as f
from elderlock.fleet.client.answers import Missing, Refusal, failure_reason
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.report import Exit
from elderlock.rollout.plans import Plan, RolloutPolicy, Unit

ANSWER_WITHIN = 6.0  # s that an agent has to ask the others and to have a majority agree
AGAIN_EVERY = 0.25  # s between looks at a plan, and between tries


class PlanAnswers(msgspec.Struct, frozen=True):
    """What agents know of plans: the one with the newest ledger speaks for all."""

    answers: dict[str, f.PlansStatus]
    missing: dict[str, str]  # agent: why it does not say

    @property
    def newest(self) -> f.PlansStatus | None:
        answers = list(self.answers.values())
        return max(answers, key=lambda each: each.version) if answers else None

    def plan(self, id: str) -> Plan | None:
        """By its id or how that begins; without one the plan that is under way, or the last."""
        plans = self.newest.plans if self.newest is not None else ()
        if id:
            found = [plan for plan in plans if plan.id.startswith(id)]
            return found[0] if len(found) == 1 else None
        under_way = [plan for plan in plans if plan.state != "over"]
        if len(under_way) > 1:
            return None
        return under_way[0] if under_way else plans[-1] if plans else None

    def lines(self, plan: Plan) -> list[str]:
        """How it stands, for people: what is known, what is not, whose permits are out, what it waits for."""
        said = f"{plan.title()} ({plan.id[:8]}) of {plan.requested_by}: {plan.outcome()}"
        if plan.state != "over":
            way = "the way back, " if plan.direction == "back" else ""
            said += f", {way}wave {plan.current_wave() + 1} of {plan.wave_count()}"
        lines = [said + (f"; {plan.reason}" if plan.reason else "")]
        if plan.state_reason:
            lines.append(f"  {'halted' if plan.state == 'halted' else 'last turn'}: {plan.state_reason}")
        runs = {run.limiter: run for answer in self.answers.values() for run in answer.runs}
        if plan.kind == "agents":
            runs = {
                name: f.RunningVersion(
                    name, answer.agent_brief.version, answer.agent_brief.version, answer.agent_brief.progress
                )
                for name, answer in self.answers.items()
            }
        for unit in sorted(plan.units, key=lambda unit: (unit.wave, unit.target)):
            lines.append(f"  wave {unit.wave + 1}  {unit.target}: {_unit(plan, unit, runs.get(unit.target))}")
        newest = self.newest
        for permit in newest.permits if newest is not None else ():
            if permit.origin.startswith(f"{plan.id}/"):
                lines.append(f"  permit for {permit.kind} {permit.target}, generation {permit.generation}")
        if plan.state != "over":
            lines.append(f"  led by {plan.leader or 'nobody yet'} (term {plan.term})")
            leading = [answer for answer in self.answers.values() if plan.id in answer.leads]
            lines += [f"  {text}" for answer in leading for text in answer.waits]
            for id, turn, text in {halt for answer in self.answers.values() for halt in answer.halts}:
                if id == plan.id and turn == plan.revision and plan.state == "running":
                    lines.append(f"  {text}: in force where it was heard of, a majority has not agreed on it yet")
        lines += [f"  agent {name} does not say: {text}" for name, text in sorted(self.missing.items())]
        return lines


def _unit(plan: Plan, unit: Unit, run: f.RunningVersion | None) -> str:
    if unit.stage == "waiting":
        return "waits" if unit.direction == "to" else "waits to go back"
    if plan.kind == "drain":
        words = {"out": "going", "trial": "coming back", "done": "out" if unit.direction == "to" else "back"}
        return words[unit.stage]
    if unit.direction == "back" and unit.stage == "done" and not unit.generation:
        return "never went"
    words = {"out": "out", "trial": "on trial", "done": "done"}
    said = f"{words[unit.stage]}{', back' if unit.direction == 'back' else ''}"
    if run is None:
        return f"{said}; what it runs is not known"
    said += f", runs {run.version or 'the version of the files'}"
    if run.progress.stage and unit.stage != "done":
        said += f" ({run.progress.stage}{': ' + run.progress.reason if run.progress.reason else ''})"
    if run.version != run.wanted and unit.stage != "out":
        said += f", and is to run {run.wanted or 'the version of the files'} from its next start on"
    return said


async def list_plans(group: Group, deadline: float) -> PlanAnswers:
    answers = await group.ask_all(f.ListPlans, f.PlansStatus, deadline)
    return PlanAnswers(
        {name: a for name, a in answers.items() if isinstance(a, f.PlansStatus)},
        {name: failure_reason(a) for name, a in answers.items() if isinstance(a, Missing | Refusal)},
    )


class Answer(msgspec.Struct):
    """`lines` say why, where there is no `plan`."""

    exit: Exit
    plan: Plan | None
    lines: list[str]


EXITS = {"begun": Exit.DONE, "planned": Exit.DONE, "done": Exit.DONE, "refused": Exit.UNSAFE, "away": Exit.NOTHING}


async def ask_any(
    group: Group,
    make: Callable[[int], f.Message],
    answer: type[f.BeginAnswer | f.SteerAnswer],
    give_up_after: float | None,
) -> Answer:
    """Any agent may be asked, and each again under the same origin: one that did not answer may have done it. An agent
    whose side of a cut has no majority is passed over. None of `give_up_after` s tries each agent once."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + (give_up_after or 0.0)
    said: list[str] = ["no agent answers"]
    while True:
        for name in random.sample(group.names, len(group.names)):
            got: object = await group.ask(name, make, answer, ANSWER_WITHIN)
            if isinstance(got, Missing | Refusal):
                said = [f"agent {name}: {failure_reason(got)}"]
            elif not isinstance(got, f.BeginAnswer | f.SteerAnswer):
                continue
            elif got.outcome == "away":
                said = [f"agent {name}: {reason}" for reason in got.reasons]
            else:
                lines = got.lines if isinstance(got, f.BeginAnswer) else ()
                return Answer(EXITS[got.outcome], got.plan, [*got.reasons, *lines])
        if loop.time() >= ends:
            return Answer(Exit.NOTHING, None, said)
        await asyncio.sleep(AGAIN_EVERY)


async def watch(
    group: Group, id: str, deadline: float, told: Callable[[list[str]], None], give_up_after: float | None = None
) -> Answer:
    """Until the plan is over or halted. `told` hears of it whenever something changed."""
    loop = asyncio.get_running_loop()
    ends = None if give_up_after is None else loop.time() + give_up_after
    before: list[str] = []
    while True:
        now = await list_plans(group, deadline)
        plan = now.plan(id)
        if plan is not None:
            lines = now.lines(plan)
            if lines != before:
                told(lines)
                before = lines
            if plan.state != "running":
                return Answer(exit_of(plan), plan, [])
        if ends is not None and loop.time() >= ends:
            return Answer(Exit.PART, plan, ["it goes on in the group"])
        await asyncio.sleep(AGAIN_EVERY)


def exit_of(plan: Plan) -> Exit:
    if plan.state == "over":
        return Exit.DONE if plan.direction == "to" else Exit.NOTHING
    return Exit.PART


def begin(
    origin: str,
    kind: str,
    version: str,
    targets: Sequence[str],
    waves: Sequence[Sequence[str]],
    terms: RolloutPolicy,
    reason: str,
    dry: bool = False,
) -> Callable[[int], f.Message]:
    def make(id: int) -> f.Message:
        return f.BeginPlan(
            id,
            origin,
            kind,  # type: ignore[arg-type]
            version,
            tuple(targets),
            tuple(tuple(w) for w in waves),
            terms,
            reason,
            dry,
        )

    return make
