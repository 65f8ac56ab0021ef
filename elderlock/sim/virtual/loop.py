"""An event loop whose time jumps to what is due next.

It is asyncio's own `BaseEventLoop`, so tasks, futures, timeouts and streams are the shipped ones; only the selector,
the clock and the network are ours. Times are seconds, as asyncio has them.
"""

# the loop's own signatures name more than is asked of it here
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

START_UNIX_S = 1_700_000_000.0  # s, Unix time at which a simulated clock shows START
START_MONOTONIC_S = 10_000.0  # s, of the monotonic clock
MAX_STEPS_AT_ONE_TIME = 300_000  # turns of the loop in which time stood still
TIE_BREAK_S = 1e-9  # s by which timers due at one instant are moved apart, in an order that the seed gives


class SimulationEnded(BaseException):
    """Not an `Exception`: no handler of the code under test may take it for its own."""


class DeadlockError(SimulationEnded):
    """Nothing is left to happen, and something is waited for."""


class LivelockError(SimulationEnded):
    """Time does not move."""


class Wires(Protocol):
    """The network that the loop's transports belong to."""

    def listen(self, factory: Callable[[], Any], host: str, port: int, backlog: int = 100) -> Any: ...
    def listen_unix(self, factory: Callable[[], Any], path: str, backlog: int = 100) -> Any: ...
    async def connect(self, factory: Callable[[], Any], host: str, port: int) -> Any: ...
    async def connect_unix(self, factory: Callable[[], Any], path: str) -> Any: ...
    def datagrams(self, factory: Callable[[], Any], local: Any, remote: Any) -> Any: ...


class _Jump:
    """In the selector's place: waiting is a jump of the clock."""

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
    """`ties` seeds the order of timers due at one instant; None keeps the order in which they were set."""

    def __init__(self, ties: int | None = 0) -> None:
        super().__init__()
        self._now = START_MONOTONIC_S
        self._selector = _Jump(self)
        self._ties = random.Random(f"ties/{ties}") if ties is not None else None
        self._still = 0
        self._last = 0.0
        self.network: Wires | None = None
        self.failures: list[str] = []  # what the loop was told of, as "process: what"
        self.failed: list[tuple[str, BaseException]] = []
        self.over = False  # what is collected after the end may still call
        self.set_exception_handler(self._told)
        self.set_task_factory(self._task)  # type: ignore[arg-type]

    # The clock

    def time(self) -> float:
        return self._now

    def jump(self, timeout: float | None) -> None:
        if timeout is None:
            raise DeadlockError("nothing is left to happen; " + self.describe_waiting())
        if timeout <= 0:
            self._still += 1
            if self._still > MAX_STEPS_AT_ONE_TIME:
                raise LivelockError(f"time stands at {self._now - START:.6f} s; " + self.describe_ready())
            return
        self._still = 0
        self._now += timeout
        scheduled: list[Any] = self._scheduled  # type: ignore[attr-defined]
        if scheduled:  # exactly there: a sum of floats may fall short of it and spin
            self._now = max(self._now, min(scheduled[0].when(), self._now + TIE_BREAK_S))

    def describe_waiting(self) -> str:
        """Each pending task with its process and the line at which it waits."""
        found: Counter[str] = Counter()
        for task in asyncio.all_tasks(self):
            found[f"{getattr(task, 'process', 'world')} in {_innermost(task)}"] += 1
        return "waiting: " + ("; ".join(f"{n} x {what}" for what, n in sorted(found.items())) or "nobody")

    def describe_ready(self) -> str:
        ready: list[Any] = list(self._ready)[:50]  # type: ignore[attr-defined]
        found = Counter(repr(handle) for handle in ready)
        return "ready: " + "; ".join(f"{n} x {what}" for what, n in found.most_common(5))

    # Whatever is scheduled belongs to the process that scheduled it

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: Context | None = None) -> asyncio.Handle:
        if self.over:
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
        return self.call_soon(callback, *args, context=context)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self._now + delay, callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        if self.over:
            return asyncio.TimerHandle(when, callback, args, self, context)
        if self._ties is not None:  # which of two timers of one instant comes first is promised to no one
            when += self._ties.random() * TIE_BREAK_S
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        cell: list[Any] = []
        handle = super().call_at(when, process.run, callback, args, cell, context=context)
        cell.append(handle)
        return handle

    @staticmethod
    def _task(
        loop: asyncio.AbstractEventLoop, coro: Coroutine[Any, Any, Any], context: Context | None = None
    ) -> asyncio.Task[Any]:
        task = asyncio.Task(coro, loop=loop, context=context)
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is not None:
            task.process = process.name  # type: ignore[attr-defined]
            # a pending task of a dead process must not be collected: that would run its `finally`
            process.tasks[task] = None
            task.add_done_callback(process.tasks.pop)
        return task

    def _told(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        process = CURRENT_PROCESS.get()
        name = process.name if process is not None else "world"
        error = context.get("exception")
        self.failures.append(f"{name}: {context.get('message')}: {error!r}")
        if isinstance(error, BaseException):
            self.failed.append((name, error))

    # What a selector loop would do with the system

    def _write_to_self(self) -> None:
        pass

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def run_in_executor(self, executor: Any, func: Callable[..., Any], *args: Any) -> asyncio.Future[Any]:
        """At once and in place: a thread would bring back the machine's own order."""
        future: asyncio.Future[Any] = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:
            future.set_exception(error)
        return future

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:
        process = CURRENT_PROCESS.get()
        if process is not None:
            process.handlers[sig] = (callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        process = CURRENT_PROCESS.get()
        return process is not None and process.handlers.pop(sig, None) is not None

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        assert self.network is not None
        return self.network.listen(protocol_factory, str(host), int(port or 0), more.get("backlog", 100))

    async def create_unix_server(self, protocol_factory: Any, path: Any = None, **more: Any) -> Any:
        assert self.network is not None
        sock = more.get("sock")
        if sock is not None:
            path = sock.getsockname()
            sock.close()  # its name stays in the file system, as a listener's would
        return self.network.listen_unix(protocol_factory, str(path), more.get("backlog", 100))

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        assert self.network is not None
        return await self.network.connect(protocol_factory, str(host), int(port))

    async def create_unix_connection(self, protocol_factory: Any, path: Any = None, **more: Any) -> Any:
        assert self.network is not None
        return await self.network.connect_unix(protocol_factory, str(path))

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, remote_addr: Any = None, **more: Any
    ) -> Any:
        assert self.network is not None
        return self.network.datagrams(protocol_factory, local_addr, remote_addr)

    async def getaddrinfo(self, host: Any, port: Any, **more: Any) -> list[Any]:
        import socket

        return [(socket.AF_INET, socket.SOCK_STREAM, 6, "", (host, port))]

    def discard_pending(self) -> None:
        """Ends without running what is pending: the simulation is over, and nothing of it may act any more."""
        self.over = True
        self._ready.clear()  # type: ignore[attr-defined]
        scheduled: list[Any] = self._scheduled  # type: ignore[attr-defined]
        scheduled.clear()
        heapq.heapify(scheduled)
        for task in asyncio.all_tasks(self):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        self.set_exception_handler(lambda loop, context: None)


def _innermost(task: asyncio.Task[Any]) -> str:
    """The line of ours that a task waits at, whatever of asyncio's stands between."""
    at: str = "not begun"
    coro: Any = task.get_coro()
    while coro is not None:
        frame = getattr(coro, "cr_frame", None) or getattr(coro, "ag_frame", None)
        if frame is not None and "asyncio" not in frame.f_code.co_filename:
            at = f"{frame.f_code.co_qualname}:{frame.f_lineno}"
        coro = getattr(coro, "cr_await", None) or getattr(coro, "ag_await", None)
    return at
