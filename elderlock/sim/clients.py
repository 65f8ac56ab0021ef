"""The clients at the shells level: the load generator's schedule, connections and behavior on virtual sockets."""

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

PING_INTERVAL_S, PING_TIMEOUT_S = 0.3, 2.0

# Called with a request, its outcome, and the ms from its intended start to its end
Finished = Callable[[Request, str, float], None]


class HoardingPool(Pool):
    """The connections of many clients, some of which send one request and keep their connection open forever."""

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool, unless its client hoards it."""
        clients = self.engine
        assert isinstance(clients, Clients)
        if clients.hoard and connection.is_usable() and clients.rng.random() < clients.hoard:
            clients.count("hoarded")
        else:
            super().release(connection)


class Clients:
    """All clients of a run.

    Attributes:
        loop: The event loop.
        rng: The source of randomness.
        front: The limiters' addresses and health.
        counts: Counts of requests, retries, attempts and outcomes.
        open: The requests that have not ended.
        arrivals_done: Whether the schedule has ended.
        hoard: The share of requests whose client now keeps its connection.
        silent: The connections that never send anything.
    """

    def __init__(
        self,
        scenario: Scenario,
        addresses: list[tuple[str, int]],
        arrivals: Iterator[Arrival],
        rng: random.Random,
        finished: Finished,
    ) -> None:
        """Creates the clients.

        Args:
            scenario: The scenario.
            addresses: The addresses of the limiters.
            arrivals: The requests in order of time.
            rng: The source of randomness.
            finished: Called once for each request when it ends.
        """
        self.loop = asyncio.get_running_loop()
        self._scenario, self._arrivals, self.rng, self._finished = scenario, arrivals, rng, finished
        traffic = scenario.traffic(0)
        behaviors = [traffic.clients_of(number) for number in range(max(1, len(scenario.stream)))]
        self._ways = [ClientPolicy(clients) for clients in behaviors]
        self._marks_retries = [clients.marks_retries for clients in behaviors]
        self._addresses = addresses
        self.front = TargetSelector(len(addresses), PING_TIMEOUT_S)
        self._pools = [
            [
                HoardingPool(self, self.loop, at, clients.connections == "keep", clients.most_connections, True)
                for at in addresses
            ]
            for clients in behaviors
        ]
        self.counts: Counter[str] = Counter()
        self.open: dict[Request, None] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._last_number = 0
        self._started_us = 0
        self.arrivals_done = False
        self.hoard = 0.0
        self._last_arrival: Arrival | None = None
        self.silent: list[Any] = []

    def start(self) -> None:
        """Starts the schedule."""
        self._started_us = now_us()
        for target in range(len(self._addresses)):
            self._create_task(
                run_health_check(self.front, target, self._addresses[target], PING_INTERVAL_S, PING_TIMEOUT_S)
            )
        self._create_task(self._send())

    def _create_task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    async def _send(self) -> None:
        for arrival in self._arrivals:
            wait = (self._started_us + arrival.at - now_us()) / 1e6
            if wait > 0:
                await asyncio.sleep(wait)
            self._launch(arrival)
        self.arrivals_done = True

    async def rush(self, rate: float, lasts: float) -> None:
        """Sends `rate` additional requests per second for `lasts` s, each a copy of the latest request."""
        ends = self.loop.time() + lasts
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.loop.time() >= ends or self.arrivals_done:
                return
            if self._last_arrival is not None:
                self._launch(self._last_arrival)

    async def silent_crowd(self, rate: float, lasts: float) -> None:
        """Opens `rate` connections per second for `lasts` s.

        They send nothing and stay open until the limiter closes them.
        """
        ends = self.loop.time() + lasts
        while self.loop.time() < ends:
            await asyncio.sleep(self.rng.expovariate(rate))
            self._create_task(self._keep_silent_connection(self.rng.choice(self._addresses)))

    async def _keep_silent_connection(self, at: tuple[str, int]) -> None:
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
        """Stops all clients; needed on a real event loop, which continues to run."""
        self.arrivals_done = True
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

    # A request, handled as the load generator's worker does

    def _launch(self, arrival: Arrival) -> None:
        self._last_number += 1
        self._last_arrival = arrival
        request = Request(self._last_number, arrival, now_us(), arrival.stream)
        self.open[request] = None
        self.counts["offered"] += 1
        if arrival.leaves_after_us:
            request.departure_timer = self.loop.call_later(arrival.leaves_after_us / 1e6, self._leave, request)
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
        """Returns the parameters of the present attempt as the limiter's protocol encodes them."""
        arrival = request.arrival
        time_left = self._ways[request.policy_index].attempt_timeout_ms(
            arrival.deadline, (request.written_at_us - request.intended_start_us) / 1000.0
        )
        retry_mark = b",r=1" if request.attempts > 1 and self._marks_retries[request.policy_index] else b""
        return b"c=%b,t=%b,units=%b,spread=%d,first=%d,d=%d%b" % (
            arrival.class_name.encode(),
            arrival.plan.encode(),
            f"{arrival.units:g}".encode(),
            arrival.spread,
            arrival.first,
            max(1, int(time_left)),
            retry_mark,
        )

    def on_request_written(self, request: Request) -> None:
        """Records that the present attempt was sent."""
        request.was_sent = True
        self.counts["tries"] += 1

    def on_attempt_ended(self, request: Request, outcome: str, advice: float | None = None) -> None:
        """Handles the end of an attempt: retries the request, or ends it.

        Args:
            request: The request.
            outcome: The outcome of the attempt.
            advice: The limiter's advice when to retry, in ms; None if it gave none.
        """
        if not request.is_active:
            return
        request.is_active = False
        if request.timeout_timer is not None:
            request.timeout_timer.cancel()
            request.timeout_timer = None
        request.outcome = combined_outcome(request.outcome, outcome, request.was_sent, request.written_at_us > 0)
        arrival, waited = request.arrival, (now_us() - request.intended_start_us) / 1000.0
        retry = None
        if outcome not in FINAL:
            retry = self._ways[request.policy_index].next_retry(
                outcome, advice, request.attempts, arrival.honours_retry_after, waited, arrival.deadline, self.rng
            )
        if retry is None:
            return self._finish(request, request.outcome)
        request.retry_timer = self.loop.call_later(retry.wait_ms / 1000.0, self._try, request)

    def _timed_out(self, request: Request) -> None:
        request.timeout_timer = None
        if request.connection is not None:
            request.connection.give_up(client_left=False)
            request.connection = None
        self.on_attempt_ended(request, "timeout")

    def _leave(self, request: Request) -> None:
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
        """Increments a count."""
        self.counts[name] += 1

    def on_connected(self, took_us: int) -> None:
        """Ignores that a connection was opened."""
        pass

    def on_out_of_descriptors(self) -> None:
        """Counts an attempt that found no free file descriptor."""
        self.counts["descriptors"] += 1
