"""`elderlock load`: sends load to running limiters or to a group that it starts, and reports the results."""

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

from elderlock.fleet.client.commands import observe_group
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.config import FileError
from elderlock.load import compare, report, scenario, trace
from elderlock.load.coordinator import (
    Coordinator,
    LoadError,
    WorkerLink,
    local_worker_links,
    maximum_workers,
    renaming_key,
)
from elderlock.load.metrics import Second
from elderlock.load.rename import Renamer
from elderlock.load.report import Exit, Report
from elderlock.load.scenario import Scenario, ScenarioError
from elderlock.load.thresholds import ThresholdError, parse_threshold

# Is called with the start time, and returns the times and descriptions of the faults that it has injected
StartCallback = Callable[[float], Awaitable[list[tuple[float, str]]]]
FAIL_IF_HELP = "fail if this holds: p99>250ms, share.served<0.99"


def add(commands: Any, seconds: Callable[[str], float]) -> None:
    """Add the subcommands of `elderlock load`.

    Args:
        commands: The subparsers of `elderlock load`.
        seconds: Parses a number of seconds.
    """
    for name, help in (
        ("run", "sends a scenario's requests to running limiters"),
        ("up", "starts a group on loopback with the scenario's faults, and sends to it"),
    ):
        run = commands.add_parser(name, help=help, description=help)
        run.add_argument("scenario", help="a .toml file, or a built-in scenario (elderlock load scenarios)")
        run.add_argument(
            "--set", action="append", default=[], metavar="NAME=VALUE", help="change a value of the scenario"
        )
        run.add_argument("--seed", type=int, help="seed of the random numbers")
        run.add_argument("--for", dest="lasts", type=seconds, metavar="S", help="duration, in place of for_s")
        run.add_argument(
            "--workers", type=int, metavar="N", help=f"number of sending processes (at most {maximum_workers()} here)"
        )
        run.add_argument("--json", type=Path, metavar="FILE", help="write the report, for load show and load compare")
        run.add_argument("--html", type=Path, metavar="FILE", help="write the report as an HTML page")
        run.add_argument("--record", type=Path, metavar="FILE", help="write a trace of the requests that were sent")
        run.add_argument("--fail-if", action="append", default=[], metavar="BOUND", help=FAIL_IF_HELP)
        run.add_argument("--quiet", action="store_true", help="do not print a line each second")
        if name == "run":
            run.add_argument(
                "--target",
                action="append",
                default=[],
                metavar="HOST:PORT",
                help="a limiter, in the order of their numbers",
            )
            run.add_argument("--group", type=Path, metavar="FILE", help="send to the limiters of this group")
            run.add_argument("--token-file", type=Path, metavar="FILE", help="the token file")
            run.add_argument("--agents", default="", metavar="A,B", help="also run workers on these agents' machines")
        else:
            run.add_argument("--door", choices=("resp", "grpc"), help="the limiters' protocol to send to")
    show = commands.add_parser("show", help="prints a stored report", description="prints a stored report")
    show.add_argument("report", type=Path, help="a file of --json")
    show.add_argument("--html", type=Path, metavar="FILE", help="write the report as an HTML page")
    show.add_argument("--fail-if", action="append", default=[], metavar="BOUND", help=FAIL_IF_HELP)
    compare = commands.add_parser(
        "compare",
        help="compares two reports, and marks differences beyond the noise",
        description="compares two reports, and marks differences beyond the noise",
    )
    compare.add_argument("before", type=Path, help="a file of --json")
    compare.add_argument("after", type=Path, help="a file of --json")
    compare.add_argument("--json", action="store_true", help="print one JSON object")
    check = commands.add_parser(
        "check", help="checks a scenario or a trace", description="checks a scenario or a trace"
    )
    check.add_argument("file", help="a scenario or a trace")
    check.add_argument(
        "--set", action="append", default=[], metavar="NAME=VALUE", help="change a value of the scenario"
    )
    rename = commands.add_parser(
        "rename",
        help="replaces the accounts of a trace by pseudonyms, so that it can be shared",
        description="replaces the accounts of a trace by pseudonyms, so that it can be shared",
    )
    rename.add_argument("trace", type=Path, help="the trace")
    rename.add_argument("out", type=Path, help="the new trace")
    rename.add_argument("--key", type=Path, required=True, metavar="FILE", help="a secret of at least 16 bytes")
    record = commands.add_parser(
        "record",
        help="makes a trace from the limiters' request counts",
        description="makes a trace from the limiters' request counts",
    )
    record.add_argument("out", type=Path, help="the trace")
    record.add_argument("--group", type=Path, metavar="FILE", help="the group file")
    record.add_argument("--token-file", type=Path, metavar="FILE", help="the token file")
    record.add_argument("--for", dest="lasts", type=seconds, default=60.0, metavar="S", help="duration (60)")
    record.add_argument("--every", type=seconds, default=1.0, metavar="S", help="interval between polls (1)")
    record.add_argument("--plans", type=Path, metavar="FILE", help="a JSON object with the plan of each account")
    commands.add_parser("scenarios", help="lists the built-in scenarios", description="lists the built-in scenarios")


def main(options: argparse.Namespace) -> int:
    """Run a subcommand of `elderlock load` and return its exit code."""
    handlers: dict[str, Callable[[argparse.Namespace], int]] = {
        "run": run,
        "up": up,
        "show": show,
        "compare": compare_reports,
        "check": check,
        "rename": rename,
        "record": record,
        "scenarios": scenarios,
    }
    try:
        return handlers[options.load_command](options)
    except (ScenarioError, LoadError, ThresholdError, trace.TraceError, ValueError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
    except FileError as error:
        print(f"elderlock: {error}", file=sys.stderr)
    except OSError as error:
        print(f"elderlock: {error.filename or ''}: {error.strerror or error}", file=sys.stderr)
    return Exit.USAGE


# Sending


def _scenario(options: argparse.Namespace) -> Scenario:
    """Read the scenario with the changes of the options, and check the thresholds and output paths.

    Raises:
        ScenarioError: The scenario is invalid, or the folder of an output file does not exist.
        ThresholdError: A threshold is invalid.
    """
    changes = list(options.set)
    for name, value in (("seed", options.seed), ("for_s", options.lasts), ("workers", options.workers)):
        if value is not None:
            changes.append(f"{name}={value}")
    if options.record is not None:
        changes.append(f"record={json.dumps(str(options.record))}")
    read = scenario.read(options.scenario, changes)
    for text in options.fail_if:
        parse_threshold(text)
    for path in (options.json, options.html, options.record):
        if path is not None and not path.resolve().parent.is_dir():
            raise ScenarioError(f"{path}: there is no such folder")
    replay = read.replay
    if replay is not None and not Path(replay.path).is_absolute() and options.scenario.endswith(".toml"):
        # the path of a trace is relative to the folder of the scenario
        trace_path = Path(options.scenario).resolve().parent / replay.path
        read = msgspec.structs.replace(read, replay=msgspec.structs.replace(replay, path=str(trace_path)))
    return read


def _with_targets(read: Scenario, addresses: Sequence[str], kind: str | None = None) -> Scenario:
    """Return the scenario with other targets.

    Raises:
        ScenarioError: The scenario is not valid with them.
    """
    targets = msgspec.structs.replace(read.targets, addresses=tuple(addresses), kind=kind or read.targets.kind)
    changed = msgspec.structs.replace(read, targets=targets)
    scenario.check(changed)
    return changed


async def _send(
    options: argparse.Namespace, read: Scenario, lines: Sequence[WorkerLink], on_start: StartCallback | None = None
) -> int:
    """Send the load through the workers, write and print the report, and return the exit code."""
    if not read.targets.addresses:
        raise ScenarioError("no targets: give --target HOST:PORT or --group FILE, or use elderlock load up")

    def print_second(second: Second) -> None:
        if not options.quiet:
            print(report.live_line(second), file=sys.stderr, flush=True)

    # Each worker writes its part of the trace to this folder. The coordinator joins the parts at the end.
    with tempfile.TemporaryDirectory(prefix="elderlock-load-", ignore_cleanup_errors=True) as folder:
        coordinator = Coordinator(read, lines, print_second, on_start, renaming_key(read), Path(folder))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, coordinator.interrupt)
        try:
            result = await coordinator.run(options.fail_if)
        finally:
            for number in (signal.SIGINT, signal.SIGTERM):
                loop.remove_signal_handler(number)
    return _output(result, options.json, options.html)


def _output(result: Report, json_path: Path | None, html_path: Path | None) -> int:
    """Print and write the report, and return the exit code.

    If a file cannot be written, for example because the disk is full, the report is printed all the same and the exit
    code says so.
    """
    print("\n".join(report.summary(result)), flush=True)
    code = result.exit
    for path, encode in ((json_path, report.encode), (html_path, _page)):
        if path is None:
            continue
        try:
            _write(path, encode(result))
        except OSError as error:
            print(f"elderlock: {path}: not written: {error.strerror}", file=sys.stderr)
            code = code or Exit.INCOMPLETE
    return code


def _page(result: Report) -> bytes:
    """Return the report as an HTML page."""
    from elderlock.load.html_report import render_page

    return render_page(result).encode()


def _write(path: Path, data: bytes) -> None:
    """Write a file atomically, because a truncated report could be read as a different one."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_bytes(data)
        temporary.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise


def run(options: argparse.Namespace) -> int:
    """Send a scenario's load to running limiters."""
    import uvloop

    read = _scenario(options)
    return uvloop.run(_run(options, read))


async def _run(options: argparse.Namespace, read: Scenario) -> int:
    """Find the targets and the workers, and send the load.

    Raises:
        ScenarioError: The group has no agent of that name, or there are no targets.
    """
    group: Group | None = None
    addresses = list(options.target or read.targets.addresses)
    agents = [name for name in options.agents.split(",") if name]
    if options.group is not None or agents or not addresses:
        group = _group(options)
        if unknown := set(agents) - set(group.names):
            raise ScenarioError(f"the group has no agent {sorted(unknown)[0]}; it has {', '.join(group.names)}")
    try:
        if not addresses and group is not None:
            addresses = await _limiter_addresses(group)
        lines = local_worker_links(read.workers)
        if agents:
            from elderlock.load.remote_worker import RemoteWorkerLink

            assert group is not None
            lines += [RemoteWorkerLink(group, agent, read.workers + index) for index, agent in enumerate(agents)]
        return await _send(options, _with_targets(read, addresses), lines)
    finally:
        if group is not None:
            group.close()


def _group(options: argparse.Namespace) -> Group:
    from elderlock.cli.group import selected_group

    return cast(Group, selected_group(options))


async def _limiter_addresses(group: Group) -> list[str]:
    """Return the addresses of the group's limiters in the order of their numbers, and warn about unknown ones."""
    observation = await observe_group(group, accounts=0)
    addresses: dict[str, str] = {}
    silent = [f"agent {name}" for name in observation.missing]
    for shown in observation.shown.values():
        for limiter in shown.limiters:
            if limiter.state is not None:
                addresses[limiter.name] = limiter.state.listen
            else:
                silent.append(limiter.name)
    if silent:
        print(f"elderlock: no address is known of: {', '.join(silent)}", file=sys.stderr)
    # n2 comes before n10. The position in the list must be the limiter's number, because an account's set of limiters
    # is given by numbers.
    return [addresses[name] for name in sorted(addresses, key=lambda name: (len(name), name))]


def up(options: argparse.Namespace) -> int:
    """Start a group, and send a scenario's load to it while its faults are injected."""
    from elderlock.cli.running_groups import GROUP_FOLDER_PREFIX
    from elderlock.trial.processes import run_guarded

    read = _scenario(options)
    return run_guarded(GROUP_FOLDER_PREFIX, lambda folder, mark: _up(options, read, folder, mark))


async def _up(options: argparse.Namespace, read: Scenario, folder: Path, mark: str) -> int:
    """Run the group and the load.

    Args:
        options: The parsed arguments.
        read: The scenario.
        folder: The folder for the group's files.
        mark: The value that marks the processes of this run in their environment.

    Raises:
        LoadError: The group did not start, or a fault of the scenario cannot be injected.
        ScenarioError: The scenario is not valid for the group.
    """
    from elderlock.cli.up import UpError, running_group
    from elderlock.standins.fault_schedule import FaultError, FaultSchedule, PlannedFault

    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    try:
        async with running_group(folder, mark, read.group.limiters, read.group.boxes, read.seed, stop) as (
            world,
            group,
        ):
            if stop.is_set():
                return 130

            async def kill(name: str) -> bool:
                for shown in (await observe_group(group, accounts=0)).shown.values():
                    for limiter in shown.limiters:
                        if limiter.name == name and limiter.pid:
                            os.kill(limiter.pid, signal.SIGKILL)
                            return True
                return False

            planned = [
                PlannedFault(fault.at_s, fault.for_s, fault.what, fault.target, fault.by_ms) for fault in read.trouble
            ]
            troubles = FaultSchedule(planned, world, kill)
            kind = options.door or read.targets.kind
            if kind == "grpc" and not world.grpc_addresses:
                raise ScenarioError("sending over gRPC needs the extra elderlock[grpc]")
            addresses = world.grpc_addresses if kind == "grpc" else world.listens
            print(f"{world.limiters} limiters and {len(world.boxes)} boxes are running", file=sys.stderr, flush=True)
            return await _send(
                options, _with_targets(read, addresses, kind), local_worker_links(read.workers), troubles.run
            )
    except (UpError, FaultError) as error:
        raise LoadError(str(error)) from None


# Reports and traces


def _report(path: Path) -> Report:
    """Read a stored report.

    Raises:
        ValueError: The file is not a report.
    """
    try:
        return report.decode(path.read_bytes())
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from None


def show(options: argparse.Namespace) -> int:
    """Print a stored report, and check it against the thresholds of `--fail-if`."""
    result = _report(options.report)
    failed = report.failed_thresholds(result, options.fail_if)
    result.failed += failed
    if failed and result.exit == Exit.DONE:
        result.exit = Exit.FAILED
    return _output(result, None, options.html)


def compare_reports(options: argparse.Namespace) -> int:
    """Print the differences of two stored reports."""
    differences, warnings = compare.compare_reports(_report(options.before), _report(options.after))
    if options.json:
        rows = [{**msgspec.structs.asdict(difference), "verdict": difference.verdict} for difference in differences]
        print(json.dumps({"differences": rows, "careful": warnings}))
    else:
        print("\n".join(compare.table_lines(differences, warnings)))
    return Exit.DONE


def check(options: argparse.Namespace) -> int:
    """Check a scenario, or read a trace to its end and count its requests and errors."""
    if options.file.endswith(".toml") or len(Path(options.file).parts) == 1 and not Path(options.file).exists():
        read = scenario.read(options.file, options.set)
        expected = [
            sum(piece.expected for piece in scenario.rate_segments(stream, read.for_s)) for stream in read.stream
        ]
        requests = f"a replay of {read.replay.path}" if read.replay else f"about {sum(expected):.0f} requests"
        print(f"{read.name}: the scenario is valid; {requests}, {len(read.trouble)} faults")
        return Exit.DONE
    counts: Counter[str] = Counter()
    first_errors: dict[str, str] = {}
    accounts: set[str] = set()
    last_us = 0
    with trace.open_trace(Path(options.file)) as file:
        for _, row in trace.read_rows(trace.read_lines(file)):
            if isinstance(row, trace.TraceError):
                counts[row.reason] += 1
                first_errors.setdefault(row.reason, str(row))
            else:
                counts["rows"] += 1
                last_us = row.at
                if len(accounts) < scenario.MAXIMUM_ACCOUNTS:
                    accounts.add(row.account)
    print(f"{counts.pop('rows', 0)} requests of {len(accounts)} accounts, until {last_us / 1e6:.3f} s")
    for reason, count in counts.items():
        print(f"{count} errors: {reason}; the first: {first_errors[reason]}")
    return Exit.INCOMPLETE if counts else Exit.DONE


def rename(options: argparse.Namespace) -> int:
    """Copy a trace with pseudonyms in place of its accounts."""
    renamer = Renamer(options.key.read_bytes())
    if options.out.resolve() == options.trace.resolve():
        raise ValueError(f"{options.out}: the new trace must be a different file")
    with trace.open_trace(options.trace) as file, contextlib.closing(trace.TraceWriter(options.out)) as writer:
        for _, row in trace.read_rows(trace.read_lines(file)):
            if isinstance(row, trace.TraceError):
                raise row
            row.account = renamer(row.account)
            writer.write(row)
    print(f"{writer.rows} requests written")
    return Exit.DONE


def record(options: argparse.Namespace) -> int:
    """Make a trace from the request counts of a group's limiters."""
    return asyncio.run(_record(options))


async def _record(options: argparse.Namespace) -> int:
    """Poll the limiters until a signal or the end of `--for`, and write the trace."""
    from elderlock.control.request_metrics import MAXIMUM_ACCOUNTS
    from elderlock.load.recorder import Recorder

    plans = {}
    if options.plans is not None:
        plans = msgspec.json.decode(options.plans.read_bytes(), type=dict[str, str])
    group, recorder = _group(options), Recorder(plans)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    started_at = previous_poll_at = time.monotonic()
    missing_answers = 0
    with contextlib.closing(trace.TraceWriter(options.out)) as writer:
        while True:
            observation = await observe_group(group, MAXIMUM_ACCOUNTS)
            now = time.monotonic()
            missing_answers += len(observation.missing)
            states = {state.limiter: state for state in observation.states()}
            for row in recorder.poll(states, previous_poll_at - started_at, now - started_at):
                writer.write(row)
            previous_poll_at = now
            if stop.is_set() or now - started_at >= options.lasts:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(options.every, max(0.0, started_at + options.lasts - now))):
                    await stop.wait()
    group.close()
    print(f"{writer.rows} requests in {recorder.polls} polls")
    if recorder.uncounted or missing_answers:
        print(
            f"not in the trace: {recorder.uncounted} requests of unknown account or plan; "
            f"{missing_answers} answers of agents missing"
        )
    return Exit.DONE if writer.rows else Exit.INCOMPLETE


def scenarios(options: argparse.Namespace) -> int:
    """List the built-in scenarios."""
    for name in scenario.shipped_scenarios():
        print(f"{name}: {scenario.read(name).about}")
    return Exit.DONE
