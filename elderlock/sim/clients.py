"""The clients on the shells' floor: the load generator's schedule, front, connections and manners, on virtual
sockets."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from elderlock.load.client_policy import FINAL, ClientPolicy, combined_outcome
from elderlock.load.clock import now_us
from elderlock.load.health_check import run_health_check
from elderlock.load.resp_client import Connection, Pool, Request
from elderlock.load.schedule import Arrival
from elderlock.load.targets import TargetSelector
from elderlock.sim.scenario import Scenario

PING_EVERY, PING_WITHIN = 0.3, 2.0  # s
OVER = 1.0  # s after the longest deadline

Finished = Callable[[Request, str, float], None]


class HoardingPool(Pool):
    """Connections of many clients, some of which ask once and keep theirs for good, used by nobody."""

    def release(self, connection: Connection) -> None:
        clients = self.engine
        assert isinstance(clients, Clients)
        if clients.hoard and connection.is_usable() and clients.rng.random() < clients.hoard:
            clients.count("hoarded")
        else:
            super().release(connection)


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
        self._ways = [ClientPolicy(clients) for clients in manners]
        self._marks = [clients.marks_retries for clients in manners]
        self._addresses = addresses
        self.front = TargetSelector(len(addresses), PING_WITHIN)
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
        self.dry = False
        self.hoard = 0.0  # share of those asked just now whose client keeps its connection
        self._last: Arrival | None = None
        self.silent: list[Any] = []  # connections that say nothing

    def start(self) -> None:
        """The schedule begins now."""
        self._begun = now_us()
        for target in range(len(self._addresses)):
            self._task(run_health_check(self.front, target, self._addresses[target], PING_EVERY, PING_WITHIN))
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
        self.dry = True

    async def rush(self, rate: float, lasts: float) -> None:
        """As many requests a second more, like those of the schedule."""
        ends = self.loop.time() + lasts
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.loop.time() >= ends or self.dry:
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
        self.dry = True
        for task in self._tasks:
            task.cancel()
        for request in list(self.open):
            request.is_active = False
            for timer in (request.timeout_timer, request.departure_timer, request.retry_timer):
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
        if arrival.leaves_after_us:
            request.departure_timer = self.loop.call_later(arrival.leaves_after_us / 1e6, self._leaves, request)
        self._try(request)

    def _try(self, request: Request) -> None:
        request.retry_timer = None
        if request.is_finished:
            return
        arrival, now = request.arrival, now_us()
        request.attempts += 1
        request.written_at_us, request.was_resent, request.connection, request.is_active = 0, False, None, True
        patience = self._ways[request.policy_index].attempt_timeout_ms(
            arrival.deadline, (now - request.intended_start_us) / 1000.0
        )
        target = self.front.choose(arrival.spread, arrival.first, self.rng)
        if target is None or patience <= 0.0:
            return self.on_attempt_ended(request, "nowhere" if target is None else "timeout")
        request.target = target
        self.counts["retries"] += request.attempts > 1
        request.id = b"q%d-%d" % (request.number, request.attempts)
        request.timeout_timer = self.loop.call_later(patience / 1000.0, self._timed_out, request)
        self._pools[request.policy_index][target].send(request)

    def request_terms(self, request: Request) -> bytes:
        a = request.arrival
        left = self._ways[request.policy_index].attempt_timeout_ms(
            a.deadline, (request.written_at_us - request.intended_start_us) / 1000.0
        )
        marked = b",r=1" if request.attempts > 1 and self._marks[request.policy_index] else b""
        return b"c=%b,t=%b,units=%b,spread=%d,first=%d,d=%d%b" % (
            a.class_name.encode(),
            a.plan.encode(),
            f"{a.units:g}".encode(),
            a.spread,
            a.first,
            max(1, int(left)),
            marked,
        )

    def on_request_written(self, request: Request) -> None:
        request.was_sent = True
        self.counts["tries"] += 1

    def on_attempt_ended(self, request: Request, outcome: str, advice: float | None = None) -> None:
        if not request.is_active:
            return
        request.is_active = False
        if request.timeout_timer is not None:
            request.timeout_timer.cancel()
            request.timeout_timer = None
        request.outcome = combined_outcome(request.outcome, outcome, request.was_sent, request.written_at_us > 0)
        arrival, waited = request.arrival, (now_us() - request.intended_start_us) / 1000.0
        again = None
        if outcome not in FINAL:
            way = self._ways[request.policy_index]
            again = way.next_retry(
                outcome, advice, request.attempts, arrival.honours_retry_after, waited, arrival.deadline, self.rng
            )
        if again is None:
            return self._finish(request, request.outcome)
        request.retry_timer = self.loop.call_later(again.wait_ms / 1000.0, self._try, request)

    def _timed_out(self, request: Request) -> None:
        request.timeout_timer = None
        if request.connection is not None:
            request.connection.give_up(client_left=False)
            request.connection = None
        self.on_attempt_ended(request, "timeout")

    def _leaves(self, request: Request) -> None:
        if not request.is_finished:
            if request.connection is not None:
                request.connection.give_up(client_left=True)
                request.connection = None
            self._finish(request, "left")

    def _finish(self, request: Request, outcome: str) -> None:
        request.is_finished, request.is_active = True, False
        for timer in (request.timeout_timer, request.departure_timer, request.retry_timer):
            if timer is not None:
                timer.cancel()
        self.open.pop(request, None)
        self.counts[outcome] += 1
        self._finished(request, outcome, (now_us() - request.intended_start_us) / 1000.0)

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def on_connected(self, took_us: int) -> None:
        pass

    def on_out_of_descriptors(self) -> None:
        self.counts["descriptors"] += 1
