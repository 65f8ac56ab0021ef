"""`elderlock sim`: plays a whole group in simulated time, searches for failures, replays seeds that were kept.
`elderlock experiment`: what if, over scenarios, settings and seeds."""

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

FLOORS = ("shells", "decisions")
DONE, PART, BROKEN = 0, 3, 7
STEP = "-- enter for more, q to stop --"
STEP_LINES = 20


def add(commands: Any, seconds: Callable[[str], float]) -> None:
    """The parts of `elderlock sim`."""

    def scenario(command: argparse.ArgumentParser) -> None:
        command.add_argument("scenario", help="a .toml file, or one that ships (elderlock sim scenarios)")
        command.add_argument("--set", action="append", default=[], metavar="NAME=VALUE", help="in place of its own")
        command.add_argument("--seed", type=_seed, default=1)

    def floored(command: argparse.ArgumentParser) -> None:
        command.add_argument("--floor", choices=FLOORS, default="shells", help="what is played (shells)")

    def worked(command: argparse.ArgumentParser) -> None:
        command.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 2) - 1), metavar="N")
        command.add_argument("--for", dest="lasts", type=seconds, default=1e6, metavar="S", help="begin no run after")
        command.add_argument("--keep", type=Path, metavar="FOLDER", help="write what is found there, as seeds")
        command.add_argument("--quiet", action="store_true")

    run = _command(commands, "run", "plays one scenario once, and says what came of it and what was broken")
    scenario(run)
    floored(run)
    run.add_argument("--trace", type=Path, metavar="FILE", help="every event, a line each")
    run.add_argument("--json", action="store_true")
    run.add_argument("--shrink", action="store_true", help="cut a schedule that fails down to its shortest")
    run.add_argument("--keep", type=Path, metavar="FILE", help="write it as a seed, for elderlock sim replay")

    find = _command(commands, "search", "draws schedules of faults, guided by what is new, and cuts down what fails")
    scenario(find)
    floored(find)
    find.add_argument("--tries", type=int, default=200, metavar="N")
    worked(find)

    step = _command(commands, "systematic", "fails each step of input and output once, in each way that it can")
    scenario(step)
    step.add_argument("--each", type=int, default=1 << 30, metavar="N", help="of a kind at the most (all)")
    worked(step)

    replay = _command(commands, "replay", "plays a kept seed again")
    replay.add_argument("seed", type=Path, help="a seed's file")
    replay.add_argument("--trace", action="store_true", help="step through its events")
    replay.add_argument("--json", action="store_true")

    check = _command(commands, "check", "checks a scenario and prints its time line")
    scenario(check)
    _command(commands, "scenarios", "lists those that ship")


def add_experiment(commands: Any) -> None:
    """The parts of `elderlock experiment`."""
    run = _command(commands, "run", "runs what is not recorded yet, then says what is")
    run.add_argument("experiment", type=Path, help="a .toml file")
    run.add_argument("--out", type=Path, metavar="FILE", help="where results are kept (beside it, .db)")
    run.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 2) - 1), metavar="N")
    run.add_argument("--fresh", action="store_true", help="forget what is recorded")
    shown = _command(commands, "show", "says what is recorded, and runs nothing")
    shown.add_argument("experiment", type=Path)
    shown.add_argument("--out", type=Path, metavar="FILE")
    for command in (run, shown):
        command.add_argument("--html", type=Path, metavar="FILE", help="the report as one page")
        command.add_argument("--json", action="store_true")
        command.add_argument(
            "--fail-if",
            action="append",
            default=[],
            metavar="BOUND",
            help="served_in_time@SETTING<0.95, diff.p99_ms>20",
        )
    check = _command(commands, "check", "checks an experiment's file")
    check.add_argument("experiment", type=Path)


def _command(commands: Any, name: str, help: str) -> argparse.ArgumentParser:
    made: argparse.ArgumentParser = commands.add_parser(name, help=help, description=help)
    return made


def _seed(text: str) -> int:
    if not text.isdecimal() or int(text) >= 1 << 63:
        raise argparse.ArgumentTypeError(f"{text!r} is no seed: a whole number from 0 to 2^63 - 1")
    return int(text)


def main(options: argparse.Namespace) -> int:
    work = {
        "run": run,
        "search": search,
        "systematic": step_by_step,
        "replay": replay,
        "check": check,
        "scenarios": scenarios,
    }[options.sim_command]
    try:
        return work(options)
    except (ScenarioError, SeedError, OSError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130


def _scenario(options: argparse.Namespace) -> Scenario:
    return load_scenario(str(options.scenario), Path.cwd(), tuple(options.set))


def _shown(result: Result, as_json: bool) -> int:
    print(msgspec.json.encode(result).decode() if as_json else result.text())
    return DONE if result.good() else BROKEN


def run(options: argparse.Namespace) -> int:
    made = _scenario(options)
    with contextlib.ExitStack() as stack:
        more = {}
        if options.trace is not None:
            out = stack.enter_context(options.trace.open("w", encoding="utf-8"))
            more = {"out": lambda line: out.write(line + "\n")}
        result = play(made, options.seed, options.floor, **more)
    if options.shrink and not result.good():
        found = shrink_failure(made, options.seed, options.floor, result)
        made, result = found.seed.scenario, found.result
        print(
            f"cut down from {found.faults_before} to {found.faults_after} faults in {found.run_count} runs",
            file=sys.stderr,
        )
        print(found.seed.text(), file=sys.stderr)
    if options.keep is not None:
        seeds.write(Seed(made, options.seed, options.floor, tuple(result.rules()), digest=result.digest), options.keep)
    return _shown(result, options.json)


@contextlib.contextmanager
def _progress(what: str, total: int, quiet: bool) -> Iterator[Callable[[int, str], None]]:
    """A line that moves, on a terminal alone."""
    if quiet or not sys.stderr.isatty():
        yield lambda done, text: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    columns = (TextColumn(what), BarColumn(), TextColumn("{task.completed}/{task.total} {task.description}"))
    with Progress(*columns, TimeElapsedColumn(), console=Console(stderr=True)) as progress:
        task = progress.add_task("", total=total)
        yield lambda done, text: progress.update(task, completed=done, description=text)


def _kept(found: ShrunkFailure, folder: Path | None, number: int) -> str:
    if folder is None:
        return ""
    folder.mkdir(parents=True, exist_ok=True)
    name = "-".join(rule.replace(" ", "_") for rule in found.seed.broke) or "good"
    path = folder / f"{name}-{found.seed.seed}-{number}.toml"
    seeds.write(found.seed, path)
    return f"  kept as {path}; again: elderlock sim replay {path} --trace"


def search(options: argparse.Namespace) -> int:
    made = Search(_scenario(options), options.floor, options.seed)
    with _progress("search", options.tries, options.quiet) as moved:

        def told(report: Report) -> None:
            moved(report.tried, f"{len(report.features)} states, {report.failures} failures")

        report = made.run(options.tries, options.lasts, options.workers, told)
    print(
        f"{report.tried} schedules in {report.wall_s:.0f} s: {len(report.features)} states seen, "
        f"{report.failures} runs with something broken, {len(report.found)} kinds"
    )
    for number, found in enumerate(report.found, 1):
        print(f"\n{', '.join(found.seed.broke)}: {found.faults_before} faults cut down to {found.faults_after}")
        print(found.seed.text())
        print("\n".join(f"  {each}" for each in found.result.text().splitlines()))
        if kept := _kept(found, options.keep, number):
            print(kept)
    return BROKEN if report.failures else DONE


def step_by_step(options: argparse.Namespace) -> int:
    with _progress("systematic", 0, options.quiet) as moved:

        def told(so_far: SystematicReport) -> None:
            moved(so_far.tried, f"steps failed, {len(so_far.broken)} with something broken")

        made = systematic(_scenario(options), options.seed, options.workers, options.each, options.lasts, told)
    print(
        f"{made.steps} steps of input and output; {made.failed} failures of one tried, "
        f"{len(made.broken)} with something broken"
    )
    for (kind, number, way), result in made.broken[:50]:
        print(f"{kind} {number} {way}: {', '.join(result.rules())}")
        print("\n".join(f"  {each}" for each in result.text().splitlines() if "BROKEN" in each or "lock" in each))
    return BROKEN if made.broken else DONE


def replay(options: argparse.Namespace) -> int:
    seed = seeds.read(options.seed)
    if not options.json:
        print(seed.text())
    more: dict[str, Any] = {}
    lines: list[str] = []
    if options.trace:
        more = {"out": lines.append}
    result = play(seed.scenario, seed.seed, seed.floor, **more)
    if options.trace and not _stepped(lines):
        return DONE
    code = _shown(result, options.json)
    if seed.broke and not set(seed.broke) & set(result.rules()):
        print(f"it broke {', '.join(seed.broke)} when it was kept, and does so no more", file=sys.stderr)
    if seed.digest and seed.digest != result.digest:
        print("it is not the run that was kept: the code decides otherwise by now", file=sys.stderr)
    return code


def _stepped(lines: list[str]) -> bool:
    """A page at a time on a terminal, all at once elsewhere; False where its reader has seen enough."""
    if not (sys.stdin.isatty() and sys.stdout.isatty()):
        print("\n".join(lines))
        return True
    for at in range(0, len(lines), STEP_LINES):
        print("\n".join(lines[at : at + STEP_LINES]))
        if at + STEP_LINES < len(lines) and input(STEP).strip() == "q":
            return False
    return True


def check(options: argparse.Namespace) -> int:
    print(timeline(_scenario(options), options.seed), end="")
    return DONE


def scenarios(options: argparse.Namespace) -> int:
    for name in shipped_scenarios():
        made = load_scenario(name, Path.cwd())
        print(f"{name:<20} {made.about}")
    return DONE


# Experiments


def experiment(options: argparse.Namespace) -> int:
    from elderlock.sim.sweep import SweepError

    work = {"run": run_experiment, "show": show_experiment, "check": check_experiment}[options.experiment_command]
    try:
        return work(options)
    except (ScenarioError, SweepError, OSError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2


def _out(options: argparse.Namespace) -> Path:
    return Path(options.out or options.experiment.with_suffix(".db"))


def run_experiment(options: argparse.Namespace) -> int:
    from elderlock.sim.experiment import parse_bound
    from elderlock.sim.sweep import ResultStore, Sweep

    made = read_experiment(options.experiment)
    for text in options.fail_if:
        parse_bound(text, made.file)
    records = ResultStore(_out(options))
    try:
        if options.fresh:
            records.clear()
        sweep = Sweep(made, records, options.workers)
        total, left = sum(1 for _ in made.cells()), len(sweep.missing_cells())
        if 0 < left < total:
            print(f"{total - left} of {total} runs are recorded; goes on with the others", file=sys.stderr)
        done = total - left
        with _progress(made.file.name, total, False) as moved:

            def told(cell: Any, result: Result) -> None:
                nonlocal done
                done += 1
                moved(done, f"{cell.scenario}, {cell.setting}, seed {cell.seed}")

            try:
                sweep.run(told)
            except KeyboardInterrupt:
                left = len(sweep.missing_cells())
                print(f"stopped: {total - left} of {total} runs are recorded; the same call goes on", file=sys.stderr)
                return 130
        return _concluded(options, made, records)
    finally:
        records.close()


def show_experiment(options: argparse.Namespace) -> int:
    from elderlock.sim.sweep import ResultStore

    made = read_experiment(options.experiment)
    if not _out(options).exists():
        raise ScenarioError(f"{_out(options)}: nothing is recorded yet; elderlock experiment run {options.experiment}")
    records = ResultStore(_out(options))
    try:
        return _concluded(options, made, records)
    finally:
        records.close()


def _concluded(options: argparse.Namespace, made: Any, records: Any) -> int:
    from elderlock.sim.compare import compare_settings, failures, find_broken_bounds, summary
    from elderlock.sim.experiment import parse_bound

    results = records.load_results(made)
    lines = compare_settings(made, results)
    bounds = [*made.bounds, *(parse_bound(text, made.file) for text in options.fail_if)]
    broken = find_broken_bounds(bounds, lines, made.baseline)
    failed = failures(results)
    if options.html is not None:
        from elderlock.sim.page import page

        options.html.write_text(page(made, results, lines, broken), encoding="utf-8")
    if options.json:
        rows = [{**line._asdict(), "verdict": line.verdict(made.baseline)} for line in lines]
        print(json.dumps({"runs": len(results), "lines": rows, "failed": failed, "not_kept": broken}))
    else:
        print(summary(made, lines))
        for text in failed[:20]:
            print(f"BROKEN {text}")
        for text in broken:
            print(f"NOT KEPT {text}")
    missing = sum(1 for cell in made.cells() if cell not in results)
    if missing:
        print(f"{missing} runs are not recorded yet", file=sys.stderr)
    return BROKEN if broken or failed else PART if missing else DONE


def check_experiment(options: argparse.Namespace) -> int:
    made = read_experiment(options.experiment)
    file = made.file
    print(
        f"{file.name}: {len(file.scenario)} scenarios x {len(file.setting)} settings x {file.seeds} seeds on the "
        f"{file.floor}' floor, {sum(1 for _ in made.cells())} runs"
    )
    return DONE
