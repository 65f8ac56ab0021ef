"""Simulated processes: the machine that code runs on, and signals, pauses and the end of a process.

The current process is a context variable, so a callback that another one schedules belongs to the same process. A dead
process runs nothing more, not even the `finally` blocks of its coroutines. A paused process runs its pending callbacks
when it continues.
"""

from __future__ import annotations

import asyncio
import contextvars
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol


class Resource(Protocol):
    """A resource of the system that a process holds and loses when it ends, such as a socket or a file lock."""

    def killed(self) -> None:
        """Releases the resource as the kernel does when the process ends."""


@dataclass(slots=True, eq=False)
class Machine:
    """A simulated machine.

    Attributes:
        name: Its name.
        floor: Its zone; empty if it is in none.
        host: Its address.
        offset: The error of its wall clock, in ms.
        drift: The error of its clocks' rate, as a share.
        descriptors: The limit of open file descriptors for each of its processes.
        disk_failure: The present fault of its disk; empty for none.
    """

    name: str
    floor: str = ""
    host: str = "127.0.0.1"
    offset: float = 0.0
    drift: float = 0.0
    descriptors: int = 1024
    disk_failure: str = ""


# A callback with its arguments, a cell that holds its handle, and its context
DeferredCallback = tuple[Callable[..., Any], tuple[Any, ...], list[Any], contextvars.Context]


@dataclass(slots=True, eq=False)
class Process:
    """A simulated process.

    Invariant: a process is either alive or ended; `exit_code` is set once.

    Attributes:
        pid: Its process id.
        name: Its name in traces.
        machine: The machine that it runs on.
        environ: Its environment variables.
        alive: Whether it has not ended.
        paused: Whether SIGSTOP has stopped it.
        exit_code: Its exit code, or the negative number of the signal that ended it.
        handlers: Its signal handlers, by signal number.
        tasks: Its pending tasks. They are referenced here because a task that is collected runs its `finally` blocks.
        resources: What it holds, in order.
        on_exit: Called when it ends.
        deferred: The callbacks that came due while it was paused.
        dropped: The callbacks that came due after its death; they are released at the end of the run.
    """

    pid: int
    name: str
    machine: Machine
    environ: dict[str, str] = field(default_factory=dict)
    alive: bool = True
    paused: bool = False
    exit_code: int | None = None
    handlers: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = field(default_factory=dict)
    tasks: dict[asyncio.Task[Any], None] = field(default_factory=dict)
    resources: dict[Resource, None] = field(default_factory=dict)
    on_exit: list[Callable[[], None]] = field(default_factory=list)
    deferred: list[DeferredCallback] = field(default_factory=list)
    dropped: list[DeferredCallback] = field(default_factory=list)

    def run(self, callback: Callable[..., Any], args: tuple[Any, ...], handle: list[Any]) -> None:
        """Runs a callback that belongs to this process, or keeps it if the process is paused or dead."""
        if not self.alive:
            self.dropped.append((callback, args, handle, contextvars.copy_context()))
            return
        if self.paused:
            self.deferred.append((callback, args, handle, contextvars.copy_context()))
            return
        callback(*args)

    def revive(self, loop: asyncio.AbstractEventLoop) -> None:
        """Schedules all kept callbacks at the end of a run, so that cancelled tasks can end."""
        self.deferred += self.dropped
        self.dropped = []
        self.alive = True
        self.resume(loop)

    def resume(self, loop: asyncio.AbstractEventLoop) -> None:
        """Continues a paused process: schedules the deferred callbacks in their order, except for cancelled ones."""
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for callback, args, handle, context in deferred:
            loop.call_soon(self._run_deferred, callback, args, handle, context=context)

    @staticmethod
    def _run_deferred(callback: Callable[..., Any], args: tuple[Any, ...], handle: list[Any]) -> None:
        if not (handle and handle[0].cancelled()):
            callback(*args)

    def end(self, code: int) -> None:
        """Ends the process: releases its resources and calls `on_exit`."""
        if not self.alive:
            return
        self.alive, self.exit_code = False, code
        self.dropped += self.deferred
        self.deferred = []
        for resource in list(self.resources):
            resource.killed()
        self.resources.clear()
        for callback in self.on_exit:  # outside of this process, as what they schedule has to outlive it
            context_of(None).run(callback)

    def signal(self, number: int, loop: asyncio.AbstractEventLoop) -> None:
        """Delivers a signal: pauses, continues or ends the process, or schedules its handler."""
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
        else:  # the default action of an unhandled signal
            self.end(-number)


CURRENT_PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("elderlock.sim.process", default=None)


def context_of(process: Process | None) -> contextvars.Context:
    """Returns a new context in which that process is the current one."""
    context = contextvars.copy_context()
    context.run(CURRENT_PROCESS.set, process)
    return context


def start(
    loop: asyncio.AbstractEventLoop, process: Process, main: Callable[[], Coroutine[Any, Any, Any]]
) -> asyncio.Task[Any]:
    """Runs `main` as the process.

    The process exits with 0 when `main` returns, or with the number that it returns, and with 1 when it raises.
    """

    async def run_main() -> None:
        try:
            code = await main()
        except asyncio.CancelledError:
            raise
        except BaseException:
            process.end(1)
            raise
        process.end(code if isinstance(code, int) else 0)

    return context_of(process).run(loop.create_task, run_main())
