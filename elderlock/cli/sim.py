"""`elderlock sim` and `elderlock experiment`.

`sim` simulates a group in virtual time, searches for failures and replays stored seeds. `experiment` compares settings
over scenarios and seeds.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from elderlock.load.scenario import ScenarioError
from elderlock.sim import seeds
from elderlock.sim.experiment import load_scenario, read_experiment, shipped_scenarios
from elderlock.sim.figures import Result
from elderlock.sim.scenario import Scenario, timeline
from elderlock.sim.search import Report, Search, ShrunkFailure, SystematicReport, play, shrink_failure, systematic
from elderlock.sim.seeds import Seed, SeedError

FLOORS = ("shells", "decisions")  # with the limiters' I/O, or only their decisions
DONE, PART, BROKEN = 0, 3, 7
PAGE_PROMPT = "-- Enter for more, q to quit --"
PAGE_LINES = 20


def add(commands: Any, seconds: Callable[[str], float]) -> None:
    """Add the subcommands of `elderlock sim`.

    Args:
        commands: The subparsers of `elderlock sim`.
        seconds: Parses a number of seconds.
    """

    def add_scenario_options(command: argparse.ArgumentParser) -> None:
        command.add_argument("scenario", help="a .toml file, or a built-in scenario (elderlock sim scenarios)")
        command.add_argument(
            "--set", action="append", default=[], metavar="NAME=VALUE", help="change a value of the scenario"
        )
        command.add_argument("--seed", type=_seed, default=1, help="seed of the random numbers (1)")

    def add_level_option(command: argparse.ArgumentParser) -> None:
        command.add_argument(
            "--floor",
            choices=FLOORS,
            default="shells",
            help="simulate limiters with their I/O (shells, the default) or only their decisions (decisions)",
        )

    def add_worker_options(command: argparse.ArgumentParser) -> None:
        command.add_argument(
            "--workers", type=int, default=max(1, (os.cpu_count() or 2) - 1), metavar="N", help="number of processes"
        )
        command.add_argument(
            "--for", dest="lasts", type=seconds, default=1e6, metavar="S", help="start no run after S s"
        )
        command.add_argument("--keep", type=Path, metavar="FOLDER", help="store failures there, as seeds")
        command.add_argument("--quiet", action="store_true", help="show no progress")

    run = _command(commands, "run", "runs a scenario once, and prints its metrics and violated invariants")
    add_scenario_options(run)
    add_level_option(run)
    run.add_argument("--trace", type=Path, metavar="FILE", help="write every event, one per line")
    run.add_argument("--json", action="store_true", help="print one JSON object")
    run.add_argument("--shrink", action="store_true", help="reduce the faults of a failing run to a minimum")
    run.add_argument("--keep", type=Path, metavar="FILE", help="store the run as a seed, for elderlock sim replay")

    find = _command(
        commands, "search", "tries random faults, guided by new states, and reduces failing runs to a minimum"
    )
    add_scenario_options(find)
    add_level_option(find)
    find.add_argument("--tries", type=int, default=200, metavar="N", help="number of runs (200)")
    add_worker_options(find)

    step = _command(commands, "systematic", "injects each possible failure into each I/O operation, one per run")
    add_scenario_options(step)
    step.add_argument("--each", type=int, default=1 << 30, metavar="N", help="at most N operations of each kind (all)")
    add_worker_options(step)

    replay = _command(commands, "replay", "runs a stored seed again")
    replay.add_argument("seed", type=Path, help="the file of the seed")
    replay.add_argument("--trace", action="store_true", help="show its events page by page")
    replay.add_argument("--json", action="store_true", help="print one JSON object")

    check = _command(commands, "check", "checks a scenario and prints its timeline")
    add_scenario_options(check)
    _command(commands, "scenarios", "lists the built-in scenarios")


def add_experiment(commands: Any) -> None:
    """Add the subcommands of `elderlock experiment`.

    Args:
        commands: The subparsers of `elderlock experiment`.
    """
    run = _command(commands, "run", "runs what is not recorded yet, then reports all results")
    run.add_argument("experiment", type=Path, help="a .toml file")
    run.add_argument(
        "--out", type=Path, metavar="FILE", help="the database of results (the experiment's name with .db)"
    )
    run.add_argument(
        "--workers", type=int, default=max(1, (os.cpu_count() or 2) - 1), metavar="N", help="number of processes"
    )
    run.add_argument("--fresh", action="store_true", help="delete the recorded results first")
    show = _command(commands, "show", "reports the recorded results without running anything")
    show.add_argument("experiment", type=Path, help="a .toml file")
    show.add_argument("--out", type=Path, metavar="FILE", help="the database of results")
    for command in (run, show):
        command.add_argument("--html", type=Path, metavar="FILE", help="write the report as an HTML page")
        command.add_argument("--json", action="store_true", help="print one JSON object")
        command.add_argument(
            "--fail-if",
            action="append",
            default=[],
            metavar="BOUND",
            help="fail if this holds: served_in_time@SETTING<0.95, diff.p99_ms>20",
        )
    check = _command(commands, "check", "checks the file of an experiment")
    check.add_argument("experiment", type=Path, help="a .toml file")


def _command(commands: Any, name: str, help: str) -> argparse.ArgumentParser:
    subcommand: argparse.ArgumentParser = commands.add_parser(name, help=help, description=help)
    return subcommand


def _seed(text: str) -> int:
    if not text.isdecimal() or int(text) >= 1 << 63:
        raise argparse.ArgumentTypeError(f"{text!r} is not a seed: expected a whole number from 0 to 2^63 - 1")
    return int(text)


def main(options: argparse.Namespace) -> int:
    """Run a subcommand of `elderlock sim` and return its exit code."""
    handler = {
        "run": run,
        "search": search,
        "systematic": inject_each_failure,
        "replay": replay,
        "check": check,
        "scenarios": scenarios,
    }[options.sim_command]
    try:
        return handler(options)
    except (ScenarioError, SeedError, OSError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130


def _scenario(options: argparse.Namespace) -> Scenario:
    return load_scenario(str(options.scenario), Path.cwd(), tuple(options.set))


def _print_result(result: Result, as_json: bool) -> int:
    """Print the result of a run and return the exit code."""
    print(msgspec.json.encode(result).decode() if as_json else result.text())
    return DONE if result.good() else BROKEN


def run(options: argparse.Namespace) -> int:
    """Simulate a scenario once, and reduce its faults to a minimum if it fails and `--shrink` is given."""
    scenario = _scenario(options)
    with contextlib.ExitStack() as stack:
        trace_options = {}
        if options.trace is not None:
            trace_file = stack.enter_context(options.trace.open("w", encoding="utf-8"))
            trace_options = {"out": lambda line: trace_file.write(line + "\n")}
        result = play(scenario, options.seed, options.floor, **trace_options)
    if options.shrink and not result.good():
        minimal = shrink_failure(scenario, options.seed, options.floor, result)
        scenario, result = minimal.seed.scenario, minimal.result
        print(
            f"reduced from {minimal.faults_before} to {minimal.faults_after} faults in {minimal.run_count} runs",
            file=sys.stderr,
        )
        print(minimal.seed.text(), file=sys.stderr)
    if options.keep is not None:
        violated = tuple(result.rules())
        seeds.write(Seed(scenario, options.seed, options.floor, violated, digest=result.digest), options.keep)
    return _print_result(result, options.json)


@contextlib.contextmanager
def _progress(title: str, total: int, quiet: bool) -> Iterator[Callable[[int, str], None]]:
    """Show a progress bar if the standard error is a terminal.

    Yields:
        A function that updates the bar with the number of finished runs and a text.
    """
    if quiet or not sys.stderr.isatty():
        yield lambda done, text: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    columns = (TextColumn(title), BarColumn(), TextColumn("{task.completed}/{task.total} {task.description}"))
    with Progress(*columns, TimeElapsedColumn(), console=Console(stderr=True)) as progress:
        task = progress.add_task("", total=total)
        yield lambda done, text: progress.update(task, completed=done, description=text)


def _store_failure(failure: ShrunkFailure, folder: Path | None, number: int) -> str:
    """Store a failing run as a seed, and return a line that says how to replay it; empty without a folder."""
    if folder is None:
        return ""
    folder.mkdir(parents=True, exist_ok=True)
    name = "-".join(rule.replace(" ", "_") for rule in failure.seed.broke) or "good"
    path = folder / f"{name}-{failure.seed.seed}-{number}.toml"
    seeds.write(failure.seed, path)
    return f"  stored as {path}; to replay it: elderlock sim replay {path} --trace"


def search(options: argparse.Namespace) -> int:
    """Search for schedules of faults that violate an invariant, and print a minimal one of each kind."""
    searcher = Search(_scenario(options), options.floor, options.seed)
    with _progress("search", options.tries, options.quiet) as update_progress:

        def show_progress(report: Report) -> None:
            update_progress(report.tried, f"{len(report.features)} states, {report.failures} failures")

        report = searcher.run(options.tries, options.lasts, options.workers, show_progress)
    print(
        f"{report.tried} schedules in {report.wall_s:.0f} s: {len(report.features)} states reached, "
        f"{report.failures} failing runs, {len(report.found)} kinds of failure"
    )
    for number, failure in enumerate(report.found, 1):
        print(
            f"\n{', '.join(failure.seed.broke)}: reduced from {failure.faults_before} to {failure.faults_after} faults"
        )
        print(failure.seed.text())
        print("\n".join(f"  {line}" for line in failure.result.text().splitlines()))
        if replay_hint := _store_failure(failure, options.keep, number):
            print(replay_hint)
    return BROKEN if report.failures else DONE


def inject_each_failure(options: argparse.Namespace) -> int:
    """Run the scenario once for each I/O operation and failure, and print the runs that violate an invariant."""
    with _progress("systematic", 0, options.quiet) as update_progress:

        def show_progress(report: SystematicReport) -> None:
            update_progress(report.tried, f"failures injected, {len(report.broken)} failing runs")

        report = systematic(
            _scenario(options), options.seed, options.workers, options.each, options.lasts, show_progress
        )
    print(f"{report.steps} I/O operations; {report.failed} failures injected, {len(report.broken)} failing runs")
    for (operation, number, failure), result in report.broken[:50]:
        print(f"{operation} {number} {failure}: {', '.join(result.rules())}")
        print("\n".join(f"  {line}" for line in result.text().splitlines() if "BROKEN" in line or "lock" in line))
    return BROKEN if report.broken else DONE


def replay(options: argparse.Namespace) -> int:
    """Run a stored seed again, and report if it no longer behaves as stored."""
    seed = seeds.read(options.seed)
    if not options.json:
        print(seed.text())
    trace_options: dict[str, Any] = {}
    events: list[str] = []
    if options.trace:
        trace_options = {"out": events.append}
    result = play(seed.scenario, seed.seed, seed.floor, **trace_options)
    if options.trace and not _print_pages(events):
        return DONE
    code = _print_result(result, options.json)
    if seed.broke and not set(seed.broke) & set(result.rules()):
        print(f"the stored run violated: {', '.join(seed.broke)}; this run does not", file=sys.stderr)
    if seed.digest and seed.digest != result.digest:
        print("not the run that was kept: the code has changed and decides differently", file=sys.stderr)
    return code


def _print_pages(lines: list[str]) -> bool:
    """Print lines page by page on a terminal, else all at once; return False if the user quits."""
    if not (sys.stdin.isatty() and sys.stdout.isatty()):
        print("\n".join(lines))
        return True
    for start in range(0, len(lines), PAGE_LINES):
        print("\n".join(lines[start : start + PAGE_LINES]))
        if start + PAGE_LINES < len(lines) and input(PAGE_PROMPT).strip() == "q":
            return False
    return True


def check(options: argparse.Namespace) -> int:
    """Check a scenario and print its timeline."""
    print(timeline(_scenario(options), options.seed), end="")
    return DONE


def scenarios(options: argparse.Namespace) -> int:
    """List the built-in scenarios."""
    for name in shipped_scenarios():
        print(f"{name:<20} {load_scenario(name, Path.cwd()).about}")
    return DONE


# Experiments


def experiment(options: argparse.Namespace) -> int:
    """Run a subcommand of `elderlock experiment` and return its exit code."""
    from elderlock.sim.sweep import SweepError

    handler = {"run": run_experiment, "show": show_experiment, "check": check_experiment}[options.experiment_command]
    try:
        return handler(options)
    except (ScenarioError, SweepError, OSError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2


def _database_path(options: argparse.Namespace) -> Path:
    """Return the path of the experiment's database."""
    return Path(options.out or options.experiment.with_suffix(".db"))


def run_experiment(options: argparse.Namespace) -> int:
    """Run what is not recorded yet, and report all results. An interrupted experiment can be continued."""
    from elderlock.sim.experiment import parse_bound
    from elderlock.sim.sweep import ResultStore, Sweep

    experiment = read_experiment(options.experiment)
    for text in options.fail_if:
        parse_bound(text, experiment.file)
    records = ResultStore(_database_path(options))
    try:
        if options.fresh:
            records.clear()
        sweep = Sweep(experiment, records, options.workers)
        total, remaining = sum(1 for _ in experiment.cells()), len(sweep.missing_cells())
        if 0 < remaining < total:
            print(f"{total - remaining} of {total} runs are recorded; running the others", file=sys.stderr)
        finished = total - remaining
        with _progress(experiment.file.name, total, False) as update_progress:

            def show_progress(cell: Any, result: Result) -> None:
                nonlocal finished
                finished += 1
                update_progress(finished, f"{cell.scenario}, {cell.setting}, seed {cell.seed}")

            try:
                sweep.run(show_progress)
            except KeyboardInterrupt:
                recorded = total - len(sweep.missing_cells())
                print(f"stopped: {recorded} of {total} runs are recorded; the same call goes on", file=sys.stderr)
                return 130
        return _report_results(options, experiment, records)
    finally:
        records.close()


def show_experiment(options: argparse.Namespace) -> int:
    """Report the recorded results of an experiment."""
    from elderlock.sim.sweep import ResultStore

    experiment = read_experiment(options.experiment)
    path = _database_path(options)
    if not path.exists():
        raise ScenarioError(f"{path}: no results yet; start with: elderlock experiment run {options.experiment}")
    records = ResultStore(_database_path(options))
    try:
        return _report_results(options, experiment, records)
    finally:
        records.close()


def _report_results(options: argparse.Namespace, experiment: Any, records: Any) -> int:
    """Print the recorded results, with failing runs and thresholds that are not met, and return the exit code."""
    from elderlock.sim.compare import compare_settings, failures, find_broken_bounds, summary
    from elderlock.sim.experiment import parse_bound

    results = records.load_results(experiment)
    lines = compare_settings(experiment, results)
    bounds = [*experiment.bounds, *(parse_bound(text, experiment.file) for text in options.fail_if)]
    unmet_bounds = find_broken_bounds(bounds, lines, experiment.baseline)
    failed_runs = failures(results)
    if options.html is not None:
        from elderlock.sim.page import page

        options.html.write_text(page(experiment, results, lines, unmet_bounds), encoding="utf-8")
    if options.json:
        rows = [{**line._asdict(), "verdict": line.verdict(experiment.baseline)} for line in lines]
        print(json.dumps({"runs": len(results), "lines": rows, "failed": failed_runs, "not_kept": unmet_bounds}))
    else:
        print(summary(experiment, lines))
        for text in failed_runs[:20]:
            print(f"BROKEN {text}")
        for text in unmet_bounds:
            print(f"NOT KEPT {text}")
    missing = sum(1 for cell in experiment.cells() if cell not in results)
    if missing:
        print(f"{missing} runs are not recorded yet", file=sys.stderr)
    return BROKEN if unmet_bounds or failed_runs else PART if missing else DONE


def check_experiment(options: argparse.Namespace) -> int:
    """Check the file of an experiment and print its size."""
    experiment = read_experiment(options.experiment)
    file = experiment.file
    print(
        f"{file.name}: {len(file.scenario)} scenarios x {len(file.setting)} settings x {file.seeds} seeds at the level "
        f"of {file.floor}, {sum(1 for _ in experiment.cells())} runs"
    )
    return DONE
