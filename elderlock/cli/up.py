"""`elderlock up`: a whole group on loopback in one command, gone without a trace when it ends."""

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

from elderlock.cli.running import PREFIX
from elderlock.fleet.client.drain_commands import observe_group
from elderlock.fleet.client.group_client import Group
from elderlock.fleet.client.observation import GroupObservation
from elderlock.fleet.client.report import Exit
from elderlock.standins.front import Front
from elderlock.standins.world import OPERATORS, World
from elderlock.trial.processes import AGENT, Child, python, swept

READY_WITHIN = 30.0  # s
AGENT_AGAIN = 0.5  # s before an agent that died is started again


class UpError(Exception):
    """The group did not come up; the text is for whoever started it."""


def up(options: argparse.Namespace) -> int:
    if not (1 <= options.limiters <= 40 and 1 <= options.boxes <= 200 and 0 <= options.traffic <= 5000):
        print("elderlock: up takes 1 to 40 limiters, 1 to 200 boxes, 0 to 5000 requests a second", file=sys.stderr)
        return 2
    return swept(PREFIX, lambda folder, mark: _up(options, folder, mark))


class _Agent:
    """The agent's process, started again when it dies: its limiters run on meanwhile."""

    def __init__(self, path: Path, mark: str, log: Path) -> None:
        self._child = Child("agent", python(*AGENT, str(path)), mark, log, ended=self._over)
        self._ended = asyncio.Event()
        self._code = 0
        self.unusable = asyncio.Event()

    def _over(self, code: int) -> None:
        self._code = code
        self._ended.set()

    async def keep(self) -> None:
        while True:
            self._ended.clear()
            await self._child.start()
            await self._ended.wait()
            if self._code == 2:  # its file cannot be used: to start it again would change nothing
                self.unusable.set()
                return
            print(f"the agent has ended with {self._code}; it is started again", file=sys.stderr, flush=True)
            await asyncio.sleep(AGENT_AGAIN)


def has_grpc() -> bool:
    """Whether the extra elderlock[grpc] is here, told without loading it."""
    return all(importlib.util.find_spec(name) is not None for name in ("grpc", "envoy", "grpc_health"))


@asynccontextmanager
async def running(
    folder: Path, mark: str, limiters: int, boxes: int, seed: int, stop: asyncio.Event, lend: int = 0
) -> AsyncIterator[tuple[World, Group]]:
    """A group that answers, with a gRPC door each where the extra is here. Raises `UpError`; `stop` ends the
    wait for it."""
    world = World(folder, limiters, boxes, seed=seed, grpc=has_grpc(), lend=lend)
    await world.open()
    agent = _Agent(world.agent_path(0), mark, folder / "agent.log")
    keeping = asyncio.get_running_loop().create_task(agent.keep())
    group = Group.read(world.group_path)
    try:
        if not await _ready(group, limiters, stop, agent.unusable) and not stop.is_set():
            said = (folder / "agent.log").read_text()
            raise UpError(f"the group did not come up; its agent says:\n{said}")
        yield world, group
    finally:
        keeping.cancel()
        group.close()
        await world.close()


async def _up(options: argparse.Namespace, folder: Path, mark: str) -> int:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    presses = 0

    def pressed() -> None:
        nonlocal presses
        presses += 1
        stop.set()
        if presses > 1:
            hurry.set()

    hurry = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, pressed)
    try:
        async with running(folder, mark, options.limiters, options.boxes, options.seed, stop) as (world, _):
            if stop.is_set():
                return 0
            _say(world, options)
            front: Front | None = None
            if options.traffic > 0:
                front = Front(world.listens, options.traffic, options.seed)
                front.start()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(options.lasts):
                    await stop.wait()
            if front is not None and not hurry.is_set():
                await _first(front.stop(), hurry)
                ends = ", ".join(f"{count} {how}" for how, count in sorted(front.ledger.ends.items()))
                print(f"{front.ledger.sent} requests: {ends or 'none'}", flush=True)
            print("stopping" if not hurry.is_set() else "stopping at once", flush=True)
            return 0
    except UpError as error:
        print(error, file=sys.stderr)
        return Exit.NOTHING


async def _first(work: object, event: asyncio.Event) -> None:
    """Until the work is done or the event comes."""
    tasks = {asyncio.ensure_future(work), asyncio.ensure_future(event.wait())}  # type: ignore[call-overload]
    _, left = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in left:
        task.cancel()


def _answering(seen: GroupObservation) -> int:
    return sum(state.ready for state in seen.states())


async def _ready(group: Group, limiters: int, stop: asyncio.Event, unusable: asyncio.Event) -> bool:
    try:
        async with asyncio.timeout(READY_WITHIN):
            while not stop.is_set() and not unusable.is_set():
                if _answering(await observe_group(group)) == limiters:
                    return True
                await asyncio.sleep(0.1)
    except TimeoutError:
        pass
    return False


def _say(world: World, options: argparse.Namespace) -> None:
    traffic = f", {options.traffic:g} requests a second" if options.traffic else ""
    doors = f"  ask over gRPC: {', '.join(world.grpc_addresses)}\n" if world.grpc_addresses else ""
    print(
        f"{options.limiters} limiters, {options.boxes} boxes, one agent{traffic}; all on loopback.\n"
        f"  clients connect to {', '.join(world.listens)}\n"
        f"{doors}"
        f"  ask:    elderlock show\n"
        f"          elderlock drain box s-00\n"
        f"  where several groups are up: export ELDERLOCK_GROUP={world.group_path}\n"
        f"  second operator: --token-file {world.token_path(OPERATORS[1])}\n"
        f"  stop:   Ctrl-C here (twice: at once)",
        flush=True,
    )
