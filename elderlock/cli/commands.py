"""The commands that ask the agents of a group: each prints its result and returns its exit code."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from collections.abc import Iterable
from typing import Any

import msgspec

from elderlock.cli import tables
from elderlock.fleet import messages
from elderlock.fleet.client.answers import Missing, Refusal, failure_reason
from elderlock.fleet.client.commands import Result, observe_group
from elderlock.fleet.client.drain_commands import Order, carry_out
from elderlock.fleet.client.explanation import explain as explain_server
from elderlock.fleet.client.explanation import summarize_evidence
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.limiter_commands import order_limiters
from elderlock.fleet.client.observation import GroupObservation
from elderlock.fleet.client.report import CommandReport, Exit

CLEAR_SCREEN = "\x1b[H\x1b[2J"
MAXIMUM_ACCOUNTS = 50  # of each limiter that `show --accounts` lists


def _is_terminal() -> bool:
    """Return whether the output is a terminal."""
    return sys.stdout.isatty()


def print_lines(lines: Iterable[str]) -> None:
    """Print lines to the standard output."""
    print("\n".join(lines), flush=True)


def print_errors(lines: Iterable[str]) -> None:
    """Print lines to the standard error."""
    for line in lines:
        print(line, file=sys.stderr, flush=True)


def _observation_exit_code(observation: GroupObservation) -> Exit:
    """Return DONE if every agent and every limiter that is not stopped answers."""
    if not observation.shown:
        return Exit.NOTHING
    is_any_silent = any(
        limiter.link != "answering" and limiter.phase != "stopped"
        for shown in observation.shown.values()
        for limiter in shown.limiters
    )
    return Exit.PART if observation.missing or is_any_silent else Exit.DONE


def _observation_json(observation: GroupObservation) -> dict[str, Any]:
    """Return the output of `show --json`."""
    return {
        "agents": msgspec.to_builtins(observation.shown),
        "missing": {name: msgspec.structs.asdict(missing) for name, missing in observation.missing.items()},
        "heard_by_others": msgspec.to_builtins(observation.observations),
        "records": msgspec.to_builtins(list(observation.records)),
    }


def _shared_json(observation: GroupObservation) -> dict[str, Any]:
    """Return the output of `show shared --json`."""
    states = observation.states()
    sharing = [state for state in states if state.shared is not None]
    return {
        "limiters": {state.limiter: msgspec.to_builtins(state.shared) for state in sharing},
        "shares_nothing": [state.limiter for state in states if state.shared is None],
        "boxes": msgspec.to_builtins(summarize_evidence(sharing)),
        "ceilings": {
            state.limiter: msgspec.to_builtins(state.ceilings) for state in states if state.ceilings is not None
        },
        "missing": {name: failure_reason(missing) for name, missing in observation.missing.items()},
    }


async def show(options: argparse.Namespace, group: Group) -> int:
    """Show the state of the group, or what its limiters share. With `--watch`, repeat until interrupted."""
    try:
        while True:
            observation = await observe_group(group, MAXIMUM_ACCOUNTS if options.accounts else 0, options.deadline)
            if options.json:
                shared_only = options.what == "shared"
                output = _shared_json(observation) if shared_only else _observation_json(observation)
                print(json.dumps(output, sort_keys=True), flush=True)
            else:
                if options.watch and _is_terminal():
                    sys.stdout.write(CLEAR_SCREEN)
                if options.what == "shared":
                    lines = tables.shared(observation, _is_terminal())
                else:
                    lines = tables.show(observation, options.accounts, _is_terminal())
                if options.details:
                    lines += [line for state in observation.states() for line in tables.limiter_details(state)]
                print_lines([*lines, ""] if options.watch else lines)
            if not options.watch:
                return _observation_exit_code(observation)
            await asyncio.sleep(options.watch)
    finally:
        group.close()


async def explain(options: argparse.Namespace, group: Group) -> int:
    """Explain for each limiter why it uses a box or not."""
    try:
        observation = await observe_group(group, 0, options.deadline)
    finally:
        group.close()
    explanation = explain_server(observation, options.target, time.time() * 1000.0)
    if options.json:
        used_by = sum(statement.is_used for statement in explanation.statements)
        print(json.dumps({**msgspec.to_builtins(explanation), "used_by": used_by}))
    elif explanation.is_known:
        print_lines(tables.explanation_table(explanation, _is_terminal()))
    else:
        print_errors([f"box {options.target} is not known to {len(explanation.statements)} limiters that answer"])
        print_errors(f"says nothing: {name}" for name in explanation.silent)
    if not explanation.is_known:
        return Exit.NOTHING
    return Exit.PART if explanation.silent else Exit.DONE


async def compare(options: argparse.Namespace, group: Group) -> int:
    """Print the differences between the limiters that answer."""
    try:
        observation = await observe_group(group, 0, options.deadline)
    finally:
        group.close()
    from elderlock.fleet.client.comparison import compare as compare_limiters

    differences = compare_limiters(observation.states())
    if options.json:
        print(json.dumps([msgspec.structs.asdict(difference) for difference in differences]))
    else:
        lines = [f"{difference.about}: {difference.text}" for difference in differences]
        print_lines(lines or ["no differences"])
        print_errors(
            f"agent {name} is not compared: {failure_reason(missing)}" for name, missing in observation.missing.items()
        )
    return _observation_exit_code(observation)


async def drain(options: argparse.Namespace, group: Group) -> int:
    """Drain or undrain boxes or limiters, and report which limiters were reached.

    In a group with a disruption budget a plan of the group does the work. It continues if the command is interrupted.
    """
    order = Order(
        options.kind,
        tuple(dict.fromkeys(options.target)),
        options.command == "drain",
        options.reason,
        options.expect,
        options.force,
        options.deadline,
        options.give_up_after,
        not options.no_wait,
    )
    latest_reports: dict[str, CommandReport] = {}
    printed_lines: set[str] = set()
    is_planned = False

    def print_progress(title: str, report: CommandReport) -> None:
        latest_reports[title] = report
        lines = [line for line in tables.progress(title, report) if line not in printed_lines]
        printed_lines.update(lines)
        print_errors(lines)

    def print_plan_progress(lines: list[str]) -> None:
        nonlocal is_planned
        is_planned = True
        print_errors(lines)

    started_at_ms = time.time() * 1000.0
    try:
        result = await carry_out(group, order, print_progress, print_plan_progress)
    except asyncio.CancelledError:
        if is_planned:
            print_errors(["interrupted: the plan continues in the group (elderlock plan status, halt, back)"])
            return Exit.PART
        reports = list(latest_reports.values())
        outcome = max((report.outcome() for report in reports), default=Exit.NOTHING)
        result = Result(max(outcome, Exit.PART), None, (), reports, ["interrupted: the command is not retried"])
        if not reports:
            result.exit = Exit.NOTHING
    finally:
        group.close()
    if options.json:
        print(json.dumps(_result_json(result, started_at_ms)))
    else:
        _print_result(result, order)
    return result.exit


def _print_result(result: Result, order: Order) -> None:
    """Print the result of a drain or an undrain."""
    if result.plan is not None:
        print_lines(tables.plan_lines(result.plan))
    if result.unsafe:
        print_errors(f"unsafe{', but forced' if order.force else ''}: {reason}" for reason in result.unsafe)
    for report in result.reports:
        print_lines(tables.report_table(report, _is_terminal()))
    print_errors(result.lines)
    summaries = {
        Exit.DONE: "done everywhere",
        Exit.PART: "done in part",
        Exit.NOTHING: "nothing was done",
        Exit.UNSAFE: "refused as unsafe; --force overrides",
        Exit.OVERTAKEN: "another operator's change is in force instead",
    }
    print_errors([summaries[result.exit]])


def _result_json(result: Result, started_at_ms: float) -> dict[str, Any]:
    """Return the output of `drain --json` and `undrain --json`."""
    return {
        "exit": int(result.exit),
        "outcome": result.exit.name.lower(),
        "began_at": started_at_ms,
        "plan": msgspec.structs.asdict(result.plan) if result.plan is not None else None,
        "unsafe": list(result.unsafe),
        "lines": result.lines,
        "text": [line for report in result.reports for line in report.text()],
        "records": [msgspec.to_builtins(record) for report in result.reports for record in report.records.values()],
        "rows": [
            {
                "target": row.key[1],
                "limiter": row.limiter,
                "agent": row.agent,
                "state": row.state,
                "at": row.at,
                "why": row.why,
                "out": row.open_requests,
            }
            for report in result.reports
            for row in report.rows()
        ],
    }


async def start_or_stop(options: argparse.Namespace, group: Group) -> int:
    """Start or stop limiters."""
    try:
        result = await order_limiters(
            group,
            options.command,
            list(dict.fromkeys(options.limiter)),
            options.force,
            options.deadline,
            options.give_up_after,
            lambda line: print_errors([line]),
        )
    except asyncio.CancelledError:
        print_errors(["interrupted: agents still carry out the orders that they received"])
        return Exit.PART
    finally:
        group.close()
    if options.json:
        print(json.dumps({"exit": int(result.exit), "unsafe": list(result.unsafe), "lines": result.lines}))
    else:
        print_errors(f"unsafe: {reason}" for reason in result.unsafe)
        print_errors(result.lines)
    return result.exit


async def budget(options: argparse.Namespace, group: Group) -> int:
    """Show the group's disruption budget and its permits, from the agent whose permit ledger is the newest."""
    try:
        answers = await group.ask_all(messages.ShowBudget, messages.BudgetStatus, options.deadline)
    finally:
        group.close()
    statuses = [answer for answer in answers.values() if isinstance(answer, messages.BudgetStatus)]
    failures = {name: answer for name, answer in answers.items() if isinstance(answer, Missing | Refusal)}
    if options.json:
        print(
            json.dumps(
                {
                    "agents": [msgspec.to_builtins(status) for status in statuses],
                    "missing": {name: failure_reason(failure) for name, failure in failures.items()},
                }
            )
        )
    elif statuses:
        newest = max(statuses, key=lambda status: status.version)
        print_lines(newest.lines)
        for permit in newest.permits:
            reason = f": {permit.reason}" if permit.reason else ""
            requester = f"{permit.requested_by}, generation {permit.generation}{reason}"
            print_lines([f"permit for {permit.kind} {permit.target}, requested by {requester}"])
        print_lines(f"{status.agent} votes: {status.voting}; ledger {status.version}" for status in statuses)
    print_errors(f"agent {name} does not answer: {failure_reason(failure)}" for name, failure in failures.items())
    return Exit.DONE if not failures else Exit.PART if statuses else Exit.NOTHING


async def audit(options: argparse.Namespace, group: Group) -> int:
    """List operators' commands from the agents' audit logs, in the order of their times."""
    try:
        answers = await group.ask_all(
            lambda request_id: messages.Audit(request_id, options.most), messages.Audited, options.deadline
        )
    finally:
        group.close()
    entries = [
        (line.at, name, line)
        for name, answer in answers.items()
        if isinstance(answer, messages.Audited)
        for line in answer.lines
    ]
    entries.sort(key=lambda entry: entry[:2])
    if options.json:
        print(json.dumps([{"agent": name, **msgspec.to_builtins(line)} for _, name, line in entries]))
    else:
        from datetime import UTC, datetime

        rows = [
            [
                datetime.fromtimestamp(at / 1000.0, UTC).strftime("%Y-%m-%d %H:%M:%S"),
                name,
                line.who,
                line.role,
                line.what,
                str(line.generation or "-"),
                line.reached or "-",
            ]
            for at, name, line in entries
        ]
        print_lines(tables.table(("AT (UTC)", "AGENT", "WHO", "ROLE", "WHAT", "GEN", "REACHED"), rows, _is_terminal()))
    failures = {name: answer for name, answer in answers.items() if isinstance(answer, Missing | Refusal)}
    print_errors(f"agent {name} does not answer: {failure_reason(failure)}" for name, failure in failures.items())
    return Exit.DONE if not failures else Exit.PART if len(failures) < len(answers) else Exit.NOTHING
