"""A target with known delays, against which the measurements of a load generator are checked.

It speaks the protocol of a limiter (`PING`, `API.READ`) and answers with the id of the request. With `"box": true` it
answers as a server does, with a load report. Delays are drawn from stratified quantiles in a shuffled order. So every
`STRATA` answers have exactly the percentiles of the distribution, and chance cannot hide an error of the generator.

`python -m elderlock.standins.delays SPEC` runs it in a separate process. SPEC is an object such as
`{"kind":"constant","ms":20}`; `"ports": 8` opens that many targets. The program prints its ports, runs until its
standard input ends and then prints the percentiles of the actual delays.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import math
import random
import sys
from array import array
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Any, cast

import hiredis
import uvloop

from elderlock.load.clock import OneShotTimer, now_us
from elderlock.spawning import spawn
from elderlock.standins.servers import MISSING, served

STRATA = 2000
REPORTED_SHARES = (0.5, 0.9, 0.99, 0.999)


def quantile_of(spec: dict[str, Any], share: float) -> float:
    """Returns the quantile of a distribution of delays in ms.

    Args:
        spec: The distribution: its `kind` and its parameters.
        share: The share of delays that do not exceed the quantile.

    Raises:
        ValueError: The kind is unknown.
    """
    match spec["kind"]:
        case "constant":
            return float(spec["ms"])
        case "exponential":
            return -float(spec["ms"]) * math.log(1.0 - share)
        case "bimodal":  # a mixture of two exponential distributions with the weight `slow_share` for the slow one
            slow_share, mean, slow_mean = float(spec["slow_share"]), float(spec["ms"]), float(spec["slow_ms"])
            low, high = 0.0, 50.0 * slow_mean
            for _ in range(80):
                middle = (low + high) / 2.0
                share_below = (1 - slow_share) * (1 - math.exp(-middle / mean))
                share_below += slow_share * (1 - math.exp(-middle / slow_mean))
                low, high = (middle, high) if share_below < share else (low, middle)
            return (low + high) / 2.0
    raise ValueError(f"unknown kind of delay {spec['kind']!r}; it can be constant, exponential or bimodal")


def delays(spec: dict[str, Any], seed: int) -> Iterator[float]:
    """Returns an endless iterator over delays in ms, one for each request.

    The quantiles are computed before this returns. Computed with the first request, they would block all requests that
    arrive meanwhile, and the measured delays would not show it.
    """
    strata = [quantile_of(spec, (index + 0.5) / STRATA) for index in range(STRATA)]

    def shuffled() -> Iterator[float]:
        rng = random.Random(seed)
        while True:
            rng.shuffle(strata)
            yield from strata

    return shuffled()


class Target:
    """A target on one port.

    With `stall_at` and `stall_s` in its specification it sends no answer for `stall_s` seconds, starting `stall_at`
    seconds after the first request. The answers due meanwhile are sent at the end of the stall.

    Attributes:
        spec: The specification; the kind `none` answers without any delay.
        taken: The number of requests received.
        took: The actual delay of each answer in µs.
        ready: Whether `PING` is answered with `PONG`.
        server: The listening socket, or None while the port is closed.
        connections: The open connections.
        port: The port.
    """

    def __init__(self, spec: dict[str, Any], seed: int = 1) -> None:
        self._loop = asyncio.get_running_loop()
        self.spec = spec
        self._delays = delays(spec, seed) if spec["kind"] != "none" else None
        self._due: list[tuple[int, int, Callable[[], None], int]] = []
        self._number = 0
        self._first = 0
        self.taken = 0
        self.took = array("I")
        self.ready = True
        self._ticker = OneShotTimer(self._loop, self._fire)
        self.server: asyncio.Server | None = None
        self.connections: set[_Peer] = set()
        self.port = 0

    async def start(self) -> Target:
        """Starts listening, on the same port as before if there was one, and returns the target itself."""
        self.server = await self._loop.create_server(lambda: _Peer(self), "127.0.0.1", self.port, backlog=4096)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def endpoint(self) -> str:
        """The `host:port` of the target."""
        return f"127.0.0.1:{self.port}"

    def answer(self, reply: Callable[[], None]) -> None:
        """Schedules the answer to a request; `reply` sends it."""
        self.taken += 1
        if self._delays is None:
            return reply()
        now = now_us()
        self._first = self._first or now
        at = now + round(next(self._delays) * 1000.0)
        stall = self._first + round(self.spec.get("stall_at", 0.0) * 1e6)
        if stall <= at < stall + round(self.spec.get("stall_s", 0.0) * 1e6):
            at = stall + round(self.spec["stall_s"] * 1e6)
        self._number += 1
        heapq.heappush(self._due, (at, self._number, reply, now))
        if self._due[0][1] == self._number:
            self._ticker.set(at)

    def _fire(self) -> None:
        now = now_us()
        while self._due and self._due[0][0] <= now:
            _, _, reply, arrived_at = heapq.heappop(self._due)
            reply()
            self.took.append(now_us() - arrived_at)
        if self._due:
            self._ticker.set(self._due[0][0])

    async def stop(self) -> None:
        """Simulates the end of the process: closes the port and aborts all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for peer in list(self.connections):
            peer.abort()

    async def close(self) -> None:
        """Stops the target and its timer."""
        await self.stop()
        self._ticker.close()


class _Peer(asyncio.Protocol):
    def __init__(self, target: Target) -> None:
        self._target = target
        self._transport: asyncio.Transport | None = None
        self._parser = hiredis.Reader(notEnoughData=MISSING)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._target.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._target.connections.discard(self)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        while (command := self._parser.gets()) is not MISSING:
            if command[0] == b"PING":
                self.write(b"+PONG\r\n" if self._target.ready else b"-LOADING\r\n")
            elif command[0] == b"API.READ":
                value = command[2]
                has_report = self._target.spec.get("box")
                self._answer(served(value, b"queue=0") if has_report else b"$%d\r\n%b\r\n" % (len(value), value))
            else:
                self.write(b"-ERR unknown command\r\n")

    def _answer(self, reply: bytes) -> None:
        """Sends an answer; tests override this to change the behaviour."""
        self._target.answer(lambda: self.write(reply))


@asynccontextmanager
async def run_targets(truth: dict[float, float] | None = None, **spec: Any) -> AsyncIterator[list[str]]:
    """Runs targets in a separate process.

    Args:
        truth: Receives the percentiles of the actual delays in ms at the end.
        **spec: The specification of the targets.

    Yields:
        The addresses of the targets.
    """
    process = await spawn(
        sys.executable, "-m", __name__, json.dumps(spec), stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None and process.stdin is not None
    try:
        yield [f"127.0.0.1:{port}" for port in (await process.stdout.readline()).decode().split()]
    finally:
        process.stdin.close()
        output = await process.stdout.read()
        if truth is not None:
            truth.update({float(share): ms for share, ms in json.loads(output).items()})
        await process.wait()


async def _serve(spec: dict[str, Any]) -> None:
    seed = int(spec.get("seed", 1))
    targets = [await Target(spec, seed + number).start() for number in range(spec.get("ports", 1))]
    print(*(target.port for target in targets), flush=True)
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()

    class Input(asyncio.Protocol):
        def connection_lost(self, exc: Exception | None) -> None:
            ended.set()

    await loop.connect_read_pipe(Input, sys.stdin.buffer)
    await ended.wait()
    # the actual delays, which are longer than intended on a machine that is short of cores
    took = sorted(value for target in targets for value in target.took)
    # the least value that at least this share of the delays does not exceed, as histograms define a percentile
    print(
        json.dumps(
            {share: took[max(0, math.ceil(share * len(took)) - 1)] / 1000.0 for share in REPORTED_SHARES if took}
        )
    )
    for target in targets:
        await target.close()


if __name__ == "__main__":
    uvloop.run(_serve(json.loads(sys.argv[1])))
