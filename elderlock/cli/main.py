"""The command line `elderlock`.

`python -m elderlock` is a different program: it runs one limiter.
"""

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
  2  wrong usage, or a file that cannot be used
  3  done in part: some limiters were not reached, or it is unknown whether they were
  4  nothing was done
  5  refused as unsafe; --force overrides
  6  another operator's change is in force instead

environment:
  ELDERLOCK_GROUP   the group file, unless --group is given
  ELDERLOCK_TOKEN   the token file, unless --token-file is given
"""

# The extra that installs each optional module
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
  0  done, and all thresholds were met
  2  wrong usage, or a file that cannot be used
  7  a threshold was not met
  8  the generator fell behind its schedule
  9  a part of the load was not sent, or a report was not written
"""

SIM_EPILOG = """exit codes:
  0  done, and no invariant was violated
  2  wrong usage, or a file that cannot be used
  3  some runs are not recorded yet
  7  an invariant was violated, or a threshold was not met
"""

TRIAL_EPILOG = """exit codes:
  0  done, and no invariant was violated
  2  wrong usage, a file that cannot be used, or a group that did not start
  7  an invariant was violated
  8  the machine was too slow: the run is inconclusive
"""


def parser(all_subcommands: bool = True) -> argparse.ArgumentParser:
    """Return the parser of the command line.

    Args:
        all_subcommands: Whether to add the subcommands of `load`, `sim`, `experiment` and `trial`. Importing their
            modules is slow, so `main` adds them only if they are needed.
    """
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

    def add_group_options(command: argparse.ArgumentParser) -> None:
        command.add_argument("--group", type=Path, metavar="FILE", help="the group file")
        command.add_argument(
            "--token-file",
            type=Path,
            metavar="FILE",
            help="the token file, in place of the one that the group file names",
        )
        command.add_argument(
            "--deadline", type=_seconds, default=1.0, metavar="S", help="how long to wait for each agent's answer (1)"
        )

    def add_retry_options(command: argparse.ArgumentParser) -> None:
        command.add_argument(
            "--give-up-after", type=_seconds, metavar="S", help="stop retrying after S s (retries until Ctrl-C)"
        )
        command.add_argument("--force", action="store_true", help="do it even if it is unsafe")
        command.add_argument("--json", action="store_true", help="print the result as one JSON object")

    show = add("show", "shows the state of all limiters and boxes", "elderlock show --watch 2")
    show.add_argument(
        "what", nargs="?", choices=("shared",), help="show only the health evidence and ceilings that limiters share"
    )
    add_group_options(show)
    show.add_argument("--json", action="store_true", help="print everything as one JSON object")
    show.add_argument("--watch", type=_seconds, nargs="?", const=1.0, metavar="S", help="repeat every S s (1)")
    show.add_argument("--accounts", action="store_true", help="also show counts by plan and account")
    show.add_argument("--details", action="store_true", help="also show throttle, peers and configuration")

    explain = add("explain", "explains for each limiter why it uses a box or not", "elderlock explain box s-5be2a07c")
    explain.add_argument("kind", choices=("box",))
    explain.add_argument("target", help="the uid of the box")
    add_group_options(explain)
    explain.add_argument("--json", action="store_true", help="print one JSON object")

    compare = add("compare", "shows differences between limiters, and outliers", "elderlock compare")
    add_group_options(compare)
    compare.add_argument("--json", action="store_true", help="print a JSON list")

    for name, help in (
        ("drain", "stops new requests to a box or a limiter until it is undrained"),
        ("undrain", "ends an operator's drain"),
    ):
        command = add(name, help, f"elderlock {name} box s-5be2a07c --reason 'fan is loud'")
        command.add_argument("kind", choices=("box", "limiter"))
        command.add_argument("target", nargs="+", help="uids of boxes, or names of limiters")
        add_group_options(command)
        add_retry_options(command)
        command.add_argument("--reason", default="", help="a note in the record, for other operators")
        command.add_argument("--expect", type=int, metavar="GEN", help="only if the record still has this generation")
        command.add_argument("--no-wait", action="store_true", help="do not wait for requests in flight")

    for name, help in (
        ("start", "starts limiters that are stopped or whose restarts were given up"),
        ("stop", "stops limiters after their accepted requests are answered"),
    ):
        command = add(name, help, f"elderlock {name} n2")
        command.add_argument("limiter", nargs="+", help="names of limiters")
        add_group_options(command)
        add_retry_options(command)

    audit = add("audit", "lists operators' commands and what they reached", "elderlock audit --most 20")
    add_group_options(audit)
    audit.add_argument("--most", type=int, default=20, metavar="N", help="at most N commands of each agent (20)")
    audit.add_argument("--json", action="store_true", help="print a JSON list")

    budget = add(
        "budget", "shows how much may be out of service at once, what is, and the permits for it", "elderlock budget"
    )
    add_group_options(budget)
    budget.add_argument("--json", action="store_true", help="print one JSON object")

    from elderlock.cli.plans import add as add_plans

    add_plans(commands, add_group_options, _seconds, argparse.RawDescriptionHelpFormatter, EPILOG)

    base = add("base", "starts the agent in the version that a release selects", "elderlock base deploy/agent.toml")
    base.add_argument("file", type=Path, help="the agent's file")
    base.add_argument("--log-format", choices=("text", "json"), default="text", help="format of all log lines (text)")
    agent = add("agent", "runs the agent of this machine", "elderlock agent deploy/agent.toml")
    agent.add_argument("file", type=Path, help="the agent's file")
    agent.add_argument("--check", action="store_true", help="check the file and exit")
    agent.add_argument("--log-format", choices=("text", "json"), default="text", help="format of its log lines (text)")

    up = add("up", "starts a complete group on loopback, for experiments", "elderlock up --limiters 3 --traffic 60")
    up.add_argument("--limiters", type=int, default=3, metavar="N", help="number of limiters (3)")
    up.add_argument("--boxes", type=int, default=9, metavar="N", help="number of boxes (9)")
    up.add_argument("--traffic", type=float, default=0.0, metavar="RATE", help="requests per second (none)")
    up.add_argument("--for", dest="lasts", type=_seconds, metavar="S", help="stop after S s")
    up.add_argument("--seed", type=int, default=1, help="seed of the random traffic (1)")

    load = add("load", "generates load at a given rate (open loop)", "elderlock load up tet-monday --html tet.html")
    load.epilog = LOAD_EPILOG
    load_commands = load.add_subparsers(dest="load_command", required=True, metavar="COMMAND")
    if all_subcommands:
        from elderlock.cli.load import add as add_load

        add_load(load_commands, _seconds)

    sim = add("sim", "simulates a group in virtual time, and searches for failures", "elderlock sim run partition")
    sim.epilog = SIM_EPILOG
    sim_commands = sim.add_subparsers(dest="sim_command", required=True, metavar="COMMAND")
    experiment = add("experiment", "compares settings over scenarios and seeds", "elderlock experiment run subset.toml")
    experiment.epilog = SIM_EPILOG
    experiment_commands = experiment.add_subparsers(dest="experiment_command", required=True, metavar="COMMAND")
    if all_subcommands:
        from elderlock.cli.sim import add as add_sim
        from elderlock.cli.sim import add_experiment

        add_sim(sim_commands, _seconds)
        add_experiment(experiment_commands)

    trial = add("trial", "runs scenarios on real processes", "elderlock trial run partition")
    trial.epilog = TRIAL_EPILOG
    trial_commands = trial.add_subparsers(dest="trial_command", required=True, metavar="COMMAND")
    if all_subcommands:
        from elderlock.cli.trial import add as add_trial

        add_trial(trial_commands)

    completion = add(
        "completion", "prints the completion script of a shell", "elderlock completion bash > ~/.elderlock.bash"
    )
    completion.add_argument("shell", choices=("bash", "zsh", "tcsh"))
    return top


def _seconds(text: str) -> float:
    """Parse a positive number of seconds below a million."""
    try:
        value = float(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of seconds") from None
    if not 0 < value < 1e6:
        raise argparse.ArgumentTypeError(f"{text} is out of range: more than 0 and less than 1000000")
    return value


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code.

    Args:
        argv: The arguments; those of the process by default.
    """
    words = sys.argv[1:] if argv is None else list(argv)
    try:
        needs_subcommands = {"load", "sim", "experiment", "trial", "completion"}
        options = parser(all_subcommands=bool(needs_subcommands & set(words))).parse_args(words)
        with contextlib.suppress(BrokenPipeError):  # the reader, such as `head`, has closed the pipe
            return _run(options)
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except ModuleNotFoundError as error:
        extra = EXTRAS.get((error.name or "").split(".")[0], "fleet")
        print(f"elderlock: the extra elderlock[{extra}] is not installed: {error}", file=sys.stderr)
        return 2


def _run(options: argparse.Namespace) -> int:
    """Run the command that the options name. Each command's modules are imported only if it runs."""
    if options.command == "completion":
        import shtab

        print(shtab.complete(parser(), options.shell))
        return 0
    from elderlock.cli.group import selected_group
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

        handlers: dict[str, Callable[..., Coroutine[Any, Any, int]]] = {
            "show": commands.show,
            "explain": commands.explain,
            "compare": commands.compare,
            "drain": commands.drain,
            "undrain": commands.drain,
            "start": commands.start_or_stop,
            "stop": commands.start_or_stop,
            "audit": commands.audit,
            "budget": commands.budget,
            "release": plans.main,
            "plan": plans.main,
        }
        return _run_interruptibly(handlers[options.command](options, selected_group(options)))
    except FileError as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2


def _run_interruptibly(command: Coroutine[Any, Any, int]) -> int:
    """Run a command. Ctrl-C and SIGTERM cancel it, and it then reports what it reached."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await command

    try:
        return asyncio.run(run())  # not uvloop: loading it takes longer than it saves in a short command
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130


def _routing_server(agent: Any) -> Any:
    """Return the agent's gRPC server for authorisation, or None if its file does not configure one.

    Raises:
        FileError: The `[authz]` table is invalid.
    """
    if agent.file.authz is None:
        return None
    import random

    from elderlock.authz.config import AuthzError
    from elderlock.authz.routing_server import RoutingServer
    from elderlock.fleet.config import FileError
    from elderlock.net.config import ConfigError

    try:
        return RoutingServer(agent.file.authz, agent.folder, agent.usable_limiters, random.Random())
    except (AuthzError, ConfigError) as error:
        raise FileError(str(error)) from None


def _check_routing(path: Path) -> None:
    """Check the `[authz]` table of an agent's file.

    Raises:
        FileError: The file cannot be read, or the table is invalid.
    """
    from types import SimpleNamespace

    from elderlock.fleet.config import read_agent

    _routing_server(SimpleNamespace(file=read_agent(path), folder=path.resolve().parent, usable_limiters=set))


def _base(options: argparse.Namespace) -> int:
    """Run the launcher, which starts the agent in the selected version."""
    import uvloop

    from elderlock import logs
    from elderlock.fleet.launcher.launcher import serve

    logs.configure(options.log_format)
    agent_command = (sys.executable, "-m", "elderlock.cli.main", "agent", "--log-format", options.log_format)
    try:
        uvloop.run(serve(options.file, agent_command))
    except OSError as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    return 0


def _agent(options: argparse.Namespace) -> int:
    """Run the agent, or only check its file."""
    import uvloop

    from elderlock import logs
    from elderlock.fleet.agent.agent import check, serve
    from elderlock.fleet.agent_store import StoreError

    if options.check:
        check(options.file)
        _check_routing(options.file)
        print(f"{options.file}: the file is valid")
        return 0
    logs.configure(options.log_format)
    try:
        uvloop.run(serve(options.file, _routing_server))
    except (OSError, StoreError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
