"""The command `elderlock`. `python -m elderlock` is another thing: the one limiter."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

EPILOG = """exit codes:
  0  done everywhere
  2  bad usage, or a file that cannot be used
  3  done in part: some not reached, or it is not known whether they were
  4  nothing was done
  5  refused as unsafe; --force overrides
  6  another operator's change holds instead

environment:
  ELDERLOCK_GROUP   the group file, in place of --group
  ELDERLOCK_TOKEN   the token's file, in place of --token-file
"""


# whose lack means which extra
EXTRAS = {
    "hiredis": "standins",
    "grpc": "grpc",
    "envoy": "grpc",
    "hdrh": "load",
    "pygal": "load",
    "numpy": "sim",
    "scipy": "sim",
    "rich": "sim",
    "tomli_w": "sim",
}

LOAD_EPILOG = """exit codes:
  0  done, and all thresholds kept
  2  bad usage, or a file that cannot be used
  7  a threshold was not kept
  8  the generator fell behind its schedule
  9  a part of the load was not sent, or a report not written
"""


SIM_EPILOG = """exit codes:
  0  done, and nothing was broken
  2  bad usage, or a file that cannot be used
  3  a part of the runs is not recorded yet
  7  a rule was broken, or a bound was not kept
"""


TRIAL_EPILOG = """exit codes:
  0  done, and nothing was broken
  2  bad usage, a file that cannot be used, or a group that did not come up
  7  a rule was broken
  8  the machine had no time for it: the run says nothing
"""


def parser(whole: bool = True) -> argparse.ArgumentParser:
    """`whole`: with the parts of `load`, `sim` and `experiment`, which take a while to read in."""
    top = argparse.ArgumentParser(
        prog="elderlock",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        description="Manages many limiters as one group.",
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(name: str, help: str, example: str) -> argparse.ArgumentParser:
        return commands.add_parser(
            name,
            help=help,
            description=help,
            epilog=f"example:\n  {example}\n\n{EPILOG}",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )

    def grouped(command: argparse.ArgumentParser) -> None:
        command.add_argument("--group", type=Path, metavar="FILE", help="the group file")
        command.add_argument("--token-file", type=Path, metavar="FILE", help="in place of the group file's")
        command.add_argument("--deadline", type=_seconds, default=1.0, metavar="S", help="for each agent to answer (1)")

    def tried(command: argparse.ArgumentParser) -> None:
        command.add_argument(
            "--give-up-after", type=_seconds, metavar="S", help="stop trying then (goes on till Ctrl-C)"
        )
        command.add_argument("--force", action="store_true", help="although it is unsafe")
        command.add_argument("--json", action="store_true", help="the account as one JSON object")

    show = add("show", "shows all limiters and boxes at a glance", "elderlock show --watch 2")
    show.add_argument("what", nargs="?", choices=("shared",), help="what limiters share about boxes, in place of all")
    grouped(show)
    show.add_argument("--json", action="store_true", help="all that is known, as one JSON object")
    show.add_argument("--watch", type=_seconds, nargs="?", const=1.0, metavar="S", help="again every S s")
    show.add_argument("--accounts", action="store_true", help="with counts by plan and account")
    show.add_argument("--details", action="store_true", help="with throttle, peers and configuration")

    explain = add("explain", "why a box is used or not, limiter by limiter", "elderlock explain box s-5be2a07c")
    explain.add_argument("kind", choices=("box",))
    explain.add_argument("target", help="the uid of a box")
    grouped(explain)
    explain.add_argument("--json", action="store_true", help="as one JSON object")

    compare = add("compare", "says what differs between limiters, and which stand out", "elderlock compare")
    grouped(compare)
    compare.add_argument("--json", action="store_true")

    for name, help in (
        ("drain", "lets no new work go to a box, or to a limiter, until it is undrained"),
        ("undrain", "ends an operator's drain"),
    ):
        command = add(name, help, f"elderlock {name} box s-5be2a07c --reason 'fan is loud'")
        command.add_argument("kind", choices=("box", "limiter"))
        command.add_argument("target", nargs="+", help="uids of boxes, or names of limiters")
        grouped(command)
        tried(command)
        command.add_argument("--reason", default="", help="kept with the record, for the others")
        command.add_argument("--expect", type=int, metavar="GEN", help="only if the record is still of this generation")
        command.add_argument("--no-wait", action="store_true", help="do not wait for work that is out")

    for name, help in (
        ("start", "starts limiters that are stopped or were given up"),
        ("stop", "stops limiters once all they took is answered"),
    ):
        command = add(name, help, f"elderlock {name} n2")
        command.add_argument("limiter", nargs="+")
        grouped(command)
        tried(command)

    audit = add("audit", "who commanded what, and how far it came", "elderlock audit --most 20")
    grouped(audit)
    audit.add_argument("--most", type=int, default=20, metavar="N")
    audit.add_argument("--json", action="store_true")

    budget = add("budget", "what may be out at once, what is, and by whose permit", "elderlock budget")
    grouped(budget)
    budget.add_argument("--json", action="store_true")

    from elderlock.cli.plans import add as add_plans

    add_plans(commands, grouped, _seconds, argparse.RawDescriptionHelpFormatter, EPILOG)

    base = add("base", "starts the agent on the version that a release says", "elderlock base deploy/agent.toml")
    base.add_argument("file", type=Path)
    base.add_argument("--log-format", choices=("text", "json"), default="text", help="of all log lines (text)")
    agent = add("agent", "runs the agent of this machine", "elderlock agent deploy/agent.toml")
    agent.add_argument("file", type=Path)
    agent.add_argument("--check", action="store_true", help="only check the file")
    agent.add_argument("--log-format", choices=("text", "json"), default="text", help="of its log lines (text)")

    up = add("up", "starts a whole group on loopback, to try things", "elderlock up --limiters 3 --traffic 60")
    up.add_argument("--limiters", type=int, default=3, metavar="N")
    up.add_argument("--boxes", type=int, default=9, metavar="N")
    up.add_argument("--traffic", type=float, default=0.0, metavar="RATE", help="requests a second (none)")
    up.add_argument("--for", dest="lasts", type=_seconds, metavar="S", help="stop by itself after S s")
    up.add_argument("--seed", type=int, default=1)

    load = add("load", "rehearses a rush: an open-loop load generator", "elderlock load up tet-monday --html tet.html")
    load.epilog = LOAD_EPILOG
    load_commands = load.add_subparsers(dest="load_command", required=True, metavar="COMMAND")
    if whole:
        from elderlock.cli.load import add as add_load

        add_load(load_commands, _seconds)

    sim = add("sim", "plays a whole group in simulated time, and searches for failures", "elderlock sim run partition")
    sim.epilog = SIM_EPILOG
    sim_commands = sim.add_subparsers(dest="sim_command", required=True, metavar="COMMAND")
    experiment = add("experiment", "what if: scenarios, settings and seeds", "elderlock experiment run subset.toml")
    experiment.epilog = SIM_EPILOG
    experiment_commands = experiment.add_subparsers(dest="experiment_command", required=True, metavar="COMMAND")
    if whole:
        from elderlock.cli.sim import add as add_sim
        from elderlock.cli.sim import add_experiment

        add_sim(sim_commands, _seconds)
        add_experiment(experiment_commands)

    trial = add("trial", "plays schedules on real processes", "elderlock trial run partition")
    trial.epilog = TRIAL_EPILOG
    trial_commands = trial.add_subparsers(dest="trial_command", required=True, metavar="COMMAND")
    if whole:
        from elderlock.cli.trial import add as add_trial

        add_trial(trial_commands)

    completion = add(
        "completion", "prints a shell's completion script", "elderlock completion bash > ~/.elderlock.bash"
    )
    completion.add_argument("shell", choices=("bash", "zsh", "tcsh"))
    return top


def _seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of seconds") from None
    if not 0 < value < 1e6:
        raise argparse.ArgumentTypeError(f"{text} is out of range")
    return value


def main(argv: Sequence[str] | None = None) -> int:
    words = sys.argv[1:] if argv is None else list(argv)
    try:
        whole = {"load", "sim", "experiment", "trial", "completion"}
        options = parser(whole=bool(whole & set(words))).parse_args(words)
        with contextlib.suppress(BrokenPipeError):  # `| head` has read enough
            return _run(options)
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except ModuleNotFoundError as error:
        extra = EXTRAS.get((error.name or "").split(".")[0], "fleet")
        print(f"elderlock: this needs the extra elderlock[{extra}]: {error}", file=sys.stderr)
        return 2


def _run(options: argparse.Namespace) -> int:
    if options.command == "completion":
        import shtab

        print(shtab.complete(parser(), options.shell))
        return 0
    from elderlock.cli.group import group_of
    from elderlock.fleet.config import FileError

    try:
        if options.command == "agent":
            return _agent(options)
        if options.command == "base":
            return _base(options)
        if options.command == "load":
            from elderlock.cli.load import main as load

            return load(options)
        if options.command == "sim":
            from elderlock.cli.sim import main as sim

            return sim(options)
        if options.command == "experiment":
            from elderlock.cli.sim import experiment

            return experiment(options)
        if options.command == "trial":
            from elderlock.cli.trial import main as trial

            return trial(options)
        if options.command == "up":
            from elderlock.cli.up import up

            return up(options)
        from elderlock.cli import commands, plans

        work: dict[str, Callable[..., Coroutine[Any, Any, int]]] = {
            "show": commands.show,
            "explain": commands.explain,
            "compare": commands.compare,
            "drain": commands.drain,
            "undrain": commands.drain,
            "start": commands.order,
            "stop": commands.order,
            "audit": commands.audit,
            "budget": commands.budget,
            "release": plans.main,
            "plan": plans.main,
        }
        return _interruptible(work[options.command](options, group_of(options)))
    except FileError as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2


def _interruptible(work: Coroutine[Any, Any, int]) -> int:
    """Ctrl-C and SIGTERM cancel the command, which then says how far it came."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await work

    try:
        return asyncio.run(run())  # a short life: to load uvloop would cost more than it gains
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130


def _routing(agent: Any) -> Any:
    """The agent's door for questions over gRPC, where its file has one."""
    if agent.file.authz is None:
        return None
    import random

    from elderlock.authz.config import AuthzError
    from elderlock.authz.routing_server import RoutingServer
    from elderlock.fleet.config import FileError
    from elderlock.net.config import ConfigError

    try:
        return RoutingServer(agent.file.authz, agent.folder, agent.usable, random.Random())
    except (AuthzError, ConfigError) as error:
        raise FileError(str(error)) from None


def _routing_checked(path: Path) -> None:
    from types import SimpleNamespace

    from elderlock.fleet.config import read_agent

    _routing(SimpleNamespace(file=read_agent(path), folder=path.resolve().parent, usable=set))


def _base(options: argparse.Namespace) -> int:
    import uvloop

    from elderlock import logs
    from elderlock.fleet.launcher.launcher import serve

    logs.configure(options.log_format)
    own = (sys.executable, "-m", "elderlock.cli.main", "agent", "--log-format", options.log_format)
    try:
        uvloop.run(serve(options.file, own))
    except OSError as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    return 0


def _agent(options: argparse.Namespace) -> int:
    import uvloop

    from elderlock import logs
    from elderlock.fleet.agent.agent import check, serve
    from elderlock.fleet.agent_store import StoreError

    if options.check:
        check(options.file)
        _routing_checked(options.file)
        print(f"{options.file}: can be used")
        return 0
    logs.configure(options.log_format)
    try:
        uvloop.run(serve(options.file, _routing))
    except (OSError, StoreError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
