"""The commands over a group: ask, print, and the exit code."""

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
from elderlock.fleet import messages as f
from elderlock.fleet.client.answers import Missing, Refusal, failure_reason
from elderlock.fleet.client.drain_commands import Order, Result, carry_out, observe_group, order_limiters
from elderlock.fleet.client.explanation import explain as explained
from elderlock.fleet.client.explanation import summarize_evidence
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.observation import GroupObservation
from elderlock.fleet.client.report import CommandReport, Exit

PLANNED = "the group carries it out"
CLEAR = "\x1b[H\x1b[2J"


def _colour() -> bool:
    return sys.stdout.isatty()


def _out(lines: Iterable[str]) -> None:
    print("\n".join(lines), flush=True)


def _err(lines: Iterable[str]) -> None:
    for line in lines:
        print(line, file=sys.stderr, flush=True)


def _seen_exit(seen: GroupObservation) -> Exit:
    if not seen.shown:
        return Exit.NOTHING
    silent = any(
        each.link != "answering" and each.phase != "stopped" for shown in seen.shown.values() for each in shown.limiters
    )
    return Exit.PART if seen.missing or silent else Exit.DONE


def _observation_json(seen: GroupObservation) -> dict[str, Any]:
    return {
        "agents": msgspec.to_builtins(seen.shown),
        "missing": {name: msgspec.structs.asdict(missing) for name, missing in seen.missing.items()},
        "heard_by_others": msgspec.to_builtins(seen.observations),
        "records": msgspec.to_builtins(list(seen.records)),
    }


def _shared_json(seen: GroupObservation) -> dict[str, Any]:
    sharing = [state for state in seen.states() if state.shared is not None]
    return {
        "limiters": {state.limiter: msgspec.to_builtins(state.shared) for state in sharing},
        "shares_nothing": [state.limiter for state in seen.states() if state.shared is None],
        "boxes": msgspec.to_builtins(summarize_evidence(sharing)),
        "ceilings": {s.limiter: msgspec.to_builtins(s.ceilings) for s in seen.states() if s.ceilings is not None},
        "missing": {name: failure_reason(missing) for name, missing in seen.missing.items()},
    }


async def show(options: argparse.Namespace, group: Group) -> int:
    """`--watch` goes on till it is interrupted."""
    try:
        while True:
            seen = await observe_group(group, 50 if options.accounts else 0, options.deadline)
            if options.json:
                found = _shared_json(seen) if options.what == "shared" else _observation_json(seen)
                print(json.dumps(found, sort_keys=True), flush=True)
            else:
                if options.watch and _colour():
                    sys.stdout.write(CLEAR)
                if options.what == "shared":
                    lines = tables.shared(seen, _colour())
                else:
                    lines = tables.show(seen, options.accounts, _colour())
                if options.details:
                    lines += [line for s in seen.states() for line in tables.limiter_details(s)]
                _out([*lines, ""] if options.watch else lines)
            if not options.watch:
                return _seen_exit(seen)
            await asyncio.sleep(options.watch)
    finally:
        group.close()


async def explain(options: argparse.Namespace, group: Group) -> int:
    try:
        seen = await observe_group(group, 0, options.deadline)
    finally:
        group.close()
    found = explained(seen, options.target, time.time() * 1000.0)
    if options.json:
        print(json.dumps({**msgspec.to_builtins(found), "used_by": sum(word.is_used for word in found.statements)}))
    elif found.is_known:
        _out(tables.explanation_table(found, _colour()))
    else:
        _err([f"box {options.target} is not known to {len(found.statements)} limiters that answer"])
        _err(f"says nothing: {name}" for name in found.silent)
    if not found.is_known:
        return Exit.NOTHING
    return Exit.PART if found.silent else Exit.DONE


async def compare(options: argparse.Namespace, group: Group) -> int:
    try:
        seen = await observe_group(group, 0, options.deadline)
    finally:
        group.close()
    from elderlock.fleet.client.comparison import compare as differences

    found = differences(seen.states())
    if options.json:
        print(json.dumps([msgspec.structs.asdict(each) for each in found]))
    else:
        _out([f"{each.about}: {each.text}" for each in found] or ["nothing differs"])
        _err(f"agent {name} is not compared: {failure_reason(m)}" for name, m in seen.missing.items())
    return _seen_exit(seen)


async def drain(options: argparse.Namespace, group: Group) -> int:
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
    last: dict[str, CommandReport] = {}
    said: set[str] = set()

    def told(title: str, account: CommandReport) -> None:
        last[title] = account
        lines = [line for line in tables.progress(title, account) if line not in said]
        said.update(lines)
        _err(lines)

    def planned(lines: list[str]) -> None:
        said.add(PLANNED)
        _err(lines)

    began = time.time() * 1000.0
    try:
        result = await carry_out(group, order, told, planned)
    except asyncio.CancelledError:
        if PLANNED in said:
            _err(["interrupted: the plan goes on in the group (elderlock plan status, halt, back)"])
            return Exit.PART
        accounts = list(last.values())
        outcome = max((a.outcome() for a in accounts), default=Exit.NOTHING)
        result = Result(max(outcome, Exit.PART), None, (), accounts, ["interrupted: it is not tried any more"])
        if not accounts:
            result.exit = Exit.NOTHING
    finally:
        group.close()
    if options.json:
        print(json.dumps(_result_json(result, began)))
    else:
        _result(result, order)
    return result.exit


def _result(result: Result, order: Order) -> None:
    if result.plan is not None:
        _out(tables.plan_lines(result.plan))
    if result.unsafe:
        _err(f"unsafe{', but forced' if order.force else ''}: {reason}" for reason in result.unsafe)
    for account in result.reports:
        _out(tables.account_table(account, _colour()))
    _err(result.lines)
    words = {
        Exit.DONE: "done everywhere",
        Exit.PART: "done in part",
        Exit.NOTHING: "nothing was done",
        Exit.UNSAFE: "refused as unsafe; --force overrides",
        Exit.OVERTAKEN: "another operator's change holds",
    }
    _err([words[result.exit]])


def _result_json(result: Result, began: float) -> dict[str, Any]:
    return {
        "exit": int(result.exit),
        "outcome": result.exit.name.lower(),
        "began_at": began,
        "plan": msgspec.structs.asdict(result.plan) if result.plan is not None else None,
        "unsafe": list(result.unsafe),
        "lines": result.lines,
        "text": [line for account in result.reports for line in account.text()],
        "records": [msgspec.to_builtins(r) for account in result.reports for r in account.records.values()],
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
            for account in result.reports
            for row in account.rows()
        ],
    }


async def order(options: argparse.Namespace, group: Group) -> int:
    try:
        result = await order_limiters(
            group,
            options.command,
            list(dict.fromkeys(options.limiter)),
            options.force,
            options.deadline,
            options.give_up_after,
            lambda line: _err([line]),
        )
    except asyncio.CancelledError:
        _err(["interrupted: what was ordered goes on"])
        return Exit.PART
    finally:
        group.close()
    if options.json:
        print(json.dumps({"exit": int(result.exit), "unsafe": list(result.unsafe), "lines": result.lines}))
    else:
        _err(f"unsafe: {reason}" for reason in result.unsafe)
        _err(result.lines)
    return result.exit


async def budget(options: argparse.Namespace, group: Group) -> int:
    """Where the group's budget stands, as the agents that answer know it: the one with the newest ledger speaks."""
    try:
        answers = await group.ask_all(f.ShowBudget, f.BudgetStatus, options.deadline)
    finally:
        group.close()
    stood = [answer for answer in answers.values() if isinstance(answer, f.BudgetStatus)]
    gone = {name: a for name, a in answers.items() if isinstance(a, Missing | Refusal)}
    if options.json:
        print(
            json.dumps(
                {
                    "agents": [msgspec.to_builtins(each) for each in stood],
                    "missing": {name: failure_reason(a) for name, a in gone.items()},
                }
            )
        )
    elif stood:
        newest = max(stood, key=lambda each: each.version)
        _out(newest.lines)
        for permit in newest.permits:
            reason = f": {permit.reason}" if permit.reason else ""
            about = f"{permit.requested_by}, generation {permit.generation}{reason}"
            _out([f"permit for {permit.kind} {permit.target}, {about}"])
        _out(f"{each.agent} votes: {each.voting}; ledger {each.version}" for each in stood)
    _err(f"agent {name} does not say: {failure_reason(a)}" for name, a in gone.items())
    return Exit.DONE if not gone else Exit.PART if stood else Exit.NOTHING


async def audit(options: argparse.Namespace, group: Group) -> int:
    try:
        answers = await group.ask_all(lambda id: f.Audit(id, options.most), f.Audited, options.deadline)
    finally:
        group.close()
    lines = [(line.at, name, line) for name, a in answers.items() if isinstance(a, f.Audited) for line in a.lines]
    lines.sort(key=lambda each: each[:2])
    if options.json:
        print(json.dumps([{"agent": name, **msgspec.to_builtins(line)} for _, name, line in lines]))
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
            for at, name, line in lines
        ]
        _out(tables.table(("AT (UTC)", "AGENT", "WHO", "ROLE", "WHAT", "GEN", "REACHED"), rows, _colour()))
    gone = {name: a for name, a in answers.items() if isinstance(a, Missing | Refusal)}
    _err(f"agent {name} does not answer: {failure_reason(a)}" for name, a in gone.items())
    return Exit.DONE if not gone else Exit.PART if len(gone) < len(answers) else Exit.NOTHING
