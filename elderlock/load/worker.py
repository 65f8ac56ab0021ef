"""One worker: sends its share of the schedule when it is due, whatever the answers do, and tells each second what
came of it. It is a process of its own (`python -m elderlock.load.worker`), spoken to over its standard input and
output; the end of its input ends it at once.
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
from elderlock.load import messages as m
from elderlock.load.client_policy import FINAL, ClientPolicy, Retry, combined_outcome
from elderlock.load.clock import OneShotTimer, ProcessMonitor, now_us
from elderlock.load.health_check import run_health_check
from elderlock.load.lateness import ResourceUsage
from elderlock.load.resp_client import Pool, Request
from elderlock.load.scenario import Scenario
from elderlock.load.schedule import Arrival, schedule, worker_share
from elderlock.load.targets import TargetSelector
from elderlock.load.trace import Row, TraceError, TraceReplay, TraceWriter

AHEAD = 512  # arrivals that are drawn before they are due
DRAW = 8  # of them at a time, so that drawing delays no send for long
STALE = 0.02  # s of a stand-still after which what it held up is sent before the second is told
TARGETS_WITHIN = 3.0  # s that a first target is waited for; then the run begins without
BEAT = 0.01  # s between looks at whether the loop stands still
MOST_TERMS = 4096  # lists of names and values kept ready
END_EARLY = 5.0  # s beyond the longest deadline after which what is still open is ended
AT_ONCE = 64  # overdue sends in one turn of the loop
UINT32 = (1 << 32) - 1


class Worker:
    """`say` sends a message to the coordinator."""

    def __init__(self, job: m.Job, say: Callable[[m.Message], None]) -> None:
        """Raises `TraceError`, `OSError` or `ModuleNotFoundError` for a job that cannot be done here."""
        self.loop = asyncio.get_running_loop()
        self.job, self.scenario, self._say = job, job.scenario, say
        scenario: Scenario = job.scenario
        self.addresses = [address(each) for each in scenario.targets.addresses]
        self.front = TargetSelector(len(self.addresses), scenario.targets.silent_s)
        self.source: TraceReplay | None = None
        if scenario.replay is not None:
            self.source = TraceReplay(scenario.replay, job.key)
            arrivals = self.source.arrivals(len(self.addresses))
        else:
            arrivals = schedule(scenario, len(self.addresses))
        self._left: Iterator[tuple[int, Arrival]] = worker_share(arrivals, job.worker, job.workers)
        self._ahead: deque[tuple[int, Arrival]] = deque()
        self._dry = False
        self.rng = random.Random(f"{scenario.seed}/worker/{job.worker}")
        self._run = os.urandom(4).hex().encode()
        ways = [scenario.clients_of(number) for number in range(max(1, len(scenario.stream)))]
        self._ways = [ClientPolicy(clients) for clients in ways]
        self._marks = [clients.marks_retries for clients in ways]
        self._pools: list[list[Pool]] = []
        self._grpc_client: Any = None
        if scenario.targets.kind == "grpc":
            from elderlock.load.grpc_client import GrpcClient

            self._grpc_client = GrpcClient(self, self.loop, self.addresses)
            self.front.available = [True] * len(self.addresses)
        else:
            made: dict[Any, list[Pool]] = {}
            for clients in ways:
                if clients not in made:
                    keep, most = clients.connections == "keep", clients.most_connections
                    made[clients] = [
                        Pool(self, self.loop, address, keep, most, scenario.truth.verify) for address in self.addresses
                    ]
                self._pools.append(made[clients])
        self._trace = TraceWriter(Path(job.trace_to)) if job.trace_to else None
        self._terms: dict[tuple[str, str, float, int, int], bytes] = {}
        self._watch = ProcessMonitor()
        self._tasks: set[asyncio.Task[None]] = set()
        self._begun = 0
        self._open: set[Request] = set()
        self._open_sent = 0
        self._stopped = self._over = False
        self.finished = asyncio.Event()
        self._number = 0
        self._caught_up = False
        self._stood_till = 0
        self._since = 0.0
        self._fresh()
        self._gap = self._gap_cpu = 0.0
        self._facts_cpu = self._facts_wait = self._beat_cpu = 0.0
        self._facts_preempted = 0
        self._shown: dict[str, str] = {}
        self._ticker = OneShotTimer(self.loop, self._due)
        self._due_end = scenario.for_s * 1e6

    def _fresh(self) -> None:
        self.counts: Counter[str] = Counter()
        self._late = array("I")
        self._samples: dict[tuple[str, str, str, int], tuple[array[int], array[int]]] = {}
        self._descriptors = self._dials = self._slow_dials = 0
        self._slowest = 0.0
        self._gap = self._gap_cpu = 0.0

    # Its life

    async def ready(self) -> None:
        """Until a target takes part, or none does in time."""
        if self._grpc_client is None:
            targets = self.scenario.targets
            for target in range(len(self.addresses)):
                self._task(
                    run_health_check(self.front, target, self.addresses[target], targets.ping_s, targets.silent_s)
                )
            try:
                async with asyncio.timeout(TARGETS_WITHIN):
                    while not any(self.front.available):
                        await asyncio.sleep(0.01)
            except TimeoutError:
                pass  # whether they come up later is seen by the run
        self._draw(AHEAD)

    def start(self, at: int) -> None:
        """`at`: µs of this machine's CLOCK_MONOTONIC at which the schedule begins."""
        gc.collect()
        gc.freeze()  # what start-up made stays: the collector need not walk it during the run
        self._begun = at
        self._facts_cpu, self._facts_wait = self._watch.cpu_ms(), self._watch.wait_ms()
        self._facts_preempted, self._beat_cpu = self._watch.preempted(), self._facts_cpu
        self.loop.call_at(self.loop.time() + (at - now_us()) / 1e6 + 1.0, self._second)
        self._beat_at = now_us()
        self._beat()
        self._arm()

    def stop(self, now: bool) -> None:
        """Offers nothing more; `now` ends what is open too."""
        self._stopped = True
        self._ahead.clear()
        if now:
            for request in list(self._open):
                self._finish(request, "left" if request.was_sent else "ended")
        self._arm()

    def _task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # The schedule

    def _draw(self, count: int) -> None:
        if self._dry or self._stopped:
            return
        try:
            for _ in range(count):
                self._ahead.append(next(self._left))
        except StopIteration:
            self._dry = True
        except (TraceError, OSError) as error:
            self._dry = True
            self._shown["stop"] = f"the trace ends here: {error}"
            self._say(m.Failed(f"the trace cannot be used: {error}"))

    def _arm(self) -> None:
        if self._ahead:
            return self._ticker.set(self._begun + self._ahead[0][1].at)
        self._draw(DRAW)
        if self._ahead:
            self._ticker.set(self._begun + self._ahead[0][1].at)
        elif not self._over and not self._open:
            self._end()
        elif not self._over:
            # nothing more is offered; what is open ends by its own time, and here at the latest
            longest = max(self.scenario.longest_deadline(), max(r.arrival.deadline for r in self._open))
            self.loop.call_later(longest / 1000.0 + END_EARLY, self.stop, True)

    def _due(self) -> None:
        now = now_us()
        ahead, begun = self._ahead, self._begun
        # a worker that is behind must not send on and on in one turn: it would read no answer, open no connection and
        # tell nothing of its seconds till it had caught up, and be given up as lost (60,000 sends, 10 s of silence)
        for _ in range(AT_ONCE):
            if not ahead or begun + ahead[0][1].at > now:
                break
            number, arrival = ahead.popleft()
            self._launch(number, arrival, begun + arrival.at, now)
            now = now_us()
            if not ahead:
                self._draw(DRAW)
        if len(ahead) < AHEAD:
            self.loop.call_soon(self._draw, DRAW)
        self._arm()

    def _launch(self, number: int, arrival: Arrival, began: int, now: int) -> None:
        self.counts["offered"] += 1
        late = now - began
        self._late.append(late if 0 < late < UINT32 else 0 if late <= 0 else UINT32)
        if self._due_end and now > self._begun + self._due_end + self.scenario.truth.late_most_ms * 1000.0:
            self.counts["overdue"] += 1
        if self._trace is not None:
            self._record(arrival)
        request = Request(number, arrival, began, arrival.stream)
        self._open.add(request)
        if arrival.leaves_after_us:
            request.departure_timer = self.loop.call_later(
                max(0.0, (arrival.leaves_after_us - late) / 1e6), self._leaves, request
            )
        self._try(request, now)

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
            self._trace = None  # the run is worth more than its trace; the report says that it is not whole
            self._shown["record"] = f"the trace ends {arrival.at / 1e6:.1f} s into the run: {error}"

    # One request

    def _try(self, request: Request, now: int) -> None:
        request.retry_timer = None
        arrival = request.arrival
        waited = (now - request.intended_start_us) / 1000.0
        request.attempts += 1
        request.written_at_us, request.was_resent, request.connection = 0, False, None
        request.is_active = True
        patience = self._ways[request.policy_index].attempt_timeout_ms(arrival.deadline, waited)
        if patience <= 0.0:
            # its time ran out before we came to it; that it was never sent is our doing, and told
            return self.on_attempt_ended(request, "backlog")
        target = self.front.choose(arrival.spread, arrival.first, self.rng)
        if target is None:
            return self.on_attempt_ended(request, "nowhere")
        request.target = target
        if request.attempts > 1:
            self.counts["retries"] += 1
        request.id = b"%b-%x-%x" % (self._run, request.number, request.attempts)
        request.timeout_timer = self.loop.call_later(patience / 1000.0, self._timed_out, request)
        if self._grpc_client is not None:
            self._grpc_client.send(request, patience)
        else:
            self._pools[request.policy_index][target].send(request)

    def request_terms(self, request: Request) -> bytes:
        arrival = request.arrival
        key = (arrival.class_name, arrival.plan, arrival.units, arrival.spread, arrival.first)
        terms = self._terms.get(key)
        if terms is None:
            if len(self._terms) >= MOST_TERMS:
                self._terms.clear()  # a trace may hold any number of units
            terms = self._terms[key] = b"c=%b,t=%b,units=%b,spread=%d,first=%d,d=" % (
                arrival.class_name.encode(),
                arrival.plan.encode(),
                f"{arrival.units:g}".encode(),
                arrival.spread,
                arrival.first,
            )
        waited = (request.written_at_us - request.intended_start_us) / 1000.0
        left = max(1, int(self._ways[request.policy_index].attempt_timeout_ms(arrival.deadline, waited)))
        marked = b",r=1" if request.attempts > 1 and self._marks[request.policy_index] else b""
        return b"%b%d%b" % (terms, left, marked)

    def on_request_written(self, request: Request) -> None:
        if not request.was_sent:
            request.was_sent = True
            self.counts["sent"] += 1
            self._open_sent += 1
        self.counts["tries"] += 1

    def on_attempt_ended(self, request: Request, outcome: str, advice: float | None = None) -> None:
        """How the try under way ended; what comes for it later says nothing any more."""
        if not request.is_active:
            return
        request.is_active = False
        if request.timeout_timer is not None:
            request.timeout_timer.cancel()
            request.timeout_timer = None
        request.outcome = combined_outcome(request.outcome, outcome, request.was_sent, request.written_at_us > 0)
        arrival, now = request.arrival, now_us()
        again: Retry | None = None
        if outcome not in FINAL and not self._over:
            again = self._ways[request.policy_index].next_retry(
                outcome,
                advice,
                request.attempts,
                arrival.honours_retry_after,
                (now - request.intended_start_us) / 1000.0,
                arrival.deadline,
                self.rng,
            )
        if again is None:
            return self._finish(request, request.outcome)
        request.retry_timer = self.loop.call_later(again.wait_ms / 1000.0, self._again, request)

    def _again(self, request: Request) -> None:
        if not request.is_finished:
            self._try(request, now_us())

    def _timed_out(self, request: Request) -> None:
        request.timeout_timer = None
        written = request.written_at_us > 0
        if request.connection is not None:
            request.connection.give_up(client_left=False)
            request.connection = None
        self.on_attempt_ended(request, "timeout" if written else "backlog")

    def _leaves(self, request: Request) -> None:
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
        pair[0].append(min(max(now - request.intended_start_us, 0), UINT32))
        if request.written_at_us:
            pair[1].append(min(now - request.written_at_us, UINT32))
        if not self._open and not self._ahead and not self._over:
            self._arm()

    # What the connections tell

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def on_connected(self, took_us: int) -> None:
        self._dials += 1
        took = took_us / 1000.0
        self._slowest = max(self._slowest, took)
        self._slow_dials += took > self.scenario.truth.connect_ms

    def on_out_of_descriptors(self) -> None:
        self._descriptors += 1

    # What the coordinator is told

    def _beat(self) -> None:
        if self._over:
            return
        self._note_gap()
        self.loop.call_later(BEAT, self._beat)

    def _note_gap(self) -> None:
        now, cpu = now_us(), self._watch.cpu_ms()
        gap = (now - self._beat_at) / 1000.0 - BEAT * 1000.0
        if gap > self._gap:
            self._gap, self._gap_cpu = gap, cpu - self._beat_cpu
        if gap > STALE * 1000.0:
            self._stood_till = now
        self._beat_at, self._beat_cpu = now, cpu

    def _second(self) -> None:
        if self._over:
            return
        self._note_gap()
        if now_us() - self._stood_till < 2e6 * BEAT and not self._caught_up:
            # it has just stood still: the sends that are late by it belong into the second that tells of that,
            # and the timers of a loop come before its descriptors
            self._caught_up = True
            self.loop.call_later(2.0 * BEAT, self._second)
            return
        self._caught_up = False
        self._flush(last=False)
        # to the next whole second of the run; timers may fire up to a millisecond early
        self.loop.call_later(max(0.0, self._number + 1.0 - (now_us() - self._begun) / 1e6), self._second)

    def _flush(self, last: bool) -> None:
        end = max((now_us() - self._begun) / 1e6, self._since)
        cpu, wait, preempted = self._watch.cpu_ms(), self._watch.wait_ms(), self._watch.preempted()
        facts = ResourceUsage(
            (end - self._since) * 1000.0,
            cpu - self._facts_cpu,
            wait - self._facts_wait,
            self._gap,
            self._gap_cpu,
            preempted - self._facts_preempted,
            self._descriptors,
            self._dials,
            self._slow_dials,
            self._slowest,
        )
        self._facts_cpu, self._facts_wait, self._facts_preempted = cpu, wait, preempted
        changes = [(at - self._begun / 1e6, target, part) for at, target, part in self.front.changes]
        self.front.changes.clear()
        faults = self.source.faults if self.source is not None else Counter[str]()
        shown = self._shown | (self.source.shown if self.source is not None else {})
        samples = [m.Sample(*key, pair[0].tobytes(), pair[1].tobytes()) for key, pair in self._samples.items()]
        self._say(
            m.Interval(
                self.job.worker,
                self._number,
                self._since,
                end,
                dict(self.counts),
                samples,
                self._late.tobytes(),
                facts,
                len(self._open),
                self._open_sent,
                self._watch.rss_kb(),
                dict(faults),
                shown,
                changes,
                last,
            )
        )
        # a worker that stood still for seconds has one long interval, and numbers stay those of the run
        self._since = end
        self._number = max(self._number + 1, int(end + 0.5))
        self._fresh()

    def _end(self) -> None:
        self._over = True
        if self._trace is not None:
            try:
                self._trace.close()
            except OSError as error:
                self._shown["record"] = f"the trace is not whole: {error}"
        self._flush(last=True)
        self.finished.set()

    async def close(self) -> None:
        self._over = True
        self._ticker.close()
        for task in self._tasks:
            task.cancel()
        for pool in {id(pool): pool for pools in self._pools for pool in pools}.values():
            pool.close()
        if self._grpc_client is not None:
            await self._grpc_client.close()


class _Line(asyncio.Protocol):
    """Frames from the coordinator; `gone` is set at the end of them."""

    def __init__(self, heard: Callable[[m.ToWorker], None], gone: Callable[[], None]) -> None:
        self._heard, self._gone = heard, gone
        self._framer = FrameDecoder(m.LONGEST)

    def data_received(self, data: bytes) -> None:
        try:
            for body in self._framer.feed(data):
                self._heard(m.to_worker(body))
        except (FrameError, msgspec.DecodeError) as error:
            print(f"elderlock: worker: {error}", file=sys.stderr)
            self._gone()

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone()


class _Words(asyncio.BaseProtocol):
    """What is said to the coordinator; `left` is set once all of it has left, or nobody reads it any more."""

    def __init__(self) -> None:
        self.left = asyncio.Event()

    def connection_lost(self, exc: Exception | None) -> None:
        self.left.set()


async def work() -> int:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # the coordinator decides; with it gone, the input ends
    inbox: asyncio.Queue[m.ToWorker | None] = asyncio.Queue()
    out, words = await loop.connect_write_pipe(_Words, os.fdopen(os.dup(1), "wb", 0))
    os.dup2(2, 1)  # what a library prints must not fall among the frames
    await loop.connect_read_pipe(lambda: _Line(inbox.put_nowait, lambda: inbox.put_nowait(None)), sys.stdin.buffer)

    def say(message: m.Message) -> None:
        out.write(encode_frame(m.encode(message)))

    worker: Worker | None = None
    ending: asyncio.Task[bool] | None = None
    try:
        while True:
            getting = loop.create_task(inbox.get())
            waiting = {getting, ending} if ending is not None else {getting}
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if ending is not None and ending.done():
                getting.cancel()
                out.close()
                # its last figures fill the pipe many times over: they leave as fast as the coordinator reads
                await words.left.wait()
                return 0
            message = getting.result()
            match message:
                case None:
                    return 1
                case m.ReadClock():
                    say(m.ClockReading(message.number, now_us()))
                case m.Job():
                    if message.version != m.VERSION:
                        say(m.Failed(f"version {message.version} is not known; this worker speaks {m.VERSION}"))
                        continue
                    try:
                        worker = Worker(message, say)
                        await worker.ready()
                    except ModuleNotFoundError as error:
                        say(m.Failed(f"this needs the extra elderlock[grpc]: {error}"))
                        continue
                    except (TraceError, OSError) as error:
                        say(m.Failed(str(error)))
                        continue
                    ending = loop.create_task(worker.finished.wait())
                    say(m.Ready(m.VERSION, os.getpid()))
                case m.Start() if worker is not None:
                    worker.start(message.at)
                case m.Stop() if worker is not None:
                    worker.stop(message.now)
    finally:
        if worker is not None:
            await worker.close()


def main() -> int:
    return uvloop.run(work())


if __name__ == "__main__":
    sys.exit(main())
