"""`elderlock trial`: plays a scenario on real processes, with faults between them, and judges it from outside."""

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
from elderlock.sim.scenario import Scenario, timeline, unplayable
from elderlock.sim.seeds import SeedError
from elderlock.trial.ground import TrialError
from elderlock.trial.processes import short_temp, swept
from elderlock.trial.run import Outcome, play

PREFIX = "elderlock-trial-"
DONE, USAGE, BROKEN, LATE = 0, 2, 7, 8
MOST_LIMITERS, MOST_AGENTS, MOST_BOXES = 30, 10, 60
STOP_WITHIN = 0.0  # s that what is swept up has to end by itself: nothing of a trial is worth waiting for


def add(commands: Any) -> None:
    """The parts of `elderlock trial`."""
    for name, what, help in (
        ("run", "scenario", "plays a scenario once on real processes, and says what was broken"),
        ("replay", "seed", "plays a seed that a search kept, on real processes"),
    ):
        made = commands.add_parser(name, help=help, description=help)
        made.add_argument(what, help="a .toml file" + (", or one that ships" if name == "run" else ""))
        if name == "run":
            made.add_argument("--set", action="append", default=[], metavar="NAME=VALUE", help="in place of its own")
            made.add_argument("--seed", type=_seed, default=1)
        made.add_argument("--keep", type=Path, metavar="DIR", help="logs, history, time line and page go there")
        made.add_argument("--against-sim", action="store_true", help="says where the simulation of it parts from it")
        made.add_argument("--flaw", default="", metavar="NAME", help="a build with that known fault, to see it found")
        made.add_argument("--json", action="store_true")
    check = commands.add_parser(
        "check",
        help="checks a scenario, and says what cannot be played here",
        description="checks a scenario, and says what cannot be played here",
    )
    check.add_argument("scenario")
    check.add_argument("--set", action="append", default=[], metavar="NAME=VALUE")
    check.add_argument("--seed", type=_seed, default=1)
    commands.add_parser("scenarios", help="lists those that ship", description="lists those that ship")


def _seed(text: str) -> int:
    if not text.isdecimal() or int(text) >= 1 << 63:
        raise argparse.ArgumentTypeError(f"{text!r} is no seed: a whole number from 0 to 2^63 - 1")
    return int(text)


def main(options: argparse.Namespace) -> int:
    work: dict[str, Callable[[argparse.Namespace], int]] = {
        "run": run,
        "replay": run,
        "check": check,
        "scenarios": scenarios,
    }
    try:
        return work[options.trial_command](options)
    except (ScenarioError, SeedError, TrialError, OSError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return USAGE


def _fits(scenario: Scenario) -> None:
    """Raises `ScenarioError` for what one machine does not hold."""
    s = scenario
    for what, count, most in (
        ("limiters", s.limiters, MOST_LIMITERS),
        ("agents", s.agents, MOST_AGENTS),
        ("boxes", s.boxes, MOST_BOXES),
    ):
        if count > most:
            raise ScenarioError(f"{count} {what}: real processes on one machine are {most} at the most")


def run(options: argparse.Namespace) -> int:
    if options.trial_command == "replay":
        kept = seeds.read(Path(options.seed))
        scenario, seed = kept.scenario, kept.seed
        print(kept.text(), end="", file=sys.stderr)
    else:
        scenario, seed = load_scenario(options.scenario, Path.cwd(), tuple(options.set)), options.seed
    _fits(scenario)
    if options.flaw:
        from elderlock.trial.flaws import FLAWS

        if options.flaw not in FLAWS:
            raise ScenarioError(f"there is no flaw {options.flaw!r}; there are {', '.join(FLAWS)}")
    if options.keep is not None:
        options.keep.mkdir(parents=True, exist_ok=True)
    for line in unplayable(scenario, "trial"):
        print(f"not played here: {line}", file=sys.stderr)
    outcome: list[Outcome] = []

    async def work(folder: Path, mark: str) -> int:
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            outcome.append(await play(scenario, folder, mark, seed, options.flaw, options.keep))
        except asyncio.CancelledError:
            print("elderlock: stopped; what it had started is gone", file=sys.stderr)
            return 130
        return DONE

    code = swept(PREFIX, work, STOP_WITHIN, short_temp())
    if not outcome:
        return code
    made = outcome[0]
    if options.json:
        print(
            msgspec.json.encode(
                {
                    "verdict": made.verdict(),
                    "result": made.result,
                    "late": made.late,
                    "late_rules": made.late_rules,
                    "links": made.links,
                    "processes": made.processes,
                    "start_s": made.start_s,
                    "commands": made.commands,
                    "unplayed": made.unplayed,
                }
            ).decode()
        )
    else:
        print(made.text())
    if options.keep is not None:
        _write(made, options.keep)
    if options.against_sim:
        _against(scenario, seed, made)
    return {"good": DONE, "broken": BROKEN, "late": LATE}[made.verdict()]


def _write(made: Outcome, keep: Path) -> None:
    from elderlock.trial.page import page, timeline

    logs = {path.stem: path.read_text(errors="replace") for path in sorted(keep.glob("*.log"))}
    lines = timeline(made.events, made.stalls, made.result.broken, logs, made.epoch)
    (keep / "timeline.txt").write_text("\n".join(line.shown() for line in lines) + "\n", encoding="utf-8")
    (keep / "page.html").write_text(page(made, lines), encoding="utf-8")
    print(f"kept in {keep}: page.html, timeline.txt, history.jsonl and the logs", file=sys.stderr)


def _against(scenario: Scenario, seed: int, made: Outcome) -> None:
    from elderlock.trial.parting import first, lanes
    from elderlock.trial.simulated import simulated

    try:
        result, events, zero = simulated(scenario, seed)
    except ValueError as error:
        print(f"the simulation is not compared: {error}", file=sys.stderr)
        return
    partings = first(lanes(made.events, made.result.broken, made.zero), lanes(events, result.broken, zero))
    rules = f"broken there: {', '.join(result.rules()) or 'nothing'}"
    print(f"the simulation of it: {result.figures.served_in_time:.3f} served in time, {rules}")
    for each in partings[:5]:
        print(f"  parts at {each.text()}")
    if not partings:
        print("  nothing parts: the same lists, faults and rules in the same order")


def check(options: argparse.Namespace) -> int:
    scenario = load_scenario(options.scenario, Path.cwd(), tuple(options.set))
    _fits(scenario)
    print(timeline(scenario, options.seed), end="")
    for line in unplayable(scenario, "trial"):
        print(f"not played here: {line}")
    return DONE


def scenarios(options: argparse.Namespace) -> int:
    with contextlib.suppress(BrokenPipeError):
        for name in shipped_scenarios():
            made = load_scenario(name, Path.cwd())
            if made.limiters <= MOST_LIMITERS and made.boxes <= MOST_BOXES:
                print(f"{name:<20} {made.about}")
            else:
                print(f"{name:<20} (too large for one machine: {made.limiters} limiters, {made.boxes} boxes)")
    return DONE
