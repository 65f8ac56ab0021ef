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
from elderlock.decisions.keepers import Keepers
from elderlock.decisions.limiter import Limiter
from elderlock.interface import ListKind, Outcome
from elderlock.net.config import Config
from elderlock.net.servers import Attempt, ServerPools
from elderlock.net.targets import EndpointList, parse_endpoint_list

# ms kept back from a client's patience, which runs from its send: the way here and the way back, across
# floors at worst (2.6 ms each, and jitter), and a busy loop's lateness on both
DEADLINE_MARGIN_MS = 25.0
SWEEP_INTERVAL_S = 1.0  # s
# Of the memory, for open requests at the bytes that one takes with its answer: the program itself and its
# connections need the rest also where the limit is 32 MB
REQUEST_MEMORY_FRACTION, REQUEST_OVERHEAD_BYTES = 0.25, 1 << 13
FAILED_ANSWER = b"-ERR failed\r\n"
BUSY_ANSWER = b"-BUSY\r\n"
PERMITTED_ANSWER = b"$permitted"  # counted as served
DUPLICATE_ANSWER = b"-ERR a request of this id is open\r\n"

log = logging.getLogger(__name__)


class Clock:
    """Unix time in ms as it was at the start, carried on by the monotonic clock. Fixing the offset once
    keeps `boot_ms` of a server the same number in every list: a wandering one would look like a restart,
    and a step of the system's clock would move every deadline."""

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now_ms(self) -> float:
        return time.monotonic() * 1000.0 + self._offset_ms


@dataclass(frozen=True, slots=True)
class Command:
    """A client's request as read and checked, with what is needed to pass it on."""

    client_request_id: bytes  # the client's id of it
    class_index: int
    plan_index: int
    customer_id: str
    wait_ms: float  # ms that its client still waits
    units: float
    limiter_count: int
    first_limiter: int
    encode: Callable[[float], bytes]  # the command for a server, told how long we will wait
    size_bytes: int = 0  # bytes of what the client sent, kept until the request is over


def memory_bytes_of(command: Command) -> int:
    """Bytes of memory that it takes while it is open: as it came, and once more on its way to a server."""
    return REQUEST_OVERHEAD_BYTES + 2 * command.size_bytes


class RequestObserver(Protocol):
    """Who may look on, and lay what an operator drained over the lists; the one way in for `control`."""

    def listed(self, listed: EndpointList) -> EndpointList:
        """What the limiter shall take for the list."""

    def answered(self, command: Command, took: float, answer: bytes | None) -> None:
        """A request's one final answer after `took` ms; None where its client has gone."""

    def reported(self, server: str, report: bytes) -> None:
        """The load report that came with an answer."""


class Authorisation:
    """The other end of a request that its asker sends on by itself: `permitted` hears the box, its address
    and the permission's life (ms), `over` when that life has ended."""

    __slots__ = ("expiry_timer", "on_ended", "on_permitted", "server_id")

    def __init__(self, permitted: Callable[[str, str, float], None], over: Callable[[], None]) -> None:
        self.on_permitted, self.on_ended = permitted, over
        self.server_id = ""  # where it may go; empty until it is permitted
        self.expiry_timer: asyncio.TimerHandle | None = None


class PendingRequest:
    """A request taken from a client, until it is answered and none of its attempts is out."""

    __slots__ = (
        "arrived_at_ms",
        "attempts",
        "authorisation",
        "command",
        "deadline_timer",
        "is_answered",
        "open_attempts",
        "reply",
        "request_id",
    )

    def __init__(self, name: str, command: Command, reply: Callable[[bytes], None]) -> None:
        self.request_id, self.command, self.reply = name, command, reply
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.arrived_at_ms = 0.0
        self.is_answered = False
        self.authorisation: Authorisation | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None


class Gateway:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        clock: Clock,
        source: type[Keepers] = Keepers,
        limiter: type[Limiter] = Limiter,
    ) -> None:
        """`source` tells of a customer's use, `limiter` decides."""
        self._loop, self._config, self.now_ms = loop, config, clock.now_ms
        self.settings, self.max_request_units = config.settings, config.socket_settings.largest_request_units
        aim = min((c.latency_objective_ms for c in config.settings.request_classes), default=1000.0)
        self.server_pools = ServerPools(
            loop, config.socket_settings, aim, config.max_descriptors, self.now_ms, self._attempt_ended
        )
        self._most = config.socket_settings.max_open_requests
        self._room = config.memory_mb * (1 << 20) * REQUEST_MEMORY_FRACTION  # bytes left for open requests
        self.send_peer_message: Callable[[int, bytes], None] | None = None
        self._limiter = limiter(config.settings, config.seed, self.now_ms(), source)
        self.add_to_counter: Callable[[int, str, float, float], None] | None = (
            None  # where calls to a shared counter go
        )
        self._requests: dict[str, PendingRequest] = {}
        self._open: set[bytes] = set()  # clients' ids of what is not answered
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._number = 0
        self.has_list = False
        self._observer: RequestObserver | None = None
        self.list_received = asyncio.Event()  # set once discovery itself has told a list

    @property
    def limiter(self) -> Limiter:
        """The module, to be read and not entered."""
        return self._limiter

    @property
    def open_request_count(self) -> int:
        return len(self._open)

    def set_observer(self, watcher: RequestObserver) -> None:
        """Before `start`, so that no list is taken without it."""
        self._observer = watcher
        self.server_pools.on_load_report = watcher.reported

    def start(self) -> None:
        self._perform_all(self._limiter.start(self.now_ms()))
        if self._config.cached_list is not None:
            try:
                known = parse_endpoint_list(self._config.cached_list, self._config.socket_settings)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                log.warning("the list known from before cannot be read: %r", error)
            else:
                self._apply_list(self._with_overlay(known), ListKind.CACHED)
        self._sweep()

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)  # first: it goes on whatever happens below
        self.server_pools.close_expired()

    # What happened

    def server_list_received(self, listed: EndpointList) -> None:
        self.list_received.set()
        self._apply_list(self._with_overlay(listed), ListKind.COMPLETE if listed.is_complete else ListKind.CHANGES)

    def apply_list_changes(self, changes: EndpointList) -> None:
        """What an operator's drain or its end changes in the list; discovery has not spoken."""
        self._apply_list(changes, ListKind.CHANGES)

    def _with_overlay(self, listed: EndpointList) -> EndpointList:
        return listed if self._observer is None else self._observer.listed(listed)

    def _apply_list(self, listed: EndpointList, kind: ListKind) -> None:
        # the pools first: the module may send to a server in the very actions that answer the list
        replaced = self.server_pools.apply_list(listed)
        entries = (*(target.entry for target in listed.servers), *replaced)
        self.has_list = self.has_list or bool(entries)
        self._submit(api.ServerList(listed.version, kind, entries))

    def peer_message_received(self, sender: int, data: bytes) -> None:
        self._submit(api.PeerMessage(sender, data))

    def counter_answered(self, event: api.CounterAnswered) -> None:
        """What became of a call to the shared counter."""
        self._submit(event)

    def request_arrived(self, command: Command, reply: Callable[[bytes], None]) -> str | None:
        """Takes a request; `reply` is called exactly once, perhaps before this returns. The name stands
        for it in `client_gone`. The module is given names of ours, as a client's id may come again while
        an attempt for the answered one is out. That of an open request is not sent on a second time."""
        return self._accept(command, reply, None)

    def permit_requested(
        self,
        command: Command,
        refused: Callable[[bytes], None],
        permitted: Callable[[str, str, float], None],
        over: Callable[[], None],
    ) -> str | None:
        """Takes a question whose lookup the asker sends on: either `refused` is called, with the final
        answer as RESP2 words it, or `permitted`, exactly once. The id stays open until the permitted lookup
        has ended, by `reported_end` or by its deadline; `over` tells that."""
        return self._accept(command, refused, Authorisation(permitted, over))

    def _accept(self, command: Command, reply: Callable[[bytes], None], asked: Authorisation | None) -> str | None:
        if command.client_request_id in self._open:
            reply(DUPLICATE_ANSWER)
            return None
        room = self._room - memory_bytes_of(command)
        late = command.wait_ms <= 0.0  # it waited behind others on its connection till its client's patience was over
        if late or len(self._requests) >= self._most or room < 0.0:
            reply(BUSY_ANSWER)
            return None
        self._room = room
        self._number += 1
        self._open.add(command.client_request_id)
        name = f"r{self._number}"
        request = self._requests[name] = PendingRequest(name, command, reply)
        request.authorisation = asked
        now = request.arrived_at_ms = self.now_ms()
        wait = max(command.wait_ms - DEADLINE_MARGIN_MS, command.wait_ms / 2)
        request.deadline_timer = self._loop.call_later(wait / 1000.0, self._deadline_passed, request)
        happened = api.RequestArrived if asked is None else api.PermitRequested
        self._submit(
            happened(
                request_id=name,
                class_index=command.class_index,
                plan_index=command.plan_index,
                customer_id=command.customer_id,
                units=command.units,
                deadline_ms=now + wait,
                limiter_count=command.limiter_count,
                first_limiter=command.first_limiter,
            )
        )
        return name

    def permitted_request_ended(self, name: str, outcome: Outcome, took: float, report: bytes) -> bool:
        """How a permitted lookup ended, as its asker tells; False where it has ended already."""
        request = self._requests.get(name)
        if request is None or request.authorisation is None or not request.authorisation.server_id:
            return False
        if report and self.server_pools.on_load_report is not None:
            self.server_pools.on_load_report(request.authorisation.server_id, report)
        self._lapse(request, outcome, took or self.now_ms() - request.arrived_at_ms)
        return True

    def _permit(self, name: str, server: str, timeout: float) -> None:
        request = self._requests.get(name)
        if request is None or request.is_answered or request.authorisation is None:
            return  # answered for the module, which had failed on an event
        asked = request.authorisation
        asked.server_id = server
        request.is_answered, request.open_attempts = True, 1
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        # unreported, it ends by its deadline; what became of it is not known, and nothing is learnt of the box
        asked.expiry_timer = self._loop.call_later(timeout / 1000.0, self._lapse, request, Outcome.CANCELLED, timeout)
        if self._observer is not None:
            self._observer.answered(request.command, self.now_ms() - request.arrived_at_ms, PERMITTED_ANSWER)
        asked.on_permitted(server, self.server_pools.endpoints().get(server, ("", 0))[0], timeout)

    def _lapse(self, request: PendingRequest, outcome: Outcome, took: float) -> None:
        asked = request.authorisation
        assert asked is not None
        if asked.expiry_timer is not None:
            asked.expiry_timer.cancel()
            asked.expiry_timer = None
        self._open.discard(request.command.client_request_id)
        request.open_attempts = 0
        self._forget_if_over(request)
        self._submit(api.AttemptEnded(request.request_id, 0, asked.server_id, outcome, took, True))
        asked.on_ended()

    def remaining_units(self, customer: str) -> int:
        """Whole units that the customer's store is believed to hold; 0 for one not known."""
        account = self._limiter.quotas.accounts.get(zlib.crc32(customer.encode()))
        return max(0, int(account.shared_units)) if account is not None else 0

    def client_disconnected(self, name: str) -> None:
        request = self._requests.get(name)
        if request is not None and not request.is_answered:
            self._finish(request, None)
            self._submit(api.ClientDisconnected(name))

    def _deadline_passed(self, request: PendingRequest) -> None:
        """Whatever the module does, no client is left without an answer when its patience ends."""
        if not request.is_answered:
            self._finish(request, FAILED_ANSWER)
            self._submit(api.ClientDisconnected(request.request_id))

    def _attempt_ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None:
        request = self._requests[attempt.request_id]
        request.open_attempts -= 1
        if outcome is Outcome.OK and value is not None and not request.is_answered:
            self._finish(request, b"$%d\r\n%b\r\n" % (len(value), value))
        took = self.now_ms() - attempt.started_at_ms
        self._submit(
            api.AttemptEnded(
                request.request_id, attempt.attempt_index, attempt.server_id, outcome, took, request.is_answered
            )
        )
        self._forget_if_over(request)

    def _finish(self, request: PendingRequest, answer: bytes | None) -> None:
        """The one place that marks a request answered; None where the client has gone."""
        request.is_answered = True
        self._open.discard(request.command.client_request_id)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        if self._observer is not None:
            self._observer.answered(request.command, self.now_ms() - request.arrived_at_ms, answer)
        if answer is not None:
            request.reply(answer)
        for attempt in request.attempts:
            if not attempt.is_sent:  # a dial under way: nothing is sent on for a request that has its answer
                attempt.abandon(Outcome.CANCELLED)
        self._forget_if_over(request)

    def fail_open_requests(self) -> None:
        """Each open request gets its answer now: nobody will be here to give it later."""
        for request in [request for request in self._requests.values() if not request.is_answered]:
            self._deadline_passed(request)

    def _forget_if_over(self, request: PendingRequest) -> None:
        if (
            request.is_answered
            and request.open_attempts == 0
            and self._requests.pop(request.request_id, None) is not None
        ):
            self._room += memory_bytes_of(request.command)

    # The module

    def _submit(self, event: api.Event) -> None:
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
            actions = self._limiter.handle(event, self.now_ms())
        except Exception:  # one event that the module cannot take must not end all other requests
            log.exception("the module failed on %s", type(event).__name__)
            return
        self._perform_all(actions)

    def _perform_all(self, actions: list[api.Action]) -> None:
        for action in actions:
            try:
                self._perform(action)
            except Exception:  # the actions that follow belong to other requests
                log.exception("an action failed: %s", type(action).__name__)

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(wait, token):
                self._loop.call_later(wait / 1000.0, self._submit, api.TimerFired(token))
            case api.SendAttempt(name, server, timeout):
                self._send(name, server, timeout)
            case api.Permit(name, server, timeout):
                self._permit(name, server, timeout)
            case api.Reject(name, retry_after):
                self._answer(name, b"-BUSY %d\r\n" % retry_after if retry_after >= 1.0 else BUSY_ANSWER)
            case api.Fail(name):
                self._answer(name, FAILED_ANSWER)
            case api.CancelAttempt(name, number):
                request = self._requests.get(name)
                if request is not None and number < len(request.attempts):
                    request.attempts[number].abandon(Outcome.CANCELLED)
            case api.SendPeerMessage(receiver, data):
                if self.send_peer_message is not None:
                    self.send_peer_message(receiver, data)
            case api.AddToCounter(token, name, amount, life):
                if self.add_to_counter is not None:
                    self.add_to_counter(token, name, amount, life)
            case api.Log(text):
                log.info("%s", text)
            case api.Subscribe() | api.FetchServerList():
                pass  # the watch is always open here, and brings whatever there is to tell

    def _answer(self, name: str, answer: bytes) -> None:
        request = self._requests.get(name)
        if request is not None and not request.is_answered:
            self._finish(request, answer)

    def _send(self, name: str, server: str, timeout: float) -> None:
        request = self._requests.get(name)
        if request is None or request.is_answered:
            return  # answered for the module, which had failed on an event
        request.open_attempts += 1
        attempt = self.server_pools.start_attempt(name, len(request.attempts), server, timeout, request.command.encode)
        request.attempts.append(attempt)
