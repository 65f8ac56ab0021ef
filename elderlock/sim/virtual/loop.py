"""An event loop whose clock jumps to the next timer.

It extends asyncio's `BaseEventLoop`, so tasks, futures, timeouts and streams are asyncio's own. Only the selector, the
clock and the network are simulated. Times are s, as in asyncio.
"""

# asyncio's signatures have more parameters than the simulation needs
# mypy: disable-error-code="override"

from __future__ import annotations

import asyncio
import heapq
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, Protocol

from elderlock.sim.virtual.processes import CURRENT_PROCESS

START_UNIX_S = 1_700_000_000.0  # Unix time at the start of a run
START_MONOTONIC_S = 10_000.0  # the monotonic clock at the start of a run
MAX_STEPS_AT_ONE_TIME = 300_000  # iterations of the loop without progress of time
TIE_BREAK_S = 1e-9  # most by which timers due at the same time are shifted, in an order that the seed determines


class SimulationEnded(BaseException):
    """The simulation cannot go on.

    It is not an `Exception`, so that no handler of the code under test catches it.
    """


class DeadlockError(SimulationEnded):
    """No timer is left, and tasks are still waiting."""


class LivelockError(SimulationEnded):
    """Callbacks run without end at one time of the clock."""


class TransportNetwork(Protocol):
    """The network that creates the loop's transports; `factory` makes the protocol of each."""

    def listen(self, factory: Callable[[], Any], host: str, port: int, backlog: int = 100) -> Any:
        """Starts a TCP server."""

    def listen_unix(self, factory: Callable[[], Any], path: str, backlog: int = 100) -> Any:
        """Starts a server on a Unix socket."""

    async def connect(self, factory: Callable[[], Any], host: str, port: int) -> Any:
        """Opens a TCP connection."""

    async def connect_unix(self, factory: Callable[[], Any], path: str) -> Any:
        """Opens a connection to a Unix socket."""

    def datagrams(self, factory: Callable[[], Any], local: Any, remote: Any) -> Any:
        """Creates a datagram endpoint."""


class _JumpingSelector:
    """Replaces the selector: instead of waiting, it makes the clock jump."""

    def __init__(self, loop: SimLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        self._loop.jump(timeout)
        return []

    def close(self) -> None:
        pass

    def get_map(self) -> dict[int, Any]:
        return {}


class SimLoop(asyncio.BaseEventLoop):
    """The event loop of a run.

    Attributes:
        network: The network that the loop's transports belong to.
        failures: The errors reported to the loop's exception handler, as "process: message: exception".
        unhandled_errors: The exceptions among them, with the name of the process.
        is_over: Whether the run is over. Objects that are collected later may still schedule callbacks, which are then
            ignored.
    """

    def __init__(self, ties: int | None = 0) -> None:
        """Creates the loop.

        Args:
            ties: Seeds the order of timers due at the same time; None keeps the order in which they were set.
        """
        super().__init__()
        self._now = START_MONOTONIC_S
        self._selector = _JumpingSelector(self)
        self._ties = random.Random(f"ties/{ties}") if ties is not None else None
        self._steps_at_this_time = 0
        self._last = 0.0
        self.network: TransportNetwork | None = None
        self.failures: list[str] = []
        self.unhandled_errors: list[tuple[str, BaseException]] = []
        self.is_over = False
        self.set_exception_handler(self._record_failure)
        self.set_task_factory(self._create_task)  # type: ignore[arg-type]

    # The clock

    def time(self) -> float:
        """Returns the time of the simulated monotonic clock."""
        return self._now

    def jump(self, timeout: float | None) -> None:
        """Advances the clock to the next timer, which is due after `timeout`; None if there is no timer."""
        if timeout is None:
            raise DeadlockError("no timer is left; " + self.describe_waiting())
        if timeout <= 0:
            self._steps_at_this_time += 1
            if self._steps_at_this_time > MAX_STEPS_AT_ONE_TIME:
                raise LivelockError(
                    f"the clock stays at {self._now - START_MONOTONIC_S:.6f} s; " + self.describe_ready()
                )
            return
        self._steps_at_this_time = 0
        self._now += timeout
        scheduled: list[Any] = self._scheduled  # type: ignore[attr-defined]
        if scheduled:  # rounding may end the sum just before the timer, and the loop would spin
            self._now = max(self._now, min(scheduled[0].when(), self._now + TIE_BREAK_S))

    def describe_waiting(self) -> str:
        """Lists the pending tasks with their processes and the lines at which they wait."""
        found: Counter[str] = Counter()
        for task in asyncio.all_tasks(self):
            found[f"{getattr(task, 'process', 'world')} in {_innermost(task)}"] += 1
        return "waiting: " + ("; ".join(f"{n} x {what}" for what, n in sorted(found.items())) or "nobody")

    def describe_ready(self) -> str:
        """Lists the most frequent callbacks that are ready to run."""
        ready: list[Any] = list(self._ready)[:50]  # type: ignore[attr-defined]
        found = Counter(repr(handle) for handle in ready)
        return "ready: " + "; ".join(f"{n} x {what}" for what, n in found.most_common(5))

    # Scheduling: a callback belongs to the process that schedules it

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: Context | None = None) -> asyncio.Handle:
        """Schedules a callback for the next iteration, through the process of its context."""
        if self.is_over:
            return asyncio.Handle(callback, args, self, context)
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        cell: list[Any] = []
        handle = super().call_soon(process.run, callback, args, cell, context=context)
        cell.append(handle)
        return handle

    def call_soon_threadsafe(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedules a callback as `call_soon` does, as a run has a single thread."""
        return self.call_soon(callback, *args, context=context)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedules a callback after a delay."""
        return self.call_at(self._now + delay, callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedules a callback at a time, through the process of its context."""
        if self.is_over:
            return asyncio.TimerHandle(when, callback, args, self, context)
        if self._ties is not None:  # asyncio does not guarantee the order of timers due at the same time
            when += self._ties.random() * TIE_BREAK_S
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        cell: list[Any] = []
        handle = super().call_at(when, process.run, callback, args, cell, context=context)
        cell.append(handle)
        return handle

    @staticmethod
    def _create_task(
        loop: asyncio.AbstractEventLoop, coro: Coroutine[Any, Any, Any], context: Context | None = None
    ) -> asyncio.Task[Any]:
        task = asyncio.Task(coro, loop=loop, context=context)
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is not None:
            task.process = process.name  # type: ignore[attr-defined]
            # keeps a reference: the collection of a dead process's pending task would run its `finally` blocks
            process.tasks[task] = None
            task.add_done_callback(process.tasks.pop)
        return task

    def _record_failure(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        process = CURRENT_PROCESS.get()
        name = process.name if process is not None else "world"
        error = context.get("exception")
        self.failures.append(f"{name}: {context.get('message')}: {error!r}")
        if isinstance(error, BaseException):
            self.unhandled_errors.append((name, error))

    # The parts of a selector event loop that use the operating system

    def _write_to_self(self) -> None:
        pass

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def run_in_executor(self, executor: Any, func: Callable[..., Any], *args: Any) -> asyncio.Future[Any]:
        """Calls the function at once in this thread, as the order of real threads is not deterministic."""
        future: asyncio.Future[Any] = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:
            future.set_exception(error)
        return future

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:
        """Sets the current process's handler of a signal."""
        process = CURRENT_PROCESS.get()
        if process is not None:
            process.handlers[sig] = (callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        """Removes the current process's handler of a signal and returns whether there was one."""
        process = CURRENT_PROCESS.get()
        return process is not None and process.handlers.pop(sig, None) is not None

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        """Starts a TCP server in the simulated network."""
        assert self.network is not None
        return self.network.listen(protocol_factory, str(host), int(port or 0), options.get("backlog", 100))

    async def create_unix_server(self, protocol_factory: Any, path: Any = None, **options: Any) -> Any:
        """Starts a server on a Unix socket in the simulated network."""
        assert self.network is not None
        sock = options.get("sock")
        if sock is not None:
            path = sock.getsockname()
            sock.close()  # its path stays in the file system, as that of a real listener does
        return self.network.listen_unix(protocol_factory, str(path), options.get("backlog", 100))

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        """Opens a TCP connection in the simulated network."""
        assert self.network is not None
        return await self.network.connect(protocol_factory, str(host), int(port))

    async def create_unix_connection(self, protocol_factory: Any, path: Any = None, **options: Any) -> Any:
        """Opens a connection to a Unix socket in the simulated network."""
        assert self.network is not None
        return await self.network.connect_unix(protocol_factory, str(path))

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, remote_addr: Any = None, **options: Any
    ) -> Any:
        """Creates a datagram endpoint in the simulated network."""
        assert self.network is not None
        return self.network.datagrams(protocol_factory, local_addr, remote_addr)

    async def getaddrinfo(self, host: Any, port: Any, **options: Any) -> list[Any]:
        """Returns the address itself, as all hosts are given by IP address."""
        import socket

        return [(socket.AF_INET, socket.SOCK_STREAM, 6, "", (host, port))]

    def discard_pending(self) -> None:
        """Drops all pending callbacks and tasks at the end of the run, so that none of them runs afterwards."""
        self.is_over = True
        self._ready.clear()  # type: ignore[attr-defined]
        scheduled: list[Any] = self._scheduled  # type: ignore[attr-defined]
        scheduled.clear()
        heapq.heapify(scheduled)
        for task in asyncio.all_tasks(self):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        self.set_exception_handler(lambda loop, context: None)


def _innermost(task: asyncio.Task[Any]) -> str:
    """Returns the innermost line outside of asyncio at which a task waits."""
    at: str = "not begun"
    coro: Any = task.get_coro()
    while coro is not None:
        frame = getattr(coro, "cr_frame", None) or getattr(coro, "ag_frame", None)
        if frame is not None and "asyncio" not in frame.f_code.co_filename:
            at = f"{frame.f_code.co_qualname}:{frame.f_lineno}"
        coro = getattr(coro, "cr_await", None) or getattr(coro, "ag_await", None)
    return at
