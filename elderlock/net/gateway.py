"""The one `Limiter` of this process: events go in, its actions are carried out.

It owns the clock, the timers and the open requests, and is the only place that answers a request.
"""

from __future__ import annotations

import asyncio
import logging
import time
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.interface import ListKind, Outcome
from elderlock.net.config import Config
from elderlock.net.servers import Attempt, Servers
from elderlock.net.targets import TargetList, parse_list

# ms kept back from a client's patience, which runs from its send: the way here and the way back, across
# floors at worst (2.6 ms each, and jitter), and a busy loop's lateness on both
MARGIN = 25.0
SWEEP_EVERY = 1.0  # s
# Of the memory, for open requests at the bytes that one takes with its answer: the program itself and its
# connections need the rest also where the limit is 32 MB
MEMORY_SHARE, REQUEST_BYTES = 0.25, 1 << 13
FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"
PERMITTED = b"$permitted"  # counted as served
REPEATED = b"-ERR a request of this id is open\r\n"

log = logging.getLogger(__name__)


class Clock:
    """Unix time in ms as it was at the start, carried on by the monotonic clock. Fixing the offset once
    keeps `boot_ms` of a server the same number in every list: a wandering one would look like a restart,
    and a step of the system's clock would move every deadline."""

    def __init__(self) -> None:
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        return time.monotonic() * 1000.0 + self._offset


@dataclass(frozen=True, slots=True)
class Command:
    """A client's request as read and checked, with what is needed to pass it on."""

    name: bytes  # the client's id of it
    class_index: int
    plan_index: int
    customer: str
    wait: float  # ms that its client still waits
    units: float
    spread: int
    first: int
    encode: Callable[[float], bytes]  # the command for a server, told how long we will wait
    size: int = 0  # bytes of what the client sent, kept until the request is over


def _held(command: Command) -> int:
    """Bytes of memory that it takes while it is open: as it came, and once more on its way to a server."""
    return REQUEST_BYTES + 2 * command.size


class Watcher(Protocol):
    """Who may look on, and lay what an operator drained over the lists; the one way in for `control`."""

    def listed(self, listed: TargetList) -> TargetList:
        """What the limiter shall take for the list."""

    def answered(self, command: Command, took: float, answer: bytes | None) -> None:
        """A request's one final answer after `took` ms; None where its client has gone."""

    def reported(self, server: str, report: bytes) -> None:
        """The load report that came with an answer."""


class Asked:
    """The other end of a request that its asker sends on by itself: `permitted` hears the box, its address
    and the permission's life (ms), `over` when that life has ended."""

    __slots__ = ("life", "over", "permitted", "server")

    def __init__(self, permitted: Callable[[str, str, float], None], over: Callable[[], None]) -> None:
        self.permitted, self.over = permitted, over
        self.server = ""  # where it may go; empty until it is permitted
        self.life: asyncio.TimerHandle | None = None


class Request:
    """A request taken from a client, until it is answered and none of its attempts is out."""

    __slots__ = ("answered", "arrived", "asked", "attempts", "command", "name", "out", "reply", "watchdog")

    def __init__(self, name: str, command: Command, reply: Callable[[bytes], None]) -> None:
        self.name, self.command, self.reply = name, command, reply
        self.attempts: list[Attempt] = []
        self.out = 0
        self.arrived = 0.0
        self.answered = False
        self.asked: Asked | None = None
        self.watchdog: asyncio.TimerHandle | None = None


class Gateway:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        clock: Clock,
        source: type[QuotaCoordinator] = QuotaCoordinator,
        limiter: type[Limiter] = Limiter,
    ) -> None:
        """`source` tells of a customer's use, `limiter` decides."""
        self._loop, self._config, self.now = loop, config, clock.now
        self.settings, self.largest = config.settings, config.socket_settings.largest_request_units
        aim = min((c.latency_objective_ms for c in config.settings.request_classes), default=1000.0)
        self.servers = Servers(loop, config.socket_settings, aim, config.sockets, self.now, self._ended)
        self._most = config.socket_settings.max_open_requests
        self._room = config.memory * (1 << 20) * MEMORY_SHARE  # bytes left for open requests
        self.tell_peer: Callable[[int, bytes], None] | None = None
        self._limiter = limiter(config.settings, config.seed, self.now(), source)
        self.tally: Callable[[int, str, float, float], None] | None = None  # where calls to a shared counter go
        self._requests: dict[str, Request] = {}
        self._open: set[bytes] = set()  # clients' ids of what is not answered
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._number = 0
        self.has_list = False
        self._watcher: Watcher | None = None
        self.fresh = asyncio.Event()  # set once discovery itself has told a list

    @property
    def limiter(self) -> Limiter:
        """The module, to be read and not entered."""
        return self._limiter

    @property
    def open_requests(self) -> int:
        return len(self._open)

    def watched_by(self, watcher: Watcher) -> None:
        """Before `start`, so that no list is taken without it."""
        self._watcher = watcher
        self.servers.reported = watcher.reported

    def start(self) -> None:
        self._carry_out(self._limiter.start(self.now()))
        if self._config.known is not None:
            try:
                known = parse_list(self._config.known, self._config.socket_settings)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                log.warning("the list known from before cannot be read: %r", error)
            else:
                self._list(self._overlaid(known), ListKind.CACHED)
        self._sweep()

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_EVERY, self._sweep)  # first: it goes on whatever happens below
        self.servers.sweep()

    # What happened

    def listed(self, listed: TargetList) -> None:
        self.fresh.set()
        self._list(self._overlaid(listed), ListKind.COMPLETE if listed.complete else ListKind.CHANGES)

    def changed(self, changes: TargetList) -> None:
        """What an operator's drain or its end changes in the list; discovery has not spoken."""
        self._list(changes, ListKind.CHANGES)

    def _overlaid(self, listed: TargetList) -> TargetList:
        return listed if self._watcher is None else self._watcher.listed(listed)

    def _list(self, listed: TargetList, kind: ListKind) -> None:
        # the pools first: the module may send to a server in the very actions that answer the list
        replaced = self.servers.update(listed)
        entries = (*(target.entry for target in listed.targets), *replaced)
        self.has_list = self.has_list or bool(entries)
        self._happened(api.ServerList(listed.version, kind, entries))

    def told(self, sender: int, data: bytes) -> None:
        self._happened(api.PeerMessage(sender, data))

    def counted(self, event: api.CounterAnswered) -> None:
        """What became of a call to the shared counter."""
        self._happened(event)

    def arrived(self, command: Command, reply: Callable[[bytes], None]) -> str | None:
        """Takes a request; `reply` is called exactly once, perhaps before this returns. The name stands
        for it in `client_gone`. The module is given names of ours, as a client's id may come again while
        an attempt for the answered one is out. That of an open request is not sent on a second time."""
        return self._take(command, reply, None)

    def asked(
        self,
        command: Command,
        refused: Callable[[bytes], None],
        permitted: Callable[[str, str, float], None],
        over: Callable[[], None],
    ) -> str | None:
        """Takes a question whose lookup the asker sends on: either `refused` is called, with the final
        answer as RESP2 words it, or `permitted`, exactly once. The id stays open until the permitted lookup
        has ended, by `reported_end` or by its deadline; `over` tells that."""
        return self._take(command, refused, Asked(permitted, over))

    def _take(self, command: Command, reply: Callable[[bytes], None], asked: Asked | None) -> str | None:
        if command.name in self._open:
            reply(REPEATED)
            return None
        room = self._room - _held(command)
        late = command.wait <= 0.0  # it waited behind others on its connection till its client's patience was over
        if late or len(self._requests) >= self._most or room < 0.0:
            reply(BUSY)
            return None
        self._room = room
        self._number += 1
        self._open.add(command.name)
        name = f"r{self._number}"
        request = self._requests[name] = Request(name, command, reply)
        request.asked = asked
        now = request.arrived = self.now()
        wait = max(command.wait - MARGIN, command.wait / 2)
        request.watchdog = self._loop.call_later(wait / 1000.0, self._overdue, request)
        happened = api.RequestArrived if asked is None else api.PermitRequested
        self._happened(
            happened(
                request_id=name,
                class_index=command.class_index,
                plan_index=command.plan_index,
                customer_id=command.customer,
                units=command.units,
                deadline_ms=now + wait,
                limiter_count=command.spread,
                first_limiter=command.first,
            )
        )
        return name

    def reported_end(self, name: str, outcome: Outcome, took: float, report: bytes) -> bool:
        """How a permitted lookup ended, as its asker tells; False where it has ended already."""
        request = self._requests.get(name)
        if request is None or request.asked is None or not request.asked.server:
            return False
        if report and self.servers.reported is not None:
            self.servers.reported(request.asked.server, report)
        self._lapse(request, outcome, took or self.now() - request.arrived)
        return True

    def _permit(self, name: str, server: str, timeout: float) -> None:
        request = self._requests.get(name)
        if request is None or request.answered or request.asked is None:
            return  # answered for the module, which had failed on an event
        asked = request.asked
        asked.server = server
        request.answered, request.out = True, 1
        if request.watchdog is not None:
            request.watchdog.cancel()
            request.watchdog = None
        # unreported, it ends by its deadline; what became of it is not known, and nothing is learnt of the box
        asked.life = self._loop.call_later(timeout / 1000.0, self._lapse, request, Outcome.CANCELLED, timeout)
        if self._watcher is not None:
            self._watcher.answered(request.command, self.now() - request.arrived, PERMITTED)
        asked.permitted(server, self.servers.endpoints().get(server, ("", 0))[0], timeout)

    def _lapse(self, request: Request, outcome: Outcome, took: float) -> None:
        asked = request.asked
        assert asked is not None
        if asked.life is not None:
            asked.life.cancel()
            asked.life = None
        self._open.discard(request.command.name)
        request.out = 0
        self._forget_if_over(request)
        self._happened(api.AttemptEnded(request.name, 0, asked.server, outcome, took, True))
        asked.over()

    def remaining(self, customer: str) -> int:
        """Whole units that the customer's store is believed to hold; 0 for one not known."""
        account = self._limiter.quotas.accounts.get(zlib.crc32(customer.encode()))
        return max(0, int(account.shared_units)) if account is not None else 0

    def client_gone(self, name: str) -> None:
        request = self._requests.get(name)
        if request is not None and not request.answered:
            self._end(request, None)
            self._happened(api.ClientDisconnected(name))

    def _overdue(self, request: Request) -> None:
        """Whatever the module does, no client is left without an answer when its patience ends."""
        if not request.answered:
            self._end(request, FAILED)
            self._happened(api.ClientDisconnected(request.name))

    def _ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None:
        request = self._requests[attempt.request]
        request.out -= 1
        if outcome is Outcome.OK and value is not None and not request.answered:
            self._end(request, b"$%d\r\n%b\r\n" % (len(value), value))
        took = self.now() - attempt.started
        self._happened(api.AttemptEnded(request.name, attempt.number, attempt.server, outcome, took, request.answered))
        self._forget_if_over(request)

    def _end(self, request: Request, answer: bytes | None) -> None:
        """The one place that marks a request answered; None where the client has gone."""
        request.answered = True
        self._open.discard(request.command.name)
        if request.watchdog is not None:
            request.watchdog.cancel()
            request.watchdog = None
        if self._watcher is not None:
            self._watcher.answered(request.command, self.now() - request.arrived, answer)
        if answer is not None:
            request.reply(answer)
        for attempt in request.attempts:
            if not attempt.sent:  # a dial under way: nothing is sent on for a request that has its answer
                attempt.give_up(Outcome.CANCELLED)
        self._forget_if_over(request)

    def fail_open(self) -> None:
        """Each open request gets its answer now: nobody will be here to give it later."""
        for request in [request for request in self._requests.values() if not request.answered]:
            self._overdue(request)

    def _forget_if_over(self, request: Request) -> None:
        if request.answered and request.out == 0 and self._requests.pop(request.name, None) is not None:
            self._room += _held(request.command)

    # The module

    def _happened(self, event: api.Event) -> None:
        """Queues what happens while actions are carried out (a send that fails at once, say): the module
        is in the middle of telling what it wants and must not be entered again."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._limiter.handle(event, self.now())
        except Exception:  # one event that the module cannot take must not end all other requests
            log.exception("the module failed on %s", type(event).__name__)
            return
        self._carry_out(actions)

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            try:
                self._act(action)
            except Exception:  # the actions that follow belong to other requests
                log.exception("an action failed: %s", type(action).__name__)

    def _act(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(wait, token):
                self._loop.call_later(wait / 1000.0, self._happened, api.TimerFired(token))
            case api.SendAttempt(name, server, timeout):
                self._send(name, server, timeout)
            case api.Permit(name, server, timeout):
                self._permit(name, server, timeout)
            case api.Reject(name, retry_after):
                self._answer(name, b"-BUSY %d\r\n" % retry_after if retry_after >= 1.0 else BUSY)
            case api.Fail(name):
                self._answer(name, FAILED)
            case api.CancelAttempt(name, number):
                request = self._requests.get(name)
                if request is not None and number < len(request.attempts):
                    request.attempts[number].give_up(Outcome.CANCELLED)
            case api.SendPeerMessage(receiver, data):
                if self.tell_peer is not None:
                    self.tell_peer(receiver, data)
            case api.AddToCounter(token, name, amount, life):
                if self.tally is not None:
                    self.tally(token, name, amount, life)
            case api.Log(text):
                log.info("%s", text)
            case api.Subscribe() | api.FetchServerList():
                pass  # the watch is always open here, and brings whatever there is to tell

    def _answer(self, name: str, answer: bytes) -> None:
        request = self._requests.get(name)
        if request is not None and not request.answered:
            self._end(request, answer)

    def _send(self, name: str, server: str, timeout: float) -> None:
        request = self._requests.get(name)
        if request is None or request.answered:
            return  # answered for the module, which had failed on an event
        request.out += 1
        attempt = self.servers.send(name, len(request.attempts), server, timeout, request.command.encode)
        request.attempts.append(attempt)
