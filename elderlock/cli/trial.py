"""`elderlock trial`: runs a scenario on real processes with fault injection, and checks invariants from outside."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from elderlock.load.scenario import ScenarioError
from elderlock.sim import seeds
from elderlock.sim.experiment import load_scenario, shipped_scenarios
from elderlock.sim.scenario import Scenario, timeline, unsupported_faults
from elderlock.sim.seeds import SeedError
from elderlock.trial.harness import TrialError
from elderlock.trial.processes import run_guarded, short_temp_folder
from elderlock.trial.run import Outcome, play

PREFIX = "elderlock-trial-"
DONE, USAGE, BROKEN, LATE = 0, 2, 7, 8
MAXIMUM_LIMITERS, MAXIMUM_AGENTS, MAXIMUM_SERVERS = 30, 10, 60
STOP_TIMEOUT_S = 0.0  # processes that remain are killed at once, because a trial needs nothing of them


def add(commands: Any) -> None:
    """Add the subcommands of `elderlock trial`.

    Args:
        commands: The subparsers of `elderlock trial`.
    """
    for name, argument, help in (
        ("run", "scenario", "runs a scenario once on real processes, and reports violated invariants"),
        ("replay", "seed", "runs a seed that a search has stored, on real processes"),
    ):
        subcommand = commands.add_parser(name, help=help, description=help)
        subcommand.add_argument(argument, help="a .toml file" + (", or a built-in scenario" if name == "run" else ""))
        if name == "run":
            subcommand.add_argument(
                "--set", action="append", default=[], metavar="NAME=VALUE", help="change a value of the scenario"
            )
            subcommand.add_argument("--seed", type=_seed, default=1, help="seed of the random numbers (1)")
        subcommand.add_argument(
            "--keep", type=Path, metavar="DIR", help="write logs, history, timeline and an HTML page there"
        )
        subcommand.add_argument(
            "--against-sim", action="store_true", help="show where a simulation of the same scenario differs"
        )
        subcommand.add_argument(
            "--flaw", default="", metavar="NAME", help="run a build with this known fault (a mutant)"
        )
        subcommand.add_argument("--json", action="store_true", help="print one JSON object")
    check = commands.add_parser(
        "check",
        help="checks a scenario, and lists faults that cannot be injected here",
        description="checks a scenario, and lists faults that cannot be injected here",
    )
    check.add_argument("scenario", help="a .toml file, or a built-in scenario")
    check.add_argument(
        "--set", action="append", default=[], metavar="NAME=VALUE", help="change a value of the scenario"
    )
    check.add_argument("--seed", type=_seed, default=1, help="seed of the random numbers (1)")
    commands.add_parser("scenarios", help="lists the built-in scenarios", description="lists the built-in scenarios")


def _seed(text: str) -> int:
    if not text.isdecimal() or int(text) >= 1 << 63:
        raise argparse.ArgumentTypeError(f"{text!r} is not a seed: expected a whole number from 0 to 2^63 - 1")
    return int(text)


def main(options: argparse.Namespace) -> int:
    """Run a subcommand of `elderlock trial` and return its exit code."""
    handlers: dict[str, Callable[[argparse.Namespace], int]] = {
        "run": run,
        "replay": run,
        "check": check,
        "scenarios": scenarios,
    }
    try:
        return handlers[options.trial_command](options)
    except (ScenarioError, SeedError, TrialError, OSError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return USAGE


def _check_size(scenario: Scenario) -> None:
    """Check that one machine can run the scenario.

    Raises:
        ScenarioError: The scenario has too many processes.
    """
    for name, count, maximum in (
        ("limiters", scenario.limiters, MAXIMUM_LIMITERS),
        ("agents", scenario.agents, MAXIMUM_AGENTS),
        ("boxes", scenario.boxes, MAXIMUM_SERVERS),
    ):
        if count > maximum:
            raise ScenarioError(f"{count} {name}: real processes on one machine are {maximum} at the most")


def run(options: argparse.Namespace) -> int:
    """Run a scenario or a stored seed on real processes, and report the outcome."""
    if options.trial_command == "replay":
        stored = seeds.read(Path(options.seed))
        scenario, seed = stored.scenario, stored.seed
        print(stored.text(), end="", file=sys.stderr)
    else:
        scenario, seed = load_scenario(options.scenario, Path.cwd(), tuple(options.set)), options.seed
    _check_size(scenario)
    if options.flaw:
        from elderlock.trial.mutants import MUTANTS

        if options.flaw not in MUTANTS:
            raise ScenarioError(f"there is no flaw {options.flaw!r}; there are {', '.join(MUTANTS)}")
    if options.keep is not None:
        options.keep.mkdir(parents=True, exist_ok=True)
    for line in unsupported_faults(scenario, "trial"):
        print(f"not injected here: {line}", file=sys.stderr)
    outcomes: list[Outcome] = []

    async def run_trial(folder: Path, mark: str) -> int:
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            outcomes.append(await play(scenario, folder, mark, seed, options.flaw, options.keep))
        except asyncio.CancelledError:
            print("elderlock: stopped; its processes have ended", file=sys.stderr)
            return 130
        return DONE

    code = run_guarded(PREFIX, run_trial, STOP_TIMEOUT_S, short_temp_folder())
    if not outcomes:
        return code
    outcome = outcomes[0]
    if options.json:
        print(
            msgspec.json.encode(
                {
                    "verdict": outcome.verdict(),
                    "result": outcome.result,
                    "late": outcome.stall_summary,
                    "late_rules": outcome.late_rules,
                    "links": outcome.links,
                    "processes": outcome.processes,
                    "start_s": outcome.start_s,
                    "commands": outcome.commands,
                    "unplayed": outcome.unplayed,
                }
            ).decode()
        )
    else:
        print(outcome.text())
    if options.keep is not None:
        _write_files(outcome, options.keep)
    if options.against_sim:
        _compare_with_simulation(scenario, seed, outcome)
    return {"good": DONE, "broken": BROKEN, "late": LATE}[outcome.verdict()]


def _write_files(outcome: Outcome, folder: Path) -> None:
    """Write the timeline and the HTML page of a run to the folder of its logs."""
    from elderlock.trial.report import html_report, timeline

    logs = {path.stem: path.read_text(errors="replace") for path in sorted(folder.glob("*.log"))}
    lines = timeline(outcome.events, outcome.stalls, outcome.result.broken, logs, outcome.epoch_ms)
    (folder / "timeline.txt").write_text("\n".join(line.shown() for line in lines) + "\n", encoding="utf-8")
    (folder / "page.html").write_text(html_report(outcome, lines), encoding="utf-8")
    print(f"written to {folder}: page.html, timeline.txt, history.jsonl and the logs", file=sys.stderr)


def _compare_with_simulation(scenario: Scenario, seed: int, outcome: Outcome) -> None:
    """Simulate the same scenario, and print the first differences of lists, faults and violated invariants."""
    from elderlock.trial.divergence import event_sequences, first_differences
    from elderlock.trial.simulation import simulate

    try:
        result, events, start_ms = simulate(scenario, seed)
    except ValueError as error:
        print(f"the simulation is not compared: {error}", file=sys.stderr)
        return
    differences = first_differences(
        event_sequences(outcome.events, outcome.result.broken, outcome.schedule_start_ms),
        event_sequences(events, result.broken, start_ms),
    )
    violated = f"violated invariants: {', '.join(result.rules()) or 'none'}"
    print(f"simulation: {result.figures.served_in_time:.3f} served in time, {violated}")
    for difference in differences[:5]:
        print(f"  differs at {difference.text()}")
    if not differences:
        print("  no difference: the same lists, faults and violated invariants in the same order")


def check(options: argparse.Namespace) -> int:
    """Check a scenario, and print its timeline and the faults that cannot be injected on real processes."""
    scenario = load_scenario(options.scenario, Path.cwd(), tuple(options.set))
    _check_size(scenario)
    print(timeline(scenario, options.seed), end="")
    for line in unsupported_faults(scenario, "trial"):
        print(f"not injected here: {line}")
    return DONE


def scenarios(options: argparse.Namespace) -> int:
    """List the built-in scenarios, with those that are too large for one machine."""
    with contextlib.suppress(BrokenPipeError):
        for name in shipped_scenarios():
            scenario = load_scenario(name, Path.cwd())
            if scenario.limiters <= MAXIMUM_LIMITERS and scenario.boxes <= MAXIMUM_SERVERS:
                print(f"{name:<20} {scenario.about}")
            else:
                print(f"{name:<20} (too large for one machine: {scenario.limiters} limiters, {scenario.boxes} boxes)")
    return DONE
