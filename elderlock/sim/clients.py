"""The clients on the shells' floor: the load generator's schedule, front, connections and manners, on virtual
sockets."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from elderlock.load.clientele import FINAL, Way, reason
from elderlock.load.clock import now_us
from elderlock.load.pinging import ping
from elderlock.load.schedule import Arrival
from elderlock.load.targets import Front
from elderlock.load.wire import Connection, Pool, Request
from elderlock.sim.scenario import Scenario

PING_EVERY, PING_WITHIN = 0.3, 2.0  # s
OVER = 1.0  # s after the longest deadline

Finished = Callable[[Request, str, float], None]


class HoardingPool(Pool):
    """Connections of many clients, some of which ask once and keep theirs for good, used by nobody."""

    def free(self, connection: Connection) -> None:
        clients = self.engine
        assert isinstance(clients, Clients)
        if clients.hoard and connection.usable() and clients.rng.random() < clients.hoard:
            clients.count("hoarded")
        else:
            super().free(connection)


class Clients:
    """`finished` hears of each request's end once: how, and after how long (ms) from its intended start."""

    def __init__(
        self,
        scenario: Scenario,
        addresses: list[tuple[str, int]],
        arrivals: Iterator[Arrival],
        rng: random.Random,
        finished: Finished,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self._scenario, self._arrivals, self.rng, self._finished = scenario, arrivals, rng, finished
        traffic = scenario.traffic(0)
        manners = [traffic.clients_of(number) for number in range(max(1, len(scenario.stream)))]
        self._ways = [Way(clients) for clients in manners]
        self._marks = [clients.marks_retries for clients in manners]
        self._addresses = addresses
        self.front = Front(len(addresses), PING_WITHIN)
        self._pools = [
            [
                HoardingPool(self, self.loop, at, own.connections == "keep", own.most_connections, True)
                for at in addresses
            ]
            for own in manners
        ]
        self.counts: Counter[str] = Counter()
        self.open: dict[Request, None] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._number = 0
        self._begun = 0
        self.arrivals_done = False
        self.hoard = 0.0  # share of those asked just now whose client keeps its connection
        self._last: Arrival | None = None
        self.silent: list[Any] = []  # connections that say nothing

    def start(self) -> None:
        """The schedule begins now."""
        self._begun = now_us()
        for target in range(len(self._addresses)):
            self._task(ping(self.front, target, self._addresses[target], PING_EVERY, PING_WITHIN))
        self._task(self._send())

    def _task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    async def _send(self) -> None:
        for arrival in self._arrivals:
            wait = (self._begun + arrival.at - now_us()) / 1e6
            if wait > 0:
                await asyncio.sleep(wait)
            self._launch(arrival)
        self.arrivals_done = True

    async def rush(self, rate: float, lasts: float) -> None:
        """As many requests a second more, like those of the schedule."""
        ends = self.loop.time() + lasts
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.loop.time() >= ends or self.arrivals_done:
                return
            if self._last is not None:
                self._launch(self._last)

    async def silent_crowd(self, rate: float, lasts: float) -> None:
        """So many connections a second that never say a word, each kept until the limiter ends it."""
        ends = self.loop.time() + lasts
        while self.loop.time() < ends:
            await asyncio.sleep(self.rng.expovariate(rate))
            self._task(self._silent(self.rng.choice(self._addresses)))

    async def _silent(self, at: tuple[str, int]) -> None:
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection(*at)
        except (OSError, TimeoutError):
            return
        self.silent.append(writer)
        try:
            while await reader.read(1024):
                pass
        except OSError:
            pass
        finally:
            self.silent.remove(writer)
            writer.close()

    def close(self) -> None:
        """On a real loop, which outlives them."""
        self.arrivals_done = True
        for task in self._tasks:
            task.cancel()
        for request in list(self.open):
            request.active = False
            for timer in (request.timer, request.leave, request.again):
                if timer is not None:
                    timer.cancel()
        for pools in self._pools:
            for pool in pools:
                pool.close()

    # One request, as the load generator's worker has it

    def _launch(self, arrival: Arrival) -> None:
        self._number += 1
        self._last = arrival
        request = Request(self._number, arrival, now_us(), arrival.stream)
        self.open[request] = None
        self.counts["offered"] += 1
        if arrival.leaves:
            request.leave = self.loop.call_later(arrival.leaves / 1e6, self._leaves, request)
        self._try(request)

    def _try(self, request: Request) -> None:
        request.again = None
        if request.over:
            return
        arrival, now = request.arrival, now_us()
        request.tries += 1
        request.wrote, request.resent, request.connection, request.active = 0, False, None, True
        patience = self._ways[request.way].patience(arrival.deadline, (now - request.began) / 1000.0)
        target = self.front.choose(arrival.spread, arrival.first, self.rng)
        if target is None or patience <= 0.0:
            return self.ended(request, "nowhere" if target is None else "timeout")
        request.target = target
        self.counts["retries"] += request.tries > 1
        request.id = b"q%d-%d" % (request.number, request.tries)
        request.timer = self.loop.call_later(patience / 1000.0, self._timed_out, request)
        self._pools[request.way][target].send(request)

    def terms(self, request: Request) -> bytes:
        a = request.arrival
        left = self._ways[request.way].patience(a.deadline, (request.wrote - request.began) / 1000.0)
        marked = b",r=1" if request.tries > 1 and self._marks[request.way] else b""
        return b"c=%b,t=%b,units=%b,spread=%d,first=%d,d=%d%b" % (
            a.class_name.encode(),
            a.plan.encode(),
            f"{a.units:g}".encode(),
            a.spread,
            a.first,
            max(1, int(left)),
            marked,
        )

    def wrote(self, request: Request) -> None:
        request.sent = True
        self.counts["tries"] += 1

    def ended(self, request: Request, outcome: str, advice: float | None = None) -> None:
        if not request.active:
            return
        request.active = False
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None
        request.reason = reason(request.reason, outcome, request.sent, request.wrote > 0)
        arrival, waited = request.arrival, (now_us() - request.began) / 1000.0
        again = None
        if outcome not in FINAL:
            way = self._ways[request.way]
            again = way.after(outcome, advice, request.tries, arrival.honours, waited, arrival.deadline, self.rng)
        if again is None:
            return self._finish(request, request.reason)
        request.again = self.loop.call_later(again.wait / 1000.0, self._try, request)

    def _timed_out(self, request: Request) -> None:
        request.timer = None
        if request.connection is not None:
            request.connection.give_up(gone=False)
            request.connection = None
        self.ended(request, "timeout")

    def _leaves(self, request: Request) -> None:
        if not request.over:
            if request.connection is not None:
                request.connection.give_up(gone=True)
                request.connection = None
            self._finish(request, "left")

    def _finish(self, request: Request, outcome: str) -> None:
        request.over, request.active = True, False
        for timer in (request.timer, request.leave, request.again):
            if timer is not None:
                timer.cancel()
        self.open.pop(request, None)
        self.counts[outcome] += 1
        self._finished(request, outcome, (now_us() - request.began) / 1000.0)

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def dialled(self, took_us: int) -> None:
        pass

    def out_of_descriptors(self) -> None:
        self.counts["descriptors"] += 1
