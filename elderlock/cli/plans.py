"""`elderlock release` and `elderlock plan`: begin, watch and steer plans, which the agents of the group carry out."""

from __future__ import annotations

import argparse
import asyncio
import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from elderlock.fleet.client.group_client import Group
    from elderlock.fleet.client.plan_commands import Answer, PlanAnswers

FILES = "files"  # stands on the command line for the version in the agents' files
# The name of the flag, the default in s, and the help
TIMES = (
    ("drain-within", 10.0, "how long to wait for a limiter's open requests before it is stopped anyway"),
    ("start-within", 20.0, "how long a limiter may take to answer after its start"),
    ("settle", 20.0, "how long its latency is not compared after it serves again"),
    ("bake", 30.0, "how long it serves traffic before it is analysed"),
    ("bake-most", 120.0, "maximum of that time while the analysis is inconclusive"),
    ("pause", 5.0, "pause between waves"),
    ("patience", 30.0, "how long the budget may be exhausted before the plan halts"),
)


def add(
    commands: Any,
    add_group_options: Callable[[argparse.ArgumentParser], None],
    seconds: Callable[[str], float],
    formatter: Any,
    epilog: str,
) -> None:
    """Add the commands `release` and `plan` to the command line.

    Args:
        commands: The subparsers of `elderlock`.
        add_group_options: Adds the options that select the group.
        seconds: Parses a number of seconds.
        formatter: The class that formats the help.
        epilog: The end of each command's help.
    """

    def command(subparsers: Any, name: str, help: str, example: str) -> argparse.ArgumentParser:
        subcommand: argparse.ArgumentParser = subparsers.add_parser(
            name,
            help=help,
            description=help,
            formatter_class=formatter,
            epilog=f"example:\n  elderlock {example}\n\n{epilog}",
        )
        return subcommand

    def add_common_options(subcommand: argparse.ArgumentParser) -> None:
        add_group_options(subcommand)
        subcommand.add_argument("--json", action="store_true", help="print one JSON object")

    def add_steering_commands(subparsers: Any, parent: str) -> None:
        for name, help in (
            ("status", "shows the state of the plan and what it waits for"),
            ("halt", "halts the plan: nothing more is taken out of service"),
            ("go-on", "resumes a halted plan"),
            ("back", "rolls back everything that the plan has changed, just as carefully"),
        ):
            subcommand = command(subparsers, name, help, f"{parent} {name}")
            subcommand.add_argument(
                "plan", nargs="?", default="", help="the plan's id or its beginning (the active plan)"
            )
            add_common_options(subcommand)
            if name == "status":
                subcommand.add_argument("--watch", action="store_true", help="watch the plan until it ends or halts")
            else:
                subcommand.add_argument("--reason", default="", help="a note in the plan, for other operators")
            if name == "go-on":
                subcommand.add_argument(
                    "--turn", type=int, metavar="N", help="revision of the plan that you saw halted (the current one)"
                )

    def add_release_options(subcommand: argparse.ArgumentParser) -> None:
        subcommand.add_argument(
            "version", help=f"its folder under [versions]; '{FILES}' for the one in the agents' files"
        )
        subcommand.add_argument(
            "--limiter", nargs="+", default=[], metavar="NAME", help="only these limiters (all that run)"
        )
        subcommand.add_argument(
            "--agents",
            nargs="*",
            metavar="NAME",
            help="release agents (elderlock base) instead of limiters: these, or all",
        )
        subcommand.add_argument(
            "--wave",
            action="append",
            default=[],
            metavar="NAMES",
            help="the limiters of a wave, such as n0,n1; once for each wave",
        )
        for name, default, help in TIMES:
            subcommand.add_argument(
                f"--{name}", type=seconds, default=default, metavar="S", help=f"{help} ({default:g})"
            )
        subcommand.add_argument(
            "--auto-back", action="store_true", help="roll back if the plan halts because of a fault"
        )
        subcommand.add_argument("--reason", default="", help="a note in the plan, for other operators")
        add_common_options(subcommand)

    top = command(commands, "release", "changes the version of limiters, wave by wave", "release start 2.1 --bake 60")
    subparsers = top.add_subparsers(dest="plan_command", required=True, metavar="COMMAND")
    start = command(
        subparsers, "start", "begins a release, which the group carries out", "release start 2.1 --reason 'new build'"
    )
    add_release_options(start)
    start.add_argument("--no-wait", action="store_true", help="do not watch the release")
    add_steering_commands(subparsers, "release")
    for name, help in (
        ("give-up", "declares an agent and its limiters lost for good, which ends their permits"),
        ("take-in", "reverses give-up for an agent"),
    ):
        subcommand = command(subparsers, name, help, f"release {name} floor-3")
        subcommand.add_argument("plan", metavar="agent")
        subcommand.add_argument("--reason", default="", help="a note for other operators")
        add_common_options(subcommand)

    top = command(
        commands,
        "plan",
        "shows a plan's steps and their effect without beginning it, and steers plans",
        "plan release 2.1",
    )
    subparsers = top.add_subparsers(dest="plan_command", required=True, metavar="COMMAND")
    add_release_options(command(subparsers, "release", "shows a release without beginning it", "plan release 2.1"))
    drain = command(subparsers, "drain", "shows a drain of boxes without beginning it", "plan drain s-00 s-01")
    drain.add_argument("box", nargs="+", help="uids of boxes")
    add_common_options(drain)
    add_steering_commands(subparsers, "plan")


async def main(options: argparse.Namespace, group: Group) -> int:
    """Run a subcommand of `release` or `plan` and return its exit code.

    Args:
        options: The parsed arguments.
        group: The group, which is closed at the end.
    """
    from elderlock.cli.commands import print_errors

    try:
        return await _main(options, group)
    except asyncio.CancelledError:
        print_errors(["interrupted: a plan that has begun continues in the group"])
        return 3
    finally:
        group.close()


async def _main(options: argparse.Namespace, group: Group) -> int:
    from elderlock.fleet import messages
    from elderlock.fleet.client import plan_commands
    from elderlock.fleet.client.report import Exit
    from elderlock.rollout.plans import RolloutPolicy

    command = options.plan_command
    if command == "status":
        return await _status(options, group)
    if command in ("halt", "go-on", "back", "give-up", "take-in"):
        target, revision = options.plan, 0
        if command not in ("give-up", "take-in"):
            plans = await plan_commands.list_plans(group, options.deadline)
            plan = plans.plan(options.plan)
            if plan is None:
                reason = _no_plan_reason(plans, options.plan)
                return _print_answer(options, plan_commands.Answer(Exit.NOTHING, None, [reason]))
            target, revision = plan.id, plan.revision
        if getattr(options, "turn", None) is not None:
            revision = options.turn
        answer = await plan_commands.ask_any(
            group,
            lambda request_id: messages.SteerPlan(request_id, target, command, revision, options.reason),
            messages.SteerAnswer,
            options.deadline,
        )
        return _print_answer(options, answer)
    policy = (
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
        if command != "drain"
        else RolloutPolicy(wave_pause_s=0.0)
    )
    is_dry_run = command != "start"
    if command == "drain":
        from elderlock.fleet.client.commands import observe_group
        from elderlock.fleet.client.drain_commands import server_drain_steps

        steps = server_drain_steps(await observe_group(group, accounts=0, timeout_s=options.deadline), options.box)
        make_request = plan_commands.begin(
            os.urandom(16).hex(), "drain", "", options.box, steps, policy, "", is_dry_run
        )
    else:
        version = "" if options.version == FILES else options.version
        waves = [wave.split(",") for wave in options.wave]
        origin = os.urandom(16).hex()
        kind, targets = ("release", options.limiter) if options.agents is None else ("agents", options.agents)
        make_request = plan_commands.begin(origin, kind, version, targets, waves, policy, options.reason, is_dry_run)
    answer = await plan_commands.ask_any(group, make_request, messages.BeginAnswer, options.deadline)
    if is_dry_run or answer.exit != Exit.DONE or options.no_wait or answer.plan is None:
        return _print_answer(options, answer)
    return _print_answer(options, await _watch(options, group, answer.plan.id))


async def _watch(options: argparse.Namespace, group: Group, plan_id: str) -> Answer:
    """Wait until the plan ends or halts, and print its progress meanwhile unless the output is JSON."""
    from elderlock.cli.commands import print_lines
    from elderlock.fleet.client import plan_commands

    on_progress: Callable[[list[str]], None] = (lambda lines: None) if options.json else print_lines
    return await plan_commands.watch(group, plan_id, options.deadline, on_progress)


def _no_plan_reason(answers: PlanAnswers, plan_id: str) -> str:
    """Return why the agents' answers do not identify one plan."""
    if answers.newest is None:
        return "; ".join(f"agent {name}: {text}" for name, text in answers.missing.items()) or "no agent answers"
    if plan_id:
        return f"no plan, or more than one, has an id that begins with {plan_id}"
    ids = ", ".join(plan.id[:8] for plan in answers.newest.plans if plan.state != "over")
    return f"several plans are active: {ids}" if ids else "there is no plan"


async def _status(options: argparse.Namespace, group: Group) -> int:
    """Print the state of a plan, or of all plans as JSON."""
    import json

    import msgspec

    from elderlock.cli.commands import print_errors, print_lines
    from elderlock.fleet.client import plan_commands
    from elderlock.fleet.client.report import Exit

    plans = await plan_commands.list_plans(group, options.deadline)
    if options.json and not options.watch:
        newest = plans.newest
        print(
            json.dumps(
                {
                    "plans": msgspec.to_builtins(newest.plans) if newest is not None else [],
                    "agents": {name: msgspec.to_builtins(answer) for name, answer in plans.answers.items()},
                    "missing": plans.missing,
                }
            )
        )
        return Exit.DONE if newest is not None and not plans.missing else Exit.PART
    plan = plans.plan(options.plan)
    if plan is None:
        print_errors([_no_plan_reason(plans, options.plan)])
        return Exit.NOTHING
    if options.watch:
        return _print_answer(options, await _watch(options, group, plan.id))
    print_lines(plans.lines(plan))
    return Exit.PART if plans.missing else Exit.DONE


def _print_answer(options: argparse.Namespace, answer: Answer) -> int:
    """Print the answer to a command on plans, with the outcome of the plan, and return the exit code."""
    import json

    import msgspec

    from elderlock.cli.commands import print_errors, print_lines

    if options.json:
        plan = msgspec.to_builtins(answer.plan) if answer.plan is not None else None
        print(json.dumps({"exit": int(answer.exit), "plan": plan, "lines": answer.lines}))
        return answer.exit
    (print_lines if answer.exit == 0 else print_errors)(answer.lines)
    if answer.plan is not None:
        title = f"{answer.plan.kind} {answer.plan.id[:8]}"
        if options.plan_command in ("release", "drain"):
            print_errors([f"{title} was not begun"])
        else:
            print_errors(
                [
                    f"{title}: {answer.plan.outcome()}"
                    + (f" ({answer.plan.state_reason})" if answer.plan.state_reason else "")
                ]
            )
    return answer.exit
