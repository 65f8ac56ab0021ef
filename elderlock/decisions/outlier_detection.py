"""Outliers: boxes that fail again and again are left out for a while, but never too many of them."""

from __future__ import annotations

import heapq

from elderlock.decisions.context import DecisionContext
from elderlock.state import Server

OUTLIER_AFTER = 3  # failures in a row
LEFT_OUT_FOR, LEFT_OUT_MOST = 2000.0, 30000.0  # ms at first, doubled each time in a row up to the most
LEFT_OUT_PART = 0.5  # of the weight of all that is ready, at most
PANIC = 0.75  # part of the boxes failing at which it is likelier us: then none is left out


class OutlierDetector:
    """Invariant: those left out weigh `LEFT_OUT_PART` of what is ready at most, and nobody is left out in a panic.
    One that is back has one request at a time till it has answered."""

    def __init__(self, core: DecisionContext) -> None:
        self.context = core
        self.ejected: dict[Server, int] = {}  # and their weight; the longest left out first
        self.ejected_weight_milli = 0  # of all those
        self.failing: set[str] = set()
        self._back: list[tuple[float, int, Server]] = []
        self._number = 0

    def panic(self, ready: int) -> bool:
        return len(self.failing) > PANIC * ready

    def good(self, server: Server) -> None:
        server.consecutive_failures = server.consecutive_ejections = 0
        server.is_on_probation = False
        self.failing.discard(server.entry.server_id)
        self._let_in(server)

    def failed(self, server: Server, ready: int, mass: int) -> list[Server]:
        """`ready` and `mass`: of all that is ready. Returns those that a panic lets in."""
        server.consecutive_failures += 1
        if server.consecutive_failures < OUTLIER_AFTER or server.is_ejected:
            return []
        self.failing.add(server.entry.server_id)
        if self.panic(ready):
            return self.trim(0)
        if self.ejected_weight_milli + server.weight_milli <= LEFT_OUT_PART * mass:
            wait = min(LEFT_OUT_FOR * 2.0**server.consecutive_ejections, LEFT_OUT_MOST) * self.context.rng.uniform(
                0.8, 1.2
            )
            server.is_ejected, server.is_on_probation, server.consecutive_ejections = (
                True,
                False,
                min(server.consecutive_ejections + 1, 8),
            )
            self.ejected[server] = server.weight_milli
            self.ejected_weight_milli += server.weight_milli
            self._number += 1
            server.reinstate_at_ms = self.context.now_ms + wait
            heapq.heappush(self._back, (server.reinstate_at_ms, self._number, server))
        return []

    def trim(self, mass: int) -> list[Server]:
        """Lets in those left out longest till the others weigh no more than their part of `mass`."""
        let_in = []
        while self.ejected_weight_milli > LEFT_OUT_PART * mass:
            let_in.append(next(iter(self.ejected)))
            self._let_in(let_in[-1])
        return let_in

    def back(self) -> list[Server]:
        """Those whose time has passed: for a trial of one request at a time."""
        due = []
        while self._back and self._back[0][0] <= self.context.now_ms:
            at, _, server = heapq.heappop(self._back)
            if server.is_ejected and server.reinstate_at_ms == at:  # else it was let in and left out again since
                self._let_in(server)
                server.is_on_probation = True
                due.append(server)
        return due

    def forget(self, server: Server) -> None:
        self.failing.discard(server.entry.server_id)
        self._let_in(server)

    def _let_in(self, server: Server) -> None:
        if server.is_ejected:
            server.is_ejected = False
            self.ejected_weight_milli -= self.ejected.pop(server)
