"""`elderlock load`: rehearse a rush against targets, against a group that it starts, and look at what came of it."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, cast

import msgspec

from elderlock.fleet.client.drain_commands import observe_group
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.config import FileError
from elderlock.load import compare, report, scenario, trace
from elderlock.load.coordinator import Coordinator, Line, LoadError, key_of, local_lines, most_workers
from elderlock.load.figures import Second
from elderlock.load.rename import Renamer
from elderlock.load.report import Exit, Report
from elderlock.load.scenario import Scenario, ScenarioError
from elderlock.load.thresholds import ThresholdError, threshold

Began = Callable[[float], Awaitable[list[tuple[float, str]]]]


def add(commands: Any, seconds: Callable[[str], float]) -> None:
    """The parts of the command line."""
    for name, help in (
        ("run", "sends a scenario's requests to limiters that run already"),
        ("up", "starts a whole group on loopback, with the scenario's troubles, and sends to that"),
    ):
        run = commands.add_parser(name, help=help, description=help)
        run.add_argument("scenario", help="a .toml file, or one that ships (elderlock load scenarios)")
        run.add_argument("--set", action="append", default=[], metavar="NAME=VALUE", help="in place of the file's own")
        run.add_argument("--seed", type=int)
        run.add_argument("--for", dest="lasts", type=seconds, metavar="S", help="so long, in place of for_s")
        run.add_argument("--workers", type=int, metavar="N", help=f"processes that send (up to {most_workers()} here)")
        run.add_argument("--json", type=Path, metavar="FILE", help="the report, for load show and load compare")
        run.add_argument("--html", type=Path, metavar="FILE", help="the report as one page")
        run.add_argument("--record", type=Path, metavar="FILE", help="a trace of what was sent")
        run.add_argument("--fail-if", action="append", default=[], metavar="BOUND", help="p99>250ms, share.served<0.99")
        run.add_argument("--quiet", action="store_true", help="no line a second")
        if name == "run":
            run.add_argument("--target", action="append", default=[], metavar="HOST:PORT", help="in order of numbers")
            run.add_argument("--group", type=Path, metavar="FILE", help="targets are the group's limiters")
            run.add_argument("--token-file", type=Path, metavar="FILE")
            run.add_argument("--agents", default="", metavar="A,B", help="workers at these agents' machines too")
        else:
            run.add_argument("--door", choices=("resp", "grpc"), help="which door of the limiters is asked")
    shown = commands.add_parser("show", help="shows a report again", description="shows a report again")
    shown.add_argument("report", type=Path)
    shown.add_argument("--html", type=Path, metavar="FILE")
    shown.add_argument("--fail-if", action="append", default=[], metavar="BOUND")
    both = commands.add_parser(
        "compare",
        help="two reports, and what is beyond the noise",
        description="two reports, and what is beyond the noise",
    )
    both.add_argument("before", type=Path)
    both.add_argument("after", type=Path)
    both.add_argument("--json", action="store_true")
    check = commands.add_parser(
        "check",
        help="checks a scenario, or reads a trace through",
        description="checks a scenario, or reads a trace through",
    )
    check.add_argument("file")
    check.add_argument("--set", action="append", default=[], metavar="NAME=VALUE")
    rename = commands.add_parser(
        "rename",
        help="renames a trace's accounts by a key, to hand it on",
        description="renames a trace's accounts by a key, to hand it on",
    )
    rename.add_argument("trace", type=Path)
    rename.add_argument("out", type=Path)
    rename.add_argument("--key", type=Path, required=True, metavar="FILE", help="16 bytes or more, kept secret")
    record = commands.add_parser(
        "record",
        help="makes a trace from the limiters' figures",
        description="makes a trace from the limiters' figures",
    )
    record.add_argument("out", type=Path)
    record.add_argument("--group", type=Path, metavar="FILE")
    record.add_argument("--token-file", type=Path, metavar="FILE")
    record.add_argument("--for", dest="lasts", type=seconds, default=60.0, metavar="S")
    record.add_argument("--every", type=seconds, default=1.0, metavar="S", help="between looks (1)")
    record.add_argument("--plans", type=Path, metavar="FILE", help="JSON: the plan of each account")
    commands.add_parser("scenarios", help="those that ship", description="those that ship")


def main(options: argparse.Namespace) -> int:
    work: dict[str, Callable[[argparse.Namespace], int]] = {
        "run": run,
        "up": up,
        "show": show,
        "compare": compared,
        "check": check,
        "rename": rename,
        "record": record,
        "scenarios": scenarios,
    }
    try:
        return work[options.load_command](options)
    except (ScenarioError, LoadError, ThresholdError, trace.TraceError, ValueError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
    except FileError as error:
        print(f"elderlock: {error}", file=sys.stderr)
    except OSError as error:
        print(f"elderlock: {error.filename or ''}: {error.strerror or error}", file=sys.stderr)
    return Exit.USAGE


# Sending


def _scenario(options: argparse.Namespace) -> Scenario:
    changes = list(options.set)
    for name, value in (("seed", options.seed), ("for_s", options.lasts), ("workers", options.workers)):
        if value is not None:
            changes.append(f"{name}={value}")
    if options.record is not None:
        changes.append(f"record={json.dumps(str(options.record))}")
    read = scenario.read(options.scenario, changes)
    for text in options.fail_if:
        threshold(text)
    for path in (options.json, options.html, options.record):
        if path is not None and not path.resolve().parent.is_dir():
            raise ScenarioError(f"{path}: there is no such folder")
    replay = read.replay
    if replay is not None and not Path(replay.path).is_absolute() and options.scenario.endswith(".toml"):
        # a trace stands beside its scenario
        beside = Path(options.scenario).resolve().parent / replay.path
        read = msgspec.structs.replace(read, replay=msgspec.structs.replace(replay, path=str(beside)))
    return read


def _at(read: Scenario, addresses: Sequence[str], kind: str | None = None) -> Scenario:
    targets = msgspec.structs.replace(read.targets, addresses=tuple(addresses), kind=kind or read.targets.kind)
    made = msgspec.structs.replace(read, targets=targets)
    scenario.check(made)
    return made


async def _send(
    options: argparse.Namespace,
    read: Scenario,
    lines: Sequence[Line],
    began: Began | None = None,
) -> int:
    if not read.targets.addresses:
        raise ScenarioError("no targets: give --target HOST:PORT or --group FILE, or use elderlock load up")

    def live(second: Second) -> None:
        if not options.quiet:
            print(report.live(second), file=sys.stderr, flush=True)

    # a part of a trace for each worker, which the run joins at its end
    with tempfile.TemporaryDirectory(prefix="elderlock-load-", ignore_cleanup_errors=True) as folder:
        coordinator = Coordinator(read, lines, live, began, key_of(read), Path(folder))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, coordinator.interrupt)
        try:
            made = await coordinator.run(options.fail_if)
        finally:
            for number in (signal.SIGINT, signal.SIGTERM):
                loop.remove_signal_handler(number)
    return _told(made, options.json, options.html)


def _told(made: Report, as_json: Path | None, as_html: Path | None) -> int:
    """Writes and prints it. A disk that is full costs the file and the exit code, not the figures."""
    print("\n".join(report.summary(made)), flush=True)
    code = made.exit
    for path, make in ((as_json, report.encode), (as_html, _page)):
        if path is None:
            continue
        try:
            _write(path, make(made))
        except OSError as error:
            print(f"elderlock: {path}: not written: {error.strerror}", file=sys.stderr)
            code = code or Exit.INCOMPLETE
    return code


def _page(made: Report) -> bytes:
    from elderlock.load.page import page

    return page(made).encode()


def _write(path: Path, data: bytes) -> None:
    """Whole or not at all: a report that was cut would be read as another one."""
    part = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        part.write_bytes(data)
        part.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            part.unlink()
        raise


def run(options: argparse.Namespace) -> int:
    import uvloop

    read = _scenario(options)
    return uvloop.run(_run(options, read))


async def _run(options: argparse.Namespace, read: Scenario) -> int:
    group: Group | None = None
    addresses = list(options.target or read.targets.addresses)
    agents = [name for name in options.agents.split(",") if name]
    if options.group is not None or agents or not addresses:
        group = _group(options)
        if unknown := set(agents) - set(group.names):
            raise ScenarioError(f"the group has no agent {sorted(unknown)[0]}; it has {', '.join(group.names)}")
    try:
        if not addresses and group is not None:
            addresses = await _listens(group)
        lines = local_lines(read.workers)
        if agents:
            from elderlock.load.remote import RemoteLine

            assert group is not None
            lines += [RemoteLine(group, agent, read.workers + n) for n, agent in enumerate(agents)]
        return await _send(options, _at(read, addresses), lines)
    finally:
        if group is not None:
            group.close()


def _group(options: argparse.Namespace) -> Group:
    from elderlock.cli.group import group_of

    return cast(Group, group_of(options))


async def _listens(group: Group) -> list[str]:
    """Where the group's limiters listen, in the order of their names; those that do not say so are named."""
    seen = await observe_group(group, accounts=0)
    found: dict[str, str] = {}
    silent = [f"agent {name}" for name in seen.missing]
    for shown in seen.shown.values():
        for limiter in shown.limiters:
            if limiter.state is not None:
                found[limiter.name] = limiter.state.listen
            else:
                silent.append(limiter.name)
    if silent:
        print(f"elderlock: not told where they listen: {', '.join(silent)}", file=sys.stderr)
    # n2 comes before n10: the place is a limiter's number, by which accounts' sets are counted
    return [found[name] for name in sorted(found, key=lambda name: (len(name), name))]


def up(options: argparse.Namespace) -> int:
    from elderlock.cli.running import PREFIX
    from elderlock.trial.processes import swept

    read = _scenario(options)
    return swept(PREFIX, lambda folder, mark: _up(options, read, folder, mark))


async def _up(options: argparse.Namespace, read: Scenario, folder: Path, mark: str) -> int:
    from elderlock.cli.up import UpError, running
    from elderlock.standins.fault_schedule import FaultError, FaultSchedule, PlannedFault

    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    try:
        async with running(folder, mark, read.group.limiters, read.group.boxes, read.seed, stop) as (world, group):
            if stop.is_set():
                return 130

            async def kill(name: str) -> bool:
                for shown in (await observe_group(group, accounts=0)).shown.values():
                    for limiter in shown.limiters:
                        if limiter.name == name and limiter.pid:
                            os.kill(limiter.pid, signal.SIGKILL)
                            return True
                return False

            planned = [PlannedFault(t.at_s, t.for_s, t.what, t.target, t.by_ms) for t in read.trouble]
            troubles = FaultSchedule(planned, world, kill)
            kind = options.door or read.targets.kind
            if kind == "grpc" and not world.grpc_addresses:
                raise ScenarioError("this needs the extra elderlock[grpc]")
            addresses = world.grpc_addresses if kind == "grpc" else world.listens
            print(f"{world.limiters} limiters and {len(world.boxes)} boxes are up", file=sys.stderr, flush=True)
            return await _send(options, _at(read, addresses, kind), local_lines(read.workers), troubles.run)
    except (UpError, FaultError) as error:
        raise LoadError(str(error)) from None


# Looking


def _report(path: Path) -> Report:
    try:
        return report.decode(path.read_bytes())
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from None


def show(options: argparse.Namespace) -> int:
    made = _report(options.report)
    failed = report.judged(made, options.fail_if)
    made.failed += failed
    if failed and made.exit == Exit.DONE:
        made.exit = Exit.FAILED
    return _told(made, None, options.html)


def compared(options: argparse.Namespace) -> int:
    found, warnings = compare.compared(_report(options.before), _report(options.after))
    if options.json:
        rows = [{**msgspec.structs.asdict(each), "verdict": each.verdict} for each in found]
        print(json.dumps({"differences": rows, "careful": warnings}))
    else:
        print("\n".join(compare.lines(found, warnings)))
    return Exit.DONE


def check(options: argparse.Namespace) -> int:
    if options.file.endswith(".toml") or len(Path(options.file).parts) == 1 and not Path(options.file).exists():
        read = scenario.read(options.file, options.set)
        rates = [sum(piece.expected for piece in scenario.pieces(s, read.for_s)) for s in read.stream]
        what = f"a replay of {read.replay.path}" if read.replay else f"about {sum(rates):.0f} requests"
        print(f"{read.name}: can be used; {what}, {len(read.trouble)} troubles")
        return Exit.DONE
    counts: Counter[str] = Counter()
    first: dict[str, str] = {}
    accounts: set[str] = set()
    last = 0
    with trace.open_trace(Path(options.file)) as file:
        for _, row in trace.rows(trace.lines(file)):
            if isinstance(row, trace.TraceError):
                counts[row.reason] += 1
                first.setdefault(row.reason, str(row))
            else:
                counts["rows"] += 1
                last = row.at
                if len(accounts) < scenario.MOST_ACCOUNTS:
                    accounts.add(row.account)
    print(f"{counts.pop('rows', 0)} requests of {len(accounts)} accounts, to {last / 1e6:.3f} s")
    for reason, count in counts.items():
        print(f"{count} for {reason}, the first: {first[reason]}")
    return Exit.INCOMPLETE if counts else Exit.DONE


def rename(options: argparse.Namespace) -> int:
    renamer = Renamer(options.key.read_bytes())
    if options.out.resolve() == options.trace.resolve():
        raise ValueError(f"{options.out}: a trace is not renamed in place")
    with trace.open_trace(options.trace) as file, contextlib.closing(trace.Writer(options.out)) as writer:
        for _, row in trace.rows(trace.lines(file)):
            if isinstance(row, trace.TraceError):
                raise row
            row.account = renamer(row.account)
            writer.write(row)
    print(f"{writer.rows} requests written")
    return Exit.DONE


def record(options: argparse.Namespace) -> int:
    return asyncio.run(_record(options))


async def _record(options: argparse.Namespace) -> int:
    from elderlock.control.request_metrics import MAXIMUM_ACCOUNTS
    from elderlock.load.recorder import Recorder

    plans = {}
    if options.plans is not None:
        plans = msgspec.json.decode(options.plans.read_bytes(), type=dict[str, str])
    group, recorder = _group(options), Recorder(plans)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    began = before = time.monotonic()
    missed = 0
    with contextlib.closing(trace.Writer(options.out)) as writer:
        while True:
            seen = await observe_group(group, MAXIMUM_ACCOUNTS)
            now = time.monotonic()
            missed += len(seen.missing)
            states = {state.limiter: state for state in seen.states()}
            for row in recorder.look(states, before - began, now - began):
                writer.write(row)
            before = now
            if stop.is_set() or now - began >= options.lasts:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(options.every, max(0.0, began + options.lasts - now))):
                    await stop.wait()
    group.close()
    print(f"{writer.rows} requests in {recorder.looks} looks")
    if recorder.uncounted or missed:
        print(f"not told apart: {recorder.uncounted} requests; agents that did not answer: {missed} times")
    return Exit.DONE if writer.rows else Exit.INCOMPLETE


def scenarios(options: argparse.Namespace) -> int:
    for name in scenario.ships():
        print(f"{name}: {scenario.read(name).about}")
    return Exit.DONE
