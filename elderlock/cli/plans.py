"""`elderlock release` and `elderlock plan`: plans that the group carries out; the tool begins, watches and steers
them."""

from __future__ import annotations

import argparse
import asyncio
import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from elderlock.fleet.client.group_client import Group
    from elderlock.fleet.client.plan_commands import Answer

FILES = "files"  # the version that stands in the agents' files, for people
TIMES = (
    ("drain-within", 10.0, "for a limiter's open requests, before it is ended all the same"),
    ("start-within", 20.0, "for it to answer after its start"),
    ("settle", 20.0, "after it serves again, of which nothing is held against it"),
    ("bake", 30.0, "of traffic, before it is judged"),
    ("bake-most", 120.0, "for a judgement that is not clear yet"),
    ("pause", 5.0, "between waves"),
    ("patience", 30.0, "with a budget that is short, before it halts"),
)


def add(
    commands: Any,
    grouped: Callable[[argparse.ArgumentParser], None],
    seconds: Callable[[str], float],
    formatter: Any,
    epilog: str,
) -> None:
    def command(of: Any, name: str, help: str, example: str) -> argparse.ArgumentParser:
        made: argparse.ArgumentParser = of.add_parser(
            name,
            help=help,
            description=help,
            formatter_class=formatter,
            epilog=f"example:\n  elderlock {example}\n\n{epilog}",
        )
        return made

    def json_too(made: argparse.ArgumentParser) -> None:
        grouped(made)
        made.add_argument("--json", action="store_true", help="as one JSON object")

    def steering(of: Any, area: str) -> None:
        for name, help in (
            ("status", "how it stands, and what it waits for"),
            ("halt", "stops it where it is: nothing more is taken out"),
            ("go-on", "ends a halt"),
            ("back", "takes back all that it has touched, in the same care"),
        ):
            made = command(of, name, help, f"{area} {name}")
            made.add_argument("plan", nargs="?", default="", help="its id, or how that begins; the one under way")
            json_too(made)
            if name == "status":
                made.add_argument("--watch", action="store_true", help="until it is over or halted")
            else:
                made.add_argument("--reason", default="", help="kept with the plan, for the others")
            if name == "go-on":
                made.add_argument("--turn", type=int, metavar="N", help="of the halt that you saw (the one seen now)")

    def release(made: argparse.ArgumentParser) -> None:
        made.add_argument("version", help=f"its folder under [versions]; '{FILES}' for that in the agents' files")
        made.add_argument("--limiter", nargs="+", default=[], metavar="NAME", help="these alone (all that run)")
        made.add_argument(
            "--agents", nargs="*", metavar="NAME", help="releases agents (elderlock base), not limiters: these or all"
        )
        made.add_argument(
            "--wave", action="append", default=[], metavar="NAMES", help="a wave of your own: n0,n1; again for the next"
        )
        for name, default, help in TIMES:
            made.add_argument(f"--{name}", type=seconds, default=default, metavar="S", help=f"{help} ({default:g})")
        made.add_argument("--auto-back", action="store_true", help="a halt of its own is followed by the way back")
        made.add_argument("--reason", default="", help="kept with the plan, for the others")
        json_too(made)

    top = command(commands, "release", "takes limiters to another version, wave by wave", "release start 2.1 --bake 60")
    of = top.add_subparsers(dest="plan_command", required=True, metavar="COMMAND")
    start = command(of, "start", "begins a release; the group carries it out", "release start 2.1 --reason 'new build'")
    release(start)
    start.add_argument("--no-wait", action="store_true", help="do not look on")
    steering(of, "release")
    for name, help in (
        ("give-up", "says that an agent is gone for good, with its limiters: what is out by its hands ends"),
        ("take-in", "takes an agent in again that was given up"),
    ):
        made = command(of, name, help, f"release {name} floor-3")
        made.add_argument("plan", metavar="agent")
        made.add_argument("--reason", default="")
        json_too(made)

    top = command(commands, "plan", "what would go, in which steps, and what it would leave", "plan release 2.1")
    of = top.add_subparsers(dest="plan_command", required=True, metavar="COMMAND")
    release(command(of, "release", "a release, without beginning it", "plan release 2.1"))
    drain = command(of, "drain", "a drain of boxes, without beginning it", "plan drain s-00 s-01")
    drain.add_argument("box", nargs="+", help="uids of boxes")
    json_too(drain)
    steering(of, "plan")


async def main(options: argparse.Namespace, group: Group) -> int:
    from elderlock.cli.commands import _err

    try:
        return await _main(options, group)
    except asyncio.CancelledError:
        _err(["interrupted: what was begun goes on in the group"])
        return 3
    finally:
        group.close()


async def _main(options: argparse.Namespace, group: Group) -> int:
    from elderlock.fleet import messages as f
    from elderlock.fleet.client import plan_commands as operate
    from elderlock.fleet.client.report import Exit
    from elderlock.rollout.plans import RolloutPolicy

    what = options.plan_command
    if what == "status":
        return await _status(options, group)
    if what in ("halt", "go-on", "back", "give-up", "take-in"):
        id, turn = options.plan, 0
        if what not in ("give-up", "take-in"):
            now = await operate.list_plans(group, options.deadline)
            plan = now.plan(options.plan)
            if plan is None:
                return _said(options, operate.Answer(Exit.NOTHING, None, [_none(now, options.plan)]))
            id, turn = plan.id, plan.revision
        if getattr(options, "turn", None) is not None:
            turn = options.turn
        answer = await operate.ask_any(
            group, lambda n: f.SteerPlan(n, id, what, turn, options.reason), f.SteerAnswer, options.deadline
        )
        return _said(options, answer)
    terms = (
        RolloutPolicy(
            drain_timeout_s=options.drain_within,
            start_timeout_s=options.start_within,
            settle_time_s=options.settle,
            bake_time_s=options.bake,
            maximum_bake_time_s=options.bake_most,
            wave_pause_s=options.pause,
            patience_s=options.patience,
            automatic_rollback=options.auto_back,
        )
        if what != "drain"
        else RolloutPolicy(wave_pause_s=0.0)
    )
    dry = what != "start"
    if what == "drain":
        from elderlock.fleet.client.drain_commands import observe_group, server_drain_steps

        steps = server_drain_steps(await observe_group(group, accounts=0, timeout_s=options.deadline), options.box)
        make = operate.begin(os.urandom(16).hex(), "drain", "", options.box, steps, terms, "", dry)
    else:
        version = "" if options.version == FILES else options.version
        waves = [wave.split(",") for wave in options.wave]
        origin = os.urandom(16).hex()
        kind, targets = ("release", options.limiter) if options.agents is None else ("agents", options.agents)
        make = operate.begin(origin, kind, version, targets, waves, terms, options.reason, dry)
    answer = await operate.ask_any(group, make, f.BeginAnswer, options.deadline)
    if dry or answer.exit != Exit.DONE or options.no_wait or answer.plan is None:
        return _said(options, answer)
    return _said(options, await _watched(options, group, answer.plan.id))


async def _watched(options: argparse.Namespace, group: Group, id: str) -> Answer:
    from elderlock.cli.commands import _out
    from elderlock.fleet.client import plan_commands as operate

    told: Callable[[list[str]], None] = (lambda lines: None) if options.json else _out
    return await operate.watch(group, id, options.deadline, told)


def _none(now: Any, id: str) -> str:
    if now.newest is None:
        return "; ".join(f"agent {name}: {text}" for name, text in now.missing.items()) or "no agent answers"
    if id:
        return f"no plan, or more than one, begins with {id}"
    names = ", ".join(plan.id[:8] for plan in now.newest.plans if plan.state != "over")
    return f"several plans are under way: {names}" if names else "there is no plan"


async def _status(options: argparse.Namespace, group: Group) -> int:
    import json

    import msgspec

    from elderlock.cli.commands import _err, _out
    from elderlock.fleet.client import plan_commands as operate
    from elderlock.fleet.client.report import Exit

    now = await operate.list_plans(group, options.deadline)
    if options.json and not options.watch:
        newest = now.newest
        print(
            json.dumps(
                {
                    "plans": msgspec.to_builtins(newest.plans) if newest is not None else [],
                    "agents": {name: msgspec.to_builtins(answer) for name, answer in now.answers.items()},
                    "missing": now.missing,
                }
            )
        )
        return Exit.DONE if newest is not None and not now.missing else Exit.PART
    plan = now.plan(options.plan)
    if plan is None:
        _err([_none(now, options.plan)])
        return Exit.NOTHING
    if options.watch:
        return _said(options, await _watched(options, group, plan.id))
    _out(now.lines(plan))
    return Exit.PART if now.missing else Exit.DONE


def _said(options: argparse.Namespace, answer: Answer) -> int:
    import json

    import msgspec

    from elderlock.cli.commands import _err, _out

    if options.json:
        plan = msgspec.to_builtins(answer.plan) if answer.plan is not None else None
        print(json.dumps({"exit": int(answer.exit), "plan": plan, "lines": answer.lines}))
        return answer.exit
    (_out if answer.exit == 0 else _err)(answer.lines)
    if answer.plan is not None:
        what = f"{answer.plan.kind} {answer.plan.id[:8]}"
        if options.plan_command in ("release", "drain"):
            _err([f"{what} was not begun"])
        else:
            _err(
                [
                    f"{what}: {answer.plan.outcome()}"
                    + (f" ({answer.plan.state_reason})" if answer.plan.state_reason else "")
                ]
            )
    return answer.exit
