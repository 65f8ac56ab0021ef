"""A target whose delays are known: what it was told to wait is what a generator has to find again.

It speaks as a limiter does (`PING`, `API.READ`) and answers with the request's id; with `"box": true` as a box
does, with a load report. Delays are drawn from
stratified quantiles in a shuffled order, so that every `STRATA` answers have the distribution's percentiles
exactly and a generator's error is not hidden by luck. As a program it runs in a process of its own:
`python -m elderlock.standins.delays SPEC` takes what `{"kind":"constant","ms":20}` shows, prints its port (with
`"ports": 8` so many), ends with
its input, and then prints the percentiles of the delays as they were.
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

from elderlock.load.clock import Ticker, now_us
from elderlock.spawning import spawn
from elderlock.standins.servers import MISSING, served

STRATA = 2000
TOLD = (0.5, 0.9, 0.99, 0.999)


def quantile_of(spec: dict[str, Any], share: float) -> float:
    """ms, of the delay alone."""
    match spec["kind"]:
        case "constant":
            return float(spec["ms"])
        case "exponential":
            return -float(spec["ms"]) * math.log(1.0 - share)
        case "bimodal":  # a slow share, and exponential about each of its two means
            slow, quick, late = float(spec["slow_share"]), float(spec["ms"]), float(spec["slow_ms"])
            low, high = 0.0, 50.0 * late
            for _ in range(80):
                middle = (low + high) / 2.0
                below = (1 - slow) * (1 - math.exp(-middle / quick)) + slow * (1 - math.exp(-middle / late))
                low, high = (middle, high) if below < share else (low, middle)
            return (low + high) / 2.0
    raise ValueError(f"no such kind of delay: {spec['kind']}")


def delays(spec: dict[str, Any], seed: int) -> Iterator[float]:
    """ms, one a request; for no delay at all see `Target`. The quantiles are found before this returns: found at the
    first request, they would hold up all that come in the meantime, and no figure of ours would show it."""
    strata = [quantile_of(spec, (n + 0.5) / STRATA) for n in range(STRATA)]

    def drawn() -> Iterator[float]:
        rng = random.Random(seed)
        while True:
            rng.shuffle(strata)
            yield from strata

    return drawn()


class Target:
    """`stall_at` and `stall_s`: from so long after the first request on no answer leaves for so long; what
    was due meanwhile leaves at its end."""

    def __init__(self, spec: dict[str, Any], seed: int = 1) -> None:
        self._loop = asyncio.get_running_loop()
        self.spec = spec
        self._delays = delays(spec, seed) if spec["kind"] != "none" else None
        self._due: list[tuple[int, int, Callable[[], None], int]] = []
        self._number = 0
        self._first = 0
        self.taken = 0
        self.took = array("I")  # µs from each request's coming to its answer's going, as they were in truth
        self.ready = True  # what PING is answered by
        self._ticker = Ticker(self._loop, self._fire)
        self.server: asyncio.Server | None = None
        self.connections: set[_Peer] = set()
        self.port = 0

    async def start(self) -> Target:
        self.server = await self._loop.create_server(lambda: _Peer(self), "127.0.0.1", self.port, backlog=4096)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def endpoint(self) -> str:
        return f"127.0.0.1:{self.port}"

    def answer(self, reply: Callable[[], None]) -> None:
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
            self._ticker.at(at)

    def _fire(self) -> None:
        now = now_us()
        while self._due and self._due[0][0] <= now:
            _, _, reply, came = heapq.heappop(self._due)
            reply()
            self.took.append(now_us() - came)
        if self._due:
            self._ticker.at(self._due[0][0])

    async def stop(self) -> None:
        """As a process that ends: nothing listens, connections break."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for peer in list(self.connections):
            peer.abort()

    async def close(self) -> None:
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
                box = self._target.spec.get("box")
                self._answer(served(value, b"queue=0") if box else b"$%d\r\n%b\r\n" % (len(value), value))
            else:
                self.write(b"-ERR unknown command\r\n")

    def _answer(self, reply: bytes) -> None:
        """Overridden by stand-ins that answer otherwise."""
        self._target.answer(lambda: self.write(reply))


@asynccontextmanager
async def apart(truth: dict[float, float] | None = None, **spec: Any) -> AsyncIterator[list[str]]:
    """Such targets in a process of their own, by their addresses; `truth` gets the percentiles (ms) of the delays as
    they were."""
    process = await spawn(
        sys.executable, "-m", __name__, json.dumps(spec), stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None and process.stdin is not None
    try:
        yield [f"127.0.0.1:{port}" for port in (await process.stdout.readline()).decode().split()]
    finally:
        process.stdin.close()
        said = await process.stdout.read()
        if truth is not None:
            truth.update({float(share): ms for share, ms in json.loads(said).items()})
        await process.wait()


async def _serve(spec: dict[str, Any]) -> None:
    seed = int(spec.get("seed", 1))
    targets = [await Target(spec, seed + n).start() for n in range(spec.get("ports", 1))]
    print(*(target.port for target in targets), flush=True)
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()

    class Input(asyncio.Protocol):
        def connection_lost(self, exc: Exception | None) -> None:
            ended.set()

    await loop.connect_read_pipe(Input, sys.stdin.buffer)
    await ended.wait()
    # what the delays were in truth: a machine that is short of cores makes them longer than they were meant
    took = sorted(value for target in targets for value in target.took)
    # the least value that such a share lies at or below, as histograms have it
    print(json.dumps({share: took[max(0, math.ceil(share * len(took)) - 1)] / 1000.0 for share in TOLD if took}))
    for target in targets:
        await target.close()


if __name__ == "__main__":
    uvloop.run(_serve(json.loads(sys.argv[1])))
