"""Runs a soak: starts discovery, servers, limiters and clients, disrupts them, and reports the violations."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from elderlock.soak.clients import Destination, SoakClients
from elderlock.soak.clock import JudgingClock
from elderlock.soak.core_waits import CoreWaits
from elderlock.soak.disruptions import Disruptions
from elderlock.soak.processes import LimiterProcess
from elderlock.soak.servers import ServerFaults, SoakServer
from elderlock.soak.verdicts import Verdicts, Violation
from elderlock.standins.discovery import Discovery
from elderlock.standins.settings import target
from elderlock.standins.world import ROOT

SERVER_COUNT = 9
# Per limiter. Together they exceed the limit on idle connections, which is a sixth of the descriptors.
USUAL_CLIENTS = 20
PIPELINING_CLIENTS = 4


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What a soak plays.

    Attributes:
        seed: The seed of clients, servers and disruptions.
        duration_s: How long it lasts after all limiters are ready.
        limiter_count: The number of limiter processes.
        program_directory: The checkout whose limiter is run.
        log_directory: Where the limiters' configurations and logs stay; None to delete them.
    """

    seed: int
    duration_s: float
    limiter_count: int = 3
    program_directory: Path = ROOT
    log_directory: Path | None = None


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What a soak has seen.

    Attributes:
        request_count: The number of requests.
        answer_count: The number of final answers.
        crossed_count: The number of requests that the close of their connection crossed.
        shutdown_count: The number of limiters that were told to end.
        hold_up_count: The number of hold-ups.
        violations: The broken rules; their times count from the start of the clients.
    """

    request_count: int
    answer_count: int
    crossed_count: int
    shutdown_count: int
    hold_up_count: int
    violations: tuple[Violation, ...]

    def counts(self) -> dict[str, int]:
        """Return the number of violations of each broken rule."""
        return dict(Counter(violation.rule.value for violation in self.violations))

    def first_times_s(self) -> dict[str, float]:
        """Return when each broken rule was first seen broken."""
        return {violation.rule.value: round(violation.at_s, 1) for violation in reversed(self.violations)}


async def run_soak(options: SoakOptions) -> SoakReport:
    """Run a soak.

    Raises:
        TimeoutError: A limiter is not ready in time.
    """
    rng = random.Random(options.seed)
    verdicts = Verdicts()
    faults = ServerFaults()
    clock = JudgingClock(asyncio.get_running_loop())
    servers = [SoakServer(index, verdicts, faults, clock, rng) for index in range(SERVER_COUNT)]
    for server in servers:
        await server.start()
    targets = [target(f"s-{server.index}", server.endpoint) for server in servers]
    discovery = await Discovery(rows=lambda _port: targets).start()
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.log_directory or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        limiters = [
            LimiterProcess(f"n{index}", "%s:%d" % discovery.address, folder, options.program_directory)
            for index in range(options.limiter_count)
        ]

        def choose_destination() -> Destination:
            serving = [limiter for limiter in limiters if limiter.is_serving]
            return rng.choice(serving or limiters).destination

        def pids() -> dict[str, int]:
            return {limiter.name: pid for limiter in limiters if (pid := limiter.pid()) is not None}

        core_waits = CoreWaits(clock, pids)
        verdicts.core_wait_s = core_waits.waited_s
        clients = SoakClients(choose_destination, verdicts, clock, rng)
        disruptions = Disruptions(limiters, servers, faults, verdicts, clock, rng)
        try:
            await asyncio.gather(*(limiter.start() for limiter in limiters))
            background = [clock.run(), core_waits.run(), disruptions.run()]
            await _play(options, background, clients)
            return _report(limiters, clients, disruptions, verdicts, clock)
        finally:
            for limiter in limiters:
                limiter.kill()
            await discovery.close()


async def _play(options: SoakOptions, background: list[Coroutine[Any, Any, None]], clients: SoakClients) -> None:
    work = [clients.send_one_by_one() for _ in range(USUAL_CLIENTS * options.limiter_count)]
    work += [clients.send_at_once() for _ in range(PIPELINING_CLIENTS * options.limiter_count)]
    tasks = [asyncio.create_task(each) for each in [*background, *work]]
    done, _ = await asyncio.wait(tasks, timeout=options.duration_s, return_when=asyncio.FIRST_EXCEPTION)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()  # raises what ended it


def _report(
    limiters: list[LimiterProcess],
    clients: SoakClients,
    disruptions: Disruptions,
    verdicts: Verdicts,
    clock: JudgingClock,
) -> SoakReport:
    for limiter in limiters:
        exit_code = limiter.exit_code()
        if limiter.is_serving and exit_code is not None:
            verdicts.ended_by_itself(limiter.name, exit_code, clock.now_s())
    return SoakReport(
        len(verdicts.requests),
        clients.answer_count,
        verdicts.crossed,
        disruptions.shutdown_count,
        disruptions.hold_up_count,
        tuple(verdicts.violations),
    )
