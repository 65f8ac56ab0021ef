"""The disruptions of a soak, drawn from its seed: shutdowns while servers hang, late copies of answers, hold-ups."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Sequence

from elderlock.soak.clock import JudgingClock
from elderlock.soak.processes import LimiterProcess
from elderlock.soak.servers import ServerFaults, SoakServer
from elderlock.soak.verdicts import Verdicts

HANGING_FRACTION = (0.25, 0.5)
HANGS_BEFORE_SHUTDOWN_S = (0.1, 0.6)
HOLD_UP_S = 0.12
TIME_BETWEEN_HOLD_UPS_S = (0.1, 0.4)
COPIES_S = 4.0
QUIET_S = 1.0


class Disruptions:
    """Disrupts servers and limiters in rounds until its task is cancelled.

    Attributes:
        shutdown_count: The number of limiters that were told to end.
        hold_up_count: The number of hold-ups.
    """

    def __init__(
        self,
        limiters: Sequence[LimiterProcess],
        servers: Sequence[SoakServer],
        faults: ServerFaults,
        verdicts: Verdicts,
        clock: JudgingClock,
        rng: random.Random,
    ) -> None:
        self._limiters = limiters
        self._servers = servers
        self._faults = faults
        self._verdicts = verdicts
        self._clock = clock
        self._rng = rng
        self.shutdown_count = 0
        self.hold_up_count = 0

    async def run(self) -> None:
        """Play rounds: a shutdown, then late copies with hold-ups, then both at once."""
        while True:
            await self._shut_down_while_servers_hang()
            await asyncio.sleep(QUIET_S)
            await self._send_copies_with_hold_ups(COPIES_S)
            await asyncio.sleep(QUIET_S)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._send_copies_with_hold_ups(COPIES_S))
                both.create_task(self._shut_down_while_servers_hang())
            await asyncio.sleep(QUIET_S)

    async def _shut_down_while_servers_hang(self) -> None:
        hanging_count = round(len(self._servers) * self._rng.uniform(*HANGING_FRACTION))
        hanging = self._rng.sample(self._servers, hanging_count)
        self._faults.hanging = frozenset(server.index for server in hanging)
        await asyncio.sleep(self._rng.uniform(*HANGS_BEFORE_SHUTDOWN_S))
        limiter = self._rng.choice(self._limiters)
        self.shutdown_count += 1
        exit_code = await limiter.shut_down()
        if exit_code != 0:
            self._verdicts.ended_by_itself(limiter.name, exit_code, self._clock.now_s())
        # Their requests may have run: only what may be repeated so long after its first attempt is sent again.
        for server in hanging:
            server.abort_connections()
        self._faults.hanging = frozenset()
        await limiter.start()

    async def _send_copies_with_hold_ups(self, duration_s: float) -> None:
        self._faults.sends_copies = True
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + duration_s
        while loop.time() < ends_at_s:
            await asyncio.sleep(self._rng.uniform(*TIME_BETWEEN_HOLD_UPS_S))
            limiter = self._rng.choice(self._limiters)
            self.hold_up_count += 1
            limiter.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HOLD_UP_S)
            limiter.send_signal(signal.SIGCONT)
        self._faults.sends_copies = False
