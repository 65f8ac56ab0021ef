"""A worker process of the load generator, started as `python -m elderlock.load.worker`.

It sends its share of the schedule when it is due, independently of the answers (open loop), and reports its
measurements every second. The coordinator's messages arrive on standard input, and the worker's leave on standard
output. The worker exits as soon as its input ends.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
from array import array
from collections import Counter, deque
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from elderlock.control.framing import FrameDecoder, FrameError, encode_frame
from elderlock.fleet.config import address
from elderlock.load import messages
from elderlock.load.client_policy import FINAL, ClientPolicy, Retry, combined_outcome
from elderlock.load.clock import OneShotTimer, ProcessMonitor, now_us
from elderlock.load.health_check import run_health_check
from elderlock.load.lateness import ResourceUsage
from elderlock.load.resp_client import Pool, Request
from elderlock.load.scenario import Scenario
from elderlock.load.schedule import Arrival, schedule, worker_share
from elderlock.load.targets import TargetSelector
from elderlock.load.trace import Row, TraceError, TraceReplay, TraceWriter

LOOKAHEAD_ARRIVALS = 512  # arrivals that are computed before they are due
ARRIVALS_PER_TURN = 8  # computed in one turn of the loop, so that this delays no send for long
STALL_S = 0.02  # a gap of the loop after which the delayed sends are awaited before the interval is reported
FIRST_TARGET_TIMEOUT_S = 3.0  # the run starts without an available target after this time
GAP_CHECK_INTERVAL_S = 0.01  # interval of the timer that detects gaps of the event loop
MAXIMUM_CACHED_TERMS = 4096  # encoded names and values of requests
FORCED_END_S = 5.0  # requests still open this long after the longest deadline are ended
SENDS_PER_TURN = 64  # overdue sends in one turn of the loop
UINT32_MAX = (1 << 32) - 1


class Worker:
    """Sends one worker's share of the schedule. It implements `resp_client.Engine`.

    Attributes:
        loop: The event loop.
        job: The job from the coordinator.
        scenario: The scenario of the job.
        addresses: Host and port of each target.
        selector: Selects the targets of the requests.
        replay: The replay, if the scenario has one.
        rng: Source of the random choices that are not part of the schedule.
        finished: Set after the last interval was reported.
        counts: Events of the current interval by name.
    """

    def __init__(self, job: messages.Job, send_message: Callable[[messages.Message], None]) -> None:
        """Prepare the job.

        Args:
            job: The job from the coordinator.
            send_message: Sends a message to the coordinator.

        Raises:
            TraceError: The key of the replay is too short.
            OSError: A file cannot be opened.
            ModuleNotFoundError: The extra that the job needs is not installed.
        """
        self.loop = asyncio.get_running_loop()
        self.job, self.scenario, self._send_message = job, job.scenario, send_message
        scenario: Scenario = job.scenario
        self.addresses = [address(each) for each in scenario.targets.addresses]
        self.selector = TargetSelector(len(self.addresses), scenario.targets.silent_s)
        self.replay: TraceReplay | None = None
        if scenario.replay is not None:
            self.replay = TraceReplay(scenario.replay, job.key)
            arrivals = self.replay.arrivals(len(self.addresses))
        else:
            arrivals = schedule(scenario, len(self.addresses))
        self._remaining: Iterator[tuple[int, Arrival]] = worker_share(arrivals, job.worker, job.workers)
        self._upcoming: deque[tuple[int, Arrival]] = deque()
        self._is_exhausted = False
        self.rng = random.Random(f"{scenario.seed}/worker/{job.worker}")
        self._run_id = os.urandom(4).hex().encode()
        stream_clients = [scenario.clients_of(number) for number in range(max(1, len(scenario.stream)))]
        self._policies = [ClientPolicy(clients) for clients in stream_clients]
        self._marks_retries = [clients.marks_retries for clients in stream_clients]
        self._pools: list[list[Pool]] = []
        self._grpc_client: Any = None
        if scenario.targets.kind == "grpc":
            from elderlock.load.grpc_client import GrpcClient

            self._grpc_client = GrpcClient(self, self.loop, self.addresses)
            self.selector.available = [True] * len(self.addresses)
        else:
            pools_by_clients: dict[Any, list[Pool]] = {}
            for clients in stream_clients:
                if clients not in pools_by_clients:
                    keep, maximum = clients.connections == "keep", clients.most_connections
                    pools_by_clients[clients] = [
                        Pool(self, self.loop, address, keep, maximum, scenario.truth.verify)
                        for address in self.addresses
                    ]
                self._pools.append(pools_by_clients[clients])
        self._trace = TraceWriter(Path(job.trace_to)) if job.trace_to else None
        self._cached_terms: dict[tuple[str, str, float, int, int], bytes] = {}
        self._monitor = ProcessMonitor()
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_at_us = 0
        self._open: set[Request] = set()
        self._open_sent = 0
        self._is_stopped = self._has_ended = False
        self.finished = asyncio.Event()
        self._interval_number = 0
        self._has_waited_for_sends = False
        self._stalled_until_us = 0
        self._interval_start_s = 0.0
        self._reset_interval()
        self._gap_ms = self._gap_cpu_ms = 0.0
        self._reported_cpu_ms = self._reported_wait_ms = self._gap_check_cpu_ms = 0.0
        self._reported_preempted = 0
        self._error_messages: dict[str, str] = {}
        self._timer = OneShotTimer(self.loop, self._send_due)
        self._duration_us = scenario.for_s * 1e6

    def _reset_interval(self) -> None:
        self.counts: Counter[str] = Counter()
        self._late = array("I")
        self._samples: dict[tuple[str, str, str, int], tuple[array[int], array[int]]] = {}
        self._descriptor_failures = self._connects = self._slow_connects = 0
        self._slowest_connect_ms = 0.0
        self._gap_ms = self._gap_cpu_ms = 0.0

    # Start and stop

    async def ready(self) -> None:
        """Start the health checks and wait until a target is available, or until the timeout."""
        if self._grpc_client is None:
            targets = self.scenario.targets
            for target in range(len(self.addresses)):
                self._start_task(
                    run_health_check(self.selector, target, self.addresses[target], targets.ping_s, targets.silent_s)
                )
            try:
                async with asyncio.timeout(FIRST_TARGET_TIMEOUT_S):
                    while not any(self.selector.available):
                        await asyncio.sleep(0.01)
            except TimeoutError:
                pass  # the health checks continue during the run
        self._draw(LOOKAHEAD_ARRIVALS)

    def start(self, at: int) -> None:
        """Start the schedule at a time of `now_us`."""
        gc.collect()
        gc.freeze()  # the objects of the startup live until the end, so the collector need not visit them
        self._started_at_us = at
        self._reported_cpu_ms, self._reported_wait_ms = self._monitor.cpu_ms(), self._monitor.wait_ms()
        self._reported_preempted, self._gap_check_cpu_ms = self._monitor.preempted(), self._reported_cpu_ms
        self.loop.call_at(self.loop.time() + (at - now_us()) / 1e6 + 1.0, self._end_second)
        self._gap_checked_at_us = now_us()
        self._check_gap_periodically()
        self._set_timer()

    def stop(self, now: bool) -> None:
        """Offer no more requests; `now` also ends those in flight."""
        self._is_stopped = True
        self._upcoming.clear()
        if now:
            for request in list(self._open):
                self._finish(request, "left" if request.was_sent else "ended")
        self._set_timer()

    def _start_task(self, coroutine: Any) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # The schedule

    def _draw(self, count: int) -> None:
        if self._is_exhausted or self._is_stopped:
            return
        try:
            for _ in range(count):
                self._upcoming.append(next(self._remaining))
        except StopIteration:
            self._is_exhausted = True
        except (TraceError, OSError) as error:
            self._is_exhausted = True
            self._error_messages["stop"] = f"the replay stopped: {error}"
            self._send_message(messages.Failed(f"the trace cannot be used: {error}"))

    def _set_timer(self) -> None:
        if self._upcoming:
            return self._timer.set(self._started_at_us + self._upcoming[0][1].at)
        self._draw(ARRIVALS_PER_TURN)
        if self._upcoming:
            self._timer.set(self._started_at_us + self._upcoming[0][1].at)
        elif not self._has_ended and not self._open:
            self._end()
        elif not self._has_ended:
            # No more requests are offered. Those in flight end by their own timers, and after this time in any case.
            longest_ms = max(self.scenario.longest_deadline(), max(r.arrival.deadline for r in self._open))
            self.loop.call_later(longest_ms / 1000.0 + FORCED_END_S, self.stop, True)

    def _send_due(self) -> None:
        now = now_us()
        upcoming, started_at_us = self._upcoming, self._started_at_us
        # A worker that is behind must not send everything overdue in one turn of the loop. Until it had caught up, it
        # would read no answers, open no connections and report no intervals, and the coordinator would give it up as
        # lost (seen with 60,000 overdue sends and the limit of 10 s of silence).
        for _ in range(SENDS_PER_TURN):
            if not upcoming or started_at_us + upcoming[0][1].at > now:
                break
            number, arrival = upcoming.popleft()
            self._launch(number, arrival, started_at_us + arrival.at, now)
            now = now_us()
            if not upcoming:
                self._draw(ARRIVALS_PER_TURN)
        if len(upcoming) < LOOKAHEAD_ARRIVALS:
            self.loop.call_soon(self._draw, ARRIVALS_PER_TURN)
        self._set_timer()

    def _launch(self, number: int, arrival: Arrival, intended_start_us: int, now: int) -> None:
        self.counts["offered"] += 1
        late_us = now - intended_start_us
        self._late.append(late_us if 0 < late_us < UINT32_MAX else 0 if late_us <= 0 else UINT32_MAX)
        latest_us = self._started_at_us + self._duration_us + self.scenario.truth.late_most_ms * 1000.0
        if self._duration_us and now > latest_us:
            self.counts["overdue"] += 1
        if self._trace is not None:
            self._record(arrival)
        request = Request(number, arrival, intended_start_us, arrival.stream)
        self._open.add(request)
        if arrival.leaves_after_us:
            request.departure_timer = self.loop.call_later(
                max(0.0, (arrival.leaves_after_us - late_us) / 1e6), self._on_client_left, request
            )
        self._start_attempt(request, now)

    def _record(self, arrival: Arrival) -> None:
        assert self._trace is not None
        row = Row(
            arrival.at,
            arrival.account,
            arrival.plan,
            arrival.class_name,
            arrival.units,
            arrival.deadline,
            arrival.spread,
            arrival.first,
        )
        try:
            self._trace.write(row)
        except OSError as error:
            self._trace = None  # the run goes on without its trace, and the report says that the trace is incomplete
            self._error_messages["record"] = f"the trace ends {arrival.at / 1e6:.1f} s into the run: {error}"

    # One request

    def _start_attempt(self, request: Request, now: int) -> None:
        request.retry_timer = None
        arrival = request.arrival
        elapsed_ms = (now - request.intended_start_us) / 1000.0
        request.attempts += 1
        request.written_at_us, request.was_resent, request.connection = 0, False, None
        request.is_active = True
        timeout_ms = self._policies[request.policy_index].attempt_timeout_ms(arrival.deadline, elapsed_ms)
        if timeout_ms <= 0.0:
            # The deadline passed before the attempt started. That is the generator's fault, and its own outcome.
            return self.on_attempt_ended(request, "backlog")
        target = self.selector.choose(arrival.spread, arrival.first, self.rng)
        if target is None:
            return self.on_attempt_ended(request, "nowhere")
        request.target = target
        if request.attempts > 1:
            self.counts["retries"] += 1
        request.id = b"%b-%x-%x" % (self._run_id, request.number, request.attempts)
        request.timeout_timer = self.loop.call_later(timeout_ms / 1000.0, self._on_timeout, request)
        if self._grpc_client is not None:
            self._grpc_client.send(request, timeout_ms)
        else:
            self._pools[request.policy_index][target].send(request)

    def request_terms(self, request: Request) -> bytes:
        """Return the request's names and values for the wire, with the time that is left of its deadline."""
        arrival = request.arrival
        key = (arrival.class_name, arrival.plan, arrival.units, arrival.spread, arrival.first)
        terms = self._cached_terms.get(key)
        if terms is None:
            if len(self._cached_terms) >= MAXIMUM_CACHED_TERMS:
                self._cached_terms.clear()  # a trace may contain any number of different units
            terms = self._cached_terms[key] = b"c=%b,t=%b,units=%b,spread=%d,first=%d,d=" % (
                arrival.class_name.encode(),
                arrival.plan.encode(),
                f"{arrival.units:g}".encode(),
                arrival.spread,
                arrival.first,
            )
        elapsed_ms = (request.written_at_us - request.intended_start_us) / 1000.0
        policy = self._policies[request.policy_index]
        remaining_ms = max(1, int(policy.attempt_timeout_ms(arrival.deadline, elapsed_ms)))
        retry_mark = b",r=1" if request.attempts > 1 and self._marks_retries[request.policy_index] else b""
        return b"%b%d%b" % (terms, remaining_ms, retry_mark)

    def on_request_written(self, request: Request) -> None:
        """Record that the current attempt was written."""
        if not request.was_sent:
            request.was_sent = True
            self.counts["sent"] += 1
            self._open_sent += 1
        self.counts["tries"] += 1

    def on_attempt_ended(self, request: Request, outcome: str, advice: float | None = None) -> None:
        """Record the outcome of the current attempt, and retry or finish the request.

        Later events of the same attempt are ignored.

        Args:
            request: The request.
            outcome: Outcome of the attempt.
            advice: Wait in ms that the limiter advised with a refusal, or None.
        """
        if not request.is_active:
            return
        request.is_active = False
        if request.timeout_timer is not None:
            request.timeout_timer.cancel()
            request.timeout_timer = None
        request.outcome = combined_outcome(request.outcome, outcome, request.was_sent, request.written_at_us > 0)
        arrival, now = request.arrival, now_us()
        retry: Retry | None = None
        if outcome not in FINAL and not self._has_ended:
            retry = self._policies[request.policy_index].next_retry(
                outcome,
                advice,
                request.attempts,
                arrival.honours_retry_after,
                (now - request.intended_start_us) / 1000.0,
                arrival.deadline,
                self.rng,
            )
        if retry is None:
            return self._finish(request, request.outcome)
        request.retry_timer = self.loop.call_later(retry.wait_ms / 1000.0, self._retry, request)

    def _retry(self, request: Request) -> None:
        if not request.is_finished:
            self._start_attempt(request, now_us())

    def _on_timeout(self, request: Request) -> None:
        request.timeout_timer = None
        was_written = request.written_at_us > 0
        if request.connection is not None:
            request.connection.give_up(client_left=False)
            request.connection = None
        self.on_attempt_ended(request, "timeout" if was_written else "backlog")

    def _on_client_left(self, request: Request) -> None:
        if request.is_finished:
            return
        if request.connection is not None:
            request.connection.give_up(client_left=True)
            request.connection = None
        self._finish(request, "left" if request.was_sent else "ended")

    def _finish(self, request: Request, outcome: str) -> None:
        request.is_finished, request.is_active = True, False
        for timer in (request.timeout_timer, request.departure_timer, request.retry_timer):
            if timer is not None:
                timer.cancel()
        self._open.discard(request)
        self._open_sent -= request.was_sent
        now = now_us()
        arrival = request.arrival
        key = (outcome, arrival.plan, arrival.group, request.target)
        pair = self._samples.get(key)
        if pair is None:
            pair = self._samples[key] = (array("I"), array("I"))
        pair[0].append(min(max(now - request.intended_start_us, 0), UINT32_MAX))
        if request.written_at_us:
            pair[1].append(min(now - request.written_at_us, UINT32_MAX))
        if not self._open and not self._upcoming and not self._has_ended:
            self._set_timer()

    # Events of the connections

    def count(self, name: str) -> None:
        """Count an event in the current interval."""
        self.counts[name] += 1

    def on_connected(self, took_us: int) -> None:
        """Record the time that a new connection took to open."""
        self._connects += 1
        took_ms = took_us / 1000.0
        self._slowest_connect_ms = max(self._slowest_connect_ms, took_ms)
        self._slow_connects += took_ms > self.scenario.truth.connect_ms

    def on_out_of_descriptors(self) -> None:
        """Record that a connection failed for lack of descriptors or ports."""
        self._descriptor_failures += 1

    # Reports to the coordinator

    def _check_gap_periodically(self) -> None:
        if self._has_ended:
            return
        self._check_gap()
        self.loop.call_later(GAP_CHECK_INTERVAL_S, self._check_gap_periodically)

    def _check_gap(self) -> None:
        now, cpu_ms = now_us(), self._monitor.cpu_ms()
        gap_ms = (now - self._gap_checked_at_us) / 1000.0 - GAP_CHECK_INTERVAL_S * 1000.0
        if gap_ms > self._gap_ms:
            self._gap_ms, self._gap_cpu_ms = gap_ms, cpu_ms - self._gap_check_cpu_ms
        if gap_ms > STALL_S * 1000.0:
            self._stalled_until_us = now
        self._gap_checked_at_us, self._gap_check_cpu_ms = now, cpu_ms

    def _end_second(self) -> None:
        if self._has_ended:
            return
        self._check_gap()
        if now_us() - self._stalled_until_us < 2e6 * GAP_CHECK_INTERVAL_S and not self._has_waited_for_sends:
            # The loop has just stalled. The sends that the stall delayed belong to the interval that reports it, but
            # the loop runs timers such as this one before it reads descriptors such as the send timer's.
            self._has_waited_for_sends = True
            self.loop.call_later(2.0 * GAP_CHECK_INTERVAL_S, self._end_second)
            return
        self._has_waited_for_sends = False
        self._report_interval(last=False)
        # Wait for the next whole second of the run; the loop's timers may fire up to a millisecond early.
        next_second_s = self._interval_number + 1.0
        self.loop.call_later(max(0.0, next_second_s - (now_us() - self._started_at_us) / 1e6), self._end_second)

    def _report_interval(self, last: bool) -> None:
        end_s = max((now_us() - self._started_at_us) / 1e6, self._interval_start_s)
        cpu_ms, wait_ms, preempted = self._monitor.cpu_ms(), self._monitor.wait_ms(), self._monitor.preempted()
        usage = ResourceUsage(
            (end_s - self._interval_start_s) * 1000.0,
            cpu_ms - self._reported_cpu_ms,
            wait_ms - self._reported_wait_ms,
            self._gap_ms,
            self._gap_cpu_ms,
            preempted - self._reported_preempted,
            self._descriptor_failures,
            self._connects,
            self._slow_connects,
            self._slowest_connect_ms,
        )
        self._reported_cpu_ms, self._reported_wait_ms, self._reported_preempted = cpu_ms, wait_ms, preempted
        changes = [
            (at - self._started_at_us / 1e6, target, is_available) for at, target, is_available in self.selector.changes
        ]
        self.selector.changes.clear()
        trace_faults = self.replay.faults if self.replay is not None else Counter[str]()
        error_messages = self._error_messages | (self.replay.first_errors if self.replay is not None else {})
        samples = [messages.Sample(*key, pair[0].tobytes(), pair[1].tobytes()) for key, pair in self._samples.items()]
        self._send_message(
            messages.Interval(
                self.job.worker,
                self._interval_number,
                self._interval_start_s,
                end_s,
                dict(self.counts),
                samples,
                self._late.tobytes(),
                usage,
                len(self._open),
                self._open_sent,
                self._monitor.rss_kb(),
                dict(trace_faults),
                error_messages,
                changes,
                last,
            )
        )
        # A worker that stalled for seconds reports one long interval; the next number is again the run's second.
        self._interval_start_s = end_s
        self._interval_number = max(self._interval_number + 1, int(end_s + 0.5))
        self._reset_interval()

    def _end(self) -> None:
        self._has_ended = True
        if self._trace is not None:
            try:
                self._trace.close()
            except OSError as error:
                self._error_messages["record"] = f"the trace is incomplete: {error}"
        self._report_interval(last=True)
        self.finished.set()

    async def close(self) -> None:
        """Release all timers, tasks and connections."""
        self._has_ended = True
        self._timer.close()
        for task in self._tasks:
            task.cancel()
        for pool in {id(pool): pool for pools in self._pools for pool in pools}.values():
            pool.close()
        if self._grpc_client is not None:
            await self._grpc_client.close()


class _InputProtocol(asyncio.Protocol):
    """Decodes the coordinator's messages; `on_end` is called at the end of the input and after a malformed frame."""

    def __init__(self, on_message: Callable[[messages.ToWorker], None], on_end: Callable[[], None]) -> None:
        self._on_message, self._on_end = on_message, on_end
        self._decoder = FrameDecoder(messages.MAXIMUM_MESSAGE_BYTES)

    def data_received(self, data: bytes) -> None:
        try:
            for body in self._decoder.feed(data):
                self._on_message(messages.decode_to_worker(body))
        except (FrameError, msgspec.DecodeError) as error:
            print(f"elderlock: worker: malformed message from the coordinator: {error}", file=sys.stderr)
            self._on_end()

    def connection_lost(self, exc: Exception | None) -> None:
        self._on_end()


class _OutputProtocol(asyncio.BaseProtocol):
    """The pipe to the coordinator; `closed` is set once all is written to it, or the coordinator has closed its end."""

    def __init__(self) -> None:
        self.closed = asyncio.Event()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed.set()


async def work() -> int:
    """Serve one coordinator and return the exit status: 0 after the whole job, 1 if the input ended before that."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # the coordinator decides; if it dies, the input ends
    inbox: asyncio.Queue[messages.ToWorker | None] = asyncio.Queue()
    transport, output = await loop.connect_write_pipe(_OutputProtocol, os.fdopen(os.dup(1), "wb", 0))
    os.dup2(2, 1)  # text that a library prints must not mix with the frames
    await loop.connect_read_pipe(
        lambda: _InputProtocol(inbox.put_nowait, lambda: inbox.put_nowait(None)), sys.stdin.buffer
    )

    def send_message(message: messages.Message) -> None:
        transport.write(encode_frame(messages.encode(message)))

    worker: Worker | None = None
    finishing: asyncio.Task[bool] | None = None
    try:
        while True:
            receiving = loop.create_task(inbox.get())
            waiting = {receiving, finishing} if finishing is not None else {receiving}
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if finishing is not None and finishing.done():
                receiving.cancel()
                transport.close()
                # The last interval may be many times larger than the pipe, so the worker waits until it is written.
                await output.closed.wait()
                return 0
            message = receiving.result()
            match message:
                case None:
                    return 1
                case messages.ReadClock():
                    send_message(messages.ClockReading(message.number, now_us()))
                case messages.Job():
                    if message.version != messages.VERSION:
                        send_message(
                            messages.Failed(
                                f"the coordinator's protocol version {message.version} is not supported; "
                                f"this worker has {messages.VERSION}"
                            )
                        )
                        continue
                    try:
                        worker = Worker(message, send_message)
                        await worker.ready()
                    except ModuleNotFoundError as error:
                        send_message(messages.Failed(f"targets of kind grpc need the extra elderlock[grpc]: {error}"))
                        continue
                    except (TraceError, OSError) as error:
                        send_message(messages.Failed(str(error)))
                        continue
                    finishing = loop.create_task(worker.finished.wait())
                    send_message(messages.Ready(messages.VERSION, os.getpid()))
                case messages.Start() if worker is not None:
                    worker.start(message.at)
                case messages.Stop() if worker is not None:
                    worker.stop(message.now)
    finally:
        if worker is not None:
            await worker.close()


def main() -> int:
    """Run the worker and return its exit status."""
    return uvloop.run(work())


if __name__ == "__main__":
    sys.exit(main())
