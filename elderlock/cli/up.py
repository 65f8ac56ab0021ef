"""`elderlock up`: runs a complete group on loopback and removes its processes and files when it ends."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import importlib.util
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from elderlock.cli.running_groups import GROUP_FOLDER_PREFIX
from elderlock.fleet.client.commands import observe_group
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.observation import GroupObservation
from elderlock.fleet.client.report import Exit
from elderlock.standins.front import Front
from elderlock.standins.world import OPERATORS, World
from elderlock.trial.processes import AGENT_COMMAND, Child, python, run_guarded

READY_TIMEOUT_S = 30.0
AGENT_RESTART_DELAY_S = 0.5


class UpError(Exception):
    """The group did not start. The text is for the operator."""


def up(options: argparse.Namespace) -> int:
    """Run a group until Ctrl-C or the end of `--for`, and return the exit code."""
    if not (1 <= options.limiters <= 40 and 1 <= options.boxes <= 200 and 0 <= options.traffic <= 5000):
        print("elderlock: up takes 1 to 40 limiters, 1 to 200 boxes, 0 to 5000 requests per second", file=sys.stderr)
        return 2
    return run_guarded(GROUP_FOLDER_PREFIX, lambda folder, mark: _up(options, folder, mark))


class _Agent:
    """The agent's process, which is restarted when it exits. Its limiters keep running meanwhile.

    Attributes:
        unusable: Is set once the agent has rejected its file.
    """

    def __init__(self, path: Path, mark: str, log: Path) -> None:
        """Prepare the process without starting it.

        Args:
            path: The agent's file.
            mark: The value that marks the processes of this run in their environment.
            log: The file for the agent's output.
        """
        self._child = Child("agent", python(*AGENT_COMMAND, str(path)), mark, log, ended=self._on_exit)
        self._exited = asyncio.Event()
        self._exit_code = 0
        self.unusable = asyncio.Event()

    def _on_exit(self, code: int) -> None:
        self._exit_code = code
        self._exited.set()

    async def keep_running(self) -> None:
        """Start the agent, and restart it whenever it exits, unless it rejects its file."""
        while True:
            self._exited.clear()
            await self._child.start()
            await self._exited.wait()
            if self._exit_code == 2:  # the agent's file cannot be used, so a restart would not help
                self.unusable.set()
                return
            print(f"the agent exited with code {self._exit_code} and is restarted", file=sys.stderr, flush=True)
            await asyncio.sleep(AGENT_RESTART_DELAY_S)


def has_grpc() -> bool:
    """Return whether the extra elderlock[grpc] is installed, without importing its modules."""
    return all(importlib.util.find_spec(name) is not None for name in ("grpc", "envoy", "grpc_health"))


@asynccontextmanager
async def running_group(
    folder: Path, mark: str, limiters: int, boxes: int, seed: int, stop: asyncio.Event, lend: int = 0
) -> AsyncIterator[tuple[World, Group]]:
    """Run a group, with a gRPC server for each limiter if the extra elderlock[grpc] is installed.

    Args:
        folder: The folder for the group's files.
        mark: The value that marks the processes of this run in their environment.
        limiters: The number of limiters.
        boxes: The number of servers.
        seed: The seed of the servers' random behaviour.
        stop: Ends the wait for the group when it is set.
        lend: How many load workers the agent may run for operators.

    Yields:
        The group's processes and files, and a client of its agent. All limiters are ready, unless `stop` was set.

    Raises:
        UpError: The group did not start.
    """
    world = World(folder, limiters, boxes, seed=seed, grpc=has_grpc(), lend=lend)
    await world.open()
    agent = _Agent(world.agent_path(0), mark, folder / "agent.log")
    agent_task = asyncio.get_running_loop().create_task(agent.keep_running())
    group = Group.read(world.group_path)
    try:
        if not await _wait_until_ready(group, limiters, stop, agent.unusable) and not stop.is_set():
            agent_log = (folder / "agent.log").read_text()
            raise UpError(f"the group did not start; the log of its agent:\n{agent_log}")
        yield world, group
    finally:
        agent_task.cancel()
        group.close()
        await world.close()


async def _up(options: argparse.Namespace, folder: Path, mark: str) -> int:
    """Run a group until a signal or the end of `--for`. A second signal ends it without waiting for open requests."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    signals_received = 0

    def on_signal() -> None:
        nonlocal signals_received
        signals_received += 1
        stop.set()
        if signals_received > 1:
            stop_at_once.set()

    stop_at_once = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, on_signal)
    try:
        async with running_group(folder, mark, options.limiters, options.boxes, options.seed, stop) as (world, _):
            if stop.is_set():
                return 0
            _print_instructions(world, options)
            traffic: Front | None = None
            if options.traffic > 0:
                traffic = Front(world.listens, options.traffic, options.seed)
                traffic.start()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(options.lasts):
                    await stop.wait()
            if traffic is not None and not stop_at_once.is_set():
                await _wait_for_either(traffic.stop(), stop_at_once)
                outcomes = ", ".join(f"{count} {outcome}" for outcome, count in sorted(traffic.ledger.ends.items()))
                print(f"{traffic.ledger.sent} requests: {outcomes or 'none'}", flush=True)
            print("stopping" if not stop_at_once.is_set() else "stopping at once", flush=True)
            return 0
    except UpError as error:
        print(error, file=sys.stderr)
        return Exit.NOTHING


async def _wait_for_either(work: object, event: asyncio.Event) -> None:
    """Wait until the work is done or the event is set, and cancel the other."""
    tasks = {asyncio.ensure_future(work), asyncio.ensure_future(event.wait())}  # type: ignore[call-overload]
    _, unfinished = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in unfinished:
        task.cancel()


def _ready_limiters(observation: GroupObservation) -> int:
    """Return the number of limiters that are ready."""
    return sum(state.ready for state in observation.states())


async def _wait_until_ready(group: Group, limiters: int, stop: asyncio.Event, unusable: asyncio.Event) -> bool:
    """Wait until all limiters are ready; return False after the timeout or once an event is set."""
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not stop.is_set() and not unusable.is_set():
                if _ready_limiters(await observe_group(group)) == limiters:
                    return True
                await asyncio.sleep(0.1)
    except TimeoutError:
        pass
    return False


def _print_instructions(world: World, options: argparse.Namespace) -> None:
    """Print where the group's limiters listen, and how to use and stop the group."""
    traffic = f", {options.traffic:g} requests per second" if options.traffic else ""
    grpc_addresses = f"  gRPC authorisation at {', '.join(world.grpc_addresses)}\n" if world.grpc_addresses else ""
    print(
        f"{options.limiters} limiters, {options.boxes} boxes, one agent{traffic}; all on loopback.\n"
        f"  clients connect to {', '.join(world.listens)}\n"
        f"{grpc_addresses}"
        f"  try:    elderlock show\n"
        f"          elderlock drain box s-00\n"
        f"  if several groups are running: export ELDERLOCK_GROUP={world.group_path}\n"
        f"  as a second operator: --token-file {world.token_path(OPERATORS[1])}\n"
        f"  stop:   Ctrl-C here (twice: at once)",
        flush=True,
    )
