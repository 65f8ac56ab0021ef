"""The gateway between the sockets and the `Limiter` of this process: passes events in and carries out its actions.

It owns the timers and the open requests. Requests are answered only here.
"""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections import deque
from collections.abc import Callable

from elderlock import interface as api
from elderlock.decisions.limiter import Limiter
from elderlock.decisions.quota_coordinator import QuotaCoordinator
from elderlock.interface import ListKind, Outcome
from elderlock.net.authorised_requests import AuthorisedRequests
from elderlock.net.clock import Clock
from elderlock.net.command import Command
from elderlock.net.config import Config
from elderlock.net.endpoint_list import EndpointList, parse_endpoint_list
from elderlock.net.memory_budget import MemoryBudget
from elderlock.net.open_requests import Authorisation, OpenRequests, PendingRequest
from elderlock.net.request_observer import RequestObserver
from elderlock.net.server_connection import Attempt
from elderlock.net.server_pool import ServerPools

# Part of the client's wait, which starts when it sends: covers the network both ways and delays of a busy event loop.
DEADLINE_MARGIN_MS = 25.0
SWEEP_INTERVAL_S = 1.0
DEFAULT_LATENCY_OBJECTIVE_MS = 1000.0
# Memory that a customer's account uses.
ACCOUNT_BYTES = 1 << 11
MIN_RETRY_AFTER_MS = 1.0
FAILED_ANSWER = b"-ERR failed\r\n"
BUSY_ANSWER = b"-BUSY\r\n"
DUPLICATE_ANSWER = b"-ERR a request of this id is open\r\n"

log = logging.getLogger(__name__)


class Gateway:
    """Passes events to the limiter and carries out its actions.

    Attributes:
        now_ms: Returns the current time.
        settings: The limiter's settings.
        max_request_units: Maximum number of units that one request may cost.
        memory: The limits of what is held for clients.
        server_pools: The connections to the servers.
        requests: The accepted requests that have not finished.
        has_list: Whether any list has named a server so far.
        list_received: Set once discovery has sent a list; a cached list does not set it.
        send_peer_message: Sends a datagram to the peer with an index, or to all peers for -1; None without peers.
        add_to_counter: Calls the shared counter with token, name, amount and lifetime in ms; None without a counter.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        clock: Clock,
        coordinator_type: type[QuotaCoordinator] = QuotaCoordinator,
        limiter_type: type[Limiter] = Limiter,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Initialise the gateway and its limiter; `start` starts them.

        Args:
            loop: The event loop.
            config: The process's configuration.
            clock: Provides the time of all events.
            coordinator_type: Class of the limiter's part that tracks customers' usage at other limiters.
            limiter_type: The limiter's class.
            memory: The limits of what is held for clients; by default they follow from the configuration alone.
        """
        self._loop = loop
        self._config = config
        self.now_ms = clock.now_ms
        self.settings = config.settings
        self.max_request_units = config.socket_settings.largest_request_units
        self.memory = memory or MemoryBudget.of(config.memory_mb)
        self.server_pools = ServerPools(
            loop,
            config.socket_settings,
            min(
                (request_class.latency_objective_ms for request_class in config.settings.request_classes),
                default=DEFAULT_LATENCY_OBJECTIVE_MS,
            ),
            config.max_descriptors,
            self.now_ms,
            self._attempt_ended,
        )
        self.requests = OpenRequests(config.socket_settings, config.settings.request_classes, self.memory)
        self._authorised = AuthorisedRequests(loop, self.requests, self.server_pools, self.now_ms, self._submit)
        self._limiter = limiter_type(config.settings, config.seed, self.now_ms(), coordinator_type)
        self._limiter.quotas.account_limit.max_accounts = self.memory.accounts // ACCOUNT_BYTES
        self._events: deque[api.Event] = deque()
        self._is_handling = False
        self._is_ending = False
        self._observer: RequestObserver | None = None
        self.has_list = False
        self.list_received = asyncio.Event()
        self.send_peer_message: Callable[[int, bytes], None] | None = None
        self.add_to_counter: Callable[[int, str, float, float], None] | None = None

    @property
    def limiter(self) -> Limiter:
        """The limiter, for reading only: only the gateway may pass events to it."""
        return self._limiter

    @property
    def open_request_count(self) -> int:
        """Number of unanswered requests, including permitted ones that have not ended."""
        return self.requests.unfinished_count()

    def set_observer(self, observer: RequestObserver) -> None:
        """Set the observer, before `start` so that it sees each list."""
        self._observer = observer
        self._authorised.observer = observer
        self.server_pools.on_load_report = observer.on_load_report

    def start(self) -> None:
        """Start the limiter, with the configuration's cached server list if there is one."""
        self._perform_all(self._limiter.start(self.now_ms()))
        if self._config.cached_list is not None:
            try:
                cached = parse_endpoint_list(self._config.cached_list, self._config.socket_settings)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                log.warning("the cached server list in the configuration cannot be parsed: %r", error)
            else:
                self._apply_list(self._with_overlay(cached), ListKind.CACHED)
        self._sweep()

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)  # first, so that an error below does not end the sweeps
        self.server_pools.close_expired()
        self.requests.ids.expire(self.now_ms())

    # Server lists

    def server_list_received(self, listed: EndpointList) -> None:
        """Apply a complete list or changes from discovery."""
        self.list_received.set()
        self._apply_list(self._with_overlay(listed), ListKind.COMPLETE if listed.is_complete else ListKind.CHANGES)

    def apply_list_changes(self, changes: EndpointList) -> None:
        """Apply the list changes that result from an operator's drain or undrain."""
        self._apply_list(changes, ListKind.CHANGES)

    def _with_overlay(self, listed: EndpointList) -> EndpointList:
        return listed if self._observer is None else self._observer.on_endpoint_list(listed)

    def _apply_list(self, listed: EndpointList, kind: ListKind) -> None:
        # The pools are updated first: the limiter's actions for this list may already send to one of its servers.
        replaced = self.server_pools.apply_list(listed)
        entries = (*(server.entry for server in listed.servers), *replaced)
        self.has_list = self.has_list or bool(entries)
        self._submit(api.ServerList(listed.version, kind, entries))

    # Peers and the shared counter

    def peer_message_received(self, sender: int, data: bytes) -> None:
        """Pass a datagram from the peer with the index `sender` to the limiter."""
        self._submit(api.PeerMessage(sender, data))

    def counter_answered(self, event: api.CounterAnswered) -> None:
        """Pass the result of a call to the shared counter to the limiter."""
        self._submit(event)

    # Requests

    def request_arrived(self, command: Command, reply: Callable[[bytes], None]) -> str | None:
        """Accept a request.

        Args:
            command: The request. The caller holds its client's id in `requests.ids` until the answer has left.
            reply: Called at most once with the encoded answer, possibly before this returns; not called for a client
                that has disconnected.

        Returns:
            The gateway's id of the request, for `client_disconnected`; None if it is already answered.
        """
        return self._accept(command, reply, None)

    def permit_requested(
        self,
        command: Command,
        on_refused: Callable[[bytes], None],
        on_permitted: Callable[[str, str, float], None],
        on_ended: Callable[[], None],
    ) -> str | None:
        """Accept a request that its caller forwards itself, unless a request with the same client id is still open.

        Exactly one of `on_refused` and `on_permitted` is called, once.

        Args:
            command: The request.
            on_refused: Called with the final answer, encoded as RESP2.
            on_permitted: Called with the server, its address and how long (ms) the permit is valid.
            on_ended: Called when the permit has ended, by `permitted_request_ended` or at its deadline; the client's
                request id stays open until then.

        Returns:
            The gateway's id of the request, for `client_disconnected` and `permitted_request_ended`; None if it is
            already refused.
        """
        ids = self.requests.ids
        if not ids.hold(command.client_request_id):
            on_refused(DUPLICATE_ANSWER)
            return None
        try:
            return self._accept(command, on_refused, Authorisation(on_permitted, on_ended))
        finally:
            ids.release(command.client_request_id)  # an accepted request holds it by itself

    def permitted_request_ended(
        self, request_id: str, outcome: Outcome, duration_ms: float, load_report: bytes
    ) -> bool:
        """Record the caller's report on a permitted request; return False if the permit has already ended.

        Args:
            request_id: The gateway's id of the request.
            outcome: How the request ended at the server.
            duration_ms: How long it took; 0 if the caller does not report it.
            load_report: The server's load report, or empty.
        """
        return self._authorised.record_end(request_id, outcome, duration_ms, load_report)

    def _accept(
        self, command: Command, reply: Callable[[bytes], None], authorisation: Authorisation | None
    ) -> str | None:
        now_ms = self.now_ms()
        # The client's wait may already have ended while the command was queued on its connection.
        is_acceptable = command.wait_ms > 0.0 and not self._is_ending
        request = self.requests.add(command, reply, now_ms) if is_acceptable else None
        if request is None:
            reply(BUSY_ANSWER)
            return None
        request.authorisation = authorisation
        wait_ms = max(command.wait_ms - DEADLINE_MARGIN_MS, command.wait_ms / 2)
        request.deadline_timer = self._loop.call_later(wait_ms / 1000.0, self._deadline_passed, request)
        event_type = api.RequestArrived if authorisation is None else api.PermitRequested
        self._submit(
            event_type(
                request_id=request.request_id,
                class_index=command.class_index,
                plan_index=command.plan_index,
                customer_id=command.customer_id,
                units=command.units,
                deadline_ms=now_ms + wait_ms,
                limiter_count=command.limiter_count,
                first_limiter=command.first_limiter,
            )
        )
        return request.request_id

    def remaining_units(self, customer_id: str) -> int:
        """Return the units of quota that the customer is estimated to have left; 0 for an unknown customer."""
        account = self._limiter.quotas.accounts.get(zlib.crc32(customer_id.encode()))
        return max(0, int(account.shared_units)) if account is not None else 0

    def client_disconnected(self, request_id: str) -> None:
        """End a request whose client has disconnected."""
        request = self.requests.get(request_id)
        if request is not None and not request.is_answered:
            request.is_abandoned = True
            self._finish(request, None)
            self._submit(api.ClientDisconnected(request_id))

    def end_requests(self) -> None:
        """Fail all open requests, and from now on reject each further one, because the process is about to end.

        The answers make room for commands that wait on their connections: forwarded, they would get no answer.
        """
        self._is_ending = True
        for request in self.requests.unanswered():
            self._deadline_passed(request)

    def _deadline_passed(self, request: PendingRequest) -> None:
        """Fail a request shortly before its client's wait ends, independently of the limiter."""
        if not request.is_answered:
            self._finish(request, FAILED_ANSWER)
            self._submit(api.ClientDisconnected(request.request_id))

    def _attempt_ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None:
        request = self.requests.get(attempt.request_id)
        assert request is not None  # a request with an open attempt is not removed
        request.open_attempts -= 1
        if outcome is Outcome.OK and value is not None and not request.is_answered:
            self._finish(request, b"$%d\r\n%b\r\n" % (len(value), value))
        duration_ms = self.now_ms() - attempt.started_at_ms
        self._submit(
            api.AttemptEnded(
                request.request_id,
                attempt.attempt_index,
                attempt.server_id,
                outcome,
                duration_ms,
                request.is_answered,
            )
        )
        self.requests.remove_if_finished(request)

    def _finish(self, request: PendingRequest, answer: bytes | None) -> None:
        """Mark a request as answered and send the answer, or None if its client has disconnected.

        This is the only place that does either.
        """
        request.is_answered = True
        request.cancel_deadline()
        if self._observer is not None:
            self._observer.on_answer(request.command, self.now_ms() - request.arrived_at_ms, answer)
        if answer is not None:
            request.reply(answer)
        for attempt in request.attempts:
            if not attempt.is_sent:  # still connecting: nothing is forwarded once the request is answered
                attempt.abandon(Outcome.CANCELLED)
        self.requests.remove_if_finished(request)

    # The limiter

    def _submit(self, event: api.Event) -> None:
        """Pass an event to the limiter and carry out its actions.

        Events that occur while actions are carried out (such as an attempt that fails at once) are queued, because the
        limiter must not be re-entered before all actions of the previous event are done.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._limiter.handle(event, self.now_ms())
        except Exception:  # an event that the limiter cannot handle must not affect other requests
            log.exception("the limiter raised an exception on event %s", type(event).__name__)
            return
        self._perform_all(actions)

    def _perform_all(self, actions: list[api.Action]) -> None:
        for action in actions:
            try:
                self._perform(action)
            except Exception:  # the following actions may belong to other requests
                log.exception("action %s failed", type(action).__name__)

    def _perform(self, action: api.Action) -> None:  # noqa: C901
        match action:
            case api.SetTimer(delay_ms, token):
                self._loop.call_later(delay_ms / 1000.0, self._submit, api.TimerFired(token))
            case api.SendAttempt(request_id, server_id, timeout_ms):
                self._start_attempt(request_id, server_id, timeout_ms)
            case api.Permit(request_id, server_id, timeout_ms):
                self._authorised.permit(request_id, server_id, timeout_ms)
            case api.Reject(request_id, retry_after_ms):
                has_delay = retry_after_ms >= MIN_RETRY_AFTER_MS
                self._answer(request_id, b"-BUSY %d\r\n" % retry_after_ms if has_delay else BUSY_ANSWER)
            case api.Fail(request_id):
                self._answer(request_id, FAILED_ANSWER)
            case api.CancelAttempt(request_id, attempt_index):
                self._cancel_attempt(request_id, attempt_index)
            case api.SendPeerMessage(receiver, data):
                if self.send_peer_message is not None:
                    self.send_peer_message(receiver, data)
            case api.AddToCounter(token, name, amount, lifetime_ms):
                if self.add_to_counter is not None:
                    self.add_to_counter(token, name, amount, lifetime_ms)
            case api.Log(text):
                log.info("%s", text)
            case api.Subscribe() | api.FetchServerList():
                pass  # the gateway always watches discovery

    def _answer(self, request_id: str, answer: bytes) -> None:
        request = self.requests.get(request_id)
        if request is not None and not request.is_answered:
            self._finish(request, answer)

    def _start_attempt(self, request_id: str, server_id: str, timeout_ms: float) -> None:
        request = self.requests.get(request_id)
        if request is None or request.is_answered:
            return  # already answered by the gateway, because the limiter raised an exception on an event
        request.open_attempts += 1
        attempt = self.server_pools.start_attempt(
            request_id, len(request.attempts), server_id, timeout_ms, request.command.encode
        )
        request.attempts.append(attempt)

    def _cancel_attempt(self, request_id: str, attempt_index: int) -> None:
        request = self.requests.get(request_id)
        if request is not None and attempt_index < len(request.attempts):
            request.attempts[attempt_index].abandon(Outcome.CANCELLED)
