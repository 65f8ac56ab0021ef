"""An operator's commands over a group: sees, plans, tells all agents, goes on until all is reached."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable, Iterable, Sequence

import msgspec

from elderlock.control.records import Key, Kind, Record
from elderlock.fleet import messages as f
from elderlock.fleet.client import plan_commands as operate_plans
from elderlock.fleet.client.answers import Refusal, failure_reason
from elderlock.fleet.client.drain_plan import Plan, limiter_drain_risks, plan_server_drain, summarize_servers
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.observation import GroupObservation, observe
from elderlock.fleet.client.report import CommandReport, Exit
from elderlock.rollout.plans import RolloutPolicy

SEE_WITHIN = 1.0  # s for each agent
FRESH_WITHIN = 400.0  # ms that agents wait for their limiters, to show them
PLAN_WITHIN = 30.0  # ms, to plan a drain: one silent limiter must not hold up what the others are told
LIMITERS_WITHIN = 200.0  # ms that agents wait for their limiters before they answer
PERMIT_WITHIN = 3.0  # s that an agent has to ask the others for a permit
AGAIN_EVERY = 0.2  # s between looks at how far it came


async def observe_group(
    group: Group, accounts: int = 20, timeout_s: float = SEE_WITHIN, fresh_timeout_ms: float = FRESH_WITHIN
) -> GroupObservation:
    """`timeout_s` for each agent; `fresh_timeout_ms` that an agent waits for its limiters, whose last word
    from up to two seconds ago it shows else."""
    return observe(await group.ask_all(lambda id: f.Show(id, accounts, fresh_timeout_ms), f.Shown, timeout_s))


class Order(msgspec.Struct, frozen=True):
    """`expect`: a generation that the operator saw, in place of what is seen now. `give_up_after` and
    `deadline` in s; None goes on until it is told not to."""

    kind: Kind
    targets: tuple[str, ...]
    drained: bool
    reason: str = ""
    expect: int | None = None
    force: bool = False
    deadline: float = 1.0
    give_up_after: float | None = None
    wait_finished: bool = True


class Result(msgspec.Struct):
    exit: Exit
    plan: Plan | None
    unsafe: tuple[str, ...]
    reports: list[CommandReport]
    lines: list[str]


Told = Callable[[str, CommandReport], None]


async def carry_out(
    group: Group, order: Order, told: Told, planned: Callable[[list[str]], None] = lambda lines: None
) -> Result:
    """`told` hears of each step's progress whenever something changed; `planned` of that of a plan in the group."""
    seen = await observe_group(group, accounts=0, timeout_s=order.deadline, fresh_timeout_ms=PLAN_WITHIN)
    if not seen.shown:
        lines = [f"agent {name}: {failure_reason(m)}" for name, m in seen.missing.items()]
        return Result(Exit.NOTHING, None, (), [], [*lines, "no agent answers: nothing was done"])
    plan, unsafe, steps = _plan(seen, order)
    unknown = _unknown(seen, order, plan)
    if unknown:
        return Result(Exit.NOTHING, plan, (), [], [f"{order.kind} {name} is not known" for name in unknown])
    if unsafe and not order.force:
        return Result(Exit.UNSAFE, plan, unsafe, [], [])
    accounts: list[CommandReport] = []
    loop = asyncio.get_running_loop()
    ends = None if order.give_up_after is None else loop.time() + order.give_up_after
    if group.budget and order.drained and not order.force and len(steps) > 1 and order.expect is None:
        return await _planned(group, order, plan, steps, ends, planned)
    for number, step in enumerate(steps, 1):
        account, refused = await _permitted(group, order, step, seen, ends)
        if refused:
            left = [target for later in steps[number - 1 :] for target in later]
            lines = [*refused, f"not begun: {', '.join(left)}"]
            exit = Exit.PART if accounts else Exit.UNSAFE
            return Result(exit, plan, unsafe, accounts, lines)
        await _step(group, order, account, seen, ends, f"step {number} of {len(steps)}", told)
        accounts.append(account)
        if account.outcome() is not Exit.DONE and number < len(steps):
            left = [target for later in steps[number:] for target in later]
            lines = [f"not begun, as a step before was not done: {', '.join(left)}"]
            return Result(max(_worst(accounts), Exit.PART), plan, unsafe, accounts, lines)
    return Result(_worst(accounts), plan, unsafe, accounts, [])


def _worst(accounts: Iterable[CommandReport]) -> Exit:
    outcomes = {account.outcome() for account in accounts}
    for exit in (Exit.OVERTAKEN, Exit.PART):
        if exit in outcomes:
            return exit
    if outcomes == {Exit.DONE}:
        return Exit.DONE
    return Exit.PART if Exit.DONE in outcomes else Exit.NOTHING


def _plan(seen: GroupObservation, order: Order) -> tuple[Plan | None, tuple[str, ...], tuple[tuple[str, ...], ...]]:
    if not order.drained:
        return None, (), (order.targets,)
    if order.kind == "limiter":
        return None, limiter_drain_risks(seen.serving(), order.targets), (order.targets,)
    plan = plan_server_drain(summarize_servers(seen.states()), order.targets)
    planned = {uid for step in plan.steps for uid in step}
    # what is out of service already still gets its record, which outlives discovery's word; at once
    rest = tuple(uid for uid in order.targets if uid not in planned)
    return plan, plan.unsafe, ((rest,) if rest else ()) + plan.steps


def server_drain_steps(seen: GroupObservation, targets: Sequence[str]) -> tuple[tuple[str, ...], ...]:
    """The steps in which these boxes would go, as the group is seen."""
    return _plan(seen, Order("box", tuple(targets), True))[2]


async def _planned(
    group: Group,
    order: Order,
    plan: Plan | None,
    steps: tuple[tuple[str, ...], ...],
    ends: float | None,
    planned: Callable[[list[str]], None],
) -> Result:
    """A drain of several steps is the group's to carry out: the tool begins it and looks on."""
    make = operate_plans.begin(
        os.urandom(16).hex(), "drain", "", order.targets, steps, RolloutPolicy(wave_pause_s=0.0), order.reason
    )
    left = None if ends is None else max(0.0, ends - asyncio.get_running_loop().time())
    begun = await operate_plans.ask_any(group, make, f.BeginAnswer, left)
    if begun.plan is None or begun.exit is not Exit.DONE:
        return Result(begun.exit, plan, (), [], begun.lines)
    answer = await operate_plans.watch(group, begun.plan.id, order.deadline, planned, left)
    return Result(answer.exit, plan, (), [], answer.lines)


def _unknown(seen: GroupObservation, order: Order, plan: Plan | None) -> list[str]:
    if order.kind == "limiter":
        known = {name for names in seen.limiters().values() for name in names}
    else:
        known = {box.uid for state in seen.states() for box in state.servers}
    held = {record.target for record in seen.records if record.kind == order.kind}
    return [target for target in order.targets if target not in known | held]


async def _permitted(
    group: Group, order: Order, targets: Sequence[str], seen: GroupObservation, ends: float | None
) -> tuple[CommandReport, list[str]]:
    """The account of a step, with its permits where the group has a budget; or why there are none. Any agent may be
    asked: one that was asked and did not answer may have granted them, and the next one finds them by the origin."""
    keys: list[Key] = [(order.kind, target) for target in targets]
    account = CommandReport(os.urandom(16).hex(), {key: order.drained for key in keys}, known_limiters=seen.limiters())
    drained = seen.records.drained_targets(order.kind)
    wanted = tuple((order.kind, target) for target in targets if target not in drained)
    if not group.budget or not order.drained or order.force or not wanted:
        return account, []
    ask = lambda id: f.RequestPermits(id, account.origin, wanted, order.reason, seen.records.greatest_generation())  # noqa: E731
    loop, said = asyncio.get_running_loop(), ["no agent answers"]
    while True:
        for name in random.sample(list(seen.shown), len(seen.shown)):
            answer = await group.ask(name, ask, f.PermitsAnswer, PERMIT_WITHIN)
            if isinstance(answer, f.PermitsAnswer) and answer.outcome == "granted":
                account.permits = answer.permits
                return account, []
            if isinstance(answer, f.PermitsAnswer) and answer.outcome == "refused":
                return account, [f"no permit: {reason}" for reason in answer.reasons]
            said = (
                list(answer.reasons)
                if isinstance(answer, f.PermitsAnswer)
                else [f"agent {name}: {failure_reason(answer)}"]
            )
        if ends is None or loop.time() >= ends:
            return account, [f"no permit: {text}" for text in said]
        await asyncio.sleep(AGAIN_EVERY)


async def _step(
    group: Group,
    order: Order,
    account: CommandReport,
    seen: GroupObservation,
    ends: float | None,
    title: str,
    told: Told,
) -> CommandReport:
    loop = asyncio.get_running_loop()
    keys = list(account.wanted)
    held = {key: seen.records.get(*key) for key in keys}
    wishes = tuple(f.DrainIntent(order.kind, key[1], order.drained, _expect(order, held[key])) for key in keys)
    known = tuple(record for record in held.values() if record is not None)
    generation = max((permit.generation for permit in account.permits), default=seen.records.greatest_generation() + 1)

    def intend(id: int) -> f.Message:
        return f.SubmitIntents(
            id, account.origin, generation, wishes, known, order.reason, LIMITERS_WITHIN, account.permits, order.force
        )

    pending, before = set(group.names), ""
    while True:
        asked = sorted(pending)
        intended, progressed = await asyncio.gather(
            group.ask_all(intend, f.IntentsAnswer, order.deadline, asked),
            group.ask_all(
                lambda id: f.Progress(id, tuple((order.kind, key[1]) for key in keys)),
                f.Progressed,
                order.deadline,
                [name for name in group.names if name not in pending],
            ),
        )
        for name, answer in intended.items():
            account.add_answer(name, answer)
            if isinstance(answer, f.IntentsAnswer) or (isinstance(answer, Refusal) and answer.code in FINAL):
                pending.discard(name)
        for name, progress in progressed.items():
            if name in account.decisions or isinstance(progress, f.Progressed):
                account.add_answer(name, progress)
        now = repr((account.rows(), account.text()))
        if now != before:
            told(title, account)
            before = now
        if _over(account, order) or (ends is not None and loop.time() >= ends):
            return account
        await asyncio.sleep(AGAIN_EVERY)


FINAL = frozenset({"role", "token", "version", "name"})  # refusals that no repetition changes


def _over(account: CommandReport, order: Order) -> bool:
    if account.overtaken() or (not account.taken() and not account.sent and _all_refused(account)):
        return True
    return account.is_finished() if order.wait_finished and order.drained else account.is_complete()


def _all_refused(account: CommandReport) -> bool:
    """No agent took it and none is left that might: all that could be asked said no."""
    refused = {name for name, m in account.missing.items() if isinstance(m, Refusal)}
    stale = {
        name
        for name, decisions in account.decisions.items()
        if all(d.outcome in ("stale", "refused") for d in decisions)
    }
    return bool(refused | stale) and not set(account.decisions) - stale


def _expect(order: Order, held: Record | None) -> int:
    if order.expect is not None:
        return order.expect
    return held.generation if held is not None else 0


async def order_limiters(
    group: Group,
    action: str,
    names: Sequence[str],
    force: bool,
    deadline: float,
    give_up_after: float | None,
    told: Callable[[str], None],
) -> Result:
    """Starts or stops limiters and waits until they run or are gone."""
    seen = await observe_group(group, accounts=0, timeout_s=deadline)
    where = {name: agent for agent, limiters in seen.limiters().items() for name in limiters}
    unknown = [name for name in names if name not in where]
    if unknown:
        gone = [f"agent {name}: {failure_reason(m)}" for name, m in seen.missing.items()]
        return Result(Exit.NOTHING, None, (), [], [f"limiter {n} is not known" for n in unknown] + gone)
    if action == "stop" and not force and (unsafe := limiter_drain_risks(seen.serving(), names)):
        return Result(Exit.UNSAFE, None, unsafe, [], [])
    want = "running" if action == "start" else "stopped"
    lines, done, left = [], set(), set(names)
    ordered: set[str] = set()
    loop = asyncio.get_running_loop()
    ends = None if give_up_after is None else loop.time() + give_up_after
    refused: set[str] = set()
    while left:
        for name in sorted(left - ordered):
            answer = await group.ask(
                where[name],
                lambda id, name=name: f.Order(id, action, name),  # type: ignore[misc,arg-type]
                f.Ordered,
                deadline,
            )
            if isinstance(answer, f.Ordered):
                ordered.add(name)
                told(f"{name}: {answer.text}")
            elif isinstance(answer, Refusal):
                refused.add(name)
                lines.append(f"{name}: agent {where[name]} refuses: {answer.text}")
        left -= refused
        now = await observe_group(group, accounts=0, timeout_s=deadline)
        for shown in now.shown.values():
            for limiter in shown.limiters:
                if limiter.name in left & ordered and limiter.phase in (want, "gave-up"):
                    if limiter.phase == want:
                        done.add(limiter.name)
                    else:
                        gave_up = f"given up after {limiter.restarts} restarts; see its log"
                        lines.append(f"{limiter.name}: {gave_up}")
                    told(f"{limiter.name}: {limiter.phase}")
                    left.discard(limiter.name)
        if left and ends is not None and loop.time() >= ends:
            break
        if left:
            await asyncio.sleep(AGAIN_EVERY)
    for name in sorted(left):
        unknown_word = "told, not seen to be done" if name in ordered else "not reached"
        lines.append(f"{name}: {unknown_word} (agent {where[name]})")
    exit = Exit.DONE if done == set(names) else Exit.PART if done or ordered else Exit.NOTHING
    return Result(exit, None, (), [], lines)
