"""Simulated processes: which machine code runs on, its signals, its pauses and its death.

A process is a context variable, so whatever a callback schedules belongs to its process too. A dead process runs
nothing more, not even the `finally` of its coroutines; a paused one is handed its events when it goes on.
"""

from __future__ import annotations

import asyncio
import contextvars
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol


class Resource(Protocol):
    """What a process holds of the system: ends with it."""

    def killed(self) -> None: ...


@dataclass(slots=True, eq=False)
class Machine:
    """`offset` in ms and `drift` (a share) move its wall clock; `descriptors` bounds each of its processes;
    `disk_failure` names what its disk does wrong."""

    name: str
    floor: str = ""
    host: str = "127.0.0.1"
    offset: float = 0.0
    drift: float = 0.0
    descriptors: int = 1024
    disk_failure: str = ""


Late = tuple[Callable[..., Any], tuple[Any, ...], list[Any], contextvars.Context]


@dataclass(slots=True, eq=False)
class Process:
    """Invariant: at most one of alive and ended; `exit_code` is set once."""

    pid: int
    name: str
    machine: Machine
    environ: dict[str, str] = field(default_factory=dict)
    alive: bool = True
    paused: bool = False
    exit_code: int | None = None
    handlers: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = field(default_factory=dict)
    tasks: dict[asyncio.Task[Any], None] = field(default_factory=dict)  # pending; a killed one's are never collected
    resources: dict[Resource, None] = field(default_factory=dict)
    on_exit: list[Callable[[], None]] = field(default_factory=list)
    waiting: list[Late] = field(default_factory=list)  # of a paused one, till it goes on
    dropped: list[Late] = field(default_factory=list)  # of a dead one, to be let go at the end of the run

    def run(self, callback: Callable[..., Any], args: tuple[Any, ...], handle: list[Any]) -> None:
        """In place of each callback that belongs to this process."""
        if not self.alive:
            self.dropped.append((callback, args, handle, contextvars.copy_context()))
            return
        if self.paused:
            self.waiting.append((callback, args, handle, contextvars.copy_context()))
            return
        callback(*args)

    def revive(self, loop: asyncio.AbstractEventLoop) -> None:
        """At the end of a run: what it was kept from is run, so that cancelled tasks can end."""
        self.waiting += self.dropped
        self.dropped = []
        self.alive = True
        self.resume(loop)

    def resume(self, loop: asyncio.AbstractEventLoop) -> None:
        """What fell due meanwhile comes in its order, but for what was cancelled."""
        self.paused = False
        waiting, self.waiting = self.waiting, []
        for callback, args, handle, context in waiting:
            loop.call_soon(self._late, callback, args, handle, context=context)

    @staticmethod
    def _late(callback: Callable[..., Any], args: tuple[Any, ...], handle: list[Any]) -> None:
        if not (handle and handle[0].cancelled()):
            callback(*args)

    def end(self, code: int) -> None:
        """All that it held breaks; whoever watches hears of it."""
        if not self.alive:
            return
        self.alive, self.exit_code = False, code
        self.dropped += self.waiting
        self.waiting = []
        for held in list(self.resources):
            held.killed()
        self.resources.clear()
        for told in self.on_exit:  # outside of it: what they schedule is not to die with it
            context_of(None).run(told)

    def signal(self, number: int, loop: asyncio.AbstractEventLoop) -> None:
        if not self.alive:
            return
        if number == signal.SIGSTOP:
            self.paused = True
        elif number == signal.SIGCONT:
            if self.paused:
                self.resume(loop)
        elif number == signal.SIGKILL:
            self.end(-signal.SIGKILL)
        elif (handler := self.handlers.get(number)) is not None:
            loop.call_soon(self.run, handler[0], handler[1], [], context=context_of(self))
        else:  # nobody handles it
            self.end(-number)


CURRENT_PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("elderlock.sim.process", default=None)


def context_of(process: Process | None) -> contextvars.Context:
    """A fresh context in which that process is the current one."""
    context = contextvars.copy_context()
    context.run(CURRENT_PROCESS.set, process)
    return context


def start(
    loop: asyncio.AbstractEventLoop, process: Process, main: Callable[[], Coroutine[Any, Any, Any]]
) -> asyncio.Task[Any]:
    """Runs `main` as the process: its return is exit 0 (or the number that it returns), its exception exit 1."""

    async def whole() -> None:
        try:
            code = await main()
        except asyncio.CancelledError:
            raise
        except BaseException:
            process.end(1)
            raise
        process.end(code if isinstance(code, int) else 0)

    return context_of(process).run(loop.create_task, whole())
